package policy

import (
	"math"
	"testing"
	"time"
)

// Each instance limits what it sends to cold endpoints; what counts is the sum over all
// instances. Four in ten endpoints restart cold at once under 60% of load: none is sent
// three times what it can do in any second, and they are used.
func TestFleetDoesNotOverloadColdEndpoints(t *testing.T) {
	const warmupTime, startCapacity, multiple = 23 * time.Second, 0.13, 3.0
	m := newSlowFleetSim(t, 1)
	begun := time.Hour
	m.now = begun
	var list []Endpoint
	for i := range m.endpoints {
		e := Endpoint{ID: EndpointID(i), Cell: i / 4}
		if i%5 < 2 {
			e.Started = begun
			m.endpoints[i].warmth = func() float64 {
				return min(startCapacity+(1-startCapacity)*(m.now-begun).Seconds()/warmupTime.Seconds(), 1)
			}
		}
		list = append(list, e)
	}
	for i, b := range m.sidecars {
		b.settings.WarmupTime, b.settings.StartCapacity = warmupTime, startCapacity
		m.apply(i, b.Endpoints(m.now, list, true))
	}
	m.run(simCapacity*0.6, 12*time.Second)
	for i, e := range m.endpoints {
		for s, work := range e.workBySecond {
			capacity := min(startCapacity+(1-startCapacity)*float64(s)/warmupTime.Seconds(), 1)
			if e.warmth != nil && work > multiple*capacity {
				t.Errorf("endpoint %d was sent %.2f s of work in second %d, and can do %.2f", i, work, s, capacity)
			}
		}
		if e.warmth != nil && len(e.workBySecond) < 10 {
			t.Errorf("cold endpoint %d had work in %d of 12 seconds, want at least 10", i, len(e.workBySecond))
		}
	}
}

// Six in ten endpoints are replaced within 7 s, at the old address under a new id and
// cold; each instance is notified within 2 s. The notified instances send a cold endpoint
// at most twice what it can do in any second, and all cold endpoints are used.
func TestFleetWithReplacedEndpoints(t *testing.T) {
	const warmupTime, startCapacity, multiple = 23 * time.Second, 0.13, 2.0
	m := newSlowFleetSim(t, 1)
	begun := time.Hour
	m.now = begun
	started := make([]time.Duration, len(m.endpoints)) // 0: never replaced
	for _, b := range m.sidecars {
		b.settings.WarmupTime, b.settings.StartCapacity = warmupTime, startCapacity
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
		m.apply(i, b.Endpoints(m.now, list(), true))
	}
	for i := range m.endpoints {
		if i%5 < 2 {
			continue
		}
		at := begun + time.Duration(m.rng.Int64N(int64(7*time.Second)))
		m.schedule(at-m.now, func() {
			started[i] = at
			m.endpoints[i].countsWork = func(id EndpointID) bool { return int(id) >= len(m.endpoints) }
			m.endpoints[i].busyUntil = m.now // the work of the old process is lost
			m.endpoints[i].warmth = func() float64 {
				return min(startCapacity+(1-startCapacity)*(m.now-at).Seconds()/warmupTime.Seconds(), 1)
			}
			for n, b := range m.sidecars {
				m.schedule(time.Duration(m.rng.Int64N(int64(2*time.Second))), func() { m.apply(n, b.Endpoints(m.now, list(), true)) })
			}
		})
	}
	m.run(simCapacity*0.45, 20*time.Second)
	for i, e := range m.endpoints {
		var worst, total float64
		for s, work := range e.workBySecond {
			capacity := max(startCapacity, min(startCapacity+(1-startCapacity)*(time.Duration(s+1)*time.Second+begun-started[i]).Seconds()/warmupTime.Seconds(), 1))
			worst, total = max(worst, work/capacity), total+work
		}
		if e.warmth != nil && (worst > multiple || total < 2) {
			t.Errorf("endpoint %d was sent %.1f times what it can do in a second, and %.1f s of work in all", i, worst, total)
		}
	}
}

// Twenty-four instances are restarted at once, or one after the other, during a release
// and at 85% of what the endpoints can do: each receives the list at its own time, knows
// no answer times, and does not know what the others send. What all of them send to a cold
// endpoint in any second, retries included, stays within N attempts of mean work and a
// margin for chance, 2 x root of N + 2; N is what the settings allow it.
func TestFleetRestartWithColdEndpoints(t *testing.T) {
	const (
		sidecars                  = 24
		warmupTime, startCapacity = 20 * time.Second, 0.15
		multiple                  = 1.2 // of what it can do, for overloadTime; settings have three
		overloadTime              = time.Second
		meanWork                  = 0.015
	)
	for name, spread := range map[string]time.Duration{"at once": 0, "over 6 s": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			m := newSlowFleetSim(t, 1)
			m.sidecars = m.sidecars[:sidecars]
			begun := time.Hour
			m.now = begun
			var list []Endpoint
			capacity := 0.0
			sent := make([][]time.Duration, len(m.endpoints)) // to cold endpoints
			for i := range m.endpoints {
				e := Endpoint{ID: EndpointID(i), Cell: i / 4}
				capacity++
				if i%5 < 2 {
					e.Started = begun
					capacity += startCapacity - 1
					m.endpoints[i].warmth = func() float64 {
						return min(startCapacity+(1-startCapacity)*(m.now-begun).Seconds()/warmupTime.Seconds(), 1)
					}
				}
				list = append(list, e)
			}
			m.onSend = func(i int, a Send) {
				if e := int(a.Endpoint); m.endpoints[e].warmth != nil {
					sent[e] = append(sent[e], m.now)
				}
				m.send(i, a)
			}
			restart := func(i int) {
				settings := m.sidecars[i].settings
				settings.WarmupTime, settings.StartCapacity, settings.FleetSize = warmupTime, startCapacity, sidecars
				b, err := New(settings, uint64(1000+i))
				if err != nil {
					t.Fatal(err)
				}
				m.sidecars[i] = b
				m.schedule(time.Duration(m.rng.Int64N(int64(time.Second))), func() {
					if m.sidecars[i] == b {
						m.apply(i, b.Endpoints(m.now, list, true))
					}
				})
			}
			for i := range m.sidecars {
				restart(i) // they start together with the release
				m.schedule(3*time.Second+spread*time.Duration(i)/sidecars, func() { restart(i) })
			}
			m.run(capacity/meanWork*0.85, 12*time.Second)
			for e, times := range sent {
				if m.endpoints[e].warmth != nil && len(times) < 20 {
					t.Errorf("cold endpoint %d was sent %d attempts in 12 s, want at least 20", e, len(times))
				}
				for from, at := range times {
					end := from
					for end < len(times) && times[end] < at+overloadTime {
						end++
					}
					warm := startCapacity + (1-startCapacity)*(at-begun).Seconds()/warmupTime.Seconds()
					n := multiple * warm * overloadTime.Seconds() / meanWork
					if maxAttempts := n + 2*math.Sqrt(n) + 2; float64(end-from) > maxAttempts {
						t.Fatalf("cold endpoint %d was sent %d attempts in a second from %v on, want at most %.0f", e, end-from, at-begun, maxAttempts)
					}
				}
			}
		})
	}
}
