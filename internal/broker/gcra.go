package broker

import (
	"math"
	"time"
)

// gcra is the state of a generic cell rate algorithm (ITU-T I.371, annex A, in its virtual
// scheduling form): the theoretical arrival time (TAT) of the next unit. There is no timer and no
// counter to refill, so a process that was suspended for hours releases one burst and no more.
type gcra struct{ tat time.Duration }

// limit is a rate with a burst tolerance.
type limit struct {
	interval  time.Duration // per unit; 0: no limit
	tolerance time.Duration // how far ahead of its schedule a unit may arrive
}

// newLimit returns a limit of rate units per second, with bursts of burst units.
func newLimit(rate, burst float64) limit {
	if rate <= 0 {
		return limit{}
	}
	interval := 1 / rate
	return limit{seconds(interval), seconds(interval * burst)}
}

// seconds converts seconds to a duration, capped at about 30 years.
func seconds(s float64) time.Duration {
	const longest = 1e9 // seconds, about 30 years
	return time.Duration(math.Min(s, longest) * float64(time.Second))
}

// wait returns how long n units have to wait to conform; 0: they conform. A request of more than a
// burst conforms if the schedule has no debt, and is paid off afterwards, so that an expensive
// request is delayed rather than refused for good.
func (g *gcra) wait(now time.Duration, l limit, n float64) time.Duration {
	if l.interval == 0 || g.tat <= now {
		return 0
	}
	excess := g.tat - now + l.duration(n) - l.tolerance
	return max(min(excess, g.tat-now), 0)
}

// charge advances the schedule by n units; a negative n refunds them.
func (g *gcra) charge(now time.Duration, l limit, n float64) {
	if l.interval > 0 {
		g.tat = max(g.tat, now) + l.duration(n)
	}
}

// rescale converts the schedule from one limit to another. Accumulated units are kept, as far as
// the new limit lets so many accumulate, and so is debt.
func (g *gcra) rescale(now time.Duration, from, to limit) {
	if from.interval == 0 || to.interval == 0 {
		return
	}
	ahead := float64(max(g.tat-now, 0))
	saved := (float64(from.tolerance) - ahead) / float64(from.interval) // negative: debt
	maxSaved := float64(to.tolerance) / float64(to.interval)
	g.tat = now + to.duration(maxSaved-math.Min(saved, maxSaved))
}

func (l limit) duration(n float64) time.Duration {
	return time.Duration(math.Min(n*float64(l.interval), float64(math.MaxInt64/8)))
}
