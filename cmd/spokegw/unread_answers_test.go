package main

import (
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/federation"
)

// A process stalls for longer than the latency target while answers wait unread in its sockets. No
// request may be refused for that, as the endpoints answered in time.
func TestUnreadAnswersAfterStallAreNotOverdue(t *testing.T) {
	const pause = 2200 * time.Millisecond // above the requests' latency target, 2 s
	c := federation.Config{Partners: []int{1}, Parts: []float64{1}, Alone: true, Rate: 1e6, Burst: 1e6, Lease: time.Second, Seed: 1}
	for range 10 {
		c.Endpoints = append(c.Endpoints, lab.EndpointConfig{Workers: 1000, Work: 600 * time.Millisecond, Body: 10})
	}
	g := startFederation(t, c)
	awaitRequests := func(more int) {
		from := time.Now()
		g.awaitCondition("more requests have reached the endpoints", func() bool { return g.Ran(from) >= more })
	}
	g.Demand(20)
	for range 2 {
		awaitRequests(40)
		g.Gateways[0].Pause()
		<-time.After(pause)
		g.Gateways[0].GoOn()
	}
	awaitRequests(100)
	g.verify()
	if tally := g.Tally(); tally.Other+tally.Disturbed > 0 {
		t.Errorf("%d requests were refused, and %d of those that arrived during a stall", tally.Other, tally.Disturbed)
	}
}
