package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ready gives a fleet of n servers with its draw table built at time now.
func ready(t *testing.T, now time.Duration, list []Endpoint) *Balancer {
	t.Helper()
	b := start(t, settings())
	b.Endpoints(now, list, true)
	b.refresh(0)
	return b
}

func any1(*server) bool { return true }

func TestDrawFollowsTheSplit(t *testing.T) {
	b := ready(t, ms, fleetOf(10))
	for _, s := range b.fleet.servers {
		s.NominalSize = []float64{3, 1}[s.Kind]
	}
	b.fleet.stale = true
	b.refresh(0) // unknown rate: proportional, 3 to 1
	rng := rand.New(rand.NewPCG(3, 3))
	hits := make([]float64, 2)
	for range 40000 {
		a, second := b.fleet.choose(rng.Float64, false, any1)
		if a == second {
			t.Fatal("the same server drawn twice")
		}
		hits[a.Kind]++
	}
	if part := hits[0] / 40000; math.Abs(part-0.75) > 0.01 {
		t.Errorf("the fast kind was drawn for %.3f, want 0.75", part)
	}
}

// Within a kind servers are drawn by their size, also one that was told after the list.
func TestDrawFollowsSizes(t *testing.T) {
	list := fleetOf(4)
	for i := range list {
		list[i].Kind, list[i].NominalSize = 0, 2
	}
	b := ready(t, ms, list)
	b.VisitLearned(2*ms, func(what string, of, _ int, x ...*float64) {
		if what == "endpoint" && of == int(list[0].ID) {
			*x[6] = 6
		}
	})
	b.refresh(0)
	rng := rand.New(rand.NewPCG(3, 3))
	hits := 0
	for range 40000 {
		if a := b.fleet.scan(rng.Float64, any1); a.ID == list[0].ID {
			hits++
		}
	}
	if part := float64(hits) / 40000; math.Abs(part-0.5) > 0.01 {
		t.Errorf("three times the size of three others was drawn for %.3f, want 0.5", part)
	}
}

func TestFewerInFlightWinsTiesByProbability(t *testing.T) {
	b := ready(t, ms, fleetOf(2))
	f := &b.fleet
	rng := rand.New(rand.NewPCG(3, 3))
	x, y := f.servers[0], f.servers[1]
	x.inFlight = 1
	for range 50 {
		if f.better(x, y, ms, rng.Float64) != y || f.better(y, x, ms, rng.Float64) != y {
			t.Fatal("the busier server was taken")
		}
	}
	x.inFlight, x.chance, y.chance = 0, 0.3, 0.1
	won := 0
	for range 20000 {
		if f.better(x, y, ms, rng.Float64) == x {
			won++
		}
	}
	if part := float64(won) / 20000; math.Abs(part-0.75) > 0.02 {
		t.Errorf("ties went to the likelier server for %.3f, want 0.75", part)
	}
}

func TestFewServers(t *testing.T) {
	b := ready(t, ms, fleetOf(1))
	if a, second := b.fleet.choose(b.random, false, any1); a == nil || second != nil {
		t.Error("one server: it alone is to be chosen")
	}
	if a, _ := b.fleet.choose(b.random, false, func(*server) bool { return false }); a != nil {
		t.Error("no fitting server: none is to be chosen")
	}
	b = ready(t, ms, nil)
	if a, _ := b.fleet.choose(b.random, false, any1); a != nil {
		t.Error("no server: none is to be chosen")
	}
}

func TestColdServerGetsItsGuaranteedPartAtMost(t *testing.T) {
	now := time.Minute
	list := fleetOf(4)
	for i := range list {
		list[i].Kind = 0
	}
	list[0].Started = now - 2*time.Second // of 20: capacity 0.28 or more
	b := ready(t, now, list)
	if w := b.fleet.byID[1].weight; w <= 0 || w > 0.28 {
		t.Errorf("weight of a cold server: %v", w)
	}
	b.fleet.solveAt = 0
	b.now = now + 20*time.Second
	b.refresh(0)
	if w := b.fleet.byID[1].weight; w != 1 {
		t.Errorf("weight once warm: %v", w)
	}
}

