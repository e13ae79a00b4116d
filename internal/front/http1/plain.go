package http1

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/framing"
	"spokegw/internal/front"
	"spokegw/internal/peek"
)

// mostPlain is the longest body, in bytes, that is read here. Longer ones may have to be
// passed on as they come.
const mostPlain = 32 << 10

// headBuffers are what heads are read into. A connection has one from when something
// waits to be read until its request has been taken.
var headBuffers = sync.Pool{New: func() any { return new([framing.MaxHead]byte) }}

// plain serves the plain requests of one connection. Its reader goes on reading while a
// request is served, by a goroutine of the request's own: what shows then is that the
// client has left, or that something follows too soon. Requests that are not plain go to
// net/http's server, with their connection, for good: it knows the rest of the protocol.
type plain struct {
	*clientConn
	server  *Server
	raw     syscall.RawConn
	look    func(fd uintptr) bool // read, made once
	age     func(fd uintptr)      // that of what came last, made once, which is noted in
	waited  time.Duration
	n       int            // what read has read, and
	err     error          // why it could not
	full    bool           // it filled the buffer: there may be more
	done    chan bool      // of the request that is served: whether its connection is kept
	serves  bool           // there is one, as the reader knows
	waiting job            // a request that is handed to a worker once nothing is left to be read; its x is nil where there is none
	taken   *core.Exchange // neither dropped nor handed to a worker yet; nil: none is

	// Guarded by clientConn.mu.
	left bool           // the client has left
	open *core.Exchange // the request that is served; nil: there is none
	long core.Stream    // the answer that is being passed on; nil: it is no long one
}

