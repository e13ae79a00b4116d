// Package broker holds teams to their contracts with one service: which calls
// they may make, at what rate, and which share of the service's capacity they
// are owed while there is too little of it. It is pure: time comes in with the
// calls and verdicts go out; there is no I/O, no clock and no goroutine.
//
// Rates are kept by the generic cell rate algorithm (gcra.go). Shares are kept
// by a fluid model of weighted fair queueing (shares.go) over a capacity that
// is learnt from how answers come (capacity.go). Its state is as large as the
// contracts: strangers share one entry, and nothing in a request makes another.
package broker

import (
	"math"
	"time"
)

// MaxClasses bounds the classes of a service.
const MaxClasses = 64

// Classes is a set of classes, by their positions.
type Classes uint64

// Has reports whether the class is in the set.
func (c Classes) Has(class int) bool {
	return class >= 0 && class < MaxClasses && c&(1<<class) != 0
}

// AllClasses is the set of every class.
const AllClasses = Classes(math.MaxUint64)

// CallLimits is what a team may ask of a service: some classes, with limits over all
// of them together.
type CallLimits struct {
	Classes Classes
	Rate    float64 // requests a second, sustained; 0: no limit
	Burst   float64 // requests that may come at once; at least 1 where there is a rate
	Work    float64 // seconds of endpoint work a second, sustained; 0: no limit
	Shared  bool    // the limits are of many processes together, and this one has what SetQuota says
}

// Contract is between one team and the service.
type Contract struct {
	Team  string
	Share float64 // of capacity, owed while there is too little of it; 0: what is left over
	Calls []CallLimits
}

// Terms are the contracts of one service.
type Terms struct {
	Classes      int // how many the service has
	Contracts    []Contract
	Uncontracted *Contract // of all that have no contract, together; nil: they are turned away
}

// Verdict is what becomes of a request.
type Verdict struct {
	Outcome    Outcome
	RetryAfter time.Duration // when the next such request would conform; of OverRate and OverShare
	Guaranteed bool          // of Admitted: there is too little for all, and this is of the team's part
}

// Outcome is the kind of a verdict.
type Outcome uint8

const (
	Admitted   Outcome = iota
	NotAllowed         // the contract has no such call, or there is none
	OverRate           // of the call, in requests or work
	OverShare          // the service is short of capacity, and the team has had its part
)

const (
	// workBurst is how long a limit on work may be saved up for.
	workBurst = time.Second
	// Retries and second copies are earned by requests, as the decision module
	// has them, but by each team for itself.
	retryPerRequest = 0.2
	retryBurst      = 5.0
	retrySeconds    = 0.1 // of a team's rate, saved up at most, where that is more
	// leastHint is the part of a class's mean work that a request is charged at
	// least, against hints that say nothing is asked for.
	leastHint = 0.02
	// unknownWork is what a request is charged, in seconds, before anything is known.
	unknownWork = 0.01
	// firstAnswers are those that the work of a class is learnt from until there are hints.
	firstAnswers = 8
	workMemory   = 100.0 // requests that the mean work of a class looks back over
)

// Broker is the state of one service's contracts. It is for one goroutine.
type Broker struct {
	teams     map[string]*account
	strangers *account // nil: turned away
	shares    shares
	capacity  capacity
	work      []mean // by class, in seconds
	unhinted  []int  // answers that it has been learnt from for want of hints, by class
	now       time.Duration
}

// account is one team's standing.
type account struct {
	calls   []call
	tokens  float64 // attempts beyond the first that may be made
	most    float64 // that may be saved up
	share   member
	removed bool // by a reload: what is still open changes nothing
}

type call struct {
	CallLimits
	requests, work gcra
	part           part
}

// Ticket stands for an admitted request.
type Ticket struct {
	account  *account
	call     *call
	class    int
	work     float64 // charged for each attempt
	admitted time.Duration
}

