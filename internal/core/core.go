// Package core owns a request's life, whichever protocol it came by: a front
// hands in a head and a body and gets exactly one answer out. Between the two
// the decision module says what is done, and upstream carries it out.
//
// Data flows one way, front to core to upstream. The core knows nothing of the
// protocol of its clients, and a front nothing of endpoints.
package core

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"spokegw/internal/figures"
	"spokegw/internal/target"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

const (
	// answerMargin is kept of the client's time for writing the answer.
	answerMargin = 4 * time.Millisecond
	// answerOverdue is how long after a request's time its front waits for the
	// module. It always speaks before; this is against a panic in it.
	answerOverdue = 20 * time.Millisecond
)

// ErrClientDisconnected tells a front that its client left before there was an answer.
var ErrClientDisconnected = errors.New("the client has gone")

// Answer is the one final answer to a request.
type Answer struct {
	Status     int
	Header     http.Header   // of the endpoint's answer, as it came; nil where the sidecar speaks itself
	Body       []byte        // whole, or the beginning of a long one
	Length     int64         // of the whole; -1: not told
	Reason     string        // what a client reads where the sidecar speaks itself; "": the status's own text
	RetryAfter time.Duration // when a refused client should come back; 0: not told
	Malformed  bool          // what follows on the connection is in doubt: a front closes it

	from   *upstream.Answer // it holds what is given back with it; nil: nothing
	count  *figures.Class   // nil: the request is not counted
	stream *upstream.Stream
}

// Stream is the rest of a long answer: it is read as it is passed on.
type Stream interface {
	io.Reader // io.EOF tells that the answer was whole, any other error that it was not
	Abort()   // ends a Read that waits, at any time: the reader has gone
}

// Replace puts another answer in a's place, which nobody is to see.
func (a *Answer) Replace(by *Answer) {
	count := a.count
	a.count = nil
	a.Free()
	*a = *by
	a.count = count
}

// Stream is what follows Body; nil: nothing. Free closes it.
func (a *Answer) Stream() Stream {
	if a.stream == nil {
		return nil
	}
	return a.stream
}

// outcome is what became of the request once its answer has been written.
func (a *Answer) outcome() figures.Outcome {
	switch {
	case a.stream == nil || a.stream.Complete():
		return figures.OfStatus(a.Status)
	case a.stream.Failed():
		return figures.Failed
	}
	return figures.Abandoned
}

// Free gives back what the body holds, and counts the request as ended. It is to
// be called once for every answer, when it has been written.
func (a *Answer) Free() {
	if a.count != nil {
		a.count.End(a.outcome())
	}
	if a.stream != nil {
		a.stream.Close()
	}
	if a.from != nil {
		a.from.Free()
	}
}

func malformed(status int, reason string) *Answer {
	return &Answer{Status: status, Reason: reason, Malformed: true}
}

// Core takes the requests of all fronts.
type Core struct {
	table atomic.Pointer[Table]
	ids   *ids // of all fronts: an id is in use once
	taps  taps
}

// New makes a core that serves by the table.
func New(t *Table) *Core {
	c := &Core{ids: newIDs()}
	c.SetTable(t)
	return c
}

// SetTable puts another table in place, at one instant. Requests under way go on by
// the one that they were taken by.
func (c *Core) SetTable(t *Table) { c.table.Store(t) }

// AdmissionInfo is what a request of a target is worth, by its class, and where it is counted:
// for judging one before it is read. nil: no class has the target.
func (c *Core) AdmissionInfo(of string) (worth float64, count *figures.Class) {
	path, _, err := target.Split(of)
	if err != nil {
		return 0, nil
	}
	t := c.table.Load()
	to, ok := t.routes.Find(path)
	if !ok {
		return 0, nil
	}
	class := t.mounts[to.Service].entry(to.Class)
	return class.rules.Worth, class.count
}

// Exchange is a request from when its head has been read until it is answered.
type Exchange struct {
	core    *Core
	service *Service
	place   *place // of its class
	head    *Head
	opened  time.Time
	came    time.Time // whole, as its time counts from then; zero: not yet
	request policy.Request
	ticket  *ticket // nil: no contracts are in force
	keyed   bool    // it has a key
	key     uint64  // hash of it
	held    int64   // bytes of the service's room for bodies
	source  Source  // of the rest of the body; nil: it has come whole
	trace   *Trace  // nil: nobody looks on

	// Guarded by the service's mutex.
	call *call // nil: the module has not been told of it
	left bool  // its client has left
}

// Open takes the head of a request, before its body. It returns either an
// exchange to go on with, which has to be ended with Do or Drop, or the final
// answer.
func (c *Core) Open(h *Head) (*Exchange, *Answer) {
	for {
		t := c.table.Load()
		m, class, q, refused := t.read(h)
		if refused != nil {
			c.taps.begin(h, "", "", 0).endWith(refused)
			return nil, refused
		}
		// The place counts as in use before the table is known to be in force
		// still: one that was dropped meanwhile may be another class's already.
		class.open.Add(1)
		if c.table.Load() != t {
			class.open.Add(-1)
			continue
		}
		x := &Exchange{core: c, service: m.Service, place: class.place, head: h, opened: time.Now(), request: q}
		x.trace = c.taps.begin(h, m.name, class.name, class.rules.Aim)
		if refused := x.service.admit(x); refused != nil {
			x.release()
			x.counted(refused)
			x.trace.endWith(refused)
			return nil, refused
		}
		return x, nil
	}
}

