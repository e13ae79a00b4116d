package upstream

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"spokegw/internal/permit"
	"spokegw/policy"
)

const (
	// maxBufferedBody is the longest answer, in bytes, that is read whole before any of
	// it is passed on. Longer ones are streamed, up to MaxStreamBytes; an answer with a
	// greater length is invalid, and not waited for.
	maxBufferedBody = 64 << 10
	MaxStreamBytes  = 40 << 20
	// streamBufferSize is what a stream takes of the pool's budget, in bytes.
	streamBufferSize = 32 << 10
	// streamTimeout is for the next piece of a long answer or body to be moved. It may
	// cut off an endpoint that pauses for longer in the middle of an answer.
	streamTimeout = 10 * time.Second
	// maxBufferTime is how long an answer of unknown length is buffered while its pieces keep
	// coming. The pieces of a short answer arrive together; if one takes longer, its
	// client waits for the first bytes. A short, slow answer that then breaks off is
	// not retried.
	maxBufferTime = 20 * time.Millisecond
	// maxHoldTime is how long the first pieces of an answer of unknown length are held while no
	// more of it comes, and beginMargin how long before the attempt's deadline they are passed on
	// in any case: the endpoint may be writing slowly.
	maxHoldTime = time.Second
	beginMargin = 20 * time.Millisecond
	// inlineWriteSize is, in bytes, what every new socket buffer takes without blocking.
	inlineWriteSize = 8 << 10
	// maxInterim limits the 1xx answers before the final one.
	maxInterim = 8
)

var (
	// ErrCancelled is the cause for cancelling an attempt whose result is not needed
	// any more.
	ErrCancelled = errors.New("attempt cancelled")
	// ErrEndpointUnavailable is the cause for cancelling an attempt that has sent nothing
	// because its endpoint may get no new requests.
	ErrEndpointUnavailable = errors.New("the endpoint accepts no new requests")
	errBodyRefused         = errors.New("the remaining body must not be sent any more")
	errTimedOut            = errors.New("timed out")
	errStalled             = errors.New("the answer stalled before its end")
	errInvalidHead         = errors.New("the answer's head is invalid or too long")
	errInvalidInterim      = errors.New("too many 1xx answers, or an unsolicited protocol switch")
	errEarlyAnswer         = errors.New("the answer arrived before the request was written")
	errNoStreamBuffer      = errors.New("no buffer space for a streamed answer")
	errNotWanted           = errors.New("the remaining answer is not wanted")
	errInvalidLength       = errors.New("the answer's length is missing, too large or inconsistent")
)

// Answer is the result of an attempt.
type Answer struct {
	Result  policy.Result
	Header  http.Header
	Body    []byte  // whole, or what was read before Stream
	Stream  *Stream // the remaining body after Body; nil: none
	Length  int64   // as stated; UnknownLength if it is not
	Elapsed time.Duration
	Dialled bool          // on a new connection
	Refused permit.Reason // why the permit check stopped the attempt; permit.Allowed: it did not
	Cause   error         // why there is no answer; nil: there is one, or nothing was written
	Read    int           // bytes of the body that were read before that

	release func()
	buffer  *bodyBuffer // that Body may use; nil: Body has its own slice
}

// Free releases the buffers that the answer holds. It must be called once for each
// answer, when the body is not needed any more.
func (a *Answer) Free() {
	if a.release != nil {
		a.release()
	}
	if a.buffer != nil {
		a.buffer.pool.Put(a.buffer)
	}
}

// Do is Begin, but also waits for the end of a streamed answer.
func (p *Pool) Do(cancellation *Cancellation, e Endpoint, req *Request, timeout time.Duration, stream func(Answer) bool) Answer {
	var acceptor StreamAcceptor
	if stream != nil {
		acceptor = acceptFunc(stream)
	}
	a, wait := p.Begin(cancellation, e, req, Constraints{Deadline: time.Now().Add(timeout)}, acceptor)
	if wait != nil {
		return wait()
	}
	return a
}

