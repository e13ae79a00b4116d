package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"spokegw/internal/permit"
)

// While a request waits unread because the process is stalled, its time runs: the
// endpoint must not be given the request's full deadline.
func TestUnreadTimeReducesDeadline(t *testing.T) {
	get := "GET /tile/1 HTTP/1.1\r\nHost: b\r\nReq-Id: 1\r\nReq-Deadline: 700m\r\n\r\n"
	post := "POST /report HTTP/1.1\r\nHost: b\r\nReq-Id: 1\r\nReq-Deadline: 700m\r\nIdempotency-Key: k\r\n"
	for name, request := range map[string]string{
		"plain":             get,
		"without keepalive": strings.Replace(get, "HTTP/1.1", "HTTP/1.0", 1),
		"body of a length":  post + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(noise(40_000)), noise(40_000)),
		"chunked body":      post + "Transfer-Encoding: chunked\r\n\r\n" + string(chunked(noise(40_000))),
	} {
		t.Run(name, func(t *testing.T) { testUnreadTime(t, request) })
	}
}

// testUnreadTime lets a request with a deadline of 700 ms wait unread.
func testUnreadTime(t *testing.T, request string) {
	const deadline, unread = 700 * time.Millisecond, 400 * time.Millisecond
	sent := make(chan string, 1)
	s := listening(t, Config{}, nil, listenEndpoint(t, echo(func(r *http.Request) { sent <- r.Header.Get("Req-Deadline") })))
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, request)
	<-time.After(unread)
	t.Cleanup(serve(s))
	us, err := strconv.Atoi(strings.TrimSuffix(<-sent, "u"))
	if most := deadline - unread + permit.MaxStall; err != nil || time.Duration(us)*time.Microsecond > most {
		t.Errorf("the endpoint was given %d us, at most %v are left: %v", us, most, err)
	}
}
