package broker

import (
	"math"
	"time"
)

// capacity learns how much work a second the service does for this sidecar. No
// endpoint tells, other sidecars take their part unseen, and the settings know
// nothing of slow or lost endpoints. There are two signs of too little: a standing
// queue, that is answers that waited, over the time that such a request usually
// takes, and later ones to requests that were sent after the first had come, since a
// burst leaves a queue, too; and, long before those come, more work out than can be
// answered in time at the rate at which work is being answered (Little's law).
// While there is neither, there is enough and nothing is refused. When there is
// one, capacity is the work that is being answered, less what it takes for the
// queue to drain; without one it is raised.
//
// The usual time falls quickly and rises slowly: a queue must not become usual.
// So a service that has truly become slower, and is no fuller for it, is taken
// for a full one until the usual time has followed.
type capacity struct {
	estimate float64       // seconds of work a second; +Inf: not known yet
	guess    bool          // nothing is known, but that it may be too much: the first window tells
	heldUp   time.Duration // when this process was last held up; what began before tells nothing
	blind    time.Duration // since when no window could be judged for that; -1: it could
	emptied  time.Duration // when the last attempt that was out ended
	crowded  time.Duration // since when a crowd is out without an end
	through  float64       // work answered since then
	waiting  time.Duration // since when answers have waited for what may be a burst; none: they have not
	seeking  bool          // since then nothing has waited
	tight    bool          // there is too little for all: shares are enforced
	why      Cause         // of that, while they are
	out      float64       // work of the attempts that are out
	attempts float64       // that are out
	behind   backlog       // of those, what has been out since before the process was last held up

	// The window that is open: a tenth of a second, or more where little comes.
	opened  time.Duration
	waits   float64 // sum over attempts of the part of the wanted time waited
	n       float64 // attempts
	done    float64 // work answered
	refused bool    // something was, for its share

	served  mean // work answered a second
	clean   int  // windows without waiting, in a row
	kept    int  // windows in which nothing was refused, in a row
	usual   mean // time of an answer that does not wait, by work
	aim     mean // wanted time, by work
	classes []usual
}

// none is no time of a capacity's clock.
const none = -1

// backlog is work that is out, of so many attempts.
type backlog struct{ work, attempts float64 }

// usual is what answers of a class take when they do not wait: a low quantile
// of their time over their work, followed in the log.
type usual struct {
	per, n float64
	at     time.Duration
}

const (
	window       = 100 * time.Millisecond
	guessAnswers = 3.0         // usual times of answers that the first window takes, and at least
	guessPart    = 20          // that part of a window
	longWindow   = time.Second // a window with few attempts goes on until here
	enough       = 8.0         // attempts that a window is judged by
	windowMemory = 3.0         // windows that the work answered is averaged over
	hardly       = 0.08        // of the wanted time waited, up to which nothing queues
	much         = 0.25        // from which there is too little
	farTooMuch   = 0.5         // from which there is too little at once; by the work that is out
	crowd        = 24.0        // with so many attempts out: few of them tell nothing,
	stands       = 0.02        // nor such that are answered within that part of the wanted time
	unseen       = 3.0         // answers that a crowd may miss by chance
	coldCrowd    = 96.0        // attempts out from which there is too little while nothing is known
	drainTime    = 0.5         // s, in which a queue is to be drained
	deepestDrain = 0.6         // part of the capacity that is left unused for that at most
	owedDrain    = 0.9         // part that is owed all the while
	follow       = 0.3         // part by which the estimate follows what is answered
	raise        = 0.02        // a window without waiting, more with every one in a row, up to
	raiseMost    = 0.20
	seek         = 2.0
	binding      = 0.7 // part of the estimate that is answered where it limits
	keptEnough   = 10  // windows without a refusal after which there is enough for all
	longestBlind = 2 * time.Second
	leastRate    = 0.05
	lowQuantile  = 0.2
	usualMemory  = 200.0
	usualRise    = 30 * time.Second // to e times as much at the fastest
	lullMemory   = 30 * time.Second // what was answered a second before counts e times less after it
)

func newCapacity(now time.Duration, classes int) capacity {
	return capacity{estimate: math.Inf(1), opened: now, heldUp: math.MinInt64, blind: none, waiting: none, classes: make([]usual, classes)}
}

// idle reports that nothing has been out for a while, though it was asked for: there is
// more than it is taken for, and how much is sought.
func (c *capacity) idle(now time.Duration) bool {
	if c.attempts > 0 || now-c.emptied < window {
		return false
	}
	c.seeking = true
	return true
}

