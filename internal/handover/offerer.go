package handover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/unixsocket"
)

// Host is the process that hands over. Its methods are called one at a time.
type Host interface {
	// Offer is called when a successor asks: it returns the state, the listener's
	// descriptor, which is closed once it is passed, and the part of the limits
	// that each of the two has from then on. It must not tell the successor
	// anything.
	Offer() (s *State, part float64, listener *os.File, err error)
	SuccessorReady()                                 // and takes all that is new
	SuccessorShareChanged(part float64, handed bool) // of the limits, by its own word
	SuccessorKey(k Key)                              // that is to be sent there; called beside the others, and must not wait
	SuccessorEnded()
}

// Offerer waits for a successor at a path.
type Offerer struct {
	path, name, listen string
	host               Host
	ctx                context.Context
	going              *sync.WaitGroup // of its goroutines, which end with ctx

	asked atomic.Bool // there is a successor, or was

	mu        sync.Mutex
	listener  *net.UnixListener
	successor *peer // nil: none
	keeps     bool  // it says when a key is on its disk
	numbers   uint64
	unkept    map[uint64]chan error // keys that it has not said that of, by number; each takes one word
}

// NewOfferer makes the offer of a process; Offer begins it.
func NewOfferer(path, name, listen string, h Host) *Offerer {
	return &Offerer{path: path, name: name, listen: listen, host: h, unkept: map[uint64]chan error{}}
}

// Offer takes the path over, whoever had it, and waits there for successors
// until ctx ends. It returns at once; going counts its goroutines.
func (o *Offerer) Offer(ctx context.Context, going *sync.WaitGroup) error {
	o.ctx, o.going = ctx, going
	return o.open()
}

// open takes the path.
func (o *Offerer) open() error {
	l, err := unixsocket.Listen(o.path)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	o.mu.Lock()
	o.listener = l
	o.mu.Unlock()
	o.going.Go(func() {
		stop := context.AfterFunc(o.ctx, func() { l.Close() })
		defer stop()
		o.accept(l)
	})
	return nil
}

func (o *Offerer) accept(l *net.UnixListener) {
	for {
		c, err := l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(busyPause)
			continue
		}
		p, err := newPeer(c)
		if err == nil {
			err = o.greet(p)
		}
		if err != nil {
			slog.Warn("handover: a process asked and was given nothing", "error", err)
			c.Close()
		}
	}
}

// greet hears a process that asks, and hands over. Only one is there at a time.
func (o *Offerer) greet(p *peer) error {
	p.conn.SetReadDeadline(time.Now().Add(patience))
	r, err := p.receive()
	if err != nil {
		return err
	}
	if r.Kind != KindHello || r.Listen != o.listen || r.Name != o.name {
		return fmt.Errorf("handover: %s of %.60q at %.60q: it is not for this sidecar", r.Kind, r.Name, r.Listen)
	}
	o.mu.Lock()
	taken := o.successor != nil
	if !taken {
		p.in.onKey(o.key)
		o.successor, o.keeps = p, r.Keeps
		o.asked.Store(true)
	}
	o.mu.Unlock()
	if taken {
		p.send(&Record{Kind: KindBusy}, nil, patience)
		return errBusy
	}
	if err := o.give(p); err != nil {
		o.ended(p)
		return err
	}
	p.conn.SetReadDeadline(time.Time{})
	o.going.Go(func() {
		stop := context.AfterFunc(o.ctx, func() { p.conn.Close() })
		defer stop()
		o.follow(p)
	})
	return nil
}

// give hands over. What is told meanwhile waits until the state is out: it is
// newer than that.
func (o *Offerer) give(p *peer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, part, file, err := o.host.Offer()
	if err != nil {
		return err
	}
	defer file.Close()
	return p.sendLocked(&Record{Kind: KindState, Part: part, State: state}, file, patience)
}

// follow hears a successor until it ends.
func (o *Offerer) follow(p *peer) {
	for r := range p.in.follow() {
		switch r.Kind {
		case KindServing:
			o.host.SuccessorReady()
			p.send(&Record{Kind: KindServing}, nil, relayPatience) // one that has ended shows in what is read
		case KindPart:
			o.host.SuccessorShareChanged(r.Part, r.Handed)
		}
	}
	p.conn.Close()
	o.ended(p)
}

