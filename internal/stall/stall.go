// Package stall distinguishes a timer that fired late from one that fired in time.
//
// A process stalls if it gets no processor time for a while: its machine is overloaded or
// suspended, or gives the processor to others. When it resumes, its timers have expired and the
// input of the meantime is still unread, and the timers often fire first. Code that concludes from
// a timer that nothing arrived has to read once more after a stall.
package stall

import "time"

// Threshold is the minimum lateness of a timer that counts as a stall. Timers of a running process
// fire within a few milliseconds.
const Threshold = 50 * time.Millisecond

// Detected reports whether a timer that fired this late indicates a stall.
func Detected(lateness time.Duration) bool { return lateness >= Threshold }
