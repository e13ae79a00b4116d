package core

import "time"

// starts determines the start times of endpoints by the clock of the service. Registries report
// them by wall clocks, which may be wrong or be changed by hours on either side, so bounds that
// don't depend on wall clocks take precedence. It is guarded by the service's mutex.
type starts struct {
	unlisted map[string]start // of endpoints that are no longer listed; at most maxUnlisted
}

// start is the start of an endpoint.
type start struct {
	reportedMS int64         // Unix milliseconds from the registry; 0: long ago
	at         time.Duration // by the clock of the service; 0: long ago
}

const (
	// maxUnlisted bounds the number of remembered endpoints that are no longer listed.
	maxUnlisted = 1024
	// listingDelay is the maximum expected time from the start of an endpoint to its listing.
	listingDelay = 2 * time.Second
)

// startOf returns the start of an endpoint that is listed now. since is the age of the last
// list without it; 0: unknown. An endpoint that is listed again with the same start time was
// only missing from the registry, and is as warm as before.
func (s *starts) startOf(now time.Duration, id string, reportedMS int64, since time.Duration) start {
	if reportedMS == 0 {
		return start{}
	}
	if previous, ok := s.unlisted[id]; ok && previous.reportedMS == reportedMS {
		return previous
	}
	at := min(time.Duration(reportedMS)*time.Millisecond, now) // a start in the future is due to a wrong clock
	if since > 0 {
		at = max(at, now-since-listingDelay)
	}
	return start{reportedMS, at}
}

// remember stores the start of an endpoint that is no longer listed.
func (s *starts) remember(id string, last start) {
	if s.unlisted == nil || len(s.unlisted) >= maxUnlisted {
		s.unlisted = map[string]start{}
	}
	s.unlisted[id] = last
}
