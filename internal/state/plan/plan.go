// Package plan decides which parts of the persisted state of a sidecar are still valid.
// It is pure: the clocks come in with the calls.
package plan

import (
	"fmt"
	"time"

	"spokegw/internal/handover"
	"spokegw/internal/keyed"
)

// Version is the current format version. Earlier versions are read and converted; later
// ones are rejected, since their meaning is unknown.
//
//	1  a single JSON value, an Image
//	2  Parts, each with a checksum
const Version = 2

// unsupportedVersion returns why a version can't be read; "": it can.
func unsupportedVersion(v int) string {
	switch {
	case v > Version:
		return fmt.Sprintf("version %d was written by a newer program; versions up to %d are supported", v, Version)
	case v < 1:
		return fmt.Sprintf("version is %d, expected 1 to %d", v, Version)
	}
	return ""
}

// Clock is an instant from which another process can compute the elapsed time.
type Clock struct {
	Boot  string        // boot id of the machine; "": unknown
	Since time.Duration // since boot, including suspend
	Wall  time.Time
}

// Elapsed is the time between two instants. It is exact within one boot of a machine,
// whatever happened to the wall clock; else it is the difference of the wall clocks,
// which may have been set, and at least 0.
func Elapsed(then, now Clock) (d time.Duration, exact bool) {
	if then.Boot != "" && then.Boot == now.Boot && now.Since >= then.Since {
		return now.Since - then.Since, true
	}
	return max(now.Wall.Sub(then.Wall), 0), false
}

// Image is the persisted state at one instant.
type Image struct {
	Version int
	Name    string // of the sidecar
	At      Clock
	Ended   bool // shut down in order: no request was served after it
	State   *handover.State
}

// Part is an independent part of an image, so that others may be lost: of one image that
// is corrupted, or of several that follow each other.
type Part struct {
	Version int
	Name    string // of the sidecar
	At      Clock
	Kind    Kind
	Ended   bool              `json:",omitempty"` // as in the image; KindService
	Drained bool              `json:",omitempty"` // KindSidecar
	IDs     *handover.IDs     `json:",omitempty"` // KindIDs
	Hash    uint64            `json:",omitempty"` // hash key of the keyed requests; KindKeys
	Service *handover.Service `json:",omitempty"` // its reference, and the fields of the kind
}

// Kind is the type of a part.
type Kind string

const (
	KindSidecar Kind = "sidecar" // operator settings of the sidecar
	KindIDs     Kind = "ids"     // ids of recently accepted requests
	KindService Kind = "service" // operator settings of a service; learned speeds and capacity, and usage of contracts, with the classes that they refer to
	KindMembers Kind = "members" // endpoint list of a service
	KindKeys    Kind = "keys"    // keyed requests of a service
)

// Parts splits an image into its parts. An image of an earlier version is converted.
func Parts(i *Image) (all []Part, reason string) {
	if i == nil || i.State == nil {
		return nil, "no state is stored"
	}
	if reason := unsupportedVersion(i.Version); reason != "" {
		return nil, reason
	}
	part := func(k Kind, service *handover.Service) *Part {
		all = append(all, Part{Version: Version, Name: i.Name, At: i.At, Kind: k, Service: service})
		return &all[len(all)-1]
	}
	part(KindSidecar, nil).Drained = i.State.Drained
	part(KindIDs, nil).IDs = &i.State.IDs
	for _, s := range i.State.Services {
		part(KindService, &handover.Service{ServiceRef: s.ServiceRef, Disabled: s.Disabled, Classes: s.Classes, Learnt: s.Learnt, Standing: s.Standing}).Ended = i.Ended
		part(KindMembers, &handover.Service{ServiceRef: s.ServiceRef, Members: s.Members})
		part(KindKeys, &handover.Service{ServiceRef: s.ServiceRef, Keys: s.Keys}).Hash = i.State.IDs.Key
	}
	return all, ""
}

// Persisted data older than these limits is ignored. Missing data is treated as by a
// sidecar that has just been installed.
const (
	// MaxLearntAge applies to speeds, capacity and health: the load of the servers has
	// changed by then. If missing: nominal sizes, and every endpoint healthy.
	MaxLearntAge = 10 * time.Minute
	// MaxListAge applies to the endpoint list: discovery is called in any case, and the
	// list is used until it answers. If missing: the endpoints of the configuration.
	MaxListAge = time.Hour
	// MaxIDAge applies to ids of accepted requests: no client repeats one later. If
	// missing: a request that was accepted before the end may be accepted again.
	MaxIDAge = time.Minute
	// MaxKeyAge limits keys if the elapsed time is uncertain: they are treated as if no
	// time had passed, and dropped when this age is reached by any clock.
	MaxKeyAge = time.Hour
	// MaxUsageAge applies to the usage of contracts. If missing: a full burst. It is
	// restored unchanged: a team has the tokens that it had left, and none for the time
	// between. After a kill the usage since then is unknown, so all saved-up tokens count
	// as spent.
	MaxUsageAge = time.Hour
)

