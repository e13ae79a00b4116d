package policy

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// many is a fleet in virtual time: instances that share nothing, and endpoints that
// work on one request after the other. It counts; what it leaves out (networks,
// connections, crowding) is the laboratory's.
type many struct {
	rng       *rand.Rand
	now       time.Duration
	queue     events
	sidecars  []*Balancer
	endpoints []*busy
	class     map[[2]int]int // of what is open, by sidecar and request
	attempts  map[[2]int]int
	asked     [2]int
	refused   [2]int
	served    [2]int
	attempt   func(i int, a Send) // plays one; nil: send
	subscribe func(i int)         // nil: discovery is not asked
}

type busy struct {
	until time.Duration // works until then
	slow  float64       // times as slow as it should be
	// warmth is the share of its capacity that it has; nil: all. work is what it was
	// sent, in seconds of a warm one, by second of the clock.
	warmth func() float64
	work   map[int]float64
	told   func(EndpointID) bool // whose work counts there; nil: everybody's
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (m *many) after(d time.Duration, do func()) { heap.Push(&m.queue, event{m.now + d, do}) }

var manyClasses = []Class{
	{Aim: 400 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 1, LateWorth: 0.5},
	{Aim: 100 * time.Millisecond, Deadline: 300 * time.Millisecond, Worth: 3, LateWorth: 0.3, Effect: Keyed, Scope: ScopeCell, DedupWindow: 600 * time.Millisecond},
}

var manyWork = [2]time.Duration{20 * time.Millisecond, 10 * time.Millisecond}

// newMany makes 80 instances and 60 endpoints in cells of four; every fifth is slow.
func newMany(t *testing.T, slow float64) *many {
	m := newFleetOf(t, 80, 60, 7)
	for i := 0; i < len(m.endpoints); i += 5 {
		m.endpoints[i].slow = slow
	}
	return m
}

// newFleetOf makes so many instances and endpoints, in cells of four.
func newFleetOf(t *testing.T, sidecars, endpoints int, seed uint64) *many {
	m := &many{rng: rand.New(rand.NewPCG(seed, 7)), class: map[[2]int]int{}, attempts: map[[2]int]int{}}
	var list []Endpoint
	for i := range endpoints {
		list = append(list, Endpoint{ID: EndpointID(i), Cell: i / 4})
		m.endpoints = append(m.endpoints, &busy{slow: 1})
	}
	for i := range sidecars {
		b, err := New(Settings{Classes: manyClasses, FleetSize: sidecars, MaxAttempts: 3, HedgedAttempts: true, Cancel: true, WorthByWork: true}, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		m.sidecars = append(m.sidecars, b)
		m.carryOut(i, b.Endpoints(m.now, list, true))
	}
	return m
}

// run has requests come at a rate, a second over the whole fleet, for so long.
func (m *many) run(rate float64, lasts time.Duration) {
	m.runAt(func(time.Duration) float64 { return rate }, lasts)
}

// runAt is run at a rate that goes by the time since the beginning.
func (m *many) runAt(rate func(since time.Duration) float64, lasts time.Duration) {
	begun := m.now
	m.asked, m.refused, m.served = [2]int{}, [2]int{}, [2]int{}
	end, id := m.now+lasts, 0
	var arrive func()
	arrive = func() {
		if m.now >= end {
			return
		}
		i, class := m.rng.IntN(len(m.sidecars)), m.rng.IntN(2)
		id++
		key := [2]int{i, id + int(m.now/time.Second)<<20}
		m.class[key] = class
		m.asked[class]++
		m.carryOut(i, m.sidecars[i].Request(m.now, Request{ID: RequestID(key[1]), Class: class, TimeLeft: manyClasses[class].Deadline, Cost: manyWork[class].Seconds()}))
		m.after(time.Duration(m.rng.ExpFloat64()/rate(m.now-begun)*float64(time.Second)), arrive)
	}
	m.after(0, arrive)
	for len(m.queue) > 0 {
		m.step()
	}
}

// step carries out what is due next.
func (m *many) step() {
	e := heap.Pop(&m.queue).(event)
	m.now = e.at
	e.do()
}

func (m *many) carryOut(i int, actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		switch a := a.(type) {
		case Refuse:
			m.refused[m.class[[2]int{i, int(a.Request)}]]++
			delete(m.class, [2]int{i, int(a.Request)})
		case Fail:
			delete(m.class, [2]int{i, int(a.Request)})
		case SetTimer:
			m.after(a.Delay, func() { m.carryOut(i, m.sidecars[i].Timer(m.now, a.Token)) })
		case Subscribe:
			if m.subscribe != nil {
				m.subscribe(i)
			}
		case Send:
			if m.attempt != nil {
				m.attempt(i, a)
			} else {
				m.send(i, a)
			}
		}
	}
}

func (m *many) send(i int, a Send) {
	key := [2]int{i, int(a.Request)}
	class, open := m.class[key]
	n := m.attempts[key]
	m.attempts[key]++
	e := m.endpoints[int(a.Endpoint)%len(m.endpoints)]
	work := time.Duration(float64(manyWork[class]) * e.slow * (0.5 + m.rng.Float64()))
	if e.warmth != nil {
		if e.work == nil {
			e.work = map[int]float64{}
		}
		if e.told == nil || e.told(a.Endpoint) {
			e.work[int((m.now-time.Hour)/time.Second)] += work.Seconds()
		}
		work = time.Duration(float64(work) / e.warmth())
	}
	ends, result := max(e.until, m.now)+work-m.now, Served
	if ends > a.Timeout {
		ends, result = a.Timeout, NoAnswer // and its work is called off
	} else {
		e.until = m.now + ends
	}
	m.after(ends, func() {
		_, still := m.class[key]
		done := result == Served || !still
		if result == Served && still && open {
			m.served[class]++
			delete(m.class, key)
		}
		m.carryOut(i, m.sidecars[i].Outcome(m.now, Outcome{Request: a.Request, Attempt: n, Endpoint: a.Endpoint, Result: result, Complete: done, Elapsed: ends}))
	})
}

// capacity is what 60 endpoints can do of both classes alike, in requests a second.
const capacity = 60 / 0.015

// Harmless alone and harmful when all do it: each instance took four late answers for
// a full fleet, and 80 of them refused a third while most of the capacity was idle.
func TestManyWithSlowEndpointsRefuseNothing(t *testing.T) {
	m := newMany(t, 1e6) // silent
	m.run(capacity/4, 20*time.Second)
	if all := m.refused[0] + m.refused[1]; all*100 > m.asked[0]+m.asked[1] {
		t.Errorf("%d of %d requests were refused with three quarters of the capacity idle", all, m.asked[0]+m.asked[1])
	}
	if m.served[0]*100 < m.asked[0]*96 || m.served[1]*100 < m.asked[1]*96 {
		t.Errorf("served %v of %v", m.served, m.asked)
	}
}

func TestManyOverloadedRefuseWhatIsWorthLess(t *testing.T) {
	m := newMany(t, 1)
	m.run(capacity*3/2, 10*time.Second)
	share := [2]float64{float64(m.refused[0]) / float64(m.asked[0]), float64(m.refused[1]) / float64(m.asked[1])}
	if share[0] < 0.2 || share[0] < 2*share[1] {
		t.Errorf("refused %.2f of what is worth 1 and %.2f of what is worth 3 in an overload by half", share[0], share[1])
	}
}
