package quota

import (
	"slices"
	"time"

	"spokegw/internal/fleet/lease"
)

const (
	maxEntries  = 16 // per steward
	maxStewards = 8  // stewards that hold loans of this gateway at the same time
)

// loans are what was lent to one steward.
type loans struct {
	steward     string
	incarnation uint64
	entries     entries // ends in nanoseconds of this gateway's clock
}

// Participant is a gateway's side: what it owns, has lent and was granted of one quota.
type Participant struct {
	settings Settings
	name     string
	part     Part

	incarnation      uint64
	floorUntil       time.Duration // until then loans of the previous incarnation may be in use
	incarnationBumps int           // number of times that a later incarnation was known

	steward   lease.PeerSelector
	replies   lease.ReplyFilter // of the steward
	sendTimes lease.SendTimes

	loans      []loans
	grant      Part
	grantUntil time.Duration
	lendTarget Part
	demand     Part
}

// NewParticipant returns the participant of a gateway that has just started. incarnation must be
// drawn at random: of two processes with the same name, the one with the lower incarnation is
// told of the other.
func NewParticipant(now time.Duration, settings Settings, name string, incarnation uint64, part Part) *Participant {
	return &Participant{settings: settings, name: name, part: part, incarnation: max(incarnation, 1), floorUntil: now + settings.safeWait(settings.Lease), steward: lease.NewPeerSelector(settings.Lease)}
}

// Incarnation returns the gateway's incarnation. IncarnationBumps returns how often a later
// incarnation of its name was known elsewhere: more than one means that two processes use the
// name.
func (p *Participant) Incarnation() uint64   { return p.incarnation }
func (p *Participant) IncarnationBumps() int { return p.incarnationBumps }

// Steward returns the steward that the gateway reports to; "" if there is none.
func (p *Participant) Steward() string { return p.steward.Name }

// SetPart changes the part that the gateway owns.
func (p *Participant) SetPart(part Part) { p.part = clamp(part) }

// LoansFitPart reports whether the loans fit the part that the gateway owns. A reduced part has
// taken full effect from then on.
func (p *Participant) LoansFitPart(now time.Duration) bool { return p.lent(now) <= p.part }

func (p *Participant) floor() Part { return Part(floorPart * float64(p.part)) }

// lent returns how much of the part others may use.
func (p *Participant) lent(now time.Duration) (sum Part) {
	for i := range p.loans {
		sum += p.loans[i].entries.maxAt(int64(now))
	}
	return sum
}

// Limit returns what the gateway may admit.
func (p *Participant) Limit(now time.Duration) Limit {
	own := p.part
	if now < p.floorUntil {
		own = p.floor()
	}
	l := Limit{Own: max(0, own-p.lent(now))}
	if now < p.grantUntil {
		l.Grant, l.Until = p.grant, p.grantUntil
	}
	return l
}

// Tick takes the gateway's demand and the names of possible stewards, the best first. It returns
// the next report; false: there is no steward to report to. The limit must be enforced before the
// report is sent.
func (p *Participant) Tick(now time.Duration, demand Part, candidates []string) (Report, bool) {
	p.demand = clamp(demand)
	p.selectSteward(now, candidates)
	if p.steward.Name == "" {
		return Report{}, false
	}
	return p.report(now), true
}

// NextReport returns one more report with the same demand as the last.
func (p *Participant) NextReport(now time.Duration) (Report, bool) {
	if p.steward.Name == "" {
		return Report{}, false
	}
	return p.report(now), true
}

// selectSteward selects the best steward that is not silent.
func (p *Participant) selectSteward(now time.Duration, candidates []string) {
	if p.steward.Select(now, candidates) {
		p.replies.Reset()
		p.lendTarget = 0
	}
}

