// Package sites plans for the loss of a whole site: a zone or data centre with its endpoints and
// gateways. It is pure: observations of gateways and time come in, plans go out; there is no I/O,
// no clock, no goroutine.
//
// The fleet's leader determines the state of sites from the attempts that all gateways report
// (Detector): a site is lost when several gateways that are not cut off themselves see it gone,
// and most of the endpoints tried fail. The leader then decides where the load of the lost site
// goes (Spread), what is refused if the other sites lack the capacity (Admit), and which fraction
// of traffic a returning site gets (Detector.Fraction). Gateways follow the plan while it is
// fresh (Enforcer), and otherwise go by their own observations.
package sites

import (
	"hash/fnv"
	"io"
	"maps"
	"time"
)

// MaxSites bounds the sites of a fleet, MaxGroups the groups of demand.
const (
	MaxSites  = 16
	MaxGroups = 64
)

// State is the state of a site.
type State uint8

const (
	Healthy   State = iota
	Suspected       // some gateway sees it gone
	Lost            // only a few probes are sent to it
	Returning       // it gets a fraction of its traffic
)

func (s State) String() string {
	if s > Returning {
		return "unknown"
	}
	return [...]string{"healthy", "suspected", "lost", "returning"}[s]
}

// Settings are the same at all gateways.
type Settings struct {
	// Utilisation is the fraction of a site's capacity up to which load is planned for it.
	Utilisation float64
	// Floor is the fraction of each group that is always admitted.
	Floor float64
}

// DefaultSettings suit most fleets.
var DefaultSettings = Settings{Utilisation: 0.9, Floor: 0.05}

const (
	// A return is judged by the evidence of the last returnPeriods; where that is too little, as with
	// few requests, by what has come since it was last enough, within returnMemory. A loss is judged
	// by what has failed since an attempt was last served, but within lossMemory: each sidecar by
	// itself soon stops sending to failing endpoints, so there is evidence only for a short time.
	returnPeriods = 2
	returnMemory  = time.Minute
	lossMemory    = 8 // periods
	// minAttempts is the number of attempts at a site that makes a gateway an observer of it, and
	// goneFraction the fraction of them that must fail for it to see the site gone. The same
	// numbers of attempts at an endpoint decide whether it is dead.
	minAttempts  = 2
	goneFraction = 0.8
	// minObservers is the number of observers that must see the site gone, besides a majority of
	// all observers.
	minObservers = 2
	// deadFraction is the fraction of the endpoints tried that must be dead. minTried is how many
	// must have been tried, unless that is at least half of the site's endpoints.
	deadFraction = 0.82
	minTried     = 4
	// confirmPeriods is the number of consecutive periods in which the evidence must hold.
	confirmPeriods = 2

	minReturnWait = 2 * time.Second // from a loss until a return is accepted; doubles with each
	maxReturnWait = time.Minute     // loss soon after the previous one
	stableTime    = time.Minute     // time as Healthy after which earlier losses are forgotten

	initialFraction = 0.1 // initial fraction of the fleet for a returning site, which grows by half per period
	minFractionStep = 0.1 // minimum growth per period
	goodFraction    = 0.9 // fraction of attempts that must be served for the fraction to grow
	badFraction     = 0.7 // fraction of attempts served below which the fraction is halved
)

// evidence counts attempts by result.
type evidence struct{ served, failed float64 }

func (e evidence) total() float64 { return e.served + e.failed }
func (e evidence) gone() bool     { return e.total() >= minAttempts && e.failed >= goneFraction*e.total() }
func (e evidence) good() bool     { return e.total() >= minAttempts && e.served >= goodFraction*e.total() }

func (e *evidence) add(o evidence) { e.served, e.failed = e.served+o.served, e.failed+o.failed }

// streak is the evidence since the result of attempts last changed.
type streak struct {
	evidence
	failing bool // most of it failed
	period  int  // the latest period with evidence
}

// observe adds the evidence of a period.
func (k *streak) observe(e evidence, period int) {
	if failing := e.failed >= goneFraction*e.total(); failing != k.failing {
		k.evidence, k.failing = evidence{}, failing
	}
	k.add(e)
	k.period = period
}

// observation is what was seen of a site in a period.
type observation struct {
	gateways  map[string]evidence
	endpoints map[uint64]evidence // as seen by gateways of other sites
}

func newObservation() observation { return observation{map[string]evidence{}, map[uint64]evidence{}} }

// site is the state of one site.
type site struct {
	name   string
	recent [returnPeriods]observation
	// gateways and endpoints accumulate the observations by gateway and, as seen by gateways of
	// other sites, by endpoint.
	gateways    map[string]streak
	endpoints   map[uint64]streak
	ready       int  // number of listed endpoints that are ready
	cold        bool // some of them are cold
	state       State
	fraction    float64       // of the fleet that sends to it
	since       time.Duration // when the state was entered
	lossPeriods int           // consecutive periods with evidence of a loss
	// undecided is the evidence on a return that was not enough yet, since undecidedSince.
	undecided      evidence
	undecidedSince time.Duration
	wait           time.Duration
	lostAt         time.Duration // of the latest loss
	healthyAt      time.Duration // when it last became healthy
}

