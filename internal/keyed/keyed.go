// Package keyed remembers keyed requests whose effect may have run, with the place and time of
// their first send. A client that repeats a key, to this process or to its successor, must be
// routed to endpoints that deduplicate the repeat, as long as they do. The decision module
// ensures the same within one request; this package covers separate requests. It does no I/O
// and reads no clock.
package keyed

import (
	"time"

	"spokegw/internal/compact"
	"spokegw/internal/moves"
	"spokegw/internal/permit"
	"spokegw/internal/wheel"
	"spokegw/policy"
)

// MaxKeys bounds the number of remembered keys; beyond it the oldest are dropped. It is some
// seconds' worth at the request rates of a sidecar.
const MaxKeys = 8192

// repeatMargin is the fraction of a deduplication window that is not used for repeats, since a
// repeat takes time to reach its endpoint and may wait for a connection. At least
// permit.MaxStall is left unused.
const repeatMargin = 0.15

// entry is a key whose effect may have run.
type entry struct {
	scope      policy.Scope
	zone, cell int
	sent       time.Duration // time of the earliest send
	window     time.Duration // in which the endpoints of the group deduplicate repeats
	expires    time.Duration // no repeats are expected after this time
	inFlight   int           // attempts
	ran        bool          // an attempt that may have run has ended, or another process may have made one
	claimed    bool          // any other process that attempts the key later will have received our attempt first
	mask       moves.Mask    // the pools that it was routed to

	older, younger compact.Handle // in the order of their first sends; None: there is none
}

// Table holds the remembered keys. It must be used by one goroutine at a time.
type Table struct {
	entries          compact.Table[entry]
	expiry           *wheel.Wheel // expiry of the entries, by handle
	oldest, youngest compact.Handle
}

// expiryTick is the resolution of the expiry of keys.
const expiryTick = 4 * time.Millisecond

// New makes an empty table.
func New() *Table {
	return &Table{expiry: wheel.New(expiryTick), oldest: compact.None, youngest: compact.None}
}

// PriorSend states where and when the effect of a key may have run.
type PriorSend struct{ entry entry }

// Allows reports whether a repeat may go to an endpoint now, that is whether the endpoint would
// deduplicate it. After the end of the window, until the entry expires, no endpoint is allowed.
func (e PriorSend) Allows(now time.Duration, to policy.Endpoint) bool {
	window := e.entry.window
	if now-e.entry.sent >= min(time.Duration(float64(window)*(1-repeatMargin)), window-permit.MaxStall) {
		return false
	}
	return e.entry.inGroup(to)
}

// Mask states which pools the key was routed to.
func (e PriorSend) Mask() moves.Mask { return e.entry.mask }

// Find returns the prior send of a key; ok is false if no attempt of it can run or have run.
func (t *Table) Find(now time.Duration, key uint64) (e PriorSend, ok bool) {
	h := t.entries.Find(key)
	if h == compact.None || now >= t.entries.At(h).expires {
		return PriorSend{}, false
	}
	return PriorSend{*t.entries.At(h)}, true
}

// RecordSent records that an attempt of a key is sent to an endpoint. Its class must have the
// effect Keyed.
func (t *Table) RecordSent(now time.Duration, key uint64, c *policy.Class, to policy.Endpoint, mask moves.Mask) {
	h := t.entries.Find(key)
	if h == compact.None || now >= t.entries.At(h).expires {
		h = t.add(now, key, entry{
			scope: c.Scope, zone: to.Zone, cell: to.Cell, sent: now, window: c.DedupWindow, expires: now + c.DedupWindow + c.Deadline, mask: mask,
		})
	}
	t.entries.At(h).inFlight++
}

// DedupUntil returns the end of the window in which an endpoint deduplicates an attempt of the
// key that was just recorded; ok is false if the attempt is not a repeat.
func (t *Table) DedupUntil(key uint64) (end time.Duration, ok bool) {
	h := t.entries.Find(key)
	if h == compact.None {
		return 0, false
	}
	e := t.entries.At(h)
	return e.sent + e.window, e.ran || e.inFlight > 1
}

// inGroup reports whether an endpoint is in the group that the key's attempts are restricted
// to.
func (e *entry) inGroup(to policy.Endpoint) bool {
	switch e.scope {
	case policy.ScopeZone:
		return to.Zone == e.zone
	case policy.ScopeCell:
		return to.Cell == e.cell
	}
	return true
}

// Claim reports whether an attempt of a key may begin at an endpoint. The attempt must have
// been recorded as sent and published to the other processes, and all that they have published
// must have been adopted afterwards. From then on other processes abandon conflicting attempts:
// they publish theirs later and so find this one.
func (t *Table) Claim(key uint64, to policy.Endpoint) bool {
	h := t.entries.Find(key)
	if h == compact.None {
		return true
	}
	e := t.entries.At(h)
	if !e.inGroup(to) {
		return false
	}
	e.claimed = true
	return true
}

