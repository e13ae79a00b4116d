// Package learnt transfers the learnt state of a decision module instance to one with other
// settings, or to the instance of another process. It is pure.
package learnt

import (
	"math"
	"time"

	"spokegw/policy"
)

// Row is one row of the learnt state: of the load, a kind, the fit of a kind and a class, a class,
// or an endpoint.
type Row struct {
	What      string
	Of, Class int
	X         []float64
}

// Record is the complete learnt state of an instance.
type Record []Row

// Snapshot returns the learnt state of an instance.
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

// bounds are the limits of a valid number.
type bounds struct{ low, high float64 }

// ranges hold the bounds of the numbers that are transferred, by row type; numbers without a range
// are not transferred. The bounds guard against a record from a faulty process.
var ranges = map[string][]bounds{
	// gap between arrivals in s with its weight, pressure, level, retries, worth with its weight,
	// fraction served with its weight
	"load":     {{0, 1e6}, {0, 1e3}, {0, 1}, {0.05, 1}, {-1e3, 1e3}, {0, 1e12}, {0, 1e3}, {0, 1}, {0, 1e3}},
	"kind":     {{-10, 10}, {0, 1e3}},                     // log of slowness, its weight
	"fit":      {{-10, 10}, {0, 1e3}},                     // the same for a class
	"class":    {{0, 1e6}, {0, 1e3}, {0, 1e12}, {0, 1e3}}, // time, samples, work with its weight
	"endpoint": {{0, 1}, {0, 1}},                          // health, credit
}

// valid reports whether the row type is known and all numbers are in range.
func (r *Row) valid() bool {
	spans := ranges[r.What]
	if len(spans) == 0 || len(r.X) != len(spans) {
		return false
	}
	for i, b := range spans {
		if !(r.X[i] >= b.low && r.X[i] <= b.high) {
			return false
		}
	}
	return true
}

// rowKey identifies a row.
type rowKey struct {
	what      string
	of, class int
}

// Apply sets the learnt state of an instance. predecessors maps each class of the instance to a
// class of the record; -1, or no entry, means that nothing is known of the class. Invalid rows,
// and those of endpoints that are not in the instance's list, are ignored.
func (r Record) Apply(now time.Duration, b *policy.Balancer, predecessors []int) {
	rows := make(map[rowKey][]float64, len(r))
	for i := range r {
		if r[i].valid() {
			rows[rowKey{r[i].What, r[i].Of, r[i].Class}] = r[i].X
		}
	}
	b.VisitLearned(now, func(what string, of, class int, x ...*float64) {
		perClass := what == "class" || what == "fit"
		if perClass {
			predecessor := -1
			if class < len(predecessors) {
				predecessor = predecessors[class]
			}
			for i := range x {
				*x[i] = 0 // the slot may have held another class
			}
			class = predecessor
		}
		for i, v := range rows[rowKey{what, of, class}] {
			*x[i] = v
		}
	})
}

// EndpointStatus is the assessment of an endpoint by an instance.
type EndpointStatus struct {
	Health          float64 // 1: no recent failures
	Credit          float64 // fraction of an attempt due to it while cold
	InFlight        float64
	Warmth          float64 // minimum fraction of its capacity expected to be available by now
	Speed           float64 // of its kind, relative to all
	SelectionWeight float64 // in a draw, relative to the other endpoints
}

// Avoided reports whether an endpoint currently gets next to no requests: it failed more than once
// and has not answered since.
func (s EndpointStatus) Avoided() bool { return s.Health < 0.05 }

// EndpointStatuses returns the status of all endpoints that the instance knows.
func EndpointStatuses(now time.Duration, b *policy.Balancer) map[policy.EndpointID]EndpointStatus {
	all := map[policy.EndpointID]EndpointStatus{}
	b.VisitLearned(now, func(what string, of, _ int, x ...*float64) {
		if what == "endpoint" {
			all[policy.EndpointID(of)] = EndpointStatus{*x[0], *x[1], *x[2], *x[3], *x[4], *x[5]}
		}
	})
	return all
}

// speedPriorSamples is the number of prior samples by which the module shrinks the speed of a
// kind.
const speedPriorSamples = 6

// ApplyMeasuredSizes replaces the sizes of endpoints by those measured by the fleet. size returns
// the measured size of an endpoint's kind, or false if the listed size applies. The measured size
// includes the speed of the kind, so the speed learnt by the instance is divided out; speed learnt
// afterwards counts until the next call. Call it after each list, and periodically. A nominal size
// that is not positive counts as 1.
func ApplyMeasuredSizes(now time.Duration, b *policy.Balancer, listed func(policy.EndpointID) (kind int, nominal float64), size func(policy.EndpointID) (float64, bool)) {
	speeds := map[int]float64{}
	b.VisitLearned(now, func(what string, of, _ int, x ...*float64) {
		switch what {
		case "kind":
			speeds[of] = math.Exp(-*x[0] * *x[1] / (*x[1] + speedPriorSamples))
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
