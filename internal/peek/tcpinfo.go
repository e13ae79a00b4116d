package peek

import (
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// lastDataOffset is the offset in struct tcp_info (tcp(7), linux/tcp.h) of the time
// since data last arrived, in milliseconds.
const lastDataOffset = unsafe.Offsetof(unix.TCPInfo{}.Last_data_recv)

// infoWords is how many words of struct tcp_info are read: up to that time.
const infoWords = (lastDataOffset + 4) / 4

// readInfo reads the beginning of struct tcp_info; it reports false if the system does not tell it. It
// does not allocate, unlike the call of package unix.
func readInfo(fd uintptr, info *[infoWords]uint32) bool {
	size := uint32(unsafe.Sizeof(*info))
	_, _, err := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(info)), uintptr(unsafe.Pointer(&size)), 0)
	return err == 0 && uintptr(size) == unsafe.Sizeof(*info)
}

// SinceData is the time since data last arrived on a connection, whether or not it has
// been read; 0 if the system does not report it.
func SinceData(fd uintptr) time.Duration {
	var info [infoWords]uint32
	if !readInfo(fd, &info) {
		return 0
	}
	return time.Duration(info[lastDataOffset/4]) * time.Millisecond
}

// States of a connection whose peer has closed it (linux/tcp_states.h).
const (
	stateClose     = 7
	stateCloseWait = 8
	stateLastAck   = 9
	stateClosing   = 11
)

// PeerClosed reports whether the peer has closed a connection, also while data that it has sent
// before is unread; false if the system does not tell.
func PeerClosed(c *net.TCPConn) (closed bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(fd uintptr) {
		var info [infoWords]uint32
		if !readInfo(fd, &info) {
			return
		}
		switch (*[4]uint8)(unsafe.Pointer(&info))[0] {
		case stateClose, stateCloseWait, stateLastAck, stateClosing:
			closed = true
		}
	})
	return closed
}

// SinceDataOn is SinceData for a connection.
func SinceDataOn(c *net.TCPConn) (since time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { since = SinceData(fd) })
	return since
}
