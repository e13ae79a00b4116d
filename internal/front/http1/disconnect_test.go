package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/budget"
	"spokegw/internal/core"
	"spokegw/internal/figures"
	"spokegw/internal/upstream"
)

// An attempt that times out interrupts the body, which must not end the request once the body is complete.
func TestTimeoutOfCompleteUploadIsAnswered(t *testing.T) {
	for _, size := range []int{1<<20 + 1, 2 << 20, 6 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
				if r, err := http.ReadRequest(br); err == nil {
					io.Copy(io.Discard, r.Body)
					io.Copy(io.Discard, c) // until the attempt is given up
				}
			})
			c := dial(t, start(t, nil, addr))
			head := strings.Replace(reportHead, "7000m", "200m", 1)
			fmt.Fprintf(c, "%sReq-Id: hang\r\nContent-Length: %d\r\n\r\n%s", head, size, noise(size))
			if status, _ := read(t, c); status != http.StatusGatewayTimeout {
				t.Errorf("status %d", status)
			}
		})
	}
}

func connections(s *Server) (all []*clientConn) {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	for c := range s.conns.conns {
		all = append(all, c)
	}
	return all
}

// A failed read on an open connection must not be taken for a client that has disconnected.
func TestTooMuchEarlyDataDoesNotLoseTheAnswer(t *testing.T) {
	for name, request := range map[string]string{
		"plain":    tile("early"),
		"fallback": report("early", strings.Repeat("x", 2*maxPlainBody)),
	} {
		t.Run(name, func(t *testing.T) {
			counters := figures.New()
			received := make(chan struct{})
			addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				io.Copy(io.Discard, r.Body)
				close(received)
				for counters.Disconnects[figures.Unconfirmed].Load()+counters.Disconnects[figures.ConnectionEnded].Load() == 0 {
					<-time.After(time.Millisecond)
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			})
			c := dial(t, start(t, func(sc *core.ServiceConfig) { sc.Figures = counters }, addr))
			io.WriteString(c, request)
			<-received
			go c.Write(make([]byte, 2*maxLingerBytes))
			if status, body := read(t, c); status != 200 || body != "ok" {
				t.Errorf("status %d, %q", status, body)
			}
		})
	}
}

// socketPair returns both sides of a connection, which are closed at the end of the test.
func socketPair(t *testing.T) (client net.Conn, accepted *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return client, conn.(*net.TCPConn)
}

// The end of a connection must not be hidden by data that was sent before it and is unread (report 035337).
func TestDisconnectIsSeenBehindUnreadData(t *testing.T) {
	for _, unread := range []int{0, 1, 100_000} {
		s := start(t, nil, listenEndpoint(t, echo(func(*http.Request) {})))
		client, accepted := socketPair(t)
		conn := s.conns.add(accepted)
		client.Write(make([]byte, unread))
		if conn.Disconnected() {
			t.Errorf("%d bytes unread: the client counts as disconnected before it has closed", unread)
		}
		client.Close()
		for until := time.Now().Add(waitTimeout); !conn.Disconnected() && time.Now().Before(until); {
			runtime.Gosched()
		}
		if !conn.Disconnected() {
			t.Errorf("%d bytes unread: the client has closed and does not count as disconnected", unread)
		}
		conn.TCPConn.Close()
		s.conns.stateChanged(conn, http.StateClosed)
	}
}