// rate is the work a second that may be admitted now.
func (c *capacity) rate() float64 {
	if !c.tight {
		return c.estimate
	}
	over := c.queue() - hardly*c.aim.value
	return c.estimate * (1 - math.Min(math.Max(over/drainTime, 0), deepestDrain))
}

// owedRate is the part of it that is owed. A queue is drained at the cost of
// those first who have more than they are owed, but never at theirs alone.
func (c *capacity) owedRate() float64 { return math.Max(c.rate(), owedDrain*c.estimate) }

// queue is how long an attempt would wait now, in seconds, by the work that is
// out. What has been out since before a hold-up may be answered long ago.
func (c *capacity) queue() float64 { return c.queueAt(c.estimate) }

// queueAt is that where so much work a second is answered.
func (c *capacity) queueAt(rate float64) float64 {
	return math.Max((c.out-c.behind.work)/rate-c.usual.value, 0)
}

// begun takes an attempt that goes out.
func (c *capacity) begun(now time.Duration, work float64) {
	if c.attempts == 0 && c.n == 0 && !c.refused { // nothing was asked for: that is no lack
		c.waiting = none
		c.open(now)
	}
	c.out += work
	c.attempts++
	attempts := c.attempts - c.behind.attempts
	if attempts == crowd {
		c.crowded, c.through = now, 0
	}
	switch {
	case c.tight || attempts < crowd || c.blind >= 0: // what came while the process was held up is out all at once
	case math.IsInf(c.estimate, 1):
		if attempts >= coldCrowd {
			c.estimate, c.guess, c.seeking = leastRate, true, true
			c.tighten(ExcessInFlight)
		}
	case now-c.crowded > seconds(stands*c.aim.value) && c.queue() > farTooMuch*c.aim.value:
		c.surge(now)
	}
}

// surge has shares enforced unless the crowd that is out may be answered in time by how fast it has
// been so far. The estimate alone does not tell, which may be no more than what was asked for before.
func (c *capacity) surge(now time.Duration) {
	rate := (c.through + unseen*c.out/c.attempts) / (now - c.crowded).Seconds()
	if c.queueAt(rate) <= farTooMuch*c.aim.value {
		return
	}
	c.estimate = math.Max(c.estimate, rate)
	c.tighten(ExcessInFlight)
}

// hold takes that this process is held up, or was until now: how much is out, and how late
// answers are, is its own doing. A window that this falls into tells nothing of the service,
// nor what was out. Others may have been held up with it, and a queue that it then meets is
// a new one. Where no window can be judged for long, shares are not enforced
// any more: nobody knows of too little.
func (c *capacity) hold(now time.Duration) {
	c.behind = backlog{c.out, c.attempts}
	if c.heldUp = now; c.blind < 0 {
		c.blind = now
	}
	if c.tight && now-c.blind > longestBlind {
		c.tight = false
	}
	c.waiting = none
	c.open(now)
}

func (c *capacity) tighten(why Cause) {
	c.tight, c.why = true, why
	c.waiting, c.clean, c.kept = none, 0, 0
}

// ended takes the end of an attempt. It reports whether a window has ended in
// which nothing waited: there is no queue.
func (c *capacity) ended(now time.Duration, t *Ticket, e AttemptResult, elapsed, aim time.Duration) (empty bool) {
	if c.attempts--; c.attempts <= 0 {
		c.attempts, c.out, c.emptied = 0, 0, now // rounding errors do not pile up
	}
	c.out = math.Max(c.out-t.work, 0)
	if e == Answered {
		c.through += t.work
	}
	if t.admitted <= c.heldUp {
		c.behind.attempts = math.Max(c.behind.attempts-1, 0)
		c.behind.work = math.Max(c.behind.work-t.work, 0)
	}
	c.behind = backlog{math.Min(c.behind.work, c.out), math.Min(c.behind.attempts, c.attempts)}
	if now-elapsed <= c.heldUp || t.admitted <= c.heldUp { // it waited for this process
		return false
	}
	if now-c.opened > 2*longWindow { // the process stood still, or nothing came: that was no load
		c.open(now)
		return false
	}
	if e == Answered {
		c.done += t.work
		u := &c.classes[t.class]
		u.add(now, elapsed.Seconds()/t.work)
		c.usual.addWeighted(u.per*t.work, t.work/unknownWork, workMemory)
		c.aim.addWeighted(aim.Seconds(), t.work/unknownWork, workMemory)
	}
	tells := t.admitted > c.waiting // of whether the queue that was seen stands
	if tells && (e == Answered || e == Declined || e == TimedOut) {
		c.n++
		c.waits += c.waited(t, e, elapsed, aim)
	}
	if c.complete(now) {
		return c.judge(now)
	}
	return false
}

