package http3

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"spokegw/internal/core"
	"spokegw/internal/framing"
	"spokegw/internal/front"
)

// handler hands requests to the core and writes its answers.
type handler struct{ server *Server }

// ServeHTTP reads a request to its end, has the core answer it, and writes the answer.
// A cancelled stream counts as a client that has disconnected.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := h.server.conn(r)
	if c == nil {
		panic(http.ErrAbortHandler) // the connection has been closed
	}
	c.requests.Add(1)
	defer func() {
		c.lastServed.Store(int64(front.Now()))
		c.requests.Add(-1)
	}()
	rc := http.NewResponseController(w)
	start := front.Now()
	deadlines := &readDeadlines{controller: rc}
	deadlines.SetReadDeadline(front.At(start + requestTimeout))
	defer context.AfterFunc(h.server.receiving, deadlines.expire)()
	length, err := bodyLength(r)
	if err != nil {
		h.incompleteBody(w, r, c, nil, err)
		return
	}
	if r.URL.Path == "/health/ready" && r.Header.Get("Req-Id") == "" && length == 0 {
		front.Write(r.Context(), w, &core.Answer{Status: http.StatusOK, Header: http.Header{}})
		return
	}
	if countFields(r.Header) > framing.MaxFields {
		front.Write(r.Context(), w, front.TooManyFields())
		return
	}
	x, refused := h.server.core.Open(&core.Head{
		Front: h.server.config.Front, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Length: length,
	})
	if refused != nil {
		front.Write(r.Context(), w, refused)
		return
	}
	clock := front.NewSenderClock(0)
	body := front.NewPacedBody(clockedBody{r.Body, clock}, deadlines, start)
	buffered, more, err := front.ReadBody(body, length, x.ReserveBody)
	switch {
	case err != nil:
		h.incompleteBody(w, r, c, x, err)
		return
	case more:
		h.upload(w, r, deadlines, c, x, buffered, body, clock)
		return
	}
	a, err := x.Do(r.Context(), buffered)
	if err != nil {
		h.clientCancelled(c)
	}
	front.Write(r.Context(), w, &a)
}

func countFields(header http.Header) (n int) {
	for _, values := range header {
		n += len(values)
	}
	return n
}

// clockedBody is a body whose reads are timed. Whether data waits shows only in how long a
// read takes.
type clockedBody struct {
	io.Reader
	clock *front.SenderClock
}

func (b clockedBody) Read(to []byte) (int, error) { return b.clock.Read(b.Reader, to) }

// upload has the core answer a request whose body is streamed.
func (h *handler) upload(w http.ResponseWriter, r *http.Request, deadlines *readDeadlines, c *conn, x *core.Exchange, buffered []byte, body io.Reader, clock *front.SenderClock) {
	u := front.NewUpload(body, r.ContentLength, int64(len(buffered)), deadlines, clock)
	ctx, cancel := u.Context(r.Context())
	defer cancel()
	a, err := x.DoStream(ctx, buffered, u)
	fault := u.Close()
	if err != nil {
		h.clientCancelled(c)
	}
	if front.SenderFault(fault) {
		a.Replace(front.IncompleteBody(fault))
	}
	front.Write(r.Context(), w, &a)
}

// conn is the connection of a request.
func (s *Server) conn(r *http.Request) *conn {
	qc, _ := r.Context().Value(connKey{}).(*quic.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[qc]
}

// bodyLength is the length of a request's body: in HTTP/3 a request without a body need
// not state that; its stream then ends after the fields.
func bodyLength(r *http.Request) (int64, error) {
	if r.ContentLength >= 0 || r.Method != http.MethodGet {
		return r.ContentLength, nil
	}
	switch n, err := io.ReadFull(r.Body, make([]byte, 1)); {
	case n > 0:
		return -1, nil
	case err == io.EOF:
		return 0, nil
	default:
		return 0, err
	}
}

// incompleteBody answers a request whose body is incomplete. A body whose length is not
// the declared one makes the request malformed, which is a stream error (RFC 9114
// section 4.1.2). If the client cancelled the request, nobody waits for an answer.
func (h *handler) incompleteBody(w http.ResponseWriter, r *http.Request, c *conn, x *core.Exchange, err error) {
	a := front.IncompleteBody(err)
	if x != nil {
		a = x.DropIncomplete(a)
	}
	if streamError := (*http3.Error)(nil); errors.As(err, &streamError) {
		h.clientCancelled(c)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		abort(w, http3.ErrCodeMessageError)
		return
	}
	front.Write(r.Context(), w, a)
}

// clientCancelled ends the handling of a request that its client cancelled, and closes
// the connection of a client that does so too often.
func (h *handler) clientCancelled(c *conn) {
	if c.countCancel(time.Now()) {
		c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), "too many requests were cancelled")
	}
	panic(http.ErrAbortHandler)
}

// abort ends a stream in both directions with an error.
func abort(w http.ResponseWriter, code http3.ErrCode) {
	stream, err := w.(http3.HTTPStreamer).HTTPStream()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	stream.CancelRead(quic.StreamErrorCode(code))
	stream.CancelWrite(quic.StreamErrorCode(code))
}
