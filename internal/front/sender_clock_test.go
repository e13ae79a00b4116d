package front

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestSenderClock(t *testing.T) {
	type wait struct{ from, to time.Duration }
	for name, c := range map[string]struct {
		waits []wait // a wait without an end is in progress
		now   time.Duration
		want  time.Duration

		complete bool // and a further read waits
	}{
		"never waited":                       {now: 5 * time.Second},
		"complete":                           {waits: []wait{{100 * ms, 200 * ms}}, now: 5 * time.Second, want: 200 * ms, complete: true},
		"waits now":                          {waits: []wait{{100 * ms, 0}}, now: 300 * ms, want: 300 * ms},
		"has only begun to wait":             {waits: []wait{{100 * ms, 0}}, now: 110 * ms, want: 0},
		"waited, and the endpoint stalls":    {waits: []wait{{100 * ms, 200 * ms}}, now: 5 * time.Second, want: 200 * ms},
		"short waits move it by their time":  {waits: []wait{{0, 15 * ms}, {16 * ms, 31 * ms}}, now: 40 * ms, want: 30 * ms},
		"a long wait discards earlier stall": {waits: []wait{{time.Second, 1100 * ms}}, now: 1200 * ms, want: 1100 * ms},
	} {
		var s SenderClock
		for _, w := range c.waits {
			s.beginWait(w.from)
			if w.to > 0 {
				s.endWait(w.to)
			}
		}
		if c.complete {
			s.finish()
			s.beginWait(s.since)
		}
		if got := s.earliestEnd(c.now); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
