package core

import (
	"net/http"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// ticket is a request's standing with the broker.
type ticket struct {
	broker.Ticket
	by *broker.Broker
}

// setTerms puts contracts in force. Requests under way go on under theirs.
func (s *Service) setTerms(t broker.Terms) {
	if s.broker == nil {
		s.broker = broker.New(s.now(), t)
		return
	}
	s.broker.Replace(s.now(), t)
}

// admit judges a request by the contracts; it returns the answer to one that is
// refused, and nil for one that goes on.
func (s *Service) admit(x *Exchange) *Answer {
	if s.broker == nil { // set before the first request, and kept
		return s.letIn(x)
	}
	if !s.rooms[x.head.Front].Requests.TryAcquire(1) {
		return &Answer{Status: http.StatusServiceUnavailable, Reason: "the service has as many requests as it may hold", RetryAfter: placeRetry}
	}
	refused := s.judge(x)
	if refused != nil {
		s.leave(x.head.Front)
		return refused
	}
	if refused = s.letIn(x); refused != nil {
		s.withdraw(x)
	}
	return refused
}

// SetQuotaGrant sets which part of a team's shared call this process may use, and TeamDemand tells
// what was asked for of it (broker.Broker). left is how long the grant lasts yet, by
// another clock; it is asked after this one's, so that a process that stands still
// between the two has less of it and not more.
func (s *Service) SetQuotaGrant(team string, class int, own, grant float64, left func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broker != nil {
		now := s.now()
		s.broker.SetQuota(now, team, class, own, grant, now+left())
	}
}

// TeamDemand is what was asked for of a team's shared call, in limits times seconds.
func (s *Service) TeamDemand(team string, class int) (requests, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broker == nil {
		return 0, 0
	}
	return s.broker.Demand(team, class)
}

// placeRetry is when to come back to a service that holds all the requests it
// may: they end with their deadlines, or before.
const placeRetry = 250 * time.Millisecond

// What clients read who are refused by their contract.
const (
	overRate   = "over the rate of the contract"
	overShare  = "over the share of the contract, and the service has no more to spare"
	notAllowed = "no contract allows this call"
)

func (s *Service) judge(x *Exchange) *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteStall()
	t, v := s.broker.Admit(s.now(), x.head.Header.Get("Req-Owner"), x.request.Class, x.request.Cost)
	switch v.Outcome {
	case broker.Admitted:
		x.ticket, x.request.Guaranteed = &ticket{t, s.broker}, v.Guaranteed
		return nil
	case broker.OverRate:
		return &Answer{Status: http.StatusTooManyRequests, Reason: overRate, RetryAfter: v.RetryAfter}
	case broker.OverShare:
		return &Answer{Status: http.StatusServiceUnavailable, Reason: overShare, RetryAfter: v.RetryAfter}
	}
	return &Answer{Status: http.StatusForbidden, Reason: notAllowed}
}

// withdraw takes back a request that did not come whole.
func (s *Service) withdraw(x *Exchange) {
	if x.ticket == nil {
		return
	}
	s.mu.Lock()
	x.ticket.by.Withdraw(s.now(), &x.ticket.Ticket, false)
	s.mu.Unlock()
	s.leave(x.head.Front)
}

// leave gives a request's place back.
func (s *Service) leave(front int) {
	if s.broker != nil {
		s.rooms[front].Requests.Release(1)
	}
}

// mayRepeat asks the contract of a call for one more attempt.
func (s *Service) mayRepeat(c *call) bool {
	return c.ticket == nil || len(c.attempts) == 0 || c.ticket.by.AdmitRetry(s.now(), &c.ticket.Ticket)
}

// endings are what attempts' results are to the broker.
var endings = map[policy.Result]broker.AttemptResult{
	policy.Served: broker.Answered, policy.NoAnswer: broker.TimedOut, policy.Declined: broker.Declined,
	policy.NoConnection: broker.NotRun, policy.NotSent: broker.NotRun,
	policy.Errored: broker.Failed, policy.ConnectionLost: broker.Failed, policy.Cancelled: broker.Failed,
}

// settle tells the broker how an attempt ended.
func (s *Service) settle(c *call, a *attempt, result upstream.Answer) {
	if c.ticket != nil {
		s.noteStall()
		aim := s.settled.places[c.class].rules.Aim
		c.ticket.by.AttemptEnded(s.now(), &c.ticket.Ticket, a.n > 0, endings[result.Result], result.Elapsed, aim)
		s.tellTight()
	}
}

// tightPause is the least time between two words on whether there is too little
// capacity: in a surge it may come and go several times a second.
const tightPause = 5 * time.Second

// tellTight logs when shares begin to be enforced, and when they no longer are.
func (s *Service) tellTight() {
	shortage, tight := s.broker.Shortage()
	now := s.now()
	if tight == s.tight || now-s.toldTight < tightPause {
		return
	}
	s.tight, s.toldTight = tight, now
	if tight {
		s.log.Warn("too little capacity: shares are enforced", "because", shortage.Cause, "work_per_second", shortage.AdmitRate,
			"estimate", shortage.Estimate, "attempts", shortage.InFlight, "work_out", shortage.InFlightWork,
			"out_since_a_hold_up", shortage.WorkBeforeStall, "usual_answer", shortage.BaseLatency)
	} else {
		s.log.Info("enough capacity again")
	}
}

// unsent gives back the charge of a call that ends with no attempt made.
func (s *Service) unsent(c *call) {
	if c != nil && c.ticket != nil && !c.over && len(c.attempts) == 0 {
		c.ticket.by.Withdraw(s.now(), &c.ticket.Ticket, true)
	}
}
