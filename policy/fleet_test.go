package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// newReadyBalancer returns an instance with the listed endpoints and its draw table built at time now.
func newReadyBalancer(t *testing.T, now time.Duration, list []Endpoint) *Balancer {
	t.Helper()
	b := newBalancer(t, testSettings())
	b.Endpoints(now, list, true)
	b.refresh(0)
	return b
}

func anyServer(*server) bool { return true }

func TestDrawFollowsTheSplit(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(10))
	for _, s := range b.fleet.servers {
		s.NominalSize = []float64{3, 1}[s.Kind]
	}
	b.fleet.stale = true
	b.refresh(0) // unknown rate: proportional, 3 to 1
	rng := rand.New(rand.NewPCG(3, 3))
	hits := make([]float64, 2)
	for range 40000 {
		a, second := b.fleet.drawPair(rng.Float64, false, anyServer)
		if a == second {
			t.Fatal("the same server drawn twice")
		}
		hits[a.Kind]++
	}
	if fraction := hits[0] / 40000; math.Abs(fraction-0.75) > 0.01 {
		t.Errorf("fraction of draws of the fast kind: %.3f, want 0.75", fraction)
	}
}

// Within a kind servers are drawn by their size, also by one that was learned after the list.
func TestDrawFollowsSizes(t *testing.T) {
	list := endpointList(4)
	for i := range list {
		list[i].Kind, list[i].NominalSize = 0, 2
	}
	b := newReadyBalancer(t, ms, list)
	b.VisitLearned(2*ms, func(record string, index, _ int, values ...*float64) {
		if record == "endpoint" && index == int(list[0].ID) {
			*values[6] = 6
		}
	})
	b.refresh(0)
	rng := rand.New(rand.NewPCG(3, 3))
	hits := 0
	for range 40000 {
		if a := b.fleet.drawOne(rng.Float64, anyServer); a.ID == list[0].ID {
			hits++
		}
	}
	if fraction := float64(hits) / 40000; math.Abs(fraction-0.5) > 0.01 {
		t.Errorf("fraction of draws of a server three times as large as each of the others: %.3f, want 0.5", fraction)
	}
}

func TestPreferredByInFlightThenChance(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(2))
	f := &b.fleet
	rng := rand.New(rand.NewPCG(3, 3))
	x, y := f.servers[0], f.servers[1]
	x.inFlight = 1
	for range 50 {
		if f.preferred(x, y, ms, rng.Float64) != y || f.preferred(y, x, ms, rng.Float64) != y {
			t.Fatal("the busier server was preferred")
		}
	}
	x.inFlight, x.chance, y.chance = 0, 0.3, 0.1
	won := 0
	for range 20000 {
		if f.preferred(x, y, ms, rng.Float64) == x {
			won++
		}
	}
	if fraction := float64(won) / 20000; math.Abs(fraction-0.75) > 0.02 {
		t.Errorf("fraction of ties won by the server with the higher chance: %.3f, want 0.75", fraction)
	}
}

func TestFewServers(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(1))
	if a, second := b.fleet.drawPair(b.random, false, anyServer); a == nil || second != nil {
		t.Error("one server: want it alone")
	}
	if a, _ := b.fleet.drawPair(b.random, false, func(*server) bool { return false }); a != nil {
		t.Error("no eligible server: want none")
	}
	b = newReadyBalancer(t, ms, nil)
	if a, _ := b.fleet.drawPair(b.random, false, anyServer); a != nil {
		t.Error("no server: want none")
	}
}

func TestColdServerWeightIsBounded(t *testing.T) {
	now := time.Minute
	list := endpointList(4)
	for i := range list {
		list[i].Kind = 0
	}
	list[0].Started = now - 2*time.Second // of 20 s: capacity 0.28 or more
	b := newReadyBalancer(t, now, list)
	if w := b.fleet.byID[1].weight; w <= 0 || w > 0.28 {
		t.Errorf("weight of a cold server: %v, want above 0 and at most 0.28", w)
	}
	b.fleet.nextSplit = 0
	b.now = now + 20*time.Second
	b.refresh(0)
	if w := b.fleet.byID[1].weight; w != 1 {
		t.Errorf("weight once warm: %v, want 1", w)
	}
}

// Fast errors must not make a server look fast or keep its share.
func TestQuickErrorsEject(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(6))
	for i := range 4 {
		r := &request{Request: Request{Class: 0}}
		a := &attempt{server: b.fleet.servers[0]}
		b.now = time.Duration(i+2) * ms
		b.learn(r, a, Outcome{Result: Errored, Elapsed: ms})
	}
	b.refresh(0)
	bad, good := b.fleet.servers[0], b.fleet.servers[2]
	if bad.chance > good.chance/10 {
		t.Errorf("chance %v of a failing server, %v of a healthy one", bad.chance, good.chance)
	}
	if n := b.fleet.kinds[0].slowness.weight; n != 0 {
		t.Errorf("errors counted as %v speed samples", n)
	}
	b.now += time.Minute
	b.fleet.stale = true
	b.refresh(0)
	if bad.chance < good.chance*0.9 {
		t.Error("the server does not recover with time")
	}
}

