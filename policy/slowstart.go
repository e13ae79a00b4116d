package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	// budgetUtilization is the fraction of what the settings let a cold endpoint be sent that is meant to be used,
	// and provenUtilization the fraction for what the endpoint answers itself. The remaining part of the former is
	// for its part of what others answer; what is left of the whole is for chance, and for late measurements.
	budgetUtilization, provenUtilization = 0.8, 0.4
	// maxProvenShare bounds what part of a request a cold endpoint earns by one that it answers. Near 1 it
	// would be sent all that it can do, however little load there is.
	maxProvenShare = 0.8
	// idleDrawFactor is how many times its chance an endpoint with almost nothing in flight gets when two
	// are drawn, relative to one that is as idle.
	idleDrawFactor = 2.0
	// defaultOverloadMultiple stands for a multiple that the settings don't state.
	defaultOverloadMultiple = 1.5
	// baseRateRatio is the fraction of a cold endpoint's capacity, estimated from the usual answer time, that
	// it is sent where there are almost no other endpoints, and so nothing to learn from.
	baseRateRatio = 0.5
	// coldGrowth is how much more than was answered cold endpoints are sent where there are almost no
	// others: if all of it is answered, they can do more.
	coldGrowth = 0.35
	// coldShareExponent is the exponent of the part of the draws that falls to cold endpoints, for coldShare.
	coldShareExponent = 4.0
	// coldShareThreshold is the coldShare from which cold endpoints count for the fleet: two thirds of the draws are theirs.
	coldShareThreshold = 0.2
	// minWarmRatio is the fraction of the latest warmWindow answers below which warm endpoints are assumed to hang.
	minWarmRatio, warmWindow = 0.1, 16.0
	// lowCapacityLateRatio is the ratio of late answers from which the warm endpoints have little capacity left.
	lowCapacityLateRatio = lateRatioThreshold / 2
	// promptRatio is the fraction of a class's latency target that an answer is assumed to take while nothing is known.
	promptRatio = 0.25
	// endpointBurst bounds the tokens saved up for cold endpoints, in requests of mean work. All sidecars
	// may spend theirs at the same moment.
	endpointBurst = 0.5
	// maxEndpointDebt is how far one endpoint may be overdrawn, in requests of mean work, while all cold
	// endpoints together have tokens left: keys are not evenly distributed.
	maxEndpointDebt = 3.0
	// fleetBurst bounds the tokens that all sidecars together have saved up for a cold endpoint, and fleetUnused
	// the part of them that is left for draws to use, in requests of mean work.
	fleetBurst, fleetUnused = 12.0, 2.0
	// minBurst is what each sidecar may save up in any case, in requests of mean work.
	minBurst = 0.1
	// maxWork and minWork bound what one request counts, in requests of mean work.
	maxWork, minWork = 4.0, 0.1
)

// slowStart limits what recently started endpoints are sent, so that all sidecars together keep within
// the budget of each, though none knows of the others. The answers are never more than what the endpoints
// can do, at any load, and the answers of all sidecars add up to them. So each answer earns each cold
// endpoint its part of one request, and the endpoint that gave it some more: the sum over all sidecars is
// then its part of what the others can do, and a part of what it can do itself. Nothing else earns tokens:
// bursts, retries and hedged attempts do not, unless they are answered.
type slowStart struct {
	answeredWork    float64 // requests of mean work, so far
	coldShare       float64 // how far draws are left to cold endpoints: near 1, almost all of them are
	cold            []*server
	total           tokenBucket // of all cold endpoints together; its rate is the sum of theirs
	totalWarmth     float64     // sum over the cold endpoints
	warmAnswerRatio mean        // fraction of the answers that came from warm endpoints
}

// tokenBucket limits what one cold endpoint is sent.
type tokenBucket struct {
	rate        float64 // tokens for each request that is answered
	tokens      float64 // requests of mean work; from 0 on it may be sent one
	countedWork float64 // slowStart.answeredWork at the latest refill
	refilledAt  time.Duration
}

// newBucket returns a bucket at a random level between two requests: sidecars that start together don't send together.
func (s *slowStart) newBucket(now time.Duration, random func() float64) tokenBucket {
	return tokenBucket{tokens: -random(), countedWork: s.answeredWork, refilledAt: now}
}

// available is the part of a request that the endpoint may be sent.
func (b *tokenBucket) available() float64 { return math.Min(math.Max(1+b.tokens, 0), 1) }

// restore sets what another process knew to be available. What that process had saved up beyond one
// request is not restored: it may have been spent there.
func (b *tokenBucket) restore(available float64) {
	if available != b.available() {
		b.tokens = available - 1
	}
}

