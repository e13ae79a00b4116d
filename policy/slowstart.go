package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	// budgetUsed is the part of what the settings let a cold endpoint be sent that is meant to be
	// used, and provenUsed that of it for what the endpoint answers itself. The rest of it is for its
	// part of what others answer; the rest of the whole is for chance, and for what is measured late.
	budgetUsed, provenUsed = 0.8, 0.4
	// mostProven is the most of a request that a cold endpoint earns by one that it answers. Near 1
	// it would be sent all that it can do, however little there is to do.
	mostProven = 0.8
	// emptier is how much of its chance an endpoint with next to nothing in flight gets of two that
	// are drawn, over one that has as little.
	emptier = 2.0
	// defaultFallMultiple stands for a multiple that the settings don't tell.
	defaultFallMultiple = 1.5
	// baseRatePart is the part of a cold endpoint's ability, as told by the usual answer time, that it is
	// sent where there are next to no others, and so nothing to learn from.
	baseRatePart = 0.5
	// growth is how much more than was answered cold endpoints are sent where there are next to no
	// others: all of it being answered, they can do more.
	growth = 0.35
	// coldShareOrder is the power of the part of the draws that falls to cold endpoints, for coldShare.
	coldShareOrder = 4.0
	// mostlyCold is the coldShare from which cold endpoints tell for all: two thirds of the draws are theirs.
	mostlyCold = 0.2
	// fewWarm is the part of the latest warmMemory answers below which warm endpoints are taken to hang.
	fewWarm, warmMemory = 0.1, 16.0
	// someTardy is the part of answers that come late from which the others have little room.
	someTardy = tardyFree / 2
	// promptPart is the part of a class's aim in which a request is answered where nothing is known.
	promptPart = 0.25
	// endpointBurst bounds what is saved up for cold endpoints, in requests of mean work. All sidecars
	// may spend theirs in the same moment.
	endpointBurst = 0.5
	// endpointDebt is how much more than one endpoint is due it may be sent, in requests of mean work,
	// while all of them together are due more: keys don't fall evenly.
	endpointDebt = 3.0
	// fleetBurst bounds what all sidecars together have saved up for a cold endpoint, and fleetUnused
	// what of that waits to be drawn for, in requests of mean work.
	fleetBurst, fleetUnused = 12.0, 2.0
	// leastBurst is what each sidecar may save up all the same, in requests of mean work.
	leastBurst = 0.1
	// mostWork and leastWork bound what one request counts, in requests of mean work.
	mostWork, leastWork = 4.0, 0.1
)

// slowStart shares out what endpoints that have started not long ago are sent, so that all
// sidecars together keep within the budget of each, though none knows of the others. What is
// answered is never more than what the endpoints can do, at any load, and the answers of all
// sidecars add up to it. So each answer earns each cold endpoint its part of one request, and the
// endpoint that gave it some more: the sum over all sidecars is then its part of what the others
// can do, and a part of what it can do itself. Nothing else earns: bursts, retries and second
// copies do not, unless they are answered.
type slowStart struct {
	answered  float64 // requests of mean work, so far
	coldShare float64 // how far draws are left to cold ones: near 1, next to all of them
	cold      []*server
	all       tokenBucket // of all cold endpoints together; its rate is the sum of theirs
	warmth    float64     // the sum of theirs
	warmPart  mean        // of the answers, by warm ones
}

// tokenBucket holds what one cold endpoint may be sent.
type tokenBucket struct {
	rate    float64 // tokens for each request that is answered
	tokens  float64 // requests of mean work; from 0 on it may be sent one
	counted float64 // slowStart.answered, as it was refilled last
	at      time.Duration
}

// newBucket begins anywhere between two requests: sidecars that begin together don't send together.
func (f *slowStart) newBucket(now time.Duration, random func() float64) tokenBucket {
	return tokenBucket{tokens: -random(), counted: f.answered, at: now}
}

// available is the part of a request that the endpoint may be sent.
func (b *tokenBucket) available() float64 { return math.Min(math.Max(1+b.tokens, 0), 1) }

// restore takes what another process knew to be available. What it had saved up beyond one request is
// not taken: it may have been spent there.
func (b *tokenBucket) restore(available float64) {
	if available != b.available() {
		b.tokens = available - 1
	}
}

// isCold reports whether an endpoint may not be able to do all of its work yet.
func (s *server) isCold(now time.Duration, set *Settings) bool { return s.warmth(now, set) < 1 }

