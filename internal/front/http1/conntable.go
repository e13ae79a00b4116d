package http1

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/front"
	"spokegw/internal/permit"
)

// connTable holds the clients' connections, at most limit of them. Under connection
// pressure it closes those that are least valuable to the clients.
type connTable struct {
	limit int

	// pipelining allows clients to send a request before the previous one has been
	// answered (RFC 9112 section 9.3.2).
	pipelining bool
	admission  Admission // nil: no request is refused
	// recordIncompleteHead records a client whose request is refused because the process stops.
	recordIncompleteHead func(client string)
	// busyThreshold is how many answered connections may stay open before others are
	// closed with their first answer.
	busyThreshold int

	mu            sync.Mutex
	minIdle       time.Duration // the constant minIdle, unless a test sets it
	firstTimeout  time.Duration // firstRequestTimeout, unless a test sets it
	conns         map[*clientConn]struct{}
	answersOver   atomic.Bool // the process stops, and no longer waits for the rest of a request
	draining      bool        // every answer closes its connection: another process takes the next request
	answeredConns int         // number of conns that have had an answer
	limitLogged   bool        // the warning has been logged
}

func newConnTable(limit, busyThreshold int) *connTable {
	return &connTable{limit: limit, busyThreshold: busyThreshold, minIdle: minIdle, firstTimeout: firstRequestTimeout, conns: map[*clientConn]struct{}{}}
}

// mustClose reports whether c exceeds the number of connections that may be kept. That
// number is limited, and connections that were opened for one request and then kept
// would take the place of those that carry further requests. A client that sends a
// second request uses its connection and keeps it. The rule hurts clients for which a
// new connection is expensive: while there are too many connections, they get no
// persistent ones.
func (t *connTable) mustClose(c *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining || !c.answered && t.answeredConns >= t.busyThreshold
}

// resize sets the limits. Connections beyond them are evicted where allowed.
func (t *connTable) resize(limit, busyThreshold int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit, t.busyThreshold = limit, busyThreshold
	for len(t.conns) > t.limit && t.evict() {
	}
}

// setDraining sets whether connections close with their next answer.
func (t *connTable) setDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = draining
}

// closeIdle closes the connections that have transferred nothing for idleFor and have
// no request open: those that are idle, and those that have sent nothing yet, for at
// least firstRequestTimeout.
func (t *connTable) closeIdle(idleFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := front.Now()
	for c := range t.conns {
		if c.mayClose(permit.Close{AnswerPending: c.busy}) {
			c.closeIfIdle(now-idleFor, now-max(idleFor, t.firstTimeout))
		}
	}
}

// closeExcessIdle closes connections that have been idle for longer than minIdle, while
// there are too many.
func (t *connTable) closeExcessIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	idleBefore, excess := front.Now()-t.minIdle, t.answeredConns-t.busyThreshold
	for c := range t.conns {
		if excess < 0 {
			return
		}
		if c.mayClose(permit.Close{AnswerPending: c.busy}) && c.idle.Load() && c.lastActive.Load() < int64(idleBefore) {
			c.closeIfIdle(idleBefore, idleBefore)
			excess--
		}
	}
}

func (t *connTable) remove(c *clientConn) {
	if _, ok := t.conns[c]; ok && c.answered {
		t.answeredConns--
	}
	delete(t.conns, c)
}

// add adds a new connection to the table; nil if there is no capacity for it.
func (t *connTable) add(nc *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: nc, table: t}
	now := int64(front.Now())
	c.lastActive.Store(now)
	c.started.Store(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.limit {
		if !t.limitLogged {
			t.limitLogged = true
			slog.Warn("connection limit reached; closing idle client connections", "limit", t.limit)
		}
		if !t.evict() {
			return nil
		}
	}
	t.conns[c] = struct{}{}
	return c
}

// minIdle is how long a connection may at least be idle, unless only closing it frees
// capacity.
const minIdle = 2 * time.Second

// firstRequestTimeout is how long a shutdown spares a connection that has sent nothing
// yet: a client that has just connected has a request on its way, and does not retry it
// by itself as it would on a connection used before (RFC 9110 section 9.2.2, RFC 9112
// section 9.3.1). It is too short where a shortage of CPU delays first requests for
// longer. Many silent connections delay the shutdown by this time, and no more.
const firstRequestTimeout = 500 * time.Millisecond

// stateChanged follows the states of net/http's connections: the answer of an idle one
// has been written, a closed one is removed.
func (t *connTable) stateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateIdle:
		t.markAnsweredLocked(c)
		c.idle.Store(len(c.head) == 0 && len(c.ready) == 0 && !c.serving.Load()) // the server reads nothing now
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
		if len(t.conns) < t.limit/2 {
			t.limitLogged = false
		}
	}
}

// markAnswered records that a connection's request has been answered.
func (t *connTable) markAnswered(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markAnsweredLocked(c)
}

func (t *connTable) markAnsweredLocked(c *clientConn) {
	if _, ok := t.conns[c]; ok && !c.answered {
		t.answeredConns++
		c.answered = true
	}
	c.busy = false
}

// count counts the connections: all, and those with a request taken.
func (t *connTable) count() (total, busy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.busy {
			busy++
		}
	}
	return len(t.conns), busy
}

// refuseIncomplete ends the wait for requests that have arrived in part: the process has no time
// left for them. Their readers refuse them.
func (t *connTable) refuseIncomplete() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answersOver.Store(true)
	for c := range t.conns {
		if !c.busy && !c.awaitsRequest() {
			c.cancelRead()
		}
	}
}

// connKey is the context key of a request's clientConn.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}