// RecordEnded records the end of an attempt that was sent. neverRan states that it provably did
// not run.
func (t *Table) RecordEnded(key uint64, neverRan bool) {
	h := t.entries.Find(key)
	if h == compact.None {
		return
	}
	e := t.entries.At(h)
	e.inFlight = max(e.inFlight-1, 0)
	if e.ran = e.ran || !neverRan; e.inFlight == 0 && !e.ran {
		t.remove(h)
	}
}

// add stores a key, replacing any existing entry. It drops expired entries, and the oldest one
// if the table is full.
func (t *Table) add(now time.Duration, key uint64, e entry) compact.Handle {
	t.expiry.Advance(now, t.remove)
	if h := t.entries.Find(key); h != compact.None {
		t.remove(h)
	}
	if t.entries.Len() >= MaxKeys {
		t.remove(t.oldest)
	}
	h, _ := t.entries.FindOrInsert(key)
	*t.entries.At(h) = e
	t.link(h, t.predecessor(e.sent))
	t.expiry.Set(h, e.expires)
	return h
}

// predecessor returns the youngest entry that was sent no later. Own keys are added in the
// order of their sends and those of another process in reverse order, so the search ends
// immediately.
func (t *Table) predecessor(sent time.Duration) compact.Handle {
	if t.oldest == compact.None || sent < t.entries.At(t.oldest).sent {
		return compact.None
	}
	h := t.youngest
	for t.entries.At(h).sent > sent {
		h = t.entries.At(h).older
	}
	return h
}

// link inserts an entry after another in the order of sends; None: as the oldest.
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
	t.expiry.Clear(h)
	t.entries.Remove(h)
}

// join makes two entries neighbours in the order of sends.
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

// Len is the number of remembered keys.
func (t *Table) Len() int { return t.entries.Len() }

// Note is a key as it is passed to another process. Times are relative, since the clocks need
// not agree.
type Note struct {
	Key        uint64
	Scope      policy.Scope
	Zone, Cell int
	Age        time.Duration // since the earliest send
	Window     time.Duration
	Left       time.Duration // until no repeats are expected
	Mask       moves.Mask    `json:",omitempty"`
}

// note returns the note of a key. Attempts in flight may still run.
func (e *entry) note(now time.Duration, key uint64) Note {
	return Note{key, e.scope, e.zone, e.cell, now - e.sent, e.window, e.expires - now, e.mask}
}

// NoteOf returns the note of a key that was just sent.
func (t *Table) NoteOf(now time.Duration, key uint64) (n Note, ok bool) {
	h := t.entries.Find(key)
	if h == compact.None {
		return Note{}, false
	}
	return t.entries.At(h).note(now, key), true
}

// Notes returns the notes of at most n remembered keys, the youngest first.
func (t *Table) Notes(now time.Duration, n int) (all []Note) {
	for h := t.youngest; h != compact.None && len(all) < n; h = t.entries.At(h).older {
		if e := t.entries.At(h); now < e.expires {
			all = append(all, e.note(now, t.entries.Key(h)))
		}
	}
	return all
}

// maxNoteTime bounds the durations in a note, against a faulty process. Windows may be as long
// as a day.
const maxNoteTime = 30 * 24 * time.Hour

// Adopt adopts a note of another process. Its effect is assumed to have run, since the result
// is not passed on. Invalid notes are ignored. A key that was claimed here takes precedence;
// otherwise the note does, and attempts that were recorded but not claimed will not be made.
func (t *Table) Adopt(now time.Duration, n Note) {
	invalid := n.Scope > policy.ScopeCell || min(n.Age, n.Window, n.Left) < 0 || max(n.Age, n.Window, n.Left) > maxNoteTime
	h := t.entries.Find(n.Key)
	if invalid || n.Left == 0 {
		return
	}
	adopted := entry{scope: n.Scope, zone: n.Zone, cell: n.Cell, sent: now - n.Age, window: n.Window, expires: now + n.Left, ran: true, mask: n.Mask}
	if h != compact.None && now < t.entries.At(h).expires {
		t.merge(now, h, adopted)
		return
	}
	if t.expiry.Advance(now, t.remove); t.entries.Len() >= MaxKeys && adopted.sent < t.entries.At(t.oldest).sent {
		return // the table keeps the youngest entries only
	}
	t.add(now, n.Key, adopted)
}

// merge replaces an entry by one that also covers what another process reported of its key.
func (t *Table) merge(now time.Duration, h compact.Handle, adopted entry) {
	e := *t.entries.At(h)
	same := e.scope == adopted.scope && adopted.inGroup(policy.Endpoint{Zone: e.zone, Cell: e.cell})
	if e.claimed && !same {
		return
	}
	if adopted.inFlight = e.inFlight; same {
		adopted.claimed, adopted.mask = e.claimed, e.mask
		adopted.sent, adopted.expires = min(adopted.sent, e.sent), max(adopted.expires, e.expires)
	}
	t.add(now, t.entries.Key(h), adopted)
}
