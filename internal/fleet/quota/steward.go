package quota

import (
	"slices"
	"strings"
	"time"

	"spokegw/internal/fleet/lease"
)

// Gateway is a gateway that draws on a quota.
type Gateway struct {
	Name    string
	Partner string
	Part    Part // owned by the gateway
}

const (
	slotsPerLease = 32
	window        = slotsPerLease + 8     // number of slots tracked
	grantSlots    = slotsPerLease * 3 / 5 // approximate duration of a grant
	askMargin     = 1.25                  // factor on the wanted amount when asking for loans
	// divideInterval is the minimum time between two divisions, as a fraction of a period.
	divideInterval = 0.25
	// creditDuration is the time over which a partner that borrowed has lower priority than those
	// that did not, if there is too little for all.
	creditDuration = 30 * time.Second
	minCredit      = 0.05
)

// account is what a steward knows of one gateway.
type account struct {
	Gateway
	partner      int
	incarnation  uint64
	lastReport   uint64
	lastReportAt time.Duration
	active       bool // a report arrived within the last lease
	demand       Part
	offered      Part // by the latest report
	lendTarget   Part // by the latest reply
	target       Part
	sendTimes    lease.SendTimes
	loans        entries // ends in slots, rounded down
	grants       entries // ends in slots, rounded up
	awaitsReturn bool    // LoanInUse of the latest reply exceeds what the gateway offers now
	removed      bool    // it is no longer configured
}

// Steward grants what the gateways lend to it.
type Steward struct {
	settings       Settings
	name           string
	incarnation    uint64
	slotLength     time.Duration
	nowSlot        int64         // current slot
	lastReportAt   time.Duration // of the last report from any gateway
	lent           [window]Part  // amounts lent, by slot: the most that may be granted
	granted        [window]Part  // amounts granted, by slot
	accounts       []*account    // by name
	partners       []partner     // by name
	lastDivide     time.Duration // when targets were last set
	demandsChanged bool          // demands have changed since
	wanted         Part          // total beyond their own parts that gateways are to have
	unused         Part          // total of their own parts that gateways are not to have
	notifyDue      bool          // grants or targets have changed since other gateways were notified
}

// partner is what a steward knows of a partner, whose gateways share a weight.
type partner struct {
	name     string
	borrowed float64 // parts times seconds, decaying over creditDuration; below 0: lent
}

// NewSteward returns a steward without loans.
func NewSteward(now time.Duration, settings Settings, name string, incarnation uint64, gateways []Gateway) *Steward {
	s := &Steward{settings: settings, name: name, incarnation: max(incarnation, 1), slotLength: settings.Lease / slotsPerLease, lastDivide: now, lastReportAt: now}
	s.nowSlot = int64(now / s.slotLength)
	s.SetGateways(now, gateways)
	return s
}

// Expired reports whether no report has arrived for so long that all loans and grants have
// expired. The steward may then be discarded, and created anew with another incarnation.
func (s *Steward) Expired(now time.Duration) bool {
	return now-s.lastReportAt > 3*s.settings.safeWait(s.settings.Lease)
}

// SetGateways sets the gateways and their parts. What was granted to removed gateways is counted
// until it expires.
func (s *Steward) SetGateways(now time.Duration, gateways []Gateway) {
	s.advance(now)
	byName := make(map[string]*account, len(s.accounts))
	for _, a := range s.accounts {
		a.removed, a.Part = true, 0
		byName[a.Name] = a
	}
	for _, g := range gateways {
		a := byName[g.Name]
		if a == nil {
			a = &account{}
			s.accounts = append(s.accounts, a)
		}
		a.Gateway, a.removed = g, false
	}
	s.accounts = slices.DeleteFunc(s.accounts, func(a *account) bool {
		return a.removed && a.grants.maxAt(s.nowSlot) == 0 && a.loans.maxAt(s.nowSlot) == 0
	})
	slices.SortFunc(s.accounts, func(a, b *account) int { return strings.Compare(a.Name, b.Name) })
	old := s.partners
	s.partners = nil
	for _, a := range s.accounts {
		a.partner = slices.IndexFunc(s.partners, func(p partner) bool { return p.name == a.Partner })
		if a.partner < 0 {
			a.partner = len(s.partners)
			p := partner{name: a.Partner}
			if i := slices.IndexFunc(old, func(o partner) bool { return o.name == a.Partner }); i >= 0 {
				p = old[i]
			}
			s.partners = append(s.partners, p)
		}
	}
	s.demandsChanged = true
}

