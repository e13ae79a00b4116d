package weights

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// What is packed is what is unpacked, and no bytes do more than be refused.
func TestPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Stats
		var b []byte
		for range rapid.IntRange(0, 20).Draw(t, "sums") {
			s := Stats{ID: ID(rapid.Uint64().Draw(t, "id")), TimedOut: rapid.Uint64Max(1e6).Draw(t, "silent"), Declined: rapid.Uint64Max(9).Draw(t, "declined")}
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				s.Record(Class(rapid.IntRange(0, 20).Draw(t, "class")), rapid.Bool().Draw(t, "warm"), Served, time.Duration(rapid.IntRange(1, 1e9).Draw(t, "took")), time.Duration(rapid.IntRange(0, 1e9).Draw(t, "work")))
			}
			if len(s.Cells) > MaxCells {
				t.Fatalf("%d cells", len(s.Cells))
			}
			all = append(all, s)
			b = appendSums(b, &s)
		}
		if got, err := unpack(b); err != nil || !reflect.DeepEqual(got, all) {
			t.Fatalf("%+v, %v, and\n%+v was packed", got, err, all)
		}
	})
}

func FuzzUnpack(f *testing.F) {
	s := Stats{ID: 1, Errors: 3}
	s.Record(1, true, Served, second, second)
	f.Add(appendSums(nil, &s))
	f.Fuzz(func(t *testing.T, b []byte) {
		all, err := unpack(b)
		for i := range all {
			if err != nil || len(all[i].Cells) > MaxCells {
				t.Fatal("sums and an error, or too many cells")
			}
		}
		(&Table{Factors: map[ID]uint16{}}).take(b)
	})
}

// Each sum is told once, whatever parts and acknowledgements are lost or come again.
func TestToldOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	m, known, now := NewReporter(), told{}, time.Duration(0)
	seen, taken := map[ID]uint64{}, map[ID]uint64{}
	tick := func(lose float64) {
		now += Period
		seq, parts := m.Tick(now)
		for range 2 { // each comes twice, or not at all
			for i, b := range parts {
				r := Report{Incarnation: 7, Seq: seq, Part: i, Stats: b}
				if rng.Float64() < lose {
					continue
				}
				if known.take(now, &r) {
					all, err := unpack(b)
					if err != nil {
						t.Fatal(err)
					}
					for _, s := range all {
						taken[s.ID] += s.Errors
					}
				}
				if rng.Float64() >= lose {
					m.Ack(seq, i)
				}
			}
		}
	}
	for range 300 {
		for range 100 {
			s := Stats{ID: ID(rng.IntN(500)), Errors: 1}
			seen[s.ID]++
			m.Add(now, []Stats{s})
		}
		tick(0.4)
	}
	for range 10 {
		tick(0)
	}
	if !maps.Equal(seen, taken) {
		t.Errorf("%d endpoints seen, %d told, or not once", len(seen), len(taken))
	}
}

// What nobody takes is not told long after, and takes no more room than there are endpoints.
func TestOldSumsAreDropped(t *testing.T) {
	m, now := NewReporter(), time.Duration(0)
	for i := range 100 {
		now += Period
		for j := range 2 * MaxEndpoints {
			m.Add(now, []Stats{{ID: ID(j), Errors: 1}})
		}
		m.Tick(now)
		if len(m.pending) > MaxEndpoints {
			t.Fatalf("%d wait after %d periods", len(m.pending), i)
		}
	}
	_, parts := m.Tick(now + Period)
	all, _ := unpack(parts[0])
	if n := all[0].Errors; n > uint64(oldest/Period)+1 {
		t.Errorf("what was seen in %d periods is told", n)
	}
}

// table has factors of some endpoints, in some parts.
func table(n Version, factor uint16, endpoints int) Table {
	t := Table{Version: n, Factors: map[ID]uint16{}}
	for i := range endpoints {
		t.Factors[ID(i)] = factor
	}
	return t
}