// A client that closes its connection while much of what it has written is unread has left: nothing of that is
// run afterwards (report 035337).
func TestUnreadRequestsOfClientThatHasLeftAreNotRun(t *testing.T) {
	const size = 3 << 20
	upload := fmt.Sprintf("%sReq-Id: unread\r\nContent-Length: %d\r\n\r\n%s", reportHead, size, noise(size))
	for name, c := range map[string]struct {
		config Config
		text   string
	}{
		"a body behind a request that holds up the endpoint's connection": {Config{}, upload},
		"requests ahead of their answers":                                 {Config{Pipelining: true}, tile("holds") + tile("unread") + report("unread-2", "x")},
	} {
		t.Run(name, func(t *testing.T) {
			begun, left := make(chan struct{}), make(chan struct{})
			var ran sync.Map // by id
			addr := listenEndpoint(t, func(conn net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				id := r.Header.Get("Req-Id")
				if id == "holds" {
					close(begun)
					<-left
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				if ran.Store(id, true); id == "holds" {
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
				}
			})
			s := startWith(t, c.config, func(sc *core.ServiceConfig) {
				sc.Pool = upstream.NewPool(upstream.Resources{Slots: budget.New(1).Join(1, nil), StreamBytes: budget.New(8<<20).Join(1, nil)}, waitTimeout, 10*time.Second)
			}, addr)
			if c.text == upload {
				io.WriteString(dial(t, s), tile("holds"))
				<-begun
			}
			client := dial(t, s)
			written := make(chan error, 1)
			go func() {
				_, err := io.WriteString(client, c.text)
				written <- err
			}()
			<-begun
			select {
			case <-written:
			case <-time.After(100 * time.Millisecond): // the buffers of both sockets are full
			}
			client.Close()
			<-time.After(100 * time.Millisecond)
			close(left)
			<-time.After(300 * time.Millisecond)
			ran.Range(func(id, _ any) bool {
				if strings.HasPrefix(id.(string), "unread") {
					t.Errorf("%s has run", id)
				}
				return true
			})
		})
	}
}

// A read that fails for want of memory on an open connection must not end a request that was read and not yet started.
func TestFailedReadDoesNotLoseQueuedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		err      error
		leaves   bool
		answered bool
	}{
		"no memory":                        {syscall.ENOMEM, false, true},
		"no buffers":                       {syscall.ENOBUFS, false, true},
		"nothing to read":                  {os.ErrDeadlineExceeded, false, true},
		"no memory, and the client left":   {syscall.ENOMEM, true, false},
		"the end, and the client has left": {io.EOF, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			ran := make(chan string, 1)
			s := start(t, nil, listenEndpoint(t, echo(func(r *http.Request) { ran <- r.Header.Get("Req-Id") })))
			client, accepted := socketPair(t)
			conn := s.conns.add(accepted)
			defer func() {
				conn.TCPConn.Close()
				s.conns.stateChanged(conn, http.StateClosed)
			}()
			x, refused := s.core.Open(&core.Head{Method: "GET", Target: "/tile/1", Host: "b", Client: conn, Header: http.Header{"Req-Id": {"queued"}, "Req-Deadline": {"4000m"}}})
			if refused != nil {
				t.Fatalf("%+v", refused)
			}
			if c.leaves {
				client.Close()
				for !conn.Disconnected() {
					runtime.Gosched()
				}
			}
			p := &plain{clientConn: conn, server: s, done: make(chan bool, 1), inFlight: true, unstarted: x}
			p.queued = job{p, x, nil, false}
			if started := p.startQueued(c.err); started != c.answered {
				t.Fatalf("started: %t", started)
			}
			if !c.answered {
				return
			}
			if status, body := read(t, client); status != 200 || body != "queued" || <-ran != "queued" || !<-p.done {
				t.Errorf("status %d, %q", status, body)
			}
		})
	}
}

// Guards against a connection that is kept after a message whose end is known to net/http alone: what
// follows that message is not checked.
func TestUnboundedMessageClosesItsConnection(t *testing.T) {
	chunked := reportHead + "Req-Id: u1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	for text, last := range map[string]bool{report("u2", "abc"): false, tile("u3"): false, chunked: true, tileHead + "Req-Id : u4\r\n\r\n": true} {
		client, accepted := socketPair(t)
		conn := newConnTable(10, 10).add(accepted)
		io.WriteString(client, text)
		if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
			t.Fatal(err)
		}
		if got := conn.beginAnswer(); got != last {
			t.Errorf("%q: closes after the answer: %t, want %t", text, got, last)
		}
		conn.TCPConn.Close()
	}
}
