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

// SinceData is the time since data last arrived on a connection, whether or not it has
// been read; 0 if the system does not report it. It does not allocate, unlike the call
// of package unix.
func SinceData(fd uintptr) time.Duration {
	var info [(lastDataOffset + 4) / 4]uint32
	size := uint32(unsafe.Sizeof(info))
	_, _, err := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if err != 0 || uintptr(size) != unsafe.Sizeof(info) {
		return 0
	}
	return time.Duration(info[lastDataOffset/4]) * time.Millisecond
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
