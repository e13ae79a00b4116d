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
	maxPacket   = 64 << 10 // bytes; memberlist's own are some 1,400
	packetQueue = 256
	streamQueue = 16
)

// transport carries memberlist's packets and streams. A peer is reached at the address
// that the operator's file gives for its name, whatever address is told of it: so a
// gateway may be behind another address for each of the others, and no message makes
// this one send anywhere else.
type transport struct {
	udp     *net.UDPConn
	tcp     *net.TCPListener
	address func(name string) (string, bool) // that the operator's file gives
	packets chan *memberlist.Packet
	streams chan net.Conn
	dropped atomic.Uint64 // packets for which there was no room
	closing chan struct{}
	once    sync.Once
	going   sync.WaitGroup
}

// newTransport opens the address, with both protocols on one port.
func newTransport(listen string, address func(name string) (string, bool)) (*transport, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	at := l.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	t := &transport{
		udp: udp, tcp: l.(*net.TCPListener), address: address,
		packets: make(chan *memberlist.Packet, packetQueue), streams: make(chan net.Conn, streamQueue), closing: make(chan struct{}),
	}
	t.going.Go(t.receive)
	t.going.Go(t.accept)
	return t, nil
}

func (t *transport) receive() {
	for b := make([]byte, maxPacket); ; {
		n, from, err := t.udp.ReadFrom(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			t.rest()
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
			t.rest()
			continue
		}
		select {
		case t.streams <- c:
		default:
			c.Close()
		}
	}
}

// rest waits after an error, such as a want of descriptors, that may pass.
func (t *transport) rest() {
	select {
	case <-time.After(5 * time.Millisecond):
	case <-t.closing:
	}
}

// FinalAdvertiseAddr tells the address that this process listens at.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	at := t.tcp.Addr().(*net.TCPAddr)
	return at.IP, at.Port, nil
}

var errNoPeer = errors.New("fleet: no gateway of that name is in the operator's file")

// WriteTo is for transports that know no names.
func (t *transport) WriteTo([]byte, string) (time.Time, error) { return time.Time{}, errNoPeer }

// DialTimeout is for transports that know no names.
func (t *transport) DialTimeout(string, time.Duration) (net.Conn, error) { return nil, errNoPeer }

// WriteToAddress sends a packet to a peer.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	at, known := t.address(a.Name)
	if !known {
		return time.Time{}, errNoPeer
	}
	to, err := net.ResolveUDPAddr("udp", at)
	if err != nil {
		return time.Time{}, err
	}
	_, err = t.udp.WriteTo(b, to)
	return time.Now(), err
}

// DialAddressTimeout opens a stream to a peer.
func (t *transport) DialAddressTimeout(a memberlist.Address, patience time.Duration) (net.Conn, error) {
	at, known := t.address(a.Name)
	if !known {
		return nil, errNoPeer
	}
	return net.DialTimeout("tcp", at, patience)
}

// PacketCh and StreamCh are what comes.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

// Shutdown ends the transport and its goroutines.
func (t *transport) Shutdown() error {
	var err error
	t.once.Do(func() {
		close(t.closing)
		err = errors.Join(t.udp.Close(), t.tcp.Close())
		t.going.Wait()
	})
	return err
}
