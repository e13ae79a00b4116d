package quota

import "time"

const (
	// The demand is the maximum of two moving averages: one that rises within a few reports, and
	// one that does not drop between two bursts.
	fastMean = 300 * time.Millisecond
	slowMean = 2 * time.Second
)

// DemandMeter derives the demand from what was requested, admitted or not: requests and work,
// since a quota may limit either.
type DemandMeter struct {
	started bool
	at      time.Duration
	means   [2]means
}

type means struct{ total, fast, slow float64 }

// Add takes the totals requested since the start, in quotas times seconds, and returns the
// demand. If time or the totals go backwards, the totals become the new baseline.
func (m *DemandMeter) Add(now time.Duration, requests, work float64) Part {
	elapsed := now - m.at
	if !m.started || elapsed <= 0 {
		m.means[0].total, m.means[1].total = requests, work
		m.started, m.at = true, max(now, m.at)
		return m.demand()
	}
	m.at = now
	m.means[0].add(elapsed, requests)
	m.means[1].add(elapsed, work)
	return m.demand()
}

func (m *DemandMeter) demand() Part {
	return PartOf(max(m.means[0].fast, m.means[0].slow, m.means[1].fast, m.means[1].slow))
}

func (m *means) add(elapsed time.Duration, total float64) {
	rate := max(0, total-m.total) / elapsed.Seconds()
	m.total = total
	m.fast += (rate - m.fast) * gain(elapsed, fastMean)
	m.slow += (rate - m.slow) * gain(elapsed, slowMean)
}

func gain(elapsed, timeConstant time.Duration) float64 {
	return min(1, elapsed.Seconds()/(elapsed+timeConstant).Seconds())
}
