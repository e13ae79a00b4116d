// Package quota lets many gateways draw on one quota, each on its own, while the sum of what all
// may admit never exceeds the quota, whichever messages are dropped, delayed, duplicated or cut
// off by a partition, and whichever gateways crash, stall or restart. It is pure: time and
// messages come in, messages and limits go out; there is no I/O, no clock, no goroutine.
//
// Each gateway owns a part of the quota, and the parts sum to the quota. What a gateway does not
// use it lends for a limited time to the contract's steward, which grants it to gateways that
// need more. The argument for the sum is local and needs no agreement on who is steward:
//
//   - An owner uses its part less all it has lent that has neither certainly expired nor been
//     returned (Participant).
//   - A steward grants no more than it was lent, and for no longer (Steward). Two stewards at the
//     same time were each lent separate amounts.
//   - The recipient of a grant uses it until it expires, and no longer.
//
// No clock is compared with another. The receiver counts a duration from a message of its own: a
// grant from the report that it answers, as its recipient sent that; a loan from the reply that
// the report acknowledges, as the steward sent that. The giver counts from later, when it sent
// its own message, and for longer, by the maximum drift between the clocks. So a message that is
// delayed, duplicated or reordered can only end a grant or loan earlier than its giver assumes.
//
// After a restart a gateway does not know what its previous incarnation lent: it uses a minimum
// until that has expired. A restarted steward holds no loans, so it grants nothing.
package quota

import (
	"errors"
	"fmt"
	"time"

	"spokegw/internal/fleet/lease"
)

// Part is a part of the quota in billionths, so that sums are exact.
type Part int64

// MaxGateways and MaxContracts bound a fleet, and the state of each of its gateways.
const (
	MaxGateways  = 512
	MaxContracts = 64
)

// Whole is the whole quota.
const Whole Part = 1e9

// PartOf converts a fraction of the quota to the nearest Part between 0 and Whole.
func PartOf(fraction float64) Part {
	if !(fraction > 0) {
		return 0
	}
	return Part(min(fraction, 1) * float64(Whole))
}

// Fraction returns p as a fraction of the quota.
func (p Part) Fraction() float64 { return float64(p) / float64(Whole) }

func clamp(p Part) Part { return max(0, min(p, Whole)) }

// Settings are the same at all gateways of a fleet.
type Settings struct {
	Lease  time.Duration // duration of a loan; a grant ends sooner
	Period time.Duration // between reports
	Drift  float64       // maximum relative error of a clock's rate
}

const (
	// minPeriods is the minimum number of reports within a lease, because some are lost.
	minPeriods = 5
	// floorPart is the fraction of its part that an owner never lends, and all it may use right
	// after a start.
	floorPart = 0.02
	// spareDemand is the factor on its demand that an owner retains.
	spareDemand = 1.03
	// grantPart is the duration of a grant as a fraction of the lease, provided that the loans
	// last that long.
	grantPart = 0.6
)

// Check returns an error for settings that are out of range.
func (s Settings) Check() error {
	switch {
	case s.Lease < 100*time.Millisecond || s.Lease > time.Minute:
		return fmt.Errorf("a lease of 100ms to 1m is expected, not %v", s.Lease)
	case s.Period < 10*time.Millisecond || s.Period*minPeriods > s.Lease:
		return fmt.Errorf("a period of 10ms to a %dth of the lease is expected, not %v", minPeriods, s.Period)
	case !(s.Drift >= 0 && s.Drift <= 0.1):
		return errors.New("a drift of 0 to 0.1 is expected")
	}
	return nil
}

// safeWait returns how long a giver waits until d has passed on another gateway's clock.
func (s Settings) safeWait(d time.Duration) time.Duration { return lease.SafeWait(d, s.Drift) }

// times returns d multiplied by n.
func times(d time.Duration, n float64) time.Duration { return time.Duration(float64(d) * n) }

// Report is what a gateway sends to the steward.
type Report struct {
	From          string
	Incarnation   uint64
	Seq           uint64 // number of the report within this incarnation, from 1
	To            string
	ToIncarnation uint64 // 0: not known yet
	Ack           uint64 // Seq of the latest Reply accepted from that incarnation; 0: none
	Demand        Part   // what the gateway could use
	Lend          Part   // lent until a lease after the reply Ack was sent
}

// Reply is what a steward sends to a gateway.
type Reply struct {
	From             string
	Incarnation      uint64
	Seq              uint64 // number of the reply to this gateway, from 1
	To               string
	ToIncarnation    uint64
	Ack              uint64        // Seq of the latest Report accepted
	Grant            Part          // valid for GrantTTL
	GrantTTL         time.Duration // after the report Ack was sent
	LendTarget       Part          // what the steward asks the gateway to lend
	LoanInUse        Part          // maximum still in use of the loans up to report Ack
	KnownIncarnation uint64        // above 0: the latest known incarnation of To, and no other field is valid
}

// Limit is what a gateway may admit: Own, and until a time Grant in addition. Until the next
// event the true limit can only grow.
type Limit struct {
	Own, Grant Part
	Until      time.Duration
}

// At returns the limit at a time.
func (l Limit) At(now time.Duration) Part {
	if now < l.Until {
		return l.Own + l.Grant
	}
	return l.Own
}

// entry is an amount given with a message and usable until it expires.
type entry struct {
	incarnation, seq uint64
	amount           Part
	end              int64 // in the unit of the list's owner
}

// entries are the amounts given to one gateway, of which the largest unexpired one counts.
type entries []entry

// maxAt returns the largest amount that is unexpired at a time.
func (e entries) maxAt(now int64) (m Part) {
	for _, x := range e {
		if x.end > now {
			m = max(m, x.amount)
		}
	}
	return m
}

// remove removes the entries for which a function returns true.
func (e entries) remove(match func(entry) bool) entries {
	kept := e[:0]
	for _, x := range e {
		if !match(x) {
			kept = append(kept, x)
		}
	}
	return kept
}

// add appends an entry and removes those that it covers.
func (e entries) add(x entry) entries {
	return append(e.remove(func(o entry) bool {
		return o.amount <= x.amount && o.end <= x.end && o.seq <= x.seq && o.incarnation == x.incarnation
	}), x)
}
