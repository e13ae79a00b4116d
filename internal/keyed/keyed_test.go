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

// The same verdict every time; another course is tried with -rapid.seed=N.
func init() { flag.Set("rapid.seed", "1") }

const ms = time.Millisecond

var inCell = &policy.Class{Effect: policy.Keyed, Scope: policy.ScopeCell, DedupWindow: 600 * ms, Deadline: 300 * ms}

func in(cell int) policy.Endpoint { return policy.Endpoint{Zone: cell / 10, Cell: cell} }

// A repeat goes where the first may have run, while that drops it, and nowhere
// until the client has given up; then the key is a new one.
func TestRepeats(t *testing.T) {
	table := New()
	table.RecordSent(0, 7, inCell, in(3), 0)
	for _, c := range []struct {
		at    time.Duration
		cell  int
		known bool
		may   bool
	}{
		{0, 3, true, true}, {0, 4, true, false}, {449 * ms, 3, true, true}, {449 * ms, 4, true, false},
		{450 * ms, 3, true, false}, {520 * ms, 3, true, false}, {899 * ms, 3, true, false}, {900 * ms, 3, false, false},
	} {
		e, known := table.Find(c.at, 7)
		if known != c.known || known && e.Allows(c.at, in(c.cell)) != c.may {
			t.Errorf("at %v in cell %d: known %v, allowed %v", c.at, c.cell, known, known && e.Allows(c.at, in(c.cell)))
		}
	}
	if _, known := table.Find(0, 8); known {
		t.Error("a key that nobody sent is known")
	}
}

// The window counts from the earliest send, and a key of which nothing ran is
// forgotten only when nothing of it is out.
func TestEnds(t *testing.T) {
	table := New()
	table.RecordSent(0, 7, inCell, in(3), 0)
	table.RecordSent(100*ms, 7, inCell, in(3), 0)
	table.RecordEnded(7, true)
	if _, known := table.Find(200*ms, 7); !known {
		t.Error("a key with an attempt out is forgotten")
	}
	if e, _ := table.Find(520*ms, 7); e.Allows(520*ms, in(3)) {
		t.Error("the window counts from the second send")
	}
	table.RecordEnded(7, true)
	if _, known := table.Find(200*ms, 7); known {
		t.Error("a key that never ran is remembered")
	}
	table.RecordSent(300*ms, 7, inCell, in(5), 0)
	table.RecordEnded(7, false)
	table.RecordEnded(7, true) // one too many
	if e, known := table.Find(400*ms, 7); !known || !e.Allows(400*ms, in(5)) || e.Allows(400*ms, in(3)) {
		t.Error("a key that may have run is forgotten, or goes elsewhere")
	}
}

func TestScopes(t *testing.T) {
	for scope, may := range map[policy.Scope]bool{policy.ScopeAll: true, policy.ScopeZone: true, policy.ScopeCell: false} {
		table, c := New(), *inCell
		c.Scope = scope
		table.RecordSent(0, 1, &c, in(11), 0)
		e, _ := table.Find(0, 1)
		if e.Allows(0, in(12)) != may || e.Allows(0, in(31)) != (scope == policy.ScopeAll) {
			t.Errorf("scope %d", scope)
		}
	}
}

