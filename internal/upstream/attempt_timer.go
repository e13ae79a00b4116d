package upstream

import (
	"sync"
	"time"

	"spokegw/internal/stall"
)

// readAfterStall is the time allowed for reading what arrived during a process stall, or
// while the reader of the answer was not scheduled.
const readAfterStall = 50 * time.Millisecond

// answerPause is how long the next piece of an answer may take, from its first byte on, before the
// answer counts as stalled.
const answerPause = 150 * time.Millisecond

// attemptTimer cancels an attempt whose deadline has passed, and notices an answer that has begun and
// stalls. Each connection has one, with one runtime timer for all its attempts. The timer
// may fire spuriously: extending a deadline does not reset it, and one set for an earlier
// attempt may fire during the next.
type attemptTimer struct {
	readable     func() bool // reports whether the connection has unread data or its end
	mu           sync.Mutex
	timer        *time.Timer   // nil: not needed so far
	firesAt      time.Time     // when the timer fires
	cancellation *Cancellation // of the attempt; nil: there is none
	gate         Gate          // notified when the answer stalls; nil: nobody is
	deadline     time.Time     // of the attempt; zero: none any more
	stallsAt     time.Time     // when the answer has stalled unless more of it arrives; zero: this is not watched
	answering    bool          // the answer has begun
	mustProgress bool          // an answer that stalls is cancelled
	fired        bool          // the timer cancelled the attempt
}

// start sets the deadline of a new attempt. gate may be nil.
func (t *attemptTimer) start(cancellation *Cancellation, gate Gate, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancellation, t.gate, t.deadline, t.stallsAt = cancellation, gate, deadline, time.Time{}
	t.answering, t.mustProgress, t.fired = false, false, false
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

// fire cancels the attempt if its time is up, and notifies the gate, once, if the answer has stalled.
func (t *attemptTimer) fire() {
	if gate := t.expire(); gate != nil {
		gate.AnswerStalled() // without the lock: the gate has locks of its own
	}
}

// expire is fire; it returns the gate to notify, or nil. An answer in progress may have continued
// while the process was stalled, or while its reader was not scheduled: whether it
// stalled is known only once the unread data has been read.
func (t *attemptTimer) expire() (stalled Gate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancellation == nil || t.fired {
		return nil
	}
	t.firesAt = time.Time{} // the timer has fired
	now := time.Now()
	if !t.deadline.IsZero() && !now.Before(t.deadline) {
		t.cancel(errTimedOut)
		return nil
	}
	if !t.stallsAt.IsZero() && !now.Before(t.stallsAt) {
		switch {
		case stall.Detected(now.Sub(t.stallsAt)) || t.readable():
			t.stallsAt = now.Add(readAfterStall)
		case t.mustProgress:
			t.cancel(errStalled)
			return nil
		default:
			t.stallsAt, stalled = time.Time{}, t.gate
		}
	}
	for _, at := range []time.Time{t.deadline, t.stallsAt} {
		if !at.IsZero() {
			t.arm(at)
		}
	}
	return stalled
}

func (t *attemptTimer) cancel(cause error) {
	t.fired = true
	t.cancellation.Cancel(cause)
}

// begin records the answer's first byte, progress each piece after it. Neither undoes a
// timeout that fires at the same time.
func (t *attemptTimer) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answering, t.stallsAt = true, time.Now().Add(answerPause)
	t.arm(t.stallsAt)
}

func (t *attemptTimer) progress() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stallsAt.IsZero() {
		t.stallsAt = time.Now().Add(answerPause)
	}
}

// requireProgress has the attempt cancelled if what is left of its answer stalls.
func (t *attemptTimer) requireProgress() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mustProgress, t.stallsAt = true, time.Now().Add(answerPause)
	t.arm(t.stallsAt)
}

// attemptDeadline returns the deadline; zero: there is none any more.
func (t *attemptTimer) attemptDeadline() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deadline
}

// complete records that no more of the answer is expected; it reports whether it was in time.
func (t *attemptTimer) complete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stallsAt = time.Time{}
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
	t.cancellation, t.gate = nil, nil
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