// counted takes a request into the figures that ends with this answer.
func (x *Exchange) counted(a *Answer) {
	x.place.count.Take()
	a.count = x.place.count
}

// ReserveBody reserves so many bytes for the request's body; it reports false where
// there is no room for them. It does not wait: the sender's time is running.
// What is held is given back when nothing needs the body any more.
func (x *Exchange) ReserveBody(bytes int64) bool {
	if !x.service.rooms[x.head.Front].Bodies.TryAcquire(bytes) {
		return false
	}
	x.held += bytes
	return true
}

// Drop ends an exchange whose request did not come whole. a is the answer that
// its client gets; nil: none. A refusal is counted, since there was a request but
// for the room; what is malformed is none.
func (x *Exchange) Drop(a *Answer) {
	x.release()
	x.service.withdraw(x)
	x.trace.endWith(a)
	if a != nil && figures.OfStatus(a.Status) == figures.Rejected {
		x.counted(a)
	}
}

// release gives back the room that the body takes, and the hold on the class.
func (x *Exchange) release() {
	x.service.rooms[x.head.Front].Bodies.Release(x.held)
	x.place.open.Add(-1)
}

// uploadPatience is the longest that a body which is passed on may take to come.
// Its front ends it sooner if it comes too slowly.
const uploadPatience = 10 * time.Minute

// Source is the rest of a body that is passed on as it comes.
type Source interface {
	io.Reader   // io.EOF tells that the body was whole
	Interrupt() // ends a Read that waits; the body is not read on after that
}

// DoStream is Do for a request whose body is passed on as it comes, after the
// part of it that is held.
func (x *Exchange) DoStream(ctx context.Context, held []byte, rest Source) (Answer, error) {
	x.source, x.request.UploadTime = rest, uploadPatience
	return x.Do(ctx, held)
}

// SetReceived notes that the request had come whole so long ago: its time counts from then.
func (x *Exchange) SetReceived(ago time.Duration) { x.came = time.Now().Add(-ago) }

// Do has the request answered, which has come whole just now unless SetReceived was called. It returns
// ErrClientDisconnected, and no answer, if ctx ends, or ClientDisconnected is called, before there is one.
func (x *Exchange) Do(ctx context.Context, body []byte) (Answer, error) {
	id := x.head.Header.Get("Req-Id")
	if !x.core.ids.take(id) {
		a := malformed(http.StatusConflict, "Req-Id is in use or was of late")
		x.Drop(a)
		return *a, nil
	}
	if x.place.rules.Effect == policy.Keyed {
		x.keyed, x.key = true, x.core.ids.hash(x.head.Header.Get("Req-Owner"), x.head.Header.Get("Idempotency-Key"))
	}
	x.place.count.Take()
	if x.came.IsZero() {
		x.SetReceived(0)
	}
	x.request.TimeLeft -= answerMargin
	patience := x.request.TimeLeft
	x.request.TimeLeft += x.request.UploadTime
	if ctx.Done() != nil {
		if ctx.Err() != nil {
			x.ClientDisconnected() // the function below is called some time after, by another goroutine
		}
		stop := context.AfterFunc(ctx, x.ClientDisconnected)
		defer stop()
	}
	c := x.service.request(x, x.upstream(body, patience))
	defer x.service.leave(x.head.Front)
	a := <-c.answer
	answers.Put(c.answer) // it carries one answer, which has come
	if a.Status == 0 {
		x.trace.endWith(nil)
		x.place.count.End(figures.Abandoned)
		return Answer{}, ErrClientDisconnected
	}
	a.count = x.place.count
	x.trace.endWith(&a)
	return a, nil
}

// ClientDisconnected tells that the client has left. It may be called at any time, and by anybody; what
// has been answered by then is not changed by it.
func (x *Exchange) ClientDisconnected() { x.leave(x.service) }

// upstream is the request as it goes on: target and method unchanged, the
// length of the body that was read.
func (x *Exchange) upstream(body []byte, patience time.Duration) *upstream.Request {
	h := x.head
	length := int64(len(body))
	switch {
	case x.source != nil && h.Length < 0:
		length = upstream.ChunkedLength
	case x.source != nil:
		length = h.Length
	case length == 0 && (h.Method == http.MethodGet || h.Method == http.MethodHead):
		length = upstream.UnknownLength
	}
	r := upstream.NewRequest(h.Method, h.Target, h.Host, length, h.Header, misspelt)
	r.Body, r.NoRetry = body, x.place.rules.Effect == policy.Unsafe
	if x.source != nil {
		r.Stream = &upstream.BodyStream{Source: x.source, Chunked: h.Length < 0, AnswerTimeout: patience}
	}
	return r
}

// RecentIDs are the hashes of the ids of requests taken of late, and their key.
func (c *Core) RecentIDs() (key uint64, hashes []uint64) { return c.ids.all() }

// AdoptIDs has the core remember those of another process. It is to be called
// before the first request.
func (c *Core) AdoptIDs(key uint64, hashes []uint64) { c.ids.adopt(key, hashes) }
