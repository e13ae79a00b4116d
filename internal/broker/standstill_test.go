package broker

import (
	"testing"
	"time"
)

// roomy is a service that answers at once whatever comes, in 1.5 ms and some, and strangers
// who ask for 400 requests a second of two classes without hints of their work.
type roomy struct {
	*simulation
	aim            time.Duration
	asked, refused int
}

func newRoomy(t *testing.T, seed uint64, begins, aim time.Duration) *roomy {
	terms := &Terms{Classes: 2, Uncontracted: &Contract{Share: 1, Calls: []CallLimits{{Classes: AllClasses}}}}
	r := &roomy{simulation: newSimulation(t, seed, terms, 0), aim: aim}
	r.sends(0, 300, begins)
	r.sends(1, 100, begins)
	return r
}

// sends has requests of a class sent from a time on.
func (r *roomy) sends(class int, rate float64, from time.Duration) {
	due := from + seconds(r.rng.ExpFloat64()/rate)
	r.at(due, func() {
		r.request(class)
		r.sends(class, rate, due)
	})
}

func (r *roomy) request(class int) {
	r.asked++
	ticket, v := r.broker.Admit(r.now, "nobody", class, 0)
	if v.Outcome != Admitted {
		r.refused++
		return
	}
	sent := r.now
	r.at(sent+seconds(0.0015+0.001*r.rng.ExpFloat64()), func() {
		r.broker.AttemptEnded(r.now, &ticket, false, Answered, r.now-sent, r.aim)
	})
}

// Clients ask for little for a while, and then for more at once: that little was asked for
// tells nothing of the service.
func TestBurstAfterLull(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		r := newRoomy(t, seed, 0, 4*time.Second)
		r.run(2 * time.Second)
		r.events = nil
		r.sends(0, 12, r.now)
		r.run(5 * time.Second)
		for range 400 {
			r.request(0)
		}
		if r.run(8 * time.Second); r.refused > 0 {
			t.Errorf("%d of %d requests were refused", r.refused, r.asked)
		}
	})
}

// A sidecar has been up for a while before its first clients come, a few and then many at
// once: that nobody asked before tells nothing of the service.
func TestBurstAfterIdleStart(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		for idle := 500 * time.Millisecond; idle < 2*time.Second; idle += 100 * time.Millisecond {
			r := newRoomy(t, seed, idle, 4*time.Second)
			r.run(idle + 50*time.Millisecond)
			for range 60 {
				r.request(0)
			}
			if r.run(10 * time.Second); r.refused > 0 {
				t.Errorf("%d of %d requests were refused, the first %v after the start", r.refused, r.asked, idle)
			}
		}
	})
}

// The first answer of a class without hints is read late, as the process stands still while
// the first requests are out: the class does not count as that dear from then on.
func TestFirstAnswerReadLate(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		for after := range 20 {
			r := newRoomy(t, seed, 0, 4*time.Second)
			r.run(time.Duration(after) * 2 * time.Millisecond)
			r.stall(r.now + 100*time.Millisecond)
			if r.run(r.now + time.Second); r.broker.work[0].value > 0.01 || r.broker.work[1].value > 0.01 {
				t.Errorf("the work of requests of 2 ms is taken for %v after a pause, %d ms after the first", r.broker.work, 2*after)
			}
		}
	})
}

// The process stands still at any moment of its first traffic, or over and over, and is told
// of it as it goes on: nothing is refused, however much was sent meanwhile.
func TestHeldUp(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		for _, aim := range []time.Duration{400 * time.Millisecond, 4 * time.Second} {
			for _, pause := range []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, time.Second} {
				for after := range 20 {
					r := newRoomy(t, seed, 500*time.Millisecond, aim)
					r.run(500*time.Millisecond + time.Duration(after)*5*time.Millisecond)
					for range 4 {
						r.heldUp(pause)
						r.run(r.now + time.Duration(1+10*after)*time.Millisecond)
					}
					if r.run(r.now + 300*time.Millisecond); r.refused > 0 {
						t.Errorf("%d of %d requests were refused in pauses of %v, %d ms after the first", r.refused, r.asked, pause, 5*after)
					}
				}
			}
		}
	})
}