// isCold reports whether an endpoint may not have all of its capacity yet.
func (s *server) isCold(now time.Duration, settings *Settings) bool {
	return s.warmth(now, settings) < 1
}

// overloadMultiple is the multiple of its capacity that a cold endpoint may be sent before it fails.
func (s *Settings) overloadMultiple() float64 {
	return cmp.Or(s.OverloadMultiple, defaultOverloadMultiple)
}

// coldGain is the maximum of what a cold endpoint may be sent, relative to its part of the requests by its
// lowest possible warmth. It is 1 while the warm endpoints have capacity left, and grows as more of their
// answers are late.
func (b *Balancer) coldGain() float64 {
	maxGain := b.settings.overloadMultiple() * budgetUtilization
	if !b.warmHaveCapacity() {
		return maxGain - b.provenShare()
	}
	return math.Min(maxGain, 1+(maxGain-1)*math.Min(b.admission.lateRatio/lowCapacityLateRatio, 1))
}

// provenShare is the part of a request that a cold endpoint earns by one that it answers: it may be
// warmer than its lower bound. While the warm endpoints have capacity left, nothing more is needed from it.
func (b *Balancer) provenShare() float64 {
	if b.warmHaveCapacity() {
		return 0
	}
	return math.Min(b.settings.overloadMultiple()*provenUtilization, maxProvenShare)
}

// setColdRates sets the rates of the cold endpoints, by their chances and by their sizes among the endpoints
// of the subset, whichever is less. Chances depend on health, too: where most others are unhealthy
// they are no measure of what a cold endpoint can do.
func (f *fleet) setColdRates(now time.Duration, settings *Settings, gain float64, inSubset func(*server) bool) {
	var chances, coldChances, sizes float64
	f.slowStart.cold = f.slowStart.cold[:0]
	for _, s := range f.servers {
		if !s.acceptsRequests() || !inSubset(s) {
			continue
		}
		chances += s.chance
		sizes += s.NominalSize * s.warmth(now, settings)
		if s.isCold(now, settings) {
			coldChances += s.chance
			f.slowStart.cold = append(f.slowStart.cold, s)
		}
	}
	start := &f.slowStart
	start.coldShare = math.Pow(coldChances/math.Max(chances, math.SmallestNonzeroFloat64), coldShareExponent)
	start.refill(&start.total, start.burstLimit(settings.FleetSize), now, start.totalWarmth, 0)
	start.total.rate, start.totalWarmth = 0, 0
	for _, s := range start.cold {
		warm := s.warmth(now, settings)
		start.refill(&s.bucket, endpointBurst, now, warm, 0)
		byChance := idleDrawFactor / (1 + warm) * s.chance / math.Max(chances, math.SmallestNonzeroFloat64)
		bySize := gain * s.NominalSize * warm / sizes
		s.bucket.rate = math.Min(byChance, bySize) * (1 + coldGrowth*start.coldShare)
		start.total.rate += s.bucket.rate
		start.totalWarmth += warm
	}
}

// refill adds what was earned since the last refill, up to burst. baseRate is how many requests per second a warm endpoint
// may be sent by this sidecar where there is nothing to learn from; 0: unknown.
func (s *slowStart) refill(b *tokenBucket, burst float64, now time.Duration, warmth, baseRate float64) {
	earned := (s.answeredWork - b.countedWork) * b.rate
	if baseRate > 0 {
		earned += (now - b.refilledAt).Seconds() * baseRate * warmth * s.coldShare
		b.refilledAt = now
	}
	b.tokens = math.Min(b.tokens+earned, burst)
	b.countedWork = s.answeredWork
}

// burstLimit bounds what this sidecar, one of size, saves up for all cold endpoints.
func (s *slowStart) burstLimit(size int) float64 {
	cold := float64(len(s.cold))
	return math.Max(minBurst, cold*math.Min(endpointBurst, fleetBurst/float64(size)))
}

// baseRate is the requests per second that a warm endpoint is certain to handle, for this sidecar alone:
// one that works on one request at a time takes the usual answer time for each, or the stated cost of such
// a request.
func (b *Balancer) baseRate(r *request) float64 {
	answerTime := b.meanAnswerTime()
	if answerTime <= 0 {
		answerTime = cmp.Or(r.Cost, b.settings.Classes[r.Class].Aim.Seconds()*promptRatio)
	}
	return baseRateRatio * math.Min(1, b.settings.overloadMultiple()/2) / math.Max(answerTime*float64(b.settings.FleetSize), math.SmallestNonzeroFloat32)
}

