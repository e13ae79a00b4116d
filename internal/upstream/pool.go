// Package upstream makes attempts on endpoints: one attempt is one request
// written on one connection, and how that ended. It repeats nothing that the
// endpoint may have seen whole. net/http's Transport is no choice here: it
// sends GETs and keyed requests again by itself, dials spare connections, and
// does not tell whether a request's last byte was written.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spokegw/internal/budget"
	"spokegw/internal/framing"
	"spokegw/internal/peek"
)

// Pool keeps the connections to endpoints. It never holds more than its limit
// of them, idle ones included.
type Pool struct {
	dialer  net.Dialer
	maxIdle time.Duration
	settle  time.Duration
	stall   time.Duration     // that a stream may take for its next piece
	long    *budget.Partition // bytes that answers over maxBody may hold together
	slots   *budget.Partition // one for every connection that is open or being made
	sent    *atomic.Uint64
	mu      sync.Mutex
	closed  bool                 // nothing is kept any more
	idle    map[Endpoint][]*conn // the latest used last
	lasting lasting
}

// Endpoint is where an attempt goes. A new endpoint may stand at the address of
// one that has gone: what is kept of the old one is not for it.
type Endpoint struct{ ID, Addr string }

// settle is how long a connection rests before it is used again. Something may
// come behind an answer, as late as after the connection was put back, and
// would be taken for the answer to the next request. It could cost connections
// where one endpoint has more than one request in so long. What comes later
// still is only noticed if it is there before the next request is written.
const settle = 5 * time.Millisecond

// idlePart is the part of the endpoints' idle time that a connection is used
// for: they close theirs sooner than they say, and a request that crosses the
// close is lost.
const idlePart = 0.6

// Resources are what a pool may use beside those of other services.
type Resources struct {
	Slots       *budget.Partition // connections
	StreamBytes *budget.Partition // bytes of answers that are longer than the protocol has them
	SentCount   *atomic.Uint64    // counts the attempts whose last byte was written; nil: nothing does
}

// NewPool makes a pool. An endpoint closes a connection that was idle for so
// long.
func NewPool(s Resources, connectTimeout, idle time.Duration) *Pool {
	if s.SentCount == nil {
		s.SentCount = new(atomic.Uint64)
	}
	return &Pool{
		dialer:  net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		maxIdle: time.Duration(float64(idle) * idlePart),
		settle:  settle,
		stall:   streamPatience,
		long:    s.StreamBytes,
		slots:   s.Slots,
		sent:    s.SentCount,
		idle:    map[Endpoint][]*conn{},
		lasting: lasting{},
	}
}

// conn is a connection to an endpoint.
type conn struct {
	*net.TCPConn
	pool   *Pool
	to     Endpoint
	r      *bufio.Reader // holds the longest head there may be
	rested time.Time     // idle since; zero: new
	rest   time.Duration // before it was used this time
	body   body          // of the answer that is read
	clock  clock         // of the attempt that is made
	cut    func()        // ends what is under way on it, made once
}

var errNoSlot = errors.New("all upstream connections are in use")

// kept takes an idle connection to e that is still good; nil: there is none. once tells
// that it is for a request that can't be sent again.
func (p *Pool) kept(e Endpoint, once bool) *conn {
	for c := p.pop(e, once); c != nil; c = p.pop(e, once) {
		// Endpoints close early, and send what nobody asked for: that would be taken for
		// the answer to this request.
		n, closed := peek.Peek(c.TCPConn)
		if c.rest < p.maxIdle && n == 0 && !closed && c.r.Buffered() == 0 {
			return c
		}
		if closed && n == 0 {
			p.broke(c)
		}
		p.discard(c)
	}
	return nil
}

