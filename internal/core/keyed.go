package core

import (
	"context"
	"net/http"
	"time"

	"spokegw/internal/keyed"
	"spokegw/policy"
)

// Peers are the other processes that accept requests from the same clients.
type Peers interface {
	// Exist reports whether there are or were other processes.
	Exist() bool
	// Publish makes a key known to the other processes. Once it has returned without an error,
	// each of them finds the key in its next CatchUp, even if this process ends.
	Publish(keyed.Note) error
	// CatchUp adopts all that the peers have published so far. It does not wait for them.
	CatchUp() error
}

// SetPeers sets the other processes. It must be called before the first request.
func (s *Service) SetPeers(p Peers) { s.peers = p }

// hasPeers reports whether there are or were other processes.
func (s *Service) hasPeers() bool { return s.peers != nil && s.peers.Exist() }

// catchUp adopts what other processes have published before a keyed request is decided.
func (s *Service) catchUp(c *call) {
	if c.keyed && s.hasPeers() {
		s.peers.CatchUp() // after a failure the attempt will not be claimed
	}
}

// claim reports whether an attempt may be made although other processes may make one of the
// same key. Each process publishes its own attempt before it reads those of the others. So at
// least one of two processes sees the other's attempt and abandons its own.
func (s *Service) claim(a *attempt) bool {
	if a.keyNote == nil || !s.hasPeers() {
		return true
	}
	n := *a.keyNote
	n.Age += time.Since(a.decided)
	if s.peers.Publish(n) != nil || s.peers.CatchUp() != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys.Claim(a.call.key, policy.Endpoint{Zone: a.zone, Cell: a.cell})
}

// pin restricts a request whose key was sent before, and may have run, to endpoints that
// deduplicate the repeat.
//
// While there are moves, a request is also restricted to its pools. A key that was sent before
// keeps the pools that it was routed to then, whatever the share is now.
func (s *Service) pin(c *call, q *policy.Request, now time.Duration, h http.Header) {
	var prior keyed.PriorSend
	known := false
	if c.keyed {
		prior, known = s.keys.Find(now, c.key)
	}
	if s.pools.active {
		c.repeatable = s.settings.slots[c.class].rules.Effect == policy.Idempotent
		if c.mask = prior.Mask(); !known {
			c.mask = s.pools.mask(h.Get("Idempotency-Key"))
		}
	}
	switch {
	case s.pools.active:
		q.Eligible = func(to policy.Endpoint) bool { return (!known || prior.Allows(s.now(), to)) && s.allowedByMoves(c, to) }
	case known:
		q.Eligible = func(to policy.Endpoint) bool { return prior.Allows(s.now(), to) }
	}
}

// recordSent records that an attempt of a call is sent to an endpoint. It returns the note, nil
// without a key, and the end of the deduplication window, zero if the attempt is not a repeat.
func (s *Service) recordSent(c *call, to *endpoint) (note *keyed.Note, dedupUntil time.Time) {
	if !c.keyed {
		return nil, dedupUntil
	}
	now := s.now()
	s.keys.RecordSent(now, c.key, &s.settings.slots[c.class].rules, to.Endpoint, c.mask.WithEndpoint(to.pools))
	if end, repeat := s.keys.DedupUntil(c.key); repeat {
		dedupUntil = s.at(end)
	}
	n, ok := s.keys.NoteOf(now, c.key)
	if !ok {
		return nil, dedupUntil
	}
	if s.testHookRecorded != nil {
		s.testHookRecorded()
	}
	return &n, dedupUntil
}

// SetKeyWriter sets the function that makes a keyed request durable before it is sent. It may
// block; on an error the request is not sent. It must be set before the first request.
func (s *Service) SetKeyWriter(write func(context.Context, keyed.Note) error) { s.keyWriter = write }

// writeKey makes the key of an attempt durable before the attempt's deadline, if that is
// configured.
func (s *Service) writeKey(a *attempt) error {
	if a.keyNote == nil || s.keyWriter == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(&a.cancellation, a.deadline)
	defer cancel()
	n := *a.keyNote
	n.Age += time.Since(a.decided) // time may have passed since the note was made
	return s.keyWriter(ctx, n)
}

// recordEnded records the end of an attempt that was sent.
func (s *Service) recordEnded(c *call, r policy.Result) {
	if c.keyed {
		s.keys.RecordEnded(c.key, r.NeverRan())
	}
}

// AdoptKey adopts a key that another process sent.
func (s *Service) AdoptKey(n keyed.Note) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.Adopt(s.now(), n)
}
