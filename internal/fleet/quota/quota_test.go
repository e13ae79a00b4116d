package quota_test

import (
	"testing"
	"time"

	"spokegw/internal/fleet/quota"
	"spokegw/internal/lab/gateways"
)

var testSettings = quota.Settings{Lease: 2 * time.Second, Period: 200 * time.Millisecond, Drift: 0.01}

// demands sets what gateways want, by index, as fractions; the last applies to all others.
func demands(w *gateways.World, of ...float64) {
	for i, n := range w.Nodes {
		n.Demand = quota.PartOf(of[min(i, len(of)-1)])
	}
}

// Without faults the whole quota must be used where there is demand, whoever owns the parts.
func TestQuotaIsUsed(t *testing.T) {
	for name, demand := range map[string][]float64{
		"all at one":          {2, 0},
		"nine in ten":         {0.9, 0.0125},
		"all want more":       {1},
		"two of six":          {0.7, 0.6, 0},
		"half of it":          {0.5, 0},
		"more than available": {0.4, 0.4, 0.4, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := gateways.New(seed, testSettings, 3, 2, gateways.Leases)
				demands(w, demand...)
				if err := w.Run(6 * time.Second); err != nil {
					t.Fatal(err)
				}
				share, err := w.Share(20 * time.Second)
				if err != nil {
					t.Fatal(err)
				}
				if share < 0.95 {
					t.Errorf("seed %d: %.3f of the usable quota was used", seed, share)
				}
			}
		})
	}
}

// An owner whose demand returns must get its part back within a second, and what it had not lent
// at once.
func TestOwnerRegainsPart(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(20) {
		w := gateways.New(seed, testSettings, 3, 2, gateways.Leases)
		demands(w, 0, 1)
		if err := w.Run(20 * time.Second); err != nil {
			t.Fatal(err)
		}
		owner := w.Nodes[0]
		part := w.Part(owner)
		if limit := w.Limit(owner); limit > part/10 {
			t.Fatalf("seed %d: the owner has %.3f of %.3f without demand", seed, limit.Fraction(), part.Fraction())
		}
		owner.Demand = quota.Whole
		since := w.Now
		for w.Limit(owner) < part*99/100 {
			if err := w.Run(w.Now + time.Millisecond); err != nil {
				t.Fatal(err)
			}
			if w.Now-since > 10*time.Second {
				t.Fatalf("seed %d: %.3f of %.3f after %v", seed, w.Limit(owner).Fraction(), part.Fraction(), w.Now-since)
			}
		}
		worst = max(worst, w.Now-since)
	}
	t.Logf("part regained after at most %v", worst)
	if worst > time.Second {
		t.Errorf("part regained only after %v", worst)
	}
}
