package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Four hours at ten requests per second in virtual time: an endpoint is replaced every two
// seconds, under a new id and in a cell of its own; every request has a new id, and most a
// new key. Lists are delayed, answers are lost, clients disconnect. The state of an instance
// stays within the bounds that are stated here, and at the end only the listed endpoints
// and the latest keys are left of it.
func TestSoakStateIsBounded(t *testing.T) {
	t.Parallel()
	const (
		duration, rate, listed = 4 * time.Hour, 10, 60
		open                   = 4 * rate // requests: deadlines are 1.2 s at most, and lost answers expire with them
		timers                 = 6 * open // three attempts a request with a timer each, kept until due; the call to discovery
	)
	rng := rand.New(rand.NewPCG(5, 5))
	b, err := New(Settings{
		Classes: simClasses, Tenants: []Tenant{{0.6}, {0.4}}, FleetSize: 300, DiscoveryOnRequest: true, PollWithin: 10 * time.Second, MaxAttempts: 3,
		HedgedAttempts: true, Cancel: true, WorthByWork: true, WarmKeys: true, WarmupTime: 20 * time.Second, StartCapacity: 0.13,
		ConnIdleTimeout: 10 * time.Second, Prices: Prices{Handshake: 0.06},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	m := &fleetSim{}
	pending, members, oldest, maxSeen := 0, 0, 0, map[string]int{}
	attempts := map[RequestID]int{}
	var apply func([]Action)
	apply = func(actions []Action) {
		for _, a := range append([]Action(nil), actions...) {
			switch a := a.(type) {
			case SetTimer:
				pending++
				m.schedule(a.Delay, func() { pending--; apply(b.Timer(m.now, a.Token)) })
			case Refuse:
				delete(attempts, a.Request)
			case Fail:
				delete(attempts, a.Request)
			case Subscribe:
				m.schedule(time.Duration(rng.Int64N(int64(3*time.Second))), func() {
					if rng.IntN(3) == 0 {
						apply(b.DiscoveryFailed(m.now))
					} else {
						apply(b.Endpoints(m.now, nil, false))
					}
				})
			case Send:
				n := attempts[a.Request]
				attempts[a.Request]++
				elapsed, result := time.Duration(rng.ExpFloat64()*float64(40*time.Millisecond)), Served
				switch rng.IntN(20) {
				case 0:
					elapsed, result = a.Timeout, NoAnswer
				case 1:
					result = ConnectionLost
				case 2:
					result = Declined
				}
				if elapsed >= a.Timeout {
					elapsed, result = a.Timeout, NoAnswer
				}
				m.schedule(elapsed, func() {
					_, open := attempts[a.Request]
					if result == Served {
						delete(attempts, a.Request)
					}
					apply(b.Outcome(m.now, Outcome{Request: a.Request, Attempt: n, Endpoint: a.Endpoint, Result: result, Complete: result == Served || !open, Elapsed: elapsed}))
				})
			}
		}
	}
	list := func(full bool) {
		var l []Endpoint
		for i := oldest; i < members; i++ {
			l = append(l, Endpoint{ID: EndpointID(i), Cell: i, Kind: i % 200, Started: m.now})
		}
		if !full { // removed endpoints are reported, not left out
			l = []Endpoint{{ID: EndpointID(oldest - 1), Readiness: Removed}, l[len(l)-1]}
		}
		apply(b.Endpoints(m.now, l, full))
	}
	members = listed
	list(true)
	id, end := RequestID(0), duration
	var arrive, replace func()
	arrive = func() {
		if id++; m.now >= end {
			return
		}
		q := Request{ID: id, Class: int(id) % 2, Tenant: rng.IntN(3) - 1, TimeLeft: simClasses[id%2].Deadline, Key: fmt.Sprint("new ", id)}
		if id%5 == 0 {
			q.Key = "popular"
		}
		attempts[id] = 0
		apply(b.Request(m.now, q))
		if disconnected := id; id%17 == 0 {
			m.schedule(5*time.Millisecond, func() { delete(attempts, disconnected); apply(b.ClientDisconnected(m.now, disconnected)) })
		}
		m.schedule(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	replace = func() {
		oldest, members = oldest+1, members+1
		list(members%10 == 0)
		for what, n := range map[string]int{
			"open requests": len(b.requests), "paused requests": len(b.awaitingProbes), "timers": pending, "endpoints": len(b.fleet.byID),
			"servers": len(b.fleet.servers), "kinds": len(b.fleet.kinds), "table": cap(b.fleet.drawTable), "ranked": cap(b.fleet.ranked),
			"keys": len(b.keys.counts), "classes": len(b.classTimes), "actions": cap(b.actions),
		} {
			maxSeen[what] = max(maxSeen[what], n)
		}
		if m.now < end {
			m.schedule(2*time.Second, replace)
		}
	}
	m.schedule(0, arrive)
	m.schedule(0, replace)
	for len(m.queue) > 0 && m.now < end+time.Minute {
		m.step()
	}
	for what, bound := range map[string]int{
		"open requests": open, "paused requests": 0, "timers": timers, "endpoints": listed + open, "servers": listed + open, "kinds": maxKind + 1,
		"table": 2 * (listed + open), "ranked": 2 * (listed + open), "keys": keyWindow, "classes": len(simClasses), "actions": 64,
	} {
		if maxSeen[what] > bound {
			t.Errorf("%s: maximum %d, the bound is %d", what, maxSeen[what], bound)
		}
	}
	if members < 7000 || id < 100000 {
		t.Errorf("only %d endpoints and %d requests were simulated", members, id)
	}
	if len(b.requests) != 0 || len(b.fleet.byID) != listed || len(b.fleet.servers) != listed {
		t.Errorf("%d requests, %d and %d endpoints are left", len(b.requests), len(b.fleet.byID), len(b.fleet.servers))
	}
	t.Log(maxSeen)
}
