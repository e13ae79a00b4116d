package sites

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func draw(t *rapid.T, n int, name string) []float64 {
	x := make([]float64, n)
	for i := range x {
		x[i] = float64(rapid.IntRange(0, 50).Draw(t, name))
	}
	return x
}

func sum(x []float64) (s float64) {
	for _, v := range x {
		s += v
	}
	return s
}

// greedy places load site by site, each at the nearest with capacity, as the baseline for Spread.
func greedy(displaced, capacity []float64, distance func(i, j int) float64) (cost float64) {
	capacity = append([]float64(nil), capacity...)
	for i, d := range displaced {
		for d > 1e-9 {
			best := -1
			for j := range capacity {
				if capacity[j] > 1e-9 && (best < 0 || distance(i, j) < distance(i, best)) {
					best = j
				}
			}
			if best < 0 {
				break
			}
			x := math.Min(d, capacity[best])
			cost, d, capacity[best] = cost+x*distance(i, best), d-x, capacity[best]-x
		}
	}
	return cost
}

// Spread must place all load that there is capacity for, no more than the capacity at any site,
// and with no greater total distance than greedy placement.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, m := rapid.IntRange(1, 6).Draw(t, "from"), rapid.IntRange(1, 6).Draw(t, "to")
		displaced, capacity := draw(t, n, "displaced"), draw(t, m, "room")
		distances := draw(t, n*m, "miles")
		distance := func(i, j int) float64 { return distances[i*m+j] }
		placed, unplaced := Spread(displaced, capacity, distance)
		cost, all := 0.0, 0.0
		for j := range m {
			at := 0.0
			for i := range n {
				if placed[i][j] < -1e-9 {
					t.Fatalf("%v", placed)
				}
				at += placed[i][j]
				cost += placed[i][j] * distance(i, j)
			}
			if at > capacity[j]+1e-6 {
				t.Fatalf("%v placed with capacity for %v", placed, capacity)
			}
			all += at
		}
		if want := math.Min(sum(displaced), sum(capacity)); math.Abs(all-want) > 1e-6 || math.Abs(unplaced-(sum(displaced)-want)) > 1e-6 {
			t.Fatalf("%.3f placed and %.3f left of %v, with capacity for %v", all, unplaced, displaced, capacity)
		}
		if g := greedy(displaced, capacity, distance); sum(displaced) <= sum(capacity) && cost > g+1e-6 {
			t.Fatalf("total distance %.3f, greedy %.3f", cost, g)
		}
	})
	// Two sites want the same near capacity: the one without another near site must get it.
	placed, _ := Spread([]float64{10, 10}, []float64{10, 20}, func(i, j int) float64 { return [][]float64{{1, 2}, {1, 9}}[i][j] })
	if placed[1][0] != 10 || placed[0][1] != 10 {
		t.Errorf("%v", placed)
	}
}

// Admitted work must fit and use all the capacity; no group may be starved; and a group earlier
// in the stated order must not get a smaller fraction than one after it.
func TestAdmit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Demand
		want := 0.0
		for i := range rapid.IntRange(1, 8).Draw(t, "groups") {
			d := Demand{Group: Group{uint16(i), rapid.Bool().Draw(t, "inside")}, Work: rapid.Float64Range(0.01, 50).Draw(t, "work"), Worth: float64(rapid.IntRange(1, 4).Draw(t, "worth")), MeanWork: float64(rapid.IntRange(1, 4).Draw(t, "mean"))}
			all, want = append(all, d), want+d.Work
		}
		capacity, floor := rapid.Float64Range(0, 200).Draw(t, "room"), rapid.Float64Range(0, 0.5).Draw(t, "floor")
		fractions := Admit(all, capacity, floor)
		in := 0.0
		for _, a := range all {
			p := fractions[a.Group]
			in += p * a.Work
			if p < math.Min(floor, capacity/math.Max(want, 1e-9))-1e-9 || p > 1+1e-9 {
				t.Fatalf("%.3f of a group is admitted", p)
			}
			for _, b := range all {
				first := a.Guaranteed && !b.Guaranteed || a.Guaranteed == b.Guaranteed && (a.Worth > b.Worth || a.Worth == b.Worth && a.MeanWork < b.MeanWork)
				if first && a.Work > 0 && p < fractions[b.Group]-1e-9 {
					t.Fatalf("%+v has %.3f, and %+v after it %.3f", a, p, b, fractions[b.Group])
				}
			}
		}
		if math.Abs(in-math.Min(capacity, want)) > 1e-6 {
			t.Fatalf("%.3f admitted of %.3f, with capacity for %.3f", in, want, capacity)
		}
	})
}

