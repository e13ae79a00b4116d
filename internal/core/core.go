// Package core manages the life cycle of a request, independent of the client's protocol: a
// front passes in a head and a body and gets exactly one answer. In between, the decision
// module (package policy) decides what to do, and package upstream does it.
//
// Data flows one way, from front to core to upstream. The core knows nothing of the clients'
// protocols, and a front knows nothing of endpoints.
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
	// answerMargin is the part of the client's time that is reserved for writing the answer.
	answerMargin = 4 * time.Millisecond
	// overdueMargin is how long after a request's deadline the service waits for the decision
	// module. The module always answers earlier; the margin covers a panic in it.
	overdueMargin = 20 * time.Millisecond
)

// ErrClientDisconnected states that the client disconnected before there was an answer.
var ErrClientDisconnected = errors.New("the client has disconnected")

// Answer is the final answer to a request. Each request gets one.
type Answer struct {
	Status     int
	Header     http.Header   // of the endpoint's answer, unchanged; nil if the sidecar itself answers
	Body       []byte        // complete, or the beginning of a long one
	Length     int64         // of the complete body; -1: unknown
	Reason     string        // text of an answer by the sidecar itself; "": the standard text of the status
	RetryAfter time.Duration // when a refused client should retry; 0: unspecified
	Malformed  bool          // the framing of further bytes on the connection is uncertain, so the front closes it

	owner    *upstream.Answer // owner of the buffers, released with the answer; nil: none
	counters *figures.Class   // nil: the request is not counted
	stream   *upstream.Stream
	id       openID // of the request, which is open until the answer is written
}

// Stream is the remaining body of a long answer, read as it is passed on.
type Stream interface {
	io.Reader // io.EOF: the answer is complete; any other error: it is not
	Abort()   // interrupts a blocked Read, at any time: the reader has disconnected
}

// Replace replaces an answer that the client has not seen. The request is still counted once.
func (a *Answer) Replace(other *Answer) {
	counters, id := a.counters, a.id
	a.counters, a.id = nil, openID{}
	a.Free()
	*a = *other
	a.counters, a.id = counters, id
}

// Stream is the remaining body after Body; nil: none. Free closes it.
func (a *Answer) Stream() Stream {
	if a.stream == nil {
		return nil
	}
	return a.stream
}

// outcome is the result of the request for the metrics, once the answer has been written.
func (a *Answer) outcome() figures.Outcome {
	switch {
	case a.stream == nil || a.stream.Complete():
		return figures.OutcomeForStatus(a.Status)
	case a.stream.Failed():
		return figures.Failed
	}
	return figures.Abandoned
}

// Free releases the buffers of the answer and counts the request as ended. It must be called
// exactly once for every answer, after it has been written.
func (a *Answer) Free() {
	if a.counters != nil {
		a.counters.End(a.outcome())
	}
	if a.stream != nil {
		a.stream.Close()
	}
	if a.owner != nil {
		a.owner.Free()
	}
	a.id.end()
}

func malformed(status int, reason string) *Answer {
	return &Answer{Status: status, Reason: reason, Malformed: true}
}

// Core handles the requests of all fronts.
type Core struct {
	table   atomic.Pointer[Table]
	ids     *requestIDs // shared by all fronts: an id is in use only once
	idPeers IDPeers     // nil: there are no other processes
	taps    taps
	stop    atomic.Pointer[stopping] // nil: the process is not stopping
}

// New makes a core that serves requests by the table.
func New(t *Table) *Core {
	c := &Core{ids: newRequestIDs()}
	c.SetTable(t)
	return c
}

// SetTable replaces the table atomically. Open requests continue with the table that they
// started with.
func (c *Core) SetTable(t *Table) { c.table.Store(t) }

// AdmissionInfo returns the worth of a request by the class of its target, and the class's
// counters, for load shedding before the request is read. counters is nil if no class has the
// target.
func (c *Core) AdmissionInfo(rawTarget string) (worth float64, counters *figures.Class) {
	path, _, err := target.Split(rawTarget)
	if err != nil {
		return 0, nil
	}
	t := c.table.Load()
	dest, ok := t.routes.Find(path)
	if !ok {
		return 0, nil
	}
	class := t.mounts[dest.Service].class(dest.Class)
	return class.rules.Worth, class.counters
}

