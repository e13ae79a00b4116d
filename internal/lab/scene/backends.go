package scene

import "spokegw/internal/lab"

// Backends are endpoints alike and a registry that lists them, for a sidecar in a process
// of its own.
type Backends struct {
	Endpoints []*lab.Endpoint
	Registry  *lab.Registry
}

// StartBackends starts so many; after an error none is left.
func StartBackends(endpoints int, c lab.EndpointConfig) (b *Backends, err error) {
	b = &Backends{}
	for range endpoints {
		e, err := lab.StartEndpoint(c)
		if err != nil {
			b.Close()
			return nil, err
		}
		b.Endpoints = append(b.Endpoints, e)
	}
	if b.Registry, err = lab.StartRegistry(Entries(b.Endpoints...), nil); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// Close ends them all.
func (b *Backends) Close() {
	for _, e := range b.Endpoints {
		e.Close()
	}
	if b.Registry != nil {
		b.Registry.Close()
	}
}
