package core

import (
	"sync/atomic"
	"time"

	"spokegw/internal/permit"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// listStatus is the current status of an endpoint in the list, for attempts that were decided
// earlier. It is written under the service's mutex and read without it.
type listStatus struct {
	current atomic.Uint32 // a permit.EndpointStatus
	since   atomic.Int64  // when it stopped being active, by the service's clock; removal of a draining endpoint does not change it
}

var endpointStatuses = map[policy.Readiness]permit.EndpointStatus{policy.Ready: permit.Active, policy.Draining: permit.Draining, policy.Removed: permit.Removed}

func (l *listStatus) set(status permit.EndpointStatus, now time.Duration) {
	previous := permit.EndpointStatus(l.current.Load())
	if previous == permit.Active && status != permit.Active {
		l.since.Store(int64(now))
	}
	l.current.Store(uint32(status))
}

// recheckAfter is the time after which the connection of the client and the status of the key
// are checked again before an attempt starts. Within a shorter time a disconnect would hardly
// be known.
const recheckAfter = 5 * time.Millisecond

// FillFacts fills in the current facts on an attempt that was decided earlier, for upstream.
func (a *attempt) FillFacts(facts *permit.Attempt) {
	facts.Endpoint = permit.Removed
	if a.status != nil {
		facts.Endpoint = permit.EndpointStatus(a.status.current.Load())
	}
	facts.MayHaveRun = a.mayHaveRun
	facts.Unsafe = a.call.req.NoRetry
	if schedule := a.call.exchange.core.stopSchedule(); schedule != nil {
		facts.AnswerBy = max(facts.Now+time.Until(schedule.AnswerBy), 1)
	}
	if time.Since(a.connectedAt) > recheckAfter {
		facts.ClientDisconnected = a.call.exchange.connectionClosed()
		if end := a.windowEnd(); !end.IsZero() {
			facts.DedupUntil = max(facts.Now+time.Until(end), 1)
		}
	}
}

// windowEnd is the end of the key's deduplication window if the attempt is a repeat, also one
// that became a repeat after its decision because another attempt of the key was sent first and
// may have run. Zero: it is not a repeat.
func (a *attempt) windowEnd() time.Time {
	c, s := a.call, a.call.exchange.service
	if !c.keyed {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch end, repeat := s.keys.DedupUntil(c.key); {
	case repeat:
		return s.at(end)
	case c.mayHaveRun > 1:
		return s.start // the key has been forgotten, so its window is over
	}
	return a.dedupUntil
}

// FirstByteWritten checks whether an attempt broke a rule by the time its first byte was
// written: the process may have stalled after the check before the write.
func (a *attempt) FirstByteWritten(after time.Duration) {
	if a.status == nil {
		return
	}
	s := a.call.exchange.service
	w := permit.WrittenAttempt{
		At: s.now(), Endpoint: permit.EndpointStatus(a.status.current.Load()), NotifiedAt: time.Duration(a.status.since.Load()),
		Grace: max(s.drainGrace, permit.MaxStall), Unsafe: a.call.req.NoRetry, MayHaveRun: a.mayHaveRun,
	}
	end := a.dedupUntil
	if time.Since(a.connectedAt) > recheckAfter {
		end = a.windowEnd()
	}
	if !end.IsZero() {
		w.DedupUntil = s.clockAt(end)
	}
	if rule, broken := w.ViolatedRule(); broken {
		s.reportViolation(rule, a, "written "+after.String()+" after the check")
	}
}

// AnswerStalled reports to the decision module that the answer has begun and pauses, for upstream.
func (a *attempt) AnswerStalled() {
	c, s := a.call, a.call.exchange.service
	s.figures.StalledAnswers.Add(1)
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		c.traceStep("stalled", "attempt %d: the answer has begun and pauses", a.n)
		return b.AnswerStalled(now, c.id, a.n)
	})
}

// reportViolation counts a broken rule and logs the request that broke it.
func (s *Service) reportViolation(rule permit.Rule, a *attempt, path string) {
	s.figures.Violations[rule].Add(1)
	s.log.Error("rule violated", "rule", rule, "path", path, "request", a.call.exchange.head.Header.Get("Req-Id"), "attempt", a.n, "endpoint", a.dest.ID)
}

// RecordUnanswered counts a request that was accepted and remains unanswered while its client
// waits.
func (x *Exchange) RecordUnanswered(path string) {
	x.service.figures.Violations[permit.LostRequest].Add(1)
	x.service.log.Error("rule violated", "rule", permit.LostRequest, "path", path, "request", x.head.Header.Get("Req-Id"))
}

// countNotSent counts an attempt that was decided but not sent, and logs the reason.
func (s *Service) countNotSent(a *attempt, reason permit.Reason) {
	if reason == permit.Allowed {
		return
	}
	s.figures.NotSent[reason].Add(1)
	a.call.traceStep("not sent", "attempt %d to %s: %v", a.n, a.dest.ID, reason)
	if reason == permit.Cancelled || reason == permit.DeadlineExceeded { // too frequent to log under overload
		return
	}
	s.log.Info("attempt not sent", "request", a.call.exchange.head.Header.Get("Req-Id"), "attempt", a.n, "endpoint", a.dest.ID, "reason", reason)
}

// endUnsent ends the attempts that have sent nothing yet to an endpoint that gets no new
// requests. They wait for a connection slot, a connection or a disk, and their requests can go
// elsewhere.
func (s *Service) endUnsent() {
	for _, c := range s.calls {
		for _, a := range c.attempts {
			if a.status != nil && permit.EndpointStatus(a.status.current.Load()) != permit.Active {
				a.cancellation.CancelUnsent(upstream.ErrEndpointUnavailable)
			}
		}
	}
}

// keyWriteFailure is the reason why an attempt is not sent whose key could not be stored on
// disk.
func (a *attempt) keyWriteFailure() permit.Reason {
	facts := permit.Attempt{Deadline: time.Until(a.deadline)}
	a.FillFacts(&facts)
	return facts.Check()
}
