package broker

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fluidModel computes generalized processor sharing step by step, without virtual time: an exact
// model of max-min fairness that visits all flows in each step.
type fluidModel struct {
	weights, backlogs []float64
	now               time.Duration
}

func (f *fluidModel) advance(now time.Duration, rate float64) {
	left := (now - f.now).Seconds()
	f.now = now
	for left > 1e-12 {
		sum, first := 0.0, left
		for i, q := range f.backlogs {
			if q > 0 {
				sum += f.weights[i]
			}
		}
		if sum == 0 {
			return
		}
		for i, q := range f.backlogs {
			if q > 0 {
				first = math.Min(first, q/(rate*f.weights[i]/sum))
			}
		}
		for i, q := range f.backlogs {
			if q > 0 {
				if f.backlogs[i] = q - first*rate*f.weights[i]/sum; f.backlogs[i] < 1e-12 {
					f.backlogs[i] = 0
				}
			}
		}
		left -= first
	}
}

// Compares the virtual-time model with the step-by-step one, with charges, refunds, weight changes
// and removed flows.
func TestFairQueueAgainstFluidModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "members")
		s, f := fairQueue{}, fluidModel{weights: make([]float64, n), backlogs: make([]float64, n)}
		flows := make([]flow, n)
		for i := range flows {
			flows[i].index = notQueued
			f.weights[i] = rapid.Float64Range(0.01, 1).Draw(t, "weight")
			s.setWeight(&flows[i], f.weights[i])
		}
		now, rate := time.Duration(0), 4.0
		anyFlow := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "member") }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, int(time.Second/2)).Draw(t, "step"))
				s.advance(now, rate)
				f.advance(now, rate)
			},
			"rate": func(t *rapid.T) { rate = rapid.Float64Range(0.1, 50).Draw(t, "rate") },
			"charge": func(t *rapid.T) {
				i, work := anyFlow(t), rapid.Float64Range(0.001, 0.2).Draw(t, "work")
				s.charge(&flows[i], rate, work)
				limit := flows[i].maxBacklog(rate) // debt beyond it is not counted
				f.backlogs[i] = math.Max(f.backlogs[i], math.Min(f.backlogs[i]+work, limit))
			},
			"refund": func(t *rapid.T) {
				i, work := anyFlow(t), rapid.Float64Range(0.001, 0.2).Draw(t, "work")
				s.refund(&flows[i], work)
				f.backlogs[i] = math.Max(f.backlogs[i]-work, 0)
			},
			"weigh": func(t *rapid.T) {
				i := anyFlow(t)
				f.weights[i] = rapid.Float64Range(0.01, 1).Draw(t, "weight")
				s.setWeight(&flows[i], f.weights[i])
			},
			"remove": func(t *rapid.T) {
				i := anyFlow(t)
				s.remove(&flows[i])
				f.backlogs[i] = 0
			},
			"": func(t *rapid.T) {
				for i := range flows {
					if got, want := s.backlog(&flows[i]), f.backlogs[i]; math.Abs(got-want) > 1e-6 {
						t.Fatalf("flow %d has a backlog of %.9f, want %.9f as in the fluid model", i, got, want)
					}
				}
			},
		})
	})
}

// maxMin computes weighted max-min fairness by progressive filling.
func maxMin(capacity float64, weights, demand []float64) []float64 {
	got := make([]float64, len(demand))
	for left := capacity; left > 1e-12; {
		sum, level := 0.0, math.Inf(1)
		for i := range demand {
			if demand[i] > got[i] {
				sum += weights[i]
				level = math.Min(level, (demand[i]-got[i])/weights[i])
			}
		}
		if sum == 0 {
			break
		}
		level = math.Min(level, left/sum)
		for i := range demand {
			if demand[i] > got[i] {
				got[i] += level * weights[i]
				if demand[i]-got[i] < 1e-12 {
					got[i] = demand[i]
				}
			}
		}
		left -= level * sum
	}
	return got
}