// Quick errors must not make a server look fast or keep its share.
func TestQuickErrorsEject(t *testing.T) {
	b := ready(t, ms, fleetOf(6))
	for i := range 4 {
		r := &request{Request: Request{Class: 0}}
		a := &attempt{server: b.fleet.servers[0]}
		b.now = time.Duration(i+2) * ms
		b.learn(r, a, Outcome{Result: Errored, Elapsed: ms})
	}
	b.refresh(0)
	bad, good := b.fleet.servers[0], b.fleet.servers[2]
	if bad.chance > good.chance/10 {
		t.Errorf("chance %v against %v of a healthy one", bad.chance, good.chance)
	}
	if n := b.fleet.kinds[0].slowness.weight; n != 0 {
		t.Errorf("errors gave %v speed samples", n)
	}
	b.now += time.Minute
	b.fleet.stale = true
	b.refresh(0)
	if bad.chance < good.chance*0.9 {
		t.Error("the server does not come back with time")
	}
}

// Near capacity one answer in ten is late at every endpoint that is asked 20 times a second,
// and speaks against none; one that is asked now and then, or is late again and again,
// is avoided.
func TestLateAnswersAmongMany(t *testing.T) {
	b := ready(t, time.Minute, fleetOf(3))
	busy, rare := b.fleet.servers[0], b.fleet.servers[1]
	b.now = time.Minute
	answer := func(s *server, elapsed time.Duration) float64 {
		b.now += 50 * time.Millisecond
		b.learn(&request{}, &attempt{server: s}, Outcome{Result: Served, Complete: true, Elapsed: elapsed})
		return s.healthAt(b.now, 0)
	}
	late := b.set.Classes[0].Aim + ms
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
	if h := busy.healthAt(b.now, 0); h > 0.2 {
		t.Errorf("health %v after five late answers in a row", h)
	}
	answer(rare, ms)
	b.now += 3 * time.Second
	if h := answer(rare, late); h > 2*failureKeeps {
		t.Errorf("health %v of one that is asked now and then", h)
	}
}

// When everything fails, ejection must not empty the fleet or favour one.
func TestMassEjectionKeepsTheFleet(t *testing.T) {
	b := ready(t, ms, fleetOf(6))
	for _, s := range b.fleet.servers {
		for range 5 {
			b.fleet.observe(s, 0, ms, failureKeeps)
		}
	}
	b.refresh(0)
	for _, s := range b.fleet.servers {
		if s.chance < b.fleet.servers[0].chance/2 || s.chance == 0 {
			t.Errorf("chance of %d is %v, of the first %v", s.ID, s.chance, b.fleet.servers[0].chance)
		}
	}
}

// Failure answered: half of the endpoints were silent to one class and served the
// other, whose answers made them look well; each request of the class met them anew.
func TestHealthIsKeptByClass(t *testing.T) {
	b := ready(t, ms, fleetOf(2))
	s := b.fleet.servers[0]
	for range 3 {
		b.fleet.observe(s, 0, ms, failureKeeps)
		b.fleet.observe(s, 1, ms, 1)
		b.fleet.observe(s, 1, ms, 1)
		b.fleet.observe(s, 1, ms, 1)
	}
	if h := s.healthAt(ms, 0); h > 0.01 {
		t.Errorf("health %v for the class that fails", h)
	}
	if h := s.healthAt(ms, 1); h < 0.6 {
		t.Errorf("health %v for the class that is served", h)
	}
	// What is not known of a class is what is known of the endpoint.
	b.fleet.observe(b.fleet.servers[1], 0, ms, failureKeeps)
	if h := b.fleet.servers[1].healthAt(ms, 1); h > failureKeeps {
		t.Errorf("health %v for a class not tried after a failure of another", h)
	}
}

// Failure answered: endpoints that fell silent made sidecars refuse a third of the
// requests while the others had room. Late answers are what tells a full fleet.
func TestSilentEndpointsAreNoFullFleet(t *testing.T) {
	level := func(served bool) float64 {
		b := ready(t, ms, fleetOf(4))
		for range 40 {
			b.adm.outcome(ms, false, 1)
			b.adm.answered(true, false)
			b.adm.outcome(ms, true, 1)
			b.adm.answered(served, true)
		}
		return b.adm.level
	}
	if l := level(false); l < 1 {
		t.Errorf("%v admitted while half are silent and the others prompt", l)
	}
	if l := level(true); l > 0.5 {
		t.Errorf("%v admitted while half of the answers are late", l)
	}
}

