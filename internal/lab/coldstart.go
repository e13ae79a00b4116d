package lab

import (
	"math"
	"time"
)

// ColdStart is what the settings tell of endpoints that have just started, and of what all sidecars
// together may send to one.
type ColdStart struct {
	Time     time.Duration // in which one becomes warm; 0: none is cold
	Least    float64       // the part of its capacity that it starts with
	Multiple float64       // it falls when it is sent more than this many times what it can do
	Span     time.Duration // within a time of this length
}

// Warmth is the part of its capacity that an endpoint of an age surely has.
func (c ColdStart) Warmth(age time.Duration) float64 {
	return min(1, c.Least+(1-c.Least)*age.Seconds()/c.Time.Seconds())
}

// Used is the largest part of what an endpoint may be sent that came in any span beginning while it
// was cold, and its age then. ages are those at which requests of mean work came, in order; warm is how
// many of them a second it can do when it is warm.
func (c ColdStart) Used(ages []time.Duration, warm float64) (most float64, at time.Duration) {
	to := 0
	for from, age := range ages {
		if age >= c.Time {
			break
		}
		for to < len(ages) && ages[to] < age+c.Span {
			to++
		}
		n := c.Multiple * c.Warmth(age) * warm * c.Span.Seconds()
		if used := float64(to-from) / (n + chance(n)); used > most {
			most, at = used, age
		}
	}
	return most, at
}

// chance is by how many requests an endpoint may be sent more than n, where n are allowed.
func chance(n float64) float64 {
	if n < 30 {
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}
