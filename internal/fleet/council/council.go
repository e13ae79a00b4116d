// Package council puts together what gateways decide for all of them: who holds the duty
// (package duty), and what its holder makes of all that they see (package weights). It is
// pure. What runs and what is played in virtual time is this one piece.
package council

import (
	"time"

	"spokegw/internal/fleet/duty"
	"spokegw/internal/fleet/weights"
)

// Message is one message. One of its fields is told.
type Message struct {
	DutyReport *duty.Report
	DutyReply  *duty.Reply
	Report     *weights.Report
	Answer     *weights.Answer
}

// Out is a message that a gateway has to send.
type Out struct {
	To string
	Message
}

// Sight is what a gateway sees by itself.
type Sight interface {
	// Seen is what was seen since the last call.
	Seen() []weights.Sums
	// Endpoints are those of the list.
	Endpoints() []weights.Endpoint
}

// Node is one gateway.
type Node struct {
	duty    *duty.Node
	weights *weights.Node
	sight   Sight
	next    time.Duration // when weights are next
}

// NewNode makes a gateway that has just started, one of the plan. incarnation is to be drawn
// at random, and below 2^32.
func NewNode(now time.Duration, set duty.Settings, name string, incarnation uint64, plan []string, sight Sight) *Node {
	return &Node{duty: duty.NewNode(now, set, name, incarnation, plan), weights: weights.NewNode(name, set.Lease), sight: sight, next: now}
}

// SetPlan takes the names of other gateways.
func (n *Node) SetPlan(plan []string) { n.duty.SetPlan(plan) }

// standing is where the duty stands.
func (n *Node) standing(now time.Duration) weights.Duty {
	holder, term := n.duty.Holder(now)
	return weights.Duty{Holder: holder, Term: uint64(term), Holds: uint64(n.duty.Holds(now)), Incarnation: n.duty.Incarnation()}
}

// Tick is to be called several times a lease, with those that may hold the duty, the best
// first.
func (n *Node) Tick(now time.Duration, candidates []string) (out []Out) {
	for _, o := range n.duty.Tick(now, candidates) {
		out = append(out, Out{To: o.To, Message: Message{DutyReport: o.Report}})
	}
	if now < n.next {
		return out
	}
	if n.next += weights.Period; n.next <= now { // it stood still
		n.next = now + weights.Period
	}
	for _, o := range n.weights.Tick(now, n.sight.Seen(), n.sight.Endpoints(), n.standing(now)) {
		out = append(out, Out{To: o.To, Message: Message{Report: o.Report}})
	}
	return out
}

// Take takes a message. false: it was impossible.
func (n *Node) Take(now time.Duration, m Message) (out []Out, meant bool) {
	switch {
	case m.DutyReport != nil:
		if o, ok := n.duty.TakeReport(now, *m.DutyReport); ok {
			out = append(out, Out{To: o.To, Message: Message{DutyReply: o.Reply}})
		}
	case m.DutyReply != nil:
		n.duty.Take(now, *m.DutyReply)
	case m.Report != nil:
		answers, ok := n.weights.TakeReport(now, *m.Report, n.standing(now))
		for _, o := range answers {
			out = append(out, Out{To: o.To, Message: Message{Answer: o.Answer}})
		}
		return out, ok
	case m.Answer != nil:
		return nil, n.weights.TakeAnswer(now, *m.Answer, n.standing(now))
	}
	return out, true
}

// Factors are those that endpoints' weights are to be multiplied by now, and whether they
// have changed.
func (n *Node) Factors(now time.Duration) (map[weights.ID]float64, bool) {
	return n.weights.Factors(now)
}

// InForce reports whether a table that is fresh enough is in force.
func (n *Node) InForce(now time.Duration) bool { return !n.weights.Status(now).Stale }

// Status is where a gateway stands.
type Status struct {
	Holder string // of the duty; "": nobody, as far as is known
	Holds  bool   // this one does
	weights.Status
}

// Status tells where this gateway stands.
func (n *Node) Status(now time.Duration) Status {
	d := n.standing(now)
	return Status{Holder: d.Holder, Holds: d.Holds > 0, Status: n.weights.Status(now)}
}

// Estimates are what endpoints are taken to do, while this gateway holds the duty.
func (n *Node) Estimates() []weights.Estimate { return n.weights.Estimates() }