// Teams with constant demand get their max-min fair share of work, up to their allowed backlogs,
// whatever their requests cost. Jain's index of the result relative to that share is near 1, and
// no capacity is left unused while a team is refused.
func TestMaxMinFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const period, rate = 20.0, 10.0
		n := rapid.IntRange(2, 6).Draw(t, "teams")
		weights, demand, cost := make([]float64, n), make([]float64, n), make([]float64, n)
		flows := make([]flow, n)
		s := fairQueue{}
		for i := range flows {
			flows[i].index = notQueued
			weights[i] = rapid.Float64Range(0.05, 1).Draw(t, "weight")
			demand[i] = rapid.Float64Range(0.2, 12).Draw(t, "asked")
			cost[i] = rapid.Float64Range(0.002, 0.05).Draw(t, "cost")
			s.setWeight(&flows[i], weights[i])
		}
		got, totalAllowed, next := make([]float64, n), 0.0, make([]float64, n)
		for { // the team with the earliest due request sends it
			i := 0
			for j := range next {
				if next[j] < next[i] {
					i = j
				}
			}
			if next[i] > period {
				break
			}
			s.advance(seconds(next[i]), rate)
			if s.wait(&flows[i], rate) == 0 {
				s.charge(&flows[i], rate, cost[i])
				got[i] += cost[i]
			}
			next[i] += cost[i] / demand[i]
		}
		want := maxMin(rate, weights, demand)
		var sum, squares, used, due float64
		for i := range flows {
			totalAllowed += flows[i].allowedBacklog(rate) + cost[i]
		}
		for i := range flows {
			if d := math.Abs(got[i]/period - want[i]); d > totalAllowed/period+0.01 {
				t.Errorf("team %d gets %.3f of %.1f, want the max-min share %.3f (weights %.2f, demand %.2f)", i, got[i]/period, rate, want[i], weights, demand)
			}
			x := got[i] / period / want[i]
			sum, squares, used, due = sum+x, squares+x*x, used+got[i]/period, due+want[i]
		}
		if jain := sum * sum / (float64(n) * squares); jain < 0.97 {
			t.Errorf("Jain's index is %.4f, want at least 0.97", jain)
		}
		if used < due-0.02*rate {
			t.Errorf("%.3f of %.1f is used, the fair shares sum to %.3f", used, rate, due)
		}
	})
}

// In any interval no more conforms than a burst plus the rate; a request conforms after the wait
// that is returned for it, and not before.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(0.5, 500).Draw(t, "rate"), float64(rapid.IntRange(1, 50).Draw(t, "burst"))
		l, g := newLimit(rate, burst), gcra{}
		var conforming []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.Float64Range(0, 3/rate*1e9).Draw(t, "gap"))
			wait := g.wait(now, l, 1)
			if wait > 0 {
				if early := g.wait(now+wait-2, l, 1); early == 0 {
					t.Fatalf("a request conforms before the returned wait of %v", wait)
				}
				if late := g.wait(now+wait, l, 1); late > 0 {
					t.Fatalf("after the returned wait of %v a request has to wait for another %v", wait, late)
				}
				continue
			}
			g.charge(now, l, 1)
			conforming = append(conforming, now)
		}
		for i := range conforming {
			for j := i; j < len(conforming); j++ {
				if limit := burst + rate*(conforming[j]-conforming[i]).Seconds() + 1e-6; float64(j-i+1) > limit+1e-3*limit {
					t.Fatalf("%d conform in %v, want at most %.2f", j-i+1, conforming[j]-conforming[i], limit)
				}
			}
		}
	})
}

func allClassesCall(rate, burst, work float64) []CallLimits {
	return []CallLimits{{Classes: AllClasses, Rate: rate, Burst: burst, Work: work}}
}

// After a pause of the process of any length one burst is admitted and no more; a clock that runs
// backwards admits nothing.
func TestRateAfterPause(t *testing.T) {
	b := New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Calls: allClassesCall(10, 5, 0)}}})
	admitted := func(now time.Duration) (n int) {
		for range 1000 {
			if _, v := b.Admit(now, "a", 0, 0); v.Outcome == Admitted {
				n++
			}
		}
		return n
	}
	for _, step := range []struct {
		now  time.Duration
		want int
	}{{0, 5}, {5 * time.Second, 5}, {time.Second, 0}, {5 * time.Second, 0}, {5100 * time.Millisecond, 1}, {1000 * time.Hour, 5}} {
		if n := admitted(step.now); n != step.want {
			t.Errorf("at %v %d are admitted, want %d", step.now, n, step.want)
		}
	}
}

// The limits of a call apply to requests and work, over all its classes, and a refusal states when
// the request would conform.
func TestLimits(t *testing.T) {
	b := New(0, Terms{Classes: 2, Contracts: []Contract{{Team: "a", Calls: allClassesCall(1000, 1000, 2)}}})
	n := 0
	for {
		_, v := b.Admit(0, "a", n%2, 0.1)
		if v.Outcome != Admitted {
			if v.Outcome != OverRate || v.RetryAfter <= 0 || v.RetryAfter > 51*time.Millisecond {
				t.Errorf("verdict %+v, want OverRate with a wait of 50 ms", v)
			}
			break
		}
		n++
	}
	if n != 20 { // the limit of one second
		t.Errorf("%d requests of 0.1 s conform to 2 s per second, want 20", n)
	}
	if _, v := b.Admit(10*time.Second, "a", 0, 7); v.Outcome != Admitted {
		t.Error("a request more expensive than a burst is never admitted")
	}
	if _, v := b.Admit(11*time.Second, "a", 0, 0.1); v.Outcome != OverRate || v.RetryAfter < time.Second {
		t.Errorf("the debt of the expensive request is lost: %+v", v)
	}
}

