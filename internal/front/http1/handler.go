// Package http1 is the HTTP/1.1 side towards clients: it checks how their
// messages are framed, holds their connections within bounds, and translates
// between them and the core. It decides nothing about a request.
package http1

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/front"
	"spokegw/internal/target"
)

const requestPatience = front.RequestTimeout

// mostDropped is the longest body of a request that was refused which is read and
// dropped so that its connection can be kept.
const mostDropped = 64 << 10

// handler hands requests to the core and writes its answers.
type handler struct {
	core    *core.Core
	altSvc  atomic.Pointer[string] // of Alt-Svc (RFC 7838); nil or "": none
	drained atomic.Bool            // an operator wants no more requests here
}

// ServeHTTP reads a request to its end, has the core answer it, and writes the
// one answer. What is malformed is answered here and not sent on, and its
// connection closed: where the next request would begin on it is in doubt.
func (in *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*clientConn)
	if r.URL.Path == "/health/ready" && r.Header.Get("Req-Id") == "" && r.ContentLength == 0 {
		a := &core.Answer{Status: http.StatusOK, Header: http.Header{}}
		if in.drained.Load() {
			a = &core.Answer{Status: http.StatusServiceUnavailable, Reason: "drained by an operator"}
		}
		in.write(w, r, conn, a)
		return
	}
	x, refused := in.core.Open(&core.Head{
		Method: r.Method, Target: target.OriginForm(r.RequestURI), Host: r.Host, Header: r.Header, Length: r.ContentLength, Client: conn,
	})
	rc := http.NewResponseController(w)
	if refused != nil {
		in.refuse(w, r, rc, conn, refused)
		return
	}
	body := io.Reader(r.Body)
	if r.ContentLength < 0 {
		body = chunkedBody{r.Body, conn}
	}
	if r.ContentLength != 0 {
		body = front.NewPacedBody(body, rc, time.Duration(conn.begun.Load()))
	}
	held, more, err := front.ReadBody(body, r.ContentLength, x.ReserveBody)
	switch {
	case err != nil:
		a := front.IncompleteBody(err)
		x.Drop(a)
		in.write(w, r, conn, a)
		return
	case more:
		in.upload(w, r, rc, conn, x, held, body)
		return
	}
	if r.ContentLength != 0 {
		rc.SetReadDeadline(time.Time{}) // else it would end the watch for a client that leaves
	}
	switch {
	case conn.crowded():
		x.Drop(nil)
		in.write(w, r, conn, followsTooSoon())
		return
	case conn.Disconnected(), !conn.take():
		x.Drop(nil)
		panic(http.ErrAbortHandler)
	}
	a, err := x.Do(r.Context(), held)
	if err != nil {
		panic(http.ErrAbortHandler) // nobody is there to read an answer
	}
	in.write(w, r, conn, &a)
}

// upload has a request answered whose body is passed on as it comes. Unless it
// came whole its connection ends with the answer: where the next request would
// begin on it is not known.
func (in *handler) upload(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, conn *clientConn, x *core.Exchange, held []byte, body io.Reader) {
	if !conn.take() {
		x.Drop(nil)
		panic(http.ErrAbortHandler)
	}
	u := front.NewUpload(body, r.ContentLength, int64(len(held)), rc, conn.crowded)
	ctx, cancel := u.Context(r.Context())
	defer cancel()
	a, err := x.DoStream(ctx, held, u)
	switch fault := u.Close(); {
	case err != nil:
		panic(http.ErrAbortHandler)
	case front.SenderFault(fault):
		a.Replace(front.IncompleteBody(fault))
	case fault != nil:
		a.Malformed = true
	default:
		rc.SetReadDeadline(time.Time{})
	}
	if a.Malformed {
		rc.EnableFullDuplex() // else the server reads what is left of the body before it lets the answer out
		conn.extra.Store(true)
	}
	in.write(w, r, conn, &a)
}

// refuse answers a request of which the head was enough. The answer goes out at
// once; the body that is still to come is then read and dropped, so that the
// connection can be kept. A body that does not come in time, or is too long,
// ends the connection.
func (in *handler) refuse(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, conn *clientConn, a *core.Answer) {
	if r.ContentLength < 0 || r.ContentLength > mostDropped || r.Header.Get("Expect") != "" {
		a.Malformed = true
	}
	if a.Malformed || r.ContentLength == 0 {
		in.write(w, r, conn, a)
		return
	}
	rc.EnableFullDuplex() // else the server reads the body before it lets the answer out
	in.write(w, r, conn, a)
	rc.Flush()
	body := front.NewPacedBody(r.Body, rc, time.Duration(conn.begun.Load()))
	if n, err := io.Copy(io.Discard, body); err != nil || n != r.ContentLength {
		panic(http.ErrAbortHandler) // the server would take the rest for a request
	}
	rc.SetReadDeadline(time.Time{})
}

// write writes an answer. After one to what was malformed the connection is
// closed: without that net/http reads on in what is left of the body, for as
// long as its sender likes.
func (in *handler) write(w http.ResponseWriter, r *http.Request, conn *clientConn, a *core.Answer) {
	// Where a body in chunks ended is not known here, and so not what follows.
	if a.Malformed || conn.answering() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if v := in.altSvc.Load(); v != nil && *v != "" {
		w.Header().Set("Alt-Svc", *v)
	}
	defer func() {
		if p := recover(); p != nil {
			if !r.ProtoAtLeast(1, 1) {
				conn.SetLinger(0) // the end of the connection would be that of the answer
			}
			panic(p)
		}
	}()
	front.Write(r.Context(), w, a)
}
