package lab

import (
	"slices"
	"testing"
	"time"
)

// An endpoint that begins with a fifth of 100 requests a second and is warm after 8 s, may be sent
// three times that within one second: 60 and 2 x root of 60 + 2 of them, which is 77.49, at first.
func TestColdStartUsed(t *testing.T) {
	c := ColdStart{Time: 8 * time.Second, Least: 0.2, Multiple: 3, Span: time.Second}
	const ms = time.Millisecond
	for _, k := range []struct {
		is   string
		ages []time.Duration
		warm float64
		over bool
	}{
		{"none", nil, 100, false},
		{"all that it may be sent", slices.Repeat([]time.Duration{0}, 77), 100, false},
		{"one more", slices.Repeat([]time.Duration{0}, 78), 100, true},
		{"one more, when the span is over", append(slices.Repeat([]time.Duration{0}, 77), time.Second), 100, false},
		{"one more, just before", append(slices.Repeat([]time.Duration{0}, 77), time.Second-ms), 100, true},
		{"one more, behind a time with few", append([]time.Duration{0}, slices.Repeat([]time.Duration{10 * ms}, 78)...), 100, true},
		{"the same, when it is warmer", slices.Repeat([]time.Duration{time.Second}, 78), 100, false},
		{"many, when it is warm", slices.Repeat([]time.Duration{8 * time.Second}, 900), 100, false},
		{"of few, where it may be sent 6 and 3 x root of 6 + 3", slices.Repeat([]time.Duration{0}, 16), 10, false},
		{"one more than that", slices.Repeat([]time.Duration{0}, 17), 10, true},
	} {
		if used, at := c.Used(k.ages, k.warm); used > 1 != k.over {
			t.Errorf("%s: %.3f of what it may be sent, at %v", k.is, used, at)
		}
	}
}
