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

// Host is the process that hands over. Its methods are called one at a time, except SuccessorKey.
type Host interface {
	// Offer is called when a successor requests the handover. It returns the state, the listener's
	// descriptor, which is closed once it is sent, and the share of the limits that each of the two
	// processes has from then on. It must not send anything to the successor.
	Offer() (s *State, share float64, listener *os.File, err error)
	SuccessorReady()                                        // the successor serves, and takes all new work
	SuccessorShareChanged(share float64, hasSuccessor bool) // the share that the successor reports, and whether it has a successor itself
	SuccessorKey(k Key)                                     // the successor is about to send this keyed request; called concurrently with the other methods, must not block
	SuccessorID(hash uint64)                                // the successor is about to send a request with this id; called as SuccessorKey
	SuccessorEnded()
}

// Offerer accepts successors at a path and hands over to them.
type Offerer struct {
	path, name, listen string
	host               Host
	ctx                context.Context
	running            *sync.WaitGroup // counts its goroutines, which end with ctx

	hadSuccessor atomic.Bool // there is or was a successor

	mu           sync.Mutex
	listener     *net.UnixListener
	successor    *peer // nil: none
	confirmsKeys bool  // the successor confirms when a key is on its disk
	lastNumber   uint64
	pendingKeys  map[uint64]chan error // keys that the successor has not confirmed, by number; each channel receives one result
}

// NewOfferer creates an Offerer; its method Offer starts it.
func NewOfferer(path, name, listen string, h Host) *Offerer {
	return &Offerer{path: path, name: name, listen: listen, host: h, pendingKeys: map[uint64]chan error{}}
}

// Offer replaces whatever socket is at the path and accepts successors there until ctx ends. It
// returns at once; running counts its goroutines.
func (o *Offerer) Offer(ctx context.Context, running *sync.WaitGroup) error {
	o.ctx, o.running = ctx, running
	return o.listenAtPath()
}

// listenAtPath opens the socket at the path and starts accepting.
func (o *Offerer) listenAtPath() error {
	l, err := unixsocket.Listen(o.path)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	o.mu.Lock()
	o.listener = l
	o.mu.Unlock()
	o.running.Go(func() {
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
			time.Sleep(busyRetryInterval)
			continue
		}
		p, err := newPeer(c)
		if err == nil {
			err = o.handleHello(p)
		}
		if err != nil {
			slog.Warn("handover: refused a request to hand over", "error", err)
			c.Close()
		}
	}
}

// handleHello reads a process's hello and hands over to it. There is at most one successor at a
// time.
func (o *Offerer) handleHello(p *peer) error {
	p.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	r, err := p.receive()
	if err != nil {
		return err
	}
	if r.Kind != KindHello || r.Listen != o.listen || r.Name != o.name {
		return fmt.Errorf("handover: %s of %.60q at %.60q: the request is for another sidecar", r.Kind, r.Name, r.Listen)
	}
	o.mu.Lock()
	busy := o.successor != nil
	if !busy {
		p.inbox.setKeyHandler(o.handleKeyRecord)
		p.takesIDs = r.TakesIDs
		o.successor, o.confirmsKeys = p, r.Keeps
		o.hadSuccessor.Store(true)
	}
	o.mu.Unlock()
	if busy {
		p.send(&Record{Kind: KindBusy}, nil, stepTimeout)
		return errBusy
	}
	if err := o.sendState(p); err != nil {
		o.successorEnded(p)
		return err
	}
	p.conn.SetReadDeadline(time.Time{})
	o.running.Go(func() {
		stop := context.AfterFunc(o.ctx, func() { p.conn.Close() })
		defer stop()
		o.follow(p)
	})
	return nil
}

// sendState sends the state. It holds the write lock from before the state is collected, so that
// any other record is written after it: such a record is newer than the state.
func (o *Offerer) sendState(p *peer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, share, file, err := o.host.Offer()
	if err != nil {
		return err
	}
	defer file.Close()
	return p.sendLocked(&Record{Kind: KindState, Part: share, State: state, TakesIDs: true}, file, stepTimeout)
}

// follow handles the records of a successor until it ends.
func (o *Offerer) follow(p *peer) {
	for r := range p.inbox.follow() {
		switch r.Kind {
		case KindServing:
			o.host.SuccessorReady()
			p.send(&Record{Kind: KindServing}, nil, relayTimeout) // if the successor has ended, reading fails too
		case KindShare:
			o.host.SuccessorShareChanged(r.Part, r.Handed)
		}
	}
	p.conn.Close()
	o.successorEnded(p)
}

