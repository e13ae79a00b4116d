package peek

import (
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// sinceData is where struct tcp_info (tcp(7), linux/tcp.h) has how long ago data came last, in milliseconds.
const sinceData = unsafe.Offsetof(unix.TCPInfo{}.Last_data_recv)

// SinceData is how long ago data came last on a connection, read or not; 0 where the system does not tell. It
// does not allocate, as the call of package unix does.
func SinceData(fd uintptr) time.Duration {
	var info [(sinceData + 4) / 4]uint32
	size := uint32(unsafe.Sizeof(info))
	_, _, err := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if err != 0 || uintptr(size) != unsafe.Sizeof(info) {
		return 0
	}
	return time.Duration(info[sinceData/4]) * time.Millisecond
}
