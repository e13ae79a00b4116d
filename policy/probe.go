package policy

import (
	"math"
	"slices"
	"time"
)

const (
	cheapProbe     = 0.006 // price per probe up to which the pair of every request is probed
	probePressure  = 0.2   // pressure from which more expensive probes pay off: late answers lose more than probes cost
	probeWaitRatio = 0.1   // fraction of a class's latency target that waiting for probes may take
)

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Endpoint EndpointID
	Result   Result
	Report   []float64
}

// shouldProbe reports whether pairs are probed: few servers have anything of this client's in flight to decide by.
func (b *Balancer) shouldProbe() bool {
	return b.settings.MayProbe && b.loadFieldIndex() >= 0 && (b.settings.Prices.Probe <= cheapProbe || !b.lowPressure())
}

// lowPressure reports whether almost no recent attempt was late.
func (b *Balancer) lowPressure() bool { return b.admission.pressure <= probePressure }

// loadFieldIndex is the index of the load in a report; -1 if it has none.
func (b *Balancer) loadFieldIndex() int {
	return max(slices.Index(b.settings.ReportFields, FieldInFlight), slices.Index(b.settings.ReportFields, FieldQueue))
}

// awaitProbes pauses a request for probes of its pair; an expensive second probe is sent only if the first server is busy.
func (b *Balancer) awaitProbes(r *request, x, y *server) {
	r.awaitingProbes, r.pair = true, [2]*server{x, y}
	b.sendProbe(x)
	if b.settings.Prices.Probe <= cheapProbe || x.reportsLoad(b.now) {
		b.sendProbe(y)
	}
	if !r.probeInFlight() {
		b.sendAfterProbes(r)
		return
	}
	b.awaitingProbes = append(b.awaitingProbes, r)
	limit := min(b.settings.Classes[r.Class].Aim, r.deadline()-b.now)
	b.emit(SetTimer{Token: Token{timerProbeWait, r.ID}, Delay: time.Duration(float64(limit) * probeWaitRatio)})
}

// sendProbe requests a server's load, unless it is known or a probe is in flight.
func (b *Balancer) sendProbe(s *server) {
	if !s.probing && !s.hasFreshReport(b.now) {
		s.probing = true
		b.emit(Probe{Endpoint: s.ID})
	}
}

// reportsLoad reports whether a fresh report shows any load.
func (s *server) reportsLoad(now time.Duration) bool {
	return s.hasFreshReport(now) && s.reportedLoad >= 0.5
}

// probeInFlight reports whether a probe of the paused request's pair is in flight.
func (r *request) probeInFlight() bool { return r.pair[0].probing || r.pair[1].probing }

// sendAfterProbes sends a paused request.
func (b *Balancer) sendAfterProbes(r *request) {
	x, y := r.pair[0], r.pair[1]
	r.awaitingProbes, r.pair = false, [2]*server{}
	b.awaitingProbes = slices.DeleteFunc(b.awaitingProbes, func(w *request) bool { return w == r })
	if !b.mayAttempt(r) {
		b.refuseOrFail(r)
		return
	}
	b.refresh(r.Class)
	eligible := func(s *server) bool { return s.chance > 0 && b.maySend(r, s) && b.withinBudget(r, s) }
	s := b.fleet.preferred(x, y, b.now, b.random)
	if !eligible(s) {
		s, _ = b.fleet.drawPair(b.random, false, eligible)
	}
	if s == nil {
		b.refuseOrFail(r)
	} else {
		b.send(r, s)
	}
}

// Probed takes the result of a probe.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) []Action {
	b.beginEvent(now)
	s := b.fleet.byID[p.Endpoint]
	if s == nil {
		return b.actions
	}
	s.probing = false
	if p.Result != Served {
		s.reportedLoad, s.reportedAt = math.Inf(1), now
		s.record(now, 1-(1-healthAfterFailure)*indicator(p.Result != Declined))
	} else if i := b.loadFieldIndex(); i >= 0 && i < len(p.Report) {
		s.reportedLoad, s.reportedAt = math.Max(p.Report[i], 0), now
	}
	for _, r := range slices.Clone(b.awaitingProbes) {
		if !r.awaitingProbes || r.pair[0] != s && r.pair[1] != s {
			continue
		}
		if r.pair[0] == s && s.reportsLoad(now) {
			b.sendProbe(r.pair[1])
		}
		if !r.probeInFlight() {
			b.sendAfterProbes(r)
		}
	}
	return b.actions
}
