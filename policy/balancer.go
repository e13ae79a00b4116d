// Package policy makes the decisions of a load balancer that runs as one instance beside every client process.
// It is pure: time and seed come in with the calls, actions go out as values, and instances share nothing. The
// ordinary path is HALO's power-of-two variant: Eq. (4) splits the load over the kinds of server, two servers are
// drawn by that split, and the request goes to the one with fewer in flight.
package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Token comes back with the timer that it was set with.
type Token struct {
	Purpose uint8
	Request RequestID
}

const (
	timerSubscribe uint8 = iota
	timerHold
	timerLate
)

// Action is what the host carries out, in order: one of the types below.
type Action any

type (
	// Send starts an attempt that is given up after Timeout.
	Send struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  time.Duration
	}
	// Refuse ends a request and promises that a retry is harmless, best RetryAfter.
	Refuse struct {
		Request    RequestID
		RetryAfter time.Duration
	}
	// Fail ends a request without a promise.
	Fail struct{ Request RequestID }
	// Cancel calls off one attempt.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// Probe asks an endpoint for its load report.
	Probe struct{ Endpoint EndpointID }
	// SetTimer asks for Balancer.Timer after Delay.
	SetTimer struct {
		Token Token
		Delay time.Duration
	}
	// Subscribe asks discovery for changes from now on.
	Subscribe struct{}
)

// Balancer is one instance, for one goroutine. Actions are valid until the next call.
type Balancer struct {
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action
	fleet    fleet
	requests map[RequestID]*request
	waiting  []*request    // held until their pair is probed
	times    []classTime   // by class
	gap      mean          // between arrivals, s
	cost     mean          // that requests tell, s
	lastIn   time.Duration // latest arrival
	keys     keyCounts
	home     uint64 // key of the servers this client keeps connections to
	adm      admission
	renewal  renewal
	begun    bool // there was an event
}

// New makes an instance. The error names the setting that can't be used.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	return &Balancer{
		set: set, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), fleet: newFleet(&set),
		requests: map[RequestID]*request{}, times: make([]classTime, len(set.Classes)),
		keys: keyCounts{counts: map[uint64]float64{}},
		adm:  admission{level: 1, retries: retryBurst, tenants: make([]mean, len(set.Tenants))},
	}, nil
}

// Retune puts other settings in force. Classes that open requests are of have to stay in their
// places; there may be more of them than before. On an error nothing has changed.
func (b *Balancer) Retune(set Settings) error {
	if err := set.validate(); err != nil {
		return err
	}
	b.set, b.fleet.classes, b.fleet.stale = set, len(set.Classes), true
	b.times, b.adm.tenants = grown(b.times, len(set.Classes)), grown(b.adm.tenants, len(set.Tenants))
	for _, s := range b.fleet.servers {
		s.classes = nil // a place may be another class's now
	}
	for i := range b.fleet.kinds {
		b.fleet.kinds[i].fit = grown(b.fleet.kinds[i].fit, len(set.Classes))
	}
	return nil
}

func grown[T any](s []T, n int) []T { return append(s, make([]T, max(n-len(s), 0))...) }

// VisitLearned calls each for every row of what was learnt: of the load, of a kind, of a class of it, of
// a class, of an endpoint. Each may change the numbers, but for an endpoint's third to sixth.
func (b *Balancer) VisitLearned(now time.Duration, each func(what string, of, class int, x ...*float64)) {
	a, f := &b.adm, &b.fleet
	a.fade(now)
	each("load", 0, 0, &b.gap.value, &b.gap.weight, &a.pressure, &a.level, &a.retries, &a.worth.value, &a.worth.weight, &f.served.value, &f.served.weight)
	for i := range f.kinds {
		k := &f.kinds[i]
		each("kind", i, 0, &k.slowness.value, &k.slowness.weight)
		for j := range k.fit {
			each("fit", i, j, &k.fit[j].value, &k.fit[j].weight)
		}
	}
	for j := range b.times {
		c := &b.times[j]
		each("class", 0, j, &c.per, &c.n, &c.work.value, &c.work.weight)
	}
	for _, s := range f.servers {
		h, available := s.at(now), s.bucket.available()
		out, warm, speed, chance := float64(s.inFlight), s.warmth(now, &b.set), f.kinds[s.Kind].value(), s.chance
		each("endpoint", int(s.ID), 0, &h, &available, &out, &warm, &speed, &chance, &s.NominalSize)
		s.bucket.restore(available)
		s.standing, f.stale = standing{1 - h, now}, true
	}
}

// begin opens an event: the clock is set and the last actions are dropped.
func (b *Balancer) begin(now time.Duration) {
	b.now, b.actions = now, b.actions[:0]
	if !b.begun {
		b.begun = true
		b.lastIn, b.adm.updated, b.home = now, now, b.rng.Uint64()
		b.fleet.slowStart.all = b.fleet.slowStart.newBucket(now, b.random)
		b.planSubscribe(b.renewal.first(&b.set, b.random()))
	}
}

func (b *Balancer) do(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) random() float64 { return b.rng.Float64() }

// Endpoints takes a listing from discovery: the whole list, or only changes.
func (b *Balancer) Endpoints(now time.Duration, list []Endpoint, whole bool) []Action {
	b.begin(now)
	b.renewal.watched = b.renewal.called
	b.fleet.update(now, list, whole, b.random)
	return b.actions
}

// Timer tells that a timer is due.
func (b *Balancer) Timer(now time.Duration, t Token) []Action {
	b.begin(now)
	switch {
	case t.Purpose == timerSubscribe && b.renewal.planned:
		b.renewal.planned, b.renewal.called, b.renewal.begun = false, true, now
		b.do(Subscribe{})
	case t.Purpose == timerHold:
		if r := b.requests[t.Request]; r != nil && r.held {
			b.release(r)
		}
	case t.Purpose == timerLate:
		b.overdue(b.requests[t.Request])
	}
	return b.actions
}

// refresh brings the draw table up to date for a class.
func (b *Balancer) refresh(class int) {
	if b.fleet.refresh(b.now, &b.set, class, b.fleetRate(), b.random) {
		b.fleet.shareOut(b.now, &b.set, b.gain(), b.keepsTo)
	}
}

// fleetRate is λ in servers of speed 1 and one core: it errs towards proportional. It is not usable before the first gap.
func (b *Balancer) fleetRate() float64 { return float64(b.set.FleetSize) * b.meanTime() / b.gap.value }

// meanTime is the usual answer time over the classes seen, in seconds.
func (b *Balancer) meanTime() float64 {
	var sum, n float64
	for i := range b.times {
		sum, n = sum+b.times[i].per*b.times[i].work.value*b.times[i].n, n+b.times[i].n
	}
	return sum / math.Max(n, 1)
}
