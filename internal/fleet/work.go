package fleet

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/memberlist"

	"spokegw/internal/fleet/message"
	"spokegw/internal/fleet/quota"
)

// outgoing is a message that is to be sent once no lock is held.
type outgoing struct {
	to string
	m  message.Message
}

// work is a shard's worker: it takes messages, and reports now and then, until the fleet
// stops.
func (f *Fleet) work(s *shard) {
	tick := time.NewTicker(f.config.Period)
	defer tick.Stop()
	for {
		select {
		case m := <-s.queue:
			f.sendAll(s, f.take(s, m))
		case <-tick.C:
			f.sendAll(s, f.tick(s))
		case <-f.stopping:
			return
		}
	}
}

// tick has each contract of a shard report.
func (f *Fleet) tick(s *shard) (out []outgoing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.contracts {
		out = f.report(c, out)
		if c.steward != nil && c.steward.Over(f.now()) {
			c.steward = nil
		}
	}
	return out
}

// report puts the limit in force that goes with a report, and then lets that go out.
func (f *Fleet) report(c *contract, out []outgoing) []outgoing {
	requests, work := c.Account.Asked()
	now := f.now()
	c.demand = c.meter.Add(now, requests, work)
	r, ok := c.holder.Tick(now, c.demand, f.candidates(c))
	f.enforce(c)
	if !ok {
		return out
	}
	return append(out, outgoing{r.To, message.Message{Contract: c.Name, Report: &r}})
}

// take takes a message for a shard.
func (f *Fleet) take(s *shard, m message.Message) (out []outgoing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.contracts[m.Contract]
	if c == nil { // of a file with other contracts
		f.broken.Add(1)
		return nil
	}
	if m.Report != nil {
		if c.steward == nil {
			c.steward = quota.NewSteward(f.now(), f.config.Settings, f.config.Name, 1+rand.Uint64N(1<<31), f.plan.Load().gateways)
		}
		for _, r := range c.steward.Hear(f.now(), *m.Report) {
			out = append(out, outgoing{r.To, message.Message{Contract: c.Name, Reply: &r}})
		}
		return out
	}
	const starts = 3 // of one process after another, each of which may be told of the one before
	before := c.holder.Bumped()
	hurry := c.holder.Take(f.now(), *m.Reply)
	if c.holder.Bumped() > max(before, starts) && !f.twice.Swap(true) {
		slog.Error("fleet: another process has this gateway's name: each takes the part of both for its own", "name", f.config.Name)
	}
	if f.enforce(c); hurry {
		out = f.report(c, out)
	}
	return out
}

// enforce puts a contract's limit in force and before readers.
func (f *Fleet) enforce(c *contract) {
	now := f.now()
	l := c.holder.Limit(now)
	c.Account.SetLimit(l, func() time.Duration { return l.Until - f.now() })
	steward := c.holder.Steward()
	if steward != c.was {
		slog.Debug("fleet: steward", "contract", c.Name, "steward", steward, "before", c.was)
		c.was = steward
	}
	f.publish(func(s *Status) { s.Contracts[c.Name] = Standing{Limit: l, Steward: steward, Demand: c.demand} })
}

// sendAll sends what is to go out. Messages to this process itself are taken at once.
func (f *Fleet) sendAll(s *shard, out []outgoing) {
	const most = 64 // rounds, against two that hurry one another
	for round := 0; len(out) > 0 && round < most; round++ {
		var next []outgoing
		for _, o := range out {
			if o.to == f.config.Name {
				next = append(next, f.take(s, o.m)...)
				continue
			}
			f.send(o)
		}
		out = next
	}
}

func (f *Fleet) send(o outgoing) {
	b, err := message.Append(nil, o.m)
	if err != nil {
		slog.Error("fleet: a message can't be written", "error", err)
		return
	}
	// What is lost is told again with the next report.
	if addr, known := f.address(o.to); known {
		f.list.SendToAddress(memberlist.Address{Addr: addr, Name: o.to}, b)
	}
}

// delegate takes what memberlist brings.
type delegate struct{ f *Fleet }

// NotifyMsg queues a message for its shard; it does not wait.
func (d delegate) NotifyMsg(b []byte) {
	m, err := message.Parse(b)
	switch {
	case errors.Is(err, message.ErrVersion):
		d.f.otherVersion.Add(1)
		return
	case err != nil:
		d.f.broken.Add(1)
		return
	}
	select {
	case d.f.shardOf(m.Contract).queue <- m:
	default:
		d.f.dropped.Add(1)
	}
}

func (delegate) NodeMeta(int) []byte             { return nil }
func (delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (delegate) LocalState(bool) []byte          { return nil }
func (delegate) MergeRemoteState([]byte, bool)   {}

// events takes word of who is up.
type events struct{ f *Fleet }

func (e events) NotifyJoin(n *memberlist.Node)   { e.f.setUp(n.Name, true) }
func (e events) NotifyLeave(n *memberlist.Node)  { e.f.setUp(n.Name, false) }
func (e events) NotifyUpdate(n *memberlist.Node) { e.f.setUp(n.Name, true) }
