package core

import (
	"time"

	"spokegw/internal/discovery"
	"spokegw/internal/figures"
	"spokegw/internal/learnt"
	"spokegw/policy"
)

// UpdateEndpoints applies entries from discovery: the full list, or only changes.
func (s *Service) UpdateEndpoints(entries []discovery.Entry, full bool) {
	s.UpdateEndpointsAfter(entries, full, 0)
}

// UpdateEndpointsAfter is UpdateEndpoints with the age of the previous list; 0: unknown.
func (s *Service) UpdateEndpointsAfter(entries []discovery.Entry, full bool, since time.Duration) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		changed := s.endpoints.apply(now, since, entries, full, s.pool.RemoveEndpoint)
		s.endUnsent()
		s.refreshPools()
		return s.applyEndpoints(b, now, changed, full)
	})
}

// applyEndpoints passes a list or changes to the decision module, with the capacities in force.
func (s *Service) applyEndpoints(b *policy.Balancer, now time.Duration, changed []policy.Endpoint, full bool) []policy.Action {
	s.markAvoided(changed)
	actions := b.Endpoints(now, changed, full)
	if s.measurements != nil && s.measurements.active {
		s.resize(b, now)
	}
	return actions
}

// DiscoveryEntries is the list as received from discovery.
func (s *Service) DiscoveryEntries() []discovery.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]discovery.Entry, 0, len(s.endpoints.byName))
	for _, e := range s.endpoints.byName {
		all = append(all, e.entry)
	}
	return all
}

// CountMembers counts the listed endpoints, and those of them that the decision module avoids.
func (s *Service) CountMembers() (m figures.Members) {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := learnt.EndpointStatuses(s.now(), s.balancer)
	for id, e := range s.endpoints.byID {
		m.Listed++
		if e.Readiness != policy.Ready || statuses[id].Avoided() {
			m.Unavailable++
		}
	}
	return m
}

// DiscoveryLost reports that a call to discovery failed or is overdue, when the list was last
// known to be current (zero: never), and whether discovery may be overloaded with calls.
func (s *Service) DiscoveryLost(current time.Time, overloaded bool) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		var at time.Duration
		if !current.IsZero() {
			at = now - time.Since(current)
		}
		return b.DiscoveryLost(now, at, overloaded)
	})
}
