package handover

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// readSize is the minimum free buffer space for one read, in bytes.
	readSize = 16 << 10
	// maxQueued bounds the records that are read and not yet handled.
	maxQueued = 8
)

// errNoKeyHandler reports that records on keys can't be handled yet.
var errNoKeyHandler = errors.New("handover: the other process is not followed yet")

// inbox receives the records of another process. A record on a key or an id is handled by the goroutine that
// reads it, so that a request can be decided with every record received so far; all other records
// are queued for the goroutine that follows the process.
type inbox struct {
	raw    syscall.RawConn
	others chan *Record // closed when reading ends

	mu        sync.Mutex
	handleKey func(*Record) // handles a record on a key and must not block; nil: not set yet
	buffered  []byte        // an incomplete record
	err       error         // why reading ended; nil: it has not
}

func newInbox(c *net.UnixConn) (*inbox, error) {
	raw, err := c.SyscallConn()
	return &inbox{raw: raw, others: make(chan *Record, maxQueued)}, err
}

// setKeyHandler sets the function that handles records on keys.
func (in *inbox) setKeyHandler(handler func(*Record)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.handleKey = handler
}

// catchUp handles all records on keys that have been received by now. It does not wait for the rest
// of an incomplete record: the other process acts on a key only after it has written the whole
// record, so nothing has been done yet.
func (in *inbox) catchUp() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.handleKey == nil {
		return errNoKeyHandler
	}
	for in.err == nil {
		err := in.read()
		if errors.Is(err, unix.EAGAIN) {
			return nil
		}
		in.fail(err)
	}
	return nil // reading has ended: there is nothing left to read
}

// fail records why reading ended.
func (in *inbox) fail(err error) {
	if err != nil && in.err == nil {
		in.err = err
		close(in.others)
	}
}

// read handles the data of one receive call. It returns unix.EAGAIN if there is none.
func (in *inbox) read() error {
	in.buffered = slices.Grow(in.buffered, readSize)
	n, err := 0, error(nil)
	if closed := in.raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), in.buffered[len(in.buffered):cap(in.buffered)], unix.MSG_DONTWAIT)
	}); closed != nil {
		return closed
	}
	switch {
	case errors.Is(err, unix.EINTR):
		return nil
	case err != nil:
		return err
	case n == 0:
		return io.EOF
	}
	in.buffered = in.buffered[:len(in.buffered)+n]
	return in.dispatch()
}

// dispatch handles the complete records in the buffer.
func (in *inbox) dispatch() error {
	remaining := in.buffered
	for {
		r, n, err := parseNext(remaining)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		remaining = remaining[n:]
		if r.Kind == KindKey || r.Kind == KindConfirmation || r.Kind == KindID {
			in.handleKey(r)
		} else {
			in.others <- r
		}
	}
	if in.buffered = in.buffered[:copy(in.buffered, remaining)]; len(remaining) == 0 && cap(in.buffered) > 8*readSize {
		in.buffered = nil // it grew for a long list
	}
	return nil
}

// follow returns the records of the other process, except those handled by the key handler, until
// it ends.
func (in *inbox) follow() <-chan *Record {
	go func() { // exits when the connection ends
		for in.waitReadable() {
			in.catchUp()
		}
	}()
	return in.others
}

// waitReadable waits until there is data to read. It returns false if reading has ended.
func (in *inbox) waitReadable() bool {
	err := in.raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
	in.mu.Lock()
	defer in.mu.Unlock()
	in.fail(err)
	return in.err == nil
}

// readErr returns why reading ended.
func (in *inbox) readErr() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.err
}
