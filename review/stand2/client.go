package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// newID is an id that no request had before.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// ready asks for /health/ready.
func ready(addr string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + addr + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// request is what a client sends.
type request struct {
	method, class, id, key, user string
	deadline                     time.Duration
	body                         string
	length                       int // of the body; 0: that of body
}

func (r *request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s?user=%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: north\r\nReq-Deadline: %dm\r\n",
		r.method, r.class, r.user, r.id, r.class, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.key)
	}
	if r.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", max(r.length, len(r.body)))
	}
	return b.String() + "\r\n"
}

// answer is what a client gets; a status of 0 is none.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d %.80q", a.status, strings.TrimSpace(a.body))
}

// conn is a client's connection, with one request at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
}

func dial(addr string) (*conn, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// receive reads the answer.
func (c *conn) receive(within time.Duration, method string) (a answer, keep bool) {
	c.SetReadDeadline(time.Now().Add(within))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}, false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}, false
	}
	return answer{status: resp.StatusCode, body: string(body)}, !resp.Close
}

// ask sends a request and reads the answer. A kept connection that was closed between
// requests is replaced, as the protocol has it.
func ask(c *conn, addr string, r *request) (*conn, answer) {
	for fresh := c == nil; ; fresh = true {
		if fresh {
			var err error
			if c, err = dial(addr); err != nil {
				return nil, answer{err: err}
			}
		}
		_, err := io.WriteString(c, r.head()+r.body)
		var a answer
		keep := false
		if a.err = err; err == nil {
			a, keep = c.receive(r.deadline+600*time.Millisecond, r.method)
		}
		if a.err == nil && keep {
			return c, a
		}
		c.Close()
		if a.err == nil || fresh {
			return nil, a
		}
	}
}