// A second copy of what an endpoint is silent to goes where its class was served.
func TestSecondCopyGoesWhereTheClassIsServed(t *testing.T) {
	for seed := range uint64(20) {
		set := settings()
		set.HedgedAttempts = true
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Endpoints(ms, fleetOf(12), true)
		for _, s := range b.fleet.servers[:2] {
			b.fleet.observe(s, 0, ms, 1)
		}
		first := b.Request(ms, Request{ID: 1, TimeLeft: 300 * ms})
		timer := first[1].(SetTimer)
		again := b.Timer(ms+timer.Delay, timer.Token)
		if len(again) == 0 {
			t.Fatal("no second copy")
		}
		if to := again[0].(Send).Endpoint; to != b.fleet.servers[0].ID && to != b.fleet.servers[1].ID {
			t.Errorf("the second copy went to %d", to)
		}
	}
}

func TestGoneServersAreForgotten(t *testing.T) {
	b := ready(t, ms, fleetOf(50))
	b.Endpoints(2*ms, fleetOf(2), true)
	if len(b.fleet.servers) != 2 || len(b.fleet.byID) != 2 {
		t.Errorf("%d servers are remembered", len(b.fleet.byID))
	}
}

// Failure answered: a cell short of something shared kept its full part, since
// a sparse client meets each of its servers too rarely to eject them.
func TestSlowCellLosesWeight(t *testing.T) {
	b := ready(t, ms, fleetOf(12)) // cells of three
	b.times[0].per = 0.02
	for i := range 24 {
		s := b.fleet.servers[i%12]
		took := 20 * ms
		if s.Cell == 0 {
			took = 80 * ms // in time, so health says nothing
		}
		b.learn(&request{Request: Request{Class: 0, Cost: 1}}, &attempt{server: s}, Outcome{Result: Served, Elapsed: took})
		b.times[0].per = 0.02
	}
	b.fleet.stale = true
	b.refresh(0)
	slow, fine := b.fleet.servers[0].weight, b.fleet.servers[4].weight
	if slow > fine*0.85 {
		t.Errorf("weight %v in the slow cell, %v in another", slow, fine)
	}
}

// A key keeps its few servers, at every client; a hot key gets more.
func TestKeyedDrawIsSharedAndSpread(t *testing.T) {
	one, other := ready(t, ms, fleetOf(40)), ready(t, ms, fleetOf(40))
	seen := func(b *Balancer, seed uint64, want int) map[EndpointID]bool {
		rng := rand.New(rand.NewPCG(seed, 1))
		ids := map[EndpointID]bool{}
		for range 200 {
			x, y := b.fleet.chooseByKey(hashKey("k"), want, rng.Float64, any1)
			if x == y {
				t.Fatal("the same server drawn twice")
			}
			ids[x.ID] = true
		}
		return ids
	}
	a, b := seen(one, 1, 2), seen(other, 2, 2)
	if len(a) != 2 || len(b) != 2 {
		t.Fatalf("a cold key went to %d and %d servers, want 2", len(a), len(b))
	}
	for id := range a {
		if !b[id] {
			t.Error("two clients send the key to different servers")
		}
	}
	if n := len(seen(one, 3, 8)); n != 8 {
		t.Errorf("a hot key went to %d servers, want 8", n)
	}
}

// Failure answered: kinds that are quick at different classes got every class
// by the speed they have over all of them.
func TestKindsThatRankDifferentlyByClass(t *testing.T) {
	set := settings()
	set.Classes = []Class{{Aim: 100 * ms, Deadline: time.Second}, {Aim: 100 * ms, Deadline: time.Second}}
	b := start(t, set)
	b.Endpoints(0, fleetOf(10), true)
	right := 0
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
				right += min(i/300, 1)
			}
			b.Outcome(now+took, Outcome{Request: s.Request, Endpoint: s.Endpoint, Complete: true, Elapsed: took})
		}
	}
	if right < 240 {
		t.Errorf("%d of the last 300 requests went to the kind that is quick at them", right)
	}
}

// Failures answered: one momentarily full queue drove clients off an endpoint
// they had connections to, and counted as overload though another server took
// the request. Only a request that no attempt found room for counts.
func TestTurnedAwayIsNoFailure(t *testing.T) {
	b := start(t, settings())
	b.Endpoints(0, fleetOf(10), true)
	b.adm.retries = -10 // attempts that never ran need no budget
	actions, sends := b.Request(ms, Request{ID: 1, TimeLeft: time.Second}), 0
	for len(actions) > 0 {
		s, ok := actions[0].(Send)
		if !ok {
			break
		}
		if b.adm.pressure != 0 {
			t.Errorf("pressure %v after %d full servers", b.adm.pressure, sends)
		}
		actions = b.Outcome(2*ms, Outcome{Request: 1, Attempt: sends, Endpoint: s.Endpoint, Result: Declined, Elapsed: ms})
		sends++
		if h := b.fleet.byID[s.Endpoint].healthAt(2*ms, 0); h > declineKeeps {
			t.Errorf("health %v after being turned away", h)
		}
	}
	if sends != 3 || b.adm.pressure == 0 {
		t.Errorf("%d attempts, pressure %v, want 3 and above 0", sends, b.adm.pressure)
	}
}

