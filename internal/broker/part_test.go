package broker

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Several processes share one limit, whose parts move between them all the time, and are
// asked for more than there is. In no span do all together let out more than the rate, one
// burst, and one request for each process, whose part of a burst may be less than one.
func TestPartsMove(t *testing.T) {
	for name, c := range map[string]struct {
		call        CallLimits
		rate, burst float64 // in requests
	}{
		"requests": {CallLimits{Rate: 200, Burst: 20}, 200, 20},
		"work":     {CallLimits{Work: 2}, 200, 200}, // of 10 ms each, saved up for a second
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				c.call.Classes, c.call.Shared = AllClasses, true
				movingParts(t, seed, c.call, c.rate, c.burst)
			}
		})
	}
}

func movingParts(t *testing.T, seed uint64, call CallLimits, rate, burst float64) {
	const processes = 5
	r := rand.New(rand.NewPCG(seed, 1))
	var all [processes]*Broker
	for i := range all {
		all[i] = New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Calls: []CallLimits{call}}}})
	}
	var admitted []time.Duration
	limits := [processes]float64{1}
	until := [processes]time.Duration{}
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		if r.IntN(20) == 0 { // what one gives up another may have, a part of it for a time
			from, to, some := r.IntN(processes), r.IntN(processes), r.Float64()
			if from != to && now >= until[from] && now >= until[to] {
				moved := limits[from] * some
				limits[from] -= moved
				all[from].SetQuota(now, "a", 0, limits[from], 0, 0)
				if r.IntN(2) == 0 {
					limits[to] += moved
					all[to].SetQuota(now, "a", 0, limits[to], 0, 0)
				} else { // lent: nobody takes it back, and it ends
					until[from] = now + time.Duration(r.IntN(500))*time.Millisecond
					until[to] = until[from]
					all[to].SetQuota(now, "a", 0, limits[to], moved, until[to])
					limits[from] += moved
				}
			}
		}
		for i, b := range all {
			if until[i] > 0 && now >= until[i] {
				until[i] = 0
				b.SetQuota(now, "a", 0, limits[i], 0, 0)
			}
			for range r.IntN(4) {
				if ticket, v := b.Admit(now, "a", 0, 0.01); v.Outcome == Admitted {
					b.AttemptEnded(now, &ticket, false, Answered, time.Millisecond, time.Second)
					admitted = append(admitted, now)
				}
			}
		}
	}
	if n := float64(len(admitted)); n < 0.9*20*rate {
		t.Errorf("seed %d: %.0f of %.0f were let out", seed, n, 20*rate)
	}
	for i, from := range admitted {
		for j := i; j < len(admitted); j += 37 {
			span := (admitted[j] - from).Seconds()
			if got, most := float64(j-i+1), rate*span+burst+processes; got > most {
				t.Fatalf("seed %d: %.0f in %.3f s, at most %.0f are allowed", seed, got, span, most)
			}
		}
	}
}

// A process that was told nothing yet has no part; a grant ends though nobody says so; what
// a part could not save up is not there when it grows.
func TestPartEnds(t *testing.T) {
	b := New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Calls: []CallLimits{{Classes: AllClasses, Rate: 100, Burst: 10, Shared: true}}}}})
	admits := func(now time.Duration) (n int) {
		for ; n < 1000; n++ {
			if _, v := b.Admit(now, "a", 0, 0.001); v.Outcome != Admitted {
				if v.RetryAfter <= 0 {
					t.Error("refused, and not told when to come back")
				}
				break
			}
		}
		return n
	}
	if n := admits(time.Second); n != 0 {
		t.Errorf("%d with no part", n)
	}
	b.SetQuota(time.Second, "a", 0, 1e-6, 0, 0)
	if _, v := b.Admit(time.Second, "a", 0, 0.001); v.Outcome != OverRate || v.RetryAfter > time.Second {
		t.Errorf("with a tiny part, which may grow at any time: %+v", v)
	}
	b.SetQuota(time.Second, "a", 0, 0.1, 0.9, 3*time.Second)
	if n := admits(time.Second); n > 0 {
		t.Errorf("%d at once, of a part that has just come", n)
	}
	if n := admits(2 * time.Second); n != 10 {
		t.Errorf("%d of a burst of 10", n)
	}
	admits(3*time.Second - 1)
	if n := admits(4 * time.Second); n > 11 || n < 1 { // a tenth of the rate, from its end on
		t.Errorf("%d after the grant has ended", n)
	}
	if n := admits(10 * time.Second); n != 1 { // a tenth of the burst
		t.Errorf("%d of a burst of one", n)
	}
	if requests, _ := b.Demand("a", 0); requests < 0.2 {
		t.Errorf("asked for %.2f limits times seconds", requests)
	}
}

// BenchmarkShared is a verdict on a call whose limits are this process's own, and on one
// that the fleet shares, whose part moves five times a second.
func BenchmarkShared(b *testing.B) {
	for name, shared := range map[string]bool{"own": false, "shared": true} {
		b.Run(name, func(b *testing.B) {
			br := New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Calls: []CallLimits{{Classes: AllClasses, Rate: 1e6, Burst: 1e5, Shared: shared}}}}})
			b.ReportAllocs()
			for i := range b.N {
				now := time.Duration(i) * 2 * time.Microsecond
				if i%100000 == 0 {
					br.SetQuota(now, "a", 0, 0.5, 0.4+0.1*float64(i/100000%2), now+time.Second)
				}
				ticket, v := br.Admit(now, "a", 0, 0.001)
				if v.Outcome == Admitted {
					br.AttemptEnded(now, &ticket, false, Answered, time.Millisecond, time.Second)
				}
			}
		})
	}
}
