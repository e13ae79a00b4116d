// Package peek inspects the unread data of a connection without reading it.
package peek

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// connEnded reports whether the result of a peek shows that the connection has ended. A
// lack of memory is transient and says nothing about the connection (recv(2)).
func connEnded(got int, err error) bool {
	switch err {
	case nil:
		return got == 0
	case syscall.EAGAIN, syscall.ENOMEM, syscall.ENOBUFS:
		return false
	}
	return true
}

// Ended reports whether an error of a read shows that the connection has ended: not a deadline, nor
// a transient lack of memory.
func Ended(err error) bool {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno != syscall.EINTR && connEnded(-1, errno)
	}
	return errors.Is(err, io.EOF)
}

// Peek reports whether data waits to be read from c (n is then 1), and whether the peer
// has closed it or it is broken. It may be called while another goroutine is blocked in
// Read.
func Peek(c *net.TCPConn) (n int, closed bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, true
	}
	// RawConn.Read would wait for the goroutine that is blocked in Read; Control does
	// not.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		for {
			got, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if err == syscall.EINTR {
				continue
			}
			n, closed = max(got, 0), connEnded(got, err)
			return
		}
	})
	return n, closed || err != nil
}