// Exchange is a request from the end of its head until it is answered.
type Exchange struct {
	core      *Core
	service   *Service
	slot      *classSlot    // of its class
	id        openID        // in use from Open on; the answer of Do holds it until it is written
	timeGiven time.Duration // by its client, from when the request was received
	head      *Head
	opened    time.Time
	received  time.Time // when the request was received completely, as its deadline counts from then; zero: not yet
	request   policy.Request
	ticket    *ticket // nil: no contracts are in force
	keyed     bool    // the request has an idempotency key
	key       uint64  // hash of the key
	bodyBytes int64   // bytes reserved in the service's body limit
	source    Source  // of the remaining body; nil: it was received completely
	trace     *Trace  // nil: the request is not traced

	// Guarded by the service's mutex.
	call         *call              // nil: the decision module has not received the request
	disconnected bool               // the client has disconnected
	evidence     figures.Disconnect // for that
}

// Open handles the head of a request before its body. It returns either an exchange, which must
// be ended with Do, DoStream or Drop, or the final answer.
func (c *Core) Open(h *Head) (*Exchange, *Answer) {
	for {
		t := c.table.Load()
		m, class, q, refused := t.read(h)
		if refused != nil {
			c.taps.begin(h, "", "", 0).endWith(refused)
			return nil, refused
		}
		// The slot is marked as in use before the table is checked again: a slot that was freed
		// in between may already belong to another class.
		class.open.Add(1)
		if c.table.Load() != t {
			class.open.Add(-1)
			continue
		}
		x := &Exchange{core: c, service: m.Service, slot: class.classSlot, head: h, opened: time.Now(), request: q, timeGiven: q.TimeLeft}
		x.trace = c.taps.begin(h, m.name, class.name, class.rules.Aim)
		refused = x.refuseLate()
		if refused == nil {
			refused = x.reserveHead()
		}
		if refused == nil {
			refused = x.service.admit(x)
		}
		if refused != nil {
			x.release()
			x.countRequest(refused)
			x.trace.endWith(refused)
			return nil, refused
		}
		if refused = x.claimID(); refused != nil {
			x.Drop(refused)
			return nil, refused
		}
		return x, nil
	}
}

// countRequest counts a request that ends with this answer.
func (x *Exchange) countRequest(a *Answer) {
	x.slot.counters.Begin()
	a.counters = x.slot.counters
}

// ReserveBody reserves bytes for the request's body and reports whether they are available. It
// does not wait, since the client's deadline is running. The bytes are released when the body
// is no longer needed.
func (x *Exchange) ReserveBody(bytes int64) bool {
	if !x.service.limits[x.head.Front].Bodies.TryAcquire(bytes) {
		return false
	}
	x.bodyBytes += bytes
	return true
}

// A parsed field of a head takes up to fieldBytes bytes. Heads of up to usualFields are not counted:
// there is one for each connection at most.
const (
	fieldBytes  = 200
	usualFields = 32
)

// reserveHead reserves the memory that the parsed head of an unusual request takes, as ReserveBody
// does for a body. It returns the answer to one for which there is none, else nil.
func (x *Exchange) reserveHead() *Answer {
	fields := len(x.head.Header)
	if fields <= usualFields || x.ReserveBody(int64(fields*fieldBytes)) {
		return nil
	}
	return &Answer{Status: http.StatusServiceUnavailable, Reason: "no memory for the head", RetryAfter: time.Second, Malformed: true}
}

// Drop ends an exchange whose request was not received completely. a is the answer to the
// client, nil for none. A refusal is counted, since only a lack of capacity stopped a valid
// request; a malformed request is not.
func (x *Exchange) Drop(a *Answer) {
	x.id.forget()
	x.release()
	x.service.withdraw(x)
	x.trace.endWith(a)
	if a != nil && figures.OutcomeForStatus(a.Status) == figures.Rejected {
		x.countRequest(a)
	}
}

