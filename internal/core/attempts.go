package core

import (
	"net/http"
	"time"

	"spokegw/internal/figures"
	"spokegw/internal/keyed"
	"spokegw/internal/permit"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// attempt is one attempt of a request at one endpoint.
type attempt struct {
	call         *call
	n            int
	endpoint     policy.EndpointID
	cancellation upstream.Cancellation
	sent         bool            // it has been recorded as sent
	result       upstream.Answer // the result that answered the request
	ownResult    upstream.Answer // result of an attempt that the request's own goroutine made
	dest         upstream.Endpoint
	keyNote      *keyed.Note
	zone, cell   int         // of the endpoint
	decided      time.Time   // time of the decision, or slightly earlier
	connectedAt  time.Time   // when the client was last known to be connected
	deadline     time.Time   // deadline of the attempt; fixed at the decision, since time may pass before the attempt starts
	dedupUntil   time.Time   // end of the deduplication window; zero: the attempt is not a repeat
	status       *listStatus // of the endpoint; nil: it is in no list
	mayHaveRun   bool        // an earlier attempt might have run when this one was decided
}

func (s *Service) send(action policy.Send) {
	c := s.calls[action.Request]
	if c == nil {
		return
	}
	a := &c.firstAttempt
	if len(c.attempts) > 0 {
		a = new(attempt)
	}
	a.call, a.n, a.endpoint = c, len(c.attempts), action.Endpoint
	if a.n > 0 && !c.done && c.exchange.connectionClosed() {
		c.traceStep("not sent", "attempt %d: the client has closed its connection", a.n)
		s.disconnected(c, figures.SeenBeforeAttempt)
		c.attempts, s.denied = append(c.attempts, a), append(s.denied, a)
		return
	}
	allowed := !c.req.Stream.Consumed() && !c.req.Stream.Overdue() && s.mayRetry(c)
	if a.mayHaveRun = c.mayHaveRun > 0; a.mayHaveRun && s.settings.slots[c.class].rules.Effect == policy.Unsafe {
		s.reportViolation(permit.DuplicateEffect, a, "decided") // and is not sent
		allowed = false
	}
	c.attempts = append(c.attempts, a)
	if !allowed {
		c.traceStep("not sent", "attempt %d: the contract allows no retry, or the body can't be sent again or has no time left", a.n)
		s.denied = append(s.denied, a)
		return
	}
	c.mayHaveRun++
	c.inFlight++
	a.decided = time.Now()
	var dest upstream.Endpoint // zero value for an unknown endpoint, which fails to connect
	var note *keyed.Note
	if ep := s.endpoints.byID[action.Endpoint]; ep != nil {
		dest = ep.upstream()
		a.sent = true
		if ep.firstSent == 0 {
			ep.firstSent = s.now()
		}
		a.status = ep.status
		note, a.dedupUntil = s.recordSent(c, ep)
		a.zone, a.cell = ep.Zone, ep.Cell
		c.trace.recordSent(a.n, ep.name)
		if c.trace != nil { // avoids allocating the arguments of an untraced call
			c.traceStep("sent", "attempt %d to %s, timeout %v", a.n, ep.name, action.Timeout.Round(time.Millisecond))
		}
	}
	a.dest, a.keyNote, a.deadline = dest, note, a.decided.Add(action.Timeout)
	if limit := c.exchange.core.stopSchedule().Limit(c.deadline); a.deadline.After(limit) { // the process may have stalled since the decision module read its clock
		a.deadline = limit
	}
	if a.connectedAt = c.exchange.opened; a.n > 0 { // checked above for later attempts
		a.connectedAt = a.decided
	}
	if c.onOwnGoroutine && c.ownNext == nil {
		c.ownNext = a
		return
	}
	go s.runAttempt(a, false)
}

// runAttempt makes an attempt. ownGoroutine states that the request's own goroutine runs it;
// next is then the attempt that this goroutine makes after it, or nil.
func (s *Service) runAttempt(a *attempt, ownGoroutine bool) (next *attempt) {
	// If the attempt panics, the request still has to be completed.
	c, result := a.call, upstream.Answer{Result: policy.ConnectionLost}
	var finish func() upstream.Answer
	defer func() {
		if finish == nil {
			next = s.finishAttempt(c, a, result, ownGoroutine)
			return
		}
		// A long answer has begun. The request's own goroutine passes it on; another goroutine
		// waits for its end.
		go func() {
			result := upstream.Answer{Result: policy.ConnectionLost}
			defer func() { s.finishAttempt(c, a, result, false) }()
			defer logPanic("attempt")
			result = finish()
		}()
	}()
	defer logPanic("attempt")
	if s.writeKey(a) != nil {
		result = upstream.Answer{Result: policy.NotSent, Refused: a.keyWriteFailure()} // after a crash no record of the attempt would exist
		return nil
	}
	if !s.claim(a) {
		result = upstream.Answer{Result: policy.NotSent, Refused: permit.EffectUncertain} // another process may have sent the key elsewhere
		return nil
	}
	result, finish = s.pool.Begin(&a.cancellation, a.dest, c.req, upstream.Constraints{Deadline: a.deadline, DedupUntil: a.dedupUntil, Gate: a}, a)
	return nil
}

// AcceptStream accepts the beginning of a long answer, for upstream.
func (a *attempt) AcceptStream(beginning upstream.Answer) bool {
	return a.call.exchange.service.streamBegun(a.call, a, beginning)
}

// streamBegun hands a long answer to the client as it begins, and reports whether the answer is
// still wanted. From then on no other attempt of the request is sent.
func (s *Service) streamBegun(c *call, a *attempt, beginning upstream.Answer) (wanted bool) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		if c.done {
			return nil
		}
		wanted, c.answeredBy = true, a.n
		c.end()
		a.result = beginning
		c.answer <- a.answer()
		return b.StreamStarted(now, c.id, a.n)
	})
	return wanted
}

