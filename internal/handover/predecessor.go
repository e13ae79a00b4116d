package handover

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"spokegw/internal/unixsocket"
)

// Predecessor is the connection to the process that served before this one.
type Predecessor struct {
	peer     *peer
	State    *State
	Share    float64 // of the limits; predecessor and successor have this share each
	Listener *net.TCPListener

	handleID     func(hash uint64) // of requests that the predecessor is about to send; nil: they are not needed
	acknowledged chan struct{}     // closed when the predecessor has acknowledged that this process serves
	once         sync.Once
}

// Request asks the process that serves at path to hand over. If there is none, or it does not
// answer in time, Request returns nil and the reason, and this process starts without a state.
// confirmsKeys promises a call of ConfirmKey for each key that has a number. Request takes at most
// one second.
func Request(path, name, listen string, confirmsKeys bool) (*Predecessor, error) {
	deadline := time.Now().Add(requestTimeout)
	for {
		p, err := requestOnce(path, &Record{Kind: KindHello, Name: name, Listen: listen, Keeps: confirmsKeys, TakesIDs: true}, deadline)
		if retry := errors.Is(err, errBusy) || connectionReset(err); !retry || time.Until(deadline) < 2*busyRetryInterval {
			return p, err
		}
		time.Sleep(busyRetryInterval)
	}
}

// connectionReset reports whether the listener was closed before the request on its connection was
// read. By then another process may listen at the path, so a retry can succeed.
func connectionReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func requestOnce(path string, hello *Record, deadline time.Time) (*Predecessor, error) {
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNoProcess
	}
	if err == nil && info.Mode().Type() != fs.ModeSocket {
		return nil, fmt.Errorf("handover: %s is not a socket", filepath.Base(path))
	}
	var conn net.Conn
	err = unixsocket.WithShortPath(path, func(name string) error {
		var err error
		conn, err = net.DialTimeout("unix", name, stepTimeout)
		return err
	})
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNoProcess // a killed process left the socket behind
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	p, err := exchangeHello(conn.(*net.UnixConn), hello, deadline)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return p, nil
}

func exchangeHello(conn *net.UnixConn, hello *Record, deadline time.Time) (*Predecessor, error) {
	p, err := newPeer(conn)
	if err != nil {
		return nil, err
	}
	conn.SetReadDeadline(deadline)
	if err := p.send(hello, nil, stepTimeout); err != nil {
		return nil, err
	}
	r, file, err := p.receiveFile()
	if err != nil {
		return nil, err
	}
	if file != nil {
		defer file.Close()
	}
	if r.Kind == KindBusy {
		return nil, errBusy
	}
	if r.Kind != KindState || file == nil {
		return nil, fmt.Errorf("handover: received %s, a state with a listener is expected", r.Kind)
	}
	l, err := listenerFromFile(file, hello.Listen)
	if err != nil {
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	p.takesIDs = r.TakesIDs
	return &Predecessor{peer: p, State: r.State, Share: r.Part, Listener: l, acknowledged: make(chan struct{})}, nil
}

// listenerFromFile returns the listener of a descriptor, which must be a TCP listener at the port
// that this process is to listen at.
func listenerFromFile(file *os.File, listen string) (*net.TCPListener, error) {
	wanted, err := net.ResolveTCPAddr("tcp", listen)
	if err != nil {
		return nil, err
	}
	generic, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("handover: the descriptor is not a listener: %w", err)
	}
	l, ok := generic.(*net.TCPListener)
	if !ok || l.Addr().(*net.TCPAddr).Port != wanted.Port {
		generic.Close()
		return nil, fmt.Errorf("handover: the listener is at %v, %v is expected", generic.Addr(), wanted)
	}
	return l, nil
}

// ReportServing notifies the predecessor that this process serves, and waits for the
// acknowledgement: whoever stops the predecessor after that stops a process that knows it has a
// successor. It requires Follow to be running.
func (p *Predecessor) ReportServing() error {
	if err := p.peer.send(&Record{Kind: KindServing}, nil, stepTimeout); err != nil {
		return err
	}
	timeout := time.NewTimer(stepTimeout)
	defer timeout.Stop()
	select {
	case <-p.acknowledged:
		return nil
	case <-timeout.C:
		return errors.New("handover: the predecessor did not acknowledge in time")
	}
}

// SendShare sends the predecessor this process's share, and whether this process has a successor
// that inherits it.
func (p *Predecessor) SendShare(share float64, hasSuccessor bool) {
	p.peer.send(&Record{Kind: KindShare, Part: share, Handed: hasSuccessor}, nil, stepTimeout) // an error is ignored: a predecessor that has ended needs no report
}

// ConfirmKey notifies the predecessor that the key with this number is on this process's disk, or
// that it can't be stored.
func (p *Predecessor) ConfirmKey(number uint64, ok bool) {
	p.peer.send(&Record{Kind: KindConfirmation, Number: number, Failed: !ok}, nil, stepTimeout) // an error is ignored: if the predecessor has ended, nobody waits
}

// Close closes the connection: the predecessor then treats this process as ended.
func (p *Predecessor) Close() { p.peer.conn.Close() }

// SendKey sends the predecessor the note of a keyed request that this process is about to send to
// an endpoint.
func (p *Predecessor) SendKey(k Key) error { return p.peer.sendKey(k) }

// SendID is SendKey for the hash of the id of a request.
func (p *Predecessor) SendID(hash uint64) error { return p.peer.sendID(hash) }

// HandleIDs sets the function that is passed the hashes of the ids of requests that the predecessor is
// about to send. It must be set before Follow, and must not block.
func (p *Predecessor) HandleIDs(handle func(hash uint64)) { p.handleID = handle }

// CatchUp handles all records on keys and ids that the predecessor has sent by now.
func (p *Predecessor) CatchUp() error { return p.peer.inbox.catchUp() }

// Follow passes on the predecessor's records until it ends. The predecessor sends the request of a
// key with a number only after ConfirmKey has reported that the key is on disk. CatchUp passes on
// keys too, one at a time; the function key must not block.
func (p *Predecessor) Follow(members func(Members), key func(k Key, number uint64), share func(float64)) {
	defer p.peer.conn.Close()
	acknowledge := func() { p.once.Do(func() { close(p.acknowledged) }) }
	defer acknowledge() // a predecessor that has ended sends no acknowledgement
	p.peer.inbox.setKeyHandler(func(r *Record) {
		switch {
		case r.Kind == KindKey:
			key(*r.Key, r.Number)
		case r.Kind == KindID && p.handleID != nil:
			p.handleID(r.ID)
		}
	})
	for r := range p.peer.inbox.follow() {
		switch r.Kind {
		case KindServing:
			acknowledge()
		case KindMembers:
			members(*r.Members)
		case KindShare:
			share(r.Part)
		}
	}
	if err := p.peer.inbox.readErr(); !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		slog.Warn("handover: lost the connection to the predecessor", "error", err)
	}
}
