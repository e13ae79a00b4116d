package process

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"syscall"
)

// Ports that are given: below those that Linux takes for outgoing calls (32768 and up, in
// /proc/sys/net/ipv4/ip_local_port_range), and more than a rig uses at once.
const (
	firstPort = 16 << 10
	ports     = 16 << 10
)

// addresses are those of this process. Each is in use from TakeAddr to GiveBack.
var addresses struct {
	mu    sync.Mutex
	next  int // port to look at, counted from the first
	inUse [ports]bool
}

// host is the loopback's address that only this process gives ports of: its own number is in
// it. Calls go out from 127.0.0.1, so none takes a port of it.
func host() netip.Addr {
	pid := os.Getpid() // below 1<<22 (proc(5), pid_max)
	return netip.AddrFrom4([4]byte{127, 64 | byte(pid>>16), byte(pid >> 8), byte(pid)})
}

// TakeAddr gives an address for a process that is to be started, to listen at by TCP and UDP.
// Until GiveBack it is nobody else's, also while that process is down: no other rig in this
// process or in another one is given it, and no outgoing call takes it. What was given back
// longest ago is given first.
//
// Nobody listens there to find that it is free: a process that is just being started has
// copies of all sockets up to its exec, and one of a listener would take the first calls and
// reset them.
func TakeAddr() (string, error) {
	a := &addresses
	a.mu.Lock()
	defer a.mu.Unlock()
	for range ports {
		i := a.next
		a.next = (i + 1) % ports
		if a.inUse[i] {
			continue
		}
		at := netip.AddrPortFrom(host(), uint16(firstPort+i))
		switch err := errors.Join(bind(syscall.SOCK_STREAM, at), bind(syscall.SOCK_DGRAM, at)); {
		case err == nil:
			a.inUse[i] = true
			return at.String(), nil
		case !errors.Is(err, syscall.EADDRINUSE): // by what an earlier process of this number has left
			return "", fmt.Errorf("process: %v: %w", at, err)
		}
	}
	return "", errors.New("process: all addresses are in use")
}

// bind tries whether a socket can be bound to an address. Processes that are being started
// get no copy of it: the system would take the address for in use up to their exec.
func bind(kind int, at netip.AddrPort) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	fd, err := syscall.Socket(syscall.AF_INET, kind|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer syscall.Close(fd)
	return syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
}

// GiveBack ends the use of an address that TakeAddr gave; "" is none.
func GiveBack(addr string) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || at.Addr() != host() {
		return
	}
	a := &addresses
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := int(at.Port()) - firstPort; i >= 0 && i < ports {
		a.inUse[i] = false
	}
}
