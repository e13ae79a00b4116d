package upstream

import (
	"context"
	"sync"
	"time"
)

// Cancellation cancels one attempt, once and with a cause; the first cause counts. Its
// zero value is ready to use. It is a context for operations that wait (a dial, a slot),
// optimised for the usual attempt, on which nothing waits and which is never cancelled
// early: the channel is made on demand, and there is a single callback, that of the
// connection in use.
type Cancellation struct {
	mu       sync.Mutex
	cause    error
	done     chan struct{} // nil: not requested yet
	callback func()        // nil: none
}

// Cancel cancels the attempt, unless that was done before. It does not wait for the
// callback: its caller may hold locks that the callback takes.
func (c *Cancellation) Cancel(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return
	}
	c.cause = cause
	if c.done != nil {
		close(c.done)
	}
	if c.callback != nil {
		go c.callback() // sets I/O deadlines, and returns
		c.callback = nil
	}
}

// CancelUnsent cancels the attempt only if no callback is set, as before the attempt has
// a connection: nothing of it has been sent then.
func (c *Cancellation) CancelUnsent(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil || c.callback != nil {
		return
	}
	c.cause = cause
	if c.done != nil {
		close(c.done)
	}
}

// OnCancel sets the callback, in place of an earlier one. If the attempt is already
// cancelled, the callback runs at once.
func (c *Cancellation) OnCancel(callback func()) {
	c.mu.Lock()
	cancelled := c.cause != nil
	if !cancelled {
		c.callback = callback
	}
	c.mu.Unlock()
	if cancelled {
		callback()
	}
}

// ClearOnCancel removes the callback, and reports whether the attempt is not cancelled.
func (c *Cancellation) ClearOnCancel() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callback = nil
	return c.cause == nil
}

// Cause returns why the attempt was cancelled; nil: it is not.
func (c *Cancellation) Cause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}

// Done returns a channel that is closed on cancellation.
func (c *Cancellation) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.cause != nil {
			close(c.done)
		}
	}
	return c.done
}

// Err, Deadline and Value implement a context without a deadline or values.
func (c *Cancellation) Err() error {
	if c.Cause() != nil {
		return context.Canceled
	}
	return nil
}

func (c *Cancellation) Deadline() (time.Time, bool) { return time.Time{}, false }
func (c *Cancellation) Value(any) any               { return nil }
