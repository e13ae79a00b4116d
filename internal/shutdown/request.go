package shutdown

import (
	"context"
	"errors"
	"time"
)

// Requested is the cause of a context that ends because the process was asked to stop.
type Requested struct {
	At time.Time // when the signal was received
}

// Error implements error.
func (r *Requested) Error() string { return "the process was asked to stop" }

// RequestedAt returns when the stop was requested that has ended ctx: the time in its cause, or now
// if the cause has none.
func RequestedAt(ctx context.Context) time.Time {
	var r *Requested
	if errors.As(context.Cause(ctx), &r) {
		return r.At
	}
	return time.Now()
}