// Failures answered: keyed draws crossed zones for most requests and failed when
// a zone was cut off; confined for good, they failed when the zone had no room.
func TestKeyedDrawStartsNear(t *testing.T) {
	set := settings()
	set.WarmKeys, set.Prices.CrossZone = true, 0.1
	b := start(t, set)
	list := fleetOf(40)
	for i := range list {
		list[i].Zone = i % 4
	}
	b.Endpoints(0, list, true)
	far := [3]int{}
	for i := range 100 {
		id := RequestID(i)
		b.adm.pressure, b.adm.level = 0, 1 // calm
		actions := b.Request(ms, Request{ID: id, Key: fmt.Sprint(i), TimeLeft: time.Second})
		for n := 0; n < 3 && len(actions) > 0; n++ {
			s, ok := actions[0].(Send)
			if !ok {
				t.Fatalf("request %d got %v", i, actions)
			}
			if b.fleet.byID[s.Endpoint].Zone != set.Zone {
				far[n]++
			}
			actions = b.Outcome(ms, Outcome{Request: id, Attempt: n, Endpoint: s.Endpoint, Result: Declined})
		}
	}
	if far[0] > 0 || far[1] > 0 || far[2] < 20 {
		t.Errorf("%v of 100 requests crossed at their three attempts, want none, none, some", far)
	}
}

// Failure answered: probes wait in a server's queue, and a server whose probe was
// still out passed for one with nothing in flight.
func TestProbeStillOutLosesTheDraw(t *testing.T) {
	for _, told := range []EndpointID{1, 2} {
		set := settings()
		set.MayProbe, set.ReportFields = true, []ReportField{FieldRate, FieldInFlight}
		b := start(t, set)
		b.Endpoints(ms, fleetOf(2), true)
		got := b.Request(ms, Request{ID: 1, TimeLeft: 200 * ms})
		timer := got[len(got)-1].(SetTimer)
		b.Probed(2*ms, ProbeResult{Endpoint: told, Report: []float64{100, 3}})
		got = b.Timer(ms+timer.Delay, timer.Token)
		if typeOf(got) != "policy.Send" || got[0].(Send).Endpoint != told {
			t.Errorf("sent %v, want endpoint %d, which answered its probe", got, told)
		}
	}
}

// Failure answered: in a release under overload only cold servers were left, and
// they were sent several times what they can do and fell over.
func TestColdServersAreSparedWhileMostIsTurnedAway(t *testing.T) {
	sends := func(result Result) (n int) {
		list := fleetOf(4)
		for i := range list {
			list[i].Started = 9 * time.Second // warm, at least by 0.24, in this second
		}
		b := ready(t, 10*time.Second, list)
		b.fleet.served = mean{1, 20}
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
		t.Errorf("%d attempts on cold servers that turn all away", n)
	}
}

// Failure answered: 80 clients with little traffic each met all 60 endpoints, opened a
// connection for one request in three, and filled the tables of the busy ones.
func TestDearHandshakesConfineFirstAttempts(t *testing.T) {
	met := func(price float64, gap time.Duration) int {
		set := settings()
		set.ConnIdleTimeout, set.Prices.Handshake, set.WarmKeys = 10*time.Second, price, true
		b := start(t, set)
		b.Endpoints(0, fleetOf(60), true)
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
	if n := met(0.03, 500*ms); n != 60 {
		t.Errorf("%d endpoints met while handshakes cost little", n)
	}
	if n := met(0.12, 500*ms); n < 8 || n > 30 {
		t.Errorf("%d of 60 endpoints met with two requests a second", n)
	}
	if n := met(0.12, 10*ms); n != 60 {
		t.Errorf("%d of 60 endpoints met with a hundred requests a second", n)
	}
}

// The part of a small fleet may hold no endpoint, or one: then all count. Requests were
// refused with every endpoint well, and went without a second choice.
func TestPartOfASmallFleetIsNeverEmpty(t *testing.T) {
	for n := 1; n <= 6; n++ {
		for seed := range uint64(40) {
			set := settings()
			set.ConnIdleTimeout, set.Prices.Handshake = 10*time.Second, 0.12
			b, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			b.Endpoints(0, fleetOf(n), true)
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
				t.Errorf("%d endpoints, seed %d: only %d met", n, seed, len(to))
			}
		}
	}
}

