package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/framing"
	"spokegw/internal/front"
	"spokegw/internal/peek"
	"spokegw/internal/permit"
	"spokegw/internal/stall"
)

// clientConn is one of the application's connections. Its Read hands a request
// to the server in two parts, a head that was checked whole and a body of the
// length told there, and never a byte of the next request along with them. So
// where a request ends is known here, and what stands behind it is noticed.
type clientConn struct {
	*net.TCPConn
	table *connTable

	// Of Read alone; the server makes one call at a time.
	head    []byte                 // of a head that has not come whole
	pooled  *[framing.MaxHead]byte // that head stands in; nil: in a slice of its own
	handed  bool                   // head came along from the reader of plain requests
	ready   []byte                 // read, and still to be handed out
	left    int64                  // of the body after ready
	through bool                   // what follows is passed as it comes: chunked, or malformed

	serving atomic.Bool // a request was handed out and its answer has not begun
	extra   atomic.Bool // something came behind that request
	whole   atomic.Bool // that request's body came in chunks and has been read to its end

	due     atomic.Int64 // as front.Now, when reading is to end; 0: it is not
	moved   atomic.Int64 // as front.Now, when bytes last went either way
	begun   atomic.Int64 // when the latest request's first byte came, or the connection
	heard   atomic.Bool  // something was read from it
	resting atomic.Bool  // it has had an answer and nothing came since
	busy    bool         // a request has been taken and is not answered in full

	mu     sync.Mutex // of ending, and of what it goes by: heard, resting and spoken; of asked; and of where serving and extra meet
	ending bool       // a read that waits is called off: the connection is to end
	spoken bool       // something came since the latest answer began

	asked    bool // its first request has come whole, or all of it that could
	answered bool // its first request has been
	evicted  bool // set under mu and the table's, read under either
}

var errHeadTooLong = errors.New("the head is too long")

func (c *clientConn) Read(b []byte) (int, error) {
	for len(c.ready) == 0 {
		if c.through || c.left > 0 {
			if !c.through {
				b = b[:min(int64(len(b)), c.left)]
			}
			n, err := c.receive(b)
			if c.left -= int64(n); n > 0 && !c.through && c.left == 0 {
				c.setAsked(true)
			}
			if n > 0 && c.whole.Load() && c.cameTooSoon() {
				return 0, c.awaitClose()
			}
			return n, err
		}
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.ready)
	if c.ready = c.ready[n:]; len(c.ready) == 0 {
		c.ready = nil // a connection that rests holds no buffer
	}
	return n, nil
}

// receive reads from the socket.
func (c *clientConn) receive(b []byte) (int, error) {
	return c.received(func() (int, error) { return c.TCPConn.Read(b) })
}

// received reads, and once more what waits on the connection where reading ended since
// the process slept, or as a connection without a request was to end: closed over one that
// waits it would be reset.
func (c *clientConn) received(read func() (int, error)) (int, error) {
	n, err := read()
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && (c.stalled() || c.awaitsRequest() && c.readable()) {
		n, err = c.readWaiting(read)
	}
	if n > 0 {
		c.came()
	}
	return n, err
}

// awaitsRequest reports whether nothing of a request has come since the connection was opened or had
// its latest answer.
func (c *clientConn) awaitsRequest() bool { return c.resting.Load() || !c.heard.Load() }

// came notes that something has been read: the connection does not end now, if
// it was to.
func (c *clientConn) came() {
	now := int64(front.Now())
	c.mu.Lock()
	c.spoken = true
	if c.ending {
		c.ending = false
		c.setDue(c.due.Load())
	}
	if c.heard.Swap(true); c.resting.Swap(false) || len(c.head) == 0 && c.left == 0 && !c.through {
		c.begun.Store(now)
	}
	c.mu.Unlock()
	c.moved.Store(now)
}