// Detector determines the state of sites. Only the leader has one.
type Detector struct {
	home   map[string]string // sites of gateways
	sites  map[string]*site
	period int
}

// NewDetector returns a detector that takes all sites to be healthy, except for the states in
// previous.
func NewDetector(now time.Duration, home map[string]string, previous map[string]State) *Detector {
	d := &Detector{home: home, sites: map[string]*site{}}
	for name, state := range previous {
		s := d.site(name)
		if s == nil {
			break
		}
		s.since = now
		if s.state = state; state == Lost || state == Returning { // restarts as lost, with evidence from now on
			s.state, s.fraction, s.lostAt, s.wait = Lost, 0, now, minReturnWait
		}
	}
	return d
}

// site returns the site of a name; nil: there are too many.
func (d *Detector) site(name string) *site {
	s := d.sites[name]
	if s == nil && len(d.sites) < MaxSites {
		s = &site{name: name, fraction: 1, wait: minReturnWait, gateways: map[string]streak{}, endpoints: map[uint64]streak{}}
		for i := range s.recent {
			s.recent[i] = newObservation()
		}
		d.sites[name] = s
	}
	return s
}

// maxTracked bounds the gateways and the endpoints tracked per site and period.
const maxTracked = 1024

// Observe adds a gateway's observations of an endpoint: attempts that were served, and those
// without an answer or a connection.
func (d *Detector) Observe(gateway, siteName string, endpoint uint64, served, failed float64) {
	s := d.site(siteName)
	if _, known := d.home[gateway]; !known || s == nil || served+failed <= 0 {
		return
	}
	latest, e := &s.recent[0], evidence{served, failed}
	if g, seen := latest.gateways[gateway]; seen || len(latest.gateways) < maxTracked {
		g.add(e)
		latest.gateways[gateway] = g
	}
	if d.home[gateway] == siteName { // the site may be alive internally, and cut off
		return
	}
	if x, seen := latest.endpoints[endpoint]; seen || len(latest.endpoints) < maxTracked {
		x.add(e)
		latest.endpoints[endpoint] = x
	}
}

// accumulate merges the latest observation by gateway and endpoint, and drops what is too old.
func (s *site) accumulate(period int) {
	for g, e := range s.recent[0].gateways {
		k := s.gateways[g]
		k.observe(e, period)
		s.gateways[g] = k
	}
	for id, e := range s.recent[0].endpoints {
		k := s.endpoints[id]
		k.observe(e, period)
		s.endpoints[id] = k
	}
	maps.DeleteFunc(s.gateways, func(_ string, k streak) bool { return period-k.period >= lossMemory })
	maps.DeleteFunc(s.endpoints, func(_ uint64, k streak) bool { return period-k.period >= lossMemory })
}

// assessment summarises the evidence on a site.
type assessment struct {
	observers, gone int      // at other sites, and served by some other site
	tried, dead     int      // endpoints
	all, latest     evidence // of gateways of other sites: in the last returnPeriods, in the latest one
}

// lost reports whether the evidence shows a site to be lost: several observers see it gone, and
// most of its endpoints are dead. One bad endpoint, a release that replaces some endpoints, a
// gateway with a bad link or an empty list is not a loss.
func (a assessment) lost(ready int) bool {
	return a.gone >= minObservers && 2*a.gone > a.observers && ready > 1 &&
		float64(a.dead) >= deadFraction*float64(a.tried) && (a.tried >= minTried || 2*a.tried >= ready)
}