// fallMultiple is how many times what it can do a cold endpoint may be sent before it falls.
func (set *Settings) fallMultiple() float64 { return cmp.Or(set.OverloadMultiple, defaultFallMultiple) }

// gain is how much more than its part of the requests, by its lowest possible warmth, a cold
// endpoint may be sent at most. Where the others have room that is its part, and more as more of
// their answers come late.
func (b *Balancer) gain() float64 {
	used := b.set.fallMultiple() * budgetUsed
	if !b.othersHaveRoom() {
		return used - b.provenPart()
	}
	return math.Min(used, 1+(used-1)*math.Min(b.adm.tardy/someTardy, 1))
}

// provenPart is the part of a request that a cold endpoint earns by one that it answers: it may be
// warmer than it has to be. Where the others have room nothing more is wanted of it.
func (b *Balancer) provenPart() float64 {
	if b.othersHaveRoom() {
		return 0
	}
	return math.Min(b.set.fallMultiple()*provenUsed, mostProven)
}

// shareOut sets the parts of the cold endpoints, by their chances and by their sizes among those
// that own admits, whichever is less. Chances go by health, too: where most others are unhealthy
// they are no measure of what a cold endpoint can do.
func (f *fleet) shareOut(now time.Duration, set *Settings, gain float64, own func(*server) bool) {
	var chances, coldChances, sizes float64
	f.slowStart.cold = f.slowStart.cold[:0]
	for _, s := range f.servers {
		if !s.usable() || !own(s) {
			continue
		}
		chances += s.chance
		sizes += s.NominalSize * s.warmth(now, set)
		if s.isCold(now, set) {
			coldChances += s.chance
			f.slowStart.cold = append(f.slowStart.cold, s)
		}
	}
	start := &f.slowStart
	start.coldShare = math.Pow(coldChances/math.Max(chances, math.SmallestNonzeroFloat64), coldShareOrder)
	start.refill(&start.all, start.burst(set.FleetSize), now, start.warmth, 0)
	start.all.rate, start.warmth = 0, 0
	for _, s := range start.cold {
		warm := s.warmth(now, set)
		start.refill(&s.bucket, endpointBurst, now, warm, 0)
		byChance := emptier / (1 + warm) * s.chance / math.Max(chances, math.SmallestNonzeroFloat64)
		bySize := gain * s.NominalSize * warm / sizes
		s.bucket.rate = math.Min(byChance, bySize) * (1 + growth*start.coldShare)
		start.all.rate += s.bucket.rate
		start.warmth += warm
	}
}

// refill adds what was earned since the last time, up to burst. baseRate is how many requests a second a warm endpoint may be
// sent by this sidecar where there is nothing to learn from; 0: it is not known.
func (f *slowStart) refill(b *tokenBucket, burst float64, now time.Duration, warmth, baseRate float64) {
	earned := (f.answered - b.counted) * b.rate
	if baseRate > 0 {
		earned += (now - b.at).Seconds() * baseRate * warmth * f.coldShare
		b.at = now
	}
	b.tokens = math.Min(b.tokens+earned, burst)
	b.counted = f.answered
}

// burst bounds what this sidecar saves up for all cold endpoints, one of size.
func (f *slowStart) burst(size int) float64 {
	cold := float64(len(f.cold))
	return math.Max(leastBurst, cold*math.Min(endpointBurst, fleetBurst/float64(size)))
}

// baseRate is the requests a second that a warm endpoint surely can do, for this sidecar alone:
// one that works on one request at a time takes the usual time, or what such a request is told to
// cost, for each.
func (b *Balancer) baseRate(r *request) float64 {
	usual := b.meanTime()
	if usual <= 0 {
		usual = cmp.Or(r.Cost, b.set.Classes[r.Class].Aim.Seconds()*promptPart)
	}
	return baseRatePart * math.Min(1, b.set.fallMultiple()/2) / math.Max(usual*float64(b.set.FleetSize), math.SmallestNonzeroFloat32)
}

// refillCold refills the buckets of cold endpoints, for a request that comes.
func (b *Balancer) refillCold(r *request) {
	start := &b.fleet.slowStart
	if len(start.cold) == 0 {
		return
	}
	rate := b.baseRate(r)
	start.refill(&start.all, start.burst(b.set.FleetSize), b.now, start.warmth, rate)
	for _, s := range start.cold {
		start.refill(&s.bucket, endpointBurst, b.now, s.warmth(b.now, &b.set), rate)
	}
}

