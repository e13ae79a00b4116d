package policy

import (
	"math"
	"slices"
	"time"
)

// EndpointID identifies an endpoint. It does not encode kind, zone or age.
type EndpointID uint32

// Readiness is the state of an endpoint as reported by discovery.
type Readiness uint8

const (
	Ready Readiness = iota
	Draining
	Removed
)

// Endpoint is one entry of a list from discovery.
type Endpoint struct {
	ID               EndpointID
	Kind, Zone, Cell int
	Readiness        Readiness
	Started          time.Duration // clock time of the latest start; 0: long ago
	NominalSize      float64       // relative to other endpoints; 0: unknown
}

const (
	splitPeriod         = time.Second           // mean time between solutions of Eq. (4): short against a cold ramp
	healthAfterFailure  = 0.1                   // factor on health: a client with little traffic can't wait for a second failure
	healthAfterDecline  = 0.2                   // factor on health after a declined request: a full queue drains sooner than health recovers
	classFaultThreshold = 0.5                   // class health up to which a failure of the class says nothing about the other classes
	successRecovery     = 0.3                   // fraction of the lost health that an answer restores
	denseInterval       = 0.3                   // seconds between outcomes up to which one late answer says little
	healthRecovery      = 20 * time.Second      // time constant with which an ejected endpoint recovers
	maxKind             = 63                    // bounds the number of kinds, against an invalid list
	reportLifetime      = 50 * time.Millisecond // a load report describes its server for about one service time
	zoneSlack           = 1.5                   // a near endpoint may be this many times as busy as the far one drawn with it
	keptConnectionBias  = 9.0                   // additional weight in a tie of an endpoint with a kept connection
	cheapZoneCrossing   = 0.015                 // price of a crossing up to which the less busy endpoint is worth more than a near one
)

// server is what this client knows of one endpoint.
type server struct {
	Endpoint
	inFlight                                     int
	listed, probing                              bool          // probing: a probe is in flight
	health                                                     // over all classes
	classHealth                                  []health      // by class: a failure may concern one class only
	weight, chance, rank                         float64       // by readiness, cold ramp, health and size; of one draw: weight * p_i*/k_i; scratch space of drawPairByKey
	reportedLoad                                 float64       // number of requests in it, as reported
	bucket                                       tokenBucket   // used while it is cold
	reportedAt, connectionUntil, lastServedStart time.Duration // connectionUntil: a connection to it may be idle until then; lastServedStart: the latest start of an attempt that it served
}

// health is what the outcomes of an endpoint so far have cost it.
type health struct {
	deficit   float64 // right after the latest outcome; recovers with time
	updatedAt time.Duration
}

// fleet is the set of endpoints with their weights, the split over kinds and the draw table.
type fleet struct {
	byID                   map[EndpointID]*server
	servers                []*server // by ID, so that equal events give equal draws
	kinds                  []kindSpeed
	kindShares             []float64 // p_i*, the solution of Eq. (4)
	drawTable, ranked      []*server // servers with a chance above 0, in order; scratch space of drawPairByKey
	stale                  bool      // membership or health has changed since the table was built
	nextSplit              time.Duration
	crossingPriced         bool // crossing zones has a price that counts
	zone                   int  // of the client
	numClasses, tableClass int  // number of classes; the class that kindShares and drawTable are for
	servedRatio            mean // fraction of the attempts that were served
	slowStart              slowStart
	cellSlowness           [maxKind + 1]mean // log of answer times over those of their kinds
}

func newFleet(settings *Settings) fleet {
	return fleet{byID: map[EndpointID]*server{}, stale: true, servedRatio: mean{1, 1}, zone: settings.Zone, numClasses: len(settings.Classes), crossingPriced: settings.Prices.CrossZone > cheapZoneCrossing}
}

