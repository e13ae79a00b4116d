package sidecar

import (
	"context"
	"time"
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
			s.retryKeys()
			if n%imageEvery == 0 {
				s.keepImage(false)
			}
		}
	}
}

// RetiredServices counts the services that have gone and still have something open.
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
	var left []*running
	for _, r := range s.retired {
		if r.pool.Sweep(); r.pool.OpenConns() > 0 {
			left = append(left, r)
		}
	}
	s.retired = left
}

// tickMoves lets time pass for the moves, and keeps where they are.
func (s *Sidecar) tickMoves() {
	for _, r := range s.running() {
		r.service.TickMoves()
	}
	s.keepMoves()
}
