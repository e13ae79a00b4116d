// Package election elects one of many gateways as leader, for work that is done once for all of
// them, such as computing a shared table. There is at most one leader at any instant, whichever
// messages are dropped, delayed, duplicated or cut off by a partition, and whichever gateways
// crash, stall or restart. The package is pure: time and messages come in, messages go out; there
// is no I/O, no clock, no goroutine.
//
// Each gateway votes for one gateway at a time (Voter). A gateway is leader while it holds the
// votes of more than half of all gateways of the configuration (Candidate). The safety argument
// never compares one gateway's clock with another's:
//
//   - A voter that voted in a report votes for nobody else until a lease has certainly passed since
//     it sent that report, even with the maximum drift of the clocks (lease.SafeWait).
//   - A candidate counts a vote until one lease after it sent the reply that the report
//     acknowledges. That reply was sent before the report, so the candidate stops counting the
//     vote before the voter may give it to another.
//   - Two majorities of the same gateways have a voter in common, and so have a majority of n
//     gateways and one of n+1: a configuration with one gateway added or removed is safe to roll
//     out. The argument does not hold for configurations that differ by more: while both are in
//     force, each may have a leader. Users of the leadership must tolerate that for one lease.
//
// After a restart a voter does not know whom its previous incarnation voted for, so it casts no
// vote until that vote has expired.
//
// Each leader has a term, higher than any known to its voters, so that what an earlier leader
// left behind can be told from what the current one sends.
package election

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"spokegw/internal/fleet/lease"
)

// Settings are the same at all gateways.
type Settings struct {
	Lease time.Duration // duration of a vote
	Drift float64       // maximum relative error of a clock's rate
}

func (s Settings) safeLease() time.Duration { return lease.SafeWait(s.Lease, s.Drift) }

// Term numbers leaders: a round in the high bits, and in the low bits an identifier of the
// leader, which tells leaders of the same round apart.
type Term uint64

const (
	idBits = 32
	// maxRounds bounds the term that a gateway can claim to know.
	maxRounds = 1 << 30
)

func (t Term) round() uint64 { return uint64(t) >> idBits }

// Valid reports whether t is within the bounds of a term.
func (t Term) Valid() bool { return t.round() <= maxRounds }

// Report is what a gateway sends to the one that it wants as leader.
type Report struct {
	From          string
	Incarnation   uint64
	Seq           uint64 // number of the report within this incarnation, from 1
	To            string
	ToIncarnation uint64 // 0: not known yet
	Ack           uint64 // Seq of the latest Reply accepted from that incarnation; 0: none
	Vote          bool   // the sender votes for nobody else for a lease
	Term          Term   // the highest known
}

// Reply is the response to a Report.
type Reply struct {
	From             string
	Incarnation      uint64
	Seq              uint64 // number of the reply to this gateway, from 1
	To               string
	ToIncarnation    uint64
	Ack              uint64 // Seq of the latest Report accepted
	Term             Term   // term in which From is leader; 0: it is not
	Leader           string // the leader as far as From knows; only a hint whom to ask
	KnownIncarnation uint64 // above 0: the latest known incarnation of To, and no other field is valid
}

// Voter is the voting side of a gateway.
type Voter struct {
	settings    Settings
	name        string
	incarnation uint64
	noVoteUntil time.Duration // until then a vote of the previous incarnation may be valid

	peer      lease.PeerSelector
	replies   lease.ReplyFilter // of peer
	sendTimes lease.SendTimes
	term      Term // the highest known

	votedFor         string // the latest vote, and when it expires
	votedIncarnation uint64
	voteExpires      time.Duration

	leaderTerm  Term          // in which peer is leader, as it stated
	leaderUntil time.Duration // when that statement expires

	candidates []string      // of the latest Tick
	probed     int           // index of the candidate probed last
	hintUntil  time.Duration // until then peer is the leader named by a hint
}