func TestAllowed(t *testing.T) {
	terms := Terms{Classes: 2, Contracts: []Contract{
		{Team: "a", Calls: []CallLimits{{Classes: 1 << 1}}},
		{Team: "none"},
	}}
	b := New(0, terms)
	check := func(team string, class int, want Outcome) {
		t.Helper()
		if _, v := b.Admit(0, team, class, 0); v.Outcome != want {
			t.Errorf("team %.20q, class %d: outcome %d, want %d", team, class, v.Outcome, want)
		}
	}
	check("a", 1, Admitted)
	check("a", 0, NotAllowed)
	check("a", 64, NotAllowed)
	check("a", -1, NotAllowed)
	check("none", 1, NotAllowed)
	check("stranger", 1, NotAllowed)
	terms.Uncontracted = &Contract{Calls: allClassesCall(1, 3, 0)}
	b.Replace(0, terms)
	check("none", 1, NotAllowed) // a team whose contract lacks the call does not count as uncontracted
	check("", 0, Admitted)
	check("stranger", 1, Admitted)
	check(strings.Repeat("x", 300), 1, Admitted)
	check("another", 1, OverRate) // all teams without a contract share one limit
}

// Requests create no state, and a verdict does not allocate.
func TestBoundedState(t *testing.T) {
	terms := threeTeams()
	terms.Uncontracted = &Contract{Share: 0.01, Calls: allClassesCall(100, 10, 0)}
	terms.Contracts[0].Share = 0.5
	b := New(0, *terms)
	b.capacity.tight, b.capacity.estimate = true, 5
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("nobody-", i)
	}
	i := 0
	allocs := testing.AllocsPerRun(5000, func() {
		i++
		now := time.Duration(i) * time.Millisecond
		for _, name := range []string{names[i%1000], "a", "b"} {
			if ticket, v := b.Admit(now, name, 0, 0.01); v.Outcome == Admitted {
				b.AdmitRetry(now, &ticket)
				b.AttemptEnded(now, &ticket, false, Answered, 20*time.Millisecond, time.Second)
			}
		}
	})
	if allocs > 0 {
		t.Errorf("%v allocations per verdict, want none", allocs)
	}
	if len(b.teams) != 3 || len(b.shares.backlogged) > 4 {
		t.Errorf("there are %d teams, %d of them backlogged, want 3 and at most 4", len(b.teams), len(b.shares.backlogged))
	}
}

// Retries are charged to the retry budget of the team that caused them, which no other team can
// use.
func TestRetries(t *testing.T) {
	b := New(0, *threeTeams())
	ticket, _ := b.Admit(0, "a", 0, 0.01)
	n := 0
	for b.AdmitRetry(0, &ticket) {
		n++
	}
	if n != int(retryBurst) {
		t.Errorf("team a made %d retries, want its budget of %v", n, retryBurst)
	}
	other, _ := b.Admit(0, "b", 0, 0.01)
	if !b.AdmitRetry(0, &other) {
		t.Error("team b has no retry left after those of team a")
	}
	b.AttemptEnded(0, &ticket, true, Declined, 0, 0)
	if !b.AdmitRetry(0, &ticket) {
		t.Error("a retry that did not run was not refunded")
	}
	for range 5 {
		b.Admit(0, "a", 0, 0.01)
	}
	if !b.AdmitRetry(0, &ticket) || b.AdmitRetry(0, &ticket) {
		t.Error("five requests do not earn exactly one retry")
	}
}

