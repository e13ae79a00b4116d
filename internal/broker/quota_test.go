package broker

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Several processes share one limit whose quotas move between them all the time, with demand above
// the limit. In no interval do all processes together admit more than the rate, one burst, and one
// request per process, as the quota of a process may be less than one request of a burst.
func TestQuotaMovesBetweenProcesses(t *testing.T) {
	for name, c := range map[string]struct {
		call        CallLimits
		rate, burst float64 // in requests
	}{
		"requests": {CallLimits{Rate: 200, Burst: 20}, 200, 20},
		"work":     {CallLimits{Work: 2}, 200, 200}, // 10 ms each, accumulated for a second
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				c.call.Classes, c.call.Shared = AllClasses, true
				checkMovingQuotas(t, seed, c.call, c.rate, c.burst)
			}
		})
	}
}

func checkMovingQuotas(t *testing.T, seed uint64, call CallLimits, rate, burst float64) {
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
		if r.IntN(20) == 0 { // one process passes on a part of its quota, for good or for a time
			from, to, some := r.IntN(processes), r.IntN(processes), r.Float64()
			if from != to && now >= until[from] && now >= until[to] {
				moved := limits[from] * some
				limits[from] -= moved
				all[from].SetQuota(now, "a", 0, limits[from], 0, 0)
				if r.IntN(2) == 0 {
					limits[to] += moved
					all[to].SetQuota(now, "a", 0, limits[to], 0, 0)
				} else { // a grant, which expires without a call
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
		t.Errorf("seed %d: %.0f of %.0f were admitted, want at least 0.9 of it", seed, n, 20*rate)
	}
	for i, from := range admitted {
		for j := i; j < len(admitted); j += 37 {
			duration := (admitted[j] - from).Seconds()
			if got, limit := float64(j-i+1), rate*duration+burst+processes; got > limit {
				t.Fatalf("seed %d: %.0f in %.3f s, want at most %.0f", seed, got, duration, limit)
			}
		}
	}
}

// A process that was given no quota yet admits nothing; a grant expires without a further call;
// units that a small quota could not accumulate are not there when it grows.
func TestQuotaGrantExpires(t *testing.T) {
	b := New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Calls: []CallLimits{{Classes: AllClasses, Rate: 100, Burst: 10, Shared: true}}}}})
	countAdmitted := func(now time.Duration) (n int) {
		for ; n < 1000; n++ {
			if _, v := b.Admit(now, "a", 0, 0.001); v.Outcome != Admitted {
				if v.RetryAfter <= 0 {
					t.Error("refused without a retry delay")
				}
				break
			}
		}
		return n
	}
	if n := countAdmitted(time.Second); n != 0 {
		t.Errorf("%d admitted without a quota", n)
	}
	b.SetQuota(time.Second, "a", 0, 1e-6, 0, 0)
	if _, v := b.Admit(time.Second, "a", 0, 0.001); v.Outcome != OverRate || v.RetryAfter > time.Second {
		t.Errorf("tiny quota: %+v, want OverRate for at most a second, as the quota may grow", v)
	}
	b.SetQuota(time.Second, "a", 0, 0.1, 0.9, 3*time.Second)
	if n := countAdmitted(time.Second); n > 0 {
		t.Errorf("%d admitted at once, of a quota that was just set", n)
	}
	if n := countAdmitted(2 * time.Second); n != 10 {
		t.Errorf("%d admitted, want a burst of 10", n)
	}
	countAdmitted(3*time.Second - 1)
	if n := countAdmitted(4 * time.Second); n > 11 || n < 1 { // a tenth of the rate since the grant expired
		t.Errorf("%d admitted after the grant expired, want 1 to 11", n)
	}
	if n := countAdmitted(10 * time.Second); n != 1 { // a tenth of the burst
		t.Errorf("%d admitted, want a burst of one", n)
	}
	if requests, _ := b.Demand("a", 0); requests < 0.2 {
		t.Errorf("demand of %.2f limits times seconds, want at least 0.2", requests)
	}
}

// BenchmarkSharedLimits measures a verdict on a call with limits of this process alone, and on one
// with limits shared by the fleet, where the quota changes five times per second.
func BenchmarkSharedLimits(b *testing.B) {
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
