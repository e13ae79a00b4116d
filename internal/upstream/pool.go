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
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Pool keeps the connections to endpoints. It never holds more than its limit
// of them, idle ones included.
type Pool struct {
	dialer  net.Dialer
	maxIdle time.Duration
	slots   chan struct{} // one for every connection that is open or being made
	mu      sync.Mutex
	idle    map[string][]*conn // by address, the latest used last
}

// idlePart is the part of the endpoints' idle time that a connection is used
// for: they close theirs sooner than they say, and a request that crosses the
// close is lost.
const idlePart = 0.6

// NewPool makes a pool of at most limit connections. An endpoint closes one
// that was idle for so long.
func NewPool(limit int, connectTimeout, idle time.Duration) *Pool {
	return &Pool{
		dialer:  net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		maxIdle: time.Duration(float64(idle) * idlePart),
		slots:   make(chan struct{}, limit),
		idle:    map[string][]*conn{},
	}
}

// maxHead bounds an answer's head, those of 1xx answers before it included.
const maxHead = 1 << 20

// conn is a connection to an endpoint.
type conn struct {
	*net.TCPConn
	addr   string
	limit  io.LimitedReader // between the socket and r: bounds a head
	r      *bufio.Reader
	rested time.Time // idle since; zero: new
	whole  bool      // the latest answer came whole and lets the connection stand
}

var errNoSlot = errors.New("all upstream connections are in use")

// get takes an idle connection to addr that is still good, or makes one.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for c := p.pop(addr); c != nil; c = p.pop(addr) {
		if time.Since(c.rested) < p.maxIdle && c.quiet() {
			return c, nil
		}
		p.discard(c)
	}
	if err := p.reserve(ctx); err != nil {
		return nil, err
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		<-p.slots
		return nil, err
	}
	c := &conn{TCPConn: nc.(*net.TCPConn), addr: addr}
	c.limit.R = c.TCPConn
	c.r = bufio.NewReader(&c.limit)
	return c, nil
}

// reserve makes room for one more connection, at the cost of the one idle
// longest where need be. With all in use it waits no longer than a connection
// may take to come up: nothing was sent, so giving up then is harmless.
func (p *Pool) reserve(ctx context.Context) error {
	select {
	case p.slots <- struct{}{}:
		return nil
	default:
	}
	if c := p.popOldest(); c != nil {
		p.discard(c)
	}
	wait := time.NewTimer(p.dialer.Timeout)
	defer wait.Stop()
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-wait.C:
		return errNoSlot
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.setIdle(addr, list[:len(list)-1])
	return c
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
		p.setIdle(oldest.addr, p.idle[oldest.addr][1:])
	}
	return oldest
}

func (p *Pool) setIdle(addr string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = list
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	c.SetDeadline(time.Time{})
	c.rested = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

func (p *Pool) discard(c *conn) {
	c.Close()
	<-p.slots
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
	for addr, list := range p.idle {
		if c := list[0]; time.Since(c.rested) >= p.maxIdle {
			p.setIdle(addr, list[1:])
			return c
		}
	}
	return nil
}

// Open counts the connections that are open or being made.
func (p *Pool) Open() int { return len(p.slots) }

// quiet reports whether an idle connection is open with nothing to read. It
// guards against endpoints that close early, or send what nobody asked for:
// that would be taken for the answer to the next request.
func (c *conn) quiet() bool {
	raw, err := c.SyscallConn()
	if err != nil || c.r.Buffered() > 0 {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
