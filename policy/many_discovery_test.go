package policy

import (
	"slices"
	"testing"
	"time"
)

// Harmless alone and harmful when all do it: calls to discovery. 80 instances start
// together with an old list, and every call fails for 20 s in one way; then discovery
// answers with the truth.
func TestManyAskDiscoveryWithinABound(t *testing.T) {
	truth := append(fleetOf(4), Endpoint{ID: 77, Cell: 1})[1:]
	for name, fails := range map[string]struct {
		after time.Duration
		half  []Endpoint // that comes before the answer breaks off
	}{
		"503 and noise": {after: 2 * time.Millisecond},
		"nothing":       {after: 2 * time.Second},
		"half a list":   {after: 100 * time.Millisecond, half: truth[2:]},
	} {
		t.Run(name, func(t *testing.T) { manyAskDiscovery(t, truth, fails.after, fails.half) })
	}
}

func manyAskDiscovery(t *testing.T, truth []Endpoint, after time.Duration, half []Endpoint) {
	const outage, most = 20 * time.Second, 45 // calls in any second
	const countsAsTold = 6 * time.Second      // after discovery can be reached a change counts as told
	m := &many{class: map[[2]int]int{}, attempts: map[[2]int]int{}}
	calls, told := map[time.Duration]int{}, map[int]time.Duration{}
	var carryOut func(i int, actions []Action)
	carryOut = func(i int, actions []Action) {
		for _, a := range append([]Action(nil), actions...) {
			switch a := a.(type) {
			case SetTimer:
				m.after(a.Delay, func() { carryOut(i, m.sidecars[i].Timer(m.now, a.Token)) })
			case Subscribe:
				calls[m.now.Truncate(time.Second)]++
				if m.now < outage {
					m.after(after, func() {
						if half != nil {
							carryOut(i, m.sidecars[i].Endpoints(m.now, half, false))
						}
						carryOut(i, m.sidecars[i].DiscoveryLost(m.now, 0, false)) // no whole answer came yet
					})
				} else {
					told[i] = m.now
					carryOut(i, m.sidecars[i].Endpoints(m.now, truth, true))
				}
			}
		}
	}
	set := settings()
	set.DiscoveryOnRequest, set.FleetSize = true, 80
	for i := range 80 {
		b, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		m.sidecars = append(m.sidecars, b)
		carryOut(i, b.Endpoints(0, fleetOf(2), true))
	}
	for len(m.queue) > 0 {
		m.step()
	}
	for at, n := range calls {
		if n > most {
			t.Errorf("%d calls in the second from %v", n, at)
		}
	}
	var last time.Duration
	for _, at := range told {
		last = max(last, at)
	}
	for i, b := range m.sidecars {
		for id := range b.fleet.byID {
			if !slices.ContainsFunc(truth, func(e Endpoint) bool { return e.ID == id }) {
				t.Fatalf("instance %d still takes %d for an endpoint", i, id)
			}
		}
		if len(b.fleet.byID) != len(truth) {
			t.Fatalf("instance %d knows %d endpoints of %d", i, len(b.fleet.byID), len(truth))
		}
	}
	if len(told) != len(m.sidecars) || last > outage+countsAsTold {
		t.Errorf("%d of %d were told, the last at %v", len(told), len(m.sidecars), last)
	}
}
