package core

import (
	"time"

	"spokegw/internal/stall"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

const (
	// ownWaits is how often an attempt waits to be scheduled in this sidecar: to start, to
	// write, and to read the answer.
	ownWaits = 3
	// minEndpointPart is the minimum fraction of the elapsed time that is attributed to the
	// endpoint.
	minEndpointPart = 0.1
	// maxOwnPart is the fraction of an attempt's elapsed time above which a timeout is
	// attributed to this sidecar.
	maxOwnPart = 0.25
	// maxTimerDelay bounds the postponement of the decision module's timers: after a pause of
	// the whole process the measured delay is as long as the pause.
	maxTimerDelay = 100 * time.Millisecond
)

// SetProcessorDelay sets the function that returns the current scheduling delay of this
// sidecar, that is how long ready work waits for a processor. It must be set before the first
// request.
func (s *Service) SetProcessorDelay(delay func() time.Duration) { s.processorDelay = delay }

// SetStallMonitor sets the function that returns the same delay for contracts only, which need
// it on every machine, and the function that returns how long this process had no processor at
// all between a time and now. It must be set before the first request.
func (s *Service) SetStallMonitor(delay func() time.Duration, since func(from, now time.Time) time.Duration) {
	s.stallDelay, s.stalledSince = delay, since
}

// reportStall reports a current or recent scheduling delay of this sidecar to the contracts.
func (s *Service) reportStall() {
	if s.stallDelay != nil && stall.Detected(s.stallDelay()) {
		s.broker.ProcessStalled(s.now())
	}
}

// ownDelay is the current scheduling delay of this sidecar.
func (s *Service) ownDelay() time.Duration {
	if s.processorDelay == nil {
		return 0
	}
	return s.processorDelay()
}

// addedDelay is the part of an ended attempt's elapsed time that this sidecar itself added.
func (s *Service) addedDelay(a *attempt) time.Duration {
	own := ownWaits * s.ownDelay()
	if s.stalledSince == nil {
		return own
	}
	return max(own, s.stalledSince(a.decided, time.Now()))
}

// withoutOwnDelay corrects the end of an attempt for the delay that this sidecar added. A
// shortage of processor time makes every endpoint look slow, so that the decision module
// refuses requests and the broker finds the service overloaded, both wrongly. Limitation: an
// endpoint that becomes slow at the same time is not detected until the sidecar has enough
// processor time again.
func withoutOwnDelay(result policy.Result, elapsed, added time.Duration) (policy.Result, time.Duration) {
	if added <= 0 {
		return result, elapsed
	}
	if result == policy.NoAnswer && float64(added) > maxOwnPart*float64(elapsed) {
		return policy.Cancelled, elapsed // it may have run, and says nothing about the endpoint
	}
	return result, max(elapsed-added, time.Duration(minEndpointPart*float64(elapsed)))
}

// attributed is the end of an attempt as reported to the decision module and the broker.
func (s *Service) attributed(a *attempt, result upstream.Answer) upstream.Answer {
	result.Result, result.Elapsed = withoutOwnDelay(result.Result, result.Elapsed, s.addedDelay(a))
	return result
}
