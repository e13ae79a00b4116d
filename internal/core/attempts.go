package core

import (
	"net/http"
	"time"

	"spokegw/internal/keyed"
	"spokegw/internal/permit"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// attempt is one sending of a request.
type attempt struct {
	call       *call
	n          int
	endpoint   policy.EndpointID
	end        upstream.Cancellation
	sent       bool            // it was noted as sent
	result     upstream.Answer // that the request was answered with
	outcome    upstream.Answer // of one that the request's own goroutine has made
	to         upstream.Endpoint
	note       *keyed.Note
	zone, cell int       // of its endpoint
	decided    time.Time // or a little earlier
	there      time.Time // when its client was known not to have left
	until      time.Time // given up then; told at its decision, since some time may pass before it is made
	repeatBy   time.Time // the window for repeats ends then; zero: it is none
	listing    *listing  // of its endpoint; nil: it is in no list
	doubt      bool      // an earlier attempt may have run as this one was decided
}

func (s *Service) send(to policy.Send) {
	c := s.calls[to.Request]
	if c == nil {
		return
	}
	a := &c.first
	if len(c.attempts) > 0 {
		a = new(attempt)
	}
	a.call, a.n, a.endpoint = c, len(c.attempts), to.Endpoint
	if a.n > 0 && !c.over && c.exchange.clientLeft() {
		c.tell("not sent", "attempt %d: the client has closed its connection", a.n)
		s.left(c)
		c.attempts, s.denied = append(c.attempts, a), append(s.denied, a)
		return
	}
	allowed := !c.req.Stream.Consumed() && s.mayRepeat(c)
	if a.doubt = c.unsure > 0; a.doubt && s.settled.places[c.class].rules.Effect == policy.Unsafe {
		s.violated(permit.DuplicateEffect, a, "decided") // and is not sent
		allowed = false
	}
	c.attempts = append(c.attempts, a)
	if !allowed {
		c.tell("not sent", "attempt %d: its contract has no room, or its body can't be given again", a.n)
		s.denied = append(s.denied, a)
		return
	}
	c.unsure++
	c.open++
	a.decided = time.Now()
	var e upstream.Endpoint // no such endpoint: it can't be connected to
	var note *keyed.Note
	if known := s.endpoints.byID[to.Endpoint]; known != nil {
		e = known.upstream()
		a.sent = true
		if known.first == 0 {
			known.first = s.now()
		}
		a.listing = known.listing
		note, a.repeatBy = s.noteSent(c, known)
		a.zone, a.cell = known.Zone, known.Cell
		c.trace.sending(a.n, known.name)
		if c.trace != nil { // the arguments are allocated even where nobody looks on
			c.tell("sent", "attempt %d to %s, for %v at most", a.n, known.name, to.Timeout.Round(time.Millisecond))
		}
	}
	a.to, a.note, a.until = e, note, a.decided.Add(to.Timeout)
	if a.until.After(c.until) { // the process may have stood still since the module read its clock
		a.until = c.until
	}
	if a.there = c.exchange.opened; a.n > 0 { // it was looked for above
		a.there = a.decided
	}
	if c.here && c.next == nil {
		c.next = a
		return
	}
	go s.make(a, false)
}

// make makes an attempt. own tells that it is made by its request's own goroutine; next is
// then the attempt that is to be made by that after it, nil where there is none.
func (s *Service) make(a *attempt, own bool) (next *attempt) {
	// Should the attempt panic, the request still needs an end.
	c, result := a.call, upstream.Answer{Result: policy.ConnectionLost}
	var more func() upstream.Answer
	defer func() {
		if more == nil {
			next = s.ended(c, a, result, own)
			return
		}
		// The answer has begun, and is passed on by the request's own goroutine: another
		// one sees to its end.
		go func() {
			result := upstream.Answer{Result: policy.ConnectionLost}
			defer func() { s.ended(c, a, result, false) }()
			defer logPanic("attempt")
			result = more()
		}()
	}()
	defer logPanic("attempt")
	if s.keepKey(a) != nil {
		result = upstream.Answer{Result: policy.NotSent, Refused: a.notKept()} // nobody would know of it after a kill
		return nil
	}
	if !s.claim(a) {
		result = upstream.Answer{Result: policy.NotSent, Refused: permit.EffectUncertain} // another process may have sent it elsewhere
		return nil
	}
	result, more = s.pool.Begin(&a.end, a.to, c.req, upstream.Constraints{Deadline: a.until, DedupUntil: a.repeatBy, Gate: a}, a)
	return nil
}

// AcceptStream takes a long answer that begins, for upstream.
func (a *attempt) AcceptStream(long upstream.Answer) bool {
	return a.call.exchange.service.begun(a.call, a, long)
}

// begun gives out an answer that goes on for long. It reports whether it is
// wanted; nothing of the request is sent elsewhere from then on.
func (s *Service) begun(c *call, a *attempt, long upstream.Answer) (wanted bool) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		if c.over {
			return nil
		}
		wanted, c.by = true, a.n
		c.end()
		a.result = long
		c.answer <- a.answer()
		return b.StreamStarted(now, c.id, a.n)
	})
	return wanted
}

// answer is the request's, as the attempt had it.
func (a *attempt) answer() Answer {
	r := &a.result
	return Answer{Status: http.StatusOK, Header: r.Header, Body: r.Body, Length: r.Length, stream: r.Stream, from: r}
}

// ended takes the end of an attempt, and returns the one that is its goroutine's to make
// next.
func (s *Service) ended(c *call, a *attempt, result upstream.Answer, own bool) (next *attempt) {
	if own {
		a.outcome = result
		return s.eventOf(c, (*Service).firstEnded)
	}
	defer logPanic("event")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptEnded(a, result)
	return nil
}

// firstEnded is attemptEnded for the attempt that the request's own goroutine has made.
func (s *Service) firstEnded(c *call) {
	a := c.made
	s.attemptEnded(a, a.outcome)
}

func (s *Service) attemptEnded(a *attempt, result upstream.Answer) {
	c := a.call
	if result.Result == policy.Served && !c.over {
		c.by = a.n
		c.end()
		a.result = result
		c.answer <- a.answer()
	} else {
		result.Free()
	}
	if a.sent {
		s.noteEnded(c, result.Result)
	}
	if s.pools.any {
		s.seen(c, a, result)
	}
	if result.Result.NeverRan() {
		c.unsure--
	}
	c.traced(a, result)
	s.refused(a, result.Refused)
	told := s.blamed(a, result)
	s.measure(c, a, told)
	s.settle(c, a, told)
	c.slow = result.Result == policy.NoAnswer
	c.open--
	s.forget(c)
	s.carryOutAll(s.balancer.Outcome(s.now(), s.outcome(a, told)))
}

// outcome is what the module is told of an attempt's end.
func (s *Service) outcome(a *attempt, result upstream.Answer) policy.Outcome {
	return policy.Outcome{
		Request: a.call.id, Attempt: a.n, Endpoint: a.endpoint, Result: result.Result, Complete: a.call.over, Elapsed: result.Elapsed,
	}
}
