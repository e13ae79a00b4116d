package federation

import (
	"context"
	"sync"
	"time"
)

// holdUps are the times in which this process, in which clients and endpoints run, did not get on.
type holdUps struct {
	mu  sync.Mutex
	all []heldUp
}

type heldUp struct{ from, to time.Time }

const (
	holdTick  = 10 * time.Millisecond
	leastHold = 20 * time.Millisecond // that is noted
	mostHolds = 1 << 14               // that are noted
)

// look notes them until ctx ends.
func (h *holdUps) look(ctx context.Context) {
	tick := time.NewTicker(holdTick)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		due, now := last.Add(holdTick), time.Now()
		if now.Sub(due) >= leastHold {
			h.note(due, now)
		}
		last = now
	}
}

func (h *holdUps) note(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.all) < mostHolds {
		h.all = append(h.all, heldUp{from, to})
	}
}

// within is for how long this process was held up within a time.
func (h *holdUps) within(from, to time.Time) (all time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, u := range h.all {
		begin, end := later(u.from, from), u.to
		if to.Before(end) {
			end = to
		}
		all += max(0, end.Sub(begin))
	}
	return all
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