// assess returns the assessments of all sites. A gateway that no other site serves may be cut off
// itself, so it is no observer.
func (d *Detector) assess() map[string]assessment {
	servedBy := map[string]map[string]bool{}
	for name, s := range d.sites {
		s.accumulate(d.period)
		for g, e := range s.gateways {
			if e.served > 0 && !e.gone() {
				if servedBy[g] == nil {
					servedBy[g] = map[string]bool{}
				}
				servedBy[g][name] = true
			}
		}
	}
	all := map[string]assessment{}
	for name, s := range d.sites {
		var v assessment
		for i, o := range s.recent {
			for g, e := range o.gateways {
				if d.home[g] == name {
					continue
				}
				v.all.add(e)
				if i == 0 {
					v.latest.add(e)
				}
			}
		}
		for g, e := range s.gateways {
			otherSites := len(servedBy[g])
			if servedBy[g][name] {
				otherSites--
			}
			if d.home[g] == name || otherSites == 0 || e.total() < minAttempts {
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

// Change is a change of a site's state.
type Change struct {
	Site     string
	From, To State
}

// Step must be called each period, with the number of listed endpoints of each site that are
// ready, and the sites with cold endpoints. It returns the changes.
func (d *Detector) Step(now time.Duration, ready map[string]int, cold map[string]bool) (changes []Change) {
	for name := range ready {
		d.site(name)
	}
	d.period++
	assessments := d.assess()
	lost := 0 // lost sites: if no other site is left there is nothing to plan
	for name, s := range d.sites {
		s.ready, s.cold = ready[name], cold[name]
		if s.state == Lost || assessments[name].lost(s.ready) {
			lost++
		}
	}
	for _, name := range sortedKeys(d.sites) {
		s := d.sites[name]
		previous := s.state
		s.step(now, assessments[name], lost < len(d.sites))
		if s.state != previous {
			changes = append(changes, Change{name, previous, s.state})
		}
		if _, listed := ready[name]; !listed && s.state == Healthy {
			delete(d.sites, name) // a zone that is no longer listed
			continue
		}
		for i := returnPeriods - 1; i > 0; i-- {
			s.recent[i] = s.recent[i-1]
		}
		s.recent[0] = newObservation()
	}
	return changes
}

func (s *site) setState(now time.Duration, state State) { s.state, s.since = state, now }

// step updates the state from an assessment.
func (s *site) step(now time.Duration, v assessment, othersRemain bool) {
	if s.lossPeriods++; !v.lost(s.ready) {
		s.lossPeriods = 0
	}
	returned := s.returnEvidence(now, v)
	switch s.state {
	case Healthy, Suspected:
		switch {
		case s.lossPeriods >= confirmPeriods && othersRemain:
			s.markLost(now)
		case v.gone > 0 && s.state == Healthy:
			s.setState(now, Suspected)
		case v.gone == 0 && s.state == Suspected:
			s.setState(now, Healthy)
		}
	case Lost:
		if !othersRemain || now-s.since < s.wait {
			return
		}
		if s.ready == 0 { // no endpoint is listed; those that return are listed first
			return
		}
		if returned.good() {
			s.setState(now, Returning)
			s.fraction = initialFraction
		}
	case Returning:
		s.stepReturn(now, v, returned)
	}
}

// returnEvidence returns the evidence by which the return of the site is judged; none if there is
// not enough.
func (s *site) returnEvidence(now time.Duration, v assessment) (enough evidence) {
	if s.undecided.total() == 0 || now-s.undecidedSince > returnMemory {
		s.undecided, s.undecidedSince = evidence{}, now
	}
	s.undecided.add(v.latest)
	switch {
	case v.all.total() >= minAttempts:
		enough = v.all
	case s.undecided.total() >= minAttempts:
		enough = s.undecided
	default:
		return evidence{}
	}
	s.undecided = evidence{}
	return enough
}

// markLost marks the site as lost. If it is lost again soon after, the wait doubles.
func (s *site) markLost(now time.Duration) {
	switch {
	case s.lostAt == 0 || s.state != Returning && now-s.healthyAt > stableTime:
		s.wait = minReturnWait
	default:
		s.wait = min(2*s.wait, maxReturnWait)
	}
	s.setState(now, Lost)
	s.fraction, s.lostAt, s.lossPeriods, s.undecided = 0, now, 0, evidence{}
}

// stepReturn adjusts the fraction of a returning site: more if attempts succeed, less if they
// fail, and lost again if the site is gone. The fraction applies to the whole fleet. The site is
// healthy again only when its endpoints are warm, since until then it has less than its full
// capacity.
func (s *site) stepReturn(now time.Duration, v assessment, returned evidence) {
	attempts := v.all.total()
	switch {
	case s.lossPeriods > 0 || attempts > 0 && v.all.served < (1-goneFraction)*attempts:
		s.markLost(now)
	case returned.total() == 0: // not enough evidence
	case returned.good():
		if s.fraction = min(1, max(1.5*s.fraction, s.fraction+minFractionStep)); s.fraction == 1 && !s.cold {
			s.setState(now, Healthy)
			s.healthyAt = now
		}
	case returned.served < badFraction*returned.total():
		s.fraction = max(initialFraction, s.fraction/2)
	}
}

// State returns the state of a site, and Fraction the fraction of the fleet that sends to it.
func (d *Detector) State(name string) State {
	if s := d.sites[name]; s != nil {
		return s.state
	}
	return Healthy
}

func (d *Detector) Fraction(name string) float64 {
	if s := d.sites[name]; s != nil {
		return s.fraction
	}
	return 1
}

// Hash returns the hash that identifies a site in a plan.
func Hash(name string) uint32 {
	h := fnv.New32a()
	io.WriteString(h, name)
	return h.Sum32()
}