// Near capacity one answer in ten is late at every endpoint that gets 20 requests per second,
// which does not count against it; an endpoint with few requests, or with several late answers
// in a row, is avoided.
func TestHealthAfterLateAnswers(t *testing.T) {
	b := newReadyBalancer(t, time.Minute, endpointList(3))
	busy, rare := b.fleet.servers[0], b.fleet.servers[1]
	b.now = time.Minute
	answer := func(s *server, elapsed time.Duration) float64 {
		b.now += 50 * time.Millisecond
		b.learn(&request{}, &attempt{server: s}, Outcome{Result: Served, Complete: true, Elapsed: elapsed})
		return s.healthFor(b.now, 0)
	}
	late := b.settings.Classes[0].Aim + ms
	for i := range 400 {
		took := ms
		if i%10 == 9 {
			took = late
		}
		if h := answer(busy, took); h < 0.55 {
			t.Fatalf("answer %d: health %v", i, h)
		}
	}
	for range 5 {
		answer(busy, late)
	}
	if h := busy.healthFor(b.now, 0); h > 0.2 {
		t.Errorf("health %v after five late answers in a row", h)
	}
	answer(rare, ms)
	b.now += 3 * time.Second
	if h := answer(rare, late); h > 2*healthAfterFailure {
		t.Errorf("health %v of an endpoint with few requests after a late answer", h)
	}
}

// When everything fails, ejection must not empty the fleet or favour one server.
func TestMassEjectionKeepsTheFleet(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(6))
	for _, s := range b.fleet.servers {
		for range 5 {
			b.fleet.recordOutcome(s, 0, ms, healthAfterFailure)
		}
	}
	b.refresh(0)
	for _, s := range b.fleet.servers {
		if s.chance < b.fleet.servers[0].chance/2 || s.chance == 0 {
			t.Errorf("chance of %d is %v, of the first %v", s.ID, s.chance, b.fleet.servers[0].chance)
		}
	}
}

// Half of the endpoints were silent to one class and served the other, whose answers kept
// them healthy, so that the first class was sent to them again and again.
func TestHealthIsKeptByClass(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(2))
	s := b.fleet.servers[0]
	for range 3 {
		b.fleet.recordOutcome(s, 0, ms, healthAfterFailure)
		b.fleet.recordOutcome(s, 1, ms, 1)
		b.fleet.recordOutcome(s, 1, ms, 1)
		b.fleet.recordOutcome(s, 1, ms, 1)
	}
	if h := s.healthFor(ms, 0); h > 0.01 {
		t.Errorf("health %v for the class that fails", h)
	}
	if h := s.healthFor(ms, 1); h < 0.6 {
		t.Errorf("health %v for the class that is served", h)
	}
	// A class without outcomes has the health of the endpoint.
	b.fleet.recordOutcome(b.fleet.servers[1], 0, ms, healthAfterFailure)
	if h := b.fleet.servers[1].healthFor(ms, 1); h > healthAfterFailure {
		t.Errorf("health %v for a class not tried after a failure of another", h)
	}
}

// Silent endpoints made sidecars refuse a third of the requests while the others had capacity.
// Only late answers indicate a full fleet.
func TestSilentEndpointsAreNotOverload(t *testing.T) {
	admittedLevel := func(served bool) float64 {
		b := newReadyBalancer(t, ms, endpointList(4))
		for range 40 {
			b.admission.recordOutcome(ms, false, 1)
			b.admission.recordAnswer(true, false)
			b.admission.recordOutcome(ms, true, 1)
			b.admission.recordAnswer(served, true)
		}
		return b.admission.level
	}
	if l := admittedLevel(false); l < 1 {
		t.Errorf("admission level %v while half of the endpoints are silent and the others prompt", l)
	}
	if l := admittedLevel(true); l > 0.5 {
		t.Errorf("admission level %v while half of the answers are late", l)
	}
}

// A hedged attempt for a request to a silent endpoint goes where its class was served.
func TestHedgedAttemptGoesWhereClassIsServed(t *testing.T) {
	for seed := range uint64(20) {
		settings := testSettings()
		settings.HedgedAttempts = true
		b, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Endpoints(ms, endpointList(12), true)
		for _, s := range b.fleet.servers[:2] {
			b.fleet.recordOutcome(s, 0, ms, 1)
		}
		first := b.Request(ms, Request{ID: 1, TimeLeft: 300 * ms})
		timer := first[1].(SetTimer)
		hedged := b.Timer(ms+timer.Delay, timer.Token)
		if len(hedged) == 0 {
			t.Fatal("no hedged attempt")
		}
		if to := hedged[0].(Send).Endpoint; to != b.fleet.servers[0].ID && to != b.fleet.servers[1].ID {
			t.Errorf("the hedged attempt went to endpoint %d", to)
		}
	}
}