// What is passed to another process, by another clock, holds there as it would
// have held here.
func TestPassedOn(t *testing.T) {
	const here, there = 50 * time.Second, 9 * time.Hour
	old := New()
	old.RecordSent(here, 1, inCell, in(3), 0)
	old.RecordSent(here+100*ms, 2, inCell, in(4), 0)
	old.RecordSent(here, 3, inCell, in(5), 0)
	old.RecordEnded(3, true)
	text, err := json.Marshal(old.Notes(here+200*ms, 10))
	if err != nil {
		t.Fatal(err)
	}
	var notes []Note
	if err := json.Unmarshal(text, &notes); err != nil || len(notes) != 2 || notes[0].Key != 2 {
		t.Fatal(notes, err)
	}
	next := New()
	for _, n := range notes {
		next.Adopt(there, n)
		next.Adopt(there, n) // told twice
	}
	for _, c := range []struct {
		after time.Duration
		key   uint64
		cell  int
	}{{0, 1, 3}, {300 * ms, 1, 3}, {320 * ms, 1, 3}, {699 * ms, 1, 3}, {700 * ms, 1, 3}, {0, 2, 4}, {0, 2, 3}, {0, 3, 5}} {
		e, known := old.Find(here+200*ms+c.after, c.key)
		f, knownThere := next.Find(there+c.after, c.key)
		if known != knownThere || known && e.Allows(here+200*ms+c.after, in(c.cell)) != f.Allows(there+c.after, in(c.cell)) {
			t.Errorf("%+v: known %v and %v", c, known, knownThere)
		}
	}
	for _, bad := range []Note{{Key: 9, Age: -1, Window: 1, Left: 1}, {Key: 9, Window: -1, Left: 1}, {Key: 9, Left: 2 * longest}, {Key: 9, Scope: 200, Left: 1}, {Key: 9}} {
		if next.Adopt(there, bad); next.Len() != 2 {
			t.Errorf("%+v was taken", bad)
		}
	}
}

// A note of a key with a long window was dropped, and the key sent to another cell as well.
func TestLongWindowIsAdopted(t *testing.T) {
	for _, window := range []time.Duration{time.Hour, 24 * time.Hour} {
		table := New()
		table.Adopt(0, Note{Key: 9, Scope: policy.ScopeCell, Cell: 3, Window: window, Left: window + time.Minute})
		if e, known := table.Find(time.Minute, 9); !known || e.Allows(time.Minute, in(4)) {
			t.Errorf("a window of %v: known %v", window, known)
		}
	}
}

// Beside a plain list that is gone through for every question, and never over the
// bound.
func TestAgainstPlain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type plain struct {
			at   time.Duration
			cell int
			out  int
			ran  bool
		}
		table, model, now := New(), map[uint64]*plain{}, time.Duration(0)
		key := rapid.Uint64Range(0, 5)
		over := func(p *plain) bool { return now >= p.at+inCell.DedupWindow+inCell.Deadline }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * ms },
			"send": func(t *rapid.T) {
				k, cell := key.Draw(t, "key"), rapid.IntRange(0, 3).Draw(t, "cell")
				if p := model[k]; p == nil || over(p) {
					model[k] = &plain{at: now, cell: cell}
				}
				model[k].out++
				table.RecordSent(now, k, inCell, in(cell), 0)
			},
			"end": func(t *rapid.T) {
				k, never := key.Draw(t, "key"), rapid.Bool().Draw(t, "never ran")
				p := model[k]
				if p == nil || p.out == 0 || over(p) {
					t.Skip("nothing is out")
				}
				p.out--
				if p.ran = p.ran || !never; p.out == 0 && !p.ran {
					delete(model, k)
				}
				table.RecordEnded(k, never)
			},
			"": func(t *rapid.T) {
				for k := range uint64(6) {
					p := model[k]
					e, known := table.Find(now, k)
					if want := p != nil && !over(p) && (p.out > 0 || p.ran); known != want {
						t.Fatalf("key %d: known %v", k, known)
					}
					if known && e.Allows(now, in(p.cell)) != (now-p.at < min(inCell.DedupWindow*85/100, inCell.DedupWindow-permit.MaxStall)) {
						t.Fatalf("key %d of %v at %v: allowed %v", k, p.at, now, e.Allows(now, in(p.cell)))
					}
				}
			},
		})
	})
}

func TestBound(t *testing.T) {
	table := New()
	for i := range 3 * MaxKeys {
		table.RecordSent(time.Duration(i), uint64(i), inCell, in(1), 0)
	}
	if table.Len() != MaxKeys || table.over.Len() != MaxKeys {
		t.Errorf("%d keys, %d timers", table.Len(), table.over.Len())
	}
	if _, known := table.Find(3*MaxKeys, 3*MaxKeys-1); !known {
		t.Error("the youngest is not remembered")
	}
	if n := table.Notes(3*MaxKeys, 100); len(n) != 100 || n[0].Key != 3*MaxKeys-1 {
		t.Errorf("%d notes", len(n))
	}
}

