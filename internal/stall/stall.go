// Package stall tells a timer that went off late from one that went off in time.
//
// A process stalls where it gets no processor for a while: its machine is short of them, is
// suspended, or gives them to others. When it goes on, its timers have run out and what
// came meanwhile waits to be read, and the timers are often first. Whoever judges by a
// timer that nothing came has to read once more after a stall.
package stall

import "time"

// Threshold is how late a timer goes off, at least, for the process to have stalled. Timers
// of a process that runs go off within a few milliseconds.
const Threshold = 50 * time.Millisecond

// Detected reports whether a timer that goes off so long after it was due tells of a stall.
func Detected(late time.Duration) bool { return late >= Threshold }
