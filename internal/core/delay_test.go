package core

import (
	"testing"
	"time"

	"spokegw/internal/upstream"
	"spokegw/policy"
)

// Delays that the sidecar itself adds to an attempt must not count against its endpoint,
// neither as latency nor as a timeout.
func TestOwnDelayNotAttributedToEndpoint(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		result       policy.Result
		elapsed, own time.Duration
		want         policy.Result
		remaining    time.Duration
	}{
		{policy.Served, 100 * ms, 0, policy.Served, 100 * ms},
		{policy.Served, 100 * ms, 10 * ms, policy.Served, 70 * ms},
		{policy.Served, 100 * ms, 500 * ms, policy.Served, 10 * ms}, // a minimum part is attributed to the endpoint
		{policy.NoAnswer, 400 * ms, 0, policy.NoAnswer, 400 * ms},
		{policy.NoAnswer, 400 * ms, 10 * ms, policy.NoAnswer, 370 * ms},   // 30 ms do not explain the timeout
		{policy.NoAnswer, 400 * ms, 100 * ms, policy.Cancelled, 400 * ms}, // it may still have run
		{policy.Declined, 400 * ms, 100 * ms, policy.Declined, 100 * ms},  // proof that it never ran
		{policy.Errored, 400 * ms, 100 * ms, policy.Errored, 100 * ms},
	} {
		result, remaining := withoutOwnDelay(c.result, c.elapsed, ownWaits*c.own)
		if result != c.want || remaining != c.remaining {
			t.Errorf("%v after %v with an own delay of %v: got %v after %v, want %v after %v", c.result, c.elapsed, c.own, result, remaining, c.want, c.remaining)
		}
		if result.NeverRan() != c.result.NeverRan() {
			t.Errorf("%v became %v, which changes whether it may have run", c.result, result)
		}
	}
}

// The part of a stall that falls within an attempt is subtracted from its elapsed time.
func TestStallNotAttributedToEndpoint(t *testing.T) {
	_, s := newTestCore(t)
	stalled := 2 * time.Second
	var since time.Time
	s.SetStallMonitor(func() time.Duration { return 0 }, func(from, _ time.Time) time.Duration { since = from; return stalled })
	a := &attempt{decided: time.Now().Add(-3 * time.Second)}
	for _, c := range []struct{ reported, want upstream.Answer }{
		{upstream.Answer{Result: policy.Served, Elapsed: 3 * time.Second}, upstream.Answer{Result: policy.Served, Elapsed: time.Second}},
		{upstream.Answer{Result: policy.NoAnswer, Elapsed: 3 * time.Second}, upstream.Answer{Result: policy.Cancelled, Elapsed: 3 * time.Second}},
	} {
		got := s.attributed(a, c.reported)
		if got.Result != c.want.Result || got.Elapsed != c.want.Elapsed || !since.Equal(a.decided) {
			t.Errorf("%v after %v is reported as %v after %v, with the stall since %v", c.reported.Result, c.reported.Elapsed, got.Result, got.Elapsed, since)
		}
	}
}
