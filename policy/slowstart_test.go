package policy

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"testing"
	"time"
)

// coldFleet is a fleet some of whose endpoints have just started. What each of those is sent by
// all instances together is counted, in requests of mean work.
type coldFleet struct {
	*many
	coldTime time.Duration
	least    float64
	multiple float64
	started  []time.Duration // of each endpoint; 0: long ago
	sent     [][]coldSend    // to each that is cold
}

type coldSend struct {
	at   time.Duration
	work float64 // over the mean
}

const (
	coldFall     = time.Second // the time over which the settings count
	coldMeanWork = 15 * time.Millisecond
)

// newColdFleet makes a fleet in which four of ten endpoints start in the first half second.
func newColdFleet(t *testing.T, sidecars, endpoints int, seed uint64) *coldFleet {
	c := &coldFleet{many: newFleetOf(t, sidecars, endpoints, seed), coldTime: 20 * time.Second, least: 0.13, multiple: 2}
	c.now = time.Hour
	c.started, c.sent = make([]time.Duration, endpoints), make([][]coldSend, endpoints)
	for i := range c.endpoints {
		if i%5 < 2 {
			c.started[i] = c.now + time.Duration(c.rng.Int64N(int64(time.Second/2)))
			c.endpoints[i].warmth = func() float64 { return c.warmth(i, c.now) }
		}
	}
	c.attempt = func(i int, a Send) {
		e := int(a.Endpoint)
		if c.started[e] > 0 {
			work := manyWork[c.class[[2]int{i, int(a.Request)}]]
			c.sent[e] = append(c.sent[e], coldSend{c.now, float64(work) / float64(coldMeanWork)})
		}
		c.send(i, a)
	}
	return c
}

func (c *coldFleet) warmth(e int, at time.Duration) float64 {
	return min(c.least+(1-c.least)*max(at-c.started[e], 0).Seconds()/c.coldTime.Seconds(), 1)
}

func (c *coldFleet) list() (l []Endpoint) {
	for i := range c.endpoints {
		l = append(l, Endpoint{ID: EndpointID(i), Cell: i / 4, Started: c.started[i]})
	}
	return l
}

