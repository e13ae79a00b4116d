package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// net/http sets a write deadline at the end of a head and leaves it in force while a body arrives.
func TestWriteDeadlineFromHeadDoesNotLoseTheAnswer(t *testing.T) {
	long := strings.Repeat("x", 200_000)
	for name, request := range map[string]string{
		"plain":             tile("d1"),
		"body of a length":  report("d2", long),
		"streamed body":     report("d3", strings.Repeat("x", 1<<20+1)),
		"chunked body":      reportHead + "Req-Id: d4\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long),
		"without keepalive": strings.Replace(tile("d5"), "HTTP/1.1", "HTTP/1.0", 1),
	} {
		t.Run(name, func(t *testing.T) {
			var s *Server
			addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				io.Copy(io.Discard, r.Body)
				expireWriteDeadlines(s)
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			})
			s = start(t, nil, addr)
			c := dial(t, s)
			io.WriteString(c, request)
			if status, body := read(t, c); status != 200 || body != "ok" {
				t.Errorf("status %d, %q", status, body)
			}
		})
	}
}

// expireWriteDeadlines does what net/http does when a deadline of an earlier phase is over.
func expireWriteDeadlines(s *Server) {
	for _, c := range connections(s) {
		c.SetWriteDeadline(time.Unix(1, 0))
	}
}
