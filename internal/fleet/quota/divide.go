package quota

import "slices"

// claim is one gateway's claim on a quota.
type claim struct {
	part, demand Part
	partner      int
}

// demandMargin is the part of a demand that a gateway is to have more: it is a mean.
const demandMargin = 1.03

// Divide says what each gateway is to have. First each partner has what it wants of the
// parts that its gateways own; what then is left goes to those that want more, by the
// partners' weights, so that a partner gains nothing by more gateways. Within a partner
// each gateway has what it wants of its own part, and what is left goes to the others
// evenly. The sum is the sum of the parts at most.
func Divide(claims []claim, weights []float64) []Part {
	n := len(weights)
	owned, wants, base := make([]Part, n), make([]Part, n), make([]Part, n)
	demands := make([]Part, len(claims))
	for i, c := range claims {
		demands[i] = clamp(Part(demandMargin * float64(c.demand)))
		owned[c.partner] += c.part
		wants[c.partner] += demands[i]
	}
	left := Part(0)
	more := make([]Part, n)
	for p := range n {
		base[p] = min(owned[p], wants[p])
		left += owned[p] - base[p]
		more[p] = wants[p] - base[p]
	}
	for p, x := range fill(left, more, weights) {
		base[p] += x
	}
	targets := make([]Part, len(claims))
	for p := range n {
		divideWithin(p, base[p], claims, demands, targets)
	}
	return targets
}

// divideWithin divides what a partner has among its gateways.
func divideWithin(partner int, has Part, claims []claim, demands, targets []Part) {
	var of []int
	var more []Part
	var even []float64
	for i, c := range claims {
		if c.partner != partner {
			continue
		}
		targets[i] = min(c.part, demands[i])
		has -= targets[i]
		of, more, even = append(of, i), append(more, demands[i]-targets[i]), append(even, 1)
	}
	for k, x := range fill(max(has, 0), more, even) {
		targets[of[k]] += x
	}
}

// fill divides what is left among those that want it, by weight, none more than it wants:
// the level to which water rises in vessels as wide as the weights.
func fill(left Part, want []Part, weights []float64) []Part {
	order := make([]int, len(want))
	sum := 0.0
	for i := range order {
		order[i] = i
		if want[i] > 0 {
			sum += weights[i]
		}
	}
	height := func(i int) float64 { return float64(want[i]) / weights[i] }
	slices.SortStableFunc(order, func(a, b int) int {
		switch x, y := height(a), height(b); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	got := make([]Part, len(want))
	for _, i := range order {
		if want[i] <= 0 {
			continue
		}
		got[i] = min(want[i], Part(float64(left)*min(1, weights[i]/sum)), left)
		left -= got[i]
		sum -= weights[i]
	}
	return got
}
