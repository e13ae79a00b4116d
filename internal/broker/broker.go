// Package broker enforces the contracts of teams with one service: which calls a team may make, at
// what rate, and which share of the service's capacity it is guaranteed while capacity is short.
// The package is pure: callers pass the time in and get verdicts back; there is no I/O, no clock
// and no goroutine.
//
// Rates are limited by the generic cell rate algorithm (gcra.go). Shares are enforced by a fluid
// model of weighted fair queueing (shares.go) over a capacity that is estimated from the answers
// (capacity.go). The state grows with the number of contracts only: all teams without a contract
// share one entry, and no field of a request creates another.
package broker

import (
	"math"
	"time"
)

// MaxClasses bounds the number of classes of a service.
const MaxClasses = 64

// Classes is a bit set of class indexes.
type Classes uint64

// Has reports whether the class is in the set.
func (c Classes) Has(class int) bool {
	return class >= 0 && class < MaxClasses && c&(1<<class) != 0
}

// AllClasses is the set of every class.
const AllClasses = Classes(math.MaxUint64)

// CallLimits permits requests of some classes, with limits over all of these classes together.
type CallLimits struct {
	Classes Classes
	Rate    float64 // requests per second, sustained; 0: no limit
	Burst   float64 // requests admitted at once; at least 1 if there is a rate
	Work    float64 // seconds of endpoint work per second, sustained; 0: no limit
	Shared  bool    // the limits are shared by many processes; this process has the fraction set by SetQuota
}

// Contract is the contract of one team with the service.
type Contract struct {
	Team  string
	Share float64 // of capacity, guaranteed while capacity is short; 0: only what others leave
	Calls []CallLimits
}

// Terms are the contracts of one service.
type Terms struct {
	Classes      int // number of classes of the service
	Contracts    []Contract
	Uncontracted *Contract // shared by all teams without a contract; nil: these are refused
}

// Verdict is the decision on a request.
type Verdict struct {
	Outcome    Outcome
	RetryAfter time.Duration // time until such a request would conform; set for OverRate and OverShare
	Guaranteed bool          // set for Admitted: capacity is short, and the request is within the team's share
}

// Outcome is the result of a verdict.
type Outcome uint8

const (
	Admitted   Outcome = iota
	NotAllowed         // the contract does not permit the call, or there is no contract
	OverRate           // over the request or work rate of the call
	OverShare          // capacity is short, and the team has used its share
)

const (
	// workBurst is the time over which an unused work limit accumulates.
	workBurst = time.Second
	// Retries and hedged attempts draw on a retry budget that requests earn, as in the decision
	// module, but each team has a budget of its own.
	retryPerRequest = 0.2
	retryBurst      = 5.0
	retrySeconds    = 0.1 // seconds of a team's rate: the cap on accumulated attempts where this exceeds retryBurst
	// minHintFraction is the fraction of a class's mean work that a request is charged at least,
	// so that a hint near zero does not evade the limits.
	minHintFraction = 0.02
	// defaultWork is the work, in seconds, charged for a request of a class without samples.
	defaultWork = 0.01
	// unhintedSamples is the number of answers that the work of a class without hints is learnt
	// from.
	unhintedSamples = 8
	workMemory      = 100.0 // requests that the mean work of a class averages over
)

// Broker is the state of one service's contracts. It is not safe for concurrent use.
type Broker struct {
	teams           map[string]*account
	uncontracted    *account // nil: refused
	shares          fairQueue
	capacity        capacity
	meanWork        []mean // mean work of a request by class, in seconds
	unhintedAnswers []int  // by class, answers that the work was learnt from in the absence of hints
	now             time.Duration
}

// account is the usage of one team.
type account struct {
	calls     []call
	tokens    float64 // retries and hedged attempts available
	maxTokens float64 // cap on tokens
	share     flow
	removed   bool // by a reload; open requests no longer affect the shares
}

type call struct {
	CallLimits
	requests, work gcra
	quota          quota
}

// Ticket identifies an admitted request.
type Ticket struct {
	account  *account
	call     *call
	class    int
	work     float64 // charged for each attempt
	admitted time.Duration
}