// A table counts once all of it is there, and never with parts of another.
func TestTornTable(t *testing.T) {
	c := NewReplica()
	first, next := table(Version{1, 1}, 2000, 100).pack(), table(Version{1, 2}, 500, 100).pack()
	give := func(n Version, i int, parts [][]byte) {
		c.Apply(0, Answer{Table: n, Index: i, Parts: len(parts), Entries: parts[i]})
	}
	give(Version{1, 1}, 0, first)
	give(Version{1, 2}, 1, next)
	give(Version{1, 1}, 0, first) // of one that is older than what is known
	if f, _ := c.Factors(second, second); len(f) > 0 {
		t.Fatalf("torn parts are in force: %v", f)
	}
	give(Version{1, 2}, 0, next)
	for now := second; now < 10*second; now += second {
		c.fresh = now
		c.Factors(now, second)
	}
	f, _ := c.Factors(10*second, 10*second)
	for i := range 100 {
		if math.Abs(f[ID(i)]-0.5) > 1e-3 {
			t.Fatalf("endpoint %d has %v", i, f[ID(i)])
		}
	}
}

// In force a factor moves in steps, there and back once the table is old.
func TestBackInSteps(t *testing.T) {
	c := NewReplica()
	c.Apply(0, Answer{Table: Version{1, 1}, Index: 0, Parts: 1, Entries: table(Version{1, 1}, 4000, 1).pack()[0]})
	last, top, moves := 0.0, 0.0, 0
	for now := second; now < 40*second; now += Period {
		f, changed := c.Factors(now, 10*second)
		at := 0.0
		if f[0] > 0 {
			at = math.Log(f[0])
		}
		if d := math.Abs(at - last); d > stepPart+1e-9 {
			t.Errorf("%v: it moves by %v", now, d)
		} else if changed != (d > 0) {
			t.Errorf("%v: it moves by %v, and is said to: %v", now, d, changed)
		} else if d > 0 {
			moves++
		}
		last, top = at, max(top, at)
	}
	if last != 0 || math.Abs(top-math.Log(4)) > 1e-3 {
		t.Errorf("it came to %.3f and ended at %.3f after %d moves", math.Exp(top), math.Exp(last), moves)
	}
}

// Answers of another holder or term, to another process, or to what went out long ago are
// not used.
func TestAnswersNotUsed(t *testing.T) {
	good := Answer{From: "h", To: "a", ToIncarnation: 5, Heartbeat: 1, Table: Version{9, 1}, Index: 0, Parts: 1, Entries: table(Version{9, 1}, 2000, 1).pack()[0]}
	for name, change := range map[string]func(a *Answer, d *Leadership, now *time.Duration){
		"":                   func(*Answer, *Leadership, *time.Duration) {},
		"of another":         func(a *Answer, _ *Leadership, _ *time.Duration) { a.From = "g" },
		"of a term before":   func(a *Answer, _ *Leadership, _ *time.Duration) { a.Table.Term = 8 },
		"nobody holds it":    func(_ *Answer, d *Leadership, _ *time.Duration) { *d = Leadership{} },
		"to a former self":   func(a *Answer, _ *Leadership, _ *time.Duration) { a.ToIncarnation = 4 },
		"to what never went": func(a *Answer, _ *Leadership, _ *time.Duration) { a.Heartbeat = 2 },
		"late":               func(_ *Answer, _ *Leadership, now *time.Duration) { *now += 3 * second },
		"impossible factor": func(a *Answer, _ *Leadership, _ *time.Duration) {
			a.Entries = []byte{ofFactors, 0, 0, 0, 0, 0, 0, 0, 0, 255, 255}
		},
		"too many parts": func(a *Answer, _ *Leadership, _ *time.Duration) { a.Parts = mostTableParts + 1 },
	} {
		n, a, d, now := NewNode("a", 2*second, nil), good, Leadership{Leader: "h", Term: 9, Incarnation: 5}, 10*second
		if out := n.Tick(now, nil, nil, d); len(out) != 1 {
			t.Fatalf("%d messages", len(out))
		}
		change(&a, &d, &now)
		n.HandleAnswer(now, a, d)
		if _, got := n.copy.Age(now); got != (name == "") {
			t.Errorf("%s: used: %v", name, got)
		}
	}
}

// fed is an estimator with endpoints of one server each, which some gateways tell of.
type fed struct {
	*Estimator
	now  time.Duration
	list []Endpoint
	rng  *rand.Rand
}

