package quota

import "time"

// Outgoing is a message that a gateway has to send. One of Report and Reply is told.
type Outgoing struct {
	To     string
	Report *Report
	Reply  *Reply
}

// Node is both sides of a gateway on one quota: what it holds, and what it is steward of
// while others report to it.
type Node struct {
	*Participant
	set         Settings
	steward     *Steward // nil: nobody reports here
	incarnation uint64   // of the next steward
	plan        []Gateway
}

// NewNode makes a gateway that has just started, one of the plan. incarnation is to be
// drawn at random, and below 2^32.
func NewNode(now time.Duration, set Settings, name string, incarnation uint64, plan []Gateway) *Node {
	n := &Node{set: set, incarnation: incarnation, plan: plan}
	n.Participant = NewParticipant(now, set, name, incarnation, n.part(name))
	return n
}

// part is what a gateway of the plan owns.
func (n *Node) part(name string) Part {
	for _, g := range n.plan {
		if g.Name == name {
			return g.Part
		}
	}
	return 0
}

// SetGateways takes other gateways or parts, its own among them.
func (n *Node) SetGateways(now time.Duration, plan []Gateway) {
	n.plan = plan
	n.SetPart(n.part(n.name))
	if n.steward != nil {
		n.steward.SetGateways(now, plan)
	}
}

// Tick is to be called each period: it takes the demand, and those that may be steward,
// the best first. The limit is to be put in force before what it returns is sent.
func (n *Node) Tick(now time.Duration, demand Part, candidates []string) []Outgoing {
	if n.steward != nil && n.steward.Expired(now) {
		n.steward = nil
	}
	r, ok := n.Participant.Tick(now, demand, candidates)
	return report(r, ok)
}

// HandleReport takes a report as steward.
func (n *Node) HandleReport(now time.Duration, r Report) (out []Outgoing) {
	if n.steward == nil { // an incarnation of its own: what another one said counts for nothing
		n.steward = NewSteward(now, n.set, n.name, n.incarnation, n.plan)
		n.incarnation += 1 << 32
	}
	for _, reply := range n.steward.HandleReport(now, r) {
		out = append(out, Outgoing{To: reply.To, Reply: &reply})
	}
	return out
}

// HandleReply takes a steward's reply. The limit is to be put in force before what it returns
// is sent.
func (n *Node) HandleReply(now time.Duration, r Reply) []Outgoing {
	if !n.Participant.HandleReply(now, r) {
		return nil
	}
	again, ok := n.Participant.NextReport(now)
	return report(again, ok)
}

func report(r Report, ok bool) []Outgoing {
	if !ok {
		return nil
	}
	return []Outgoing{{To: r.To, Report: &r}}
}