// restart gives a sidecar a new process, which is told of the endpoints after a while.
func (c *coldFleet) restart(t *testing.T, i int, told time.Duration) {
	set := c.sidecars[i].set
	set.WarmupTime, set.StartCapacity, set.OverloadMultiple = c.coldTime, c.least, c.multiple
	b, err := New(set, c.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	c.sidecars[i] = b
	c.after(told, func() {
		if c.sidecars[i] == b {
			c.carryOut(i, b.Endpoints(c.now, c.list(), true))
		}
	})
}

// capacity is what all endpoints can do together at a time, in requests a second.
func (c *coldFleet) capacity(at time.Duration) (sum float64) {
	for i := range c.endpoints {
		if c.started[i] > 0 {
			sum += c.warmth(i, at)
		} else {
			sum++
		}
	}
	return sum / coldMeanWork.Seconds()
}

// used is the largest part of its budget that any cold endpoint was sent within the time of
// which the settings speak: N requests of mean work and what chance may add.
func (c *coldFleet) used() (worst float64) {
	for e, sent := range c.sent {
		sum, from := 0.0, 0
		for i := range sent {
			sum += sent[i].work
			for sent[i].at-sent[from].at >= coldFall {
				sum -= sent[from].work
				from++
			}
			n := c.multiple * c.warmth(e, sent[from].at) * coldFall.Seconds() / coldMeanWork.Seconds()
			slack := 3*math.Sqrt(n) + 3
			if n >= 30 {
				slack = 2*math.Sqrt(n) + 2
			}
			worst = max(worst, sum/(n+slack))
		}
	}
	return worst
}

// part is what cold endpoints were sent beside what they could do in the time.
func (c *coldFleet) part(from, to time.Duration) float64 {
	var sent, able float64
	for e := range c.sent {
		for _, s := range c.sent[e] {
			if s.at >= from && s.at < to {
				sent += s.work
			}
		}
		if c.started[e] > 0 {
			able += (c.warmth(e, from) + c.warmth(e, to)) / 2 * (to - from).Seconds() / coldMeanWork.Seconds()
		}
	}
	return sent / able
}

// coldScenes are what a fleet may go through while endpoints are cold: its load by the time since
// the beginning, over what it can do, and when its processes begin anew and are told.
var coldScenes = map[string]struct {
	load    func(since time.Duration) float64
	restart func(c *coldFleet, t *testing.T)
	decline bool // the endpoints that are warm decline one request in three
	down    bool // half of the warm endpoints refuse connections from the burst on
	noWarm  bool // all endpoints are cold
	// refuses tells whether the k-th of so many warm endpoints refuses the connections of a sidecar.
	refuses func(sidecar, k, warm int, since time.Duration) bool
}{
	"steady":                  {load: loadOf(0.6, 0.6)},
	"a burst":                 {load: loadOf(0.6, 1)},
	"a burst to thrice":       {load: loadOf(0.6, 1.8)},
	"told over 5 s, a burst":  {load: loadOf(0.6, 1.8), restart: toldOver(5 * time.Second)},
	"all restarted, a burst":  {load: loadOf(0.6, 1.8), restart: restartedAt(5 * time.Second)},
	"some decline, a burst":   {load: loadOf(0.6, 1.8), decline: true},
	"some are down, a burst":  {load: loadOf(0.6, 1.8), down: true},
	"all are cold, a burst":   {load: loadOf(0.6, 1.8), noWarm: true},
	"all are cold, too much":  {load: loadOf(1.8, 1.8), noWarm: true},
	"quiet and then too much": {load: loadOf(0.05, 1.8)},
	"each reaches one, too much": {load: loadOf(1.8, 1.8), refuses: func(sidecar, k, warm int, _ time.Duration) bool {
		return k != sidecar%warm
	}},
	"each reaches a third, a burst": {load: loadOf(0.6, 1.8), refuses: func(sidecar, k, _ int, _ time.Duration) bool {
		return (sidecar+k)%3 > 0
	}},
	"none is reached for 2 s, a burst": {load: loadOf(0.6, 1.8), refuses: func(_, _, _ int, since time.Duration) bool {
		return since >= 3500*time.Millisecond && since < 5500*time.Millisecond
	}},
}

// loadOf is a load that is another from 5 to 8 s.
func loadOf(usual, burst float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		if since >= 5*time.Second && since < 8*time.Second {
			return burst
		}
		return usual
	}
}

func toldOver(d time.Duration) func(*coldFleet, *testing.T) {
	return func(c *coldFleet, t *testing.T) {
		for i := range c.sidecars {
			c.restart(t, i, time.Second/2+d*time.Duration(i)/time.Duration(len(c.sidecars)))
		}
	}
}

func restartedAt(at time.Duration) func(*coldFleet, *testing.T) {
	return func(c *coldFleet, t *testing.T) {
		toldOver(0)(c, t)
		c.after(at, func() {
			for i := range c.sidecars {
				c.restart(t, i, time.Duration(c.rng.Int64N(int64(time.Second))))
			}
		})
	}
}

// failWarm has attempts on warm endpoints end after a millisecond where fails tells so.
func (c *coldFleet) failWarm(result Result, fails func(EndpointID) bool) {
	c.failWarmOf(result, func(_ int, id EndpointID) bool { return fails(id) })
}

// failWarmOf is failWarm where it goes by the sidecar, too.
func (c *coldFleet) failWarmOf(result Result, fails func(int, EndpointID) bool) {
	send := c.attempt
	c.attempt = func(i int, a Send) {
		if c.started[a.Endpoint] > 0 || !fails(i, a.Endpoint) {
			send(i, a)
			return
		}
		c.endsAfter(time.Millisecond, i, a, result)
	}
}

// endsAfter has an attempt of a sidecar end after a time, and its endpoint do nothing for it.
func (c *coldFleet) endsAfter(elapsed time.Duration, i int, a Send, result Result) {
	key := [2]int{i, int(a.Request)}
	n := c.attempts[key]
	c.attempts[key]++
	c.after(elapsed, func() {
		_, still := c.class[key]
		c.carryOut(i, c.sidecars[i].Outcome(c.now, Outcome{Request: a.Request, Attempt: n, Endpoint: a.Endpoint, Result: result, Complete: !still, Elapsed: elapsed}))
	})
}

