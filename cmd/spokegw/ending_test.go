package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// heldSite is a site whose endpoint holds requests with "held" in their id until released.
func heldSite(t *testing.T) (s *site, held chan string, release chan struct{}) {
	t.Helper()
	s = newSite(t)
	held, release = make(chan string, 16), make(chan struct{})
	s.answer = func(_ http.ResponseWriter, r *http.Request) bool {
		if id := r.Header.Get("Req-Id"); strings.Contains(id, "held") {
			held <- id
			<-release
		}
		return false
	}
	return s, held, release
}

// connect opens a connection to the sidecar.
func (s *site) connect() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c
}

// tileHead is the head of a request, but for its end.
func tileHead(id string) string {
	return fmt.Sprintf("GET /map-tile?user=k HTTP/1.1\r\nHost: b\r\nReq-Deadline: 4000m\r\nReq-Id: %s\r\n", id)
}

// Signals come one upon another while requests are open: a reload, then a stop, the stop
// again, and a reload after it. What was taken is answered, half a head that goes on is
// served, and the process ends by itself and in order.
func TestSignalsUponSignals(t *testing.T) {
	s, held, release := heldSite(t)
	p := s.start()
	p.ready(t)
	out, half := s.connect(), s.connect()
	io.WriteString(out, tileHead("held-out")+"\r\n")
	await(t, "the request to be out", held)
	io.WriteString(half, tileHead("held-half"))
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		if err := p.Signal(signal); err != nil {
			t.Fatal(err)
		}
	}
	io.WriteString(half, "\r\n")
	await(t, "the half head's request to be out", held)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(release)
	for name, c := range map[string]net.Conn{"the one that was out": out, "the one half sent": half} {
		if status, err := readStatus(c); status != 200 {
			t.Errorf("%s: answered %d, %v", name, status, err)
		}
	}
	await(t, "the process to end", p.Ended)
}

// Idle clients fill the descriptors while discovery is down. When it is back the sidecar
// hears of what has changed, and of requests on the connections that are left and on new
// ones none is without an answer.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	const descriptors = 128
	s := newSite(t)
	s.sockets = descriptors
	s.configure("map-tile")
	after, err := lab.StartEndpoint(lab.EndpointConfig{Workers: 10, Body: 20, Work: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(after.Close)
	s.registry.Close()
	addr := s.registry.Addr()
	p := s.start()
	if err := unix.Prlimit(p.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil); err != nil {
		t.Fatal(err)
	}
	p.ready(t)
	for range 2 * descriptors {
		if c, err := net.DialTimeout("tcp", s.listen, patience); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	if s.registry, err = lab.StartRegistryAt(addr, scene.Entries(after), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.registry.Close)
	s.registry.Set(scene.Entries(after)) // a later version than the one that is known
	for i, until := 0, time.Now().Add(patience); after.Served() == 0; i++ {
		c := s.connect()
		io.WriteString(c, tileHead(fmt.Sprint("crowd-", i))+"\r\n")
		if status, err := readStatus(c); status != 200 {
			t.Fatalf("request %d: answered %d, %v", i, status, err)
		}
		c.Close()
		if time.Now().After(until) {
			t.Fatal("the list that discovery has since its return is not known")
		}
	}
}
