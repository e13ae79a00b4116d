package broker

import (
	"math"
	"time"
)

// capacity estimates how much work per second the service does for this sidecar. Endpoints do not
// report it, other sidecars take an unknown part, and the settings say nothing of slow or lost
// endpoints. There are two signs of a shortage. One is a standing queue: answers exceed the usual
// latency of such requests, and so do answers to requests sent after the first delayed answer
// arrived (a burst leaves a queue, too, but a short one). The other comes much earlier: more work
// is in flight than can be answered in time at the rate at which work is being answered (Little's
// law). Without either sign capacity suffices and nothing is refused. During a shortage the
// capacity is the rate at which work is being answered, less what is needed to drain the queue;
// once no sign is left, it is raised.
//
// The usual latency falls quickly and rises slowly, so that a queue does not become usual. Hence a
// service that has become slower without being fuller is taken for a full one until the usual
// latency has followed.
type capacity struct {
	estimate      float64       // seconds of work per second; +Inf: unknown
	provisional   bool          // the estimate is a lower bound after a burst; the first window replaces it
	stalledAt     time.Duration // end of the last process stall; attempts that started before it are no evidence
	unjudgedSince time.Duration // start of the time in which stalls kept every window from being judged; noTime: none
	idleSince     time.Duration // when the number of attempts in flight last fell to 0
	burstSince    time.Duration // when the attempts in flight last reached burstAttempts
	servedInBurst float64       // work answered since burstSince
	queuedSince   time.Duration // when answers were first seen to wait, which may be due to a burst; noTime: they do not
	probing       bool          // the estimate is raised quickly, as nothing has waited since this was set
	tight         bool          // capacity is short: shares are enforced
	cause         Cause         // why tight is set
	inFlightWork  float64       // work of the attempts in flight
	inFlight      float64       // attempts in flight
	beforeStall   outstanding   // the part of these sent before the last process stall

	// The current window: 100 ms, or longer if there are few attempts.
	windowStart time.Duration
	waitSum     float64 // sum over attempts of the wait as a fraction of the latency target
	samples     float64 // attempts
	workDone    float64 // work answered
	anyRefused  bool    // a request was refused for its share

	servedRate       mean // work answered per second
	unqueuedWindows  int  // consecutive windows without waiting
	unrefusedWindows int  // consecutive windows without a refusal
	baseLatency      mean // latency of an answer that does not queue, weighted by work
	target           mean // latency target, weighted by work
	classes          []baseline
}

// noTime marks an unset time; it is no time of a capacity's clock.
const noTime = -1

// outstanding is the work of a number of attempts in flight.
type outstanding struct{ work, attempts float64 }

// baseline is the latency of the answers of a class that do not queue: a low quantile of latency
// per work, tracked in the log domain.
type baseline struct {
	perWork, samples float64
	updatedAt        time.Duration
}

const (
	defaultWindow        = 100 * time.Millisecond
	provisionalLatencies = 3.0         // usual latencies that the first window lasts, but at least
	minWindowDivisor     = 20          // this fraction of defaultWindow
	maxWindow            = time.Second // length of a window with too few attempts
	minSamples           = 8.0         // attempts needed to judge a window
	windowMemory         = 3.0         // windows that the rate of answered work averages over
	negligibleWait       = 0.08        // wait as a fraction of the latency target, up to which there is no queue
	excessiveWait        = 0.25        // wait from which capacity is short, if it persists
	severeWait           = 0.5         // wait from which capacity is short at once, also as predicted from the work in flight
	burstAttempts        = 24.0        // attempts in flight below which a burst is no evidence of a shortage,
	minBurstAge          = 0.02        // and the age of a burst, as a fraction of the latency target, below which it is none
	unseenAnswers        = 3.0         // answers that a burst may lack by chance
	maxUnknownInFlight   = 96.0        // attempts in flight from which capacity is short while it is unknown
	drainTime            = 0.5         // s, time over which a queue is drained
	maxDrain             = 0.6         // maximum fraction of the capacity left unused to drain a queue
	minGuarantee         = 0.9         // minimum fraction of the capacity guaranteed while a queue drains
	estimateGain         = 0.3         // weight of the answered work in an update of the estimate
	raiseStep            = 0.02        // increase for a window without waiting, multiplied by the number of such windows in a row, up to maxRaise
	maxRaise             = 0.20
	probeFactor          = 2.0
	limitingFraction     = 0.7 // fraction of the estimate in use from which the estimate limits
	recoveryWindows      = 10  // windows without a refusal that end a shortage
	maxUnjudged          = 2 * time.Second
	minRate              = 0.05
	lowQuantile          = 0.2
	baselineSamples      = 200.0
	baselineRise         = 30 * time.Second // time in which the baseline may grow by a factor of e
	estimateDecay        = 30 * time.Second // time constant of the decay of a past estimate
)

