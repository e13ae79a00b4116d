package policy

import (
	"cmp"
	"math"
	"time"

	"spokegw/internal/permit"
)

// RequestID names a request; it is never used twice.
type RequestID uint32

// Request is what the instance is told of a client's request.
type Request struct {
	ID            RequestID
	Class, Tenant int
	Key           string              // empty: none
	TimeLeft      time.Duration       // until the client gives this try up
	UploadTime    time.Duration       // that its body may take to come, of TimeLeft
	Cost          float64             // expected seconds on a standard core; 0: not told
	Guaranteed    bool                // by a contract: not turned away for the sake of others
	Eligible      func(Endpoint) bool // where its key's effect may not be doubled, of which an earlier request may have run; nil: anywhere
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
	dedupMargin = 0.15 // part of a key's window left unused: a resend has a way to go
	overduePart = 0.7  // of the aim, after which an attempt still out counts as late
	silentAfter = 2.0  // usual answer times of such a request after which its answer may never come; twice that without a hint
	comeBack    = 0.5  // of the time left, after which a refused client may try again where all are refused
	retryNeeds  = 0.8  // part of the usual answer time that has to be left for another attempt
)

// attempt is one sending of a request.
type attempt struct {
	server          *server
	zone, cell      int           // of the server when it was sent
	sent, due       time.Duration // due: late if still out
	open, late, ran bool          // late: judged when overdue; ran: it ended without proof that it never ran
}

// request is an accepted request until it is answered and nothing of it is out.
type request struct {
	Request
	arrived                  time.Duration
	answered, streamed, held bool       // held: it waits for the probes of pair
	pair                     [2]*server // drawn, while held
	attempts                 []attempt
	most                     int     // attempts, by the settings that it came under
	key                      uint64  // hash of Key
	keyShare                 float64 // estimated part of the traffic
}

func (r *request) deadline() time.Duration { return r.arrived + r.TimeLeft }

// open counts the attempts that are out, ran those that may have run by now.
func (r *request) open() int { return r.count(func(a *attempt) bool { return a.open }) }
func (r *request) ran() int  { return r.count(func(a *attempt) bool { return a.open || a.ran }) }

func (r *request) count(is func(*attempt) bool) (n int) {
	for i := range r.attempts {
		if is(&r.attempts[i]) {
			n++
		}
	}
	return n
}

// Request takes a request from a client.
func (b *Balancer) Request(now time.Duration, q Request) []Action {
	b.begin(now)
	r := &request{Request: q, arrived: now, most: b.set.MaxAttempts}
	b.requests[q.ID] = r
	b.gap.add((now - b.lastIn).Seconds(), sampleMemory)
	b.lastIn = now
	if q.Class < 0 || q.Class >= len(b.set.Classes) || q.TimeLeft <= 0 {
		r.Class = 0 // there is one
		b.finish(r)
		return b.actions
	}
	if q.Cost > 0 {
		b.cost.add(q.Cost, sampleMemory)
	}
	if b.set.WarmKeys && r.Key != "" {
		r.key = hashKey(r.Key)
		r.keyShare = b.keys.add(r.key)
	}
	if b.expected(r) > q.TimeLeft.Seconds() && b.random() > leastAdmitted || // some go, or a wrong estimate stays
		!b.admit(r) || !b.attempt(r) {
		b.finish(r)
	}
	return b.actions
}

// attempt sends the request to one of two drawn servers, or holds it until
// both have been probed; it reports false when there is no server to go to.
func (b *Balancer) attempt(r *request) bool {
	if !b.mayAttempt(r) {
		return false
	}
	b.refresh(r.Class)
	b.refillCold(r)
	ok := func(s *server) bool { return b.maySend(r, s) && b.withinBudget(r, s) }
	isNew := func(s *server) bool { return r.count(func(a *attempt) bool { return a.server == s }) == 0 }
	other := func(s *server) bool { return isNew(s) && ok(s) }
	// Failure answered: half of the fleet is silent to a class. A second copy goes where one was served.
	x, y := b.draw(r, func(s *server) bool {
		return other(s) && (len(r.attempts) > 0 || b.keepsTo(s)) && (r.ran() == 0 || s.proven(b.now, r.Class))
	})
	if x == nil || y == nil && len(r.attempts) == 0 { // a part of few endpoints may hold less than two
		x, y = b.draw(r, other)
	}
	if x == nil && len(r.attempts) > 0 {
		x = b.fleet.scan(b.random, ok)
	}
	if cold := b.preferredCold(r, other); cold != nil && (x == nil || cold.inFlight <= x.inFlight) {
		b.send(r, cold)
		return true
	}
	switch {
	case x == nil:
		return false
	case y == nil:
		b.send(r, x)
	case b.probesPay():
		b.hold(r, x, y)
	default:
		b.send(r, b.fleet.better(x, y, b.now, b.random))
	}
	return true
}

