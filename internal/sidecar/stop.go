package sidecar

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/shutdown"
)

// errStopping reports that new settings are not applied, as the process is about to end.
var errStopping = errors.New("the process is stopping")

// beginStop begins the stop that was requested at a time. A reload in progress ends first, and later
// ones are rejected.
func (s *Sidecar) beginStop(requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var retired []*core.Service
	for _, r := range s.retired {
		retired = append(retired, r.service)
	}
	s.schedule = s.core.BeginStop(requestedAt, retired...)
}

// stopSchedule returns the schedule of the stop; ok is false if none was requested.
func (s *Sidecar) stopSchedule() (schedule shutdown.Schedule, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schedule, !s.schedule.RequestedAt.IsZero()
}

// endStop logs how many requests the stop has affected, by cause, when the fronts have ended.
func (s *Sidecar) endStop() {
	if _, stopping := s.stopSchedule(); !stopping {
		return
	}
	s.core.EndStop()
	var counts []any
	for cause := range shutdown.NumCauses {
		if n := s.figures.Stop[cause].Load(); n > 0 {
			counts = append(counts, cause.String(), n)
		}
	}
	if len(counts) > 0 {
		slog.Info("requests cut short by the stop", counts...)
	}
}

// timeToSave returns how long a disk is waited for: diskTimeout, or less if the process is killed
// before that.
func (s *Sidecar) timeToSave() time.Duration {
	schedule, stopping := s.stopSchedule()
	if !stopping {
		return diskTimeout
	}
	return max(min(diskTimeout, time.Until(schedule.SaveBy)), 0)
}

// awaitGoroutines waits for goroutines that end by themselves, but not until the process is killed.
func (s *Sidecar) awaitGoroutines(goroutines *sync.WaitGroup) {
	schedule, stopping := s.stopSchedule()
	if !stopping {
		goroutines.Wait()
		return
	}
	ended := make(chan struct{})
	go func() { // it ends with them, or with the process
		goroutines.Wait()
		close(ended)
	}()
	timer := time.NewTimer(time.Until(schedule.SaveBy))
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		slog.Error("the process ends before its goroutines have ended")
	}
}