// playCold plays a scene and returns the fleet as it was at the end.
func playCold(t *testing.T, name string, sidecars int, seed uint64) *coldFleet {
	scene := coldScenes[name]
	endpoints := max(min(sidecars, 20), 10)
	c := newColdFleet(t, sidecars, endpoints, seed)
	if scene.noWarm {
		for i := range c.endpoints {
			c.started[i] = c.now + 1
			c.endpoints[i].warmth = func() float64 { return c.warmth(i, c.now) }
		}
	}
	if scene.restart != nil {
		scene.restart(c, t)
	} else {
		toldOver(0)(c, t)
	}
	if scene.decline {
		c.failWarm(Declined, func(EndpointID) bool { return c.rng.IntN(3) == 0 })
	}
	if scene.down {
		c.failWarm(NoConnection, func(id EndpointID) bool { return id%2 == 0 && c.now >= time.Hour+5*time.Second })
	}
	if scene.refuses != nil {
		c.failWarmOf(NoConnection, func(i int, id EndpointID) bool { // two of five are cold
			return scene.refuses(i, int(id)/5*3+int(id)%5-2, endpoints*3/5, c.now-time.Hour)
		})
	}
	c.runAt(func(since time.Duration) float64 { return scene.load(since) * c.capacity(c.now) }, 10*time.Second)
	return c
}

// Sidecars that share nothing sent cold endpoints all that a burst brought: each is within its
// budget, for the sum of all, and is sent what warms it up.
func TestBurstDoesNotPushColdEndpointsOver(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("COLD_SEEDS"))
	for name := range coldScenes {
		for _, sidecars := range []int{1, 5, 30, 300} {
			t.Run(fmt.Sprintf("%s, %d sidecars", name, sidecars), func(t *testing.T) {
				t.Parallel()
				worst, least, most := 0.0, math.Inf(1), 0.0
				for seed := range max(seeds, 1) {
					c := playCold(t, name, sidecars, uint64(seed))
					worst = max(worst, c.used())
					part := c.part(time.Hour+time.Second, time.Hour+5*time.Second)
					least, most = min(least, part), max(most, part)
				}
				t.Logf("at most %.2f of the budget; %.2f to %.2f of what they can do before the burst", worst, least, most)
				if worst > 1 {
					t.Errorf("a cold endpoint was sent %.2f of its budget", worst)
				}
			})
		}
	}
}

// What all sidecars save up for a cold endpoint, and may spend in one moment, is within what chance may add
// to 30 requests, 2 x root of 30 + 2, or a tenth of a request for each sidecar. One alone sends one at once.
func TestSavedUpAtMost(t *testing.T) {
	chance := 2*math.Sqrt(30) + 2
	for _, size := range []int{1, 5, 30, 120, 300} {
		for _, cold := range []int{1, 8} {
			b := halfCold(t, cold)
			b.set.FleetSize = size
			start := &b.fleet.slowStart
			for range 2000 {
				b.adm.pressure = 0.9 // with which cold endpoints earn by what they answer, too
				answerOf(b, start.cold[0], ms)
				for range 2 {
					if saved, most := float64(size)*start.all.tokens/float64(cold), math.Max(chance, 0.1*float64(size)/float64(cold)); saved > most {
						t.Fatalf("%d sidecars, %d cold endpoints: all save up %.2f requests for each, %.2f at most are expected", size, cold, saved, most)
					}
					if alone := start.cold[0].bucket.tokens; alone >= 1 {
						t.Fatalf("%d sidecars: one saves up %.2f requests for an endpoint, and sends two at once", size, alone)
					}
					answerOf(b, b.fleet.servers[cold], ms)
					b.refillCold(&request{})
				}
			}
		}
	}
}

// Requests with little time counted as little work in an overload, as they are answered soon or never: all
// sidecars together sent a cold endpoint 1.24 times what it may be sent.
func TestLittleTimeIsNoLittleWork(t *testing.T) {
	b := halfCold(t, 5)
	warm := b.fleet.servers[5]
	quick := &request{Request: Request{Class: 1, TimeLeft: 60 * ms}, arrived: b.now}
	for i := range 200 { // each of which has the same work, and waits for 0 to 199 ms
		takes := time.Duration(i*37%200)*ms + 10*ms
		answerOf(b, warm, takes)
		o := Outcome{Endpoint: warm.ID, Result: Served, Complete: true, Elapsed: takes}
		if takes > quick.TimeLeft {
			o.Result, o.Elapsed = NoAnswer, quick.TimeLeft
		}
		b.learn(quick, &attempt{server: warm, sent: b.now, open: true}, o)
	}
	if work := b.relativeWork(quick); work < 0.9 {
		t.Errorf("a request of the same work as the others counts as %.2f", work)
	}
}

