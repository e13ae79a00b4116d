package http1

import (
	"fmt"
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
	const deadline, unread = 700 * time.Millisecond, 400 * time.Millisecond
	sent := make(chan string, 1)
	s := listening(t, Config{}, nil, listenEndpoint(t, echo(func(r *http.Request) { sent <- r.Header.Get("Req-Deadline") })))
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /tile/1 HTTP/1.1\r\nHost: b\r\nReq-Id: 1\r\nReq-Deadline: %dm\r\n\r\n", deadline.Milliseconds())
	<-time.After(unread)
	t.Cleanup(serve(s))
	us, err := strconv.Atoi(strings.TrimSuffix(<-sent, "u"))
	if most := deadline - unread + permit.MaxStall; err != nil || time.Duration(us)*time.Microsecond > most {
		t.Errorf("the endpoint was given %d us, at most %v are left: %v", us, most, err)
	}
}