func TestRemovedServersAreDropped(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(50))
	b.Endpoints(2*ms, endpointList(2), true)
	if len(b.fleet.servers) != 2 || len(b.fleet.byID) != 2 {
		t.Errorf("%d servers are still known, want 2", len(b.fleet.byID))
	}
}

// A cell short of a shared resource kept its full share, since a client with little
// traffic reaches each of its servers too rarely to eject them.
func TestSlowCellLosesWeight(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(12)) // cells of three
	b.classTimes[0].perWork = 0.02
	for i := range 24 {
		s := b.fleet.servers[i%12]
		took := 20 * ms
		if s.Cell == 0 {
			took = 80 * ms // in time, so health is not affected
		}
		b.learn(&request{Request: Request{Class: 0, Cost: 1}}, &attempt{server: s}, Outcome{Result: Served, Elapsed: took})
		b.classTimes[0].perWork = 0.02
	}
	b.fleet.stale = true
	b.refresh(0)
	slow, fine := b.fleet.servers[0].weight, b.fleet.servers[4].weight
	if slow > fine*0.85 {
		t.Errorf("weight %v in the slow cell, %v in another", slow, fine)
	}
}

// Every client sends a key to the same few servers; a hot key gets more.
func TestDrawByKeyIsConsistentAndSpread(t *testing.T) {
	first, second := newReadyBalancer(t, ms, endpointList(40)), newReadyBalancer(t, ms, endpointList(40))
	seen := func(b *Balancer, seed uint64, want int) map[EndpointID]bool {
		rng := rand.New(rand.NewPCG(seed, 1))
		ids := map[EndpointID]bool{}
		for range 200 {
			x, y := b.fleet.drawPairByKey(hashKey("k"), want, rng.Float64, anyServer)
			if x == y {
				t.Fatal("the same server drawn twice")
			}
			ids[x.ID] = true
		}
		return ids
	}
	a, b := seen(first, 1, 2), seen(second, 2, 2)
	if len(a) != 2 || len(b) != 2 {
		t.Fatalf("a cold key went to %d and %d servers, want 2", len(a), len(b))
	}
	for id := range a {
		if !b[id] {
			t.Error("two clients send the key to different servers")
		}
	}
	if n := len(seen(first, 3, 8)); n != 8 {
		t.Errorf("a hot key went to %d servers, want 8", n)
	}
}

// Kinds that are fast for different classes were sent every class by
// their speed over all classes.
func TestKindSpeedByClass(t *testing.T) {
	settings := testSettings()
	settings.Classes = []Class{{Aim: 100 * ms, Deadline: time.Second}, {Aim: 100 * ms, Deadline: time.Second}}
	b := newBalancer(t, settings)
	b.Endpoints(0, endpointList(10), true)
	fastKind := 0
	for i := range 600 {
		now := time.Duration(i) * 100 * ms
		for _, a := range b.Request(now, Request{ID: RequestID(i), Class: i % 2, TimeLeft: time.Second}) {
			s, ok := a.(Send)
			if !ok {
				continue
			}
			took := 40 * ms
			if b.fleet.byID[s.Endpoint].Kind == i%2 {
				took = 20 * ms
				fastKind += min(i/300, 1)
			}
			b.Outcome(now+took, Outcome{Request: s.Request, Endpoint: s.Endpoint, Complete: true, Elapsed: took})
		}
	}
	if fastKind < 240 {
		t.Errorf("%d of the last 300 requests went to the kind that is fast for their class, want at least 240", fastKind)
	}
}

// A queue that was full for a moment drove clients off an endpoint they had connections
// to, and counted as overload though another server took the request. Only a request of
// which every attempt was declined counts.
func TestDeclineIsNotFailure(t *testing.T) {
	b := newBalancer(t, testSettings())
	b.Endpoints(0, endpointList(10), true)
	b.admission.retryTokens = -10 // attempts that never ran need no retry budget
	actions, sends := b.Request(ms, Request{ID: 1, TimeLeft: time.Second}), 0
	for len(actions) > 0 {
		s, ok := actions[0].(Send)
		if !ok {
			break
		}
		if b.admission.pressure != 0 {
			t.Errorf("pressure %v after %d full servers", b.admission.pressure, sends)
		}
		actions = b.Outcome(2*ms, Outcome{Request: 1, Attempt: sends, Endpoint: s.Endpoint, Result: Declined, Elapsed: ms})
		sends++
		if h := b.fleet.byID[s.Endpoint].healthFor(2*ms, 0); h > healthAfterDecline {
			t.Errorf("health %v after a declined request", h)
		}
	}
	if sends != 3 || b.admission.pressure == 0 {
		t.Errorf("%d attempts, pressure %v, want 3 and above 0", sends, b.admission.pressure)
	}
}

