package hardware

import (
	"math"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
	"spokegw/policy"
)

type call struct {
	class   int
	work    float64 // seconds at speed 1
	hint    time.Duration
	begun   time.Duration
	over    bool
	sent    int
	by      int // the attempt that answered
	attempt map[int]*job
	ticket  *broker.Ticket // nil: no quota is charged, or no longer
}

// request has a client ask.
func (g *gateway) request() {
	l := g.lab
	at, class := l.Rand.Float64(), 0
	for at -= l.Classes[0].Part; at > 0 && class < len(l.Classes)-1; at -= l.Classes[class].Part {
		class++
	}
	k := &l.Classes[class]
	c := &call{class: class, begun: l.Now, attempt: map[int]*job{}}
	c.work = k.Work.Seconds() * math.Exp(k.Spray*l.Rand.NormFloat64()-k.Spray*k.Spray/2)
	c.hint = time.Duration(c.work * k.Hint * float64(time.Second))
	l.lastID++
	id := l.lastID
	g.calls[id] = c
	l.Tally.Asked++
	l.Tally.Possible += k.Worth
	g.asked.Record(weights.Class(class), false, weights.Served, 0, c.hint)
	switch {
	case !g.admit(c):
		l.Tally.OverQuota++
		delete(g.calls, id)
		return
	case g.enforcer != nil && !g.enforcer.Admits(sites.Group{Class: uint16(class)}, l.Rand.Float64()):
		g.withdraw(c)
		l.Tally.Refused++
		delete(g.calls, id)
		return
	}
	if l.Way >= Alone {
		g.carryOut(g.balancer.Request(l.Now, policy.Request{ID: id, Class: class, TimeLeft: k.Deadline, Cost: c.hint.Seconds()}))
		return
	}
	a, b := g.draw(), g.draw()
	if g.inFlight[b] < g.inFlight[a] {
		a = b
	}
	g.send(policy.Send{Request: id, Endpoint: policy.EndpointID(a), Timeout: k.Deadline})
}

// draw draws a server for the plain ways.
func (g *gateway) draw() int {
	l := g.lab
	if l.Way == Even {
		return l.Rand.IntN(len(l.Servers))
	}
	sum, pick := 0.0, 0
	for i, s := range l.Servers {
		if sum += s.Listed; l.Rand.Float64()*sum < s.Listed {
			pick = i
		}
	}
	return pick
}

func (g *gateway) carryOut(actions []policy.Action) {
	for _, a := range append([]policy.Action(nil), actions...) { // valid until the next call
		switch a := a.(type) {
		case policy.Send:
			g.send(a)
		case policy.Refuse:
			g.over(a.Request, &g.lab.Tally.Refused)
		case policy.Fail:
			g.over(a.Request, &g.lab.Tally.Failed)
		case policy.Cancel:
			if c := g.calls[a.Request]; c != nil && c.attempt[a.Attempt] != nil {
				j := c.attempt[a.Attempt]
				j.cancelled = true
				j.end(policy.Cancelled)
			}
		case policy.SetTimer:
			g.lab.After(a.Delay, func() {
				if g.lab.gateways[g.name] == g {
					g.carryOut(g.balancer.Timer(g.lab.Now, a.Token))
				}
			})
		}
	}
}

func (g *gateway) over(id policy.RequestID, n *int) {
	if c := g.calls[id]; c != nil && !c.over {
		c.over = true
		*n++
		g.charged(c, broker.Failed)
	}
}

// send makes an attempt.
func (g *gateway) send(a policy.Send) {
	l, c := g.lab, g.calls[a.Request]
	if c == nil {
		return
	}
	j := &job{call: c, server: l.Servers[a.Endpoint], n: c.sent, at: int(a.Endpoint), begun: l.Now}
	c.sent++
	c.attempt[j.n] = j
	g.inFlight[j.at]++
	j.end = func(r policy.Result) { g.ended(a.Request, j, r) }
	l.After(a.Timeout, func() {
		if !j.ended {
			j.cancelled = true
			j.end(policy.NoAnswer)
		}
	})
	l.After(network, func() { l.reach(j) })
}

var endings = map[policy.Result]weights.Outcome{
	policy.Served: weights.Served, policy.NoAnswer: weights.TimedOut, policy.Cancelled: weights.Cancelled,
	policy.Errored: weights.Failed, policy.NoConnection: weights.Unreached, policy.Declined: weights.Declined,
}

// ended takes the end of an attempt.
func (g *gateway) ended(id policy.RequestID, j *job, r policy.Result) {
	l, c := g.lab, j.call
	if j.ended {
		return
	}
	j.ended = true
	g.inFlight[j.at]--
	if len(l.SiteNames) > 0 && l.gateways[g.name] == g {
		g.broken(j.at, r)
	}
	took := l.Now - j.begun
	how := endings[r]
	if r == policy.Cancelled && c.by > j.n {
		how = weights.Superseded
	}
	g.sums[j.at].Record(weights.Class(c.class), false, how, took, c.hint)
	if r == policy.Served && !c.over {
		c.over, c.by = true, j.n
		g.charged(c, broker.Answered)
		l.served(c)
	}
	if l.Way < Alone {
		if r != policy.Served {
			g.over(id, &l.Tally.Failed)
		}
		delete(g.calls, id)
		return
	}
	if l.gateways[g.name] != g {
		return
	}
	g.carryOut(g.balancer.Outcome(l.Now, policy.Outcome{Request: id, Attempt: j.n, Endpoint: policy.EndpointID(j.at), Result: r, Complete: c.over, Elapsed: took}))
	if c.over && c.open() == 0 {
		delete(g.calls, id)
	}
}

func (c *call) open() (n int) {
	for _, j := range c.attempt {
		if !j.ended {
			n++
		}
	}
	return n
}

func (l *Lab) served(c *call) {
	k := &l.Classes[c.class]
	if l.Now-c.begun <= k.Aim {
		l.Tally.Good++
		l.Tally.Worth += k.Worth
		return
	}
	l.Tally.Late++
	l.Tally.Worth += k.Worth * k.LateWorth
}
