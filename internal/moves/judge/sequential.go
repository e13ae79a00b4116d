package judge

import (
	"math"
	"time"
)

// Guard is what is allowed of one kind of fault.
type Guard struct {
	// Bound is the part of the requests up to which a fault blames nobody, in (0, 1);
	// 0: there is none, and the pools are only compared.
	Bound float64
	// Margin is how many times the odds of the pool that is left are allowed, at
	// least 1.
	Margin float64
}

// How much worse than allowed a fault has to be to be looked for: these times the
// bound, or the margin. What is between is found too, later. Faults that are only
// compared, such as slow answers, are as frequent as not: their odds differ less.
var (
	worse    = [...]float64{1.6, 3, 8, 30}
	worseOdd = [...]float64{1.25, 1.6, 2.5, 6}
)

const (
	// excluded is how many times what is allowed has to be ruled out before a pool
	// is taken to be fine; excludedOdd the same where pools are only compared.
	excluded    = 4
	excludedOdd = 1.8
	// mostRate keeps rates away from 1.
	mostRate = 0.95
)

// SequentialTest is the evidence of one kind of fault in one class, of a whole move. It is
// for one goroutine.
type SequentialTest struct {
	guard Guard

	over    evidence // that the new pool is over the bound
	oldOver evidence // that the one that is left is
	ratio   evidence // that the new one is over the margin beside the other
	fine    evidence // that the new one is not far over the bound
	alike   evidence // that the two are not far apart

	law   conditional
	total Block // of all blocks
}

// NewSequentialTest begins with nothing seen.
func NewSequentialTest(g Guard) *SequentialTest {
	if g.Bound != 0 {
		g.Bound = min(max(g.Bound, 1e-6), mostRate/2)
	}
	g.Margin = max(g.Margin, 1)
	n := len(worse)
	return &SequentialTest{guard: g, over: newEvidence(n), oldOver: newEvidence(n), ratio: newEvidence(n), fine: newEvidence(n), alike: newEvidence(1)}
}

// at is a rate that is so many times the bound.
func (t *SequentialTest) at(times float64) float64 { return min(t.guard.Bound*times, mostRate) }

// Add takes a block in, and reports whether it did: one that can't be is left out.
func (t *SequentialTest) Add(b Block) bool {
	if !b.sound() {
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
	t.over.add(func(i int) float64 { return math.Exp(bernoulli(b.New, b.NewBad, t.at(worse[i]), bound)) })
	t.oldOver.add(func(i int) float64 { return math.Exp(bernoulli(b.Old, b.OldBad, t.at(worse[i]), bound)) })
	t.fine.add(func(i int) float64 {
		return math.Exp(bernoulli(b.New, b.NewBad, t.at(excluded)/worse[i], t.at(excluded)))
	})
}

func (t *SequentialTest) addConditional(b *Block) {
	t.law.of(b)
	if t.law.certain() {
		one := func(int) float64 { return 1 }
		t.ratio.add(one)
		t.alike.add(one)
		return
	}
	odds, apart := &worse, float64(excluded)
	if t.guard.Bound == 0 {
		odds, apart = &worseOdd, excludedOdd
	}
	margin := math.Log(t.guard.Margin)
	allowed := t.law.logChance(b.NewBad, margin)
	t.ratio.add(func(i int) float64 {
		return math.Exp(t.law.logChance(b.NewBad, margin+math.Log(odds[i])) - allowed)
	})
	far := t.law.logChance(b.NewBad, margin+math.Log(apart))
	t.alike.add(func(int) float64 { return math.Exp(t.law.logChance(b.NewBad, 0) - far) })
}

// WorseEvidence is the evidence against: the new pool is within the bound, or within the
// margin of the other. Either may be so, so it is the lesser of the two.
func (t *SequentialTest) WorseEvidence() float64 {
	if t.guard.Bound == 0 {
		return t.ratio.value()
	}
	return min(t.over.value(), t.ratio.value())
}

// WorseThanBound is WorseEvidence where no pool is left to compare with: the bound only. It is 0
// where the other pool was over the bound itself while it was there, and so may
// be what the two have in common.
func (t *SequentialTest) WorseThanBound() float64 {
	if t.oldOver.value() > 1 {
		return 0
	}
	return t.over.value()
}

// CommonEvidence is the evidence that both pools are over the bound.
func (t *SequentialTest) CommonEvidence() float64 { return min(t.over.value(), t.oldOver.value()) }

// FineEvidence is the evidence against: the new pool is at 4 times the bound or more, and
// at 4 times the margin beside the other (1.8 times where there is no bound).
func (t *SequentialTest) FineEvidence() float64 {
	if t.guard.Bound == 0 {
		return t.alike.value()
	}
	return (t.fine.value() + t.alike.value()) / 2
}

// Total is all that was seen.
func (t *SequentialTest) Total() Block { return t.total }

// Rates are the parts that were bad, in the new pool and in the other.
func (t *SequentialTest) Rates() (new, old float64) {
	part := func(bad, n int) float64 {
		if n == 0 {
			return 0
		}
		return float64(bad) / float64(n)
	}
	return part(t.total.NewBad, t.total.New), part(t.total.OldBad, t.total.Old)
}

// RequestsNeeded is about how many requests of the new pool, without one that is bad,
// FineEvidence takes to reach a level from where it is.
func (t *SequentialTest) RequestsNeeded(level float64) int {
	// The best of the alternatives is all but 0, and weighs one in so many.
	missing := math.Log(level / max(t.FineEvidence(), startNow/2/float64(len(worse))))
	if missing <= 0 {
		return 0
	}
	per := -math.Log1p(-t.at(excluded) * (1 - 1/worse[len(worse)-1]))
	if t.guard.Bound == 0 { // half of the answers of either are slow
		p := excludedOdd / (1 + excludedOdd)
		per = -math.Log(4*p*(1-p)) / 2
	}
	return int(math.Ceil(missing / per))
}

// TimeNeeded is that in time, at so many requests of the new pool a second; 0 or
// less has no end.
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
