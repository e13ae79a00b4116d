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

// greedy places load site by site, each at the nearest with room: what Spread was weighed
// against.
func greedy(displaced, room []float64, far func(i, j int) float64) (cost float64) {
	room = append([]float64(nil), room...)
	for i, d := range displaced {
		for d > 1e-9 {
			best := -1
			for j := range room {
				if room[j] > 1e-9 && (best < 0 || far(i, j) < far(i, best)) {
					best = j
				}
			}
			if best < 0 {
				break
			}
			x := math.Min(d, room[best])
			cost, d, room[best] = cost+x*far(i, best), d-x, room[best]-x
		}
	}
	return cost
}

// All that there is room for is placed, nowhere more than there is room for, and never
// farther in all than by taking the nearest each time.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, m := rapid.IntRange(1, 6).Draw(t, "from"), rapid.IntRange(1, 6).Draw(t, "to")
		displaced, room := draw(t, n, "displaced"), draw(t, m, "room")
		miles := draw(t, n*m, "miles")
		far := func(i, j int) float64 { return miles[i*m+j] }
		placed, left := Spread(displaced, room, far)
		cost, all := 0.0, 0.0
		for j := range m {
			at := 0.0
			for i := range n {
				if placed[i][j] < -1e-9 {
					t.Fatalf("%v", placed)
				}
				at += placed[i][j]
				cost += placed[i][j] * far(i, j)
			}
			if at > room[j]+1e-6 {
				t.Fatalf("%v where there is room for %v", placed, room)
			}
			all += at
		}
		if want := math.Min(sum(displaced), sum(room)); math.Abs(all-want) > 1e-6 || math.Abs(left-(sum(displaced)-want)) > 1e-6 {
			t.Fatalf("%.3f is placed and %.3f left of %v, with room for %v", all, left, displaced, room)
		}
		if g := greedy(displaced, room, far); sum(displaced) <= sum(room) && cost > g+1e-6 {
			t.Fatalf("%.3f far, by the nearest each time %.3f", cost, g)
		}
	})
	// Two that want the same near place: who has no other near one gets it.
	placed, _ := Spread([]float64{10, 10}, []float64{10, 20}, func(i, j int) float64 { return [][]float64{{1, 2}, {1, 9}}[i][j] })
	if placed[1][0] != 10 || placed[0][1] != 10 {
		t.Errorf("%v", placed)
	}
}

// What is let in fits, and is all that fits; nobody is starved; and who comes first in the
// stated order has no less of his than who comes after.
func TestAdmit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Demand
		want := 0.0
		for i := range rapid.IntRange(1, 8).Draw(t, "groups") {
			d := Demand{Group: Group{uint16(i), rapid.Bool().Draw(t, "inside")}, Work: rapid.Float64Range(0.01, 50).Draw(t, "work"), Worth: float64(rapid.IntRange(1, 4).Draw(t, "worth")), MeanWork: float64(rapid.IntRange(1, 4).Draw(t, "mean"))}
			all, want = append(all, d), want+d.Work
		}
		room, floor := rapid.Float64Range(0, 200).Draw(t, "room"), rapid.Float64Range(0, 0.5).Draw(t, "floor")
		part := Admit(all, room, floor)
		in := 0.0
		for _, a := range all {
			p := part[a.Group]
			in += p * a.Work
			if p < math.Min(floor, room/math.Max(want, 1e-9))-1e-9 || p > 1+1e-9 {
				t.Fatalf("%.3f of a group is let in", p)
			}
			for _, b := range all {
				first := a.Guaranteed && !b.Guaranteed || a.Guaranteed == b.Guaranteed && (a.Worth > b.Worth || a.Worth == b.Worth && a.MeanWork < b.MeanWork)
				if first && a.Work > 0 && p < part[b.Group]-1e-9 {
					t.Fatalf("%+v has %.3f, and %+v after it %.3f", a, p, b, part[b.Group])
				}
			}
		}
		if math.Abs(in-math.Min(room, want)) > 1e-6 {
			t.Fatalf("%.3f is let in of %.3f, with room for %.3f", in, want, room)
		}
	})
}

// A plan is what it was packed from, and no bytes do more than be refused.
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
			t.Fatalf("%d of %d bytes are taken for a plan", i, len(b))
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
			t.Fatal("out of its bounds")
		}
		if again, err := Parse(p.Append(nil)); err != nil || len(again.Sites) != len(p.Sites) {
			t.Fatalf("%+v can't be read again: %v", p, err)
		}
		NewEnforcer("g", "s", 3).Apply(time.Second, p, []Endpoint{{1, "s"}})
	})
}

// doors are those of a fleet that all have the same plan.
func doors(n int) (all []*Enforcer) {
	for i := range n {
		all = append(all, NewEnforcer(fmt.Sprint("g", i), "home", n))
	}
	return all
}

// listed are endpoints of a site, numbered.
func listed(site string, n uint64) (all []Endpoint) {
	for e := range n {
		all = append(all, Endpoint{e, site})
	}
	return all
}

