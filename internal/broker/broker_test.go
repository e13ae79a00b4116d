package broker

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fluid is generalized processor sharing worked out step by step, with no
// virtual time: an exact model of max-min fairness that costs a walk over all
// members at each step.
type fluid struct {
	weights, queued []float64
	now             time.Duration
}

func (f *fluid) advance(now time.Duration, rate float64) {
	left := (now - f.now).Seconds()
	f.now = now
	for left > 1e-12 {
		sum, first := 0.0, left
		for i, q := range f.queued {
			if q > 0 {
				sum += f.weights[i]
			}
		}
		if sum == 0 {
			return
		}
		for i, q := range f.queued {
			if q > 0 {
				first = math.Min(first, q/(rate*f.weights[i]/sum))
			}
		}
		for i, q := range f.queued {
			if q > 0 {
				if f.queued[i] = q - first*rate*f.weights[i]/sum; f.queued[i] < 1e-12 {
					f.queued[i] = 0
				}
			}
		}
		left -= first
	}
}

// The virtual-time model against the fluid one, through charges, refunds,
// other weights and members that go.
func TestSharesAgainstFluid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "members")
		s, f := shares{}, fluid{weights: make([]float64, n), queued: make([]float64, n)}
		members := make([]member, n)
		for i := range members {
			members[i].index = idle
			f.weights[i] = rapid.Float64Range(0.01, 1).Draw(t, "weight")
			s.weigh(&members[i], f.weights[i])
		}
		now, rate := time.Duration(0), 4.0
		one := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "member") }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, int(time.Second/2)).Draw(t, "step"))
				s.advance(now, rate)
				f.advance(now, rate)
			},
			"rate": func(t *rapid.T) { rate = rapid.Float64Range(0.1, 50).Draw(t, "rate") },
			"charge": func(t *rapid.T) {
				i, work := one(t), rapid.Float64Range(0.001, 0.2).Draw(t, "work")
				s.charge(&members[i], rate, work)
				longest := members[i].longest(rate) // beyond it the debt is bounded
				f.queued[i] = math.Max(f.queued[i], math.Min(f.queued[i]+work, longest))
			},
			"refund": func(t *rapid.T) {
				i, work := one(t), rapid.Float64Range(0.001, 0.2).Draw(t, "work")
				s.refund(&members[i], work)
				f.queued[i] = math.Max(f.queued[i]-work, 0)
			},
			"weigh": func(t *rapid.T) {
				i := one(t)
				f.weights[i] = rapid.Float64Range(0.01, 1).Draw(t, "weight")
				s.weigh(&members[i], f.weights[i])
			},
			"remove": func(t *rapid.T) {
				i := one(t)
				s.remove(&members[i])
				f.queued[i] = 0
			},
			"": func(t *rapid.T) {
				for i := range members {
					if got, want := s.queued(&members[i]), f.queued[i]; math.Abs(got-want) > 1e-6 {
						t.Fatalf("member %d has %.9f queued, %.9f by the fluid model", i, got, want)
					}
				}
			},
		})
	})
}

// maxMin is weighted max-min fairness by filling up.
func maxMin(capacity float64, weights, asked []float64) []float64 {
	got := make([]float64, len(asked))
	for left := capacity; left > 1e-12; {
		sum, level := 0.0, math.Inf(1)
		for i := range asked {
			if asked[i] > got[i] {
				sum += weights[i]
				level = math.Min(level, (asked[i]-got[i])/weights[i])
			}
		}
		if sum == 0 {
			break
		}
		level = math.Min(level, left/sum)
		for i := range asked {
			if asked[i] > got[i] {
				got[i] += level * weights[i]
				if asked[i]-got[i] < 1e-12 {
					got[i] = asked[i]
				}
			}
		}
		left -= level * sum
	}
	return got
}

