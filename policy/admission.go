package policy

import (
	"math"
	"time"
)

const (
	retryPerRequest = 0.3              // retry budget: extra attempts earned by a request
	retryBurst      = 5.0              // extra attempts that may be saved up
	pressureMemory  = 4.0              // outcomes looked back over: few, as a client sees about one a second
	pressureFade    = 12 * time.Second // forgetting, so that a client that refuses all tries again
	pressureFree    = 0.5              // up to here a late outcome may be one slow server's
	tardyMemory     = 8.0              // answers looked back over, and
	silentMemory    = 64.0             // attempts without one
	tardyFree       = 0.15             // up to here the endpoints that answer have room
	lateCuts        = 0.8              // of the admitted part after a late outcome under pressure
	timelyGives     = 0.02             // of all, given back by one in time, and
	promptGives     = 0.15             // of what is refused, if none was late of late: queues are empty long before the fade
	worthOrder      = 2.0              // power of the mean worth over a request's, bounded by twice this: some of each class go, or nothing is learnt
	leastAdmitted   = 0.1              // without attempts nothing is learnt
)

// admission decides what is refused early: pressure is the part of the recent
// attempts that came too late, level the part of the requests that is admitted.
type admission struct {
	pressure, level, tardy, retries float64 // tardy: part of the answers that came late
	updated                         time.Duration
	tenants                         []mean // part of the own traffic
	worth                           mean   // of a request
}

// outcome takes one finished attempt into pressure and level. Failure answered: what is late at an
// endpoint known to be bad, of that health, tells nothing of the others.
func (a *admission) outcome(now time.Duration, late bool, health float64) {
	a.fade(now)
	a.pressure += (indicator(late) - a.pressure) * health / pressureMemory
	switch {
	case late && a.pressure > pressureFree && a.tardy > tardyFree:
		a.level = math.Max(a.level*lateCuts, leastAdmitted)
	case !late:
		a.level = math.Min(a.level+timelyGives+promptGives*(1-a.level)*(1-a.pressure), 1)
	}
}

// answered takes the end of an attempt into tardy: what is silent counts little. Failure answered:
// endpoints that are silent while the others answer promptly are bad, and the fleet is not full.
func (a *admission) answered(served, late bool) {
	a.tardy += (indicator(late) - a.tardy) / (tardyMemory + (silentMemory-tardyMemory)*indicator(!served))
}

func (a *admission) fade(now time.Duration) {
	keep := math.Exp(-(now - a.updated).Seconds() / pressureFade.Seconds())
	a.pressure, a.level, a.updated = a.pressure*keep, 1-(1-a.level)*keep, now
}

// admit decides whether a request is tried. What is worth less for its work or time, and tenants over their share, go first.
func (b *Balancer) admit(r *request) bool {
	a := &b.adm
	a.fade(b.now)
	a.retries = math.Min(a.retries+retryPerRequest, retryBurst)
	over := 0.0 // how far the tenant's part exceeds its share, as a ratio
	for i, t := range b.set.Tenants {
		if a.tenants[i].add(indicator(i == r.Tenant), sampleMemory); i == r.Tenant && t.Share > 0 {
			over = math.Max(0, a.tenants[i].value/t.Share-1)
		}
	}
	w := b.set.Classes[r.Class].Worth
	if !b.set.WorthByWork {
		w /= b.expected(r)
	}
	weight := 1 + over
	if usable(w) {
		a.worth.add(w, sampleMemory)
		weight *= math.Min(math.Pow(a.worth.value/w, worthOrder), 2*worthOrder)
	}
	return r.Guaranteed || b.random() < math.Pow(a.level, weight)
}
