package main

import (
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/federation"
)

// All of 24 sidecars are killed and restarted at once under load while four of ten endpoints have
// just been replaced and are cold. No sidecar knows the load of the others, and each receives the
// endpoint list at a different time. Together they must not send a cold endpoint more than slow
// start allows plus the statistical margin, 2*sqrt(N) + 2. Nine in ten are ready within 10 s, and
// only requests of killed processes are lost.
func TestManyProcessesBeforeColdEndpoints(t *testing.T) {
	const (
		processes, endpoints, coldEndpoints = 24, 10, 4
		work                                = 15 * time.Millisecond
		coldTime, minRate                   = 20 * time.Second, 0.2
		multiple                            = 2 // of its capacity, over an interval; the settings have 3
		interval                            = 3 * time.Second
	)
	one := lab.EndpointConfig{Workers: 1, Work: work, Body: 10}
	c := federation.Config{Partners: []int{processes}, Parts: []float64{1}, Alone: true, Rate: 1e6, Burst: 1e6, Lease: time.Second, Seed: 11, Cold: coldTime}
	for range endpoints {
		c.Endpoints = append(c.Endpoints, one)
	}
	g := startFederation(t, c)
	g.Demand(15)
	g.awaitCondition("all endpoints receive requests", func() bool {
		for i := range endpoints {
			if g.Came(i) < 50 {
				return false
			}
		}
		return true
	})
	var replacements []int
	replaced := time.Now()
	for i := range coldEndpoints {
		n, err := g.Replace(i)
		if err != nil {
			t.Fatal(err)
		}
		replacements = append(replacements, n)
	}
	readyTimes, err := g.RestartAll(g.Gateways)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("ready after %v, %v and %v", readyTimes[0], readyTimes[len(readyTimes)/2], readyTimes[len(readyTimes)-1])
	if p90 := readyTimes[len(readyTimes)*9/10]; p90 > 10*time.Second {
		t.Errorf("nine in ten processes are ready after %v, want at most 10s", p90)
	}
	<-time.After(time.Until(replaced.Add(8 * time.Second)))
	allowed := lab.ColdStart{Time: coldTime, Least: minRate, Multiple: multiple, Span: interval}
	for _, e := range replacements {
		ages := g.Times(e)
		for i := len(ages) - 1; i >= 0; i-- {
			ages[i] -= ages[0] // since its first request
		}
		worst, _ := allowed.Used(ages, 1/work.Seconds())
		t.Logf("cold endpoint %d received %d requests, at most %.2f of its limit in %v", e, len(ages), worst, interval)
		if worst > 1 || len(ages) < 20 {
			t.Errorf("cold endpoint %d received %d requests, want at least 20; %.2f of its limit, want at most 1", e, len(ages), worst)
		}
	}
	g.verify()
}
