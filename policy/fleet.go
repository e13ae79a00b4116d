package policy

import (
	"math"
	"slices"
	"time"
)

// EndpointID names an endpoint. It tells nothing of kind, zone or age.
type EndpointID uint32

// Readiness is what discovery says of an endpoint.
type Readiness uint8

const (
	Ready Readiness = iota
	Draining
	Removed
)

// Endpoint is one entry of a listing.
type Endpoint struct {
	ID               EndpointID
	Kind, Zone, Cell int
	Readiness        Readiness
	Started          time.Duration // clock time of the latest start; 0: long ago
	NominalSize      float64       // size against other endpoints; 0: not told
}

const (
	solvePeriod    = time.Second           // mean time between solutions of Eq. (4): short against a cold ramp
	failureKeeps   = 0.1                   // of health after one failure: a sparse client can't wait for a second
	declineKeeps   = 0.2                   // after a request turned away: a full queue passes sooner than health returns
	known          = 0.5                   // class health up to which a failure of the class tells nothing of the others
	successHeals   = 0.3                   // part of the lost health an answer gives back
	dense          = 0.3                   // seconds between outcomes up to which one late answer tells little
	healthRecovery = 20 * time.Second      // time constant with which an ejected endpoint comes back
	maxKind        = 63                    // bounds the kinds told apart, against a listing gone wrong
	reportFresh    = 50 * time.Millisecond // a load report speaks for its server about a service time
	zoneSlack      = 1.5                   // times as busy a near endpoint may be as the far one drawn with it
	keptFavour     = 9.0                   // of a tie, for whom a connection is kept
	cheapCrossing  = 0.015                 // price of a crossing up to which the less busy endpoint is worth more than a near one
)

// server is what this client knows of one endpoint.
type server struct {
	Endpoint
	inFlight              int
	listed, probing       bool          // probing: a probe is out
	standing                            // of all classes
	classes               []standing    // of each: what fails may be one class's alone
	weight, chance, rank  float64       // w in [0,1] by readiness, cold ramp and health; of one draw: w * p_i*/k_i; scratch of chooseByKey
	load                  float64       // requests held, as reported
	bucket                tokenBucket   // while it is cold
	loadAt, kept, through time.Duration // kept: until then a connection to it may rest; through: the latest start of what it answered
}

// standing is what the outcomes so far tell against an endpoint.
type standing struct {
	lost   float64 // of health, right after the latest outcome; recovers with time
	judged time.Duration
}

// fleet is the membership with its weights, kind split and draw table.
type fleet struct {
	byID           map[EndpointID]*server
	servers        []*server // by ID, so that equal events give equal draws
	kinds          []kindSpeed
	share          []float64 // p_i*, the solution of Eq. (4)
	table, ranked  []*server // servers with a chance, in order; scratch of chooseByKey
	stale          bool      // membership or health changed since the table was built
	solveAt        time.Duration
	crossing       bool // crossing zones has a price
	zone           int  // of the client
	classes, class int  // how many; that of share and table
	served         mean // part of the attempts that were served
	slowStart      slowStart
	cells          [maxKind + 1]mean // log of answer times over those of their kinds
}

func newFleet(set *Settings) fleet {
	return fleet{byID: map[EndpointID]*server{}, stale: true, served: mean{1, 1}, zone: set.Zone, classes: len(set.Classes), crossing: set.Prices.CrossZone > cheapCrossing}
}

