package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestSplitKindsHandWorked(t *testing.T) {
	root2 := math.Sqrt2
	cases := []struct {
		name   string
		k, mu  []float64
		lambda float64
		want   []float64
	}{
		{"paper's two servers at rate 1", []float64{1, 1}, []float64{2, 1}, 1, []float64{2 / (1 + root2), 1 - 2/(1+root2)}},
		{"low rate: fastest takes all", []float64{1, 1}, []float64{2, 1}, 0.3, []float64{1, 0}},
		{"at capacity: proportional", []float64{1, 1}, []float64{2, 1}, 3, []float64{2. / 3, 1. / 3}},
		{"above capacity: proportional", []float64{2, 1}, []float64{1, 4}, 50, []float64{1. / 3, 2. / 3}},
		{"near saturation: close to proportional", []float64{3, 6}, []float64{2, 1}, 11.9999, []float64{0.5, 0.5}},
		{"unknown rate counts as saturation", []float64{1, 1}, []float64{3, 1}, math.NaN(), []float64{0.75, 0.25}},
		{"one kind", []float64{4}, []float64{2}, 1, []float64{1}},
		{"kind without servers", []float64{0, 2}, []float64{9, 1}, 1, []float64{0, 1}},
		{"no servers at all", []float64{0, 0}, []float64{2, 1}, 1, []float64{0, 0}},
		// Three kinds at rate 1: the slowest comes out negative (0.1-speed
		// against 4) and is dropped, then the other two share alone.
		{"negative dropped, rest solved again", []float64{1, 1, 1}, []float64{4, 4, 0.1}, 1, []float64{0.5, 0.5, 0}},
		{"effective servers scale out (corollary 2)", []float64{0.5, 0.5}, []float64{2, 1}, 0.5, []float64{2 / (1 + root2), 1 - 2/(1+root2)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := splitKinds(c.k, c.mu, c.lambda)
			for i := range c.want {
				if math.Abs(got[i]-c.want[i]) > 1e-4 {
					t.Fatalf("split %v, want %v", got, c.want)
				}
			}
		})
	}
}

func TestSplitKindsIsAlwaysADistribution(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	odd := []float64{0, -1, math.NaN(), math.Inf(1), 1e-12, 1e12}
	value := func() float64 {
		if rng.IntN(6) == 0 {
			return odd[rng.IntN(len(odd))]
		}
		return rng.ExpFloat64() * 10
	}
	for range 20000 {
		n := 1 + rng.IntN(5)
		k, mu := make([]float64, n), make([]float64, n)
		servers := false
		for i := range n {
			k[i], mu[i] = value(), value()
			servers = servers || positiveFinite(k[i]) && positiveFinite(mu[i])
		}
		sum := 0.0
		got := splitKinds(k, mu, value())
		for _, p := range got {
			if !(p >= 0 && p <= 1+1e-9) {
				t.Fatalf("splitKinds(%v, %v) = %v", k, mu, got)
			}
			sum += p
		}
		if servers && math.Abs(sum-1) > 1e-9 || !servers && sum != 0 {
			t.Fatalf("splitKinds(%v, %v) = %v sums to %v", k, mu, got, sum)
		}
	}
}
