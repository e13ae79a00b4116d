package policy

import (
	"math"
	"slices"
)

// splitKinds solves HALO's Eq. (4): each kind's share of all requests at rate lambda (unknown: saturation), given
// k effective servers of speed mu per kind. Kinds with a negative share are dropped. The sum is 1 (0: no usable server).
func splitKinds(k, mu []float64, lambda float64) []float64 {
	k, mu = slices.Clone(k), slices.Clone(mu)
	shares := make([]float64, len(k))
	for dropped := true; dropped; {
		var sumRoot, capacity, total, fastest float64
		for i := range k {
			if !positiveFinite(k[i]) || !positiveFinite(mu[i]) {
				k[i], mu[i] = 0, 1
			}
			sumRoot += k[i] * math.Sqrt(mu[i])
			capacity += k[i] * mu[i]
			fastest = max(fastest, mu[i]*indicator(k[i] > 0))
		}
		if sumRoot == 0 {
			return make([]float64, len(k))
		}
		rate := lambda // at capacity the split is proportional, beyond it the equation has no meaning
		if !positiveFinite(rate) || rate > capacity {
			rate = capacity
		}
		dropped = false
		for i := range k {
			root := math.Sqrt(mu[i])
			shares[i] = k[i] * (mu[i]*sumRoot - root*capacity + rate*root) / (rate * sumRoot)
			if k[i] > 0 && mu[i] == fastest {
				shares[i] = max(shares[i], math.SmallestNonzeroFloat32) // rounding must not drop all kinds
			} else if shares[i] < 0 {
				k[i], dropped = 0, true
			}
			total += shares[i]
		}
		for i := range shares {
			shares[i] /= total
		}
	}
	return shares
}

// positiveFinite reports whether x is a finite number above 0.
func positiveFinite(x float64) bool { return x > 0 && !math.IsInf(x, 0) }
