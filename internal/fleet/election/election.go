// Package election has one of many gateways hold a duty for all, such as computing a table that
// all use, with at most one of them at each instant: whatever is dropped, delayed, repeated
// or cut, whoever crashes, stands still or starts anew. It is pure: time and messages come
// in, messages go out; there is no I/O, no clock, no goroutine.
//
// Each gateway promises itself to one other at a time (Voter). One holds the duty while more
// than half of all gateways of the plan are promised to it (Candidate). The argument needs no
// clock to be compared with another:
//
//   - A voter that promised itself in a report promises nobody else anything until a lease
//     after it sent that report has surely passed.
//   - A seat counts a promise until a lease after it sent the reply that the report answers,
//     which was earlier.
//   - Two sets of more than half of the same gateways have one in common, and so do those of
//     n and of n+1: a plan in which one gateway more or less stands is taken over safely. Where
//     it can do harm: plans that differ by more, while both are in force, may have a holder
//     each. Whoever uses the duty has to bear that for a lease.
//
// After a start it is not known to whom the former self was promised: a voter promises
// nothing until that has ended.
//
// Each holder has a term, higher than any that those promised to it knew of, so that what an
// earlier one left behind is told from what the present one says.
package election

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"spokegw/internal/fleet/lease"
)

// Settings are those of all gateways.
type Settings struct {
	Lease time.Duration // that a promise lasts
	Drift float64       // by which a clock's rate may differ from the true one, at most
}

func (s Settings) surely() time.Duration { return lease.SafeWait(s.Lease, s.Drift) }

// Term numbers holders: a round, and below it what tells one holder of a round from another.
type Term uint64

const (
	idBits = 32
	// mostRounds bounds what a member can claim to know of.
	mostRounds = 1 << 30
)

func (t Term) round() uint64 { return uint64(t) >> idBits }

// Valid reports whether a term can be one.
func (t Term) Valid() bool { return t.round() <= mostRounds }

// Report is what a gateway tells the one that it would have hold the duty.
type Report struct {
	From          string
	Incarnation   uint64
	Seq           uint64 // of this incarnation's reports, from 1
	To            string
	ToIncarnation uint64 // 0: not known yet
	Ack           uint64 // the latest Reply taken from that incarnation; 0: none
	Vote          bool   // nobody else is promised anything for a lease
	Term          Term   // the highest that is known
}

// Reply is what it is answered.
type Reply struct {
	From             string
	Incarnation      uint64
	Seq              uint64 // of the replies to this gateway, from 1
	To               string
	ToIncarnation    uint64
	Ack              uint64 // the latest Report taken
	Term             Term   // in which From holds the duty; 0: it does not
	Leader           string // who does, as far as From knows; a hint of whom to ask
	KnownIncarnation uint64 // over 0: so late an incarnation of To is known, and nothing else is told
}

// Voter is the side of a gateway that promises itself.
type Voter struct {
	set         Settings
	name        string
	incarnation uint64
	fresh       time.Duration // until then a former self may be promised

	choice  lease.PeerSelector
	replies lease.ReplyFilter // the choice's
	sent    lease.SendTimes
	term    Term // the highest known

	promisedTo string // the latest, and until when
	promisedIs uint64
	promised   time.Duration

	holds Term          // in which the choice holds the duty, as it said
	until time.Duration // and for how long that is believed

	candidates []string      // the latest
	asked      int           // of them, who holds the duty
	hinted     time.Duration // the choice is one that was named, until then
}

// NewVoter makes the side of a gateway that has just started. incarnation is to be drawn at
// random.
func NewVoter(now time.Duration, set Settings, name string, incarnation uint64) *Voter {
	return &Voter{set: set, name: name, incarnation: max(incarnation, 1), fresh: now + set.surely(), choice: lease.NewPeerSelector(set.Lease)}
}

// Incarnation is the gateway's: later than that of any former self that others know of.
func (v *Voter) Incarnation() uint64 { return v.incarnation }

// Term is the highest that is known.
func (v *Voter) Term() Term { return v.term }

// Leader is who holds the duty, as far as this gateway knows, and its term; "": nobody.
func (v *Voter) Leader(now time.Duration) (string, Term) {
	if v.holds == 0 || now >= v.until {
		return "", 0
	}
	return v.choice.Name, v.holds
}