// NewVoter returns the voting side of a gateway that has just started. incarnation must be drawn
// at random.
func NewVoter(now time.Duration, settings Settings, name string, incarnation uint64) *Voter {
	return &Voter{settings: settings, name: name, incarnation: max(incarnation, 1), noVoteUntil: now + settings.safeLease(), peer: lease.NewPeerSelector(settings.Lease)}
}

// Incarnation returns the gateway's incarnation, which is later than that of any previous process
// known to others.
func (v *Voter) Incarnation() uint64 { return v.incarnation }

// Term returns the highest known term.
func (v *Voter) Term() Term { return v.term }

// Leader returns the leader as far as this gateway knows, and its term; "" if none is known.
func (v *Voter) Leader(now time.Duration) (string, Term) {
	if v.leaderTerm == 0 || now >= v.leaderUntil {
		return "", 0
	}
	return v.peer.Name, v.leaderTerm
}

// Tick must be called each period. It takes the names of possible leaders, the best first, and
// returns the next reports: one to the gateway that this one wants as leader and, once no leader
// has been known for a lease, one to a further candidate. An active leader is kept even if a
// better candidate appears. Probing lets a gateway that was cut off find out which leader the
// others have.
func (v *Voter) Tick(now time.Duration, candidates []string) (all []Report) {
	v.candidates = candidates
	leader, _ := v.Leader(now)
	if unlisted := !slices.Contains(candidates, v.peer.Name); unlisted || leader == "" && now >= v.hintUntil {
		if v.peer.Select(now, candidates) {
			v.resetPeer()
		}
	}
	if v.peer.Name == "" {
		return nil
	}
	r := Report{From: v.name, Incarnation: v.incarnation, To: v.peer.Name, ToIncarnation: v.replies.Incarnation, Ack: v.replies.Latest, Term: v.term}
	r.Vote = v.vote(now)
	r.Seq = v.sendTimes.Record(now)
	all = append(all, r)
	if now-v.leaderUntil > v.settings.Lease && len(candidates) > 1 {
		v.probed = (v.probed + 1) % len(candidates)
		if to := candidates[v.probed]; to != v.peer.Name {
			all = append(all, Report{From: v.name, Incarnation: v.incarnation, To: to, Term: v.term, Seq: v.sendTimes.Record(now)})
		}
	}
	return all
}

// resetPeer discards what is known of the previous peer.
func (v *Voter) resetPeer() {
	v.replies.Reset()
	v.leaderTerm = 0
}

// followHint takes another gateway's statement of who is leader, while this one knows of none. It
// only decides whom to ask: the leadership counts only as stated by the leader itself.
func (v *Voter) followHint(now time.Duration, r Reply) {
	name := r.Leader
	if r.Term > 0 {
		name = r.From
	}
	if leader, _ := v.Leader(now); leader != "" || name == v.peer.Name || !slices.Contains(v.candidates, name) || now < v.hintUntil {
		return
	}
	v.peer.Name, v.peer.LastActive, v.hintUntil = name, now, now+v.settings.Lease
	v.resetPeer()
}

// vote reports whether the next report carries a vote, and records the vote.
func (v *Voter) vote(now time.Duration) bool {
	changed := v.votedFor != v.peer.Name || v.votedIncarnation != v.replies.Incarnation
	if v.replies.Latest == 0 || now < v.noVoteUntil || changed && now < v.voteExpires {
		return false
	}
	v.votedFor, v.votedIncarnation, v.voteExpires = v.peer.Name, v.replies.Incarnation, now+v.settings.safeLease()
	return true
}

// HandleReply takes a reply. It reports whether it was used: an unused reply is outdated, or from
// or to another gateway or incarnation, and what came with it must not be used either.
func (v *Voter) HandleReply(now time.Duration, r Reply) bool {
	if r.To != v.name {
		return false
	}
	if r.KnownIncarnation > 0 {
		if r.KnownIncarnation >= v.incarnation && r.KnownIncarnation < 1<<63 {
			v.incarnation = r.KnownIncarnation + 1
		}
		return false
	}
	sentAt, known := v.sendTimes.At(r.Ack)
	if r.ToIncarnation != v.incarnation || !known || now-sentAt > v.settings.Lease || !r.Term.Valid() {
		return false
	}
	if v.followHint(now, r); r.From != v.peer.Name {
		return false
	}
	if !v.replies.Accept(r.Incarnation, r.Seq, r.Ack) {
		return false
	}
	v.peer.LastActive = now
	if v.leaderTerm = 0; r.Term >= v.term && r.Term > 0 {
		v.term, v.leaderTerm, v.leaderUntil = r.Term, r.Term, sentAt+v.settings.Lease
	}
	return true
}

