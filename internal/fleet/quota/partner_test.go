package quota

import (
	"fmt"
	"testing"
	"time"
)

// pool is a fleet without a network: messages arrive at once, and the first gateway is steward.
type pool struct {
	t            *testing.T
	now          time.Duration
	gateways     []Gateway
	participants []*Participant
	steward      *Steward
	demands      []Part
	change       func(i int, r Report) Report // alters the reports of a lying gateway; nil: none lies
}

func newPool(t *testing.T, gateways ...Gateway) *pool {
	p := &pool{t: t, gateways: gateways, steward: NewSteward(0, testSettings, gateways[0].Name, 1, gateways), demands: make([]Part, len(gateways))}
	for _, g := range gateways {
		p.participants = append(p.participants, NewParticipant(0, testSettings, g.Name, 1, g.Part))
	}
	return p
}

// run simulates a duration and returns the mean limit of each gateway.
func (p *pool) run(d time.Duration) (mean []float64) {
	mean = make([]float64, len(p.gateways))
	rounds := int(d / testSettings.Period)
	for range rounds {
		p.now += testSettings.Period
		for i, h := range p.participants {
			r, _ := h.Tick(p.now, p.demands[i], []string{p.gateways[0].Name})
			if p.change != nil {
				r = p.change(i, r)
			}
			p.deliver(r, 0)
		}
		sum := Part(0)
		for i, h := range p.participants {
			limit := h.Limit(p.now).At(p.now)
			sum += limit
			mean[i] += limit.Fraction() / float64(rounds)
		}
		if sum > Whole {
			p.t.Fatalf("at %v the limits sum to %.4f", p.now, sum.Fraction())
		}
	}
	return mean
}

func (p *pool) deliver(r Report, depth int) {
	for _, reply := range p.steward.HandleReport(p.now, r) {
		for i, h := range p.participants {
			if p.gateways[i].Name == reply.To && h.HandleReply(p.now, reply) && depth < 8 {
				if next, ok := h.NextReport(p.now); ok {
					p.deliver(next, depth+1)
				}
			}
		}
	}
}

// partnersOf returns the gateways of partners with a part each, named by partner and number.
func partnersOf(parts map[string]Part, each map[string]int, order ...string) (gateways []Gateway) {
	for _, name := range order {
		for i := range each[name] {
			gateways = append(gateways, Gateway{Name: fmt.Sprint(name, i), Partner: name, Part: parts[name] / Part(each[name])})
		}
	}
	return gateways
}

func sumOf(gateways []Gateway, mean []float64, partner string) (sum float64) {
	for i, g := range gateways {
		if g.Partner == partner {
			sum += mean[i]
		}
	}
	return sum
}

// A partner must not gain by doubling its gateways, neither when all have demand nor of what an
// idle partner lends.
func TestDoubledGateways(t *testing.T) {
	parts := map[string]Part{"a": PartOf(0.3), "b": PartOf(0.3), "c": PartOf(0.4)}
	for name, idle := range map[string]bool{"all have demand": false, "one lends": true} {
		var got []float64
		for _, n := range []int{2, 4, 8} {
			plan := partnersOf(parts, map[string]int{"a": 2, "b": n, "c": 1}, "a", "b", "c")
			p := newPool(t, plan...)
			for i, g := range plan {
				p.demands[i] = Whole
				if idle && g.Partner == "c" {
					p.demands[i] = 0
				}
			}
			p.run(5 * time.Second)
			got = append(got, sumOf(plan, p.run(20*time.Second), "b"))
		}
		for _, g := range got[1:] {
			if g > got[0]*1.03 {
				t.Errorf("%s: with 2, 4 and 8 gateways the partner had %.3f", name, got)
			}
		}
	}
}

// If one gateway of a partner has nine tenths of the partner's demand, it must get what the
// partner owns.
func TestUnevenDemandWithinPartner(t *testing.T) {
	plan := partnersOf(map[string]Part{"a": PartOf(0.5), "b": PartOf(0.5)}, map[string]int{"a": 3, "b": 2}, "a", "b")
	p := newPool(t, plan...)
	p.demands = []Part{PartOf(0.02), PartOf(0.45), PartOf(0.02), Whole, Whole}
	p.run(5 * time.Second)
	if mean := p.run(10 * time.Second); mean[1] < 0.43 {
		t.Errorf("its limit is %.3f", mean[1])
	}
}

