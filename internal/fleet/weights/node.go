package weights

import (
	"math"
	"time"

	"spokegw/internal/fleet/lease"
)

// staleLeases is how old a table may get before the list's own weights are gone back to.
const staleLeases = 5

// mostPartsAnswered bounds the parts of a table that one report is answered with.
const mostPartsAnswered = 4

// Outgoing is a message that a gateway has to send. One of Report and Answer is told.
type Outgoing struct {
	To     string
	Report *Report
	Answer *Answer
}

// Leadership is what package election knows at this gateway.
type Leadership struct {
	Leader      string // "": nobody, as far as is known
	Term        uint64 // the holder's
	LeadingTerm uint64 // the term in which this gateway is the holder; 0: it is not

	Incarnation uint64 // of this gateway
}

// Planner makes a plan of what all gateways see, beside the weights. It is the holder's.
type Planner interface {
	// Observe takes what a gateway saw; standard is a class's factor from hinted to standard
	// work.
	Observe(gateway string, seen []Stats, standard func(Class, bool) float64)
	// Plan is the next plan, each period; capacities are in standard work a second.
	Plan(now time.Duration, all []Estimate) []byte
}

// Node is a gateway's part in the fleet's weights.
type Node struct {
	name  string
	lease time.Duration
	meter *Reporter
	copy  *Replica
	sent  lease.SendTimes
	plans func(now time.Duration, before []byte) Planner // nil: there are none

	// While it holds the duty:
	term      uint64
	planner   Planner // nil: there is none
	estimator *Estimator
	assigner  *Assigner
	table     Table
	parts     [][]byte
	gateways  map[string]*told
}

// NewNode makes that of a gateway that has just started. plans makes the planner of one that
// gets the duty, which goes on from the plan before; nil: there is no plan.
func NewNode(name string, lease time.Duration, plans func(now time.Duration, before []byte) Planner) *Node {
	return &Node{name: name, lease: lease, plans: plans, meter: NewReporter(), copy: NewReplica()}
}

// Tick is to be called each period: it takes what was seen since, and the list. It returns
// the messages to be sent.
func (n *Node) Tick(now time.Duration, seen []Stats, list []Endpoint, d Leadership) (out []Outgoing) {
	n.meter.Add(now, seen)
	n.hold(now, list, d)
	if d.Leader == "" {
		return nil
	}
	seq, parts := n.meter.Tick(now)
	has, bits := n.copy.Received()
	beat := n.sent.Record(now)
	for i, sums := range parts {
		r := Report{From: n.name, To: d.Leader, Incarnation: d.Incarnation, Heartbeat: beat, Seq: seq, Part: i, TableVersion: has, TableParts: bits, Stats: sums}
		out = append(out, Outgoing{To: d.Leader, Report: &r})
	}
	return out
}

// hold computes the next table while the duty is this gateway's. One that has just got it
// goes on from what is in force here.
func (n *Node) hold(now time.Duration, list []Endpoint, d Leadership) {
	if d.LeadingTerm == 0 {
		n.term, n.planner, n.estimator, n.assigner, n.gateways, n.parts = 0, nil, nil, nil, nil, nil
		return
	}
	if d.LeadingTerm != n.term {
		n.term, n.estimator, n.assigner, n.gateways = d.LeadingTerm, NewEstimator(), NewAssigner(d.LeadingTerm, n.copy.now), map[string]*told{}
		if n.plans != nil {
			n.planner = n.plans(now, n.copy.whole.Plan)
		}
	}
	n.estimator.SetEndpoints(now, list, func(id ID) (float64, bool) {
		at, known := n.copy.now[id]
		return math.Exp(at), known
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

// maxTold bounds the gateways that a holder hears.
const maxTold = 512

// HandleReport takes a part of another's report. false: it was impossible.
func (n *Node) HandleReport(now time.Duration, r Report, d Leadership) (out []Outgoing, meant bool) {
	if r.To != n.name || r.Part < 0 || r.Part >= MaxReportParts {
		return nil, false
	}
	seen, err := unpack(r.Stats)
	if err != nil {
		return nil, false
	}
	if d.LeadingTerm == 0 || d.LeadingTerm != n.term {
		return nil, true
	}
	g := n.gateways[r.From]
	if g == nil {
		if len(n.gateways) >= maxTold {
			return nil, true
		}
		g = &told{}
		n.gateways[r.From] = g
	}
	if g.take(now, &r) {
		n.estimator.Observe(r.From, seen)
		if n.planner != nil {
			n.planner.Observe(r.From, seen, n.estimator.WorkFactor)
		}
	}
	return n.answer(r), true
}

// answer acknowledges a part, and gives the parts of the table that its sender lacks.
func (n *Node) answer(r Report) (out []Outgoing) {
	a := Answer{From: n.name, To: r.From, ToIncarnation: r.Incarnation, Heartbeat: r.Heartbeat, Seq: r.Seq, Part: r.Part, Table: n.table.Version, Index: -1, Parts: len(n.parts)}
	if r.Part == 0 { // others of the report would be answered with the same
		for i, p := range n.parts {
			if len(out) == mostPartsAnswered {
				break
			}
			if r.TableVersion == n.table.Version && r.TableParts&(1<<i) != 0 {
				continue
			}
			with := a
			with.Index, with.Entries = i, p
			out = append(out, Outgoing{To: r.From, Answer: &with})
		}
	}
	if len(out) == 0 {
		out = append(out, Outgoing{To: r.From, Answer: &a})
	}
	return out
}

// HandleAnswer takes the holder's answer. What is not of the present holder's term, or answers
// what went out longer than a lease ago, is not used. false: it was impossible.
func (n *Node) HandleAnswer(now time.Duration, a Answer, d Leadership) (meant bool) {
	sent, known := n.sent.At(a.Heartbeat)
	if a.To != n.name || a.ToIncarnation != d.Incarnation || !known || now-sent > n.lease {
		return true
	}
	if a.From != d.Leader || a.Table.Term != d.Term {
		return true
	}
	n.meter.Ack(a.Seq, a.Part)
	if a.Table.Seq == 0 { // it has none yet
		return true
	}
	return n.copy.Apply(sent, a) == nil
}

// Factors are those to be in force now, and whether they have changed.
func (n *Node) Factors(now time.Duration) (map[ID]float64, bool) {
	return n.copy.Factors(now, staleLeases*n.lease)
}

// Plan is that in force; nil: none that is fresh.
func (n *Node) Plan(now time.Duration) []byte { return n.copy.Plan(now, staleLeases*n.lease) }

// Status is where a gateway stands.
type Status struct {
	Table     Version
	Age       time.Duration // of the table; under 0: there is none
	Stale     bool          // the list's own weights are in force, or are gone back to
	Endpoints int           // that have another weight than the list gives them
	Changes   int           // found in what endpoints can do; the holder's
	Reporting int           // gateways; the holder's
}

// Status tells where this gateway stands.
func (n *Node) Status(now time.Duration) (s Status) {
	s.Table = n.copy.Version()
	age, got := n.copy.Age(now)
	s.Age, s.Stale, s.Endpoints, s.Reporting = age, !got || age > staleLeases*n.lease, len(n.copy.now), len(n.gateways)
	if !got {
		s.Age = -1
	}
	if n.estimator != nil {
		for _, k := range n.estimator.endpoints {
			s.Changes += k.changes
		}
	}
	return s
}

// Estimates are what the endpoints are taken to do, while the duty is this gateway's.
func (n *Node) Estimates() []Estimate {
	if n.estimator == nil {
		return nil
	}
	return n.estimator.Estimates()
}
