package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHear is what a steward does with one report, by the size of its fleet.
func BenchmarkHear(b *testing.B) {
	for _, n := range []int{10, 100, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := Settings{Lease: 2 * time.Second, Period: 200 * time.Millisecond, Drift: 0.01}
			var plan []Gateway
			var holders []*Participant
			for i := range n {
				plan = append(plan, Gateway{Name: fmt.Sprintf("g%03d", i), Partner: fmt.Sprint(i % 5), Part: Whole / Part(n)})
				holders = append(holders, NewParticipant(0, set, plan[i].Name, 1, plan[i].Part))
			}
			s := NewSteward(0, set, "g000", 1, plan)
			now, step := time.Duration(0), set.Period/time.Duration(n)
			b.ReportAllocs()
			for i := range b.N {
				now += step
				h := holders[i%n]
				demand := PartOf([]float64{2, 0.2, 0.5, 0, 1.5}[i%5] * (1 + 0.2*float64(i/n%3)) / float64(n))
				r, _ := h.Tick(now, demand, []string{"g000"})
				for _, reply := range s.HandleReport(now, r) {
					for j := range plan {
						if plan[j].Name == reply.To {
							holders[j].HandleReply(now, reply)
							break
						}
					}
				}
			}
		})
	}
}
