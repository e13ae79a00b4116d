package upstream

import (
	"net"
	"strconv"
	"sync"
)

// write is the writing of a request. A long one goes on while the answer is
// read: the endpoint may answer, and turn away, before it has read it all.
type write struct {
	done chan struct{} // closed when it is over; nil: it is
	sent bool          // the last byte was written
}

// inlineBuffers are what short requests are written from: a write that does not wait is
// over when the buffer goes back.
var inlineBuffers = sync.Pool{New: func() any { return new([inlineWrite]byte) }}

// deadlineRoom is what the deadline's value, in microseconds, and the end of the head take
// at most.
const deadlineRoom = 32

// deadline ends a head with what is left of the request's time.
func deadline(head []byte, t *try) []byte {
	head = strconv.AppendInt(head, max(t.left().Microseconds(), 1), 10)
	return append(head, "u\r\n\r\n"...)
}

func startWrite(c *conn, t *try) *write {
	req := t.req
	short := req.Stream == nil && len(req.Head)+deadlineRoom+len(req.Body) <= inlineWrite
	if short {
		buf := inlineBuffers.Get().(*[inlineWrite]byte)
		head := append(deadline(append(buf[:0], req.Head...), t), req.Body...)
		n, _ := c.TCPConn.Write(head) // an error shows in the answer
		inlineBuffers.Put(buf)
		t.write.sent = n == len(head)
		return &t.write
	}
	head := deadline(append(make([]byte, 0, len(req.Head)+deadlineRoom), req.Head...), t)
	if req.Stream != nil {
		return startStream(c, t, head)
	}
	w := &write{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.sent = writeLong(c, t, head)
	}()
	return w
}

// lastPart is the end of a long body, in bytes, which is written by itself.
const lastPart = 1 << 10

// writeLong writes a request that the socket may not take at once. An endpoint begins with the
// last byte, so whether that may be written is asked once more. It reports whether it was.
func writeLong(c *conn, t *try, head []byte) bool {
	body := t.req.Body
	parts := net.Buffers{head, body[:max(len(body)-lastPart, 0)]}
	switch _, err := parts.WriteTo(c.TCPConn); {
	case err != nil || len(body) == 0:
		return err == nil
	case !t.mayGoOn():
		return false
	}
	_, err := c.TCPConn.Write(body[max(len(body)-lastPart, 0):])
	return err == nil
}

// wait waits until the write is over.
func (w *write) wait() {
	if w.done != nil {
		<-w.done
	}
}

func (w *write) over() bool {
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
