package budget

import (
	"testing"

	"pgregory.net/rapid"
)

// A part alone has all; once there are others a hung one holds its reserve and
// what is lent, and the others have theirs.
func TestReserves(t *testing.T) {
	b := New(100)
	hung := b.Join(1, nil)
	if !hung.TryAcquire(100) || hung.TryAcquire(1) {
		t.Fatal("a part alone does not have all, or more")
	}
	hung.Release(100)
	well := b.Join(1, nil)
	n := 0
	for hung.TryAcquire(1) {
		n++
	}
	if n != 75 {
		t.Errorf("the hung part holds %d, want its reserve of 25 and the 50 that are lent", n)
	}
	for range 25 {
		if !well.TryAcquire(1) {
			t.Fatal("the well part does not get its reserve")
		}
	}
	if well.TryAcquire(1) {
		t.Error("more than all is in use")
	}
	freed := well.Freed()
	hung.Release(1)
	<-freed
	if !well.TryAcquire(1) {
		t.Error("what was given back is not to be had")
	}
}

// What is idle above a reserve comes back to one who needs it.
func TestReclaim(t *testing.T) {
	b := New(8)
	var idle *Partition
	idle = b.Join(1, func() bool { idle.Release(1); return true })
	other := b.Join(1, func() bool { t.Error("a part is asked to give up its own"); return false })
	for idle.TryAcquire(1) {
	}
	for other.TryAcquire(1) {
	}
	if !other.Reclaim() || !other.TryAcquire(1) {
		t.Error("nothing is given back")
	}
	for idle.Used() > idle.Reserve() {
		idle.Release(1)
	}
	if other.Reclaim() {
		t.Error("a part gives back of its reserve")
	}
}

// The count of what is claimed against adding it up, through parts that come
// and go; no more is used than there is, and nobody is refused within his reserve
// while there is.
func TestAgainstSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(int64(rapid.IntRange(1, 60).Draw(t, "total")))
		var parts []*Partition
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) { parts = append(parts, b.Join(rapid.Float64Range(0.1, 4).Draw(t, "weight"), nil)) },
			"leave": func(t *rapid.T) {
				if len(parts) > 0 {
					rapid.SampledFrom(parts).Draw(t, "part").Leave()
				}
			},
			"acquire": func(t *rapid.T) {
				if len(parts) == 0 {
					return
				}
				p, n := rapid.SampledFrom(parts).Draw(t, "part"), int64(rapid.IntRange(0, 9).Draw(t, "n"))
				sum := n
				for _, q := range parts {
					sum += q.used
				}
				within := p.used+n <= p.reserve
				if got := p.TryAcquire(n); got && sum > b.total || !got && within && sum <= b.total {
					t.Fatalf("%d of %d in use, %d asked for within a reserve (%v): %v", sum-n, b.total, n, within, got)
				}
			},
			"release": func(t *rapid.T) {
				if len(parts) > 0 {
					p := rapid.SampledFrom(parts).Draw(t, "part")
					p.Release(int64(rapid.IntRange(0, int(p.used)).Draw(t, "n")))
				}
			},
			"": func(t *rapid.T) {
				var claimed int64
				for _, p := range parts {
					claimed += max(p.used, p.reserve)
				}
				if claimed != b.claimed {
					t.Fatalf("%d are counted, %d are claimed", b.claimed, claimed)
				}
			},
		})
	})
}
