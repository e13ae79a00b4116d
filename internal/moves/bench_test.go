package moves

import (
	"testing"
	"time"

	"spokegw/internal/moves/judge"
)

func testConfig() Config {
	g := Guards{Failed: {Bound: 0.005, Margin: 1.5}, Late: {Bound: 0.02, Margin: 1.5}, Declined: {Bound: 0.02, Margin: 1.5}, Slow: {Margin: 1.15}}
	return Config{Name: "new", Plan: Plan{Steps: []float64{1}}, Guards: []Guards{g, g}}
}

func BenchmarkSplit(b *testing.B) {
	m := New(0, testConfig())
	m.progress.Share = 0.25
	pools := Pools{To: 1}
	hash := uint64(1)
	b.ReportAllocs()
	for range b.N {
		var mask Mask
		if m.RoutesToNew(hash) {
			mask |= 1
		}
		hash = hash*6364136223846793005 + uint64(boolToInt(mask.Allows(pools))) // depends on the previous iteration
	}
	if hash == 0 {
		b.Log(hash)
	}
}

func BenchmarkObserve(b *testing.B) {
	m := New(0, testConfig())
	m.progress.Phase = Moving
	b.ReportAllocs()
	for i := range b.N {
		m.Observe(&AttemptResult{Class: i % 2, New: i%20 == 0, Endpoint: uint32(i % 5), Took: time.Duration(i%1000) * time.Microsecond})
	}
}

// Measures a block of typical size.
func BenchmarkBlock(b *testing.B) {
	tr := judge.NewSequentialTest(judge.Guard{Bound: 0.005, Margin: 1.5})
	b.ReportAllocs()
	for range b.N {
		tr.Add(judge.Block{New: 50, NewBad: 1, Old: 1000, OldBad: 4})
	}
}
