package core

import (
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"time"

	"spokegw/internal/fleet/sites"
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
	sums    map[policy.EndpointID]*weights.Stats
	met     [metKeys]uint32 // keys that endpoints have met, by a hash of both
	factors map[weights.ID]float64
	inUse   bool            // factors are in force
	asked   weights.Stats   // what came to the door
	door    *sites.Enforcer // nil: every site is met whole, and everybody let in
}

// metKeys bounds the keys that are remembered. One that is pushed out, or that another
// gateway sent, counts as cold.
const metKeys = 4096

// EnableMeasurement has the service sum up what it sees of endpoints. It is to be called before the
// first request.
func (s *Service) EnableMeasurement() {
	s.measured = &measured{sums: map[policy.EndpointID]*weights.Stats{}}
}

var measuredEndings = map[policy.Result]weights.Outcome{
	policy.Served: weights.Served, policy.NoAnswer: weights.TimedOut, policy.Cancelled: weights.Cancelled, policy.Declined: weights.Declined,
	policy.Errored: weights.Failed, policy.ConnectionLost: weights.Unreached, policy.NoConnection: weights.Unreached,
}

// measure takes the end of an attempt. It allocates nothing for an endpoint and a class that
// it knows.
func (s *Service) measure(c *call, a *attempt, told upstream.Answer) {
	m, e := s.measured, s.endpoints.byID[a.endpoint]
	how, counts := measuredEndings[told.Result]
	if m == nil || e == nil || !counts {
		return
	}
	if told.Result == policy.Cancelled && c.by > a.n {
		how = weights.Superseded
	}
	m.name(s)
	sums := m.sums[a.endpoint]
	if sums == nil {
		if len(m.sums) >= weights.MaxEndpoints { // nobody has asked for them, and lists went on
			return
		}
		sums = &weights.Stats{ID: s.weightID(e)}
		m.sums[a.endpoint] = sums
	}
	q := &c.exchange.request
	sums.Record(m.classes[c.class], m.warm(q.Key, a.endpoint, how), how, told.Elapsed, time.Duration(q.Cost*float64(time.Second)))
}

// name has the classes' names at hand.
func (m *measured) name(s *Service) {
	if m.of == s.settled {
		return
	}
	m.of, m.classes = s.settled, m.classes[:0]
	for _, name := range s.settled.names() {
		m.classes = append(m.classes, weights.NewClass(s.name, name))
	}
}

// siteLost is what a client reads whose request the fleet has no room for.
const siteLost = "a site is lost, and the others can't carry all"

// letIn counts a request that its contract admits, and returns the answer to one that the
// fleet's plan has no room for; nil: it goes on.
func (s *Service) letIn(x *Exchange) *Answer {
	m := s.measured
	if m == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m.name(s)
	class := m.classes[x.request.Class]
	m.asked.Record(class, x.request.Guaranteed, weights.Served, 0, time.Duration(x.request.Cost*float64(time.Second)))
	if m.door == nil || m.door.Admits(sites.Group{Class: uint16(class), Guaranteed: x.request.Guaranteed}, rand.Float64()) {
		return nil
	}
	return &Answer{Status: http.StatusServiceUnavailable, Reason: siteLost, RetryAfter: m.door.RetryAfter(rand.Float64())}
}

// SetSiteAdmission puts in force what the fleet does about sites. nil: nothing.
func (s *Service) SetSiteAdmission(d *sites.Enforcer) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		m := s.measured
		if m == nil {
			return nil
		}
		was := m.door
		if m.door = d; d != nil && !d.Degraded() {
			m.door = nil
		}
		var turned []policy.Endpoint
		for _, e := range s.endpoints.byID {
			if e.Readiness == policy.Ready && s.meetsBy(was, e) != s.meetsBy(m.door, e) {
				turned = append(turned, e.Endpoint)
			}
		}
		if len(turned) > 0 {
			return s.tellEndpoints(b, now, turned, false)
		}
		if m.inUse {
			s.resize(b, now)
		}
		return nil
	})
}

// meetsBy reports whether first attempts go to an endpoint by the fleet's plan.
func (s *Service) meetsBy(d *sites.Enforcer, e *endpoint) bool {
	return d == nil || d.RoutesTo(e.entry.Zone, uint64(s.weightID(e)))
}

// away changes those of a list that are not met by the fleet's plan: they get nothing new, as
// if they were draining.
func (s *Service) away(list []policy.Endpoint) {
	if s.measured == nil || s.measured.door == nil {
		return
	}
	for i := range list {
		e := s.endpoints.byID[list[i].ID]
		if e != nil && list[i].Readiness == policy.Ready && !s.meetsBy(s.measured.door, e) {
			list[i].Readiness = policy.Draining
		}
	}
}

// warmth is the part of its capacity that an endpoint is sure to have, as the module has it.
func (s *Service) warmth(e *endpoint) float64 {
	cold, least, age := s.settled.policy.WarmupTime, s.settled.policy.StartCapacity, s.now()-e.Started
	if e.Started <= 0 || age >= cold {
		return 1
	}
	return least + (1-least)*max(0, age.Seconds()/cold.Seconds())
}

// SiteDemand names the sums of what came to the service's door, and tells what a request of each
// class is worth.
func (s *Service) SiteDemand() (weights.ID, map[weights.Class]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	worth := map[weights.Class]float64{}
	for _, p := range s.settled.classes {
		worth[weights.NewClass(s.name, p.name)] = p.rules.Worth
	}
	return weights.AdmissionID(s.name), worth
}

// warm reports whether an endpoint had met a key, and notes that it has now.
func (m *measured) warm(key string, endpoint policy.EndpointID, how weights.Outcome) bool {
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
	return weights.NewID(s.name, e.name, time.Duration(e.entry.StartedMS)*time.Millisecond)
}

// TakeObservations is what was seen of endpoints since the last call.
func (s *Service) TakeObservations() (all []weights.Stats) {
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
		*sums = weights.Stats{ID: sums.ID}
	}
	m.asked.ID = weights.AdmissionID(s.name)
	all = append(all, m.asked)
	m.asked = weights.Stats{}
	return all
}

// WeightEndpoints are the endpoints of the list, for the fleet's weights.
func (s *Service) WeightEndpoints() (all []weights.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := fnv.New32a()
	h.Write([]byte(s.name))
	for _, e := range s.endpoints.byID {
		ready := e.Readiness == policy.Ready
		all = append(all, weights.Endpoint{ID: s.weightID(e), Kind: h.Sum32() + uint32(e.Kind), Nominal: e.NominalSize, Site: e.entry.Zone, Ready: ready, Warmth: s.warmth(e)})
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
	learnt.ApplyMeasuredSizes(now, b, func(id policy.EndpointID) (int, float64) {
		e := s.endpoints.byID[id]
		if e == nil { // something is out on it yet
			return 0, 0
		}
		return e.Kind, e.NominalSize
	}, func(id policy.EndpointID) (float64, bool) {
		e := s.endpoints.byID[id]
		if e == nil || !m.inUse {
			return 0, false
		}
		factor, known := m.factors[s.weightID(e)]
		if !known {
			factor = 1
		}
		if m.door != nil {
			factor *= m.door.Factor(e.entry.Zone)
		}
		if e.NominalSize <= 0 { // it is not told
			return factor, true
		}
		return factor * e.NominalSize, true
	})
}
