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
	// readRoom is how much is read at once, in bytes.
	readRoom = 16 << 10
	// mostWaiting bounds the records that have been read and wait to be handled.
	mostWaiting = 8
)

// errNotFollowed tells that what the other process tells is not handled yet.
var errNotFollowed = errors.New("handover: the other process is not followed yet")

// inbox is what another process has told. What it tells of keys is handled by whoever reads it,
// so that a request can be decided by all that has come; other records wait for who follows
// that process.
type inbox struct {
	raw    syscall.RawConn
	others chan *Record // closed at the end

	mu   sync.Mutex
	key  func(*Record) // handles a record on keys, and must not wait; nil: not followed yet
	come []byte        // the beginning of a record whose rest has not come
	err  error         // why nothing more is read; nil: it goes on
}

func newInbox(c *net.UnixConn) (*inbox, error) {
	raw, err := c.SyscallConn()
	return &inbox{raw: raw, others: make(chan *Record, mostWaiting)}, err
}

// onKey sets what handles records on keys.
func (in *inbox) onKey(key func(*Record)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.key = key
}

// catchUp has all handled that has been told of keys by now. It does not wait for the other
// process: of what that has begun to write and not finished, nothing has been done yet.
func (in *inbox) catchUp() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.key == nil {
		return errNotFollowed
	}
	for in.err == nil {
		err := in.read()
		if errors.Is(err, unix.EAGAIN) {
			return nil
		}
		in.fail(err)
	}
	return nil // there is nothing more to catch up with
}

// fail notes why nothing more is read.
func (in *inbox) fail(err error) {
	if err != nil && in.err == nil {
		in.err = err
		close(in.others)
	}
}

// read takes what one read finds; unix.EAGAIN: nothing.
func (in *inbox) read() error {
	in.come = slices.Grow(in.come, readRoom)
	n, err := 0, error(nil)
	if closed := in.raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), in.come[len(in.come):cap(in.come)], unix.MSG_DONTWAIT)
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
	in.come = in.come[:len(in.come)+n]
	return in.handle()
}

// handle handles the records that have come whole.
func (in *inbox) handle() error {
	rest := in.come
	for {
		r, n, err := next(rest)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		rest = rest[n:]
		if r.Kind == KindKey || r.Kind == KindKept {
			in.key(r)
		} else {
			in.others <- r
		}
	}
	if in.come = in.come[:copy(in.come, rest)]; len(rest) == 0 && cap(in.come) > 8*readRoom {
		in.come = nil // it was for a long list
	}
	return nil
}

// follow hands on what is told, but for what onKey has, until the other process ends.
func (in *inbox) follow() <-chan *Record {
	go func() { // ends with the connection
		for in.await() {
			in.catchUp()
		}
	}()
	return in.others
}

// await waits until there is something to read; false: there won't be.
func (in *inbox) await() bool {
	err := in.raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
	in.mu.Lock()
	defer in.mu.Unlock()
	in.fail(err)
	return in.err == nil
}

// reason is why nothing more is read.
func (in *inbox) reason() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.err
}
