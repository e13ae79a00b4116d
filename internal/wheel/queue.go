package wheel

import "time"

// ID identifies a timer of a Queue. It is reused only after four billion uses of its number.
type ID uint64

// Queue is a timing wheel of values that assigns the numbers of its timers itself. Its size is
// the maximum number of timers that were ever set at once. It must be used by one goroutine at
// a time.
type Queue[T any] struct {
	wheel   *Wheel
	entries []entry[T] // by timer number
	free    []uint32
}

// entry is the value of a timer with the generation of the timer's number, so that an expired
// ID can't cancel a later timer of the same number.
type entry[T any] struct {
	value      T
	generation uint32
}

// NewQueue makes a queue with the resolution of a Wheel of this tick.
func NewQueue[T any](tick time.Duration) *Queue[T] { return &Queue[T]{wheel: New(tick)} }

// Len is the number of timers that are set.
func (q *Queue[T]) Len() int { return q.wheel.Len() }

// Cap is the number of allocated timers, the maximum that were ever set at once.
func (q *Queue[T]) Cap() int { return len(q.entries) }

// Add sets a timer.
func (q *Queue[T]) Add(at time.Duration, value T) ID {
	var n uint32
	if last := len(q.free) - 1; last >= 0 {
		n, q.free = q.free[last], q.free[:last]
	} else {
		n = uint32(len(q.entries))
		q.entries = append(q.entries, entry[T]{})
	}
	v := &q.entries[n]
	v.value = value
	v.generation++
	q.wheel.Set(n, at)
	return ID(v.generation)<<32 | ID(n)
}

// Cancel cancels a timer and reports whether it was set.
func (q *Queue[T]) Cancel(id ID) bool {
	n := uint32(id)
	if int(n) >= len(q.entries) || q.entries[n].generation != uint32(id>>32) || !q.wheel.isSet(n) {
		return false
	}
	q.wheel.Clear(n)
	q.release(n)
	return true
}

func (q *Queue[T]) release(n uint32) (value T) {
	value, q.entries[n].value = q.entries[n].value, value // releases the reference
	q.free = append(q.free, n)
	return value
}

// Next is the time before which no timer is due, as for a Wheel.
func (q *Queue[T]) Next() (at time.Duration, ok bool) { return q.wheel.Next() }

// Advance advances the time and calls due with the value of each timer that is due by then.
func (q *Queue[T]) Advance(now time.Duration, due func(T)) {
	q.wheel.Advance(now, func(n uint32) { due(q.release(n)) })
}
