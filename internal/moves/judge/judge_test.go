package judge

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// binomial returns the probabilities of 0 to n faults at rate p.
func binomial(n int, p float64) []float64 {
	c := make([]float64, n+1)
	for k := range c {
		c[k] = math.Exp(logChoose(n, k)) * math.Pow(p, float64(k)) * math.Pow(1-p, float64(n-k))
	}
	return c
}

func logChoose(n, k int) float64 {
	lg := func(x int) float64 { v, _ := math.Lgamma(float64(x) + 1); return v }
	return lg(n) - lg(k) - lg(n-k)
}

// meanGrowth returns the mean growth of each e-process in one block at the true rates p
// and q, over all outcomes.
func meanGrowth(g Guard, newN, oldN int, p, q float64) (newOverBound, overMargin, nearBound, nearMargin float64) {
	for x, px := range binomial(newN, p) {
		for y, py := range binomial(oldN, q) {
			t := NewSequentialTest(g)
			t.Add(Block{newN, x, oldN, y})
			w := startWeight(0)
			newOverBound += px * py * t.newOverBound.value() / w
			overMargin += px * py * t.overMargin.value() / w
			nearBound += px * py * t.nearBound.value() / w
			nearMargin += px * py * t.nearMargin.value() / w
		}
	}
	return newOverBound, overMargin, nearBound, nearMargin
}

func odds(p float64) float64 { return p / (1 - p) }

// Under its null hypothesis the mean of an e-process must not grow, whatever the rates:
// all error rates depend on that. Every outcome of a block is enumerated.
func TestEvidenceIsFair(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := Guard{Bound: rapid.Float64Range(0.001, 0.2).Draw(rt, "bound"), Margin: rapid.Float64Range(1, 3).Draw(rt, "margin")}
		newN, oldN := rapid.IntRange(0, 7).Draw(rt, "new"), rapid.IntRange(0, 7).Draw(rt, "old")
		p, q := rapid.Float64Range(0.001, 0.95).Draw(rt, "p"), rapid.Float64Range(0.001, 0.95).Draw(rt, "q")
		newOverBound, overMargin, nearBound, nearMargin := meanGrowth(g, newN, oldN, p, q)
		const slack = 1 + 1e-9
		if p <= g.Bound && newOverBound > slack {
			rt.Errorf("rate within the bound: evidence for a higher rate grows by %v", newOverBound)
		}
		if odds(p) <= g.Margin*odds(q) && overMargin > slack {
			rt.Errorf("odds within the margin: evidence for higher odds grows by %v", overMargin)
		}
		if p >= excludedRatio*g.Bound && nearBound > slack {
			rt.Errorf("rate far over the bound: evidence for a lower rate grows by %v", nearBound)
		}
		if odds(p) >= excludedRatio*g.Margin*odds(q) && nearMargin > slack {
			rt.Errorf("odds far over the margin: evidence for lower odds grows by %v", nearMargin)
		}
	})
}

// The weights of all starts add up to 1.
func TestStartWeights(t *testing.T) {
	sum := 0.0
	for i := range 1_000_000 {
		sum += startWeight(float64(i))
	}
	if sum > 1 || sum < 0.999 {
		t.Errorf("the weights sum to %v", sum)
	}
}

// addBlocks adds random blocks with these rates until stop reports true, and returns the
// index of that block; -1: not within the given number of blocks.
func addBlocks(t *SequentialTest, r *rand.Rand, blocks, newN, oldN int, rates func(i int) (p, q float64), stop func() bool) int {
	bad := func(n int, p float64) (k int) {
		for range n {
			if r.Float64() < p {
				k++
			}
		}
		return k
	}
	for i := range blocks {
		p, q := rates(i)
		t.Add(Block{newN, bad(newN, p), oldN, bad(oldN, q)})
		if stop() {
			return i
		}
	}
	return -1
}

func steady(p, q float64) func(int) (float64, float64) {
	return func(int) (float64, float64) { return p, q }
}

const level = 800 // 1% over 8 tests

