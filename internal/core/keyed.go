package core

import (
	"context"
	"net/http"
	"time"

	"spokegw/internal/keyed"
	"spokegw/policy"
)

// OnKeyed sets what is told of every keyed request that is sent, while it may
// matter to another process. It is to be set before the first request, and must
// not wait.
func (s *Service) OnKeyed(tell func(keyed.Note)) { s.onKeyed = tell }

// pin has a request whose key came before, and may have run, reach only endpoints
// that drop the repeat.
//
// Where there are moves, each request meets its pools only. A key that came before
// stays with those that it met then, whatever the share is now.
func (s *Service) pin(c *call, q *policy.Request, now time.Duration, h http.Header) {
	var earlier keyed.Earlier
	known := false
	if c.keyed {
		earlier, known = s.keys.Find(now, c.key)
	}
	if s.pools.any {
		c.repeatable = s.settled.places[c.class].rules.Effect == policy.Repeatable
		if c.mask = earlier.Mask(); !known {
			c.mask = s.pools.mask(h.Get("Idempotency-Key"))
		}
	}
	switch {
	case s.pools.any:
		q.Only = func(to policy.Endpoint) bool { return (!known || earlier.Allows(s.now(), to)) && s.meets(c, to) }
	case known:
		q.Only = func(to policy.Endpoint) bool { return earlier.Allows(s.now(), to) }
	}
}

// noteSent notes that an attempt of a call goes to an endpoint, and returns the note, nil
// where it has no key, and when the window for a repeat ends; zero: it is none.
func (s *Service) noteSent(c *call, to *endpoint) (note *keyed.Note, repeatBy time.Time) {
	if !c.keyed {
		return nil, repeatBy
	}
	now := s.now()
	s.keys.Sent(now, c.key, &s.settled.places[c.class].rules, to.Endpoint, c.mask.Met(to.pools))
	if end, repeat := s.keys.RepeatBy(c.key); repeat {
		repeatBy = s.at(end)
	}
	n, ok := s.keys.NoteOf(now, c.key)
	if !ok {
		return nil, repeatBy
	}
	if s.onKeyed != nil {
		s.onKeyed(n)
	}
	return &n, repeatBy
}

// OnDurable sets what has a keyed request on a disk before it is sent. It may wait;
// its error tells that the request is not to be sent. It is to be set before the first
// request.
func (s *Service) OnDurable(keep func(context.Context, keyed.Note) error) { s.durable = keep }

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
		s.keys.Ended(c.key, r.NeverRan())
	}
}

// AdoptKey takes a note of another process.
func (s *Service) AdoptKey(n keyed.Note) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.Adopt(s.now(), n)
}
