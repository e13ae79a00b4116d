package policy

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"testing"
	"time"
)

// coldSim is a fleet in which some endpoints have just started. What all instances together send
// to each of those is recorded, in requests of mean work.
type coldSim struct {
	*fleetSim
	warmupTime       time.Duration
	startCapacity    float64
	overloadMultiple float64
	started          []time.Duration // by endpoint; 0: long ago
	sent             [][]coldSend    // to each cold endpoint
}

type coldSend struct {
	at   time.Duration
	work float64 // relative to the mean
}

const (
	coldOverloadTime = time.Second // the time over which the settings count
	coldMeanWork     = 15 * time.Millisecond
)

// newColdSim makes a fleet in which four of ten endpoints start in the first half second.
func newColdSim(t *testing.T, sidecars, endpoints int, seed uint64) *coldSim {
	c := &coldSim{fleetSim: newFleetSim(t, sidecars, endpoints, seed), warmupTime: 20 * time.Second, startCapacity: 0.13, overloadMultiple: 2}
	c.now = time.Hour
	c.started, c.sent = make([]time.Duration, endpoints), make([][]coldSend, endpoints)
	for i := range c.endpoints {
		if i%5 < 2 {
			c.started[i] = c.now + time.Duration(c.rng.Int64N(int64(time.Second/2)))
			c.endpoints[i].warmth = func() float64 { return c.warmth(i, c.now) }
		}
	}
	c.onSend = func(i int, a Send) {
		e := int(a.Endpoint)
		if c.started[e] > 0 {
			work := simWork[c.openClass[[2]int{i, int(a.Request)}]]
			c.sent[e] = append(c.sent[e], coldSend{c.now, float64(work) / float64(coldMeanWork)})
		}
		c.send(i, a)
	}
	return c
}

func (c *coldSim) warmth(e int, at time.Duration) float64 {
	return min(c.startCapacity+(1-c.startCapacity)*max(at-c.started[e], 0).Seconds()/c.warmupTime.Seconds(), 1)
}

func (c *coldSim) list() (l []Endpoint) {
	for i := range c.endpoints {
		l = append(l, Endpoint{ID: EndpointID(i), Cell: i / 4, Started: c.started[i]})
	}
	return l
}

