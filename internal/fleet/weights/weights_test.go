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

// Unpacking must return what was packed, and arbitrary bytes must at worst be rejected.
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
			b = appendStats(b, &s)
		}
		if got, err := unpack(b); err != nil || !reflect.DeepEqual(got, all) {
			t.Fatalf("unpacked %+v, %v\npacked %+v", got, err, all)
		}
	})
}

func FuzzUnpack(f *testing.F) {
	s := Stats{ID: 1, Errors: 3}
	s.Record(1, true, Served, second, second)
	f.Add(appendStats(nil, &s))
	f.Fuzz(func(t *testing.T, b []byte) {
		all, err := unpack(b)
		for i := range all {
			if err != nil || len(all[i].Cells) > MaxCells {
				t.Fatal("stats together with an error, or too many cells")
			}
		}
		(&Table{Factors: map[ID]uint16{}}).addPart(b)
	})
}

// All stats must be counted exactly once, whatever parts and acknowledgements are lost or
// duplicated.
func TestCountedOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	reporter, accepted, now := NewReporter(), receivedParts{}, time.Duration(0)
	observed, counted := map[ID]uint64{}, map[ID]uint64{}
	tick := func(loss float64) {
		now += Period
		seq, parts := reporter.Tick(now)
		for range 2 { // some parts arrive twice, some not at all
			for i, b := range parts {
				r := Report{Incarnation: 7, Seq: seq, Part: i, Stats: b}
				if rng.Float64() < loss {
					continue
				}
				if accepted.accept(now, &r) {
					all, err := unpack(b)
					if err != nil {
						t.Fatal(err)
					}
					for _, s := range all {
						counted[s.ID] += s.Errors
					}
				}
				if rng.Float64() >= loss {
					reporter.Ack(seq, i)
				}
			}
		}
	}
	for range 300 {
		for range 100 {
			s := Stats{ID: ID(rng.IntN(500)), Errors: 1}
			observed[s.ID]++
			reporter.Add(now, []Stats{s})
		}
		tick(0.4)
	}
	for range 10 {
		tick(0)
	}
	if !maps.Equal(observed, counted) {
		t.Errorf("%d endpoints observed, %d counted, or counts differ", len(observed), len(counted))
	}
}

// Stats that are not accepted must be dropped after a while, and be bounded by the number of
// endpoints.
func TestOldStatsAreDropped(t *testing.T) {
	reporter, now := NewReporter(), time.Duration(0)
	for i := range 100 {
		now += Period
		for j := range 2 * MaxEndpoints {
			reporter.Add(now, []Stats{{ID: ID(j), Errors: 1}})
		}
		reporter.Tick(now)
		if len(reporter.pending) > MaxEndpoints {
			t.Fatalf("%d endpoints pending after %d periods", len(reporter.pending), i)
		}
	}
	_, parts := reporter.Tick(now + Period)
	all, _ := unpack(parts[0])
	if n := all[0].Errors; n > uint64(maxAge/Period)+1 {
		t.Errorf("stats of %d periods are reported", n)
	}
}

// table returns a table with the same factor for a number of endpoints.
func table(n Version, factor uint16, endpoints int) Table {
	t := Table{Version: n, Factors: map[ID]uint16{}}
	for i := range endpoints {
		t.Factors[ID(i)] = factor
	}
	return t
}

// A table must count only once it is complete, and never contain parts of another.
func TestTornTable(t *testing.T) {
	r := NewReplica()
	first, next := table(Version{1, 1}, 2000, 100).pack(), table(Version{1, 2}, 500, 100).pack()
	apply := func(n Version, i int, parts [][]byte) {
		r.Apply(0, Answer{Table: n, Index: i, Parts: len(parts), Entries: parts[i]})
	}
	apply(Version{1, 1}, 0, first)
	apply(Version{1, 2}, 1, next)
	apply(Version{1, 1}, 0, first) // of a table older than the one known
	if f, _ := r.Factors(second, second); len(f) > 0 {
		t.Fatalf("an incomplete table is in force: %v", f)
	}
	apply(Version{1, 2}, 0, next)
	for now := second; now < 10*second; now += second {
		r.confirmedAt = now
		r.Factors(now, second)
	}
	f, _ := r.Factors(10*second, 10*second)
	for i := range 100 {
		if math.Abs(f[ID(i)]-0.5) > 1e-3 {
			t.Fatalf("endpoint %d has %v", i, f[ID(i)])
		}
	}
}

