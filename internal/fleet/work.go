package fleet

import (
	"errors"
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"

	"spokegw/internal/fleet/message"
	"spokegw/internal/fleet/quota"
)

// outgoing is a contract's message, which is sent once no lock is held.
type outgoing struct {
	contract string
	quota.Outgoing
}

// out appends messages of the contract to those before.
func (c *contract) out(all []quota.Outgoing, before []outgoing) []outgoing {
	for _, o := range all {
		before = append(before, outgoing{c.Name, o})
	}
	return before
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
	}
	return out
}

// report puts the limit in force that goes with a report, and then lets that go out.
func (f *Fleet) report(c *contract, before []outgoing) []outgoing {
	requests, work := c.Account.Requested()
	now := f.now()
	c.demand = c.meter.Add(now, requests, work)
	out := c.node.Tick(now, c.demand, f.candidates(c.Name, &c.order))
	f.enforce(c)
	return c.out(out, before)
}

// take takes a message for a shard.
func (f *Fleet) take(s *shard, m message.Message) []outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.contracts[m.Contract]
	if c == nil { // of a file with other contracts
		f.broken.Add(1)
		return nil
	}
	if m.Report != nil {
		return c.out(c.node.HandleReport(f.now(), *m.Report), nil)
	}
	const starts = 3 // of one process after another, each of which may be told of the one before
	before := c.node.IncarnationBumps()
	out := c.node.HandleReply(f.now(), *m.Reply)
	if c.node.IncarnationBumps() > max(before, starts) && !f.twice.Swap(true) {
		slog.Error("fleet: another process has this gateway's name: each takes the part of both for its own", "name", f.config.Name)
	}
	f.enforce(c)
	return c.out(out, nil)
}

// enforce puts a contract's limit in force and before readers.
func (f *Fleet) enforce(c *contract) {
	now := f.now()
	l := c.node.Limit(now)
	c.Account.SetLimit(l, func() time.Duration { return l.Until - f.now() })
	steward := c.node.Steward()
	if steward != c.was {
		slog.Debug("fleet: steward", "contract", c.Name, "steward", steward, "before", c.was)
		c.was = steward
	}
	f.publish(func(s *Status) { s.Contracts[c.Name] = ContractStatus{Limit: l, Steward: steward, Demand: c.demand} })
}

// sendAll sends what is to go out. Messages to this process itself are taken at once.
func (f *Fleet) sendAll(s *shard, out []outgoing) {
	const most = 64 // rounds, against two that hurry one another
	for round := 0; len(out) > 0 && round < most; round++ {
		var next []outgoing
		for _, o := range out {
			m := message.Message{Contract: o.contract, Report: o.Report, Reply: o.Reply}
			if o.To == f.config.Name {
				next = append(next, f.take(s, m)...)
				continue
			}
			f.send(o.To, m)
		}
		out = next
	}
}

func (f *Fleet) send(to string, m message.Message) {
	b, err := message.Append(nil, m)
	if err != nil {
		slog.Error("fleet: a message can't be written", "error", err)
		return
	}
	// What is lost is told again with the next report.
	if addr, known := f.address(to); known {
		f.list.SendToAddress(memberlist.Address{Addr: addr, Name: to}, b)
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
	queue := d.f.council.queue
	switch {
	case m.Report != nil || m.Reply != nil:
		queue = d.f.shardOf(m.Contract).queue
	case d.f.council.node == nil: // the others' file has weights on
		return
	}
	select {
	case queue <- m:
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