// Of two that hold as much the one with a kept connection is favoured; the group's
// probability still counts.
func TestKeptConnectionIsFavoured(t *testing.T) {
	b := ready(t, ms, fleetOf(2))
	x, y := b.fleet.servers[0], b.fleet.servers[1]
	x.chance, y.chance = 0.5, 0.5
	x.kept = time.Second
	n := 0
	for range 2000 {
		if b.fleet.better(x, y, ms, b.random) == x {
			n++
		}
	}
	if n < 1700 || n > 1900 {
		t.Errorf("the one with a connection won %d of 2000 ties", n)
	}
	x.inFlight = 1
	if b.fleet.better(x, y, ms, b.random) != y {
		t.Error("a connection outweighed a request in flight")
	}
}

// Failure answered: a client that draws over the whole fleet opens a connection
// for nearly every request, and endpoints hold one for each client.
func TestPricedConnectionsStayFew(t *testing.T) {
	for seed := range uint64(5) {
		set := settings()
		set.Prices.Connection, set.ConnIdleTimeout = 0.1, 5*time.Second
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Endpoints(0, fleetOf(40), true)
		met := map[EndpointID]bool{}
		for i := range 200 {
			now := time.Duration(i+1) * time.Second
			for _, a := range b.Request(now, Request{ID: RequestID(i), TimeLeft: time.Second}) {
				if s, ok := a.(Send); ok {
					met[s.Endpoint] = true
					b.Outcome(now+10*ms, Outcome{Request: s.Request, Endpoint: s.Endpoint, Complete: true, Elapsed: 10 * ms})
				}
			}
		}
		if len(met) == 0 || len(met) > 4 {
			t.Errorf("a client with a request a second met %d of 40 endpoints", len(met))
		}
	}
}

// Failure answered: at full size most keys are first-timers to a client, and
// each went to six servers where two keep it warm.
func TestAKeySeenOnceIsNotHot(t *testing.T) {
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
		t.Errorf("%d keys are remembered", len(k.counts))
	}
}

// Crossing zones has a price: near endpoints are drawn first while calm.
func TestNearEndpointsFirst(t *testing.T) {
	set := settings()
	set.Prices.CrossZone, set.Zone = 0.02, 1
	b := start(t, set)
	list := fleetOf(8)
	for i := range list {
		list[i].Zone = i % 4
	}
	b.Endpoints(ms, list, true)
	near, all := 0, 400
	for i := range all {
		to := b.Request(ms, Request{ID: RequestID(i), TimeLeft: 100 * ms})[0].(Send).Endpoint
		b.Outcome(2*ms, Outcome{Request: RequestID(i), Endpoint: to, Complete: true, Elapsed: ms})
		if b.fleet.byID[to].Zone == 1 {
			near++
		}
	}
	if near < all*9/10 {
		t.Errorf("%d of %d went to the own zone with nothing in flight", near, all)
	}
	for _, s := range b.fleet.servers {
		if s.Zone == 1 {
			s.inFlight = 5 // the own zone lacks capacity: it has to spill
		}
	}
	spilt := 0
	for i := range 50 {
		to := b.Request(ms, Request{ID: RequestID(1000 + i), TimeLeft: 100 * ms})[0].(Send).Endpoint
		if b.fleet.byID[to].Zone != 1 {
			spilt++
		}
	}
	if spilt < 20 {
		t.Errorf("%d of 50 left a busy zone", spilt)
	}
}

func TestProbedPairGoesToTheLessBusy(t *testing.T) {
	set := settings()
	set.MayProbe, set.ReportFields = true, []ReportField{FieldRate, FieldInFlight}
	b := start(t, set)
	b.Endpoints(ms, fleetOf(2), true)
	got := b.Request(ms, Request{ID: 1, TimeLeft: 200 * ms})
	if len(got) != 3 {
		t.Fatalf("want two probes and a timer, got %v", got)
	}
	b.Probed(2*ms, ProbeResult{Endpoint: 1, Report: []float64{100, 9}})
	got = b.Probed(2*ms, ProbeResult{Endpoint: 2, Report: []float64{100, 2}})
	if typeOf(got) != "policy.Send" || got[0].(Send).Endpoint != 2 {
		t.Fatalf("sent %v, want endpoint 2", got)
	}
	// A probe that never comes back must not hold the request for good.
	got = b.Request(2*time.Second, Request{ID: 3, TimeLeft: 200 * ms})
	last := got[len(got)-1].(SetTimer)
	got = b.Timer(2*time.Second+last.Delay, last.Token)
	if typeOf(got) != "policy.Send" {
		t.Fatalf("got %v, want an attempt", got)
	}
}

