package upstream

import (
	"net"
	"strconv"
	"sync"
)

// requestWrite is the write of a request. A long one continues while the answer is read:
// the endpoint may answer, also to decline, before it has read the whole request.
type requestWrite struct {
	done chan struct{} // closed when the write is over; nil: it is
	sent bool          // the last byte was written
}

// inlineBuffers hold short requests while they are written. The write does not block, so
// it is over when the buffer is put back.
var inlineBuffers = sync.Pool{New: func() any { return new([inlineWriteSize]byte) }}

// maxDeadlineLen is the maximum length, in bytes, of the deadline's value, in microseconds,
// and the end of the head.
const maxDeadlineLen = 32

// appendDeadline completes a head with the remaining time of the request.
func appendDeadline(head []byte, t *transaction) []byte {
	head = strconv.AppendInt(head, max(t.remaining().Microseconds(), 1), 10)
	return append(head, "u\r\n\r\n"...)
}

func startWrite(c *conn, t *transaction) *requestWrite {
	req := t.req
	short := req.Stream == nil && len(req.Head)+maxDeadlineLen+len(req.Body) <= inlineWriteSize
	if short {
		buf := inlineBuffers.Get().(*[inlineWriteSize]byte)
		head := append(appendDeadline(append(buf[:0], req.Head...), t), req.Body...)
		n, _ := c.TCPConn.Write(head) // reading the answer reports the error
		inlineBuffers.Put(buf)
		t.write.sent = n == len(head)
		return &t.write
	}
	head := appendDeadline(append(make([]byte, 0, len(req.Head)+maxDeadlineLen), req.Head...), t)
	if req.Stream != nil {
		return startBodyStream(c, t, head)
	}
	w := &requestWrite{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.sent = writeLong(c, t, head)
	}()
	return w
}

// lastPartSize is the size, in bytes, of the end of a long body, which is written separately.
const lastPartSize = 1 << 10

// writeLong writes a request that may exceed the socket buffer. An endpoint begins on the last
// byte, so the permission is checked again before it. It reports whether all was written.
func writeLong(c *conn, t *transaction, head []byte) bool {
	body := t.req.Body
	parts := net.Buffers{head, body[:max(len(body)-lastPartSize, 0)]}
	switch _, err := parts.WriteTo(c.TCPConn); {
	case err != nil || len(body) == 0:
		return err == nil
	case !t.mayContinue():
		return false
	}
	_, err := c.TCPConn.Write(body[max(len(body)-lastPartSize, 0):])
	return err == nil
}

// wait blocks until the write is over.
func (w *requestWrite) wait() {
	if w.done != nil {
		<-w.done
	}
}

func (w *requestWrite) finished() bool {
	if w.done == nil {
		return true
	}
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}
