// Package upstream makes attempts on endpoints: an attempt is one request
// written on one connection, and its result. It never resends a request that an
// endpoint may have received in full. net/http's Transport is unsuitable here: it
// retries GETs and keyed requests by itself, dials spare connections, and
// does not report whether the last byte of a request was written.
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

// Pool is a connection pool for endpoints. It never holds more connections than
// its limit, idle ones included.
type Pool struct {
	dialer        net.Dialer
	maxIdle       time.Duration
	reuseDelay    time.Duration
	streamTimeout time.Duration     // timeout for the next piece of a streamed answer or body
	streamBytes   *budget.Partition // bytes that answers over maxBufferedBody may hold together
	slots         *budget.Partition // one for each connection that is open or being dialled
	sentCount     *atomic.Uint64
	mu            sync.Mutex
	closed        bool                 // no connection is kept any more
	idle          map[Endpoint][]*conn // the most recently used last
	idleLimits    idleLimits
}

// Endpoint is the target of an attempt. A new endpoint may have the address of a
// removed one and must not get the connections kept for it.
type Endpoint struct{ ID, Addr string }

// reuseDelay is how long a connection stays idle before it is used again. Stray
// bytes may arrive after an answer, even after the connection was put back, and
// would be taken for the next answer. The cost is extra connections to an endpoint
// with more than one request in this time. Bytes that arrive later are only
// detected if they are there before the next request is written.
const reuseDelay = 5 * time.Millisecond

// idleFraction is the fraction of an endpoint's idle timeout for which a connection
// is used: endpoints close connections earlier than stated, and a request that
// crosses the close is lost.
const idleFraction = 0.6

// Resources are what a pool shares with the pools of other services.
type Resources struct {
	Slots       *budget.Partition // connections
	StreamBytes *budget.Partition // bytes of streamed answers, which are longer than the protocol states
	SentCount   *atomic.Uint64    // counts the attempts whose last byte was written; nil: not counted
}

// NewPool makes a pool. idle is the time after which an endpoint closes an idle
// connection.
func NewPool(r Resources, connectTimeout, idle time.Duration) *Pool {
	if r.SentCount == nil {
		r.SentCount = new(atomic.Uint64)
	}
	return &Pool{
		dialer:        net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		maxIdle:       maxIdleFor(idle),
		reuseDelay:    reuseDelay,
		streamTimeout: streamTimeout,
		streamBytes:   r.StreamBytes,
		slots:         r.Slots,
		sentCount:     r.SentCount,
		idle:          map[Endpoint][]*conn{},
		idleLimits:    idleLimits{},
	}
}

// conn is a connection to an endpoint.
type conn struct {
	*net.TCPConn
	pool      *Pool
	endpoint  Endpoint
	r         *bufio.Reader // large enough for the longest head allowed
	idleSince time.Time     // zero: new
	idleFor   time.Duration // before its current use
	body      body          // of the answer being read
	timer     attemptTimer  // of the current attempt
	interrupt func()        // interrupts I/O in progress; allocated once
}

var errNoSlot = errors.New("all upstream connections are in use")

// idleConn takes a usable idle connection to e; nil: there is none. noRetry states
// that the request can't be retried.
func (p *Pool) idleConn(e Endpoint, noRetry bool) *conn {
	for c := p.pop(e, noRetry); c != nil; c = p.pop(e, noRetry) {
		// Endpoints close early and send unsolicited bytes, which would be taken for the
		// answer to this request.
		n, closed := peek.Peek(c.TCPConn)
		if c.idleFor < p.idleLimit() && n == 0 && !closed && c.r.Buffered() == 0 {
			return c
		}
		if closed && n == 0 {
			p.recordPeerClose(c)
		}
		p.discard(c)
	}
	return nil
}

// SetTimeouts changes the times that NewPool was given, for further attempts.
func (p *Pool) SetTimeouts(connectTimeout, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer.Timeout, p.maxIdle = connectTimeout, maxIdleFor(idle)
}

// maxIdleFor returns for how long a connection is used to an endpoint that closes it when it has been
// idle for a time.
func maxIdleFor(idle time.Duration) time.Duration {
	return time.Duration(float64(idle) * idleFraction)
}

// currentDialer returns the dialer with the connect timeout in force.
func (p *Pool) currentDialer() net.Dialer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialer
}

