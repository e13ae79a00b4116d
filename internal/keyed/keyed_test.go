package keyed

import (
	"encoding/json"
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spokegw/internal/permit"
	"spokegw/policy"
)

// Fixed seed for reproducible runs; use -rapid.seed=N for another one.
func init() { flag.Set("rapid.seed", "1") }

const ms = time.Millisecond

var cellClass = &policy.Class{Effect: policy.Keyed, Scope: policy.ScopeCell, DedupWindow: 600 * ms, Deadline: 300 * ms}

func endpointIn(cell int) policy.Endpoint { return policy.Endpoint{Zone: cell / 10, Cell: cell} }

// A repeat goes where the first attempt may have run, within its deduplication window, and
// nowhere until the entry expires. After that the key counts as new.
func TestRepeats(t *testing.T) {
	table := New()
	table.RecordSent(0, 7, cellClass, endpointIn(3), 0)
	for _, c := range []struct {
		at      time.Duration
		cell    int
		known   bool
		allowed bool
	}{
		{0, 3, true, true}, {0, 4, true, false}, {449 * ms, 3, true, true}, {449 * ms, 4, true, false},
		{450 * ms, 3, true, false}, {520 * ms, 3, true, false}, {899 * ms, 3, true, false}, {900 * ms, 3, false, false},
	} {
		e, known := table.Find(c.at, 7)
		if known != c.known || known && e.Allows(c.at, endpointIn(c.cell)) != c.allowed {
			t.Errorf("at %v in cell %d: known %v, allowed %v", c.at, c.cell, known, known && e.Allows(c.at, endpointIn(c.cell)))
		}
	}
	if _, known := table.Find(0, 8); known {
		t.Error("a key that nobody sent is known")
	}
}

// The window counts from the earliest send. A key of which nothing ran is forgotten only when
// none of its attempts is in flight.
func TestRecordEnded(t *testing.T) {
	table := New()
	table.RecordSent(0, 7, cellClass, endpointIn(3), 0)
	table.RecordSent(100*ms, 7, cellClass, endpointIn(3), 0)
	table.RecordEnded(7, true)
	if _, known := table.Find(200*ms, 7); !known {
		t.Error("a key with an attempt in flight is forgotten")
	}
	if e, _ := table.Find(520*ms, 7); e.Allows(520*ms, endpointIn(3)) {
		t.Error("the window counts from the second send")
	}
	table.RecordEnded(7, true)
	if _, known := table.Find(200*ms, 7); known {
		t.Error("a key that never ran is remembered")
	}
	table.RecordSent(300*ms, 7, cellClass, endpointIn(5), 0)
	table.RecordEnded(7, false)
	table.RecordEnded(7, true) // one more end than sends
	if e, known := table.Find(400*ms, 7); !known || !e.Allows(400*ms, endpointIn(5)) || e.Allows(400*ms, endpointIn(3)) {
		t.Error("a key that may have run is forgotten, or goes elsewhere")
	}
}

func TestScopes(t *testing.T) {
	for scope, allowed := range map[policy.Scope]bool{policy.ScopeAll: true, policy.ScopeZone: true, policy.ScopeCell: false} {
		table, c := New(), *cellClass
		c.Scope = scope
		table.RecordSent(0, 1, &c, endpointIn(11), 0)
		e, _ := table.Find(0, 1)
		if e.Allows(0, endpointIn(12)) != allowed || e.Allows(0, endpointIn(31)) != (scope == policy.ScopeAll) {
			t.Errorf("scope %d", scope)
		}
	}
}

