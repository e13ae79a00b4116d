package http1

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/figures"
	"spokegw/internal/framing"
	"spokegw/internal/front"
	"spokegw/internal/peek"
)

// maxPlainBody is the longest body, in bytes, that is read here. Longer ones may have
// to be streamed.
const maxPlainBody = 32 << 10

// headBuffers are the buffers that heads are read into. A connection has one from when
// it becomes readable until its request has been taken.
var headBuffers = sync.Pool{New: func() any { return new([framing.MaxHead]byte) }}

// plain serves the plain requests of one connection. Its reader continues to read while
// a request is served on a goroutine of its own: this shows that the client has
// disconnected, or that data follows too early. A connection with a request that is not
// plain is handed over for good to net/http's server, which implements the rest of the
// protocol.
type plain struct {
	*clientConn
	server     *Server
	raw        syscall.RawConn
	readFunc   func(fd uintptr) bool // tryRead, as a value made once
	ageFunc    func(fd uintptr)      // sets unreadAge to the age of the latest data; made once
	unreadAge  time.Duration
	readLen    int            // bytes that tryRead has read
	readErr    error          // the error of tryRead
	bufferFull bool           // the read filled the buffer: there may be more
	done       chan bool      // receives, when a request has been served, whether its connection is kept
	inFlight   bool           // a request is being served, as the reader knows
	queued     job            // a request to be handed to a worker once nothing is left to read; its x is nil if there is none
	unstarted  *core.Exchange // taken, but neither dropped nor handed to a worker; nil: none

	// Guarded by clientConn.mu.
	disconnected bool           // the client has disconnected
	active       *core.Exchange // the request being served; nil: none
	longAnswer   core.Stream    // the streamed answer being written; nil: none
}

// serve serves a connection until it ends or has been handed over.
func (s *Server) serve(c *clientConn) {
	p := &plain{clientConn: c, server: s, done: make(chan bool, 1)}
	p.readFunc = p.tryRead
	p.ageFunc = func(fd uintptr) { p.unreadAge = peek.SinceData(fd) }
	handed := false
	defer func() {
		if p.unstarted != nil { // after a panic
			p.dropUnstarted(nil)
		}
		if !handed {
			p.releaseHead()
			c.Close()
			c.table.stateChanged(c, http.StateClosed)
		}
	}()
	defer logPanic()
	var err error
	if p.raw, err = c.SyscallConn(); err != nil {
		return
	}
	c.awaitRequest()
	for {
		end, err := p.nextHead()
		if err != nil {
			p.refuseIncompleteHead(err)
			return
		}
		if framing.CountFields(c.head[:end]) > framing.MaxFields {
			p.refuseTooManyFields()
			return
		}
		if c.table.admission != nil {
			switch refused, err := c.tryRefuse(end); {
			case err != nil:
				return
			case refused:
				continue
			}
		}
		req, ok := framing.Request{}, false
		if end > 0 && !c.table.pipelining {
			req, ok = framing.ReadRequest(c.head[:end])
		}
		if !ok || req.Length > maxPlainBody || req.Header["Req-Id"] == nil {
			handed = p.handOver()
			return
		}
		if !p.serveRequest(&req, end) {
			return
		}
	}
}

// nextHead reads until a complete head is in p.head, and returns its length; 0 if what
// is there can't become one. It returns an error if the connection ends.
func (p *plain) nextHead() (end int, err error) {
	for {
		if end = framing.End(p.head); end > 0 || len(p.head) == framing.MaxHead {
			return end, nil
		}
		err := p.readMore()
		if p.queued.x != nil && !p.startQueued(err) {
			return 0, io.EOF
		}
		if p.inFlight {
			if err == nil && p.extraData.Load() {
				err = p.awaitClose()
			}
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				p.readingEnded()
			}
			p.inFlight = false
			if kept := <-p.done; !kept {
				return 0, io.EOF
			}
		}
		if err != nil {
			return 0, err
		}
		if framing.End(p.head) == 0 {
			p.awaitRequest()
		}
	}
}

