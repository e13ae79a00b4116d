package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"spokegw/internal/fields"
	"spokegw/internal/permit"
	"spokegw/policy"
)

// Request is what is written to an endpoint, maybe more than once.
type Request struct {
	Head   []byte      // request line and headers, up to the deadline's value
	Body   []byte      // that is held, or the part of it
	Stream *BodyStream // of the body, which can be given once; nil: Body is all

	NoRetry  bool // it can't be sent again: it takes no connection that its endpoint may be about to end
	headOnly bool // no body comes with the answer
}

// BodyStream is the part of a body that is passed on as it comes. One attempt alone
// reads it.
type BodyStream struct {
	Source interface {
		io.Reader   // io.EOF tells that it was whole
		Interrupt() // ends a Read that waits; the body is not read on after that
	}
	Chunked       bool          // its length is not told
	AnswerTimeout time.Duration // for the answer, from the last byte on

	taken atomic.Bool
}

// Consumed reports whether some of the body may have been read: it can't be given
// again.
func (r *BodyStream) Consumed() bool { return r != nil && r.taken.Load() }

// UnknownLength stands for a length that is not told, and ChunkedLength for that of a
// body in chunks.
const (
	UnknownLength = -1
	ChunkedLength = -2
)

// NewRequest makes a request without a body. length is that of the body that
// is to come; of the fields those go on that do by their names, but for those that without
// names. The head ends in Req-Deadline, whose value is left to the attempt.
func NewRequest(method, target, host string, length int64, header http.Header, without func(name string) bool) *Request {
	b := make([]byte, 0, usualHead)
	b = append(append(append(b, method...), ' '), target...)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n"...)
	b = fields.Append(b, header, without)
	switch {
	case length >= 0:
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	case length == ChunkedLength:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	b = append(b, "Req-Deadline: "...)
	return &Request{Head: b, headOnly: method == http.MethodHead}
}

const (
	// maxBody is the longest answer that is read whole before any of it is passed
	// on. Longer ones are streamed, up to MaxStreamBytes; what is said to be longer
	// still is no answer, and not waited for.
	maxBody        = 64 << 10
	MaxStreamBytes = 40 << 20
	// streamRoom is what a stream holds of the pool's room for long ones.
	streamRoom = 32 << 10
	// streamPatience is for the next piece of a long answer, or of a long body,
	// to be moved. It could cut off an endpoint that works for longer in the
	// midst of an answer.
	streamPatience = 10 * time.Second
	// mostHeld is how long an answer whose length is not told is held, from its
	// first piece on, while more of it comes. One that takes longer is no short
	// one, whose pieces come together: its first bytes are what its client waits
	// for. One that is short and slow, and then breaks off, is not tried again.
	mostHeld = 20 * time.Millisecond
	// usualHead is what most heads fit in, in bytes.
	usualHead = 512
	// inlineWrite is what every fresh socket buffer takes without waiting.
	inlineWrite = 8 << 10
	// answerPatience is for the next piece of an answer, from its first byte on.
	// The endpoint has it all by then, so one that stops in the middle is spoilt,
	// and the time that is left is better spent on another attempt. It could
	// cut off good answers on a link that pauses for longer.
	answerPatience = 150 * time.Millisecond
	// maxInterim bounds the 1xx answers ahead of one.
	maxInterim = 8
)

var (
	// ErrCancelled is the cause with which an attempt's context is ended when
	// its result is not wanted any more.
	ErrCancelled = errors.New("called off")
	// ErrEndpointUnavailable is the cause for one that has sent nothing yet, and whose endpoint is to get
	// nothing new.
	ErrEndpointUnavailable = errors.New("the endpoint is to get nothing new")
	errRefused             = errors.New("the rest is not to be sent any more")
	errTimedOut            = errors.New("timed out")
	errStopped             = errors.New("the answer stopped in the middle")
	errHead                = errors.New("the answer's head is no head, or too long")
	errInterim             = errors.New("too many 1xx answers, or one that switches protocols unasked")
	errEarly               = errors.New("the answer came before the request was written")
	errNoRoom              = errors.New("no room for a long answer")
	errUnwanted            = errors.New("nobody wants the rest of a long answer")
	errBody                = errors.New("the answer's length is not told, or too long, or does not fit")
)

// Answer is how an attempt ended.
type Answer struct {
	Result  policy.Result
	Header  http.Header
	Body    []byte  // whole, or what was read of Stream
	Stream  *Stream // what follows Body; nil: nothing
	Length  int64   // told; UnknownLength where it is not
	Elapsed time.Duration
	Dialled bool          // on a connection made for it
	Refused permit.Reason // why it was not sent though it was decided; permit.Allowed: that is not why

	free func()
	kept *keptBody // that Body may stand in; nil: in a slice of its own
}

// Free gives back what the body holds of the pool's room for long ones. It is
// to be called once for every answer, when the body is not needed any more.
func (a *Answer) Free() {
	if a.free != nil {
		a.free()
	}
	if a.kept != nil {
		a.kept.of.Put(a.kept)
	}
}

// Do is Begin, and waits for the end of a long answer too.
func (p *Pool) Do(end *Cancellation, e Endpoint, req *Request, timeout time.Duration, stream func(Answer) bool) Answer {
	var taker StreamAcceptor
	if stream != nil {
		taker = takes(stream)
	}
	a, more := p.Begin(end, e, req, Constraints{Deadline: time.Now().Add(timeout)}, taker)
	if more != nil {
		return more()
	}
	return a
}

// StreamAcceptor takes a long answer as it begins; it reports whether that is wanted.
type StreamAcceptor interface{ AcceptStream(long Answer) bool }

type takes func(Answer) bool

func (take takes) AcceptStream(long Answer) bool { return take(long) }

// Constraints are what an attempt is held to.
type Constraints struct {
	Deadline   time.Time // it is given up then
	DedupUntil time.Time // its endpoint does not know it for a repeat from then on; zero: it is none
	Gate       Gate      // nil: nothing else holds it back
}

// Gate knows what may have changed since an attempt was decided.
type Gate interface {
	// FillFacts fills in what its owner knows, immediately before the first byte is written.
	FillFacts(facts *permit.Attempt)
	// FirstByteWritten tells that the first byte has been written, and how long after the look.
	FirstByteWritten(after time.Duration)
}

// permitted decides whether the attempt may begin now.
func (t *try) permitted() permit.Reason {
	t.looked = time.Now()
	return t.look(&t.facts, t.looked)
}

// look decides by what is known at a time.
func (t *try) look(facts *permit.Attempt, now time.Time) permit.Reason {
	*facts = permit.Attempt{Now: now.Sub(t.start), Deadline: t.terms.Deadline.Sub(t.start), Cancelled: t.end.Cause() != nil}
	if !t.terms.DedupUntil.IsZero() {
		facts.DedupUntil = max(t.terms.DedupUntil.Sub(t.start), 1)
	}
	if t.terms.Gate != nil {
		t.terms.Gate.FillFacts(facts)
	}
	return facts.Check()
}

// mayGoOn decides whether one more piece of a body that is passed on may be written: it may be the
// last, with which the endpoint begins. Where the endpoint stands counts at the first byte alone.
func (t *try) mayGoOn() bool {
	facts := new(permit.Attempt)
	if why := t.look(facts, time.Now()); why != permit.Allowed && !why.EndpointSpecific() {
		t.refused = why
		t.end.Cancel(errRefused)
		return false
	}
	return true
}

// wrote tells the gate that the first byte has been written.
func (t *try) wrote() {
	if t.terms.Gate != nil {
		t.terms.Gate.FirstByteWritten(time.Since(t.looked))
	}
}

// Begin makes an attempt on the endpoint and waits for its end: an answer that is
// whole, a failure, the time-out, or that end is ended. It is this attempt's alone, and ended in any
// case once the attempt is over. A long answer is given to
// stream as it begins, which returns whether it is wanted. Where it is, the attempt goes on until
// that has been closed: more waits for that and returns how the attempt ended. It is to be called
// once, and is nil otherwise. Without stream long answers are failures.
func (p *Pool) Begin(end *Cancellation, e Endpoint, req *Request, terms Constraints, stream StreamAcceptor) (a Answer, more func() Answer) {
	t := &try{start: time.Now(), stream: stream, req: req, end: end, terms: terms, deadline: terms.Deadline}
	over := false
	defer func() { // also where it panics
		if !over {
			t.over()
		}
	}()
	a, passing := p.attempt(t, e)
	if passing == nil {
		return t.told(a), nil
	}
	over = true // not yet: more's to see to
	return Answer{}, func() Answer {
		defer t.over()
		return t.told(passing())
	}
}

// over has everything end that an attempt has begun.
func (t *try) over() { t.end.Cancel(context.Canceled) }

// told fills in what every answer tells.
func (t *try) told(a Answer) Answer {
	a.Dialled = t.dialled
	if a.Elapsed == 0 {
		a.Elapsed = t.elapsed()
	}
	return a
}

// try is one attempt while it is made.
type try struct {
	req      *Request
	stream   StreamAcceptor
	end      *Cancellation
	start    time.Time
	terms    Constraints
	facts    permit.Attempt // as the latest look found them
	looked   time.Time
	refused  permit.Reason // why its body was not written to the end
	deadline time.Time
	clock    *clock // of the connection that it is on
	write    write  // of a short request
	dialled  bool
	uploaded atomic.Int64 // ns after start when the last byte of a BodyStream was written; 0: not
}

// elapsed is how long the endpoint has had the request.
func (t *try) elapsed() time.Duration {
	return time.Since(t.start) - time.Duration(t.uploaded.Load())
}

// left is how long the answer may take once the request is written.
func (t *try) left() time.Duration {
	if t.req.Stream != nil {
		return t.req.Stream.AnswerTimeout
	}
	return time.Until(t.deadline)
}

// sentAll notes that the last byte of a streamed body is written: the time for
// the answer begins.
func (t *try) sentAll() {
	t.uploaded.Store(int64(time.Since(t.start)))
	t.clock.allow(time.Now().Add(t.req.Stream.AnswerTimeout)) // where the time was up as the last byte went out it has ended
}

// attempt returns how the attempt ended, or, of one whose long answer is being passed on,
// what waits for that.
func (p *Pool) attempt(t *try, e Endpoint) (Answer, func() Answer) {
	for {
		c, err := p.connect(t, e)
		if err != nil {
			if ownWant(err) || unsentBy(t.end.Cause()) {
				return Answer{Result: policy.NotSent, Refused: t.permitted()}, nil // that is not the endpoint's doing
			}
			return Answer{Result: policy.NoConnection}, nil
		}
		if refused := t.permitted(); refused != permit.Allowed {
			if refused.EndpointSpecific() {
				p.discard(c) // nothing goes there any more
			} else {
				p.put(c)
			}
			return Answer{Result: policy.NotSent, Refused: refused}, nil
		}
		pooled := !c.rested.IsZero()
		t.dialled = !pooled
		a, unsent, passing := p.exchange(t, c)
		if !unsent || !pooled || t.end.Cause() != nil || t.req.Stream.Consumed() {
			return a, passing
		}
		// A kept connection that breaks before the last byte is on it says
		// nothing of its endpoint, which has not seen a request: it is
		// replaced. Every round uses up a connection of the pool.
	}
}

// connect takes a connection that is kept, or makes one within the attempt's time.
func (p *Pool) connect(t *try, e Endpoint) (*conn, error) {
	if c := p.kept(e, t.req.NoRetry); c != nil {
		return c, nil
	}
	expiry := time.AfterFunc(time.Until(t.deadline), func() { t.end.Cancel(errTimedOut) })
	defer expiry.Stop()
	return p.dial(t.end, e)
}

// exchange writes the request on c and reads the answer. It reports whether
// it failed before the request's last byte was written. Where a long answer has been given
// away passing waits until it has been passed on; it is nil otherwise.
func (p *Pool) exchange(t *try, c *conn) (a Answer, unsent bool, passing func() Answer) {
	t.clock = &c.clock
	t.clock.start(t.end, t.deadline)
	if t.req.Stream == nil {
		t.end.OnCancel(c.cut)
	} else {
		t.end.OnCancel(func() {
			c.cut()
			t.req.Stream.Source.Interrupt()
		})
	}
	w := startWrite(c, t)
	t.wrote()
	a, keep, err := c.readAnswer(t)
	if t.req.Stream != nil && (err != nil || a.Result != policy.Served) {
		t.end.Cancel(errStopped) // ends a write that waits for more of the body; the answer is known
	}
	if err == nil && a.Result == policy.Served {
		w.wait() // an endpoint begins when it has the last byte: else this answer is another's
		if !w.sent {
			a.Free()
			err = errEarly
		}
	}
	if err == nil && a.Stream != nil {
		a.Elapsed = t.elapsed()
		if err = give(t, &a); err == nil {
			given := a
			return Answer{}, false, func() Answer {
				keep, err := passed(t, &given)
				a, _ := p.finish(t, c, w, given, keep, err)
				return a
			}
		}
	}
	a, unsent = p.finish(t, c, w, a, keep, err)
	return a, unsent, nil
}

// finish ends an exchange: its connection is kept, or closed.
func (p *Pool) finish(t *try, c *conn, w *write, a Answer, keep bool, err error) (_ Answer, unsent bool) {
	begun := c.clock.stop()
	keep = t.end.ClearOnCancel() && keep && err == nil
	// A connection is kept only if nothing on it is unfinished and nothing that nobody
	// asked for came along with the answer; what comes behind it is looked for before the
	// connection is used again.
	if keep = keep && w.over() && w.sent && c.r.Buffered() == 0; !keep {
		c.Close() // ends a write that still waits
	}
	w.wait()
	if w.sent {
		p.sent.Add(1)
	}
	if keep {
		p.put(c)
	} else {
		p.discard(c)
	}
	if err != nil {
		if c.rest > 0 && !begun && t.end.Cause() == nil {
			p.broke(c)
		}
		return Answer{Result: failure(t.end.Cause(), w.sent), Elapsed: a.Elapsed, Refused: t.refused}, !w.sent
	}
	return a, false
}

// give gives a long answer away.
func give(t *try, a *Answer) error {
	// Its client decides how long it waits for the rest. One whose time is up
	// already, or that is called off, would be given a head and nothing more.
	if !t.clock.allow(time.Time{}) || t.end.Cause() != nil {
		t.end.Cancel(errTimedOut) // of two causes the first counts
		a.Free()
		return errTimedOut
	}
	if !t.stream.AcceptStream(*a) {
		a.Free()
		return errUnwanted
	}
	a.free = nil // the receiver's
	return nil
}

// passed waits until a long answer has been passed on.
func passed(t *try, a *Answer) (keep bool, err error) {
	s := a.Stream
	select {
	case <-s.done:
	case <-t.end.Done():
		<-s.done // Read fails now
	}
	a.Stream, a.Body, a.kept = nil, nil, nil // they are the receiver's
	if s.whole {
		return s.keep, nil
	}
	if s.failed {
		return false, errStopped
	}
	return false, errUnwanted
}

// unsentBy reports whether an attempt that has sent nothing was ended by who decided on it.
func unsentBy(cause error) bool {
	return errors.Is(cause, ErrCancelled) || errors.Is(cause, ErrEndpointUnavailable) || errors.Is(cause, errRefused)
}

// failure tells what an attempt without an answer is by the protocol's table.
func failure(cause error, sent bool) policy.Result {
	switch {
	case errors.Is(cause, errSource), !sent && unsentBy(cause):
		return policy.NotSent // that is not the endpoint's doing
	case !sent:
		return policy.NoConnection
	case errors.Is(cause, errTimedOut):
		return policy.NoAnswer
	case errors.Is(cause, errStopped):
		return policy.ConnectionLost
	case errors.Is(cause, errUnwanted):
		return policy.Cancelled
	case cause != nil:
		return policy.Cancelled
	}
	return policy.ConnectionLost
}
