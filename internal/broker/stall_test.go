package broker

import (
	"testing"
	"time"
)

// fastService answers any number of requests in about 1.5 ms, and clients without a contract send
// it 400 requests per second of two classes without hints of their work.
type fastService struct {
	*simulation
	target            time.Duration
	requests, refused int
}

func newFastService(t *testing.T, seed uint64, begins, target time.Duration) *fastService {
	terms := &Terms{Classes: 2, Uncontracted: &Contract{Share: 1, Calls: []CallLimits{{Classes: AllClasses}}}}
	f := &fastService{simulation: newSimulation(t, seed, terms, 0), target: target}
	f.scheduleRequests(0, 300, begins)
	f.scheduleRequests(1, 100, begins)
	return f
}

// scheduleRequests sends requests of a class from a given time on.
func (f *fastService) scheduleRequests(class int, rate float64, from time.Duration) {
	due := from + seconds(f.rng.ExpFloat64()/rate)
	f.at(due, func() {
		f.request(class)
		f.scheduleRequests(class, rate, due)
	})
}

func (f *fastService) request(class int) {
	f.requests++
	ticket, v := f.broker.Admit(f.now, "nobody", class, 0)
	if v.Outcome != Admitted {
		f.refused++
		return
	}
	sent := f.now
	f.at(sent+seconds(0.0015+0.001*f.rng.ExpFloat64()), func() {
		f.broker.AttemptEnded(f.now, &ticket, false, Answered, f.now-sent, f.target)
	})
}

// Clients send little for a while, and then a burst: the low demand before says nothing of the
// capacity.
func TestBurstAfterLull(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newFastService(t, seed, 0, 4*time.Second)
		f.run(2 * time.Second)
		f.events = nil
		f.scheduleRequests(0, 12, f.now)
		f.run(5 * time.Second)
		for range 400 {
			f.request(0)
		}
		if f.run(8 * time.Second); f.refused > 0 {
			t.Errorf("%d of %d requests were refused", f.refused, f.requests)
		}
	})
}

// A sidecar has been up for a while when its first clients arrive, first a few and then many at
// once: the lack of demand before says nothing of the capacity.
func TestBurstAfterIdleStart(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		for idle := 500 * time.Millisecond; idle < 2*time.Second; idle += 100 * time.Millisecond {
			f := newFastService(t, seed, idle, 4*time.Second)
			f.run(idle + 50*time.Millisecond)
			for range 60 {
				f.request(0)
			}
			if f.run(10 * time.Second); f.refused > 0 {
				t.Errorf("%d of %d requests were refused, the first %v after the start", f.refused, f.requests, idle)
			}
		}
	})
}

// The process stalls while its first requests are in flight, so the first answer of a class
// without hints is read late. Requests of the class must not count as that expensive from then on.
func TestFirstAnswerReadLate(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		for after := range 20 {
			f := newFastService(t, seed, 0, 4*time.Second)
			f.run(time.Duration(after) * 2 * time.Millisecond)
			f.stall(f.now + 100*time.Millisecond)
			if f.run(f.now + time.Second); f.broker.meanWork[0].value > 0.01 || f.broker.meanWork[1].value > 0.01 {
				t.Errorf("the work of requests of 2 ms is estimated at %v after a stall %d ms after the first request", f.broker.meanWork, 2*after)
			}
		}
	})
}

// The process stalls at any moment of its first traffic, or repeatedly, and is notified when it
// resumes: nothing is refused, however much was sent meanwhile.
func TestProcessStall(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		for _, target := range []time.Duration{400 * time.Millisecond, 4 * time.Second} {
			for _, pause := range []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, time.Second} {
				for after := range 20 {
					f := newFastService(t, seed, 500*time.Millisecond, target)
					f.run(500*time.Millisecond + time.Duration(after)*5*time.Millisecond)
					for range 4 {
						f.stallAndReport(pause)
						f.run(f.now + time.Duration(1+10*after)*time.Millisecond)
					}
					if f.run(f.now + 300*time.Millisecond); f.refused > 0 {
						t.Errorf("%d of %d requests were refused with stalls of %v, %d ms after the first request", f.refused, f.requests, pause, 5*after)
					}
				}
			}
		}
	})
}

