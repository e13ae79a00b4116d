// Package sites plans for the loss of a whole site: a zone or data centre with its endpoints
// and gateways. It is pure: what gateways saw and time come in, plans go out; there is no
// I/O, no clock, no goroutine.
//
// The holder of the fleet's duty judges sites by what all gateways tell of their attempts
// (Detector): a site is lost when several gateways that are not cut off themselves see it gone,
// and most of its endpoints are among what they tried. It then says where the load of the
// lost site goes (Spread), what is refused if the others can't carry all (Admit), and by
// which part the site is met as it comes back (Detector.Fraction). Members do what the plan says
// while it is fresh (Enforcer), and go by their own sight else.
package sites

import (
	"hash/fnv"
	"io"
	"maps"
	"time"
)

// MaxSites bounds a fleet's sites, MaxGroups the kinds of demand that are told apart.
const (
	MaxSites  = 16
	MaxGroups = 64
)

// State is where a site stands.
type State uint8

const (
	Healthy   State = iota
	Suspected       // somebody sees it gone
	Lost            // nobody sends to it but a few that look
	Returning       // it is met by a part of the fleet
)

func (s State) String() string {
	if s > Returning {
		return "unknown"
	}
	return [...]string{"whole", "doubted", "lost", "returning"}[s]
}

// Settings are those of all gateways.
type Settings struct {
	// Utilisation is the part of a site's capacity up to which load is planned for it.
	Utilisation float64
	// Floor is the part of each class and standing that is let in, whatever is refused.
	Floor float64
}

// DefaultSettings are settings that fit most.
var DefaultSettings = Settings{Utilisation: 0.9, Floor: 0.05}

const (
	// What a return is judged by is the evidence of the last periods. A loss is judged by
	// what has failed since anything last was served, and no longer ago than memory: each
	// sidecar by itself soon stops meeting what fails, so evidence of it is short.
	periods = 2
	memory  = 8 // periods
	// leastTries is how many attempts at a site make a gateway an observer of it, goneAt
	// the part of them that has to fail for it to see the site gone. As many have to fail at
	// an endpoint for it to be dead.
	leastTries = 2
	goneAt     = 0.8
	// leastObservers have to see it gone, and more than half of all that look.
	leastObservers = 2
	// deadAt is the part of the endpoints tried that nobody was served by, enoughTried how
	// many were tried, or half of the site's.
	deadAt      = 0.82
	enoughTried = 4
	// holds is how many periods in a row the evidence has to stand.
	holds = 2

	firstWait   = 2 * time.Second // from a loss until a return is believed; doubles with each
	longestWait = time.Minute     // loss soon after the one before
	steady      = time.Minute     // whole for so long, it is as if there had been no loss

	firstPart = 0.1 // of the fleet that meets a site as it returns; a period later half as much again
	partStep  = 0.1 // and so much at least
	goodAt    = 0.9 // part of the attempts that have to be served for that
	badAt     = 0.7 // below which the part is halved
)

// evidence is what attempts came to.
type evidence struct{ served, missed float64 }

func (e evidence) tries() float64 { return e.served + e.missed }
func (e evidence) gone() bool     { return e.tries() >= leastTries && e.missed >= goneAt*e.tries() }

func (e *evidence) add(o evidence) { e.served, e.missed = e.served+o.served, e.missed+o.missed }

// streak is evidence since what was seen last turned.
type streak struct {
	evidence
	fails bool // most of it was missed
	at    int  // the latest period that it is of
}

// take takes the evidence of a period.
func (k *streak) take(e evidence, period int) {
	if fails := e.missed >= goneAt*e.tries(); fails != k.fails {
		k.evidence, k.fails = evidence{}, fails
	}
	k.add(e)
	k.at = period
}

// look is what was seen of a site in a period.
type look struct {
	gateways  map[string]evidence
	endpoints map[uint64]evidence // as gateways of other sites saw them
}

func newLook() look { return look{map[string]evidence{}, map[uint64]evidence{}} }

