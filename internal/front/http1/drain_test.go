package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/shutdown"
)

// serveUntilStop runs a server until stopIn is called: its stop was then requested so long ago that the
// last answers are due after left. stopIn returns when the server has begun the stop.
func serveUntilStop(t *testing.T, s *Server) (stopIn func(left time.Duration) (ended <-chan struct{})) {
	t.Helper()
	ctx, cancel := context.WithCancelCause(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel(nil)
		<-done
	})
	return func(left time.Duration) <-chan struct{} {
		now := time.Now()
		schedule := shutdown.NewSchedule(now, s.core.MaxDeadline())
		cancel(&shutdown.Requested{At: now.Add(left - schedule.AnswerBy.Sub(now))})
		for until := now.Add(waitTimeout); !s.core.Stopping(); <-time.After(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("the stop does not begin")
			}
		}
		return done
	}
}

// A request of which only a part has arrived at the last answers of a stop is refused, and not closed in silence.
func TestIncompleteRequestIsAnsweredAtStop(t *testing.T) {
	const chunkedHead = reportHead + "Req-Id: chunks\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, part := range map[string]string{
		"half a head":                   tileHead,
		"half a body":                   reportHead + "Req-Id: half\r\nContent-Length: 10\r\n\r\n12345",
		"half a chunked body":           chunkedHead + "5\r\n12345\r\n",
		"half a body that is streamed":  reportHead + "Req-Id: streamed\r\nContent-Length: 3000000\r\n\r\n12345",
		"a head byte by byte":           "G",
		"a chunk without its end":       chunkedHead + "a\r\n12",
		"a body without its first byte": reportHead + "Req-Id: none\r\nContent-Length: 10\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := listening(t, Config{}, nil, listenEndpoint(t, func(_ net.Conn, br *bufio.Reader) { br.ReadByte() }))
			stopIn := serveUntilStop(t, s)
			c := dial(t, s)
			io.WriteString(c, part)
			awaitReceived(t, s)
			awaitEnd(c, stopIn(100*time.Millisecond))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if resp.StatusCode != 503 && resp.StatusCode != 504 || !resp.Close {
				t.Errorf("status %d, closes: %t", resp.StatusCode, resp.Close)
			}
		})
	}
}

// A body that comes in pieces during a stop, half of it there at the signal, is waited for and served.
func TestBodyInPiecesAcrossStopIsServed(t *testing.T) {
	s := listening(t, Config{}, nil, listenEndpoint(t, echo(func(*http.Request) {})))
	stopIn := serveUntilStop(t, s)
	c := dial(t, s)
	io.WriteString(c, reportHead+"Req-Id: pieces\r\nContent-Length: 10\r\n\r\n12345")
	awaitPartialRequest(t, s)
	stopIn(2 * time.Second)
	for _, piece := range []string{"6", "78", "9", "0"} {
		<-time.After(100 * time.Millisecond)
		io.WriteString(c, piece)
	}
	if status, body := read(t, c); status != 200 || body != "pieces" {
		t.Errorf("status %d: %s", status, body)
	}
}

// awaitEnd waits until the server has ended. What it wrote is there then, and nothing else is waited for.
func awaitEnd(c net.Conn, ended <-chan struct{}) {
	<-ended
	c.SetReadDeadline(time.Now().Add(requestTimeout / 5))
}

// The same for a later request of a connection that net/http serves.
func TestIncompleteLaterRequestIsAnsweredAtStop(t *testing.T) {
	s := listening(t, Config{Pipelining: true}, nil, listenEndpoint(t, echo(func(*http.Request) {})))
	stopIn := serveUntilStop(t, s)
	c := dial(t, s)
	io.WriteString(c, tile("first"))
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	io.WriteString(c, tileHead)
	awaitPartialRequest(t, s)
	awaitEnd(c, stopIn(100*time.Millisecond))
	if resp, err = http.ReadResponse(br, nil); err != nil || resp.StatusCode != 503 || !resp.Close {
		t.Errorf("no refusal: %v, %v", resp, err)
	}
}