// dial makes a connection.
func (p *Pool) dial(ctx context.Context, e Endpoint) (*conn, error) {
	if err := p.reserve(ctx); err != nil {
		return nil, err
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", e.Addr)
	if err != nil {
		p.slots.Release(1)
		return nil, err
	}
	c := &conn{TCPConn: nc.(*net.TCPConn), pool: p, to: e, r: bufio.NewReaderSize(nc, framing.MaxHead)}
	c.cut = func() { c.SetDeadline(time.Unix(1, 0)) }
	c.clock.unread = c.unread
	return c, nil
}

// unread reports whether something waits to be read from the socket, or the other side has
// closed it.
func (c *conn) unread() bool {
	n, closed := peek.Peek(c.TCPConn)
	return n > 0 || closed
}

// reserve makes room for one more connection, at the cost of the one idle
// longest where need be, of this service or of one that has more than its
// reserve. With all in use it waits no longer than a connection may take to come
// up: nothing was sent, so giving up then is harmless.
func (p *Pool) reserve(ctx context.Context) error {
	if p.slots.TryAcquire(1) {
		return nil
	}
	wait := time.NewTimer(p.dialer.Timeout)
	defer wait.Stop()
	for {
		freed := p.slots.Freed() // before looking, so that nothing that comes meanwhile is missed
		if p.slots.TryAcquire(1) {
			return nil
		}
		if p.EvictIdle() || p.slots.Reclaim() {
			continue
		}
		select {
		case <-freed:
		case <-wait.C:
			return errNoSlot
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", errNoSlot, ctx.Err())
		}
	}
}

// ownWant reports whether a connection could not be had for want of something of
// this sidecar's machine: a place, a descriptor, a port, memory (connect(2)).
func ownWant(err error) bool {
	for _, want := range []error{errNoSlot, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}

// EvictIdle closes the connection that is idle longest; it reports false where
// there is none.
func (p *Pool) EvictIdle() bool {
	c := p.popOldest()
	if c != nil {
		p.discard(c)
	}
	return c != nil
}

// pop takes the connection to e that was used last, of those that have settled and, for
// a request that is sent once, that e is sure to keep for now.
func (p *Pool) pop(e Endpoint, once bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, most := p.idle[e], p.maxIdle
	if once {
		most = p.lasting.most(e, most)
	}
	now := time.Now() // once: where many rest it would be read for each
	for i := len(list) - 1; i >= 0; i-- {
		rest := now.Sub(list[i].rested)
		if rest >= p.settle && (rest < most || rest >= p.maxIdle) {
			c := list[i]
			c.rest = rest
			p.setIdle(e, slices.Delete(list, i, i+1))
			return c
		}
	}
	return nil
}

// broke notes that a kept connection was ended by its endpoint while it rested, or as its
// next request was written.
func (p *Pool) broke(c *conn) {
	p.mu.Lock()
	p.lasting.ended(c.to, c.rest)
	p.mu.Unlock()
}

func (p *Pool) popOldest() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].rested.Before(oldest.rested) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.setIdle(oldest.to, p.idle[oldest.to][1:])
	}
	return oldest
}

func (p *Pool) setIdle(e Endpoint, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, e)
	} else {
		p.idle[e] = list
	}
}

// RemoveEndpoint closes the idle connections to an endpoint that gets no more requests.
// Those in use are closed some time after they have come back.
func (p *Pool) RemoveEndpoint(e Endpoint) {
	p.mu.Lock()
	list := p.idle[e]
	delete(p.idle, e)
	delete(p.lasting, e)
	p.mu.Unlock()
	for _, c := range list {
		p.discard(c)
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	c.SetDeadline(time.Time{})
	c.rested = time.Now()
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle[c.to] = append(p.idle[c.to], c)
		p.lasting.served(c.to, c.rest)
	}
	p.mu.Unlock()
	if closed {
		p.discard(c)
		return
	}
	p.slots.NotifyIdle() // a request that waits for a place needs it more
}

// Close closes the idle connections, and those in use as they come back. What
// is under way goes on.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for p.EvictIdle() {
	}
}

func (p *Pool) discard(c *conn) {
	c.Close()
	c.clock.close()
	p.slots.Release(1)
}

// Sweep closes what has been idle for too long. It is to be called now and
// then: endpoints that are gone would else keep their connections for ever.
func (p *Pool) Sweep() {
	for {
		c := p.popExpired()
		if c == nil {
			return
		}
		p.discard(c)
	}
}

func (p *Pool) popExpired() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e, list := range p.idle {
		if c := list[0]; time.Since(c.rested) >= p.maxIdle {
			p.setIdle(e, list[1:])
			return c
		}
	}
	return nil
}

// OpenConns counts the connections that are open or being made.
func (p *Pool) OpenConns() int { return int(p.slots.Used()) }