// Failure answered: in a fleet whose queues had emptied, four in ten requests were refused
// for five seconds more, as a sidecar with a few answers a second learnt of it too slowly.
func TestReopensSoonAfterPromptAnswers(t *testing.T) {
	b := ready(t, ms, fleetOf(4))
	for range 12 {
		b.adm.outcome(ms, true, 1)
		b.adm.answered(true, true)
	}
	if b.adm.level > 0.3 {
		t.Fatalf("%v admitted while all answers are late", b.adm.level)
	}
	for range 12 {
		b.adm.outcome(ms, false, 1)
		b.adm.answered(true, false)
	}
	if b.adm.level < 0.7 {
		t.Errorf("%v admitted after 12 prompt answers", b.adm.level)
	}
	closed := b.adm.level
	for range 12 { // half late: still full
		b.adm.outcome(ms, false, 1)
		b.adm.answered(true, false)
		b.adm.outcome(ms, true, 1)
		b.adm.answered(true, true)
	}
	if b.adm.level > closed*0.8 {
		t.Errorf("%v admitted with half of the answers late, %v before", b.adm.level, closed)
	}
}

// A refused client may come back while it can still be answered in time. Failure answered: with
// late answers worth nothing, clients that were refused came back, were served late, and a third
// of what 32 sidecars could have served in time was spent on that.
func TestWhenToComeBack(t *testing.T) {
	const left = 400 * ms // of which the aim is a quarter
	soon := time.Duration(leastAdmitted * comeBack * float64(left))
	for name, c := range map[string]struct {
		class int
		level float64
		usual time.Duration // answer time
		want  time.Duration
	}{
		"late answers have a worth, all refused": {class: 0, level: 0, want: left / 2},
		"they have none, all refused":            {class: 4, level: 0, want: left},
		"they have none, next to none refused":   {class: 4, level: 1, want: soon},
		"and the usual answer takes too long":    {class: 4, level: 1, usual: 90 * ms, want: left},
		"and the usual answer is in time":        {class: 4, level: 1, usual: 70 * ms, want: soon},
	} {
		t.Run(name, func(t *testing.T) {
			b := start(t, settings()) // there is no endpoint
			b.begin(ms)
			b.adm.level, b.adm.updated, b.times[c.class].per = c.level, ms, c.usual.Seconds()
			got := b.Request(ms, Request{ID: 1, Class: c.class, TimeLeft: left})
			if len(got) != 1 || got[0] != (Refuse{1, c.want}) {
				t.Errorf("got %v, want a refusal for %v", got, c.want)
			}
		})
	}
	b := start(t, settings())
	if got := b.Request(ms, Request{ID: 1, Class: 99, TimeLeft: left}); len(got) != 1 || typeOf(got[0:1]) != "policy.Refuse" {
		t.Errorf("of a class that there is not: %v", got)
	}
}

// Late answers must lead to refusals soon, and be forgotten in time.
func TestPressureRefusesAndFades(t *testing.T) {
	b := ready(t, ms, fleetOf(4))
	refused := func(from RequestID) (n int) {
		for i := range RequestID(60) {
			if typeOf(b.Request(b.now, Request{ID: from + i, Tenant: int(i) % 2, TimeLeft: 100 * ms})) == "policy.Refuse" {
				n++
			}
		}
		return n
	}
	if n := refused(0); n != 0 {
		t.Errorf("%d refused while calm", n)
	}
	for range 8 {
		b.adm.outcome(b.now, true, 1)
		b.adm.answered(true, true)
	}
	if n := refused(100); n < 30 {
		t.Errorf("only %d of 60 refused under pressure", n)
	}
	b.now += 2 * time.Minute
	if n := refused(200); n != 0 {
		t.Errorf("%d refused long after", n)
	}
}

