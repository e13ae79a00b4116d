package lab

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy carries TCP connections to a server, with the faults that are set.
type Proxy struct {
	listener net.Listener
	server   string

	mu     sync.Mutex
	faults ProxyFaults
	conns  map[net.Conn]bool    // open ones, of both sides
	asked  map[string]time.Time // when the first byte of the latest request came, by the address that the server sees
	closed bool
	ended  sync.WaitGroup
}

// ProxyFaults are those of the connections of a proxy. They hold for open connections too,
// but for Refuse and Late.
type ProxyFaults struct {
	Refuse             bool          // new connections are reset
	Late               time.Duration // nothing of a new connection is carried for so long
	ToServer, ToClient DirectionFault
}

// DirectionFault is what happens to the bytes of one direction.
type DirectionFault struct {
	Silent  bool          // they are not carried, and the connection stays open
	Delay   time.Duration // before each piece
	Trickle bool          // they are carried one by one, a millisecond apart
	Cut     bool          // half of the next piece is carried, and the connection reset
	Half    bool          // the direction is closed after the next piece
}

const (
	proxyPiece = 16 << 10
	maxProxied = 2048 // connections
	silentPoll = 10 * time.Millisecond
)

// StartProxy starts a proxy to a server on a free port of the loopback.
func StartProxy(server string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{listener: l, server: server, conns: map[net.Conn]bool{}, asked: map[string]time.Time{}}
	p.ended.Go(p.accept)
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set sets the faults from now on.
func (p *Proxy) Set(f ProxyFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Move has the proxy carry to another server from now on, and resets the connections that are open: at
// its address another process has come up.
func (p *Proxy) Move(server string) {
	p.mu.Lock()
	p.server = server
	p.mu.Unlock()
	p.ResetAll()
}

// ResetAll resets the connections that are open.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.ResetAll()
	p.ended.Wait()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// Asked is when the first byte of the latest request came that was carried to the server
// on the connection that it sees from an address: some time may have passed since.
func (p *Proxy) Asked(from string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked[from]
}

func (p *Proxy) now() ProxyFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if f := p.now(); f.Refuse || !p.hold(c) {
			reset(c)
			continue
		}
		p.ended.Go(func() { p.carry(c) })
	}
}

// hold notes a connection; it reports false where there is no place for it.
func (p *Proxy) hold(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.conns) >= maxProxied {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) drop(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) carry(client net.Conn) {
	defer p.drop(client)
	p.mu.Lock()
	to := p.server
	p.mu.Unlock()
	server, err := net.Dial("tcp", to)
	if err != nil || !p.hold(server) {
		reset(client)
		return
	}
	defer p.drop(server)
	from, begun := server.LocalAddr().String(), false // between the two directions: guarded by mu
	defer func() {
		p.mu.Lock()
		delete(p.asked, from)
		p.mu.Unlock()
	}()
	var both sync.WaitGroup
	late := time.Now().Add(p.now().Late)
	both.Go(func() {
		p.copy(server, client, late, func(f ProxyFaults) DirectionFault { return f.ToServer }, func() {
			if !begun {
				p.asked[from], begun = time.Now(), true
			}
		})
	})
	both.Go(func() {
		p.copy(client, server, late, func(f ProxyFaults) DirectionFault { return f.ToClient }, func() { begun = false })
	})
	both.Wait()
}

// copy carries one direction until its source ends, nothing before late. came is called with mu held for each
// piece that comes.
func (p *Proxy) copy(to, from net.Conn, late time.Time, of func(ProxyFaults) DirectionFault, came func()) {
	buffer := make([]byte, proxyPiece)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.mu.Lock()
			came()
			p.mu.Unlock()
		}
		fault := of(p.now())
		for fault.Silent && !p.over(from) {
			time.Sleep(silentPoll)
			fault = of(p.now())
		}
		time.Sleep(max(fault.Delay, time.Until(late)))
		switch {
		case n > 0 && fault.Cut:
			to.Write(buffer[:n/2])
			reset(to)
			reset(from)
			return
		case fault.Trickle:
			for i := range n {
				to.Write(buffer[i : i+1])
				time.Sleep(time.Millisecond)
			}
		default:
			to.Write(buffer[:n]) // a failure shows in the next read
		}
		if fault.Half && n > 0 || err == io.EOF {
			to.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, from)
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// over reports whether a connection is not held any more.
func (p *Proxy) over(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed || !p.conns[c]
}