// heldUp has the process stand still, and be told of it by the first that it does after it.
func (r *roomy) heldUp(pause time.Duration) {
	until := r.now + pause
	r.at(r.now+1, func() { r.broker.ProcessStalled(until) })
	r.stall(until)
}

// Shares are enforced, and then the process is held up all the time: within seconds nobody
// is refused for what was known before.
func TestHeldUpWhileShort(t *testing.T) {
	b := New(0, Terms{Classes: 1, Uncontracted: &Contract{Share: 1, Calls: []CallLimits{{Classes: AllClasses}}}})
	b.capacity.estimate = 0.1
	b.capacity.tighten(Queued)
	for now := time.Duration(0); now < 3*time.Second; now += 40 * time.Millisecond {
		b.ProcessStalled(now)
		_, v := b.Admit(now, "nobody", 0, 0.01)
		if refused := v.Outcome != Admitted; refused && now > 2*time.Second+40*time.Millisecond {
			t.Fatalf("refused after %v", now)
		}
	}
}

// What is out since before the process was held up is not taken for a queue as soon as one
// window of what came later has been judged.
func TestBacklogOfAHoldUp(t *testing.T) {
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
			t.Fatalf("too little capacity after %v: %+v", now, b.capacity)
		}
		b.AttemptEnded(now+2*ms, &ticket, false, Answered, 2*ms, 4*time.Second)
	}
}

// Shares are enforced, and the process is held up with much out: that is no queue at the service,
// and nothing of what it is known to do is refused after it.
func TestBacklogOfAHoldUpWhileShort(t *testing.T) {
	const ms = time.Millisecond
	b := New(0, Terms{Classes: 1, Uncontracted: &Contract{Share: 1, Calls: []CallLimits{{Classes: AllClasses}}}})
	for range 100 {
		b.Admit(ms, "nobody", 0, 0.02)
	}
	b.capacity.estimate = 1
	b.capacity.tighten(Queued)
	b.ProcessStalled(400 * ms)
	for now := 410 * ms; now < 3*time.Second; now += 25 * ms { // 0.8 s of work a second
		ticket, v := b.Admit(now, "nobody", 0, 0.02)
		if v.Outcome != Admitted {
			t.Fatalf("refused after %v: %+v", now, b.capacity)
		}
		b.AttemptEnded(now+20*ms, &ticket, false, Answered, 20*ms, 4*time.Second)
	}
}

// Few answers are read and many requests are sent in the first moments of a sidecar: that is
// no lack while what is out is answered before it is old.
func TestCrowdThatDoesNotStand(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		r := newRoomy(t, seed, 0, 4*time.Second)
		r.events = nil
		for range 10 { // answers of 0.2 s
			r.request(0)
			r.run(r.now + 20*time.Millisecond)
		}
		for range 300 {
			r.request(0)
		}
		if r.run(r.now + time.Second); r.refused > 0 {
			t.Errorf("%d of %d requests were refused", r.refused, r.asked)
		}
	})
}

// However low the capacity was taken for, a service that answers at once gets all that is
// asked for within some seconds.
func TestCapacityTakenTooLow(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		for _, work := range []float64{0.002, 0.02, 0.2, 2} {
			r := newRoomy(t, seed, 0, 4*time.Second)
			r.broker.work[0], r.broker.work[1] = mean{work, 1}, mean{work, 1}
			r.broker.capacity.estimate = leastRate
			r.broker.capacity.tighten(Queued)
			r.run(5 * time.Second)
			r.asked, r.refused = 0, 0
			if r.run(10 * time.Second); r.refused > 0 {
				t.Errorf("%d of %d requests of %v s of work were refused from 5 to 10 s", r.refused, r.asked, work)
			}
		}
	})
}
