package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHandleReport measures a steward's handling of one report, by the size of its fleet.
func BenchmarkHandleReport(b *testing.B) {
	for _, n := range []int{10, 100, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := Settings{Lease: 2 * time.Second, Period: 200 * time.Millisecond, Drift: 0.01}
			var gateways []Gateway
			var participants []*Participant
			for i := range n {
				gateways = append(gateways, Gateway{Name: fmt.Sprintf("g%03d", i), Partner: fmt.Sprint(i % 5), Part: Whole / Part(n)})
				participants = append(participants, NewParticipant(0, set, gateways[i].Name, 1, gateways[i].Part))
			}
			s := NewSteward(0, set, "g000", 1, gateways)
			now, step := time.Duration(0), set.Period/time.Duration(n)
			b.ReportAllocs()
			for i := range b.N {
				now += step
				p := participants[i%n]
				demand := PartOf([]float64{2, 0.2, 0.5, 0, 1.5}[i%5] * (1 + 0.2*float64(i/n%3)) / float64(n))
				r, _ := p.Tick(now, demand, []string{"g000"})
				for _, reply := range s.HandleReport(now, r) {
					for j := range gateways {
						if gateways[j].Name == reply.To {
							participants[j].HandleReply(now, reply)
							break
						}
					}
				}
			}
		})
	}
}