// site is one.
type site struct {
	name  string
	looks [periods]look
	// gateways and endpoints are what looks came to, by gateway and, as gateways of other
	// sites saw them, by endpoint.
	gateways  map[string]streak
	endpoints map[uint64]streak
	ready     int  // endpoints that the list has
	cold      bool // some of them are
	state     State
	part      float64       // of the fleet that meets it
	since     time.Duration // of the state
	stood     int           // periods that evidence of a loss has stood
	wait      time.Duration
	lost      time.Duration // when it was last given up
	whole     time.Duration // when it was last whole again
}

// Detector says where sites stand. It is the holder's.
type Detector struct {
	home   map[string]string // sites of gateways
	sites  map[string]*site
	period int
}

// NewDetector makes one that takes all sites to be whole, but for those told otherwise.
func NewDetector(now time.Duration, home map[string]string, before map[string]State) *Detector {
	j := &Detector{home: home, sites: map[string]*site{}}
	for name, state := range before {
		s := j.site(name)
		if s == nil {
			break
		}
		s.since = now
		if s.state = state; state == Lost || state == Returning { // it begins anew with what is met of it
			s.state, s.part, s.lost, s.wait = Lost, 0, now, firstWait
		}
	}
	return j
}

// site is one of a name; nil: there are too many.
func (j *Detector) site(name string) *site {
	s := j.sites[name]
	if s == nil && len(j.sites) < MaxSites {
		s = &site{name: name, part: 1, wait: firstWait, gateways: map[string]streak{}, endpoints: map[uint64]streak{}}
		for i := range s.looks {
			s.looks[i] = newLook()
		}
		j.sites[name] = s
	}
	return s
}

// maxSeen bounds what is remembered of a site in a period.
const maxSeen = 1024

// Observe takes what a gateway saw of an endpoint: attempts that were served, and those that
// had no answer or no connection.
func (j *Detector) Observe(gateway, siteName string, endpoint uint64, served, missed float64) {
	s := j.site(siteName)
	if _, known := j.home[gateway]; !known || s == nil || served+missed <= 0 {
		return
	}
	l, e := &s.looks[0], evidence{served, missed}
	if g, seen := l.gateways[gateway]; seen || len(l.gateways) < maxSeen {
		g.add(e)
		l.gateways[gateway] = g
	}
	if j.home[gateway] == siteName { // it may be alive within, and cut off
		return
	}
	if x, seen := l.endpoints[endpoint]; seen || len(l.endpoints) < maxSeen {
		x.add(e)
		l.endpoints[endpoint] = x
	}
}

// remember takes the latest look into what is known by gateway and endpoint, and forgets
// what is too old.
func (s *site) remember(period int) {
	for g, e := range s.looks[0].gateways {
		k := s.gateways[g]
		k.take(e, period)
		s.gateways[g] = k
	}
	for id, e := range s.looks[0].endpoints {
		k := s.endpoints[id]
		k.take(e, period)
		s.endpoints[id] = k
	}
	maps.DeleteFunc(s.gateways, func(_ string, k streak) bool { return period-k.at >= memory })
	maps.DeleteFunc(s.endpoints, func(_ uint64, k streak) bool { return period-k.at >= memory })
}

// verdict is what the evidence on a site says.
type verdict struct {
	observers, gone int // from outside of it, that are served somewhere else
	tried, dead     int // endpoints
	all             evidence
}

// lost reports whether a site is gone, as far as this tells: to several observers, and most
// of it. One bad endpoint, a release that replaces some, a gateway with a bad link or an
// empty list is no loss.
func (v verdict) lost(ready int) bool {
	return v.gone >= leastObservers && 2*v.gone > v.observers && ready > 1 &&
		float64(v.dead) >= deadAt*float64(v.tried) && (v.tried >= enoughTried || 2*v.tried >= ready)
}

// verdicts are those on all sites. A gateway that is served nowhere else is cut off itself,
// for all that it knows, and no observer.
func (j *Detector) verdicts() map[string]verdict {
	served := map[string]map[string]bool{}
	for name, s := range j.sites {
		s.remember(j.period)
		for g, e := range s.gateways {
			if e.served > 0 && !e.gone() {
				if served[g] == nil {
					served[g] = map[string]bool{}
				}
				served[g][name] = true
			}
		}
	}
	all := map[string]verdict{}
	for name, s := range j.sites {
		var v verdict
		for _, l := range s.looks {
			for g, e := range l.gateways {
				if j.home[g] != name {
					v.all.add(e)
				}
			}
		}
		for g, e := range s.gateways {
			elsewhere := len(served[g])
			if served[g][name] {
				elsewhere--
			}
			if j.home[g] == name || elsewhere == 0 || e.tries() < leastTries {
				continue
			}
			v.observers++
			if e.gone() {
				v.gone++
			}
		}
		for _, e := range s.endpoints {
			v.tried++
			if e.gone() {
				v.dead++
			}
		}
		all[name] = v
	}
	return all
}