// A lost site is looked at whatever the size of the fleet and of the site, and by gateways
// whose clocks differ: each outside of it meets an endpoint at least in each cycle of turns, and
// each endpoint within looksForAll cycles. All together meet no more than they should.
func TestEveryGatewayLooks(t *testing.T) {
	for _, members := range []int{1, 2, 3, 4, 6, 10, 24, 300} {
		for _, endpoints := range []uint64{1, 2, 3, 7, 50} {
			cycle := time.Duration(lookCycle(members)) * lookTurn
			met := 0
			for g := range members {
				d := NewEnforcer(fmt.Sprint("g", g), "home", members)
				seen := map[uint64]bool{}
				clock := time.Duration(g) * 1300 * time.Millisecond
				for n := range looksForAll {
					looks := 0
					for now := time.Duration(0); now < cycle; now += lookTurn {
						at := clock + time.Duration(n)*cycle + now
						d.Apply(at, Plan{Sites: []SitePlan{{Site: Hash("s"), State: Lost}}}, listed("s", endpoints))
						for e := range endpoints {
							if d.RoutesTo("s", e) {
								looks++
								seen[e] = true
							}
						}
					}
					if met += looks; looks == 0 {
						t.Fatalf("%d gateways, %d endpoints: gateway %d does not look in its cycle %d", members, endpoints, g, n)
					}
				}
				if len(seen) < int(endpoints) {
					t.Errorf("%d gateways, %d endpoints: gateway %d has met %d of them", members, endpoints, g, len(seen))
				}
			}
			turns := looksForAll * lookCycle(members)
			most := 2 * max(leastLookers, lookers) * int(endpoints+looksForAll-1) / looksForAll
			if met > turns*most {
				t.Errorf("%d gateways, %d endpoints: %d looks in %d turns", members, endpoints, met, turns)
			}
		}
	}
}

// Each endpoint of a site that returns is met by the stated part of the fleet, and a lost
// one by a few that look, however large the fleet; gateways within it go on.
func TestDoors(t *testing.T) {
	for _, n := range []int{10, 300} {
		for _, part := range []float64{0, 0.1, 0.3, 0.7} {
			all := doors(n)
			for now := time.Second; now < 40*time.Second; now += time.Second {
				for _, d := range all {
					d.Apply(now, Plan{Sites: []SitePlan{{Site: Hash("s"), State: Lost, Fraction: part}}}, listed("s", 50))
				}
			}
			met, lookers := 0, 0
			for _, d := range all {
				looks := false
				for e := range uint64(50) {
					if d.RoutesTo("s", e) {
						met, looks = met+1, true
					}
					if !d.RoutesTo("other", e) {
						t.Fatal("another site is not met")
					}
				}
				if looks {
					lookers++
				}
			}
			got := float64(met) / float64(n*50)
			if part > 0 && math.Abs(got-part) > 0.05 {
				t.Errorf("%d gateways, part %.1f: %.3f meet an endpoint", n, part, got)
			}
			if part == 0 && (lookers == 0 || lookers > 2*lookersMost(n) || got > 0.3) {
				t.Errorf("%d gateways: %d look at a lost site, at %.3f", n, lookers, got)
			}
		}
	}
	d := NewEnforcer("g", "s", 3)
	d.Apply(time.Second, Plan{Sites: []SitePlan{{Site: Hash("s"), State: Lost}}}, listed("s", 50))
	if !d.RoutesTo("s", 1) || d.Degraded() {
		t.Error("a gateway within the lost site does not meet it")
	}
}

func lookersMost(n int) int { return min(n, lookers) }

// A member for which there is no plan any more in the midst of a return meets more of the
// site in steps; what gets worse is taken at once.
func TestDoorRises(t *testing.T) {
	d := NewEnforcer("g", "home", 3)
	at := func(now time.Duration, p Plan) float64 {
		d.Apply(now, p, nil)
		part, hurt := d.parts[Hash("s")]
		if !hurt {
			return 1
		}
		return part
	}
	if part := at(time.Second, Plan{Sites: []SitePlan{{Site: Hash("s"), Fraction: 0.2}}}); part != 0.2 {
		t.Errorf("it goes down to %.2f", part)
	}
	last := 0.2
	for now := 2 * time.Second; now < 12*time.Second; now += time.Second {
		part := at(now, Plan{})
		if part > last+doorRises+1e-9 {
			t.Errorf("%v: from %.2f to %.2f", now, last, part)
		}
		last = part
	}
	if last != 1 || d.Degraded() {
		t.Errorf("it ends at %.2f", last)
	}
}

// Three sites at 75% load, one is lost: what it carried goes to the others and no more is
// planned for them than they may have; what is worth least is refused, and comes back once
// the site does.
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
			t.Fatalf("nothing is wrong, and the plan is %+v", plan)
		}
	}
	for range 4 {
		plan = period(func(s string) bool { return s != "b" })
	}
	admitted := map[Group]float64{{1, false}: 1, {2, true}: 1}
	for _, a := range plan.Admit {
		admitted[a.Group] = a.Fraction
	}
	if in := 15*admitted[Group{1, false}] + 7.5*admitted[Group{2, true}]; admitted[Group{2, true}] < 1 || in > 16.01 || in < 15.5 {
		t.Errorf("%v is let in, %.2f of work: 16 may be planned for", admitted, in)
	}
	if plan.RetryAfter < leastReturn {
		t.Errorf("clients are to stay away for %v", plan.RetryAfter)
	}
	for range 60 {
		plan = period(func(string) bool { return true })
	}
	if len(plan.Sites)+len(plan.Admit) > 0 {
		t.Errorf("a minute after: %+v", plan)
	}
}

// Zones, groups and flows that come and go for long leave a planner within its bounds, and a
// plan that can be read; at the most sites there are the flows are still followed.
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
			t.Errorf("with all flows known one of 1 is followed as %.3f", f)
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
		t.Errorf("a flow of 1 is followed as %.3f", f)
	}
	for n := range 3 * MaxSites {
		p.Next(time.Duration(200+n)*time.Second, []Site{{Name: fmt.Sprint("z", n), Ready: 4, Capacity: 1}, list[1]})
	}
	if p.judge.sites["z47"] == nil {
		t.Error("a zone that is new has no place among those that are gone")
	}
}
