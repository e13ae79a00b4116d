package learnt

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
	"time"

	"spokegw/policy"
)

const second = time.Second

func settings() policy.Settings {
	return policy.Settings{
		FleetSize: 1, MaxAttempts: 3, Cancel: true, DiscoveryOnRequest: true, PollWithin: 10 * second,
		Classes: []policy.Class{
			{Aim: 400 * time.Millisecond, Deadline: second, Worth: 1, LateWorth: 0.5},
			{Aim: 100 * time.Millisecond, Deadline: 300 * time.Millisecond, Worth: 3, LateWorth: 0.3, Effect: policy.Keyed, DedupWindow: 600 * time.Millisecond},
		},
	}
}

func instance(t *testing.T, seed uint64) *policy.Balancer {
	t.Helper()
	b, err := policy.New(settings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

var list = []policy.Endpoint{{ID: 1, Kind: 0}, {ID: 2, Kind: 1}}

// trainedInstance returns an instance that has served requests of both classes, of which those at
// endpoint 2 failed.
func trainedInstance(t *testing.T) (b *policy.Balancer, now time.Duration) {
	b = instance(t, 1)
	b.Endpoints(0, list, true)
	for i := range 80 {
		now += 30 * time.Millisecond
		q := policy.Request{ID: policy.RequestID(i + 1), Class: i % 2, TimeLeft: second}
		for _, a := range b.Request(now, q) {
			if s, ok := a.(policy.Send); ok {
				result := policy.Served
				if s.Endpoint == 2 {
					result = policy.Errored
				}
				b.Outcome(now, policy.Outcome{Request: q.ID, Endpoint: s.Endpoint, Result: result, Complete: true, Elapsed: 20 * time.Millisecond})
			}
		}
	}
	return b, now
}

// rows returns the rows of one type.
func rows(r Record, what string) (of []Row) {
	for _, row := range r {
		if row.What == what {
			of = append(of, row)
		}
	}
	return of
}

// The learnt state of one instance can be applied to another, also after encoding as between
// processes.
func TestSnapshotApply(t *testing.T) {
	old, now := trainedInstance(t)
	text, err := json.Marshal(Snapshot(now, old))
	if err != nil {
		t.Fatal(err)
	}
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		t.Fatal(err)
	}
	next := instance(t, 2)
	next.Endpoints(now, list, true)
	r.Apply(now, next, []int{0, 1})
	if got, want := Snapshot(now, next), Snapshot(now, old); !reflect.DeepEqual(got, want) {
		t.Errorf("the applied state is\n%v\nwant\n%v", got, want)
	}
	if s := EndpointStatuses(now, next); s[2].Health > 0.9 || s[1].Health != 1 {
		t.Errorf("endpoint statuses %+v, want endpoint 2 unhealthy and endpoint 1 without failures", s)
	}
}

// Each class takes over the state of its predecessor; one without a predecessor starts without
// any, whatever its slot held before.
func TestPredecessors(t *testing.T) {
	old, now := trainedInstance(t)
	r := Snapshot(now, old)
	r.Apply(now, old, []int{1}) // class 1 has no predecessor
	got, before := rows(Snapshot(now, old), "class"), rows(r, "class")
	if !reflect.DeepEqual(got[0].X, before[1].X) || !reflect.DeepEqual(got[1].X, []float64{0, 0, 0, 0}) || before[1].X[0] == 0 {
		t.Errorf("class rows %v from %v", got, before)
	}
	for _, fit := range rows(Snapshot(now, old), "fit") {
		if fit.Class == 1 && (fit.X[0] != 0 || fit.X[1] != 0) {
			t.Errorf("a class without a predecessor has a fit: %v", fit)
		}
	}
}

// Invalid rows are ignored, and the others are applied.
func TestInvalidRows(t *testing.T) {
	old, now := trainedInstance(t)
	good := Snapshot(now, old)
	for name, corrupt := range map[string]func(*Row){
		"no number":  func(r *Row) { r.X[0] = math.NaN() },
		"infinite":   func(r *Row) { r.X[len(r.X)-1] = math.Inf(1) },
		"below":      func(r *Row) { r.X[len(r.X)-1] = -1 },
		"too short":  func(r *Row) { r.X = r.X[1:] },
		"too long":   func(r *Row) { r.X = append(r.X, 0) },
		"unknown":    func(r *Row) { r.What = "weather" },
		"elsewhere":  func(r *Row) { r.Of += 1 << 20 },
		"of a class": func(r *Row) { r.Class += 99 },
	} {
		for i := range good {
			r := append(Record(nil), good...)
			r[i].X = append([]float64(nil), good[i].X...)
			corrupt(&r[i])
			b := instance(t, 3)
			b.Endpoints(now, list, true)
			before := Snapshot(now, b)
			r.Apply(now, b, []int{0, 1})
			after := Snapshot(now, b)
			if !reflect.DeepEqual(after[i], before[i]) {
				t.Errorf("%s: invalid row %v was applied as %v", name, r[i], after[i])
			}
			if j := (i + 1) % len(good); !reflect.DeepEqual(after[j], good[j]) {
				t.Errorf("%s: valid row %v became %v", name, good[j], after[j])
			}
		}
	}
}

// A snapshot does not change the instance: its first event still schedules the first call to
// discovery.
func TestSnapshotHasNoSideEffects(t *testing.T) {
	b := instance(t, 1)
	Snapshot(second, b)
	scheduled := false
	for _, a := range b.Endpoints(second, list, true) {
		_, timer := a.(policy.SetTimer)
		scheduled = scheduled || timer
	}
	if !scheduled {
		t.Error("the first call to discovery is not scheduled")
	}
}

// Sizes measured by the fleet replace the learnt speed; endpoints without a measurement keep the
// listed size and the learnt speed.
func TestApplyMeasuredSizes(t *testing.T) {
	b, now := trainedInstance(t)
	kinds := map[policy.EndpointID]int{1: 0, 2: 1}
	applySizes := func(sizes map[policy.EndpointID]float64) map[policy.EndpointID]EndpointStatus {
		ApplyMeasuredSizes(now, b, func(id policy.EndpointID) (int, float64) { return kinds[id], 1 }, func(id policy.EndpointID) (float64, bool) {
			x, ok := sizes[id]
			return x, ok
		})
		b.Request(now, policy.Request{ID: 1000 + policy.RequestID(len(sizes)), TimeLeft: second}) // draws an endpoint, which updates the speeds
		return EndpointStatuses(now, b)
	}
	learnt := applySizes(nil)
	got := applySizes(map[policy.EndpointID]float64{1: 3})
	if s := got[1].Speed; math.Abs(s-3) > 1e-9 {
		t.Errorf("the speed is %v, want the measured 3", s)
	}
	if got[2].Speed != learnt[2].Speed {
		t.Errorf("the speed changed from %v to %v without a measurement", learnt[2].Speed, got[2].Speed)
	}
	if reset := applySizes(nil); reset[1].Speed != learnt[1].Speed {
		t.Errorf("the speed is %v without the measurement, want %v as before", reset[1].Speed, learnt[1].Speed)
	}
}
