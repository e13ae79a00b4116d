package sites

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// probers is how many gateways probe a lost or returning site, each some of its endpoints, so
	// that its return is noticed and goes on: independent of the size of a large fleet. Of a small
	// one it is a fraction, and at least minProbers.
	probers         = 8
	minProbers      = 2
	probersFraction = 0.25
	// probesForAll is the number of its probes after which a gateway has covered each endpoint.
	probesForAll = 4
	// probeInterval is the duration of a probe.
	probeInterval = 4 * time.Second
	// riseRate is the maximum increase of the fraction of a returning site that a gateway sends
	// to, per second.
	riseRate = 0.1
)

// Enforcer applies a plan at one gateway. A reduction takes effect at once and an increase in
// steps, also when the plan is no longer fresh: a gateway that is cut off while a site returns
// does not send full traffic to the site at once.
type Enforcer struct {
	name        uint64
	home        uint32
	members     int // gateways of the fleet
	plan        Plan
	fractions   map[uint32]float64 // of sites that do not get all traffic; no more than there are sites
	lastApplied time.Duration
	probed      map[uint64]bool // endpoints that are probed now, of sites with no endpoint selected by its fraction
}

// Endpoint is a listed endpoint that takes new requests.
type Endpoint struct {
	ID   uint64
	Site string
}

// NewEnforcer returns an enforcer for a gateway at site home, in a fleet of members gateways.
func NewEnforcer(name, home string, members int) *Enforcer {
	return &Enforcer{name: uint64(Hash(name)), home: Hash(home), members: members, fractions: map[uint32]float64{}}
}

// SetHome sets the gateway's own site and the number of gateways.
func (e *Enforcer) SetHome(home string, members int) { e.home, e.members = Hash(home), members }

// Apply sets the plan in force (the zero value: no plan is fresh) and the listed endpoints.
func (e *Enforcer) Apply(now time.Duration, p Plan, endpoints []Endpoint) {
	maxRise := riseRate * max(0, min((now-e.lastApplied).Seconds(), 4))
	e.lastApplied, e.plan = now, p
	targets := map[uint32]float64{}
	for _, s := range p.Sites {
		if targets[s.Site] = s.Fraction; s.Site == e.home { // a gateway at the site itself sends to it
			targets[s.Site] = 1
		}
	}
	for h := range e.fractions {
		if _, planned := targets[h]; !planned {
			targets[h] = 1
		}
	}
	for h, target := range targets {
		current, known := e.fractions[h]
		if !known {
			current = 1
		}
		if target = math.Min(target, current+maxRise); target < 1 {
			e.fractions[h] = target
		} else {
			delete(e.fractions, h)
		}
	}
	e.probe(endpoints)
}

// probe sets which endpoints are probed: of sites that get less than all traffic, if this gateway
// would send to none of their endpoints, as is common for a site with few. A gateway probes once
// per cycle, other endpoints each time and at least one. Gateways start at different turns, derived
// from their names, but none goes without a probe for longer than probeCycle. So there is always
// evidence about a site, in a small fleet too, without which its state would never change.
func (e *Enforcer) probe(endpoints []Endpoint) {
	e.probed = map[uint64]bool{}
	for site, fraction := range e.fractions {
		var ids []uint64
		selected := false
		for _, endpoint := range endpoints {
			if Hash(endpoint.Site) == site {
				ids = append(ids, endpoint.ID)
				selected = selected || e.selects(endpoint.ID, fraction)
			}
		}
		if !selected {
			e.probeSite(site, ids)
		}
	}
}

// probeSite adds the endpoints of a site that are probed in this turn, if it is this gateway's.
func (e *Enforcer) probeSite(site uint32, ids []uint64) {
	cycle := uint64(probeCycle(e.members))
	turn := uint64(e.lastApplied/probeInterval) + mixHash(e.name, uint64(site), 0)%cycle
	if turn%cycle != 0 {
		return
	}
	slices.Sort(ids)
	step := uint64(max(1, min(probesForAll, len(ids))))
	first := (turn/cycle + mixHash(e.name, uint64(site), 1)) % step
	for i := first; i < uint64(len(ids)); i += step {
		e.probed[ids[i]] = true
	}
}

// selects reports whether this gateway is in the fraction of the fleet that sends to an endpoint.
func (e *Enforcer) selects(endpoint uint64, fraction float64) bool {
	return hashFraction(e.name, endpoint, 0) < fraction
}

// probeCycle returns the number of turns between two probes of a gateway, by the size of the
// fleet.
func probeCycle(members int) int {
	n := float64(max(members, 1))
	return max(1, int(n/min(probers, max(minProbers, probersFraction*n))))
}

// Clone returns a copy for readers, which is not changed any more.
func (e *Enforcer) Clone() *Enforcer {
	c := *e
	c.fractions = maps.Clone(e.fractions)
	return &c
}

// Site returns a site's state by the plan, and the fraction of it that this gateway sends to.
func (e *Enforcer) Site(name string) (State, float64) {
	fraction, reduced := e.fractions[Hash(name)]
	if !reduced {
		fraction = 1
	}
	for _, s := range e.plan.Sites {
		if s.Site == Hash(name) {
			return s.State, fraction
		}
	}
	return Healthy, fraction
}

// Degraded reports whether any site does not get all traffic, or any requests are refused.
func (e *Enforcer) Degraded() bool { return len(e.fractions)+len(e.plan.Admit) > 0 }

// RoutesTo reports whether this gateway sends first attempts to an endpoint of a site. Of a
// returning site each gateway sends to a fraction of the endpoints, and each endpoint receives
// from the same fraction of the gateways; and some gateways probe.
func (e *Enforcer) RoutesTo(site string, endpoint uint64) bool {
	fraction, reduced := e.fractions[Hash(site)]
	if !reduced {
		return true
	}
	return e.selects(endpoint, fraction) || e.probed[endpoint]
}

// Factor returns the factor for the weights of a site's endpoints.
func (e *Enforcer) Factor(site string) float64 {
	if len(e.fractions) == 0 {
		return 1
	}
	h := Hash(site)
	for _, s := range e.plan.Sites {
		if f, given := s.Factor[e.home]; given && s.Site == h {
			return f
		}
	}
	return 1
}

// Admits reports whether a request of a group is admitted; random must be drawn from [0, 1).
func (e *Enforcer) Admits(g Group, random float64) bool {
	for _, a := range e.plan.Admit {
		if a.Group == g {
			return random < a.Fraction
		}
	}
	return true
}

// RetryAfter returns when a refused client may retry: spread over the time in which the site may
// return, so that clients refused together do not retry together.
func (e *Enforcer) RetryAfter(random float64) time.Duration {
	return time.Duration((0.5 + random) * float64(max(e.plan.RetryAfter, minRetryAfter)))
}

// hashFraction maps three numbers uniformly to [0, 1).
func hashFraction(a, b, c uint64) float64 { return float64(mixHash(a, b, c)>>11) / (1 << 53) }

// mixHash returns a hash of three numbers.
func mixHash(a, b, c uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b*0xc2b2ae3d27d4eb4f ^ c*0x165667b19e3779f9
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
