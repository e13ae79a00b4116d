package rank

import "testing"

func TestOrder(t *testing.T) {
	EnableChecks()
	low, high, other := &Mutex{Rank: 1, Name: "low"}, &Mutex{Rank: 2, Name: "high"}, &Mutex{Rank: 2, Name: "other"}
	violates := func(all ...*Mutex) (wrong bool) {
		defer func() { wrong = recover() != nil }()
		for _, m := range all {
			m.Lock()
			defer m.Unlock()
		}
		return false
	}
	for _, c := range []struct {
		name  string
		locks []*Mutex
		wrong bool
	}{
		{"rising", []*Mutex{low, high}, false},
		{"falling", []*Mutex{high, low}, true},
		{"two of one rank", []*Mutex{high, other}, true},
		{"one alone", []*Mutex{low}, false}, // no lock of the cases before is recorded any more
	} {
		if got := violates(c.locks...); got != c.wrong {
			t.Errorf("%s: violation found: %t", c.name, got)
		}
	}
}
