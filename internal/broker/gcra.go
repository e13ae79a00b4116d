package broker

import (
	"math"
	"time"
)

// gcra is the state of a generic cell rate algorithm (ITU-T I.371, annex A, in
// its virtual scheduling form): the theoretical arrival time of the next unit.
// There is no timer and no count to refill: a process that stood still for
// hours lets out one burst and no more.
type gcra struct{ next time.Duration }

// limit is a rate and what may come at once.
type limit struct {
	per   time.Duration // for one unit; 0: no limit
	slack time.Duration // how far ahead of its schedule a unit may come
}

// newLimit makes the limit of so many units a second, burst of them at once.
func newLimit(rate, burst float64) limit {
	if rate <= 0 {
		return limit{}
	}
	per := 1 / rate
	return limit{seconds(per), seconds(per * burst)}
}

// seconds turns seconds into a time; what is too long for one is the longest.
func seconds(s float64) time.Duration {
	const longest = 1e9 // seconds, some 30 years
	return time.Duration(math.Min(s, longest) * float64(time.Second))
}

// wait is how long n units have to wait to conform; 0: they do. More units than
// a burst conform when nothing is owed, and are paid off later: a dear request
// is slowed, not shut out.
func (g *gcra) wait(now time.Duration, l limit, n float64) time.Duration {
	if l.per == 0 || g.next <= now {
		return 0
	}
	over := g.next - now + l.of(n) - l.slack
	return max(min(over, g.next-now), 0)
}

// charge moves the schedule by n units; a negative n gives them back.
func (g *gcra) charge(now time.Duration, l limit, n float64) {
	if l.per > 0 {
		g.next = max(g.next, now) + l.of(n)
	}
}

// rescale takes a schedule from one limit over to another. The units that may come at
// once stay, as far as the other limit lets so many be saved up, and so does what is owed.
func (g *gcra) rescale(now time.Duration, from, to limit) {
	if from.per == 0 || to.per == 0 {
		return
	}
	ahead := float64(max(g.next-now, 0))
	saved := (float64(from.slack) - ahead) / float64(from.per) // under 0: owed
	most := float64(to.slack) / float64(to.per)
	g.next = now + to.of(most-math.Min(saved, most))
}

func (l limit) of(n float64) time.Duration {
	return time.Duration(math.Min(n*float64(l.per), float64(math.MaxInt64/8)))
}
