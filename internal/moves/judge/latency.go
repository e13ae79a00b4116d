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
func (c *LatencyComparison) AddOld(took time.Duration) {
	s := max(took.Seconds(), 1e-6)
	if c.block.Old < MaxBlock {
		c.block.Old++
		if c.median > 0 && s > c.median {
			c.block.OldBad++
		}
	}
	c.samples++
	l := math.Log(s)
	if c.samples == 1 {
		c.logMedian = l
		return
	}
	step := 1 / min(float64(c.samples), medianWindow) // a sign-based update tracks the median
	if l > c.logMedian {
		c.logMedian += step
	} else {
		c.logMedian -= step
	}
}

// AddNew adds a latency of the new pool.
func (c *LatencyComparison) AddNew(took time.Duration) {
	if c.block.New < MaxBlock {
		c.block.New++
		if c.median > 0 && took.Seconds()/c.margin > c.median {
			c.block.NewBad++
		}
	}
}

// TakeBlock ends the block and returns it; it is empty until the median is known.
func (c *LatencyComparison) TakeBlock() (b Block) {
	if c.median > 0 {
		b = c.block
	}
	c.block = Block{}
	if c.samples >= minSamples {
		c.median = math.Exp(c.logMedian)
	}
	return b
}

// Median is the median latency of the old pool; 0 until it is known.
func (c *LatencyComparison) Median() time.Duration {
	return time.Duration(c.median * float64(time.Second))
}
