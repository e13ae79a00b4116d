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

// The process stalls while an answer is under way, and its timer goes off before what
// came meanwhile is read: the answer has not stopped by that. With nothing there it has.
func TestClockAfterAStall(t *testing.T) {
	for name, c := range map[string]struct {
		late, left time.Duration // of the pause, when the timer goes off; of the attempt's time
		moves      bool          // more of the answer waits
		after      time.Duration // that the attempt ends
		cause      error
	}{
		"more waits":          {2 * time.Second, 10 * time.Second, true, answerPatience, errStopped},
		"nothing waits":       {2 * time.Second, 10 * time.Second, false, readAfterStall, errStopped},
		"little time is left": {2 * time.Second, readAfterStall / 2, false, readAfterStall / 2, errTimedOut},
		"no time is left":     {2 * time.Second, -time.Second, false, 0, errTimedOut},
		"it did not stall":    {stall.Threshold - 1, 10 * time.Second, true, 0, errStopped},
		"it was passed on":    {2 * time.Second, 0, true, answerPatience, errStopped},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				end, now := new(Cancellation), time.Now()
				k := &clock{unread: func() bool { return false }}
				defer k.close()
				k.start(end, now.Add(time.Hour))
				k.begin()
				k.mu.Lock()
				k.pause, k.deadline = now.Add(-c.late), now.Add(c.left)
				if c.left == 0 {
					k.deadline = time.Time{}
				}
				k.mu.Unlock()
				k.ring()
				if c.moves && c.after > 0 {
					k.moved()
				}
				<-end.Done()
				if took := time.Since(now); end.Cause() != c.cause || took != c.after {
					t.Errorf("ended after %v by %v, want %v and %v", took, end.Cause(), c.after, c.cause)
				}
			})
		})
	}
}

// The reader of an answer gets no processor for longer than an answer may pause, while the
// rest of the answer, or its end, waits on the connection: the answer has not stopped. One
// with nothing there has, and so has one whose attempt has no time left.
func TestClockWhileTheReaderWaits(t *testing.T) {
	for name, c := range map[string]struct {
		write string
		close bool
		left  time.Duration // of the attempt's time
		cause error         // of its end once the clock has gone off; nil: it goes on
	}{
		"a piece waits":       {"rest", false, time.Hour, nil},
		"the end waits":       {"", true, time.Hour, nil},
		"both wait":           {"rest", true, time.Hour, nil},
		"nothing waits":       {"", false, time.Hour, errStopped},
		"it came out of time": {"rest", false, -time.Millisecond, errTimedOut},
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
			end := new(Cancellation)
			conn.clock.start(end, time.Now().Add(time.Hour))
			conn.clock.begin()
			conn.clock.mu.Lock()
			conn.clock.pause = time.Now() // as if answerPatience had passed
			conn.clock.deadline = time.Now().Add(c.left)
			conn.clock.mu.Unlock()
			conn.clock.ring()
			if end.Cause() != c.cause {
				t.Errorf("ended by %v, want %v", end.Cause(), c.cause)
			}
		})
	}
}

// awaitReadable waits until a read from the connection would not wait.
func awaitReadable(t *testing.T, c *conn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	tried := false
	if err := raw.Read(func(uintptr) bool {
		defer func() { tried = true }()
		return tried || c.unread()
	}); err != nil {
		t.Fatal(err)
	}
}

// An attempt ends when its time is up, or its answer has begun and nothing more comes for
// answerPatience, whichever is first, and at no other time; the next one on the connection
// is not ended by what was set for the one before.
func TestClock(t *testing.T) {
	const step = answerPatience / 2
	for name, c := range map[string]struct {
		play  func(k *clock, end *Cancellation)
		after time.Duration // from the start of the latest attempt; 0: it is never ended
		cause error
	}{
		"silence": {func(k *clock, end *Cancellation) {}, 10 * step, errTimedOut},
		"an answer that stops": {func(k *clock, end *Cancellation) {
			time.Sleep(step)
			k.begin()
		}, 3 * step, errStopped},
		"pieces": {func(k *clock, end *Cancellation) {
			k.begin()
			for range 5 {
				time.Sleep(step)
				k.moved()
			}
		}, 7 * step, errStopped},
		"pieces beyond its time": {func(k *clock, end *Cancellation) {
			k.begin()
			for range 9 {
				time.Sleep(step)
				k.moved()
			}
		}, 10 * step, errTimedOut},
		"whole": {func(k *clock, end *Cancellation) {
			k.begin()
			k.whole()
		}, 10 * step, errTimedOut},
		"passed on": {func(k *clock, end *Cancellation) {
			k.begin()
			k.whole()
			k.allow(time.Time{})
		}, 0, nil},
		"a body that took long": {func(k *clock, end *Cancellation) {
			time.Sleep(9 * step)
			k.allow(time.Now().Add(10 * step))
		}, 19 * step, errTimedOut},
		"the next attempt": {func(k *clock, end *Cancellation) {
			k.begin()
			time.Sleep(step)
			k.stop()
			time.Sleep(step / 2)
			k.start(end, time.Now().Add(10*step))
		}, 11*step + step/2, errTimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				end, begun := new(Cancellation), time.Now()
				k := &clock{unread: func() bool { return false }}
				defer k.close()
				k.start(end, begun.Add(10*step))
				c.play(k, end)
				select {
				case <-end.Done():
				case <-time.After(100 * step):
				}
				if end.Cause() != c.cause || c.cause != nil && time.Since(begun) != c.after {
					t.Errorf("ended after %v by %v, want %v and %v", time.Since(begun), end.Cause(), c.after, c.cause)
				}
			})
		})
	}
}
