package judge

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// chances are those of NewBad from 0 on, for two independent pools of these rates.
func chances(n int, p float64) []float64 {
	c := make([]float64, n+1)
	for k := range c {
		c[k] = math.Exp(choose(n, k)) * math.Pow(p, float64(k)) * math.Pow(1-p, float64(n-k))
	}
	return c
}

func choose(n, k int) float64 {
	lg := func(x int) float64 { v, _ := math.Lgamma(float64(x) + 1); return v }
	return lg(n) - lg(k) - lg(n-k)
}

// means are the means of what each evidence grows by in a block, over all outcomes
// of it, at true rates.
func means(g Guard, newN, oldN int, p, q float64) (over, ratio, fine, alike float64) {
	for x, px := range chances(newN, p) {
		for y, py := range chances(oldN, q) {
			t := NewSequentialTest(g)
			t.Add(Block{newN, x, oldN, y})
			w := startWeight(0)
			over += px * py * t.over.value() / w
			ratio += px * py * t.ratio.value() / w
			fine += px * py * t.fine.value() / w
			alike += px * py * t.alike.value() / w
		}
	}
	return over, ratio, fine, alike
}

func odds(p float64) float64 { return p / (1 - p) }

// Where what an evidence speaks against is true its mean does not grow, whatever
// the rates are: that is all that its error rates stand on. Every outcome of a
// block is gone through.
func TestEvidenceIsFair(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := Guard{Bound: rapid.Float64Range(0.001, 0.2).Draw(rt, "bound"), Margin: rapid.Float64Range(1, 3).Draw(rt, "margin")}
		newN, oldN := rapid.IntRange(0, 7).Draw(rt, "new"), rapid.IntRange(0, 7).Draw(rt, "old")
		p, q := rapid.Float64Range(0.001, 0.95).Draw(rt, "p"), rapid.Float64Range(0.001, 0.95).Draw(rt, "q")
		over, ratio, fine, alike := means(g, newN, oldN, p, q)
		const slack = 1 + 1e-9
		if p <= g.Bound && over > slack {
			rt.Errorf("within the bound the evidence of more grows by %v", over)
		}
		if odds(p) <= g.Margin*odds(q) && ratio > slack {
			rt.Errorf("within the margin the evidence of more grows by %v", ratio)
		}
		if p >= excluded*g.Bound && fine > slack {
			rt.Errorf("far over the bound the evidence of less grows by %v", fine)
		}
		if odds(p) >= excluded*g.Margin*odds(q) && alike > slack {
			rt.Errorf("far over the margin the evidence of less grows by %v", alike)
		}
	})
}

// The weights of all starts are 1 in all.
func TestStartWeights(t *testing.T) {
	sum := 0.0
	for i := range 1_000_000 {
		sum += startWeight(float64(i))
	}
	if sum > 1 || sum < 0.999 {
		t.Errorf("the weights sum to %v", sum)
	}
}

// play has a track see blocks of these rates until stop, and returns after how
// many that was; -1: not within so many.
func play(t *SequentialTest, r *rand.Rand, blocks, newN, oldN int, rates func(i int) (p, q float64), stop func() bool) int {
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

const level = 800 // 1% over 8 tracks

func TestVerdicts(t *testing.T) {
	g := Guard{Bound: 0.005, Margin: 1.5}
	for name, c := range map[string]struct {
		rates  func(int) (float64, float64)
		blames bool // the new pool, within
		blocks int
	}{
		"a fault of 5%": {steady(0.05, 0), true, 120},
		"a fault of 2%": {steady(0.02, 0.0005), true, 400},
		"a fault that comes late": {func(i int) (float64, float64) {
			if i < 900 {
				return 0.001, 0.001
			}
			return 0.05, 0.001
		}, true, 1100},
		"one that comes and goes": {func(i int) (float64, float64) {
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
		"both as good":       {steady(0.003, 0.003), false, 1500},
		"the old one worse":  {steady(0.01, 0.1), false, 600},
		"within the bound":   {steady(0.004, 0.0001), false, 1500},
		"within the margin":  {steady(0.03, 0.025), false, 1000},
		"nothing to compare": {steady(0, 0), false, 600},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				tr := NewSequentialTest(g)
				at := play(tr, rand.New(rand.NewPCG(seed, 1)), c.blocks, 6, 100, c.rates, func() bool { return tr.WorseEvidence() >= level })
				if (at >= 0) != c.blames {
					t.Errorf("seed %d: blamed at block %d, rates %v", seed, at, tr.total)
				}
			}
		})
	}
}

// What is common to both is told as such, and a good pool is found to be fine
// about when that was foretold.
func TestCommonAndFine(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	tr := NewSequentialTest(Guard{Bound: 0.005, Margin: 1.5})
	if play(tr, r, 200, 6, 100, steady(0.1, 0.1), func() bool { return tr.CommonEvidence() >= level }) < 0 {
		t.Error("a fault of both is not told")
	}
	if tr.WorseEvidence() >= level || tr.WorseThanBound() != 0 {
		t.Errorf("evidence %v against the new pool, %v alone, of what is common", tr.WorseEvidence(), tr.WorseThanBound())
	}
	tr = NewSequentialTest(Guard{Bound: 0.005, Margin: 1.5})
	need := tr.RequestsNeeded(20)
	at := play(tr, r, 2000, 5, 100, steady(0, 0), func() bool { return tr.FineEvidence() >= 20 })
	if got := (at + 1) * 5; got > 2*need || got < need/2 {
		t.Errorf("%d requests were needed, %d were foretold", got, need)
	}
	if d := tr.TimeNeeded(1e6, 0); d != math.MaxInt64 {
		t.Errorf("without requests it takes %v", d)
	}
	if tr.RequestsNeeded(20) != 0 {
		t.Errorf("%d more are needed", tr.RequestsNeeded(20))
	}
}

// A pool that takes 1.3 times as long is found, whatever the law of the times is,
// and one that takes as long within the margin is not; nor is either blamed for
// a load that slows both.
func TestPace(t *testing.T) {
	for name, c := range map[string]struct {
		slower float64
		surge  bool
		blames bool
	}{"1.3 times": {1.3, false, true}, "1.3 times in a surge": {1.3, true, true}, "as fast": {1, false, false}, "in a surge": {1, true, false}, "within the margin": {1.08, false, false}} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				r := rand.New(rand.NewPCG(seed, 3))
				p, tr := NewLatencyComparison(1.1), NewSequentialTest(Guard{Margin: 1})
				blamed := false
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
					blamed = blamed || tr.WorseEvidence() >= level
				}
				if blamed != c.blames {
					t.Errorf("seed %d: blamed %v; %v", seed, blamed, tr.total)
				}
			}
		})
	}
}

// Blocks that can't be are left out, and no block makes evidence that is no number.
func FuzzTrack(f *testing.F) {
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
			if math.IsNaN(e) || e < 0 || e > most {
				t.Errorf("evidence %v", e)
			}
		}
	})
}
