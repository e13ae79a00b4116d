package rig

import (
	"net"
	"syscall"
)

// Unread reports whether bytes wait to be read on a connection.
func Unread(c net.Conn) (waits bool, err error) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false, err
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = e == nil && n > 0
	})
	return waits, err
}
