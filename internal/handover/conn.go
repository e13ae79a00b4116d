package handover

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spokegw/internal/unixsocket"
)

const (
	// patience is for one step with the other process. All together a new
	// process loses at most askPatience by one that hangs.
	patience    = 400 * time.Millisecond
	askPatience = time.Second
	busyPause   = 50 * time.Millisecond
	// latePatience is for what has come already when the time for it is over.
	latePatience = 20 * time.Millisecond
	// writeRoom is for what is told to a process that stands still, in bytes, some 550 notes of keys:
	// the system gives half of it by itself.
	writeRoom = 208 << 10
	// relayPatience is for the successor to take a record. One that hangs is as
	// good as gone: it reads all the time otherwise.
	relayPatience = time.Second
)

var (
	errBusy = errors.New("handover: the other process has a successor already")
	// ErrNobody tells that no process serves at the path.
	ErrNobody  = errors.New("handover: nobody is there")
	errForeign = errors.New("handover: the other end is of another user")
)

// Path is where the sidecar that listens at an address is asked, in a folder
// that its processes share; "" if they can't be told apart from others by it.
func Path(dir, listen string) string {
	_, port, err := net.SplitHostPort(listen)
	if dir == "" || err != nil || port == "0" {
		return ""
	}
	h := fnv.New64a()
	h.Write([]byte(listen))
	return filepath.Join(dir, fmt.Sprintf("spokegw-%016x.sock", h.Sum64()))
}

// peer is a connection to another process.
type peer struct {
	conn *net.UnixConn
	in   *inbox
	mu   sync.Mutex // of writing
}

