// Package links has paths between processes of a fleet that fail: each leads one way, from
// one process to another, by UDP and TCP at one address, and drops, delays, repeats, turns
// round and cuts what it carries.
package links

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is what is wrong with a link. The zero value is none.
type Fault struct {
	Cut       bool    // nothing passes, and nobody is told
	Drop      float64 // part of the datagrams
	Duplicate float64
	Delay     time.Duration // of all, and
	Jitter    time.Duration // up to so much more: datagrams overtake one another
}

// mostFlying bounds the datagrams that a link holds.
const mostFlying = 4096

// Link is one path.
type Link struct {
	udp   *net.UDPConn
	tcp   net.Listener
	to    *net.UDPAddr
	going sync.WaitGroup

	mu      sync.Mutex
	r       *rand.Rand
	fault   Fault
	flying  int
	streams map[net.Conn]bool
	closed  bool
	carried int // datagrams
	bytes   int
}

// Start starts a link to an address.
func Start(to string, seed uint64) (*Link, error) {
	at, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: tcp.Addr().(*net.TCPAddr).Port})
	if err != nil {
		tcp.Close()
		return nil, fmt.Errorf("link: %w", err)
	}
	l := &Link{udp: udp, tcp: tcp, to: at, r: rand.New(rand.NewPCG(seed, 11)), streams: map[net.Conn]bool{}}
	l.going.Go(l.datagrams)
	l.going.Go(l.accept)
	return l, nil
}

// Addr is where the link begins.
func (l *Link) Addr() string { return l.tcp.Addr().String() }

// Set has the link fail in some way from now on. A cut also resets its streams.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	if f.Cut {
		for c := range l.streams {
			c.Close()
		}
	}
}

// Carried are the datagrams that the link has carried, and their bytes.
func (l *Link) Carried() (datagrams, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried, l.bytes
}

// Close ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for c := range l.streams {
		c.Close()
	}
	l.mu.Unlock()
	l.udp.Close()
	l.tcp.Close()
	l.going.Wait()
}

func (l *Link) datagrams() {
	for b := make([]byte, 64<<10); ; {
		n, _, err := l.udp.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			l.carry(append([]byte(nil), b[:n]...))
		}
	}
}

func (l *Link) carry(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.fault
	if f.Cut || l.r.Float64() < f.Drop {
		return
	}
	for n := 1; n == 1 || n == 2 && l.r.Float64() < f.Duplicate; n++ {
		if l.flying >= mostFlying {
			return
		}
		d := f.Delay
		if f.Jitter > 0 {
			d += time.Duration(l.r.Int64N(int64(f.Jitter)))
		}
		l.carried, l.bytes = l.carried+1, l.bytes+len(b)
		if d == 0 {
			l.udp.WriteTo(b, l.to) // what is lost is lost
			continue
		}
		l.flying++
		time.AfterFunc(d, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.flying--; !l.closed && !l.fault.Cut {
				l.udp.WriteTo(b, l.to)
			}
		})
	}
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
	cut, d := l.fault.Cut, l.fault.Delay
	l.mu.Unlock()
	if cut {
		io.Copy(io.Discard, c) // until its sender gives up
		return
	}
	time.Sleep(d)
	s, err := net.DialTimeout("tcp", l.to.String(), time.Second)
	if err != nil {
		return
	}
	defer s.Close()
	if !l.hold(s) {
		return
	}
	defer l.release(s)
	back := make(chan struct{})
	go func() {
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
