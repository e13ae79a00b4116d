package overload

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// processor is a queue before a processor of a fixed speed: what is let in takes 1, what is
// refused a part of that. Its delay is told every 10 ms.
type processor struct {
	b       *Shedder
	now     time.Duration
	queue   float64 // seconds of work
	cost    float64 // seconds for a request that is let in
	refusal float64 // of that, for one that is not
	random  func() float64
}

// run has requests of two ranks come, so many a second, and returns how many of each came
// and were let in.
func (p *processor) run(lasts time.Duration, rates [2]float64) (came, let [2]float64) {
	ranks := [2]int{Rank(1), Rank(3)}
	var due [2]float64
	for end := p.now + lasts; p.now < end; p.now += 10 * ms {
		p.b.ObserveDelay(p.now, time.Duration(p.queue*float64(time.Second)))
		on, _ := p.b.Shedding()
		for i, rate := range rates {
			for due[i] += rate / 100; due[i] >= 1; due[i]-- {
				came[i]++
				in := true
				if on {
					in, _ = p.b.Admit(ranks[i], p.random())
				}
				if in {
					let[i]++
					p.queue += p.cost
				} else {
					p.queue += p.cost * p.refusal
				}
			}
		}
		p.queue = math.Max(p.queue-0.010, 0)
	}
	return came, let
}

func newProcessor() *processor {
	seed := uint64(1)
	return &processor{b: New(0, DefaultSettings), cost: 0.0002, refusal: 0.05, random: func() float64 {
		seed = seed*6364136223846793005 + 1442695040888963407
		return float64(seed>>11) / (1 << 53)
	}}
}

// At four times what the processor can do the worthiest are let in, the processor is used,
// and the queue stays short; afterwards all are let in again.
func TestOverloadAndBack(t *testing.T) {
	p := newProcessor() // 5,000 a second
	if came, let := p.run(5*time.Second, [2]float64{3000, 800}); let != came {
		t.Errorf("with room %v of %v are let in", let, came)
	}
	p.run(3*time.Second, [2]float64{17000, 3000})
	came, let := p.run(5*time.Second, [2]float64{17000, 3000})
	if let[1] < 0.95*came[1] {
		t.Errorf("of what is worth most %v of %v is let in", let[1], came[1])
	}
	if all := let[0] + let[1]; all < 0.75*5*5000 {
		t.Errorf("%v are let in, and the processor can do %v beside refusals", all, 5*5000)
	}
	if p.queue > 0.1 {
		t.Errorf("the queue is %.3f s long", p.queue)
	}
	p.run(10*time.Second, [2]float64{3000, 800})
	if came, let := p.run(time.Second, [2]float64{3000, 800}); let != came {
		t.Errorf("afterwards %v of %v are let in", let, came)
	}
	if on, _ := p.b.Shedding(); on {
		t.Error("the brake is on still")
	}
}

// A burst that is worked off, and a pause of the whole process, refuse next to nothing.
func TestBurstsAndPauses(t *testing.T) {
	p := newProcessor()
	for range 20 {
		p.run(10*ms, [2]float64{15000, 0})
		p.run(290*ms, [2]float64{1000, 0})
	}
	if on, _ := p.b.Shedding(); on {
		t.Error("bursts of 10 ms that are worked off put the brake on")
	}
	p.now += 5 * time.Second
	p.b.ObserveDelay(p.now, 5*time.Second)
	if p.b.AdmitFraction() < cut {
		t.Errorf("a pause left a level of %v", p.b.AdmitFraction())
	}
	p.run(time.Second, [2]float64{1000, 0})
	if p.b.AdmitFraction() < 1 {
		t.Errorf("a second after a pause the level is %v", p.b.AdmitFraction())
	}
}

// A rank that nobody came of is let in no more than one above it that has next to no room:
// in an overload the first of it would go before the worthier ones.
func TestRankNobodyCameOfDoesNotPassTheNext(t *testing.T) {
	b := New(0, DefaultSettings)
	b.level = least
	b.came[3], b.came[1] = 1, 100
	b.came[2] = 90
	b.divide()
	if b.let[0] > b.let[1] || b.let[1] > b.let[2] || b.let[2] > b.let[3] {
		t.Errorf("ranks 0 to 3 are let in for %v", b.let[:4])
	}
	b.came[1] = 0
	b.came[2] = 1000
	b.divide()
	if b.let[1] > b.let[2] {
		t.Errorf("rank 1, of which nobody came, is let in for %v, rank 2 for %v", b.let[1], b.let[2])
	}
}

// Whatever delays come, and whatever ranks: the level stays in its bounds, a worthier rank
// is let in no less than one that came beside it, a time to come back is told and bounded,
// and quiet intervals end the brake.
func TestBrakeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(0, DefaultSettings)
		now := time.Duration(0)
		delay := rapid.Int64Range(-1, int64(time.Second))
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			b.ObserveDelay(now, time.Duration(delay.Draw(t, "delay")))
			for range 5 {
				in, again := b.Admit(rapid.IntRange(-2, RankCount+2).Draw(t, "rank"), rapid.Float64Range(0, 0.999999).Draw(t, "random"))
				if !in && !(again >= 0 && again <= longestRetry) {
					t.Fatalf("come back after %v", again)
				}
			}
			if !(b.level >= least && b.level <= 1) {
				t.Fatalf("level %v", b.level)
			}
			for i := range RankCount - 1 {
				if !(b.let[i] >= 0 && b.let[i] <= 1) || b.let[i] > b.let[i+1] {
					t.Fatalf("rank %d is let in for %v, the next for %v", i, b.let[i], b.let[i+1])
				}
			}
		}
		for range 10 * int(1/rise) {
			now += DefaultSettings.Interval
			b.ObserveDelay(now, 0)
		}
		if on, _ := b.Shedding(); on || b.level != 1 {
			t.Fatalf("the brake is on %v, level %v", on, b.level)
		}
	})
}

func TestSettings(t *testing.T) {
	for _, s := range []Settings{{}, {Target: ms}, {Target: 2 * time.Second, Interval: 5 * time.Second}, {Target: 100 * ms, Interval: 150 * ms}, {Target: ms, Interval: time.Minute}} {
		if s.Validate() == nil {
			t.Errorf("%+v is taken", s)
		}
	}
	if err := DefaultSettings.Validate(); err != nil {
		t.Error(err)
	}
}

func BenchmarkLet(b *testing.B) {
	brake := New(0, DefaultSettings)
	brake.ObserveDelay(time.Second, time.Second)
	for i := 0; b.Loop(); i++ {
		brake.Admit(i%RankCount, 0.5)
	}
}