// restart replaces a sidecar's process; the new one receives the list after a delay.
func (c *coldSim) restart(t *testing.T, i int, listDelay time.Duration) {
	settings := c.sidecars[i].settings
	settings.WarmupTime, settings.StartCapacity, settings.OverloadMultiple = c.warmupTime, c.startCapacity, c.overloadMultiple
	b, err := New(settings, c.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	c.sidecars[i] = b
	c.schedule(listDelay, func() {
		if c.sidecars[i] == b {
			c.apply(i, b.Endpoints(c.now, c.list(), true))
		}
	})
}

// capacity is what all endpoints can do together at a time, in requests per second.
func (c *coldSim) capacity(at time.Duration) (sum float64) {
	for i := range c.endpoints {
		if c.started[i] > 0 {
			sum += c.warmth(i, at)
		} else {
			sum++
		}
	}
	return sum / coldMeanWork.Seconds()
}

// maxBudgetUse is the largest fraction of its budget that any cold endpoint was sent within the
// time over which the settings count: N requests of mean work and a margin for chance.
func (c *coldSim) maxBudgetUse() (worst float64) {
	for e, sent := range c.sent {
		sum, from := 0.0, 0
		for i := range sent {
			sum += sent[i].work
			for sent[i].at-sent[from].at >= coldOverloadTime {
				sum -= sent[from].work
				from++
			}
			n := c.overloadMultiple * c.warmth(e, sent[from].at) * coldOverloadTime.Seconds() / coldMeanWork.Seconds()
			slack := 3*math.Sqrt(n) + 3
			if n >= 30 {
				slack = 2*math.Sqrt(n) + 2
			}
			worst = max(worst, sum/(n+slack))
		}
	}
	return worst
}

// coldLoad is what cold endpoints were sent, relative to what they could do in that time.
func (c *coldSim) coldLoad(from, to time.Duration) float64 {
	var sent, capacity float64
	for e := range c.sent {
		for _, s := range c.sent[e] {
			if s.at >= from && s.at < to {
				sent += s.work
			}
		}
		if c.started[e] > 0 {
			capacity += (c.warmth(e, from) + c.warmth(e, to)) / 2 * (to - from).Seconds() / coldMeanWork.Seconds()
		}
	}
	return sent / capacity
}

// coldScenes are scenarios of a fleet with cold endpoints: its load by the time since the beginning,
// relative to its capacity, and when its processes restart and receive the list.
var coldScenes = map[string]struct {
	load    func(since time.Duration) float64
	restart func(c *coldSim, t *testing.T)
	decline bool // warm endpoints decline one request in three
	down    bool // half of the warm endpoints refuse connections from the burst on
	noWarm  bool // all endpoints are cold
	// refuses reports whether the k-th of so many warm endpoints refuses the connections of a sidecar.
	refuses func(sidecar, k, warm int, since time.Duration) bool
}{
	"steady":                   {load: loadOf(0.6, 0.6)},
	"a burst":                  {load: loadOf(0.6, 1)},
	"a burst to three times":   {load: loadOf(0.6, 1.8)},
	"listed over 5 s, a burst": {load: loadOf(0.6, 1.8), restart: listedOver(5 * time.Second)},
	"all restarted, a burst":   {load: loadOf(0.6, 1.8), restart: restartedAt(5 * time.Second)},
	"some decline, a burst":    {load: loadOf(0.6, 1.8), decline: true},
	"some are down, a burst":   {load: loadOf(0.6, 1.8), down: true},
	"all are cold, a burst":    {load: loadOf(0.6, 1.8), noWarm: true},
	"all are cold, overload":   {load: loadOf(1.8, 1.8), noWarm: true},
	"quiet, then overload":     {load: loadOf(0.05, 1.8)},
	"each reaches one warm endpoint, overload": {load: loadOf(1.8, 1.8), refuses: func(sidecar, k, warm int, _ time.Duration) bool {
		return k != sidecar%warm
	}},
	"each reaches a third of the warm endpoints, a burst": {load: loadOf(0.6, 1.8), refuses: func(sidecar, k, _ int, _ time.Duration) bool {
		return (sidecar+k)%3 > 0
	}},
	"no warm endpoint is reached for 2 s, a burst": {load: loadOf(0.6, 1.8), refuses: func(_, _, _ int, since time.Duration) bool {
		return since >= 3500*time.Millisecond && since < 5500*time.Millisecond
	}},
}

// loadOf is the usual load, but burst from 5 to 8 s.
func loadOf(usual, burst float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		if since >= 5*time.Second && since < 8*time.Second {
			return burst
		}
		return usual
	}
}

func listedOver(d time.Duration) func(*coldSim, *testing.T) {
	return func(c *coldSim, t *testing.T) {
		for i := range c.sidecars {
			c.restart(t, i, time.Second/2+d*time.Duration(i)/time.Duration(len(c.sidecars)))
		}
	}
}

func restartedAt(at time.Duration) func(*coldSim, *testing.T) {
	return func(c *coldSim, t *testing.T) {
		listedOver(0)(c, t)
		c.schedule(at, func() {
			for i := range c.sidecars {
				c.restart(t, i, time.Duration(c.rng.Int64N(int64(time.Second))))
			}
		})
	}
}

// failWarm ends attempts on warm endpoints after a millisecond where fails reports so.
func (c *coldSim) failWarm(result Result, fails func(EndpointID) bool) {
	c.failWarmBySidecar(result, func(_ int, id EndpointID) bool { return fails(id) })
}

// failWarmBySidecar is failWarm where that depends on the sidecar, too.
func (c *coldSim) failWarmBySidecar(result Result, fails func(int, EndpointID) bool) {
	send := c.onSend
	c.onSend = func(i int, a Send) {
		if c.started[a.Endpoint] > 0 || !fails(i, a.Endpoint) {
			send(i, a)
			return
		}
		c.endAttemptAfter(time.Millisecond, i, a, result)
	}
}

// endAttemptAfter ends an attempt of a sidecar after a time, without work for its endpoint.
func (c *coldSim) endAttemptAfter(elapsed time.Duration, i int, a Send, result Result) {
	key := [2]int{i, int(a.Request)}
	n := c.attempts[key]
	c.attempts[key]++
	c.schedule(elapsed, func() {
		_, open := c.openClass[key]
		c.apply(i, c.sidecars[i].Outcome(c.now, Outcome{Request: a.Request, Attempt: n, Endpoint: a.Endpoint, Result: result, Complete: !open, Elapsed: elapsed}))
	})
}

