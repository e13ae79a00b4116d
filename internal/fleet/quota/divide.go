package quota

import "slices"

// claim is one gateway's claim on a quota.
type claim struct {
	part, demand Part
	partner      int
}

// demandMargin is the factor on a demand that a gateway is to get, since the demand is a mean.
const demandMargin = 1.03

// Divide returns what each gateway should have. First each partner gets what it wants, up to the
// parts that its gateways own. What is left goes to partners that want more, by weight, so that a
// partner gains nothing from additional gateways. Within a partner each gateway gets what it
// wants of its own part, and what is left is divided evenly among the others. The sum is at most
// the sum of the parts.
func Divide(claims []claim, weights []float64) []Part {
	n := len(weights)
	owned, wants, base := make([]Part, n), make([]Part, n), make([]Part, n)
	demands := make([]Part, len(claims))
	for i, c := range claims {
		demands[i] = clamp(Part(demandMargin * float64(c.demand)))
		owned[c.partner] += c.part
		wants[c.partner] += demands[i]
	}
	remaining := Part(0)
	more := make([]Part, n)
	for p := range n {
		base[p] = min(owned[p], wants[p])
		remaining += owned[p] - base[p]
		more[p] = wants[p] - base[p]
	}
	for p, x := range fill(remaining, more, weights) {
		base[p] += x
	}
	targets := make([]Part, len(claims))
	for p := range n {
		divideWithin(p, base[p], claims, demands, targets)
	}
	return targets
}

// divideWithin divides a partner's amount among its gateways.
func divideWithin(partner int, amount Part, claims []claim, demands, targets []Part) {
	var indexes []int
	var more []Part
	var equalWeights []float64
	for i, c := range claims {
		if c.partner != partner {
			continue
		}
		targets[i] = min(c.part, demands[i])
		amount -= targets[i]
		indexes, more, equalWeights = append(indexes, i), append(more, demands[i]-targets[i]), append(equalWeights, 1)
	}
	for k, x := range fill(max(amount, 0), more, equalWeights) {
		targets[indexes[k]] += x
	}
}

// fill divides left among those that want some, by weight and none more than it wants (weighted
// max-min fairness, or water-filling).
func fill(remaining Part, want []Part, weights []float64) []Part {
	order := make([]int, len(want))
	sum := 0.0
	for i := range order {
		order[i] = i
		if want[i] > 0 {
			sum += weights[i]
		}
	}
	level := func(i int) float64 { return float64(want[i]) / weights[i] }
	slices.SortStableFunc(order, func(a, b int) int {
		switch x, y := level(a), level(b); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	filled := make([]Part, len(want))
	for _, i := range order {
		if want[i] <= 0 {
			continue
		}
		filled[i] = min(want[i], Part(float64(remaining)*min(1, weights[i]/sum)), remaining)
		remaining -= filled[i]
		sum -= weights[i]
	}
	return filled
}