// endResting ends the connection if it rests and nothing has moved on it since, or
// if it never said anything since it was opened, no later than silent. Its reader is
// called off and closes it: closed from here, a request that has just been read would
// run and have no answer. One that waits unread is left; one that comes now is not
// read, and its client's to send again.
func (c *clientConn) endResting(since, silent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.heard.Load() {
		since = silent
	} else if !c.resting.Load() {
		return
	}
	if c.moved.Load() <= int64(since) && !c.ending && c.mayClose(permit.Close{UnreadData: c.readable()}) {
		c.ending = true
		c.TCPConn.SetReadDeadline(longAgo)
	}
}

// mayClose reports whether the connection may be closed by this side.
func (c *clientConn) mayClose(facts permit.Close) bool { return facts.Check() == permit.Allowed }

// callOff ends a read that waits.
func (c *clientConn) callOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.TCPConn.SetReadDeadline(longAgo)
}

// dropHead gives back the buffer that the head stands in.
func (c *clientConn) dropHead() {
	if c.pooled != nil {
		headBuffers.Put(c.pooled)
		c.pooled = nil
	}
	c.head = nil
}

// longAgo calls a read off.
var longAgo = front.At(-time.Hour)

// setDue has reading end at a time, as front.Now; 0: it does not.
func (c *clientConn) setDue(due int64) error {
	if due == 0 {
		return c.TCPConn.SetReadDeadline(time.Time{})
	}
	return c.TCPConn.SetReadDeadline(front.At(time.Duration(due)))
}

// readAfterStall is the time that reading what came during a stall may take.
const readAfterStall = 50 * time.Millisecond

// stalled reports whether the process was stalled at the time at which reading
// was due to end while something came, which is to be read: a timer that went
// off in the meantime would have the server close the connection on a request
// that had come in time. A client that sends slowly gains nothing by it, as the
// timer goes off when it should while the process runs. It could do harm on a
// machine that is always short of processors, where a slow sender would have
// that time more each time.
func (c *clientConn) stalled() bool {
	due := time.Duration(c.due.Load()) // net/http calls off a read by a time long ago
	return due > 0 && stall.Detected(front.Now()-due) && c.readable()
}

// readWaiting reads what waits on the connection, however long the process takes
// to get there: by a time, even a later one, the read could end again before it
// has looked. What follows is due soon.
func (c *clientConn) readWaiting(read func() (int, error)) (int, error) {
	if err := c.TCPConn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := read()
	c.SetReadDeadline(front.At(front.Now() + readAfterStall))
	return n, err
}

// SetReadDeadline sets when reading is due to end.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	due := int64(0)
	if !t.IsZero() {
		due = int64(front.Until(t))
	}
	c.due.Store(due)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil // it stays called off
	}
	return c.setDue(due)
}

// unreadable stands for a head that was refused: the server answers it with 400
// and closes, and is spared the reading of 8 KB of noise.
const unreadable = "unreadable\r\n\r\n"

// readHead reads some of the next request's head, and all of it into ready once
// it is whole.
func (c *clientConn) readHead() error {
	var err error
	end := 0
	if c.table.pipelining || c.handed {
		end = framing.End(c.head) // it may have come with the one before
	}
	if end == 0 && len(c.head) < framing.MaxHead {
		var buf [2 << 10]byte
		var n int
		if n, err = c.receive(buf[:]); n == 0 {
			return err
		}
		if c.cameTooSoon() {
			return c.awaitClose()
		}
		c.head = append(c.head, buf[:n]...)
		end = framing.End(c.head)
	}
	if end == 0 && len(c.head) < framing.MaxHead {
		return err
	}
	if c.table.door != nil && err == nil && !c.handed {
		if refused, err := c.turnAway(end); refused {
			return err
		}
	}
	c.handed = false
	var h framing.Head
	var wrong error
	if end == 0 {
		wrong = errHeadTooLong
	} else {
		h, wrong = framing.Check(c.head[:end])
	}
	c.ready, c.head = c.head, nil
	c.through = wrong != nil || h.Chunked
	if wrong != nil {
		c.ready = []byte(unreadable)
	}
	c.extra.Store(false)
	c.whole.Store(false)
	c.follows(c.serving.Swap(true)) // not answered yet, and here is the next
	if c.setAsked(wrong != nil); c.through {
		return err
	}
	c.left = max(h.Length, 0)
	body := int64(len(c.ready) - end)
	if body > c.left { // what is behind the request is not handed out
		c.follows(true)
		c.head = append(c.head, c.ready[end+int(c.left):]...)
		c.ready = c.ready[:end+int(c.left)]
		body = c.left
	}
	c.left -= body
	c.setAsked(c.left == 0)
	return err
}

