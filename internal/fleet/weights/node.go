package weights

import (
	"math"
	"time"

	"spokegw/internal/fleet/lease"
)

// staleLeases is the age of a table, in leases, after which the listed weights are restored.
const staleLeases = 5

// maxPartsAnswered bounds the parts of a table in answer to one report.
const maxPartsAnswered = 4

// Outgoing is a message that a gateway has to send. Exactly one of Report and Answer is set.
type Outgoing struct {
	To     string
	Report *Report
	Answer *Answer
}

// Leadership is the current leadership as known to package election at this gateway.
type Leadership struct {
	Leader      string // "": none as far as is known
	Term        uint64 // of the leader
	LeadingTerm uint64 // term in which this gateway is leader; 0: it is not

	Incarnation uint64 // of this gateway
}

// Planner derives a plan, in addition to the weights, from the observations of all gateways. Only
// the leader has one.
type Planner interface {
	// Observe adds a gateway's observations; workFactor returns a class's factor from hinted to
	// standard work.
	Observe(gateway string, stats []Stats, workFactor func(Class, bool) float64)
	// Plan returns the next plan and is called each period; capacities are in standard work per
	// second.
	Plan(now time.Duration, all []Estimate) []byte
}

// Node is a gateway's part in the fleet's weights.
type Node struct {
	name       string
	lease      time.Duration
	reporter   *Reporter
	replica    *Replica
	sendTimes  lease.SendTimes
	newPlanner func(now time.Duration, previous []byte) Planner // nil: there are no plans

	// Only while this gateway is leader:
	term      uint64
	planner   Planner // nil: there are no plans
	estimator *Estimator
	assigner  *Assigner
	table     Table
	parts     [][]byte
	gateways  map[string]*receivedParts
}

// NewNode returns the node of a gateway that has just started. newPlanner makes the planner of a
// new leader, which continues from the previous plan; nil: there are no plans.
func NewNode(name string, lease time.Duration, newPlanner func(now time.Duration, previous []byte) Planner) *Node {
	return &Node{name: name, lease: lease, newPlanner: newPlanner, reporter: NewReporter(), replica: NewReplica()}
}

// Tick must be called each period. It takes the observations since the last call and the listed
// endpoints, and returns the messages to send.
func (n *Node) Tick(now time.Duration, stats []Stats, list []Endpoint, leadership Leadership) (out []Outgoing) {
	n.reporter.Add(now, stats)
	n.lead(now, list, leadership)
	if leadership.Leader == "" {
		return nil
	}
	seq, parts := n.reporter.Tick(now)
	version, received := n.replica.Received()
	heartbeat := n.sendTimes.Record(now)
	for i, packed := range parts {
		r := Report{From: n.name, To: leadership.Leader, Incarnation: leadership.Incarnation, Heartbeat: heartbeat, Seq: seq, Part: i, TableVersion: version, TableParts: received, Stats: packed}
		out = append(out, Outgoing{To: leadership.Leader, Report: &r})
	}
	return out
}

// lead computes the next table while this gateway is leader. A new leader continues from what is
// in force at this gateway.
func (n *Node) lead(now time.Duration, list []Endpoint, leadership Leadership) {
	if leadership.LeadingTerm == 0 {
		n.term, n.planner, n.estimator, n.assigner, n.gateways, n.parts = 0, nil, nil, nil, nil, nil
		return
	}
	if leadership.LeadingTerm != n.term {
		n.term, n.estimator, n.assigner, n.gateways = leadership.LeadingTerm, NewEstimator(), NewAssigner(leadership.LeadingTerm, n.replica.logFactors), map[string]*receivedParts{}
		if n.newPlanner != nil {
			n.planner = n.newPlanner(now, n.replica.complete.Plan)
		}
	}
	n.estimator.SetEndpoints(now, list, func(id ID) (float64, bool) {
		logFactor, known := n.replica.logFactors[id]
		return math.Exp(logFactor), known
	})
	n.estimator.Update(now)
	all, plan := n.estimator.Estimates(), []byte(nil)
	if n.planner != nil {
		plan = n.planner.Plan(now, all)
	}
	if t := n.assigner.Step(all, plan); t.Version != n.table.Version || n.parts == nil {
		n.table, n.parts = t, t.pack()
	}
}

