package http1

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/framing"
	"spokegw/internal/front"
	"spokegw/internal/peek"
)

// clientConn is one of the application's connections. Its Read hands a request
// to the server in two parts, a head that was checked whole and a body of the
// length told there, and never a byte of the next request along with them. So
// where a request ends is known here, and what stands behind it is noticed.
type clientConn struct {
	*net.TCPConn
	table *connTable

	// Of Read alone; the server makes one call at a time.
	head    []byte // of a head that has not come whole
	ready   []byte // read, and still to be handed out
	left    int64  // of the body after ready
	through bool   // what follows is passed as it comes: chunked, or malformed

	chunked atomic.Bool // the latest request's body is
	serving atomic.Bool // a request was handed out and its answer has not begun
	extra   atomic.Bool // something came behind that request

	due     atomic.Int64 // as front.Now, when reading is to end; 0: it is not
	moved   atomic.Int64 // as front.Now, when bytes last went either way
	begun   atomic.Int64 // when the latest request's first byte came, or the connection
	heard   atomic.Bool  // something was read from it
	resting atomic.Bool  // it has had an answer and nothing came since
	busy    bool         // a request has been taken and is not answered in full

	answered bool // its first request has been
	evicted  bool
}

var errHeadTooLong = errors.New("the head is too long")

func (c *clientConn) Read(b []byte) (int, error) {
	for len(c.ready) == 0 {
		if c.through || c.left > 0 {
			if !c.through {
				b = b[:min(int64(len(b)), c.left)]
			}
			n, err := c.receive(b)
			c.left -= int64(n)
			return n, err
		}
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.ready)
	if c.ready = c.ready[n:]; len(c.ready) == 0 {
		c.ready = nil // a connection that rests holds no buffer
	}
	return n, nil
}

// receive reads from the socket.
func (c *clientConn) receive(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.overslept() {
		n, err = c.TCPConn.Read(b)
	}
	if n > 0 {
		now := int64(front.Now())
		if c.heard.Swap(true); c.resting.Swap(false) || len(c.head) == 0 && c.left == 0 && !c.through {
			c.begun.Store(now)
		}
		c.moved.Store(now)
	}
	return n, err
}

// A read that ends so long after it was due was not waiting: the process stood
// still, or had no processor. It may then take that long once more.
const oversleep = 50 * time.Millisecond

// overslept reports whether the process slept through the time at which reading
// was due to end while something came, and lets it be read: a timer that went
// off in the meantime would have the server close the connection on a request
// that had come in time. A client that sends slowly gains nothing by it, as the
// timer goes off when it should while the process runs. It could do harm on a
// machine that is always short of processors, where a slow sender would have
// the oversleep more each time.
func (c *clientConn) overslept() bool {
	due, now := time.Duration(c.due.Load()), front.Now()
	if due <= 0 || now-due < oversleep || !c.readable() { // net/http calls off a read by a time long ago
		return false
	}
	return c.SetReadDeadline(front.At(now+oversleep)) == nil
}

// SetReadDeadline sets when reading is due to end.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.due.Store(0)
	} else {
		c.due.Store(int64(front.Until(t)))
	}
	return c.TCPConn.SetReadDeadline(t)
}

// unreadable stands for a head that was refused: the server answers it with 400
// and closes, and is spared the reading of 8 KB of noise.
const unreadable = "unreadable\r\n\r\n"

// readHead reads some of the next request's head, and all of it into ready once
// it is whole.
func (c *clientConn) readHead() error {
	var buf [2 << 10]byte
	n, err := c.receive(buf[:])
	if n == 0 {
		return err
	}
	if c.serving.Load() {
		c.extra.Store(true)
	}
	c.head = append(c.head, buf[:n]...)
	end := framing.End(c.head)
	if end == 0 && len(c.head) < framing.MaxHead {
		return err
	}
	var h framing.Head
	var wrong error
	if end == 0 {
		wrong = errHeadTooLong
	} else {
		h, wrong = framing.Check(c.head[:end])
	}
	c.ready, c.head = c.head, nil
	c.through = wrong != nil || h.Chunked
	c.chunked.Store(h.Chunked)
	if wrong != nil {
		c.ready = []byte(unreadable)
	}
	c.extra.Store(c.serving.Swap(true)) // not answered yet, and here is the next
	if c.through {
		return err
	}
	c.left = max(h.Length, 0)
	body := int64(len(c.ready) - end)
	if body > c.left { // what is behind the request is not handed out
		c.extra.Store(true)
		c.head = append(c.head, c.ready[end+int(c.left):]...)
		c.ready = c.ready[:end+int(c.left)]
		body = c.left
	}
	c.left -= body
	return err
}

