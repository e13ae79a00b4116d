package main

import (
	"testing"
	"time"

	"spokegw/internal/lab/federation"
)

// Processes are killed and started anew, stand still, and are restarted as planned, one after the
// other and under load. What was open at a kill is cut off; whatever else is asked for has its
// answer.
func TestNothingIsLostBesideKills(t *testing.T) {
	const rounds, between = 3, 150 * time.Millisecond
	g := gather(t, federation.Config{Partners: []int{4}, Parts: []float64{1}, Alone: true, Rate: 1e6, Burst: 1e6, Lease: time.Second, Seed: 4})
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
	g.check()
}
