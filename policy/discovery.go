package policy

import (
	"math"
	"time"
)

const (
	// renewWithin is the time after which a change in discovery counts as notified, once discovery
	// can be reached: the list must be renewed within it.
	renewWithin = 6 * time.Second
	// watchEndSpread is the interval over which the calls of a fleet are spread if all its watches end
	// at once, from the latest answer of each: the time between two calls of a watch.
	watchEndSpread = 2 * time.Second
	// minStartSpread and maxStartSpread bound the same interval for a fleet that starts together, by its
	// size; at most startSpreadRatio of PollWithin.
	minStartSpread   = 2 * time.Second
	maxStartSpread   = 7 * time.Second
	startRate        = 20.0 // calls per second
	startSpreadRatio = 0.9

	minFirstRetrySpread = 400 * time.Millisecond  // lower bound of the interval for the first call after a watch was lost
	maxRenewalWait      = 1100 * time.Millisecond // mean wait while the list can still be renewed in time, of a large fleet
	minRenewalWait      = 400 * time.Millisecond  // and of a small fleet, at
	renewalRate         = 300.0                   // this many calls per second of all sidecars, if discovery is not overloaded
	renewalJitter       = 0.5                     // maximum deviation from the mean, as a fraction of it
	maxBackoff          = 2600 * time.Millisecond // mean wait once the list can't be renewed in time, of a large fleet
	minBackoff          = time.Second             // and of a small fleet, at
	backoffRate         = 30.0                    // this many calls per second, if discovery is not overloaded
	backoffJitter       = 0.48                    // maximum deviation, as a fraction of the mean; the next wait compensates for it,
	minJitterDrift      = -0.25                   // except for a fraction between these bounds, which keeps the calls of a fleet spread
	maxJitterDrift      = 0.1
	maxFailureTime      = 3 * time.Second // a call that lasted longer had been answered
	minWaitDivisor      = 4               // a wait keeps at least 1/minWaitDivisor of its length after a slow call
)

// discoverySchedule plans the calls to discovery by the time since the list was last known to be
// current. Waits are short while the list can still be renewed within renewWithin, and long after
// that: discovery works through all calls in turn, and calls that it can't answer in time delay the others.
type discoverySchedule struct {
	planned    bool          // a timer for the next call is set
	subscribed bool          // a Subscribe was issued,
	calledAt   time.Duration // the latest at this time
	watching   bool          // a watch has been open since the last failure, as far as the instance knows
	currentAt  time.Duration // when the list was last known to be current; 0: never
	failed     bool          // a call has failed since then
	jitter     float64       // fraction by which the latest long wait deviated from its mean; 0: there was none
}

// firstWait is the wait before the first call of a process.
func (d *discoverySchedule) firstWait(settings *Settings, random float64) time.Duration {
	maxWait := min(pacedWait(settings, startRate, minStartSpread, maxStartSpread), time.Duration(startSpreadRatio*float64(settings.PollWithin)))
	return time.Duration(random * float64(maxWait))
}

// pacedWait is the wait at which a fleet makes rate calls per second, between two bounds.
func pacedWait(settings *Settings, rate float64, minWait, maxWait time.Duration) time.Duration {
	return min(max(time.Duration(float64(settings.FleetSize)/rate*float64(time.Second)), minWait), maxWait)
}

// markCurrent records a time at which the list was current.
func (d *discoverySchedule) markCurrent(at time.Duration) {
	if at > d.currentAt {
		d.currentAt, d.failed, d.jitter = at, false, 0
	}
}

// retryWait is the wait after a failed call.
func (d *discoverySchedule) retryWait(now time.Duration, settings *Settings, overloaded bool, random float64) time.Duration {
	firstFailure, age := !d.failed, now-d.currentAt
	d.failed = true
	elapsed := now - d.calledAt
	var wait time.Duration
	switch {
	case d.currentAt == 0 || age >= renewWithin:
		mean := maxBackoff
		if !overloaded {
			mean = pacedWait(settings, backoffRate, minBackoff, maxBackoff)
		}
		wait = remainingWait(d.backoff(mean, random), elapsed)
	case firstFailure:
		wait = time.Duration(random * float64(max(watchEndSpread-age, minFirstRetrySpread)))
	default:
		mean := maxRenewalWait
		if !overloaded {
			mean = pacedWait(settings, renewalRate, minRenewalWait, maxRenewalWait)
		}
		wait = remainingWait(time.Duration((1+renewalJitter*(2*random-1))*float64(mean)), elapsed)
	}
	return min(wait, max(4*settings.PollWithin-4*time.Second, time.Second))
}

// remainingWait reduces a wait, which counts from the beginning of the failed call, by the duration of
// that call. A call that lasted longer than any failure had been answered and continued as a watch: the
// wait counts from its end.
func remainingWait(wait, elapsed time.Duration) time.Duration {
	if elapsed > maxFailureTime {
		return wait
	}
	return max(wait-elapsed, wait/minWaitDivisor)
}

// backoff is the wait once the list can't be renewed in time. Two waits in a row take twice the mean, or
// little more, so that a call that is refused while discovery recovers is repeated in time.
func (d *discoverySchedule) backoff(mean time.Duration, random float64) time.Duration {
	if d.jitter == 0 {
		d.jitter = backoffJitter * (2*random - 1)
	} else {
		drift := minJitterDrift + (maxJitterDrift-minJitterDrift)*random
		d.jitter = math.Max(-backoffJitter, math.Min(backoffJitter, drift-d.jitter))
	}
	return time.Duration((1 + d.jitter) * float64(mean))
}

// scheduleSubscribe sets the timer of the next call.
func (b *Balancer) scheduleSubscribe(delay time.Duration) {
	if b.settings.DiscoveryOnRequest && !b.discovery.planned {
		b.discovery.planned = true
		b.emit(SetTimer{Token: Token{Purpose: timerSubscribe}, Delay: delay})
	}
}

// DiscoveryFailed reports that a call failed, or that the watch ended, which was open until now.
func (b *Balancer) DiscoveryFailed(now time.Duration) []Action {
	if b.discovery.watching {
		b.discovery.markCurrent(now)
	}
	return b.DiscoveryLost(now, b.discovery.currentAt, true)
}

// DiscoveryLost reports that a call failed or is overdue, when the list was last known to be current
// by the latest complete answer, and whether discovery may have more calls than it can answer in time.
func (b *Balancer) DiscoveryLost(now, currentAt time.Duration, overloaded bool) []Action {
	b.beginEvent(now)
	b.discovery.watching = false
	b.discovery.markCurrent(currentAt)
	b.scheduleSubscribe(b.discovery.retryWait(now, &b.settings, overloaded, b.random()))
	return b.actions
}
