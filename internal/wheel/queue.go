package wheel

import "time"

// ID is that of a value's timer. It is not given out again in four billion uses of its number.
type ID uint64

// Queue is a wheel of values, which gives out the numbers of the timers itself and holds
// as many as were ever set at once. It is for one goroutine.
type Queue[T any] struct {
	wheel *Wheel
	of    []value[T] // by number
	free  []uint32
}

// value is what a timer was set with, and for the how manieth time its number is in use:
// an ID that is over takes back nothing of who has its number now.
type value[T any] struct {
	of   T
	turn uint32
}

// NewQueue makes a queue whose timers are exact to a tick, as those of a wheel are.
func NewQueue[T any](tick time.Duration) *Queue[T] { return &Queue[T]{wheel: New(tick)} }

// Len is how many timers are set.
func (q *Queue[T]) Len() int { return q.wheel.Len() }

// Cap is how many there is a place for: as many as were ever set at once.
func (q *Queue[T]) Cap() int { return len(q.of) }

// Add sets a timer.
func (q *Queue[T]) Add(at time.Duration, of T) ID {
	var n uint32
	if last := len(q.free) - 1; last >= 0 {
		n, q.free = q.free[last], q.free[:last]
	} else {
		n = uint32(len(q.of))
		q.of = append(q.of, value[T]{})
	}
	v := &q.of[n]
	v.of = of
	v.turn++
	q.wheel.Set(n, at)
	return ID(v.turn)<<32 | ID(n)
}

// Cancel takes a timer back; it reports whether it was set.
func (q *Queue[T]) Cancel(id ID) bool {
	n := uint32(id)
	if int(n) >= len(q.of) || q.of[n].turn != uint32(id>>32) || !q.wheel.isSet(n) {
		return false
	}
	q.wheel.Clear(n)
	q.drop(n)
	return true
}

func (q *Queue[T]) drop(n uint32) (of T) {
	of, q.of[n].of = q.of[n].of, of // holds on to nothing
	q.free = append(q.free, n)
	return of
}

// Next is the time before which no timer is due, as a wheel's is.
func (q *Queue[T]) Next() (at time.Duration, ok bool) { return q.wheel.Next() }

// Advance tells the time, and calls due for each value whose timer is due by it.
func (q *Queue[T]) Advance(now time.Duration, due func(T)) {
	q.wheel.Advance(now, func(n uint32) { due(q.drop(n)) })
}