// release frees the bytes of the body and the request's use of its class slot.
func (x *Exchange) release() {
	x.service.limits[x.head.Front].Bodies.Release(x.bodyBytes)
	x.slot.open.Add(-1)
}

// uploadTimeout is the maximum time for receiving a streamed body. The front ends the upload
// earlier if it is too slow.
const uploadTimeout = 10 * time.Minute

// Source is the remaining part of a body that is streamed to the endpoint.
type Source = upstream.BodySource

// DoStream is Do for a request whose remaining body is streamed; prefix is the part that was
// read already.
func (x *Exchange) DoStream(ctx context.Context, prefix []byte, source Source) (Answer, error) {
	x.source, x.request.UploadTime = source, uploadTimeout
	return x.Do(ctx, prefix)
}

// SetReceived sets how long ago the request was received completely. Its deadline counts from
// then.
func (x *Exchange) SetReceived(ago time.Duration) { x.received = time.Now().Add(-ago) }

// Do has the request answered. The request counts as received now unless SetReceived was
// called. Do returns ErrClientDisconnected, and no answer, if ctx ends or ClientDisconnected is
// called before there is one.
func (x *Exchange) Do(ctx context.Context, body []byte) (Answer, error) {
	answered := false
	defer func() {
		if !answered {
			x.id.end()
		}
	}()
	if x.slot.rules.Effect == policy.Keyed {
		x.keyed, x.key = true, x.core.ids.hash(x.head.Header.Get("Req-Owner"), x.head.Header.Get("Idempotency-Key"))
	}
	x.slot.counters.Begin()
	if x.received.IsZero() {
		x.SetReceived(0)
	}
	x.request.TimeLeft -= answerMargin
	timeout := x.request.TimeLeft
	x.request.TimeLeft += x.request.UploadTime
	if ctx.Done() != nil {
		if ctx.Err() != nil {
			x.ClientDisconnected() // AfterFunc calls it later, on another goroutine
		}
		stop := context.AfterFunc(ctx, x.ClientDisconnected)
		defer stop()
	}
	c := x.service.request(x, x.upstream(body, timeout))
	defer x.service.releaseRequest(x.head.Front)
	a := <-c.answer
	answers.Put(c.answer) // the channel carries one answer, which was received
	if a.Status == 0 {
		x.trace.endWith(nil)
		x.slot.counters.End(figures.Abandoned)
		x.recordDisconnect(x.evidence)
		return Answer{}, ErrClientDisconnected
	}
	a.counters, a.id = x.slot.counters, x.id
	answered = true
	x.trace.endWith(&a)
	return a, nil
}

// claimID returns the answer to a request whose id does not allow it to be sent; nil: it does.
func (x *Exchange) claimID() *Answer {
	id, claimed, err := x.core.claimID(x.head.Header.Get("Req-Id"))
	x.id = id
	if !claimed {
		return malformed(http.StatusConflict, "Req-Id is in use or was of late")
	}
	if err != nil && x.slot.rules.Effect == policy.Unsafe {
		x.service.log.Warn("request refused: another process may have sent its id", "request", x.head.Header.Get("Req-Id"), "error", err)
		return &Answer{Status: http.StatusServiceUnavailable, Reason: "another process may have sent this id"}
	}
	return nil
}

// upstream is the request as it is sent on: method and target unchanged, with the length of the
// body that was read.
func (x *Exchange) upstream(body []byte, timeout time.Duration) *upstream.Request {
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
	r := upstream.NewRequest(h.Method, h.Target, h.Host, length, h.Header, isMisspelt)
	r.Body, r.NoRetry = body, x.slot.rules.Effect == policy.Unsafe
	if x.source != nil {
		r.Stream = &upstream.BodyStream{Source: x.source, Chunked: h.Length < 0, AnswerTimeout: timeout}
	}
	return r
}

// RecentIDs are the hashes of the ids of recent requests, and the key of the hash.
func (c *Core) RecentIDs() (key uint64, hashes []uint64) { return c.ids.all() }

// AdoptIDs adopts the recent ids of another process. It must be called before the first
// request.
func (c *Core) AdoptIDs(key uint64, hashes []uint64) { c.ids.adopt(key, hashes) }