// Factors must move in steps, towards a table and back once the table is stale.
func TestFactorsMoveInSteps(t *testing.T) {
	r := NewReplica()
	r.Apply(0, Answer{Table: Version{1, 1}, Index: 0, Parts: 1, Entries: table(Version{1, 1}, 4000, 1).pack()[0]})
	last, top, moves := 0.0, 0.0, 0
	for now := second; now < 40*second; now += Period {
		f, changed := r.Factors(now, 10*second)
		at := 0.0
		if f[0] > 0 {
			at = math.Log(f[0])
		}
		if d := math.Abs(at - last); d > maxStep+1e-9 {
			t.Errorf("%v: it moves by %v", now, d)
		} else if changed != (d > 0) {
			t.Errorf("%v: it moves by %v, reported as changed: %v", now, d, changed)
		} else if d > 0 {
			moves++
		}
		last, top = at, max(top, at)
	}
	if last != 0 || math.Abs(top-math.Log(4)) > 1e-3 {
		t.Errorf("it came to %.3f and ended at %.3f after %d moves", math.Exp(top), math.Exp(last), moves)
	}
}

// Answers of another leader or term, to another incarnation, or to a report sent long ago must
// not be used.
func TestAnswersNotUsed(t *testing.T) {
	good := Answer{From: "h", To: "a", ToIncarnation: 5, Heartbeat: 1, Table: Version{9, 1}, Index: 0, Parts: 1, Entries: table(Version{9, 1}, 2000, 1).pack()[0]}
	for name, change := range map[string]func(a *Answer, d *Leadership, now *time.Duration){
		"":                          func(*Answer, *Leadership, *time.Duration) {},
		"of another leader":         func(a *Answer, _ *Leadership, _ *time.Duration) { a.From = "g" },
		"of an earlier term":        func(a *Answer, _ *Leadership, _ *time.Duration) { a.Table.Term = 8 },
		"no known leader":           func(_ *Answer, d *Leadership, _ *time.Duration) { *d = Leadership{} },
		"to an earlier incarnation": func(a *Answer, _ *Leadership, _ *time.Duration) { a.ToIncarnation = 4 },
		"to a report never sent":    func(a *Answer, _ *Leadership, _ *time.Duration) { a.Heartbeat = 2 },
		"late":                      func(_ *Answer, _ *Leadership, now *time.Duration) { *now += 3 * second },
		"impossible factor": func(a *Answer, _ *Leadership, _ *time.Duration) {
			a.Entries = []byte{contentsFactors, 0, 0, 0, 0, 0, 0, 0, 0, 255, 255}
		},
		"too many parts": func(a *Answer, _ *Leadership, _ *time.Duration) { a.Parts = maxTableParts + 1 },
	} {
		n, a, d, now := NewNode("a", 2*second, nil), good, Leadership{Leader: "h", Term: 9, Incarnation: 5}, 10*second
		if out := n.Tick(now, nil, nil, d); len(out) != 1 {
			t.Fatalf("%d messages", len(out))
		}
		change(&a, &d, &now)
		n.HandleAnswer(now, a, d)
		if _, got := n.replica.Age(now); got != (name == "") {
			t.Errorf("%s: used: %v", name, got)
		}
	}
}

// simEstimator is an estimator with endpoints of one server each, and simulated reports.
type simEstimator struct {
	*Estimator
	now  time.Duration
	list []Endpoint
	rng  *rand.Rand
}

