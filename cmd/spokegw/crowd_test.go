package main

import (
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/federation"
)

// Four of ten endpoints have just been replaced, and are cold, as all of 24 processes are killed
// and started anew at once under load: none knows what the others send, and each is told of the
// endpoints at a moment of its own. All together send a cold one no more than the settings allow it
// and chance may add, 2 x root of N + 2. Nine in ten are ready within 10 s, and no request is lost
// but those of processes that were killed.
func TestManyProcessesBeforeColdEndpoints(t *testing.T) {
	const (
		processes, endpoints, cold = 24, 10, 4
		work                       = 15 * time.Millisecond
		coldTime, least            = 20 * time.Second, 0.2
		multiple                   = 2 // of what it can do, over a span; settings have three
		span                       = 3 * time.Second
	)
	one := lab.EndpointConfig{Workers: 1, Work: work, Body: 10}
	c := federation.Config{Partners: []int{processes}, Parts: []float64{1}, Alone: true, Rate: 1e6, Burst: 1e6, Lease: time.Second, Seed: 11, Cold: coldTime}
	for range endpoints {
		c.Endpoints = append(c.Endpoints, one)
	}
	g := gather(t, c)
	g.Demand(15)
	g.until("all endpoints are met", func() bool {
		for i := range endpoints {
			if g.Came(i) < 50 {
				return false
			}
		}
		return true
	})
	var fresh []int
	replaced := time.Now()
	for i := range cold {
		n, err := g.Replace(i)
		if err != nil {
			t.Fatal(err)
		}
		fresh = append(fresh, n)
	}
	took, err := g.RestartAll(g.Gateways)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("ready after %v, %v and %v", took[0], took[len(took)/2], took[len(took)-1])
	if late := took[len(took)*9/10]; late > 10*time.Second {
		t.Errorf("nine in ten are ready after %v", late)
	}
	<-time.After(time.Until(replaced.Add(8 * time.Second)))
	allowed := lab.ColdStart{Time: coldTime, Least: least, Multiple: multiple, Span: span}
	for _, e := range fresh {
		ages := g.Times(e)
		for i := len(ages) - 1; i >= 0; i-- {
			ages[i] -= ages[0] // since its first request
		}
		worst, _ := allowed.Used(ages, 1/work.Seconds())
		t.Logf("cold endpoint %d met %d requests, at worst %.2f of what it may in %v", e, len(ages), worst, span)
		if worst > 1 || len(ages) < 20 {
			t.Errorf("cold endpoint %d met %d requests, %.2f of what it may", e, len(ages), worst)
		}
	}
	g.check()
}