// idleLimit returns for how long connections are used.
func (p *Pool) idleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxIdle
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, e Endpoint) (*conn, error) {
	if err := p.reserve(ctx); err != nil {
		return nil, err
	}
	dialer := p.currentDialer()
	nc, err := dialer.DialContext(ctx, "tcp", e.Addr)
	if err != nil {
		p.slots.Release(1)
		return nil, err
	}
	c := &conn{TCPConn: nc.(*net.TCPConn), pool: p, endpoint: e, r: bufio.NewReaderSize(nc, framing.MaxHead)}
	c.interrupt = func() { c.SetDeadline(time.Unix(1, 0)) }
	c.timer.readable = c.readable
	return c, nil
}

// readable reports whether the socket has unread bytes, or the peer has closed the
// connection.
func (c *conn) readable() bool {
	n, closed := peek.Peek(c.TCPConn)
	return n > 0 || closed
}

// reserve takes a slot for a new connection. If none is free it evicts the connection
// idle longest, of this service or of one that exceeds its reserve. With all slots in
// use it waits no longer than the connect timeout: nothing was sent, so failing then
// is harmless.
func (p *Pool) reserve(ctx context.Context) error {
	if p.slots.TryAcquire(1) {
		return nil
	}
	wait := time.NewTimer(p.currentDialer().Timeout)
	defer wait.Stop()
	for {
		freed := p.slots.Freed() // before the attempt, so that no release in between is missed
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

// isLocalExhaustion reports whether connecting failed because this machine lacks a
// resource: a slot, a descriptor, a port or memory (connect(2)).
func isLocalExhaustion(err error) bool {
	for _, resource := range []error{errNoSlot, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, resource) {
			return true
		}
	}
	return false
}

// EvictIdle closes the connection that has been idle longest; it returns false if
// there is none.
func (p *Pool) EvictIdle() bool {
	c := p.popOldest()
	if c != nil {
		p.discard(c)
	}
	return c != nil
}

// pop takes the most recently used connection to e that has been idle for reuseDelay
// and, for a request that can't be retried, that e is expected to keep open.
func (p *Pool) pop(e Endpoint, noRetry bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, limit := p.idle[e], p.maxIdle
	if noRetry {
		limit = p.idleLimits.limit(e, limit)
	}
	now := time.Now() // read once, as there may be many idle connections
	for i := len(list) - 1; i >= 0; i-- {
		idleFor := now.Sub(list[i].idleSince)
		if idleFor >= p.reuseDelay && (idleFor < limit || idleFor >= p.maxIdle) {
			c := list[i]
			c.idleFor = idleFor
			p.setIdle(e, slices.Delete(list, i, i+1))
			return c
		}
	}
	return nil
}

// recordPeerClose records that the endpoint closed a kept connection while it was idle
// or as the next request was written.
func (p *Pool) recordPeerClose(c *conn) {
	p.mu.Lock()
	p.idleLimits.recordClosed(c.endpoint, c.idleFor)
	p.mu.Unlock()
}

func (p *Pool) popOldest() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.setIdle(oldest.endpoint, p.idle[oldest.endpoint][1:])
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

// RemoveEndpoint closes the idle connections to an endpoint that gets no more
// requests. Those in use are closed some time after they are put back.
func (p *Pool) RemoveEndpoint(e Endpoint) {
	p.mu.Lock()
	list := p.idle[e]
	delete(p.idle, e)
	delete(p.idleLimits, e)
	p.mu.Unlock()
	for _, c := range list {
		p.discard(c)
	}
}

// put returns a connection to the pool for the next request.
func (p *Pool) put(c *conn) {
	c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
		p.idleLimits.recordReused(c.endpoint, c.idleFor)
	}
	p.mu.Unlock()
	if closed {
		p.discard(c)
		return
	}
	p.slots.NotifyIdle() // a request that waits for a slot takes precedence
}

// Close closes the idle connections, and those in use when they are put back.
// Attempts in progress continue.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for p.EvictIdle() {
	}
}

func (p *Pool) discard(c *conn) {
	c.Close()
	c.timer.close()
	p.slots.Release(1)
}

// Sweep closes connections that have been idle for too long. It has to be called
// regularly: otherwise connections to removed endpoints would never be closed.
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
		if c := list[0]; time.Since(c.idleSince) >= p.maxIdle {
			p.setIdle(e, list[1:])
			return c
		}
	}
	return nil
}

// OpenConns returns the number of connections that are open or being dialled.
func (p *Pool) OpenConns() int { return int(p.slots.Used()) }
