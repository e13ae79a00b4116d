package process

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// While other processes are started, a call to an address that was just given is refused, and
// who it was given to can listen there: no process that is being started holds a copy of a
// socket of that address.
func TestNoForkHoldsAnAddress(t *testing.T) {
	const goroutines, calls = 8, 1500 // of dials, and of starts beside them
	var dialling, starting sync.WaitGroup
	var done atomic.Bool
	for range goroutines {
		starting.Go(func() {
			for !done.Load() {
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	var connected, taken, other atomic.Int64
	for range goroutines {
		dialling.Go(func() {
			for range calls / goroutines {
				addr := take(t)
				if c, err := net.Dial("tcp", addr); err == nil {
					connected.Add(1)
					c.Close()
				} else if !errors.Is(err, syscall.ECONNREFUSED) {
					other.Add(1)
				}
				if l, err := net.Listen("tcp", addr); err == nil {
					l.Close()
				} else {
					taken.Add(1)
				}
				GiveBack(addr)
			}
		})
	}
	dialling.Wait()
	done.Store(true)
	starting.Wait()
	if connected.Load()+taken.Load()+other.Load() > 0 {
		t.Errorf("of %d addresses given %d connected a call, %d ended it in another way than by refusing it, and %d could not be listened at",
			calls/goroutines*goroutines, connected.Load(), other.Load(), taken.Load())
	}
}

// Addresses that are in use at once differ from one another, whoever takes them, and however
// many have been given before.
func TestNoAddressIsGivenTwice(t *testing.T) {
	const rounds, takers, each = 300, 8, 9 // more than there are ports
	twice := 0
	kept := take(t)
	defer GiveBack(kept)
	for range rounds {
		given := make([][]string, takers)
		var taking sync.WaitGroup
		for i := range given {
			taking.Go(func() {
				for range each {
					given[i] = append(given[i], take(t))
				}
			})
		}
		taking.Wait()
		seen := map[string]bool{kept: true}
		for _, addrs := range given {
			for _, addr := range addrs {
				if seen[addr] {
					twice++
				}
				seen[addr] = true
			}
		}
		delete(seen, kept)
		for addr := range seen {
			GiveBack(addr)
		}
	}
	if twice > 0 {
		t.Errorf("%d of %d addresses were in use already", twice, rounds*takers*each)
	}
}

// An address that somebody has who was not given it is not given, and no outgoing call can
// have one.
func TestAddressIsNobodyElses(t *testing.T) {
	var others []string
	for _, listen := range []func(addr string) (io.Closer, error){
		func(addr string) (io.Closer, error) { return net.Listen("tcp", addr) },
		func(addr string) (io.Closer, error) { return net.ListenPacket("udp", addr) },
	} {
		addr := take(t)
		l, err := listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		GiveBack(addr) // as an earlier process that had this one's number and ended, with one of its own left behind
		others = append(others, addr)
	}
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Fatal(err)
	}
	var first, last uint16 // of outgoing calls
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil {
		t.Fatal(err)
	}
	for range ports {
		addr := take(t)
		if slices.Contains(others, addr) {
			t.Errorf("%s is another's", addr)
		}
		at := netip.MustParseAddrPort(addr)
		if at.Port() >= first && at.Port() <= last || at.Addr() == netip.MustParseAddr("127.0.0.1") || !at.Addr().IsLoopback() {
			t.Fatalf("an outgoing call may have %s", addr)
		}
		GiveBack(addr)
	}
}

func take(t *testing.T) string {
	addr, err := TakeAddr()
	if err != nil {
		t.Error(err)
	}
	return addr
}