// StreamAcceptor receives a long answer when it begins and reports whether it is wanted.
type StreamAcceptor interface{ AcceptStream(a Answer) bool }

type acceptFunc func(Answer) bool

func (f acceptFunc) AcceptStream(a Answer) bool { return f(a) }

// Constraints limit when an attempt may be made.
type Constraints struct {
	Deadline   time.Time // the attempt is abandoned then
	DedupUntil time.Time // the endpoint may not recognise the retry from then on; zero: it is no retry
	Gate       Gate      // nil: no further conditions
}

// Gate knows what may have changed since the attempt was decided.
type Gate interface {
	// FillFacts adds the facts its owner knows, immediately before the first byte is written.
	FillFacts(facts *permit.Attempt)
	// FirstByteWritten is called after the first byte, with the time since FillFacts.
	FirstByteWritten(after time.Duration)
	// AnswerStalled is called at most once, if the answer has begun and pauses for longer than
	// answers usually do. The attempt goes on: the endpoint may be writing slowly.
	AnswerStalled()
}

// checkStart decides whether the attempt may begin now.
func (t *transaction) checkStart() permit.Reason {
	t.checkedAt = time.Now()
	return t.check(&t.facts, t.checkedAt)
}

// check decides by the facts known at time now.
func (t *transaction) check(facts *permit.Attempt, now time.Time) permit.Reason {
	*facts = permit.Attempt{Now: now.Sub(t.start), Deadline: t.constraints.Deadline.Sub(t.start), Cancelled: t.cancellation.Cause() != nil}
	if !t.constraints.DedupUntil.IsZero() {
		facts.DedupUntil = max(t.constraints.DedupUntil.Sub(t.start), 1)
	}
	if t.constraints.Gate != nil {
		t.constraints.Gate.FillFacts(facts)
	}
	return facts.Check()
}

// mayContinue decides whether another piece of a streamed body may be written: it may be the last,
// on which the endpoint begins. The endpoint's status counts at the first byte only.
func (t *transaction) mayContinue() bool {
	facts := new(permit.Attempt)
	if reason := t.check(facts, time.Now()); reason != permit.Allowed && !reason.EndpointSpecific() {
		t.refused = reason
		t.cancellation.Cancel(errBodyRefused)
		return false
	}
	return true
}

// firstByteWritten notifies the gate that the first byte has been written.
func (t *transaction) firstByteWritten() {
	if t.constraints.Gate != nil {
		t.constraints.Gate.FirstByteWritten(time.Since(t.checkedAt))
	}
}

// Begin makes an attempt and waits for its end: a whole answer, a failure, the timeout or a
// cancellation. cancellation is used by this attempt only, and always cancelled once the attempt
// is over. A long answer is passed to stream when it begins. If stream accepts it, the attempt
// continues until that stream is closed: wait blocks until then, returns the result and must be
// called once; otherwise it is nil. If stream is nil, long answers are failures.
func (p *Pool) Begin(cancellation *Cancellation, e Endpoint, req *Request, constraints Constraints, stream StreamAcceptor) (a Answer, wait func() Answer) {
	t := &transaction{start: time.Now(), stream: stream, req: req, cancellation: cancellation, constraints: constraints, deadline: constraints.Deadline}
	if req.Stream != nil {
		t.upload = startUploadTimer(req.Stream, cancellation)
	}
	handedOver := false
	defer func() { // also on a panic
		if !handedOver {
			t.release()
		}
	}()
	a, waitStream := p.run(t, e)
	if waitStream == nil {
		return t.annotate(a), nil
	}
	handedOver = true // wait releases it
	return Answer{}, func() Answer {
		defer t.release()
		return t.annotate(waitStream())
	}
}

// release cancels everything that the attempt has started.
func (t *transaction) release() {
	t.upload.stop()
	t.cancellation.Cancel(context.Canceled)
}

// annotate sets the fields that every answer has.
func (t *transaction) annotate(a Answer) Answer {
	a.Dialled = t.dialled
	if a.Elapsed == 0 {
		a.Elapsed = t.elapsed()
	}
	return a
}