// handleKeyRecord handles a record on a key or an id.
func (o *Offerer) handleKeyRecord(r *Record) {
	switch r.Kind {
	case KindConfirmation:
		o.handleConfirmation(r)
	case KindID:
		o.host.SuccessorID(r.ID)
	default:
		o.host.SuccessorKey(*r.Key)
	}
}

// successorEnded records that the successor has ended. The successor had replaced the socket at the
// path, so this process opens it again for the next one.
func (o *Offerer) successorEnded(p *peer) {
	o.mu.Lock()
	o.successor = nil
	for _, result := range o.pendingKeys {
		result <- ErrNotPersisted
	}
	clear(o.pendingKeys)
	previous := o.listener
	o.mu.Unlock()
	defer o.host.SuccessorEnded()
	if o.ctx.Err() != nil {
		return
	}
	if err := o.listenAtPath(); err != nil {
		slog.Warn("handover: can't accept another successor", "error", err)
		return
	}
	previous.Close() // closed only after the new one is open, so that a process listens at every moment
}

// SendMembers relays a discovery update to the successor, if there is one. A successor that does
// not read is treated as ended.
func (o *Offerer) SendMembers(m Members) { o.send(&Record{Kind: KindMembers, Members: &m}) }

// SendKey sends the successor, if there is one, the note of a keyed request that is about to be
// sent to an endpoint. When it returns nil, the note is where the successor's CatchUp finds it;
// after an error it may not be.
func (o *Offerer) SendKey(k Key) error {
	if p := o.peer(); p != nil {
		return p.sendKey(k)
	}
	return nil
}

// SendID is SendKey for the hash of the id of a request.
func (o *Offerer) SendID(hash uint64) error {
	if p := o.peer(); p != nil {
		return p.sendID(hash)
	}
	return nil
}

// CatchUp handles all records on keys and ids that the successor, if there is one, has sent by now.
func (o *Offerer) CatchUp() error {
	if p := o.peer(); p != nil {
		return p.inbox.catchUp()
	}
	return nil
}

var (
	// ErrNoPersistence reports that the successor does not confirm when a key is on its disk: it is
	// an earlier version, or does not persist keys.
	ErrNoPersistence = errors.New("handover: the successor does not confirm that keys are on its disk")
	// ErrNotPersisted reports that a key is not confirmed to be on the successor's disk.
	ErrNotPersisted = errors.New("handover: the successor has not confirmed that the key is on its disk")
)

// maxPendingKeys bounds the keys that wait for the successor's confirmation.
const maxPendingKeys = 1024

// PersistKey has the successor persist the note of a keyed request, and waits until the successor
// confirms that it is on its disk.
func (o *Offerer) PersistKey(ctx context.Context, k Key) error {
	p, number, result, err := o.registerKey()
	if err != nil {
		return err
	}
	if p.send(&Record{Kind: KindKey, Key: &k, Number: number}, nil, relayTimeout) != nil {
		p.close() // follow sees the closed connection
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		o.mu.Lock()
		delete(o.pendingKeys, number)
		o.mu.Unlock()
		return context.Cause(ctx) // the successor may still persist the key, which is harmless
	}
}

// registerKey assigns a number to a key and creates the channel for its result.
func (o *Offerer) registerKey() (p *peer, number uint64, result chan error, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.successor == nil || len(o.pendingKeys) >= maxPendingKeys:
		return nil, 0, nil, ErrNotPersisted
	case !o.confirmsKeys:
		return nil, 0, nil, ErrNoPersistence
	}
	o.lastNumber++
	result = make(chan error, 1)
	o.pendingKeys[o.lastNumber] = result
	return o.successor, o.lastNumber, result, nil
}

// handleConfirmation handles the successor's confirmation of a key. One that nobody waits for is
// ignored.
func (o *Offerer) handleConfirmation(r *Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	result := o.pendingKeys[r.Number]
	if result == nil {
		return
	}
	delete(o.pendingKeys, r.Number)
	if r.Failed {
		result <- ErrNotPersisted
	} else {
		result <- nil
	}
}

// HadSuccessor reports whether there is or was a successor.
func (o *Offerer) HadSuccessor() bool { return o.hadSuccessor.Load() }

// HasSuccessor reports whether there is a successor.
func (o *Offerer) HasSuccessor() bool { return o.peer() != nil }

// peer returns the connection to the successor; nil: there is none.
func (o *Offerer) peer() *peer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.successor
}

// SendShare sends this process's share to the successor.
func (o *Offerer) SendShare(share float64) { o.send(&Record{Kind: KindShare, Part: share}) }

func (o *Offerer) send(r *Record) {
	if p := o.peer(); p != nil && p.send(r, nil, relayTimeout) != nil {
		p.close() // follow sees the closed connection
	}
}