// draw draws two servers, by key where that pays (a hot one among more). Where
// connections are priced the client's own stands in; a calm client starts near.
func (b *Balancer) draw(r *request, ok func(*server) bool) (x, y *server) {
	key, want, n := b.home, b.set.ConnIdleTimeout.Seconds()/math.Max(b.gap.value, 1e-3)/homeReuse, float64(len(b.fleet.table))
	if b.set.WarmKeys && r.Key != "" {
		key, want = r.key, math.Ceil(keySpread*r.keyShare*n)
	} else if b.set.Prices.Connection <= 0 {
		return b.fleet.choose(b.random, b.calm(), ok)
	}
	want = math.Max(2, math.Min(want, n))
	if b.fleet.crossing && b.calm() && len(r.attempts) < r.most-1 {
		near := func(s *server) bool { return s.Zone == b.set.Zone && ok(s) }
		if x, y = b.fleet.chooseByKey(key, int(want), b.random, near); y != nil {
			return x, y
		}
	}
	return b.fleet.chooseByKey(key, int(want), b.random, ok)
}

func (b *Balancer) send(r *request, s *server) {
	b.adm.retries -= indicator(r.ran() > 0 && !b.set.HostRetryBudget)
	s.inFlight++
	s.kept = b.now + b.set.ConnIdleTimeout/2
	b.charge(r, s)
	patience := r.UploadTime + time.Duration(overduePart*float64(b.set.Classes[r.Class].Aim))
	a := attempt{server: s, zone: s.Zone, cell: s.Cell, sent: b.now, due: b.now + patience, open: true}
	r.attempts = append(r.attempts, a)
	b.do(Send{Request: r.ID, Endpoint: s.ID, Timeout: r.deadline() - b.now})
	if a.due < r.deadline() {
		b.do(SetTimer{Token: Token{timerLate, r.ID}, Delay: a.due - b.now})
	}
}

// overdue judges attempts still out: in a burst answers tell too late. Failure answered: an endpoint
// fell silent, so what is far beyond its work is sent again, while those that answer do so in time.
// Without a hint long work looks the same, but what was sent later is answered. Harm: a lost answer.
func (b *Balancer) overdue(r *request) {
	again := b.adm.tardy <= tardyFree && b.adm.retries >= 1
	for i := 0; r != nil && !r.streamed && i < len(r.attempts); i++ { // what streams is on its way
		if a := &r.attempts[i]; a.open && !a.late && b.now >= a.due {
			a.late = true
			if b.tellsOfRoom(a.server) {
				b.adm.outcome(b.now, true, a.server.healthAt(b.now, r.Class))
			}
			b.fleet.observe(a.server, r.Class, b.now, a.server.lateKeeps(b.now, r.Class))
			again = again && (r.Cost > 0 || a.sent >= a.server.through) && (b.now-a.sent).Seconds() > silentAfter*(2-indicator(r.Cost > 0))*b.expected(r) &&
				(r.deadline()-b.now).Seconds() > retryNeeds*b.expected(r) && b.attempt(r)
		}
	}
}

// mayAttempt holds the rules on one more attempt, wherever it goes.
func (b *Balancer) mayAttempt(r *request) bool {
	return !r.answered && !r.streamed && len(r.attempts) < r.most && b.now < r.deadline() &&
		(b.set.HedgedAttempts || r.open() == 0) && (r.ran() == 0 || b.set.Classes[r.Class].Effect != Unsafe)
}

// maySend holds the rule on keyed repeats: only where and while they are discarded.
func (b *Balancer) maySend(r *request, s *server) bool {
	c := &b.set.Classes[r.Class]
	window := min(time.Duration(float64(c.DedupWindow)*(1-dedupMargin)), c.DedupWindow-permit.MaxStall)
	return (r.Eligible == nil || r.Eligible(s.Endpoint)) && r.count(func(a *attempt) bool {
		shared := c.Scope == ScopeAll || c.Scope == ScopeZone && a.zone == s.Zone || c.Scope == ScopeCell && a.cell == s.Cell
		return c.Effect == Keyed && (a.open || a.ran) && (b.now-a.sent >= window || !shared)
	}) == 0
}

// mayRefuse reports whether the client may be told that a retry is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	safe := func(c *Class) bool { return c.Effect == Idempotent || c.Effect == Keyed && c.Scope == ScopeAll }
	return r.ran() == 0 || safe(&b.set.Classes[r.Class])
}

