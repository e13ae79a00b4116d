package core

import (
	"testing"
	"time"

	"spokegw/internal/upstream"
	"spokegw/policy"
)

// What the sidecar's own processor adds to an attempt is not its endpoint's: neither that
// it took long nor that its time was up.
func TestOwnDelayIsNotBlamed(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		result       policy.Result
		elapsed, own time.Duration
		want         policy.Result
		left         time.Duration
	}{
		{policy.Served, 100 * ms, 0, policy.Served, 100 * ms},
		{policy.Served, 100 * ms, 10 * ms, policy.Served, 70 * ms},
		{policy.Served, 100 * ms, 500 * ms, policy.Served, 10 * ms}, // something of it was the endpoint's
		{policy.NoAnswer, 400 * ms, 0, policy.NoAnswer, 400 * ms},
		{policy.NoAnswer, 400 * ms, 10 * ms, policy.NoAnswer, 370 * ms},   // 30 ms are not why it is late
		{policy.NoAnswer, 400 * ms, 100 * ms, policy.Cancelled, 400 * ms}, // it may have run all the same
		{policy.Declined, 400 * ms, 100 * ms, policy.Declined, 100 * ms},  // proof that it never ran
		{policy.Errored, 400 * ms, 100 * ms, policy.Errored, 100 * ms},
	} {
		result, left := without(c.result, c.elapsed, ownWaits*c.own)
		if result != c.want || left != c.left {
			t.Errorf("%v after %v with %v of our own: %v after %v, %v after %v is expected", c.result, c.elapsed, c.own, result, left, c.want, c.left)
		}
		if result.NeverRan() != c.result.NeverRan() {
			t.Errorf("%v became %v: whether it ran is another thing", c.result, result)
		}
	}
}

// What of a stall falls into an attempt's time is taken off, as long as that is kept.
func TestStallIsNotBlamed(t *testing.T) {
	_, s := alone(t)
	stalled := 2 * time.Second
	var asked time.Time
	s.SetStallMonitor(func() time.Duration { return 0 }, func(from, _ time.Time) time.Duration { asked = from; return stalled })
	a := &attempt{decided: time.Now().Add(-3 * time.Second)}
	for _, c := range []struct{ told, want upstream.Answer }{
		{upstream.Answer{Result: policy.Served, Elapsed: 3 * time.Second}, upstream.Answer{Result: policy.Served, Elapsed: time.Second}},
		{upstream.Answer{Result: policy.NoAnswer, Elapsed: 3 * time.Second}, upstream.Answer{Result: policy.Cancelled, Elapsed: 3 * time.Second}},
	} {
		got := s.blamed(a, c.told)
		if got.Result != c.want.Result || got.Elapsed != c.want.Elapsed || !asked.Equal(a.decided) {
			t.Errorf("%v after %v is told as %v after %v, with what was stalled since %v", c.told.Result, c.told.Elapsed, got.Result, got.Elapsed, asked)
		}
	}
}
