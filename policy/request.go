package policy

import (
	"cmp"
	"math"
	"time"

	"spokegw/internal/permit"
)

// RequestID identifies a request; it is never reused.
type RequestID uint32

// Request describes a client's request.
type Request struct {
	ID            RequestID
	Class, Tenant int
	Key           string              // empty: none
	TimeLeft      time.Duration       // until the client abandons this try
	UploadTime    time.Duration       // in which its body may arrive, part of TimeLeft
	Cost          float64             // expected seconds on a standard core; 0: unknown
	Guaranteed    bool                // by a contract: not refused in favour of others
	Eligible      func(Endpoint) bool // endpoints where the effect of an earlier request with its key, which may have run, is not duplicated; nil: any
}

// Result is how an attempt ended.
type Result uint8

const (
	Served         Result = iota
	Errored               // may have run
	Declined              // never ran
	NoAnswer              // may have run
	NoConnection          // never ran
	ConnectionLost        // may have run
	Cancelled             // may have run
	NotSent               // never ran
)

// NeverRan reports whether the result proves that the attempt did not run.
func (r Result) NeverRan() bool { return r == Declined || r == NoConnection || r == NotSent }

// Outcome reports the end of one attempt.
type Outcome struct {
	Request  RequestID
	Attempt  int
	Endpoint EndpointID
	Result   Result
	Complete bool // the request has its final answer
	Elapsed  time.Duration
}

const (
	dedupMargin       = 0.15 // fraction of the deduplication window that is left unused: a repeat takes time to arrive
	overdueRatio      = 0.7  // fraction of the latency target after which an open attempt counts as late
	silentFactor      = 2.0  // usual answer times of such a request after which its answer may never arrive; twice that without a hint
	retryAfterRatio   = 0.5  // fraction of the time left after which a refused client may retry, where all are refused
	minRetryTimeRatio = 0.8  // fraction of the usual answer time that must be left for another attempt
)

// attempt is one transmission of a request to a server.
type attempt struct {
	server                       *server
	zone, cell                   int           // of the server when it was sent
	sentAt, overdueAt            time.Duration // overdueAt: late if still open
	open, judgedLate, mayHaveRun bool          // judgedLate: counted as late when overdue; mayHaveRun: it ended without proof that it never ran
}

// request is an accepted request until it is answered and has no open attempt.
type request struct {
	Request
	arrivedAt                           time.Duration
	answered, streaming, awaitingProbes bool       // awaitingProbes: paused for the probes of pair
	pair                                [2]*server // drawn, while awaitingProbes
	attempts                            []attempt
	maxAttempts                         int     // by the settings in force at its arrival
	key                                 uint64  // hash of Key
	keyShare                            float64 // estimated share of the traffic
}

func (r *request) deadline() time.Duration { return r.arrivedAt + r.TimeLeft }

// numOpen counts the open attempts, numMayHaveRun those that may have run by now.
func (r *request) numOpen() int { return r.countAttempts(func(a *attempt) bool { return a.open }) }
func (r *request) numMayHaveRun() int {
	return r.countAttempts(func(a *attempt) bool { return a.open || a.mayHaveRun })
}

func (r *request) countAttempts(match func(*attempt) bool) (n int) {
	for i := range r.attempts {
		if match(&r.attempts[i]) {
			n++
		}
	}
	return n
}

// Request takes a request from a client.
func (b *Balancer) Request(now time.Duration, q Request) []Action {
	b.beginEvent(now)
	r := &request{Request: q, arrivedAt: now, maxAttempts: b.settings.MaxAttempts}
	b.requests[q.ID] = r
	b.arrivalGap.add((now - b.lastArrival).Seconds(), sampleWindow)
	b.lastArrival = now
	if q.Class < 0 || q.Class >= len(b.settings.Classes) || q.TimeLeft <= 0 {
		r.Class = 0 // there is at least one class
		b.refuseOrFail(r)
		return b.actions
	}
	if q.Cost > 0 {
		b.meanCost.add(q.Cost, sampleWindow)
	}
	if b.settings.WarmKeys && r.Key != "" {
		r.key = hashKey(r.Key)
		r.keyShare = b.keys.add(r.key)
	}
	if b.expectedTime(r) > q.TimeLeft.Seconds() && b.random() > minAdmitted || // some are attempted, or a wrong estimate stays
		!b.admit(r) || !b.startAttempt(r) {
		b.refuseOrFail(r)
	}
	return b.actions
}

