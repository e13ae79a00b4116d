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

// Stream is the remaining body of a long answer, read as it is passed on. It holds the
// connection until it is closed, but little memory: a slow reader slows down the endpoint
// by backpressure.
type Stream struct {
	conn         *conn
	cancellation *Cancellation
	body         io.Reader
	done         chan struct{}
	once         sync.Once

	aborted atomic.Bool

	// Set before done is closed.
	complete, failed, keep bool
}

// startAnswerStream makes the remaining body of an answer a stream.
func (c *conn) startAnswerStream(cancellation *Cancellation, a *Answer, body io.Reader, keep bool) error {
	if !c.pool.streamBytes.TryAcquire(streamBufferSize) {
		return errNoStreamBuffer
	}
	a.release = func() { c.pool.streamBytes.Release(streamBufferSize) }
	a.Stream = &Stream{conn: c, cancellation: cancellation, body: body, done: make(chan struct{}), keep: keep}
	return nil
}

// Read returns io.EOF when the answer is complete; any other error means that it is
// truncated, or that the endpoint has been silent for too long.
func (s *Stream) Read(b []byte) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(s.conn.pool.streamTimeout))
	switch { // either may have set a deadline that was just replaced
	case s.aborted.Load():
		return 0, errNotWanted
	case s.cancellation.Cause() != nil:
		s.failed = true
		return 0, s.cancellation.Cause()
	}
	n, err := s.body.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		s.complete = true
	case err != nil:
		s.failed = !s.aborted.Load()
		err = fmt.Errorf("reading the remaining answer failed: %w", err)
	}
	return n, err
}

// Complete reports whether the whole stream has been read, and Failed whether the
// endpoint ended it before that.
func (s *Stream) Complete() bool { return s.complete }
func (s *Stream) Failed() bool   { return s.failed }

// Ended reports whether the stream is closed.
func (s *Stream) Ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Abort ends a blocked Read because the reader has disconnected. It may be called at any
// time.
func (s *Stream) Abort() {
	s.aborted.Store(true)
	s.conn.SetReadDeadline(time.Unix(1, 0))
}

// Close ends the stream, whether or not it was read to its end. It must be called.
func (s *Stream) Close() { s.once.Do(func() { close(s.done) }) }

// startBodyStream writes a request whose body is forwarded as it arrives.
func startBodyStream(c *conn, t *transaction, head []byte) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		err := writeBodyStream(c, t, head)
		if w.sent = err == nil; w.sent {
			t.bodySent()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.cancellation.Cancel(errStalled) // an endpoint that stops reading is not waited for; one that closed may have answered
		}
	}()
	return w
}

// writeBodyStream writes head and body. The last piece, and with it the end of a chunked
// body, is written only once the source has reported that the body is complete.
func writeBodyStream(c *conn, t *transaction, head []byte) error {
	stream := t.req.Stream
	send := func(parts net.Buffers) error {
		c.SetWriteDeadline(time.Now().Add(c.pool.streamTimeout))
		if t.cancellation.Cause() != nil || !t.mayContinue() {
			return t.cancellation.Cause()
		}
		_, err := parts.WriteTo(c.TCPConn)
		return err
	}
	chunk := func(b []byte) net.Buffers {
		if !stream.Chunked {
			return net.Buffers{b}
		}
		return net.Buffers{fmt.Appendf(nil, "%x\r\n", len(b)), b, []byte("\r\n")}
	}
	if err := send(net.Buffers{head}); err != nil {
		return err
	}
	if len(t.req.Body) > 0 {
		if err := send(chunk(t.req.Body)); err != nil {
			return err
		}
	}
	if stream.claimed.Swap(true) {
		t.cancellation.Cancel(errIncompleteBody) // not a failure of the endpoint
		return errIncompleteBody
	}
	buf := make([]byte, streamBufferSize)
	for {
		n, err := stream.Source.Read(buf)
		if n > 0 {
			if err := send(chunk(buf[:n])); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && stream.Chunked:
			return send(net.Buffers{[]byte("0\r\n\r\n")})
		case err == io.EOF:
			return nil
		case err != nil:
			t.cancellation.Cancel(errIncompleteBody) // the request will stay incomplete: the endpoint need not wait
			return err
		}
	}
}

var errIncompleteBody = errors.New("the request body is incomplete")
