package overload

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// processor is a queue in front of a processor of constant speed: an admitted request takes the
// full cost, a refused one a fraction of it. The delay is observed every 10 ms.
type processor struct {
	shedder     *Shedder
	now         time.Duration
	queue       float64 // seconds of work
	cost        float64 // seconds for an admitted request
	refusalCost float64 // fraction of cost for a refused one
	random      func() float64
}

// run sends requests of two ranks at the given rates per second, and returns how many of each
// arrived and were admitted.
func (p *processor) run(duration time.Duration, rates [2]float64) (arrived, admitted [2]float64) {
	ranks := [2]int{Rank(1), Rank(3)}
	var due [2]float64
	for end := p.now + duration; p.now < end; p.now += 10 * ms {
		p.shedder.ObserveDelay(p.now, time.Duration(p.queue*float64(time.Second)))
		shedding, _ := p.shedder.Shedding()
		for i, rate := range rates {
			for due[i] += rate / 100; due[i] >= 1; due[i]-- {
				arrived[i]++
				admit := true
				if shedding {
					admit, _ = p.shedder.Admit(ranks[i], p.random())
				}
				if admit {
					admitted[i]++
					p.queue += p.cost
				} else {
					p.queue += p.cost * p.refusalCost
				}
			}
		}
		p.queue = math.Max(p.queue-0.010, 0)
	}
	return arrived, admitted
}

func newProcessor() *processor {
	seed := uint64(1)
	return &processor{shedder: New(0, DefaultSettings), cost: 0.0002, refusalCost: 0.05, random: func() float64 {
		seed = seed*6364136223846793005 + 1442695040888963407
		return float64(seed>>11) / (1 << 53)
	}}
}

// At four times the capacity of the processor the requests worth most are admitted, the processor
// is used, and the queue stays short; afterwards everything is admitted again.
func TestOverloadAndRecovery(t *testing.T) {
	p := newProcessor() // 5,000 per second
	if arrived, admitted := p.run(5*time.Second, [2]float64{3000, 800}); admitted != arrived {
		t.Errorf("without overload %v of %v are admitted", admitted, arrived)
	}
	p.run(3*time.Second, [2]float64{17000, 3000})
	arrived, admitted := p.run(5*time.Second, [2]float64{17000, 3000})
	if admitted[1] < 0.95*arrived[1] {
		t.Errorf("of the rank worth most %v of %v are admitted", admitted[1], arrived[1])
	}
	if all := admitted[0] + admitted[1]; all < 0.75*5*5000 {
		t.Errorf("%v are admitted, the processor can serve %v less the refusals", all, 5*5000)
	}
	if p.queue > 0.1 {
		t.Errorf("the queue is %.3f s long, want at most 0.1 s", p.queue)
	}
	p.run(10*time.Second, [2]float64{3000, 800})
	if arrived, admitted := p.run(time.Second, [2]float64{3000, 800}); admitted != arrived {
		t.Errorf("after the overload %v of %v are admitted", admitted, arrived)
	}
	if shedding, _ := p.shedder.Shedding(); shedding {
		t.Error("load is still shed after the overload")
	}
}

// Short bursts and a pause of the whole process cause next to no refusals.
func TestBurstsAndPauses(t *testing.T) {
	p := newProcessor()
	for range 20 {
		p.run(10*ms, [2]float64{15000, 0})
		p.run(290*ms, [2]float64{1000, 0})
	}
	if shedding, _ := p.shedder.Shedding(); shedding {
		t.Error("bursts of 10 ms cause load shedding")
	}
	p.now += 5 * time.Second
	p.shedder.ObserveDelay(p.now, 5*time.Second)
	if p.shedder.AdmitFraction() < minFactor {
		t.Errorf("after a pause the fraction admitted is %v", p.shedder.AdmitFraction())
	}
	p.run(time.Second, [2]float64{1000, 0})
	if p.shedder.AdmitFraction() < 1 {
		t.Errorf("a second after a pause the fraction admitted is %v", p.shedder.AdmitFraction())
	}
}

// A rank without recent requests is admitted no more than the next higher one, which may have next
// to no capacity. Otherwise, in an overload, its first requests would be preferred to those worth
// more.
func TestRankWithoutRequests(t *testing.T) {
	s := New(0, DefaultSettings)
	s.admitFraction = minAdmitFraction
	s.arrivals[3], s.arrivals[1] = 1, 100
	s.arrivals[2] = 90
	s.updateRanks()
	if s.rankFraction[0] > s.rankFraction[1] || s.rankFraction[1] > s.rankFraction[2] || s.rankFraction[2] > s.rankFraction[3] {
		t.Errorf("ranks 0 to 3 have the fractions %v, want them ascending", s.rankFraction[:4])
	}
	s.arrivals[1] = 0
	s.arrivals[2] = 1000
	s.updateRanks()
	if s.rankFraction[1] > s.rankFraction[2] {
		t.Errorf("rank 1, without requests, has the fraction %v, rank 2 has %v", s.rankFraction[1], s.rankFraction[2])
	}
}

// With any delays and ranks the admitted fraction stays in its bounds, a higher rank is admitted
// no less than a lower one, a refusal has a bounded retry delay, and intervals without delay end
// shedding.
func TestShedderInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(0, DefaultSettings)
		now := time.Duration(0)
		delay := rapid.Int64Range(-1, int64(time.Second))
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			s.ObserveDelay(now, time.Duration(delay.Draw(t, "delay")))
			for range 5 {
				admitted, retryAfter := s.Admit(rapid.IntRange(-2, RankCount+2).Draw(t, "rank"), rapid.Float64Range(0, 0.999999).Draw(t, "random"))
				if !admitted && !(retryAfter >= 0 && retryAfter <= maxRetryAfter) {
					t.Fatalf("retry delay %v, want 0 to the maximum", retryAfter)
				}
			}
			if !(s.admitFraction >= minAdmitFraction && s.admitFraction <= 1) {
				t.Fatalf("admitted fraction %v", s.admitFraction)
			}
			for i := range RankCount - 1 {
				if !(s.rankFraction[i] >= 0 && s.rankFraction[i] <= 1) || s.rankFraction[i] > s.rankFraction[i+1] {
					t.Fatalf("rank %d has the fraction %v, the next has %v", i, s.rankFraction[i], s.rankFraction[i+1])
				}
			}
		}
		for range 10 * int(1/increaseRate) {
			now += DefaultSettings.Interval
			s.ObserveDelay(now, 0)
		}
		if shedding, _ := s.Shedding(); shedding || s.admitFraction != 1 {
			t.Fatalf("shedding %v, admitted fraction %v", shedding, s.admitFraction)
		}
	})
}

func TestSettings(t *testing.T) {
	for _, s := range []Settings{{}, {Target: ms}, {Target: 2 * time.Second, Interval: 5 * time.Second}, {Target: 100 * ms, Interval: 150 * ms}, {Target: ms, Interval: time.Minute}} {
		if s.Validate() == nil {
			t.Errorf("%+v is valid, want an error", s)
		}
	}
	if err := DefaultSettings.Validate(); err != nil {
		t.Error(err)
	}
}

func BenchmarkAdmit(b *testing.B) {
	shedder := New(0, DefaultSettings)
	shedder.ObserveDelay(time.Second, time.Second)
	for i := 0; b.Loop(); i++ {
		shedder.Admit(i%RankCount, 0.5)
	}
}
