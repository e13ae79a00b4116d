// Package refused has the system refuse a process what some installations refuse: Unix
// sockets, other programs, fork, io_uring, splice and sendfile (ENOSYS for each).
package refused

import (
	"fmt"
	"runtime"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Offsets into struct seccomp_data, and its name for the machine (seccomp(2)).
const (
	numberAt     = 0
	machineAt    = 4
	argumentAt   = 16 // the lower half of the first one
	machineX8664 = 0xc000003e
)

// Calls refuses this process, all of its threads, the calls from now on and for good.
func Calls() error {
	var filter []unix.SockFilter
	load := func(at uint32) {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: at})
	}
	jump := func(code uint16, k uint32, yes, no uint8) {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | code | unix.BPF_K, Jt: yes, Jf: no, K: k})
	}
	end := func(with uint32) {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: with})
	}
	const refuse, allow = unix.SECCOMP_RET_ERRNO | uint32(unix.ENOSYS), unix.SECCOMP_RET_ALLOW
	load(machineAt)
	jump(unix.BPF_JEQ, machineX8664, 1, 0)
	end(unix.SECCOMP_RET_KILL_PROCESS)
	load(numberAt)
	for _, n := range []uint32{unix.SYS_FORK, unix.SYS_VFORK, unix.SYS_CLONE3, unix.SYS_EXECVE, unix.SYS_EXECVEAT,
		unix.SYS_SPLICE, unix.SYS_SENDFILE, unix.SYS_IO_URING_SETUP, unix.SYS_SOCKETPAIR} {
		jump(unix.BPF_JEQ, n, 0, 1)
		end(refuse)
	}
	jump(unix.BPF_JEQ, unix.SYS_CLONE, 0, 4)
	load(argumentAt)
	jump(unix.BPF_JSET, unix.CLONE_THREAD, 0, 1)
	end(allow)
	end(refuse)
	jump(unix.BPF_JEQ, unix.SYS_SOCKET, 0, 3)
	load(argumentAt)
	jump(unix.BPF_JEQ, unix.AF_INET, 1, 0)
	end(refuse)
	end(allow)

	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("refused: no new privileges: %w", err)
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_TSYNC, uintptr(unsafe.Pointer(&program))); errno != 0 {
		return fmt.Errorf("refused: %w", errno)
	}
	return nil
}
