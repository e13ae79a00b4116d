package core

import (
	"net/http"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// ticket is the broker's state of an admitted request.
type ticket struct {
	broker.Ticket
	broker *broker.Broker
}

// setTerms puts contracts in force. Open requests continue under the broker that admitted them.
func (s *Service) setTerms(t broker.Terms) {
	if s.broker == nil {
		s.broker = broker.New(s.now(), t)
		return
	}
	s.broker.Replace(s.now(), t)
}

// admit applies the contracts to a request. It returns the answer to a refused request, and nil
// for one that proceeds.
func (s *Service) admit(x *Exchange) *Answer {
	if s.broker == nil { // the broker is set before the first request and never removed
		return s.admitBySite(x)
	}
	if !s.limits[x.head.Front].Requests.TryAcquire(1) {
		return &Answer{Status: http.StatusServiceUnavailable, Reason: "the service has as many requests as it may hold", RetryAfter: fullRetryAfter}
	}
	refused := s.checkContract(x)
	if refused != nil {
		s.releaseRequest(x.head.Front)
		return refused
	}
	if refused = s.admitBySite(x); refused != nil {
		s.withdraw(x)
	}
	return refused
}

// SetQuotaGrant sets the portion of a team's shared call that this process may use; TeamDemand
// reports the demand for it (see broker.Broker). left returns the remaining duration of the
// grant by another clock. It is called after this service's clock is read, so a stall between
// the two readings shortens the grant and never extends it.
func (s *Service) SetQuotaGrant(team string, class int, own, grant float64, left func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broker != nil {
		now := s.now()
		s.broker.SetQuota(now, team, class, own, grant, now+left())
	}
}

// TeamDemand is the demand for a team's shared call, as a multiple of the limit times seconds.
func (s *Service) TeamDemand(team string, class int) (requests, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broker == nil {
		return 0, 0
	}
	return s.broker.Demand(team, class)
}

// fullRetryAfter is the Retry-After of a service whose request limit is reached. Its open
// requests end at their deadlines or earlier.
const fullRetryAfter = 250 * time.Millisecond

// Reasons in the answers to requests that their contract refuses.
const (
	overRate   = "over the rate of the contract"
	overShare  = "over the share of the contract, and the service has no more to spare"
	notAllowed = "no contract allows this call"
)

func (s *Service) checkContract(x *Exchange) *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportStall()
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

// withdraw refunds the charge of a request that was not received completely.
func (s *Service) withdraw(x *Exchange) {
	if x.ticket == nil {
		return
	}
	s.mu.Lock()
	x.ticket.broker.Withdraw(s.now(), &x.ticket.Ticket, false)
	s.mu.Unlock()
	s.releaseRequest(x.head.Front)
}

// releaseRequest frees the request's part of the limit on open requests.
func (s *Service) releaseRequest(front int) {
	if s.broker != nil {
		s.limits[front].Requests.Release(1)
	}
}

// mayRetry reports whether the contract allows another attempt of a call, and charges it.
func (s *Service) mayRetry(c *call) bool {
	return c.ticket == nil || len(c.attempts) == 0 || c.ticket.broker.AdmitRetry(s.now(), &c.ticket.Ticket)
}

// brokerResults maps the results of attempts to those of the broker.
var brokerResults = map[policy.Result]broker.AttemptResult{
	policy.Served: broker.Answered, policy.NoAnswer: broker.TimedOut, policy.Declined: broker.Declined,
	policy.NoConnection: broker.NotRun, policy.NotSent: broker.NotRun,
	policy.Errored: broker.Failed, policy.ConnectionLost: broker.Failed, policy.Cancelled: broker.Failed,
}

// reportEnded reports the end of an attempt to the broker.
func (s *Service) reportEnded(c *call, a *attempt, result upstream.Answer) {
	if c.ticket != nil {
		s.reportStall()
		aim := s.settings.slots[c.class].rules.Aim
		c.ticket.broker.AttemptEnded(s.now(), &c.ticket.Ticket, a.n > 0, brokerResults[result.Result], result.Elapsed, aim)
		s.logShortage()
	}
}

// shortageLogInterval is the minimum time between two log lines on capacity: in a surge the
// state may change several times a second.
const shortageLogInterval = 5 * time.Second

// logShortage logs when the broker begins and stops enforcing shares.
func (s *Service) logShortage() {
	shortage, tight := s.broker.Shortage()
	now := s.now()
	if tight == s.shortageLogged || now-s.shortageLoggedAt < shortageLogInterval {
		return
	}
	s.shortageLogged, s.shortageLoggedAt = tight, now
	if tight {
		s.log.Warn("too little capacity: shares are enforced", "because", shortage.Cause, "work_per_second", shortage.AdmitRate,
			"estimate", shortage.Estimate, "attempts", shortage.InFlight, "work_out", shortage.InFlightWork,
			"out_since_a_hold_up", shortage.WorkBeforeStall, "usual_answer", shortage.BaseLatency)
	} else {
		s.log.Info("enough capacity again")
	}
}

// refundUnsent refunds the charge of a call that ends without any attempt.
func (s *Service) refundUnsent(c *call) {
	if c != nil && c.ticket != nil && !c.done && len(c.attempts) == 0 {
		c.ticket.broker.Withdraw(s.now(), &c.ticket.Ticket, true)
	}
}
