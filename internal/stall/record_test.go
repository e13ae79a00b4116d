package stall

import (
	"testing"
	"time"
)

func TestStalledBetween(t *testing.T) {
	const ms = time.Millisecond
	begun := time.Now()
	at := func(after time.Duration) time.Time { return begun.Add(after) }
	var r Record
	if got := r.StalledBetween(at(0), at(time.Hour)); got != 0 {
		t.Errorf("stalled for %v before the first action", got)
	}
	for _, c := range []struct{ due, done time.Duration }{{100 * ms, 400 * ms}, {410 * ms, 415 * ms}, {500 * ms, 600 * ms}} {
		r.Expect(at(c.due))
		r.Done(at(c.done))
	}
	r.Expect(at(900 * ms))
	for _, c := range []struct{ from, now, want time.Duration }{
		{0, 910 * ms, 400 * ms},
		{0, 1000 * ms, 500 * ms},
		{200 * ms, 910 * ms, 300 * ms},
		{550 * ms, 910 * ms, 50 * ms},
		{700 * ms, 910 * ms, 0},
		{950 * ms, 1000 * ms, 50 * ms},
	} {
		if got := r.StalledBetween(at(c.from), at(c.now)); got != c.want {
			t.Errorf("stalled for %v between %v and %v, want %v", got, c.from, c.now, c.want)
		}
	}
	for i := range maxStalls { // the oldest are dropped
		r.Expect(at(time.Duration(i) * time.Second))
		r.Done(at(time.Duration(i)*time.Second + 100*ms))
	}
	if got := r.StalledBetween(at(0), at(time.Hour)); got != maxStalls*100*ms {
		t.Errorf("%d stalls of 100 ms add up to %v", maxStalls, got)
	}
}