// serve serves a connection until it ends or has been handed over.
func (s *Server) serve(c *clientConn) {
	p := &plain{clientConn: c, server: s, done: make(chan bool, 1)}
	p.look = p.read
	p.age = func(fd uintptr) { p.waited = peek.SinceData(fd) }
	handed := false
	defer func() {
		if p.taken != nil { // after a panic
			p.drop(nil)
		}
		if !handed {
			p.dropHead()
			c.Close()
			c.table.state(c, http.StateClosed)
		}
	}()
	defer logPanic()
	var err error
	if p.raw, err = c.SyscallConn(); err != nil {
		return
	}
	c.SetReadDeadline(front.At(time.Duration(c.begun.Load()) + requestPatience))
	for {
		end, err := p.nextHead()
		if err != nil {
			return
		}
		if c.table.door != nil {
			switch refused, err := c.turnAway(end); {
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
		if !ok || req.Length > mostPlain || req.Header["Req-Id"] == nil {
			handed = p.handOver()
			return
		}
		if !p.take(&req, end) {
			return
		}
	}
}

// nextHead reads until a whole head stands in c.head, and returns its length; 0: none can
// come of what stands there. It ends with an error if the connection does.
func (p *plain) nextHead() (end int, err error) {
	for {
		if end = framing.End(p.head); end > 0 || len(p.head) == framing.MaxHead {
			return end, nil
		}
		err := p.fill()
		if p.waiting.x != nil && !p.begin(err) {
			return 0, io.EOF
		}
		if p.serves {
			if err == nil && p.extra.Load() {
				err = p.awaitClose()
			}
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				p.leave()
			}
			p.serves = false
			if kept := <-p.done; !kept {
				return 0, io.EOF
			}
		}
		if err != nil {
			return 0, err
		}
		if framing.End(p.head) == 0 {
			p.SetReadDeadline(front.At(time.Duration(p.begun.Load()) + requestPatience))
		}
	}
}

// begin sees to a request that was not handed to a worker, since reading on, which comes
// first, did not find the connection empty. It reports false where the request is not
// served: its client has closed the connection by now, and what was begun for it would
// begin later than that, or has sent more before it was answered.
func (p *plain) begin(err error) bool {
	j := p.waiting
	p.waiting = job{}
	if errors.Is(err, os.ErrDeadlineExceeded) { // nothing was read
		p.start(j)
		return true
	}
	p.serves = false
	p.opens(nil)
	p.drop(nil)
	if err == nil {
		p.write(followsTooSoon(), true)
	}
	return false
}

// start hands a request to a worker.
func (p *plain) start(j job) {
	p.server.workers.serve(j)
	p.taken = nil
}

// drop ends a request that was taken and not begun.
func (p *plain) drop(a *core.Answer) {
	x := p.taken
	p.taken = nil
	x.Drop(a)
}

// followsTooSoon answers a request behind which something came before it was answered.
func followsTooSoon() *core.Answer {
	return &core.Answer{Status: http.StatusBadRequest, Reason: "something follows before the request was answered", Malformed: true}
}

// leave tells whoever serves the request that its client has left.
func (p *plain) leave() {
	p.mu.Lock()
	x := p.open
	if p.left = true; p.long != nil {
		p.long.Abort()
	}
	p.mu.Unlock()
	if x != nil {
		x.ClientDisconnected()
	}
}

// opens notes the request that is served; a connection that rests holds none.
func (p *plain) opens(x *core.Exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = x
}

// passing notes the answer that is being passed on, which ends if the client leaves.
func (p *plain) passing(long core.Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.long = long; long != nil && p.left {
		long.Abort()
	}
}

// fill reads what there is behind c.head, once there is something.
func (p *plain) fill() error {
	n, err := p.received(p.receiveHead)
	if n > 0 {
		p.cameTooSoon()
		p.full = len(p.head)+n == cap(p.head)
		p.head = p.head[:len(p.head)+n]
		return nil
	}
	if err == nil {
		err = io.EOF
	}
	return err
}

// receiveHead waits until the socket has something and reads it behind c.head.
func (p *plain) receiveHead() (int, error) {
	p.n, p.err = 0, nil
	if err := p.raw.Read(p.look); err != nil {
		return 0, err
	}
	return p.n, p.err
}

// read reads what waits on the socket; it reports false if that is nothing. A connection
// that waits holds no buffer. A request that is ready is handed on only then: whether its
// client has left meanwhile is known without another look.
func (p *plain) read(fd uintptr) bool {
	if p.pooled == nil {
		p.pooled = headBuffers.Get().(*[framing.MaxHead]byte)
		p.head = p.pooled[:0]
	}
	for {
		p.n, p.err = p.readNow(fd)
		if p.err != syscall.EINTR {
			break
		}
	}
	p.n = max(p.n, 0)
	if p.err != syscall.EAGAIN {
		return true
	}
	if len(p.head) == 0 {
		p.dropHead()
	}
	if p.waiting.x != nil {
		j := p.waiting
		p.waiting = job{}
		p.start(j)
	}
	return false
}

// readNow reads without waiting. That something was read is noted along with it: in
// between, the connection would be taken for one that is silent or rests.
func (p *plain) readNow(fd uintptr) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evicted {
		return 0, nil
	}
	n, err := syscall.Read(int(fd), p.head[len(p.head):cap(p.head)])
	if n > 0 {
		p.spoken = true
		p.heard.Store(true)
		p.resting.Store(false)
		p.asked = framing.End(p.head[:len(p.head)+n]) > 0
	}
	return n, err
}

// handOver gives the connection to net/http's server with what has been read of it.
func (p *plain) handOver() bool {
	head := slices.Clone(p.head)
	p.dropHead()
	p.head, p.handed = head, true
	p.SetReadDeadline(time.Time{})
	return p.server.rest.hand(p.clientConn)
}

// take has a request answered, of which the head ends at end in c.head. It reports
// whether the connection is kept, for as long as nothing else becomes of it.
func (p *plain) take(req *framing.Request, end int) (kept bool) {
	p.extra.Store(false)
	p.serving.Store(true)
	length := max(req.Length, 0)
	one := &struct { // together, as they last
		head core.Head
		body plainBody
	}{body: plainBody{p: p, left: length, here: p.head[end:min(len(p.head), end+int(length))]}}
	body := &one.body
	p.follows(len(p.head) > end+int(length))
	one.head = core.Head{Method: req.Method, Target: req.Target, Host: req.Host, Header: req.Header, Length: length, Client: p.clientConn}
	x, refused := p.server.core.Open(&one.head)
	if refused != nil {
		return p.refuse(refused, body, req.Close)
	}
	p.taken = x
	if length > int64(len(body.here)) {
		p.setAsked(false)
	}
	held, err := body.whole(x)
	if err != nil {
		a := front.IncompleteBody(err)
		p.drop(a)
		return p.refuse(a, body, true)
	}
	x.SetReceived(p.unread())
	if p.extra.Load() || p.full && p.readable() {
		p.drop(nil)
		return p.write(followsTooSoon(), true)
	}
	if !p.clientConn.take() {
		p.drop(nil)
		return false
	}
	p.dropHead()
	if p.due.Load() != 0 {
		p.SetReadDeadline(time.Time{})
	}
	p.serves = true
	p.opens(x)
	p.waiting = job{p, x, held, req.Close}
	return true
}

