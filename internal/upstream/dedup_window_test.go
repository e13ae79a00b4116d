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

// slowBody is a body whose last byte arrives on request.
type slowBody struct {
	last  chan struct{}
	first chan struct{} // closed when the second byte is requested
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

func (b *slowBody) Interrupt()             {}
func (b *slowBody) EarliestEnd() time.Time { return time.Now() }

// A retry begins within its deduplication window, and its streamed body ends after it. An
// endpoint begins a request on its last byte, so that byte must not be written then.
func TestLastByteWithinDedupWindow(t *testing.T) {
	const usable = 200 * time.Millisecond // usable part of the window when the first byte is written
	for name, c := range map[string]struct {
		chunked, late bool
		want          policy.Result
	}{
		"in time":                   {false, false, policy.Served},
		"in time, chunked":          {true, false, policy.Served},
		"after the window":          {false, true, policy.NotSent},
		"after the window, chunked": {true, true, policy.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan struct{}, 1)
			addr := endpoint(t, func(conn net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err == nil {
					received <- struct{}{}
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
			req.Stream = &BodyStream{Source: body, Chunked: c.chunked, AnswerTimeout: longTimeout}
			windowEnd := time.Now().Add(permit.MaxStall + usable)
			go func() {
				<-body.first
				if c.late {
					<-time.After(time.Until(windowEnd.Add(-permit.MaxStall)) + time.Millisecond)
				}
				close(body.last)
			}()
			a, _ := p.Begin(new(Cancellation), Endpoint{"s", addr}, req, Constraints{Deadline: time.Now().Add(longTimeout), DedupUntil: windowEnd}, nil)
			if a.Result != c.want || (len(received) == 1) == c.late || (a.Refused == permit.DedupWindowExpired) != c.late {
				t.Errorf("result %v, refused: %v, received completely: %t", a.Result, a.Refused, len(received) == 1)
			}
		})
	}
}

// The endpoint does not read the long body of a retry until the deduplication window is
// over: the remaining body must not be written.
func TestLongBodyBeyondDedupWindow(t *testing.T) {
	const usable = 50 * time.Millisecond
	windowEnd := time.Now().Add(permit.MaxStall + usable)
	received := make(chan bool, 1)
	addr := endpoint(t, func(conn net.Conn, r *bufio.Reader) {
		<-time.After(time.Until(windowEnd.Add(-permit.MaxStall)) + time.Millisecond)
		req, err := http.ReadRequest(r)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		conn.Close()
		received <- err == nil
	})
	p := newTestPool(1, 300<<10)
	p.dialer.Control = func(_, _ string, c syscall.RawConn) error { // little is written ahead of the reader
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4<<10) })
	}
	body := make([]byte, 1<<20)
	req := NewRequest(http.MethodPost, "/order", "b", int64(len(body)), http.Header{"Req-Id": {"1"}, "Idempotency-Key": {"k"}}, func(string) bool { return false })
	req.Body = body
	a, _ := p.Begin(new(Cancellation), Endpoint{"s", addr}, req, Constraints{Deadline: time.Now().Add(longTimeout), DedupUntil: windowEnd}, nil)
	if a.Result != policy.NotSent || a.Refused != permit.DedupWindowExpired || <-received {
		t.Errorf("result %v, refused: %v", a.Result, a.Refused)
	}
}