func newFed(kinds ...uint32) *fed {
	f := &fed{Estimator: NewEstimator(), rng: rand.New(rand.NewPCG(2, 2))}
	for i, k := range kinds {
		f.list = append(f.list, Endpoint{ID: ID(i), Kind: k, Nominal: 1, Ready: true, Warmth: 1})
	}
	return f
}

// play has gateways send requests for some time to endpoints of one server that can do so
// much, with so much asked of them, and tell.
func (f *fed) play(periods, gateways int, can, asked []float64, each func(gateway string, s *Stats)) {
	const work = 10 * time.Millisecond
	for range periods {
		f.now += Period
		f.SetEndpoints(f.now, f.list, func(ID) (float64, bool) { return 0, false })
		for g := range gateways {
			var sums []Stats
			for i := range f.list {
				s := Stats{ID: ID(i)}
				part := asked[i] / can[i]
				for range int(asked[i] / work.Seconds() / float64(gateways)) {
					took := 1.0 // a queue of Markov's, one server
					if f.rng.Float64() < part {
						took += f.rng.ExpFloat64() / (1 - part)
					}
					s.Record(1, false, Served, time.Duration(took*float64(work)/can[i]), work)
				}
				if each != nil {
					each(fmt.Sprint(g), &s)
				}
				sums = append(sums, s)
			}
			f.Observe(fmt.Sprint(g), sums)
		}
		f.Update(f.now)
	}
}

func (f *fed) factors() (all []float64) {
	for _, e := range f.Estimates() {
		all = append(all, e.Factor)
	}
	return all
}

// What is asked for little is not taken for slow, nor one of a mix of dear classes, nor what
// has hints that lie by class; errors gain nothing.
func TestAskedForLittle(t *testing.T) {
	f := newFed(0, 0, 0, 0)
	f.play(60, 4, []float64{2, 2, 1, 1}, []float64{0.2, 1.6, 0.1, 0.8}, nil)
	if x := f.factors(); x[0]/x[1] < 0.8 || x[0]/x[1] > 1.25 || x[0]/x[2] < 1.6 || x[1]/x[3] < 1.6 {
		t.Errorf("factors %.2f of capacities 2, 2, 1, 1", x)
	}
	f = newFed(0, 0)
	f.play(60, 4, []float64{1, 1}, []float64{0.5, 0.5}, func(_ string, s *Stats) {
		for range 10 { // a class whose work is four times what it says, at both; more of it at the second
			s.Record(2, false, Served, 40*time.Millisecond, 10*time.Millisecond)
		}
		for range 40 * int(s.ID) {
			s.Record(2, false, Served, 40*time.Millisecond, 10*time.Millisecond)
		}
	})
	if x := f.factors(); x[1]/x[0] < 0.8 || x[1]/x[0] > 2 {
		t.Errorf("factors %.2f of capacities 1 and, by the dear class, 2 at most", x)
	}
	f = newFed(0, 0)
	f.play(60, 4, []float64{1, 1}, []float64{0.5, 0.5}, func(_ string, s *Stats) { s.Errors += 12 * uint64(s.ID) })
	if x := f.factors(); x[1]/x[0] > 0.7 {
		t.Errorf("factors %.2f, and the second answers half with errors", x)
	}
}

// A machine that loses two thirds to a neighbour is followed within four periods, and what was
// known before is forgotten; in steady state nothing is taken for a change.
func TestChangeIsFollowed(t *testing.T) {
	f := newFed(0, 0, 0, 0)
	can, asked := []float64{1, 1, 1, 1}, []float64{0.25, 0.25, 0.25, 0.25}
	f.play(150, 4, can, asked, nil)
	if n := f.endpoints[0].changes; n > 0 {
		t.Errorf("%d changes where there were none", n)
	}
	can[0] = 0.33
	f.play(4, 4, can, asked, nil)
	if x := f.factors(); x[0]/x[1] > 0.45 {
		t.Errorf("factors %.2f after four periods at a third", x)
	}
	can[0] = 1
	f.play(10, 4, can, asked, nil)
	if x := f.factors(); x[0]/x[1] < 0.75 {
		t.Errorf("factors %.2f ten periods after it was over", x)
	}
}