// serveOne has a request answered that has come whole, writes the answer, and tells the
// connection's reader whether that goes on.
func (p *plain) serveOne(x *core.Exchange, held []byte, last bool) {
	kept := false
	defer func() {
		p.opens(nil)
		if !kept {
			p.callOff()
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
	a, err := x.Do(context.Background(), held)
	ended = err != nil
	if ended {
		return // nobody is there to read an answer
	}
	kept = p.write(&a, last)
	ended = true
	if kept {
		p.rests()
	}
}

// logPanic has a panic end its connection alone.
func logPanic() {
	if r := recover(); r != nil {
		slog.Error("panic", "in", "http1", "panic", r, "stack", string(debug.Stack()))
	}
}

// unread is how long what came last has waited to be read: the process may have stood still.
func (p *plain) unread() time.Duration {
	if p.raw.Control(p.age) != nil {
		return 0
	}
	return p.waited
}

// refuse answers a request whose body may still be to come. The answer goes out at once;
// what is to come is then read and dropped, so that the connection can be kept.
func (p *plain) refuse(a *core.Answer, b *plainBody, last bool) (kept bool) {
	if (a.Malformed || last) && b.left > int64(len(b.here)) {
		p.extra.Store(true) // its end waits for the answer to be read
	}
	if !p.write(a, last) {
		return false
	}
	if _, err := io.Copy(io.Discard, b.paced()); err != nil {
		return false
	}
	p.dropHead()
	p.mu.Lock()
	p.spoken = false // that was this request still
	p.mu.Unlock()
	p.rests()
	return true
}

// rests notes that the connection's request has been answered: reading it ends when it
// has rested for long enough, unless the next request is here by now.
func (p *plain) rests() {
	p.table.answered(p.clientConn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spoken {
		return
	}
	p.resting.Store(true)
	due := int64(front.Now() + restPatience)
	p.due.Store(due)
	if !p.ending {
		p.setDue(due)
	}
}

// plainBody is a body of a length that is told, of which a part came with the head.
type plainBody struct {
	p    *plain
	here []byte
	left int64 // to be read, here included
}

func (b *plainBody) Read(to []byte) (n int, err error) {
	switch {
	case b.left == 0:
		return 0, io.EOF
	case len(b.here) > 0:
		n = copy(to, b.here)
		b.here = b.here[n:]
	default:
		n, err = b.p.receive(to[:min(int64(len(to)), b.left)])
		b.p.full = true // what is behind it has not been looked at
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	}
	if b.left -= int64(n); b.left == 0 {
		b.p.setAsked(true)
	}
	return n, err
}

// paced is the body as it has to keep coming.
func (b *plainBody) paced() io.Reader {
	if b.left == int64(len(b.here)) {
		return b
	}
	return front.NewPacedBody(b, b.p, time.Duration(b.p.begun.Load()))
}

// whole reads a body within the core's room for it.
func (b *plainBody) whole(x *core.Exchange) ([]byte, error) {
	if b.left == 0 {
		return nil, nil
	}
	text, _, err := front.ReadBody(b.paced(), b.left, x.ReserveBody)
	return text, err
}

// rest hands connections to net/http's server.
type rest struct {
	addr   net.Addr
	conns  chan *clientConn
	closed chan struct{}
	once   sync.Once
}

func newRest(addr net.Addr) *rest {
	return &rest{addr: addr, conns: make(chan *clientConn), closed: make(chan struct{})}
}

// hand reports false if the server takes no more.
func (r *rest) hand(c *clientConn) bool {
	select {
	case r.conns <- c:
		return true
	case <-r.closed:
		return false
	}
}

func (r *rest) Accept() (net.Conn, error) {
	select {
	case c := <-r.conns:
		return c, nil
	case <-r.closed:
		return nil, net.ErrClosed
	}
}

func (r *rest) Close() error {
	r.once.Do(func() { close(r.closed) })
	return nil
}

func (r *rest) Addr() net.Addr { return r.addr }