// Usable returns the parts of an image that are still valid; nil: none. The reason is for
// the log.
func Usable(i *Image, name string, now Clock) (st *handover.State, reason string) {
	parts, reason := Parts(i)
	if reason != "" {
		return nil, reason
	}
	return Merge(parts, name, now)
}

// Merge combines the parts that are still valid; later parts override earlier ones of the
// same item; nil: none is valid. The reason is for the log.
func Merge(parts []Part, name string, now Clock) (st *handover.State, reason string) {
	m := merger{state: &handover.State{}, services: map[handover.ServiceRef]int{}, hashes: map[handover.ServiceRef]uint64{}}
	reason = "no state is stored"
	found := false
	for i := range parts {
		p := &parts[i]
		switch unsupported := unsupportedVersion(p.Version); {
		case unsupported != "":
			reason = unsupported
		case p.Name != name:
			reason = "the state belongs to another sidecar"
		default:
			elapsed, exact := Elapsed(p.At, now)
			m.add(p, elapsed, exact)
			found = true
		}
	}
	if !found {
		return nil, reason
	}
	m.dropMismatchedKeys()
	return m.state, ""
}

// merger is the state of a Merge.
type merger struct {
	state    *handover.State
	services map[handover.ServiceRef]int // index into the services of the state
	hashes   map[handover.ServiceRef]uint64
}

// maxServices bounds the services of a state: more than an operator file has.
const maxServices = 4096

func (m *merger) add(p *Part, elapsed time.Duration, exact bool) {
	switch {
	case p.Kind == KindSidecar:
		m.state.Drained = p.Drained
	case p.Kind == KindIDs && p.IDs != nil:
		m.state.IDs = handover.IDs{Key: p.IDs.Key} // the keyed requests are hashed with the same key
		if elapsed <= MaxIDAge || !exact {
			m.state.IDs.Hashes = p.IDs.Hashes
		}
	case p.Service != nil:
		if s := m.service(p.Service.ServiceRef); s != nil {
			if p.Kind == KindKeys {
				m.hashes[s.ServiceRef] = p.Hash
			}
			applyPart(s, p, elapsed, exact)
		}
	}
}

func (m *merger) service(ref handover.ServiceRef) *handover.Service {
	index, known := m.services[ref]
	if !known {
		if index = len(m.state.Services); index == maxServices {
			return nil
		}
		m.services[ref] = index
		m.state.Services = append(m.state.Services, handover.Service{ServiceRef: ref})
	}
	return &m.state.Services[index]
}

// dropMismatchedKeys drops keyed requests whose hash key is not that of the ids: no
// lookup would find them. If the ids are lost, the first keyed requests determine the
// hash key.
func (m *merger) dropMismatchedKeys() {
	for i := range m.state.Services {
		s := &m.state.Services[i]
		if hash := m.hashes[s.ServiceRef]; len(s.Keys) > 0 && m.state.IDs.Key == 0 {
			m.state.IDs.Key = hash
		} else if hash != m.state.IDs.Key {
			s.Keys = nil
		}
	}
}

// applyPart replaces what an older part set of a service by what is still valid of this
// one.
func applyPart(s *handover.Service, p *Part, elapsed time.Duration, exact bool) {
	from := p.Service
	switch p.Kind {
	case KindService:
		s.Disabled, s.Classes, s.Learnt, s.Standing = from.Disabled, from.Classes, nil, nil
		if elapsed <= MaxLearntAge {
			s.Learnt = from.Learnt
		}
		if elapsed <= MaxUsageAge && from.Standing != nil {
			usage := *from.Standing
			usage.Spent = usage.Spent || !p.Ended
			s.Standing = &usage
		}
	case KindMembers:
		s.Members = handover.Members{}
		if elapsed <= MaxListAge {
			s.Members = from.Members
		}
	case KindKeys:
		s.Keys = nil
		for _, k := range from.Keys {
			if k, ok := UsableKey(k, elapsed, exact); ok {
				s.Keys = append(s.Keys, k)
			}
		}
	}
}

// UsableKey ages the note of a key by the elapsed time, and reports whether it is still
// valid. If that time is uncertain the deduplication window may have closed: no retry may
// be sent then for as long as the client may repeat the request.
func UsableKey(k keyed.Note, elapsed time.Duration, exact bool) (keyed.Note, bool) {
	if exact {
		k.Age, k.Left = k.Age+elapsed, k.Left-elapsed
		return k, k.Left > 0
	}
	k.Age = max(k.Age, k.Window)
	return k, elapsed <= MaxKeyAge
}
