package judge

import (
	"math"
	"time"
)

// LatencyComparison makes faults of answers that are slow: those that take longer than half of
// the pool that is left do, which is followed as it changes. The new pool's times
// count divided by the margin: if it takes at most that many times as long, in
// law, it has no more of them than the other, whatever the law is.
//
// It is wrong where the two pools are given different work: the classes of a move
// are judged one by one for that.
type LatencyComparison struct {
	margin float64
	log    float64 // of the followed median, in seconds
	known  int     // answers that it goes by
	now    Block   // what there is of the block
	// The block is counted by the median as it was when the block began: one that
	// the block itself had moved would tell of itself.
	median float64
}

const (
	// paceMemory is how many answers the median looks back over.
	paceMemory = 200.0
	// paceKnown is how many it needs before anything is judged by it.
	paceKnown = 20
)

// NewLatencyComparison allows the new pool so many times the other's times, at least 1.
func NewLatencyComparison(margin float64) *LatencyComparison {
	return &LatencyComparison{margin: max(margin, 1)}
}

// AddOld takes in an answer time of the pool that is left.
func (p *LatencyComparison) AddOld(took time.Duration) {
	s := max(took.Seconds(), 1e-6)
	if p.now.Old < MaxBlock {
		p.now.Old++
		if p.median > 0 && s > p.median {
			p.now.OldBad++
		}
	}
	p.known++
	l := math.Log(s)
	if p.known == 1 {
		p.log = l
		return
	}
	step := 1 / min(float64(p.known), paceMemory) // a median is followed by signs
	if l > p.log {
		p.log += step
	} else {
		p.log -= step
	}
}

// AddNew takes in one of the new pool.
func (p *LatencyComparison) AddNew(took time.Duration) {
	if p.now.New < MaxBlock {
		p.now.New++
		if p.median > 0 && took.Seconds()/p.margin > p.median {
			p.now.NewBad++
		}
	}
}

// TakeBlock ends the block and returns it; an empty one while too little is known.
func (p *LatencyComparison) TakeBlock() (b Block) {
	if p.median > 0 {
		b = p.now
	}
	p.now = Block{}
	if p.known >= paceKnown {
		p.median = math.Exp(p.log)
	}
	return b
}

// Median is the time that half of the answers of the pool that is left take; 0
// while too little is known.
func (p *LatencyComparison) Median() time.Duration {
	return time.Duration(p.median * float64(time.Second))
}