func newCapacity(now time.Duration, classes int) capacity {
	return capacity{estimate: math.Inf(1), windowStart: now, stalledAt: math.MinInt64, unjudgedSince: noTime, queuedSince: noTime, classes: make([]baseline, classes)}
}

// isIdle reports whether nothing has been in flight for a while although there is demand. The
// capacity is then higher than estimated, and the estimate is raised quickly from here on.
func (c *capacity) isIdle(now time.Duration) bool {
	if c.inFlight > 0 || now-c.idleSince < defaultWindow {
		return false
	}
	c.probing = true
	return true
}

// admitRate returns the work per second that may be admitted now.
func (c *capacity) admitRate() float64 {
	if !c.tight {
		return c.estimate
	}
	excess := c.queueDelay() - negligibleWait*c.target.value
	return c.estimate * (1 - math.Min(math.Max(excess/drainTime, 0), maxDrain))
}

// guaranteedRate returns the rate that guaranteed shares are fractions of. Draining a queue first
// costs the teams that use more than their share, but not them alone.
func (c *capacity) guaranteedRate() float64 { return math.Max(c.admitRate(), minGuarantee*c.estimate) }

// queueDelay returns how long an attempt would wait now, in seconds, given the work in flight.
// Work sent before the last process stall is left out: it may have been answered long ago.
func (c *capacity) queueDelay() float64 { return c.queueDelayAt(c.estimate) }

// queueDelayAt returns that delay for a given rate of answered work.
func (c *capacity) queueDelayAt(rate float64) float64 {
	return math.Max((c.inFlightWork-c.beforeStall.work)/rate-c.baseLatency.value, 0)
}

// attemptStarted records an attempt that is sent.
func (c *capacity) attemptStarted(now time.Duration, work float64) {
	if c.inFlight == 0 && c.samples == 0 && !c.anyRefused { // no demand is no sign of a shortage
		c.queuedSince = noTime
		c.openWindow(now)
	}
	c.inFlightWork += work
	c.inFlight++
	attempts := c.inFlight - c.beforeStall.attempts
	if attempts == burstAttempts {
		c.burstSince, c.servedInBurst = now, 0
	}
	switch {
	case c.tight || attempts < burstAttempts || c.unjudgedSince >= 0: // requests that queued up during a stall are sent all at once
	case math.IsInf(c.estimate, 1):
		if attempts >= maxUnknownInFlight {
			c.estimate, c.provisional, c.probing = minRate, true, true
			c.declareShortage(ExcessInFlight)
		}
	case now-c.burstSince > seconds(minBurstAge*c.target.value) && c.queueDelay() > severeWait*c.target.value:
		c.checkBurst(now)
	}
}

// checkBurst enforces shares unless the rate at which attempts have been answered since the burst
// began suffices to answer it in time. The estimate alone does not tell, as it may be no more than
// the previous demand.
func (c *capacity) checkBurst(now time.Duration) {
	rate := (c.servedInBurst + unseenAnswers*c.inFlightWork/c.inFlight) / (now - c.burstSince).Seconds()
	if c.queueDelayAt(rate) <= severeWait*c.target.value {
		return
	}
	c.estimate = math.Max(c.estimate, rate)
	c.declareShortage(ExcessInFlight)
}