// report returns the next report and records what it lends.
func (p *Participant) report(now time.Duration) Report {
	p.dropExpired(now)
	r := Report{
		From: p.name, Incarnation: p.incarnation, To: p.steward.Name, ToIncarnation: p.replies.Incarnation,
		Ack: p.replies.Latest, Demand: p.demand, Lend: p.toLend(now),
	}
	r.Seq = p.sendTimes.Record(now)
	if r.Lend > 0 {
		c := p.loansTo(p.steward.Name, p.replies.Incarnation)
		c.entries = c.entries.add(entry{r.Incarnation, r.Seq, r.Lend, int64(now + p.settings.safeWait(p.settings.Lease))})
		if n := len(c.entries); n > maxEntries { // merge the two oldest into one that covers both
			a, b := c.entries[0], c.entries[1]
			c.entries = slices.Delete(c.entries, 0, 1)
			c.entries[0] = entry{b.incarnation, max(a.seq, b.seq), max(a.amount, b.amount), max(a.end, b.end)}
		}
	}
	return r
}

// toLend returns how much the next report lends: what the steward asks for, of what is unused.
func (p *Participant) toLend(now time.Duration) Part {
	if p.replies.Latest == 0 || now < p.floorUntil || p.lendTarget <= 0 {
		return 0
	}
	otherLoans := Part(0)
	for i := range p.loans {
		if c := &p.loans[i]; c.steward != p.steward.Name || c.incarnation != p.replies.Incarnation {
			otherLoans += c.entries.maxAt(int64(now))
		}
	}
	retained := max(p.floor(), Part(spareDemand*float64(p.demand)))
	if p.loansTo(p.steward.Name, p.replies.Incarnation) == nil {
		return 0
	}
	return max(0, min(p.lendTarget, p.part-retained-otherLoans))
}

// loansTo returns the loans to a steward; nil: the limit on the number of stewards is reached.
func (p *Participant) loansTo(steward string, incarnation uint64) *loans {
	for i := range p.loans {
		if c := &p.loans[i]; c.steward == steward && c.incarnation == incarnation {
			return c
		}
	}
	if len(p.loans) >= maxStewards {
		return nil
	}
	p.loans = append(p.loans, loans{steward: steward, incarnation: incarnation})
	return &p.loans[len(p.loans)-1]
}

// dropExpired removes expired loans.
func (p *Participant) dropExpired(now time.Duration) {
	for i := range p.loans {
		p.loans[i].entries = p.loans[i].entries.remove(func(e entry) bool { return e.end <= int64(now) })
	}
	p.loans = slices.DeleteFunc(p.loans, func(c loans) bool { return len(c.entries) == 0 })
}

// HandleReply takes a reply. It reports whether the steward should get a report at once: because
// a grant shrank, which others wait for, or because it asks for more.
func (p *Participant) HandleReply(now time.Duration, r Reply) (urgent bool) {
	if r.To != p.name {
		return false
	}
	if r.KnownIncarnation > 0 {
		if r.KnownIncarnation >= p.incarnation && r.KnownIncarnation < 1<<63 {
			p.incarnation = r.KnownIncarnation + 1
			p.incarnationBumps++
		}
		return false
	}
	if r.ToIncarnation != p.incarnation || r.From != p.steward.Name {
		return false
	}
	if !p.replies.Accept(r.Incarnation, r.Seq, r.Ack) {
		return false
	}
	p.steward.LastActive = now
	prevGrant, prevTarget := p.Limit(now).Grant, p.lendTarget
	p.lendTarget = clamp(r.LendTarget)
	p.grant, p.grantUntil = 0, 0
	if sentAt, known := p.sendTimes.At(r.Ack); known && r.GrantTTL > 0 && r.GrantTTL <= p.settings.Lease && sentAt+r.GrantTTL > now {
		p.grant, p.grantUntil = clamp(r.Grant), sentAt+r.GrantTTL
	}
	p.reduceLoans(r)
	return p.grant < prevGrant || p.lendTarget > prevTarget
}

// reduceLoans applies a steward's statement that it no longer uses more than an amount of the
// loans up to a report.
func (p *Participant) reduceLoans(r Reply) {
	for i := range p.loans {
		c := &p.loans[i]
		if c.steward != r.From || c.incarnation != r.Incarnation {
			continue
		}
		for j := range c.entries {
			if e := &c.entries[j]; e.seq <= r.Ack && e.incarnation == r.ToIncarnation {
				e.amount = min(e.amount, clamp(r.LoanInUse))
			}
		}
	}
}