// What usually takes longer than the client waits is refused before it costs a
// server work; a few go all the same, as the estimate may be wrong.
func TestTooShortRequestsAreRefusedEarly(t *testing.T) {
	b := ready(t, ms, fleetOf(4))
	for range 20 {
		b.times[0].add(0.05, 1)
	}
	refused := 0
	for i := range RequestID(100) {
		if typeOf(b.Request(2*ms, Request{ID: i, TimeLeft: 10 * ms})) == "policy.Refuse" {
			refused++
		}
	}
	if refused < 70 || refused == 100 {
		t.Errorf("%d of 100 hopeless requests were refused", refused)
	}
	if typeOf(b.Request(3*ms, Request{ID: 500, TimeLeft: 200 * ms})) != "policy.Send" {
		t.Error("a request with time enough was refused")
	}
}

func TestDiscoveryBacksOffWithJitter(t *testing.T) {
	set := settings()
	set.DiscoveryOnRequest = true
	b := start(t, set)
	got := b.Endpoints(ms, fleetOf(2), true)
	if len(got) != 1 {
		t.Fatalf("want the timer of the first call, got %v", got)
	}
	first := got[0].(SetTimer)
	if first.Delay > set.PollWithin {
		t.Errorf("the first call comes after %v, too late for the rules", first.Delay)
	}
	if got = b.Timer(first.Delay, first.Token); len(got) != 1 || got[0] != (Subscribe{}) {
		t.Fatalf("got %v, want a subscription", got)
	}
	// A call that is not answered fails after 2 s, and a change counts as told 6 s after
	// discovery can be reached: a wait over 4 s is too long. Waits all alike would have a fleet
	// call at once, and such under 1 s keep it busy with calls that it turns away.
	const longest, shortest = 4 * time.Second, time.Second
	var all []time.Duration
	for i := range 200 {
		got = b.DiscoveryFailed(time.Duration(i) * time.Minute)
		in := got[0].(SetTimer).Delay
		if in > longest || in < shortest {
			t.Errorf("wait %d is %v, %v to %v are expected", i, in, shortest, longest)
		}
		all = append(all, in)
		b.Timer(b.now+in, got[0].(SetTimer).Token)
	}
	if spread := slices.Max(all[1:]) - slices.Min(all[1:]); spread < longestBackoff*9/10 {
		t.Errorf("waits differ by %v at most, spread over %v they are expected", spread, longestBackoff)
	}
}

// After a failed call the list that is known holds for four times PollWithin from that call,
// which may itself take 4 s to fail: the next one is made before that.
func TestCallsWhileAListHolds(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute} {
		set := settings()
		set.DiscoveryOnRequest, set.PollWithin = true, within
		b := start(t, set)
		b.Endpoints(ms, fleetOf(2), true)
		now := time.Minute
		b.Timer(now, Token{Purpose: timerSubscribe})
		for i := range 50 {
			now += time.Minute
			wait := b.DiscoveryFailed(now)[0].(SetTimer)
			if most := 4*within - 4*time.Second; wait.Delay > most {
				t.Errorf("PollWithin %v, failure %d: the next call after %v, %v at most is expected", within, i, wait.Delay, most)
			}
			now += wait.Delay
			b.Timer(now, wait.Token)
		}
	}
}