// What another process tells, the youngest first, is older than what was sent here:
// it goes first, its oldest before its younger.
func TestBoundOfTold(t *testing.T) {
	table := New()
	for i := range MaxKeys - 2 {
		table.RecordSent(ms, uint64(i), inCell, in(1), 0)
	}
	for i := range 3 {
		table.Adopt(ms, Note{Key: uint64(MaxKeys + i), Age: time.Duration(i+1) * ms, Window: 600 * ms, Left: 900 * ms})
	}
	known := func(key uint64) bool { _, known := table.Find(ms, key); return known }
	if !known(0) || !known(MaxKeys) || !known(MaxKeys+1) || known(MaxKeys+2) {
		t.Error("not the youngest are known")
	}
	if table.RecordSent(ms, 9*MaxKeys, inCell, in(1), 0); !known(0) || !known(MaxKeys) || known(MaxKeys+1) || !known(9*MaxKeys) {
		t.Error("another than the oldest was dropped")
	}
}

// A key with a long deadline holds up nothing that is behind it.
func TestShortBehindLong(t *testing.T) {
	table, long := New(), *inCell
	long.Deadline = time.Minute
	table.RecordSent(0, 1, &long, in(1), 0)
	table.RecordSent(0, 2, inCell, in(1), 0)
	table.RecordSent(2*time.Second, 3, inCell, in(1), 0)
	if table.Len() != 2 {
		t.Errorf("%d keys are remembered", table.Len())
	}
}

// Of two processes that are asked for a key together, in any order of steps and whatever comes of
// attempts, never do both have it run, each in a cell of its own.
func TestTwoProcessesAskedTogether(t *testing.T) {
	type process struct {
		table *Table
		inbox []Note // told by the other, not adopted
	}
	type request struct {
		at, cell int // its process; where it goes if nothing is known
		neverRan bool
		step     int
		to       policy.Endpoint
		claimed  bool
	}
	for mix := range 1 << 4 { // of processes, and which attempt never ran: with two of them one alone runs
		steps, neverRan := []int{3, 3, 3, 0}, mix>>2
		steps[neverRan]++
		schedules(steps[:3], func(schedule []int) {
			all := []*process{{table: New()}, {table: New()}}
			var asked []*request
			for i := range 3 {
				asked = append(asked, &request{at: mix << 1 >> i & 1, cell: i, neverRan: i == neverRan})
			}
			adopt := func(p *process) {
				for _, n := range p.inbox {
					p.table.Adopt(0, n)
				}
				p.inbox = nil
			}
			ran := map[int]bool{}
			for _, i := range schedule {
				r := asked[i]
				own, other := all[r.at], all[1-r.at]
				switch r.step++; r.step {
				case 1: // decided by what is known
					adopt(own)
					r.to = in(r.cell)
					if e, known := own.table.Find(0, 7); known {
						r.to = in(e.entry.cell)
					}
					own.table.RecordSent(0, 7, inCell, r.to, 0)
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
				case 4: // the end of one that never ran
					own.table.RecordEnded(7, true)
				}
			}
			if len(ran) > 1 {
				t.Fatalf("mix %b, schedule %v: it ran in cells %v", mix, schedule, ran)
			}
		})
	}
}

// schedules calls with each order of so many steps of each request.
func schedules(left []int, with func([]int)) {
	var order []int
	var next func()
	next = func() {
		over := true
		for i := range left {
			if left[i] == 0 {
				continue
			}
			over = false
			left[i]--
			order = append(order, i)
			next()
			order = order[:len(order)-1]
			left[i]++
		}
		if over {
			with(order)
		}
	}
	next()
}

func BenchmarkSent(b *testing.B) {
	table := New()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * ms
		if _, known := table.Find(now, uint64(i)); known {
			b.Fatal("known")
		}
		table.RecordSent(now, uint64(i), inCell, in(1), 0)
		table.RecordEnded(uint64(i), false)
	}
	b.ReportMetric(float64(table.Len()), "keys")
}