func newSimEstimator(kinds ...uint32) *simEstimator {
	f := &simEstimator{Estimator: NewEstimator(), rng: rand.New(rand.NewPCG(2, 2))}
	for i, k := range kinds {
		f.list = append(f.list, Endpoint{ID: ID(i), Kind: k, Nominal: 1, Ready: true, Warmth: 1})
	}
	return f
}

// play has gateways send requests to endpoints of one server each, of the given capacities and
// load, for a number of periods, and report.
func (f *simEstimator) play(periods, gateways int, capacity, load []float64, alter func(gateway string, s *Stats)) {
	const work = 10 * time.Millisecond
	for range periods {
		f.now += Period
		f.SetEndpoints(f.now, f.list, func(ID) (float64, bool) { return 0, false })
		for g := range gateways {
			var stats []Stats
			for i := range f.list {
				s := Stats{ID: ID(i)}
				busy := load[i] / capacity[i]
				for range int(load[i] / work.Seconds() / float64(gateways)) {
					factor := 1.0 // an M/M/1 queue
					if f.rng.Float64() < busy {
						factor += f.rng.ExpFloat64() / (1 - busy)
					}
					s.Record(1, false, Served, time.Duration(factor*float64(work)/capacity[i]), work)
				}
				if alter != nil {
					alter(fmt.Sprint(g), &s)
				}
				stats = append(stats, s)
			}
			f.Observe(fmt.Sprint(g), stats)
		}
		f.Update(f.now)
	}
}

func (f *simEstimator) factors() (all []float64) {
	for _, e := range f.Estimates() {
		all = append(all, e.Factor)
	}
	return all
}

// An endpoint with little load must not be taken for a slow one, nor one with a mix of expensive
// classes, nor one with hints that are wrong for a class; errors must gain nothing.
func TestLittleLoad(t *testing.T) {
	f := newSimEstimator(0, 0, 0, 0)
	f.play(60, 4, []float64{2, 2, 1, 1}, []float64{0.2, 1.6, 0.1, 0.8}, nil)
	if x := f.factors(); x[0]/x[1] < 0.8 || x[0]/x[1] > 1.25 || x[0]/x[2] < 1.6 || x[1]/x[3] < 1.6 {
		t.Errorf("factors %.2f of capacities 2, 2, 1, 1", x)
	}
	f = newSimEstimator(0, 0)
	f.play(60, 4, []float64{1, 1}, []float64{0.5, 0.5}, func(_ string, s *Stats) {
		for range 10 { // a class with four times the hinted work, at both endpoints, and more of it at the second
			s.Record(2, false, Served, 40*time.Millisecond, 10*time.Millisecond)
		}
		for range 40 * int(s.ID) {
			s.Record(2, false, Served, 40*time.Millisecond, 10*time.Millisecond)
		}
	})
	if x := f.factors(); x[1]/x[0] < 0.8 || x[1]/x[0] > 2 {
		t.Errorf("factors %.2f of capacities 1 and, by the expensive class, 2 at most", x)
	}
	f = newSimEstimator(0, 0)
	f.play(60, 4, []float64{1, 1}, []float64{0.5, 0.5}, func(_ string, s *Stats) { s.Errors += 12 * uint64(s.ID) })
	if x := f.factors(); x[1]/x[0] > 0.7 {
		t.Errorf("factors %.2f, and the second answers half with errors", x)
	}
}