func BenchmarkRequest(bench *testing.B) {
	set := settings()
	b, _ := New(set, 1)
	b.Endpoints(ms, fleetOf(64), true)
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

// Failure met: what is worth nothing late was given up at its aim. Endpoints that can't stop worked
// on, the client came again, and a fleet with a third of its capacity asked for served half.
func TestLateAnswersAreWaitedForWhereTheyAreWorthless(t *testing.T) {
	b := start(t, settings())
	b.Endpoints(ms, fleetOf(3), true)
	for _, class := range []int{0, 3} {
		got := b.Request(ms, Request{ID: RequestID(class), Class: class, TimeLeft: 300 * ms})[0].(Send)
		if got.Timeout != 300*ms {
			t.Errorf("class %d: timeout %v, want all that the client waits", class, got.Timeout)
		}
	}
}

// Failure met: long requests, of which no hint told, were taken for ones that an endpoint is silent to.
// What it answered that came later tells that it is not, and only a long time tells that it is.
func TestNoSecondCopyOfLongWork(t *testing.T) {
	for _, c := range []struct {
		what      string
		cost      float64 // hinted; 0: none
		overtaken bool
		usual     time.Duration
		copies    int
	}{
		{"hinted, silent", 0.03, false, 30 * ms, 1},
		{"hinted, overtaken", 0.03, true, 30 * ms, 1}, // its answer is lost
		{"not hinted, within four times the usual", 0, false, 30 * ms, 0},
		{"not hinted, beyond", 0, false, 10 * ms, 1},
		{"not hinted, overtaken", 0, true, 10 * ms, 0},
	} {
		set := settings()
		set.HedgedAttempts = true
		b := start(t, set)
		b.Endpoints(ms, fleetOf(3), true)
		for _, s := range b.fleet.servers {
			b.fleet.observe(s, 0, ms, 1)
		}
		now, id := ms, RequestID(0)
		request := func() (Send, SetTimer) {
			id++
			actions := b.Request(now, Request{ID: id, TimeLeft: 300 * ms, Cost: c.cost})
			return actions[0].(Send), actions[1].(SetTimer)
		}
		answer := func(s Send) {
			b.Outcome(now, Outcome{Request: s.Request, Endpoint: s.Endpoint, Result: Served, Complete: true, Elapsed: c.usual})
		}
		for range 40 { // what is usual
			s, _ := request()
			now += c.usual
			answer(s)
		}
		long, timer := request()
		due := now + timer.Delay
		now += ms
		for range 60 {
			s, _ := request()
			if now += ms / 20; c.overtaken == (s.Endpoint == long.Endpoint) {
				answer(s) // its endpoint's, or all others'
			}
		}
		if copies := len(b.Timer(due, timer.Token)); min(copies, 1) != c.copies {
			t.Errorf("%s: %d actions once it is overdue, want copies: %d", c.what, copies, c.copies)
		}
	}
}

// Failure met: a burst at full size. A client with one request a second learnt
// of it only from answers that came seconds later.
func TestOverdueAttemptsCountBeforeTheirAnswer(t *testing.T) {
	b := start(t, settings())
	b.Endpoints(ms, fleetOf(3), true)
	sent := b.Request(ms, Request{ID: 1, TimeLeft: 300 * ms})
	if len(sent) != 2 {
		t.Fatalf("want an attempt and a timer, got %v", sent)
	}
	timer := sent[1].(SetTimer)
	b.Timer(timer.Delay, timer.Token)
	if !b.calm() {
		t.Error("judged before it was overdue")
	}
	b.Timer(ms+timer.Delay, timer.Token)
	pressure := b.adm.pressure
	if b.calm() || b.fleet.byID[sent[0].(Send).Endpoint].healthAt(b.now, 0) > failureKeeps*1.01 {
		t.Error("an overdue attempt was not judged")
	}
	b.Timer(2*ms+timer.Delay, timer.Token)
	b.Outcome(200*ms, Outcome{Request: 1, Endpoint: sent[0].(Send).Endpoint, Result: Served, Complete: true, Elapsed: 199 * ms})
	if b.adm.pressure > pressure {
		t.Error("judged twice")
	}
}

// Failure answered: where worth counts by request, dear and cheap requests were
// refused alike under overload.
func TestWorthForWorkGoesFirst(t *testing.T) {
	set := settings()
	set.Classes = []Class{{Aim: time.Second, Deadline: time.Second, Worth: 2}, {Aim: time.Second, Deadline: time.Second, Worth: 2}}
	b := start(t, set)
	b.times[0].add(0.02, 1)
	b.times[1].add(0.1, 1)
	admitted := [2]int{}
	for i := range 2000 {
		b.adm.level = 0.5
		if b.admit(&request{Request: Request{Class: i % 2}}) {
			admitted[i%2]++
		}
	}
	if admitted[0] < 2*admitted[1] || admitted[1] == 0 {
		t.Errorf("quick and slow requests of equal worth: %v admitted", admitted)
	}
}

// Failure answered: for a crossing that costs next to nothing, draws kept to
// the own zone left its slowed servers the load that others had room for.
func TestCheapCrossingDoesNotConfine(t *testing.T) {
	set := settings()
	set.Prices.CrossZone, set.Zone = 0.01, 1
	b := start(t, set)
	list := fleetOf(8)
	for i := range list {
		list[i].Zone = i / 4
	}
	b.Endpoints(ms, list, true)
	b.refresh(0)
	far := 0
	for range 1000 {
		if x, _ := b.draw(&request{}, any1); x.Zone != 1 {
			far++
		}
	}
	if far < 400 || far > 600 {
		t.Errorf("%d of 1000 first draws crossed zones, want about half", far)
	}
}
