package quota

import (
	"testing"
	"time"
)

var usual = Settings{Lease: 2 * time.Second, Period: 200 * time.Millisecond, Drift: 0.01}

// demands sets what gateways want, by number, as fractions; the last is of all others.
func (w *world) demands(of ...float64) {
	for i, n := range w.nodes {
		n.demand = Of(of[min(i, len(of)-1)])
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
				w := newWorld(seed, usual, 3, 2)
				w.demands(demand...)
				if err := w.run(6 * time.Second); err != nil {
					t.Fatal(err)
				}
				share, err := w.share(20 * time.Second)
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
		w := newWorld(seed, usual, 3, 2)
		w.demands(0, 1)
		if err := w.run(20 * time.Second); err != nil {
			t.Fatal(err)
		}
		owner := w.nodes[0]
		if lent := owner.holder.outstanding(owner.clock(w.now)); lent < owner.holder.part*9/10 {
			t.Fatalf("seed %d: lent %.3f of %.3f", seed, lent.Fraction(), owner.holder.part.Fraction())
		}
		owner.demand = Whole
		back := w.now
		for owner.limit.At(owner.clock(w.now)) < owner.holder.part*99/100 {
			if err := w.run(w.now + time.Millisecond); err != nil {
				t.Fatal(err)
			}
			if w.now-back > 10*time.Second {
				t.Fatalf("seed %d: %.3f of %.3f after %v", seed, owner.limit.At(owner.clock(w.now)).Fraction(), owner.holder.part.Fraction(), w.now-back)
			}
		}
		worst = max(worst, w.now-back)
	}
	t.Logf("at most after %v", worst)
	if worst > time.Second {
		t.Errorf("taken back only after %v", worst)
	}
}
