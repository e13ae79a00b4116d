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

	"spokegw/internal/core"
	"spokegw/internal/figures"
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