// Where two partners want the same unused amount, one that has borrowed must come after one that
// has lent; over a minute this evens out.
func TestBorrowersComeLast(t *testing.T) {
	plan := partnersOf(map[string]Part{"a": PartOf(0.25), "b": PartOf(0.25), "c": PartOf(0.5)}, map[string]int{"a": 1, "b": 1, "c": 1}, "a", "b", "c")
	p := newPool(t, plan...)
	p.demands = []Part{0, Whole, 0} // b borrows from a and c
	p.run(60 * time.Second)
	p.demands = []Part{Whole, Whole, 0} // a also wants some of c's
	p.run(2 * time.Second)
	first := p.run(8 * time.Second)
	if first[0] < first[1]+0.1 {
		t.Errorf("after it lent for a minute a has %.3f, and b %.3f", first[0], first[1])
	}
	p.run(2 * time.Minute)
	if later := p.run(time.Minute); later[0] > later[1]+0.06 || later[1] > later[0]+0.06 {
		t.Errorf("in the long run a has %.3f, and b %.3f", later[0], later[1])
	}
}

// A lying gateway must get no more than what the others do not use: whatever demand it reports,
// it takes nothing from an owner that wants its part.
func TestLyingGateway(t *testing.T) {
	plan := partnersOf(map[string]Part{"a": PartOf(0.4), "b": PartOf(0.3), "c": PartOf(0.3)}, map[string]int{"a": 1, "b": 1, "c": 1}, "a", "b", "c")
	lies := map[string]func(Report) Report{
		"wants all":                func(r Report) Report { r.Demand = Whole; return r },
		"delayed acknowledgements": func(r Report) Report { r.Demand, r.Ack = Whole, r.Ack/2; return r },
		"impossible":               func(r Report) Report { r.Demand, r.Lend, r.Ack = 1<<62, 1<<62, 1<<62; return r },
		"negative amounts":         func(r Report) Report { r.Demand, r.Lend = -1<<62, -1<<62; return r },
		"a later incarnation":      func(r Report) Report { r.Incarnation = 1 << 62; return r },
	}
	for name, lie := range lies {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, plan...)
			p.demands = []Part{PartOf(0.35), PartOf(0.25), 0}
			p.change = func(i int, r Report) Report {
				if i == 2 {
					return lie(r)
				}
				return r
			}
			p.run(5 * time.Second)
			mean := p.run(10 * time.Second)
			if mean[0] < 0.35 || mean[1] < 0.25 {
				t.Errorf("the others' limits are %.3f and %.3f", mean[0], mean[1])
			}
			if used := p.participants[2].Limit(p.now).At(p.now); used > PartOf(0.42) {
				t.Errorf("its limit is %.3f", used.Fraction())
			}
		})
	}
}

// A flood of reports from one gateway, and from unknown ones, must use no memory and take nothing
// from the others.
func TestFlood(t *testing.T) {
	plan := partnersOf(map[string]Part{"a": PartOf(0.5), "b": PartOf(0.5)}, map[string]int{"a": 1, "b": 1}, "a", "b")
	p := newPool(t, plan...)
	p.demands = []Part{PartOf(0.1), Whole}
	flood := Report{From: "b0", Incarnation: 5, To: "a0", ToIncarnation: 1, Demand: Whole}
	p.change = func(i int, r Report) Report {
		for range 1000 {
			flood.Seq++
			flood.Ack = flood.Seq % 40
			flood.Lend = Part(flood.Seq % 7 * 1e8)
			p.steward.HandleReport(p.now, flood)
			p.steward.HandleReport(p.now, Report{From: fmt.Sprint("x", flood.Seq), Incarnation: 1, Seq: 1, To: "a0"})
		}
		return r
	}
	p.run(2 * time.Second)
	mean := p.run(10 * time.Second)
	if mean[0] < 0.1 {
		t.Errorf("the other's limit is %.3f", mean[0])
	}
	for _, a := range p.steward.accounts {
		if len(a.loans) > maxEntries || len(a.grants) > maxEntries {
			t.Errorf("%s: %d and %d entries", a.Name, len(a.loans), len(a.grants))
		}
	}
	if len(p.steward.accounts) != 2 {
		t.Errorf("%d accounts", len(p.steward.accounts))
	}
}