func (s *Steward) account(name string) *account {
	i, found := slices.BinarySearchFunc(s.accounts, name, func(a *account, n string) int { return strings.Compare(a.Name, n) })
	if !found {
		return nil
	}
	return s.accounts[i]
}

// advance clears the slots that have passed.
func (s *Steward) advance(now time.Duration) {
	slot := max(int64(now/s.slotLength), s.nowSlot)
	for n := 0; s.nowSlot < slot && n < window; n++ {
		s.lent[s.nowSlot%window], s.granted[s.nowSlot%window] = 0, 0
		s.nowSlot++
	}
	s.nowSlot = slot
}

// HandleReport takes a report. It returns the replies to be sent at once, the first to the
// gateway that the report came from.
func (s *Steward) HandleReport(now time.Duration, r Report) (replies []Reply) {
	s.advance(now)
	a := s.account(r.From)
	if a == nil || r.To != s.name || r.Seq == 0 {
		return nil
	}
	if r.Incarnation < a.incarnation {
		return []Reply{{From: s.name, Incarnation: s.incarnation, To: r.From, ToIncarnation: r.Incarnation, KnownIncarnation: a.incarnation}}
	}
	if r.Incarnation > a.incarnation { // what its previous incarnation holds is counted until it expires
		a.incarnation, a.lastReport = r.Incarnation, 0
		a.sendTimes.Reset() // acknowledgements of replies to the previous incarnation don't count
	}
	if r.Seq <= a.lastReport {
		return nil
	}
	a.lastReport, a.lastReportAt, s.lastReportAt = r.Seq, now, now
	s.demandsChanged = s.demandsChanged || !a.active || a.demand != clamp(r.Demand)
	a.active, a.demand = true, clamp(r.Demand)
	s.applyAck(a, r)
	s.divide(now)
	replies = append(replies, s.reply(now, a))
	return s.notifyWaiting(now, a, replies)
}

// applyAck applies what a report acknowledges, and what it lends.
func (s *Steward) applyAck(a *account, r Report) {
	sentAt, known := a.sendTimes.At(r.Ack)
	if !known || r.ToIncarnation != s.incarnation {
		a.offered = 0
		return
	}
	before := a.grants.maxAt(s.nowSlot)
	s.update(a, func() { // the gateway holds the grant of that reply, and no earlier one
		a.grants = a.grants.remove(func(e entry) bool { return e.incarnation == r.Incarnation && e.seq < r.Ack })
	})
	s.notifyDue = s.notifyDue || a.grants.maxAt(s.nowSlot) < before
	a.offered = min(clamp(r.Lend), a.Part)
	if a.offered > 0 && len(a.loans) < maxEntries {
		s.update(a, func() {
			a.loans = a.loans.add(entry{r.Incarnation, r.Seq, a.offered, int64((sentAt + s.settings.Lease) / s.slotLength)})
		})
	}
}

// update applies a change to an account and keeps the sums by slot consistent.
func (s *Steward) update(a *account, apply func()) {
	var lent, granted [window]Part
	for k := range window {
		lent[k], granted[k] = a.loans.maxAt(s.nowSlot+int64(k)), a.grants.maxAt(s.nowSlot+int64(k))
	}
	apply()
	ended := func(e entry) bool { return e.end <= s.nowSlot }
	a.loans, a.grants = a.loans.remove(ended), a.grants.remove(ended)
	for k := range window {
		i := (s.nowSlot + int64(k)) % window
		s.lent[i] += a.loans.maxAt(s.nowSlot+int64(k)) - lent[k]
		s.granted[i] += a.grants.maxAt(s.nowSlot+int64(k)) - granted[k]
	}
}

