package quota

import "time"

// Outgoing is a message that a gateway has to send. Exactly one of Report and Reply is set.
type Outgoing struct {
	To     string
	Report *Report
	Reply  *Reply
}

// Node is both sides of a gateway for one quota: a participant, and a steward while others report
// to it.
type Node struct {
	*Participant
	settings    Settings
	steward     *Steward // nil: nobody reports to this gateway
	incarnation uint64   // of the next steward
	gateways    []Gateway
}

// NewNode returns a node of a gateway that has just started and is among gateways. incarnation
// must be drawn at random, and be below 2^32.
func NewNode(now time.Duration, settings Settings, name string, incarnation uint64, gateways []Gateway) *Node {
	n := &Node{settings: settings, incarnation: incarnation, gateways: gateways}
	n.Participant = NewParticipant(now, settings, name, incarnation, n.part(name))
	return n
}

// part returns the part that a configured gateway owns.
func (n *Node) part(name string) Part {
	for _, g := range n.gateways {
		if g.Name == name {
			return g.Part
		}
	}
	return 0
}

// SetGateways sets the gateways and their parts, including its own.
func (n *Node) SetGateways(now time.Duration, gateways []Gateway) {
	n.gateways = gateways
	n.SetPart(n.part(n.name))
	if n.steward != nil {
		n.steward.SetGateways(now, gateways)
	}
}

// Tick must be called each period. It takes the demand and the names of possible stewards, the
// best first. The limit must be enforced before the returned messages are sent.
func (n *Node) Tick(now time.Duration, demand Part, candidates []string) []Outgoing {
	if n.steward != nil && n.steward.Expired(now) {
		n.steward = nil
	}
	r, ok := n.Participant.Tick(now, demand, candidates)
	return reportMessages(r, ok)
}

// HandleReport takes a report as steward.
func (n *Node) HandleReport(now time.Duration, r Report) (out []Outgoing) {
	if n.steward == nil { // with an incarnation of its own: acknowledgements of an earlier steward's replies don't count
		n.steward = NewSteward(now, n.settings, n.name, n.incarnation, n.gateways)
		n.incarnation += 1 << 32
	}
	for _, reply := range n.steward.HandleReport(now, r) {
		out = append(out, Outgoing{To: reply.To, Reply: &reply})
	}
	return out
}

// HandleReply takes a steward's reply. The limit must be enforced before the returned messages
// are sent.
func (n *Node) HandleReply(now time.Duration, r Reply) []Outgoing {
	if !n.Participant.HandleReply(now, r) {
		return nil
	}
	next, ok := n.Participant.NextReport(now)
	return reportMessages(next, ok)
}

func reportMessages(r Report, ok bool) []Outgoing {
	if !ok {
		return nil
	}
	return []Outgoing{{To: r.To, Report: &r}}
}
