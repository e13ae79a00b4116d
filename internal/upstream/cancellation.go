package upstream

import (
	"context"
	"sync"
	"time"
)

// Cancellation is how one attempt is told to end: once, by a cause; the first one counts. Its
// zero value goes on. It is a context for what has to wait (a dial, a place), and made for
// the usual attempt, for which nothing waits on it and that is never ended early: no
// channel is made before one is asked for, and what is to be done at the end is one
// function, that of the connection in use.
type Cancellation struct {
	mu    sync.Mutex
	cause error
	done  chan struct{} // nil: nobody asked for it
	at    func()        // nil: there is nothing to do
}

// Cancel ends it, unless that was done before. It does not wait for what is done at the end:
// it may be called by who holds locks that this takes.
func (e *Cancellation) Cancel(cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cause != nil {
		return
	}
	e.cause = cause
	if e.done != nil {
		close(e.done)
	}
	if e.at != nil {
		go e.at() // sets deadlines, and returns
		e.at = nil
	}
}

// CancelUnsent ends it where nothing is to be done at the end, as before the attempt has a
// connection: nothing of it has been sent then.
func (e *Cancellation) CancelUnsent(cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cause != nil || e.at != nil {
		return
	}
	e.cause = cause
	if e.done != nil {
		close(e.done)
	}
}

// OnCancel sets what is done at the end, in place of what was set before. Where that has been,
// it is done at once.
func (e *Cancellation) OnCancel(do func()) {
	e.mu.Lock()
	ended := e.cause != nil
	if !ended {
		e.at = do
	}
	e.mu.Unlock()
	if ended {
		do()
	}
}

// ClearOnCancel takes back what is to be done, and reports whether it was not begun.
func (e *Cancellation) ClearOnCancel() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.at = nil
	return e.cause == nil
}

// Cause is why it has ended; nil: it has not.
func (e *Cancellation) Cause() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cause
}

// Done is closed at the end.
func (e *Cancellation) Done() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.done == nil {
		e.done = make(chan struct{})
		if e.cause != nil {
			close(e.done)
		}
	}
	return e.done
}

// Err, Deadline and Value are those of a context without a deadline or values.
func (e *Cancellation) Err() error {
	if e.Cause() != nil {
		return context.Canceled
	}
	return nil
}

func (e *Cancellation) Deadline() (time.Time, bool) { return time.Time{}, false }
func (e *Cancellation) Value(any) any               { return nil }