// Notes passed to another process with a different clock have the same effect there.
func TestNotesToAnotherProcess(t *testing.T) {
	const here, there = 50 * time.Second, 9 * time.Hour
	old := New()
	old.RecordSent(here, 1, cellClass, endpointIn(3), 0)
	old.RecordSent(here+100*ms, 2, cellClass, endpointIn(4), 0)
	old.RecordSent(here, 3, cellClass, endpointIn(5), 0)
	old.RecordEnded(3, true)
	text, err := json.Marshal(old.Notes(here+200*ms, 10))
	if err != nil {
		t.Fatal(err)
	}
	var notes []Note
	if err := json.Unmarshal(text, &notes); err != nil || len(notes) != 2 || notes[0].Key != 2 {
		t.Fatal(notes, err)
	}
	successor := New()
	for _, n := range notes {
		successor.Adopt(there, n)
		successor.Adopt(there, n) // a duplicate
	}
	for _, c := range []struct {
		after time.Duration
		key   uint64
		cell  int
	}{{0, 1, 3}, {300 * ms, 1, 3}, {320 * ms, 1, 3}, {699 * ms, 1, 3}, {700 * ms, 1, 3}, {0, 2, 4}, {0, 2, 3}, {0, 3, 5}} {
		e, known := old.Find(here+200*ms+c.after, c.key)
		f, knownThere := successor.Find(there+c.after, c.key)
		if known != knownThere || known && e.Allows(here+200*ms+c.after, endpointIn(c.cell)) != f.Allows(there+c.after, endpointIn(c.cell)) {
			t.Errorf("%+v: known %v and %v", c, known, knownThere)
		}
	}
	for _, bad := range []Note{{Key: 9, Age: -1, Window: 1, Left: 1}, {Key: 9, Window: -1, Left: 1}, {Key: 9, Left: 2 * maxNoteTime}, {Key: 9, Scope: 200, Left: 1}, {Key: 9}} {
		if successor.Adopt(there, bad); successor.Len() != 2 {
			t.Errorf("%+v was adopted", bad)
		}
	}
}

// Regression test: notes with a long window were rejected, so that the key was also sent to
// another cell.
func TestAdoptLongWindow(t *testing.T) {
	for _, window := range []time.Duration{time.Hour, 24 * time.Hour} {
		table := New()
		table.Adopt(0, Note{Key: 9, Scope: policy.ScopeCell, Cell: 3, Window: window, Left: window + time.Minute})
		if e, known := table.Find(time.Minute, 9); !known || e.Allows(time.Minute, endpointIn(4)) {
			t.Errorf("a window of %v: known %v", window, known)
		}
	}
}

// Compares the table with a simple model.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type modelEntry struct {
			at       time.Duration
			cell     int
			inFlight int
			ran      bool
		}
		table, model, now := New(), map[uint64]*modelEntry{}, time.Duration(0)
		key := rapid.Uint64Range(0, 5)
		expired := func(p *modelEntry) bool { return now >= p.at+cellClass.DedupWindow+cellClass.Deadline }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * ms },
			"send": func(t *rapid.T) {
				k, cell := key.Draw(t, "key"), rapid.IntRange(0, 3).Draw(t, "cell")
				if p := model[k]; p == nil || expired(p) {
					model[k] = &modelEntry{at: now, cell: cell}
				}
				model[k].inFlight++
				table.RecordSent(now, k, cellClass, endpointIn(cell), 0)
			},
			"end": func(t *rapid.T) {
				k, never := key.Draw(t, "key"), rapid.Bool().Draw(t, "never ran")
				p := model[k]
				if p == nil || p.inFlight == 0 || expired(p) {
					t.Skip("nothing is in flight")
				}
				p.inFlight--
				if p.ran = p.ran || !never; p.inFlight == 0 && !p.ran {
					delete(model, k)
				}
				table.RecordEnded(k, never)
			},
			"": func(t *rapid.T) {
				for k := range uint64(6) {
					p := model[k]
					e, known := table.Find(now, k)
					if want := p != nil && !expired(p) && (p.inFlight > 0 || p.ran); known != want {
						t.Fatalf("key %d: known %v", k, known)
					}
					if known && e.Allows(now, endpointIn(p.cell)) != (now-p.at < min(cellClass.DedupWindow*85/100, cellClass.DedupWindow-permit.MaxStall)) {
						t.Fatalf("key %d of %v at %v: allowed %v", k, p.at, now, e.Allows(now, endpointIn(p.cell)))
					}
				}
			},
		})
	})
}

func TestMaxKeys(t *testing.T) {
	table := New()
	for i := range 3 * MaxKeys {
		table.RecordSent(time.Duration(i), uint64(i), cellClass, endpointIn(1), 0)
	}
	if table.Len() != MaxKeys || table.expiry.Len() != MaxKeys {
		t.Errorf("%d keys, %d timers", table.Len(), table.expiry.Len())
	}
	if _, known := table.Find(3*MaxKeys, 3*MaxKeys-1); !known {
		t.Error("the youngest is not remembered")
	}
	if n := table.Notes(3*MaxKeys, 100); len(n) != 100 || n[0].Key != 3*MaxKeys-1 {
		t.Errorf("%d notes", len(n))
	}
}

