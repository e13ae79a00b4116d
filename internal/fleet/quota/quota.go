// Package quota has many gateways draw on one quota, each by itself, with the sum of
// what all may admit at most the quota at each instant: whatever is dropped, delayed,
// repeated or cut, whoever crashes, stands still or starts anew. It is pure: time and
// messages come in, messages and limits go out; there is no I/O, no clock, no goroutine.
//
// Each gateway owns a part of the quota, and the parts sum to it. What it does not use
// it cedes, for a time, to a contract's steward, which grants it on to those that want
// more. The argument for the sum is local, and needs no agreement on who is steward:
//
//   - An owner uses its part less all that it has ceded and that has not surely ended or
//     been given back (Participant).
//   - A steward grants no more than was ceded to it, and for no longer (Steward). Two
//     stewards at once have each been ceded something else.
//   - A holder of a grant uses it to its end and no longer.
//
// No clock is compared with another. An end is counted from a message of the receiver's
// own: a grant from the report that it answers, as its holder sent it; a cession from the
// reply that it answers, as the steward sent it. The giver counts from later, when its
// own message went out, and longer, by what clocks may differ in rate. So a message that
// is late, repeated or out of order can only end sooner than its giver believes.
//
// After a start what the former self may have ceded is not known. A gateway uses a floor
// until that has ended; a steward has nothing that was ceded to it, and so gives nothing.
package quota

import (
	"errors"
	"fmt"
	"time"

	"spokegw/internal/fleet/lease"
)

// Part is a part of the quota, in billionths: sums are exact.
type Part int64

// MaxGateways and MaxContracts bound a fleet, and the state of each of its members.
const (
	MaxGateways  = 512
	MaxContracts = 64
)

// Whole is all of the quota.
const Whole Part = 1e9

// PartOf turns a fraction into a part; what is none is the nearest.
func PartOf(fraction float64) Part {
	if !(fraction > 0) {
		return 0
	}
	return Part(min(fraction, 1) * float64(Whole))
}

// Fraction is a part as a fraction of the quota.
func (p Part) Fraction() float64 { return float64(p) / float64(Whole) }

func clamp(p Part) Part { return max(0, min(p, Whole)) }

// Settings are those of all gateways of a federation.
type Settings struct {
	Lease  time.Duration // that a cession lasts; a grant ends sooner
	Period time.Duration // between reports
	Drift  float64       // by which a clock's rate may differ from the true one, at most
}

const (
	// leastPeriods are how many reports have to fit a lease: some are lost.
	leastPeriods = 5
	// floorPart is what an owner never cedes: what it has right after a start.
	floorPart = 0.02
	// spareDemand is what an owner keeps beyond its demand.
	spareDemand = 1.03
	// grantPart is the part of a lease that a grant lasts, where cessions last so long.
	grantPart = 0.6
)

// Check tells what is wrong with settings.
func (s Settings) Check() error {
	switch {
	case s.Lease < 100*time.Millisecond || s.Lease > time.Minute:
		return fmt.Errorf("a lease of 100ms to 1m is expected, not %v", s.Lease)
	case s.Period < 10*time.Millisecond || s.Period*leastPeriods > s.Lease:
		return fmt.Errorf("a period of 10ms to a %dth of the lease is expected, not %v", leastPeriods, s.Period)
	case !(s.Drift >= 0 && s.Drift <= 0.1):
		return errors.New("a drift of 0 to 0.1 is expected")
	}
	return nil
}

// surely is how long a giver waits until a time has passed on another's clock.
func (s Settings) surely(d time.Duration) time.Duration { return lease.SafeWait(d, s.Drift) }

// times is so many times a duration.
func times(d time.Duration, n float64) time.Duration { return time.Duration(float64(d) * n) }

// Report is what a gateway tells the steward.
type Report struct {
	From          string
	Incarnation   uint64
	Seq           uint64 // of this incarnation's reports, from 1
	To            string
	ToIncarnation uint64 // 0: not known yet
	Ack           uint64 // the latest Reply taken from that incarnation; 0: none
	Demand        Part   // what the gateway could use
	Lend          Part   // until a lease after Ack was sent
}

// Reply is what a steward tells a gateway.
type Reply struct {
	From             string
	Incarnation      uint64
	Seq              uint64 // of the replies to this gateway, from 1
	To               string
	ToIncarnation    uint64
	Ack              uint64        // the latest Report taken
	Grant            Part          // for
	GrantTTL         time.Duration // after Ack was sent
	LendTarget       Part          // what the steward would have ceded
	LoanInUse        Part          // of the cessions up to Ack no more is used any more
	KnownIncarnation uint64        // over 0: so late an incarnation of To is known, and nothing else is told
}

// Limit is what a gateway may admit: Own, and until a time Grant beside it. It may only
// grow until the next event.
type Limit struct {
	Own, Grant Part
	Until      time.Duration
}

// At is the limit at a time.
func (l Limit) At(now time.Duration) Part {
	if now < l.Until {
		return l.Own + l.Grant
	}
	return l.Own
}

// entry is a part that was given with a message and may be used until an end.
type entry struct {
	incarnation, seq uint64
	amount           Part
	end              int64 // in the unit of the list's owner
}

// entries are what was given to one other, of which the largest that has not ended counts.
type entries []entry

// most is the largest amount that has not ended at a time.
func (e entries) most(now int64) (m Part) {
	for _, x := range e {
		if x.end > now {
			m = max(m, x.amount)
		}
	}
	return m
}

// drop leaves those out that a function tells.
func (e entries) drop(out func(entry) bool) entries {
	kept := e[:0]
	for _, x := range e {
		if !out(x) {
			kept = append(kept, x)
		}
	}
	return kept
}

// add appends one, and leaves those out that it stands for as well.
func (e entries) add(x entry) entries {
	return append(e.drop(func(o entry) bool {
		return o.amount <= x.amount && o.end <= x.end && o.seq <= x.seq && o.incarnation == x.incarnation
	}), x)
}
