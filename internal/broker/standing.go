package broker

import (
	"math"
	"time"
)

// Snapshot is what the teams of a service have used up and what has been learnt
// of it, for the broker of the process that takes this one's place. Times are
// told as they lie ahead, so that the clocks of the two need not agree.
type Snapshot struct {
	Teams    []TeamUsage
	Estimate float64 // of the capacity, seconds of work a second; 0: not known
	Tight    bool
	Classes  []ClassEstimate // by class
	// Spent tells that more may have been used since: what any team had saved up, for
	// calls and for repeats, counts as used.
	Spent bool `json:",omitempty"`
}

// TeamUsage is that of one team, or of all strangers together.
type TeamUsage struct {
	Team      string
	Strangers bool
	Tokens    float64 // attempts beyond the first that may be made
	Queued    float64 // seconds of work that it is ahead of its share
	Calls     []CallUsage
}

// CallUsage is how far ahead of their schedule the limits of a call are.
type CallUsage struct {
	Class          int // the first of the call
	Requests, Work time.Duration
}

// ClassEstimate is what is known of a class: the work of a request, and what an
// answer that does not wait takes by its work.
type ClassEstimate struct{ Work, Per, Seen float64 }

// Snapshot tells how the contracts stand.
func (b *Broker) Snapshot(now time.Duration) Snapshot {
	b.advance(now)
	s := Snapshot{Tight: b.capacity.tight}
	if !math.IsInf(b.capacity.estimate, 0) {
		s.Estimate = b.capacity.estimate
	}
	for i := range b.work {
		s.Classes = append(s.Classes, ClassEstimate{b.work[i].value, b.capacity.classes[i].per, b.capacity.classes[i].n})
	}
	for name, a := range b.teams {
		s.Teams = append(s.Teams, b.teamStanding(name, false, a))
	}
	if b.strangers != nil {
		s.Teams = append(s.Teams, b.teamStanding("", true, b.strangers))
	}
	return s
}

func (b *Broker) teamStanding(name string, strangers bool, a *account) TeamUsage {
	t := TeamUsage{Team: name, Strangers: strangers, Tokens: a.tokens, Queued: b.shares.queued(&a.share)}
	for i := range a.calls {
		c := &a.calls[i]
		t.Calls = append(t.Calls, CallUsage{firstClass(c.Classes), max(c.requests.next-b.now, 0), max(c.work.next-b.now, 0)})
	}
	return t
}

// longestAhead bounds what a call is taken to be ahead of its schedule beyond its
// burst, against a process that is not well: nobody is shut out for longer than
// that for what it said.
const longestAhead = time.Minute

// Restore takes over how contracts stood with another process, before the first
// request. places tells by class of the standing which class of this broker it
// is, -1: none. Teams that have no contract here are left out.
func (b *Broker) Restore(now time.Duration, s Snapshot, places []int) {
	b.advance(now)
	at := func(class int) int {
		if class < 0 || class >= len(places) || places[class] >= len(b.work) {
			return -1
		}
		return places[class]
	}
	for i, c := range s.Classes {
		if to := at(i); to >= 0 && c.Work > 0 && c.Work < 1e6 && c.Per >= 0 && c.Per < 1e6 && c.Seen >= 0 {
			b.work[to] = mean{c.Work, 1}
			b.capacity.classes[to] = usual{per: c.Per, n: math.Min(c.Seen, usualMemory), at: b.now}
		}
	}
	if s.Estimate >= leastRate && s.Estimate < 1e9 {
		if b.capacity.estimate = s.Estimate; s.Tight {
			b.capacity.tighten(HandedOver)
		}
	}
	for i := range s.Teams {
		t := &s.Teams[i]
		a := b.teams[t.Team]
		if t.Strangers {
			a = b.strangers
		}
		if a != nil {
			b.adoptTeam(a, t, at)
		}
	}
	if s.Spent {
		for _, a := range b.teams {
			a.spend(b.now)
		}
		if b.strangers != nil {
			b.strangers.spend(b.now)
		}
	}
}

// spend uses up what is saved up. A process that was killed may have let out a whole
// burst after it told how the contract stood; a team that had not asked for long waits
// for one more interval than it would have to.
func (a *account) spend(now time.Duration) {
	a.tokens = 0
	for i := range a.calls {
		c := &a.calls[i]
		c.requests.next = max(c.requests.next, now+c.requestLimit().slack)
		c.work.next = max(c.work.next, now+c.workLimit().slack)
	}
}

func (b *Broker) adoptTeam(a *account, t *TeamUsage, at func(int) int) {
	if t.Tokens >= 0 {
		a.tokens = math.Min(t.Tokens, a.most)
	}
	for _, c := range t.Calls {
		if to := a.find(at(c.Class)); to != nil {
			to.requests.next = b.now + min(max(c.Requests, 0), to.requestLimit().slack+longestAhead)
			to.work.next = b.now + min(max(c.Work, 0), to.workLimit().slack+longestAhead)
		}
	}
	rate := b.capacity.rate()
	if m := &a.share; t.Queued > 0 && !math.IsInf(rate, 1) && m.index == idle {
		m.finish = b.shares.virtual + math.Min(t.Queued, m.longest(rate))/m.weight
		b.shares.insert(m)
	}
}
