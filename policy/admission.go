package policy

import (
	"math"
	"time"
)

const (
	retryTokensPerRequest = 0.3              // tokens that each request adds to the retry budget
	maxRetryTokens        = 5.0              // upper bound of the retry budget, in attempts
	pressureWindow        = 4.0              // averaging window in outcomes: short, as a client sees about one per second
	pressureDecay         = 12 * time.Second // time constant of the return to normal, so that a client that refuses everything tries again
	pressureThreshold     = 0.5              // up to this pressure, late outcomes may come from a single slow server
	lateWindow            = 8.0              // averaging window of lateRatio for attempts that were served
	unansweredWindow      = 64.0             // and for attempts that were not
	lateRatioThreshold    = 0.15             // up to this ratio of late answers, the endpoints that answer have spare capacity
	levelDecrease         = 0.8              // factor on the admission level after a late outcome under pressure
	levelIncrease         = 0.02             // added to the admission level after an outcome in time, and
	levelRecovery         = 0.15             // also added, as a part of what is refused, if no recent outcome was late: queues empty long before the decay
	worthExponent         = 2.0              // exponent of the mean worth over a request's, bounded by twice the exponent: some of each class are admitted, or nothing is learned of it
	minAdmitted           = 0.1              // lower bound of the admission level: without attempts nothing is learned
)

// admission decides which requests are refused early: pressure is the fraction of recent
// attempts that were late, level the fraction of the requests that is admitted.
type admission struct {
	pressure, level, lateRatio, retryTokens float64 // lateRatio: fraction of the answers that were late; retryTokens: the retry budget
	updatedAt                               time.Duration
	tenantShares                            []mean // fraction of this sidecar's traffic, by tenant
	meanWorth                               mean   // per unit of work or of answer time
}

// recordOutcome updates pressure and level with one finished or overdue attempt. The endpoint's health weighs
// the update: a late attempt at an endpoint that is known to be unhealthy says nothing about the others.
func (a *admission) recordOutcome(now time.Duration, late bool, health float64) {
	a.decay(now)
	a.pressure += (indicator(late) - a.pressure) * health / pressureWindow
	switch {
	case late && a.pressure > pressureThreshold && a.lateRatio > lateRatioThreshold:
		a.level = math.Max(a.level*levelDecrease, minAdmitted)
	case !late:
		a.level = math.Min(a.level+levelIncrease+levelRecovery*(1-a.level)*(1-a.pressure), 1)
	}
}

// recordAnswer updates lateRatio with the end of an attempt. An attempt that was not served counts little:
// endpoints that are silent while the others answer in time are faulty, and the fleet is not full.
func (a *admission) recordAnswer(served, late bool) {
	a.lateRatio += (indicator(late) - a.lateRatio) / (lateWindow + (unansweredWindow-lateWindow)*indicator(!served))
}

func (a *admission) decay(now time.Duration) {
	factor := math.Exp(-(now - a.updatedAt).Seconds() / pressureDecay.Seconds())
	a.pressure, a.level, a.updatedAt = a.pressure*factor, 1-(1-a.level)*factor, now
}

// admit decides whether a request is attempted. Requests of less worth for their work or time, and tenants over their share, are shed first.
func (b *Balancer) admit(r *request) bool {
	a := &b.admission
	a.decay(b.now)
	a.retryTokens = math.Min(a.retryTokens+retryTokensPerRequest, maxRetryTokens)
	excess := 0.0 // how far the tenant exceeds its share, as a ratio
	for i, t := range b.settings.Tenants {
		if a.tenantShares[i].add(indicator(i == r.Tenant), sampleWindow); i == r.Tenant && t.Share > 0 {
			excess = math.Max(0, a.tenantShares[i].value/t.Share-1)
		}
	}
	w := b.settings.Classes[r.Class].Worth
	if !b.settings.WorthByWork {
		w /= b.expectedTime(r)
	}
	weight := 1 + excess
	if positiveFinite(w) {
		a.meanWorth.add(w, sampleWindow)
		weight *= math.Min(math.Pow(a.meanWorth.value/w, worthExponent), 2*worthExponent)
	}
	return r.Guaranteed || b.random() < math.Pow(a.level, weight)
}
