// Package links has paths between processes of a fleet that fail: each leads one way, from
// one process to another, by UDP and TCP at one address. Datagrams are a lab.Relay's.
package links

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"spokegw/internal/lab"
)

// Fault is what is wrong with a link. The zero value is none.
type Fault struct {
	Cut       bool    // nothing passes, and nobody is told
	Drop      float64 // part of the datagrams
	Duplicate float64
	Delay     time.Duration // of all, and
	Jitter    time.Duration // up to so much more: datagrams overtake one another
}

// plan is the same for the datagrams.
func (f Fault) plan(seed uint64) lab.Plan {
	p := lab.Plan{Seed: seed, Drop: f.Drop, Duplicate: f.Duplicate, Delay: f.Delay, Jitter: f.Jitter}
	if f.Cut {
		p.Drop = 1
	}
	return p
}

// Link is one path.
type Link struct {
	udp   *lab.Relay
	tcp   net.Listener
	to    string
	seed  uint64
	going sync.WaitGroup

	mu      sync.Mutex
	fault   Fault
	streams map[net.Conn]bool // as many as memberlist opens
	closed  bool
}

// Start starts a link to an address.
func Start(to string, seed uint64) (*Link, error) {
	const tries = 20 // the port that is free for datagrams may be taken for streams
	var err error
	for range tries {
		l := &Link{to: to, seed: seed, streams: map[net.Conn]bool{}}
		if l.udp, err = lab.StartRelay(to, Fault{}.plan(seed)); err != nil {
			break
		}
		if l.tcp, err = net.Listen("tcp", l.udp.Addr()); err == nil {
			l.going.Go(l.accept)
			return l, nil
		}
		l.udp.Close()
	}
	return nil, fmt.Errorf("link: %w", err)
}

// Addr is where the link begins.
func (l *Link) Addr() string { return l.udp.Addr() }

// Set has the link fail in some way from now on. A cut also ends its streams.
func (l *Link) Set(f Fault) {
	l.udp.SetPlan(f.plan(l.seed))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	if f.Cut {
		for c := range l.streams {
			c.Close()
		}
	}
}

// Carried are the datagrams that came to the link, and their bytes.
func (l *Link) Carried() (datagrams, bytes int) { return l.udp.Came(lab.ToServer) }

// Close ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for c := range l.streams {
		c.Close()
	}
	l.mu.Unlock()
	l.tcp.Close()
	l.udp.Close()
	l.going.Wait()
}

func (l *Link) accept() {
	for {
		c, err := l.tcp.Accept()
		if err != nil {
			return
		}
		l.going.Go(func() { l.stream(c) })
	}
}

// stream carries a stream both ways. On a link that is cut it says nothing.
func (l *Link) stream(c net.Conn) {
	defer c.Close()
	if !l.hold(c) {
		return
	}
	defer l.release(c)
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	if fault.Cut {
		io.Copy(io.Discard, c) // until its sender gives up
		return
	}
	time.Sleep(fault.Delay)
	s, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		return
	}
	defer s.Close()
	if !l.hold(s) {
		return
	}
	defer l.release(s)
	back := make(chan struct{})
	go func() { // it ends with either side
		defer close(back)
		io.Copy(c, s)
		c.Close()
	}()
	io.Copy(s, c)
	s.Close()
	<-back
}

func (l *Link) hold(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.streams[c] = true
	return true
}

func (l *Link) release(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, c)
}
