package judge

import (
	"math"
	"time"
)

// Guard limits one fault kind.
type Guard struct {
	// Bound is the fault rate, in (0, 1), up to which no pool is judged worse; 0: no
	// bound, the pools are only compared.
	Bound float64
	// Margin is the allowed ratio of the odds of a fault in the new pool to those in the
	// old one, at least 1.
	Margin float64
}

// The alternatives that are tested: multiples of the bound, or of the margin. Values in
// between are detected too, but later. Faults that are only compared, such as slow
// answers, have rates of about a half: their odds differ less.
var (
	alternatives     = [...]float64{1.6, 3, 8, 30}
	oddsAlternatives = [...]float64{1.25, 1.6, 2.5, 6}
)

const (
	// excludedRatio is the multiple of the allowed rate that has to be ruled out before a
	// pool counts as fine; excludedOddsRatio is the same if pools are only compared.
	excludedRatio     = 4
	excludedOddsRatio = 1.8
	// maxRate keeps rates away from 1.
	maxRate = 0.95
)

// SequentialTest accumulates the evidence on one fault kind in one class over a whole
// move. It is not safe for concurrent use.
type SequentialTest struct {
	guard Guard

	newOverBound evidence // evidence that the new pool is over the bound
	oldOverBound evidence // evidence that the old pool is over the bound
	overMargin   evidence // evidence that the new pool is over the margin
	nearBound    evidence // evidence that the new pool is not far over the bound
	nearMargin   evidence // evidence that the pools are not far apart

	dist  hypergeometric
	total Block // sum of all blocks
}

// NewSequentialTest returns a test without observations.
func NewSequentialTest(g Guard) *SequentialTest {
	if g.Bound != 0 {
		g.Bound = min(max(g.Bound, 1e-6), maxRate/2)
	}
	g.Margin = max(g.Margin, 1)
	n := len(alternatives)
	return &SequentialTest{guard: g, newOverBound: newEvidence(n), oldOverBound: newEvidence(n), overMargin: newEvidence(n), nearBound: newEvidence(n), nearMargin: newEvidence(1)}
}

// rateAt is the given multiple of the bound.
func (t *SequentialTest) rateAt(times float64) float64 { return min(t.guard.Bound*times, maxRate) }

// Add adds a block and reports whether it is valid; an invalid one is ignored.
func (t *SequentialTest) Add(b Block) bool {
	if !b.valid() {
		return false
	}
	t.total.New += b.New
	t.total.NewBad += b.NewBad
	t.total.Old += b.Old
	t.total.OldBad += b.OldBad
	if bound := t.guard.Bound; bound > 0 {
		t.addBound(&b, bound)
	}
	t.addConditional(&b)
	return true
}

func (t *SequentialTest) addBound(b *Block, bound float64) {
	t.newOverBound.add(func(i int) float64 {
		return math.Exp(logLikelihoodRatio(b.New, b.NewBad, t.rateAt(alternatives[i]), bound))
	})
	t.oldOverBound.add(func(i int) float64 {
		return math.Exp(logLikelihoodRatio(b.Old, b.OldBad, t.rateAt(alternatives[i]), bound))
	})
	t.nearBound.add(func(i int) float64 {
		return math.Exp(logLikelihoodRatio(b.New, b.NewBad, t.rateAt(excludedRatio)/alternatives[i], t.rateAt(excludedRatio)))
	})
}

func (t *SequentialTest) addConditional(b *Block) {
	t.dist.compute(b)
	if t.dist.degenerate() {
		one := func(int) float64 { return 1 }
		t.overMargin.add(one)
		t.nearMargin.add(one)
		return
	}
	ratios, farRatio := &alternatives, float64(excludedRatio)
	if t.guard.Bound == 0 {
		ratios, farRatio = &oddsAlternatives, excludedOddsRatio
	}
	logMargin := math.Log(t.guard.Margin)
	allowed := t.dist.logProb(b.NewBad, logMargin)
	t.overMargin.add(func(i int) float64 {
		return math.Exp(t.dist.logProb(b.NewBad, logMargin+math.Log(ratios[i])) - allowed)
	})
	far := t.dist.logProb(b.NewBad, logMargin+math.Log(farRatio))
	t.nearMargin.add(func(int) float64 { return math.Exp(t.dist.logProb(b.NewBad, 0) - far) })
}

// WorseEvidence is the evidence against the hypothesis that the new pool is within the
// bound or within the margin of the old one. Either makes the hypothesis true, so it is
// the lesser of the two.
func (t *SequentialTest) WorseEvidence() float64 {
	if t.guard.Bound == 0 {
		return t.overMargin.value()
	}
	return min(t.newOverBound.value(), t.overMargin.value())
}

// WorseThanBound replaces WorseEvidence if there is no old pool to compare with: it tests
// the bound only. It is 0 if the old pool was over the bound itself, since the fault may
// then be common to both.
func (t *SequentialTest) WorseThanBound() float64 {
	if t.oldOverBound.value() > 1 {
		return 0
	}
	return t.newOverBound.value()
}

// CommonEvidence is the evidence that both pools are over the bound.
func (t *SequentialTest) CommonEvidence() float64 {
	return min(t.newOverBound.value(), t.oldOverBound.value())
}

// FineEvidence is the evidence against the hypotheses that the new pool is at 4 times the
// bound or more, and at 4 times the margin (1.8 times if there is no bound).
func (t *SequentialTest) FineEvidence() float64 {
	if t.guard.Bound == 0 {
		return t.nearMargin.value()
	}
	return (t.nearBound.value() + t.nearMargin.value()) / 2
}

// Total returns the sum of all blocks.
func (t *SequentialTest) Total() Block { return t.total }

// Rates returns the fault rates of the new and the old pool.
func (t *SequentialTest) Rates() (new, old float64) {
	rate := func(bad, n int) float64 {
		if n == 0 {
			return 0
		}
		return float64(bad) / float64(n)
	}
	return rate(t.total.NewBad, t.total.New), rate(t.total.OldBad, t.total.Old)
}

// RequestsNeeded is about how many fault-free requests of the new pool FineEvidence needs
// to reach a level from its current value.
func (t *SequentialTest) RequestsNeeded(level float64) int {
	// Without faults the best alternative is that with a rate of nearly 0, which has one
	// part in len(alternatives) of the weight.
	missing := math.Log(level / max(t.FineEvidence(), immediateWeight/2/float64(len(alternatives))))
	if missing <= 0 {
		return 0
	}
	perRequest := -math.Log1p(-t.rateAt(excludedRatio) * (1 - 1/alternatives[len(alternatives)-1]))
	if t.guard.Bound == 0 { // half of the answers of both pools are slow
		p := excludedOddsRatio / (1 + excludedOddsRatio)
		perRequest = -math.Log(4*p*(1-p)) / 2
	}
	return int(math.Ceil(missing / perRequest))
}

// TimeNeeded is RequestsNeeded as a duration, at a rate of requests of the new pool per
// second; it is unbounded at a rate of 0 or less.
func (t *SequentialTest) TimeNeeded(level, rate float64) time.Duration {
	n := float64(t.RequestsNeeded(level))
	if n == 0 {
		return 0
	}
	if s := n / rate; rate > 0 && s < math.MaxInt64/1e9 {
		return time.Duration(s * float64(time.Second))
	}
	return math.MaxInt64
}
