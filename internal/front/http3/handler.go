package http3

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"spokegw/internal/core"
	"spokegw/internal/front"
)

// handler hands requests to the core and writes its answers.
type handler struct{ server *Server }

// ServeHTTP reads a request to its end, has the core answer it, and writes the
// one answer. A stream that its client cancels is a client that left.
func (in *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := in.server.conn(r)
	if c == nil {
		panic(http.ErrAbortHandler) // the connection has gone
	}
	c.requests.Add(1)
	defer func() {
		c.served.Store(int64(front.Now()))
		c.requests.Add(-1)
	}()
	rc := http.NewResponseController(w)
	begun := front.Now()
	rc.SetReadDeadline(front.At(begun + requestPatience))
	length, err := bodyLength(r)
	if err != nil {
		in.notWhole(w, r, c, nil, err)
		return
	}
	if r.URL.Path == "/health/ready" && r.Header.Get("Req-Id") == "" && length == 0 {
		front.Write(r.Context(), w, &core.Answer{Status: http.StatusOK, Header: http.Header{}})
		return
	}
	x, refused := in.server.core.Open(&core.Head{
		Front: in.server.config.Front, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Length: length,
	})
	if refused != nil {
		front.Write(r.Context(), w, refused)
		return
	}
	body := front.NewPacedBody(r.Body, rc, begun)
	held, more, err := front.ReadBody(body, length, x.ReserveBody)
	switch {
	case err != nil:
		in.notWhole(w, r, c, x, err)
		return
	case more:
		in.upload(w, r, rc, c, x, held, body)
		return
	}
	a, err := x.Do(r.Context(), held)
	if err != nil {
		in.left(c)
	}
	front.Write(r.Context(), w, &a)
}

// upload has a request answered whose body is passed on as it comes.
func (in *handler) upload(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, c *conn, x *core.Exchange, held []byte, body io.Reader) {
	u := front.NewUpload(body, r.ContentLength, int64(len(held)), rc, func() bool { return false })
	ctx, cancel := u.Context(r.Context())
	defer cancel()
	a, err := x.DoStream(ctx, held, u)
	fault := u.Close()
	if err != nil {
		in.left(c)
	}
	if front.SenderFault(fault) {
		a.Replace(front.IncompleteBody(fault))
	}
	front.Write(r.Context(), w, &a)
}

// conn is the connection that a request came by.
func (s *Server) conn(r *http.Request) *conn {
	qc, _ := r.Context().Value(connKey{}).(*quic.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[qc]
}

// bodyLength is the length of a request's body: HTTP/3 needs not tell that there
// is none, the stream then ends behind the fields.
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

// notWhole answers a request whose body did not come whole. One whose length is
// not the one told is malformed, a matter of the stream (RFC 9114 section
// 4.1.2), and one that its client cancelled has nobody who waits.
func (in *handler) notWhole(w http.ResponseWriter, r *http.Request, c *conn, x *core.Exchange, err error) {
	a := front.IncompleteBody(err)
	if x != nil {
		x.Drop(a)
	}
	if streamError := (*http3.Error)(nil); errors.As(err, &streamError) {
		in.left(c)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		abort(w, http3.ErrCodeMessageError)
		return
	}
	front.Write(r.Context(), w, a)
}

// left ends the handling of a request whose client has left, and the connection
// of one who does so too often.
func (in *handler) left(c *conn) {
	if c.cancelled(time.Now()) {
		c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), "too many requests were cancelled")
	}
	panic(http.ErrAbortHandler)
}

// abort ends a stream, in both directions, with an error.
func abort(w http.ResponseWriter, code http3.ErrCode) {
	stream, err := w.(http3.HTTPStreamer).HTTPStream()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	stream.CancelRead(quic.StreamErrorCode(code))
	stream.CancelWrite(quic.StreamErrorCode(code))
}