// startAttempt sends the request to one of two drawn servers, or pauses it until both
// have been probed; it reports false when there is no server to send it to.
func (b *Balancer) startAttempt(r *request) bool {
	if !b.mayAttempt(r) {
		return false
	}
	b.refresh(r.Class)
	b.refillCold(r)
	permitted := func(s *server) bool { return b.maySend(r, s) && b.withinBudget(r, s) }
	untried := func(s *server) bool { return r.countAttempts(func(a *attempt) bool { return a.server == s }) == 0 }
	eligible := func(s *server) bool { return untried(s) && permitted(s) }
	// Half of the fleet may be silent to a class: a hedged attempt goes where the class was served.
	x, y := b.drawServers(r, func(s *server) bool {
		return eligible(s) && (len(r.attempts) > 0 || b.inSubset(s)) && (r.numMayHaveRun() == 0 || s.servedRecently(b.now, r.Class))
	})
	if x == nil || y == nil && len(r.attempts) == 0 { // the subset of a small fleet may hold fewer than two
		x, y = b.drawServers(r, eligible)
	}
	if x == nil && len(r.attempts) > 0 {
		x = b.fleet.drawOne(b.random, permitted)
	}
	if cold := b.preferredCold(r, eligible); cold != nil && (x == nil || cold.inFlight <= x.inFlight) {
		b.send(r, cold)
		return true
	}
	switch {
	case x == nil:
		return false
	case y == nil:
		b.send(r, x)
	case b.shouldProbe():
		b.awaitProbes(r, x, y)
	default:
		b.send(r, b.fleet.preferred(x, y, b.now, b.random))
	}
	return true
}

// drawServers draws two servers, by key where that pays off (a hot key among more servers). Where connections
// have a price, the client's own key takes its place; at low pressure, near servers are drawn first.
func (b *Balancer) drawServers(r *request, eligible func(*server) bool) (x, y *server) {
	key, candidates, tableSize := b.homeKey, b.settings.ConnIdleTimeout.Seconds()/math.Max(b.arrivalGap.value, 1e-3)/homeRequestsPerConn, float64(len(b.fleet.drawTable))
	if b.settings.WarmKeys && r.Key != "" {
		key, candidates = r.key, math.Ceil(keySpread*r.keyShare*tableSize)
	} else if b.settings.Prices.Connection <= 0 {
		return b.fleet.drawPair(b.random, b.lowPressure(), eligible)
	}
	candidates = math.Max(2, math.Min(candidates, tableSize))
	if b.fleet.crossingPriced && b.lowPressure() && len(r.attempts) < r.maxAttempts-1 {
		near := func(s *server) bool { return s.Zone == b.settings.Zone && eligible(s) }
		if x, y = b.fleet.drawPairByKey(key, int(candidates), b.random, near); y != nil {
			return x, y
		}
	}
	return b.fleet.drawPairByKey(key, int(candidates), b.random, eligible)
}

func (b *Balancer) send(r *request, s *server) {
	b.admission.retryTokens -= indicator(r.numMayHaveRun() > 0 && !b.settings.HostRetryBudget)
	s.inFlight++
	s.connectionUntil = b.now + b.settings.ConnIdleTimeout/2
	b.charge(r, s)
	overdueAfter := r.UploadTime + time.Duration(overdueRatio*float64(b.settings.Classes[r.Class].Aim))
	a := attempt{server: s, zone: s.Zone, cell: s.Cell, sentAt: b.now, overdueAt: b.now + overdueAfter, open: true}
	r.attempts = append(r.attempts, a)
	b.emit(Send{Request: r.ID, Endpoint: s.ID, Timeout: r.deadline() - b.now})
	if a.overdueAt < r.deadline() {
		b.emit(SetTimer{Token: Token{timerOverdue, r.ID}, Delay: a.overdueAt - b.now})
	}
}

