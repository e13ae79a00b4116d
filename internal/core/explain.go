package core

import (
	"cmp"
	"net/http"
	"time"

	"spokegw/internal/broker"
	"spokegw/policy"
)

// Explanation states how a request would be handled now, and why. Nothing is sent or charged.
type Explanation struct {
	Service  string        `json:"service,omitempty"`
	Class    string        `json:"class,omitempty"`
	Effect   string        `json:"effect,omitempty"`
	Aim      time.Duration `json:"aim_ns,omitempty"`
	Deadline time.Duration `json:"deadline_ns,omitempty"`

	Status int           `json:"status,omitempty"` // of the refusal; 0: the request would be attempted
	Reason string        `json:"reason,omitempty"`
	Retry  time.Duration `json:"retry_ns,omitempty"`

	Team     string `json:"team,omitempty"`
	Contract string `json:"contract"` // verdict of the contract
	Key      string `json:"key,omitempty"`

	Moves      []MoveAssignment `json:"moves,omitempty"`
	Candidates []Candidate      `json:"candidates,omitempty"`
}

// MoveAssignment is the pool of a move that a request is routed to.
type MoveAssignment struct {
	Move  string  `json:"move"`
	Pool  string  `json:"pool"`  // old or new; by chance for a request without a key
	Share float64 `json:"share"` // of the new pool
}

// Candidate is an endpoint of the service.
type Candidate struct {
	ID    string  `json:"id"`
	Part  float64 `json:"part"`             // of the requests that may go anywhere
	Not   string  `json:"not,omitempty"`    // why the request may not go there, "": it may
	Avoid string  `json:"avoids,omitempty"` // why it gets hardly any requests or none; "": it is not avoided
}

var effectNames = map[policy.Effect]string{policy.Idempotent: "safe", policy.Keyed: "keyed", policy.Unsafe: "unsafe"}

// Explain states how a request with this head would be handled.
func (c *Core) Explain(h *Head) Explanation {
	t := c.table.Load()
	m, class, q, refused := t.read(h)
	e := Explanation{Team: h.Header.Get("Req-Owner"), Contract: "none is in force"}
	if m != nil {
		e.Service, e.Class, e.Effect = cmp.Or(m.name, "-"), class.name, effectNames[class.rules.Effect]
		e.Aim, e.Deadline = class.rules.Aim, class.rules.Deadline
	}
	if refused != nil {
		e.Status, e.Reason = refused.Status, refused.Reason
		return e
	}
	var key string
	var hash uint64
	if class.rules.Effect == policy.Keyed {
		key = h.Header.Get("Idempotency-Key")
		hash = c.ids.hash(e.Team, key)
	}
	m.Service.explain(&e, q, key, hash)
	return e
}

func (s *Service) explain(e *Explanation, q policy.Request, key string, hash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.explainContract(e, q.Class)
	prior, known := s.keys.Find(s.now(), hash)
	known = known && key != ""
	mask := prior.Mask()
	switch {
	case known:
		e.Key = "it was sent before and may have run: only endpoints that deduplicate a repeat"
	case key != "":
		e.Key = "it is new"
	}
	if !known {
		mask = s.pools.mask(key)
	}
	for i, move := range s.pools.moves {
		if move == nil {
			continue
		}
		pool := "old"
		switch {
		case key == "" && move.Share() > 0 && move.Share() < 1:
			pool = "by chance"
		case mask>>i&1 != 0:
			pool = "new"
		}
		e.Moves = append(e.Moves, MoveAssignment{move.Name, pool, move.Share()})
	}
	for _, m := range s.memberList() {
		ep := s.endpoints.byName[m.ID]
		c := Candidate{ID: m.ID, Part: m.Share, Avoid: m.AvoidedReason}
		switch {
		case ep.Readiness != policy.Ready:
			c.Not = m.AvoidedReason
		case known && !prior.Allows(s.now(), ep.Endpoint):
			c.Not = "a repeat of the key is not deduplicated there"
		case key != "" && s.pools.active && s.pools.usable[mask] && !mask.Allows(ep.pools):
			c.Not = "it is in the other pool of a move"
		}
		e.Candidates = append(e.Candidates, c)
	}
}

// explainContract asks the contracts and immediately refunds the charge.
func (s *Service) explainContract(e *Explanation, class int) {
	if s.broker == nil {
		return
	}
	ticket, v := s.broker.Admit(s.now(), e.Team, class, 0)
	switch v.Outcome {
	case broker.Admitted:
		s.broker.Withdraw(s.now(), &ticket, false)
		e.Contract = "admitted"
		if v.Guaranteed {
			e.Contract = "admitted, and guaranteed: it is not refused in favour of others"
		}
	case broker.OverRate:
		e.Status, e.Reason, e.Retry, e.Contract = http.StatusTooManyRequests, overRate, v.RetryAfter, "over its rate"
	case broker.OverShare:
		e.Status, e.Reason, e.Retry, e.Contract = http.StatusServiceUnavailable, overShare, v.RetryAfter, "over its share, and there is not enough capacity for all"
	default:
		e.Status, e.Reason, e.Contract = http.StatusForbidden, notAllowed, "does not allow the call"
	}
}

// TeamStanding is the usage of a service by a team.
type TeamStanding struct {
	Service string      `json:"service"`
	Team    string      `json:"team"` // "": all teams without a contract
	Retries float64     `json:"retries"`
	Queued  float64     `json:"queued_s"` // seconds of work beyond its share
	Calls   []CallUsage `json:"calls"`
}

// CallUsage states how far a call is ahead of its rate. Its burst is used up when that is as
// long as the burst takes at the rate.
type CallUsage struct {
	Class    string        `json:"class"` // the first class of the call
	Requests time.Duration `json:"requests_ns"`
	Work     time.Duration `json:"work_ns"`
}

// Teams returns the usage of the service by the teams; tight reports that shares are enforced
// because the capacity is insufficient.
func (s *Service) Teams() (all []TeamStanding, tight bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broker == nil {
		return nil, false
	}
	names, st := s.settings.classNames(), s.broker.Snapshot(s.now())
	for _, t := range st.Teams {
		row := TeamStanding{Service: cmp.Or(s.name, "-"), Team: t.Team, Retries: t.Tokens, Queued: t.Queued}
		for _, c := range t.Calls {
			a := CallUsage{Requests: c.Requests, Work: c.Work}
			if c.Class >= 0 && c.Class < len(names) {
				a.Class = names[c.Class]
			}
			row.Calls = append(row.Calls, a)
		}
		all = append(all, row)
	}
	return all, st.Tight
}