// finish answers with a refusal where that is legal, else with a failure. Failure answered: who came
// back for a late answer that is worth nothing took the place of others. Harm: one that was in time.
func (b *Balancer) finish(r *request) {
	if b.mayRefuse(r) {
		left, c := float64(r.deadline()-r.UploadTime-b.now), &b.set.Classes[r.Class]
		after := math.Max(1-b.adm.level, leastAdmitted) * comeBack * left
		if c.LateWorth <= 0 && after+b.expected(r)*float64(time.Second) > float64(c.Aim) {
			after = left
		}
		b.do(Refuse{r.ID, max(time.Duration(after), 0)})
	} else {
		b.do(Fail{Request: r.ID})
	}
	b.conclude(r)
}

// conclude notes the answer: what is out is called off, then all is forgotten.
func (b *Balancer) conclude(r *request) {
	if !r.answered && !r.streamed {
		b.callOff(r, -1)
	}
	r.answered, r.held = true, false
	if r.open() == 0 {
		delete(b.requests, r.ID)
	}
}

// callOff cancels the attempts that are out, but for one.
func (b *Balancer) callOff(r *request, except int) {
	for i := range r.attempts {
		if i != except && r.attempts[i].open && b.set.Cancel {
			b.do(Cancel{Request: r.ID, Attempt: i})
		}
	}
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) []Action {
	b.begin(now)
	r := b.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].open {
		return b.actions
	}
	a := &r.attempts[o.Attempt]
	a.open, a.ran = false, !o.Result.NeverRan()
	a.server.inFlight--
	b.learn(r, a, o)
	switch {
	case o.Complete || r.answered:
		b.conclude(r)
	case r.open() > 0 || r.held: // the other copy may still answer
	case (r.deadline()-b.now).Seconds() > retryNeeds*b.expected(r) && (b.adm.retries >= 1 || !a.ran) && b.attempt(r):
	default:
		if !a.ran && o.Result != NotSent { // failure answered: one full server is not a full fleet
			b.adm.outcome(b.now, true, 1)
		}
		b.finish(r)
	}
	return b.actions
}

// work is the request's hinted work, or what stands for it without a hint.
func (b *Balancer) work(r *request) float64 {
	if r.Cost > 0 {
		return r.Cost
	}
	return cmp.Or(b.times[r.Class].work.value, 1)
}

// expected is the usual answer time of such a request in seconds; 0: unknown.
func (b *Balancer) expected(r *request) float64 { return b.times[r.Class].per * b.work(r) }

// learn takes an outcome. A quick error is no speed sample, a time-out a slow one.
func (b *Balancer) learn(r *request, a *attempt, o Outcome) {
	if o.Result == Cancelled || o.Result == NotSent {
		return
	}
	failed, was := o.Result != Served, a.server.healthAt(b.now, r.Class)
	late := failed || o.Elapsed > b.set.Classes[r.Class].Aim
	b.fleet.served.value += (indicator(!failed) - b.fleet.served.value) * was * 3 / sampleMemory
	tells := b.tellsOfRoom(a.server)
	if tells {
		b.adm.answered(!failed, late)
	}
	if !a.late {
		keeps := 1 - (1-failureKeeps)*indicator(failed)
		switch {
		case o.Result == Declined: // Failure answered: quick refusals make an endpoint look idle.
			keeps = declineKeeps
		case late && (!failed || o.Result == NoAnswer):
			keeps = a.server.lateKeeps(b.now, r.Class)
		}
		b.fleet.observe(a.server, r.Class, b.now, keeps)
		if tells && (!failed || o.Result == NoAnswer) {
			b.adm.outcome(b.now, late, was)
		}
	}
	c, work := &b.times[r.Class], b.work(r)
	per := o.Elapsed.Seconds() / work
	if !failed {
		b.refillByAnswer(r, a.server)
	}
	if !failed && per > 0 {
		a.server.through = max(a.server.through, a.sent)
		c.add(per, work)
	}
	if c.per > 0 && (!failed || o.Result == NoAnswer && per > c.per) {
		b.fleet.kinds[a.server.Kind].sample(r.Class, per/c.per, &b.fleet.cells[a.server.Cell&maxKind])
	}
}

// ClientDisconnected tells that the client left: the request is over and owed nothing.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) []Action {
	b.begin(now)
	if r := b.requests[id]; r != nil {
		b.conclude(r)
	}
	return b.actions
}

// StreamStarted tells that an answer has begun: it can't be sent elsewhere now.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, n int) []Action {
	b.begin(now)
	if r := b.requests[id]; r != nil {
		r.streamed, r.held = true, false
		b.callOff(r, n)
	}
	return b.actions
}