// runColdScene runs a scenario and returns the fleet at its end.
func runColdScene(t *testing.T, name string, sidecars int, seed uint64) *coldSim {
	scene := coldScenes[name]
	endpoints := max(min(sidecars, 20), 10)
	c := newColdSim(t, sidecars, endpoints, seed)
	if scene.noWarm {
		for i := range c.endpoints {
			c.started[i] = c.now + 1
			c.endpoints[i].warmth = func() float64 { return c.warmth(i, c.now) }
		}
	}
	if scene.restart != nil {
		scene.restart(c, t)
	} else {
		listedOver(0)(c, t)
	}
	if scene.decline {
		c.failWarm(Declined, func(EndpointID) bool { return c.rng.IntN(3) == 0 })
	}
	if scene.down {
		c.failWarm(NoConnection, func(id EndpointID) bool { return id%2 == 0 && c.now >= time.Hour+5*time.Second })
	}
	if scene.refuses != nil {
		c.failWarmBySidecar(NoConnection, func(i int, id EndpointID) bool { // two of five are cold
			return scene.refuses(i, int(id)/5*3+int(id)%5-2, endpoints*3/5, c.now-time.Hour)
		})
	}
	c.runAt(func(since time.Duration) float64 { return scene.load(since) * c.capacity(c.now) }, 10*time.Second)
	return c
}

// Sidecars that share nothing sent cold endpoints all that a burst brought: each endpoint stays within
// its budget, for the sum of all sidecars, and is sent enough to warm up.
func TestBurstDoesNotOverloadColdEndpoints(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("COLD_SEEDS"))
	for name := range coldScenes {
		for _, sidecars := range []int{1, 5, 30, 300} {
			t.Run(fmt.Sprintf("%s, %d sidecars", name, sidecars), func(t *testing.T) {
				t.Parallel()
				worst, minLoad, maxLoad := 0.0, math.Inf(1), 0.0
				for seed := range max(seeds, 1) {
					c := runColdScene(t, name, sidecars, uint64(seed))
					worst = max(worst, c.maxBudgetUse())
					load := c.coldLoad(time.Hour+time.Second, time.Hour+5*time.Second)
					minLoad, maxLoad = min(minLoad, load), max(maxLoad, load)
				}
				t.Logf("at most %.2f of the budget; %.2f to %.2f of what they can do before the burst", worst, minLoad, maxLoad)
				if worst > 1 {
					t.Errorf("a cold endpoint was sent %.2f of its budget", worst)
				}
			})
		}
	}
}

// What all sidecars save up for a cold endpoint, and may spend at one moment, is within the margin for chance
// on 30 requests, 2 x root of 30 + 2, or a tenth of a request for each sidecar. A single one sends one at once.
func TestSavedTokensAreBounded(t *testing.T) {
	margin := 2*math.Sqrt(30) + 2
	for _, size := range []int{1, 5, 30, 120, 300} {
		for _, cold := range []int{1, 8} {
			b := newBalancerWithCold(t, cold)
			b.settings.FleetSize = size
			start := &b.fleet.slowStart
			for range 2000 {
				b.admission.pressure = 0.9 // at which cold endpoints also earn by what they answer
				recordServed(b, start.cold[0], ms)
				for range 2 {
					if saved, maxSaved := float64(size)*start.total.tokens/float64(cold), math.Max(margin, 0.1*float64(size)/float64(cold)); saved > maxSaved {
						t.Fatalf("%d sidecars, %d cold endpoints: all save up %.2f requests for each, want at most %.2f", size, cold, saved, maxSaved)
					}
					if tokens := start.cold[0].bucket.tokens; tokens >= 1 {
						t.Fatalf("%d sidecars: one saves up %.2f requests for an endpoint, and sends two at once", size, tokens)
					}
					recordServed(b, b.fleet.servers[cold], ms)
					b.refillCold(&request{})
				}
			}
		}
	}
}