// refillCold refills the buckets of cold endpoints when a request arrives.
func (b *Balancer) refillCold(r *request) {
	start := &b.fleet.slowStart
	if len(start.cold) == 0 {
		return
	}
	rate := b.baseRate(r)
	start.refill(&start.total, start.burstLimit(b.settings.FleetSize), b.now, start.totalWarmth, rate)
	for _, s := range start.cold {
		start.refill(&s.bucket, endpointBurst, b.now, s.warmth(b.now, &b.settings), rate)
	}
}

// withinBudget reports whether slow start permits an attempt on an endpoint now.
func (b *Balancer) withinBudget(r *request, s *server) bool {
	if !s.isCold(b.now, &b.settings) {
		return true
	}
	return b.fleet.slowStart.total.tokens >= 0 && s.bucket.tokens >= -maxEndpointDebt && (r.numMayHaveRun() == 0 || s.servedRecently(b.now, r.Class))
}

// preferredCold is the cold endpoint that a request should be sent to, where more is available for all
// of them than draws have used; nil: there is none.
func (b *Balancer) preferredCold(r *request, eligible func(*server) bool) (pick *server) {
	start := &b.fleet.slowStart
	unused := fleetUnused * float64(len(start.cold)) / float64(b.settings.FleetSize)
	if start.total.tokens < math.Min(unused, minBurst) {
		return nil
	}
	for _, s := range start.cold {
		if s.chance <= 0 || s.bucket.tokens < -1 || !s.isCold(b.now, &b.settings) || !eligible(s) {
			continue
		}
		if pick == nil || b.prefersCold(r, s, pick) {
			pick = s
		}
	}
	return pick
}

// prefersCold reports whether a request should go to one cold endpoint rather than to another: to the one
// with more tokens, but if both have some to the one that ranks first for its key. Otherwise all sidecars
// send the requests of a popular key to the first of all cold endpoints.
func (b *Balancer) prefersCold(r *request, s, other *server) bool {
	if b.settings.WarmKeys && r.Key != "" && s.bucket.tokens >= 0 && other.bucket.tokens >= 0 {
		return keyRank(r.key, s) > keyRank(r.key, other)
	}
	return s.bucket.tokens > other.bucket.tokens
}

// charge takes the tokens of an attempt.
func (b *Balancer) charge(r *request, s *server) {
	if s.isCold(b.now, &b.settings) {
		work := b.relativeWork(r)
		s.bucket.tokens -= work
		b.fleet.slowStart.total.tokens -= work
	}
}

// refillOnAnswer adds the tokens that an answer earns.
func (b *Balancer) refillOnAnswer(r *request, s *server) {
	work := b.provenWork(r)
	b.fleet.slowStart.answeredWork += work
	b.fleet.slowStart.warmAnswerRatio.add(indicator(!s.isCold(b.now, &b.settings)), warmWindow)
	if s.isCold(b.now, &b.settings) {
		total := &b.fleet.slowStart.total
		earned := math.Min(b.provenShare(), math.Max(1+coldGrowth-total.rate, 0)) * work
		s.bucket.tokens = math.Min(s.bucket.tokens+earned, endpointBurst)
		total.tokens = math.Min(total.tokens+earned, b.fleet.slowStart.burstLimit(b.settings.FleetSize))
	}
}

// warmHaveCapacity reports whether warm endpoints answer, and almost all of them in time.
func (b *Balancer) warmHaveCapacity() bool {
	return b.lowPressure() && b.fleet.slowStart.warmAnswerRatio.value >= minWarmRatio
}

// indicatesCapacity reports whether an answer of an endpoint indicates that the fleet has capacity for more requests, or
// has none. A cold endpoint that is limited answers in time, while additional requests go to the others: it counts only
// where there are almost no others, or none of them answers.
func (b *Balancer) indicatesCapacity(s *server) bool {
	start := &b.fleet.slowStart
	return !s.isCold(b.now, &b.settings) || start.coldShare > coldShareThreshold || start.warmAnswerRatio.value < minWarmRatio
}

// relativeWork is the work that a request is charged, relative to the mean: by stated costs. Without a stated cost its
// class's usual answer time stands for the work, which under overload is short for a class that is answered soon or
// never: it counts as 1 at least.
func (b *Balancer) relativeWork(r *request) float64 {
	if r.Cost > 0 {
		return math.Min(math.Max(r.Cost/b.meanCost.value, minWork), maxWork)
	}
	meanTime, ownTime := b.meanAnswerTime(), b.expectedTime(r)
	if meanTime <= 0 || ownTime <= 0 {
		return 1
	}
	return math.Min(math.Max(ownTime/meanTime, 1), maxWork)
}

// provenWork is the work relative to the mean that an answer proves to have been done.
func (b *Balancer) provenWork(r *request) float64 {
	if r.Cost <= 0 {
		return 1
	}
	return b.relativeWork(r)
}
