package main

import (
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/federation"
	"spokegw/internal/lab/links"
)

// leader returns the one gateway that reports to be the leader; -1: none does, -2: several do.
func (g *testFederation) leader(except ...int) int {
	found := -1
	for i := range g.Gateways {
		if contains(except, i) || g.metric(i, "duty.here") != 1 {
			continue
		}
		if found >= 0 {
			return -2
		}
		found = i
	}
	return found
}

func contains(all []int, x int) bool {
	for _, y := range all {
		if x == y {
			return true
		}
	}
	return false
}

// allHaveWeights reports whether all gateways except some use the fleet's weights.
func (g *testFederation) allHaveWeights(except ...int) bool {
	for i := range g.Gateways {
		if !contains(except, i) && (g.metric(i, "weights.stale") != 0 || g.metric(i, "weights.endpoints") < 3) {
			return false
		}
	}
	return true
}

// fastShare returns the part of the requests during d that the first three endpoints serve.
func (g *testFederation) fastShare(d time.Duration) float64 {
	count := func() (quick, all int) {
		for i := range 6 {
			n := g.Endpoint(i).Served()
			if all += n; i < 3 {
				quick += n
			}
		}
		return quick, all
	}
	f0, a0 := count()
	<-time.After(d)
	f1, a1 := count()
	return float64(f1-f0) / float64(max(a1-a0, 1))
}

// Five processes measure six endpoints, three of which are four times as slow although the
// discovery list gives all the same weight. The leader is killed, the next is paused, and a
// partition separates two of five. No gateway may use a table that is not the leader's, the
// separated ones must fall back to the weights of the list, all must converge on one table after
// each fault, no key runs twice and no request is lost.
func TestWeightsOverProcesses(t *testing.T) {
	quick, slow := lab.EndpointConfig{Workers: 4, Work: 10 * time.Millisecond, Body: 10}, lab.EndpointConfig{Workers: 4, Work: 40 * time.Millisecond, Body: 10}
	g := startFederation(t, federation.Config{
		Partners: []int{2, 2, 1}, Parts: []float64{0.4, 0.4, 0.2}, Weights: true,
		Rate: 5000, Burst: 500, Lease: time.Second, Seed: 5,
		Endpoints: []lab.EndpointConfig{quick, quick, quick, slow, slow, slow},
	})
	g.Demand(50)
	g.awaitCondition("all have measured weights", func() bool { return g.allHaveWeights() && g.leader() >= 0 })
	if part := g.fastShare(3 * time.Second); part < 0.7 {
		t.Errorf("the three fast endpoints serve %.2f of the requests, want at least 0.7", part)
	}

	first := g.leader()
	g.Gateways[first].Kill()
	g.awaitCondition("another gateway is the leader", func() bool { return g.leader(first) >= 0 && g.allHaveWeights(first) })
	second := g.leader(first)
	if err := g.Gateways[first].Start(); err != nil {
		t.Fatal(err)
	}
	g.awaitCondition("the restarted gateway has weights again", func() bool { return g.allHaveWeights() })

	term := g.metric(first, "weights.table")
	g.Gateways[second].Pause()
	g.awaitCondition("a third gateway is the leader", func() bool { return g.leader(second) >= 0 && g.allHaveWeights(second) })
	g.Gateways[second].GoOn()
	g.awaitCondition("the resumed gateway follows the leader", func() bool { return g.leader() >= 0 && g.allHaveWeights() })
	t.Logf("tables %v and %v", term, g.metric(first, "weights.table"))

	for _, a := range []int{0, 1} {
		for _, b := range []int{2, 3, 4} {
			g.Set(a, b, true, links.Fault{Cut: true})
		}
	}
	g.awaitCondition("two of five gateways are partitioned and use the weights of the list", func() bool {
		return g.metric(0, "weights.stale") == 1 && g.metric(1, "weights.stale") == 1 && g.metric(0, "duty.here")+g.metric(1, "duty.here") == 0
	})
	g.awaitCondition("the other three gateways have a leader", func() bool { return g.leader(0, 1) >= 2 && g.allHaveWeights(0, 1) })
	g.Heal()
	g.Demand(25) // within the capacity of the three that become slow, so that no request has to be refused
	for i := range 3 {
		g.Endpoint(i).SetWork(40 * time.Millisecond) // as if another program took three quarters of its capacity
		g.Endpoint(i + 3).SetWork(10 * time.Millisecond)
	}
	g.awaitCondition("one table for all again", func() bool { return g.leader() >= 0 && g.allHaveWeights() })
	g.awaitCondition("the weights follow the changed speeds", func() bool { return g.fastShare(time.Second) < 0.35 })
	g.verify()
}