// crowded reports whether anything has come behind the request being served:
// its sender sends one request at a time, so what is there belongs to that one
// and its end is not where it says, or it is a request that was to be hidden.
func (c *clientConn) crowded() bool { return c.extra.Load() || c.readable() }

// answering marks that the answer begins: what comes from now on may be the
// next request. It reports whether the connection is to end with this answer:
// because something came too soon, because where a body in chunks ended is not
// known here, or to make room.
func (c *clientConn) answering() (last bool) {
	c.serving.Store(false)
	return c.extra.Load() || c.chunked.Load() || c.table.packed(c)
}

// readable reports whether something waits to be read from the socket.
func (c *clientConn) readable() bool {
	n, _ := peek.Peek(c.TCPConn)
	return n > 0
}

// linger bounds how long, and for how many bytes, a connection that closes with
// something unread is read on: closing it at once would reset it, and a reset
// may overtake the answer.
const (
	linger      = 200 * time.Millisecond
	lingerBytes = 1 << 20
)

func (c *clientConn) Close() error {
	if c.extra.Load() {
		c.CloseWrite()
		c.TCPConn.SetReadDeadline(time.Now().Add(linger))
		io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	return c.TCPConn.Close()
}

func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if n > 0 {
		c.moved.Store(int64(front.Now()))
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

// connTable holds the application's connections, to at most limit of them. In
// a crowd those make room that are worth least to the application.
type connTable struct {
	limit int

	// crowd is how many connections may have had an answer and stay before the
	// others are asked to leave with their first one.
	crowd int

	mu    sync.Mutex
	rest  time.Duration // mayRest
	conns map[*clientConn]struct{}
	kept  int  // of conns, those that have had an answer
	full  bool // logged
}

func newConnTable(limit, crowd int) *connTable {
	return &connTable{limit: limit, crowd: crowd, rest: mayRest, conns: map[*clientConn]struct{}{}}
}

// packed reports whether c is one too many to be kept. The application may hold
// only so many connections, and those that were opened for one request and then
// kept for good take the place of those that would carry the next. Who has
// asked twice uses his connection and keeps it. It could do harm where a new
// connection costs the application much: it gets no more kept ones in a crowd.
func (t *connTable) packed(c *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !c.answered && t.kept >= t.crowd
}

// thin closes, in a crowd, the connections that have rested for as long as they
// may.
func (t *connTable) thin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	long := int64(front.Now() - t.rest)
	for c := range t.conns {
		if t.kept < t.crowd {
			return
		}
		if !c.busy && c.resting.Load() && c.moved.Load() < long && !c.readable() {
			t.close(c)
		}
	}
}

// close takes c out of the table and closes it.
func (t *connTable) close(c *clientConn) {
	c.evicted = true
	t.remove(c)
	c.TCPConn.Close()
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

// evict closes the connection that is worth least: first those that never said
// anything, then those that have rested long, then those that have begun their
// first request and not ended it, and at last those that rest; of equals the
// one unmoved for longest. A crowd that is silent, or slow, so closes itself and
// not the connections of those who use theirs.
//
// Requests taken are safe, and so is what a later request of a connection has
// said so far: once it has been read, closing loses it. What waits unread is
// left alone too. With nothing else there it reports false.
func (t *connTable) evict() bool {
	long := int64(front.Now() - t.rest)
	var worst *clientConn
	least := 0
	for c := range t.conns {
		if c.busy {
			continue
		}
		worth := 2
		switch resting := c.resting.Load(); {
		case !c.heard.Load():
			worth = 0
		case resting && c.moved.Load() < long:
			worth = 1
		case resting:
			worth = 3
		case c.answered:
			continue
		}
		if worst != nil && (worth > least || worth == least && c.moved.Load() >= worst.moved.Load()) {
			continue
		}
		if worth != 2 && c.readable() {
			continue // its request is here and only has not been looked at
		}
		worst, least = c, worth
	}
	if worst == nil {
		return false
	}
	t.close(worst)
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
		if _, ok := t.conns[c]; ok && !c.answered {
			t.kept++
			c.answered = true
		}
		c.busy = false
		c.resting.Store(len(c.head) == 0 && !c.serving.Load()) // the server reads nothing now
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
		if len(t.conns) < t.limit/2 {
			t.full = false
		}
	}
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

// closeSilent closes the connections that never said anything.
func (t *connTable) closeSilent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if !c.heard.Load() && !c.readable() {
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