// Requests with a short deadline counted as little work under overload, as they are answered soon or never: all
// sidecars together sent a cold endpoint 1.24 times what it may be sent.
func TestShortDeadlineIsNotLittleWork(t *testing.T) {
	b := newBalancerWithCold(t, 5)
	warm := b.fleet.servers[5]
	short := &request{Request: Request{Class: 1, TimeLeft: 60 * ms}, arrivedAt: b.now}
	for i := range 200 { // each has the same work, and waits for 0 to 199 ms
		elapsed := time.Duration(i*37%200)*ms + 10*ms
		recordServed(b, warm, elapsed)
		o := Outcome{Endpoint: warm.ID, Result: Served, Complete: true, Elapsed: elapsed}
		if elapsed > short.TimeLeft {
			o.Result, o.Elapsed = NoAnswer, short.TimeLeft
		}
		b.learn(short, &attempt{server: warm, sentAt: b.now, open: true}, o)
	}
	if work := b.relativeWork(short); work < 0.9 {
		t.Errorf("a request of the same work as the others counts as %.2f", work)
	}
}

// A sidecar sent one cold endpoint what was due to all of them: it is sent at most four beyond what it earns.
func TestEndpointDebtIsBounded(t *testing.T) {
	b := newBalancerWithCold(t, 5)
	b.fleet.slowStart.total.tokens = 20
	r, sent := &request{Request: Request{TimeLeft: time.Second}}, 0
	for cold := b.fleet.slowStart.cold[0]; sent < 20 && b.withinBudget(r, cold); sent++ {
		b.charge(r, cold)
	}
	if sent < 1 || sent > 4 {
		t.Errorf("%d requests were sent at once, want 1 to 4", sent)
	}
}

// Tokens that draws left were not spent: where all sidecars together have more than two requests for a cold
// endpoint, the next one goes there.
func TestUnusedTokensAreSpent(t *testing.T) {
	for _, size := range []int{1, 30, 300} {
		b := newBalancerWithCold(t, 1)
		b.settings.FleetSize = size
		for _, saved := range []float64{-0.01, 2.1} { // by all sidecars
			b.fleet.slowStart.total.tokens = math.Min(saved/float64(size), 0.1)
			if spent := b.preferredCold(&request{}, func(*server) bool { return true }) != nil; spent != (saved > 0) {
				t.Errorf("%d sidecars have %.2f requests for a cold endpoint: spent %t", size, saved, spent)
			}
		}
	}
}

// A request that waited for probes was sent to a cold endpoint whose budget had been used up meanwhile.
func TestBudgetIsCheckedAfterProbes(t *testing.T) {
	settings := testSettings()
	settings.MayProbe, settings.ReportFields, settings.WarmupTime, settings.StartCapacity = true, []ReportField{FieldRate, FieldInFlight}, time.Minute, 0.5
	b := newBalancer(t, settings)
	list := endpointList(2)
	list[1].Started = time.Hour
	b.Endpoints(time.Hour, list, true)
	b.fleet.slowStart.total.tokens = 0
	actions := b.Request(time.Hour, Request{ID: 1, TimeLeft: 200 * ms})
	if len(b.awaitingProbes) != 1 {
		t.Fatalf("%v: no request awaits probes", actions)
	}
	b.fleet.slowStart.total.tokens = -1
	b.Probed(time.Hour+ms, ProbeResult{Endpoint: list[0].ID, Report: []float64{100, 3}})
	for _, a := range b.Probed(time.Hour+ms, ProbeResult{Endpoint: list[1].ID, Report: []float64{100, 0}}) {
		if s, ok := a.(Send); ok && s.Endpoint == list[0].ID {
			return
		}
	}
	t.Error("the request was not sent to the warm endpoint")
}

// All sidecars sent the requests of a popular key to the cold endpoint that ranks first for it.
func TestPopularKeyDoesNotOverloadColdEndpoint(t *testing.T) {
	first := map[EndpointID]int{}
	for seed := range uint64(100) {
		settings := testSettings()
		settings.WarmKeys, settings.WarmupTime, settings.StartCapacity, settings.FleetSize = true, time.Minute, 0.1, 100
		b, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		list := endpointList(20)
		for i := range list[:10] {
			list[i].Started = time.Hour
		}
		b.Endpoints(time.Hour, list, true)
		b.refresh(0)
		r := &request{Request: Request{Key: "popular"}, key: hashKey("popular")}
		b.fleet.slowStart.total.tokens = endpointBurst
		first[b.preferredCold(r, func(*server) bool { return true }).ID]++
	}
	for id, n := range first {
		if n > 25 {
			t.Errorf("%d of 100 sidecars send the key to endpoint %d", n, id)
		}
	}
}

