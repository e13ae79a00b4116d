package http1

import (
	"net"
	"sync"
)

// fallbackListener hands connections to net/http's server.
type fallbackListener struct {
	addr   net.Addr
	conns  chan *clientConn
	closed chan struct{}
	once   sync.Once
}

func newFallbackListener(addr net.Addr) *fallbackListener {
	return &fallbackListener{addr: addr, conns: make(chan *clientConn), closed: make(chan struct{})}
}

// offer reports false if the server accepts no more.
func (r *fallbackListener) offer(c *clientConn) bool {
	select {
	case r.conns <- c:
		return true
	case <-r.closed:
		return false
	}
}

func (r *fallbackListener) Accept() (net.Conn, error) {
	select {
	case c := <-r.conns:
		return c, nil
	case <-r.closed:
		return nil, net.ErrClosed
	}
}

func (r *fallbackListener) Close() error {
	r.once.Do(func() { close(r.closed) })
	return nil
}

func (r *fallbackListener) Addr() net.Addr { return r.addr }