// update applies a listing; the gone are forgotten once nothing is in flight.
func (f *fleet) update(now time.Duration, list []Endpoint, whole bool, random func() float64) {
	for _, s := range f.servers {
		s.listed = s.listed && !whole
	}
	for _, e := range list {
		e.Kind = min(max(e.Kind, 0), maxKind)
		if !usable(e.NominalSize) {
			e.NominalSize = 1
		}
		s := f.byID[e.ID]
		if s == nil {
			s = &server{loadAt: -reportFresh - 1, bucket: f.slowStart.newBucket(now, random)}
			f.byID[e.ID], f.servers = s, append(f.servers, s)
		} else if e.Started != s.Started {
			s.standing, s.classes = standing{}, nil // a new process owes nothing for the old one's faults
			s.bucket = f.slowStart.newBucket(now, random)
		}
		s.Endpoint, s.listed = e, e.Readiness != Removed
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool {
		if s.listed || s.inFlight > 0 {
			return false
		}
		delete(f.byID, s.ID)
		s.chance = 0 // a request may still hold it in its drawn pair
		return true
	})
	slices.SortFunc(f.servers, func(a, b *server) int { return int(int64(a.ID) - int64(b.ID)) })
	f.growKinds()
	f.stale = true
}

// growKinds makes room for the kinds listed, with mean nominal sizes as priors.
func (f *fleet) growKinds() {
	sizes := make([]mean, maxKind+1)
	for _, s := range f.servers {
		for len(f.kinds) <= s.Kind {
			f.kinds = append(f.kinds, kindSpeed{prior: 1, fit: make([]mean, f.classes)})
		}
		sizes[s.Kind].add(s.NominalSize, math.Inf(1))
		f.kinds[s.Kind].prior = sizes[s.Kind].value
	}
}

// observe takes the outcome of an attempt into the endpoint's health, of which keeps is left; 1: it
// was served. Failure answered: half of the endpoints may be silent to one class and serve the others.
func (f *fleet) observe(s *server, class int, now time.Duration, keeps float64) {
	s.classes = grown(s.classes, class+1)
	told := s.classes[class].at(now) <= known
	f.stale = f.stale || keeps < 1 || s.healthAt(now, class) < 1
	s.classes[class].observe(now, keeps)
	if keeps == 1 || !told {
		s.observe(now, keeps)
	}
}

func (t *standing) observe(now time.Duration, keeps float64) {
	lost := 1 - t.at(now)*keeps
	*t = standing{lost * (1 - successHeals*indicator(keeps == 1)), now}
}

// lateKeeps is what a late attempt leaves of health. Failure answered: near capacity some are late
// everywhere; nine tenths each pushed the others over in turn. Harm: bursts at one that fell silent.
func (s *server) lateKeeps(now time.Duration, class int) float64 {
	last := grown(s.classes, class+1)[class].judged
	return math.Max(failureKeeps, (1-successHeals)*math.Exp((last-now).Seconds()/dense)*indicator(last > 0))
}

// at is the health now: what the latest outcome left, recovering.
func (t *standing) at(now time.Duration) float64 {
	if t.lost <= 0.01 {
		return 1
	}
	return 1 - t.lost*math.Exp(-(now-t.judged).Seconds()/healthRecovery.Seconds())
}

// healthAt is the health for requests of a class.
func (s *server) healthAt(now time.Duration, class int) float64 {
	if class >= len(s.classes) {
		return s.at(now)
	}
	return math.Min(s.at(now), s.classes[class].at(now))
}

// proven reports whether a request of the class was served of late.
func (s *server) proven(now time.Duration, class int) bool {
	return class < len(s.classes) && now-s.classes[class].judged < healthRecovery && s.healthAt(now, class) > known
}

// warmth is the share of its capacity an endpoint is sure to have by now.
func (s *server) warmth(now time.Duration, set *Settings) float64 {
	age := now - s.Started
	if s.Started <= 0 || age >= set.WarmupTime {
		return 1
	}
	return set.StartCapacity + (1-set.StartCapacity)*math.Max(0, age.Seconds()/set.WarmupTime.Seconds())
}

