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

// clientConn is a client's connection. Its Read hands a request to the server in two
// parts, a head that has been checked and a body of the length declared there, and
// never a byte of the next request with them. So it knows where a request ends, and
// detects what follows it.
type clientConn struct {
	*net.TCPConn
	table *connTable

	// Used only by Read; the server makes one call at a time.
	head        []byte                 // the part of the head received so far
	headBuffer  *[framing.MaxHead]byte // the pooled buffer that holds head; nil: head has its own slice
	preread     bool                   // head was passed on by the reader of plain requests
	ready       []byte                 // received, but not yet returned by Read
	bodyLeft    int64                  // length of the body after ready
	passthrough bool                   // what follows is returned as received: the body is chunked, or the head malformed

	endUnknown  atomic.Bool // the end of the latest message is not known here: no head is served after it; unused with pipelining
	serving     atomic.Bool // a request has been returned and its answer has not begun
	extraData   atomic.Bool // data followed that request
	chunkedRead atomic.Bool // that request's chunked body has been read to its end

	deadline    atomic.Int64 // read deadline as front.Now; 0: none
	lastActive  atomic.Int64 // as front.Now, when bytes were last transferred in either direction
	started     atomic.Int64 // as front.Now, when the latest request's first byte arrived, or the connection was accepted
	receivedAny atomic.Bool  // something has been read from the connection
	ended       atomic.Bool  // reading showed that the client has disconnected

	uploadClock atomic.Pointer[front.SenderClock] // of the body that is streamed; nil: none is
	idle        atomic.Bool                       // an answer has been sent and nothing has arrived since
	busy        bool                              // a request has been taken and not been fully answered

	mu            sync.Mutex // guards closing and what it depends on (receivedAny, idle, receivedSince); requestRead; and updates of serving together with extraData
	closing       bool       // a blocked read is cancelled, because the connection is to be closed
	receivedSince bool       // something has arrived since the latest answer began

	requestRead bool // the first request has been read completely, or as far as it can be
	answered    bool // the first request has been answered
	evicted     bool // written with mu and the table's mutex held, read with either
}

var (
	errHeadTooLong   = errors.New("the request head is too long")
	errTooManyFields = errors.New("the request head has too many fields")
)

