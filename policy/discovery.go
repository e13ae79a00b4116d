package policy

import "time"

const (
	subscribeSpread = 0.9                     // part of AskWithin over which clients that start together call
	firstBackoff    = 2 * time.Second         // wait before a failed call is repeated; doubles, with jitter,
	longestBackoff  = 2400 * time.Millisecond // up to this: a change counts as told 6 s after discovery can be reached, and a call takes 2 s to fail
)

// planSubscribe sets the next call: a fleet that asks at once is turned away.
func (b *Balancer) planSubscribe(in float64) {
	if b.set.OnRequest && !b.calling {
		b.calling = true
		b.do(SetTimer{Token: Token{Purpose: timerSubscribe}, In: time.Duration(in)})
	}
}

// DiscoveryFailed tells that a call failed or the subscription broke.
func (b *Balancer) DiscoveryFailed(now time.Duration) []Action {
	b.begin(now)
	b.backoff = min(max(2*b.backoff, firstBackoff), longestBackoff, max((4*b.set.AskWithin-4*time.Second)*2/3, firstBackoff/2))
	b.planSubscribe((0.5 + b.random()) * float64(b.backoff))
	return b.actions
}
