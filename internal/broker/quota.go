package broker

import (
	"math"
	"time"
)

// noQuotaWait is the retry delay for a process without a quota, or one whose quota may grow.
const noQuotaWait = time.Second

// quota is the fraction of the limits of a shared call that this process may use.
type quota struct {
	own, grant      float64 // fractions
	until           time.Duration
	appliedFraction float64 // fraction that the schedules are scaled to

	requestDemand, workDemand float64 // demand so far, in limits times seconds
}

// fractionAt returns the fraction at a time. A grant expires by itself, because the process that
// would revoke it may be stalled.
func (q *quota) fractionAt(now time.Duration) float64 {
	if now < q.until {
		return q.own + q.grant
	}
	return q.own
}

// SetQuota sets the fraction of a team's shared call that this process may use: own, plus grant
// until a given time. The call is the one that class belongs to. Accumulated units are kept as far
// as the smaller fraction lets them accumulate, so all processes together never exceed the limit
// and one burst, however often quotas move between them. SetQuota reports false if there is no
// such call.
func (b *Broker) SetQuota(now time.Duration, team string, class int, own, grant float64, until time.Duration) bool {
	c := b.sharedCall(team, class)
	if c == nil {
		return false
	}
	b.advance(now)
	c.applyQuota(b.now) // first applies the expiry of an earlier grant
	c.quota.own, c.quota.grant, c.quota.until = own, grant, until
	c.applyQuota(b.now)
	return true
}

// Demand returns the demand for a shared call so far, admitted or not, in limits times seconds, as
// requests and as work.
func (b *Broker) Demand(team string, class int) (requests, work float64) {
	c := b.sharedCall(team, class)
	if c == nil {
		return 0, 0
	}
	return c.quota.requestDemand, c.quota.workDemand
}

func (b *Broker) sharedCall(team string, class int) *call {
	a := b.teams[team]
	if a == nil {
		return nil
	}
	if c := a.callFor(class); c != nil && c.Shared {
		return c
	}
	return nil
}

// recordDemand counts a request.
func (c *call) recordDemand(work float64) {
	if c.Rate > 0 {
		c.quota.requestDemand += 1 / c.Rate
	}
	if c.Work > 0 {
		c.quota.workDemand += work / c.Work
	}
}

// applyQuota scales the schedules to the current fraction. It reports whether the process has a
// quota at all.
func (c *call) applyQuota(now time.Duration) bool {
	next := c.quota.fractionAt(now)
	if before := c.quota.appliedFraction; next != before {
		c.requests.rescale(now, c.requestLimitAt(before), c.requestLimitAt(next))
		c.work.rescale(now, c.workLimitAt(before), c.workLimitAt(next))
		c.quota.appliedFraction = next
	}
	return next > 0
}

// fraction returns the fraction of the limits that the schedules are scaled to.
func (c *call) fraction() float64 {
	if !c.Shared {
		return 1
	}
	return c.quota.appliedFraction
}

// minFraction stands for a quota of 0 in a schedule, where a rate of 0 would mean no limit.
const minFraction = 1e-9

func (c *call) requestLimitAt(f float64) limit {
	f = math.Max(f, minFraction)
	return newLimit(c.Rate*f, c.Burst*f)
}

func (c *call) workLimitAt(f float64) limit {
	f = math.Max(f, minFraction)
	return newLimit(c.Work*f, c.Work*workBurst.Seconds()*f)
}