// startQueued handles a request that was not handed to a worker because the read that
// comes first did not find the connection empty. It reports false if the request is not
// served: the client has closed the connection already, so that serving it would begin
// after the disconnect, or has sent more data before the answer.
func (p *plain) startQueued(err error) bool {
	j := p.queued
	p.queued = job{}
	if errors.Is(err, os.ErrDeadlineExceeded) || err != nil && !p.Disconnected() { // nothing was read
		p.start(j)
		return true
	}
	p.inFlight = false
	p.setActive(nil)
	if err != nil {
		p.dropUnanswered(figures.ConnectionEnded)
		return false
	}
	p.dropUnstarted(nil)
	p.write(earlyDataAnswer(), true)
	return false
}

// start hands a request to a worker.
func (p *plain) start(j job) {
	p.server.workers.serve(j)
	p.unstarted = nil
}

// dropUnstarted ends a request that was taken and not started.
func (p *plain) dropUnstarted(a *core.Answer) {
	x := p.unstarted
	p.unstarted = nil
	x.Drop(a)
}

// dropUnanswered ends a request that was taken and not started, without an answer.
func (p *plain) dropUnanswered(evidence figures.Disconnect) {
	x := p.unstarted
	p.unstarted = nil
	x.DropUnanswered(evidence)
}

// earlyDataAnswer is the answer to a request that was followed by data before it was
// answered.
func earlyDataAnswer() *core.Answer {
	return &core.Answer{Status: http.StatusBadRequest, Reason: "something follows before the request was answered", Malformed: true}
}

// readingEnded notifies whoever serves the request that reading from its client has
// failed. A long answer is aborted only if the client has disconnected: reading also ends
// after too much early data.
func (p *plain) readingEnded() {
	disconnected := p.Disconnected()
	p.mu.Lock()
	x := p.active
	if p.disconnected = disconnected; disconnected && p.longAnswer != nil {
		p.longAnswer.Abort()
	}
	p.mu.Unlock()
	if x != nil {
		x.ClientDisconnected()
	}
}

// setActive records the request being served; idle connections have none.
func (p *plain) setActive(x *core.Exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = x
}

// setLongAnswer records the streamed answer being written, which is aborted if the
// client disconnects.
func (p *plain) setLongAnswer(stream core.Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longAnswer = stream; stream != nil && p.disconnected {
		stream.Abort()
	}
}

// readMore reads what follows p.head, waiting until there is something.
func (p *plain) readMore() error {
	n, err := p.readRetrying(p.receiveHead)
	if n > 0 {
		p.markEarlyData()
		p.bufferFull = len(p.head)+n == cap(p.head)
		p.head = p.head[:len(p.head)+n]
		return nil
	}
	if err == nil {
		err = io.EOF
	}
	return err
}

// receiveHead waits until the socket is readable, and reads after p.head.
func (p *plain) receiveHead() (int, error) {
	p.readLen, p.readErr = 0, nil
	if err := p.raw.Read(p.readFunc); err != nil {
		return 0, err
	}
	return p.readLen, p.readErr
}

// tryRead reads what waits on the socket; it reports false if that is nothing. A
// waiting connection holds no buffer. Only then a queued request is handed to a worker:
// so it is known, without another system call, whether its client has disconnected
// meanwhile.
func (p *plain) tryRead(fd uintptr) bool {
	if p.headBuffer == nil {
		p.headBuffer = headBuffers.Get().(*[framing.MaxHead]byte)
		p.head = p.headBuffer[:0]
	}
	for {
		p.readLen, p.readErr = p.readNonblocking(fd)
		if p.readErr != syscall.EINTR {
			break
		}
	}
	p.readLen = max(p.readLen, 0)
	if p.readErr != syscall.EAGAIN {
		return true
	}
	if len(p.head) == 0 {
		p.releaseHead()
	}
	if p.queued.x != nil {
		j := p.queued
		p.queued = job{}
		p.start(j)
	}
	return false
}

// readNonblocking reads without waiting. It records in the same critical section that
// something was read: in between, the connection would look silent or idle.
func (p *plain) readNonblocking(fd uintptr) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evicted {
		return 0, nil
	}
	n, err := syscall.Read(int(fd), p.head[len(p.head):cap(p.head)])
	if n > 0 {
		p.receivedSince = true
		p.receivedAny.Store(true)
		p.idle.Store(false)
		p.requestRead = framing.End(p.head[:len(p.head)+n]) > 0
	}
	return n, err
}