// processStalled records that this process is stalled, or was until now. The number of attempts in
// flight and the delay of answers are then its own doing, so the current window and the attempts
// in flight are no evidence. Other sidecars may have stalled with it, so a queue seen afterwards
// is a new one. If no window can be judged for a long time, shares are no longer enforced: a
// shortage can't be established.
func (c *capacity) processStalled(now time.Duration) {
	c.beforeStall = outstanding{c.inFlightWork, c.inFlight}
	if c.stalledAt = now; c.unjudgedSince < 0 {
		c.unjudgedSince = now
	}
	if c.tight && now-c.unjudgedSince > maxUnjudged {
		c.tight = false
	}
	c.queuedSince = noTime
	c.openWindow(now)
}

func (c *capacity) declareShortage(cause Cause) {
	c.tight, c.cause = true, cause
	c.queuedSince, c.unqueuedWindows, c.unrefusedWindows = noTime, 0, 0
}

// attemptEnded records the end of an attempt. It reports whether this closed a window in which
// nothing waited, that is, whether there is no queue.
func (c *capacity) attemptEnded(now time.Duration, t *Ticket, e AttemptResult, elapsed, target time.Duration) (noQueue bool) {
	if c.inFlight--; c.inFlight <= 0 {
		c.inFlight, c.inFlightWork, c.idleSince = 0, 0, now // discards rounding errors
	}
	c.inFlightWork = math.Max(c.inFlightWork-t.work, 0)
	if e == Answered {
		c.servedInBurst += t.work
	}
	if t.admitted <= c.stalledAt {
		c.beforeStall.attempts = math.Max(c.beforeStall.attempts-1, 0)
		c.beforeStall.work = math.Max(c.beforeStall.work-t.work, 0)
	}
	c.beforeStall = outstanding{math.Min(c.beforeStall.work, c.inFlightWork), math.Min(c.beforeStall.attempts, c.inFlight)}
	if now-elapsed <= c.stalledAt || t.admitted <= c.stalledAt { // the answer may have waited for this process
		return false
	}
	if now-c.windowStart > 2*maxWindow { // the process stalled, or there was no demand
		c.openWindow(now)
		return false
	}
	if e == Answered {
		c.workDone += t.work
		class := &c.classes[t.class]
		class.add(now, elapsed.Seconds()/t.work)
		c.baseLatency.addWeighted(class.perWork*t.work, t.work/defaultWork, workMemory)
		c.target.addWeighted(target.Seconds(), t.work/defaultWork, workMemory)
	}
	relevant := t.admitted > c.queuedSince // sent after the queue was first seen: shows whether the queue persists
	if relevant && (e == Answered || e == Declined || e == TimedOut) {
		c.samples++
		c.waitSum += c.waitFraction(t, e, elapsed, target)
	}
	if c.windowComplete(now) {
		return c.closeWindow(now)
	}
	return false
}

// windowComplete reports whether the current window can be judged.
func (c *capacity) windowComplete(now time.Duration) bool {
	elapsed := now - c.windowStart
	if elapsed >= c.minWindow() && c.samples >= minSamples {
		return true
	}
	return elapsed >= maxWindow && (c.samples > 0 || c.queuedSince == noTime)
}

// minWindow returns the minimum length of a window. While the capacity is provisional or is being
// raised from a provisional value, requests may be refused for which there is capacity, so the
// window is as short as answers of the usual latency allow: a rate needs several of them in
// sequence.
func (c *capacity) minWindow() time.Duration {
	if (c.provisional || c.probing) && c.baseLatency.weight > 0 {
		return min(max(seconds(provisionalLatencies*c.baseLatency.value), defaultWindow/minWindowDivisor), defaultWindow)
	}
	return defaultWindow
}

