package rig

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// NewID is a new id or key.
func NewID(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// Head is the head of a request of a class.
func Head(class, id, key string, deadline time.Duration, length int) string {
	method := "GET"
	if length >= 0 {
		method = "POST"
	}
	h := fmt.Sprintf("%s /%s?user=%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: bijela-kosa\r\nReq-Deadline: %dm\r\n",
		method, class, NewID(8), id, class, deadline.Milliseconds())
	if key != "" {
		h += "Idempotency-Key: " + key + "\r\n"
	}
	if length >= 0 {
		h += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return h + "\r\n"
}

// Client is a client's connection.
type Client struct {
	net.Conn
	r *bufio.Reader
}

// Dial connects to a sidecar.
func Dial(addr string) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReader(c)}, nil
}

// ReadAnswer reads one whole answer.
func (c *Client) ReadAnswer(within time.Duration) (status int, body []byte, closes bool, err error) {
	c.SetReadDeadline(time.Now().Add(within))
	a, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, nil, true, err
	}
	defer a.Body.Close()
	body, err = io.ReadAll(a.Body)
	return a.StatusCode, body, a.Close, err
}