// Decoding must return the plan that was encoded, and truncated bytes must be rejected.
func TestPlanPacked(t *testing.T) {
	p := Plan{RetryAfter: 3 * time.Second, Admit: []Admission{{Group{7, true}, 0.5}, {Group{9, false}, 0.05}}}
	for i := range MaxSites {
		s := SitePlan{Site: uint32(i), State: State(i % 4), Fraction: float64(i) / 16}
		s.Fraction = math.Round(1000*s.Fraction) / 1000
		for j := range MaxSites {
			if s.Factor == nil {
				s.Factor = map[uint32]float64{}
			}
			s.Factor[uint32(j)] = 0.5 + float64(j)/20
		}
		p.Sites = append(p.Sites, s)
	}
	b := p.Append(nil)
	if got, err := Parse(b); err != nil || len(b) > MaxPacked || !reflect.DeepEqual(got, p) {
		t.Errorf("%d bytes: %+v, %v", len(b), got, err)
	}
	for i := range b {
		if _, err := Parse(b[:i]); err == nil && i > 0 {
			t.Fatalf("%d of %d bytes are decoded as a plan", i, len(b))
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Plan{RetryAfter: time.Second, Sites: []SitePlan{{Site: 1, State: Lost, Factor: map[uint32]float64{2: 1.5}}}, Admit: []Admission{{Group{7, true}, 0.5}}}.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := Parse(b)
		if err != nil {
			return
		}
		if len(p.Sites) > MaxSites || len(p.Admit) > MaxGroups {
			t.Fatal("plan out of bounds")
		}
		if again, err := Parse(p.Append(nil)); err != nil || len(again.Sites) != len(p.Sites) {
			t.Fatalf("%+v can't be decoded again: %v", p, err)
		}
		NewEnforcer("g", "s", 3).Apply(time.Second, p, []Endpoint{{1, "s"}})
	})
}

// enforcers returns those of a fleet with n gateways.
func enforcers(n int) (all []*Enforcer) {
	for i := range n {
		all = append(all, NewEnforcer(fmt.Sprint("g", i), "home", n))
	}
	return all
}

// listed returns n numbered endpoints of a site.
func listed(site string, n uint64) (all []Endpoint) {
	for e := range n {
		all = append(all, Endpoint{e, site})
	}
	return all
}

// A lost site must be probed, whatever the size of the fleet and of the site, by gateways whose
// clocks differ: each gateway outside it must probe at least one endpoint per cycle, and each
// endpoint within probesForAll cycles. The total number of probes must be bounded.
func TestEveryGatewayProbes(t *testing.T) {
	for _, members := range []int{1, 2, 3, 4, 6, 10, 24, 300} {
		for _, endpoints := range []uint64{1, 2, 3, 7, 50} {
			cycle := time.Duration(probeCycle(members)) * probeInterval
			total := 0
			for g := range members {
				d := NewEnforcer(fmt.Sprint("g", g), "home", members)
				seen := map[uint64]bool{}
				clock := time.Duration(g) * 1300 * time.Millisecond
				for n := range probesForAll {
					probes := 0
					for now := time.Duration(0); now < cycle; now += probeInterval {
						at := clock + time.Duration(n)*cycle + now
						d.Apply(at, Plan{Sites: []SitePlan{{Site: Hash("s"), State: Lost}}}, listed("s", endpoints))
						for e := range endpoints {
							if d.RoutesTo("s", e) {
								probes++
								seen[e] = true
							}
						}
					}
					if total += probes; probes == 0 {
						t.Fatalf("%d gateways, %d endpoints: gateway %d does not probe in its cycle %d", members, endpoints, g, n)
					}
				}
				if len(seen) < int(endpoints) {
					t.Errorf("%d gateways, %d endpoints: gateway %d has probed %d of them", members, endpoints, g, len(seen))
				}
			}
			turns := probesForAll * probeCycle(members)
			maxProbes := 2 * max(minProbers, probers) * int(endpoints+probesForAll-1) / probesForAll
			if total > turns*maxProbes {
				t.Errorf("%d gateways, %d endpoints: %d probes in %d turns", members, endpoints, total, turns)
			}
		}
	}
}

