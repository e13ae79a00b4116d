package http1

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// listener accepts for as long as it is open: no error but its closing ends
// the loop of the server. It can be paused: connections then wait in the
// system's queue, for another process that listens by the same descriptor.
type listener struct {
	*net.TCPListener
	add    func(*net.TCPConn) *clientConn // to the table; nil: there is no room
	shared atomic.Bool                    // another process has, or had, the same descriptor

	mu     sync.Mutex
	paused chan struct{} // closed when it accepts again; nil: it does
	closed bool
}

func (l *listener) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil && !l.closed {
		l.paused = make(chan struct{})
		l.SetDeadline(longAgo) // ends an Accept that waits
	}
}

func (l *listener) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		l.SetDeadline(time.Time{})
		close(l.paused)
		l.paused = nil
	}
}

// isPaused returns a channel that is closed when it is no longer; nil: it is not.
func (l *listener) isPaused() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paused
}

func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	err := l.TCPListener.Close()
	l.resume()
	return err
}

const (
	// emptyWithin bounds how long the system's queue is waited for at the end.
	emptyWithin = 200 * time.Millisecond
	// shakenWithin is how long handshakes that had begun may take to get there.
	shakenWithin = 20 * time.Millisecond
)

// finish closes the listener with nobody in its queue. A client there has a connection,
// and maybe a request on it, that no process has seen: closing resets it. So the door is
// shut first, to what would begin a connection; handshakes that have begun come to their
// end, and who stands in the queue is taken; then it is closed. Where the system can't
// shut the door, what comes between the last look and the closing is reset still. It
// could do harm to a handshake that takes longer than shakenWithin, over a path of that
// length: it is reset as before.
func (l *listener) finish() error {
	begun := time.Now()
	if !l.shared.Load() { // what is shut is shut for the other process too
		l.shut()
	}
	for took := time.Duration(0); took < shakenWithin || took < emptyWithin && l.queued(); took = time.Since(begun) {
		time.Sleep(acceptPause / 5) // accept takes them
	}
	return l.Close()
}

// noInterface is the number of no network interface.
const noInterface = 1<<31 - 1

// shut has new connections refused, as they are when the listener is closed, and those
// that have begun go on: the listener is bound to an interface by which nothing comes
// (socket(7), SO_BINDTODEVICE; Linux 5.0 by number). One that takes no such number goes on
// as it was.
func (l *listener) shut() {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface) })
}

// queued reports whether a connection waits to be accepted.
func (l *listener) queued() (some bool) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(look, 0)
		some = err == nil && n > 0 && look[0].Revents&unix.POLLIN != 0
	})
	return some
}

// acceptPause is how long accepting rests after an error: most tell of a want
// of descriptors that passes.
const acceptPause = 5 * time.Millisecond

func (l *listener) accept() (*clientConn, error) {
	for {
		if paused := l.isPaused(); paused != nil {
			<-paused
		}
		nc, err := l.AcceptTCP()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue // it was paused
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			slog.Warn("accept", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		if c := l.place(nc); c != nil {
			return c, nil
		}
	}
}

// place waits for room in the table: all that are there have a request under way, which
// ends within its time, and a client that was shut unread would have no answer at all. Who
// comes behind waits in the system's queue. It returns nil where the listener is closed
// before there is room. It could do harm where clients have somewhere else to go and would
// rather be shut at once.
func (l *listener) place(nc *net.TCPConn) *clientConn {
	for {
		if c := l.add(nc); c != nil {
			return c
		}
		if l.isClosed() {
			nc.Close()
			return nil
		}
		time.Sleep(acceptPause)
	}
}

func (l *listener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}
