package fleet

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxPacket   = 64 << 10 // bytes; memberlist's own packets have about 1,400
	packetQueue = 256
	streamQueue = 16
)

// transport carries memberlist's packets and streams. A peer is always reached at the address
// that the operator's file has for its name, whatever address other gateways announce. So a
// gateway may have a different address for each of the others, and no message can make this
// process send anywhere else.
type transport struct {
	udp     *net.UDPConn
	tcp     *net.TCPListener
	address func(name string) (string, bool) // from the operator's file
	packets chan *memberlist.Packet
	streams chan net.Conn
	dropped atomic.Uint64 // packets that arrived at a full queue
	closing chan struct{}
	once    sync.Once
	wg      sync.WaitGroup
}

// newTransport opens the address for both protocols on the same port.
func newTransport(listen string, address func(name string) (string, bool)) (*transport, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	addr := l.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port})
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	t := &transport{
		udp: udp, tcp: l.(*net.TCPListener), address: address,
		packets: make(chan *memberlist.Packet, packetQueue), streams: make(chan net.Conn, streamQueue), closing: make(chan struct{}),
	}
	t.wg.Go(t.receive)
	t.wg.Go(t.accept)
	return t, nil
}

func (t *transport) receive() {
	for b := make([]byte, maxPacket); ; {
		n, from, err := t.udp.ReadFrom(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			t.backOff()
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), b[:n]...), From: from, Timestamp: time.Now()}
		select {
		case t.packets <- p:
		default:
			t.dropped.Add(1)
		}
	}
}

func (t *transport) accept() {
	for {
		c, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.backOff()
			continue
		}
		select {
		case t.streams <- c:
		default:
			c.Close()
		}
	}
}

// backOff waits after a possibly temporary error, such as too many open files.
func (t *transport) backOff() {
	select {
	case <-time.After(5 * time.Millisecond):
	case <-t.closing:
	}
}

// FinalAdvertiseAddr returns the address that this process listens on.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	addr := t.tcp.Addr().(*net.TCPAddr)
	return addr.IP, addr.Port, nil
}

var errNoPeer = errors.New("fleet: no gateway of that name in the operator's file")

// WriteTo is unsupported: it has no peer name.
func (t *transport) WriteTo([]byte, string) (time.Time, error) { return time.Time{}, errNoPeer }

// DialTimeout is unsupported: it has no peer name.
func (t *transport) DialTimeout(string, time.Duration) (net.Conn, error) { return nil, errNoPeer }

// WriteToAddress sends a packet to a peer.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	addr, known := t.address(a.Name)
	if !known {
		return time.Time{}, errNoPeer
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return time.Time{}, err
	}
	_, err = t.udp.WriteTo(b, to)
	return time.Now(), err
}

// DialAddressTimeout opens a stream to a peer.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	addr, known := t.address(a.Name)
	if !known {
		return nil, errNoPeer
	}
	return net.DialTimeout("tcp", addr, timeout)
}

// PacketCh and StreamCh return received packets and accepted streams.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

// Shutdown closes the transport and waits for its goroutines.
func (t *transport) Shutdown() error {
	var err error
	t.once.Do(func() {
		close(t.closing)
		err = errors.Join(t.udp.Close(), t.tcp.Close())
		t.wg.Wait()
	})
	return err
}
