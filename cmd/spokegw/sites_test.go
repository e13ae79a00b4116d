package main

import (
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/federation"
	"spokegw/internal/lab/links"
)

const stateLost, stateReturning = 2, 3

// allReport reports whether all gateways except some report a site in a state.
func (g *testFederation) allReport(site string, state float64, except ...int) bool {
	for i := range g.Gateways {
		if !contains(except, i) && g.metric(i, "site."+site+".state") != state {
			return false
		}
	}
	return true
}

// Six processes in three sites. A site is lost with its gateways and endpoints, and with the
// leader if it is there: the other sites must send it next to no requests. It returns in steps.
// Then only the links of its gateways are cut while its endpoints still serve, which must not
// count as a site loss. Throughout, all share a quota of two thirds of the demand, which no
// interval may exceed. No key runs twice, and no request that a surviving process accepted is lost.
func TestSiteLossOverProcesses(t *testing.T) {
	e := lab.EndpointConfig{Workers: 8, Work: 10 * time.Millisecond, Body: 10}
	g := startFederation(t, federation.Config{
		Partners: []int{2, 2, 2}, Parts: []float64{0.34, 0.33, 0.33}, Weights: true, Sites: []string{"bijela", "javor", "lisina"},
		Rate: 200, Burst: 20, Lease: time.Second, Seed: 6,
		Endpoints: []lab.EndpointConfig{e, e, e, e, e, e},
	})
	g.Demand(50)
	g.awaitCondition("all have a table", func() bool { return g.leader() >= 0 && g.allReport("javor", 0) })
	g.awaitOneTable()
	g.awaitUsage("total demand 1.5 times the quota", 0.9)

	lost := []int{1, 4} // gateways and endpoints of javor
	for _, i := range lost {
		g.Gateways[i].Kill()
		g.Endpoint(i).Silence()
	}
	g.awaitCondition("javor is lost", func() bool { return g.allReport("javor", stateLost, lost...) })
	before, from := g.Came(1)+g.Came(4), time.Now()
	<-time.After(2 * time.Second)
	there, all := g.Came(1)+g.Came(4)-before, g.Ran(from)
	t.Logf("of %d requests in 2 s %d were sent to the lost site", all, there)
	if there > all/10 {
		t.Errorf("%d of %d requests were sent to the lost site, want at most a tenth", there, all)
	}
	g.awaitUsage("the lost gateways own a third of the quota", 0.6)
	for _, i := range lost {
		g.Endpoint(i).Speak()
		if err := g.Gateways[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	g.awaitCondition("javor returns", func() bool { return g.metric(0, "site.javor.state") != stateLost })
	g.awaitCondition("javor is healthy", func() bool { return g.allReport("javor", 0) })
	g.awaitUsage("all gateways are back", 0.9)

	for _, i := range lost { // cut off from the other gateways, while their own clients continue
		for j := range g.Gateways {
			if !contains(lost, j) {
				g.Set(i, j, true, links.Fault{Cut: true})
			}
		}
	}
	g.awaitCondition("two of six gateways are partitioned", func() bool { return g.metric(1, "weights.stale") == 1 && g.metric(4, "weights.stale") == 1 })
	if !g.allReport("javor", 0, lost...) {
		t.Error("javor counts as lost although its endpoints serve and only its gateways are cut off")
	}
	g.Heal()
	g.awaitCondition("one leader and one table for all again", func() bool { return g.leader() >= 0 && g.allReport("javor", 0) && g.metric(1, "weights.stale") == 0 })
	g.verify()
}

// awaitOneTable waits until all gateways have the leader's current table.
func (g *testFederation) awaitOneTable() {
	g.awaitCondition("one table for all", func() bool {
		for i := range g.Gateways {
			if g.metric(i, "weights.stale") != 0 {
				return false
			}
		}
		return true
	})
}

// Two sites with two gateways each, and a third with one. Half of the links drop three in ten
// messages and delay them by up to 0.4 s while one site is lost and a gateway of another is
// restarted. The site returns as all processes are killed and restarted at once. The leader is
// then paused for longer than any lease, and resumes with stale state.
func TestSiteLossOfTwo(t *testing.T) {
	e := lab.EndpointConfig{Workers: 8, Work: 10 * time.Millisecond, Body: 10}
	g := startFederation(t, federation.Config{
		Partners: []int{2, 2, 1}, Parts: []float64{0.4, 0.4, 0.2}, Weights: true, Sites: []string{"bijela", "javor", "lisina"},
		Rate: 2000, Burst: 200, Lease: 2 * time.Second, Seed: 8,
		Endpoints: []lab.EndpointConfig{e, e, {Workers: 8, Work: 10 * time.Millisecond, Body: 10}, e, e},
	})
	g.Endpoint(2).Close() // the third site's only endpoint is gone, which is not a site loss
	g.Demand(40)
	g.awaitCondition("all have a table", func() bool { return g.leader() >= 0 && g.allReport("javor", 0) })
	g.awaitOneTable()
	for i := range g.Gateways {
		for j := range g.Gateways {
			if i != j && (i+j)%2 == 0 {
				g.Set(i, j, false, links.Fault{Drop: 0.3, Jitter: 400 * time.Millisecond})
			}
		}
	}
	lost := []int{1, 4}
	for _, i := range lost {
		g.Gateways[i].Kill()
		g.Endpoint(i).Silence()
	}
	g.Gateways[0].Kill()
	if err := g.Gateways[0].Start(); err != nil {
		t.Fatal(err)
	}
	g.awaitCondition("javor is lost, also for the restarted gateway", func() bool { return g.allReport("javor", stateLost, lost...) })
	g.Heal()
	for _, i := range lost {
		g.Endpoint(i).Speak()
	}
	for _, w := range g.Gateways {
		w.Kill()
	}
	for _, w := range g.Gateways {
		if err := w.Start(); err != nil {
			t.Fatal(err)
		}
	}
	g.awaitCondition("all sites are healthy after a restart of all", func() bool { return g.leader() >= 0 && g.allReport("javor", 0) && g.allReport("bijela", 0) })
	g.awaitOneTable()
	formerLeader := g.leader()
	g.Gateways[formerLeader].Pause()
	g.awaitCondition("another gateway is the leader", func() bool { return g.leader(formerLeader) >= 0 })
	<-time.After(8 * time.Second) // several leases
	g.Gateways[formerLeader].GoOn()
	g.awaitCondition("the resumed gateway is not the leader", func() bool { return g.leader() >= 0 && g.leader() != formerLeader })
	g.awaitOneTable()
	for i := range g.Gateways {
		for _, site := range []string{"bijela", "javor", "lisina"} {
			if state := g.metric(i, "site."+site+".state"); state >= stateLost {
				t.Errorf("gateway %d: %s is in state %v, although only a single endpoint is missing", i, site, state)
			}
		}
	}
	g.verify()
}

// A site is lost during a rolling release that replaces all endpoints one after the other and
// restarts the gateways: one of its endpoints is draining, one has just started, one has not been
// replaced yet. The release continues at the other sites, none of which may count as lost, before or
// after. The site returns with new endpoints. A draining endpoint must not get requests after its
// drain was announced and its grace period is over, and every request is answered.
func TestSiteLossDuringRelease(t *testing.T) {
	e := lab.EndpointConfig{Workers: 8, Work: 10 * time.Millisecond, Body: 10}
	g := startFederation(t, federation.Config{
		Partners: []int{2, 2, 2}, Parts: []float64{0.34, 0.33, 0.33}, Weights: true, Sites: []string{"bijela", "javor", "lisina"},
		Rate: 2000, Burst: 200, Lease: time.Second, Seed: 9, Cold: 4 * time.Second,
		Endpoints: []lab.EndpointConfig{e, e, e, e, e, e, e, e, e},
	})
	replace := func(i int) (now int) {
		t.Helper()
		now, err := g.Replace(i)
		if err != nil {
			t.Fatal(err)
		}
		return now
	}
	others := []string{"bijela", "lisina"}
	checkNotLost := func(when string, sites ...string) {
		t.Helper()
		for i := range g.Gateways {
			for _, site := range sites {
				if state := g.metric(i, "site."+site+".state"); state >= stateLost {
					t.Errorf("%s: gateway %d has %s in state %v", when, i, site, state)
				}
			}
		}
	}
	g.Demand(30)
	g.awaitCondition("all have a table", func() bool { return g.leader() >= 0 && g.allReport("javor", 0) })
	g.awaitOneTable()
	replacements := map[int]int{}
	for _, i := range []int{0, 1, 2} { // the first endpoint of each site
		replacements[i] = replace(i)
		g.awaitCondition("the new endpoint receives requests", func() bool { return g.Came(replacements[i]) > 0 })
		checkNotLost("during the release", "bijela", "javor", "lisina")
	}
	replacements[4] = replace(4) // of javor: it is still draining, and its replacement has just started
	lost := []int{1, 4}
	for _, i := range lost {
		g.Gateways[i].Kill()
	}
	for _, i := range []int{1, replacements[1], 4, replacements[4], 7} {
		g.Endpoint(i).Silence()
	}
	for _, i := range []int{3, 5} { // the release continues
		replacements[i] = replace(i)
		g.awaitCondition("the new endpoint receives requests while a site is being lost", func() bool { return g.Came(replacements[i]) > 0 })
		if err := g.Gateways[i].Restart(); err != nil { // a gateway of the same site
			t.Fatal(err)
		}
		checkNotLost("during the site loss", others...)
	}
	g.awaitCondition("javor is lost", func() bool { return g.allReport("javor", stateLost, lost...) })
	for _, i := range []int{6, 8} {
		replacements[i] = replace(i)
		g.awaitCondition("the new endpoint receives requests after the site loss", func() bool { return g.Came(replacements[i]) > 0 })
		checkNotLost("without javor", others...)
	}
	for _, i := range []int{replacements[1], replacements[4], 7} { // the endpoints of javor that were lost are gone for good
		replacements[i] = replace(i)
	}
	for _, i := range lost {
		if err := g.Gateways[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	g.awaitCondition("javor is healthy, with new endpoints", func() bool { return g.allReport("javor", 0) })
	g.awaitCondition("all its endpoints receive requests", func() bool {
		return g.Came(replacements[replacements[1]]) > 0 && g.Came(replacements[replacements[4]]) > 0 && g.Came(replacements[7]) > 0
	})
	checkNotLost("at the end", others...)
	if n := g.Late(); n > 0 {
		t.Errorf("%d requests were sent to endpoints after their drain grace period", n)
	}
	g.verify()
}