// Tick is to be called each period. It takes those that may hold the duty, the best first,
// and returns the next reports: to whom this gateway would have hold it, and, while it has
// known for a lease of nobody that does, to one more that may. Who holds it stays so while it
// says so, whoever would be better: a gateway that was away finds out whom the others have.
func (v *Voter) Tick(now time.Duration, candidates []string) (all []Report) {
	v.candidates = candidates
	holder, _ := v.Leader(now)
	if away := !slices.Contains(candidates, v.choice.Name); away || holder == "" && now >= v.hinted {
		if v.choice.Select(now, candidates) {
			v.turn()
		}
	}
	if v.choice.Name == "" {
		return nil
	}
	r := Report{From: v.name, Incarnation: v.incarnation, To: v.choice.Name, ToIncarnation: v.replies.Incarnation, Ack: v.replies.Latest, Term: v.term}
	r.Vote = v.promise(now)
	r.Seq = v.sent.Record(now)
	all = append(all, r)
	if now-v.until > v.set.Lease && len(candidates) > 1 {
		v.asked = (v.asked + 1) % len(candidates)
		if to := candidates[v.asked]; to != v.choice.Name {
			all = append(all, Report{From: v.name, Incarnation: v.incarnation, To: to, Term: v.term, Seq: v.sent.Record(now)})
		}
	}
	return all
}

// turn forgets what was of the choice before.
func (v *Voter) turn() {
	v.replies.Reset()
	v.holds = 0
}

// hint takes another's word of who holds the duty, while this gateway knows of nobody. It is
// only asked: what it says itself counts.
func (v *Voter) hint(now time.Duration, r Reply) {
	name := r.Leader
	if r.Term > 0 {
		name = r.From
	}
	if holder, _ := v.Leader(now); holder != "" || name == v.choice.Name || !slices.Contains(v.candidates, name) || now < v.hinted {
		return
	}
	v.choice.Name, v.choice.LastActive, v.hinted = name, now, now+v.set.Lease
	v.turn()
}

// promise reports whether the next report promises, and notes that.
func (v *Voter) promise(now time.Duration) bool {
	other := v.promisedTo != v.choice.Name || v.promisedIs != v.replies.Incarnation
	if v.replies.Latest == 0 || now < v.fresh || other && now < v.promised {
		return false
	}
	v.promisedTo, v.promisedIs, v.promised = v.choice.Name, v.replies.Incarnation, now+v.set.surely()
	return true
}

// HandleReply takes a reply. It reports whether it was used: what comes with one that is not is
// late, or another's.
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
	at, known := v.sent.At(r.Ack)
	if r.ToIncarnation != v.incarnation || !known || now-at > v.set.Lease || !r.Term.Valid() {
		return false
	}
	if v.hint(now, r); r.From != v.choice.Name {
		return false
	}
	if !v.replies.Accept(r.Incarnation, r.Seq, r.Ack) {
		return false
	}
	v.choice.LastActive = now
	if v.holds = 0; r.Term >= v.term && r.Term > 0 {
		v.term, v.holds, v.until = r.Term, r.Term, at+v.set.Lease
	}
	return true
}

// voice is what a seat knows of one voter.
type voice struct {
	name        string
	incarnation uint64
	heard       uint64
	sent        lease.SendTimes
	promised    time.Duration // it is, until then
}

// Candidate is the side of a gateway that others promise themselves to.
type Candidate struct {
	set         Settings
	name        string
	incarnation uint64
	voices      []*voice // of the plan, by name
	heardAt     time.Duration
	known       Term // the highest
	term        Term // its own; 0: it never held the duty
	held        time.Duration
	ends        []time.Duration // scratch
}

// NewCandidate makes a seat that nobody has promised anything yet. incarnation is one that no
// seat of this gateway had before.
func NewCandidate(now time.Duration, set Settings, name string, incarnation uint64, plan []string) *Candidate {
	s := &Candidate{set: set, name: name, incarnation: max(incarnation, 1), heardAt: now}
	s.SetGateways(plan)
	return s
}

// SetGateways takes the names of all gateways.
func (s *Candidate) SetGateways(plan []string) {
	old := s.voices
	s.voices = nil
	for _, name := range plan {
		v := &voice{name: name}
		if i := slices.IndexFunc(old, func(o *voice) bool { return o.name == name }); i >= 0 {
			v = old[i]
		}
		s.voices = append(s.voices, v)
	}
	slices.SortFunc(s.voices, func(a, b *voice) int { return strings.Compare(a.name, b.name) })
}

func (s *Candidate) voice(name string) *voice {
	i, found := slices.BinarySearchFunc(s.voices, name, func(v *voice, n string) int { return strings.Compare(v.name, n) })
	if !found {
		return nil
	}
	return s.voices[i]
}

// Expired reports whether nobody has told the seat anything for so long that it may be forgotten.
func (s *Candidate) Expired(now time.Duration) bool { return now-s.heardAt > 3*s.set.surely() }

// LeaderUntil is how long the duty is held if nothing more is heard.
func (s *Candidate) LeaderUntil() time.Duration {
	s.ends = s.ends[:0]
	for _, v := range s.voices {
		s.ends = append(s.ends, v.promised)
	}
	slices.Sort(s.ends)
	if len(s.ends) == 0 {
		return 0
	}
	return s.ends[(len(s.ends)-1)/2] // more than half end no sooner
}

