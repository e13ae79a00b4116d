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

// uploadDeadline is the deadline of the uploads here, and lateAnswer by how much an answer may
// come after it: half a second, and the slack on sockets.
const (
	uploadDeadline = 200 * time.Millisecond
	lateAnswer     = 550 * time.Millisecond
)

// upload sends a whole body and returns the status of the answer, and when that came after the
// body's last byte was written.
func upload(t *testing.T, c net.Conn, body []byte, inChunks bool) (status int, after time.Duration) {
	t.Helper()
	head := strings.Replace(reportHead, "7000m", fmt.Sprint(uploadDeadline.Milliseconds(), "m"), 1) + "Req-Id: up\r\n"
	framed := append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, len(body)), body...)
	if inChunks {
		framed = append([]byte(head+"Transfer-Encoding: chunked\r\n\r\n"), chunked(body)...)
	}
	if _, err := c.Write(framed); err != nil {
		t.Fatalf("the body could not be written: %v", err)
	}
	written := time.Now()
	status, _ = read(t, c)
	return status, time.Since(written)
}

// While an endpoint takes no more of a body, the client's time runs unseen: its last byte waits in socket buffers.
func TestUploadToStalledEndpointIsAnsweredInTime(t *testing.T) {
	const size = 6 << 20
	for name, read := range map[string]func(r io.Reader){
		"64 bytes":    func(r io.Reader) { io.CopyN(io.Discard, r, 64) },
		"half":        func(r io.Reader) { io.CopyN(io.Discard, r, size/2) },
		"all but 1KB": func(r io.Reader) { io.CopyN(io.Discard, r, size-1000) },
		"40 kB/s": func(r io.Reader) {
			for range 100 {
				if _, err := io.CopyN(io.Discard, r, 4000); err != nil {
					return
				}
				<-time.After(100 * time.Millisecond)
			}
		},
	} {
		for _, inChunks := range []bool{false, true} {
			t.Run(fmt.Sprint(name, inChunks), func(t *testing.T) {
				t.Parallel()
				addr := listenEndpoint(t, func(c net.Conn, _ *bufio.Reader) {
					read(c)
					<-t.Context().Done()
				})
				status, after := upload(t, dial(t, start(t, nil, addr)), noise(size), inChunks)
				if status < 500 || after > uploadDeadline+lateAnswer {
					t.Errorf("status %d, %v after the last byte", status, after)
				}
			})
		}
	}
}

// A client that pauses must not be taken for an endpoint that stalls.
func TestPausesOfUploadDoNotCountAsItsDeadline(t *testing.T) {
	const size, pieces = 2 << 20, 5
	for _, inChunks := range []bool{false, true} {
		t.Run(fmt.Sprint(inChunks), func(t *testing.T) {
			t.Parallel()
			addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
				if r, err := http.ReadRequest(br); err == nil {
					io.Copy(io.Discard, r.Body)
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			c := dial(t, start(t, nil, addr))
			head := strings.Replace(reportHead, "7000m", "200m", 1) + "Req-Id: up\r\n"
			framed := append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, size), noise(size)...)
			if inChunks {
				framed = append([]byte(head+"Transfer-Encoding: chunked\r\n\r\n"), chunked(noise(size))...)
			}
			for at, n := 0, len(framed)/pieces+1; at < len(framed); at += n {
				c.Write(framed[at:min(at+n, len(framed))])
				<-time.After(uploadDeadline + 2*lateAnswer/3) // the pause is what is tested
			}
			if status, body := read(t, c); status != 200 || body != "ok" {
				t.Errorf("status %d, %q", status, body)
			}
		})
	}
}
