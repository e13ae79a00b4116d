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

// councilQueue bounds the messages that wait for the council's worker: of 500 gateways that
// report each second to the one that holds the duty, several parts each. What comes to a full
// queue is dropped, and counted: reports are told again.
const councilQueue = 2048

// dutyName is by which gateways are put in order for the duty.
const dutyName = "weights"

// table is this gateway's part in what is decided for all, under a lock of its own.
type table struct {
	mu    rank.Mutex
	queue chan message.Message
	node  *coordination.Node // nil: the fleet decides on no weights
	order order
	was   coordination.Status // when it was last told
	inUse bool                // factors are in force
	hurt  bool                // a site is not met whole
}

func newTable(c *Config, incarnation uint64) *table {
	t := &table{mu: rank.Mutex{Rank: rankCouncil, Name: "council"}, queue: make(chan message.Message, councilQueue)}
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

func (f *Fleet) replaceTable(gateways []quota.Gateway, of *coordination.Sites) {
	f.council.mu.Lock()
	defer f.council.mu.Unlock()
	if f.council.node != nil {
		f.council.node.SetGateways(names(gateways), of)
	}
}

// workTable is the council's worker: it takes messages, and reports now and then, until the
// fleet stops.
func (f *Fleet) workTable() {
	tick := time.NewTicker(f.config.Period)
	defer tick.Stop()
	for {
		select {
		case m := <-f.council.queue:
			f.sendCouncil(f.takeCouncil(m.Council))
		case <-tick.C:
			f.sendCouncil(f.tickCouncil())
		case <-f.stopping:
			return
		}
	}
}

func (f *Fleet) tickCouncil() []coordination.Outgoing {
	t := f.council
	t.mu.Lock()
	defer t.mu.Unlock()
	now := f.now()
	out := t.node.Tick(now, f.candidates(dutyName, &t.order))
	f.useTable(now)
	return out
}

func (f *Fleet) takeCouncil(m coordination.Message) []coordination.Outgoing {
	t := f.council
	t.mu.Lock()
	defer t.mu.Unlock()
	out, meant := t.node.Handle(f.now(), m)
	if !meant {
		f.broken.Add(1)
	}
	return out
}

// useTable puts the factors in force, and where things stand before readers.
func (f *Fleet) useTable(now time.Duration) {
	t := f.council
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
	if door := t.node.Enforcer(now); door != nil {
		if hurt := door.Degraded(); hurt || t.hurt {
			f.config.Pool.SetEnforcer(door)
			t.hurt = hurt
		}
	}
	for _, c := range t.node.Changes() {
		slog.Warn("fleet: site", "site", c.Site, "state", c.To.String(), "before", c.From.String())
	}
	if status.Leader != t.was.Leader {
		slog.Info("fleet: duty", "holder", status.Leader, "before", t.was.Leader, "here", status.Leading)
	}
	if status.Stale != t.was.Stale && t.was.Table.Seq > 0 {
		slog.Warn("fleet: weights", "stale", status.Stale, "age", status.Age, "term", status.Table.Term, "table", status.Table.Seq)
	}
	t.was = status
	f.publish(func(s *Status) { s.Council = status })
}

// sendCouncil sends what is to go out. Messages to this process itself are taken at once.
func (f *Fleet) sendCouncil(out []coordination.Outgoing) {
	for len(out) > 0 {
		var next []coordination.Outgoing // which ends: a report is answered, and an answer is not
		for _, o := range out {
			if o.To == f.config.Name {
				next = append(next, f.takeCouncil(o.Message)...)
				continue
			}
			f.send(o.To, message.Message{Council: o.Message})
		}
		out = next
	}
}