func (c *clientConn) Read(b []byte) (int, error) {
	for len(c.ready) == 0 {
		if c.passthrough || c.bodyLeft > 0 {
			if !c.passthrough {
				b = b[:min(int64(len(b)), c.bodyLeft)]
			}
			n, err := c.receive(b)
			if c.bodyLeft -= int64(n); n > 0 && !c.passthrough && c.bodyLeft == 0 {
				c.setRequestRead(true)
			}
			if n > 0 && c.chunkedRead.Load() && c.markEarlyData() {
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
		c.ready = nil // idle connections hold no buffer
	}
	return n, nil
}

// receive reads from the socket.
func (c *clientConn) receive(b []byte) (int, error) {
	return c.readRetrying(func() (int, error) {
		if clock := c.uploadClock.Load(); clock != nil && !c.readable() {
			return clock.Read(c.TCPConn, b)
		}
		return c.TCPConn.Read(b)
	})
}

// readRetrying reads. If the read deadline has expired, it reads once more what is
// already waiting, in two cases: the process was stalled, or the connection has no
// request and was about to be closed. Closing a connection with unread data would reset
// it.
func (c *clientConn) readRetrying(read func() (int, error)) (int, error) {
	n, err := read()
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && (c.stalled() || c.awaitsRequest() && c.readable()) {
		n, err = c.readPending(read)
	}
	if n > 0 {
		c.markReceived()
	}
	c.markEnded(n, err)
	return n, err
}

// awaitsRequest reports whether no part of a request has arrived since the connection
// was accepted or its latest answer was sent.
func (c *clientConn) awaitsRequest() bool { return c.idle.Load() || !c.receivedAny.Load() }

// markReceived records that something has been read. It cancels a pending close.
func (c *clientConn) markReceived() {
	now := int64(front.Now())
	c.mu.Lock()
	c.receivedSince = true
	if c.closing {
		c.closing = false
		c.applyReadDeadline(c.deadline.Load())
	}
	if c.receivedAny.Swap(true); c.idle.Swap(false) || len(c.head) == 0 && c.bodyLeft == 0 && !c.passthrough {
		c.started.Store(now)
	}
	c.mu.Unlock()
	c.lastActive.Store(now)
}

// closeIfIdle closes the connection if it is idle and has transferred nothing since
// idleSince, or if nothing has ever been received on it and it was accepted no later
// than silentSince. It cancels the blocked read, and the reader then closes the
// connection: closing it here could lose the answer to a request that has just been
// read and would still run. A connection with unread data is left open. A request that
// arrives now is not read, and its client may safely retry it.
func (c *clientConn) closeIfIdle(idleSince, silentSince time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receivedAny.Load() {
		idleSince = silentSince
	} else if !c.idle.Load() {
		return
	}
	if c.lastActive.Load() <= int64(idleSince) && !c.closing && c.mayClose(permit.Close{UnreadData: c.readable()}) {
		c.closing = true
		c.TCPConn.SetReadDeadline(pastDeadline)
	}
}

// mayClose reports whether this side may close the connection.
func (c *clientConn) mayClose(facts permit.Close) bool { return facts.Check() == permit.Allowed }

// cancelRead ends a blocked read.
func (c *clientConn) cancelRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.TCPConn.SetReadDeadline(pastDeadline)
}

// releaseHead returns the buffer that holds the head.
func (c *clientConn) releaseHead() {
	if c.headBuffer != nil {
		headBuffers.Put(c.headBuffer)
		c.headBuffer = nil
	}
	c.head = nil
}

// pastDeadline is a read deadline that cancels a read.
var pastDeadline = front.At(-time.Hour)

// applyReadDeadline sets the socket's read deadline, as front.Now; 0: none.
func (c *clientConn) applyReadDeadline(deadline int64) error {
	if deadline == 0 {
		return c.TCPConn.SetReadDeadline(time.Time{})
	}
	return c.TCPConn.SetReadDeadline(front.At(time.Duration(deadline)))
}

// stallReadTimeout limits reading what arrived during a process stall.
const stallReadTimeout = 50 * time.Millisecond

// stalled reports whether the process was stalled when the read deadline expired, and
// data arrived meanwhile that is still to be read: an expired timer would otherwise
// make the server close the connection although its request arrived in time. A slow
// sender gains nothing by this, because the timer fires on time while the process runs.
// The exception is a machine with a permanent shortage of CPU, where a slow sender gets
// that extra time again and again.
func (c *clientConn) stalled() bool {
	deadline := time.Duration(c.deadline.Load()) // net/http cancels a read with a deadline long ago
	return deadline > 0 && stall.Detected(front.Now()-deadline) && c.readable()
}

// readPending reads what is waiting on the connection, however long the process takes
// to get there: with any deadline, even a later one, the read could time out before it
// tries the socket. A short deadline then applies to further data.
func (c *clientConn) readPending(read func() (int, error)) (int, error) {
	if err := c.TCPConn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := read()
	c.SetReadDeadline(front.At(front.Now() + stallReadTimeout))
	return n, err
}

// SetReadDeadline sets the read deadline.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	deadline := int64(0)
	if !t.IsZero() {
		deadline = int64(front.Offset(t))
	}
	c.deadline.Store(deadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil // it stays cancelled
	}
	return c.applyReadDeadline(deadline)
}

// malformedHead replaces a head that was refused, so that the server answers 400 and
// closes without parsing 8 KB of garbage.
const malformedHead = "unreadable\r\n\r\n"

