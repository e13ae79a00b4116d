package broker

import (
	"math"
	"time"
)

// noPartWait is when to come back to a process that has no part of a shared limit.
const noPartWait = time.Second

// part is the part of a call's limits that this process may use, where many share them.
type part struct {
	own, grant float64 // fractions
	until      time.Duration
	current    float64 // that the schedules stand for

	requests, work float64 // asked for so far, in limits times seconds
}

// at is the fraction at a time. A grant ends by itself: whoever was to take it back may
// stand still.
func (p *part) at(now time.Duration) float64 {
	if now < p.until {
		return p.own + p.grant
	}
	return p.own
}

// SetQuota sets which part of a team's shared call, the one that a class belongs to, this
// process may use: own, and until a time grant beside it, as fractions. What was saved up
// stays, as far as the smaller part can save up: so all processes together let out no more
// than the limit and one burst, however often parts move between them. It reports false
// where there is no such call.
func (b *Broker) SetQuota(now time.Duration, team string, class int, own, grant float64, until time.Duration) bool {
	c := b.sharedCall(team, class)
	if c == nil {
		return false
	}
	b.advance(now)
	c.settle(b.now) // a grant that has ended in the meantime first
	c.part.own, c.part.grant, c.part.until = own, grant, until
	c.settle(b.now)
	return true
}

// Demand is what was asked for of a shared call so far, admitted or not, in limits times
// seconds: of requests and of work.
func (b *Broker) Demand(team string, class int) (requests, work float64) {
	c := b.sharedCall(team, class)
	if c == nil {
		return 0, 0
	}
	return c.part.requests, c.part.work
}

func (b *Broker) sharedCall(team string, class int) *call {
	a := b.teams[team]
	if a == nil {
		return nil
	}
	if c := a.find(class); c != nil && c.Shared {
		return c
	}
	return nil
}

// ask counts a request.
func (c *call) ask(work float64) {
	if c.Rate > 0 {
		c.part.requests += 1 / c.Rate
	}
	if c.Work > 0 {
		c.part.work += work / c.Work
	}
}

// settle brings the schedules to the part that holds now. It reports whether there is one.
func (c *call) settle(now time.Duration) bool {
	next := c.part.at(now)
	if before := c.part.current; next != before {
		c.requests.rescale(now, c.requestsOf(before), c.requestsOf(next))
		c.work.rescale(now, c.workOf(before), c.workOf(next))
		c.part.current = next
	}
	return next > 0
}

// fraction is that of the limits which the schedules stand for.
func (c *call) fraction() float64 {
	if !c.Shared {
		return 1
	}
	return c.part.current
}

// leastPart stands for none at all in a schedule: a limit of 0 would be no limit.
const leastPart = 1e-9

func (c *call) requestsOf(f float64) limit {
	f = math.Max(f, leastPart)
	return newLimit(c.Rate*f, c.Burst*f)
}

func (c *call) workOf(f float64) limit {
	f = math.Max(f, leastPart)
	return newLimit(c.Work*f, c.Work*workBurst.Seconds()*f)
}
