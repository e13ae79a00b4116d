package fleet

import (
	"log/slog"
	"time"

	"spokegw/internal/fleet/coordination"
	"spokegw/internal/fleet/election"
	"spokegw/internal/fleet/message"
	"spokegw/internal/fleet/quota"
	"spokegw/internal/fleet/rank"
)

// coordinationQueue bounds the messages that wait for the coordinator's worker: 500 gateways
// report to the leader each second, in several parts each. Messages that arrive at a full queue
// are dropped and counted; reports are sent again.
const coordinationQueue = 2048

// leaderKey is hashed with a gateway's name to order the candidates for leadership.
const leaderKey = "weights"

// table is this gateway's share in fleet-wide decisions, under a lock of its own.
type table struct {
	mu       rank.Mutex
	queue    chan message.Message
	node     *coordination.Node // nil: the fleet decides on no weights
	order    order
	logged   coordination.Status // status that was last logged
	inUse    bool                // factors are applied
	degraded bool                // some site does not get all its traffic
}

func newTable(c *Config, incarnation uint64) *table {
	t := &table{mu: rank.Mutex{Rank: rankCoordination, Name: "council"}, queue: make(chan message.Message, coordinationQueue)}
	if c.Pool != nil {
		t.node = coordination.NewNode(0, election.Settings{Lease: c.Lease, Drift: c.Drift}, c.Name, incarnation, names(c.Gateways), c.Pool, c.Sites)
	}
	return t
}

func names(gateways []quota.Gateway) (all []string) {
	for _, g := range gateways {
		all = append(all, g.Name)
	}
	return all
}

func (f *Fleet) replaceTable(gateways []quota.Gateway, layout *coordination.Sites) {
	f.coordinator.mu.Lock()
	defer f.coordinator.mu.Unlock()
	if f.coordinator.node != nil {
		f.coordinator.node.SetGateways(names(gateways), layout)
	}
}

// workTable is the coordinator's worker: it handles messages and reports periodically until the
// fleet stops.
func (f *Fleet) workTable() {
	tick := time.NewTicker(f.config.Period)
	defer tick.Stop()
	for {
		select {
		case m := <-f.coordinator.queue:
			f.sendCoordination(f.handleCoordination(m.Council))
		case <-tick.C:
			f.sendCoordination(f.tickCoordinator())
		case <-f.stopping:
			return
		}
	}
}

func (f *Fleet) tickCoordinator() []coordination.Outgoing {
	t := f.coordinator
	t.mu.Lock()
	defer t.mu.Unlock()
	now := f.now()
	out := t.node.Tick(now, f.candidates(leaderKey, &t.order))
	f.useTable(now)
	return out
}

func (f *Fleet) handleCoordination(m coordination.Message) []coordination.Outgoing {
	t := f.coordinator
	t.mu.Lock()
	defer t.mu.Unlock()
	out, valid := t.node.Handle(f.now(), m)
	if !valid {
		f.malformed.Add(1)
	}
	return out
}

// useTable applies the factors and publishes the status.
func (f *Fleet) useTable(now time.Duration) {
	t := f.coordinator
	factors, _ := t.node.Factors(now)
	status := t.node.Status(now)
	switch inUse := !status.Stale || len(factors) > 0; {
	case inUse:
		f.config.Pool.SetFactors(factors)
		t.inUse = true
	case t.inUse:
		f.config.Pool.SetFactors(nil)
		t.inUse = false
	}
	if enforcer := t.node.Enforcer(now); enforcer != nil {
		if degraded := enforcer.Degraded(); degraded || t.degraded {
			f.config.Pool.SetEnforcer(enforcer)
			t.degraded = degraded
		}
	}
	for _, c := range t.node.Changes() {
		slog.Warn("fleet: site", "site", c.Site, "state", c.To.String(), "before", c.From.String())
	}
	if status.Leader != t.logged.Leader {
		slog.Info("fleet: leader", "holder", status.Leader, "before", t.logged.Leader, "here", status.Leading)
	}
	if status.Stale != t.logged.Stale && t.logged.Table.Seq > 0 {
		slog.Warn("fleet: weights", "stale", status.Stale, "age", status.Age, "term", status.Table.Term, "table", status.Table.Seq)
	}
	t.logged = status
	f.publish(func(s *Status) { s.Council = status })
}

// sendCoordination sends messages. Those to this process itself are handled at once.
func (f *Fleet) sendCoordination(out []coordination.Outgoing) {
	for len(out) > 0 {
		var next []coordination.Outgoing // the loop ends: a report is answered, and an answer is not
		for _, o := range out {
			if o.To == f.config.Name {
				next = append(next, f.handleCoordination(o.Message)...)
				continue
			}
			f.send(o.To, message.Message{Council: o.Message})
		}
		out = next
	}
}