// Change is one of a site's state.
type Change struct {
	Site     string
	From, To State
}

// Step is to be called each period, with how many endpoints of each site the list has that
// are ready, and which sites have cold ones. It returns what changed.
func (j *Detector) Step(now time.Duration, ready map[string]int, cold map[string]bool) (changes []Change) {
	for name := range ready {
		j.site(name)
	}
	j.period++
	verdicts := j.verdicts()
	gone := 0 // at once: if no site is left there is nothing to plan
	for name, s := range j.sites {
		s.ready, s.cold = ready[name], cold[name]
		if s.state == Lost || verdicts[name].lost(s.ready) {
			gone++
		}
	}
	for _, name := range sorted(j.sites) {
		s := j.sites[name]
		before := s.state
		s.step(now, verdicts[name], gone < len(j.sites))
		if s.state != before {
			changes = append(changes, Change{name, before, s.state})
		}
		if _, listed := ready[name]; !listed && s.state == Healthy {
			delete(j.sites, name) // a zone that the list no longer has
			continue
		}
		for i := periods - 1; i > 0; i-- {
			s.looks[i] = s.looks[i-1]
		}
		s.looks[0] = newLook()
	}
	return changes
}

func (s *site) become(now time.Duration, state State) { s.state, s.since = state, now }

// step takes a verdict.
func (s *site) step(now time.Duration, v verdict, others bool) {
	if s.stood++; !v.lost(s.ready) {
		s.stood = 0
	}
	switch s.state {
	case Healthy, Suspected:
		switch {
		case s.stood >= holds && others:
			s.giveUp(now)
		case v.gone > 0 && s.state == Healthy:
			s.become(now, Suspected)
		case v.gone == 0 && s.state == Suspected:
			s.become(now, Healthy)
		}
	case Lost:
		if !others || now-s.since < s.wait {
			return
		}
		if s.ready == 0 { // it is out of the list, and who comes back is in it
			return
		}
		if v.all.tries() >= leastTries && v.all.served >= goodAt*v.all.tries() {
			s.become(now, Returning)
			s.part = firstPart
		}
	case Returning:
		s.pace(now, v)
	}
}

// giveUp has the site lost. One that is lost again soon after waits twice as long.
func (s *site) giveUp(now time.Duration) {
	switch {
	case s.lost == 0 || s.state != Returning && now-s.whole > steady:
		s.wait = firstWait
	default:
		s.wait = min(2*s.wait, longestWait)
	}
	s.become(now, Lost)
	s.part, s.lost, s.stood = 0, now, 0
}

// pace has more of the fleet meet a site that returns, less where it fails, and gives it up
// again where it is gone. The part is one for the whole fleet. It is whole again once its
// endpoints are warm: until then less is let in than all.
func (s *site) pace(now time.Duration, v verdict) {
	tries := v.all.tries()
	switch {
	case s.stood > 0 || tries > 0 && v.all.served < (1-goneAt)*tries:
		s.giveUp(now)
	case tries < leastTries: // nobody knows
	case v.all.served >= goodAt*tries:
		if s.part = min(1, max(1.5*s.part, s.part+partStep)); s.part == 1 && !s.cold {
			s.become(now, Healthy)
			s.whole = now
		}
	case v.all.served < badAt*tries:
		s.part = max(firstPart, s.part/2)
	}
}

// State is where a site stands, and Fraction the part of the fleet that meets it.
func (j *Detector) State(name string) State {
	if s := j.sites[name]; s != nil {
		return s.state
	}
	return Healthy
}

func (j *Detector) Fraction(name string) float64 {
	if s := j.sites[name]; s != nil {
		return s.part
	}
	return 1
}

// Hash names a site in a plan.
func Hash(name string) uint32 {
	h := fnv.New32a()
	io.WriteString(h, name)
	return h.Sum32()
}
