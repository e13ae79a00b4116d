package handover

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
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
	// ErrNoProcess tells that no process serves at the path.
	ErrNoProcess = errors.New("handover: nobody is there")
	errForeign   = errors.New("handover: the other end is of another user")
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