// A sidecar sent one cold endpoint what was due to all of them: it has four at most beyond what it earns.
func TestOneEndpointIsNotSentWhatIsDueToAll(t *testing.T) {
	b := halfCold(t, 5)
	b.fleet.slowStart.all.tokens = 20
	r, sent := &request{Request: Request{TimeLeft: time.Second}}, 0
	for cold := b.fleet.slowStart.cold[0]; sent < 20 && b.withinBudget(r, cold); sent++ {
		b.charge(r, cold)
	}
	if sent < 1 || sent > 4 {
		t.Errorf("it is sent %d at once", sent)
	}
}

// What draws left was not spent: where all sidecars together have more than two requests for a cold
// endpoint, the next one goes there.
func TestCreditThatDrawsLeaveIsSpent(t *testing.T) {
	for _, size := range []int{1, 30, 300} {
		b := halfCold(t, 1)
		b.set.FleetSize = size
		for _, saved := range []float64{-0.01, 2.1} { // by all
			b.fleet.slowStart.all.tokens = math.Min(saved/float64(size), 0.1)
			if spent := b.preferredCold(&request{}, func(*server) bool { return true }) != nil; spent != (saved > 0) {
				t.Errorf("%d sidecars have %.2f requests for a cold endpoint: spent %t", size, saved, spent)
			}
		}
	}
}

// A request that waited for probes was sent to a cold endpoint that others had sent its budget meanwhile.
func TestHeldForProbesAndOverItsBudget(t *testing.T) {
	set := settings()
	set.MayProbe, set.ReportFields, set.WarmupTime, set.StartCapacity = true, []ReportField{FieldRate, FieldInFlight}, time.Minute, 0.5
	b := start(t, set)
	list := fleetOf(2)
	list[1].Started = time.Hour
	b.Endpoints(time.Hour, list, true)
	b.fleet.slowStart.all.tokens = 0
	held := b.Request(time.Hour, Request{ID: 1, TimeLeft: 200 * ms})
	if len(b.waiting) != 1 {
		t.Fatalf("%v: nothing waits for probes", held)
	}
	b.fleet.slowStart.all.tokens = -1
	b.Probed(time.Hour+ms, ProbeResult{Endpoint: list[0].ID, Report: []float64{100, 3}})
	for _, a := range b.Probed(time.Hour+ms, ProbeResult{Endpoint: list[1].ID, Report: []float64{100, 0}}) {
		if s, ok := a.(Send); ok && s.Endpoint == list[0].ID {
			return
		}
	}
	t.Error("it was not sent to the endpoint that is warm")
}

// All sidecars sent what had a popular key to the cold endpoint that ranks first for it.
func TestPopularKeyDoesNotPushOneColdEndpointOver(t *testing.T) {
	first := map[EndpointID]int{}
	for seed := range uint64(100) {
		set := settings()
		set.WarmKeys, set.WarmupTime, set.StartCapacity, set.FleetSize = true, time.Minute, 0.1, 100
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		list := fleetOf(20)
		for i := range list[:10] {
			list[i].Started = time.Hour
		}
		b.Endpoints(time.Hour, list, true)
		b.refresh(0)
		r := &request{Request: Request{Key: "popular"}, key: hashKey("popular")}
		b.fleet.slowStart.all.tokens = endpointBurst
		first[b.preferredCold(r, func(*server) bool { return true }).ID]++
	}
	for id, n := range first {
		if n > 25 {
			t.Errorf("%d of 100 sidecars send it to endpoint %d", n, id)
		}
	}
}

// answerOf has a request of class 0 end at an endpoint, after a time.
func answerOf(b *Balancer, s *server, elapsed time.Duration) {
	r := &request{Request: Request{TimeLeft: time.Second}, arrived: b.now}
	a := attempt{server: s, sent: b.now, open: true}
	b.learn(r, &a, Outcome{Endpoint: s.ID, Result: Served, Complete: true, Elapsed: elapsed})
}

