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

// newBlockingFixture returns a fixture whose endpoint blocks requests with "held" in their id until
// release is closed.
func newBlockingFixture(t *testing.T) (s *sidecarFixture, blocked chan string, release chan struct{}) {
	t.Helper()
	s = newSidecarFixture(t)
	blocked, release = make(chan string, 16), make(chan struct{})
	s.answerFunc = func(_ http.ResponseWriter, r *http.Request) bool {
		if id := r.Header.Get("Req-Id"); strings.Contains(id, "held") {
			blocked <- id
			<-release
		}
		return false
	}
	return s, blocked, release
}

// dial opens a connection to the sidecar.
func (s *sidecarFixture) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// requestHead returns the head of a request without the empty line that ends it.
func requestHead(id string) string {
	return fmt.Sprintf("GET /map-tile?user=k HTTP/1.1\r\nHost: b\r\nReq-Deadline: 4000m\r\nReq-Id: %s\r\n", id)
}

// A reload, two stops, another reload and an interrupt are signalled while requests are in flight.
// Accepted requests are answered, a request whose head is completed later is served, and the
// process exits by itself.
func TestRepeatedSignals(t *testing.T) {
	s, blocked, release := newBlockingFixture(t)
	p := s.start()
	p.ready(t)
	out, half := s.dial(), s.dial()
	io.WriteString(out, requestHead("held-out")+"\r\n")
	await(t, "the request to be in flight", blocked)
	io.WriteString(half, requestHead("held-half"))
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		if err := p.Signal(signal); err != nil {
			t.Fatal(err)
		}
	}
	io.WriteString(half, "\r\n")
	await(t, "the request with the completed head to be in flight", blocked)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(release)
	for name, c := range map[string]net.Conn{"the request in flight": out, "the request with a partial head": half} {
		if status, err := readStatus(c); status != 200 {
			t.Errorf("%s: answered %d, %v", name, status, err)
		}
	}
	await(t, "the process to end", p.Ended)
}

// Idle client connections use up the file descriptors while discovery is down. When discovery
// is back the sidecar must receive the new endpoint list, and every request on a new connection
// must be answered.
func TestTooManyConnectionsWhileDiscoveryIsDown(t *testing.T) {
	const descriptors = 128
	s := newSidecarFixture(t)
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
		if c, err := net.DialTimeout("tcp", s.listen, testTimeout); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	if s.registry, err = lab.StartRegistryAt(addr, scene.Entries(after), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.registry.Close)
	s.registry.Set(scene.Entries(after)) // a later version than the sidecar's
	for i, until := 0, time.Now().Add(testTimeout); after.Served() == 0; i++ {
		c := s.dial()
		io.WriteString(c, requestHead(fmt.Sprint("crowd-", i))+"\r\n")
		if status, err := readStatus(c); status != 200 {
			t.Fatalf("request %d: answered %d, %v", i, status, err)
		}
		c.Close()
		if time.Now().After(until) {
			t.Fatal("the sidecar has not received the list of the restarted discovery service")
		}
	}
}
