package stall

import (
	"sync"
	"time"
)

// kept is how many stalls a record keeps.
const kept = 32

// Record keeps the latest stalls of a process, by something that is done over and over. Its methods
// may be called at the same time.
type Record struct {
	mu     sync.Mutex
	due    time.Time  // when it is done next; zero: nobody does it
	stalls [kept]span // the last that was noted stands before next
	next   int
}

// span is a stall, from when something was due until it was done.
type span struct{ from, to time.Time }

// Expect takes when it is to be done next.
func (r *Record) Expect(due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.due = due
}

// Done takes that it is done.
func (r *Record) Done(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, stalled := r.lasting(now); stalled {
		r.stalls[r.next] = s
		r.next = (r.next + 1) % kept
	}
	r.due = time.Time{}
}

// lasting is the stall that lasts until now, if one does.
func (r *Record) lasting(now time.Time) (s span, stalled bool) {
	return span{r.due, now}, !r.due.IsZero() && Detected(now.Sub(r.due))
}

// StalledBetween is for how long the process stalled between a time and now, by the stalls that are kept.
func (r *Record) StalledBetween(from, now time.Time) (sum time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, stalled := r.lasting(now); stalled {
		sum = s.since(from)
	}
	for _, s := range r.stalls {
		sum += s.since(from)
	}
	return sum
}

// since is the part of a stall that is after a time.
func (s span) since(from time.Time) time.Duration {
	if from.Before(s.from) {
		from = s.from
	}
	return max(s.to.Sub(from), 0)
}
