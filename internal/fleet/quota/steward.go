package quota

import (
	"slices"
	"strings"
	"time"

	"spokegw/internal/fleet/lease"
)

// Gateway is one of those that draw on a quota.
type Gateway struct {
	Name    string
	Partner string
	Part    Part // that it owns
}

const (
	slotsOfLease = 32
	window       = slotsOfLease + 8     // slots that are looked at
	grantSlots   = slotsOfLease * 3 / 5 // that a grant lasts, about
	askMargin    = 1.25                 // of what is wanted, more is asked for
	// divideEvery is the part of a period after which demands are looked at anew.
	divideEvery = 0.25
	// creditSpan is the time over which a partner that lived on others comes after those
	// that did not, where there is too little for all.
	creditSpan  = 30 * time.Second
	leastCredit = 0.05
)

// account is what a steward knows of one gateway.
type account struct {
	Gateway
	partner     int
	incarnation uint64
	heard       uint64
	heardAt     time.Duration
	known       bool // heard of in the last lease
	demand      Part
	offered     Part // by the latest report
	asked       Part // by the latest reply
	target      Part
	sent        lease.SendTimes
	cessions    entries // ends in slots, rounded down
	grants      entries // ends in slots, rounded up
	owed        bool    // it has been told of more than it offers now
	left        bool    // it is no longer in the plan
}

// Steward is what grants on what the gateways cede to it.
type Steward struct {
	set         Settings
	name        string
	incarnation uint64
	slot        time.Duration
	now         int64         // slot
	heardAt     time.Duration // anybody, last
	ceded       [window]Part  // by slot: what may be granted
	granted     [window]Part  // and what is
	accounts    []*account    // by name
	partners    []partner     // by name
	divided     time.Duration // when targets were last set
	due         bool          // demands have changed since
	wanted      Part          // by all that are to have more than they own
	idle        Part          // of those that are to have less
	freed       bool          // grants or targets have changed since others were told
}

// partner is what a steward knows of those whose gateways have a part together.
type partner struct {
	name     string
	borrowed float64 // parts times seconds, fading over creditSpan; under 0: lent
}

// NewSteward makes a steward to which nothing has been ceded yet.
func NewSteward(now time.Duration, set Settings, name string, incarnation uint64, plan []Gateway) *Steward {
	s := &Steward{set: set, name: name, incarnation: max(incarnation, 1), slot: set.Lease / slotsOfLease, divided: now, heardAt: now}
	s.now = int64(now / s.slot)
	s.SetGateways(now, plan)
	return s
}

// Expired reports whether nobody has told the steward anything for so long that all that it
// was ceded and has granted has ended: it may be forgotten, and made anew under another
// incarnation.
func (s *Steward) Expired(now time.Duration) bool { return now-s.heardAt > 3*s.set.surely(s.set.Lease) }

