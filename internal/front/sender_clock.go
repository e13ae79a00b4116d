package front

import (
	"io"
	"sync"
	"time"
)

// confirmedWait is the shortest read without data by which the sender of a body counts as
// still sending. A shorter one may be the delay of the path, or of this process.
const confirmedWait = 20 * time.Millisecond

// SenderClock estimates when the sender of a body wrote its last byte, from which the
// request's deadline counts. The last byte may have been written long before it is read: as
// long as the endpoint takes no more of the body, it waits in socket buffers on both sides.
// While a read waits for data, the sender is known to be sending. Its methods may be called
// from several goroutines.
type SenderClock struct {
	mu       sync.Mutex
	earliest time.Duration // as Now
	waiting  bool          // a read found no data, and waits
	since    time.Duration // as Now, when it began to wait
	complete bool          // the body has been read: what follows is not part of it
}

// NewSenderClock is the clock of a sender whose latest data has waited unread for a time,
// and that may have written its last byte then.
func NewSenderClock(unread time.Duration) *SenderClock { return &SenderClock{earliest: Now() - unread} }

// Read makes a read from the sender's connection or stream that is not known to have data
// waiting. It must not be a read that may return or wait for further data after some.
func (s *SenderClock) Read(from io.Reader, b []byte) (int, error) {
	s.beginWait(Now())
	n, err := from.Read(b)
	s.endWait(Now())
	return n, err
}

// beginWait records a read that found no data.
func (s *SenderClock) beginWait(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting, s.since = !s.complete, now
}

// endWait records the end of that read.
func (s *SenderClock) endWait(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.waiting {
		return
	}
	s.waiting = false
	if waited := now - s.since; waited >= confirmedWait {
		s.earliest = now
	} else {
		s.earliest += waited
	}
}

// finish records that the body is complete.
func (s *SenderClock) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete, s.waiting = true, false
}

// earliestEnd is the earliest time, as Now, at which the last byte may have been written.
// It is now if the sender is known to be sending.
func (s *SenderClock) earliestEnd(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting && now-s.since >= confirmedWait {
		return now
	}
	return s.earliest
}
