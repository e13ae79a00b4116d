package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Relay is a scripted path for UDP between clients and one server: it drops,
// delays, duplicates and spoils datagrams by a seeded plan, and moves clients to
// another address. Each client has a socket of the relay's towards the server,
// so that moving it is to give it another one.
type Relay struct {
	listener *net.UDPConn
	server   *net.UDPAddr
	plan     Plan

	mu      sync.Mutex
	rng     *rand.Rand
	clients map[string]*leg // at most maxLegs
	n       map[Direction]int
	bytes   map[Direction]int
	passed  chan struct{} // told of datagrams
	closed  bool
	ended   sync.WaitGroup
}

// Direction is that of a datagram.
type Direction int

const (
	ToServer Direction = iota
	ToClient
)

// Plan is what happens to datagrams. Parts are of all, from 0 to 1.
type Plan struct {
	Seed      uint64
	Drop      float64
	Deaf      bool // nothing reaches clients
	DropEvery int  // every n-th datagram of a direction is lost; 0: none
	Duplicate float64
	Spoil     float64 // one byte is changed
	Delay     time.Duration
	Jitter    time.Duration // of the delay: datagrams overtake one another

	Tap func(Direction, []byte) // sees each datagram that comes
}

// leg is a client's path.
type leg struct {
	client *net.UDPAddr
	out    *net.UDPConn // towards the server
}

const (
	maxLegs     = 1024
	maxDatagram = 2 << 10 // bytes
)

// StartRelay starts a relay to a server on the loopback.
func StartRelay(server string, plan Plan) (*Relay, error) {
	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	l, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{
		listener: l, server: to, plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, 7)),
		clients: map[string]*leg{}, passed: make(chan struct{}, 1), n: map[Direction]int{}, bytes: map[Direction]int{},
	}
	r.ended.Go(r.fromClients)
	return r, nil
}

// Addr is where clients send to.
func (r *Relay) Addr() string { return r.listener.LocalAddr().String() }

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.listener.Close()
	for _, l := range r.clients {
		l.out.Close()
	}
	r.mu.Unlock()
	r.ended.Wait()
}

// Move gives every client another address, as the server sees it. What is under
// way to the old one is lost.
func (r *Relay) Move() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.clients {
		old := l.out
		out, err := net.DialUDP("udp", nil, r.server)
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		l.out = out
		r.ended.Go(func() { r.fromServer(l, out) })
		old.Close()
	}
	return nil
}

// Redirect sends what clients send from now on to another server, as if it had
// taken the place of the first without a word.
func (r *Relay) Redirect(server string) error {
	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	r.mu.Lock()
	r.server = to
	r.mu.Unlock()
	return r.Move()
}

// SetPlan has other things happen to datagrams from now on. Its seed and tap are those
// of the start.
func (r *Relay) SetPlan(p Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.Seed, p.Tap = r.plan.Seed, r.plan.Tap
	r.plan = p
}

// Bytes is how many bytes have come in a direction, whatever became of them.
func (r *Relay) Bytes(d Direction) int {
	_, bytes := r.Came(d)
	return bytes
}

// Came is how many datagrams have come in a direction, and their bytes.
func (r *Relay) Came(d Direction) (datagrams, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n[d], r.bytes[d]
}

// AwaitQuiet waits until nothing has come in any direction for a time.
func (r *Relay) AwaitQuiet(ctx context.Context, span time.Duration) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.passed:
		case <-time.After(span):
			return nil
		}
	}
}

func (r *Relay) fromClients() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.listener.ReadFromUDP(buf)
		if err != nil {
			return
		}
		l := r.leg(from)
		if l == nil {
			continue
		}
		r.pass(ToServer, buf[:n], func(text []byte) {
			r.mu.Lock()
			out := l.out
			r.mu.Unlock()
			out.Write(text)
		})
	}
}

// leg is the path of a client, made where it is new; nil where there are too
// many.
func (r *Relay) leg(from *net.UDPAddr) *leg {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.clients[from.String()]; l != nil || r.closed || len(r.clients) >= maxLegs {
		return l
	}
	out, err := net.DialUDP("udp", nil, r.server)
	if err != nil {
		return nil
	}
	l := &leg{client: from, out: out}
	r.clients[from.String()] = l
	r.ended.Go(func() { r.fromServer(l, out) })
	return l
}

func (r *Relay) fromServer(l *leg, out *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := out.Read(buf)
		if err != nil {
			return
		}
		r.pass(ToClient, buf[:n], func(text []byte) { r.listener.WriteToUDP(text, l.client) })
	}
}

// pass does with a datagram as planned.
func (r *Relay) pass(d Direction, text []byte, send func([]byte)) {
	r.mu.Lock()
	tap := r.plan.Tap
	r.mu.Unlock()
	if tap != nil {
		tap(d, text)
	}
	r.mu.Lock()
	r.n[d]++
	r.bytes[d] += len(text)
	select {
	case r.passed <- struct{}{}:
	default:
	}
	p := &r.plan
	lost := r.rng.Float64() < p.Drop || d == ToClient && p.Deaf || p.DropEvery > 0 && r.n[d]%p.DropEvery == 0
	copies := 1
	if r.rng.Float64() < p.Duplicate {
		copies = 2
	}
	text = append([]byte(nil), text...)
	if r.rng.Float64() < p.Spoil && len(text) > 0 {
		text[r.rng.IntN(len(text))] ^= byte(1 + r.rng.IntN(255))
	}
	delay := p.Delay
	if p.Jitter > 0 {
		delay += time.Duration(r.rng.Int64N(int64(p.Jitter)))
	}
	r.mu.Unlock()
	if lost {
		return
	}
	for range copies {
		if delay == 0 {
			send(text)
			continue
		}
		r.ended.Add(1)
		time.AfterFunc(delay, func() {
			defer r.ended.Done()
			send(text)
		})
	}
}
