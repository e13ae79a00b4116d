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

// Member is an endpoint as an operator is shown it.
type Member struct {
	ID, Addr, Kind, State string
	Disabled              bool    // by an operator
	AvoidedReason         string  // it is avoided; "": it is not
	Share                 float64 // of the requests that it is drawn for
	learnt.EndpointStatus
}

// MemberList is every endpoint in the list, by id.
func (s *Service) MemberList() (all []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memberList()
}

func (s *Service) memberList() (all []Member) {
	const none = math.SmallestNonzeroFloat64
	standings, sum := learnt.EndpointStatuses(s.now(), s.balancer), none
	for _, st := range standings {
		sum += st.SelectionWeight
	}
	for id, e := range s.endpoints.byID {
		st := standings[id]
		m := Member{ID: e.name, Addr: e.addr, Kind: e.entry.Kind, State: e.entry.State, Disabled: s.endpoints.disabled[e.name], Share: st.SelectionWeight / sum, EndpointStatus: st}
		switch {
		case m.Disabled:
			m.AvoidedReason = "disabled"
		case e.Readiness != policy.Ready:
			m.AvoidedReason = "leaving"
		case st.Avoided():
			m.AvoidedReason = "failed"
		case m.Share == 0 && sum > none: // else nothing was drawn yet, and any may be
			m.AvoidedReason = "no part"
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Disable has an endpoint get nothing new, whatever discovery says of it, until
// Enable or its end. What it has goes on. It is an error if it is not in the list.
func (s *Service) Disable(id string) error { return s.setDisabled(id, true) }

// Enable takes that back.
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
		told := s.endpoints.apply(now, 0, []discovery.Entry{e.entry}, false, s.pool.RemoveEndpoint)
		s.endUnsent()
		s.endpointsMoved()
		return s.tellEndpoints(b, now, told, false)
	})
	return err
}