// Draws by key crossed zones for most requests and failed when a zone was cut off;
// strictly confined to the own zone, they failed when it had no capacity.
func TestDrawByKeyPrefersOwnZone(t *testing.T) {
	settings := testSettings()
	settings.WarmKeys, settings.Prices.CrossZone = true, 0.1
	b := newBalancer(t, settings)
	list := endpointList(40)
	for i := range list {
		list[i].Zone = i % 4
	}
	b.Endpoints(0, list, true)
	far := [3]int{}
	for i := range 100 {
		id := RequestID(i)
		b.admission.pressure, b.admission.level = 0, 1 // low pressure
		actions := b.Request(ms, Request{ID: id, Key: fmt.Sprint(i), TimeLeft: time.Second})
		for n := 0; n < 3 && len(actions) > 0; n++ {
			s, ok := actions[0].(Send)
			if !ok {
				t.Fatalf("request %d got %v", i, actions)
			}
			if b.fleet.byID[s.Endpoint].Zone != settings.Zone {
				far[n]++
			}
			actions = b.Outcome(ms, Outcome{Request: id, Attempt: n, Endpoint: s.Endpoint, Result: Declined})
		}
	}
	if far[0] > 0 || far[1] > 0 || far[2] < 20 {
		t.Errorf("requests of 100 that crossed zones, by attempt: %v, want none, none, at least 20", far)
	}
}

// Probes wait in a server's queue, and a server whose probe was still in flight
// was taken for one with nothing in flight.
func TestUnansweredProbeLosesDraw(t *testing.T) {
	for _, answered := range []EndpointID{1, 2} {
		settings := testSettings()
		settings.MayProbe, settings.ReportFields = true, []ReportField{FieldRate, FieldInFlight}
		b := newBalancer(t, settings)
		b.Endpoints(ms, endpointList(2), true)
		got := b.Request(ms, Request{ID: 1, TimeLeft: 200 * ms})
		timer := got[len(got)-1].(SetTimer)
		b.Probed(2*ms, ProbeResult{Endpoint: answered, Report: []float64{100, 3}})
		got = b.Timer(ms+timer.Delay, timer.Token)
		if soleActionType(got) != "policy.Send" || got[0].(Send).Endpoint != answered {
			t.Errorf("sent %v, want endpoint %d, which answered its probe", got, answered)
		}
	}
}

// During a release under overload only cold servers were left, and they were sent
// several times what they can do and failed.
func TestColdServersAreSparedWhileTheyDecline(t *testing.T) {
	sends := func(result Result) (n int) {
		list := endpointList(4)
		for i := range list {
			list[i].Started = 9 * time.Second // warm to at least 0.24 in this second
		}
		b := newReadyBalancer(t, 10*time.Second, list)
		b.fleet.servedRatio = mean{1, 20}
		for i := range 400 {
			now := 10*time.Second + time.Duration(i)*2*ms
			for _, a := range b.Request(now, Request{ID: RequestID(i), TimeLeft: 200 * ms}) {
				if s, ok := a.(Send); ok {
					n++
					b.Outcome(now, Outcome{Request: s.Request, Endpoint: s.Endpoint, Result: result, Complete: result == Served, Elapsed: 10 * ms})
				}
			}
		}
		return n
	}
	if n := sends(Served); n < 350 {
		t.Errorf("%d attempts of 400 requests while all are served", n)
	}
	if n := sends(Declined); n > 100 {
		t.Errorf("%d attempts on cold servers that decline all", n)
	}
}

// 80 clients with little traffic each used all 60 endpoints, opened a connection for one
// request in three, and filled the connection tables of the busy endpoints.
func TestExpensiveHandshakesConfineToSubset(t *testing.T) {
	usedEndpoints := func(price float64, gap time.Duration) int {
		settings := testSettings()
		settings.ConnIdleTimeout, settings.Prices.Handshake, settings.WarmKeys = 10*time.Second, price, true
		b := newBalancer(t, settings)
		b.Endpoints(0, endpointList(60), true)
		to := map[EndpointID]bool{}
		for i := range 2000 {
			now := time.Duration(i+1) * gap
			for _, a := range b.Request(now, Request{ID: RequestID(i), Key: fmt.Sprint("k", i), TimeLeft: 300 * ms}) {
				if s, ok := a.(Send); ok {
					to[s.Endpoint] = true
					b.Outcome(now+ms, Outcome{Request: s.Request, Endpoint: s.Endpoint, Result: Served, Complete: true, Elapsed: ms})
				}
			}
		}
		return len(to)
	}
	if n := usedEndpoints(0.03, 500*ms); n != 60 {
		t.Errorf("%d endpoints used while handshakes are cheap, want 60", n)
	}
	if n := usedEndpoints(0.12, 500*ms); n < 8 || n > 30 {
		t.Errorf("%d of 60 endpoints used at two requests per second, want 8 to 30", n)
	}
	if n := usedEndpoints(0.12, 10*ms); n != 60 {
		t.Errorf("%d of 60 endpoints used at a hundred requests per second, want all", n)
	}
}