// Teams that ask steadily get what max-min fairness by work gives them, to
// within their rooms, whatever their requests cost; Jain's index over that is
// near 1, and nothing is left unused while somebody is refused.
func TestMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span, rate = 20.0, 10.0
		n := rapid.IntRange(2, 6).Draw(t, "teams")
		weights, asked, cost := make([]float64, n), make([]float64, n), make([]float64, n)
		members := make([]member, n)
		s := shares{}
		for i := range members {
			members[i].index = idle
			weights[i] = rapid.Float64Range(0.05, 1).Draw(t, "weight")
			asked[i] = rapid.Float64Range(0.2, 12).Draw(t, "asked")
			cost[i] = rapid.Float64Range(0.002, 0.05).Draw(t, "cost")
			s.weigh(&members[i], weights[i])
		}
		got, room, next := make([]float64, n), 0.0, make([]float64, n)
		for { // the team whose request is due first asks
			i := 0
			for j := range next {
				if next[j] < next[i] {
					i = j
				}
			}
			if next[i] > span {
				break
			}
			s.advance(seconds(next[i]), rate)
			if s.wait(&members[i], rate) == 0 {
				s.charge(&members[i], rate, cost[i])
				got[i] += cost[i]
			}
			next[i] += cost[i] / asked[i]
		}
		want := maxMin(rate, weights, asked)
		var sum, squares, used, due float64
		for i := range members {
			room += members[i].room(rate) + cost[i]
		}
		for i := range members {
			if d := math.Abs(got[i]/span - want[i]); d > room/span+0.01 {
				t.Errorf("team %d gets %.3f of %.1f, max-min gives %.3f (weights %.2f, asked %.2f)", i, got[i]/span, rate, want[i], weights, asked)
			}
			x := got[i] / span / want[i]
			sum, squares, used, due = sum+x, squares+x*x, used+got[i]/span, due+want[i]
		}
		if jain := sum * sum / (float64(n) * squares); jain < 0.97 {
			t.Errorf("Jain's index is %.4f", jain)
		}
		if used < due-0.02*rate {
			t.Errorf("%.3f of %.1f is used, %.3f is asked for and there", used, rate, due)
		}
	})
}

// Over any span no more than a burst and the rate's worth conforms; what keeps
// the rate always does; and what waits as long as it is told to conforms.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(0.5, 500).Draw(t, "rate"), float64(rapid.IntRange(1, 50).Draw(t, "burst"))
		l, g := newLimit(rate, burst), gcra{}
		var taken []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.Float64Range(0, 3/rate*1e9).Draw(t, "gap"))
			wait := g.wait(now, l, 1)
			if wait > 0 {
				if early := g.wait(now+wait-2, l, 1); early == 0 {
					t.Fatalf("it conforms before the %v that it is told to wait", wait)
				}
				if late := g.wait(now+wait, l, 1); late > 0 {
					t.Fatalf("after the %v that it is told to wait it has to wait %v", wait, late)
				}
				continue
			}
			g.charge(now, l, 1)
			taken = append(taken, now)
		}
		for i := range taken {
			for j := i; j < len(taken); j++ {
				if most := burst + rate*(taken[j]-taken[i]).Seconds() + 1e-6; float64(j-i+1) > most+1e-3*most {
					t.Fatalf("%d conform in %v, %.2f may", j-i+1, taken[j]-taken[i], most)
				}
			}
		}
	})
}

func calls(rate, burst, work float64) []CallLimits {
	return []CallLimits{{Classes: AllClasses, Rate: rate, Burst: burst, Work: work}}
}

// After a pause of the process, however long, a burst is let out and no more;
// time that runs backwards lets out nothing.
func TestPause(t *testing.T) {
	b := New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Calls: calls(10, 5, 0)}}})
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
			t.Errorf("at %v %d are let out, want %d", step.now, n, step.want)
		}
	}
}

// A rate is over both requests and work, over all classes of the call, and the
// refused are told when they would conform.
func TestLimits(t *testing.T) {
	b := New(0, Terms{Classes: 2, Contracts: []Contract{{Team: "a", Calls: calls(1000, 1000, 2)}}})
	n := 0
	for {
		_, v := b.Admit(0, "a", n%2, 0.1)
		if v.Outcome != Admitted {
			if v.Outcome != OverRate || v.RetryAfter <= 0 || v.RetryAfter > 51*time.Millisecond {
				t.Errorf("verdict %+v, want one over the rate for 50 ms", v)
			}
			break
		}
		n++
	}
	if n != 20 { // a second's worth
		t.Errorf("%d requests of 0.1 s conform to 2 s a second", n)
	}
	if _, v := b.Admit(10*time.Second, "a", 0, 7); v.Outcome != Admitted {
		t.Error("a request dearer than a burst is shut out for good")
	}
	if _, v := b.Admit(11*time.Second, "a", 0, 0.1); v.Outcome != OverRate || v.RetryAfter < time.Second {
		t.Errorf("what the dear request owes is forgotten: %+v", v)
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
			t.Errorf("team %.20q, class %d: %d, want %d", team, class, v.Outcome, want)
		}
	}
	check("a", 1, Admitted)
	check("a", 0, NotAllowed)
	check("a", 64, NotAllowed)
	check("a", -1, NotAllowed)
	check("none", 1, NotAllowed)
	check("stranger", 1, NotAllowed)
	terms.Uncontracted = &Contract{Calls: calls(1, 3, 0)}
	b.Replace(0, terms)
	check("none", 1, NotAllowed) // a contract without the call is no want of a contract
	check("", 0, Admitted)
	check("stranger", 1, Admitted)
	check(strings.Repeat("x", 300), 1, Admitted)
	check("another", 1, OverRate) // they are one
}