// spare returns the minimum that is lent and not granted from now until a slot.
func (s *Steward) spare(end int64) Part {
	minimum := Whole
	for k := s.nowSlot; k < min(end, s.nowSlot+window); k++ {
		minimum = min(minimum, s.lent[k%window]-s.granted[k%window])
	}
	return minimum
}

// reply returns the next reply to a gateway.
func (s *Steward) reply(now time.Duration, a *account) Reply {
	s.releaseLoans(a)
	r := Reply{
		From: s.name, Incarnation: s.incarnation, To: a.Name, ToIncarnation: a.incarnation, Ack: a.lastReport,
		LendTarget: s.lendTarget(a), LoanInUse: a.loans.maxAt(s.nowSlot),
	}
	a.awaitsReturn, a.lendTarget = r.LoanInUse > a.offered, r.LendTarget
	r.Seq = a.sendTimes.Record(now)
	if want := a.target - (a.Part - r.LoanInUse); want > 0 && !a.removed {
		r.Grant, r.GrantTTL = s.grant(a, want, r.Seq)
	}
	return r
}

// minLoan returns the least to which a gateway's loans can be reduced: what it offers now, and
// what is granted on top of that.
func (s *Steward) minLoan(a *account) Part {
	minimum := a.offered
	for k := s.nowSlot; k < s.nowSlot+window; k++ {
		if amount := a.loans.maxAt(k); amount > a.offered {
			minimum = max(minimum, amount-(s.lent[k%window]-s.granted[k%window]))
		}
	}
	return minimum
}

// releaseLoans stops using more of a gateway's loans than is needed.
func (s *Steward) releaseLoans(a *account) {
	minimum := s.minLoan(a)
	if minimum >= a.loans.maxAt(s.nowSlot) {
		return
	}
	s.update(a, func() {
		for i := range a.loans {
			a.loans[i].amount = min(a.loans[i].amount, minimum)
		}
	})
}

// grant grants what is wanted as far as the spare amount allows, and returns for how long after
// the report was sent that the reply answers.
func (s *Steward) grant(a *account, want Part, seq uint64) (amount Part, ttl time.Duration) {
	if len(a.grants) >= maxEntries {
		return 0, 0
	}
	var end int64
	for _, fraction := range []float64{grantPart, grantPart / 2, grantPart / 4} {
		d := times(s.settings.Lease, fraction)
		endSlot := int64((a.lastReportAt+s.settings.safeWait(d))/s.slotLength) + 1
		available := want
		for k := s.nowSlot; k < min(endSlot, s.nowSlot+window); k++ {
			available = min(available, a.grants.maxAt(k)+s.lent[k%window]-s.granted[k%window])
		}
		if endSlot > s.nowSlot && available > amount+amount/10 { // a shorter grant must be more than a tenth larger
			amount, ttl, end = available, d, endSlot
		}
	}
	if amount <= 0 {
		return 0, 0
	}
	s.update(a, func() { a.grants = a.grants.add(entry{a.incarnation, seq, amount, end}) })
	return amount, ttl
}

// lendTarget returns what a gateway is to lend: its share, by its unused part, of what others
// want.
func (s *Steward) lendTarget(a *account) Part {
	unusedPart := max(0, a.Part-a.target)
	if s.unused == 0 || s.wanted == 0 || unusedPart == 0 {
		return 0
	}
	return min(unusedPart, Part(askMargin*float64(s.wanted)*float64(unusedPart)/float64(s.unused))+1)
}

// maxUnsolicited bounds the additional replies that one report causes. Other gateways wait for
// their own next reports.
const maxUnsolicited = 16