// An attempt that did not run is refunded in work and share. One that ran is not, and neither is
// the request rate of a request that arrived completely and was declined later.
func TestRefunds(t *testing.T) {
	for result, refunded := range map[AttemptResult]bool{Answered: false, TimedOut: false, Failed: false, Declined: true, NotRun: true} {
		b := New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Share: 1, Calls: allClassesCall(0, 0, 1)}}})
		b.capacity.tight, b.capacity.estimate = true, 1
		ticket, _ := b.Admit(0, "a", 0, 0.8)
		a := b.teams["a"]
		if a.calls[0].work.tat != 800*time.Millisecond || b.shares.backlog(&a.share) < 0.79 {
			t.Fatalf("the charge is %v of work and %v of share, want 0.8 s of both", a.calls[0].work.tat, b.shares.backlog(&a.share))
		}
		b.AttemptEnded(0, &ticket, false, result, time.Millisecond, time.Second)
		if got := a.calls[0].work.tat == 0 && b.shares.backlog(&a.share) == 0; got != refunded {
			t.Errorf("result %d: refunded %v, want %v", result, got, refunded)
		}
		if b.capacity.inFlightWork != 0 || b.capacity.inFlight != 0 {
			t.Errorf("result %d: %v of work counts as in flight, want none", result, b.capacity.inFlightWork)
		}
	}
	b := New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Calls: allClassesCall(1, 1, 0)}}})
	ticket, _ := b.Admit(0, "a", 0, 0)
	b.Withdraw(0, &ticket, true)
	if _, v := b.Admit(0, "a", 0, 0); v.Outcome != OverRate {
		t.Error("a request that was declined later does not count against the rate")
	}
	b = New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Calls: allClassesCall(1, 1, 0)}}})
	ticket, _ = b.Admit(0, "a", 0, 0)
	b.Withdraw(0, &ticket, false)
	if _, v := b.Admit(0, "a", 0, 0); v.Outcome != Admitted {
		t.Error("a request that did not arrive completely counts against the rate")
	}
}

// A reload releases no burst and keeps the usage of teams; open requests of a removed team change
// nothing. 200 reloads in a row leave no state behind.
func TestReplace(t *testing.T) {
	now := time.Duration(0)
	b := New(now, Terms{Classes: 2, Contracts: []Contract{
		{Team: "a", Share: 0.6, Calls: allClassesCall(10, 5, 0)}, {Team: "b", Share: 0.4, Calls: allClassesCall(0, 0, 1)}}})
	b.capacity.tight, b.capacity.estimate = true, 4
	for range 5 {
		b.Admit(now, "a", 0, 0.1)
	}
	open, _ := b.Admit(now, "b", 0, 0.1)
	backlog := b.shares.backlog(&b.teams["a"].share)
	b.Replace(now, Terms{Classes: 2, Contracts: []Contract{
		{Team: "a", Share: 0.3, Calls: []CallLimits{{Classes: 1, Rate: 10, Burst: 5}, {Classes: 2, Rate: 1, Burst: 1}}}}})
	if got := b.shares.backlog(&b.teams["a"].share); math.Abs(got-backlog) > 1e-9 {
		t.Errorf("team a has a backlog of %v, want %v as before", got, backlog)
	}
	if _, v := b.Admit(now, "a", 0, 0.1); v.Outcome != OverRate {
		t.Errorf("the reload released a burst: %+v", v)
	}
	if _, v := b.Admit(now, "a", 1, 0.1); v.Outcome != OverRate {
		t.Errorf("class 1 belonged to the old call, and its usage is lost: %+v", v)
	}
	if _, v := b.Admit(now, "b", 0, 0.1); v.Outcome != NotAllowed {
		t.Errorf("team b is removed, want NotAllowed: %+v", v)
	}
	weight := b.shares.backloggedWeight
	b.AdmitRetry(now, &open)
	b.AttemptEnded(now, &open, true, NotRun, 0, 0)
	b.AttemptEnded(now, &open, false, NotRun, 0, 0)
	if b.shares.backloggedWeight != weight || len(b.shares.backlogged) != 1 {
		t.Error("an open request of a removed team changes the shares")
	}
	for i := range 200 {
		terms := threeTeams()
		if i%2 == 0 {
			terms.Contracts = terms.Contracts[:1]
			terms.Uncontracted = &Contract{Calls: allClassesCall(1, 1, 1)}
		}
		b.Replace(now, *terms)
		b.Admit(now, "b", 0, 0.1)
		b.Admit(now, "a", 0, 0.1)
		now += time.Millisecond
	}
	if len(b.teams) != 3 || len(b.shares.backlogged) > 3 {
		t.Errorf("after 200 reloads there are %d teams, %d of them backlogged, want 3 and at most 3", len(b.teams), len(b.shares.backlogged))
	}
}

