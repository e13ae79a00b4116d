package quota_test

import (
	"testing"
	"time"

	"spokegw/internal/fleet/quota"
	"spokegw/internal/lab/gateways"
)

var usual = quota.Settings{Lease: 2 * time.Second, Period: 200 * time.Millisecond, Drift: 0.01}

// demands sets what gateways want, by number, as fractions; the last is of all others.
func demands(w *gateways.World, of ...float64) {
	for i, n := range w.Nodes {
		n.Demand = quota.PartOf(of[min(i, len(of)-1)])
	}
}

// Connected, all of a quota is used where there is demand for it, wherever it comes from.
func TestQuotaIsUsed(t *testing.T) {
	for name, demand := range map[string][]float64{
		"all at one":      {2, 0},
		"nine in ten":     {0.9, 0.0125},
		"all want more":   {1},
		"two of six":      {0.7, 0.6, 0},
		"half of it":      {0.5, 0},
		"more than there": {0.4, 0.4, 0.4, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := gateways.New(seed, usual, 3, 2, gateways.Leases)
				demands(w, demand...)
				if err := w.Run(6 * time.Second); err != nil {
					t.Fatal(err)
				}
				share, err := w.Share(20 * time.Second)
				if err != nil {
					t.Fatal(err)
				}
				if share < 0.95 {
					t.Errorf("seed %d: %.3f of what could be used was", seed, share)
				}
			}
		})
	}
}

// An owner that comes back has its part again within a second, and at once what it had
// not ceded.
func TestTakenBack(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(20) {
		w := gateways.New(seed, usual, 3, 2, gateways.Leases)
		demands(w, 0, 1)
		if err := w.Run(20 * time.Second); err != nil {
			t.Fatal(err)
		}
		owner := w.Nodes[0]
		part := w.Part(owner)
		if has := w.Limit(owner); has > part/10 {
			t.Fatalf("seed %d: has %.3f of %.3f, with no demand", seed, has.Fraction(), part.Fraction())
		}
		owner.Demand = quota.Whole
		back := w.Now
		for w.Limit(owner) < part*99/100 {
			if err := w.Run(w.Now + time.Millisecond); err != nil {
				t.Fatal(err)
			}
			if w.Now-back > 10*time.Second {
				t.Fatalf("seed %d: %.3f of %.3f after %v", seed, w.Limit(owner).Fraction(), part.Fraction(), w.Now-back)
			}
		}
		worst = max(worst, w.Now-back)
	}
	t.Logf("at most after %v", worst)
	if worst > time.Second {
		t.Errorf("taken back only after %v", worst)
	}
}
