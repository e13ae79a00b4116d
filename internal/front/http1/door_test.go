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

// shut is a door that turns all away that it is asked about.
type shut struct {
	is    atomic.Bool
	asked atomic.Int32
}

func (d *shut) Active() bool { return d.is.Load() }
func (d *shut) Refuse(string) (bool, time.Duration) {
	d.asked.Add(1)
	return true, 1500 * time.Millisecond
}

// Who is turned away at the door has one whole answer, and his connection stays for the
// next request, which is served once the door is open. What is not plain is let in.
func TestDoor(t *testing.T) {
	const plain = "GET /tile/1?user=k HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Deadline: 900m\r\n\r\n"
	door := &shut{}
	addr := listenEndpoint(t, echo(func(*http.Request) {}))
	c, err := net.Dial("tcp", startWith(t, Config{Admission: door}, nil, addr).Addr().String())
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
		t.Errorf("%d at an open door", status)
	}
	door.is.Store(true)
	for i := range 50 {
		text := fmt.Sprintf(plain, fmt.Sprint("b", i))
		if i%2 == 1 { // a body that came with its head goes with it
			text = "POST /report HTTP/1.1\r\nHost: x\r\nReq-Id: b\r\nReq-Deadline: 900m\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n\r\nhello"
		}
		if status, after, body := ask(text); status != 503 || after != "1.500" || body != overloaded {
			t.Fatalf("request %d at a shut door: %d, %q, %q", i, status, after, body)
		}
	}
	if n := door.asked.Load(); n != 50 {
		t.Errorf("the door was asked %d times", n)
	}
	if status, _, _ := ask("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
		t.Errorf("whether it is ready is answered %d", status)
	}
	door.is.Store(false)
	if status, _, _ := ask(fmt.Sprintf(plain, "c")); status != 200 {
		t.Errorf("%d at a door that is open again", status)
	}
	if n := door.asked.Load(); n != 50 {
		t.Errorf("an open door was asked: %d", n)
	}
}

// What the usual way answers with a fault, or can't be dropped whole, is not judged.
func TestDoorLeavesToTheUsualWay(t *testing.T) {
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
			door := &shut{}
			door.is.Store(true)
			c, err := net.Dial("tcp", startWith(t, Config{Admission: door}, nil).Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(20 * time.Second))
			io.WriteString(c, text)
			first, _ := bufio.NewReader(c).ReadString('\n')
			if door.asked.Load() > 0 || !strings.HasPrefix(first, "HTTP/1.") {
				t.Errorf("asked %d times; answered %q", door.asked.Load(), first)
			}
		})
	}
}
