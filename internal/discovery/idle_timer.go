package discovery

import (
	"errors"
	"sync"
	"time"

	"spokegw/internal/stall"
)

var (
	errStatus  = errors.New("unexpected status from discovery")
	errTimeout = errors.New("discovery call timed out")
	errOverdue = errors.New("discovery call is overdue")
	errPanic   = errors.New("panic in a discovery call")
)

// readAfterStall is the time allowed for reading what arrived during a process stall. What
// discovery has written counts as notified, even if this process could not read it.
const readAfterStall = 100 * time.Millisecond

// idleTimer expires when nothing has arrived on a call for too long.
type idleTimer struct {
	onExpire func()

	mu       sync.Mutex
	deadline time.Time
	timer    *time.Timer
}

func newIdleTimer(timeout time.Duration, onExpire func()) *idleTimer {
	t := &idleTimer{onExpire: onExpire, deadline: time.Now().Add(timeout)}
	t.mu.Lock() // the timer may fire before the field is set
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.fire)
	return t
}

// extend makes the timer expire after timeout, unless it is extended again.
func (t *idleTimer) extend(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reset(timeout)
}

func (t *idleTimer) reset(timeout time.Duration) {
	t.deadline = time.Now().Add(timeout)
	t.timer.Reset(timeout)
}

func (t *idleTimer) stop() { t.timer.Stop() }

// fire expires the timer if nothing has arrived. After a stall that is known only once the
// pending data has been read.
func (t *idleTimer) fire() {
	t.mu.Lock()
	overdue := time.Since(t.deadline)
	stalled := stall.Detected(overdue)
	if stalled {
		t.reset(readAfterStall)
	}
	t.mu.Unlock()
	if overdue >= 0 && !stalled {
		t.onExpire()
	}
}