// currentCall returns the call that the ticket's charges are booked on: after a reload, the call
// that took the usage over. Charges and refunds are scaled by the limits the request was admitted
// under.
func (t *Ticket) currentCall() *call {
	if c := t.account.callFor(t.class); c != nil {
		return c
	}
	return t.call
}

// New returns a broker. The caller has validated the terms: shares are not negative and sum to at
// most 1, there are at most MaxClasses classes, and limits are positive.
func New(now time.Duration, t Terms) *Broker {
	b := &Broker{now: now, teams: map[string]*account{}, meanWork: make([]mean, t.Classes), unhintedAnswers: make([]int, t.Classes)}
	b.shares.lastUpdate, b.capacity = now, newCapacity(now, t.Classes)
	b.Replace(now, t)
	return b
}

// Replace puts other terms in force. Usage is kept, so that a reload does not release a burst:
// that of a team by its name, that of a call by its first class. Open tickets stay on the account
// they were admitted under.
func (b *Broker) Replace(now time.Duration, t Terms) {
	b.advance(now)
	b.growClasses(t.Classes)
	old, oldUncontracted := b.teams, b.uncontracted
	b.teams, b.uncontracted = make(map[string]*account, len(t.Contracts)), nil
	for i := range t.Contracts {
		name := t.Contracts[i].Team
		b.teams[name] = b.updateAccount(old[name], &t.Contracts[i])
		delete(old, name)
	}
	if t.Uncontracted != nil {
		b.uncontracted = b.updateAccount(oldUncontracted, t.Uncontracted)
	} else if oldUncontracted != nil {
		b.removeAccount(oldUncontracted)
	}
	for _, a := range old {
		b.removeAccount(a)
	}
}

// updateAccount returns the account for a contract, based on the team's previous account a, if
// any.
func (b *Broker) updateAccount(a *account, c *Contract) *account {
	if a == nil {
		a = &account{tokens: retryBurst, share: flow{index: notQueued}}
	}
	calls := make([]call, len(c.Calls))
	rate := 0.0
	for i := range c.Calls {
		calls[i].CallLimits = c.Calls[i]
		rate += c.Calls[i].Rate
		if before := a.callFor(firstClass(c.Calls[i].Classes)); before != nil {
			calls[i].requests, calls[i].work, calls[i].quota = before.requests, before.work, before.quota
		}
	}
	a.calls, a.maxTokens = calls, math.Max(retryBurst, retrySeconds*rate)
	a.tokens = math.Min(a.tokens, a.maxTokens)
	b.shares.setWeight(&a.share, c.Share)
	return a
}

// growClasses adds state for new classes.
func (b *Broker) growClasses(classes int) {
	for len(b.meanWork) < classes {
		b.meanWork, b.unhintedAnswers = append(b.meanWork, mean{}), append(b.unhintedAnswers, 0)
	}
	for len(b.capacity.classes) < classes {
		b.capacity.classes = append(b.capacity.classes, baseline{})
	}
}

func (b *Broker) removeAccount(a *account) {
	a.removed = true
	b.shares.remove(&a.share)
}

func firstClass(c Classes) int {
	for i := range MaxClasses {
		if c.Has(i) {
			return i
		}
	}
	return -1
}

// callFor returns the call that a class belongs to, or nil.
func (a *account) callFor(class int) *call {
	for i := range a.calls {
		if a.calls[i].Classes.Has(class) {
			return &a.calls[i]
		}
	}
	return nil
}

// advance brings the model to now. A time before the last one is ignored.
func (b *Broker) advance(now time.Duration) {
	b.now = max(now, b.now)
	b.shares.advance(b.now, b.capacity.admitRate())
}

// Allowed reports whether the contract of the team permits calls of the class.
func (b *Broker) Allowed(team string, class int) bool {
	a := b.account(team)
	return a != nil && a.callFor(class) != nil
}

func (b *Broker) account(team string) *account {
	if a := b.teams[team]; a != nil {
		return a
	}
	return b.uncontracted
}

