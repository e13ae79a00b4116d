package sites

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// lookers are how many gateways go on meeting a lost site, each a part of its endpoints, so
	// that somebody sees it come back: whatever the size of the fleet. Of a small one it is a
	// part, and two at least.
	lookers      = 8
	leastLookers = 2
	lookersPart  = 0.25
	// looksForAll is after how many of its looks a gateway has met each endpoint.
	looksForAll = 4
	// lookTurn is how long a look lasts.
	lookTurn = 4 * time.Second
	// doorRises is by which a member lets in more of what is returning, in a second.
	doorRises = 0.1
)

// Enforcer is a member's side: what it does about a plan. What gets worse is taken at once, and
// what gets better in steps, also where the plan is no longer fresh: a member that is cut off
// in the midst of a return does not meet the site whole at once.
type Enforcer struct {
	name    uint64
	home    uint32
	members int // of the fleet
	plan    Plan
	parts   map[uint32]float64 // of sites that are not met whole; as many as sites
	stepped time.Duration
	looked  map[uint64]bool // endpoints of lost sites that are looked at now
}

// Endpoint is an endpoint of the list that takes new requests.
type Endpoint struct {
	ID   uint64
	Site string
}

// NewEnforcer makes that of a gateway of a site, one of so many.
func NewEnforcer(name, home string, members int) *Enforcer {
	return &Enforcer{name: uint64(Hash(name)), home: Hash(home), members: members, parts: map[uint32]float64{}}
}

// SetHome takes another site of the gateway's, and how many there are.
func (d *Enforcer) SetHome(home string, members int) { d.home, d.members = Hash(home), members }

// Apply takes the plan in force, the zero one: there is none that is fresh, and the endpoints
// that there are.
func (d *Enforcer) Apply(now time.Duration, p Plan, listed []Endpoint) {
	rise := doorRises * max(0, min((now-d.stepped).Seconds(), 4))
	d.stepped, d.plan = now, p
	to := map[uint32]float64{}
	for _, s := range p.Sites {
		if to[s.Site] = s.Fraction; s.Site == d.home { // it is here, and meets itself
			to[s.Site] = 1
		}
	}
	for h := range d.parts {
		if _, told := to[h]; !told {
			to[h] = 1
		}
	}
	for h, part := range to {
		was, known := d.parts[h]
		if !known {
			was = 1
		}
		if part = math.Min(part, was+rise); part < 1 {
			d.parts[h] = part
		} else {
			delete(d.parts, h)
		}
	}
	d.look(listed)
}

// look sets which endpoints of lost sites are looked at. A gateway looks in every so many
// turns, at other endpoints each time and at one at least. Gateways begin at turns of their
// own, drawn by their names; but none can be without a look for longer than lookCycle, so a
// site of few endpoints that comes back is seen, in a small fleet too.
func (d *Enforcer) look(listed []Endpoint) {
	d.looked = map[uint64]bool{}
	for site, part := range d.parts {
		if part >= firstPart {
			continue
		}
		cycle := lookCycle(d.members)
		turn := uint64(d.stepped/lookTurn) + mixed(d.name, uint64(site), 0)%uint64(cycle)
		if turn%uint64(cycle) != 0 {
			continue
		}
		var ids []uint64
		for _, e := range listed {
			if Hash(e.Site) == site {
				ids = append(ids, e.ID)
			}
		}
		slices.Sort(ids)
		step := uint64(max(1, min(looksForAll, len(ids))))
		first := (turn/uint64(cycle) + mixed(d.name, uint64(site), 1)) % step
		for i := first; i < uint64(len(ids)); i += step {
			d.looked[ids[i]] = true
		}
	}
}

// lookCycle is how many turns there are from one look of a gateway to its next, in a fleet of
// so many.
func lookCycle(members int) int {
	n := float64(max(members, 1))
	return max(1, int(n/min(lookers, max(leastLookers, lookersPart*n))))
}

// Clone is a copy for readers, which nobody steps.
func (d *Enforcer) Clone() *Enforcer {
	c := *d
	c.parts = maps.Clone(d.parts)
	return &c
}

// Site is where a site stands by the plan, and which part of it this gateway meets.
func (d *Enforcer) Site(name string) (State, float64) {
	part, hurt := d.parts[Hash(name)]
	if !hurt {
		part = 1
	}
	for _, s := range d.plan.Sites {
		if s.Site == Hash(name) {
			return s.State, part
		}
	}
	return Healthy, part
}

// Degraded reports whether any site is not met whole, or anybody is turned away.
func (d *Enforcer) Degraded() bool { return len(d.parts)+len(d.plan.Admit) > 0 }

// RoutesTo reports whether this gateway sends first attempts to an endpoint of a site. Of a site
// that returns each gateway meets a part of the endpoints, and each endpoint is met by a part
// of the gateways: the same of both.
func (d *Enforcer) RoutesTo(site string, endpoint uint64) bool {
	part, hurt := d.parts[Hash(site)]
	if !hurt {
		return true
	}
	if part > 0 && spread(d.name, endpoint, 0) < part {
		return true
	}
	return part < firstPart && d.looked[endpoint]
}

// Factor is by which the weights of a site's endpoints are multiplied.
func (d *Enforcer) Factor(site string) float64 {
	if len(d.parts) == 0 {
		return 1
	}
	h := Hash(site)
	for _, s := range d.plan.Sites {
		if f, told := s.Factor[d.home]; told && s.Site == h {
			return f
		}
	}
	return 1
}

// Admits reports whether a request of a group is let in; random is drawn from 0 to 1.
func (d *Enforcer) Admits(g Group, random float64) bool {
	for _, a := range d.plan.Admit {
		if a.Group == g {
			return random < a.Fraction
		}
	}
	return true
}

// RetryAfter is when a client that is refused may come back: spread over the time in which the
// site may return, so that those that are refused together do not come together.
func (d *Enforcer) RetryAfter(random float64) time.Duration {
	return time.Duration((0.5 + random) * float64(max(d.plan.RetryAfter, leastReturn)))
}

// spread spreads numbers over [0, 1).
func spread(a, b, c uint64) float64 { return float64(mixed(a, b, c)>>11) / (1 << 53) }

// mixed is a hash of three numbers.
func mixed(a, b, c uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b*0xc2b2ae3d27d4eb4f ^ c*0x165667b19e3779f9
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