// setAsked notes whether the first request has come whole.
func (c *clientConn) setAsked(whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = whole
}

// follows notes that something came behind the request being served, if it did:
// unless clients may send ahead, it has no business there.
func (c *clientConn) follows(did bool) {
	if did && !c.table.pipelining {
		c.extra.Store(true)
	}
}

// chunkedBody is a body in chunks. Its connection learns from it where the request ends,
// as what is read there is passed on as it comes.
type chunkedBody struct {
	io.Reader
	conn *clientConn
}

func (b chunkedBody) Read(to []byte) (int, error) {
	n, err := b.Reader.Read(to)
	if err == io.EOF {
		b.conn.whole.Store(true)
	}
	return n, err
}

// cameTooSoon notes that something was read, and reports whether it came behind a request
// whose answer has not begun. The connection then ends with that answer.
func (c *clientConn) cameTooSoon() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	tooSoon := c.serving.Load() && !c.table.pipelining
	if tooSoon {
		c.extra.Store(true)
	}
	return tooSoon
}

var errSentTooMuch = errors.New("more was sent behind a request than is read")

// awaitClose reads on, behind what came too soon, and drops it: the connection ends with
// the answer, and that its client closes it before that is seen only by reading. It returns
// why reading ended: io.EOF and errors of the connection tell that the client has left,
// os.ErrDeadlineExceeded that the answer is over.
func (c *clientConn) awaitClose() error {
	buf := headBuffers.Get().(*[framing.MaxHead]byte)
	defer headBuffers.Put(buf)
	for dropped := 0; dropped < lingerBytes; {
		n, err := c.TCPConn.Read(buf[:])
		if err != nil {
			return err
		}
		dropped += n
	}
	return errSentTooMuch
}

// Disconnected reports whether the client has closed the connection, or it is broken, and nothing
// waits to be read on it.
func (c *clientConn) Disconnected() bool {
	_, closed := peek.Peek(c.TCPConn)
	return closed
}

// crowded reports whether anything has come behind the request being served:
// its sender sends one request at a time, so what is there belongs to that one
// and its end is not where it says, or it is a request that was to be hidden.
// Where clients may send ahead it can't be told from the next request.
func (c *clientConn) crowded() bool {
	return c.extra.Load() || !c.table.pipelining && c.readable()
}

// answering marks that the answer begins: what comes from now on may be the
// next request. It reports whether the connection is to end with this answer:
// because something came too soon, or to make room.
func (c *clientConn) answering() (last bool) {
	c.mu.Lock()
	c.serving.Store(false)
	last = c.extra.Load()
	c.mu.Unlock()
	return last || c.table.packed(c)
}

// readable reports whether something waits to be read from the socket.
func (c *clientConn) readable() bool {
	n, _ := peek.Peek(c.TCPConn)
	return n > 0
}

// linger bounds how long, and for how many bytes, a connection that closes with
// something unread is read on: closing it at once would reset it, and a reset
// may overtake the answer.
const (
	linger      = 200 * time.Millisecond
	lingerBytes = 1 << 20
)

// Close closes the connection. What came behind the request is read first, whether it was
// seen or not: closed over it, what the system holds of the answer would go with a reset.
func (c *clientConn) Close() error {
	if c.extra.Load() || c.readable() {
		c.CloseWrite()
		c.TCPConn.SetReadDeadline(time.Now().Add(linger))
		io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	return c.TCPConn.Close()
}

func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if n > 0 {
		c.moved.Store(int64(front.Now()))
	}
	return n, err
}

// take marks that a request has come whole. It reports false if the
// connection was closed to make room before that.
func (c *clientConn) take() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.busy = !c.evicted
	return c.busy
}
