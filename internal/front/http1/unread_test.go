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

// The process stands still while a request waits unread: its endpoint was told the request's whole time.
func TestTimeUnreadIsNotToldToTheEndpoint(t *testing.T) {
	const deadline, unread = 700 * time.Millisecond, 400 * time.Millisecond
	told := make(chan string, 1)
	s := listening(t, Config{}, nil, listenEndpoint(t, echo(func(r *http.Request) { told <- r.Header.Get("Req-Deadline") })))
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /tile/1 HTTP/1.1\r\nHost: b\r\nReq-Id: 1\r\nReq-Deadline: %dm\r\n\r\n", deadline.Milliseconds())
	<-time.After(unread)
	t.Cleanup(serve(s))
	us, err := strconv.Atoi(strings.TrimSuffix(<-told, "u"))
	if most := deadline - unread + permit.MaxStall; err != nil || time.Duration(us)*time.Microsecond > most {
		t.Errorf("told %d us, of which %v are left at most: %v", us, most, err)
	}
}
