package http1

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"spokegw/internal/front"
	"spokegw/internal/permit"
)

// connTable holds the application's connections, to at most limit of them. In
// a crowd those make room that are worth least to the application.
type connTable struct {
	limit int

	// pipelining tells that clients may send a request before the one ahead of it
	// has been answered (RFC 9112 section 9.3.2).
	pipelining bool
	door       Admission // nil: all are read
	// crowd is how many connections may have had an answer and stay before the
	// others are asked to leave with their first one.
	crowd int

	mu    sync.Mutex
	rest  time.Duration // mayRest
	first time.Duration // firstPatience
	conns map[*clientConn]struct{}
	leave bool // every answer ends its connection: another process takes the next
	kept  int  // of conns, those that have had an answer
	full  bool // logged
}

func newConnTable(limit, crowd int) *connTable {
	return &connTable{limit: limit, crowd: crowd, rest: mayRest, first: firstPatience, conns: map[*clientConn]struct{}{}}
}

// packed reports whether c is one too many to be kept. The application may hold
// only so many connections, and those that were opened for one request and then
// kept for good take the place of those that would carry the next. Who has
// asked twice uses his connection and keeps it. It could do harm where a new
// connection costs the application much: it gets no more kept ones in a crowd.
func (t *connTable) packed(c *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leave || !c.answered && t.kept >= t.crowd
}

// resize sets the bounds. What is over them makes room where it may.
func (t *connTable) resize(limit, crowd int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit, t.crowd = limit, crowd
	for len(t.conns) > t.limit && t.evict() {
	}
}

// setLeave sets whether clients are asked to leave with their next answer.
func (t *connTable) setLeave(leave bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leave = leave
}

// endRested ends the connections on which nothing has moved for so long and that
// have no request open: they rest, or never said anything, for firstPatience at
// least.
func (t *connTable) endRested(rested time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := front.Now()
	for c := range t.conns {
		if c.mayClose(permit.Close{AnswerPending: c.busy}) {
			c.endResting(now-rested, now-max(rested, t.first))
		}
	}
}

// thin closes, in a crowd, the connections that have rested for as long as they
// may.
func (t *connTable) thin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	long, over := front.Now()-t.rest, t.kept-t.crowd
	for c := range t.conns {
		if over < 0 {
			return
		}
		if c.mayClose(permit.Close{AnswerPending: c.busy}) && c.resting.Load() && c.moved.Load() < int64(long) {
			c.endResting(long, long)
			over--
		}
	}
}

func (t *connTable) remove(c *clientConn) {
	if _, ok := t.conns[c]; ok && c.answered {
		t.kept--
	}
	delete(t.conns, c)
}

// add takes a new connection into the table; nil if there is no room for it.
func (t *connTable) add(nc *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: nc, table: t}
	now := int64(front.Now())
	c.moved.Store(now)
	c.begun.Store(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.limit {
		if !t.full {
			t.full = true
			slog.Warn("the application holds as many connections as there is room for; the idle ones are closed", "limit", t.limit)
		}
		if !t.evict() {
			return nil
		}
	}
	t.conns[c] = struct{}{}
	return c
}

// mayRest is how long a connection may rest at least, unless there is no other
// way to make room.
const mayRest = 2 * time.Second

// firstPatience is how long a connection that says nothing yet is left alone by a
// stop: whoever has just opened it has a request on its way, which a client does
// not send again by itself, as it would on one that it had used before (RFC 9110
// section 9.2.2, RFC 9112 section 9.3.1). It could do harm where the processor is so
// short that a first request takes longer; a crowd that stays silent holds up the
// end by as much, and no more.
const firstPatience = 500 * time.Millisecond

// evict closes the connection that is worth least: first those that never said
// anything, then those that have rested long, then those that have begun their
// first request and not ended it, and at last those that rest; of equals the
// one unmoved for longest. A crowd that is silent, or slow, so closes itself and
// not the connections of those who use theirs.
//
// Requests that have come whole are safe, whether or not they have been taken,
// and so is what a later request of a connection has said so far: once it has
// been read, closing loses it. What waits unread is left alone too. With nothing
// else there it reports false.
func (t *connTable) evict() bool {
	long := int64(front.Now() - t.rest)
	var worst *clientConn // locked
	least := 0
	for c := range t.conns {
		if !c.mu.TryLock() {
			continue // something is being read from it
		}
		worth, may := c.worth(long)
		if !may || worst != nil && (worth > least || worth == least && c.moved.Load() >= worst.moved.Load()) ||
			!c.mayClose(permit.Close{UnreadData: c.readable()}) { // its request is here and only has not been looked at
			c.mu.Unlock()
			continue
		}
		if worst != nil {
			worst.mu.Unlock()
		}
		worst, least = c, worth
	}
	if worst == nil {
		return false
	}
	worst.evicted = true
	worst.mu.Unlock()
	t.remove(worst)
	worst.TCPConn.Close() // which waits for its reader
	return true
}

// worth is what the connection is worth to its client, and whether it may be closed to
// make room; long is when those that have rested long last moved. Its mu is held, and the table's.
func (c *clientConn) worth(long int64) (worth int, may bool) {
	switch resting := c.resting.Load(); {
	case !c.mayClose(permit.Close{AnswerPending: c.busy}):
		return 0, false
	case !c.heard.Load():
		return 0, true
	case resting && c.moved.Load() < long:
		return 1, true
	case resting:
		return 3, true
	}
	return 2, !c.answered && c.mayClose(permit.Close{AnswerPending: c.asked})
}

// state follows the server's connections: idle ones have had their answer
// written, closed ones are gone.
func (t *connTable) state(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateIdle:
		t.hasAnswer(c)
		c.resting.Store(len(c.head) == 0 && len(c.ready) == 0 && !c.serving.Load()) // the server reads nothing now
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
		if len(t.conns) < t.limit/2 {
			t.full = false
		}
	}
}

// answered notes that a connection has had the answer to its request.
func (t *connTable) answered(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasAnswer(c)
}

func (t *connTable) hasAnswer(c *clientConn) {
	if _, ok := t.conns[c]; ok && !c.answered {
		t.kept++
		c.answered = true
	}
	c.busy = false
}

// count counts the connections: all, those with a request taken, and of those
// the ones on which something moved since.
func (t *connTable) count(since time.Duration) (all, busy, moving int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.busy {
			busy++
			if c.moved.Load() >= int64(since) {
				moving++
			}
		}
	}
	return len(t.conns), busy, moving
}

// connKey is the key of a request's clientConn in its context.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}
