package hardware

import (
	"math"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/fleet/quota"
	"spokegw/internal/lab/gateways"
)

// team is the one whose calls the fleet's quota is of.
const team = "agencies"

// contract is a gateway's part of the quota: who lends to whom, and what admits by it.
type contract struct {
	node   *quota.Node
	broker *broker.Broker
	meter  quota.DemandMeter
}

// newContract is that of a gateway that has just started; nil: there is no quota.
func (l *Lab) newContract(now time.Duration, set quota.Settings, name string, incarnation uint64, plan []quota.Gateway) *contract {
	if l.Quota == 0 {
		return nil
	}
	call := broker.CallLimits{Classes: broker.AllClasses, Rate: l.Quota, Burst: l.Burst, Shared: true}
	return &contract{
		node:   quota.NewNode(now, set, name, incarnation, plan),
		broker: broker.New(now, broker.Terms{Classes: len(l.Classes), Contracts: []broker.Contract{{Team: team, Calls: []broker.CallLimits{call}}}}),
	}
}

func (c *contract) tick(now time.Duration, candidates []string) []quota.Outgoing {
	requests, work := c.broker.Demand(team, 0)
	return c.node.Tick(now, c.meter.Add(now, requests, work), candidates)
}

// take takes another's message.
func (c *contract) take(now time.Duration, o quota.Outgoing) []quota.Outgoing {
	if o.Report != nil {
		return c.node.HandleReport(now, *o.Report)
	}
	return c.node.HandleReply(now, *o.Reply)
}

// enforce puts the limit in force that goes with the latest event.
func (c *contract) enforce(now time.Duration) quota.Limit {
	limit := c.node.Limit(now)
	c.broker.SetQuota(now, team, 0, limit.Own.Fraction(), limit.Grant.Fraction(), limit.Until)
	return limit
}

// admit judges a request by the gateway's own clock.
func (g *gateway) admit(c *call) bool {
	if g.contract == nil {
		return true
	}
	ticket, verdict := g.contract.broker.Admit(g.clock(), team, c.class, c.hint.Seconds())
	if verdict.Outcome != broker.Admitted {
		return false
	}
	c.ticket = &ticket
	g.lab.admitted.add(g.lab.Now, g.lab.Quota*(1+g.lab.set.Drift))
	return true
}

// withdraw takes back what the quota has admitted and the plan for sites has not.
func (g *gateway) withdraw(c *call) {
	if c.ticket != nil {
		g.contract.broker.Withdraw(g.clock(), c.ticket, false)
		g.lab.admitted.count--
	}
}

// charged tells the contract what became of a request that it admitted.
func (g *gateway) charged(c *call, how broker.AttemptResult) {
	if c.ticket != nil {
		g.contract.broker.AttemptEnded(g.clock(), c.ticket, false, how, g.lab.Now-c.begun, g.lab.Classes[c.class].Aim)
		c.ticket = nil
	}
}

func (g *gateway) clock() time.Duration { return g.lab.Clock(g.lab.Node(g.name)) }

func quotaMessages(all []quota.Outgoing) (out []gateways.Message) {
	for _, o := range all {
		out = append(out, gateways.Message{To: o.To, Body: o})
	}
	return out
}

// admitted is by how many requests all gateways together were over the quota in any span.
// It looks at one request after the other, and knows nothing of how the quota is shared.
type admitted struct {
	count, least, most float64
}

func (a *admitted) add(now time.Duration, rate float64) {
	level := a.count - rate*now.Seconds()
	a.least = math.Min(a.least, level)
	a.count++
	a.most = math.Max(a.most, level-a.least+1)
}

// Overshoot is by how many requests more than the quota, one burst and one of each gateway
// were admitted in any span, by true time; 0: none.
func (l *Lab) Overshoot() float64 {
	return math.Max(0, l.admitted.most-l.Burst-float64(len(l.Nodes)))
}