// transaction is the state of an attempt in progress.
type transaction struct {
	req          *Request
	stream       StreamAcceptor
	cancellation *Cancellation
	start        time.Time
	constraints  Constraints
	facts        permit.Attempt // of the latest checkStart
	checkedAt    time.Time
	refused      permit.Reason // why its body was not written to the end
	deadline     time.Time
	timer        *attemptTimer // of the connection in use
	write        requestWrite  // of a short request
	dialled      bool
	uploaded     atomic.Int64 // ns from start to the last byte of a BodyStream; 0: not written
	upload       *uploadTimer // nil: the body is not streamed
}

// elapsed is how long the endpoint has had the request.
func (t *transaction) elapsed() time.Duration {
	return time.Since(t.start) - time.Duration(t.uploaded.Load())
}

// remaining is how long the answer may take once the request is written.
func (t *transaction) remaining() time.Duration {
	if t.req.Stream != nil {
		return t.req.Stream.AnswerTimeout
	}
	return time.Until(t.deadline)
}

// bodySent records that the last byte of a streamed body is written, which starts the
// answer timeout.
func (t *transaction) bodySent() {
	t.uploaded.Store(int64(time.Since(t.start)))
	t.timer.setDeadline(time.Now().Add(t.req.Stream.AnswerTimeout)) // no effect if the time ran out as the last byte was written
}

// run returns the result of the attempt or, if its long answer is being passed on, a
// function that waits for it.
func (p *Pool) run(t *transaction, e Endpoint) (Answer, func() Answer) {
	for {
		c, err := p.connect(t, e)
		if err != nil {
			if isLocalExhaustion(err) || cancelledByOwner(t.cancellation.Cause()) {
				return Answer{Result: policy.NotSent, Refused: t.checkStart()}, nil // not a failure of the endpoint
			}
			return Answer{Result: policy.NoConnection}, nil
		}
		if refused := t.checkStart(); refused != permit.Allowed {
			if refused.EndpointSpecific() {
				p.discard(c) // no further requests go there
			} else {
				p.put(c)
			}
			return Answer{Result: policy.NotSent, Refused: refused}, nil
		}
		pooled := !c.idleSince.IsZero()
		t.dialled = !pooled
		a, unsent, wait := p.exchange(t, c)
		if !unsent || !pooled || t.cancellation.Cause() != nil || t.req.Stream.Consumed() {
			return a, wait
		}
		// A kept connection that breaks before the last byte is written says nothing
		// about its endpoint, which has not seen a request: it is replaced. Every
		// round uses up a connection of the pool.
	}
}

// connect takes an idle connection, or dials one within the attempt's time.
func (p *Pool) connect(t *transaction, e Endpoint) (*conn, error) {
	if c := p.idleConn(e, t.req.NoRetry); c != nil {
		return c, nil
	}
	expiry := time.AfterFunc(time.Until(t.deadline), func() { t.cancellation.Cancel(errTimedOut) })
	defer expiry.Stop()
	return p.dial(t.cancellation, e)
}

// exchange writes the request on c and reads the answer. It reports whether it failed
// before the request's last byte was written. If a long answer was accepted, wait blocks
// until it has been passed on; otherwise it is nil.
func (p *Pool) exchange(t *transaction, c *conn) (a Answer, unsent bool, wait func() Answer) {
	t.timer = &c.timer
	t.timer.start(t.cancellation, t.constraints.Gate, t.deadline)
	if t.req.Stream == nil {
		t.cancellation.OnCancel(c.interrupt)
	} else {
		t.cancellation.OnCancel(func() {
			c.interrupt()
			t.req.Stream.Source.Interrupt()
		})
	}
	w := startWrite(c, t)
	t.firstByteWritten()
	a, keep, err := c.readAnswer(t)
	if t.req.Stream != nil && (err != nil || a.Result != policy.Served) {
		t.cancellation.Cancel(errStalled) // ends a write that waits for more of the body; the answer is known
	}
	if err == nil && a.Result == policy.Served {
		w.wait() // an endpoint begins on the last byte: before that this answer belongs to another request
		if !w.sent {
			a.Free()
			err = errEarlyAnswer
		}
	}
	if err == nil && a.Stream != nil {
		a.Elapsed = t.elapsed()
		if err = offerStream(t, &a); err == nil {
			accepted := a
			return Answer{}, false, func() Answer {
				keep, err := awaitStream(t, &accepted)
				a, _ := p.finish(t, c, w, accepted, keep, err)
				return a
			}
		}
	}
	a, unsent = p.finish(t, c, w, a, keep, err)
	return a, unsent, nil
}

