package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// mass is a fleet of the size that service has: 300 instances in five zones, 200
// endpoints in cells of four, traffic spread unevenly (some instances get six times the
// mean). It adds to many what lies between them: zones that can't be reached, lists that
// come late, connections that rest, and the calls that instances make of discovery.
type mass struct {
	*many
	zone     []int           // of each instance
	load     []float64       // of each, running sum
	from     []time.Duration // when an endpoint's latest process started; 0: long ago
	lost     func(endpoint int) bool
	cut      func(zone int) bool
	rested   map[[2]int]time.Duration // by instance and endpoint: the latest use of their connection
	dials    map[int]int              // by second
	calls    map[int]int              // that begin a watch, by second
	worth    [2]float64               // asked, answered
	seers    bool                     // the reference decides in place of the instances
	seen     []time.Duration          // what it sees: how long each endpoint is busy, as of a second ago
	seenLost []bool
}

const (
	massSidecars, massEndpoints, massZones = 300, 200, 5
	massCold, massLeast                    = 20 * time.Second, 0.13
	massRest                               = 6 * time.Second // a connection that rested longer is closed
	massBegin                              = time.Hour
)

func newMass(t *testing.T, seers bool) *mass {
	m := &mass{
		many:   &many{rng: rand.New(rand.NewPCG(11, 3)), class: map[[2]int]int{}, attempts: map[[2]int]int{}, now: massBegin},
		from:   make([]time.Duration, massEndpoints),
		lost:   func(int) bool { return false },
		cut:    func(int) bool { return false },
		rested: map[[2]int]time.Duration{}, dials: map[int]int{}, calls: map[int]int{}, seers: seers,
	}
	m.attempt = m.send
	m.subscribe = func(i int) {
		m.calls[m.second()]++
		m.after(50*time.Millisecond, func() { m.carryOut(i, m.sidecars[i].Endpoints(m.now, nil, false)) })
	}
	for range massEndpoints {
		m.endpoints = append(m.endpoints, &busy{slow: 1, work: map[int]float64{}})
	}
	sum := 0.0
	for i := range massSidecars {
		b, err := New(Settings{
			Classes: manyClasses, FleetSize: massSidecars, Zone: i % massZones, DiscoveryOnRequest: true, PollWithin: 10 * time.Second,
			MaxAttempts: 3, HedgedAttempts: true, Cancel: true, WorthByWork: true, WarmupTime: massCold, StartCapacity: massLeast,
			ConnIdleTimeout: 10 * time.Second, Prices: Prices{Handshake: 0.06},
		}, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		sum += min(0.3/m.rng.Float64(), 6)
		m.sidecars, m.zone, m.load = append(m.sidecars, b), append(m.zone, i%massZones), append(m.load, sum)
		m.carryOut(i, b.Endpoints(m.now, m.list(m.now), true))
	}
	m.look()
	return m
}

// list is what discovery says of the endpoints that had started by then: a new process
// at an address has a new id.
func (m *mass) list(by time.Duration) (l []Endpoint) {
	for i, from := range m.from {
		e := Endpoint{ID: EndpointID(i), Cell: i / 4, Zone: i % massZones}
		if from > 0 && from <= by {
			e.ID, e.Started = EndpointID(i+massEndpoints), from
		}
		l = append(l, e)
	}
	return l
}

// tell gives every instance the list as it stands, each at its own moment within late.
func (m *mass) tell(late time.Duration) {
	list := m.list(m.now)
	for i, b := range m.sidecars {
		m.after(time.Duration(m.rng.Int64N(int64(late))), func() { m.carryOut(i, b.Endpoints(m.now, list, true)) })
	}
}

// start has an endpoint's process end and another begin in its place, cold.
func (m *mass) start(i int) {
	e, at := m.endpoints[i], m.now
	m.from[i], e.until, e.work = at, at, map[int]float64{}
	e.warmth = func() float64 { return min(massLeast+(1-massLeast)*(m.now-at).Seconds()/massCold.Seconds(), 1) }
}

// look has the reference see the true state, once a second: what it knows is a second
// old at the most, where an instance knows only what its own requests told it.
func (m *mass) look() {
	m.seen, m.seenLost = make([]time.Duration, massEndpoints), make([]bool, massEndpoints)
	for i, e := range m.endpoints {
		m.seen[i], m.seenLost[i] = max(e.until-m.now, 0), m.lost(i)
	}
}

func (m *mass) second() int { return int((m.now - massBegin) / time.Second) }

// play has requests come at a rate, a second over the whole fleet, for so long.
func (m *mass) play(rate float64, lasts time.Duration) {
	id, end := 0, m.now+lasts
	var arrive, look func()
	arrive = func() {
		if m.now >= end {
			return
		}
		at, i := m.rng.Float64()*m.load[len(m.load)-1], 0
		for m.load[i] < at {
			i++
		}
		id++
		class := m.rng.IntN(2)
		m.class[[2]int{i, id}] = class
		m.worth[0] += manyClasses[class].Worth
		q := Request{ID: RequestID(id), Class: class, TimeLeft: manyClasses[class].Deadline, Cost: manyWork[class].Seconds()}
		if m.seers {
			m.send(i, Send{Request: q.ID, Endpoint: EndpointID(m.pick(i)), Timeout: q.TimeLeft})
		} else {
			m.carryOut(i, m.sidecars[i].Request(m.now, q))
		}
		m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	look = func() {
		m.look()
		if m.now < end {
			m.after(time.Second, look)
		}
	}
	m.after(0, arrive)
	m.after(0, look)
	for len(m.queue) > 0 && m.now < end+2*time.Second {
		m.step()
	}
}

// pick is the reference's choice: of two that it saw alive, the one it saw less busy.
func (m *mass) pick(i int) int {
	best := -1
	for n := 0; n < 2; {
		e := m.rng.IntN(massEndpoints)
		if m.seenLost[e] || m.cut(e%massZones) && e%massZones != m.zone[i] {
			if m.rng.IntN(50) > 0 {
				continue // but for one in fifty, that ends the search where nothing is alive
			}
		}
		warm := 1.0
		if w := m.endpoints[e].warmth; w != nil {
			warm = w()
		}
		if n++; best < 0 || float64(m.seen[e])/warm < float64(m.seen[best]) {
			best = e
		}
	}
	return best
}

// send plays one attempt: over a connection that rested, or a new one; to an endpoint
// that works, is out of reach, or has been replaced.
func (m *mass) send(i int, a Send) {
	key, to := [2]int{i, int(a.Request)}, int(a.Endpoint)%massEndpoints
	class, begun := m.class[key], m.now
	n, e := m.attempts[key], m.endpoints[to]
	m.attempts[key]++
	kept := begun-m.rested[[2]int{i, to}] < massRest && m.rested[[2]int{i, to}] > m.from[to]
	if !kept {
		m.dials[m.second()]++
	}
	ends, result := a.Timeout, NoAnswer
	switch {
	case m.lost(to) || m.cut(to%massZones) != m.cut(m.zone[i]) && to%massZones != m.zone[i]:
		if !kept { // it never comes up
			ends, result = min(50*time.Millisecond, a.Timeout), NoConnection
		}
	case !m.seers && m.from[to] > 0 && int(a.Endpoint) < massEndpoints:
		ends, result = time.Millisecond, NoConnection // the process is gone
	default:
		work := time.Duration(float64(manyWork[class]) * (0.5 + m.rng.Float64()))
		e.work[m.second()] += work.Seconds()
		if e.warmth != nil {
			work = time.Duration(float64(work) / e.warmth())
		}
		if d := max(e.until, begun) + work - begun; d <= a.Timeout {
			ends, result, e.until = d, Served, begun+d
		}
		m.rested[[2]int{i, to}] = begun + ends
	}
	m.after(ends, func() {
		_, still := m.class[key]
		if result == Served && still {
			w := manyClasses[class].Worth
			if ends > manyClasses[class].Aim {
				w *= manyClasses[class].LateWorth
			}
			m.worth[1] += w
		}
		if result == Served || m.seers {
			delete(m.class, key)
		}
		if !m.seers {
			m.carryOut(i, m.sidecars[i].Outcome(m.now, Outcome{Request: a.Request, Attempt: n, Endpoint: a.Endpoint, Result: result, Complete: result == Served || !still, Elapsed: ends}))
		}
	})
}

// massScenes are the days that the fleet's size makes hard, each begun a second after
// requests do.
var massScenes = map[string]struct {
	begin func(m *mass)
	rate  float64 // of the capacity
	part  float64 // of the reference's worth that is reached at least
}{
	"calm": {func(*mass) {}, 0.5, 1},
	// A zone is lost for 5 s and comes back cold; another is cut off from the others.
	"zone": {func(m *mass) {
		const lost, alone = 1, 3
		begun := m.now
		during := func() bool { return m.now >= begun && m.now < begun+5*time.Second }
		m.lost = func(e int) bool { return e%massZones == lost && during() }
		m.cut = func(zone int) bool { return zone == alone && during() }
		m.after(5*time.Second, func() {
			for i := range m.endpoints {
				if i%massZones == lost {
					m.start(i)
				}
			}
			m.after(time.Second, func() { m.tell(3 * time.Second) })
		})
	}, 0.4, 1.09},
	// Six in ten endpoints are replaced within 7 s; lists come up to 2 s late.
	"join": {func(m *mass) {
		for i := range m.endpoints {
			if i%5 < 3 {
				m.after(time.Duration(m.rng.Int64N(int64(7*time.Second))), func() { m.start(i) })
			}
		}
		for s := range 9 {
			m.after(time.Duration(s)*time.Second, func() { m.tell(2 * time.Second) })
		}
	}, 0.4, 1.08},
}

// What 300 instances make of a day that each sees a little of: the part of the worth
// that a policy reaches which sees the true state a second late; over the whole fleet,
// connections and calls stay within bounds, and no cold endpoint is sent twice
// what it can do in any second.
func TestMass(t *testing.T) {
	for name, scene := range massScenes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var worth [2]float64
			var m *mass
			for i, seers := range []bool{true, false} {
				m = newMass(t, seers)
				m.after(time.Second, func() { scene.begin(m) })
				m.play(massEndpoints/0.015*scene.rate, 12*time.Second)
				worth[i] = m.worth[1] / m.worth[0]
			}
			t.Logf("worth answered %.3f, reference %.3f", worth[1], worth[0])
			if worth[1] < scene.part*worth[0] {
				t.Errorf("%.3f of the worth was answered, by the reference %.3f", worth[1], worth[0])
			}
			m.bounds(t)
		})
	}
}

// bounds are the ceilings over the whole fleet.
func (m *mass) bounds(t *testing.T) {
	const mostDials, mostCalls, multiple = 0.5, 60, 2.0
	all, worst := 0, 0.0
	for s, n := range m.calls {
		if n > mostCalls {
			t.Errorf("%d calls began a watch in second %d", n, s)
		}
	}
	for _, n := range m.dials {
		all += n
	}
	part := float64(all) / float64(len(m.attempts))
	t.Logf("%.2f connections a request", part)
	if part > mostDials {
		t.Errorf("%.2f connections were made a request", part)
	}
	for i, e := range m.endpoints {
		for s, work := range e.work {
			if m.from[i] == 0 {
				continue
			}
			age := massBegin + time.Duration(s+1)*time.Second - m.from[i]
			able := max(massLeast, min(massLeast+(1-massLeast)*age.Seconds()/massCold.Seconds(), 1))
			worst = max(worst, work/able)
			if work > multiple*able {
				t.Errorf("cold endpoint %d was sent %.2f s of work in second %d, and can do %.2f", i, work, s, able)
			}
		}
	}
	t.Logf("a cold endpoint was sent %.2f times what it can do in a second at the most", worst)
}
