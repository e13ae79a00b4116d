package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// refuseAll is an Admission that refuses all requests while it is on.
type refuseAll struct {
	on    atomic.Bool
	asked atomic.Int32
}

func (d *refuseAll) Active() bool { return d.on.Load() }
func (d *refuseAll) Refuse(string) (bool, time.Duration) {
	d.asked.Add(1)
	return true, 1500 * time.Millisecond
}

// A refused request gets one complete answer, and its connection stays open for the
// next request, which is served once admission allows it. Requests that are not plain
// are admitted.
func TestAdmission(t *testing.T) {
	const plain = "GET /tile/1?user=k HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Deadline: 900m\r\n\r\n"
	admission := &refuseAll{}
	addr := listenEndpoint(t, echo(func(*http.Request) {}))
	c, err := net.Dial("tcp", startWith(t, Config{Admission: admission}, nil, addr).Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	r := bufio.NewReader(c)
	ask := func(text string) (int, string, string) {
		t.Helper()
		io.WriteString(c, text)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, resp.Header.Get("Retry-After"), string(body)
	}
	if status, _, _ := ask(fmt.Sprintf(plain, "a")); status != 200 {
		t.Errorf("status %d without refusals", status)
	}
	admission.on.Store(true)
	for i := range 50 {
		text := fmt.Sprintf(plain, fmt.Sprint("b", i))
		if i%2 == 1 { // a body that arrived with its head is consumed with it
			text = "POST /report HTTP/1.1\r\nHost: x\r\nReq-Id: b\r\nReq-Deadline: 900m\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n\r\nhello"
		}
		if status, after, body := ask(text); status != 503 || after != "1.500" || body != overloadedText {
			t.Fatalf("request %d is to be refused: %d, %q, %q", i, status, after, body)
		}
	}
	if n := admission.asked.Load(); n != 50 {
		t.Errorf("admission was asked %d times", n)
	}
	if status, _, _ := ask("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
		t.Errorf("the readiness check is answered %d", status)
	}
	admission.on.Store(false)
	if status, _, _ := ask(fmt.Sprintf(plain, "c")); status != 200 {
		t.Errorf("status %d after refusals have ended", status)
	}
	if n := admission.asked.Load(); n != 50 {
		t.Errorf("admission was asked without refusals: %d", n)
	}
}

// Requests that regular processing answers with an error, or that can't be discarded
// completely, are not decided on.
func TestAdmissionSkipsIrregularRequests(t *testing.T) {
	const fields = "Host: x\r\nReq-Id: a\r\nReq-Deadline: 900m\r\n"
	for name, text := range map[string]string{
		"no id":              "GET /tile HTTP/1.1\r\nHost: x\r\n\r\n",
		"HEAD":               "HEAD /tile HTTP/1.1\r\n" + fields + "\r\n",
		"HTTP/1.0":           "GET /tile HTTP/1.0\r\n" + fields + "\r\n",
		"a whole URL":        "GET http://x/tile HTTP/1.1\r\n" + fields + "\r\n",
		"a body in chunks":   "POST /report HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"more than its body": "POST /report HTTP/1.1\r\n" + fields + "Content-Length: 1\r\n\r\nabc",
		"two lengths":        "POST /report HTTP/1.1\r\n" + fields + "Content-Length: 1\r\nContent-Length: 2\r\n\r\na",
		"a bare LF":          "GET /tile HTTP/1.1\nHost: x\nReq-Id: a\n\n",
		"its end":            "GET /tile HTTP/1.1\r\n" + fields + "Connection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			admission := &refuseAll{}
			admission.on.Store(true)
			c, err := net.Dial("tcp", startWith(t, Config{Admission: admission}, nil).Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(20 * time.Second))
			io.WriteString(c, text)
			first, _ := bufio.NewReader(c).ReadString('\n')
			if admission.asked.Load() > 0 || !strings.HasPrefix(first, "HTTP/1.") {
				t.Errorf("asked %d times; answered %q", admission.asked.Load(), first)
			}
		})
	}
}