// awaitPartialRequest waits until a part of a request has been read on the only connection.
func awaitPartialRequest(t *testing.T, s *Server) {
	t.Helper()
	for until := time.Now().Add(waitTimeout); ; <-time.After(time.Millisecond) {
		s.conns.mu.Lock()
		for c := range s.conns.conns {
			if !c.busy && !c.awaitsRequest() {
				s.conns.mu.Unlock()
				return
			}
		}
		s.conns.mu.Unlock()
		if time.Now().After(until) {
			t.Fatal("nothing of the request has been read")
		}
	}
}

// awaitReceived waits until the server has read something from each connection.
func awaitReceived(t *testing.T, s *Server) {
	t.Helper()
	for until := time.Now().Add(waitTimeout); ; <-time.After(time.Millisecond) {
		all, received := 0, 0
		s.conns.mu.Lock()
		for c := range s.conns.conns {
			all++
			if c.receivedAny.Load() {
				received++
			}
		}
		s.conns.mu.Unlock()
		if all > 0 && all == received {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d of %d connections have been read from", received, all)
		}
	}
}

// A request read between the last answers and the exit is refused at once, on a connection that was silent until then.
func TestRequestBehindLastAnswersIsRefused(t *testing.T) {
	s := listening(t, Config{}, nil, listenEndpoint(t, echo(func(r *http.Request) { t.Errorf("%s was sent on", r.Header.Get("Req-Id")) })))
	s.conns.firstTimeout = waitTimeout // the connection is not closed as silent
	stopIn := serveUntilStop(t, s)
	c := dial(t, s)
	for all, _ := s.conns.count(); all == 0; all, _ = s.conns.count() {
		<-time.After(time.Millisecond)
	}
	stopIn(-time.Millisecond)
	io.WriteString(c, tile("late"))
	if status, body := read(t, c); status != 503 {
		t.Errorf("status %d: %s", status, body)
	}
}

// A long answer that is cut off by the end of the process does not look complete, whichever form it has.
func TestLongAnswerCutByStopLooksIncomplete(t *testing.T) {
	text := noise(200_000)
	for name, answer := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*len(text)),
		"to end": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+" by HTTP/"+version, func(t *testing.T) {
				t.Parallel()
				s := listening(t, Config{}, nil, listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					io.WriteString(c, answer)
					c.Write(text)
					for { // it goes on slowly
						if _, err := c.Write(text[:1]); err != nil {
							return
						}
						<-time.After(20 * time.Millisecond)
					}
				}))
				stopIn := serveUntilStop(t, s)
				c := dial(t, s)
				head := "GET /tile/1?user=k HTTP/" + version + "\r\nHost: b\r\nReq-Kind: tile\r\nReq-Owner: o\r\nReq-Deadline: 7000m\r\nReq-Id: long\r\n\r\n"
				io.WriteString(c, head)
				br := bufio.NewReader(c)
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatal(err)
				}
				ended := stopIn(50 * time.Millisecond)
				n, err := io.Copy(io.Discard, resp.Body)
				if err == nil {
					t.Errorf("%d bytes look like the whole answer", n)
				} else if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) {
					t.Error(err)
				}
				<-ended
			})
		}
	}
}

// Clients that never finish a request fill the table at a stop: a true request among them has its answer.
func TestStopInACrowdAnswersTrueRequest(t *testing.T) {
	const limit = 60
	s := listening(t, Config{Limit: limit, BusyThreshold: limit / 4}, nil, listenEndpoint(t, func(_ net.Conn, br *bufio.Reader) {
		http.ReadRequest(br)
		br.ReadByte() // until the attempt is given up
	}))
	stopIn := serveUntilStop(t, s)
	held := dial(t, s)
	io.WriteString(held, tile("held"))
	for range 3 * limit {
		c := dial(t, s)
		io.WriteString(c, tileHead)
	}
	ended := stopIn(200 * time.Millisecond)
	for range limit {
		if c, err := net.Dial("tcp", s.Addr().String()); err == nil {
			defer c.Close()
			io.WriteString(c, "GET")
		}
	}
	if status, _ := read(t, held); status != 504 {
		t.Errorf("the true request: status %d", status)
	}
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Error("the stop does not end")
	}
}