// Nothing that a request brings makes an entry, and a verdict allocates nothing.
func TestBounds(t *testing.T) {
	terms := threeTeams()
	terms.Uncontracted = &Contract{Share: 0.01, Calls: calls(100, 10, 0)}
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
		t.Errorf("%v allocations a verdict", allocs)
	}
	if len(b.teams) != 3 || len(b.shares.busy) > 4 {
		t.Errorf("there are %d teams and %d busy ones", len(b.teams), len(b.shares.busy))
	}
}

// Retries are charged to the team that caused them, and one team's can't be
// spent by another.
func TestRetries(t *testing.T) {
	b := New(0, *threeTeams())
	ticket, _ := b.Admit(0, "a", 0, 0.01)
	n := 0
	for b.AdmitRetry(0, &ticket) {
		n++
	}
	if n != int(retryBurst) {
		t.Errorf("team a made %d attempts more, it has %v saved up", n, retryBurst)
	}
	other, _ := b.Admit(0, "b", 0, 0.01)
	if !b.AdmitRetry(0, &other) {
		t.Error("team b has no attempt left after those of team a")
	}
	b.AttemptEnded(0, &ticket, true, Declined, 0, 0)
	if !b.AdmitRetry(0, &ticket) {
		t.Error("an attempt that never ran was not given back")
	}
	for range 5 {
		b.Admit(0, "a", 0, 0.01)
	}
	if !b.AdmitRetry(0, &ticket) || b.AdmitRetry(0, &ticket) {
		t.Error("five requests do not earn one attempt")
	}
}

// What never ran gives its charge back, in work and share; what ran does not,
// and neither does what asked and was turned away on its rate.
func TestWaste(t *testing.T) {
	for ending, back := range map[AttemptResult]bool{Answered: false, TimedOut: false, Failed: false, Declined: true, NotRun: true} {
		b := New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Share: 1, Calls: calls(0, 0, 1)}}})
		b.capacity.tight, b.capacity.estimate = true, 1
		ticket, _ := b.Admit(0, "a", 0, 0.8)
		a := b.teams["a"]
		if a.calls[0].work.next != 800*time.Millisecond || b.shares.queued(&a.share) < 0.79 {
			t.Fatalf("the charge is %v and %v", a.calls[0].work.next, b.shares.queued(&a.share))
		}
		b.AttemptEnded(0, &ticket, false, ending, time.Millisecond, time.Second)
		if got := a.calls[0].work.next == 0 && b.shares.queued(&a.share) == 0; got != back {
			t.Errorf("ending %d: the charge given back %v, want %v", ending, got, back)
		}
		if b.capacity.out != 0 || b.capacity.attempts != 0 {
			t.Errorf("ending %d: %v of work counts as out", ending, b.capacity.out)
		}
	}
	b := New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Calls: calls(1, 1, 0)}}})
	ticket, _ := b.Admit(0, "a", 0, 0)
	b.Withdraw(0, &ticket, true)
	if _, v := b.Admit(0, "a", 0, 0); v.Outcome != OverRate {
		t.Error("a request that was turned away later did not count as asked")
	}
	b = New(0, Terms{Classes: 1, Contracts: []Contract{{Team: "a", Calls: calls(1, 1, 0)}}})
	ticket, _ = b.Admit(0, "a", 0, 0)
	b.Withdraw(0, &ticket, false)
	if _, v := b.Admit(0, "a", 0, 0); v.Outcome != Admitted {
		t.Error("a request that never came whole counts as asked")
	}
}

