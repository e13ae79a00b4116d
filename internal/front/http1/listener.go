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

// listener accepts until it is closed: no other error ends the server's accept loop.
// While it is paused, connections wait in the accept queue for another process that
// shares the descriptor.
type listener struct {
	*net.TCPListener
	add    func(*net.TCPConn) *clientConn // adds to the table; nil: there is no capacity
	shared atomic.Bool                    // another process shares or has shared the descriptor

	mu     sync.Mutex
	paused chan struct{} // closed on resume; nil: not paused
	closed bool
}

func (l *listener) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil && !l.closed {
		l.paused = make(chan struct{})
		l.SetDeadline(pastDeadline) // ends a blocked Accept
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

// isPaused returns a channel that is closed on resume; nil if the listener is not
// paused.
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
	// queueDrainTimeout limits the wait for an empty accept queue.
	queueDrainTimeout = 200 * time.Millisecond
	// handshakeTimeout is how long TCP handshakes that have begun may take to complete.
	handshakeTimeout = 20 * time.Millisecond
)

// closeGracefully closes the listener once its accept queue is empty. A client in the
// queue has a connection, and possibly a request on it, that no process has seen;
// closing the listener would reset it. So new handshakes are refused first; those under
// way complete and queued connections are accepted; then the listener is closed. Where
// the system does not support refusing handshakes, connections that arrive between the
// last check and the close are still reset, and so is a handshake that takes longer
// than handshakeTimeout because of a long network path. From limit on it does not wait.
func (l *listener) closeGracefully(limit time.Time) error {
	start := time.Now()
	drainTimeout := min(queueDrainTimeout, time.Until(limit))
	if !l.shared.Load() { // this would refuse the other process's connections, too
		l.refuseNew()
	}
	for elapsed := time.Duration(0); elapsed < handshakeTimeout || elapsed < drainTimeout && l.queued(); elapsed = time.Since(start) {
		time.Sleep(acceptPause / 5) // the accept loop takes them meanwhile
	}
	return l.Close()
}

// noInterface is not the number of any network interface.
const noInterface = 1<<31 - 1

// refuseNew refuses new connections, as if the listener were closed, while handshakes
// under way continue: it binds the listener to an interface that does not exist
// (socket(7), SO_BINDTODEVICE; Linux 5.0 for binding by number). On systems without
// that it has no effect.
func (l *listener) refuseNew() {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface) })
}

// queued reports whether a connection waits to be accepted.
func (l *listener) queued() (waiting bool) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		waiting = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return waiting
}

// acceptPause is the pause after an accept error, which usually is a transient lack of
// file descriptors.
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
		if c := l.waitForCapacity(nc); c != nil {
			return c, nil
		}
	}
}

// waitForCapacity waits for capacity in the table: if it is full, all its connections
// have a request under way, which ends within its deadline, and closing the new
// connection unread would leave its client without any answer. Clients behind it wait
// in the accept queue. It returns nil if the listener is closed before there is
// capacity. Clients that have another server to go to would be better off with an
// immediate close.
func (l *listener) waitForCapacity(nc *net.TCPConn) *clientConn {
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