// key takes what a successor tells of a key.
func (o *Offerer) key(r *Record) {
	if r.Kind == KindKept {
		o.kept(r)
	} else {
		o.host.SuccessorKey(*r.Key)
	}
}

// ended notes that the successor has ended. It had taken the path over: another
// one finds this process again.
func (o *Offerer) ended(p *peer) {
	o.mu.Lock()
	o.successor = nil
	for _, word := range o.unkept {
		word <- ErrNotPersisted
	}
	clear(o.unkept)
	before := o.listener
	o.mu.Unlock()
	defer o.host.SuccessorEnded()
	if o.ctx.Err() != nil {
		return
	}
	if err := o.open(); err != nil {
		slog.Warn("handover: no further process can ask this one", "error", err)
		return
	}
	before.Close() // only now: there is no moment at which nobody is there
}

// SendMembers relays what discovery told to the successor, if there is one. One that
// does not read is taken for ended.
func (o *Offerer) SendMembers(m Members) { o.tell(&Record{Kind: KindMembers, Members: &m}) }

// SendKey tells the successor, if there is one, of a keyed request that is to be sent. When it
// returns the note is where the successor's CatchUp finds it; on an error that is not so.
func (o *Offerer) SendKey(k Key) error {
	if p := o.peer(); p != nil {
		return p.tellKey(k)
	}
	return nil
}

// CatchUp has all handled that the successor, if there is one, has told of keys by now.
func (o *Offerer) CatchUp() error {
	if p := o.peer(); p != nil {
		return p.in.catchUp()
	}
	return nil
}

var (
	// ErrNoPersistence tells that the successor does not say when a key is on its disk: it is
	// of an earlier version, or keeps none.
	ErrNoPersistence = errors.New("handover: the successor does not say what it keeps")
	// ErrNotPersisted tells that a key is not on the successor's disk.
	ErrNotPersisted = errors.New("handover: the successor has not kept it")
)

// mostUnkept bounds the keys whose being kept is waited for.
const mostUnkept = 1024

// PersistKey has the successor keep the note of a keyed request, and waits until it says
// that it is on its disk.
func (o *Offerer) PersistKey(ctx context.Context, k Key) error {
	p, number, word, err := o.await()
	if err != nil {
		return err
	}
	if p.send(&Record{Kind: KindKey, Key: &k, Number: number}, nil, relayPatience) != nil {
		p.close() // follow notes it
	}
	select {
	case err := <-word:
		return err
	case <-ctx.Done():
		o.mu.Lock()
		delete(o.unkept, number)
		o.mu.Unlock()
		return context.Cause(ctx) // it may be kept yet: that does no harm
	}
}

// await takes a number for a key, and what its word comes by.
func (o *Offerer) await() (p *peer, number uint64, word chan error, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.successor == nil || len(o.unkept) >= mostUnkept:
		return nil, 0, nil, ErrNotPersisted
	case !o.keeps:
		return nil, 0, nil, ErrNoPersistence
	}
	o.numbers++
	word = make(chan error, 1)
	o.unkept[o.numbers] = word
	return o.successor, o.numbers, word, nil
}

// kept takes a successor's word on a key. One that nobody waits for is no matter.
func (o *Offerer) kept(r *Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	word := o.unkept[r.Number]
	if word == nil {
		return
	}
	delete(o.unkept, r.Number)
	if r.Failed {
		word <- ErrNotPersisted
	} else {
		word <- nil
	}
}

// HadSuccessor reports whether there is a successor, or was.
func (o *Offerer) HadSuccessor() bool { return o.asked.Load() }

// HasSuccessor reports whether there is one.
func (o *Offerer) HasSuccessor() bool { return o.peer() != nil }

// peer is the connection to the successor; nil: there is none.
func (o *Offerer) peer() *peer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.successor
}

// SendShare tells the successor this process's part.
func (o *Offerer) SendShare(part float64) { o.tell(&Record{Kind: KindPart, Part: part}) }

func (o *Offerer) tell(r *Record) {
	if p := o.peer(); p != nil && p.send(r, nil, relayPatience) != nil {
		p.close() // follow notes it
	}
}
