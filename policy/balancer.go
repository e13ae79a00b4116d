// Package policy makes the decisions of a load balancer that runs as one instance beside each client process.
// It is pure: time and seed are arguments, actions are returned as values, and instances share no state. By
// default it follows HALO's power-of-two variant: Eq. (4) splits the load over the kinds of servers, two servers
// are drawn according to that split, and the request goes to the one with fewer requests in flight.
package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Token identifies a timer; it is passed back when the timer fires.
type Token struct {
	Purpose uint8
	Request RequestID
}

const (
	timerSubscribe uint8 = iota
	timerProbeWait
	timerOverdue
)

// Action is an instruction to the host, one of the types below. Actions are carried out in order.
type Action any

type (
	// Send starts an attempt that is abandoned after Timeout.
	Send struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  time.Duration
	}
	// Refuse ends a request and guarantees that a retry is harmless, preferably after RetryAfter.
	Refuse struct {
		Request    RequestID
		RetryAfter time.Duration
	}
	// Fail ends a request without that guarantee.
	Fail struct{ Request RequestID }
	// Cancel cancels one attempt.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// Probe requests the load report of an endpoint.
	Probe struct{ Endpoint EndpointID }
	// SetTimer requests a call of Balancer.Timer after Delay.
	SetTimer struct {
		Token Token
		Delay time.Duration
	}
	// Subscribe requests a watch of discovery, from now on.
	Subscribe struct{}
)

// Balancer is one instance, for a single goroutine. The returned actions are valid until the next call.
type Balancer struct {
	settings       Settings
	rng            *rand.Rand
	now            time.Duration
	actions        []Action
	fleet          fleet
	requests       map[RequestID]*request
	awaitingProbes []*request  // paused until their pair is probed
	classTimes     []classTime // by class
	arrivalGap     mean        // between arrivals, in seconds
	meanCost       mean        // as stated by requests, in seconds
	lastArrival    time.Duration
	keys           keyCounts
	homeKey        uint64 // ranks the servers that this client keeps connections to
	admission      admission
	discovery      discoverySchedule
	started        bool // the first event has arrived
}

// New returns an instance. The error names the invalid setting.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Balancer{
		settings: settings, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), fleet: newFleet(&settings),
		requests: map[RequestID]*request{}, classTimes: make([]classTime, len(settings.Classes)),
		keys:      keyCounts{counts: map[uint64]float64{}},
		admission: admission{level: 1, retryTokens: maxRetryTokens, tenantShares: make([]mean, len(settings.Tenants))},
	}, nil
}

// Retune replaces the settings. Classes of open requests must keep their index; classes may be
// added. On an error nothing changes.
func (b *Balancer) Retune(settings Settings) error {
	if err := settings.validate(); err != nil {
		return err
	}
	b.settings, b.fleet.numClasses, b.fleet.stale = settings, len(settings.Classes), true
	b.classTimes, b.admission.tenantShares = growTo(b.classTimes, len(settings.Classes)), growTo(b.admission.tenantShares, len(settings.Tenants))
	for _, s := range b.fleet.servers {
		s.classHealth = nil // the index may be another class's now
	}
	for i := range b.fleet.kinds {
		b.fleet.kinds[i].classFit = growTo(b.fleet.kinds[i].classFit, len(settings.Classes))
	}
	return nil
}

func growTo[T any](s []T, n int) []T { return append(s, make([]T, max(n-len(s), 0))...) }

// VisitLearned calls visit for each record of what was learned: the load, each kind, each class of a kind,
// each class and each endpoint. visit may change the values, except the third to sixth of an endpoint.
func (b *Balancer) VisitLearned(now time.Duration, visit func(record string, index, class int, values ...*float64)) {
	a, f := &b.admission, &b.fleet
	a.decay(now)
	visit("load", 0, 0, &b.arrivalGap.value, &b.arrivalGap.weight, &a.pressure, &a.level, &a.retryTokens, &a.meanWorth.value, &a.meanWorth.weight, &f.servedRatio.value, &f.servedRatio.weight)
	for i := range f.kinds {
		k := &f.kinds[i]
		visit("kind", i, 0, &k.slowness.value, &k.slowness.weight)
		for j := range k.classFit {
			visit("fit", i, j, &k.classFit[j].value, &k.classFit[j].weight)
		}
	}
	for j := range b.classTimes {
		c := &b.classTimes[j]
		visit("class", 0, j, &c.perWork, &c.samples, &c.work.value, &c.work.weight)
	}
	for _, s := range f.servers {
		level, available := s.healthLevel(now), s.bucket.available()
		inFlight, warmth, speed, chance := float64(s.inFlight), s.warmth(now, &b.settings), f.kinds[s.Kind].value(), s.chance
		visit("endpoint", int(s.ID), 0, &level, &available, &inFlight, &warmth, &speed, &chance, &s.NominalSize)
		s.bucket.restore(available)
		s.health, f.stale = health{1 - level, now}, true
	}
}

// beginEvent starts an event: it sets the clock and drops the previous actions.
func (b *Balancer) beginEvent(now time.Duration) {
	b.now, b.actions = now, b.actions[:0]
	if !b.started {
		b.started = true
		b.lastArrival, b.admission.updatedAt, b.homeKey = now, now, b.rng.Uint64()
		b.fleet.slowStart.total = b.fleet.slowStart.newBucket(now, b.random)
		b.scheduleSubscribe(b.discovery.firstWait(&b.settings, b.random()))
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) random() float64 { return b.rng.Float64() }

// Endpoints takes a list from discovery: the full list, or only changes.
func (b *Balancer) Endpoints(now time.Duration, list []Endpoint, full bool) []Action {
	b.beginEvent(now)
	b.discovery.watching = b.discovery.subscribed
	b.fleet.update(now, list, full, b.random)
	return b.actions
}

// Timer reports that a timer has fired.
func (b *Balancer) Timer(now time.Duration, t Token) []Action {
	b.beginEvent(now)
	switch {
	case t.Purpose == timerSubscribe && b.discovery.planned:
		b.discovery.planned, b.discovery.subscribed, b.discovery.calledAt = false, true, now
		b.emit(Subscribe{})
	case t.Purpose == timerProbeWait:
		if r := b.requests[t.Request]; r != nil && r.awaitingProbes {
			b.sendAfterProbes(r)
		}
	case t.Purpose == timerOverdue:
		b.judgeOverdue(b.requests[t.Request])
	}
	return b.actions
}

// refresh updates the draw table for a class where due.
func (b *Balancer) refresh(class int) {
	if b.fleet.refresh(b.now, &b.settings, class, b.offeredLoad(), b.random) {
		b.fleet.setColdRates(b.now, &b.settings, b.coldGain(), b.inSubset)
	}
}

// offeredLoad is λ in servers of speed 1 and one core; its error is towards a proportional split. It is not finite before the first gap.
func (b *Balancer) offeredLoad() float64 {
	return float64(b.settings.FleetSize) * b.meanAnswerTime() / b.arrivalGap.value
}

// meanAnswerTime is the usual answer time over the classes seen, in seconds.
func (b *Balancer) meanAnswerTime() float64 {
	var sum, n float64
	for i := range b.classTimes {
		sum, n = sum+b.classTimes[i].perWork*b.classTimes[i].work.value*b.classTimes[i].samples, n+b.classTimes[i].samples
	}
	return sum / math.Max(n, 1)
}
