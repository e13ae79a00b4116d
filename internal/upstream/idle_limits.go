package upstream

import "time"

// lasting is how long an endpoint lets a connection rest, as far as its connections have
// told, by endpoint. Endpoints are told to keep theirs for a while; some don't: a server
// that was set up by other hands ends them sooner, and a request that crosses that is lost
// unless it may be sent again.
//
// What is known is the shortest rest after which one was found ended. A restart ends them
// all at once, however long they would have lasted, so one that is used again after as
// long a rest disproves it; until then it costs connections.
type lasting map[Endpoint]time.Duration

// mostLasting bounds the endpoints of which something is known.
const mostLasting = 1024

// ended notes that a connection was found ended after a rest.
func (l lasting) ended(e Endpoint, rest time.Duration) {
	known, ok := l[e]
	if ok && known <= rest {
		return
	}
	for other := range l {
		if ok || len(l) < mostLasting {
			break
		}
		delete(l, other) // any: what it knew shows again
	}
	l[e] = rest
}

// served notes that a connection served another request after a rest.
func (l lasting) served(e Endpoint, rest time.Duration) {
	if known, ok := l[e]; ok && rest >= known {
		delete(l, e)
	}
}

// most is the longest rest after which a connection may be used for a request that can't
// be sent again, where otherwise it is usual.
func (l lasting) most(e Endpoint, usual time.Duration) time.Duration {
	if known, ok := l[e]; ok {
		return min(usual, time.Duration(float64(known)*idlePart))
	}
	return usual
}