// update applies a list from discovery. Removed endpoints are dropped once no attempt is in flight.
func (f *fleet) update(now time.Duration, list []Endpoint, full bool, random func() float64) {
	for _, s := range f.servers {
		s.listed = s.listed && !full
	}
	for _, e := range list {
		e.Kind = min(max(e.Kind, 0), maxKind)
		if !positiveFinite(e.NominalSize) {
			e.NominalSize = 1
		}
		s := f.byID[e.ID]
		if s == nil {
			s = &server{reportedAt: -reportLifetime - 1, bucket: f.slowStart.newBucket(now, random)}
			f.byID[e.ID], f.servers = s, append(f.servers, s)
		} else if e.Started != s.Started {
			s.health, s.classHealth = health{}, nil // a new process doesn't inherit the failures of the old one
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
	f.updateKinds()
	f.stale = true
}

// updateKinds extends the kinds to those listed, with mean nominal sizes as priors.
func (f *fleet) updateKinds() {
	sizes := make([]mean, maxKind+1)
	for _, s := range f.servers {
		for len(f.kinds) <= s.Kind {
			f.kinds = append(f.kinds, kindSpeed{prior: 1, classFit: make([]mean, f.numClasses)})
		}
		sizes[s.Kind].add(s.NominalSize, math.Inf(1))
		f.kinds[s.Kind].prior = sizes[s.Kind].value
	}
}

// recordOutcome updates the endpoint's health with the outcome of an attempt, after which retained of it is left;
// 1: it was served. A failure of a class that is already known to fail there counts for that class only, since
// endpoints may be silent to one class and serve the others.
func (f *fleet) recordOutcome(s *server, class int, now time.Duration, retained float64) {
	s.classHealth = growTo(s.classHealth, class+1)
	knownFault := s.classHealth[class].healthLevel(now) <= classFaultThreshold
	f.stale = f.stale || retained < 1 || s.healthFor(now, class) < 1
	s.classHealth[class].record(now, retained)
	if retained == 1 || !knownFault {
		s.record(now, retained)
	}
}

func (h *health) record(now time.Duration, retained float64) {
	deficit := 1 - h.healthLevel(now)*retained
	*h = health{deficit * (1 - successRecovery*indicator(retained == 1)), now}
}

// healthAfterLate is the factor on health for a late attempt. It is mild soon after another outcome: near capacity
// some answers are late everywhere, and with a loss of nine tenths for each, ejected endpoints overloaded the others
// in turn. The cost: bursts to an endpoint that has become silent.
func (s *server) healthAfterLate(now time.Duration, class int) float64 {
	lastUpdate := growTo(s.classHealth, class+1)[class].updatedAt
	return math.Max(healthAfterFailure, (1-successRecovery)*math.Exp((lastUpdate-now).Seconds()/denseInterval)*indicator(lastUpdate > 0))
}

// healthLevel is the current health: what the latest outcome left, recovering.
func (h *health) healthLevel(now time.Duration) float64 {
	if h.deficit <= 0.01 {
		return 1
	}
	return 1 - h.deficit*math.Exp(-(now-h.updatedAt).Seconds()/healthRecovery.Seconds())
}

// healthFor is the health for requests of a class.
func (s *server) healthFor(now time.Duration, class int) float64 {
	if class >= len(s.classHealth) {
		return s.healthLevel(now)
	}
	return math.Min(s.healthLevel(now), s.classHealth[class].healthLevel(now))
}

// servedRecently reports whether a request of the class was served recently.
func (s *server) servedRecently(now time.Duration, class int) bool {
	return class < len(s.classHealth) && now-s.classHealth[class].updatedAt < healthRecovery && s.healthFor(now, class) > classFaultThreshold
}

// warmth is the fraction of its capacity that an endpoint is certain to have by now.
func (s *server) warmth(now time.Duration, settings *Settings) float64 {
	age := now - s.Started
	if s.Started <= 0 || age >= settings.WarmupTime {
		return 1
	}
	return settings.StartCapacity + (1-settings.StartCapacity)*math.Max(0, age.Seconds()/settings.WarmupTime.Seconds())
}

// refresh rebuilds weights, split and draw table for a class where due, and reports whether it did.
func (f *fleet) refresh(now time.Duration, settings *Settings, class int, rate float64, random func() float64) bool {
	if now < f.nextSplit && !f.stale && class == f.tableClass {
		return false
	}
	k := f.computeWeights(now, settings, class)
	mu := make([]float64, len(f.kinds))
	for i := range mu {
		mu[i] = f.kinds[i].forClass(class)
	}
	f.nextSplit = now + time.Duration(float64(splitPeriod)*(0.5+random()))
	f.tableClass, f.stale, f.kindShares = class, false, splitKinds(k, mu, rate)
	f.buildDrawTable(k)
	return true
}

// computeWeights sets every endpoint's weight, by its size relative to its kind's, and returns k_i, their sum by kind.
func (f *fleet) computeWeights(now time.Duration, settings *Settings, class int) []float64 {
	f.updateKinds()
	k := make([]float64, len(f.kinds))
	for _, s := range f.servers {
		s.weight = 0
		if s.acceptsRequests() {
			cell := math.Min(math.Exp(-f.cellSlowness[s.Cell&maxKind].shrunk()), 1) // a resource that the cell shares may run short for all of it
			s.weight = s.healthFor(now, class) * s.warmth(now, settings) * cell * s.NominalSize / f.kinds[s.Kind].prior
			k[s.Kind] += s.weight
		}
	}
	return k
}

// acceptsRequests reports whether new requests may go to the server.
func (s *server) acceptsRequests() bool { return s.listed && s.Readiness == Ready }

// buildDrawTable sets the chances w * p_i*/k_i for drawing.
func (f *fleet) buildDrawTable(k []float64) {
	f.drawTable = f.drawTable[:0]
	for _, s := range f.servers {
		s.chance = s.weight * f.kindShares[s.Kind] / math.Max(k[s.Kind], math.SmallestNonzeroFloat64)
		if s.chance > 0 {
			f.drawTable = append(f.drawTable, s)
		}
	}
}

// drawPair draws two of the eligible servers; b, or both, are nil if there are not enough.
// preferNear draws the first from the client's own zone where possible.
func (f *fleet) drawPair(random func() float64, preferNear bool, eligible func(*server) bool) (a, b *server) {
	if preferNear && f.crossingPriced {
		a = f.drawOne(random, func(s *server) bool { return s.Zone == f.zone && eligible(s) })
	}
	if a == nil {
		a = f.drawOne(random, eligible)
	}
	return a, f.drawOne(random, func(s *server) bool { return s != a && eligible(s) })
}

// preferred returns the server with fewer requests in flight, ties by chance. If both have fresh reports, these count instead, over speed.
func (f *fleet) preferred(a, b *server, now time.Duration, random func() float64) *server {
	loadA, loadB := float64(a.inFlight), float64(b.inFlight)
	if a.hasFreshReport(now) && b.hasFreshReport(now) {
		loadA, loadB = (a.reportedLoad+1)/f.kinds[a.Kind].value(), (b.reportedLoad+1)/f.kinds[b.Kind].value()
	}
	// A queue that delays a probe as well must not be taken for an empty one.
	switch {
	case b.probing && !a.probing, a.hasFreshReport(now) && !a.reportsLoad(now) && !b.hasFreshReport(now):
		return a // the other's probe is still in flight, or this one was idle
	case a.probing && !b.probing:
		return b
	}
	if f.crossingPriced && a.Zone != f.zone && b.Zone == f.zone {
		a, b, loadA, loadB = b, a, loadB, loadA
	}
	if f.crossingPriced && a.Zone == f.zone && b.Zone != f.zone { // the near server wins ties and small leads
		loadB = loadB*zoneSlack + math.SmallestNonzeroFloat32
	}
	// Without this bias 80 clients with little traffic opened a connection for one request in three.
	weightA, weightB := a.chance*(1+keptConnectionBias*indicator(a.connectionUntil > now)), b.chance*(1+keptConnectionBias*indicator(b.connectionUntil > now))
	if loadA < loadB || loadA == loadB && random()*(weightA+weightB) < weightA {
		return a
	}
	return b
}

func (s *server) hasFreshReport(now time.Duration) bool { return now-s.reportedAt <= reportLifetime }

// drawOne draws one of the eligible servers.
func (f *fleet) drawOne(random func() float64, eligible func(*server) bool) *server {
	var pick *server
	sum := 0.0
	for _, s := range f.drawTable {
		if eligible(s) {
			sum += s.chance
			if random()*sum < s.chance {
				pick = s
			}
		}
	}
	return pick
}
