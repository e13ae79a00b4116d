package policy

import (
	"math"
	"testing"
	"time"
)

// Each instance is sparing with cold endpoints for itself; what counts is what all of
// them send together. Four in ten endpoints come back cold at once under 60% of load:
// none is sent three times what it can do in any second, and they are used.
func TestManyDoNotPushColdEndpointsOver(t *testing.T) {
	const coldTime, least, multiple = 23 * time.Second, 0.13, 3.0
	m := newMany(t, 1)
	begun := time.Hour
	m.now = begun
	var list []Endpoint
	for i := range m.endpoints {
		e := Endpoint{ID: EndpointID(i), Cell: i / 4}
		if i%5 < 2 {
			e.Started = begun
			m.endpoints[i].warmth = func() float64 {
				return min(least+(1-least)*(m.now-begun).Seconds()/coldTime.Seconds(), 1)
			}
		}
		list = append(list, e)
	}
	for i, b := range m.sidecars {
		b.set.WarmupTime, b.set.StartCapacity = coldTime, least
		m.carryOut(i, b.Endpoints(m.now, list, true))
	}
	m.run(capacity*0.6, 12*time.Second)
	for i, e := range m.endpoints {
		for s, work := range e.work {
			able := min(least+(1-least)*float64(s)/coldTime.Seconds(), 1)
			if e.warmth != nil && work > multiple*able {
				t.Errorf("endpoint %d was sent %.2f s of work in second %d, and can do %.2f", i, work, s, able)
			}
		}
		if e.warmth != nil && len(e.work) < 10 {
			t.Errorf("cold endpoint %d had work in %d of 12 seconds", i, len(e.work))
		}
	}
}

// Six in ten endpoints are replaced within 7 s, at the old address under a new id and
// cold; each instance is told within 2 s of it. What those that were told send a cold
// one is twice what it can do at the most, in any second, and they are used.
func TestManyMeetReplacedEndpoints(t *testing.T) {
	const coldTime, least, multiple = 23 * time.Second, 0.13, 2.0
	m := newMany(t, 1)
	begun := time.Hour
	m.now = begun
	started := make([]time.Duration, len(m.endpoints)) // 0: never replaced
	for _, b := range m.sidecars {
		b.set.WarmupTime, b.set.StartCapacity = coldTime, least
	}
	list := func() (l []Endpoint) {
		for i := range m.endpoints {
			e := Endpoint{ID: EndpointID(i), Cell: i / 4}
			if at := started[i]; at > 0 && at <= m.now {
				e.ID, e.Started = EndpointID(i+len(m.endpoints)), at
			}
			l = append(l, e)
		}
		return l
	}
	for i, b := range m.sidecars {
		m.carryOut(i, b.Endpoints(m.now, list(), true))
	}
	for i := range m.endpoints {
		if i%5 < 2 {
			continue
		}
		at := begun + time.Duration(m.rng.Int64N(int64(7*time.Second)))
		m.after(at-m.now, func() {
			started[i] = at
			m.endpoints[i].told = func(id EndpointID) bool { return int(id) >= len(m.endpoints) }
			m.endpoints[i].until = m.now // what the old one had is gone
			m.endpoints[i].warmth = func() float64 {
				return min(least+(1-least)*(m.now-at).Seconds()/coldTime.Seconds(), 1)
			}
			for n, b := range m.sidecars {
				m.after(time.Duration(m.rng.Int64N(int64(2*time.Second))), func() { m.carryOut(n, b.Endpoints(m.now, list(), true)) })
			}
		})
	}
	m.run(capacity*0.45, 20*time.Second)
	for i, e := range m.endpoints {
		var worst, all float64
		for s, work := range e.work {
			able := max(least, min(least+(1-least)*(time.Duration(s+1)*time.Second+begun-started[i]).Seconds()/coldTime.Seconds(), 1))
			worst, all = max(worst, work/able), all+work
		}
		if e.warmth != nil && (worst > multiple || all < 2) {
			t.Errorf("endpoint %d was sent %.1f times what it can do in a second, and %.1f s of work in all", i, worst, all)
		}
	}
}

// Twenty-four instances are restarted at once, or one after the other, in the midst of a
// release and at 85% of what the endpoints can do: each is told of the endpoints at a moment
// of its own, knows nothing of their answer times, and none knows what the others send. What
// a cold one is sent by all, further attempts too, stays in any second within N attempts of
// mean work and what chance may add, 2 x root of N + 2; N is what the settings allow it.
func TestManyRestartedBeforeColdEndpoints(t *testing.T) {
	const (
		sidecars        = 24
		coldTime, least = 20 * time.Second, 0.15
		multiple        = 1.2 // of what it can do, for fallTime; settings have three
		fallTime        = time.Second
		meanWork        = 0.015
	)
	for name, spread := range map[string]time.Duration{"at once": 0, "over 6 s": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			m := newMany(t, 1)
			m.sidecars = m.sidecars[:sidecars]
			begun := time.Hour
			m.now = begun
			var list []Endpoint
			able := 0.0
			sent := make([][]time.Duration, len(m.endpoints)) // to cold ones
			for i := range m.endpoints {
				e := Endpoint{ID: EndpointID(i), Cell: i / 4}
				able++
				if i%5 < 2 {
					e.Started = begun
					able += least - 1
					m.endpoints[i].warmth = func() float64 {
						return min(least+(1-least)*(m.now-begun).Seconds()/coldTime.Seconds(), 1)
					}
				}
				list = append(list, e)
			}
			m.attempt = func(i int, a Send) {
				if e := int(a.Endpoint); m.endpoints[e].warmth != nil {
					sent[e] = append(sent[e], m.now)
				}
				m.send(i, a)
			}
			restart := func(i int) {
				set := m.sidecars[i].set
				set.WarmupTime, set.StartCapacity, set.FleetSize = coldTime, least, sidecars
				b, err := New(set, uint64(1000+i))
				if err != nil {
					t.Fatal(err)
				}
				m.sidecars[i] = b
				m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() {
					if m.sidecars[i] == b {
						m.carryOut(i, b.Endpoints(m.now, list, true))
					}
				})
			}
			for i := range m.sidecars {
				restart(i) // they are new, as the release is
				m.after(3*time.Second+spread*time.Duration(i)/sidecars, func() { restart(i) })
			}
			m.run(able/meanWork*0.85, 12*time.Second)
			for e, times := range sent {
				if m.endpoints[e].warmth != nil && len(times) < 20 {
					t.Errorf("cold endpoint %d was sent %d attempts in 12 s", e, len(times))
				}
				for from, at := range times {
					to := from
					for to < len(times) && times[to] < at+fallTime {
						to++
					}
					warm := least + (1-least)*(at-begun).Seconds()/coldTime.Seconds()
					n := multiple * warm * fallTime.Seconds() / meanWork
					if most := n + 2*math.Sqrt(n) + 2; float64(to-from) > most {
						t.Fatalf("cold endpoint %d was sent %d attempts in a second from %v on, %.0f at most are expected", e, to-from, at-begun, most)
					}
				}
			}
		})
	}
}
