package policy

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetSim is a fleet in virtual time: instances that share nothing, and endpoints that
// work on one request after the other. It counts requests; networks, connections and
// their overload are left to the laboratory.
type fleetSim struct {
	rng         *rand.Rand
	now         time.Duration
	queue       eventQueue
	sidecars    []*Balancer
	endpoints   []*simEndpoint
	openClass   map[[2]int]int // of open requests, by sidecar and request
	attempts    map[[2]int]int
	arrived     [2]int
	refused     [2]int
	served      [2]int
	onSend      func(i int, a Send) // handles a Send; nil: send
	onSubscribe func(i int)         // nil: a Subscribe is ignored
}

type simEndpoint struct {
	busyUntil time.Duration
	slowdown  float64 // factor on the time of work
	// warmth is the fraction of its capacity that it has; nil: all. workBySecond is what it was
	// sent, in seconds of a warm endpoint, by second of the clock.
	warmth       func() float64
	workBySecond map[int]float64
	countsWork   func(EndpointID) bool // ids whose work is counted; nil: all
}

type simEvent struct {
	at     time.Duration
	action func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (m *fleetSim) schedule(d time.Duration, action func()) {
	heap.Push(&m.queue, simEvent{m.now + d, action})
}

var simClasses = []Class{
	{Aim: 400 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 1, LateWorth: 0.5},
	{Aim: 100 * time.Millisecond, Deadline: 300 * time.Millisecond, Worth: 3, LateWorth: 0.3, Effect: Keyed, Scope: ScopeCell, DedupWindow: 600 * time.Millisecond},
}

var simWork = [2]time.Duration{20 * time.Millisecond, 10 * time.Millisecond}

// newSlowFleetSim makes 80 instances and 60 endpoints in cells of four; every fifth is slowed down.
func newSlowFleetSim(t *testing.T, slowdown float64) *fleetSim {
	m := newFleetSim(t, 80, 60, 7)
	for i := 0; i < len(m.endpoints); i += 5 {
		m.endpoints[i].slowdown = slowdown
	}
	return m
}

// newFleetSim makes a fleet of so many instances and endpoints, in cells of four.
func newFleetSim(t *testing.T, sidecars, endpoints int, seed uint64) *fleetSim {
	m := &fleetSim{rng: rand.New(rand.NewPCG(seed, 7)), openClass: map[[2]int]int{}, attempts: map[[2]int]int{}}
	var list []Endpoint
	for i := range endpoints {
		list = append(list, Endpoint{ID: EndpointID(i), Cell: i / 4})
		m.endpoints = append(m.endpoints, &simEndpoint{slowdown: 1})
	}
	for i := range sidecars {
		b, err := New(Settings{Classes: simClasses, FleetSize: sidecars, MaxAttempts: 3, HedgedAttempts: true, Cancel: true, WorthByWork: true}, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		m.sidecars = append(m.sidecars, b)
		m.apply(i, b.Endpoints(m.now, list, true))
	}
	return m
}

// run generates requests at a rate per second over the whole fleet, for so long.
func (m *fleetSim) run(rate float64, duration time.Duration) {
	m.runAt(func(time.Duration) float64 { return rate }, duration)
}

// runAt is run at a rate that depends on the time since the beginning.
func (m *fleetSim) runAt(rate func(since time.Duration) float64, duration time.Duration) {
	started := m.now
	m.arrived, m.refused, m.served = [2]int{}, [2]int{}, [2]int{}
	end, id := m.now+duration, 0
	var arrive func()
	arrive = func() {
		if m.now >= end {
			return
		}
		i, class := m.rng.IntN(len(m.sidecars)), m.rng.IntN(2)
		id++
		key := [2]int{i, id + int(m.now/time.Second)<<20}
		m.openClass[key] = class
		m.arrived[class]++
		m.apply(i, m.sidecars[i].Request(m.now, Request{ID: RequestID(key[1]), Class: class, TimeLeft: simClasses[class].Deadline, Cost: simWork[class].Seconds()}))
		m.schedule(time.Duration(m.rng.ExpFloat64()/rate(m.now-started)*float64(time.Second)), arrive)
	}
	m.schedule(0, arrive)
	for len(m.queue) > 0 {
		m.step()
	}
}

// step carries out the next event.
func (m *fleetSim) step() {
	e := heap.Pop(&m.queue).(simEvent)
	m.now = e.at
	e.action()
}

func (m *fleetSim) apply(i int, actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		switch a := a.(type) {
		case Refuse:
			m.refused[m.openClass[[2]int{i, int(a.Request)}]]++
			delete(m.openClass, [2]int{i, int(a.Request)})
		case Fail:
			delete(m.openClass, [2]int{i, int(a.Request)})
		case SetTimer:
			m.schedule(a.Delay, func() { m.apply(i, m.sidecars[i].Timer(m.now, a.Token)) })
		case Subscribe:
			if m.onSubscribe != nil {
				m.onSubscribe(i)
			}
		case Send:
			if m.onSend != nil {
				m.onSend(i, a)
			} else {
				m.send(i, a)
			}
		}
	}
}

func (m *fleetSim) send(i int, a Send) {
	key := [2]int{i, int(a.Request)}
	class, open := m.openClass[key]
	n := m.attempts[key]
	m.attempts[key]++
	e := m.endpoints[int(a.Endpoint)%len(m.endpoints)]
	work := time.Duration(float64(simWork[class]) * e.slowdown * (0.5 + m.rng.Float64()))
	if e.warmth != nil {
		if e.workBySecond == nil {
			e.workBySecond = map[int]float64{}
		}
		if e.countsWork == nil || e.countsWork(a.Endpoint) {
			e.workBySecond[int((m.now-time.Hour)/time.Second)] += work.Seconds()
		}
		work = time.Duration(float64(work) / e.warmth())
	}
	elapsed, result := max(e.busyUntil, m.now)+work-m.now, Served
	if elapsed > a.Timeout {
		elapsed, result = a.Timeout, NoAnswer // and its work is cancelled
	} else {
		e.busyUntil = m.now + elapsed
	}
	m.schedule(elapsed, func() {
		_, stillOpen := m.openClass[key]
		done := result == Served || !stillOpen
		if result == Served && stillOpen && open {
			m.served[class]++
			delete(m.openClass, key)
		}
		m.apply(i, m.sidecars[i].Outcome(m.now, Outcome{Request: a.Request, Attempt: n, Endpoint: a.Endpoint, Result: result, Complete: done, Elapsed: elapsed}))
	})
}

// simCapacity is what 60 endpoints can do of both classes alike, in requests per second.
const simCapacity = 60 / 0.015

// Each instance took four late answers for a full fleet, and 80 of them refused a third
// of the requests while most of the capacity was idle.
func TestFleetWithSilentEndpointsRefusesNothing(t *testing.T) {
	m := newSlowFleetSim(t, 1e6) // silent
	m.run(simCapacity/4, 20*time.Second)
	if all := m.refused[0] + m.refused[1]; all*100 > m.arrived[0]+m.arrived[1] {
		t.Errorf("%d of %d requests were refused with three quarters of the capacity idle", all, m.arrived[0]+m.arrived[1])
	}
	if m.served[0]*100 < m.arrived[0]*96 || m.served[1]*100 < m.arrived[1]*96 {
		t.Errorf("served %v of %v", m.served, m.arrived)
	}
}

func TestOverloadedFleetRefusesLessWorth(t *testing.T) {
	m := newSlowFleetSim(t, 1)
	m.run(simCapacity*3/2, 10*time.Second)
	share := [2]float64{float64(m.refused[0]) / float64(m.arrived[0]), float64(m.refused[1]) / float64(m.arrived[1])}
	if share[0] < 0.2 || share[0] < 2*share[1] {
		t.Errorf("refused %.2f of the requests worth 1 and %.2f of those worth 3 at 1.5 times the capacity", share[0], share[1])
	}
}
