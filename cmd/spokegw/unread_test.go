package main

import (
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/federation"
)

// A process stands still for longer than answers may take, and answers wait in its sockets: nothing is
// refused for that, as the endpoints were not late.
func TestAnswersUnreadInAStandstillAreNotLate(t *testing.T) {
	const pause = 2200 * time.Millisecond // over the aim of requests, 2 s
	c := federation.Config{Partners: []int{1}, Parts: []float64{1}, Alone: true, Rate: 1e6, Burst: 1e6, Lease: time.Second, Seed: 1}
	for range 10 {
		c.Endpoints = append(c.Endpoints, lab.EndpointConfig{Workers: 1000, Work: 600 * time.Millisecond, Body: 10})
	}
	g := gather(t, c)
	come := func(more int) {
		from := time.Now()
		g.until("more requests have come", func() bool { return g.Ran(from) >= more })
	}
	g.Demand(20)
	for range 2 {
		come(40)
		g.Gateways[0].Pause()
		<-time.After(pause)
		g.Gateways[0].GoOn()
	}
	come(100)
	g.check()
	if tally := g.Tally(); tally.Other+tally.Disturbed > 0 {
		t.Errorf("%d requests were refused, and %d of those that came in a standstill", tally.Other, tally.Disturbed)
	}
}
