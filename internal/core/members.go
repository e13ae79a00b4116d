package core

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"spokegw/internal/discovery"
	"spokegw/internal/learnt"
	"spokegw/policy"
)

// Member is an endpoint as operators see it.
type Member struct {
	ID, Addr, Kind, State string
	Disabled              bool    // by an operator
	AvoidedReason         string  // "": it is not avoided
	Share                 float64 // of the requests that it is drawn for
	learnt.EndpointStatus
}

// MemberList returns every listed endpoint, ordered by id.
func (s *Service) MemberList() (all []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memberList()
}

func (s *Service) memberList() (all []Member) {
	const epsilon = math.SmallestNonzeroFloat64
	statuses, sum := learnt.EndpointStatuses(s.now(), s.balancer), epsilon
	for _, st := range statuses {
		sum += st.SelectionWeight
	}
	for id, e := range s.endpoints.byID {
		st := statuses[id]
		m := Member{ID: e.name, Addr: e.addr, Kind: e.entry.Kind, State: e.entry.State, Disabled: s.endpoints.disabled[e.name], Share: st.SelectionWeight / sum, EndpointStatus: st}
		switch {
		case m.Disabled:
			m.AvoidedReason = "disabled"
		case e.Readiness != policy.Ready:
			m.AvoidedReason = "leaving"
		case st.Avoided():
			m.AvoidedReason = "failed"
		case m.Share == 0 && sum > epsilon: // before the first draw any endpoint may be chosen
			m.AvoidedReason = "no part"
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Disable stops new requests to an endpoint, whatever its state in discovery, until Enable is
// called or the endpoint is removed. Open requests continue. It is an error if the endpoint is
// not listed.
func (s *Service) Disable(id string) error { return s.setDisabled(id, true) }

// Enable reverts Disable.
func (s *Service) Enable(id string) error { return s.setDisabled(id, false) }

func (s *Service) setDisabled(id string, disabled bool) (err error) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		e := s.endpoints.byName[id]
		if e == nil {
			err = fmt.Errorf("no endpoint %.60q is in the list", id)
			return nil
		}
		if disabled == s.endpoints.disabled[id] {
			return nil
		}
		if disabled {
			s.endpoints.disabled[id] = true
		} else {
			delete(s.endpoints.disabled, id)
		}
		s.log.Info("endpoint by an operator", "id", id, "disabled", disabled)
		changed := s.endpoints.apply(now, 0, []discovery.Entry{e.entry}, false, s.pool.RemoveEndpoint)
		s.endUnsent()
		s.refreshPools()
		return s.applyEndpoints(b, now, changed, false)
	})
	return err
}
