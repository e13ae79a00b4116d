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

// delaySampleInterval is the interval between measurements of the processor's scheduling delay.
const delaySampleInterval = 10 * time.Millisecond

// shedder measures how long runnable goroutines wait for the processor and, where the
// operator's file has an overload section, sheds load accordingly. Without an operator's file
// it is nil.
type shedder struct {
	core    *core.Core
	active  atomic.Bool   // some requests may be refused
	refused atomic.Uint64 // total

	recentDelay atomic.Int64 // recent scheduling delay, ns
	nextSample  atomic.Int64 // time of the next sample, ns since started
	stalls      stall.Record // of the process

	mu      sync.Mutex
	limiter *overload.Shedder // nil: all requests are admitted
	started time.Time
}

func newShedder(settings *overload.Settings, c *core.Core) *shedder {
	s := &shedder{core: c, started: time.Now()}
	if settings != nil {
		s.limiter = overload.New(0, *settings)
	}
	return s
}

// monitor samples the scheduling delay until ctx ends. The delay of its timer shows a processor
// that is taken away from the process; the time a yield takes shows the work queued in this
// process. A goroutine that yields goes behind all runnable ones, while one that a timer wakes
// goes ahead of them, so both are needed.
func (s *shedder) monitor(ctx context.Context) {
	if s == nil {
		return
	}
	timer := time.NewTimer(delaySampleInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(delaySampleInterval)
		s.nextSample.Store(int64(due.Sub(s.started)))
		s.stalls.Expect(due)
		timer.Reset(delaySampleInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		runtime.Gosched()
		now := time.Now()
		s.stalls.Done(now)
		s.record(now.Sub(due))
	}
}

// delay returns the recent scheduling delay, or the time by which the next sample is overdue if
// that is longer.
func (s *shedder) delay() time.Duration {
	if s == nil {
		return 0
	}
	overdue := time.Since(s.started) - time.Duration(s.nextSample.Load())
	return max(time.Duration(s.recentDelay.Load()), overdue, 0)
}

// stalledSince returns how long the process was stalled between from and now.
func (s *shedder) stalledSince(from, now time.Time) time.Duration {
	if s == nil {
		return 0
	}
	return s.stalls.StalledBetween(from, now)
}

func (s *shedder) record(delay time.Duration) {
	s.recentDelay.Store(int64(max(delay, time.Duration(s.recentDelay.Load())*3/4)))
	if s.limiter == nil {
		return
	}
	s.mu.Lock()
	now := time.Since(s.started)
	_, started := s.limiter.Shedding()
	changed := s.limiter.ObserveDelay(now, delay)
	on, _ := s.limiter.Shedding()
	level := s.limiter.AdmitFraction()
	s.mu.Unlock()
	if !changed {
		return
	}
	if s.active.Store(on); on {
		slog.Warn("overloaded: the sidecar is short of CPU; refusing the requests of least worth", "waited", delay, "let_in", level)
		return
	}
	slog.Info("no longer overloaded", "lasted", now-started, "refused_in_all", s.refused.Load())
}

// Active reports whether requests may be refused.
func (s *shedder) Active() bool { return s.active.Load() }

// Refuse decides on a request by its target; after is the delay before a refused request should
// be retried.
func (s *shedder) Refuse(target string) (refused bool, after time.Duration) {
	worth, count := s.core.AdmissionInfo(target)
	if count == nil {
		return false, 0 // not a path of a service: answered as usual
	}
	s.mu.Lock()
	admitted, after := s.limiter.Admit(overload.Rank(worth), rand.Float64())
	s.mu.Unlock()
	if !admitted {
		s.refused.Add(1)
		count.Begin()
		count.End(figures.Rejected)
	}
	return !admitted, after
}

// admission returns the admission check for the HTTP/1.1 front; nil if there is none.
func (s *shedder) admission() http1.Admission {
	if s == nil || s.limiter == nil {
		return nil
	}
	return s
}
