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

// measurements are the observations of endpoints for the weights of a fleet, and the resulting
// factors. They are guarded by the service's mutex.
type measurements struct {
	settings  *resolvedSettings
	classes   []weights.Class // by slot, of settings
	sums      map[policy.EndpointID]*weights.Stats
	seenKeys  [maxSeenKeys]uint32 // keys recently served by endpoints, by a hash of both
	factors   map[weights.ID]float64
	active    bool            // factors are in force
	demand    weights.Stats   // requests that the contracts admitted
	admission *sites.Enforcer // nil: all sites are used and all requests admitted
}

// maxSeenKeys is the number of remembered keys. A key that was evicted, or sent by another
// gateway, counts as cold.
const maxSeenKeys = 4096

// EnableMeasurement has the service record observations of its endpoints. It must be called
// before the first request.
func (s *Service) EnableMeasurement() {
	s.measurements = &measurements{sums: map[policy.EndpointID]*weights.Stats{}}
}

var measuredResults = map[policy.Result]weights.Outcome{
	policy.Served: weights.Served, policy.NoAnswer: weights.TimedOut, policy.Cancelled: weights.Cancelled, policy.Declined: weights.Declined,
	policy.Errored: weights.Failed, policy.ConnectionLost: weights.Unreached, policy.NoConnection: weights.Unreached,
}

// measure records the end of an attempt. It does not allocate for an endpoint and class that it
// knows.
func (s *Service) measure(c *call, a *attempt, result upstream.Answer) {
	m, e := s.measurements, s.endpoints.byID[a.endpoint]
	ending, counted := measuredResults[result.Result]
	if m == nil || e == nil || !counted {
		return
	}
	if result.Result == policy.Cancelled && c.answeredBy > a.n {
		ending = weights.Superseded
	}
	m.loadClasses(s)
	sums := m.sums[a.endpoint]
	if sums == nil {
		if len(m.sums) >= weights.MaxEndpoints { // the sums are not collected while the lists change
			return
		}
		sums = &weights.Stats{ID: s.weightID(e)}
		m.sums[a.endpoint] = sums
	}
	q := &c.exchange.request
	sums.Record(m.classes[c.class], m.warm(q.Key, a.endpoint, ending), ending, result.Elapsed, time.Duration(q.Cost*float64(time.Second)))
}

// loadClasses updates the fleet-wide classes after a change of the settings.
func (m *measurements) loadClasses(s *Service) {
	if m.settings == s.settings {
		return
	}
	m.settings, m.classes = s.settings, m.classes[:0]
	for _, name := range s.settings.classNames() {
		m.classes = append(m.classes, weights.NewClass(s.name, name))
	}
}

// siteLostReason is the reason in the answer to a request that the fleet has no capacity for.
const siteLostReason = "a site is lost, and the others can't carry all"

// admitBySite counts a request that its contract admits. It returns the answer to one that the
// fleet's plan has no capacity for, and nil for one that proceeds.
func (s *Service) admitBySite(x *Exchange) *Answer {
	m := s.measurements
	if m == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m.loadClasses(s)
	class := m.classes[x.request.Class]
	m.demand.Record(class, x.request.Guaranteed, weights.Served, 0, time.Duration(x.request.Cost*float64(time.Second)))
	if m.admission == nil || m.admission.Admits(sites.Group{Class: uint16(class), Guaranteed: x.request.Guaranteed}, rand.Float64()) {
		return nil
	}
	return &Answer{Status: http.StatusServiceUnavailable, Reason: siteLostReason, RetryAfter: m.admission.RetryAfter(rand.Float64())}
}

// SetSiteAdmission puts the fleet's plan for its sites in force; nil: none.
func (s *Service) SetSiteAdmission(enforcer *sites.Enforcer) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		m := s.measurements
		if m == nil {
			return nil
		}
		previous := m.admission
		if m.admission = enforcer; enforcer != nil && !enforcer.Degraded() {
			m.admission = nil
		}
		var changed []policy.Endpoint
		for _, e := range s.endpoints.byID {
			if e.Readiness == policy.Ready && s.routedBy(previous, e) != s.routedBy(m.admission, e) {
				changed = append(changed, e.Endpoint)
			}
		}
		if len(changed) > 0 {
			return s.applyEndpoints(b, now, changed, false)
		}
		if m.active {
			s.resize(b, now)
		}
		return nil
	})
}

