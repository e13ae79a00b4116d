package core

import (
	"log/slog"
	"net/http"
	"time"

	"spokegw/internal/stall"
	"spokegw/internal/upstream"
	"spokegw/internal/wheel"
	"spokegw/policy"
)

// timerTick is how exactly the module's timers go off: at most so much late.
const timerTick = time.Millisecond

// readAfterStall is the time that the ends of attempts which came during a stall may take
// to be seen.
const readAfterStall = 20 * time.Millisecond

// timers are those that the module has set, on one timer of the system's. Most are of
// requests that are answered long before, and cost no more than their place on a wheel. It
// is guarded by the service's mutex.
type timers struct {
	queue *wheel.Queue[policy.Token]
	alarm *time.Timer    // nil: none was needed yet
	armed time.Duration  // since the service's start, when it goes off; 0: it does not
	due   []policy.Token // scratch
	again bool           // what is due was put off once, and is not again
}

// setTimer sets one; c, which may be nil, takes it back when nothing is left of it.
func (s *Service) setTimer(c *call, a policy.SetTimer) {
	id := s.timers.queue.Add(time.Since(s.start)+a.Delay, a.Token)
	if c != nil && c.set < len(c.timers) {
		c.timers[c.set] = id
		c.set++
	}
	s.arm()
}

// arm has the alarm go off for the next timer, where it would not by then. One that is
// armed for a timer that was taken back goes off for nothing, at most once for each time
// it is armed.
func (s *Service) arm() {
	t := &s.timers
	next, ok := t.queue.Next()
	if !ok || t.armed > 0 && t.armed <= next {
		return
	}
	t.armed = max(next, 1)
	in := next - time.Since(s.start)
	if t.alarm == nil {
		t.alarm = time.AfterFunc(in, s.timersDue)
	} else {
		t.alarm.Reset(in)
	}
}

// timersDue tells the module of what is due. What is late by this sidecar's own doing is
// not late yet, and waits: also where the whole process stalled, and answers that came
// in time have not been read. Requests whose time is over are answered at once.
func (s *Service) timersDue() {
	if own := s.own(); own > time.Millisecond {
		time.Sleep(min(ownWaits*own, longestPutOff))
	}
	defer logPanic("timers")
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.arm() // also after a panic: the others' timers go on
	t, now := &s.timers, time.Since(s.start)
	late := t.armed > 0 && stall.Detected(now-t.armed) && !t.again
	t.armed, t.due, t.again = 0, t.due[:0], late
	t.queue.Advance(now, func(k policy.Token) { t.due = append(t.due, k) })
	for _, k := range t.due { // first: what follows may panic
		if k.Purpose == guarded {
			s.unanswered(s.calls[k.Request])
		}
	}
	for _, k := range t.due {
		if late && k.Purpose != guarded {
			t.queue.Add(now+readAfterStall, k)
			continue
		}
		s.tell(func(b *policy.Balancer, now time.Duration) []policy.Action { return b.Timer(now, k) })
	}
}

// guarded is the purpose of the timer that a request is guarded by; the module has none of
// that number.
const guarded uint8 = 255

// guard has a request answered that the module has not answered in its time.
func (s *Service) guard(c *call, in time.Duration) {
	s.setTimer(c, policy.SetTimer{Token: policy.Token{Purpose: guarded, Request: c.id}, Delay: in})
}

// unanswered answers a request that the module was to answer before.
func (s *Service) unanswered(c *call) {
	if c == nil || c.over {
		return
	}
	slog.Error("the module gave no answer", "request", c.exchange.head.Header.Get("Req-Id"))
	s.unsent(c)
	for _, a := range c.attempts {
		a.end.Cancel(upstream.ErrCancelled)
	}
	s.conclude(c, *malformed(http.StatusGatewayTimeout, "no answer"))
	s.tell(func(b *policy.Balancer, now time.Duration) []policy.Action { return b.ClientDisconnected(now, c.id) })
}
