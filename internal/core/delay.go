package core

import (
	"time"

	"spokegw/internal/stall"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

const (
	// ownWaits is how often an attempt waits for this sidecar's own processor: to be begun,
	// to be written, and for its answer to be read.
	ownWaits = 3
	// leastLeft is the part of an answer's time that is the endpoint's at least.
	leastLeft = 0.1
	// ownPart is the part of an attempt's time from which on its being late is this
	// sidecar's own doing.
	ownPart = 0.25
	// longestPutOff bounds how long the module's timers are put off: after a pause of the
	// whole process the delay is as long as that was.
	longestPutOff = 100 * time.Millisecond
)

// SetProcessorDelay sets what tells how long ready work waits for this sidecar's own processor. It
// is to be set before the first request.
func (s *Service) SetProcessorDelay(delay func() time.Duration) { s.delay = delay }

// SetStallMonitor sets what tells the same to contracts alone, which need it on every machine, and for how
// long this process got no processor at all between a time and now. It is to be set before the first request.
func (s *Service) SetStallMonitor(delay func() time.Duration, since func(from, now time.Time) time.Duration) {
	s.stalled, s.stalledSince = delay, since
}

// noteStall tells contracts of a processor that this sidecar waits for, or did of late.
func (s *Service) noteStall() {
	if s.stalled != nil && stall.Detected(s.stalled()) {
		s.broker.ProcessStalled(s.now())
	}
}

// own is that delay.
func (s *Service) own() time.Duration {
	if s.delay == nil {
		return 0
	}
	return s.delay()
}

// added is what this sidecar itself added to an attempt that has ended.
func (s *Service) added(a *attempt) time.Duration {
	own := ownWaits * s.own()
	if s.stalledSince == nil {
		return own
	}
	return max(own, s.stalledSince(a.decided, time.Now()))
}

// without is the end of an attempt without what this sidecar itself added to it: a
// processor that is short makes every endpoint look slow, the module refuses then and the
// broker takes the service for full, and both are wrong. Where it could do harm: what an
// endpoint is slow by at the same time is not seen until the sidecar has its processor
// back.
func without(result policy.Result, elapsed, added time.Duration) (policy.Result, time.Duration) {
	if added <= 0 {
		return result, elapsed
	}
	if result == policy.NoAnswer && float64(added) > ownPart*float64(elapsed) {
		return policy.Cancelled, elapsed // it may have run, and tells nothing
	}
	return result, max(elapsed-added, time.Duration(leastLeft*float64(elapsed)))
}

// blamed is an attempt's end as the module and the broker are told it.
func (s *Service) blamed(a *attempt, result upstream.Answer) upstream.Answer {
	result.Result, result.Elapsed = without(result.Result, result.Elapsed, s.added(a))
	return result
}
