package core

import (
	"sync/atomic"
	"time"

	"spokegw/internal/permit"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// listing is how an endpoint stands in the list that is known, for attempts that were decided
// before. It is written under the service's mutex and read without it.
type listing struct {
	now   atomic.Uint32 // a permit.EndpointStatus
	since atomic.Int64  // by the module's clock, when it became that; of one that drains and then goes, when it drained
}

var listings = map[policy.Readiness]permit.EndpointStatus{policy.Ready: permit.Active, policy.Draining: permit.Draining, policy.Removed: permit.Removed}

func (l *listing) becomes(next permit.EndpointStatus, now time.Duration) {
	was := permit.EndpointStatus(l.now.Load())
	if was == permit.Active && next != permit.Active {
		l.since.Store(int64(now))
	}
	l.now.Store(uint32(next))
}

// lookAgain is the time after which a client, and what became of its key, is looked for once more
// before its attempt begins. Sooner, word of its leaving would hardly be known.
const lookAgain = 5 * time.Millisecond

// FillFacts fills in what is known now of an attempt that was decided before, for upstream.
func (a *attempt) FillFacts(facts *permit.Attempt) {
	facts.Endpoint = permit.Removed
	if a.listing != nil {
		facts.Endpoint = permit.EndpointStatus(a.listing.now.Load())
	}
	facts.MayHaveRun = a.doubt
	facts.Unsafe = a.call.req.NoRetry
	if time.Since(a.there) > lookAgain {
		facts.ClientDisconnected = a.call.exchange.clientLeft()
		if by := a.windowEnds(); !by.IsZero() {
			facts.DedupUntil = max(facts.Now+time.Until(by), 1)
		}
	}
}

// windowEnds is when the key's window ends, also where the attempt has become a repeat since it
// was decided: another one of the key was sent before it, and may have run. Zero: it is none.
func (a *attempt) windowEnds() time.Time {
	c, s := a.call, a.call.exchange.service
	if !c.keyed {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch end, repeat := s.keys.DedupUntil(c.key); {
	case repeat:
		return s.at(end)
	case c.unsure > 1:
		return s.start // it is remembered no more, so its window is over
	}
	return a.repeatBy
}

// FirstByteWritten looks whether an attempt whose first byte has been written broke a rule: its process
// may have been held up since the look.
func (a *attempt) FirstByteWritten(after time.Duration) {
	if a.listing == nil {
		return
	}
	s := a.call.exchange.service
	w := permit.WrittenAttempt{
		At: s.now(), Endpoint: permit.EndpointStatus(a.listing.now.Load()), NotifiedAt: time.Duration(a.listing.since.Load()),
		Grace: max(s.grace, permit.MaxStall), Unsafe: a.call.req.NoRetry, MayHaveRun: a.doubt,
	}
	by := a.repeatBy
	if time.Since(a.there) > lookAgain {
		by = a.windowEnds()
	}
	if !by.IsZero() {
		w.DedupUntil = s.clockAt(by)
	}
	if rule, broken := w.ViolatedRule(); broken {
		s.violated(rule, a, "written "+after.String()+" after it was looked at")
	}
}

// violated counts a rule that an attempt has broken, and tells of which request.
func (s *Service) violated(rule permit.Rule, a *attempt, path string) {
	s.figures.Violations[rule].Add(1)
	s.log.Error("rule violated", "rule", rule, "path", path, "request", a.call.exchange.head.Header.Get("Req-Id"), "attempt", a.n, "endpoint", a.to.ID)
}

// RecordUnanswered counts a request that was taken and has no answer though its client waits.
func (x *Exchange) RecordUnanswered(path string) {
	x.service.figures.Violations[permit.LostRequest].Add(1)
	x.service.log.Error("rule violated", "rule", permit.LostRequest, "path", path, "request", x.head.Header.Get("Req-Id"))
}

// refused counts an attempt that was decided and not sent, and tells why.
func (s *Service) refused(a *attempt, why permit.Reason) {
	if why == permit.Allowed {
		return
	}
	s.figures.NotSent[why].Add(1)
	a.call.tell("not sent", "attempt %d to %s: %v", a.n, a.to.ID, why)
	if why == permit.Cancelled || why == permit.DeadlineExceeded { // an overload has many
		return
	}
	s.log.Info("attempt not sent", "request", a.call.exchange.head.Header.Get("Req-Id"), "attempt", a.n, "endpoint", a.to.ID, "reason", why)
}

// endUnsent ends the attempts whose endpoint is to get nothing new, and that have sent nothing
// yet: they wait for a place, a connection or a disk, and their requests can go elsewhere.
func (s *Service) endUnsent() {
	for _, c := range s.calls {
		for _, a := range c.attempts {
			if a.listing != nil && permit.EndpointStatus(a.listing.now.Load()) != permit.Active {
				a.end.CancelUnsent(upstream.ErrEndpointUnavailable)
			}
		}
	}
}

// notKept is why an attempt is not sent whose key was not kept on the disk.
func (a *attempt) notKept() permit.Reason {
	facts := permit.Attempt{Deadline: time.Until(a.until)}
	a.FillFacts(&facts)
	return facts.Check()
}