// handOver passes the connection, with what has been read from it, to net/http's
// server.
func (p *plain) handOver() bool {
	head := slices.Clone(p.head)
	p.releaseHead()
	p.head, p.preread = head, true
	p.SetReadDeadline(time.Time{})
	return p.server.fallback.offer(p.clientConn)
}

// serveRequest has a request answered whose head ends at end in p.head. It reports
// whether the connection is kept, unless something else ends it.
func (p *plain) serveRequest(req *framing.Request, end int) (kept bool) {
	p.extraData.Store(false)
	p.serving.Store(true)
	length := max(req.Length, 0)
	request := &struct { // allocated together, because they have the same lifetime
		head core.Head
		body plainBody
	}{body: plainBody{p: p, remaining: length, buffered: p.head[end:min(len(p.head), end+int(length))]}}
	body := &request.body
	p.markExtra(len(p.head) > end+int(length))
	request.head = core.Head{Method: req.Method, Target: req.Target, Host: req.Host, Header: req.Header, Length: length, Client: p.clientConn}
	x, refused := p.server.core.Open(&request.head)
	if refused != nil {
		return p.refuse(refused, body, req.Close)
	}
	p.unstarted = x
	if length > int64(len(body.buffered)) {
		p.setRequestRead(false)
	}
	data, err := body.readAll(x)
	if err != nil {
		p.unstarted = nil
		return p.refuse(x.DropIncomplete(front.IncompleteBody(err)), body, true)
	}
	x.SetReceived(p.unreadTime())
	if p.extraData.Load() || p.bufferFull && p.readable() {
		p.dropUnstarted(nil)
		return p.write(earlyDataAnswer(), true)
	}
	if !p.clientConn.claim() {
		p.dropUnanswered(figures.Evicted)
		return false
	}
	p.releaseHead()
	if p.deadline.Load() != 0 {
		p.awaitAnswer()
	}
	p.inFlight = true
	p.setActive(x)
	p.queued = job{p, x, data, req.Close}
	return true
}

// refuseTooManyFields refuses a request before its head is parsed.
func (p *plain) refuseTooManyFields() {
	a := front.TooManyFields()
	p.write(a, true)
	p.extraData.Store(true) // closing waits for the client to read the answer
}

// answer has a complete request answered, writes the answer, and notifies the
// connection's reader whether the connection is kept.
func (p *plain) answer(x *core.Exchange, body []byte, last bool) {
	kept := false
	defer func() {
		p.setActive(nil)
		if !kept {
			p.cancelRead()
		}
		p.done <- kept
	}()
	ended := false
	defer func() {
		if !ended { // it panicked
			x.RecordUnanswered("http1")
		}
	}()
	defer logPanic()
	a, err := x.Do(context.Background(), body)
	ended = err != nil
	if ended {
		return // the client has disconnected
	}
	kept = p.write(&a, last)
	ended = true
	if kept {
		p.markIdle()
	}
}

// logPanic makes a panic end only its own connection.
func logPanic() {
	if r := recover(); r != nil {
		slog.Error("panic", "in", "http1", "panic", r, "stack", string(debug.Stack()))
	}
}

// unreadTime is how long the latest data has waited to be read: the process may have
// stalled.
func (p *plain) unreadTime() time.Duration {
	if p.raw.Control(p.ageFunc) != nil {
		return 0
	}
	return p.unreadAge
}

// refuse answers a request whose body may not have arrived completely. The answer is
// sent at once; the remaining body is then read and discarded, so that the connection
// can be kept.
func (p *plain) refuse(a *core.Answer, b *plainBody, last bool) (kept bool) {
	if !p.write(a, last) {
		if b.remaining > int64(len(b.buffered)) {
			p.extraData.Store(true) // closing then waits for the client to read the answer
		}
		return false
	}
	if _, err := io.Copy(io.Discard, b.paced()); err != nil {
		return false
	}
	p.releaseHead()
	p.mu.Lock()
	p.receivedSince = false // that was still part of this request
	p.mu.Unlock()
	p.markIdle()
	return true
}

// markIdle records that the connection's request has been answered, and sets the idle
// timeout, unless the next request has already begun to arrive.
func (p *plain) markIdle() {
	p.table.markAnswered(p.clientConn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.receivedSince {
		return
	}
	p.idle.Store(true)
	deadline := int64(front.Now() + idleTimeout)
	p.deadline.Store(deadline)
	if !p.closing {
		p.applyReadDeadline(deadline)
	}
}
