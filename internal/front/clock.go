package front

import "time"

var started = time.Now()

// Now is the time since the process started, by a clock that nobody sets. Times
// that are kept as numbers are of it: by that of the day a step of an hour would
// take every connection for one that has rested for an hour.
func Now() time.Duration { return time.Since(started) }

// At is the moment at which Now is d, for deadlines of connections. It holds
// through steps of the clock.
func At(d time.Duration) time.Time { return started.Add(d) }

// Until is the time at which Now is at a moment; one that was made by At, or
// from time.Now, is not moved by steps of the clock.
func Until(t time.Time) time.Duration { return t.Sub(started) }
