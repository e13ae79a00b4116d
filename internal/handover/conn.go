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
	// stepTimeout bounds one exchange with the other process. A peer that hangs delays the start of
	// a new process by at most requestTimeout in total.
	stepTimeout       = 400 * time.Millisecond
	requestTimeout    = time.Second
	busyRetryInterval = 50 * time.Millisecond
	// lateReadTimeout bounds reading data that had already arrived when the read deadline expired.
	lateReadTimeout = 20 * time.Millisecond
	// writeBufferSize is the socket's write buffer in bytes: records written to a process that is
	// stalled wait there, about 550 key notes. The system default holds half as much.
	writeBufferSize = 208 << 10
	// relayTimeout bounds the write of one record to the other process. A process reads
	// continuously unless it hangs, and one that hangs is treated as ended.
	relayTimeout = time.Second
)

var (
	errBusy = errors.New("handover: the other process has a successor already")
	// ErrNoProcess reports that no process serves at the path.
	ErrNoProcess = errors.New("handover: no process serves at the path")
	errOtherUser = errors.New("handover: the other process runs as another user")
)

// Path returns the socket path for handing over the sidecar that listens at an address, in a folder
// that its processes share. It is "" if the address does not identify the sidecar (port 0).
func Path(dir, listen string) string {
	_, port, err := net.SplitHostPort(listen)
	if dir == "" || err != nil || port == "0" {
		return ""
	}
	h := fnv.New64a()
	h.Write([]byte(listen))
	return filepath.Join(dir, fmt.Sprintf("spokegw-%016x.sock", h.Sum64()))
}

type peer struct {
	conn     *net.UnixConn
	inbox    *inbox
	takesIDs bool       // the other process takes ids
	mu       sync.Mutex // serializes writes
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
		return nil, errOtherUser
	}
	c.SetWriteBuffer(writeBufferSize)
	in, err := newInbox(c)
	if err != nil {
		return nil, err
	}
	return &peer{conn: c, inbox: in}, nil
}

// close closes the connection after handling all records received so far, because the other process
// may have ended after sending them.
func (p *peer) close() {
	p.inbox.catchUp()
	p.conn.Close()
}

// sendKey writes a key's note into the socket, where the other process can read it even if this
// process ends. If the other process has ended, nobody needs the note, so that is not an error.
func (p *peer) sendKey(k Key) error { return p.sendNote(&Record{Kind: KindKey, Key: &k}) }

// sendID is sendKey for the hash of a request's id. An earlier version of the program takes none.
func (p *peer) sendID(hash uint64) error {
	if !p.takesIDs {
		return nil
	}
	return p.sendNote(&Record{Kind: KindID, ID: hash})
}

func (p *peer) sendNote(r *Record) error {
	err := p.send(r, nil, relayTimeout)
	if err == nil {
		return nil
	}
	p.close() // the follower goroutine sees the closed connection
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// send writes a record and, if file is not nil, its descriptor.
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
		n, err := p.writeWithFile(file, b)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	_, err = p.conn.Write(b)
	return err
}

// writeWithFile writes the first bytes together with a descriptor. It does not call file.Fd, which
// would put the descriptor, and so the listener in use, into blocking mode.
func (p *peer) writeWithFile(file *os.File, b []byte) (n int, err error) {
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

func (p *peer) receive() (*Record, error) { return Decode(p.conn) }

// receiveFile reads a record and the descriptor sent with it.
func (p *peer) receiveFile() (*Record, *os.File, error) {
	r := &fileReader{conn: p.conn}
	rec, err := Decode(r)
	if err != nil {
		r.close()
		return nil, nil, err
	}
	return rec, r.file, nil
}

// fileReader reads bytes and keeps the first descriptor that is received with them.
type fileReader struct {
	conn     *net.UnixConn
	file     *os.File
	timedOut bool // the read deadline has expired once
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
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.timedOut {
		// This process may have been stalled past the deadline. Data that arrived meanwhile is
		// still read: the sender may have ended since, and the connections queued at the listener
		// would be lost with the descriptor.
		r.timedOut = true
		r.conn.SetReadDeadline(time.Now().Add(lateReadTimeout))
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
