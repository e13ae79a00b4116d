package upstream

import (
	"sync"
	"time"

	"spokegw/internal/stall"
)

// readAfterStall is the time that reading what came during a stall, or while the reader of
// the answer had no processor, may take.
const readAfterStall = 50 * time.Millisecond

// clock ends an attempt whose time is up, or whose answer has begun and stops. There is
// one a connection, with one timer of the system's for all its attempts. The timer may go
// off for nothing: what puts a time off does not set it anew, and that of an attempt that
// is over may find the next one.
type clock struct {
	unread   func() bool // whether the connection has something, or its end, for the reader
	mu       sync.Mutex
	timer    *time.Timer   // nil: none was needed yet
	armed    time.Time     // when it goes off
	end      *Cancellation // of the attempt; nil: there is none
	deadline time.Time     // of the attempt; zero: none any more
	pause    time.Time     // by when more of the answer has to come; zero: none need
	begun    bool          // the answer has
	fired    bool          // the attempt was ended from here
}

// start has an attempt end at a time.
func (k *clock) start(end *Cancellation, deadline time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.end, k.deadline, k.pause, k.begun, k.fired = end, deadline, time.Time{}, false, false
	k.arm(deadline)
}

// arm has the timer go off no later than at a time.
func (k *clock) arm(at time.Time) {
	now := time.Now()
	switch {
	case k.timer == nil:
		k.timer = time.AfterFunc(at.Sub(now), k.ring)
	case k.armed.After(at) || !k.armed.After(now):
		k.timer.Reset(at.Sub(now))
	default:
		return
	}
	k.armed = at
}

// ring ends the attempt if it is to end by now. An answer that has begun may have gone on
// while the process was stalled, or while its reader waited for a processor: whether it
// stopped is known once what waits has been read.
func (k *clock) ring() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.end == nil || k.fired {
		return
	}
	next, cause := k.deadline, errTimedOut
	if !k.pause.IsZero() && (next.IsZero() || k.pause.Before(next)) {
		next, cause = k.pause, errStopped
	}
	now := time.Now()
	if cause == errStopped && !now.Before(next) && (stall.Detected(now.Sub(next)) || k.unread()) {
		k.pause = now.Add(readAfterStall)
		if next = k.pause; !k.deadline.IsZero() && k.deadline.Before(next) {
			next, cause = k.deadline, errTimedOut
		}
	}
	switch {
	case next.IsZero():
	case next.After(now):
		k.armed = time.Time{} // it has gone off
		k.arm(next)
	default:
		k.fired = true
		k.end.Cancel(cause)
	}
}

// begin notes the answer's first byte, moved each piece after it. One that comes as the
// time ends does not undo that.
func (k *clock) begin() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.begun, k.pause = true, time.Now().Add(answerPatience)
	k.arm(k.pause)
}

func (k *clock) moved() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pause = time.Now().Add(answerPatience)
}

// whole notes that no more of the answer is waited for; it reports whether it was in time.
func (k *clock) whole() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pause = time.Time{}
	return !k.fired
}

// allow gives an attempt another deadline; zero: none. It reports whether the one before
// was not over.
func (k *clock) allow(deadline time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.deadline = deadline; !deadline.IsZero() {
		k.arm(deadline)
	}
	return !k.fired
}

// stop lets an attempt go. It reports whether the answer had begun.
func (k *clock) stop() (begun bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.end = nil
	return k.begun
}

// close ends the timer, which would hold on to the connection.
func (k *clock) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.timer != nil {
		k.timer.Stop()
	}
}
