package core

import (
	"hash/fnv"
	"time"

	"spokegw/internal/fleet/weights"
	"spokegw/internal/learnt"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// measured is what a service sees of its endpoints for a fleet's weights, and the factors
// that the fleet has them by. It is under the service's lock.
type measured struct {
	of      *settled
	classes []weights.Class // by place, of it
	sums    map[policy.EndpointID]*weights.Sums
	met     [metKeys]uint32 // keys that endpoints have met, by a hash of both
	factors map[weights.ID]float64
	inUse   bool // factors are in force
}

// metKeys bounds the keys that are remembered. One that is pushed out, or that another
// gateway sent, counts as cold.
const metKeys = 4096

// Measure has the service sum up what it sees of endpoints. It is to be called before the
// first request.
func (s *Service) Measure() {
	s.measured = &measured{sums: map[policy.EndpointID]*weights.Sums{}}
}

var measuredEndings = map[policy.Result]weights.Ending{
	policy.Served: weights.Served, policy.NoAnswer: weights.Silent, policy.CalledOff: weights.Abandoned, policy.TurnedAway: weights.Declined,
	policy.Errored: weights.Failed, policy.ConnectionLost: weights.Failed, policy.NoConnection: weights.Failed,
}

// measure takes the end of an attempt. It allocates nothing for an endpoint and a class that
// it knows.
func (s *Service) measure(c *call, a *attempt, told upstream.Answer) {
	m, e := s.measured, s.endpoints.byID[a.endpoint]
	how, counts := measuredEndings[told.Result]
	if m == nil || e == nil || !counts {
		return
	}
	if m.of != s.settled {
		m.of, m.classes = s.settled, m.classes[:0]
		for _, name := range s.settled.names() {
			m.classes = append(m.classes, weights.NewClass(s.name, name))
		}
	}
	sums := m.sums[a.endpoint]
	if sums == nil {
		sums = &weights.Sums{ID: s.weightID(e)}
		m.sums[a.endpoint] = sums
	}
	q := &c.exchange.request
	sums.Ended(m.classes[c.class], m.warm(q.Key, a.endpoint, how), how, told.Elapsed, time.Duration(q.Cost*float64(time.Second)))
}

// warm reports whether an endpoint had met a key, and notes that it has now.
func (m *measured) warm(key string, endpoint policy.EndpointID, how weights.Ending) bool {
	if key == "" || how != weights.Served {
		return false
	}
	h := fnv.New32a()
	h.Write([]byte(key)) // does not escape
	x := (h.Sum32() ^ uint32(endpoint)) * 0x9e3779b1
	at := &m.met[x%metKeys]
	warm := *at == x
	*at = x
	return warm
}

func (s *Service) weightID(e *endpoint) weights.ID {
	return weights.NewID(s.name, e.name, e.Started)
}

// Seen is what was seen of endpoints since the last call.
func (s *Service) Seen() (all []weights.Sums) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.measured
	if m == nil {
		return nil
	}
	for id, sums := range m.sums {
		e := s.endpoints.byID[id]
		if e == nil || s.weightID(e) != sums.ID { // it is no longer listed, or is another process
			delete(m.sums, id)
		}
		all = append(all, *sums)
		*sums = weights.Sums{ID: sums.ID}
	}
	return all
}

// WeightEndpoints are the endpoints of the list, for the fleet's weights.
func (s *Service) WeightEndpoints() (all []weights.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := fnv.New32a()
	h.Write([]byte(s.name))
	for _, e := range s.endpoints.byID {
		warm := e.Readiness == policy.Ready && (e.Started <= 0 || s.now()-e.Started >= s.settled.policy.ColdTime)
		all = append(all, weights.Endpoint{ID: s.weightID(e), Kind: h.Sum32() + uint32(e.Kind), Nominal: e.Nominal, Warm: warm})
	}
	return all
}

// SetFactors puts factors of listed weights in force; what is not there has 1. nil: there are
// none, and the module goes by its own sight.
func (s *Service) SetFactors(factors map[weights.ID]float64) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		m := s.measured
		if m == nil || factors == nil && !m.inUse {
			return nil
		}
		m.factors, m.inUse = factors, factors != nil
		s.resize(b, now)
		return nil
	})
}

// resize has the module take the sizes that go with the factors. It is to be called after
// each list.
func (s *Service) resize(b *policy.Balancer, now time.Duration) {
	m := s.measured
	learnt.Resize(now, b, func(id policy.EndpointID) (int, float64) {
		e := s.endpoints.byID[id]
		if e == nil { // something is out on it yet
			return 0, 0
		}
		return e.Kind, e.Nominal
	}, func(id policy.EndpointID) (float64, bool) {
		e := s.endpoints.byID[id]
		if e == nil || !m.inUse {
			return 0, false
		}
		factor, known := m.factors[s.weightID(e)]
		if !known {
			factor = 1
		}
		if e.Nominal <= 0 { // it is not told
			return factor, true
		}
		return factor * e.Nominal, true
	})
}
