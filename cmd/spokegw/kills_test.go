package main

import (
	"testing"
	"time"

	"spokegw/internal/lab/federation"
)

// Under load, processes are in turn killed and restarted, paused, and restarted gracefully. Only
// requests that were in flight at a kill may be cut off; every other request is answered.
func TestNoOtherLossDuringKills(t *testing.T) {
	const rounds, between = 3, 150 * time.Millisecond
	g := startFederation(t, federation.Config{Partners: []int{4}, Parts: []float64{1}, Alone: true, Rate: 1e6, Burst: 1e6, Lease: time.Second, Seed: 4})
	g.Demand(150)
	for range rounds {
		for i, w := range g.Gateways {
			<-time.After(between)
			switch i {
			case 0, 1:
				w.Kill()
				if err := w.Start(); err != nil {
					t.Fatal(err)
				}
			case 2:
				w.Pause()
				<-time.After(between)
				w.GoOn()
			case 3:
				if err := w.Restart(); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	<-time.After(between)
	g.verify()
}
