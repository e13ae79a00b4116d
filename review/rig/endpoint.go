package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a request that has come whole at an endpoint.
type Request struct {
	*http.Request
	ID   string
	Body []byte
	At   time.Time // when its last byte had come
}

// Endpoint is an endpoint: it answers requests by Serve, one at a time on each connection.
type Endpoint struct {
	Name, Addr string
	// Serve handles one request on its connection, and reports whether the connection is kept.
	Serve func(e *Endpoint, c net.Conn, r *Request) (keep bool)
	// Accepted is called with each new connection, before anything is read; nil: nothing is done.
	Accepted func(c net.Conn)
	listener net.Listener
}

// NewEndpoint starts an endpoint at a free port.
func NewEndpoint(name string, serve func(e *Endpoint, c net.Conn, r *Request) (keep bool)) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Name: name, Addr: l.Addr().String(), Serve: serve, listener: l}
	return e, nil
}

// Run accepts connections.
func (e *Endpoint) Run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if e.Accepted != nil {
				e.Accepted(c)
			}
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				body, err := io.ReadAll(req.Body)
				if err != nil {
					return
				}
				if !e.Serve(e, c, &Request{Request: req, ID: req.Header.Get("Req-Id"), Body: body, At: time.Now()}) {
					return
				}
			}
		}()
	}
}

// Entry is the endpoint in discovery's form.
func (e *Endpoint) Entry(cell int, state string) Entry {
	return Entry{ID: e.Name, Addr: e.Addr, Zone: "zagreb-dc1", Kind: "std-1core", Cell: cell, State: state, Weight: 1}
}

// Answer writes a good answer: a text that only this endpoint makes, for this request.
func (e *Endpoint) Answer(c net.Conn, r *Request) error {
	text := AnswerText(e.Name, r.ID)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err
}

// AnswerText is the body of the answer of an endpoint to a request.
func AnswerText(endpoint, id string) string { return "answer of " + endpoint + " to " + id + "\n" }

// IsAnswerTo reports whether a text is the answer of any endpoint to a request.
func IsAnswerTo(id, text string) bool {
	name, ok := strings.CutPrefix(text, "answer of ")
	name, _, _ = strings.Cut(name, " ")
	return ok && text == AnswerText(name, id)
}
