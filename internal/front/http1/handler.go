// Package http1 is the HTTP/1.1 side towards clients: it checks how their
// messages are framed, holds their connections within bounds, and translates
// between them and the core. It decides nothing about a request.
package http1

import (
	"io"
	"net/http"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/front"
)

// requestPatience is for a request to come whole, from its first byte or, if
// it is the connection's first, from when that was made. Clients are owed an
// answer or a close within 3 s, however little they say. It could cut off a
// client on a slow link, which the application on this machine is not.
const requestPatience = 2500 * time.Millisecond

// handler hands requests to the core and writes its answers.
type handler struct {
	core   *core.Core
	altSvc string // of Alt-Svc (RFC 7838); "": none
}

// ServeHTTP reads a request to its end, has the core answer it, and writes the
// one answer. What is malformed is answered here and not sent on, and its
// connection closed: where the next request would begin on it is in doubt.
func (in *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*clientConn)
	if r.URL.Path == "/health/ready" && r.Header.Get("Req-Id") == "" && r.ContentLength == 0 {
		in.write(w, conn, &core.Answer{Status: http.StatusOK, Header: http.Header{}})
		return
	}
	x, refused := in.core.Open(&core.Head{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Length: r.ContentLength,
	})
	rc := http.NewResponseController(w)
	if refused != nil {
		in.refuse(w, r, rc, conn, refused)
		return
	}
	rc.SetReadDeadline(front.At(time.Duration(conn.begun.Load()) + requestPatience))
	body, err := front.ReadBody(r.Body, r.ContentLength, x.Hold)
	if err != nil {
		x.Drop()
		in.write(w, conn, front.NotWhole(err))
		return
	}
	rc.SetReadDeadline(time.Time{}) // else it would end the watch for a client that leaves
	switch {
	case conn.crowded():
		x.Drop()
		in.write(w, conn, &core.Answer{Status: http.StatusBadRequest, Reason: "something follows before the request was answered", Malformed: true})
		return
	case !conn.take():
		x.Drop()
		panic(http.ErrAbortHandler)
	}
	a, err := x.Do(r.Context(), body)
	if err != nil {
		panic(http.ErrAbortHandler) // nobody is there to read an answer
	}
	in.write(w, conn, &a)
}

// refuse answers a request of which the head was enough. The answer goes out at
// once; the body that is still to come is then read and dropped, so that the
// connection can be kept. A body that does not come in time, or is too long,
// ends the connection.
func (in *handler) refuse(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, conn *clientConn, a *core.Answer) {
	if r.ContentLength < 0 || r.ContentLength > front.MaxBody {
		a.Malformed = true
	}
	if a.Malformed || r.ContentLength == 0 {
		in.write(w, conn, a)
		return
	}
	rc.EnableFullDuplex() // else the server reads the body before it lets the answer out
	in.write(w, conn, a)
	rc.Flush()
	rc.SetReadDeadline(front.At(time.Duration(conn.begun.Load()) + requestPatience))
	if n, err := io.Copy(io.Discard, r.Body); err != nil || n != r.ContentLength {
		panic(http.ErrAbortHandler) // the server would take the rest for a request
	}
	rc.SetReadDeadline(time.Time{})
}

// write writes an answer. After one to what was malformed the connection is
// closed: without that net/http reads on in what is left of the body, for as
// long as its sender likes.
func (in *handler) write(w http.ResponseWriter, conn *clientConn, a *core.Answer) {
	if a.Malformed || conn.answering() {
		w.Header().Set("Connection", "close")
	}
	if in.altSvc != "" {
		w.Header().Set("Alt-Svc", in.altSvc)
	}
	front.Write(w, a)
}
