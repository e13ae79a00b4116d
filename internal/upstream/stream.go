package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Stream is the rest of a long answer, read as it is passed on. It holds its
// endpoint's connection until it is closed, and little memory: who reads slowly
// is slowed down by that, and so the endpoint is.
type Stream struct {
	conn *conn
	end  *Cancellation
	body io.Reader
	done chan struct{}
	once sync.Once

	aborted atomic.Bool

	// Set before done is closed.
	whole, failed, keep bool
}

// startStream makes the rest of an answer a stream.
func (c *conn) startStream(end *Cancellation, a *Answer, body io.Reader, keep bool) error {
	if !c.pool.long.TryAcquire(streamRoom) {
		return errNoRoom
	}
	a.free = func() { c.pool.long.Release(streamRoom) }
	a.Stream = &Stream{conn: c, end: end, body: body, done: make(chan struct{}), keep: keep}
	return nil
}

// Read reads what comes next. io.EOF tells that the answer was whole; any other
// error that it was not, or that the endpoint has been silent for too long.
func (s *Stream) Read(b []byte) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(s.conn.pool.stall))
	switch { // either may have set another deadline just before
	case s.aborted.Load():
		return 0, errUnwanted
	case s.end.Cause() != nil:
		s.failed = true
		return 0, s.end.Cause()
	}
	n, err := s.body.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		s.whole = true
	case err != nil:
		s.failed = !s.aborted.Load()
		err = fmt.Errorf("the endpoint cut its answer off: %w", err)
	}
	return n, err
}

// Complete reports whether all of it has been read, and Failed whether the endpoint
// ended it before that.
func (s *Stream) Complete() bool { return s.whole }
func (s *Stream) Failed() bool   { return s.failed }

// Abort ends a Read that waits: its reader has gone. It may be called at any
// time.
func (s *Stream) Abort() {
	s.aborted.Store(true)
	s.conn.SetReadDeadline(time.Unix(1, 0))
}

// Close ends the stream. It is to be called once it is read, or is not to be.
func (s *Stream) Close() { s.once.Do(func() { close(s.done) }) }

// startStream writes a request whose body is passed on as it comes.
func startStream(c *conn, t *try, head []byte) *write {
	w := &write{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		err := writeStream(c, t, head)
		if w.sent = err == nil; w.sent {
			t.sentAll()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.end.Cancel(errStopped) // an endpoint that reads no more need not be waited for; one that closed has maybe answered
		}
	}()
	return w
}

// writeStream writes head and body. The last piece, and with it the end of a
// body in chunks, goes out only once the source has said that it is whole.
func writeStream(c *conn, t *try, head []byte) error {
	rest := t.req.Stream
	put := func(parts net.Buffers) error {
		c.SetWriteDeadline(time.Now().Add(c.pool.stall))
		if t.end.Cause() != nil || !t.mayGoOn() {
			return t.end.Cause()
		}
		_, err := parts.WriteTo(c.TCPConn)
		return err
	}
	chunk := func(b []byte) net.Buffers {
		if !rest.Chunked {
			return net.Buffers{b}
		}
		return net.Buffers{fmt.Appendf(nil, "%x\r\n", len(b)), b, []byte("\r\n")}
	}
	if err := put(net.Buffers{head}); err != nil {
		return err
	}
	if len(t.req.Body) > 0 {
		if err := put(chunk(t.req.Body)); err != nil {
			return err
		}
	}
	if rest.taken.Swap(true) {
		t.end.Cancel(errSource) // no fault of this endpoint's
		return errSource
	}
	buf := make([]byte, streamRoom)
	for {
		n, err := rest.Source.Read(buf)
		if n > 0 {
			if err := put(chunk(buf[:n])); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && rest.Chunked:
			return put(net.Buffers{[]byte("0\r\n\r\n")})
		case err == io.EOF:
			return nil
		case err != nil:
			t.end.Cancel(errSource) // the request never comes whole: the endpoint need not wait
			return err
		}
	}
}

var errSource = errors.New("the body did not come whole")