func TestVerdicts(t *testing.T) {
	g := Guard{Bound: 0.005, Margin: 1.5}
	for name, c := range map[string]struct {
		rates  func(int) (float64, float64)
		worse  bool // whether the new pool is judged worse within that many blocks
		blocks int
	}{
		"a fault of 5%": {steady(0.05, 0), true, 120},
		"a fault of 2%": {steady(0.02, 0.0005), true, 400},
		"a fault that starts late": {func(i int) (float64, float64) {
			if i < 900 {
				return 0.001, 0.001
			}
			return 0.05, 0.001
		}, true, 1100},
		"an intermittent fault": {func(i int) (float64, float64) {
			if i/10%2 == 0 {
				return 0, 0
			}
			return 0.06, 0
		}, true, 300},
		"a surge of faults common to both": {func(i int) (float64, float64) {
			if i > 60 && i < 160 {
				return 0.3, 0.3
			}
			return 0, 0
		}, false, 300},
		"both equally good":     {steady(0.003, 0.003), false, 1500},
		"the old pool is worse": {steady(0.01, 0.1), false, 600},
		"within the bound":      {steady(0.004, 0.0001), false, 1500},
		"within the margin":     {steady(0.03, 0.025), false, 1000},
		"nothing to compare":    {steady(0, 0), false, 600},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				tr := NewSequentialTest(g)
				at := addBlocks(tr, rand.New(rand.NewPCG(seed, 1)), c.blocks, 6, 100, c.rates, func() bool { return tr.WorseEvidence() >= level })
				if (at >= 0) != c.worse {
					t.Errorf("seed %d: judged worse at block %d, totals %v", seed, at, tr.total)
				}
			}
		})
	}
}

// Faults of both pools are reported as common, and a good pool is found to be fine after
// about the predicted number of requests.
func TestCommonAndFine(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	tr := NewSequentialTest(Guard{Bound: 0.005, Margin: 1.5})
	if addBlocks(tr, r, 200, 6, 100, steady(0.1, 0.1), func() bool { return tr.CommonEvidence() >= level }) < 0 {
		t.Error("a fault of both pools is not reported")
	}
	if tr.WorseEvidence() >= level || tr.WorseThanBound() != 0 {
		t.Errorf("for a common fault: evidence %v against the new pool, %v by the bound alone", tr.WorseEvidence(), tr.WorseThanBound())
	}
	tr = NewSequentialTest(Guard{Bound: 0.005, Margin: 1.5})
	need := tr.RequestsNeeded(20)
	at := addBlocks(tr, r, 2000, 5, 100, steady(0, 0), func() bool { return tr.FineEvidence() >= 20 })
	if got := (at + 1) * 5; got > 2*need || got < need/2 {
		t.Errorf("%d requests were needed, %d were predicted", got, need)
	}
	if d := tr.TimeNeeded(1e6, 0); d != math.MaxInt64 {
		t.Errorf("time needed without requests: %v", d)
	}
	if tr.RequestsNeeded(20) != 0 {
		t.Errorf("%d more requests are needed", tr.RequestsNeeded(20))
	}
}

// A pool with 1.3 times the latency is detected, one within the margin is not, and
// neither is judged worse for a load that slows both.
func TestLatencyComparison(t *testing.T) {
	for name, c := range map[string]struct {
		slower float64
		surge  bool
		worse  bool
	}{"1.3 times": {1.3, false, true}, "1.3 times in a surge": {1.3, true, true}, "as fast": {1, false, false}, "in a surge": {1, true, false}, "within the margin": {1.08, false, false}} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				r := rand.New(rand.NewPCG(seed, 3))
				p, tr := NewLatencyComparison(1.1), NewSequentialTest(Guard{Margin: 1})
				judgedWorse := false
				for i := range 200 {
					load := 1.0
					if c.surge && i > 50 && i < 120 {
						load = 3
					}
					took := func(times float64) time.Duration {
						return time.Duration(times * load * math.Exp(0.4*r.NormFloat64()) * float64(20*time.Millisecond))
					}
					for range 20 {
						p.AddNew(took(c.slower))
						p.AddOld(took(1))
						p.AddOld(took(1))
					}
					tr.Add(p.TakeBlock())
					judgedWorse = judgedWorse || tr.WorseEvidence() >= level
				}
				if judgedWorse != c.worse {
					t.Errorf("seed %d: judged worse: %v; %v", seed, judgedWorse, tr.total)
				}
			}
		})
	}
}

// Invalid blocks are ignored, and no block makes the evidence NaN, negative or unbounded.
func FuzzSequentialTest(f *testing.F) {
	f.Add(0.005, 1.5, 5, 1, 100, 1)
	f.Add(0.0, 1.0, MaxBlock, MaxBlock, MaxBlock, 0)
	f.Fuzz(func(t *testing.T, bound, margin float64, newN, newBad, oldN, oldBad int) {
		if math.IsNaN(bound) || math.IsNaN(margin) || math.IsInf(margin, 0) {
			return
		}
		tr := NewSequentialTest(Guard{Bound: bound, Margin: margin})
		for range 3 {
			tr.Add(Block{newN, newBad, oldN, oldBad})
		}
		for _, e := range []float64{tr.WorseEvidence(), tr.WorseThanBound(), tr.CommonEvidence(), tr.FineEvidence()} {
			if math.IsNaN(e) || e < 0 || e > maxEvidence {
				t.Errorf("evidence %v", e)
			}
		}
	})
}