// readHead reads some of the next request's head, and moves it to ready once it is
// complete.
func (c *clientConn) readHead() error {
	var err error
	end := 0
	if c.table.pipelining || c.preread {
		end = framing.End(c.head) // it may have arrived with the previous request
	}
	if end == 0 && len(c.head) < framing.MaxHead {
		var buf [2 << 10]byte
		var n int
		if n, err = c.receive(buf[:]); n == 0 {
			c.refuseIncompleteHead(err)
			return err
		}
		if c.markEarlyData() {
			return c.awaitClose()
		}
		c.head = append(c.head, buf[:n]...)
		end = framing.End(c.head)
	}
	if end == 0 && len(c.head) < framing.MaxHead {
		return err
	}
	if c.table.admission != nil && err == nil && !c.preread {
		if refused, err := c.tryRefuse(end); refused {
			return err
		}
	}
	c.preread = false
	var h framing.Head
	var fault error
	switch {
	case end == 0:
		fault = errHeadTooLong
	case framing.CountFields(c.head[:end]) > framing.MaxFields:
		fault = errTooManyFields
	default:
		h, fault = framing.CheckRequest(c.head[:end])
	}
	c.ready, c.head = c.head, nil
	c.passthrough = fault != nil || h.Chunked
	c.endUnknown.Store(c.passthrough && !c.table.pipelining) // with pipelining the one before may be unanswered
	if fault != nil {
		c.ready = []byte(malformedHead)
	}
	c.extraData.Store(false)
	c.chunkedRead.Store(false)
	c.markExtra(c.serving.Swap(true)) // the previous request is not answered yet
	if c.setRequestRead(fault != nil); c.passthrough {
		return err
	}
	c.bodyLeft = max(h.Length, 0)
	body := int64(len(c.ready) - end)
	if body > c.bodyLeft { // data after the request is not returned
		c.markExtra(true)
		c.head = append(c.head, c.ready[end+int(c.bodyLeft):]...)
		c.ready = c.ready[:end+int(c.bodyLeft)]
		body = c.bodyLeft
	}
	c.bodyLeft -= body
	c.setRequestRead(c.bodyLeft == 0)
	return err
}

// refuseIncompleteHead refuses a request of whose head a part has arrived, where reading the rest was
// cancelled because the process stops. Its client may have sent the rest, or be about to.
func (c *clientConn) refuseIncompleteHead(readErr error) {
	if len(c.head) == 0 || c.serving.Load() || !c.table.answersOver.Load() || !errors.Is(readErr, os.ErrDeadlineExceeded) {
		return
	}
	c.table.recordIncompleteHead(c.RemoteAddr().String())
	c.Write(refusal(0, true, stoppingText)) // the connection is closed in any case
	c.extraData.Store(true)                 // closing waits for the client to read the answer
}

// setRequestRead records whether the first request has been read completely.
func (c *clientConn) setRequestRead(complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestRead = complete
}

// markExtra records whether data followed the request being served. Unless pipelining
// is allowed, nothing may follow it.
func (c *clientConn) markExtra(extra bool) {
	if extra && !c.table.pipelining {
		c.extraData.Store(true)
	}
}

// chunkedBody is a chunked body. It tells its connection where the request ends,
// because chunked data is returned as received.
type chunkedBody struct {
	io.Reader
	conn *clientConn
}

func (b chunkedBody) Read(to []byte) (int, error) {
	n, err := b.Reader.Read(to)
	if err == io.EOF {
		b.conn.chunkedRead.Store(true)
	}
	return n, err
}

// markEarlyData records that something was read, and reports whether it follows a
// request whose answer has not begun. The connection then closes after that answer.
func (c *clientConn) markEarlyData() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	early := c.serving.Load() && !c.table.pipelining
	if early {
		c.extraData.Store(true)
	}
	return early
}

// HasExtra reports whether anything follows the request being served. A client without
// pipelining sends one request at a time, so such data either belongs to that request,
// whose end is then not where it states, or is a smuggled request. With pipelining it
// can't be told from the next request.
func (c *clientConn) HasExtra() bool {
	return c.extraData.Load() || !c.table.pipelining && c.readable()
}

// beginAnswer marks the start of the answer: what arrives from now on may be the next
// request. It reports whether the connection closes after this answer, because
// something arrived too early, the end of the request is not known here, or to free capacity.
func (c *clientConn) beginAnswer() (last bool) {
	c.mu.Lock()
	c.serving.Store(false)
	last = c.extraData.Load() || c.endUnknown.Load()
	c.mu.Unlock()
	return last || c.table.mustClose(c)
}

// readable reports whether data waits to be read from the socket.
func (c *clientConn) readable() bool {
	n, _ := peek.Peek(c.TCPConn)
	return n > 0
}

// A connection that is closed with unread data is read for up to lingerTimeout and
// maxLingerBytes: closing it at once would reset it, and the reset may overtake the
// answer.
const (
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// Close closes the connection. It first reads data that follows the request, whether or
// not it was noticed before: closing over unread data resets the connection, which
// discards what the system still holds of the answer.
func (c *clientConn) Close() error {
	if c.extraData.Load() || c.readable() {
		c.CloseWrite()
		c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
	}
	return c.TCPConn.Close()
}

// claim records that a request has been read completely. It reports false if the
// connection was evicted before that.
func (c *clientConn) claim() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.busy = !c.evicted
	return c.busy
}