// Admit decides on a request and, if it is admitted, charges its first attempt. hint is the
// announced work of the request in seconds; 0: unknown. Admit does not allocate, and its cost does
// not grow with the number of contracts.
func (b *Broker) Admit(now time.Duration, team string, class int, hint float64) (Ticket, Verdict) {
	b.advance(now)
	a := b.account(team)
	if a == nil {
		return Ticket{}, Verdict{Outcome: NotAllowed}
	}
	c := a.callFor(class)
	if c == nil {
		return Ticket{}, Verdict{Outcome: NotAllowed}
	}
	work := b.workFor(class, hint)
	if c.Shared {
		c.recordDemand(work)
		if !c.applyQuota(b.now) {
			return Ticket{}, Verdict{Outcome: OverRate, RetryAfter: noQuotaWait}
		}
	}
	requestLimit, workLimit := c.requestLimit(), c.workLimit()
	if wait := max(c.requests.wait(b.now, requestLimit, 1), c.work.wait(b.now, workLimit, work)); wait > 0 {
		if c.Shared { // the quota may grow before the current one admits another request
			wait = min(wait, noQuotaWait)
		}
		return Ticket{}, Verdict{Outcome: OverRate, RetryAfter: wait}
	}
	within := b.capacity.tight && b.shares.withinGuarantee(&a.share, b.capacity.guaranteedRate(), work)
	if wait := b.shareWait(a); wait > 0 && !within && !b.capacity.isIdle(b.now) {
		b.capacity.anyRefused = true
		return Ticket{}, Verdict{Outcome: OverShare, RetryAfter: wait}
	}
	c.requests.charge(b.now, requestLimit, 1)
	c.work.charge(b.now, workLimit, work)
	b.shares.charge(&a.share, b.capacity.admitRate(), work)
	b.capacity.attemptStarted(b.now, work)
	a.tokens = math.Min(a.tokens+retryPerRequest, a.maxTokens)
	return Ticket{account: a, call: c, class: class, work: work, admitted: b.now}, Verdict{Guaranteed: b.capacity.tight}
}

// learnWork estimates the work of a class without hints from the time of its first answers. It
// uses the minimum, as an answer may have waited, also for this process. The estimate is then
// fixed, because the capacity estimate is expressed in terms of it.
func (b *Broker) learnWork(class int, elapsed time.Duration) {
	m, answers := &b.meanWork[class], &b.unhintedAnswers[class]
	switch {
	case *answers == 0 && m.weight > 0 || *answers >= unhintedSamples: // hinted, restored or complete
		return
	case *answers == 0:
		m.add(elapsed.Seconds(), workMemory)
	case elapsed.Seconds() < m.value:
		m.value = elapsed.Seconds()
		b.capacity.classes[class] = baseline{}
	}
	*answers++
}

// shareWait returns how long a team has to wait for its share; 0: not at all.
func (b *Broker) shareWait(a *account) time.Duration {
	if !b.capacity.tight || a.removed {
		return 0
	}
	return b.shares.wait(&a.share, b.capacity.admitRate())
}

func (c *call) requestLimit() limit { return c.requestLimitAt(c.fraction()) }
func (c *call) workLimit() limit    { return c.workLimitAt(c.fraction()) }

// workFor returns the work charged for a request, and learns from its hint.
func (b *Broker) workFor(class int, hint float64) float64 {
	m := &b.meanWork[class]
	if hint > 0 && !math.IsInf(hint, 0) {
		if b.unhintedAnswers[class] > 0 { // discards the estimate made without hints
			*m, b.unhintedAnswers[class] = mean{}, 0
		}
		m.add(hint, workMemory)
		return math.Max(hint, minHintFraction*m.value)
	}
	if m.weight > 0 {
		return m.value
	}
	return defaultWork
}

// AdmitRetry decides on a further attempt of a request, a retry or a hedged one, and charges it to
// the team of the request. It reports false if the team has no attempts left in its retry budget,
// or if capacity is short and the team has used its share.
func (b *Broker) AdmitRetry(now time.Duration, t *Ticket) bool {
	b.advance(now)
	a := t.account
	if a.tokens < 1 || b.shareWait(a) > 0 {
		return false
	}
	a.tokens--
	t.currentCall().work.charge(b.now, t.call.workLimit(), t.work)
	if !a.removed {
		b.shares.charge(&a.share, b.capacity.admitRate(), t.work)
	}
	b.capacity.attemptStarted(b.now, t.work)
	return true
}

