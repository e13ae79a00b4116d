package policy

import (
	"slices"
	"testing"
	"time"
)

// Calls to discovery are harmless from one instance and harmful from all at once. 80
// instances start together with an old list, and every call fails for 20 s in one way;
// then discovery answers with the current list.
func TestFleetDiscoveryCallsAreBounded(t *testing.T) {
	currentList := append(endpointList(4), Endpoint{ID: 77, Cell: 1})[1:]
	for name, failure := range map[string]struct {
		delay   time.Duration
		partial []Endpoint // received before the answer breaks off
	}{
		"503 and noise": {delay: 2 * time.Millisecond},
		"nothing":       {delay: 2 * time.Second},
		"half a list":   {delay: 100 * time.Millisecond, partial: currentList[2:]},
	} {
		t.Run(name, func(t *testing.T) { runDiscoveryOutage(t, currentList, failure.delay, failure.partial) })
	}
}

func runDiscoveryOutage(t *testing.T, currentList []Endpoint, delay time.Duration, partial []Endpoint) {
	const outage, maxCalls = 20 * time.Second, 45 // calls in any second
	const notifyTime = 6 * time.Second            // a change counts as notified this long after discovery can be reached
	m := &fleetSim{openClass: map[[2]int]int{}, attempts: map[[2]int]int{}}
	calls, received := map[time.Duration]int{}, map[int]time.Duration{}
	var apply func(i int, actions []Action)
	apply = func(i int, actions []Action) {
		for _, a := range append([]Action(nil), actions...) {
			switch a := a.(type) {
			case SetTimer:
				m.schedule(a.Delay, func() { apply(i, m.sidecars[i].Timer(m.now, a.Token)) })
			case Subscribe:
				calls[m.now.Truncate(time.Second)]++
				if m.now < outage {
					m.schedule(delay, func() {
						if partial != nil {
							apply(i, m.sidecars[i].Endpoints(m.now, partial, false))
						}
						apply(i, m.sidecars[i].DiscoveryLost(m.now, 0, false)) // no complete answer yet
					})
				} else {
					received[i] = m.now
					apply(i, m.sidecars[i].Endpoints(m.now, currentList, true))
				}
			}
		}
	}
	settings := testSettings()
	settings.DiscoveryOnRequest, settings.FleetSize = true, 80
	for i := range 80 {
		b, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		m.sidecars = append(m.sidecars, b)
		apply(i, b.Endpoints(0, endpointList(2), true))
	}
	for len(m.queue) > 0 {
		m.step()
	}
	for at, n := range calls {
		if n > maxCalls {
			t.Errorf("%d calls in the second from %v", n, at)
		}
	}
	var last time.Duration
	for _, at := range received {
		last = max(last, at)
	}
	for i, b := range m.sidecars {
		for id := range b.fleet.byID {
			if !slices.ContainsFunc(currentList, func(e Endpoint) bool { return e.ID == id }) {
				t.Fatalf("instance %d still knows endpoint %d, which is not listed", i, id)
			}
		}
		if len(b.fleet.byID) != len(currentList) {
			t.Fatalf("instance %d knows %d endpoints of %d", i, len(b.fleet.byID), len(currentList))
		}
	}
	if len(received) != len(m.sidecars) || last > outage+notifyTime {
		t.Errorf("%d of %d instances received the list, the last at %v", len(received), len(m.sidecars), last)
	}
}
