// Package overload sheds load when the sidecar's own processor is the bottleneck. It is pure:
// callers pass the time in. It is not safe for concurrent use.
//
// The signal is how long runnable work waits for the processor. Only a standing queue counts, not
// one left by a burst, so the signal is the minimum delay of an interval, as in CoDel (RFC 8289
// section 4.2). The fraction of requests admitted falls the further the delay exceeds its target,
// and rises again in steps. Requests are admitted by worth: as in DAGOR (Zhou et al., Overload
// Control for Scaling WeChat Microservices, SoCC 2018), a histogram of recent requests by rank is
// cut where the admitted fraction ends.
package overload

import (
	"fmt"
	"math"
	"time"
)

// Settings configure a Shedder.
type Settings struct {
	Target   time.Duration // acceptable wait of runnable work
	Interval time.Duration // time within which the wait has to fall to the target once
}

// DefaultSettings suit latencies of 100 ms and more: with spare processor time, runnable work
// waits for a few milliseconds at most.
var DefaultSettings = Settings{Target: 5 * time.Millisecond, Interval: 50 * time.Millisecond}

// Validate returns an error for the first setting that is out of range.
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
	// RankCount is the number of ranks that requests are divided into; the highest rank is worth
	// most.
	RankCount = 64
	// minAdmitFraction keeps some requests admitted, as the end of an overload shows only with
	// load.
	minAdmitFraction = 0.02
	// minFactor bounds the decrease of one interval, because a pause of the whole process looks
	// like a long queue.
	minFactor = 0.4
	// decreaseSlope is the relative decrease for each multiple of the target by which the delay
	// exceeds the target.
	decreaseSlope = 0.08
	// increaseRate is the increase for an interval without delay, as a fraction of the admitted
	// fraction plus 0.1; it is smaller the closer the delay is to the target.
	increaseRate = 0.1
	// calmToStop is the number of intervals with everything admitted that end shedding, so that it
	// does not flap.
	calmToStop = 10
	// histogramDecay is the fraction of the histogram kept after an interval.
	histogramDecay = 0.7
	// maxRetryAfter bounds the retry delay of refused requests.
	maxRetryAfter = 5 * time.Second
)

// Shedder is the load shedding state of one sidecar.
type Shedder struct {
	settings      Settings
	admitFraction float64 // fraction of the requests admitted
	intervalEnd   time.Duration
	minDelay      time.Duration // minimum in this interval; <0: no sample
	arrivals      [RankCount]float64
	rankFraction  [RankCount]float64 // fraction admitted by rank
	shedding      bool
	since         time.Duration
	calmIntervals int // consecutive intervals with everything admitted
}

// New returns a Shedder that admits everything.
func New(now time.Duration, settings Settings) *Shedder {
	s := &Shedder{settings: settings, admitFraction: 1, intervalEnd: now + settings.Interval, minDelay: -1}
	s.updateRanks()
	return s
}

// Rank returns the rank of a worth; higher ranks are admitted first. Worths within about a tenth
// of each other may share a rank.
func Rank(worth float64) int {
	if !(worth > 0) {
		return 0
	}
	const middle, perDouble = RankCount / 2, 5
	return int(math.Min(math.Max(middle+perDouble*math.Log2(worth), 0), RankCount-1))
}

// ObserveDelay records how long runnable work waited, and reports whether shedding started or
// stopped.
func (s *Shedder) ObserveDelay(now, waited time.Duration) (changed bool) {
	if s.minDelay < 0 || waited < s.minDelay {
		s.minDelay = max(waited, 0)
	}
	if now < s.intervalEnd {
		return false
	}
	before := s.shedding
	s.endInterval(now)
	s.intervalEnd, s.minDelay = now+s.settings.Interval, -1
	return s.shedding != before
}

// endInterval updates the admitted fraction at the end of an interval.
func (s *Shedder) endInterval(now time.Duration) {
	excess := float64(s.minDelay)/float64(s.settings.Target) - 1
	if excess > 0 {
		s.admitFraction = math.Max(s.admitFraction*math.Max(1-decreaseSlope*excess, minFactor), minAdmitFraction)
		s.calmIntervals = 0
		if !s.shedding {
			s.shedding, s.since = true, now
		}
	} else {
		s.admitFraction = math.Min(s.admitFraction-increaseRate*(s.admitFraction+0.1)*excess, 1)
	}
	if s.admitFraction == 1 && excess <= 0 {
		if s.calmIntervals++; s.calmIntervals >= calmToStop && s.shedding {
			s.shedding, s.since = false, now
		}
	}
	s.updateRanks()
	for i := range s.arrivals {
		s.arrivals[i] *= histogramDecay
	}
}

// updateRanks sets the admitted fraction of each rank: the highest rank first, until the total
// fraction is used up.
func (s *Shedder) updateRanks() {
	total := 0.0
	for _, n := range s.arrivals {
		total += n
	}
	remaining := s.admitFraction * total
	for i := RankCount - 1; i >= 0; i-- {
		switch n := s.arrivals[i]; {
		case s.admitFraction == 1 || n == 0 && remaining > 0:
			s.rankFraction[i] = 1
		case n == 0: // no recent requests: admits a few, and no more than of the next higher rank
			s.rankFraction[i] = math.Min(minAdmitFraction, s.rankFraction[min(i+1, RankCount-1)])
		default:
			s.rankFraction[i] = math.Max(math.Min(remaining/n, 1), 0)
		}
		remaining -= s.arrivals[i]
	}
	if total == 0 {
		for i := range s.rankFraction {
			s.rankFraction[i] = s.admitFraction
		}
	}
}

// Shedding reports whether requests may be refused, and since when that has been so.
func (s *Shedder) Shedding() (active bool, since time.Duration) { return s.shedding, s.since }

// AdmitFraction returns the fraction of the requests that is admitted.
func (s *Shedder) AdmitFraction() float64 { return s.admitFraction }

// Admit decides on a request of a rank while shedding; random is in [0,1). The retry delay of a
// refused request is spread by random, so that requests refused together do not return together.
func (s *Shedder) Admit(rank int, random float64) (admitted bool, retryAfter time.Duration) {
	rank = min(max(rank, 0), RankCount-1)
	s.arrivals[rank]++
	fraction := s.rankFraction[rank]
	if random < fraction {
		return true, 0
	}
	intervals := math.Log(1.1/(s.admitFraction+0.1)) / increaseRate // until everything is admitted
	spread := (random - fraction) / (1 - fraction)                  // uniform in [0,1) among the refused
	return false, min(time.Duration((0.5+spread)*intervals*float64(s.settings.Interval)), maxRetryAfter)
}