// complete reports whether the window that is open can be judged.
func (c *capacity) complete(now time.Duration) bool {
	span := now - c.opened
	if span >= c.window() && c.n >= enough {
		return true
	}
	return span >= longWindow && (c.n > 0 || c.waiting == none)
}

// window is how long a window is at least. While the capacity is a guess, or
// still sought from one, requests are refused that there may be room for. So it is
// as short then as answers allow that take their usual time: some of them have to
// come one behind the other to tell a rate.
func (c *capacity) window() time.Duration {
	if (c.guess || c.seeking) && c.usual.weight > 0 {
		return min(max(seconds(guessAnswers*c.usual.value), window/guessPart), window)
	}
	return window
}

// waited is the part of its wanted time that an attempt has waited, 1 at most.
func (c *capacity) waited(t *Ticket, e AttemptResult, elapsed, aim time.Duration) float64 {
	u := &c.classes[t.class]
	switch {
	case e != Answered:
		return 1
	case aim <= 0:
		return 0
	}
	return math.Min(math.Max(elapsed.Seconds()-u.per*t.work, 0)/aim.Seconds(), 1)
}

func (c *capacity) open(now time.Duration) {
	c.opened, c.waits, c.n, c.done, c.refused = now, 0, 0, 0, false
}

// before is what is left at the end of a window of what was known at its beginning.
func (c *capacity) before(now time.Duration) float64 {
	if math.IsInf(c.estimate, 1) {
		return 0
	}
	return c.estimate * math.Exp(-(now-c.opened).Seconds()/lullMemory.Seconds())
}

// judge ends a window.
func (c *capacity) judge(now time.Duration) (empty bool) {
	c.blind = none
	served := c.done / (now - c.opened).Seconds()
	c.served.add(served, windowMemory)
	waited := 0.0
	if c.n > 0 {
		waited = c.waits / c.n
	}
	if c.guess {
		c.estimate, c.guess = math.Max(served, leastRate), false
	}
	if waited <= much {
		c.waiting = none
	}
	queued := c.aim.value > 0 && c.queue() > hardly*c.aim.value
	switch {
	case !c.tight && waited > much && c.waiting == none && waited <= farTooMuch: // it may be of a burst: what is sent from now on tells
		c.waiting = now
	case !c.tight && waited > much:
		c.estimate = math.Max(math.Max(served, c.served.value), leastRate)
		c.tighten(Queued)
	case !c.tight && waited <= hardly: // at least what is answered, and what was: less may have been asked for since
		c.estimate, empty = math.Max(math.Max(served, c.served.value), math.Max(c.before(now), leastRate)), true
	case !c.tight:
		c.estimate = math.Max(c.estimate, served)
	case waited <= hardly && !queued:
		c.estimate, empty = math.Max(c.estimate, served), true
		switch {
		case !c.refused || served <= binding*c.estimate: // it is not what limits
		case c.seeking:
			c.estimate *= seek
		default:
			c.clean++
			c.estimate *= 1 + math.Min(raise*float64(c.clean), raiseMost)
		}
	case queued: // the endpoints are busy all the time: what they answer is what they can
		c.clean, c.seeking = 0, false
		c.estimate = math.Max(c.estimate+follow*(served-c.estimate), leastRate)
	default:
		c.clean, c.seeking = 0, false
	}
	if c.kept++; c.refused {
		c.kept = 0
	}
	if c.tight && c.kept >= keptEnough {
		c.tight = false
	}
	c.open(now)
	return empty
}

func (u *usual) add(now time.Duration, per float64) {
	u.n = math.Min(u.n+1, usualMemory)
	step := 1 / math.Sqrt(u.n)
	switch {
	case u.n == 1:
		u.per = per
	case per < u.per:
		u.per = math.Max(per, u.per*math.Exp(-step*(1-lowQuantile)))
	default:
		step = math.Min(step*lowQuantile, (now-u.at).Seconds()/usualRise.Seconds())
		u.per = math.Min(per, u.per*math.Exp(step))
	}
	u.at = now
}
