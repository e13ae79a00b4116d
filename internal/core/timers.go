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

// timerTick is the resolution of the decision module's timers: each is at most this late.
const timerTick = time.Millisecond

// readAfterStall is the time allowed for reading results that arrived during a stall.
const readAfterStall = 20 * time.Millisecond

// timers are the timers of the decision module, multiplexed on one system timer. Most belong to
// requests that are answered long before, and cost only their place in the timing wheel.
// Guarded by the service's mutex.
type timers struct {
	queue    *wheel.Queue[policy.Token]
	timer    *time.Timer    // nil: not needed yet
	armedFor time.Duration  // since the service's start, when it fires; 0: it is not set
	due      []policy.Token // scratch
	deferred bool           // the due timers were already deferred once, and are not deferred again
}

// setTimer sets a timer; c, which may be nil, cancels it when the call is removed.
func (s *Service) setTimer(c *call, a policy.SetTimer) {
	id := s.timers.queue.Add(time.Since(s.start)+a.Delay, a.Token)
	if c != nil && c.numTimers < len(c.timers) {
		c.timers[c.numTimers] = id
		c.numTimers++
	}
	s.arm()
}

// arm sets the system timer for the next timer, unless it fires earlier anyway. If the timer
// that it was set for is cancelled, it fires without effect, at most once each time it is set.
func (s *Service) arm() {
	t := &s.timers
	next, ok := t.queue.Next()
	if !ok || t.armedFor > 0 && t.armedFor <= next {
		return
	}
	t.armedFor = max(next, 1)
	in := next - time.Since(s.start)
	if t.timer == nil {
		t.timer = time.AfterFunc(in, s.timersDue)
	} else {
		t.timer.Reset(in)
	}
}

// timersDue passes due timers to the decision module. Timers are deferred while this sidecar
// itself is delayed, and once after a stall of the whole process, since answers that arrived in
// time may not have been read yet. Requests whose deadline has passed are answered immediately.
func (s *Service) timersDue() {
	if own := s.ownDelay(); own > time.Millisecond {
		time.Sleep(min(ownWaits*own, maxTimerDelay))
	}
	defer logPanic("timers")
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.arm() // also after a panic, so that the timers of other requests continue
	t, now := &s.timers, time.Since(s.start)
	stalled := t.armedFor > 0 && stall.Detected(now-t.armedFor) && !t.deferred
	t.armedFor, t.due, t.deferred = 0, t.due[:0], stalled
	t.queue.Advance(now, func(k policy.Token) { t.due = append(t.due, k) })
	for _, k := range t.due { // first, since what follows may panic
		if k.Purpose == guardPurpose {
			s.answerExpired(s.calls[k.Request])
		}
	}
	for _, k := range t.due {
		if stalled && k.Purpose != guardPurpose {
			t.queue.Add(now+readAfterStall, k)
			continue
		}
		s.invoke(func(b *policy.Balancer, now time.Duration) []policy.Action { return b.Timer(now, k) })
	}
}

// guardPurpose is the purpose of the guard timer of a request; the decision module does not use
// this number.
const guardPurpose uint8 = 255

// setGuard sets the timer that answers a request if the decision module does not answer it in
// time.
func (s *Service) setGuard(c *call, in time.Duration) {
	s.setTimer(c, policy.SetTimer{Token: policy.Token{Purpose: guardPurpose, Request: c.id}, Delay: in})
}

// answerExpired answers a request that the decision module failed to answer.
func (s *Service) answerExpired(c *call) {
	if c == nil || c.done {
		return
	}
	slog.Error("the module gave no answer", "request", c.exchange.head.Header.Get("Req-Id"))
	s.refundUnsent(c)
	for _, a := range c.attempts {
		a.cancellation.Cancel(upstream.ErrCancelled)
	}
	s.conclude(c, *malformed(http.StatusGatewayTimeout, "no answer"))
	s.invoke(func(b *policy.Balancer, now time.Duration) []policy.Action { return b.ClientDisconnected(now, c.id) })
}
