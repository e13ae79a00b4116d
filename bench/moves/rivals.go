package main

import (
	"math"

	"spokegw/internal/moves/judge"
)

// detector observes the two pools second by second and reports when it would roll back.
type detector interface {
	observe(second int, b judge.Block) (alarm bool)
	endStep() // called at the end of each step of the move
}

// sequential is the sequential test that a move runs for one fault type of one class, at
// the evidence level that applies when eight such tests run together.
type sequential struct{ test *judge.SequentialTest }

const evidenceLevel = 1600

func newSequential() detector {
	return &sequential{judge.NewSequentialTest(judge.Guard{Bound: 0.005, Margin: 1.5})}
}

func (o *sequential) observe(_ int, b judge.Block) bool {
	o.test.Add(b)
	if b.Old == 0 {
		return o.test.WorseThanBound() >= evidenceLevel
	}
	return o.test.WorseEvidence() >= evidenceLevel
}
func (o *sequential) endStep() {}

// threshold is a fixed bound on a 10 s window, as in many tools: it rolls back if the new
// pool fails more than 2% of at least ten requests.
type threshold struct {
	window [10]judge.Block
}

func newThreshold() detector { return &threshold{} }

func (t *threshold) observe(second int, b judge.Block) bool {
	t.window[second%len(t.window)] = b
	n, bad := 0, 0
	for _, s := range t.window {
		n, bad = n+s.New, bad+s.NewBad
	}
	return n >= 10 && float64(bad) > 0.02*float64(n)
}
func (t *threshold) endStep() { *t = threshold{} }

// zTest compares the two rates over a step by a one-sided z test at the 1% level. That
// level holds only if the test is evaluated once, at the end of the step.
type zTest struct {
	everySecond bool // evaluated each second, not only at the end of a step
	sum         judge.Block
}

func newZ() detector         { return &zTest{} }
func newRepeatedZ() detector { return &zTest{everySecond: true} }

func (z *zTest) observe(second int, b judge.Block) bool {
	z.sum.New, z.sum.NewBad = z.sum.New+b.New, z.sum.NewBad+b.NewBad
	z.sum.Old, z.sum.OldBad = z.sum.Old+b.Old, z.sum.OldBad+b.OldBad
	if !z.everySecond && (second+1)%stepSeconds != 0 {
		return false
	}
	s := &z.sum
	if s.New == 0 || s.Old == 0 || s.NewBad+s.OldBad == 0 {
		return false
	}
	p, q := float64(s.NewBad)/float64(s.New), float64(s.OldBad)/float64(s.Old)
	pooled := float64(s.NewBad+s.OldBad) / float64(s.New+s.Old)
	sd := math.Sqrt(pooled * (1 - pooled) * (1/float64(s.New) + 1/float64(s.Old)))
	return sd > 0 && (p-q)/sd > 2.326
}
func (z *zTest) endStep() { z.sum = judge.Block{} }
