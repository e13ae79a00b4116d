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
	short := req.Rest == nil && len(req.Head)+deadlineRoom+len(req.Body) <= inlineWrite
	if short {
		buf := inlineBuffers.Get().(*[inlineWrite]byte)
		head := append(deadline(append(buf[:0], req.Head...), t), req.Body...)
		n, _ := c.TCPConn.Write(head) // an error shows in the answer
		inlineBuffers.Put(buf)
		t.write.sent = n == len(head)
		return &t.write
	}
	head := deadline(append(make([]byte, 0, len(req.Head)+deadlineRoom), req.Head...), t)
	if req.Rest != nil {
		return startStream(c, t, head)
	}
	parts, total := net.Buffers{head, req.Body}, int64(len(head)+len(req.Body))
	w := &write{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		n, _ := parts.WriteTo(c.TCPConn)
		w.sent = n == total
	}()
	return w
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
