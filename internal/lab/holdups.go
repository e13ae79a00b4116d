package lab

import (
	"context"
	"sync"
	"time"
)

// HoldUps are the times in which this process did not get on: what it sees then it sees late.
type HoldUps struct {
	mu     sync.Mutex
	all    []holdUp
	looked time.Time // latest; zero: nobody looks
}

type holdUp struct{ from, to time.Time }

const (
	holdTick  = 5 * time.Millisecond
	leastHold = 5 * time.Millisecond // that is noted
	mostHolds = 1 << 14              // that are kept
)

// Look notes them until ctx ends.
func (h *HoldUps) Look(ctx context.Context) {
	tick := time.NewTicker(holdTick)
	defer tick.Stop()
	for h.look(time.Now()); ; h.look(time.Now()) {
		select {
		case <-ctx.Done():
			h.look(time.Time{})
			return
		case <-tick.C:
		}
	}
}

// look notes what lies between the last look and now, and that it was looked now; zero: nobody does any more.
func (h *HoldUps) look(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u, held := h.since(now); held {
		h.note(u)
	}
	h.looked = now
}

// since is the hold-up that lasts until now, if one does.
func (h *HoldUps) since(now time.Time) (u holdUp, held bool) {
	u = holdUp{h.looked.Add(holdTick), now}
	return u, !h.looked.IsZero() && u.to.Sub(u.from) >= leastHold
}

// Note notes one.
func (h *HoldUps) Note(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note(holdUp{from, to})
}

func (h *HoldUps) note(u holdUp) {
	if len(h.all) >= mostHolds {
		h.all = append(h.all[:0], h.all[mostHolds/2:]...)
	}
	h.all = append(h.all, u)
}

// Within is for how long this process was held up within a time, and for how long at most at once.
func (h *HoldUps) Within(from, to time.Time) (all, most time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := h.all
	if u, held := h.since(time.Now()); held {
		seen = append(seen[:len(seen):len(seen)], u)
	}
	for _, u := range seen {
		if u.from.After(to) || u.to.Before(from) {
			continue
		}
		most = max(most, u.to.Sub(u.from))
		all += earlier(u.to, to).Sub(later(u.from, from))
	}
	return all, most
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