// withinBudget reports whether an attempt on an endpoint may begin now, as far as its start goes.
func (b *Balancer) withinBudget(r *request, s *server) bool {
	if !s.isCold(b.now, &b.set) {
		return true
	}
	return b.fleet.slowStart.all.tokens >= 0 && s.bucket.tokens >= -endpointDebt && (r.ran() == 0 || s.proven(b.now, r.Class))
}

// preferredCold is the cold endpoint that a request had best be sent to, where more is available for all
// of them than draws have used; nil: there is none.
func (b *Balancer) preferredCold(r *request, ok func(*server) bool) (pick *server) {
	start := &b.fleet.slowStart
	waiting := fleetUnused * float64(len(start.cold)) / float64(b.set.FleetSize)
	if start.all.tokens < math.Min(waiting, leastBurst) {
		return nil
	}
	for _, s := range start.cold {
		if s.chance <= 0 || s.bucket.tokens < -1 || !s.isCold(b.now, &b.set) || !ok(s) {
			continue
		}
		if pick == nil || b.prefersCold(r, s, pick) {
			pick = s
		}
	}
	return pick
}

// prefersCold reports whether a request had better go to one cold endpoint than to another: to the one
// with more tokens, but where both have some to the one that ranks first for its key. What
// it guards against: all sidecars sent what had a popular key to the first of all cold endpoints.
func (b *Balancer) prefersCold(r *request, s, than *server) bool {
	if b.set.WarmKeys && r.Key != "" && s.bucket.tokens >= 0 && than.bucket.tokens >= 0 {
		return keyRank(r.key, s) > keyRank(r.key, than)
	}
	return s.bucket.tokens > than.bucket.tokens
}

// charge takes the tokens of an attempt.
func (b *Balancer) charge(r *request, s *server) {
	if s.isCold(b.now, &b.set) {
		work := b.relativeWork(r)
		s.bucket.tokens -= work
		b.fleet.slowStart.all.tokens -= work
	}
}

// refillByAnswer adds what an answer earns.
func (b *Balancer) refillByAnswer(r *request, by *server) {
	work := b.provenWork(r)
	b.fleet.slowStart.answered += work
	b.fleet.slowStart.warmPart.add(indicator(!by.isCold(b.now, &b.set)), warmMemory)
	if by.isCold(b.now, &b.set) {
		all := &b.fleet.slowStart.all
		earned := math.Min(b.provenPart(), math.Max(1+growth-all.rate, 0)) * work
		by.bucket.tokens = math.Min(by.bucket.tokens+earned, endpointBurst)
		all.tokens = math.Min(all.tokens+earned, b.fleet.slowStart.burst(b.set.FleetSize))
	}
}

// othersHaveRoom reports whether endpoints that are warm answer, and next to all of them in time.
func (b *Balancer) othersHaveRoom() bool {
	return b.calm() && b.fleet.slowStart.warmPart.value >= fewWarm
}

// tellsOfRoom reports whether an answer of an endpoint tells that the fleet has room for more requests, or that it has
// none. A cold one that is held back answers in time, and what is admitted more goes to the others: it counts where
// there are next to no others, or none of them answers.
func (b *Balancer) tellsOfRoom(s *server) bool {
	start := &b.fleet.slowStart
	return !s.isCold(b.now, &b.set) || start.coldShare > mostlyCold || start.warmPart.value < fewWarm
}

// relativeWork is a request's work over the mean, as it is charged: by the costs that requests tell. Where it tells none its
// class's usual answer time stands for the work, which in an overload is short for a class that is answered soon or never:
// it counts as one at least.
func (b *Balancer) relativeWork(r *request) float64 {
	if r.Cost > 0 {
		return math.Min(math.Max(r.Cost/b.cost.value, leastWork), mostWork)
	}
	mean, its := b.meanTime(), b.expected(r)
	if mean <= 0 || its <= 0 {
		return 1
	}
	return math.Min(math.Max(its/mean, 1), mostWork)
}

// provenWork is the work over the mean that an answer proves to have been done.
func (b *Balancer) provenWork(r *request) float64 {
	if r.Cost <= 0 {
		return 1
	}
	return b.relativeWork(r)
}
