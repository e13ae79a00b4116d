package hardware

import (
	"time"

	"spokegw/internal/fleet/coordination"
	"spokegw/internal/fleet/election"
	"spokegw/internal/fleet/message"
	"spokegw/internal/fleet/quota"
	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
	"spokegw/internal/lab/gateways"
	"spokegw/internal/learnt"
	"spokegw/policy"
)

// gateway is one of them.
type gateway struct {
	lab      *Lab
	name     string
	node     *coordination.Node
	balancer *policy.Balancer
	sums     []weights.Stats
	sizes    map[weights.ID]float64
	calls    map[policy.RequestID]*call
	inFlight []int
	avoided  []bool // the module has it as draining
	fails    map[string]int
	asked    weights.Stats
	enforcer *sites.Enforcer
	contract *contract // nil: there is no quota
}

// start starts a gateway, also anew.
func (l *Lab) start(now time.Duration, set quota.Settings, name string, incarnation uint64, plan []quota.Gateway) gateways.Way {
	g := &gateway{lab: l, name: name, sums: make([]weights.Stats, len(l.Servers)), calls: map[policy.RequestID]*call{}, inFlight: make([]int, len(l.Servers)),
		avoided: make([]bool, len(l.Servers)), fails: map[string]int{}, asked: weights.Stats{ID: weights.AdmissionID("")}}
	for i, id := range l.ids {
		g.sums[i].ID = id
	}
	var names []string
	for _, p := range plan {
		names = append(names, p.Name)
	}
	g.node = coordination.NewNode(now, election.Settings{Lease: set.Lease, Drift: set.Drift}, name, incarnation, names, g, l.layout(names))
	g.balancer, g.contract = l.balancer(incarnation), l.newContract(now, set, name, incarnation, plan)
	at := time.Duration(0)
	if l.World != nil { // it is started again
		at = l.Now
	}
	g.balancer.Endpoints(at, l.list(), true) // which asks for nothing here
	if old := l.gateways[name]; old == nil {
		l.order = append(l.order, g)
	} else {
		for i := range l.order {
			if l.order[i] == old {
				l.order[i] = g
			}
		}
	}
	l.gateways[name] = g
	return g
}

func (l *Lab) balancer(seed uint64) *policy.Balancer {
	set := policy.Settings{FleetSize: l.Gateways, MaxAttempts: 3, HedgedAttempts: true, Cancel: true, WorthByWork: true, WarmupTime: coldTime, StartCapacity: coldLeast}
	if l.Way == Breaker {
		set.WarmupTime = 0
	}
	for _, c := range l.Classes {
		set.Classes = append(set.Classes, c.Class)
	}
	b, err := policy.New(set, seed)
	if err != nil {
		panic(err) // the lab's own settings
	}
	return b
}

// Observations and Endpoints are the gateway's sight.
func (g *gateway) Observations() []weights.Stats {
	seen := g.sums
	g.sums = make([]weights.Stats, len(seen))
	for i, id := range g.lab.ids {
		g.sums[i].ID = id
	}
	seen = append(seen, g.asked)
	g.asked = weights.Stats{ID: weights.AdmissionID("")}
	return seen
}

func (g *gateway) Endpoints() (all []weights.Endpoint) {
	for i, s := range g.lab.Servers {
		all = append(all, weights.Endpoint{ID: g.lab.ids[i], Kind: uint32(s.Kind), Nominal: s.Listed, Site: s.Site, Ready: !s.leaving, Warmth: s.warmth(g.lab.Now)})
	}
	return all
}

// Tick, Take and Limit are a gateways.Way.
func (g *gateway) Tick(now time.Duration, _ quota.Part, candidates []string) (all []gateways.Message) {
	if g.contract != nil {
		all = quotaMessages(g.contract.tick(now, candidates))
	}
	if g.lab.Way < Fleet {
		return all
	}
	out := g.node.Tick(now, candidates)
	factors, _ := g.node.Factors(now)
	g.sizes = factors
	g.applyPlan(now)
	if g.node.HasFreshTable(now) {
		g.resize()
	}
	return append(all, g.messages(out)...)
}

func (g *gateway) resize() {
	learnt.ApplyMeasuredSizes(g.lab.Now, g.balancer, func(id policy.EndpointID) (int, float64) {
		s := g.lab.Servers[id]
		return s.Kind, s.Listed
	}, func(id policy.EndpointID) (float64, bool) {
		f, ok := g.sizes[g.lab.ids[id]]
		if !ok {
			f = 1
		}
		if g.enforcer != nil {
			f *= g.enforcer.Factor(g.lab.Servers[id].Site)
		}
		return f * g.lab.Servers[id].Listed, true
	})
}

func (g *gateway) Take(now time.Duration, body any) []gateways.Message {
	if o, ok := body.(quota.Outgoing); ok {
		return quotaMessages(g.contract.take(now, o))
	}
	out, _ := g.node.Handle(now, body.(coordination.Message))
	return g.messages(out)
}

func (g *gateway) Limit(now time.Duration) quota.Limit {
	if g.contract == nil {
		return quota.Limit{}
	}
	return g.contract.enforce(now)
}

func (g *gateway) messages(all []coordination.Outgoing) (out []gateways.Message) {
	for _, o := range all {
		if b, err := message.Append(nil, message.Message{Council: o.Message}); err == nil && o.To != g.name {
			g.lab.Bytes += len(b)
		}
		out = append(out, gateways.Message{To: o.To, Body: o.Message})
	}
	return out
}