// recordServed records a served request of class 0 at an endpoint, after a time.
func recordServed(b *Balancer, s *server, elapsed time.Duration) {
	r := &request{Request: Request{TimeLeft: time.Second}, arrivedAt: b.now}
	a := attempt{server: s, sentAt: b.now, open: true}
	b.learn(r, &a, Outcome{Endpoint: s.ID, Result: Served, Complete: true, Elapsed: elapsed})
}

// newBalancerWithCold returns an instance with ten endpoints, of which the first few have just started.
func newBalancerWithCold(t *testing.T, cold int) *Balancer {
	settings := testSettings()
	settings.WarmupTime, settings.StartCapacity = time.Hour, 0.1
	b := newBalancer(t, settings)
	list := endpointList(10)
	for i := range list[:cold] {
		list[i].Started = time.Hour
	}
	b.Endpoints(time.Hour, list, true)
	b.refresh(0)
	return b
}

// Warm endpoints were overloaded: cold ones that are limited answer in time, and that counted as capacity.
func TestPromptColdEndpointsDoNotHideOverload(t *testing.T) {
	admitted := func(prompt bool) (sum float64) {
		const rounds = 200
		b := newBalancerWithCold(t, 5)
		for i := range rounds {
			b.now += 100 * ms
			b.refresh(0)
			if prompt {
				recordServed(b, b.fleet.servers[i%5], b.settings.Classes[0].Aim*9/10)
			}
			elapsed := b.settings.Classes[0].Aim * 9 / 10
			if i%4 > 0 {
				elapsed = b.settings.Classes[0].Aim * 11 / 10
			}
			recordServed(b, b.fleet.servers[5+i%5], elapsed) // most answers of the warm ones are late
			sum += b.admission.level / rounds
		}
		return sum
	}
	without, with := admitted(false), admitted(true)
	if t.Logf("%.2f of the requests are admitted, %.2f with prompt answers of cold endpoints", without, with); with > without+0.1 {
		t.Error("prompt answers of cold endpoints raised the admission level")
	}
}

// Load shedding never ended where only cold endpoints were drawn, as none of their answers counted.
func TestSheddingEndsWhereOnlyColdEndpointsAnswer(t *testing.T) {
	b := newBalancerWithCold(t, 10)
	b.admission.level, b.admission.pressure, b.admission.lateRatio = 0.2, 0.9, 0.9
	for range 40 {
		recordServed(b, b.fleet.servers[0], ms)
	}
	if b.admission.level < 0.9 {
		t.Errorf("%.2f of the requests are admitted, with every answer prompt", b.admission.level)
	}
}

// Timely answers of a cold endpoint don't count, but its overdue attempts did: slow cold endpoints alone caused pressure.
func TestOverdueColdEndpointsCauseNoPressure(t *testing.T) {
	pressure := func(overdue bool) (sum float64) {
		const rounds = 200
		b := newBalancerWithCold(t, 5)
		for i := range rounds {
			b.now += 100 * ms
			b.refresh(0)
			if overdue {
				cold := b.fleet.servers[i%5]
				r := &request{Request: Request{TimeLeft: time.Second}, arrivedAt: b.now - 75*ms}
				r.attempts = []attempt{{server: cold, sentAt: b.now - 75*ms, overdueAt: b.now, open: true}}
				b.judgeOverdue(r) // and is answered in time, as are the next:
				b.learn(r, &r.attempts[0], Outcome{Endpoint: cold.ID, Result: Served, Complete: true, Elapsed: 80 * ms})
				for range 3 {
					recordServed(b, cold, 10*ms)
				}
			}
			recordServed(b, b.fleet.servers[5+i%5], 10*ms)
			sum += b.admission.pressure / rounds
		}
		return sum
	}
	without, with := pressure(false), pressure(true)
	t.Logf("pressure %.2f, %.2f without", with, without)
	if with > without+0.03 {
		t.Errorf("pressure %.2f, %.2f without the overdue attempts of cold endpoints", with, without)
	}
}