// A gateway that lies about its times, or claims any counts at all, moves an endpoint by so
// much at most, and a table's factors stay within their bounds.
func TestLiar(t *testing.T) {
	honest := newFed(0, 0, 0)
	can, asked := []float64{1, 1, 1}, []float64{0.5, 0.5, 0.5}
	honest.play(30, 5, can, asked, nil)
	lied := newFed(0, 0, 0)
	lied.play(30, 5, can, asked, func(gateway string, s *Stats) {
		if gateway == "3" && s.ID == 1 {
			for i := range s.Cells {
				s.Cells[i].Served, s.Cells[i].Work, s.Cells[i].Time = 10*s.Cells[i].Served, 10*s.Cells[i].Work, s.Cells[i].Time/100
			}
		}
	})
	if x := lied.factors(); x[1]/x[0] > 2.8 {
		t.Errorf("factors %.2f where one of five tells ten times its work in a hundredth of its time", x)
	}
	wild := newFed(0, 0, 0)
	wild.play(30, 5, can, asked, func(gateway string, s *Stats) {
		if gateway == "3" {
			*s = Stats{ID: s.ID, Cells: []Cell{{Class: 9, Served: mostSeen, Time: 1, Work: mostSeen}}, TimedOut: mostSeen, Errors: mostSeen}
		}
	})
	a := NewAssigner(1, nil)
	for range 20 {
		for id, factor := range a.Step(wild.Estimates(), nil).Factors {
			if factor < leastFactor*1000 || factor > mostFactor*1000 {
				t.Fatalf("%d has a factor of %d", id, factor)
			}
		}
	}
}

// Moves are bounded, the sum of weights is that of the list, and what is within the noise
// does not move.
func TestAssigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAssigner(1, map[ID]float64{})
		last, number := map[ID]float64{}, Version{}
		for range 6 {
			var all []Estimate
			for i := range rapid.IntRange(1, 12).Draw(t, "endpoints") {
				all = append(all, Estimate{
					Endpoint: Endpoint{ID: ID(i), Nominal: rapid.Float64Range(0.1, 10).Draw(t, "nominal"), Ready: true, Warmth: 1},
					Factor:   rapid.Float64Range(0.01, 100).Draw(t, "factor"), Deviation: rapid.Float64Range(0.01, 1).Draw(t, "deviation"),
				})
			}
			next := a.Step(all, nil)
			if next.Less(number) {
				t.Fatalf("%v after %v", next.Version, number)
			}
			number = next.Version
			now, sum, nominal := map[ID]float64{}, 0.0, 0.0
			least, most := math.Inf(1), math.Inf(-1)
			for _, e := range all {
				f := 1.0
				if x, known := next.Factors[e.ID]; known {
					f = float64(x) / 1000
				}
				now[e.ID] = f
				sum, nominal = sum+f*e.Nominal, nominal+e.Nominal
				if was, known := last[e.ID]; known && len(last) == len(all) {
					least, most = min(least, math.Log(f/was)), max(most, math.Log(f/was))
				}
			}
			if most-least > 2*stepPart+0.02 {
				t.Fatalf("factors move apart by %.3f", most-least)
			}
			if sum > nominal*1.05 && maxOf(now) < mostFactor && minOf(now) > leastFactor {
				t.Fatalf("weights sum to %.3f of the list's", sum/nominal)
			}
			last = now
		}
	})
	a := NewAssigner(1, map[ID]float64{})
	still := []Estimate{{Endpoint: Endpoint{ID: 1, Nominal: 1, Ready: true, Warmth: 1}, Factor: 1.2, Deviation: 0.3}, {Endpoint: Endpoint{ID: 2, Nominal: 1, Ready: true, Warmth: 1}, Factor: 0.8, Deviation: 0.3}}
	for range 5 {
		if x := a.Step(still, nil); x.Seq != 1 || len(x.Factors) > 0 {
			t.Fatalf("%+v within the noise", x)
		}
	}
}

func maxOf(m map[ID]float64) (x float64) {
	for _, f := range m {
		x = max(x, f)
	}
	return x
}

func minOf(m map[ID]float64) float64 {
	x := math.Inf(1)
	for _, f := range m {
		x = min(x, f)
	}
	return x
}
