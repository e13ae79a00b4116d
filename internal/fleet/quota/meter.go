package quota

import "time"

const (
	// A demand is the larger of two means: one that rises within a few reports, and one
	// that does not fall between two bursts.
	fastMean = 300 * time.Millisecond
	slowMean = 2 * time.Second
)

// DemandMeter tells a demand from what was asked for, admitted or not: of requests and of work,
// of which a quota may limit either.
type DemandMeter struct {
	begun bool
	at    time.Duration
	means [2]means
}

type means struct{ asked, fast, slow float64 }

// Add takes what was asked for since the beginning, in quotas times seconds, and returns
// the demand. What goes backwards begins anew.
func (m *DemandMeter) Add(now time.Duration, requests, work float64) Part {
	passed := now - m.at
	if !m.begun || passed <= 0 {
		m.means[0].asked, m.means[1].asked = requests, work
		m.begun, m.at = true, max(now, m.at)
		return m.demand()
	}
	m.at = now
	m.means[0].add(passed, requests)
	m.means[1].add(passed, work)
	return m.demand()
}

func (m *DemandMeter) demand() Part {
	return PartOf(max(m.means[0].fast, m.means[0].slow, m.means[1].fast, m.means[1].slow))
}

func (m *means) add(passed time.Duration, asked float64) {
	rate := max(0, asked-m.asked) / passed.Seconds()
	m.asked = asked
	m.fast += (rate - m.fast) * fades(passed, fastMean)
	m.slow += (rate - m.slow) * fades(passed, slowMean)
}

func fades(passed, over time.Duration) float64 {
	return min(1, passed.Seconds()/(passed+over).Seconds())
}