// A sidecar with three cold endpoints that answer promptly and seven that hang refused what the cold ones had
// capacity for, as their answers did not count.
func TestSheddingEndsWhereWarmEndpointsHang(t *testing.T) {
	for seed := range uint64(3) {
		c := newColdSim(t, 1, 10, seed)
		c.warmupTime, c.startCapacity = 200*time.Second, 0.3
		for i := range c.endpoints {
			c.started[i], c.endpoints[i].warmth = 0, nil
			if i < 3 {
				c.started[i] = c.now + 1
				c.endpoints[i].warmth = func() float64 { return c.warmth(i, c.now) }
			}
		}
		listedOver(0)(c, t)
		send := c.onSend
		c.onSend = func(i int, a Send) {
			if c.started[a.Endpoint] > 0 || c.now < time.Hour+5*time.Second {
				send(i, a)
				return
			}
			c.endAttemptAfter(a.Timeout, i, a, NoAnswer)
		}
		c.run(5, time.Minute) // the cold ones can do 60 a second
		if served, arrived := c.served[0]+c.served[1], c.arrived[0]+c.arrived[1]; float64(served) < 0.75*float64(arrived) {
			t.Errorf("seed %d: %d of %d served, %v refused", seed, served, arrived, c.refused)
		}
	}
}

// Cold endpoints were sent more than their share of a light load: they answered late while the others had capacity.
func TestColdEndpointsAtLightLoad(t *testing.T) {
	const load = 0.3
	for _, sidecars := range []int{5, 30, 300} {
		for seed := range uint64(3) {
			c := newColdSim(t, sidecars, 20, seed)
			listedOver(0)(c, t)
			c.runAt(func(time.Duration) float64 { return load * c.capacity(c.now) }, 10*time.Second)
			if sent := c.coldLoad(time.Hour+2*time.Second, time.Hour+10*time.Second); sent > 1.1*load {
				t.Errorf("%d sidecars: cold endpoints are sent %.2f of what they can do, at a load of %.2f", sidecars, sent, load)
			}
		}
	}
}

// Cold endpoints were limited to their share while the others, though they had capacity, became late.
func TestColdGainGrowsWithLateAnswers(t *testing.T) {
	b := newBalancerWithCold(t, 2)
	b.fleet.slowStart.warmAnswerRatio.add(1, 1)
	var gains [3]float64
	for i := range gains {
		b.admission.lateRatio = lowCapacityLateRatio * float64(i) / 2
		gains[i] = b.coldGain()
	}
	if maxGain := b.settings.overloadMultiple() * budgetUtilization; gains[0] != 1 || gains[1] <= gains[0] || gains[1] >= gains[2] || gains[2] != maxGain {
		t.Errorf("want gains rising from 1 to %v, got %v", maxGain, gains)
	}
}

// Requests that state twice the cost of others counted for less than those, if their deadline is short.
func TestStatedCostIsTheWork(t *testing.T) {
	b := newBalancerWithCold(t, 5)
	warm, costs := b.fleet.servers[5], [2]float64{0.01, 0.02}
	requests := [2]*request{}
	for class := range requests {
		requests[class] = &request{Request: Request{Class: class, TimeLeft: 60 * ms, Cost: costs[class]}, arrivedAt: b.now}
	}
	for i := range 200 { // each waits for 0 to 199 ms; those that may wait are answered
		class, elapsed := i%2, time.Duration(i*37%200)*ms+10*ms
		b.Request(b.now, Request{ID: RequestID(1000 + i), Class: class, TimeLeft: time.Second, Cost: costs[class]})
		o := Outcome{Endpoint: warm.ID, Result: Served, Complete: true, Elapsed: elapsed}
		if class == 1 && elapsed > 60*ms {
			o.Result, o.Elapsed = NoAnswer, 60*ms
		}
		b.learn(requests[class], &attempt{server: warm, sentAt: b.now, open: true}, o)
	}
	if light, heavy := b.relativeWork(requests[0]), b.relativeWork(requests[1]); heavy < 1.9*light {
		t.Errorf("requests of 10 and 20 ms count as %.2f and %.2f", light, heavy)
	}
}

// Under a lasting overload a class with a short deadline counts as little work: all sidecars together send
// a cold endpoint more than it may be sent.
func TestLastingOverloadDoesNotPushColdEndpointsOver(t *testing.T) {
	deadline, work := simClasses[1].Deadline, simWork
	simClasses[1].Deadline, simWork = 100*time.Millisecond, [2]time.Duration{10 * time.Millisecond, 20 * time.Millisecond}
	defer func() { simClasses[1].Deadline, simWork = deadline, work }()
	for seed := range uint64(20) {
		c := newColdSim(t, 300, 20, seed)
		listedOver(0)(c, t)
		c.runAt(func(time.Duration) float64 { return 1.8 * c.capacity(c.now) }, 10*time.Second)
		if used := c.maxBudgetUse(); used > 1 {
			t.Errorf("%.2f of the budget was used", used)
		}
	}
}