// waitFraction returns how long an attempt waited as a fraction of its latency target, at most 1.
func (c *capacity) waitFraction(t *Ticket, e AttemptResult, elapsed, target time.Duration) float64 {
	class := &c.classes[t.class]
	switch {
	case e != Answered:
		return 1
	case target <= 0:
		return 0
	}
	return math.Min(math.Max(elapsed.Seconds()-class.perWork*t.work, 0)/target.Seconds(), 1)
}

func (c *capacity) openWindow(now time.Duration) {
	c.windowStart, c.waitSum, c.samples, c.workDone, c.anyRefused = now, 0, 0, 0, false
}

// decayedEstimate returns the estimate of the start of the window, decayed over the window.
func (c *capacity) decayedEstimate(now time.Duration) float64 {
	if math.IsInf(c.estimate, 1) {
		return 0
	}
	return c.estimate * math.Exp(-(now-c.windowStart).Seconds()/estimateDecay.Seconds())
}

// closeWindow judges the current window and opens the next.
func (c *capacity) closeWindow(now time.Duration) (noQueue bool) {
	c.unjudgedSince = noTime
	served := c.workDone / (now - c.windowStart).Seconds()
	c.servedRate.add(served, windowMemory)
	meanWait := 0.0
	if c.samples > 0 {
		meanWait = c.waitSum / c.samples
	}
	if c.provisional {
		c.estimate, c.provisional = math.Max(served, minRate), false
	}
	if meanWait <= excessiveWait {
		c.queuedSince = noTime
	}
	queued := c.target.value > 0 && c.queueDelay() > negligibleWait*c.target.value
	switch {
	case !c.tight && meanWait > excessiveWait && c.queuedSince == noTime && meanWait <= severeWait: // may be a burst: attempts sent from now on decide
		c.queuedSince = now
	case !c.tight && meanWait > excessiveWait:
		c.estimate = math.Max(math.Max(served, c.servedRate.value), minRate)
		c.declareShortage(Queued)
	case !c.tight && meanWait <= negligibleWait: // at least what is answered now or was before, as demand may have fallen
		c.estimate, noQueue = math.Max(math.Max(served, c.servedRate.value), math.Max(c.decayedEstimate(now), minRate)), true
	case !c.tight:
		c.estimate = math.Max(c.estimate, served)
	case meanWait <= negligibleWait && !queued:
		c.estimate, noQueue = math.Max(c.estimate, served), true
		switch {
		case !c.anyRefused || served <= limitingFraction*c.estimate: // the estimate is not the limit
		case c.probing:
			c.estimate *= probeFactor
		default:
			c.unqueuedWindows++
			c.estimate *= 1 + math.Min(raiseStep*float64(c.unqueuedWindows), maxRaise)
		}
	case queued: // the endpoints are busy all the time, so what they answer is their capacity
		c.unqueuedWindows, c.probing = 0, false
		c.estimate = math.Max(c.estimate+estimateGain*(served-c.estimate), minRate)
	default:
		c.unqueuedWindows, c.probing = 0, false
	}
	if c.unrefusedWindows++; c.anyRefused {
		c.unrefusedWindows = 0
	}
	if c.tight && c.unrefusedWindows >= recoveryWindows {
		c.tight = false
	}
	c.openWindow(now)
	return noQueue
}

func (b *baseline) add(now time.Duration, perWork float64) {
	b.samples = math.Min(b.samples+1, baselineSamples)
	step := 1 / math.Sqrt(b.samples)
	switch {
	case b.samples == 1:
		b.perWork = perWork
	case perWork < b.perWork:
		b.perWork = math.Max(perWork, b.perWork*math.Exp(-step*(1-lowQuantile)))
	default:
		step = math.Min(step*lowQuantile, (now-b.updatedAt).Seconds()/baselineRise.Seconds())
		b.perWork = math.Min(perWork, b.perWork*math.Exp(step))
	}
	b.updatedAt = now
}
