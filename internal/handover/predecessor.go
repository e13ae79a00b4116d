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

// Predecessor is the process that served before this one.
type Predecessor struct {
	peer     *peer
	State    *State
	Share    float64 // of the limits, that it has kept; this one has as much
	Listener *net.TCPListener

	noted chan struct{} // closed when it has noted that this one serves
	once  sync.Once
}

// Request asks the process that serves at path to hand over. It returns nil and the
// reason if there is none or it does not in time: then this one starts from
// nothing. keeps promises a word of ConfirmKey for each key that comes with a number. It takes
// at most a second.
func Request(path, name, listen string, keeps bool) (*Predecessor, error) {
	until := time.Now().Add(askPatience)
	for {
		p, err := ask(path, &Record{Kind: KindHello, Name: name, Listen: listen, Keeps: keeps}, until)
		if again := errors.Is(err, errBusy) || unheard(err); !again || time.Until(until) < 2*busyPause {
			return p, err
		}
		time.Sleep(busyPause)
	}
}

// unheard reports whether an asker was reset: the listener that he was connected to was closed
// before anybody read what he asked. By then another one may have the path.
func unheard(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func ask(path string, hello *Record, until time.Time) (*Predecessor, error) {
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNoProcess
	}
	if err == nil && info.Mode().Type() != fs.ModeSocket {
		return nil, fmt.Errorf("handover: %s is no socket", filepath.Base(path))
	}
	var conn net.Conn
	err = unixsocket.WithShortPath(path, func(name string) error {
		var err error
		conn, err = net.DialTimeout("unix", name, patience)
		return err
	})
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNoProcess // a process that was killed left it
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	p, err := talk(conn.(*net.UnixConn), hello, until)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return p, nil
}

func talk(conn *net.UnixConn, hello *Record, until time.Time) (*Predecessor, error) {
	p, err := newPeer(conn)
	if err != nil {
		return nil, err
	}
	conn.SetReadDeadline(until)
	if err := p.send(hello, nil, patience); err != nil {
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
		return nil, fmt.Errorf("handover: %s without a listener in place of a state", r.Kind)
	}
	l, err := listenerOf(file, hello.Listen)
	if err != nil {
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	return &Predecessor{peer: p, State: r.State, Share: r.Part, Listener: l, noted: make(chan struct{})}, nil
}

// listenerOf is the listener that a descriptor stands for. It has to be one, at
// the address that this process is to listen at.
func listenerOf(file *os.File, listen string) (*net.TCPListener, error) {
	want, err := net.ResolveTCPAddr("tcp", listen)
	if err != nil {
		return nil, err
	}
	any, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("handover: the descriptor is no listener: %w", err)
	}
	l, ok := any.(*net.TCPListener)
	if !ok || l.Addr().(*net.TCPAddr).Port != want.Port {
		any.Close()
		return nil, fmt.Errorf("handover: the listener is at %v, %v is expected", any.Addr(), want)
	}
	return l, nil
}

// ReportServing tells the predecessor that this process serves, and waits until it has
// noted that: who stops it from then on stops one that has a successor. It needs
// Follow to run.
func (p *Predecessor) ReportServing() error {
	if err := p.peer.send(&Record{Kind: KindServing}, nil, patience); err != nil {
		return err
	}
	late := time.NewTimer(patience)
	defer late.Stop()
	select {
	case <-p.noted:
		return nil
	case <-late.C:
		return errors.New("handover: it does not answer")
	}
}

// SendShare tells the predecessor this process's part, and whether another is to have
// it.
func (p *Predecessor) SendShare(part float64, handed bool) {
	p.peer.send(&Record{Kind: KindPart, Part: part, Handed: handed}, nil, patience) // it may have ended: then it needs no word
}

// ConfirmKey tells the predecessor that the key of a number is on this process's disk, or can't
// be.
func (p *Predecessor) ConfirmKey(number uint64, ok bool) {
	p.peer.send(&Record{Kind: KindKept, Number: number, Failed: !ok}, nil, patience) // it may have ended: then nobody waits
}

// Close ends the connection: the predecessor takes this process for ended.
func (p *Predecessor) Close() { p.peer.conn.Close() }

// SendKey tells the predecessor that a keyed request is to be sent here.
func (p *Predecessor) SendKey(k Key) error { return p.peer.tellKey(k) }

// CatchUp has all handled that the predecessor has told of keys by now.
func (p *Predecessor) CatchUp() error { return p.peer.in.catchUp() }

// Follow hands on what the predecessor tells until it ends. A key with a number is sent
// once ConfirmKey tells that it is on the disk. Keys are handed on by CatchUp too, one at a time;
// key must not wait.
func (p *Predecessor) Follow(members func(Members), key func(k Key, number uint64), part func(float64)) {
	defer p.peer.conn.Close()
	noted := func() { p.once.Do(func() { close(p.noted) }) }
	defer noted() // one that has ended needs no word
	p.peer.in.onKey(func(r *Record) {
		if r.Kind == KindKey {
			key(*r.Key, r.Number)
		}
	})
	for r := range p.peer.in.follow() {
		switch r.Kind {
		case KindServing:
			noted()
		case KindMembers:
			members(*r.Members)
		case KindPart:
			part(r.Part)
		}
	}
	if err := p.peer.in.reason(); !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		slog.Warn("handover: the process before this one is heard no more", "error", err)
	}
}