// In a small fleet the subset may hold no endpoint, or one: then all are used. Requests were
// refused with every endpoint healthy, and had no second server to choose from.
func TestSubsetOfSmallFleetIsNeverEmpty(t *testing.T) {
	for n := 1; n <= 6; n++ {
		for seed := range uint64(40) {
			settings := testSettings()
			settings.ConnIdleTimeout, settings.Prices.Handshake = 10*time.Second, 0.12
			b, err := New(settings, seed)
			if err != nil {
				t.Fatal(err)
			}
			b.Endpoints(0, endpointList(n), true)
			to := map[EndpointID]bool{}
			for i := range 40 {
				now := time.Duration(i+1) * 5 * time.Second
				s, ok := b.Request(now, Request{ID: RequestID(i), TimeLeft: 300 * ms})[0].(Send)
				if !ok {
					t.Fatalf("%d endpoints, seed %d: request %d was not sent", n, seed, i)
				}
				to[s.Endpoint] = true
				b.Outcome(now+ms, Outcome{Request: s.Request, Endpoint: s.Endpoint, Result: Served, Complete: true, Elapsed: ms})
			}
			if len(to) < min(n, 2) {
				t.Errorf("%d endpoints, seed %d: only %d used", n, seed, len(to))
			}
		}
	}
}

// Of two equally loaded servers the one with a kept connection is preferred; the chance of
// a draw still counts.
func TestKeptConnectionIsPreferred(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(2))
	x, y := b.fleet.servers[0], b.fleet.servers[1]
	x.chance, y.chance = 0.5, 0.5
	x.connectionUntil = time.Second
	n := 0
	for range 2000 {
		if b.fleet.preferred(x, y, ms, b.random) == x {
			n++
		}
	}
	if n < 1700 || n > 1900 {
		t.Errorf("the endpoint with a kept connection won %d of 2000 ties, want 1700 to 1900", n)
	}
	x.inFlight = 1
	if b.fleet.preferred(x, y, ms, b.random) != y {
		t.Error("a connection outweighed a request in flight")
	}
}

// A client that draws from the whole fleet opens a connection for nearly every request,
// and endpoints hold one for each client.
func TestPricedConnectionsStayFew(t *testing.T) {
	for seed := range uint64(5) {
		settings := testSettings()
		settings.Prices.Connection, settings.ConnIdleTimeout = 0.1, 5*time.Second
		b, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Endpoints(0, endpointList(40), true)
		used := map[EndpointID]bool{}
		for i := range 200 {
			now := time.Duration(i+1) * time.Second
			for _, a := range b.Request(now, Request{ID: RequestID(i), TimeLeft: time.Second}) {
				if s, ok := a.(Send); ok {
					used[s.Endpoint] = true
					b.Outcome(now+10*ms, Outcome{Request: s.Request, Endpoint: s.Endpoint, Complete: true, Elapsed: 10 * ms})
				}
			}
		}
		if len(used) == 0 || len(used) > 4 {
			t.Errorf("a client with one request per second used %d of 40 endpoints, want 1 to 4", len(used))
		}
	}
}

// In a full-size fleet most keys are new to a client, and each was sent
// to six servers where two keep it warm.
func TestKeySeenOnceIsNotHot(t *testing.T) {
	k := keyCounts{counts: map[uint64]float64{}}
	for i := range uint64(10) {
		if want := math.Ceil(keySpread * k.add(i) * 60); want > 3 {
			t.Fatalf("key %d, seen once, may go to %v servers", i, want)
		}
	}
	for range 5 {
		k.add(99)
	}
	if want := keySpread * k.add(99) * 60; want < 20 {
		t.Errorf("a key of a third of the traffic may go to %v servers", want)
	}
}

func TestKeyCountsStayBounded(t *testing.T) {
	k := keyCounts{counts: map[uint64]float64{}}
	for i := range uint64(100000) {
		k.add(i)
	}
	if len(k.counts) > 2*keyWindow {
		t.Errorf("%d keys are counted", len(k.counts))
	}
}

// Crossing zones has a price: near endpoints are drawn first at low pressure.
func TestNearEndpointsFirst(t *testing.T) {
	settings := testSettings()
	settings.Prices.CrossZone, settings.Zone = 0.02, 1
	b := newBalancer(t, settings)
	list := endpointList(8)
	for i := range list {
		list[i].Zone = i % 4
	}
	b.Endpoints(ms, list, true)
	nearRequests, total := 0, 400
	for i := range total {
		to := b.Request(ms, Request{ID: RequestID(i), TimeLeft: 100 * ms})[0].(Send).Endpoint
		b.Outcome(2*ms, Outcome{Request: RequestID(i), Endpoint: to, Complete: true, Elapsed: ms})
		if b.fleet.byID[to].Zone == 1 {
			nearRequests++
		}
	}
	if nearRequests < total*9/10 {
		t.Errorf("%d of %d went to the own zone with nothing in flight", nearRequests, total)
	}
	for _, s := range b.fleet.servers {
		if s.Zone == 1 {
			s.inFlight = 5 // the own zone lacks capacity: requests have to spill over
		}
	}
	spilled := 0
	for i := range 50 {
		to := b.Request(ms, Request{ID: RequestID(1000 + i), TimeLeft: 100 * ms})[0].(Send).Endpoint
		if b.fleet.byID[to].Zone != 1 {
			spilled++
		}
	}
	if spilled < 20 {
		t.Errorf("%d of 50 requests spilled over from a busy zone, want at least 20", spilled)
	}
}