// answer is the answer of the request, built from the result of the attempt.
func (a *attempt) answer() Answer {
	r := &a.result
	return Answer{Status: http.StatusOK, Header: r.Header, Body: r.Body, Length: r.Length, stream: r.Stream, owner: r}
}

// finishAttempt handles the end of an attempt and returns the next attempt for the same
// goroutine, or nil.
func (s *Service) finishAttempt(c *call, a *attempt, result upstream.Answer, ownGoroutine bool) (next *attempt) {
	if ownGoroutine {
		a.ownResult = result
		return s.eventOf(c, (*Service).ownAttemptEnded)
	}
	defer logPanic("event")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptEnded(a, result)
	return nil
}

// ownAttemptEnded is attemptEnded for the attempt that the request's own goroutine made.
func (s *Service) ownAttemptEnded(c *call) {
	a := c.ownLast
	s.attemptEnded(a, a.ownResult)
}

func (s *Service) attemptEnded(a *attempt, result upstream.Answer) {
	c := a.call
	if result.Result == policy.Served && !c.done {
		c.answeredBy = a.n
		c.end()
		a.result = result
		c.answer <- a.answer()
	} else {
		result.Free()
	}
	if a.sent {
		s.recordEnded(c, result.Result)
	}
	if s.pools.active {
		s.observe(c, a, result)
	}
	if result.Result.NeverRan() {
		c.mayHaveRun--
	}
	c.traceEnded(a, result)
	s.logFailure(a, &result)
	s.countNotSent(a, result.Refused)
	reported := s.attributed(a, result)
	s.measure(c, a, reported)
	s.reportEnded(c, a, reported)
	c.timedOut = result.Result == policy.NoAnswer
	c.inFlight--
	s.removeIfDone(c)
	s.carryOutAll(s.balancer.Outcome(s.now(), s.outcome(a, reported)))
}

// logFailure logs why an attempt that was written has no answer.
func (s *Service) logFailure(a *attempt, result *upstream.Answer) {
	if result.Cause == nil {
		return
	}
	s.log.Debug("attempt failed", "request", a.call.exchange.head.Header.Get("Req-Id"), "attempt", a.n, "endpoint", a.dest.ID,
		"result", resultNames[result.Result], "cause", result.Cause, "after", result.Elapsed, "read", result.Read, "answered", a.call.done)
}

// outcome is the report of an attempt's end to the decision module.
func (s *Service) outcome(a *attempt, result upstream.Answer) policy.Outcome {
	return policy.Outcome{
		Request: a.call.id, Attempt: a.n, Endpoint: a.endpoint, Result: result.Result, Complete: a.call.done, Elapsed: result.Elapsed,
	}
}
