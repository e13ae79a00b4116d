package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"ploverusher/policy"
)

// Request is what is written to an endpoint, maybe more than once.
type Request struct {
	Head []byte // request line and headers, up to the deadline's value
	Body []byte
}

const (
	// MaxWhole is the longest answer that is read whole before any of it is
	// passed on, so that one that breaks off can still be replaced.
	MaxWhole = 64 << 10
	// inlineWrite is what every fresh socket buffer takes without waiting.
	inlineWrite = 8 << 10
	// stall ends a long answer of which nothing comes any more.
	stall = 10 * time.Second
)

var (
	// ErrCalledOff is the cause with which an attempt's context is ended when
	// its result is not wanted any more.
	ErrCalledOff = errors.New("called off")
	errTimedOut  = errors.New("timed out")
)

// Answer is how an attempt ended.
type Answer struct {
	Result  policy.Result
	Header  http.Header
	Body    []byte        // the whole body, or the first of a long one
	Rest    *Rest         // what follows in a long answer, else nil
	Length  int64         // of the whole body; -1: not known yet
	Elapsed time.Duration // until the answer was whole, or a long one began
}

// Do makes an attempt on the endpoint at addr and waits for its end: an
// answer, a failure, the time-out, or the end of ctx.
func (p *Pool) Do(ctx context.Context, addr string, req *Request, timeout time.Duration) Answer {
	start := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	expiry := time.AfterFunc(timeout, func() { cancel(errTimedOut) })
	a := p.attempt(ctx, addr, req, start.Add(timeout))
	if !expiry.Stop() && a.Rest != nil { // it began too late
		a.Rest.Close()
		a = Answer{Result: policy.NoAnswer}
	}
	if a.Rest == nil {
		cancel(nil)
	}
	a.Elapsed = time.Since(start)
	return a
}

func (p *Pool) attempt(ctx context.Context, addr string, req *Request, deadline time.Time) Answer {
	for {
		c, err := p.get(ctx, addr)
		if err != nil {
			return Answer{Result: policy.NoConnection}
		}
		pooled := !c.rested.IsZero()
		a, unsent := p.exchange(ctx, c, req, deadline)
		if !unsent || !pooled || ctx.Err() != nil {
			return a
		}
		// A kept connection that breaks before the last byte is on it says
		// nothing of its endpoint, which has not seen a request: it is
		// replaced. Every round uses up a connection of the pool.
	}
}

// exchange writes the request on c and reads the answer. It reports whether
// it failed before the request's last byte was written.
func (p *Pool) exchange(ctx context.Context, c *conn, req *Request, deadline time.Time) (a Answer, unsent bool) {
	release := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	w := startWrite(c, req, deadline)
	c.limit.N = maxHead
	resp, err := readHead(c)
	if err == nil {
		c.limit.N = 1<<63 - 1
		a, err = readAnswer(c, resp)
	}
	freed := release()
	if err == nil && a.Rest != nil && freed {
		a.Rest.pool, a.Rest.write = p, w
		return a, false
	}
	if err == nil && a.Rest != nil { // given up as it began
		err = context.Cause(ctx)
	}
	p.finish(c, w, err == nil && freed)
	if err != nil {
		return Answer{Result: failure(ctx, w.sent)}, !w.sent
	}
	return a, false
}

// finish ends the use of c for a request: it is kept if it may be, and closed
// with an answer or a request unfinished, or with bytes that nobody asked for.
func (p *Pool) finish(c *conn, w *write, good bool) {
	keep := good && c.whole && w.over() && w.sent && c.r.Buffered() == 0
	if !keep {
		c.Close() // ends a write that still waits
	}
	<-w.done
	if keep {
		p.put(c)
	} else {
		p.discard(c)
	}
}

// failure tells what an attempt without an answer is by the protocol's table.
func failure(ctx context.Context, sent bool) policy.Result {
	switch {
	case !sent:
		return policy.NoConnection
	case errors.Is(context.Cause(ctx), errTimedOut):
		return policy.NoAnswer
	case ctx.Err() != nil:
		return policy.CalledOff
	}
	return policy.ConnectionLost
}

// write is the writing of a request. A long one goes on while the answer is
// read: the endpoint may answer, and turn away, before it has read it all.
type write struct {
	done chan struct{}
	sent bool // the last byte was written
}

func startWrite(c *conn, req *Request, deadline time.Time) *write {
	head := fmt.Appendf(bytes.Clone(req.Head), "%du\r\n\r\n", max(time.Until(deadline).Microseconds(), 1))
	parts := net.Buffers{head, req.Body}
	total := int64(len(head) + len(req.Body))
	w := &write{done: make(chan struct{})}
	run := func() {
		defer close(w.done)
		n, _ := parts.WriteTo(c.TCPConn)
		w.sent = n == total
	}
	if total <= inlineWrite {
		run()
	} else {
		go run()
	}
	return w
}

func (w *write) over() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// readHead reads the head of the answer, past those of 1xx answers.
func readHead(c *conn) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			c.whole = false
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the endpoint switched protocols unasked")
		}
	}
}

// readAnswer reads the answer whose head is resp: whole, or as far as it takes
// to see that it is long.
func readAnswer(c *conn, resp *http.Response) (Answer, error) {
	a := Answer{Result: policy.Errored, Header: resp.Header, Length: resp.ContentLength}
	switch resp.StatusCode {
	case http.StatusOK:
		a.Result = policy.Served
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("Srv-Declined") == "1" {
			a.Result = policy.TurnedAway
		}
	}
	var err error
	if a.Result == policy.Served && a.Length > MaxWhole {
		first := make([]byte, 16<<10)
		n := 0
		for n == 0 && err == nil {
			n, err = resp.Body.Read(first)
		}
		if n == 0 {
			return a, err
		}
		a.Body, a.Rest = first[:n], &Rest{c: c, resp: resp}
		return a, nil
	}
	a.Body, err = io.ReadAll(io.LimitReader(resp.Body, MaxWhole+1))
	switch {
	case a.Result != policy.Served:
		// The head has told all there is to know.
		c.whole = err == nil && len(a.Body) <= MaxWhole && !resp.Close
		return a, nil
	case err != nil:
		return a, err
	case len(a.Body) > MaxWhole:
		a.Rest = &Rest{c: c, resp: resp}
	default:
		a.Length = int64(len(a.Body))
		c.whole = !resp.Close
	}
	return a, nil
}

// Rest reads what follows the first part of a long answer. It has to be read
// to its end or closed.
type Rest struct {
	pool  *Pool
	c     *conn
	write *write
	resp  *http.Response
	err   error // how it ended
}

// Read gives what has come; io.EOF only at the end of a whole answer. An
// answer that stops in the middle, and stays open, ends after a while.
func (r *Rest) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	r.c.SetReadDeadline(time.Now().Add(stall))
	n, err := r.resp.Body.Read(b)
	if err != nil {
		r.c.whole = err == io.EOF && !r.resp.Close
		r.end(err)
	}
	return n, err
}

// Close gives the answer up, if it is not over.
func (r *Rest) Close() {
	if r.err == nil {
		r.end(net.ErrClosed)
	}
}

func (r *Rest) end(err error) {
	r.err = err
	r.pool.finish(r.c, r.write, err == io.EOF)
}