// refresh rebuilds weights, split and draw table for a class where due, and reports whether it did.
func (f *fleet) refresh(now time.Duration, set *Settings, class int, rate float64, jitter func() float64) bool {
	if now < f.solveAt && !f.stale && class == f.class {
		return false
	}
	k := f.weigh(now, set, class)
	mu := make([]float64, len(f.kinds))
	for i := range mu {
		mu[i] = f.kinds[i].at(class)
	}
	f.solveAt = now + time.Duration(float64(solvePeriod)*(0.5+jitter()))
	f.class, f.stale, f.share = class, false, splitKinds(k, mu, rate)
	f.tabulate(k)
	return true
}

// weigh sets every endpoint's weight, by its size beside its kind's, and returns k_i, their sum by kind.
func (f *fleet) weigh(now time.Duration, set *Settings, class int) []float64 {
	f.growKinds()
	k := make([]float64, len(f.kinds))
	for _, s := range f.servers {
		s.weight = 0
		if s.usable() {
			cell := math.Min(math.Exp(-f.cells[s.Cell&maxKind].shrunk()), 1) // what it shares may run short for all of it
			s.weight = s.healthAt(now, class) * s.warmth(now, set) * cell * s.NominalSize / f.kinds[s.Kind].prior
			k[s.Kind] += s.weight
		}
	}
	return k
}

// usable reports whether new requests may go to the server.
func (s *server) usable() bool { return s.listed && s.Readiness == Ready }

// tabulate lays out the chances w * p_i*/k_i for drawing.
func (f *fleet) tabulate(k []float64) {
	f.table = f.table[:0]
	for _, s := range f.servers {
		s.chance = s.weight * f.share[s.Kind] / math.Max(k[s.Kind], math.SmallestNonzeroFloat64)
		if s.chance > 0 {
			f.table = append(f.table, s)
		}
	}
}

// choose is the two-choice draw among the servers that ok admits; b, or both,
// are nil where there are not so many. near confines the first to the own zone.
func (f *fleet) choose(random func() float64, near bool, ok func(*server) bool) (a, b *server) {
	if near && f.crossing {
		a = f.scan(random, func(s *server) bool { return s.Zone == f.zone && ok(s) })
	}
	if a == nil {
		a = f.scan(random, ok)
	}
	return a, f.scan(random, func(s *server) bool { return s != a && ok(s) })
}

// better takes the server with fewer in flight, ties by group probability. Fresh reports of both count instead, per speed.
func (f *fleet) better(a, b *server, now time.Duration, random func() float64) *server {
	la, lb := float64(a.inFlight), float64(b.inFlight)
	if a.reported(now) && b.reported(now) {
		la, lb = (a.load+1)/f.kinds[a.Kind].value(), (b.load+1)/f.kinds[b.Kind].value()
	}
	// Failure answered: queues that held the probes too were joined unseen.
	switch {
	case b.probing && !a.probing, a.reported(now) && !a.busy(now) && !b.reported(now):
		return a // the other's probe is still out, or this one was idle
	case a.probing && !b.probing:
		return b
	}
	if f.crossing && a.Zone != f.zone && b.Zone == f.zone {
		a, b, la, lb = b, a, lb, la
	}
	if f.crossing && a.Zone == f.zone && b.Zone != f.zone { // near ones win ties and small leads
		lb = lb*zoneSlack + math.SmallestNonzeroFloat32
	}
	// Failure answered: 80 clients each with little traffic opened a connection for one request in three.
	pa, pb := a.chance*(1+keptFavour*indicator(a.kept > now)), b.chance*(1+keptFavour*indicator(b.kept > now))
	if la < lb || la == lb && random()*(pa+pb) < pa {
		return a
	}
	return b
}

func (s *server) reported(now time.Duration) bool { return now-s.loadAt <= reportFresh }

// scan draws one of the fitting servers.
func (f *fleet) scan(random func() float64, ok func(*server) bool) *server {
	var pick *server
	sum := 0.0
	for _, s := range f.table {
		if ok(s) {
			sum += s.chance
			if random()*sum < s.chance {
				pick = s
			}
		}
	}
	return pick
}
