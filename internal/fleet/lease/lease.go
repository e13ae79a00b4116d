// Package lease contains the building blocks of leases between clocks that are never compared:
// the send times of a gateway's own messages, how long to wait for a duration to have certainly
// passed on another clock, and the selection of a peer to report to while some are silent. It is
// pure.
package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	maxSent = 32 // messages whose send times are kept

	// A peer that has been silent for silentLeases is replaced by another one, and is not
	// selected again for avoidLeases.
	silentLeases = 1.5
	avoidLeases  = 3
)

// SafeWait returns how long to wait on the local clock until d has certainly passed on another
// gateway's clock. drift is the maximum relative error of either clock's rate.
func SafeWait(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d)*(1+drift)/(1-drift)) + time.Microsecond // margin for rounding
}

// SendTimes holds the times at which the latest messages were sent.
type SendTimes struct {
	seq        uint64
	firstValid uint64 // sequence number of the earliest valid message
	at         [maxSent]time.Duration
}

// Record numbers a message that is sent now, from 1.
func (t *SendTimes) Record(now time.Duration) uint64 {
	t.seq++
	t.at[t.seq%maxSent] = now
	return t.seq
}

// At returns the time at which a message was sent; false: it is not known any more.
func (t *SendTimes) At(seq uint64) (time.Duration, bool) {
	if seq == 0 || seq < t.firstValid || seq > t.seq || t.seq-seq >= maxSent {
		return 0, false
	}
	return t.at[seq%maxSent], true
}

// Reset invalidates all messages sent so far.
func (t *SendTimes) Reset() { t.firstValid = t.seq + 1 }

// ReplyFilter accepts each new reply of a peer once, however many replies are delayed, duplicated
// or reordered, and detects a restart of the peer.
type ReplyFilter struct {
	Incarnation uint64 // of the peer; 0: not known
	Latest      uint64 // number of the latest reply accepted; 0: none
	maxAnswered uint64 // number of the latest report acknowledged by an accepted reply of any peer
}

// Accept takes a reply's number and that of the report it answers. false: the reply is outdated.
func (f *ReplyFilter) Accept(incarnation, seq, answers uint64) bool {
	if incarnation != f.Incarnation { // the peer has restarted, unless this reply is outdated
		if answers <= f.maxAnswered {
			return false
		}
		f.Incarnation, f.Latest = incarnation, 0
	}
	if seq <= f.Latest {
		return false
	}
	f.Latest, f.maxAnswered = seq, max(f.maxAnswered, answers)
	return true
}

// Reset prepares the filter for another peer.
func (f *ReplyFilter) Reset() { f.Incarnation, f.Latest = 0, 0 }

// PeerSelector selects the gateway to report to: the best candidate that is not silent.
type PeerSelector struct {
	Name       string        // "": none
	LastActive time.Duration // when the peer was last heard from, or selected
	lease      time.Duration
	avoided    map[string]time.Duration // silent candidates, and until when each is avoided; no more than there are candidates
}

// NewPeerSelector returns a selector with no peer selected.
func NewPeerSelector(lease time.Duration) PeerSelector {
	return PeerSelector{lease: lease, avoided: map[string]time.Duration{}}
}

// Clone returns a copy that shares no state.
func (s PeerSelector) Clone() PeerSelector {
	s.avoided = maps.Clone(s.avoided)
	return s
}

// NumSilent returns the number of candidates that are avoided because they were silent.
func (s *PeerSelector) NumSilent() int { return len(s.avoided) }

// Select chooses among candidates, the best first. It reports whether another peer was chosen.
func (s *PeerSelector) Select(now time.Duration, candidates []string) (changed bool) {
	for name, until := range s.avoided {
		if now >= until || !slices.Contains(candidates, name) {
			delete(s.avoided, name)
		}
	}
	if s.Name != "" && now-s.LastActive > times(s.lease, silentLeases) && len(candidates) > 1 {
		s.avoided[s.Name] = now + times(s.lease, avoidLeases)
	}
	best := ""
	for _, name := range candidates {
		if _, silent := s.avoided[name]; !silent {
			best = name
			break
		}
	}
	if best == s.Name {
		return false
	}
	s.Name, s.LastActive = best, now
	return true
}

func times(d time.Duration, n float64) time.Duration { return time.Duration(float64(d) * n) }
