package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/permit"
	"spokegw/policy"
)

// slowBody is a body whose last byte comes when it is told to.
type slowBody struct {
	last  chan struct{}
	first chan struct{} // closed when its first byte has been asked for
	n     int
}

func (b *slowBody) Read(p []byte) (int, error) {
	b.n++
	switch b.n {
	case 1:
		p[0] = 'a'
		return 1, nil
	case 2:
		close(b.first)
		<-b.last
		p[0] = 'b'
		return 1, nil
	}
	return 0, io.EOF
}

func (b *slowBody) Interrupt() {}

// A repeat is begun in its window, and the body that is passed on ends after it: an
// endpoint begins a request with its last byte, which is not written then.
func TestLastByteIsWrittenInTheWindow(t *testing.T) {
	const usable = 200 * time.Millisecond // of the window, as the first byte is written
	for name, c := range map[string]struct {
		chunked, late bool
		want          policy.Result
	}{
		"in time":                  {false, false, policy.Served},
		"in time, in chunks":       {true, false, policy.Served},
		"after the window":         {false, true, policy.NotSent},
		"after the window, chunks": {true, true, policy.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := make(chan struct{}, 1)
			addr := endpoint(t, func(conn net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err == nil {
					whole <- struct{}{}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				conn.Close()
			})
			p := newTestPool(1, 300<<10)
			body := &slowBody{first: make(chan struct{}), last: make(chan struct{})}
			length := int64(2)
			if c.chunked {
				length = ChunkedLength
			}
			req := NewRequest(http.MethodPost, "/order", "b", length, http.Header{"Req-Id": {"1"}, "Idempotency-Key": {"k"}}, func(string) bool { return false })
			req.Stream = &BodyStream{Source: body, Chunked: c.chunked, AnswerTimeout: long}
			by := time.Now().Add(permit.MaxStall + usable)
			go func() {
				<-body.first
				if c.late {
					<-time.After(time.Until(by.Add(-permit.MaxStall)) + time.Millisecond)
				}
				close(body.last)
			}()
			a, _ := p.Begin(new(Cancellation), Endpoint{"s", addr}, req, Constraints{Deadline: time.Now().Add(long), DedupUntil: by}, nil)
			if a.Result != c.want || (len(whole) == 1) == c.late || (a.Refused == permit.DedupWindowExpired) != c.late {
				t.Errorf("%v, refused as %v, whole at the endpoint: %t", a.Result, a.Refused, len(whole) == 1)
			}
		})
	}
}

// A repeat's body of some length waits for its endpoint to read, until its window is over: the
// rest of it is not written.
func TestLongBodyWaitsUntilTheWindowIsOver(t *testing.T) {
	const usable = 50 * time.Millisecond
	by := time.Now().Add(permit.MaxStall + usable)
	whole := make(chan bool, 1)
	addr := endpoint(t, func(conn net.Conn, r *bufio.Reader) {
		<-time.After(time.Until(by.Add(-permit.MaxStall)) + time.Millisecond)
		req, err := http.ReadRequest(r)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		conn.Close()
		whole <- err == nil
	})
	p := newTestPool(1, 300<<10)
	p.dialer.Control = func(_, _ string, c syscall.RawConn) error { // little goes ahead of the reader
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4<<10) })
	}
	body := make([]byte, 1<<20)
	req := NewRequest(http.MethodPost, "/order", "b", int64(len(body)), http.Header{"Req-Id": {"1"}, "Idempotency-Key": {"k"}}, func(string) bool { return false })
	req.Body = body
	a, _ := p.Begin(new(Cancellation), Endpoint{"s", addr}, req, Constraints{Deadline: time.Now().Add(long), DedupUntil: by}, nil)
	if a.Result != policy.NotSent || a.Refused != permit.DedupWindowExpired || <-whole {
		t.Errorf("%v, refused as %v", a.Result, a.Refused)
	}
}
