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
	now   atomic.Uint32 // a permit.Listing
	since atomic.Int64  // by the module's clock, when it became that; of one that drains and then goes, when it drained
}

var listings = map[policy.Readiness]permit.Listing{policy.Ready: permit.Active, policy.Draining: permit.Draining, policy.Gone: permit.Gone}

func (l *listing) becomes(next permit.Listing, now time.Duration) {
	was := permit.Listing(l.now.Load())
	if was == permit.Active && next != permit.Active {
		l.since.Store(int64(now))
	}
	l.now.Store(uint32(next))
}

// lookAgain is the time after which a client, and what became of its key, is looked for once more
// before its attempt begins. Sooner, word of its leaving would hardly be known.
const lookAgain = 5 * time.Millisecond

// Look fills in what is known now of an attempt that was decided before, for upstream.
func (a *attempt) Look(facts *permit.Attempt) {
	facts.Endpoint = permit.Gone
	if a.listing != nil {
		facts.Endpoint = permit.Listing(a.listing.now.Load())
	}
	facts.MayHaveRun = a.doubt
	facts.Unsafe = a.call.req.Once
	if time.Since(a.there) > lookAgain {
		facts.ClientLeft = a.call.exchange.clientLeft()
		if by := a.windowEnds(); !by.IsZero() {
			facts.RepeatBy = max(facts.Now+time.Until(by), 1)
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
	switch end, repeat := s.keys.RepeatBy(c.key); {
	case repeat:
		return s.at(end)
	case c.unsure > 1:
		return s.start // it is remembered no more, so its window is over
	}
	return a.repeatBy
}

// Wrote looks whether an attempt whose first byte has been written broke a rule: its process
// may have been held up since the look.
func (a *attempt) Wrote(after time.Duration) {
	if a.listing == nil {
		return
	}
	s := a.call.exchange.service
	w := permit.Written{
		At: s.now(), Endpoint: permit.Listing(a.listing.now.Load()), Since: time.Duration(a.listing.since.Load()),
		Grace: max(s.grace, permit.HoldUp), Unsafe: a.call.req.Once, MayHaveRun: a.doubt,
	}
	by := a.repeatBy
	if time.Since(a.there) > lookAgain {
		by = a.windowEnds()
	}
	if !by.IsZero() {
		w.RepeatBy = s.clockAt(by)
	}
	if rule, broken := w.Violates(); broken {
		s.violated(rule, a, "written "+after.String()+" after it was looked at")
	}
}

// violated counts a rule that an attempt has broken, and tells of which request.
func (s *Service) violated(rule permit.Rule, a *attempt, path string) {
	s.figures.Violations[rule].Add(1)
	s.log.Error("rule violated", "rule", rule, "path", path, "request", a.call.exchange.head.Header.Get("Req-Id"), "attempt", a.n, "endpoint", a.to.ID)
}

// Lost counts a request that was taken and has no answer though its client waits.
func (x *Exchange) Lost(path string) {
	x.service.figures.Violations[permit.Lost].Add(1)
	x.service.log.Error("rule violated", "rule", permit.Lost, "path", path, "request", x.head.Header.Get("Req-Id"))
}

// refused counts an attempt that was decided and not sent, and tells why.
func (s *Service) refused(a *attempt, why permit.Reason) {
	if why == permit.Allowed {
		return
	}
	s.figures.NotSent[why].Add(1)
	a.call.tell("not sent", "attempt %d to %s: %v", a.n, a.to.ID, why)
	if why == permit.CalledOff || why == permit.DeadlineOver { // an overload has many
		return
	}
	s.log.Info("attempt not sent", "request", a.call.exchange.head.Header.Get("Req-Id"), "attempt", a.n, "endpoint", a.to.ID, "reason", why)
}

// endUnsent ends the attempts whose endpoint is to get nothing new, and that have sent nothing
// yet: they wait for a place, a connection or a disk, and their requests can go elsewhere.
func (s *Service) endUnsent() {
	for _, c := range s.calls {
		for _, a := range c.attempts {
			if a.listing != nil && permit.Listing(a.listing.now.Load()) != permit.Active {
				a.end.EndUnsent(upstream.ErrNotThere)
			}
		}
	}
}

// notKept is why an attempt is not sent whose key was not kept on the disk.
func (a *attempt) notKept() permit.Reason {
	facts := permit.Attempt{Deadline: time.Until(a.until)}
	a.Look(&facts)
	return facts.Check()
}