func TestProbedPairGoesToLessBusy(t *testing.T) {
	settings := testSettings()
	settings.MayProbe, settings.ReportFields = true, []ReportField{FieldRate, FieldInFlight}
	b := newBalancer(t, settings)
	b.Endpoints(ms, endpointList(2), true)
	got := b.Request(ms, Request{ID: 1, TimeLeft: 200 * ms})
	if len(got) != 3 {
		t.Fatalf("want two probes and a timer, got %v", got)
	}
	b.Probed(2*ms, ProbeResult{Endpoint: 1, Report: []float64{100, 9}})
	got = b.Probed(2*ms, ProbeResult{Endpoint: 2, Report: []float64{100, 2}})
	if soleActionType(got) != "policy.Send" || got[0].(Send).Endpoint != 2 {
		t.Fatalf("sent %v, want endpoint 2", got)
	}
	// A probe that is never answered must not pause the request for good.
	got = b.Request(2*time.Second, Request{ID: 3, TimeLeft: 200 * ms})
	last := got[len(got)-1].(SetTimer)
	got = b.Timer(2*time.Second+last.Delay, last.Token)
	if soleActionType(got) != "policy.Send" {
		t.Fatalf("got %v, want an attempt", got)
	}
}

// After the queues of a fleet had emptied, four in ten requests were refused for five more
// seconds, as a sidecar with a few answers per second learned of it too slowly.
func TestAdmissionRecoversAfterPromptAnswers(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(4))
	for range 12 {
		b.admission.recordOutcome(ms, true, 1)
		b.admission.recordAnswer(true, true)
	}
	if b.admission.level > 0.3 {
		t.Fatalf("admission level %v while all answers are late", b.admission.level)
	}
	for range 12 {
		b.admission.recordOutcome(ms, false, 1)
		b.admission.recordAnswer(true, false)
	}
	if b.admission.level < 0.7 {
		t.Errorf("admission level %v after 12 prompt answers", b.admission.level)
	}
	closed := b.admission.level
	for range 12 { // half of the answers are late: still full
		b.admission.recordOutcome(ms, false, 1)
		b.admission.recordAnswer(true, false)
		b.admission.recordOutcome(ms, true, 1)
		b.admission.recordAnswer(true, true)
	}
	if b.admission.level > closed*0.8 {
		t.Errorf("admission level %v with half of the answers late, %v before", b.admission.level, closed)
	}
}

// A refused client may retry while it can still be answered in time. Where late answers are
// worth nothing, refused clients retried and were served late, which took a third of what 32
// sidecars could have served in time.
func TestRefusalRetryAfter(t *testing.T) {
	const timeLeft = 400 * ms // of which the latency target is a quarter
	minRetryAfter := time.Duration(minAdmitted * retryAfterRatio * float64(timeLeft))
	for name, c := range map[string]struct {
		class     int
		level     float64
		usualTime time.Duration // answer time
		want      time.Duration
	}{
		"late answers have worth, all refused":                    {class: 0, level: 0, want: timeLeft / 2},
		"late answers have none, all refused":                     {class: 4, level: 0, want: timeLeft},
		"late answers have none, almost none refused":             {class: 4, level: 1, want: minRetryAfter},
		"late answers have none, the usual answer takes too long": {class: 4, level: 1, usualTime: 90 * ms, want: timeLeft},
		"late answers have none, the usual answer is in time":     {class: 4, level: 1, usualTime: 70 * ms, want: minRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(t, testSettings()) // without endpoints
			b.beginEvent(ms)
			b.admission.level, b.admission.updatedAt, b.classTimes[c.class].perWork = c.level, ms, c.usualTime.Seconds()
			got := b.Request(ms, Request{ID: 1, Class: c.class, TimeLeft: timeLeft})
			if len(got) != 1 || got[0] != (Refuse{1, c.want}) {
				t.Errorf("got %v, want a refusal with a retry after %v", got, c.want)
			}
		})
	}
	b := newBalancer(t, testSettings())
	if got := b.Request(ms, Request{ID: 1, Class: 99, TimeLeft: timeLeft}); len(got) != 1 || soleActionType(got[0:1]) != "policy.Refuse" {
		t.Errorf("unknown class: got %v, want a refusal", got)
	}
}

// Late answers must lead to refusals soon, and their effect must decay.
func TestPressureRefusesAndDecays(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(4))
	refused := func(from RequestID) (n int) {
		for i := range RequestID(60) {
			if soleActionType(b.Request(b.now, Request{ID: from + i, Tenant: int(i) % 2, TimeLeft: 100 * ms})) == "policy.Refuse" {
				n++
			}
		}
		return n
	}
	if n := refused(0); n != 0 {
		t.Errorf("%d refused at low pressure", n)
	}
	for range 8 {
		b.admission.recordOutcome(b.now, true, 1)
		b.admission.recordAnswer(true, true)
	}
	if n := refused(100); n < 30 {
		t.Errorf("only %d of 60 refused under pressure", n)
	}
	b.now += 2 * time.Minute
	if n := refused(200); n != 0 {
		t.Errorf("%d refused after the decay", n)
	}
}

