package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/permit"
	"spokegw/policy"
)

// gate is told of an attempt's look, and finds its endpoint as it is set.
type gate struct {
	endpoint      permit.EndpointStatus
	looks, writes int
}

func (g *gate) FillFacts(facts *permit.Attempt) {
	g.looks++
	facts.Endpoint = g.endpoint
}

func (g *gate) FirstByteWritten(time.Duration) { g.writes++ }

// Nothing is written where the gate refuses, on a kept connection and on a new one, and no
// connection stays to an endpoint that is to get nothing new.
func TestGateIsAskedBeforeTheFirstByte(t *testing.T) {
	for _, kept := range []bool{false, true} {
		for _, listing := range []permit.EndpointStatus{permit.Active, permit.Draining, permit.Removed, permit.Replaced} {
			came := make(chan string, 4)
			addr := endpoint(t, func(c net.Conn, r *bufio.Reader) {
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					came <- req.Header.Get("Req-Id")
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			p := newTestPool(2, 300<<10)
			p.settle = 0
			if kept {
				p.Do(new(Cancellation), Endpoint{"s", addr}, request("before"), long, nil)
				<-came
			}
			g := &gate{endpoint: listing}
			a, _ := p.Begin(new(Cancellation), Endpoint{"s", addr}, request("1"), Constraints{Deadline: time.Now().Add(long), Gate: g}, nil)
			served := listing == permit.Active
			if served != (a.Result == policy.Served) || !served && a.Result != policy.NotSent || g.looks != 1 || (g.writes == 1) != served || (len(came) == 1) != served {
				t.Errorf("kept %t, listed %d: %v refused as %v, %d looks, %d writes, %d requests came", kept, listing, a.Result, a.Refused, g.looks, g.writes, len(came))
			}
			if !served && (p.OpenConns() != 0 || !a.Refused.EndpointSpecific()) {
				t.Errorf("kept %t, listed %d: %d connections are open, refused as %v", kept, listing, p.OpenConns(), a.Refused)
			}
			p.Close()
		}
	}
}

// full is the address of a listener that has no room for one more connection: a further one
// does not come up.
func full(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(at.(*syscall.SockaddrInet4).Port))
	for { // until one does not come up
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}

// An attempt that its owner ends while it waits for a connection that does not come up is not
// the endpoint's failure.
func TestEndedWhileItWaitsIsNotSent(t *testing.T) {
	addr := full(t)
	for _, cause := range []error{ErrCancelled, ErrEndpointUnavailable} {
		p := newTestPool(1, 300<<10)
		p.dialer.Timeout = long
		end := new(Cancellation)
		go func() {
			for p.OpenConns() == 0 {
				runtime.Gosched()
			}
			end.CancelUnsent(cause)
		}()
		if a, _ := p.Begin(end, Endpoint{"s", addr}, request("1"), Constraints{Deadline: time.Now().Add(long), Gate: &gate{endpoint: permit.Removed}}, nil); a.Result != policy.NotSent {
			t.Errorf("%v: %v", cause, a.Result)
		}
	}
}
