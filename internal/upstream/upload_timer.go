package upstream

import (
	"sync"
	"time"
)

// uploadTimer cancels an attempt with a streamed body at the deadline of the body, which
// moves while the client is sending. It covers every step of the attempt, from the dial to
// the answer: the client may have written its last byte long before the body has been
// passed on. A nil timer is stopped.
type uploadTimer struct {
	stream       *BodyStream
	cancellation *Cancellation

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func startUploadTimer(stream *BodyStream, cancellation *Cancellation) *uploadTimer {
	u := &uploadTimer{stream: stream, cancellation: cancellation}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timer = time.AfterFunc(time.Until(stream.Deadline()), u.fire)
	return u
}

// fire cancels the attempt, or waits for the deadline that has moved.
func (u *uploadTimer) fire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return
	}
	if left := time.Until(u.stream.Deadline()); left > 0 {
		u.timer.Reset(left)
		return
	}
	u.cancellation.Cancel(errTimedOut)
}

func (u *uploadTimer) stop() {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	u.timer.Stop()
}