// Voters is how many gateways have been heard of within a lease, with their names.
func (s *Candidate) Voters(now time.Duration) (names []string) {
	for _, v := range s.voices {
		if v.promised > now {
			names = append(names, v.name)
		}
	}
	return names
}

// LeaderTerm is the term in which the duty is held now; 0: it is not.
func (s *Candidate) LeaderTerm(now time.Duration) Term {
	if now >= s.LeaderUntil() {
		return 0
	}
	return s.term
}

// HandleReport takes a report. false: it is none of its own, or late.
func (s *Candidate) HandleReport(now time.Duration, r Report) (Reply, bool) {
	v := s.voice(r.From)
	if v == nil || r.To != s.name || r.Seq == 0 || !r.Term.Valid() {
		return Reply{}, false
	}
	if r.Incarnation < v.incarnation {
		return Reply{From: s.name, Incarnation: s.incarnation, To: r.From, ToIncarnation: r.Incarnation, KnownIncarnation: v.incarnation}, true
	}
	if r.Incarnation > v.incarnation { // what its former self promised lasts to its end
		v.incarnation, v.heard = r.Incarnation, 0
		v.sent.Reset()
	}
	if r.Seq <= v.heard {
		return Reply{}, false
	}
	v.heard, s.heardAt = r.Seq, now
	s.known = max(s.known, r.Term)
	if at, known := v.sent.At(r.Ack); known && r.Vote && r.ToIncarnation == s.incarnation {
		v.promised = max(v.promised, at+s.set.Lease)
	}
	s.settle(now)
	reply := Reply{From: s.name, Incarnation: s.incarnation, To: r.From, ToIncarnation: r.Incarnation, Ack: r.Seq, Term: s.LeaderTerm(now)}
	reply.Seq = v.sent.Record(now)
	return reply, true
}

// settle takes a term where the duty is held anew, or another one's later is known.
func (s *Candidate) settle(now time.Duration) {
	until := s.LeaderUntil()
	if now < until && (now >= s.held || s.term < s.known) {
		h := fnv.New32a()
		h.Write([]byte(s.name))
		s.term = Term((s.known.round()+1)<<idBits) | Term(uint32(s.incarnation)^h.Sum32())
		s.known = s.term
	}
	s.held = until
}

// Outgoing is a message that a gateway has to send. One of Report and Reply is told.
type Outgoing struct {
	To     string
	Report *Report
	Reply  *Reply
}

// Node is both sides of a gateway.
type Node struct {
	*Voter
	seat        *Candidate // nil: nobody reports here
	incarnation uint64
	plan        []string
}

// NewNode makes a gateway that has just started, one of the plan. incarnation is to be drawn
// at random, and below 2^32.
func NewNode(now time.Duration, set Settings, name string, incarnation uint64, plan []string) *Node {
	return &Node{Voter: NewVoter(now, set, name, incarnation), incarnation: incarnation, plan: plan}
}

// SetGateways takes the names of other gateways.
func (n *Node) SetGateways(plan []string) {
	n.plan = plan
	if n.seat != nil {
		n.seat.SetGateways(plan)
	}
}

// Tick is to be called each period, with those that may hold the duty, the best first.
func (n *Node) Tick(now time.Duration, candidates []string) (out []Outgoing) {
	if n.seat != nil && n.seat.Expired(now) {
		n.seat = nil
	}
	for _, r := range n.Voter.Tick(now, candidates) {
		out = append(out, Outgoing{To: r.To, Report: &r})
	}
	return out
}

// HandleReport takes another's report; false: it is not used.
func (n *Node) HandleReport(now time.Duration, r Report) (Outgoing, bool) {
	if n.seat == nil { // an incarnation of its own: what another one said counts for nothing
		n.seat = NewCandidate(now, n.set, n.name, n.incarnation, n.plan)
		n.incarnation += 1 << 32
	}
	reply, ok := n.seat.HandleReport(now, r)
	reply.Leader, _ = n.Leader(now)
	return Outgoing{To: reply.To, Reply: &reply}, ok
}

// LeaderTerm is the term in which this gateway itself holds the duty; 0: it does not.
func (n *Node) LeaderTerm(now time.Duration) Term {
	if n.seat == nil {
		return 0
	}
	return n.seat.LeaderTerm(now)
}

// LeaderUntil is how long it does if nothing more is heard.
func (n *Node) LeaderUntil() time.Duration {
	if n.seat == nil {
		return 0
	}
	return n.seat.LeaderUntil()
}

// Voters are the gateways that are promised to this one now.
func (n *Node) Voters(now time.Duration) []string {
	if n.seat == nil {
		return nil
	}
	return n.seat.Voters(now)
}
