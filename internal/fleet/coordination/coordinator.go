// Package coordination combines what gateways decide for all of them: who is leader (package
// election), and what the leader derives from the observations of all (packages weights and
// sites). It is pure. The same code runs in production and in simulated time.
package coordination

import (
	"maps"
	"slices"
	"time"

	"spokegw/internal/fleet/election"
	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
)

// Message is one message. Exactly one of its fields is set.
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

// Observer provides a gateway's own observations.
type Observer interface {
	// Observations returns what was observed since the last call.
	Observations() []weights.Stats
	// Endpoints returns the endpoints of the list.
	Endpoints() []weights.Endpoint
	// Admission returns the IDs of the stats that count requests at admission, and the worth of a
	// request of each class.
	Admission() (map[weights.ID]bool, map[weights.Class]float64)
}

// Node is one gateway.
type Node struct {
	name        string
	gateways    []string
	planner     *planner // the latest; nil: there was none
	election    *election.Node
	weights     *weights.Node
	observer    Observer
	nextWeights time.Duration   // when the weights are updated next
	sites       *Sites          // nil: there are none
	enforcer    *sites.Enforcer // nil: there are none
	changes     []sites.Change
}

// maxChanges bounds the changes that are kept until Changes is called.
const maxChanges = 64

func (n *Node) addChange(c sites.Change) {
	if len(n.changes) < maxChanges {
		n.changes = append(n.changes, c)
	}
}

// Changes returns the changes of sites' states that this gateway found as leader since the last
// call.
func (n *Node) Changes() []sites.Change {
	all := n.changes
	n.changes = nil
	return all
}

func sortedNames(names []string) []string {
	slices.Sort(names)
	return names
}

// NewNode returns a node of a gateway that has just started and is among gateways. incarnation
// must be drawn at random, and be below 2^32. layout is the fleet's sites; nil: it has none.
func NewNode(now time.Duration, settings election.Settings, name string, incarnation uint64, gateways []string, observer Observer, layout *Sites) *Node {
	n := &Node{name: name, gateways: gateways, election: election.NewNode(now, settings, name, incarnation, gateways), observer: observer, nextWeights: now, sites: layout}
	if layout == nil {
		n.weights = weights.NewNode(name, settings.Lease, nil)
		return n
	}
	n.weights = weights.NewNode(name, settings.Lease, n.newPlanner)
	n.enforcer = sites.NewEnforcer(name, layout.Home[name], len(gateways))
	return n
}

// SetGateways sets the gateways and their sites. Whether there are sites at all is fixed at the
// start.
func (n *Node) SetGateways(gateways []string, layout *Sites) {
	n.election.SetGateways(gateways)
	n.gateways = gateways
	if n.sites == nil || layout == nil {
		return
	}
	n.sites = layout
	n.enforcer.SetHome(layout.Home[n.name], len(gateways))
	if n.planner != nil {
		n.planner.SetHome(layout.Home)
	}
}

// Enforcer returns a copy of the enforcer of the plan in force, which the node no longer changes;
// nil: there are no sites.
func (n *Node) Enforcer(now time.Duration) *sites.Enforcer {
	if n.enforcer == nil {
		return nil
	}
	plan, _ := sites.Parse(n.weights.Plan(now)) // an invalid plan counts as none
	var listed []sites.Endpoint
	if len(plan.Sites) > 0 || n.enforcer.Degraded() {
		for _, e := range n.observer.Endpoints() {
			if e.Ready {
				listed = append(listed, sites.Endpoint{ID: uint64(e.ID), Site: e.Site})
			}
		}
	}
	n.enforcer.Apply(now, plan, listed)
	return n.enforcer.Clone()
}

// leadership returns the current leadership as known at this gateway.
func (n *Node) leadership(now time.Duration) weights.Leadership {
	leader, term := n.election.Leader(now)
	return weights.Leadership{Leader: leader, Term: uint64(term), LeadingTerm: uint64(n.election.LeaderTerm(now)), Incarnation: n.election.Incarnation()}
}

// Tick must be called several times per lease, with the names of possible leaders, the best
// first.
func (n *Node) Tick(now time.Duration, candidates []string) (out []Outgoing) {
	for _, o := range n.election.Tick(now, candidates) {
		out = append(out, Outgoing{To: o.To, Message: Message{LeaderReport: o.Report}})
	}
	if now < n.nextWeights {
		return out
	}
	if n.nextWeights += weights.Period; n.nextWeights <= now { // after a process stall
		n.nextWeights = now + weights.Period
	}
	for _, o := range n.weights.Tick(now, n.observer.Observations(), n.observer.Endpoints(), n.leadership(now)) {
		out = append(out, Outgoing{To: o.To, Message: Message{Report: o.Report}})
	}
	return out
}

// Handle takes a message. false: it was invalid.
func (n *Node) Handle(now time.Duration, m Message) (out []Outgoing, valid bool) {
	switch {
	case m.LeaderReport != nil:
		if o, ok := n.election.HandleReport(now, *m.LeaderReport); ok {
			out = append(out, Outgoing{To: o.To, Message: Message{LeaderReply: o.Reply}})
		}
	case m.LeaderReply != nil:
		n.election.HandleReply(now, *m.LeaderReply)
	case m.Report != nil && !slices.Contains(n.gateways, m.Report.From): // measurements of a gateway that is not configured don't count
		return nil, false
	case m.Report != nil:
		answers, ok := n.weights.HandleReport(now, *m.Report, n.leadership(now))
		for _, o := range answers {
			out = append(out, Outgoing{To: o.To, Message: Message{Answer: o.Answer}})
		}
		return out, ok
	case m.Answer != nil:
		return nil, n.weights.HandleAnswer(now, *m.Answer, n.leadership(now))
	}
	return out, true
}

// Factors returns the factors for the endpoints' weights, and whether they have changed.
func (n *Node) Factors(now time.Duration) (map[weights.ID]float64, bool) {
	return n.weights.Factors(now)
}

// HasFreshTable reports whether a table that is fresh enough is in force.
func (n *Node) HasFreshTable(now time.Duration) bool { return !n.weights.Status(now).Stale }

// Status is the state of a gateway.
type Status struct {
	Leader  string // "": none as far as is known
	Leading bool   // this gateway is leader
	weights.Status
	Sites []SiteStatus // by name; empty: there are no sites
}

// SiteStatus is the state of a site by the plan in force at this gateway.
type SiteStatus struct {
	Name     string
	State    sites.State
	Fraction float64 // of its endpoints that this gateway sends first attempts to
}

// Status returns the state of this gateway.
func (n *Node) Status(now time.Duration) Status {
	leadership := n.leadership(now)
	s := Status{Leader: leadership.Leader, Leading: leadership.LeadingTerm > 0, Status: n.weights.Status(now)}
	if n.sites != nil {
		for _, name := range slices.Sorted(maps.Keys(n.sites.Near)) {
			state, fraction := n.enforcer.Site(name)
			s.Sites = append(s.Sites, SiteStatus{name, state, fraction})
		}
	}
	return s
}

// Estimates returns the estimated capacity of the endpoints, while this gateway is leader.
func (n *Node) Estimates() []weights.Estimate { return n.weights.Estimates() }