// judgeOverdue counts open attempts that are overdue as late: in a burst their answers arrive too late to react to.
// It sends a hedged attempt if the wait is far beyond the request's work and those endpoints that answer do so in
// time: the endpoint may have become silent. Without a hint long work looks the same, so nothing is sent if the
// endpoint has served an attempt that was sent later. The cost: a request whose answer was lost then waits on.
func (b *Balancer) judgeOverdue(r *request) {
	hedge := b.admission.lateRatio <= lateRatioThreshold && b.admission.retryTokens >= 1
	for i := 0; r != nil && !r.streaming && i < len(r.attempts); i++ { // an answer that is streaming is on its way
		if a := &r.attempts[i]; a.open && !a.judgedLate && b.now >= a.overdueAt {
			a.judgedLate = true
			if b.indicatesCapacity(a.server) {
				b.admission.recordOutcome(b.now, true, a.server.healthFor(b.now, r.Class))
			}
			b.fleet.recordOutcome(a.server, r.Class, b.now, a.server.healthAfterLate(b.now, r.Class))
			hedge = hedge && (r.Cost > 0 || a.sentAt >= a.server.lastServedStart) && (b.now-a.sentAt).Seconds() > silentFactor*(2-indicator(r.Cost > 0))*b.expectedTime(r) &&
				(r.deadline()-b.now).Seconds() > minRetryTimeRatio*b.expectedTime(r) && b.startAttempt(r)
		}
	}
}

// mayAttempt reports whether the rules that concern no particular endpoint permit one more attempt.
func (b *Balancer) mayAttempt(r *request) bool {
	return !r.answered && !r.streaming && len(r.attempts) < r.maxAttempts && b.now < r.deadline() &&
		(b.settings.HedgedAttempts || r.numOpen() == 0) && (r.numMayHaveRun() == 0 || b.settings.Classes[r.Class].Effect != Unsafe)
}

// maySend reports whether the request may go to a server: repeats of a keyed one only where and while they are discarded.
func (b *Balancer) maySend(r *request, s *server) bool {
	c := &b.settings.Classes[r.Class]
	window := min(time.Duration(float64(c.DedupWindow)*(1-dedupMargin)), c.DedupWindow-permit.MaxStall)
	return (r.Eligible == nil || r.Eligible(s.Endpoint)) && r.countAttempts(func(a *attempt) bool {
		shared := c.Scope == ScopeAll || c.Scope == ScopeZone && a.zone == s.Zone || c.Scope == ScopeCell && a.cell == s.Cell
		return c.Effect == Keyed && (a.open || a.mayHaveRun) && (b.now-a.sentAt >= window || !shared)
	}) == 0
}

// mayRefuse reports whether a retry by the client is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	safe := func(c *Class) bool { return c.Effect == Idempotent || c.Effect == Keyed && c.Scope == ScopeAll }
	return r.numMayHaveRun() == 0 || safe(&b.settings.Classes[r.Class])
}

// refuseOrFail ends the request with a refusal where that is allowed, else with a failure. If a retry would be
// answered too late to be worth anything, RetryAfter is all the time left: clients that retried for such an answer
// took the capacity of others. The cost: retries that would have been in time.
func (b *Balancer) refuseOrFail(r *request) {
	if b.mayRefuse(r) {
		remaining, c := float64(r.deadline()-r.UploadTime-b.now), &b.settings.Classes[r.Class]
		retryAfter := math.Max(1-b.admission.level, minAdmitted) * retryAfterRatio * remaining
		if c.LateWorth <= 0 && retryAfter+b.expectedTime(r)*float64(time.Second) > float64(c.Aim) {
			retryAfter = remaining
		}
		b.emit(Refuse{r.ID, max(time.Duration(retryAfter), 0)})
	} else {
		b.emit(Fail{Request: r.ID})
	}
	b.conclude(r)
}

// conclude records the answer and cancels open attempts; the request is dropped once none is open.
func (b *Balancer) conclude(r *request) {
	if !r.answered && !r.streaming {
		b.cancelAttempts(r, -1)
	}
	r.answered, r.awaitingProbes = true, false
	if r.numOpen() == 0 {
		delete(b.requests, r.ID)
	}
}