// AttemptResult is how an attempt ended.
type AttemptResult uint8

const (
	Answered AttemptResult = iota // answered, in time or not
	TimedOut                      // may have run; its timeout expired
	Failed                        // may have run; no information on load
	Declined                      // did not run: the endpoint is at capacity
	NotRun                        // did not run; no information on load
)

// ProcessStalled records that this process got no processor time for a while, up to now. Answers
// that arrived meanwhile are read late, which is no evidence of load at the service.
func (b *Broker) ProcessStalled(now time.Duration) {
	b.advance(now)
	b.capacity.processStalled(b.now)
}

// AttemptEnded records the end of an attempt charged by Admit or AdmitRetry. retry is false for
// the first attempt of the request. The charge for an attempt that did not run is refunded.
func (b *Broker) AttemptEnded(now time.Duration, t *Ticket, retry bool, e AttemptResult, elapsed, target time.Duration) {
	b.advance(now)
	if e == Answered && t.admitted > b.capacity.stalledAt {
		b.learnWork(t.class, elapsed)
	}
	if e == Declined || e == NotRun {
		b.refund(t, retry)
	}
	noQueue := b.capacity.attemptEnded(b.now, t, e, elapsed, target)
	switch {
	case noQueue && b.capacity.tight: // there is no queue at the service that a team would have to wait for
		b.shares.capBacklogs(b.capacity.admitRate())
	case noQueue:
		b.shares.reset()
	}
}

func (b *Broker) refund(t *Ticket, retry bool) {
	if retry {
		t.account.tokens = math.Min(t.account.tokens+1, t.account.maxTokens)
	}
	t.currentCall().work.charge(b.now, t.call.workLimit(), -t.work)
	if !t.account.removed {
		b.shares.refund(&t.account.share, t.work)
	}
}

// Withdraw undoes the admission of a request of which no attempt was made. received reports that
// the request arrived completely; it then still counts against the request rate.
func (b *Broker) Withdraw(now time.Duration, t *Ticket, received bool) {
	b.AttemptEnded(now, t, false, NotRun, 0, 0)
	if !received {
		t.currentCall().requests.charge(b.now, t.call.requestLimit(), -1)
	}
}

// Cause is why capacity is considered short.
type Cause uint8

const (
	Queued         Cause = iota // answers were delayed, including those to requests sent after the first delayed answer
	ExcessInFlight              // more work is in flight than can be answered in time
	HandedOver                  // reported by the previous process
)

// String returns the cause as it appears in the log.
func (c Cause) String() string {
	return [...]string{"answers waited", "work out", "handed over"}[min(c, HandedOver)]
}

// Shortage describes a state in which capacity is short.
type Shortage struct {
	Cause           Cause
	Estimate        float64       // capacity in seconds of work per second
	AdmitRate       float64       // rate admitted for now: less than Estimate while a queue drains
	InFlight        int           // number of attempts
	InFlightWork    float64       // their work in seconds
	WorkBeforeStall float64       // the part of InFlightWork sent before the last process stall
	BaseLatency     time.Duration // of an answer that does not queue
}

// Shortage returns the current shortage; false: capacity suffices.
func (b *Broker) Shortage() (Shortage, bool) {
	c := &b.capacity
	if !c.tight {
		return Shortage{}, false
	}
	return Shortage{
		Cause: c.cause, Estimate: c.estimate, AdmitRate: c.admitRate(), InFlight: int(c.inFlight), InFlightWork: c.inFlightWork, WorkBeforeStall: c.beforeStall.work,
		BaseLatency: seconds(c.baseLatency.value),
	}, true
}

// mean is a moving mean: once weight reaches memory, each sample weighs 1/memory.
type mean struct{ value, weight float64 }

func (m *mean) add(x, memory float64) {
	m.weight = math.Min(m.weight+1, memory)
	m.value += (x - m.value) / m.weight
}

// addWeighted adds a sample with the weight n.
func (m *mean) addWeighted(x, n, memory float64) {
	m.weight = math.Min(m.weight+n, memory)
	m.value += (x - m.value) * math.Min(n/m.weight, 1)
}