// Each endpoint of a returning site must get requests from the stated fraction of the fleet, and
// one of a lost site from a few probers, however large the fleet; gateways within it must
// continue.
func TestEnforcers(t *testing.T) {
	for _, n := range []int{10, 300} {
		for _, fraction := range []float64{0, 0.1, 0.3, 0.7} {
			all := enforcers(n)
			for now := time.Second; now < 40*time.Second; now += time.Second {
				for _, d := range all {
					d.Apply(now, Plan{Sites: []SitePlan{{Site: Hash("s"), State: Lost, Fraction: fraction}}}, listed("s", 50))
				}
			}
			routed, probing := 0, 0
			for _, d := range all {
				probes := false
				for e := range uint64(50) {
					if d.RoutesTo("s", e) {
						routed, probes = routed+1, true
					}
					if !d.RoutesTo("other", e) {
						t.Fatal("another site gets no requests")
					}
				}
				if probes {
					probing++
				}
			}
			got := float64(routed) / float64(n*50)
			if fraction > 0 && math.Abs(got-fraction) > 0.05 {
				t.Errorf("%d gateways, fraction %.1f: an endpoint gets requests from %.3f", n, fraction, got)
			}
			if fraction == 0 && (probing == 0 || probing > 2*maxProbers(n) || got > 0.3) {
				t.Errorf("%d gateways: %d probe a lost site, over %.3f of all pairs", n, probing, got)
			}
		}
	}
	d := NewEnforcer("g", "s", 3)
	d.Apply(time.Second, Plan{Sites: []SitePlan{{Site: Hash("s"), State: Lost}}}, listed("s", 50))
	if !d.RoutesTo("s", 1) || d.Degraded() {
		t.Error("a gateway within the lost site does not send to it")
	}
}

func maxProbers(n int) int { return min(n, probers) }

// A gateway whose plan expires while a site returns must raise its traffic to the site in steps;
// a reduction must take effect at once.
func TestEnforcerRisesInSteps(t *testing.T) {
	d := NewEnforcer("g", "home", 3)
	fractionAt := func(now time.Duration, p Plan) float64 {
		d.Apply(now, p, nil)
		fraction, reduced := d.fractions[Hash("s")]
		if !reduced {
			return 1
		}
		return fraction
	}
	if fraction := fractionAt(time.Second, Plan{Sites: []SitePlan{{Site: Hash("s"), Fraction: 0.2}}}); fraction != 0.2 {
		t.Errorf("it goes down to %.2f", fraction)
	}
	last := 0.2
	for now := 2 * time.Second; now < 12*time.Second; now += time.Second {
		fraction := fractionAt(now, Plan{})
		if fraction > last+riseRate+1e-9 {
			t.Errorf("%v: from %.2f to %.2f", now, last, fraction)
		}
		last = fraction
	}
	if last != 1 || d.Degraded() {
		t.Errorf("it ends at %.2f", last)
	}
}

