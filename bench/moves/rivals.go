package main

import (
	"math"

	"spokegw/internal/moves/judge"
)

// watcher looks at the two pools second by second, and says when it would undo.
type watcher interface {
	see(second int, b judge.Block) (alarm bool)
	step() // a step has ended, and the next begins
}

// ours are the tracks of a move as it runs them: one kind of fault of one class,
// at the level of eight of them.
type ours struct{ track *judge.SequentialTest }

const level = 1600

func newOurs() watcher {
	return &ours{judge.NewSequentialTest(judge.Guard{Bound: 0.005, Margin: 1.5})}
}

func (o *ours) see(_ int, b judge.Block) bool {
	o.track.Add(b)
	if b.Old == 0 {
		return o.track.WorseThanBound() >= level
	}
	return o.track.WorseEvidence() >= level
}
func (o *ours) step() {}

// threshold is a fixed bound on a window of 10 s, as many tools have it: the new
// pool fails over 2%, of ten requests at least.
type threshold struct {
	seen [10]judge.Block
}

func newThreshold() watcher { return &threshold{} }

func (t *threshold) see(second int, b judge.Block) bool {
	t.seen[second%len(t.seen)] = b
	n, bad := 0, 0
	for _, s := range t.seen {
		n, bad = n+s.New, bad+s.NewBad
	}
	return n >= 10 && float64(bad) > 0.02*float64(n)
}
func (t *threshold) step() { *t = threshold{} }

// zTest compares the two rates with the normal law at 1%, over a step. It is right
// where it looks once, at the end of the step.
type zTest struct {
	peeks bool // it looks every second
	sum   judge.Block
}

func newZ() watcher       { return &zTest{} }
func newPeekedZ() watcher { return &zTest{peeks: true} }

func (z *zTest) see(second int, b judge.Block) bool {
	z.sum.New, z.sum.NewBad = z.sum.New+b.New, z.sum.NewBad+b.NewBad
	z.sum.Old, z.sum.OldBad = z.sum.Old+b.Old, z.sum.OldBad+b.OldBad
	if !z.peeks && (second+1)%stepSeconds != 0 {
		return false
	}
	s := &z.sum
	if s.New == 0 || s.Old == 0 || s.NewBad+s.OldBad == 0 {
		return false
	}
	p, q := float64(s.NewBad)/float64(s.New), float64(s.OldBad)/float64(s.Old)
	both := float64(s.NewBad+s.OldBad) / float64(s.New+s.Old)
	sd := math.Sqrt(both * (1 - both) * (1/float64(s.New) + 1/float64(s.Old)))
	return sd > 0 && (p-q)/sd > 2.326
}
func (z *zTest) step() { z.sum = judge.Block{} }
