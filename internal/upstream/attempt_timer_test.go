package upstream

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"spokegw/internal/budget"
	"spokegw/internal/stall"
)

// The process stalls during an answer, and the timer fires before the data that arrived
// meanwhile is read. That alone is no stalled answer; without unread data it is one.
func TestAttemptTimerAfterStall(t *testing.T) {
	for name, c := range map[string]struct {
		overdue, remaining time.Duration // how late the timer fires after the idle deadline; time left until the attempt's deadline
		unread             bool          // more of the answer is unread
		after              time.Duration // until the attempt is cancelled
		cause              error
	}{
		"data is unread":        {2 * time.Second, 10 * time.Second, true, answerIdleTimeout, errStalled},
		"nothing is unread":     {2 * time.Second, 10 * time.Second, false, readAfterStall, errStalled},
		"little time is left":   {2 * time.Second, readAfterStall / 2, false, readAfterStall / 2, errTimedOut},
		"no time is left":       {2 * time.Second, -time.Second, false, 0, errTimedOut},
		"no process stall":      {stall.Threshold - 1, 10 * time.Second, true, 0, errStalled},
		"streamed, no deadline": {2 * time.Second, 0, true, answerIdleTimeout, errStalled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cancellation, now := new(Cancellation), time.Now()
				timer := &attemptTimer{readable: func() bool { return false }}
				defer timer.close()
				timer.start(cancellation, now.Add(time.Hour))
				timer.begin()
				timer.mu.Lock()
				timer.idleDeadline, timer.deadline = now.Add(-c.overdue), now.Add(c.remaining)
				if c.remaining == 0 {
					timer.deadline = time.Time{}
				}
				timer.mu.Unlock()
				timer.fire()
				if c.unread && c.after > 0 {
					timer.progress()
				}
				<-cancellation.Done()
				if took := time.Since(now); cancellation.Cause() != c.cause || took != c.after {
					t.Errorf("cancelled after %v by %v, want %v and %v", took, cancellation.Cause(), c.after, c.cause)
				}
			})
		})
	}
}

// The reader of an answer is not scheduled for longer than answerIdleTimeout while more of
// the answer, or its end, is unread on the connection: the answer is not stalled. With
// nothing unread it is, and an attempt whose deadline has passed is cancelled.
func TestAttemptTimerWithUnreadData(t *testing.T) {
	for name, c := range map[string]struct {
		write     string
		close     bool
		remaining time.Duration // until the attempt's deadline
		cause     error         // of the cancellation after the timer has fired; nil: none
	}{
		"a piece is unread":         {"rest", false, time.Hour, nil},
		"the end is unread":         {"", true, time.Hour, nil},
		"both are unread":           {"rest", true, time.Hour, nil},
		"nothing is unread":         {"", false, time.Hour, errStalled},
		"unread after the deadline": {"rest", false, -time.Millisecond, errTimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			pool := NewPool(Resources{Slots: budget.New(1).Join(1, nil)}, time.Minute, time.Minute)
			conn, err := pool.dial(t.Context(), Endpoint{Addr: l.Addr().String()})
			if err != nil {
				t.Fatal(err)
			}
			defer pool.discard(conn)
			endpoint, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer endpoint.Close()
			if _, err := io.WriteString(endpoint, c.write); err != nil {
				t.Fatal(err)
			}
			if c.close {
				endpoint.Close()
			}
			if c.write != "" || c.close {
				awaitReadable(t, conn)
			}
			cancellation := new(Cancellation)
			conn.timer.start(cancellation, time.Now().Add(time.Hour))
			conn.timer.begin()
			conn.timer.mu.Lock()
			conn.timer.idleDeadline = time.Now() // as if answerIdleTimeout had passed
			conn.timer.deadline = time.Now().Add(c.remaining)
			conn.timer.mu.Unlock()
			conn.timer.fire()
			if cancellation.Cause() != c.cause {
				t.Errorf("cancelled by %v, want %v", cancellation.Cause(), c.cause)
			}
		})
	}
}

// awaitReadable waits until a read from the connection would not block.
func awaitReadable(t *testing.T, c *conn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	tried := false
	if err := raw.Read(func(uintptr) bool {
		defer func() { tried = true }()
		return tried || c.readable()
	}); err != nil {
		t.Fatal(err)
	}
}

// An attempt is cancelled at its deadline, or answerIdleTimeout after the latest piece of its
// answer, whichever is first, and at no other time. The next attempt on the connection is not
// cancelled by a deadline of the previous one.
func TestAttemptTimer(t *testing.T) {
	const step = answerIdleTimeout / 2
	for name, c := range map[string]struct {
		run   func(timer *attemptTimer, cancellation *Cancellation)
		after time.Duration // from the start of the first attempt; 0: never cancelled
		cause error
	}{
		"silence": {func(timer *attemptTimer, cancellation *Cancellation) {}, 10 * step, errTimedOut},
		"stalled answer": {func(timer *attemptTimer, cancellation *Cancellation) {
			time.Sleep(step)
			timer.begin()
		}, 3 * step, errStalled},
		"pieces": {func(timer *attemptTimer, cancellation *Cancellation) {
			timer.begin()
			for range 5 {
				time.Sleep(step)
				timer.progress()
			}
		}, 7 * step, errStalled},
		"pieces beyond the deadline": {func(timer *attemptTimer, cancellation *Cancellation) {
			timer.begin()
			for range 9 {
				time.Sleep(step)
				timer.progress()
			}
		}, 10 * step, errTimedOut},
		"whole": {func(timer *attemptTimer, cancellation *Cancellation) {
			timer.begin()
			timer.complete()
		}, 10 * step, errTimedOut},
		"answer streamed": {func(timer *attemptTimer, cancellation *Cancellation) {
			timer.begin()
			timer.complete()
			timer.setDeadline(time.Time{})
		}, 0, nil},
		"slow request body": {func(timer *attemptTimer, cancellation *Cancellation) {
			time.Sleep(9 * step)
			timer.setDeadline(time.Now().Add(10 * step))
		}, 19 * step, errTimedOut},
		"next attempt": {func(timer *attemptTimer, cancellation *Cancellation) {
			timer.begin()
			time.Sleep(step)
			timer.stop()
			time.Sleep(step / 2)
			timer.start(cancellation, time.Now().Add(10*step))
		}, 11*step + step/2, errTimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cancellation, start := new(Cancellation), time.Now()
				timer := &attemptTimer{readable: func() bool { return false }}
				defer timer.close()
				timer.start(cancellation, start.Add(10*step))
				c.run(timer, cancellation)
				select {
				case <-cancellation.Done():
				case <-time.After(100 * step):
				}
				if cancellation.Cause() != c.cause || c.cause != nil && time.Since(start) != c.after {
					t.Errorf("cancelled after %v by %v, want %v and %v", time.Since(start), cancellation.Cause(), c.after, c.cause)
				}
			})
		})
	}
}