// The loss of two thirds of a machine to a neighbour must be followed within four periods, with
// little weight on earlier observations; in steady state no change must be detected.
func TestChangeIsFollowed(t *testing.T) {
	f := newSimEstimator(0, 0, 0, 0)
	capacity, load := []float64{1, 1, 1, 1}, []float64{0.25, 0.25, 0.25, 0.25}
	f.play(150, 4, capacity, load, nil)
	if n := f.endpoints[0].changes; n > 0 {
		t.Errorf("%d changes where there were none", n)
	}
	capacity[0] = 0.33
	f.play(4, 4, capacity, load, nil)
	if x := f.factors(); x[0]/x[1] > 0.45 {
		t.Errorf("factors %.2f after four periods at a third", x)
	}
	capacity[0] = 1
	f.play(10, 4, capacity, load, nil)
	if x := f.factors(); x[0]/x[1] < 0.75 {
		t.Errorf("factors %.2f ten periods after it was over", x)
	}
}

// A gateway that lies about its times, or claims arbitrary counts, must shift an estimate only by
// a bounded amount, and a table's factors must stay within bounds.
func TestLyingGateway(t *testing.T) {
	honest := newSimEstimator(0, 0, 0)
	capacity, load := []float64{1, 1, 1}, []float64{0.5, 0.5, 0.5}
	honest.play(30, 5, capacity, load, nil)
	lied := newSimEstimator(0, 0, 0)
	lied.play(30, 5, capacity, load, func(gateway string, s *Stats) {
		if gateway == "3" && s.ID == 1 {
			for i := range s.Cells {
				s.Cells[i].Served, s.Cells[i].Work, s.Cells[i].Time = 10*s.Cells[i].Served, 10*s.Cells[i].Work, s.Cells[i].Time/100
			}
		}
	})
	if x := lied.factors(); x[1]/x[0] > 2.8 {
		t.Errorf("factors %.2f where one of five reports ten times its work in a hundredth of its time", x)
	}
	wild := newSimEstimator(0, 0, 0)
	wild.play(30, 5, capacity, load, func(gateway string, s *Stats) {
		if gateway == "3" {
			*s = Stats{ID: s.ID, Cells: []Cell{{Class: 9, Served: maxCount, Time: 1, Work: maxCount}}, TimedOut: maxCount, Errors: maxCount}
		}
	})
	a := NewAssigner(1, nil)
	for range 20 {
		for id, factor := range a.Step(wild.Estimates(), nil).Factors {
			if factor < minFactor*1000 || factor > maxFactor*1000 {
				t.Fatalf("%d has a factor of %d", id, factor)
			}
		}
	}
}

// Changes of factors must be bounded, the sum of weights must be that of the list, and
// differences within the noise must be ignored.
func TestAssigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAssigner(1, map[ID]float64{})
		last, version := map[ID]float64{}, Version{}
		for range 6 {
			var all []Estimate
			for i := range rapid.IntRange(1, 12).Draw(t, "endpoints") {
				all = append(all, Estimate{
					Endpoint: Endpoint{ID: ID(i), Nominal: rapid.Float64Range(0.1, 10).Draw(t, "nominal"), Ready: true, Warmth: 1},
					Factor:   rapid.Float64Range(0.01, 100).Draw(t, "factor"), Deviation: rapid.Float64Range(0.01, 1).Draw(t, "deviation"),
				})
			}
			next := a.Step(all, nil)
			if next.Less(version) {
				t.Fatalf("%v after %v", next.Version, version)
			}
			version = next.Version
			now, sum, nominal := map[ID]float64{}, 0.0, 0.0
			least, most := math.Inf(1), math.Inf(-1)
			for _, e := range all {
				f := 1.0
				if x, known := next.Factors[e.ID]; known {
					f = float64(x) / 1000
				}
				now[e.ID] = f
				sum, nominal = sum+f*e.Nominal, nominal+e.Nominal
				if previous, known := last[e.ID]; known && len(last) == len(all) {
					least, most = min(least, math.Log(f/previous)), max(most, math.Log(f/previous))
				}
			}
			if most-least > 2*maxStep+0.02 {
				t.Fatalf("factors move apart by %.3f", most-least)
			}
			if sum > nominal*1.05 && maxOf(now) < maxFactor && minOf(now) > minFactor {
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
