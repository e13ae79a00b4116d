package trial

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A body counts as taken once its last byte is written, however its connection ends then.
func TestUploadsAreJudgedFromTheirLastByte(t *testing.T) {
	plan := uploadPlan{class: 1, length: 200_000}
	for name, c := range map[string]struct {
		does func(c net.Conn, r *http.Request)
		lost bool
	}{
		"read whole and closed": {func(c net.Conn, r *http.Request) { io.Copy(io.Discard, r.Body) }, true},
		"read whole, answered late": {func(c net.Conn, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			<-time.After(defaultClasses[plan.class].deadline + 2*answerSlack)
			fmt.Fprint(c, "HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n")
		}, true},
		"read whole and failed in time": {func(c net.Conn, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			fmt.Fprint(c, "HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n")
		}, false},
		"reset before its end": {func(c net.Conn, _ *http.Request) { c.(*net.TCPConn).SetLinger(0) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, cl := scripted(t, func(conn net.Conn) {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					c.does(conn, r)
				}
			})
			u := &uploader{*cl}
			longer := plan
			if name == "reset before its end" {
				longer.length = mostUpload // beyond what the sockets hold
			}
			u.upload(longer)
			if n := len(p.judge.broken); (n > 0) != c.lost {
				t.Errorf("%d violations: %v; lost is expected: %t", n, p.judge.broken, c.lost)
			}
		})
	}
}
