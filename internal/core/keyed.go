package core

import (
	"context"
	"net/http"
	"time"

	"spokegw/internal/keyed"
	"spokegw/policy"
)

// Peers are the other processes that clients of this one come to as well.
type Peers interface {
	// Exist reports whether there are some, or were.
	Exist() bool
	// Publish has them know of a key. When it returns without an error each of them finds that as it
	// catches up, whatever becomes of this process.
	Publish(keyed.Note) error
	// CatchUp has all adopted that they have told by now. It does not wait for them.
	CatchUp() error
}

// SetPeers sets the other processes. It is to be set before the first request.
func (s *Service) SetPeers(p Peers) { s.peers = p }

// catchUp has a request decided on by what other processes have told of its key.
func (s *Service) catchUp(c *call) {
	if c.keyed && s.peers != nil && s.peers.Exist() {
		s.peers.CatchUp() // where it can't, the attempt is not claimed
	}
}

// claim reports whether an attempt may be made though other processes may make one of its key.
// Each tells of its own before it looks for those of the others: of two, one at least finds the
// other's, and gives way.
func (s *Service) claim(a *attempt) bool {
	if a.note == nil || s.peers == nil || !s.peers.Exist() {
		return true
	}
	n := *a.note
	n.Age += time.Since(a.decided)
	if s.peers.Publish(n) != nil || s.peers.CatchUp() != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys.Claim(a.call.key, policy.Endpoint{Zone: a.zone, Cell: a.cell})
}

// pin has a request whose key came before, and may have run, reach only endpoints
// that drop the repeat.
//
// Where there are moves, each request meets its pools only. A key that came before
// stays with those that it met then, whatever the share is now.
func (s *Service) pin(c *call, q *policy.Request, now time.Duration, h http.Header) {
	var earlier keyed.PriorSend
	known := false
	if c.keyed {
		earlier, known = s.keys.Find(now, c.key)
	}
	if s.pools.any {
		c.repeatable = s.settled.places[c.class].rules.Effect == policy.Idempotent
		if c.mask = earlier.Mask(); !known {
			c.mask = s.pools.mask(h.Get("Idempotency-Key"))
		}
	}
	switch {
	case s.pools.any:
		q.Eligible = func(to policy.Endpoint) bool { return (!known || earlier.Allows(s.now(), to)) && s.meets(c, to) }
	case known:
		q.Eligible = func(to policy.Endpoint) bool { return earlier.Allows(s.now(), to) }
	}
}

// noteSent notes that an attempt of a call goes to an endpoint, and returns the note, nil
// where it has no key, and when the window for a repeat ends; zero: it is none.
func (s *Service) noteSent(c *call, to *endpoint) (note *keyed.Note, repeatBy time.Time) {
	if !c.keyed {
		return nil, repeatBy
	}
	now := s.now()
	s.keys.RecordSent(now, c.key, &s.settled.places[c.class].rules, to.Endpoint, c.mask.Met(to.pools))
	if end, repeat := s.keys.DedupUntil(c.key); repeat {
		repeatBy = s.at(end)
	}
	n, ok := s.keys.NoteOf(now, c.key)
	if !ok {
		return nil, repeatBy
	}
	if s.testHookNoted != nil {
		s.testHookNoted()
	}
	return &n, repeatBy
}

// SetKeyWriter sets what has a keyed request on a disk before it is sent. It may wait;
// its error tells that the request is not to be sent. It is to be set before the first
// request.
func (s *Service) SetKeyWriter(keep func(context.Context, keyed.Note) error) { s.durable = keep }

// keepKey has the key of an attempt on the disk in its time, where that is asked for.
func (s *Service) keepKey(a *attempt) error {
	if a.note == nil || s.durable == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(&a.end, a.until)
	defer cancel()
	n := *a.note
	n.Age += time.Since(a.decided) // some time may have passed since it was noted
	return s.durable(ctx, n)
}

// noteEnded notes the end of an attempt that was sent.
func (s *Service) noteEnded(c *call, r policy.Result) {
	if c.keyed {
		s.keys.RecordEnded(c.key, r.NeverRan())
	}
}

// AdoptKey takes a note of another process.
func (s *Service) AdoptKey(n keyed.Note) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.Adopt(s.now(), n)
}