// cancelAttempts cancels the open attempts, except for one.
func (b *Balancer) cancelAttempts(r *request, except int) {
	for i := range r.attempts {
		if i != except && r.attempts[i].open && b.settings.Cancel {
			b.emit(Cancel{Request: r.ID, Attempt: i})
		}
	}
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) []Action {
	b.beginEvent(now)
	r := b.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].open {
		return b.actions
	}
	a := &r.attempts[o.Attempt]
	a.open, a.mayHaveRun = false, !o.Result.NeverRan()
	a.server.inFlight--
	b.learn(r, a, o)
	switch {
	case o.Complete || r.answered:
		b.conclude(r)
	case r.numOpen() > 0 || r.awaitingProbes: // the other attempt may still be answered
	case (r.deadline()-b.now).Seconds() > minRetryTimeRatio*b.expectedTime(r) && (b.admission.retryTokens >= 1 || !a.mayHaveRun) && b.startAttempt(r):
	default:
		if !a.mayHaveRun && o.Result != NotSent { // one full server is not a full fleet
			b.admission.recordOutcome(b.now, true, 1)
		}
		b.refuseOrFail(r)
	}
	return b.actions
}

// work is the request's hinted work, or its class's mean without a hint.
func (b *Balancer) work(r *request) float64 {
	if r.Cost > 0 {
		return r.Cost
	}
	return cmp.Or(b.classTimes[r.Class].work.value, 1)
}

// expectedTime is the usual answer time of such a request in seconds; 0: unknown.
func (b *Balancer) expectedTime(r *request) float64 { return b.classTimes[r.Class].perWork * b.work(r) }

// learn updates the estimates with an outcome. A fast error is no speed sample, a timeout is a slow one.
func (b *Balancer) learn(r *request, a *attempt, o Outcome) {
	if o.Result == Cancelled || o.Result == NotSent {
		return
	}
	failed, healthBefore := o.Result != Served, a.server.healthFor(b.now, r.Class)
	late := failed || o.Elapsed > b.settings.Classes[r.Class].Aim
	b.fleet.servedRatio.value += (indicator(!failed) - b.fleet.servedRatio.value) * healthBefore * 3 / sampleWindow
	informative := b.indicatesCapacity(a.server)
	if informative {
		b.admission.recordAnswer(!failed, late)
	}
	if !a.judgedLate {
		retained := 1 - (1-healthAfterFailure)*indicator(failed)
		switch {
		case o.Result == Declined: // fast declines make an endpoint look idle
			retained = healthAfterDecline
		case late && (!failed || o.Result == NoAnswer):
			retained = a.server.healthAfterLate(b.now, r.Class)
		}
		b.fleet.recordOutcome(a.server, r.Class, b.now, retained)
		if informative && (!failed || o.Result == NoAnswer) {
			b.admission.recordOutcome(b.now, late, healthBefore)
		}
	}
	c, work := &b.classTimes[r.Class], b.work(r)
	perWork := o.Elapsed.Seconds() / work
	if !failed {
		b.refillOnAnswer(r, a.server)
	}
	if !failed && perWork > 0 {
		a.server.lastServedStart = max(a.server.lastServedStart, a.sentAt)
		c.add(perWork, work)
	}
	if c.perWork > 0 && (!failed || o.Result == NoAnswer && perWork > c.perWork) {
		b.fleet.kinds[a.server.Kind].addSample(r.Class, perWork/c.perWork, &b.fleet.cellSlowness[a.server.Cell&maxKind])
	}
}

// ClientDisconnected reports that the client has disconnected: the request is over and needs no answer.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) []Action {
	b.beginEvent(now)
	if r := b.requests[id]; r != nil {
		b.conclude(r)
	}
	return b.actions
}

// StreamStarted reports that an answer has begun: the request can't be sent elsewhere any more.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, attempt int) []Action {
	b.beginEvent(now)
	if r := b.requests[id]; r != nil {
		r.streaming, r.awaitingProbes = true, false
		b.cancelAttempts(r, attempt)
	}
	return b.actions
}

// AnswerStalled reports that an answer has begun and pauses. That attempt goes on, as its endpoint may be writing
// slowly; another one starts beside it where that is permitted. Without hedged attempts the request waits.
func (b *Balancer) AnswerStalled(now time.Duration, id RequestID, attempt int) []Action {
	b.beginEvent(now)
	r := b.requests[id]
	if r != nil && attempt >= 0 && attempt < len(r.attempts) && r.attempts[attempt].open && !r.awaitingProbes && r.numOpen() == 1 &&
		b.admission.retryTokens >= 1 && (r.deadline()-b.now).Seconds() > minRetryTimeRatio*b.expectedTime(r) {
		b.startAttempt(r)
	}
	return b.actions
}
