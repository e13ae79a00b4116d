// Package learnt carries what an instance of the decision module knows over into
// other settings, and into the instance of another process. It is pure.
package learnt

import (
	"math"
	"time"

	"spokegw/policy"
)

// Row is one row of what an instance knows: of the load, of a kind, of how a kind
// fits a class, of a class, or of an endpoint.
type Row struct {
	What      string
	Of, Class int
	X         []float64
}

// Record is all that an instance knows.
type Record []Row

// Snapshot reads what an instance knows.
func Snapshot(now time.Duration, b *policy.Balancer) (r Record) {
	b.VisitLearned(now, func(what string, of, class int, x ...*float64) {
		row := Row{What: what, Of: of, Class: class}
		for i := range x[:min(len(x), len(ranges[what]))] {
			row.X = append(row.X, *x[i])
		}
		r = append(r, row)
	})
	return r
}

// span is what a number may be.
type span struct{ least, most float64 }

// ranges are those of the numbers that are carried over, by row; what there is no
// range for is not. A record may come from a process that is not well.
var ranges = map[string][]span{
	// gap between arrivals in s with its weight, pressure, level, retries, worth with
	// its weight, part served with its weight
	"load":     {{0, 1e6}, {0, 1e3}, {0, 1}, {0.05, 1}, {-1e3, 1e3}, {0, 1e12}, {0, 1e3}, {0, 1}, {0, 1e3}},
	"kind":     {{-10, 10}, {0, 1e3}},                     // log of slowness, its weight
	"fit":      {{-10, 10}, {0, 1e3}},                     // the same for a class
	"class":    {{0, 1e6}, {0, 1e3}, {0, 1e12}, {0, 1e3}}, // time, samples, work with its weight
	"endpoint": {{0, 1}, {0, 1}},                          // health, credit
}

// meant reports whether a row can be meant.
func (r *Row) meant() bool {
	spans := ranges[r.What]
	if len(spans) == 0 || len(r.X) != len(spans) {
		return false
	}
	for i, s := range spans {
		if !(r.X[i] >= s.least && r.X[i] <= s.most) {
			return false
		}
	}
	return true
}

// place is where a row belongs.
type place struct {
	what      string
	of, class int
}

// Apply has an instance know what the record tells. heirs tells by class of the
// instance which class of the record it is: -1, and what lies beyond, is one that
// nobody knows. Rows that can't be meant, and those of endpoints that are not in
// the instance's list, are left out.
func (r Record) Apply(now time.Duration, b *policy.Balancer, heirs []int) {
	rows := make(map[place][]float64, len(r))
	for i := range r {
		if r[i].meant() {
			rows[place{r[i].What, r[i].Of, r[i].Class}] = r[i].X
		}
	}
	b.VisitLearned(now, func(what string, of, class int, x ...*float64) {
		ofClass := what == "class" || what == "fit"
		if ofClass {
			heir := -1
			if class < len(heirs) {
				heir = heirs[class]
			}
			for i := range x {
				*x[i] = 0 // the place may have been another class's
			}
			class = heir
		}
		for i, v := range rows[place{what, of, class}] {
			*x[i] = v
		}
	})
}

// EndpointStatus is what an instance makes of an endpoint.
type EndpointStatus struct {
	Health          float64 // 1: nothing against it
	Credit          float64 // part of an attempt that it is due while cold
	InFlight        float64
	Warmth          float64 // share of its capacity that it is sure to have by now
	Speed           float64 // of its kind, over that of all
	SelectionWeight float64 // of one draw, beside those of the others
}

// Avoided reports whether an endpoint gets next to nothing for now, by what it
// has answered: it failed more than once and has not answered since.
func (s EndpointStatus) Avoided() bool { return s.Health < 0.05 }

// EndpointStatuses are those of all endpoints that the instance knows.
func EndpointStatuses(now time.Duration, b *policy.Balancer) map[policy.EndpointID]EndpointStatus {
	all := map[policy.EndpointID]EndpointStatus{}
	b.VisitLearned(now, func(what string, of, _ int, x ...*float64) {
		if what == "endpoint" {
			all[policy.EndpointID(of)] = EndpointStatus{*x[0], *x[1], *x[2], *x[3], *x[4], *x[5]}
		}
	})
	return all
}

// speedShrinks is the number of samples that the module's own speed of a kind is shrunk by.
const speedShrinks = 6

// ApplyMeasuredSizes has an instance take endpoints' sizes from what a fleet has measured: size tells one
// by its kind, and false where the list's own size is to stand. What is measured holds the
// speed of the kind as well, so what the instance has learnt of that itself is taken out of
// it: it counts for what is learnt from now on, until the next call. It is to be called after
// each list, and now and then. A nominal size that is not told is 1.
func ApplyMeasuredSizes(now time.Duration, b *policy.Balancer, listed func(policy.EndpointID) (kind int, nominal float64), size func(policy.EndpointID) (float64, bool)) {
	speeds := map[int]float64{}
	b.VisitLearned(now, func(what string, of, _ int, x ...*float64) {
		switch what {
		case "kind":
			speeds[of] = math.Exp(-*x[0] * *x[1] / (*x[1] + speedShrinks))
		case "endpoint":
			kind, nominal := listed(policy.EndpointID(of))
			if measured, ok := size(policy.EndpointID(of)); ok && speeds[kind] > 0 {
				nominal = measured / speeds[kind]
			}
			if !(nominal > 0) {
				nominal = 1
			}
			if !math.IsInf(nominal, 0) {
				*x[6] = nominal
			}
		}
	})
}
