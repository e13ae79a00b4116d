// Package wheel is a hierarchical timing wheel (Varghese and Lauck, "Hashed and Hierarchical
// Timing Wheels", 1987, scheme 7): setting, changing and cancelling a timer costs the same for
// any number of timers. It reads no clock; the caller passes the time. bench/structures
// compares it with a heap and with a map that is scanned.
package wheel

import (
	"math/bits"
	"time"
)

const (
	levelBits = 6
	slots     = 1 << levelBits
	levels    = 8
	lastTick  = 1<<(levelBits*levels) - 1 // later timers are due at this tick: 8,900 years of ms
)

// Wheel holds at most one timer for each ID. IDs should be small numbers, since there is space
// for all up to the greatest one. A Wheel must be used by one goroutine at a time.
//
// The level of a timer is the highest group of six bits in which its tick differs from the
// current one, and its slot is the value of those bits. So all timers of a level are due before
// those of the next, no slot is ever skipped, and the earliest timer is in the first used slot
// of the lowest used level.
type Wheel struct {
	tick  time.Duration
	now   uint64
	heads [levels][slots]uint32 // id+1 of a slot's first timer; 0: none
	used  [levels]uint64        // bit set of the non-empty slots
	nodes []node                // by ID
	set   int
}

// node is a timer in the list of its slot.
type node struct {
	at   uint64
	next uint32 // id+1; 0: it is the last
	prev uint32 // id+1, or headFlag with level and slot; 0: the timer is not set
}

const headFlag = 1 << 31

// New makes a wheel with a resolution of tick: no timer is due early, and each is at most one
// tick late.
func New(tick time.Duration) *Wheel { return &Wheel{tick: tick} }

// Len is the number of timers that are set.
func (w *Wheel) Len() int { return w.set }

// Set sets the timer of an ID, replacing its previous one.
func (w *Wheel) Set(id uint32, at time.Duration) {
	if w.Clear(id); int(id) >= len(w.nodes) {
		w.nodes = append(w.nodes, make([]node, int(id)+1-len(w.nodes))...)
	}
	ticks := uint64(max(at, 0) / w.tick)
	if at > time.Duration(ticks)*w.tick {
		ticks++ // round up, so that it is not early
	}
	w.nodes[id].at = max(w.now, min(ticks, lastTick))
	w.insert(id)
	w.set++
}

// Clear cancels the timer of an ID, if it is set.
func (w *Wheel) Clear(id uint32) {
	if !w.isSet(id) {
		return
	}
	n := &w.nodes[id]
	if n.next != 0 {
		w.nodes[n.next-1].prev = n.prev
	}
	if n.prev&headFlag != 0 {
		level, slot := int(n.prev&^headFlag)>>levelBits, n.prev&(slots-1)
		if w.heads[level][slot] = n.next; n.next == 0 {
			w.used[level] &^= 1 << slot
		}
	} else {
		w.nodes[n.prev-1].next = n.next
	}
	n.next, n.prev = 0, 0
	w.set--
}

func (w *Wheel) isSet(id uint32) bool { return int(id) < len(w.nodes) && w.nodes[id].prev != 0 }

// insert puts a timer that is in no list into the list of its slot.
func (w *Wheel) insert(id uint32) {
	n := &w.nodes[id]
	level := max(bits.Len64(n.at^w.now)-1, 0) / levelBits
	slot := n.at >> (level * levelBits) & (slots - 1)
	n.prev, n.next = headFlag|uint32(level<<levelBits)|uint32(slot), w.heads[level][slot]
	if n.next != 0 {
		w.nodes[n.next-1].prev = id + 1
	}
	w.heads[level][slot] = id + 1
	w.used[level] |= 1 << slot
}

// earliest returns the first used slot and the tick that it begins with.
func (w *Wheel) earliest() (level, slot int, begin uint64, ok bool) {
	for level, used := range w.used {
		if used != 0 {
			slot, shift := bits.TrailingZeros64(used), level*levelBits
			return level, slot, w.now>>(shift+levelBits)<<(shift+levelBits) | uint64(slot)<<shift, true
		}
	}
	return 0, 0, 0, false
}

// Next is the time before which no timer is due; ok is false if none is set. It may be earlier
// than the first timer: Advance then only moves the timers to lower levels.
func (w *Wheel) Next() (at time.Duration, ok bool) {
	_, _, begin, ok := w.earliest()
	return time.Duration(begin) * w.tick, ok
}

// Advance advances the time and calls due for each timer that is due by then, in the order of
// ticks, unordered within a tick. The timer is no longer set at that point. due may set and
// clear timers; one that it sets for a past time is due in the same call. Time does not go
// backwards: an earlier time is ignored.
func (w *Wheel) Advance(now time.Duration, due func(id uint32)) {
	target := uint64(max(now, 0) / w.tick)
	for {
		level, slot, begin, ok := w.earliest()
		if !ok || begin > target {
			break
		}
		w.now = max(w.now, begin)
		if level == 0 {
			id := w.heads[0][slot] - 1
			w.Clear(id)
			due(id)
			continue
		}
		w.used[level] &^= 1 << slot
		next := w.heads[level][slot]
		w.heads[level][slot] = 0
		for next != 0 {
			id := next - 1
			next = w.nodes[id].next
			w.insert(id)
		}
	}
	w.now = max(w.now, min(target, lastTick))
}
