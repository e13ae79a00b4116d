package http1

import (
	"context"
	"errors"

	"spokegw/internal/framing"
	"spokegw/internal/peek"
)

// markEnded records a read that showed the end of the connection: no data and no error,
// or an error of the connection.
func (c *clientConn) markEnded(n int, err error) {
	if n == 0 && (err == nil || peek.Ended(err)) {
		c.ended.Store(true)
	}
}

var errTooMuchData = errors.New("too much data follows a request")

// awaitClose continues to read after data that came too early, and discards it: the
// connection closes after the answer, and only reading shows that the client closes it
// before that. It returns why reading ended: io.EOF and connection errors mean that the
// client has disconnected, os.ErrDeadlineExceeded that the answer is complete.
func (c *clientConn) awaitClose() error {
	buf := headBuffers.Get().(*[framing.MaxHead]byte)
	defer headBuffers.Put(buf)
	for dropped := 0; dropped < maxLingerBytes; {
		n, err := c.TCPConn.Read(buf[:])
		c.markEnded(n, err)
		if err != nil {
			return err
		}
		dropped += n
	}
	return errTooMuchData
}

// Disconnected reports whether the client has closed the connection, or the connection
// is broken, whether or not what it sent before has been read. A read that failed for another
// reason is no sign of that.
func (c *clientConn) Disconnected() bool {
	if c.ended.Load() {
		return true
	}
	_, closed := peek.Peek(c.TCPConn)
	return closed || peek.PeerClosed(c.TCPConn)
}

// whileConnected is ctx, which net/http cancels after any failed read, without the
// cancellations for which the client has not disconnected.
func (c *clientConn) whileConnected(ctx context.Context) (context.Context, context.CancelFunc) {
	connected, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if c.Disconnected() {
			cancel()
		}
	})
	return connected, func() {
		stop()
		cancel()
	}
}