// voterState is what a candidate knows of one voter.
type voterState struct {
	name        string
	incarnation uint64
	lastReport  uint64
	sendTimes   lease.SendTimes
	voteExpires time.Duration // when its vote expires
}

// Candidate is the side of a gateway that receives votes.
type Candidate struct {
	settings     Settings
	name         string
	incarnation  uint64
	voters       []*voterState // all configured gateways, by name
	lastReportAt time.Duration
	maxTerm      Term // the highest known
	term         Term // its own; 0: it was never leader
	prevUntil    time.Duration
	expiries     []time.Duration // reused by LeaderUntil
}

// NewCandidate returns a candidate without votes. incarnation must be one that no earlier
// candidate of this gateway had.
func NewCandidate(now time.Duration, settings Settings, name string, incarnation uint64, gateways []string) *Candidate {
	c := &Candidate{settings: settings, name: name, incarnation: max(incarnation, 1), lastReportAt: now}
	c.SetGateways(gateways)
	return c
}

// SetGateways sets the names of all configured gateways.
func (c *Candidate) SetGateways(gateways []string) {
	old := c.voters
	c.voters = nil
	for _, name := range gateways {
		v := &voterState{name: name}
		if i := slices.IndexFunc(old, func(o *voterState) bool { return o.name == name }); i >= 0 {
			v = old[i]
		}
		c.voters = append(c.voters, v)
	}
	slices.SortFunc(c.voters, func(a, b *voterState) int { return strings.Compare(a.name, b.name) })
}

func (c *Candidate) voter(name string) *voterState {
	i, found := slices.BinarySearchFunc(c.voters, name, func(v *voterState, n string) int { return strings.Compare(v.name, n) })
	if !found {
		return nil
	}
	return c.voters[i]
}

// Expired reports whether no report has arrived for so long that the candidate's state may be
// discarded.
func (c *Candidate) Expired(now time.Duration) bool {
	return now-c.lastReportAt > 3*c.settings.safeLease()
}

// LeaderUntil returns when the leadership ends unless further votes arrive.
func (c *Candidate) LeaderUntil() time.Duration {
	c.expiries = c.expiries[:0]
	for _, v := range c.voters {
		c.expiries = append(c.expiries, v.voteExpires)
	}
	slices.Sort(c.expiries)
	if len(c.expiries) == 0 {
		return 0
	}
	return c.expiries[(len(c.expiries)-1)/2] // the votes of more than half expire no sooner
}

// Voters returns the names of the gateways whose votes are valid.
func (c *Candidate) Voters(now time.Duration) (names []string) {
	for _, v := range c.voters {
		if v.voteExpires > now {
			names = append(names, v.name)
		}
	}
	return names
}

// LeaderTerm returns the term of the current leadership; 0: this gateway is not leader.
func (c *Candidate) LeaderTerm(now time.Duration) Term {
	if now >= c.LeaderUntil() {
		return 0
	}
	return c.term
}

