package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// silent is how long before its watch ended an instance had its latest answer.
func silent(i, of int) time.Duration { return 2 * time.Second * time.Duration(i) / time.Duration(of) }

// renewing is a fleet whose list was current, by a watch, at a moment, and whose calls then fail
// at once until an end. It returns the calls by second, and the moments of each instance's.
func renewing(t *testing.T, sidecars int, lost, end time.Duration) (perSecond map[int]int, each [][]time.Duration) {
	m := &many{class: map[[2]int]int{}, attempts: map[[2]int]int{}}
	perSecond, each = map[int]int{}, make([][]time.Duration, sidecars)
	var carryOut func(i int, actions []Action)
	carryOut = func(i int, actions []Action) {
		for _, a := range append([]Action(nil), actions...) {
			switch a := a.(type) {
			case SetTimer:
				m.after(a.Delay, func() { carryOut(i, m.sidecars[i].Timer(m.now, a.Token)) })
			case Subscribe:
				if m.now < lost || m.now > end+currentFor {
					continue
				}
				perSecond[int((m.now-lost)/time.Second)]++
				each[i] = append(each[i], m.now)
				carryOut(i, m.sidecars[i].DiscoveryLost(m.now, lost-silent(i, sidecars), false))
			}
		}
	}
	set := settings()
	set.DiscoveryOnRequest, set.FleetSize = true, sidecars
	for i := range sidecars {
		b, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		m.sidecars = append(m.sidecars, b)
		carryOut(i, b.Endpoints(0, fleetOf(2), true))
		m.after(lost, func() { carryOut(i, b.DiscoveryLost(lost, lost-silent(i, sidecars), false)) })
	}
	for len(m.queue) > 0 {
		m.step()
	}
	return perSecond, each
}

// A list that was current is renewed in time though calls are refused: three of them come within
// the time, also where the silence of the watch was noticed late. All watches of a fleet end at
// once: discovery gets no more than twice the calls of one that watches, one in 2 s from each, or 300
// a second of a small fleet, and chance.
func TestRenewedInTimeThoughCallsAreRefused(t *testing.T) {
	const lost, end = 12 * time.Second, 40 * time.Second
	for _, sidecars := range []int{1, 5, 30, 80, 300, 900} {
		t.Run(fmt.Sprint(sidecars), func(t *testing.T) {
			perSecond, each := renewing(t, sidecars, lost, end)
			for i, calls := range each {
				n := 0
				for _, at := range calls {
					if at <= lost+currentFor-silent(i, sidecars) {
						n++
					}
				}
				if n < 3 || sidecars <= 80 && n < 6 {
					t.Fatalf("instance %d made %d calls within %v", i, n, currentFor)
				}
			}
			for second, n := range perSecond {
				if most := math.Max(float64(sidecars), 300); float64(n) > most+2*math.Sqrt(most)+2 {
					t.Errorf("%d calls in second %d", n, second)
				}
			}
		})
	}
}

// Discovery comes back at any moment, after seconds or an hour, and refuses each instance once
// more: the next call comes in time for what counts as notified then.
func TestRefusedOnceMoreAsDiscoveryComesBack(t *testing.T) {
	for _, sidecars := range []int{1, 30, 80, 300, 900} {
		for _, lasts := range []time.Duration{7 * time.Second, 20 * time.Second, 10 * time.Minute} {
			if sidecars > 80 && lasts > time.Minute {
				continue // the waits are those of 80
			}
			_, each := renewing(t, sidecars, 12*time.Second, 12*time.Second+lasts)
			for i, calls := range each {
				for n := 2; n < len(calls); n++ {
					if calls[n-2] > 12*time.Second+currentFor && calls[n]-calls[n-2] > currentFor {
						t.Fatalf("%d instances, instance %d: two waits of %v in all", sidecars, i, calls[n]-calls[n-2])
					}
				}
			}
		}
	}
}
