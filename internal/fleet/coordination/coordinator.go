// Package coordination puts together what gateways decide for all of them: who holds the duty
// (package election), and what its holder makes of all that they see (package weights). It is
// pure. What runs and what is played in virtual time is this one piece.
package coordination

import (
	"maps"
	"slices"
	"time"

	"spokegw/internal/fleet/election"
	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
)

// Message is one message. One of its fields is told.
type Message struct {
	LeaderReport *election.Report
	LeaderReply  *election.Reply
	Report       *weights.Report
	Answer       *weights.Answer
}

// Outgoing is a message that a gateway has to send.
type Outgoing struct {
	To string
	Message
}

// Observer is what a gateway sees by itself.
type Observer interface {
	// Observations is what was seen since the last call.
	Observations() []weights.Stats
	// Endpoints are those of the list.
	Endpoints() []weights.Endpoint
	// Admission name the sums of what was asked for, and what a request of each class is worth.
	Admission() (map[weights.ID]bool, map[weights.Class]float64)
}

// Node is one gateway.
type Node struct {
	name    string
	plan    []string // gateways
	planner *planner // the latest; nil: there was none
	duty    *election.Node
	weights *weights.Node
	sight   Observer
	next    time.Duration   // when weights are next
	sites   *Sites          // nil: there are none
	door    *sites.Enforcer // nil: there are none
	changes []sites.Change
}

// mostChanges bounds what is kept until it is told.
const mostChanges = 64

func (n *Node) changed(c sites.Change) {
	if len(n.changes) < mostChanges {
		n.changes = append(n.changes, c)
	}
}

// Changes are those of sites' states that this gateway, which holds the duty, found since the
// last call.
func (n *Node) Changes() []sites.Change {
	all := n.changes
	n.changes = nil
	return all
}

func sortedNames(names []string) []string {
	slices.Sort(names)
	return names
}

// NewNode makes a gateway that has just started, one of the plan. incarnation is to be drawn
// at random, and below 2^32. of are the fleet's sites; nil: it has none.
func NewNode(now time.Duration, set election.Settings, name string, incarnation uint64, plan []string, sight Observer, of *Sites) *Node {
	n := &Node{name: name, plan: plan, duty: election.NewNode(now, set, name, incarnation, plan), sight: sight, next: now, sites: of}
	if of == nil {
		n.weights = weights.NewNode(name, set.Lease, nil)
		return n
	}
	n.weights = weights.NewNode(name, set.Lease, n.newPlanner)
	n.door = sites.NewEnforcer(name, of.Home[name], len(plan))
	return n
}

// SetGateways takes the names of other gateways, and their sites. Whether there are sites at all
// is of the start.
func (n *Node) SetGateways(plan []string, of *Sites) {
	n.duty.SetGateways(plan)
	n.plan = plan
	if n.sites == nil || of == nil {
		return
	}
	n.sites = of
	n.door.SetHome(of.Home[n.name], len(plan))
	if n.planner != nil {
		n.planner.SetHome(of.Home)
	}
}

// Enforcer is what this gateway does about sites from now on. It is not changed; nil: there are
// no sites.
func (n *Node) Enforcer(now time.Duration) *sites.Enforcer {
	if n.door == nil {
		return nil
	}
	plan, _ := sites.Parse(n.weights.Plan(now)) // what can't be meant is none
	var listed []sites.Endpoint
	if len(plan.Sites) > 0 || n.door.Degraded() {
		for _, e := range n.sight.Endpoints() {
			if e.Ready {
				listed = append(listed, sites.Endpoint{ID: uint64(e.ID), Site: e.Site})
			}
		}
	}
	n.door.Apply(now, plan, listed)
	return n.door.Clone()
}

// standing is where the duty stands.
func (n *Node) standing(now time.Duration) weights.Leadership {
	holder, term := n.duty.Leader(now)
	return weights.Leadership{Leader: holder, Term: uint64(term), LeadingTerm: uint64(n.duty.LeaderTerm(now)), Incarnation: n.duty.Incarnation()}
}

// Tick is to be called several times a lease, with those that may hold the duty, the best
// first.
func (n *Node) Tick(now time.Duration, candidates []string) (out []Outgoing) {
	for _, o := range n.duty.Tick(now, candidates) {
		out = append(out, Outgoing{To: o.To, Message: Message{LeaderReport: o.Report}})
	}
	if now < n.next {
		return out
	}
	if n.next += weights.Period; n.next <= now { // it stood still
		n.next = now + weights.Period
	}
	for _, o := range n.weights.Tick(now, n.sight.Observations(), n.sight.Endpoints(), n.standing(now)) {
		out = append(out, Outgoing{To: o.To, Message: Message{Report: o.Report}})
	}
	return out
}

// Handle takes a message. false: it was impossible.
func (n *Node) Handle(now time.Duration, m Message) (out []Outgoing, meant bool) {
	switch {
	case m.LeaderReport != nil:
		if o, ok := n.duty.HandleReport(now, *m.LeaderReport); ok {
			out = append(out, Outgoing{To: o.To, Message: Message{LeaderReply: o.Reply}})
		}
	case m.LeaderReply != nil:
		n.duty.HandleReply(now, *m.LeaderReply)
	case m.Report != nil && !slices.Contains(n.plan, m.Report.From): // a stranger's measurements count for nothing
		return nil, false
	case m.Report != nil:
		answers, ok := n.weights.HandleReport(now, *m.Report, n.standing(now))
		for _, o := range answers {
			out = append(out, Outgoing{To: o.To, Message: Message{Answer: o.Answer}})
		}
		return out, ok
	case m.Answer != nil:
		return nil, n.weights.HandleAnswer(now, *m.Answer, n.standing(now))
	}
	return out, true
}

// Factors are those that endpoints' weights are to be multiplied by now, and whether they
// have changed.
func (n *Node) Factors(now time.Duration) (map[weights.ID]float64, bool) {
	return n.weights.Factors(now)
}

// HasFreshTable reports whether a table that is fresh enough is in force.
func (n *Node) HasFreshTable(now time.Duration) bool { return !n.weights.Status(now).Stale }

// Status is where a gateway stands.
type Status struct {
	Leader  string // of the duty; "": nobody, as far as is known
	Leading bool   // this one does
	weights.Status
	Sites []SiteStatus // by name; none: there are no sites
}

// SiteStatus is where a site stands by the plan in force here.
type SiteStatus struct {
	Name     string
	State    sites.State
	Fraction float64 // of its endpoints that this gateway meets
}

// Status tells where this gateway stands.
func (n *Node) Status(now time.Duration) Status {
	d := n.standing(now)
	s := Status{Leader: d.Leader, Leading: d.LeadingTerm > 0, Status: n.weights.Status(now)}
	if n.sites != nil {
		for _, name := range slices.Sorted(maps.Keys(n.sites.Near)) {
			state, part := n.door.Site(name)
			s.Sites = append(s.Sites, SiteStatus{name, state, part})
		}
	}
	return s
}

// Estimates are what endpoints are taken to do, while this gateway holds the duty.
func (n *Node) Estimates() []weights.Estimate { return n.weights.Estimates() }
