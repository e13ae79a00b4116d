package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connTable holds the application's connections, to at most limit of them. In
// a crowd the one that has been idle or half-written longest makes room:
// those who come must be heard, and many of those who are there never speak.
type connTable struct {
	limit int

	mu    sync.Mutex
	conns map[*clientConn]struct{}
	full  bool // logged
}

// clientConn is one of the application's connections.
type clientConn struct {
	*net.TCPConn
	table   *connTable
	moved   atomic.Int64 // Unix nanoseconds when bytes last went either way
	heard   atomic.Bool  // something was read from it
	busy    bool         // a request has been taken and is not answered in full
	evicted bool
}

func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.heard.Store(true)
		c.moved.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if n > 0 {
		c.moved.Store(time.Now().UnixNano())
	}
	return n, err
}

// take marks that a request has come whole. It reports false if the
// connection was closed to make room before that.
func (c *clientConn) take() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.busy = !c.evicted
	return c.busy
}

func newConnTable(limit int) *connTable {
	return &connTable{limit: limit, conns: map[*clientConn]struct{}{}}
}

// add takes a new connection into the table; nil if there is no room for it.
func (t *connTable) add(nc *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: nc, table: t}
	c.moved.Store(time.Now().UnixNano())
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

// evict closes the connection that has been without a taken request, and
// unmoved, for longest.
func (t *connTable) evict() bool {
	var oldest *clientConn
	for c := range t.conns {
		if !c.busy && (oldest == nil || c.moved.Load() < oldest.moved.Load()) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.evicted = true
	delete(t.conns, oldest)
	oldest.TCPConn.Close()
	return true
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
		c.busy = false
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
		if len(t.conns) < t.limit/2 {
			t.full = false
		}
	}
}

// count counts the connections: all, those with a request taken, and of those
// the ones on which something moved since.
func (t *connTable) count(since time.Time) (all, busy, moving int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.busy {
			busy++
			if c.moved.Load() >= since.UnixNano() {
				moving++
			}
		}
	}
	return len(t.conns), busy, moving
}

// closeSilent closes the connections that never said anything.
func (t *connTable) closeSilent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if !c.heard.Load() {
			c.evicted = true
			c.TCPConn.Close()
		}
	}
}

// connKey is the key of a request's clientConn in its context.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// listener accepts for as long as it is open: no error but its closing ends
// the loop of the server.
type listener struct {
	*net.TCPListener
	table *connTable
}

// acceptPause is how long accepting rests after an error: most tell of a want
// of descriptors that passes.
const acceptPause = 5 * time.Millisecond

func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			slog.Warn("accept", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		if c := l.table.add(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}
