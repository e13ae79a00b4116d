// Package http1 is the HTTP/1.1 front end: it checks the framing of clients' messages,
// limits their connections, and translates between them and the core. It makes no
// decisions about requests.
package http1

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/figures"
	"spokegw/internal/front"
	"spokegw/internal/peek"
	"spokegw/internal/target"
)

const requestTimeout = front.RequestTimeout

// maxDiscard is the longest body, in bytes, of a refused request that is read and
// discarded so that its connection can be kept.
const maxDiscard = 64 << 10

// handler hands requests to the core and writes its answers.
type handler struct {
	core    *core.Core
	altSvc  atomic.Pointer[string] // value of Alt-Svc (RFC 7838); nil or "": none
	drained atomic.Bool            // an operator has drained this sidecar
}

// ServeHTTP reads a request to its end, has the core answer it, and writes the answer.
// A malformed request is answered here and not forwarded, and its connection is closed,
// because it is uncertain where the next request would begin.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*clientConn)
	if r.URL.Path == "/health/ready" && r.Header.Get("Req-Id") == "" && r.ContentLength == 0 {
		a := &core.Answer{Status: http.StatusOK, Header: http.Header{}}
		if h.drained.Load() {
			a = &core.Answer{Status: http.StatusServiceUnavailable, Reason: "drained by an operator"}
		}
		h.write(w, r, conn, a)
		return
	}
	x, refused := h.core.Open(&core.Head{
		Method: r.Method, Target: target.OriginForm(r.RequestURI), Host: r.Host, Header: r.Header, Length: r.ContentLength, Client: conn,
	})
	rc := http.NewResponseController(w)
	if refused != nil {
		h.refuse(w, r, rc, conn, refused)
		return
	}
	body := io.Reader(r.Body)
	if r.ContentLength < 0 {
		body = chunkedBody{r.Body, conn}
	}
	if r.ContentLength != 0 {
		body = front.NewPacedBody(body, rc, time.Duration(conn.started.Load()))
	}
	buffered, more, err := front.ReadBody(body, r.ContentLength, x.ReserveBody)
	switch {
	case err != nil:
		h.write(w, r, conn, x.DropIncomplete(front.IncompleteBody(err)))
		return
	case more:
		h.upload(w, r, rc, conn, x, buffered, body)
		return
	}
	x.SetReceived(peek.SinceDataOn(conn.TCPConn))
	if r.ContentLength != 0 {
		conn.awaitAnswer()
	}
	switch {
	case conn.HasExtra():
		x.Drop(nil)
		h.write(w, r, conn, earlyDataAnswer())
		return
	case conn.Disconnected():
		x.DropUnanswered(figures.ConnectionEnded)
		panic(http.ErrAbortHandler)
	case !conn.claim():
		x.DropUnanswered(figures.Evicted)
		panic(http.ErrAbortHandler)
	}
	a, err := x.Do(r.Context(), buffered)
	if err != nil {
		panic(http.ErrAbortHandler) // the client has disconnected
	}
	h.write(w, r, conn, &a)
}

// upload has the core answer a request whose body is streamed. Unless the body is
// complete, the connection closes after the answer, because it is unknown where the
// next request would begin.
func (h *handler) upload(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, conn *clientConn, x *core.Exchange, buffered []byte, body io.Reader) {
	if !conn.claim() {
		x.DropUnanswered(figures.Evicted)
		panic(http.ErrAbortHandler)
	}
	clock := front.NewSenderClock(peek.SinceDataOn(conn.TCPConn))
	conn.uploadClock.Store(clock)
	defer conn.uploadClock.Store(nil)
	u := front.NewUpload(body, r.ContentLength, int64(len(buffered)), conn, clock)
	ctx, cancel := u.Context(r.Context())
	defer cancel()
	a, err := x.DoStream(ctx, buffered, u)
	switch fault := u.Close(); {
	case err != nil:
		panic(http.ErrAbortHandler)
	case front.SenderFault(fault):
		a.Replace(front.IncompleteBody(fault))
	case fault != nil:
		a.Malformed = true
	}
	if a.Malformed {
		rc.EnableFullDuplex() // otherwise the server reads the remaining body before it sends the answer
		conn.extraData.Store(true)
	}
	h.write(w, r, conn, &a)
}

// refuse answers a request whose head was sufficient for that. The answer is sent at
// once; the remaining body is then read and discarded, so that the connection can be
// kept. A body that is too long, or does not arrive in time, closes the connection.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, conn *clientConn, a *core.Answer) {
	if r.ContentLength < 0 || r.ContentLength > maxDiscard || r.Header.Get("Expect") != "" {
		a.Malformed = true
	}
	if a.Malformed || r.ContentLength == 0 {
		h.write(w, r, conn, a)
		return
	}
	rc.EnableFullDuplex() // otherwise the server reads the body before it sends the answer
	h.write(w, r, conn, a)
	rc.Flush()
	body := front.NewPacedBody(r.Body, rc, time.Duration(conn.started.Load()))
	if n, err := io.Copy(io.Discard, body); err != nil || n != r.ContentLength {
		panic(http.ErrAbortHandler) // the server would parse the remaining body as a request
	}
	conn.awaitAnswer()
}

// write writes an answer. It closes the connection after a malformed request: otherwise
// net/http reads the remaining body for as long as its sender likes.
func (h *handler) write(w http.ResponseWriter, r *http.Request, conn *clientConn, a *core.Answer) {
	// The end of a chunked body is not known here, and so not what follows it.
	if a.Malformed || conn.beginAnswer() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if v := h.altSvc.Load(); v != nil && *v != "" {
		w.Header().Set("Alt-Svc", *v)
	}
	defer func() {
		if p := recover(); p != nil {
			if !r.ProtoAtLeast(1, 1) {
				conn.SetLinger(0) // a regular close would mark the end of the answer
			}
			panic(p)
		}
	}()
	if a.Stream() != nil {
		conn.beginStream()
	}
	connected, cancel := conn.whileConnected(r.Context())
	defer cancel()
	front.Write(connected, w, a)
}