// Two processes with the same name must detect it, and each other gateway must keep its part.
func TestDuplicateName(t *testing.T) {
	plan := partnersOf(map[string]Part{"a": PartOf(0.5), "b": PartOf(0.5)}, map[string]int{"a": 1, "b": 1}, "a", "b")
	s := NewSteward(0, testSettings, "a0", 1, plan)
	one, two, other := NewParticipant(0, testSettings, "b0", 10, PartOf(0.5)), NewParticipant(0, testSettings, "b0", 20, PartOf(0.5)), NewParticipant(0, testSettings, "a0", 1, PartOf(0.5))
	for now := time.Duration(0); now < 20*time.Second; now += testSettings.Period {
		for _, h := range []*Participant{one, two, other} {
			r, _ := h.Tick(now, Whole, []string{"a0"})
			for _, reply := range s.HandleReport(now, r) {
				h.HandleReply(now, reply)
			}
		}
		if now > 2*time.Second && other.Limit(now).At(now) < PartOf(0.5) {
			t.Fatalf("at %v the other gateway has %.3f of its 0.5", now, other.Limit(now).At(now).Fraction())
		}
	}
	if one.IncarnationBumps() < 2 || two.IncarnationBumps() < 2 {
		t.Errorf("they detected it %d and %d times", one.IncarnationBumps(), two.IncarnationBumps())
	}
}

// An owner whose demand returns must be told that its loans are no longer used, and get its part
// back well before the lease ends.
func TestLoanReturned(t *testing.T) {
	plan := partnersOf(map[string]Part{"a": PartOf(0.5), "b": PartOf(0.25), "c": PartOf(0.25)}, map[string]int{"a": 1, "b": 1, "c": 1}, "a", "b", "c")
	p := newPool(t, plan...)
	p.demands = []Part{0, 0, Whole}
	p.run(5 * time.Second)
	if l := p.participants[1].Limit(p.now); l.Own > PartOf(0.01) {
		t.Fatalf("it has not lent its part: %v", l)
	}
	p.demands[1] = PartOf(0.24)
	p.run(3 * testSettings.Period)
	if l := p.participants[1].Limit(p.now); l.Own < PartOf(0.24) {
		t.Errorf("0.6 s after its demand returned, with a lease of 1 s, it has %.3f of its own and %.3f granted", l.Own.Fraction(), l.Grant.Fraction())
	}
}

// A change of the gateways must keep the state of those that stay, in whatever order they are
// named, and count what was granted to removed ones until it expires.
func TestGatewayChanges(t *testing.T) {
	gateways := partnersOf(map[string]Part{"a": PartOf(0.4), "b": PartOf(0.3), "c": PartOf(0.3)}, map[string]int{"a": 2, "b": 1, "c": 1}, "a", "b", "c")
	p := newPool(t, gateways...)
	p.demands = []Part{0, Whole, PartOf(0.1), 0}
	p.run(5 * time.Second)
	granted := p.steward.granted
	next := []Gateway{{"d0", "d", PartOf(0.1)}, {"c0", "c", PartOf(0.3)}, {"a0", "a", PartOf(0.2)}, {"0", "e", 0}, {"b0", "b", PartOf(0.3)}}
	p.steward.SetGateways(p.now, next) // the gateway that holds the grant is removed
	if p.steward.granted != granted {
		t.Errorf("granted %v, before %v", p.steward.granted, granted)
	}
	names := map[string]int{}
	for _, a := range p.steward.accounts {
		names[a.Name]++
		if a.removed != (a.Name == "a1") || a.Name == "c0" && a.lastReport == 0 {
			t.Errorf("%+v", *a)
		}
	}
	for _, g := range append(next, gateways[1]) {
		if names[g.Name] != 1 || p.steward.account(g.Name) == nil {
			t.Errorf("%s has %d accounts", g.Name, names[g.Name])
		}
	}
	p.steward.SetGateways(p.now+2*testSettings.Lease, next)
	if len(p.steward.accounts) != len(next) {
		t.Errorf("%d accounts, %d gateways", len(p.steward.accounts), len(next))
	}
}

// Hours of use must leave no state behind.
func TestLongRun(t *testing.T) {
	plan := partnersOf(map[string]Part{"a": PartOf(0.4), "b": PartOf(0.3), "c": PartOf(0.3)}, map[string]int{"a": 2, "b": 2, "c": 2}, "a", "b", "c")
	p := newPool(t, plan...)
	for i := range 3 * 60 {
		for j := range p.demands {
			p.demands[j] = Whole * Part((i*7+j*3)%11) / 10
		}
		p.run(time.Minute)
	}
	for _, h := range p.participants {
		n := 0
		for _, c := range h.loans {
			n += len(c.entries)
		}
		if len(h.loans) > 1 || n > maxEntries || h.steward.NumSilent() > 0 {
			t.Errorf("%s: %d stewards, %d entries, %d avoided", h.name, len(h.loans), n, h.steward.NumSilent())
		}
	}
	p.demands = make([]Part, len(plan))
	p.run(3 * testSettings.Lease)
	for k := range window {
		if p.steward.granted[k] != 0 {
			t.Fatalf("without demand, slot %d has %d granted", k, p.steward.granted[k])
		}
	}
}
