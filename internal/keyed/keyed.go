// Package keyed remembers the keyed requests whose effect may have run: where it
// did, and since when. A client that asks again with the same key, in this process
// or in the one that takes its place, is to reach endpoints that drop the repeat,
// while they do. The decision module holds the same within one request; this is
// what goes beyond. It is pure.
package keyed

import (
	"time"

	"spokegw/internal/compact"
	"spokegw/internal/moves"
	"spokegw/internal/permit"
	"spokegw/internal/wheel"
	"spokegw/policy"
)

// MaxKeys bounds the keys that are remembered; of more than that the oldest go. They
// are some seconds' worth at the rates that come to a sidecar.
const MaxKeys = 8192

// margin is the part of a window that is left unused by who decides on a repeat: it has
// a way to go, and maybe a connection to wait for. At least permit.MaxStall is left.
const margin = 0.15

// entry is a key whose effect may have run.
type entry struct {
	scope      policy.Scope
	zone, cell int
	sent       time.Duration // the earliest
	window     time.Duration // in which the endpoints of the group drop repeats
	until      time.Duration // when nobody asks again
	out        int           // attempts
	ran        bool          // one has ended that may have run, or another process may have made one
	claimed    bool          // another process that makes an attempt later knows of ours before that
	mask       moves.Mask    // the pools that it met

	older, younger compact.Handle // by when they were first sent; None: there is none
}

// Table is what is remembered. It is for one goroutine.
type Table struct {
	entries          compact.Table[entry]
	over             *wheel.Wheel // when nobody asks again, by handle
	oldest, youngest compact.Handle
}

// tick is how exactly what nobody asks for again is dropped.
const tick = 4 * time.Millisecond

// New makes a table that remembers nothing.
func New() *Table {
	return &Table{over: wheel.New(tick), oldest: compact.None, youngest: compact.None}
}

// PriorSend is where and when the effect of a key may have run.
type PriorSend struct{ entry entry }

// Allows reports whether a repeat may go to an endpoint now: it drops what has run
// already. Where the window is over, and the client has not given up yet, none does.
func (e PriorSend) Allows(now time.Duration, to policy.Endpoint) bool {
	window := e.entry.window
	if now-e.entry.sent >= min(time.Duration(float64(window)*(1-margin)), window-permit.MaxStall) {
		return false
	}
	return e.entry.meets(to)
}

// Mask is which pools the key met.
func (e PriorSend) Mask() moves.Mask { return e.entry.mask }

// Find tells what is remembered of a key; ok is false where nothing of it can run
// or have run.
func (t *Table) Find(now time.Duration, key uint64) (e PriorSend, ok bool) {
	h := t.entries.Find(key)
	if h == compact.None || now >= t.entries.At(h).until {
		return PriorSend{}, false
	}
	return PriorSend{*t.entries.At(h)}, true
}

// RecordSent notes that an attempt of a key goes to an endpoint. Its class is Keyed.
func (t *Table) RecordSent(now time.Duration, key uint64, c *policy.Class, to policy.Endpoint, mask moves.Mask) {
	h := t.entries.Find(key)
	if h == compact.None || now >= t.entries.At(h).until {
		h = t.add(now, key, entry{
			scope: c.Scope, zone: to.Zone, cell: to.Cell, sent: now, window: c.DedupWindow, until: now + c.DedupWindow + c.Deadline, mask: mask,
		})
	}
	t.entries.At(h).out++
}

// DedupUntil tells when the window ends in which its endpoint drops an attempt of a key, that was
// just noted as sent, as a repeat; ok is false where it is none.
func (t *Table) DedupUntil(key uint64) (end time.Duration, ok bool) {
	h := t.entries.Find(key)
	if h == compact.None {
		return 0, false
	}
	e := t.entries.At(h)
	return e.sent + e.window, e.ran || e.out > 1
}

// meets reports whether an endpoint is in the group that the key's attempts go to.
func (e *entry) meets(to policy.Endpoint) bool {
	switch e.scope {
	case policy.ScopeZone:
		return to.Zone == e.zone
	case policy.ScopeCell:
		return to.Cell == e.cell
	}
	return true
}

// Claim reports whether an attempt of a key, which was noted as sent and has been told to the
// other processes, may begin at an endpoint, after all that they have told was adopted. From
// then on another process gives way: it has told of its attempt later, and so finds this one.
func (t *Table) Claim(key uint64, to policy.Endpoint) bool {
	h := t.entries.Find(key)
	if h == compact.None {
		return true
	}
	e := t.entries.At(h)
	if !e.meets(to) {
		return false
	}
	e.claimed = true
	return true
}

// RecordEnded notes the end of an attempt that was sent. neverRan tells that it is
// proved not to have run.
func (t *Table) RecordEnded(key uint64, neverRan bool) {
	h := t.entries.Find(key)
	if h == compact.None {
		return
	}
	e := t.entries.At(h)
	e.out = max(e.out-1, 0)
	if e.ran = e.ran || !neverRan; e.out == 0 && !e.ran {
		t.remove(h)
	}
}