// stallAndReport stalls the process and reports it before the first event after the stall.
func (f *fastService) stallAndReport(pause time.Duration) {
	until := f.now + pause
	f.at(f.now+1, func() { f.broker.ProcessStalled(until) })
	f.stall(until)
}

// Shares are enforced when the process begins to stall continually: within seconds requests are no
// longer refused for what was known before.
func TestStallDuringShortage(t *testing.T) {
	b := New(0, Terms{Classes: 1, Uncontracted: &Contract{Share: 1, Calls: []CallLimits{{Classes: AllClasses}}}})
	b.capacity.estimate = 0.1
	b.capacity.declareShortage(Queued)
	for now := time.Duration(0); now < 3*time.Second; now += 40 * time.Millisecond {
		b.ProcessStalled(now)
		_, v := b.Admit(now, "nobody", 0, 0.01)
		if refused := v.Outcome != Admitted; refused && now > 2*time.Second+40*time.Millisecond {
			t.Fatalf("refused after %v", now)
		}
	}
}

// Attempts in flight since before a stall do not count as a queue once the first window of later
// attempts has been judged.
func TestInFlightAcrossStall(t *testing.T) {
	const ms = time.Millisecond
	b := New(0, Terms{Classes: 1, Uncontracted: &Contract{Share: 1, Calls: []CallLimits{{Classes: AllClasses}}}})
	b.ProcessStalled(ms)
	for range 400 {
		b.Admit(2*ms, "nobody", 0, 0.02)
	}
	b.ProcessStalled(100 * ms)
	for now := 110 * ms; now < 300*ms; now += 10 * ms {
		ticket, v := b.Admit(now, "nobody", 0, 0.02)
		if v.Outcome != Admitted || b.capacity.tight {
			t.Fatalf("capacity is short after %v: %+v", now, b.capacity)
		}
		b.AttemptEnded(now+2*ms, &ticket, false, Answered, 2*ms, 4*time.Second)
	}
}

// Shares are enforced, and the process stalls with much work in flight. This is no queue at the
// service, so nothing within the known capacity is refused afterwards.
func TestInFlightAcrossStallDuringShortage(t *testing.T) {
	const ms = time.Millisecond
	b := New(0, Terms{Classes: 1, Uncontracted: &Contract{Share: 1, Calls: []CallLimits{{Classes: AllClasses}}}})
	for range 100 {
		b.Admit(ms, "nobody", 0, 0.02)
	}
	b.capacity.estimate = 1
	b.capacity.declareShortage(Queued)
	b.ProcessStalled(400 * ms)
	for now := 410 * ms; now < 3*time.Second; now += 25 * ms { // 0.8 s of work per second
		ticket, v := b.Admit(now, "nobody", 0, 0.02)
		if v.Outcome != Admitted {
			t.Fatalf("refused after %v: %+v", now, b.capacity)
		}
		b.AttemptEnded(now+20*ms, &ticket, false, Answered, 20*ms, 4*time.Second)
	}
}

// In the first moments of a sidecar few answers are read and many requests are sent: this is no
// shortage if the attempts in flight are answered while the burst is recent.
func TestRecentBurstIsNoShortage(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newFastService(t, seed, 0, 4*time.Second)
		f.events = nil
		for range 10 { // answered after 0.2 s
			f.request(0)
			f.run(f.now + 20*time.Millisecond)
		}
		for range 300 {
			f.request(0)
		}
		if f.run(f.now + time.Second); f.refused > 0 {
			t.Errorf("%d of %d requests were refused", f.refused, f.requests)
		}
	})
}

// However much the capacity is underestimated, a service that answers at once serves the whole
// demand after a few seconds.
func TestCapacityUnderestimated(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		for _, work := range []float64{0.002, 0.02, 0.2, 2} {
			f := newFastService(t, seed, 0, 4*time.Second)
			f.broker.meanWork[0], f.broker.meanWork[1] = mean{work, 1}, mean{work, 1}
			f.broker.capacity.estimate = minRate
			f.broker.capacity.declareShortage(Queued)
			f.run(5 * time.Second)
			f.requests, f.refused = 0, 0
			if f.run(10 * time.Second); f.refused > 0 {
				t.Errorf("%d of %d requests of %v s of work were refused from 5 to 10 s", f.refused, f.requests, work)
			}
		}
	})
}