// finish ends an exchange: it keeps or closes the connection.
func (p *Pool) finish(t *transaction, c *conn, w *requestWrite, a Answer, keep bool, err error) (_ Answer, unsent bool) {
	answerBegun := c.timer.stop()
	keep = t.cancellation.ClearOnCancel() && keep && err == nil
	// A connection is kept only if all I/O on it is complete and no unsolicited bytes
	// arrived with the answer; those that arrive later are checked for before the
	// connection is used again.
	if keep = keep && w.finished() && w.sent && c.r.Buffered() == 0; !keep {
		c.Close() // ends a blocked write
	}
	w.wait()
	if w.sent {
		p.sentCount.Add(1)
	}
	if keep {
		p.put(c)
	} else {
		p.discard(c)
	}
	if err != nil {
		if c.idleFor > 0 && !answerBegun && t.cancellation.Cause() == nil {
			p.recordPeerClose(c)
		}
		cause := t.cancellation.Cause()
		return Answer{
			Result: failureResult(cause, w.sent), Elapsed: a.Elapsed, Refused: t.refused, Cause: cmp.Or(cause, err), Read: len(a.Body),
		}, !w.sent
	}
	return a, false
}

// offerStream passes a long answer to its receiver.
func offerStream(t *transaction, a *Answer) error {
	// The client decides how long it waits for the remaining answer. If the time is up or
	// the attempt is cancelled, the client would get a head and nothing more.
	t.upload.stop()
	if !t.timer.setDeadline(time.Time{}) || t.cancellation.Cause() != nil {
		t.cancellation.Cancel(errTimedOut) // the first cause counts
		a.Free()
		return errTimedOut
	}
	if !t.stream.AcceptStream(*a) {
		a.Free()
		return errNotWanted
	}
	a.release = nil // the receiver releases it
	return nil
}

// awaitStream waits until a long answer has been passed on.
func awaitStream(t *transaction, a *Answer) (keep bool, err error) {
	s := a.Stream
	select {
	case <-s.done:
	case <-t.cancellation.Done():
		<-s.done // Read fails now
	}
	a.Stream, a.Body, a.buffer = nil, nil, nil // owned by the receiver
	if s.complete {
		return s.keep, nil
	}
	if s.failed {
		return false, errStalled
	}
	return false, errNotWanted
}

// cancelledByOwner reports whether an attempt that has sent nothing was cancelled by its owner.
func cancelledByOwner(cause error) bool {
	return errors.Is(cause, ErrCancelled) || errors.Is(cause, ErrEndpointUnavailable) || errors.Is(cause, errBodyRefused)
}

// failureResult returns the result, by the protocol's table, of an attempt without an answer.
func failureResult(cause error, sent bool) policy.Result {
	switch {
	case errors.Is(cause, errIncompleteBody), !sent && cancelledByOwner(cause):
		return policy.NotSent // not a failure of the endpoint
	case !sent:
		return policy.NoConnection
	case errors.Is(cause, errTimedOut):
		return policy.NoAnswer
	case errors.Is(cause, errStalled):
		return policy.ConnectionLost
	case errors.Is(cause, errNotWanted):
		return policy.Cancelled
	case cause != nil:
		return policy.Cancelled
	}
	return policy.ConnectionLost
}
