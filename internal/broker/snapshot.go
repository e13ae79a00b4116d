package broker

import (
	"math"
	"time"
)

// Snapshot is the usage of the teams of a service and what was learnt of the service, for the
// broker of the process that replaces this one. Times are relative to the time of the snapshot, so
// that the clocks of the two processes need not agree.
type Snapshot struct {
	Teams    []TeamUsage
	Estimate float64 // capacity in seconds of work per second; 0: unknown
	Tight    bool
	Classes  []ClassEstimate // by class
	// Spent means that more may have been used since the snapshot: all accumulated units, of calls
	// and of the retry budget, count as used.
	Spent bool `json:",omitempty"`
}

// TeamUsage is the usage of one team, or of all teams without a contract together.
type TeamUsage struct {
	Team      string
	Strangers bool
	Tokens    float64 // retries and hedged attempts available
	Queued    float64 // backlog of the team in seconds of work
	Calls     []CallUsage
}

// CallUsage is how far the limits of a call are ahead of their schedule.
type CallUsage struct {
	Class          int // the first class of the call
	Requests, Work time.Duration
}

// ClassEstimate is what was learnt of a class: the work of a request, the latency per work of an
// answer that does not queue, and the number of samples of that latency.
type ClassEstimate struct{ Work, Per, Seen float64 }

// Snapshot returns the state for the next process.
func (b *Broker) Snapshot(now time.Duration) Snapshot {
	b.advance(now)
	s := Snapshot{Tight: b.capacity.tight}
	if !math.IsInf(b.capacity.estimate, 0) {
		s.Estimate = b.capacity.estimate
	}
	for i := range b.meanWork {
		s.Classes = append(s.Classes, ClassEstimate{b.meanWork[i].value, b.capacity.classes[i].perWork, b.capacity.classes[i].samples})
	}
	for name, a := range b.teams {
		s.Teams = append(s.Teams, b.teamUsage(name, false, a))
	}
	if b.uncontracted != nil {
		s.Teams = append(s.Teams, b.teamUsage("", true, b.uncontracted))
	}
	return s
}

func (b *Broker) teamUsage(name string, uncontracted bool, a *account) TeamUsage {
	t := TeamUsage{Team: name, Strangers: uncontracted, Tokens: a.tokens, Queued: b.shares.backlog(&a.share)}
	for i := range a.calls {
		c := &a.calls[i]
		t.Calls = append(t.Calls, CallUsage{firstClass(c.Classes), max(c.requests.tat-b.now, 0), max(c.work.tat-b.now, 0)})
	}
	return t
}

// maxRestoredDebt bounds how far a call may be ahead of its schedule beyond its burst after
// Restore, so that a faulty process can't lock a team out for longer.
const maxRestoredDebt = time.Minute

// Restore takes over the state of another process. It is called before the first request. classes
// maps the classes of the snapshot to those of this broker; -1: none. Teams without a contract
// here are left out.
func (b *Broker) Restore(now time.Duration, s Snapshot, classes []int) {
	b.advance(now)
	toClass := func(class int) int {
		if class < 0 || class >= len(classes) || classes[class] >= len(b.meanWork) {
			return -1
		}
		return classes[class]
	}
	for i, c := range s.Classes {
		if to := toClass(i); to >= 0 && c.Work > 0 && c.Work < 1e6 && c.Per >= 0 && c.Per < 1e6 && c.Seen >= 0 {
			b.meanWork[to] = mean{c.Work, 1}
			b.capacity.classes[to] = baseline{perWork: c.Per, samples: math.Min(c.Seen, baselineSamples), updatedAt: b.now}
		}
	}
	if s.Estimate >= minRate && s.Estimate < 1e9 {
		if b.capacity.estimate = s.Estimate; s.Tight {
			b.capacity.declareShortage(HandedOver)
		}
	}
	for i := range s.Teams {
		t := &s.Teams[i]
		a := b.teams[t.Team]
		if t.Strangers {
			a = b.uncontracted
		}
		if a != nil {
			b.restoreTeam(a, t, toClass)
		}
	}
	if s.Spent {
		for _, a := range b.teams {
			a.exhaust(b.now)
		}
		if b.uncontracted != nil {
			b.uncontracted.exhaust(b.now)
		}
	}
}

// exhaust uses up everything accumulated. A process that was killed may have released a whole
// burst after its snapshot. The cost is that a team that made no requests waits for one interval
// more than it would have to.
func (a *account) exhaust(now time.Duration) {
	a.tokens = 0
	for i := range a.calls {
		c := &a.calls[i]
		c.requests.tat = max(c.requests.tat, now+c.requestLimit().tolerance)
		c.work.tat = max(c.work.tat, now+c.workLimit().tolerance)
	}
}

func (b *Broker) restoreTeam(a *account, t *TeamUsage, toClass func(int) int) {
	if t.Tokens >= 0 {
		a.tokens = math.Min(t.Tokens, a.maxTokens)
	}
	for _, c := range t.Calls {
		if to := a.callFor(toClass(c.Class)); to != nil {
			to.requests.tat = b.now + min(max(c.Requests, 0), to.requestLimit().tolerance+maxRestoredDebt)
			to.work.tat = b.now + min(max(c.Work, 0), to.workLimit().tolerance+maxRestoredDebt)
		}
	}
	rate := b.capacity.admitRate()
	if f := &a.share; t.Queued > 0 && !math.IsInf(rate, 1) && f.index == notQueued {
		f.finishTime = b.shares.virtualTime + math.Min(t.Queued, f.maxBacklog(rate))/f.weight
		b.shares.insert(f)
	}
}