// A request whose usual answer time is longer than the client waits is refused before it
// costs a server work; some are attempted all the same, as the estimate may be wrong.
func TestHopelessRequestsAreRefusedEarly(t *testing.T) {
	b := newReadyBalancer(t, ms, endpointList(4))
	for range 20 {
		b.classTimes[0].add(0.05, 1)
	}
	refused := 0
	for i := range RequestID(100) {
		if soleActionType(b.Request(2*ms, Request{ID: i, TimeLeft: 10 * ms})) == "policy.Refuse" {
			refused++
		}
	}
	if refused < 70 || refused == 100 {
		t.Errorf("%d of 100 hopeless requests were refused", refused)
	}
	if soleActionType(b.Request(3*ms, Request{ID: 500, TimeLeft: 200 * ms})) != "policy.Send" {
		t.Error("a request with enough time was refused")
	}
}

func TestDiscoveryBacksOffWithJitter(t *testing.T) {
	settings := testSettings()
	settings.DiscoveryOnRequest = true
	b := newBalancer(t, settings)
	got := b.Endpoints(ms, endpointList(2), true)
	if len(got) != 1 {
		t.Fatalf("want the timer of the first call, got %v", got)
	}
	first := got[0].(SetTimer)
	if first.Delay > settings.PollWithin {
		t.Errorf("the first call is made after %v, later than PollWithin", first.Delay)
	}
	if got = b.Timer(first.Delay, first.Token); len(got) != 1 || got[0] != (Subscribe{}) {
		t.Fatalf("got %v, want a subscription", got)
	}
	// A call without an answer fails after 2 s, and a change counts as notified 6 s after discovery
	// can be reached: a wait over 4 s is too long. Equal waits would have a fleet call at once,
	// and waits under 1 s would keep discovery busy with calls that it refuses.
	const longest, shortest = 4 * time.Second, time.Second
	var all []time.Duration
	for i := range 200 {
		got = b.DiscoveryFailed(time.Duration(i) * time.Minute)
		wait := got[0].(SetTimer).Delay
		if wait > longest || wait < shortest {
			t.Errorf("wait %d is %v, want %v to %v", i, wait, shortest, longest)
		}
		all = append(all, wait)
		b.Timer(b.now+wait, got[0].(SetTimer).Token)
	}
	if spread := slices.Max(all[1:]) - slices.Min(all[1:]); spread < maxBackoff*9/10 {
		t.Errorf("waits differ by at most %v, want a spread over %v", spread, maxBackoff)
	}
}

// After a failed call the known list is valid for four times PollWithin from that call,
// which may itself take 4 s to fail: the next call is made before that.
func TestDiscoveryRetryWhileListIsValid(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute} {
		settings := testSettings()
		settings.DiscoveryOnRequest, settings.PollWithin = true, within
		b := newBalancer(t, settings)
		b.Endpoints(ms, endpointList(2), true)
		now := time.Minute
		b.Timer(now, Token{Purpose: timerSubscribe})
		for i := range 50 {
			now += time.Minute
			wait := b.DiscoveryFailed(now)[0].(SetTimer)
			if maxWait := 4*within - 4*time.Second; wait.Delay > maxWait {
				t.Errorf("PollWithin %v, failure %d: next call after %v, want at most %v", within, i, wait.Delay, maxWait)
			}
			now += wait.Delay
			b.Timer(now, wait.Token)
		}
	}
}

func BenchmarkRequest(bench *testing.B) {
	settings := testSettings()
	b, _ := New(settings, 1)
	b.Endpoints(ms, endpointList(64), true)
	bench.ReportAllocs()
	for i := range bench.N {
		now := time.Duration(i) * ms
		id := RequestID(i)
		for _, a := range b.Request(now, Request{ID: id, TimeLeft: 100 * ms}) {
			if s, ok := a.(Send); ok {
				b.Outcome(now+ms, Outcome{Request: id, Endpoint: s.Endpoint, Complete: true, Elapsed: ms})
			}
		}
	}
}

// Requests whose late answer is worth nothing were abandoned at their latency target. Endpoints that
// can't cancel worked on, the client retried, and at a third of its capacity a fleet served half.
func TestTimeoutIsNotCutAtLatencyTarget(t *testing.T) {
	b := newBalancer(t, testSettings())
	b.Endpoints(ms, endpointList(3), true)
	for _, class := range []int{0, 3} {
		got := b.Request(ms, Request{ID: RequestID(class), Class: class, TimeLeft: 300 * ms})[0].(Send)
		if got.Timeout != 300*ms {
			t.Errorf("class %d: timeout %v, want all the time that the client waits", class, got.Timeout)
		}
	}
}

