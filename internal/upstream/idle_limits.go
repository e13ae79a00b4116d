package upstream

import "time"

// idleLimits is, by endpoint, the observed limit on how long a connection may be idle.
// Endpoints are required to keep idle connections for a while, but a server configured by
// others may close them sooner, and a request that crosses the close is lost unless it can
// be retried.
//
// A limit is the shortest idle time after which a connection was found closed. A restart
// closes all connections regardless of their idle time, so a reuse after an equal idle time
// disproves the limit; until then it costs connections.
type idleLimits map[Endpoint]time.Duration

// maxIdleLimits bounds the number of endpoints with a limit.
const maxIdleLimits = 1024

// recordClosed records that a connection was found closed after an idle time.
func (l idleLimits) recordClosed(e Endpoint, idleFor time.Duration) {
	observed, ok := l[e]
	if ok && observed <= idleFor {
		return
	}
	for other := range l {
		if ok || len(l) < maxIdleLimits {
			break
		}
		delete(l, other) // an arbitrary one: its limit will be observed again
	}
	l[e] = idleFor
}

// recordReused records that a connection served another request after an idle time.
func (l idleLimits) recordReused(e Endpoint, idleFor time.Duration) {
	if observed, ok := l[e]; ok && idleFor >= observed {
		delete(l, e)
	}
}

// limit returns the longest idle time after which a connection may be used for a request
// that can't be retried; without an observed limit that is defaultLimit.
func (l idleLimits) limit(e Endpoint, defaultLimit time.Duration) time.Duration {
	if observed, ok := l[e]; ok {
		return min(defaultLimit, time.Duration(float64(observed)*idleFraction))
	}
	return defaultLimit
}