// maxReporters bounds the gateways that a leader accepts reports from.
const maxReporters = 512

// HandleReport takes a part of another gateway's report. false: it was invalid.
func (n *Node) HandleReport(now time.Duration, r Report, leadership Leadership) (out []Outgoing, valid bool) {
	if r.To != n.name || r.Part < 0 || r.Part >= MaxReportParts {
		return nil, false
	}
	stats, err := unpack(r.Stats)
	if err != nil {
		return nil, false
	}
	if leadership.LeadingTerm == 0 || leadership.LeadingTerm != n.term {
		return nil, true
	}
	g := n.gateways[r.From]
	if g == nil {
		if len(n.gateways) >= maxReporters {
			return nil, true
		}
		g = &receivedParts{}
		n.gateways[r.From] = g
	}
	if g.accept(now, &r) {
		n.estimator.Observe(r.From, stats)
		if n.planner != nil {
			n.planner.Observe(r.From, stats, n.estimator.WorkFactor)
		}
	}
	return n.answer(r), true
}

// answer acknowledges a part and returns parts of the table that the sender lacks.
func (n *Node) answer(r Report) (out []Outgoing) {
	a := Answer{From: n.name, To: r.From, ToIncarnation: r.Incarnation, Heartbeat: r.Heartbeat, Seq: r.Seq, Part: r.Part, Table: n.table.Version, Index: -1, Parts: len(n.parts)}
	if r.Part == 0 { // answers to the other parts would repeat the same
		for i, p := range n.parts {
			if len(out) == maxPartsAnswered {
				break
			}
			if r.TableVersion == n.table.Version && r.TableParts&(1<<i) != 0 {
				continue
			}
			partAnswer := a
			partAnswer.Index, partAnswer.Entries = i, p
			out = append(out, Outgoing{To: r.From, Answer: &partAnswer})
		}
	}
	if len(out) == 0 {
		out = append(out, Outgoing{To: r.From, Answer: &a})
	}
	return out
}

// HandleAnswer takes the leader's answer. It is not used if it is not from the current leader's
// term, or answers a report sent more than a lease ago. false: it was invalid.
func (n *Node) HandleAnswer(now time.Duration, a Answer, leadership Leadership) (valid bool) {
	sent, known := n.sendTimes.At(a.Heartbeat)
	if a.To != n.name || a.ToIncarnation != leadership.Incarnation || !known || now-sent > n.lease {
		return true
	}
	if a.From != leadership.Leader || a.Table.Term != leadership.Term {
		return true
	}
	n.reporter.Ack(a.Seq, a.Part)
	if a.Table.Seq == 0 { // the leader has no table yet
		return true
	}
	return n.replica.Apply(sent, a) == nil
}

// Factors returns the factors to apply now, and whether they have changed.
func (n *Node) Factors(now time.Duration) (map[ID]float64, bool) {
	return n.replica.Factors(now, staleLeases*n.lease)
}

// Plan returns the plan in force; nil: none is fresh.
func (n *Node) Plan(now time.Duration) []byte { return n.replica.Plan(now, staleLeases*n.lease) }

// Status is the state of a gateway.
type Status struct {
	Table     Version
	Age       time.Duration // of the table; below 0: there is none
	Stale     bool          // the listed weights are in force, or are being restored
	Endpoints int           // endpoints with a factor other than 1
	Changes   int           // changes of capacity detected; only at the leader
	Reporting int           // gateways that have reported; only at the leader
}

// Status returns the state of this gateway.
func (n *Node) Status(now time.Duration) (s Status) {
	s.Table = n.replica.Version()
	age, hasTable := n.replica.Age(now)
	s.Age, s.Stale, s.Endpoints, s.Reporting = age, !hasTable || age > staleLeases*n.lease, len(n.replica.logFactors), len(n.gateways)
	if !hasTable {
		s.Age = -1
	}
	if n.estimator != nil {
		for _, k := range n.estimator.endpoints {
			s.Changes += k.changes
		}
	}
	return s
}

// Estimates returns the estimated capacity of the endpoints, while this gateway is leader.
func (n *Node) Estimates() []Estimate {
	if n.estimator == nil {
		return nil
	}
	return n.estimator.Estimates()
}