// Notes of another process come youngest first and are older than the keys that were sent here.
// When the table is full, they are dropped first, starting with the oldest.
func TestMaxKeysAdopted(t *testing.T) {
	table := New()
	for i := range MaxKeys - 2 {
		table.RecordSent(ms, uint64(i), cellClass, endpointIn(1), 0)
	}
	for i := range 3 {
		table.Adopt(ms, Note{Key: uint64(MaxKeys + i), Age: time.Duration(i+1) * ms, Window: 600 * ms, Left: 900 * ms})
	}
	known := func(key uint64) bool { _, known := table.Find(ms, key); return known }
	if !known(0) || !known(MaxKeys) || !known(MaxKeys+1) || known(MaxKeys+2) {
		t.Error("the known keys are not the youngest ones")
	}
	if table.RecordSent(ms, 9*MaxKeys, cellClass, endpointIn(1), 0); !known(0) || !known(MaxKeys) || known(MaxKeys+1) || !known(9*MaxKeys) {
		t.Error("a key other than the oldest was dropped")
	}
}

// A key with a long deadline must not delay the expiry of later keys.
func TestExpiryBehindLongDeadline(t *testing.T) {
	table, long := New(), *cellClass
	long.Deadline = time.Minute
	table.RecordSent(0, 1, &long, endpointIn(1), 0)
	table.RecordSent(0, 2, cellClass, endpointIn(1), 0)
	table.RecordSent(2*time.Second, 3, cellClass, endpointIn(1), 0)
	if table.Len() != 2 {
		t.Errorf("%d keys are remembered", table.Len())
	}
}

// Two processes receive the same key concurrently. In no order of steps and with no results of
// the attempts may both run it, each in its own cell.
func TestConcurrentProcesses(t *testing.T) {
	type process struct {
		table *Table
		inbox []Note // published by the other process, not adopted yet
	}
	type request struct {
		process, cell int // process: index of its process; cell: where it goes if the key is unknown
		neverRan      bool
		step          int
		to            policy.Endpoint
		claimed       bool
	}
	for mix := range 1 << 4 { // assignment to processes, and which attempt never ran: if two had not, only one would run
		steps, neverRan := []int{3, 3, 3, 0}, mix>>2
		steps[neverRan]++
		schedules(steps[:3], func(schedule []int) {
			processes := []*process{{table: New()}, {table: New()}}
			var requests []*request
			for i := range 3 {
				requests = append(requests, &request{process: mix << 1 >> i & 1, cell: i, neverRan: i == neverRan})
			}
			adopt := func(p *process) {
				for _, n := range p.inbox {
					p.table.Adopt(0, n)
				}
				p.inbox = nil
			}
			ran := map[int]bool{}
			for _, i := range schedule {
				r := requests[i]
				own, other := processes[r.process], processes[1-r.process]
				switch r.step++; r.step {
				case 1: // decided by the keys known so far
					adopt(own)
					r.to = endpointIn(r.cell)
					if e, known := own.table.Find(0, 7); known {
						r.to = endpointIn(e.entry.cell)
					}
					own.table.RecordSent(0, 7, cellClass, r.to, 0)
				case 2:
					n, _ := own.table.NoteOf(0, 7)
					other.inbox = append(other.inbox, n)
				case 3:
					adopt(own)
					if r.claimed = own.table.Claim(7, r.to); r.claimed && !r.neverRan {
						ran[r.to.Cell] = true
					}
					if !r.neverRan {
						own.table.RecordEnded(7, !r.claimed)
					}
				case 4: // end of the attempt that never ran
					own.table.RecordEnded(7, true)
				}
			}
			if len(ran) > 1 {
				t.Fatalf("mix %b, schedule %v: it ran in cells %v", mix, schedule, ran)
			}
		})
	}
}

// schedules calls fn with each interleaving of the remaining steps of the requests.
func schedules(remaining []int, fn func([]int)) {
	var order []int
	var next func()
	next = func() {
		done := true
		for i := range remaining {
			if remaining[i] == 0 {
				continue
			}
			done = false
			remaining[i]--
			order = append(order, i)
			next()
			order = order[:len(order)-1]
			remaining[i]++
		}
		if done {
			fn(order)
		}
	}
	next()
}

func BenchmarkRecordSent(b *testing.B) {
	table := New()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * ms
		if _, known := table.Find(now, uint64(i)); known {
			b.Fatal("known")
		}
		table.RecordSent(now, uint64(i), cellClass, endpointIn(1), 0)
		table.RecordEnded(uint64(i), false)
	}
	b.ReportMetric(float64(table.Len()), "keys")
}
