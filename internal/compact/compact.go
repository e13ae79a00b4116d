// Package compact implements a hash table with 64-bit keys for many small short-lived
// entries: open addressing with linear probing over four-byte indexes, and the entries
// in one slab. bench/structures compares it with a map.
//
// An entry keeps its handle while it exists, so that lists and timers (internal/wheel)
// can refer to it. The slab holds no pointers if V holds none: the garbage collector
// does not scan it.
package compact

import "math/bits"

// Handle identifies an entry while it exists. Handles are small: freed ones are reused.
type Handle = uint32

// None is a Handle that no entry has.
const None = ^Handle(0)

const (
	minSlots       = 8
	hashMultiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio (Knuth, TAOCP 3, 6.4)
)

// Table is a hash table; its zero value is empty and ready to use. It is not for
// concurrent use. It never drops an entry or releases memory: callers bound its size.
//
// Many keys with the same home slot make it slow. Keys chosen by others have to be
// hashed with a secret first.
type Table[V any] struct {
	slots []uint32 // handle+1, at or after the key's home slot; 0: free. The length is a power of two
	shift uint8    // reduces the mixed 64-bit key to a slot
	slab  []entry[V]
	free  []Handle
}

type entry[V any] struct {
	key   uint64
	value V
}

// Len returns the number of entries.
func (t *Table[V]) Len() int { return len(t.slab) - len(t.free) }

// At returns an entry's value, to be read and changed until the next FindOrInsert.
func (t *Table[V]) At(h Handle) *V { return &t.slab[h].value }

// Key returns an entry's key.
func (t *Table[V]) Key(h Handle) uint64 { return t.slab[h].key }

// Find returns the handle of a key's entry, or None.
func (t *Table[V]) Find(key uint64) Handle {
	if len(t.slots) == 0 {
		return None
	}
	for i := t.homeSlot(key); t.slots[i] != 0; i = t.nextSlot(i) {
		if h := t.slots[i] - 1; t.slab[h].key == key {
			return h
		}
	}
	return None
}

// FindOrInsert returns the handle of a key's entry, inserting the zero value if there is none.
func (t *Table[V]) FindOrInsert(key uint64) (h Handle, inserted bool) {
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
	t.insertSlot(h)
	return h, true
}

// Remove deletes an entry. Its handle will be reused.
func (t *Table[V]) Remove(h Handle) {
	i := t.homeSlot(t.slab[h].key)
	for t.slots[i] != h+1 {
		i = t.nextSlot(i)
	}
	// The entries behind move up, at most to their home slot, so that no tombstones are
	// needed (TAOCP 3, 6.4, algorithm R).
	for j := t.nextSlot(i); t.slots[j] != 0; j = t.nextSlot(j) {
		home := t.homeSlot(t.slab[t.slots[j]-1].key)
		if t.distance(home, j) >= t.distance(i, j) {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = 0
	t.slab[h] = entry[V]{}
	t.free = append(t.free, h)
}

func (t *Table[V]) homeSlot(key uint64) int { return int(key * hashMultiplier >> t.shift) }
func (t *Table[V]) nextSlot(i int) int      { return (i + 1) & (len(t.slots) - 1) }

// distance returns the number of slots from one to another, with wrap-around.
func (t *Table[V]) distance(from, to int) int { return (to - from) & (len(t.slots) - 1) }

func (t *Table[V]) insertSlot(h Handle) {
	i := t.homeSlot(t.slab[h].key)
	for t.slots[i] != 0 {
		i = t.nextSlot(i)
	}
	t.slots[i] = h + 1
}

// grow doubles the slots. The free handles are those that no slot refers to.
func (t *Table[V]) grow() {
	old := t.slots
	t.slots = make([]uint32, max(2*len(old), minSlots))
	t.shift = uint8(64 - bits.TrailingZeros(uint(len(t.slots))))
	for _, ref := range old {
		if ref != 0 {
			t.insertSlot(ref - 1)
		}
	}
}