// add remembers a key, in the place of what was known of it. It drops what nobody asks
// for again, and the oldest if the room is used up.
func (t *Table) add(now time.Duration, key uint64, e entry) compact.Handle {
	t.over.Advance(now, t.remove)
	if h := t.entries.Find(key); h != compact.None {
		t.remove(h)
	}
	if t.entries.Len() >= MaxKeys {
		t.remove(t.oldest)
	}
	h, _ := t.entries.FindOrInsert(key)
	*t.entries.At(h) = e
	t.link(h, t.before(e.sent))
	t.over.Set(h, e.until)
	return h
}

// before is the youngest that was sent no later. Keys come in the order of their sends,
// and those of another process the other way round: the search ends at once.
func (t *Table) before(sent time.Duration) compact.Handle {
	if t.oldest == compact.None || sent < t.entries.At(t.oldest).sent {
		return compact.None
	}
	h := t.youngest
	for t.entries.At(h).sent > sent {
		h = t.entries.At(h).older
	}
	return h
}

// link puts an entry behind another in the order of sends; None: it is the oldest.
func (t *Table) link(h, older compact.Handle) {
	younger := t.oldest
	if older != compact.None {
		younger = t.entries.At(older).younger
	}
	t.join(older, h)
	t.join(h, younger)
}

func (t *Table) remove(h compact.Handle) {
	e := t.entries.At(h)
	t.join(e.older, e.younger)
	t.over.Clear(h)
	t.entries.Remove(h)
}

// join makes two neighbours in the order of sends.
func (t *Table) join(older, younger compact.Handle) {
	if older == compact.None {
		t.oldest = younger
	} else {
		t.entries.At(older).younger = younger
	}
	if younger == compact.None {
		t.youngest = older
	} else {
		t.entries.At(younger).older = older
	}
}

// Len is how many keys are remembered.
func (t *Table) Len() int { return t.entries.Len() }

// Note is one key as it is told to another process: by ages, since clocks need not
// agree.
type Note struct {
	Key        uint64
	Scope      policy.Scope
	Zone, Cell int
	Age        time.Duration // since the earliest send
	Window     time.Duration
	Left       time.Duration // until nobody asks again
	Mask       moves.Mask    `json:",omitempty"`
}

// note is a key's; its attempts that are out may run yet.
func (e *entry) note(now time.Duration, key uint64) Note {
	return Note{key, e.scope, e.zone, e.cell, now - e.sent, e.window, e.until - now, e.mask}
}

// NoteOf is the note of a key that was just sent.
func (t *Table) NoteOf(now time.Duration, key uint64) (n Note, ok bool) {
	h := t.entries.Find(key)
	if h == compact.None {
		return Note{}, false
	}
	return t.entries.At(h).note(now, key), true
}

// Notes are those of the keys remembered, at most n, the youngest first.
func (t *Table) Notes(now time.Duration, n int) (all []Note) {
	for h := t.youngest; h != compact.None && len(all) < n; h = t.entries.At(h).older {
		if e := t.entries.At(h); now < e.until {
			all = append(all, e.note(now, t.entries.Key(h)))
		}
	}
	return all
}

// longest bounds the times that a note may tell, against a process that is not
// well. Windows may be as long as a day.
const longest = 30 * 24 * time.Hour

// Adopt takes a note of another process. Its effect is taken to have run: whether
// it did is not told any more. What can't be meant is left out. What has been claimed here goes
// before it; else the note does, and attempts that are noted and not claimed are not made.
func (t *Table) Adopt(now time.Duration, n Note) {
	bad := n.Scope > policy.ScopeCell || min(n.Age, n.Window, n.Left) < 0 || max(n.Age, n.Window, n.Left) > longest
	h := t.entries.Find(n.Key)
	if bad || n.Left == 0 {
		return
	}
	next := entry{scope: n.Scope, zone: n.Zone, cell: n.Cell, sent: now - n.Age, window: n.Window, until: now + n.Left, ran: true, mask: n.Mask}
	if h != compact.None && now < t.entries.At(h).until {
		t.meet(now, h, next)
		return
	}
	if t.over.Advance(now, t.remove); t.entries.Len() >= MaxKeys && next.sent < t.entries.At(t.oldest).sent {
		return // there is room for the youngest only
	}
	t.add(now, n.Key, next)
}

// meet has an entry stand for what another process tells of its key as well.
func (t *Table) meet(now time.Duration, h compact.Handle, told entry) {
	e := *t.entries.At(h)
	same := e.scope == told.scope && told.meets(policy.Endpoint{Zone: e.zone, Cell: e.cell})
	if e.claimed && !same {
		return
	}
	if told.out = e.out; same {
		told.claimed, told.mask = e.claimed, e.mask
		told.sent, told.until = min(told.sent, e.sent), max(told.until, e.until)
	}
	t.add(now, t.entries.Key(h), told)
}