// SetGateways takes other gateways or parts. What was granted to those that have left is
// counted to its end.
func (s *Steward) SetGateways(now time.Duration, plan []Gateway) {
	s.advance(now)
	named := make(map[string]*account, len(s.accounts))
	for _, a := range s.accounts {
		a.left, a.Part = true, 0
		named[a.Name] = a
	}
	for _, g := range plan {
		a := named[g.Name]
		if a == nil {
			a = &account{}
			s.accounts = append(s.accounts, a)
		}
		a.Gateway, a.left = g, false
	}
	s.accounts = slices.DeleteFunc(s.accounts, func(a *account) bool {
		return a.left && a.grants.most(s.now) == 0 && a.cessions.most(s.now) == 0
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
	s.due = true
}

func (s *Steward) account(name string) *account {
	i, found := slices.BinarySearchFunc(s.accounts, name, func(a *account, n string) int { return strings.Compare(a.Name, n) })
	if !found {
		return nil
	}
	return s.accounts[i]
}

// advance forgets the slots that have passed.
func (s *Steward) advance(now time.Duration) {
	to := max(int64(now/s.slot), s.now)
	for n := 0; s.now < to && n < window; n++ {
		s.ceded[s.now%window], s.granted[s.now%window] = 0, 0
		s.now++
	}
	s.now = to
}

// HandleReport takes a report. It returns the replies that are to be sent at once, the first
// to whom it came from.
func (s *Steward) HandleReport(now time.Duration, r Report) (replies []Reply) {
	s.advance(now)
	a := s.account(r.From)
	if a == nil || r.To != s.name || r.Seq == 0 {
		return nil
	}
	if r.Incarnation < a.incarnation {
		return []Reply{{From: s.name, Incarnation: s.incarnation, To: r.From, ToIncarnation: r.Incarnation, KnownIncarnation: a.incarnation}}
	}
	if r.Incarnation > a.incarnation { // what its former self has is counted to its end
		a.incarnation, a.heard = r.Incarnation, 0
		a.sent.Reset() // and what was told that one counts for nothing
	}
	if r.Seq <= a.heard {
		return nil
	}
	a.heard, a.heardAt, s.heardAt = r.Seq, now, now
	s.due = s.due || !a.known || a.demand != clamp(r.Demand)
	a.known, a.demand = true, clamp(r.Demand)
	s.ack(a, r)
	s.divide(now)
	replies = append(replies, s.reply(now, a))
	return s.hurry(now, a, replies)
}

// ack takes what a report says of the replies before it, and what it cedes.
func (s *Steward) ack(a *account, r Report) {
	at, known := a.sent.At(r.Ack)
	if !known || r.ToIncarnation != s.incarnation {
		a.offered = 0
		return
	}
	most := a.grants.most(s.now)
	s.change(a, func() { // it holds that reply's grant, and none before
		a.grants = a.grants.drop(func(e entry) bool { return e.incarnation == r.Incarnation && e.seq < r.Ack })
	})
	s.freed = s.freed || a.grants.most(s.now) < most
	a.offered = min(clamp(r.Lend), a.Part)
	if a.offered > 0 && len(a.cessions) < mostEntries {
		s.change(a, func() {
			a.cessions = a.cessions.add(entry{r.Incarnation, r.Seq, a.offered, int64((at + s.set.Lease) / s.slot)})
		})
	}
}

// change has something change in an account, and keeps the sums true.
func (s *Steward) change(a *account, do func()) {
	var ceded, granted [window]Part
	for k := range window {
		ceded[k], granted[k] = a.cessions.most(s.now+int64(k)), a.grants.most(s.now+int64(k))
	}
	do()
	ended := func(e entry) bool { return e.end <= s.now }
	a.cessions, a.grants = a.cessions.drop(ended), a.grants.drop(ended)
	for k := range window {
		i := (s.now + int64(k)) % window
		s.ceded[i] += a.cessions.most(s.now+int64(k)) - ceded[k]
		s.granted[i] += a.grants.most(s.now+int64(k)) - granted[k]
	}
}

// spare is the least that is ceded and not granted from now until a slot.
func (s *Steward) spare(end int64) Part {
	least := Whole
	for k := s.now; k < min(end, s.now+window); k++ {
		least = min(least, s.ceded[k%window]-s.granted[k%window])
	}
	return least
}

// reply makes the next reply to a gateway.
func (s *Steward) reply(now time.Duration, a *account) Reply {
	s.giveBack(a)
	r := Reply{
		From: s.name, Incarnation: s.incarnation, To: a.Name, ToIncarnation: a.incarnation, Ack: a.heard,
		LendTarget: s.asks(a), LoanInUse: a.cessions.most(s.now),
	}
	a.owed, a.asked = r.LoanInUse > a.offered, r.LendTarget
	r.Seq = a.sent.Record(now)
	if want := a.target - (a.Part - r.LoanInUse); want > 0 && !a.left {
		r.Grant, r.GrantTTL = s.grant(a, want, r.Seq)
	}
	return r
}

// needed is the least to which what a gateway has ceded can be cut: what it offers now,
// and what is granted on more than that.
func (s *Steward) needed(a *account) Part {
	to := a.offered
	for k := s.now; k < s.now+window; k++ {
		if most := a.cessions.most(k); most > a.offered {
			to = max(to, most-(s.ceded[k%window]-s.granted[k%window]))
		}
	}
	return to
}

// giveBack uses no more of what a gateway has ceded than is needed.
func (s *Steward) giveBack(a *account) {
	to := s.needed(a)
	if to >= a.cessions.most(s.now) {
		return
	}
	s.change(a, func() {
		for i := range a.cessions {
			a.cessions[i].amount = min(a.cessions[i].amount, to)
		}
	})
}

// grant grants what is wanted, as far as there is spare for it, and for how long after
// the report that is answered was sent.
func (s *Steward) grant(a *account, want Part, seq uint64) (amount Part, lasts time.Duration) {
	if len(a.grants) >= mostEntries {
		return 0, 0
	}
	var end int64
	for _, part := range []float64{grantPart, grantPart / 2, grantPart / 4} {
		d := times(s.set.Lease, part)
		last := int64((a.heardAt+s.set.surely(d))/s.slot) + 1
		room := want
		for k := s.now; k < min(last, s.now+window); k++ {
			room = min(room, a.grants.most(k)+s.ceded[k%window]-s.granted[k%window])
		}
		if last > s.now && room > amount+amount/10 { // a shorter one for the more that it brings
			amount, lasts, end = room, d, last
		}
	}
	if amount <= 0 {
		return 0, 0
	}
	s.change(a, func() { a.grants = a.grants.add(entry{a.incarnation, seq, amount, end}) })
	return amount, lasts
}

// asks is what a gateway is to cede: its part of what the others want, of what it does
// not use.
func (s *Steward) asks(a *account) Part {
	own := max(0, a.Part-a.target)
	if s.idle == 0 || s.wanted == 0 || own == 0 {
		return 0
	}
	return min(own, Part(askMargin*float64(s.wanted)*float64(own)/float64(s.idle))+1)
}

// mostHurried bounds the replies that one report brings about: the rest wait for their own
// reports.
const mostHurried = 16

// hurry replies to those that others wait for, or that wait for others, once targets have
// changed or a grant was given back: a grant that is to become less where an owner waits
// for it, an owner that is given back what it ceded, one that is to cede more, and one
// that can be granted more.
func (s *Steward) hurry(now time.Duration, from *account, replies []Reply) []Reply {
	if !s.freed {
		return replies
	}
	s.freed = false
	waits := false
	for _, a := range s.accounts {
		waits = waits || a.owed
	}
	for _, a := range s.accounts {
		if len(replies) > mostHurried {
			s.freed = true // with the next report
			break
		}
		if a != from && a.known && s.hurries(a, waits) {
			replies = append(replies, s.reply(now, a))
		}
	}
	return replies
}

// hurries reports whether a gateway is better told at once; waits tells that an owner waits
// for what it has ceded.
func (s *Steward) hurries(a *account, waits bool) bool {
	held, last := a.grants.most(s.now), Part(0)
	if n := len(a.grants); n > 0 {
		last = a.grants[n-1].amount
	}
	want := max(0, a.target-(a.Part-a.cessions.most(s.now)))
	switch spare := s.spare(s.now + grantSlots); {
	case waits && held > 0 && want < last: // told once: the next report shows that it was taken
		return true
	case a.owed && s.needed(a) < a.cessions.most(s.now):
		return true
	case !waits && want > held && min(want-held, spare) > want/8:
		return true
	}
	return s.asks(a) > a.asked+a.Part/8
}

// divide sets what each gateway is to have, now and then.
func (s *Steward) divide(now time.Duration) {
	if since := now - s.divided; since > 0 && since < times(s.set.Period, divideEvery) || !s.due && since < s.set.Period {
		return
	}
	s.credit(now - s.divided)
	s.divided, s.due = now, false
	claims := make([]claim, len(s.accounts))
	for i, a := range s.accounts {
		a.known = a.known && now-a.heardAt < s.set.Lease
		claims[i] = claim{part: a.Part, demand: a.demand, partner: a.partner}
		if !a.known { // it lives on what it owns
			claims[i].demand = a.Part
		}
	}
	weights := make([]float64, len(s.partners))
	for i := range s.partners {
		weights[i] = s.weight(i)
	}
	s.wanted, s.idle, s.freed = 0, 0, true
	for i, t := range Divide(claims, weights) {
		a := s.accounts[i]
		a.target = t
		s.wanted += max(0, t-a.Part)
		if a.known {
			s.idle += max(0, a.Part-t)
		}
	}
}

// credit keeps what partners have had of others, and lent.
func (s *Steward) credit(passed time.Duration) {
	sec := passed.Seconds()
	for i := range s.partners {
		s.partners[i].borrowed *= max(0, 1-sec/creditSpan.Seconds())
	}
	for _, a := range s.accounts {
		s.partners[a.partner].borrowed += (a.grants.most(s.now) - a.cessions.most(s.now)).Fraction() * sec
	}
}

// weight is what a partner counts for beyond its part: less, the more it has lived on
// others of late.
func (s *Steward) weight(partner int) float64 {
	own := Part(0)
	for _, a := range s.accounts {
		if a.partner == partner {
			own += a.Part
		}
	}
	p := own.Fraction()
	debt := max(0, s.partners[partner].borrowed) / (creditSpan.Seconds() * max(p, 0.01))
	return max(p, 0.001) * max(leastCredit, 1-debt)
}
