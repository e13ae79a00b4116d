package http1

import (
	"log/slog"
	"net"
	"time"

	"spokegw/internal/front"
)

// The deadlines of a client's connection, by the phase of its request. Each phase sets its
// own deadline and depends on none that an earlier phase has set; docs/design/deadlines.md
// lists them all.

// awaitRequest is the phase in which a request arrives: it has requestTimeout from its
// first byte on or, for the first request, from when the connection was accepted. A body
// that takes longer is paced by front.PacedBody.
func (c *clientConn) awaitRequest() {
	c.SetReadDeadline(front.At(time.Duration(c.started.Load()) + requestTimeout))
}

// awaitAnswer is the phase in which a complete request is answered. A read has no
// deadline: it only shows that the client disconnects.
func (c *clientConn) awaitAnswer() { c.SetReadDeadline(time.Time{}) }

// awaitNextRequest is the phase between two requests.
func (c *clientConn) awaitNextRequest() error {
	return c.SetReadDeadline(front.At(front.Now() + idleTimeout))
}

// SetWriteDeadline does nothing: each write sets its own deadline as it begins.
func (c *clientConn) SetWriteDeadline(time.Time) error { return nil }

func (c *clientConn) beginWrite() { c.TCPConn.SetWriteDeadline(time.Now().Add(writeTimeout)) }

// Write writes a piece of an answer. The client has writeTimeout to take it.
func (c *clientConn) Write(b []byte) (int, error) {
	c.beginWrite()
	n, err := c.TCPConn.Write(b)
	c.endWrite(int64(n))
	return n, err
}

// writeParts is Write for a piece that consists of several parts.
func (c *clientConn) writeParts(parts net.Buffers) error {
	c.beginWrite()
	n, err := parts.WriteTo(c.TCPConn)
	c.endWrite(n)
	return err
}

// streamWriteBuffer is the size in bytes of the system's buffer for a streamed answer. By itself it
// grows to megabytes, which count as this process's memory and take a slow client minutes to read.
const streamWriteBuffer = 256 << 10

// beginStream prepares the connection for a streamed answer.
func (c *clientConn) beginStream() {
	if err := c.SetWriteBuffer(streamWriteBuffer); err != nil {
		slog.Debug("the buffer for a streamed answer can't be bounded", "error", err)
	}
}

func (c *clientConn) endWrite(n int64) {
	if n > 0 {
		c.lastActive.Store(int64(front.Now()))
	}
}