// Of three sites at 75% load one is lost: its load must go to the others, with no more planned
// for them than allowed; what is worth least must be refused, and be admitted again after the
// site returns.
func TestPlanForLoss(t *testing.T) {
	home := map[string]string{"g0": "a", "g1": "b", "g2": "c", "g3": "a", "g4": "b", "g5": "c"}
	p := NewPlanner(0, Settings{Utilisation: 0.8, Floor: 0.05}, home, func(i, j string) float64 { return 1 }, Plan{})
	list := []Site{{"a", 4, 10, false}, {"b", 4, 10, false}, {"c", 4, 10, false}}
	var now time.Duration
	period := func(served func(site string) bool) Plan {
		for g := range home {
			p.AddDemand(Group{1, false}, 10, 2.5, 1)
			p.AddDemand(Group{2, true}, 10, 1.25, 3)
			for i, s := range list {
				for e := range 4 {
					if served(s.Name) {
						p.Observe(g, s.Name, uint64(i*10+e), 5, 0, 3.75/12)
					} else {
						p.Observe(g, s.Name, uint64(i*10+e), 0, 2, 0)
					}
				}
			}
		}
		now += time.Second
		plan, _ := p.Next(now, list)
		return plan
	}
	var plan Plan
	for range 20 {
		if plan = period(func(string) bool { return true }); len(plan.Sites)+len(plan.Admit) > 0 {
			t.Fatalf("without a loss the plan is %+v", plan)
		}
	}
	for range 4 {
		plan = period(func(s string) bool { return s != "b" })
	}
	admitted := map[Group]float64{{1, false}: 1, {2, true}: 1}
	for _, a := range plan.Admit {
		admitted[a.Group] = a.Fraction
	}
	if admittedWork := 15*admitted[Group{1, false}] + 7.5*admitted[Group{2, true}]; admitted[Group{2, true}] < 1 || admittedWork > 16.01 || admittedWork < 15.5 {
		t.Errorf("%v admitted, %.2f of work: 16 may be planned", admitted, admittedWork)
	}
	if plan.RetryAfter < minRetryAfter {
		t.Errorf("clients are to retry after %v", plan.RetryAfter)
	}
	for range 60 {
		plan = period(func(string) bool { return true })
	}
	if len(plan.Sites)+len(plan.Admit) > 0 {
		t.Errorf("a minute after the return: %+v", plan)
	}
}

// Sites, groups and flows that come and go for long must leave a planner within its bounds, with
// a plan that can be decoded; with the maximum number of sites the flows must still be tracked.
func TestPlannerBounds(t *testing.T) {
	home := map[string]string{}
	var list []Site
	for i := range MaxSites {
		list = append(list, Site{Name: fmt.Sprint("s", i), Ready: 4, Capacity: 1})
		home[fmt.Sprint("g", i)] = list[i].Name
	}
	p := NewPlanner(0, DefaultSettings, home, func(i, j string) float64 { return 1 }, Plan{})
	for n := range 200 {
		if f := p.flow[[2]string{"s1", "s2"}]; n == 6 && f < 0.5 {
			t.Errorf("with all flows tracked, a flow of 1 is estimated as %.3f", f)
		}
		for g := range home {
			for j, s := range list {
				if n > 5 && j == 0 { // lost, so that groups are refused
					p.Observe(g, s.Name, uint64(n%4), 0, 5, 0)
				} else {
					p.Observe(g, s.Name, uint64(j*10+n%4), 5, 0, 1)
				}
			}
		}
		for c := range MaxGroups {
			p.AddDemand(Group{Class: uint16(n*MaxGroups + c)}, 10, 10, 1)
		}
		plan, _ := p.Next(time.Duration(n)*time.Second, list)
		if _, err := Parse(plan.Append(nil)); err != nil || len(p.admit) > MaxGroups || len(p.flow) > MaxSites*MaxSites {
			t.Fatalf("%d groups, %d flows: %v", len(p.admit), len(p.flow), err)
		}
	}
	if f := p.flow[[2]string{"s1", "s2"}]; f < 0.5 {
		t.Errorf("a flow of 1 is estimated as %.3f", f)
	}
	for n := range 3 * MaxSites {
		p.Next(time.Duration(200+n)*time.Second, []Site{{Name: fmt.Sprint("z", n), Ready: 4, Capacity: 1}, list[1]})
	}
	if p.detector.sites["z47"] == nil {
		t.Error("a new site has no entry because of removed ones")
	}
}
