package policy

import (
	"math"
	"time"
)

const (
	// currentFor is how long after discovery had a change, and could be reached, that change
	// counts as notified: the list has to be renewed within it.
	currentFor = 6 * time.Second
	// watchSpread is the time over which the calls of a fleet are spread whose watches all end at
	// once, from the latest answer of each: the time between two calls of a watch.
	watchSpread = 2 * time.Second
	// shortestStart to longestStart is that of a fleet that starts together, by its size; at most
	// subscribeSpread of PollWithin.
	shortestStart   = 2 * time.Second
	longestStart    = 7 * time.Second
	startRate       = 20.0 // calls a second
	subscribeSpread = 0.9

	shortestLost    = 400 * time.Millisecond  // the least of the longest first waits after a watch was lost
	renewalWait     = 1100 * time.Millisecond // the mean wait while the list may still be renewed in time, of a large
	shortestRenewal = 400 * time.Millisecond  // and of a small fleet, with
	renewalRate     = 300.0                   // so many calls a second of all, if discovery is not crowded
	renewalSpread   = 0.5                     // the part by which that is longer or shorter
	longestBackoff  = 2600 * time.Millisecond // the mean wait after that, of a large
	shortestBackoff = time.Second             // and of a small fleet, with
	backoffRate     = 30.0                    // so many calls a second, if discovery is not crowded
	backoffSpread   = 0.48                    // the part by which that is; the next makes up for it,
	leastDrift      = -0.25                   // but for a part between these, so that the calls of a fleet spread
	mostDrift       = 0.1
	longestOut      = 3 * time.Second
	leastWait       = 4 // the part of a wait that is left after a call that was out for long
)

// renewal plans the calls to discovery, by how long ago the list was last known to be current. While
// it may still be renewed within currentFor the waits are short, then long: discovery works through
// the calls of all in turn, and is kept from answering by those that it can't answer in time.
type renewal struct {
	planned bool          // a timer for the next call is set
	called  bool          // a call was asked for,
	begun   time.Duration // the latest then
	watched bool          // a watch stood since the last failure, as far as the instance was told
	current time.Duration // when the list was last known to be current; 0: it never was
	failed  bool          // a call has failed since then
	part    float64       // by which the latest long wait differed from its mean; 0: there was none
}

// first is the wait before the first call of a process.
func (n *renewal) first(set *Settings, random float64) time.Duration {
	most := min(paced(set, startRate, shortestStart, longestStart), time.Duration(subscribeSpread*float64(set.PollWithin)))
	return time.Duration(random * float64(most))
}

// paced is the wait with which a fleet makes so many calls a second, between two bounds.
func paced(set *Settings, rate float64, least, most time.Duration) time.Duration {
	return min(max(time.Duration(float64(set.FleetSize)/rate*float64(time.Second)), least), most)
}

// heard notes that the list was current at a moment.
func (n *renewal) heard(at time.Duration) {
	if at > n.current {
		n.current, n.failed, n.part = at, false, 0
	}
}

// next is the wait after a failed call.
func (n *renewal) next(now time.Duration, set *Settings, crowded bool, random float64) time.Duration {
	first, age := !n.failed, now-n.current
	n.failed = true
	out := now - n.begun
	var wait time.Duration
	switch {
	case n.current == 0 || age >= currentFor:
		mean := longestBackoff
		if !crowded {
			mean = paced(set, backoffRate, shortestBackoff, longestBackoff)
		}
		wait = less(n.backoff(mean, random), out)
	case first:
		wait = time.Duration(random * float64(max(watchSpread-age, shortestLost)))
	default:
		mean := renewalWait
		if !crowded {
			mean = paced(set, renewalRate, shortestRenewal, renewalWait)
		}
		wait = less(time.Duration((1+renewalSpread*(2*random-1))*float64(mean)), out)
	}
	return min(wait, max(4*set.PollWithin-4*time.Second, time.Second))
}

// less is a wait that counts from the beginning of the call that failed, which was out for a time.
// One that was out for longer than any that fails had been answered, and a watch went on from it.
func less(wait, out time.Duration) time.Duration {
	if out > longestOut {
		return wait
	}
	return max(wait-out, wait/leastWait)
}

// backoff is the wait while the list can't be renewed in time any more. Two in a row take twice the
// mean, or little more, so that a call that is refused as discovery comes back is made again in time.
func (n *renewal) backoff(mean time.Duration, random float64) time.Duration {
	if n.part == 0 {
		n.part = backoffSpread * (2*random - 1)
	} else {
		drift := leastDrift + (mostDrift-leastDrift)*random
		n.part = math.Max(-backoffSpread, math.Min(backoffSpread, drift-n.part))
	}
	return time.Duration((1 + n.part) * float64(mean))
}

// planSubscribe sets the next call.
func (b *Balancer) planSubscribe(in time.Duration) {
	if b.set.DiscoveryOnRequest && !b.renewal.planned {
		b.renewal.planned = true
		b.do(SetTimer{Token: Token{Purpose: timerSubscribe}, Delay: in})
	}
}

// DiscoveryFailed tells that a call failed or the watch ended, which stood until then.
func (b *Balancer) DiscoveryFailed(now time.Duration) []Action {
	if b.renewal.watched {
		b.renewal.heard(now)
	}
	return b.DiscoveryLost(now, b.renewal.current, true)
}

// DiscoveryLost tells that a call failed, or is answered late, when the list was last known to be
// current, as the latest whole answer came, and whether discovery may have more calls than it can
// answer in time.
func (b *Balancer) DiscoveryLost(now, current time.Duration, crowded bool) []Action {
	b.begin(now)
	b.renewal.watched = false
	b.renewal.heard(current)
	b.planSubscribe(b.renewal.next(now, &b.set, crowded, b.random()))
	return b.actions
}
