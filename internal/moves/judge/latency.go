package judge

import (
	"math"
	"time"
)

// LatencyComparison turns latencies into faults: an answer is faulty if it is slower than
// the median of the old pool, which is tracked over time. Latencies of the new pool are
// divided by the margin first: if its distribution is at most that many times slower, it
// has no more such faults than the old pool, whatever the distribution.
//
// This does not hold if the two pools get different work, so the classes of a move are
// judged one by one.
type LatencyComparison struct {
	margin    float64
	logMedian float64 // log of the tracked median, in seconds
	samples   int     // latencies seen of the old pool
	block     Block   // current block
	// median is the tracked median at the start of the block: one that the block itself
	// has shifted would be biased by it.
	median float64
}

const (
	// medianWindow is the number of answers that the median reflects.
	medianWindow = 200.0
	// minSamples is the number of answers that the median needs before latencies are
	// judged.
	minSamples = 20
)

// NewLatencyComparison allows the new pool margin times the latency of the old one, at
// least 1.
func NewLatencyComparison(margin float64) *LatencyComparison {
	return &LatencyComparison{margin: max(margin, 1)}
}

// AddOld adds a latency of the old pool.
func (p *LatencyComparison) AddOld(took time.Duration) {
	s := max(took.Seconds(), 1e-6)
	if p.block.Old < MaxBlock {
		p.block.Old++
		if p.median > 0 && s > p.median {
			p.block.OldBad++
		}
	}
	p.samples++
	l := math.Log(s)
	if p.samples == 1 {
		p.logMedian = l
		return
	}
	step := 1 / min(float64(p.samples), medianWindow) // a sign-based update tracks the median
	if l > p.logMedian {
		p.logMedian += step
	} else {
		p.logMedian -= step
	}
}

// AddNew adds a latency of the new pool.
func (p *LatencyComparison) AddNew(took time.Duration) {
	if p.block.New < MaxBlock {
		p.block.New++
		if p.median > 0 && took.Seconds()/p.margin > p.median {
			p.block.NewBad++
		}
	}
}

// TakeBlock ends the block and returns it; it is empty until the median is known.
func (p *LatencyComparison) TakeBlock() (b Block) {
	if p.median > 0 {
		b = p.block
	}
	p.block = Block{}
	if p.samples >= minSamples {
		p.median = math.Exp(p.logMedian)
	}
	return b
}

// Median is the median latency of the old pool; 0 until it is known.
func (p *LatencyComparison) Median() time.Duration {
	return time.Duration(p.median * float64(time.Second))
}