// A reload lets out no burst, keeps the standing of teams, and what is open of a
// team that has gone changes nothing. Two hundred in a row leave no trace.
func TestReplace(t *testing.T) {
	now := time.Duration(0)
	b := New(now, Terms{Classes: 2, Contracts: []Contract{
		{Team: "a", Share: 0.6, Calls: calls(10, 5, 0)}, {Team: "b", Share: 0.4, Calls: calls(0, 0, 1)}}})
	b.capacity.tight, b.capacity.estimate = true, 4
	for range 5 {
		b.Admit(now, "a", 0, 0.1)
	}
	open, _ := b.Admit(now, "b", 0, 0.1)
	queued := b.shares.queued(&b.teams["a"].share)
	b.Replace(now, Terms{Classes: 2, Contracts: []Contract{
		{Team: "a", Share: 0.3, Calls: []CallLimits{{Classes: 1, Rate: 10, Burst: 5}, {Classes: 2, Rate: 1, Burst: 1}}}}})
	if got := b.shares.queued(&b.teams["a"].share); math.Abs(got-queued) > 1e-9 {
		t.Errorf("team a has %v queued, it had %v", got, queued)
	}
	if _, v := b.Admit(now, "a", 0, 0.1); v.Outcome != OverRate {
		t.Errorf("the reload let out a burst: %+v", v)
	}
	if _, v := b.Admit(now, "a", 1, 0.1); v.Outcome != OverRate {
		t.Errorf("class 1 was within the old call, and begins anew: %+v", v)
	}
	if _, v := b.Admit(now, "b", 0, 0.1); v.Outcome != NotAllowed {
		t.Errorf("team b has gone: %+v", v)
	}
	weight := b.shares.weight
	b.AdmitRetry(now, &open)
	b.AttemptEnded(now, &open, true, NotRun, 0, 0)
	b.AttemptEnded(now, &open, false, NotRun, 0, 0)
	if b.shares.weight != weight || len(b.shares.busy) != 1 {
		t.Error("what is open of a team that has gone counts in the shares")
	}
	for i := range 200 {
		terms := threeTeams()
		if i%2 == 0 {
			terms.Contracts = terms.Contracts[:1]
			terms.Uncontracted = &Contract{Calls: calls(1, 1, 1)}
		}
		b.Replace(now, *terms)
		b.Admit(now, "b", 0, 0.1)
		b.Admit(now, "a", 0, 0.1)
		now += time.Millisecond
	}
	if len(b.teams) != 3 || len(b.shares.busy) > 3 {
		t.Errorf("after 200 reloads there are %d teams and %d busy", len(b.teams), len(b.shares.busy))
	}
}

// Any calls in any order keep the state finite and the counts true.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(0, *threeTeams())
		now := time.Duration(0)
		type attempt struct {
			ticket Ticket
			again  bool
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
					t.Fatalf("refused with nothing to wait for: %+v", v)
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
					b.AttemptEnded(now, &open[i].ticket, open[i].again, e, time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "elapsed")), time.Second)
					open = append(open[:i], open[i+1:]...)
				}
			},
			"": func(t *rapid.T) {
				if int(b.capacity.attempts) != len(open) {
					t.Fatalf("%v attempts count as out, %d are", b.capacity.attempts, len(open))
				}
				for _, x := range []float64{b.capacity.out, b.shares.virtual, b.shares.weight, b.capacity.usual.value, b.capacity.aim.value} {
					if math.IsNaN(x) || math.IsInf(x, 0) || x < -1e-9 {
						t.Fatalf("the state has %v: %+v %+v", x, b.capacity, b.shares)
					}
				}
				if r := b.capacity.rate(); math.IsNaN(r) || r <= 0 {
					t.Fatalf("the rate is %v", r)
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
				terms.Contracts = append(terms.Contracts, Contract{Team: names[i], Share: 1 / float64(n), Calls: calls(1e6, 1e6, 1e6)})
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

// BenchmarkContracts tells the memory of a contract, by the bytes allocated.
func BenchmarkContracts(b *testing.B) {
	terms := Terms{Classes: 1}
	for i := range 10000 {
		terms.Contracts = append(terms.Contracts, Contract{Team: fmt.Sprint("team-", i), Share: 1e-4, Calls: calls(1, 1, 1)})
	}
	b.ReportAllocs()
	for b.Loop() {
		New(0, terms)
	}
}

// Where there is too little capacity it is told by what that is known.
func TestShortageTellsWhy(t *testing.T) {
	terms := Terms{Classes: 1, Uncontracted: &Contract{Share: 1, Calls: []CallLimits{{Classes: AllClasses}}}}
	crowded, queued := New(0, terms), New(0, terms)
	for range int(coldCrowd) {
		crowded.Admit(0, "nobody", 0, 0.01)
	}
	var tickets []Ticket
	for range int(enough) {
		ticket, _ := queued.Admit(0, "nobody", 0, 0.01)
		tickets = append(tickets, ticket)
	}
	if s, short := queued.Shortage(); short {
		t.Errorf("%+v before anything is answered", s)
	}
	queued.AttemptEnded(10*time.Millisecond, &tickets[0], false, Answered, 10*time.Millisecond, time.Second)
	for i := range tickets[1:] {
		queued.AttemptEnded(900*time.Millisecond, &tickets[1+i], false, TimedOut, 900*time.Millisecond, time.Second)
	}
	next := New(0, terms)
	next.Restore(0, queued.Snapshot(time.Second), []int{0})
	for want, b := range map[Cause]*Broker{ExcessInFlight: crowded, Queued: queued, HandedOver: next} {
		if s, short := b.Shortage(); !short || s.Cause != want || s.Estimate <= 0 || s.AdmitRate <= 0 {
			t.Errorf("%v: %v %+v", want, short, s)
		}
	}
	if s, _ := crowded.Shortage(); s.InFlight != int(coldCrowd) || s.InFlightWork < 0.9 {
		t.Errorf("%+v of %v attempts", s, coldCrowd)
	}
}