// routedBy reports whether the plan routes first attempts to an endpoint.
func (s *Service) routedBy(enforcer *sites.Enforcer, e *endpoint) bool {
	return enforcer == nil || enforcer.RoutesTo(e.entry.Zone, uint64(s.weightID(e)))
}

// markAvoided marks the endpoints of a list that the fleet's plan avoids as draining, so that
// they get no new requests.
func (s *Service) markAvoided(list []policy.Endpoint) {
	if s.measurements == nil || s.measurements.admission == nil {
		return
	}
	for i := range list {
		e := s.endpoints.byID[list[i].ID]
		if e != nil && list[i].Readiness == policy.Ready && !s.routedBy(s.measurements.admission, e) {
			list[i].Readiness = policy.Draining
		}
	}
}

// warmth is the guaranteed fraction of an endpoint's capacity, as the decision module computes
// it.
func (s *Service) warmth(e *endpoint) float64 {
	cold, minimum, age := s.settings.policy.WarmupTime, s.settings.policy.StartCapacity, s.now()-e.Started
	if e.Started <= 0 || age >= cold {
		return 1
	}
	return minimum + (1-minimum)*max(0, age.Seconds()/cold.Seconds())
}

// SiteDemand returns the id of the service's demand sums and the worth of a request of each
// class.
func (s *Service) SiteDemand() (weights.ID, map[weights.Class]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	worth := map[weights.Class]float64{}
	for _, p := range s.settings.classes {
		worth[weights.NewClass(s.name, p.name)] = p.rules.Worth
	}
	return weights.AdmissionID(s.name), worth
}

// warm reports whether an endpoint has served a key before, and records the key.
func (m *measurements) warm(key string, endpoint policy.EndpointID, ending weights.Outcome) bool {
	if key == "" || ending != weights.Served {
		return false
	}
	h := fnv.New32a()
	h.Write([]byte(key)) // does not escape
	hash := (h.Sum32() ^ uint32(endpoint)) * 0x9e3779b1
	cached := &m.seenKeys[hash%maxSeenKeys]
	warm := *cached == hash
	*cached = hash
	return warm
}

func (s *Service) weightID(e *endpoint) weights.ID {
	return weights.NewID(s.name, e.name, time.Duration(e.entry.StartedMS)*time.Millisecond)
}

// TakeObservations returns the observations of endpoints since the last call.
func (s *Service) TakeObservations() (all []weights.Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.measurements
	if m == nil {
		return nil
	}
	for id, sums := range m.sums {
		e := s.endpoints.byID[id]
		if e == nil || s.weightID(e) != sums.ID { // it is no longer listed, or another process
			delete(m.sums, id)
		}
		all = append(all, *sums)
		*sums = weights.Stats{ID: sums.ID}
	}
	m.demand.ID = weights.AdmissionID(s.name)
	all = append(all, m.demand)
	m.demand = weights.Stats{}
	return all
}

// WeightEndpoints are the listed endpoints, for the fleet's weights.
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

// SetFactors puts factors on the listed weights in force; a missing endpoint has factor 1. nil:
// there are none, and the decision module uses its own observations.
func (s *Service) SetFactors(factors map[weights.ID]float64) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		m := s.measurements
		if m == nil || factors == nil && !m.active {
			return nil
		}
		m.factors, m.active = factors, factors != nil
		s.resize(b, now)
		return nil
	})
}

// resize passes the capacities that follow from the factors to the decision module. It must be
// called after each list.
func (s *Service) resize(b *policy.Balancer, now time.Duration) {
	m := s.measurements
	learnt.ApplyMeasuredSizes(now, b, func(id policy.EndpointID) (int, float64) {
		e := s.endpoints.byID[id]
		if e == nil { // not listed any more, but with attempts in flight
			return 0, 0
		}
		return e.Kind, e.NominalSize
	}, func(id policy.EndpointID) (float64, bool) {
		e := s.endpoints.byID[id]
		if e == nil || !m.active {
			return 0, false
		}
		factor, known := m.factors[s.weightID(e)]
		if !known {
			factor = 1
		}
		if m.admission != nil {
			factor *= m.admission.Factor(e.entry.Zone)
		}
		if e.NominalSize <= 0 { // the nominal capacity is unknown
			return factor, true
		}
		return factor * e.NominalSize, true
	})
}