// standing is the call that the ticket's charges stand at: where contracts have
// been replaced since, the one that has taken them over. What is charged or given
// back is counted by the limits that it was admitted by.
func (t *Ticket) standing() *call {
	if c := t.account.find(t.class); c != nil {
		return c
	}
	return t.call
}

// New makes a broker. The terms have been checked: shares are not negative and
// sum to at most 1, classes are at most MaxClasses, limits are positive.
func New(now time.Duration, t Terms) *Broker {
	b := &Broker{now: now, teams: map[string]*account{}, work: make([]mean, t.Classes), unhinted: make([]int, t.Classes)}
	b.shares.last, b.capacity = now, newCapacity(now, t.Classes)
	b.Replace(now, t)
	return b
}

// Replace puts other terms in force. What teams have used up stays used up, so
// that a reload lets out no burst: the standing of a team goes by its name, that
// of a call by its first class. Tickets go on under the account they were
// admitted by.
func (b *Broker) Replace(now time.Duration, t Terms) {
	b.advance(now)
	b.grow(t.Classes)
	old, oldStrangers := b.teams, b.strangers
	b.teams, b.strangers = make(map[string]*account, len(t.Contracts)), nil
	for i := range t.Contracts {
		name := t.Contracts[i].Team
		b.teams[name] = b.take(old[name], &t.Contracts[i])
		delete(old, name)
	}
	if t.Uncontracted != nil {
		b.strangers = b.take(oldStrangers, t.Uncontracted)
	} else if oldStrangers != nil {
		b.drop(oldStrangers)
	}
	for _, a := range old {
		b.drop(a)
	}
}

// take makes the account of a contract, from that which the team had.
func (b *Broker) take(a *account, c *Contract) *account {
	if a == nil {
		a = &account{tokens: retryBurst, share: member{index: idle}}
	}
	calls := make([]call, len(c.Calls))
	rate := 0.0
	for i := range c.Calls {
		calls[i].CallLimits = c.Calls[i]
		rate += c.Calls[i].Rate
		if before := a.find(firstClass(c.Calls[i].Classes)); before != nil {
			calls[i].requests, calls[i].work, calls[i].part = before.requests, before.work, before.part
		}
	}
	a.calls, a.most = calls, math.Max(retryBurst, retrySeconds*rate)
	a.tokens = math.Min(a.tokens, a.most)
	b.shares.weigh(&a.share, c.Share)
	return a
}

// grow makes room for classes that have come.
func (b *Broker) grow(classes int) {
	for len(b.work) < classes {
		b.work, b.unhinted = append(b.work, mean{}), append(b.unhinted, 0)
	}
	for len(b.capacity.classes) < classes {
		b.capacity.classes = append(b.capacity.classes, usual{})
	}
}

