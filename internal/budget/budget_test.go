package budget

import (
	"testing"

	"pgregory.net/rapid"
)

// A single partition has the whole budget. Among several, a hung one keeps its reserve and what it
// borrowed, and the others have their reserves.
func TestReserves(t *testing.T) {
	b := New(100)
	hung := b.Join(1, nil)
	if !hung.TryAcquire(100) || hung.TryAcquire(1) {
		t.Fatal("a single partition does not have exactly the whole budget")
	}
	hung.Release(100)
	healthy := b.Join(1, nil)
	n := 0
	for hung.TryAcquire(1) {
		n++
	}
	if n != 75 {
		t.Errorf("the hung partition uses %d, want its reserve of 25 and the 50 that are lent", n)
	}
	for range 25 {
		if !healthy.TryAcquire(1) {
			t.Fatal("the healthy partition does not get its reserve")
		}
	}
	if healthy.TryAcquire(1) {
		t.Error("more than the total is in use")
	}
	freed := healthy.Freed()
	hung.Release(1)
	<-freed
	if !healthy.TryAcquire(1) {
		t.Error("a released unit can't be acquired")
	}
}

// Idle units above a reserve are reclaimed for a partition that needs them.
func TestReclaim(t *testing.T) {
	b := New(8)
	var idle *Partition
	idle = b.Join(1, func() bool { idle.Release(1); return true })
	other := b.Join(1, func() bool { t.Error("a partition is asked to release units of its reserve"); return false })
	for idle.TryAcquire(1) {
	}
	for other.TryAcquire(1) {
	}
	if !other.Reclaim() || !other.TryAcquire(1) {
		t.Error("nothing is reclaimed")
	}
	for idle.Used() > idle.Reserve() {
		idle.Release(1)
	}
	if other.Reclaim() {
		t.Error("a partition releases units of its reserve")
	}
}

// Compares the count of committed units with their sum while partitions join and leave. The total
// is never exceeded, and no partition is refused units of its reserve that are free.
func TestCommittedAgainstSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(int64(rapid.IntRange(1, 60).Draw(t, "total")))
		var partitions []*Partition
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				partitions = append(partitions, b.Join(rapid.Float64Range(0.1, 4).Draw(t, "weight"), nil))
			},
			"leave": func(t *rapid.T) {
				if len(partitions) > 0 {
					rapid.SampledFrom(partitions).Draw(t, "part").Leave()
				}
			},
			"acquire": func(t *rapid.T) {
				if len(partitions) == 0 {
					return
				}
				p, n := rapid.SampledFrom(partitions).Draw(t, "part"), int64(rapid.IntRange(0, 9).Draw(t, "n"))
				sum := n
				for _, q := range partitions {
					sum += q.used
				}
				within := p.used+n <= p.reserve
				if got := p.TryAcquire(n); got && sum > b.total || !got && within && sum <= b.total {
					t.Fatalf("%d of %d in use, %d requested within the reserve (%v): acquired %v", sum-n, b.total, n, within, got)
				}
			},
			"release": func(t *rapid.T) {
				if len(partitions) > 0 {
					p := rapid.SampledFrom(partitions).Draw(t, "part")
					p.Release(int64(rapid.IntRange(0, int(p.used)).Draw(t, "n")))
				}
			},
			"": func(t *rapid.T) {
				var committed int64
				for _, p := range partitions {
					committed += max(p.used, p.reserve)
				}
				if committed != b.committed {
					t.Fatalf("%d units are counted as committed, want %d", b.committed, committed)
				}
			},
		})
	})
}