// HandleReport takes a report. false: it is invalid, outdated or meant for another.
func (c *Candidate) HandleReport(now time.Duration, r Report) (Reply, bool) {
	v := c.voter(r.From)
	if v == nil || r.To != c.name || r.Seq == 0 || !r.Term.Valid() {
		return Reply{}, false
	}
	if r.Incarnation < v.incarnation {
		return Reply{From: c.name, Incarnation: c.incarnation, To: r.From, ToIncarnation: r.Incarnation, KnownIncarnation: v.incarnation}, true
	}
	if r.Incarnation > v.incarnation { // a vote of its previous incarnation stays valid until it expires
		v.incarnation, v.lastReport = r.Incarnation, 0
		v.sendTimes.Reset()
	}
	if r.Seq <= v.lastReport {
		return Reply{}, false
	}
	v.lastReport, c.lastReportAt = r.Seq, now
	c.maxTerm = max(c.maxTerm, r.Term)
	if sentAt, known := v.sendTimes.At(r.Ack); known && r.Vote && r.ToIncarnation == c.incarnation {
		v.voteExpires = max(v.voteExpires, sentAt+c.settings.Lease)
	}
	c.updateTerm(now)
	reply := Reply{From: c.name, Incarnation: c.incarnation, To: r.From, ToIncarnation: r.Incarnation, Ack: r.Seq, Term: c.LeaderTerm(now)}
	reply.Seq = v.sendTimes.Record(now)
	return reply, true
}

// updateTerm starts a new term where leadership begins, or where a later term of another gateway
// is known.
func (c *Candidate) updateTerm(now time.Duration) {
	until := c.LeaderUntil()
	if now < until && (now >= c.prevUntil || c.term < c.maxTerm) {
		h := fnv.New32a()
		h.Write([]byte(c.name))
		c.term = Term((c.maxTerm.round()+1)<<idBits) | Term(uint32(c.incarnation)^h.Sum32())
		c.maxTerm = c.term
	}
	c.prevUntil = until
}

// Outgoing is a message that a gateway has to send. Exactly one of Report and Reply is set.
type Outgoing struct {
	To     string
	Report *Report
	Reply  *Reply
}

// Node is both sides of a gateway.
type Node struct {
	*Voter
	candidate   *Candidate // nil: nobody reports to this gateway
	incarnation uint64
	gateways    []string
}

// NewNode returns a node of a gateway that has just started and is among gateways. incarnation
// must be drawn at random, and be below 2^32.
func NewNode(now time.Duration, settings Settings, name string, incarnation uint64, gateways []string) *Node {
	return &Node{Voter: NewVoter(now, settings, name, incarnation), incarnation: incarnation, gateways: gateways}
}

// SetGateways sets the names of all configured gateways.
func (n *Node) SetGateways(gateways []string) {
	n.gateways = gateways
	if n.candidate != nil {
		n.candidate.SetGateways(gateways)
	}
}

// Tick must be called each period, with the names of possible leaders, the best first.
func (n *Node) Tick(now time.Duration, candidates []string) (out []Outgoing) {
	if n.candidate != nil && n.candidate.Expired(now) {
		n.candidate = nil
	}
	for _, r := range n.Voter.Tick(now, candidates) {
		out = append(out, Outgoing{To: r.To, Report: &r})
	}
	return out
}

// HandleReport takes another gateway's report; false: it is not used.
func (n *Node) HandleReport(now time.Duration, r Report) (Outgoing, bool) {
	if n.candidate == nil { // with an incarnation of its own: acknowledgements of an earlier candidate's replies don't count
		n.candidate = NewCandidate(now, n.settings, n.name, n.incarnation, n.gateways)
		n.incarnation += 1 << 32
	}
	reply, ok := n.candidate.HandleReport(now, r)
	reply.Leader, _ = n.Leader(now)
	return Outgoing{To: reply.To, Reply: &reply}, ok
}

// LeaderTerm returns the term in which this gateway is leader; 0: it is not.
func (n *Node) LeaderTerm(now time.Duration) Term {
	if n.candidate == nil {
		return 0
	}
	return n.candidate.LeaderTerm(now)
}

// LeaderUntil returns when this gateway's leadership ends unless further votes arrive.
func (n *Node) LeaderUntil() time.Duration {
	if n.candidate == nil {
		return 0
	}
	return n.candidate.LeaderUntil()
}

// Voters returns the gateways whose votes this one holds.
func (n *Node) Voters(now time.Duration) []string {
	if n.candidate == nil {
		return nil
	}
	return n.candidate.Voters(now)
}
