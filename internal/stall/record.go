package stall

import (
	"sync"
	"time"
)

// maxStalls is the number of stalls that a Record keeps.
const maxStalls = 32

// Record keeps the latest stalls of a process, detected by a recurring action that is late. It is
// safe for concurrent use.
type Record struct {
	mu     sync.Mutex
	due    time.Time           // of the next action; zero: none is expected
	stalls [maxStalls]interval // a ring buffer; next is the oldest entry
	next   int
}

// interval is a stall, from when an action was due until it was done.
type interval struct{ from, to time.Time }

// Expect sets when the next action is due.
func (r *Record) Expect(due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.due = due
}

// Done records that the action was done.
func (r *Record) Done(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, stalled := r.ongoing(now); stalled {
		r.stalls[r.next] = s
		r.next = (r.next + 1) % maxStalls
	}
	r.due = time.Time{}
}

// ongoing returns the stall that lasts until now, if there is one.
func (r *Record) ongoing(now time.Time) (s interval, stalled bool) {
	return interval{r.due, now}, !r.due.IsZero() && Detected(now.Sub(r.due))
}

// StalledBetween returns how long the process stalled between from and now, by the stalls kept.
func (r *Record) StalledBetween(from, now time.Time) (sum time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, stalled := r.ongoing(now); stalled {
		sum = s.after(from)
	}
	for _, s := range r.stalls {
		sum += s.after(from)
	}
	return sum
}

// after returns the part of a stall after a time.
func (s interval) after(from time.Time) time.Duration {
	if from.Before(s.from) {
		from = s.from
	}
	return max(s.to.Sub(from), 0)
}
