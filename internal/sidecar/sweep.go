package sidecar

import (
	"context"
	"maps"
	"time"

	"spokegw/internal/handover"
)

const sweepPeriod = time.Second

func (s *Sidecar) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sweepOnce()
			s.tickMoves()
			s.retryKeyStore()
			if n%sweepsPerImage == 0 {
				s.saveImage(false)
			}
		}
	}
}

// RetiredServices counts the removed services that still have open connections or requests.
func (s *Sidecar) RetiredServices() int {
	s.sweepOnce()
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.retired)
}

func (s *Sidecar) sweepOnce() {
	s.front.Sweep()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.services {
		r.pool.Sweep()
	}
	var left []*runningService
	for _, r := range s.retired {
		if r.pool.Sweep(); r.pool.OpenConns() > 0 || r.service.OpenRequests() > 0 {
			left = append(left, r)
			continue
		}
		r.keys.leave(r.service)
	}
	s.retired = left
	maps.DeleteFunc(s.keyGroups, func(_ handover.ServiceRef, g *keyGroup) bool { return g.isOver() })
}

// tickMoves advances the moves and saves their progress.
func (s *Sidecar) tickMoves() {
	for _, r := range s.currentServices() {
		r.service.TickMoves()
	}
	s.saveMoves()
}
