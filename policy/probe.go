package policy

import (
	"math"
	"slices"
	"time"
)

const (
	cheapProbe    = 0.006 // price per probe up to which every request's pair is probed
	probePressure = 0.2   // from here dearer probes pay: late answers lose more than they cost
	holdPart      = 0.1   // part of a class's aim that waiting for probes may take
)

// ProbeResult is how a probe ended.
type ProbeResult struct {
	Endpoint EndpointID
	Result   Result
	Report   []float64
}

// probesPay reports whether a pair is probed: few have anything in flight to go by.
func (b *Balancer) probesPay() bool {
	return b.set.MayProbe && b.loadField() >= 0 && (b.set.Prices.Probe <= cheapProbe || !b.calm())
}

// calm reports whether next to nothing came late of late.
func (b *Balancer) calm() bool { return b.adm.pressure <= probePressure }

// loadField is the place of the load in a report; -1 where there is none.
func (b *Balancer) loadField() int {
	return max(slices.Index(b.set.ReportFields, FieldInFlight), slices.Index(b.set.ReportFields, FieldQueue))
}

// hold waits for probes of a pair; a dear second one only if the first is busy.
func (b *Balancer) hold(r *request, x, y *server) {
	r.held, r.pair = true, [2]*server{x, y}
	b.probe(x)
	if b.set.Prices.Probe <= cheapProbe || x.busy(b.now) {
		b.probe(y)
	}
	if !r.probing() {
		b.release(r)
		return
	}
	b.waiting = append(b.waiting, r)
	limit := min(b.set.Classes[r.Class].Aim, r.deadline()-b.now)
	b.do(SetTimer{Token: Token{timerHold, r.ID}, Delay: time.Duration(float64(limit) * holdPart)})
}

// probe asks a server for its load, unless that is known or on its way.
func (b *Balancer) probe(s *server) {
	if !s.probing && !s.reported(b.now) {
		s.probing = true
		b.do(Probe{Endpoint: s.ID})
	}
}

// busy reports whether a fresh report shows any load.
func (s *server) busy(now time.Duration) bool { return s.reported(now) && s.load >= 0.5 }

// probing reports whether a probe of the held request's pair is out.
func (r *request) probing() bool { return r.pair[0].probing || r.pair[1].probing }

// release sends a held request.
func (b *Balancer) release(r *request) {
	x, y := r.pair[0], r.pair[1]
	r.held, r.pair = false, [2]*server{}
	b.waiting = slices.DeleteFunc(b.waiting, func(w *request) bool { return w == r })
	if !b.mayAttempt(r) {
		b.finish(r)
		return
	}
	b.refresh(r.Class)
	fits := func(s *server) bool { return s.chance > 0 && b.maySend(r, s) && b.withinBudget(r, s) }
	s := b.fleet.better(x, y, b.now, b.random)
	if !fits(s) {
		s, _ = b.fleet.choose(b.random, false, fits)
	}
	if s == nil {
		b.finish(r)
	} else {
		b.send(r, s)
	}
}

// Probed takes the result of a probe.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) []Action {
	b.begin(now)
	s := b.fleet.byID[p.Endpoint]
	if s == nil {
		return b.actions
	}
	s.probing = false
	if p.Result != Served {
		s.load, s.loadAt = math.Inf(1), now
		s.observe(now, 1-(1-failureKeeps)*indicator(p.Result != Declined))
	} else if i := b.loadField(); i >= 0 && i < len(p.Report) {
		s.load, s.loadAt = math.Max(p.Report[i], 0), now
	}
	for _, r := range slices.Clone(b.waiting) {
		if !r.held || r.pair[0] != s && r.pair[1] != s {
			continue
		}
		if r.pair[0] == s && s.busy(now) {
			b.probe(r.pair[1])
		}
		if !r.probing() {
			b.release(r)
		}
	}
	return b.actions
}
