// Package overload decides what a sidecar takes on when its own processor is what is
// short. It is pure: the clock comes in with the calls, and it is for one goroutine.
//
// What is watched is how long work that is ready waits for the processor. A queue that
// stands, not one that a burst leaves, is what counts: the least delay of an interval, as
// CoDel has it (RFC 8289 section 4.2). The part of the requests that is let in then falls
// by how far the delay is over its target and rises again in steps, and who is let in goes
// by worth: as DAGOR has it (Zhou et al., Overload Control for Scaling WeChat
// Microservices, SoCC 2018) a histogram of what came of late is cut where the part ends.
package overload

import (
	"fmt"
	"math"
	"time"
)

// Settings are those of a brake.
type Settings struct {
	Target   time.Duration // that ready work may wait
	Interval time.Duration // in which a queue has to have been short once
}

// DefaultSettings are for answers in 100 ms and more: ready work waits for a few milliseconds at
// most while there is processor to spare.
var DefaultSettings = Settings{Target: 5 * time.Millisecond, Interval: 50 * time.Millisecond}

// Validate names the first setting that can't be worked with.
func (s Settings) Validate() error {
	switch {
	case s.Target < time.Millisecond || s.Target > time.Second:
		return fmt.Errorf("target: %v, 1ms to 1s is expected", s.Target)
	case s.Interval < 2*s.Target || s.Interval > 10*time.Second:
		return fmt.Errorf("interval: %v, twice the target (%v) to 10s is expected", s.Interval, s.Target)
	}
	return nil
}

const (
	// RankCount are those that requests are told apart by, the worthiest last.
	RankCount = 64
	// least is the part that is let in at least: without any nothing is seen to be over.
	least = 0.02
	// cut bounds what one interval takes off, against a pause of the whole process, which
	// looks like a long queue and is none.
	cut = 0.4
	// slope is what each target's length of delay over the target takes off.
	slope = 0.08
	// rise is the part of the level, and of a tenth beside it, that an interval adds whose
	// delay is nothing; less, the nearer it is to the target.
	rise = 0.1
	// calm is how many intervals with all let in end a brake, against one that comes and goes.
	calm = 10
	// memory is the part of the histogram that is left after an interval.
	memory = 0.7
	// longestRetry bounds when those who are refused are asked to come back.
	longestRetry = 5 * time.Second
)

// Shedder is the state of one sidecar.
type Shedder struct {
	set     Settings
	level   float64 // part of the requests that is let in
	ends    time.Duration
	short   time.Duration // the least delay in this interval; <0: none was told
	came    [RankCount]float64
	let     [RankCount]float64 // part that is let in, by rank
	braking bool
	since   time.Duration
	usual   int // intervals with all let in
}

// New makes a brake that lets all in.
func New(now time.Duration, s Settings) *Shedder {
	b := &Shedder{set: s, level: 1, ends: now + s.Interval, short: -1}
	b.divide()
	return b
}

// Rank is that of a worth: higher ones are let in first. Worths within a tenth of each
// other may have one rank.
func Rank(worth float64) int {
	if !(worth > 0) {
		return 0
	}
	const middle, perDouble = RankCount / 2, 5
	return int(math.Min(math.Max(middle+perDouble*math.Log2(worth), 0), RankCount-1))
}

// ObserveDelay takes how long ready work has waited, and reports whether the brake has come or
// gone by that.
func (b *Shedder) ObserveDelay(now, waited time.Duration) (changed bool) {
	if b.short < 0 || waited < b.short {
		b.short = max(waited, 0)
	}
	if now < b.ends {
		return false
	}
	before := b.braking
	b.judge(now)
	b.ends, b.short = now+b.set.Interval, -1
	return b.braking != before
}

// judge ends an interval.
func (b *Shedder) judge(now time.Duration) {
	over := float64(b.short)/float64(b.set.Target) - 1
	if over > 0 {
		b.level = math.Max(b.level*math.Max(1-slope*over, cut), least)
		b.usual = 0
		if !b.braking {
			b.braking, b.since = true, now
		}
	} else {
		b.level = math.Min(b.level-rise*(b.level+0.1)*over, 1)
	}
	if b.level == 1 && over <= 0 {
		if b.usual++; b.usual >= calm && b.braking {
			b.braking, b.since = false, now
		}
	}
	b.divide()
	for i := range b.came {
		b.came[i] *= memory
	}
}

// divide finds what part of each rank is let in: the worthiest first, until the part of
// all is reached.
func (b *Shedder) divide() {
	all := 0.0
	for _, n := range b.came {
		all += n
	}
	room := b.level * all
	for i := RankCount - 1; i >= 0; i-- {
		switch n := b.came[i]; {
		case b.level == 1 || n == 0 && room > 0:
			b.let[i] = 1
		case n == 0: // nobody came of it: a few are tried, and no more than of the rank above
			b.let[i] = math.Min(least, b.let[min(i+1, RankCount-1)])
		default:
			b.let[i] = math.Max(math.Min(room/n, 1), 0)
		}
		room -= b.came[i]
	}
	if all == 0 {
		for i := range b.let {
			b.let[i] = b.level
		}
	}
}

// Shedding reports whether some may be refused, and since when.
func (b *Shedder) Shedding() (is bool, since time.Duration) { return b.braking, b.since }

// AdmitFraction is the part of the requests that is let in.
func (b *Shedder) AdmitFraction() float64 { return b.level }

// Admit judges a request of a rank while the brake is on; random is in [0,1). One that is not let in is best
// again after a time that is spread by random, so that those refused together do not come
// back together.
func (b *Shedder) Admit(rank int, random float64) (in bool, again time.Duration) {
	rank = min(max(rank, 0), RankCount-1)
	b.came[rank]++
	let := b.let[rank]
	if random < let {
		return true, 0
	}
	intervals := math.Log(1.1/(b.level+0.1)) / rise // until all are let in
	spread := (random - let) / (1 - let)            // evenly in [0,1) among those refused
	return false, min(time.Duration((0.5+spread)*intervals*float64(b.set.Interval)), longestRetry)
}