// notifyWaiting replies to gateways that others wait for, or that wait for others, once targets
// have changed or a grant was returned: a grant that is to shrink because an owner waits for it,
// an owner whose loan is returned, a gateway that is to lend more, and one that can be granted
// more.
func (s *Steward) notifyWaiting(now time.Duration, from *account, replies []Reply) []Reply {
	if !s.notifyDue {
		return replies
	}
	s.notifyDue = false
	ownerWaits := false
	for _, a := range s.accounts {
		ownerWaits = ownerWaits || a.awaitsReturn
	}
	for _, a := range s.accounts {
		if len(replies) > maxUnsolicited {
			s.notifyDue = true // continue with the next report
			break
		}
		if a != from && a.active && s.needsReply(a, ownerWaits) {
			replies = append(replies, s.reply(now, a))
		}
	}
	return replies
}

// needsReply reports whether a gateway should be replied to at once; ownerWaits means that
// an owner waits for what it has lent.
func (s *Steward) needsReply(a *account, ownerWaits bool) bool {
	granted, lastGrant := a.grants.maxAt(s.nowSlot), Part(0)
	if n := len(a.grants); n > 0 {
		lastGrant = a.grants[n-1].amount
	}
	want := max(0, a.target-(a.Part-a.loans.maxAt(s.nowSlot)))
	switch spare := s.spare(s.nowSlot + grantSlots); {
	case ownerWaits && granted > 0 && want < lastGrant: // notified once: the next report shows that the reply was accepted
		return true
	case a.awaitsReturn && s.minLoan(a) < a.loans.maxAt(s.nowSlot):
		return true
	case !ownerWaits && want > granted && min(want-granted, spare) > want/8:
		return true
	}
	return s.lendTarget(a) > a.lendTarget+a.Part/8
}

// divide sets the target of each gateway, at bounded intervals.
func (s *Steward) divide(now time.Duration) {
	if elapsed := now - s.lastDivide; elapsed > 0 && elapsed < times(s.settings.Period, divideInterval) || !s.demandsChanged && elapsed < s.settings.Period {
		return
	}
	s.updateCredit(now - s.lastDivide)
	s.lastDivide, s.demandsChanged = now, false
	claims := make([]claim, len(s.accounts))
	for i, a := range s.accounts {
		a.active = a.active && now-a.lastReportAt < s.settings.Lease
		claims[i] = claim{part: a.Part, demand: a.demand, partner: a.partner}
		if !a.active { // it uses only its own part
			claims[i].demand = a.Part
		}
	}
	weights := make([]float64, len(s.partners))
	for i := range s.partners {
		weights[i] = s.weight(i)
	}
	s.wanted, s.unused, s.notifyDue = 0, 0, true
	for i, t := range Divide(claims, weights) {
		a := s.accounts[i]
		a.target = t
		s.wanted += max(0, t-a.Part)
		if a.active {
			s.unused += max(0, a.Part-t)
		}
	}
}

// updateCredit updates what partners have borrowed and lent.
func (s *Steward) updateCredit(elapsed time.Duration) {
	seconds := elapsed.Seconds()
	for i := range s.partners {
		s.partners[i].borrowed *= max(0, 1-seconds/creditDuration.Seconds())
	}
	for _, a := range s.accounts {
		s.partners[a.partner].borrowed += (a.grants.maxAt(s.nowSlot) - a.loans.maxAt(s.nowSlot)).Fraction() * seconds
	}
}

// weight returns a partner's weight in dividing what is beyond the parts: it is lower the more
// the partner has borrowed lately.
func (s *Steward) weight(partner int) float64 {
	owned := Part(0)
	for _, a := range s.accounts {
		if a.partner == partner {
			owned += a.Part
		}
	}
	fraction := owned.Fraction()
	debt := max(0, s.partners[partner].borrowed) / (creditDuration.Seconds() * max(fraction, 0.01))
	return max(fraction, 0.001) * max(minCredit, 1-debt)
}