// With calls in any order the state stays finite and the counts correct.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(0, *threeTeams())
		now := time.Duration(0)
		type attempt struct {
			ticket Ticket
			retry  bool
		}
		var open []attempt
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.Int64Range(-1e6, 5e8).Draw(t, "step")) },
			"admit": func(t *rapid.T) {
				team := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")
				ticket, v := b.Admit(now, team, 0, rapid.SampledFrom([]float64{0, 1e-9, 0.01, 1e6, math.Inf(1), math.NaN()}).Draw(t, "work"))
				if v.Outcome == Admitted {
					open = append(open, attempt{ticket, false})
				} else if v.Outcome == OverShare && v.RetryAfter <= 0 {
					t.Fatalf("refused without a retry delay: %+v", v)
				}
			},
			"again": func(t *rapid.T) {
				if len(open) > 0 {
					a := open[rapid.IntRange(0, len(open)-1).Draw(t, "open")]
					if b.AdmitRetry(now, &a.ticket) {
						open = append(open, attempt{a.ticket, true})
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "open")
					e := AttemptResult(rapid.IntRange(0, int(NotRun)).Draw(t, "ending"))
					b.AttemptEnded(now, &open[i].ticket, open[i].retry, e, time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "elapsed")), time.Second)
					open = append(open[:i], open[i+1:]...)
				}
			},
			"": func(t *rapid.T) {
				if int(b.capacity.inFlight) != len(open) {
					t.Fatalf("%v attempts are counted, %d are in flight", b.capacity.inFlight, len(open))
				}
				for _, x := range []float64{b.capacity.inFlightWork, b.shares.virtualTime, b.shares.backloggedWeight, b.capacity.baseLatency.value, b.capacity.target.value} {
					if math.IsNaN(x) || math.IsInf(x, 0) || x < -1e-9 {
						t.Fatalf("the state contains %v: %+v %+v", x, b.capacity, b.shares)
					}
				}
				if r := b.capacity.admitRate(); math.IsNaN(r) || r <= 0 {
					t.Fatalf("the rate is %v, want a positive number", r)
				}
			},
		})
	})
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{1, 100, 10000} {
		for _, tight := range []bool{false, true} {
			terms := Terms{Classes: 1}
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("team-", i)
				terms.Contracts = append(terms.Contracts, Contract{Team: names[i], Share: 1 / float64(n), Calls: allClassesCall(1e6, 1e6, 1e6)})
			}
			br := New(0, terms)
			br.capacity.tight = tight
			br.capacity.estimate = 1e5
			b.Run(fmt.Sprintf("contracts=%d/tight=%v", n, tight), func(b *testing.B) {
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					i++
					now := time.Duration(i) * time.Microsecond
					ticket, v := br.Admit(now, names[i*7919%n], 0, 0.01)
					if v.Outcome == Admitted {
						br.AttemptEnded(now, &ticket, false, Failed, 0, 0)
					}
				}
			})
		}
	}
}

// BenchmarkContracts measures the memory of a contract by the bytes allocated.
func BenchmarkContracts(b *testing.B) {
	terms := Terms{Classes: 1}
	for i := range 10000 {
		terms.Contracts = append(terms.Contracts, Contract{Team: fmt.Sprint("team-", i), Share: 1e-4, Calls: allClassesCall(1, 1, 1)})
	}
	b.ReportAllocs()
	for b.Loop() {
		New(0, terms)
	}
}

// A shortage states its cause.
func TestShortageCause(t *testing.T) {
	terms := Terms{Classes: 1, Uncontracted: &Contract{Share: 1, Calls: []CallLimits{{Classes: AllClasses}}}}
	overcommitted, queued := New(0, terms), New(0, terms)
	for range int(maxUnknownInFlight) {
		overcommitted.Admit(0, "nobody", 0, 0.01)
	}
	var tickets []Ticket
	for range int(minSamples) {
		ticket, _ := queued.Admit(0, "nobody", 0, 0.01)
		tickets = append(tickets, ticket)
	}
	if s, short := queued.Shortage(); short {
		t.Errorf("shortage %+v before the first answer", s)
	}
	queued.AttemptEnded(10*time.Millisecond, &tickets[0], false, Answered, 10*time.Millisecond, time.Second)
	for i := range tickets[1:] {
		queued.AttemptEnded(900*time.Millisecond, &tickets[1+i], false, TimedOut, 900*time.Millisecond, time.Second)
	}
	next := New(0, terms)
	next.Restore(0, queued.Snapshot(time.Second), []int{0})
	for want, b := range map[Cause]*Broker{ExcessInFlight: overcommitted, Queued: queued, HandedOver: next} {
		if s, short := b.Shortage(); !short || s.Cause != want || s.Estimate <= 0 || s.AdmitRate <= 0 {
			t.Errorf("want cause %v, got %v %+v", want, short, s)
		}
	}
	if s, _ := overcommitted.Shortage(); s.InFlight != int(maxUnknownInFlight) || s.InFlightWork < 0.9 {
		t.Errorf("shortage %+v with %v attempts in flight", s, maxUnknownInFlight)
	}
}
