package front

import "time"

var started = time.Now()

// Now is the time since the process started, on the monotonic clock. Times stored as
// numbers are on this clock: on the wall clock, a step of an hour would make every
// connection look idle for an hour.
func Now() time.Duration { return time.Since(started) }

// At is the moment at which Now is d, for connection deadlines. It is not affected by
// wall clock steps.
func At(d time.Duration) time.Time { return started.Add(d) }

// Offset is the value of Now at a moment. A moment made by At, or taken from time.Now,
// is not affected by wall clock steps.
func Offset(t time.Time) time.Duration { return t.Sub(started) }
