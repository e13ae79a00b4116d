package upstream

import (
	"sync"
	"time"

	"spokegw/internal/stall"
)

// readAfterStall is the time allowed for reading what arrived during a process stall, or
// while the reader of the answer was not scheduled.
const readAfterStall = 50 * time.Millisecond

// attemptTimer cancels an attempt whose deadline has passed, or whose answer has begun and
// stalls. Each connection has one, with one runtime timer for all its attempts. The timer
// may fire spuriously: extending a deadline does not reset it, and one set for an earlier
// attempt may fire during the next.
type attemptTimer struct {
	readable     func() bool // reports whether the connection has unread data or its end
	mu           sync.Mutex
	timer        *time.Timer   // nil: not needed so far
	firesAt      time.Time     // when the timer fires
	cancellation *Cancellation // of the attempt; nil: there is none
	deadline     time.Time     // of the attempt; zero: none any more
	idleDeadline time.Time     // by when more of the answer has to arrive; zero: no limit
	answering    bool          // the answer has begun
	fired        bool          // the timer cancelled the attempt
}

// start sets the deadline of a new attempt.
func (t *attemptTimer) start(cancellation *Cancellation, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancellation, t.deadline, t.idleDeadline, t.answering, t.fired = cancellation, deadline, time.Time{}, false, false
	t.arm(deadline)
}

// arm makes the timer fire at the given time at the latest.
func (t *attemptTimer) arm(at time.Time) {
	now := time.Now()
	switch {
	case t.timer == nil:
		t.timer = time.AfterFunc(at.Sub(now), t.fire)
	case t.firesAt.After(at) || !t.firesAt.After(now):
		t.timer.Reset(at.Sub(now))
	default:
		return
	}
	t.firesAt = at
}

// fire cancels the attempt if its time is up. An answer in progress may have continued
// while the process was stalled, or while its reader was not scheduled: whether it
// stalled is known only once the unread data has been read.
func (t *attemptTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancellation == nil || t.fired {
		return
	}
	next, cause := t.deadline, errTimedOut
	if !t.idleDeadline.IsZero() && (next.IsZero() || t.idleDeadline.Before(next)) {
		next, cause = t.idleDeadline, errStalled
	}
	now := time.Now()
	if cause == errStalled && !now.Before(next) && (stall.Detected(now.Sub(next)) || t.readable()) {
		t.idleDeadline = now.Add(readAfterStall)
		if next = t.idleDeadline; !t.deadline.IsZero() && t.deadline.Before(next) {
			next, cause = t.deadline, errTimedOut
		}
	}
	switch {
	case next.IsZero():
	case next.After(now):
		t.firesAt = time.Time{} // the timer has fired
		t.arm(next)
	default:
		t.fired = true
		t.cancellation.Cancel(cause)
	}
}

// begin records the answer's first byte, progress each piece after it. Neither undoes a
// timeout that fires at the same time.
func (t *attemptTimer) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answering, t.idleDeadline = true, time.Now().Add(answerIdleTimeout)
	t.arm(t.idleDeadline)
}

func (t *attemptTimer) progress() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleDeadline = time.Now().Add(answerIdleTimeout)
}

// complete records that no more of the answer is expected; it reports whether it was in time.
func (t *attemptTimer) complete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleDeadline = time.Time{}
	return !t.fired
}

// setDeadline replaces the deadline of the attempt; zero: none. It reports whether the
// attempt had not timed out before.
func (t *attemptTimer) setDeadline(deadline time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.deadline = deadline; !deadline.IsZero() {
		t.arm(deadline)
	}
	return !t.fired
}

// stop detaches the timer from the attempt. It reports whether the answer had begun.
func (t *attemptTimer) stop() (answerBegun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancellation = nil
	return t.answering
}

// close stops the timer, which would keep a reference to the connection.
func (t *attemptTimer) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
}