// halfCold is an instance before ten endpoints, of which the first few have just started.
func halfCold(t *testing.T, cold int) *Balancer {
	set := settings()
	set.WarmupTime, set.StartCapacity = time.Hour, 0.1
	b := start(t, set)
	list := fleetOf(10)
	for i := range list[:cold] {
		list[i].Started = time.Hour
	}
	b.Endpoints(time.Hour, list, true)
	b.refresh(0)
	return b
}

// Warm endpoints were pushed into an overload: cold ones that are held back answer promptly, and that counted as room.
func TestPromptColdEndpointsDoNotHideAnOverload(t *testing.T) {
	admitted := func(prompt bool) (sum float64) {
		const rounds = 200
		b := halfCold(t, 5)
		for i := range rounds {
			b.now += 100 * ms
			b.refresh(0)
			if prompt {
				answerOf(b, b.fleet.servers[i%5], b.set.Classes[0].Aim*9/10)
			}
			elapsed := b.set.Classes[0].Aim * 9 / 10
			if i%4 > 0 {
				elapsed = b.set.Classes[0].Aim * 11 / 10
			}
			answerOf(b, b.fleet.servers[5+i%5], elapsed) // most answers of the warm ones are late
			sum += b.adm.level / rounds
		}
		return sum
	}
	without, with := admitted(false), admitted(true)
	if t.Logf("%.2f of the requests are admitted, %.2f with prompt answers of cold endpoints", without, with); with > without+0.1 {
		t.Error("prompt answers of cold endpoints had more requests admitted")
	}
}

// Shedding went on for ever where all that is drawn is cold, and none of it counted.
func TestSheddingEndsWhereOnlyColdEndpointsAnswer(t *testing.T) {
	b := halfCold(t, 10)
	b.adm.level, b.adm.pressure, b.adm.tardy = 0.2, 0.9, 0.9
	for range 40 {
		answerOf(b, b.fleet.servers[0], ms)
	}
	if b.adm.level < 0.9 {
		t.Errorf("%.2f of the requests are admitted, with every answer prompt", b.adm.level)
	}
}

// What a cold endpoint answers in time doesn't count, but what it is overdue with did: slow cold ones alone were pressure.
func TestOverdueColdEndpointsAreNoPressure(t *testing.T) {
	pressure := func(overdue bool) (sum float64) {
		const rounds = 200
		b := halfCold(t, 5)
		for i := range rounds {
			b.now += 100 * ms
			b.refresh(0)
			if overdue {
				cold := b.fleet.servers[i%5]
				r := &request{Request: Request{TimeLeft: time.Second}, arrived: b.now - 75*ms}
				r.attempts = []attempt{{server: cold, sent: b.now - 75*ms, due: b.now, open: true}}
				b.overdue(r) // and is answered in time, as are the next:
				b.learn(r, &r.attempts[0], Outcome{Endpoint: cold.ID, Result: Served, Complete: true, Elapsed: 80 * ms})
				for range 3 {
					answerOf(b, cold, 10*ms)
				}
			}
			answerOf(b, b.fleet.servers[5+i%5], 10*ms)
			sum += b.adm.pressure / rounds
		}
		return sum
	}
	without, with := pressure(false), pressure(true)
	t.Logf("pressure %.2f, %.2f without", with, without)
	if with > without+0.03 {
		t.Errorf("pressure %.2f, %.2f without what cold endpoints are overdue with", with, without)
	}
}

// One sidecar before three cold endpoints that answer promptly and seven that hang: it refused what the cold ones had
// room for, as their answers tell nothing.
func TestSheddingEndsWhereTheOthersHang(t *testing.T) {
	for seed := range uint64(3) {
		c := newColdFleet(t, 1, 10, seed)
		c.coldTime, c.least = 200*time.Second, 0.3
		for i := range c.endpoints {
			c.started[i], c.endpoints[i].warmth = 0, nil
			if i < 3 {
				c.started[i] = c.now + 1
				c.endpoints[i].warmth = func() float64 { return c.warmth(i, c.now) }
			}
		}
		toldOver(0)(c, t)
		send := c.attempt
		c.attempt = func(i int, a Send) {
			if c.started[a.Endpoint] > 0 || c.now < time.Hour+5*time.Second {
				send(i, a)
				return
			}
			c.endsAfter(a.Timeout, i, a, NoAnswer)
		}
		c.run(5, time.Minute) // the cold ones can do 60 a second
		if served, asked := c.served[0]+c.served[1], c.asked[0]+c.asked[1]; float64(served) < 0.75*float64(asked) {
			t.Errorf("seed %d: %d of %d served, %v refused", seed, served, asked, c.refused)
		}
	}
}

