package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/figures"
	"spokegw/internal/front/http1"
	"spokegw/internal/overload"
	"spokegw/internal/stall"
)

// brakeLook is how often it is looked how long ready work waits for the processor.
const brakeLook = 10 * time.Millisecond

// brake looks how long ready work waits for the processor, and holds the sidecar to what
// that can do where an operator wants it to. Without an operator's file it is nil.
type brake struct {
	core    *core.Core
	on      atomic.Bool   // some may be refused
	refused atomic.Uint64 // in all

	waited atomic.Int64 // ready work, of late
	due    atomic.Int64 // the next look, since begun
	stalls stall.Record // of the process

	mu    sync.Mutex
	brake *overload.Shedder // nil: all are let in
	begun time.Time
}

func newBrake(set *overload.Settings, c *core.Core) *brake {
	b := &brake{core: c, begun: time.Now()}
	if set != nil {
		b.brake = overload.New(0, *set)
	}
	return b
}

// look watches until ctx ends. How late its timer is tells of a processor that is taken
// away; how long it takes to come round once more, of the work that is ready here. A
// goroutine that yields goes behind all of that, while one that a timer wakes goes first.
func (b *brake) look(ctx context.Context) {
	if b == nil {
		return
	}
	timer := time.NewTimer(brakeLook)
	defer timer.Stop()
	for {
		due := time.Now().Add(brakeLook)
		b.due.Store(int64(due.Sub(b.begun)))
		b.stalls.Expect(due)
		timer.Reset(brakeLook)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		runtime.Gosched()
		now := time.Now()
		b.stalls.Done(now)
		b.tell(now.Sub(due))
	}
}

// delay is how long ready work waits for the processor, of late or by now: while the next
// look is overdue itself, as long as that.
func (b *brake) delay() time.Duration {
	if b == nil {
		return 0
	}
	overdue := time.Since(b.begun) - time.Duration(b.due.Load())
	return max(time.Duration(b.waited.Load()), overdue, 0)
}

// stalledSince is for how long the process got no processor between a time and now.
func (b *brake) stalledSince(from, now time.Time) time.Duration {
	if b == nil {
		return 0
	}
	return b.stalls.StalledBetween(from, now)
}

func (b *brake) tell(waited time.Duration) {
	b.waited.Store(int64(max(waited, time.Duration(b.waited.Load())*3/4)))
	if b.brake == nil {
		return
	}
	b.mu.Lock()
	now := time.Since(b.begun)
	_, since := b.brake.Shedding()
	changed := b.brake.ObserveDelay(now, waited)
	on, _ := b.brake.Shedding()
	level := b.brake.AdmitFraction()
	b.mu.Unlock()
	if !changed {
		return
	}
	if b.on.Store(on); on {
		slog.Warn("overloaded: this sidecar's own processor is short, and what is worth least is refused", "waited", waited, "let_in", level)
		return
	}
	slog.Info("no longer overloaded", "lasted", now-since, "refused_in_all", b.refused.Load())
}

// Active reports whether some may be refused.
func (b *brake) Active() bool { return b.on.Load() }

// Refuse judges a request by its target; after is when a refused one is best sent again.
func (b *brake) Refuse(target string) (refused bool, after time.Duration) {
	worth, count := b.core.AdmissionInfo(target)
	if count == nil {
		return false, 0 // what is none of ours is answered as ever
	}
	b.mu.Lock()
	in, after := b.brake.Admit(overload.Rank(worth), rand.Float64())
	b.mu.Unlock()
	if !in {
		b.refused.Add(1)
		count.Begin()
		count.End(figures.Rejected)
	}
	return !in, after
}

// door is what the front for HTTP/1.1 asks; nil: nothing.
func (b *brake) door() http1.Admission {
	if b == nil || b.brake == nil {
		return nil
	}
	return b
}
