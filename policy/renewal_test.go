package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// silenceBeforeLoss is how long before the end of its watch an instance had its latest answer.
func silenceBeforeLoss(i, total int) time.Duration {
	return 2 * time.Second * time.Duration(i) / time.Duration(total)
}

// simulateRenewal simulates a fleet whose list was current, by a watch, until lost, and whose calls then
// fail at once until end. It returns the calls by second, and the times of each instance's calls.
func simulateRenewal(t *testing.T, sidecars int, lost, end time.Duration) (perSecond map[int]int, callTimes [][]time.Duration) {
	m := &fleetSim{openClass: map[[2]int]int{}, attempts: map[[2]int]int{}}
	perSecond, callTimes = map[int]int{}, make([][]time.Duration, sidecars)
	var apply func(i int, actions []Action)
	apply = func(i int, actions []Action) {
		for _, a := range append([]Action(nil), actions...) {
			switch a := a.(type) {
			case SetTimer:
				m.schedule(a.Delay, func() { apply(i, m.sidecars[i].Timer(m.now, a.Token)) })
			case Subscribe:
				if m.now < lost || m.now > end+renewWithin {
					continue
				}
				perSecond[int((m.now-lost)/time.Second)]++
				callTimes[i] = append(callTimes[i], m.now)
				apply(i, m.sidecars[i].DiscoveryLost(m.now, lost-silenceBeforeLoss(i, sidecars), false))
			}
		}
	}
	settings := testSettings()
	settings.DiscoveryOnRequest, settings.FleetSize = true, sidecars
	for i := range sidecars {
		b, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		m.sidecars = append(m.sidecars, b)
		apply(i, b.Endpoints(0, endpointList(2), true))
		m.schedule(lost, func() { apply(i, b.DiscoveryLost(lost, lost-silenceBeforeLoss(i, sidecars), false)) })
	}
	for len(m.queue) > 0 {
		m.step()
	}
	return perSecond, callTimes
}

// A current list is renewed in time though calls are refused: three of them fit into the time, also
// where the silence of the watch is noticed late. If all watches of a fleet end at once, discovery gets
// no more than twice the calls of a fleet that watches, one in 2 s from each, or 300 per second from a
// small fleet, and a margin for chance.
func TestListIsRenewedThoughCallsAreRefused(t *testing.T) {
	const lost, end = 12 * time.Second, 40 * time.Second
	for _, sidecars := range []int{1, 5, 30, 80, 300, 900} {
		t.Run(fmt.Sprint(sidecars), func(t *testing.T) {
			perSecond, callTimes := simulateRenewal(t, sidecars, lost, end)
			for i, calls := range callTimes {
				n := 0
				for _, at := range calls {
					if at <= lost+renewWithin-silenceBeforeLoss(i, sidecars) {
						n++
					}
				}
				if n < 3 || sidecars <= 80 && n < 6 {
					t.Fatalf("instance %d made %d calls within %v", i, n, renewWithin)
				}
			}
			for second, n := range perSecond {
				if maxCalls := math.Max(float64(sidecars), 300); float64(n) > maxCalls+2*math.Sqrt(maxCalls)+2 {
					t.Errorf("%d calls in second %d", n, second)
				}
			}
		})
	}
}

// Discovery recovers at any time, after seconds or an hour, and refuses each instance once more: the
// next call is made in time for a change to count as notified.
func TestRefusalWhileDiscoveryRecovers(t *testing.T) {
	for _, sidecars := range []int{1, 30, 80, 300, 900} {
		for _, outage := range []time.Duration{7 * time.Second, 20 * time.Second, 10 * time.Minute} {
			if sidecars > 80 && outage > time.Minute {
				continue // the waits are those of 80
			}
			_, callTimes := simulateRenewal(t, sidecars, 12*time.Second, 12*time.Second+outage)
			for i, calls := range callTimes {
				for n := 2; n < len(calls); n++ {
					if calls[n-2] > 12*time.Second+renewWithin && calls[n]-calls[n-2] > renewWithin {
						t.Fatalf("%d instances, instance %d: two waits took %v together", sidecars, i, calls[n]-calls[n-2])
					}
				}
			}
		}
	}
}