func newPeer(c *net.UnixConn) (*peer, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var cred *syscall.Ucred
	var credErr error
	err = raw.Control(func(fd uintptr) {
		cred, credErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err = errors.Join(err, credErr); err != nil {
		return nil, err
	}
	if int(cred.Uid) != os.Getuid() {
		return nil, errForeign
	}
	c.SetWriteBuffer(writeRoom)
	in, err := newInbox(c)
	if err != nil {
		return nil, err
	}
	return &peer{conn: c, in: in}, nil
}

// close ends the connection. What has come is handled: the other process may have ended.
func (p *peer) close() {
	p.in.catchUp()
	p.conn.Close()
}

// tellKey writes the note of a key to where the other process finds it, whatever becomes of
// this one. Where that has ended nobody needs it.
func (p *peer) tellKey(k Key) error {
	err := p.send(&Record{Kind: KindKey, Key: &k}, nil, relayPatience)
	if err == nil {
		return nil
	}
	p.close() // its follower notes it
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// send writes a record, with a descriptor where one is given.
func (p *peer) send(r *Record, file *os.File, within time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sendLocked(r, file, within)
}

func (p *peer) sendLocked(r *Record, file *os.File, within time.Duration) error {
	b, err := Encode(r)
	if err != nil {
		return err
	}
	p.conn.SetWriteDeadline(time.Now().Add(within))
	if file != nil {
		n, err := p.writeWith(file, b)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	_, err = p.conn.Write(b)
	return err
}

// writeWith writes the first bytes together with a descriptor. The descriptor is
// not asked of the file: Fd would have it block, and what it stands for is in use.
func (p *peer) writeWith(file *os.File, b []byte) (n int, err error) {
	raw, err := file.SyscallConn()
	if err != nil {
		return 0, err
	}
	if e := raw.Control(func(fd uintptr) {
		n, _, err = p.conn.WriteMsgUnix(b, syscall.UnixRights(int(fd)), nil)
	}); e != nil {
		return 0, e
	}
	return n, err
}

// receive reads a record.
func (p *peer) receive() (*Record, error) { return Decode(p.conn) }

// receiveFile reads a record that a descriptor came with.
func (p *peer) receiveFile() (*Record, *os.File, error) {
	r := &fileReader{conn: p.conn}
	rec, err := Decode(r)
	if err != nil {
		r.close()
		return nil, nil, err
	}
	return rec, r.file, nil
}

// fileReader reads bytes and keeps the first descriptor that comes along.
type fileReader struct {
	conn *net.UnixConn
	file *os.File
	late bool // its time is over
}

func (r *fileReader) close() {
	if r.file != nil {
		r.file.Close()
		r.file = nil
	}
}

func (r *fileReader) Read(b []byte) (int, error) {
	oob := make([]byte, syscall.CmsgSpace(4*4))
	n, oobn, _, _, err := r.conn.ReadMsgUnix(b, oob)
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.late {
		// This process may have stood still. What has come meanwhile is taken: the other one
		// may have ended since, and with the listener those in its queue would be lost.
		r.late = true
		r.conn.SetReadDeadline(time.Now().Add(latePatience))
		n, oobn, _, _, err = r.conn.ReadMsgUnix(b, oob)
	}
	if n == 0 && err == nil {
		err = io.EOF
	}
	messages, perr := syscall.ParseSocketControlMessage(oob[:oobn])
	if perr != nil {
		return n, err
	}
	for _, m := range messages {
		fds, perr := syscall.ParseUnixRights(&m)
		if perr != nil {
			continue
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			if f := os.NewFile(uintptr(fd), "listener"); r.file == nil {
				r.file = f
			} else {
				f.Close()
			}
		}
	}
	return n, err
}

// Predecessor is the process that served before this one.
type Predecessor struct {
	peer     *peer
	State    *State
	Part     float64 // of the limits, that it has kept; this one has as much
	Listener *net.TCPListener

	noted chan struct{} // closed when it has noted that this one serves
	once  sync.Once
}

// Ask asks the process that serves at path to hand over. It returns nil and the
// reason if there is none or it does not in time: then this one starts from
// nothing. keeps promises a word of Kept for each key that comes with a number. It takes
// at most a second.
func Ask(path, name, listen string, keeps bool) (*Predecessor, error) {
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
		return nil, ErrNobody
	}
	if err == nil && info.Mode().Type() != fs.ModeSocket {
		return nil, fmt.Errorf("handover: %s is no socket", filepath.Base(path))
	}
	var conn net.Conn
	err = unixsocket.Short(path, func(name string) error {
		var err error
		conn, err = net.DialTimeout("unix", name, patience)
		return err
	})
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNobody // a process that was killed left it
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
	return &Predecessor{peer: p, State: r.State, Part: r.Part, Listener: l, noted: make(chan struct{})}, nil
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

// Serving tells the predecessor that this process serves, and waits until it has
// noted that: who stops it from then on stops one that has a successor. It needs
// Follow to run.
func (p *Predecessor) Serving() error {
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

// Told tells the predecessor this process's part, and whether another is to have
// it.
func (p *Predecessor) Told(part float64, handed bool) {
	p.peer.send(&Record{Kind: KindPart, Part: part, Handed: handed}, nil, patience) // it may have ended: then it needs no word
}

// Kept tells the predecessor that the key of a number is on this process's disk, or can't
// be.
func (p *Predecessor) Kept(number uint64, ok bool) {
	p.peer.send(&Record{Kind: KindKept, Number: number, Failed: !ok}, nil, patience) // it may have ended: then nobody waits
}

// Close ends the connection: the predecessor takes this process for ended.
func (p *Predecessor) Close() { p.peer.conn.Close() }

// TellKey tells the predecessor that a keyed request is to be sent here.
func (p *Predecessor) TellKey(k Key) error { return p.peer.tellKey(k) }

// CatchUp has all handled that the predecessor has told of keys by now.
func (p *Predecessor) CatchUp() error { return p.peer.in.catchUp() }

// Follow hands on what the predecessor tells until it ends. A key with a number is sent
// once Kept tells that it is on the disk. Keys are handed on by CatchUp too, one at a time;
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

// Host is the process that hands over. Its methods are called one at a time.
type Host interface {
	// Offer is called when a successor asks: it returns the state, the listener's
	// descriptor, which is closed once it is passed, and the part of the limits
	// that each of the two has from then on. It must not tell the successor
	// anything.
	Offer() (s *State, part float64, listener *os.File, err error)
	SuccessorServes()                       // and takes all that is new
	SuccessorHas(part float64, handed bool) // of the limits, by its own word
	SuccessorKey(k Key)                     // that is to be sent there; called beside the others, and must not wait
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
			o.host.SuccessorServes()
			p.send(&Record{Kind: KindServing}, nil, relayPatience) // one that has ended shows in what is read
		case KindPart:
			o.host.SuccessorHas(r.Part, r.Handed)
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
		word <- ErrNotKept
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

// Tell relays what discovery told to the successor, if there is one. One that
// does not read is taken for ended.
func (o *Offerer) Tell(m Members) { o.tell(&Record{Kind: KindMembers, Members: &m}) }

// TellKey tells the successor, if there is one, of a keyed request that is to be sent. When it
// returns the note is where the successor's CatchUp finds it; on an error that is not so.
func (o *Offerer) TellKey(k Key) error {
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
	// ErrKeepsNot tells that the successor does not say when a key is on its disk: it is
	// of an earlier version, or keeps none.
	ErrKeepsNot = errors.New("handover: the successor does not say what it keeps")
	// ErrNotKept tells that a key is not on the successor's disk.
	ErrNotKept = errors.New("handover: the successor has not kept it")
)

// mostUnkept bounds the keys whose being kept is waited for.
const mostUnkept = 1024

// KeepKey has the successor keep the note of a keyed request, and waits until it says
// that it is on its disk.
func (o *Offerer) KeepKey(ctx context.Context, k Key) error {
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
		return nil, 0, nil, ErrNotKept
	case !o.keeps:
		return nil, 0, nil, ErrKeepsNot
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
		word <- ErrNotKept
	} else {
		word <- nil
	}
}

// Asked reports whether there is a successor, or was.
func (o *Offerer) Asked() bool { return o.asked.Load() }

// Successor reports whether there is one.
func (o *Offerer) Successor() bool { return o.peer() != nil }

// peer is the connection to the successor; nil: there is none.
func (o *Offerer) peer() *peer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.successor
}

// TellPart tells the successor this process's part.
func (o *Offerer) TellPart(part float64) { o.tell(&Record{Kind: KindPart, Part: part}) }

func (o *Offerer) tell(r *Record) {
	if p := o.peer(); p != nil && p.send(r, nil, relayPatience) != nil {
		p.close() // follow notes it
	}
}