// Cold endpoints were sent more than their part of a light load: answers came late from them while the others had room.
func TestColdEndpointsAreSentNoMoreThanTheirPartOfALightLoad(t *testing.T) {
	const load = 0.3
	for _, sidecars := range []int{5, 30, 300} {
		for seed := range uint64(3) {
			c := newColdFleet(t, sidecars, 20, seed)
			toldOver(0)(c, t)
			c.runAt(func(time.Duration) float64 { return load * c.capacity(c.now) }, 10*time.Second)
			if part := c.part(time.Hour+2*time.Second, time.Hour+10*time.Second); part > 1.1*load {
				t.Errorf("%d sidecars: cold endpoints are sent %.2f of what they can do, at a load of %.2f", sidecars, part, load)
			}
		}
	}
}

// Cold endpoints were held to their part while the others, though they had room, grew late.
func TestColdEndpointsAreSentMoreAsTheOthersGrowLate(t *testing.T) {
	b := halfCold(t, 2)
	b.fleet.slowStart.warmPart.add(1, 1)
	var gains [3]float64
	for i := range gains {
		b.adm.tardy = someTardy * float64(i) / 2
		gains[i] = b.gain()
	}
	if most := b.set.fallMultiple() * budgetUsed; gains[0] != 1 || gains[1] <= gains[0] || gains[1] >= gains[2] || gains[2] != most {
		t.Errorf("of one, and up to %v: %v", most, gains)
	}
}

// Requests that tell twice the cost of others counted for less than those, where they have little time.
func TestToldCostIsTheWork(t *testing.T) {
	b := halfCold(t, 5)
	warm, costs := b.fleet.servers[5], [2]float64{0.01, 0.02}
	requests := [2]*request{}
	for class := range requests {
		requests[class] = &request{Request: Request{Class: class, TimeLeft: 60 * ms, Cost: costs[class]}, arrived: b.now}
	}
	for i := range 200 { // each of which waits for 0 to 199 ms; those that may wait are answered
		class, takes := i%2, time.Duration(i*37%200)*ms+10*ms
		b.Request(b.now, Request{ID: RequestID(1000 + i), Class: class, TimeLeft: time.Second, Cost: costs[class]})
		o := Outcome{Endpoint: warm.ID, Result: Served, Complete: true, Elapsed: takes}
		if class == 1 && takes > 60*ms {
			o.Result, o.Elapsed = NoAnswer, 60*ms
		}
		b.learn(requests[class], &attempt{server: warm, sent: b.now, open: true}, o)
	}
	if light, heavy := b.relativeWork(requests[0]), b.relativeWork(requests[1]); heavy < 1.9*light {
		t.Errorf("requests of 10 and 20 ms count as %.2f and %.2f", light, heavy)
	}
}

// In an overload that lasts a class with little time counts for little work: all sidecars together send
// a cold endpoint more than it may be sent.
func TestLastingOverloadDoesNotPushColdEndpointsOver(t *testing.T) {
	deadline, work := manyClasses[1].Deadline, manyWork
	manyClasses[1].Deadline, manyWork = 100*time.Millisecond, [2]time.Duration{10 * time.Millisecond, 20 * time.Millisecond}
	defer func() { manyClasses[1].Deadline, manyWork = deadline, work }()
	for seed := range uint64(20) {
		c := newColdFleet(t, 300, 20, seed)
		toldOver(0)(c, t)
		c.runAt(func(time.Duration) float64 { return 1.8 * c.capacity(c.now) }, 10*time.Second)
		if used := c.used(); used > 1 {
			t.Errorf("%.2f of the budget was used", used)
		}
	}
}