func (b *Broker) drop(a *account) {
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

// find is the call that a class belongs to; nil where there is none.
func (a *account) find(class int) *call {
	for i := range a.calls {
		if a.calls[i].Classes.Has(class) {
			return &a.calls[i]
		}
	}
	return nil
}

// advance brings the model to now. Time that runs backwards stands still.
func (b *Broker) advance(now time.Duration) {
	b.now = max(now, b.now)
	b.shares.advance(b.now, b.capacity.rate())
}

// Allowed reports whether the team may make calls of the class at all.
func (b *Broker) Allowed(team string, class int) bool {
	a := b.account(team)
	return a != nil && a.find(class) != nil
}

func (b *Broker) account(team string) *account {
	if a := b.teams[team]; a != nil {
		return a
	}
	return b.strangers
}

// Admit judges a request and, if it is admitted, charges its first attempt.
// hint is the seconds of endpoint work that it is said to need; 0: not told. It
// allocates nothing, and takes as long with one contract as with thousands.
func (b *Broker) Admit(now time.Duration, team string, class int, hint float64) (Ticket, Verdict) {
	b.advance(now)
	a := b.account(team)
	if a == nil {
		return Ticket{}, Verdict{Outcome: NotAllowed}
	}
	c := a.find(class)
	if c == nil {
		return Ticket{}, Verdict{Outcome: NotAllowed}
	}
	work := b.charge(class, hint)
	if c.Shared {
		c.ask(work)
		if !c.settle(b.now) {
			return Ticket{}, Verdict{Outcome: OverRate, RetryAfter: noPartWait}
		}
	}
	requests, perWork := c.requestLimit(), c.workLimit()
	if wait := max(c.requests.wait(b.now, requests, 1), c.work.wait(b.now, perWork, work)); wait > 0 {
		if c.Shared { // a larger part may be here sooner than this one lets another in
			wait = min(wait, noPartWait)
		}
		return Ticket{}, Verdict{Outcome: OverRate, RetryAfter: wait}
	}
	within := b.capacity.tight && b.shares.asks(&a.share, b.capacity.owedRate(), work)
	if wait := b.overShare(a); wait > 0 && !within && !b.capacity.idle(b.now) {
		b.capacity.refused = true
		return Ticket{}, Verdict{Outcome: OverShare, RetryAfter: wait}
	}
	c.requests.charge(b.now, requests, 1)
	c.work.charge(b.now, perWork, work)
	b.shares.charge(&a.share, b.capacity.rate(), work)
	b.capacity.begun(b.now, work)
	a.tokens = math.Min(a.tokens+retryPerRequest, a.most)
	return Ticket{account: a, call: c, class: class, work: work, admitted: b.now}, Verdict{Guaranteed: b.capacity.tight}
}

// learn takes what an answer took for the work of a class without hints: better than
// nothing. The least of the first answers counts, as one of them may have waited, also for
// this process; it stays then, so that what was learnt of the capacity by it stays true.
func (b *Broker) learn(class int, elapsed time.Duration) {
	m, answers := &b.work[class], &b.unhinted[class]
	switch {
	case *answers == 0 && m.weight > 0 || *answers >= firstAnswers: // hinted, taken over or known
		return
	case *answers == 0:
		m.add(elapsed.Seconds(), workMemory)
	case elapsed.Seconds() < m.value:
		m.value = elapsed.Seconds()
		b.capacity.classes[class] = usual{}
	}
	*answers++
}

// overShare is how long a team has to wait for its share; 0: it does not.
func (b *Broker) overShare(a *account) time.Duration {
	if !b.capacity.tight || a.removed {
		return 0
	}
	return b.shares.wait(&a.share, b.capacity.rate())
}

func (c *call) requestLimit() limit { return c.requestsOf(c.fraction()) }
func (c *call) workLimit() limit    { return c.workOf(c.fraction()) }

// charge is the work that a request is charged, and learns from its hint.
func (b *Broker) charge(class int, hint float64) float64 {
	m := &b.work[class]
	if hint > 0 && !math.IsInf(hint, 0) {
		if b.unhinted[class] > 0 { // what was learnt without
			*m, b.unhinted[class] = mean{}, 0
		}
		m.add(hint, workMemory)
		return math.Max(hint, leastHint*m.value)
	}
	if m.weight > 0 {
		return m.value
	}
	return unknownWork
}

// AdmitRetry judges one more attempt of a request, a retry or a second copy, and
// charges it to the team that caused it. It reports false where that team has
// no attempts left, or has had its share while there is too little.
func (b *Broker) AdmitRetry(now time.Duration, t *Ticket) bool {
	b.advance(now)
	a := t.account
	if a.tokens < 1 || b.overShare(a) > 0 {
		return false
	}
	a.tokens--
	t.standing().work.charge(b.now, t.call.workLimit(), t.work)
	if !a.removed {
		b.shares.charge(&a.share, b.capacity.rate(), t.work)
	}
	b.capacity.begun(b.now, t.work)
	return true
}

// AttemptResult is how an attempt ended.
type AttemptResult uint8

const (
	Answered AttemptResult = iota // in whatever time
	TimedOut                      // it may have run, and its time was up
	Failed                        // it may have run, and tells nothing of load
	Declined                      // it never ran: the endpoint is full
	NotRun                        // it never ran, and tells nothing of load
)

// ProcessStalled takes that this process has had no processor for a while, up to now: what came
// and was answered meanwhile is told late, and tells nothing of the service.
func (b *Broker) ProcessStalled(now time.Duration) {
	b.advance(now)
	b.capacity.hold(b.now)
}

// AttemptEnded takes the end of an attempt that Admit or AdmitRetry has charged. again
// tells that it was not the request's first. What never ran is given back.
func (b *Broker) AttemptEnded(now time.Duration, t *Ticket, again bool, e AttemptResult, elapsed, aim time.Duration) {
	b.advance(now)
	if e == Answered && t.admitted > b.capacity.heldUp {
		b.learn(t.class, elapsed)
	}
	if e == Declined || e == NotRun {
		b.giveBack(t, again)
	}
	empty := b.capacity.ended(b.now, t, e, elapsed, aim)
	switch {
	case empty && b.capacity.tight: // nobody has to wait for a queue that is not there
		b.shares.forgive(b.capacity.rate())
	case empty:
		b.shares.clear()
	}
}

func (b *Broker) giveBack(t *Ticket, again bool) {
	if again {
		t.account.tokens = math.Min(t.account.tokens+1, t.account.most)
	}
	t.standing().work.charge(b.now, t.call.workLimit(), -t.work)
	if !t.account.removed {
		b.shares.refund(&t.account.share, t.work)
	}
}

// Withdraw takes a request back that was admitted and of which no attempt was
// made. asked tells that it did come whole, and counts as asked.
func (b *Broker) Withdraw(now time.Duration, t *Ticket, asked bool) {
	b.AttemptEnded(now, t, false, NotRun, 0, 0)
	if !asked {
		t.standing().requests.charge(b.now, t.call.requestLimit(), -1)
	}
}

// Cause is why there was taken to be too little capacity.
type Cause uint8

const (
	Queued         Cause = iota // answers waited, also those to requests sent after the first that did
	ExcessInFlight              // more work is out than can be answered in time
	HandedOver                  // another process said so
)

// String is the cause as a log has it.
func (c Cause) String() string {
	return [...]string{"answers waited", "work out", "handed over"}[min(c, HandedOver)]
}

// Shortage is what is known where there is too little capacity for all.
type Shortage struct {
	Cause           Cause
	Estimate        float64       // of the capacity, in seconds of work a second
	AdmitRate       float64       // of it for now, as a queue is to drain
	InFlight        int           // that are out
	InFlightWork    float64       // their work, in seconds
	WorkBeforeStall float64       // of that, what has been out since before the process was held up
	BaseLatency     time.Duration // that an answer takes which does not wait
}

// Shortage is that of the service; false: there is enough.
func (b *Broker) Shortage() (Shortage, bool) {
	c := &b.capacity
	if !c.tight {
		return Shortage{}, false
	}
	return Shortage{
		Cause: c.why, Estimate: c.estimate, AdmitRate: c.rate(), InFlight: int(c.attempts), InFlightWork: c.out, WorkBeforeStall: c.behind.work,
		BaseLatency: seconds(c.usual.value),
	}, true
}

// mean is a mean that forgets: samples past memory weigh one over memory.
type mean struct{ value, weight float64 }

func (m *mean) add(x, memory float64) {
	m.weight = math.Min(m.weight+1, memory)
	m.value += (x - m.value) / m.weight
}

// addWeighted adds a sample that counts for n.
func (m *mean) addWeighted(x, n, memory float64) {
	m.weight = math.Min(m.weight+n, memory)
	m.value += (x - m.value) * math.Min(n/m.weight, 1)
}
