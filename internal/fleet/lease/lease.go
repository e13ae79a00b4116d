// Package lease has what leases between clocks that are never compared need: when one's own
// messages went out, how long a time of another's clock surely lasts, and whom to report
// to while some are silent. It is pure.
package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	marks = 32 // messages whose times are remembered

	// silentLeases is how long one that is reported to may be silent before another is
	// tried, shunLeases how long it is not tried again then.
	silentLeases = 1.5
	shunLeases   = 3
)

// SafeWait is how long one has to wait on one's own clock until a time has surely passed on
// another's. drift is by how much the rate of each may differ from the true one.
func SafeWait(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d)*(1+drift)/(1-drift)) + time.Microsecond // and what rounding leaves
}

// SendTimes are the times at which the latest messages went out.
type SendTimes struct {
	seq   uint64
	first uint64 // the earliest that counts
	at    [marks]time.Duration
}

// Record numbers a message that goes out now, from 1.
func (s *SendTimes) Record(now time.Duration) uint64 {
	s.seq++
	s.at[s.seq%marks] = now
	return s.seq
}

// At is the time at which a message went out; false: it is not remembered.
func (s *SendTimes) At(seq uint64) (time.Duration, bool) {
	if seq == 0 || seq < s.first || seq > s.seq || s.seq-seq >= marks {
		return 0, false
	}
	return s.at[seq%marks], true
}

// Reset has what went out so far count for nothing.
func (s *SendTimes) Reset() { s.first = s.seq + 1 }

// ReplyFilter tells which replies of the one that is reported to are news, however many are late,
// repeated or out of order, and whether it starts anew.
type ReplyFilter struct {
	Incarnation uint64 // its incarnation; 0: not known
	Latest      uint64 // the latest reply that was taken; 0: none
	anchor      uint64 // the latest report that a reply taken has answered, whoever's
}

// Accept takes the number of a reply, and that of the report that it answers. false: it is late.
func (r *ReplyFilter) Accept(incarnation, seq, answers uint64) bool {
	if incarnation != r.Incarnation { // it has started anew, unless this is late
		if answers <= r.anchor {
			return false
		}
		r.Incarnation, r.Latest = incarnation, 0
	}
	if seq <= r.Latest {
		return false
	}
	r.Latest, r.anchor = seq, max(r.anchor, answers)
	return true
}

// Reset notes that another one is reported to from now on.
func (r *ReplyFilter) Reset() { r.Incarnation, r.Latest = 0, 0 }

// PeerSelector is whom a gateway reports to: the best candidate that is not silent.
type PeerSelector struct {
	Name       string        // "": nobody
	LastActive time.Duration // when it was last heard, or chosen
	lease      time.Duration
	shunned    map[string]time.Duration // those that were silent, until when; as many as candidates
}

// NewPeerSelector is a choice of nobody yet.
func NewPeerSelector(lease time.Duration) PeerSelector {
	return PeerSelector{lease: lease, shunned: map[string]time.Duration{}}
}

// Clone is a copy that shares nothing.
func (c PeerSelector) Clone() PeerSelector {
	c.shunned = maps.Clone(c.shunned)
	return c
}

// NumSilent is how many are not tried for now, as they were silent.
func (c *PeerSelector) NumSilent() int { return len(c.shunned) }

// Select chooses among candidates, the best first. It reports whether another one was chosen.
func (c *PeerSelector) Select(now time.Duration, candidates []string) (changed bool) {
	for name, until := range c.shunned {
		if now >= until || !slices.Contains(candidates, name) {
			delete(c.shunned, name)
		}
	}
	if c.Name != "" && now-c.LastActive > times(c.lease, silentLeases) && len(candidates) > 1 {
		c.shunned[c.Name] = now + times(c.lease, shunLeases)
	}
	best := ""
	for _, name := range candidates {
		if _, silent := c.shunned[name]; !silent {
			best = name
			break
		}
	}
	if best == c.Name {
		return false
	}
	c.Name, c.LastActive = best, now
	return true
}

func times(d time.Duration, n float64) time.Duration { return time.Duration(float64(d) * n) }
