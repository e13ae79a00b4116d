// Package wheel tells which of many timers are due: a hierarchical timing wheel
// (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987, scheme 7), in
// which setting, changing and taking back a timer costs the same however many there
// are. It is pure: the time is told. Beside a heap and a map that is swept it is in
// bench/structures.
package wheel

import (
	"math/bits"
	"time"
)

const (
	bitsOfLevel = 6
	slots       = 1 << bitsOfLevel
	levels      = 8
	lastTick    = 1<<(bitsOfLevel*levels) - 1 // what is later is due then: 8,900 years of ms
)

// Wheel has at most one timer by each ID. IDs are to be small numbers: there is room
// for all up to the greatest. It is for one goroutine.
//
// A timer stands on the level of the highest group of six bits in which its tick
// differs from the present one, in the slot that those bits name. So all of a level
// come before all of the next, no slot is ever passed by, and the earliest stands in
// the first slot in use of the lowest level in use.
type Wheel struct {
	tick  time.Duration
	now   uint64
	heads [levels][slots]uint32 // id+1 of a slot's first timer; 0: none
	used  [levels]uint64        // the slots that have one, by bit
	nodes []node                // by ID
	set   int
}

// node is a timer in the list of its slot.
type node struct {
	at   uint64
	next uint32 // id+1; 0: it is the last
	prev uint32 // id+1, or first with level and slot; 0: the timer is not set
}

const first = 1 << 31

// New makes a wheel whose timers are exact to a tick: none is due early, and each at
// most a tick late.
func New(tick time.Duration) *Wheel { return &Wheel{tick: tick} }

// Len is how many timers are set.
func (w *Wheel) Len() int { return w.set }

// Set sets the timer of an ID, in the place of the one it had.
func (w *Wheel) Set(id uint32, at time.Duration) {
	if w.Clear(id); int(id) >= len(w.nodes) {
		w.nodes = append(w.nodes, make([]node, int(id)+1-len(w.nodes))...)
	}
	ticks := uint64(max(at, 0) / w.tick)
	if at > time.Duration(ticks)*w.tick {
		ticks++ // not before its time
	}
	w.nodes[id].at = max(w.now, min(ticks, lastTick))
	w.insert(id)
	w.set++
}

// Clear takes the timer of an ID back, if it is set.
func (w *Wheel) Clear(id uint32) {
	if !w.isSet(id) {
		return
	}
	n := &w.nodes[id]
	if n.next != 0 {
		w.nodes[n.next-1].prev = n.prev
	}
	if n.prev&first != 0 {
		level, slot := int(n.prev&^first)>>bitsOfLevel, n.prev&(slots-1)
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

// insert puts a timer that is in no list into that of its slot.
func (w *Wheel) insert(id uint32) {
	n := &w.nodes[id]
	level := max(bits.Len64(n.at^w.now)-1, 0) / bitsOfLevel
	slot := n.at >> (level * bitsOfLevel) & (slots - 1)
	n.prev, n.next = first|uint32(level<<bitsOfLevel)|uint32(slot), w.heads[level][slot]
	if n.next != 0 {
		w.nodes[n.next-1].prev = id + 1
	}
	w.heads[level][slot] = id + 1
	w.used[level] |= 1 << slot
}

// earliest is the first slot in use, and the tick it begins with.
func (w *Wheel) earliest() (level, slot int, begin uint64, ok bool) {
	for level, used := range w.used {
		if used != 0 {
			slot, shift := bits.TrailingZeros64(used), level*bitsOfLevel
			return level, slot, w.now>>(shift+bitsOfLevel)<<(shift+bitsOfLevel) | uint64(slot)<<shift, true
		}
	}
	return 0, 0, 0, false
}

// Next is the time before which no timer is due; ok is false where none is set. It may
// be earlier than the first timer: then Advance only brings that nearer.
func (w *Wheel) Next() (at time.Duration, ok bool) {
	_, _, begin, ok := w.earliest()
	return time.Duration(begin) * w.tick, ok
}

// Advance tells the time, and calls due for each timer that is due by it, earlier ticks
// first, in no order within one; it is not set any more then. due may set and clear
// timers; one that it sets for a time that is over is due in the same call. A time before one that was told is not gone back to.
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
