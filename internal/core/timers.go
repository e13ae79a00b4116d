package core

import (
	"time"

	"spokegw/internal/wheel"
	"spokegw/policy"
)

// timerTick is how exactly the module's timers go off: at most so much late.
const timerTick = time.Millisecond

// timers are those that the module has set, on one timer of the system's. Most are of
// requests that are answered long before, and cost no more than their place on a wheel. It
// is guarded by the service's mutex.
type timers struct {
	queue *wheel.Queue[policy.Token]
	alarm *time.Timer    // nil: none was needed yet
	armed time.Duration  // since the service's start, when it goes off; 0: it does not
	due   []policy.Token // scratch
}

// setTimer sets one; c, which may be nil, takes it back when nothing is left of it.
func (s *Service) setTimer(c *call, a policy.SetTimer) {
	id := s.timers.queue.Add(time.Since(s.start)+a.In, a.Token)
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
// not late yet, and waits.
func (s *Service) timersDue() {
	if own := s.own(); own > time.Millisecond {
		time.Sleep(min(ownWaits*own, longestPutOff))
	}
	defer logPanic("timers")
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.arm() // also after a panic: the others' timers go on
	t := &s.timers
	t.armed, t.due = 0, t.due[:0]
	t.queue.Advance(time.Since(s.start), func(k policy.Token) { t.due = append(t.due, k) })
	for _, k := range t.due {
		s.tell(func(b *policy.Balancer, now time.Duration) []policy.Action { return b.Timer(now, k) })
	}
}