// Long requests without a cost hint were taken for ones that an endpoint is silent to. An answer to a
// request that was sent later shows that it is not silent, and only a long wait shows that it is.
func TestNoHedgedAttemptForLongWork(t *testing.T) {
	for _, c := range []struct {
		what      string
		cost      float64 // hinted; 0: none
		overtaken bool
		usualTime time.Duration
		hedged    int
	}{
		{"hinted, silent", 0.03, false, 30 * ms, 1},
		{"hinted, overtaken", 0.03, true, 30 * ms, 1}, // its answer is lost
		{"not hinted, within four times the usual", 0, false, 30 * ms, 0},
		{"not hinted, beyond", 0, false, 10 * ms, 1},
		{"not hinted, overtaken", 0, true, 10 * ms, 0},
	} {
		settings := testSettings()
		settings.HedgedAttempts = true
		b := newBalancer(t, settings)
		b.Endpoints(ms, endpointList(3), true)
		for _, s := range b.fleet.servers {
			b.fleet.recordOutcome(s, 0, ms, 1)
		}
		now, id := ms, RequestID(0)
		request := func() (Send, SetTimer) {
			id++
			actions := b.Request(now, Request{ID: id, TimeLeft: 300 * ms, Cost: c.cost})
			return actions[0].(Send), actions[1].(SetTimer)
		}
		answer := func(s Send) {
			b.Outcome(now, Outcome{Request: s.Request, Endpoint: s.Endpoint, Result: Served, Complete: true, Elapsed: c.usualTime})
		}
		for range 40 { // establishes the usual answer time
			s, _ := request()
			now += c.usualTime
			answer(s)
		}
		long, timer := request()
		due := now + timer.Delay
		now += ms
		for range 60 {
			s, _ := request()
			if now += ms / 20; c.overtaken == (s.Endpoint == long.Endpoint) {
				answer(s) // of its endpoint, or of all others
			}
		}
		if actions := len(b.Timer(due, timer.Token)); min(actions, 1) != c.hedged {
			t.Errorf("%s: %d actions once it is overdue, want hedged attempts: %d", c.what, actions, c.hedged)
		}
	}
}

// In a burst in a full-size fleet, a client with one request per second learned
// of it only from answers that arrived seconds later.
func TestOverdueAttemptsCountBeforeTheirAnswer(t *testing.T) {
	b := newBalancer(t, testSettings())
	b.Endpoints(ms, endpointList(3), true)
	sent := b.Request(ms, Request{ID: 1, TimeLeft: 300 * ms})
	if len(sent) != 2 {
		t.Fatalf("want an attempt and a timer, got %v", sent)
	}
	timer := sent[1].(SetTimer)
	b.Timer(timer.Delay, timer.Token)
	if !b.lowPressure() {
		t.Error("counted as late before it was overdue")
	}
	b.Timer(ms+timer.Delay, timer.Token)
	pressure := b.admission.pressure
	if b.lowPressure() || b.fleet.byID[sent[0].(Send).Endpoint].healthFor(b.now, 0) > healthAfterFailure*1.01 {
		t.Error("an overdue attempt was not counted as late")
	}
	b.Timer(2*ms+timer.Delay, timer.Token)
	b.Outcome(200*ms, Outcome{Request: 1, Endpoint: sent[0].(Send).Endpoint, Result: Served, Complete: true, Elapsed: 199 * ms})
	if b.admission.pressure > pressure {
		t.Error("counted as late twice")
	}
}

// Where worth counts per request, expensive and cheap requests were refused
// alike under overload.
func TestWorthPerWorkIsAdmittedFirst(t *testing.T) {
	settings := testSettings()
	settings.Classes = []Class{{Aim: time.Second, Deadline: time.Second, Worth: 2}, {Aim: time.Second, Deadline: time.Second, Worth: 2}}
	b := newBalancer(t, settings)
	b.classTimes[0].add(0.02, 1)
	b.classTimes[1].add(0.1, 1)
	admitted := [2]int{}
	for i := range 2000 {
		b.admission.level = 0.5
		if b.admit(&request{Request: Request{Class: i % 2}}) {
			admitted[i%2]++
		}
	}
	if admitted[0] < 2*admitted[1] || admitted[1] == 0 {
		t.Errorf("fast and slow requests of equal worth: %v admitted", admitted)
	}
}

// Where a crossing costs almost nothing, draws confined to the own zone left
// its slowed servers the load that others had capacity for.
func TestCheapZoneCrossingDoesNotConfineDraws(t *testing.T) {
	settings := testSettings()
	settings.Prices.CrossZone, settings.Zone = 0.01, 1
	b := newBalancer(t, settings)
	list := endpointList(8)
	for i := range list {
		list[i].Zone = i / 4
	}
	b.Endpoints(ms, list, true)
	b.refresh(0)
	far := 0
	for range 1000 {
		if x, _ := b.drawServers(&request{}, anyServer); x.Zone != 1 {
			far++
		}
	}
	if far < 400 || far > 600 {
		t.Errorf("%d of 1000 first draws crossed zones, want about half", far)
	}
}
