package core

import (
	"time"

	"spokegw/internal/discovery"
	"spokegw/internal/figures"
	"spokegw/internal/learnt"
	"spokegw/policy"
)

// UpdateEndpoints takes entries from discovery: the whole list, or only changes.
func (s *Service) UpdateEndpoints(entries []discovery.Entry, full bool) {
	s.UpdateEndpointsAfter(entries, full, 0)
}

// UpdateEndpointsAfter is UpdateEndpoints where it is known how long ago the list before was current; 0: it is not.
func (s *Service) UpdateEndpointsAfter(entries []discovery.Entry, full bool, since time.Duration) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		told := s.endpoints.apply(now, since, entries, full, s.pool.RemoveEndpoint)
		s.endUnsent()
		s.endpointsMoved()
		return s.tellEndpoints(b, now, told, full)
	})
}

// tellEndpoints tells the module of a list, or changes, with the sizes that are in force.
func (s *Service) tellEndpoints(b *policy.Balancer, now time.Duration, told []policy.Endpoint, full bool) []policy.Action {
	s.away(told)
	actions := b.Endpoints(now, told, full)
	if s.measured != nil && s.measured.inUse {
		s.resize(b, now)
	}
	return actions
}

// DiscoveryEntries is the list as discovery has told it.
func (s *Service) DiscoveryEntries() []discovery.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]discovery.Entry, 0, len(s.endpoints.byName))
	for _, e := range s.endpoints.byName {
		all = append(all, e.entry)
	}
	return all
}

// CountMembers counts the endpoints as the registry lists them, and of them those
// that the module avoids for now.
func (s *Service) CountMembers() (m figures.Members) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standings := learnt.EndpointStatuses(s.now(), s.balancer)
	for id, e := range s.endpoints.byID {
		m.Listed++
		if e.Readiness != policy.Ready || standings[id].Avoided() {
			m.Unavailable++
		}
	}
	return m
}

// DiscoveryLost tells that a call to discovery failed or is late, when the list was last known
// to be current (zero: it never was), and whether discovery may have too many calls.
func (s *Service) DiscoveryLost(current time.Time, crowded bool) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		var at time.Duration
		if !current.IsZero() {
			at = now - time.Since(current)
		}
		return b.DiscoveryLost(now, at, crowded)
	})
}
