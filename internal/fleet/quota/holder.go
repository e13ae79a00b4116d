package quota

import (
	"slices"
	"time"

	"spokegw/internal/fleet/lease"
)

const (
	mostEntries = 16 // for one other
	mostTo      = 8  // stewards to which something is ceded at a time
)

// ceded is what was ceded to one steward.
type ceded struct {
	steward     string
	incarnation uint64
	entries     entries // ends in nanoseconds of this gateway's clock
}

// Participant is a gateway's side: what it owns, cedes and holds of one quota.
type Participant struct {
	set  Settings
	name string
	part Part

	incarnation uint64
	fresh       time.Duration // until then a former self's cessions may be in use
	bumped      int           // times that a later incarnation was known

	steward lease.PeerSelector
	replies lease.ReplyFilter // the steward's
	sent    lease.SendTimes

	ceded  []ceded
	grant  Part
	until  time.Duration
	ask    Part
	demand Part
}

// NewParticipant makes the side of a gateway that has just started. incarnation is to be drawn
// at random: of two processes of one name the later one finds out.
func NewParticipant(now time.Duration, set Settings, name string, incarnation uint64, part Part) *Participant {
	return &Participant{set: set, name: name, part: part, incarnation: max(incarnation, 1), fresh: now + set.surely(set.Lease), steward: lease.NewPeerSelector(set.Lease)}
}

// Incarnation is the gateway's, and IncarnationBumps how often another one of its name was known to
// be later: more than once tells that the name is taken twice.
func (h *Participant) Incarnation() uint64   { return h.incarnation }
func (h *Participant) IncarnationBumps() int { return h.bumped }

// Steward is whom the gateway reports to; "": nobody.
func (h *Participant) Steward() string { return h.steward.Name }

// SetPart changes the part that the gateway owns.
func (h *Participant) SetPart(part Part) { h.part = clamp(part) }

// LoansFitPart reports whether what is ceded fits the part that the gateway owns: one that was
// cut counts as taken over from then on.
func (h *Participant) LoansFitPart(now time.Duration) bool { return h.outstanding(now) <= h.part }

func (h *Participant) floor() Part { return Part(floorPart * float64(h.part)) }

// outstanding is what others may use of the part.
func (h *Participant) outstanding(now time.Duration) (sum Part) {
	for i := range h.ceded {
		sum += h.ceded[i].entries.most(int64(now))
	}
	return sum
}

// Limit is what the gateway may admit.
func (h *Participant) Limit(now time.Duration) Limit {
	own := h.part
	if now < h.fresh {
		own = h.floor()
	}
	l := Limit{Own: max(0, own-h.outstanding(now))}
	if now < h.until {
		l.Grant, l.Until = h.grant, h.until
	}
	return l
}

// Tick takes the gateway's demand, and those that may be steward, the best first. It
// returns the next report; false: there is nobody to tell. The limit is to be put in
// force before the report is sent.
func (h *Participant) Tick(now time.Duration, demand Part, candidates []string) (Report, bool) {
	h.demand = clamp(demand)
	h.choose(now, candidates)
	if h.steward.Name == "" {
		return Report{}, false
	}
	return h.report(now), true
}

// NextReport is one more report, with the demand told last.
func (h *Participant) NextReport(now time.Duration) (Report, bool) {
	if h.steward.Name == "" {
		return Report{}, false
	}
	return h.report(now), true
}

// choose takes the best steward that is not silent.
func (h *Participant) choose(now time.Duration, candidates []string) {
	if h.steward.Select(now, candidates) {
		h.replies.Reset()
		h.ask = 0
	}
}

// report makes the next report, and counts what it cedes.
func (h *Participant) report(now time.Duration) Report {
	h.forget(now)
	r := Report{
		From: h.name, Incarnation: h.incarnation, To: h.steward.Name, ToIncarnation: h.replies.Incarnation,
		Ack: h.replies.Latest, Demand: h.demand, Lend: h.cedes(now),
	}
	r.Seq = h.sent.Record(now)
	if r.Lend > 0 {
		c := h.cededTo(h.steward.Name, h.replies.Incarnation)
		c.entries = c.entries.add(entry{r.Incarnation, r.Seq, r.Lend, int64(now + h.set.surely(h.set.Lease))})
		if n := len(c.entries); n > mostEntries { // the two oldest as one that stands for both
			a, b := c.entries[0], c.entries[1]
			c.entries = slices.Delete(c.entries, 0, 1)
			c.entries[0] = entry{b.incarnation, max(a.seq, b.seq), max(a.amount, b.amount), max(a.end, b.end)}
		}
	}
	return r
}

// cedes is what the next report cedes: what the steward asks for, of what is not used.
func (h *Participant) cedes(now time.Duration) Part {
	if h.replies.Latest == 0 || now < h.fresh || h.ask <= 0 {
		return 0
	}
	others := Part(0)
	for i := range h.ceded {
		if c := &h.ceded[i]; c.steward != h.steward.Name || c.incarnation != h.replies.Incarnation {
			others += c.entries.most(int64(now))
		}
	}
	keep := max(h.floor(), Part(spareDemand*float64(h.demand)))
	if h.cededTo(h.steward.Name, h.replies.Incarnation) == nil {
		return 0
	}
	return max(0, min(h.ask, h.part-keep-others))
}

// cededTo is what is ceded to a steward; nil: to as many others already.
func (h *Participant) cededTo(steward string, incarnation uint64) *ceded {
	for i := range h.ceded {
		if c := &h.ceded[i]; c.steward == steward && c.incarnation == incarnation {
			return c
		}
	}
	if len(h.ceded) >= mostTo {
		return nil
	}
	h.ceded = append(h.ceded, ceded{steward: steward, incarnation: incarnation})
	return &h.ceded[len(h.ceded)-1]
}

// forget leaves out what has ended.
func (h *Participant) forget(now time.Duration) {
	for i := range h.ceded {
		h.ceded[i].entries = h.ceded[i].entries.drop(func(e entry) bool { return e.end <= int64(now) })
	}
	h.ceded = slices.DeleteFunc(h.ceded, func(c ceded) bool { return len(c.entries) == 0 })
}

// HandleReply takes a reply. It reports whether the steward waits for a report: because a grant
// became less, which others wait for, or more is asked for.
func (h *Participant) HandleReply(now time.Duration, r Reply) (hurry bool) {
	if r.To != h.name {
		return false
	}
	if r.KnownIncarnation > 0 {
		if r.KnownIncarnation >= h.incarnation && r.KnownIncarnation < 1<<63 {
			h.incarnation = r.KnownIncarnation + 1
			h.bumped++
		}
		return false
	}
	if r.ToIncarnation != h.incarnation || r.From != h.steward.Name {
		return false
	}
	if !h.replies.Accept(r.Incarnation, r.Seq, r.Ack) {
		return false
	}
	h.steward.LastActive = now
	before, asked := h.Limit(now).Grant, h.ask
	h.ask = clamp(r.LendTarget)
	h.grant, h.until = 0, 0
	if at, known := h.sent.At(r.Ack); known && r.GrantTTL > 0 && r.GrantTTL <= h.set.Lease && at+r.GrantTTL > now {
		h.grant, h.until = clamp(r.Grant), at+r.GrantTTL
	}
	h.givenBack(r)
	return h.grant < before || h.ask > asked
}

// givenBack takes a steward's word that it uses no more of what was ceded up to a report.
func (h *Participant) givenBack(r Reply) {
	for i := range h.ceded {
		c := &h.ceded[i]
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
