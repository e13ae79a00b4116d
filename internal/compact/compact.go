// Package compact holds a table of values by a 64-bit key, for many small entries that
// come and go: open addressing with linear probing over indexes of four bytes, and the
// entries in one slab. It is beside a map of the same in bench/structures.
//
// An entry keeps its handle for as long as it is there, so that lists and timers
// (internal/wheel) can name it. The slab holds no pointer if V holds none: the
// collector has nothing to look at.
package compact

import "math/bits"

// Handle names an entry while it is there. Handles are small: the next that is free.
type Handle = uint32

// None is no entry's handle.
const None = ^Handle(0)

const (
	firstSlots = 8
	mixer      = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio (Knuth, TAOCP 3, 6.4)
)

// Table is the table; its zero value is empty and ready. It is for one goroutine. What
// bounds it is who puts entries in: it never drops one, and keeps its room.
//
// Keys that many entries share a slot of make it slow. Where others choose keys, they
// have to be hashed with a secret first.
type Table[V any] struct {
	slots []uint32 // handle+1, at the key's slot or behind it; 0: free. A power of two
	shift uint8    // from the mixed key's 64 bits to a slot
	slab  []entry[V]
	free  []Handle
}

type entry[V any] struct {
	key   uint64
	value V
}

// Len is how many entries there are.
func (t *Table[V]) Len() int { return len(t.slab) - len(t.free) }

// At is an entry's value, to be read and changed until the next FindOrInsert.
func (t *Table[V]) At(h Handle) *V { return &t.slab[h].value }

// Key is an entry's key.
func (t *Table[V]) Key(h Handle) uint64 { return t.slab[h].key }

// Find is the handle of a key's entry, None if there is none.
func (t *Table[V]) Find(key uint64) Handle {
	if len(t.slots) == 0 {
		return None
	}
	for i := t.home(key); t.slots[i] != 0; i = t.after(i) {
		if h := t.slots[i] - 1; t.slab[h].key == key {
			return h
		}
	}
	return None
}

// FindOrInsert is the handle of a key's entry, a fresh one of V's zero value if there was none.
func (t *Table[V]) FindOrInsert(key uint64) (h Handle, fresh bool) {
	if h = t.Find(key); h != None {
		return h, false
	}
	if 4*(t.Len()+1) > 3*len(t.slots) {
		t.grow()
	}
	if n := len(t.free); n > 0 {
		h, t.free = t.free[n-1], t.free[:n-1]
	} else {
		h, t.slab = Handle(len(t.slab)), append(t.slab, entry[V]{})
	}
	t.slab[h].key = key
	t.place(h)
	return h, true
}

// Remove takes an entry out. Its handle goes to another one.
func (t *Table[V]) Remove(h Handle) {
	i := t.home(t.slab[h].key)
	for t.slots[i] != h+1 {
		i = t.after(i)
	}
	// What stands behind moves up, as far as its own slot: no mark of the removed is
	// left for searches to step over (TAOCP 3, 6.4, algorithm R).
	for j := t.after(i); t.slots[j] != 0; j = t.after(j) {
		home := t.home(t.slab[t.slots[j]-1].key)
		if t.distance(home, j) >= t.distance(i, j) {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = 0
	t.slab[h] = entry[V]{}
	t.free = append(t.free, h)
}

func (t *Table[V]) home(key uint64) int { return int(key * mixer >> t.shift) }
func (t *Table[V]) after(i int) int     { return (i + 1) & (len(t.slots) - 1) }

// distance is how many slots it is from one to another, going on.
func (t *Table[V]) distance(from, to int) int { return (to - from) & (len(t.slots) - 1) }

func (t *Table[V]) place(h Handle) {
	i := t.home(t.slab[h].key)
	for t.slots[i] != 0 {
		i = t.after(i)
	}
	t.slots[i] = h + 1
}

// grow doubles the slots. The free handles are those that no slot names.
func (t *Table[V]) grow() {
	old := t.slots
	t.slots = make([]uint32, max(2*len(old), firstSlots))
	t.shift = uint8(64 - bits.TrailingZeros(uint(len(t.slots))))
	for _, named := range old {
		if named != 0 {
			t.place(named - 1)
		}
	}
}
