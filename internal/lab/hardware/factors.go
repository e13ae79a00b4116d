package hardware

import (
	"math"

	"spokegw/internal/fleet/coordination"
	"spokegw/internal/fleet/weights"
)

// Factors are a gateway's, over the whole fleet's mean; 1 where it has none.
func (l *Lab) Factors(gateway int) []float64 {
	all := make([]float64, len(l.Servers))
	for i, id := range l.ids {
		all[i] = 1
		if f, ok := l.order[gateway].sizes[id]; ok {
			all[i] = f
		}
	}
	return all
}

// Holder is the number of the gateway that holds the duty; -1: none does.
func (l *Lab) Holder() int {
	for i, g := range l.order {
		if l.Nodes[i].Up && len(g.node.Estimates()) > 0 {
			return i
		}
	}
	return -1
}

// Off is by how much the list's weights are off, in the same way.
func (l *Lab) Off() float64 {
	even := make([]float64, len(l.Servers))
	for i := range even {
		even[i] = 1
	}
	return l.off(even)
}

// Error is by how much the holder's weights, or what it estimates, are off what the servers
// can do: the root of the mean square of the log, beside the fleet's mean.
func (l *Lab) Error() (table, estimated float64) {
	h := l.Holder()
	if h < 0 {
		return math.NaN(), math.NaN()
	}
	at := map[weights.ID]float64{}
	for _, e := range l.order[h].node.Estimates() {
		at[e.ID] = e.Factor
	}
	est := make([]float64, len(l.Servers))
	for i, id := range l.ids {
		est[i] = at[id]
	}
	return l.off(l.Factors(h)), l.off(est)
}

func (l *Lab) off(factors []float64) float64 {
	var logs []float64
	mean := 0.0
	for i, s := range l.Servers {
		if c := s.Capacity(l.Now); c > 0 {
			logs = append(logs, math.Log(factors[i]*s.Listed/c))
			mean += logs[len(logs)-1]
		}
	}
	mean /= float64(len(logs))
	sum := 0.0
	for _, x := range logs {
		sum += (x - mean) * (x - mean)
	}
	return math.Sqrt(sum / float64(len(logs)))
}

// Status is where a gateway stands.
func (l *Lab) Status(gateway int) coordination.Status {
	return l.order[gateway].node.Status(l.Clock(l.Nodes[gateway]))
}
