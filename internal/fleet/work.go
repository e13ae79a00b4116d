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

// appendOutgoing appends the contract's messages to before.
func (c *contract) appendOutgoing(all []quota.Outgoing, messages []outgoing) []outgoing {
	for _, o := range all {
		messages = append(messages, outgoing{c.Name, o})
	}
	return messages
}

// work is a shard's worker: it handles messages and reports periodically until the fleet stops.
func (f *Fleet) work(s *shard) {
	tick := time.NewTicker(f.config.Period)
	defer tick.Stop()
	for {
		select {
		case m := <-s.queue:
			f.sendAll(s, f.handle(s, m))
		case <-tick.C:
			f.sendAll(s, f.tick(s))
		case <-f.stopping:
			return
		}
	}
}

// tick makes the reports of all contracts of a shard.
func (f *Fleet) tick(s *shard) (out []outgoing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.contracts {
		out = f.report(c, out)
	}
	return out
}

// report enforces the limit that goes with a report before the report can be sent.
func (f *Fleet) report(c *contract, messages []outgoing) []outgoing {
	requests, work := c.Account.Requested()
	now := f.now()
	c.demand = c.meter.Add(now, requests, work)
	out := c.node.Tick(now, c.demand, f.candidates(c.Name, &c.order))
	f.enforce(c)
	return c.appendOutgoing(out, messages)
}

// handle handles a message for a shard.
func (f *Fleet) handle(s *shard, m message.Message) []outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.contracts[m.Contract]
	if c == nil { // the sender's file has other contracts
		f.malformed.Add(1)
		return nil
	}
	if m.Report != nil {
		return c.appendOutgoing(c.node.HandleReport(f.now(), *m.Report), nil)
	}
	const maxRestarts = 3 // restarts of one process, each of which may be told of the previous one
	bumps := c.node.IncarnationBumps()
	out := c.node.HandleReply(f.now(), *m.Reply)
	if c.node.IncarnationBumps() > max(bumps, maxRestarts) && !f.duplicateLogged.Swap(true) {
		slog.Error("fleet: another process uses this gateway's name: both use the same part", "name", f.config.Name)
	}
	f.enforce(c)
	return c.appendOutgoing(out, nil)
}

// enforce enforces and publishes a contract's limit.
func (f *Fleet) enforce(c *contract) {
	now := f.now()
	l := c.node.Limit(now)
	c.Account.SetLimit(l, func() time.Duration { return l.Until - f.now() })
	steward := c.node.Steward()
	if steward != c.loggedSteward {
		slog.Debug("fleet: steward", "contract", c.Name, "steward", steward, "before", c.loggedSteward)
		c.loggedSteward = steward
	}
	f.publish(func(s *Status) { s.Contracts[c.Name] = ContractStatus{Limit: l, Steward: steward, Demand: c.demand} })
}

// sendAll sends messages. Those to this process itself are handled at once.
func (f *Fleet) sendAll(s *shard, out []outgoing) {
	const maxRounds = 64 // bounds two sides that keep triggering each other
	for round := 0; len(out) > 0 && round < maxRounds; round++ {
		var next []outgoing
		for _, o := range out {
			m := message.Message{Contract: o.contract, Report: o.Report, Reply: o.Reply}
			if o.To == f.config.Name {
				next = append(next, f.handle(s, m)...)
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
		slog.Error("fleet: message can't be encoded", "error", err)
		return
	}
	// A lost message is made up for by the next report.
	if addr, known := f.address(to); known {
		f.list.SendToAddress(memberlist.Address{Addr: addr, Name: to}, b)
	}
}

// delegate receives memberlist's messages.
type delegate struct{ f *Fleet }

// NotifyMsg queues a message for its shard without blocking.
func (d delegate) NotifyMsg(b []byte) {
	m, err := message.Parse(b)
	switch {
	case errors.Is(err, message.ErrVersion):
		d.f.otherVersion.Add(1)
		return
	case err != nil:
		d.f.malformed.Add(1)
		return
	}
	queue := d.f.coordinator.queue
	switch {
	case m.Report != nil || m.Reply != nil:
		queue = d.f.shardOf(m.Contract).queue
	case d.f.coordinator.node == nil: // only the senders' files enable weights
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

// events receives membership changes.
type events struct{ f *Fleet }

func (e events) NotifyJoin(n *memberlist.Node)   { e.f.setUp(n.Name, true) }
func (e events) NotifyLeave(n *memberlist.Node)  { e.f.setUp(n.Name, false) }
func (e events) NotifyUpdate(n *memberlist.Node) { e.f.setUp(n.Name, true) }
