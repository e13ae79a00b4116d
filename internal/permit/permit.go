// Package permit is the one place that decides whether an action that was decided earlier may still
// begin: an attempt on an endpoint, closing a client's connection, a call to discovery. What held at
// the decision need not hold at the effect: the action may have waited for a free slot, a dial or a
// disk since. It is checked immediately before the effect, with what is known then. The package is
// pure: it has no clock, no I/O and no state.
package permit

import "time"

// MaxStall is how long a process may stall between reading its clock and writing. An action that must
// be over by some time is not begun later than this before it.
const MaxStall = 150 * time.Millisecond

// Reason is why an action may not begin; Allowed: it may.
type Reason uint8

// The reasons, in the order in which they are checked.
const (
	Allowed            Reason = iota
	Cancelled                 // its result is no longer needed
	ClientDisconnected        // nobody waits for the answer
	DeadlineExceeded          // the client has abandoned the request, or will have
	ProcessEnding             // this process has no time left to pass on an answer
	DedupWindowExpired        // the endpoint would not recognise the repeat
	EffectUncertain           // an earlier attempt may have run, and the effect must not happen twice
	EndpointDraining          // it accepts no new requests
	EndpointRemoved           // it is no longer listed
	EndpointReplaced          // another process has its id, or its address has changed
	AnswerPending             // close: a request was read, and its answer is not written
	UnreadData                // close: an unread request may be waiting
	CallInFlight              // call to discovery: one is in flight that may be answered in time
	TooManyCalls              // call to discovery: the limit of calls in flight is reached
	NumReasons
)

var reasonNames = [NumReasons]string{
	"allowed", "called off", "client left", "deadline over", "process ends", "repeat window over", "effect in doubt", "endpoint drains", "endpoint gone",
	"endpoint replaced", "answering", "unread", "call out", "too many calls",
}

// String returns the name of a reason, as used in logs and metrics.
func (r Reason) String() string {
	if r < NumReasons {
		return reasonNames[r]
	}
	return "unknown"
}

// EndpointSpecific reports whether the reason is the status of the endpoint: on another one the
// attempt may be made.
func (r Reason) EndpointSpecific() bool {
	return r == EndpointDraining || r == EndpointRemoved || r == EndpointReplaced
}

// EndpointStatus is the status of an endpoint in the latest known list.
type EndpointStatus uint8

// The statuses. An endpoint is replaced if another process has its id or its address has changed.
const (
	Active EndpointStatus = iota
	Draining
	Removed
	Replaced
)

// Attempt is what is known of an attempt when its first byte is about to be written. Times are of one
// monotonic clock.
type Attempt struct {
	Now                time.Duration
	Cancelled          bool
	ClientDisconnected bool
	Deadline           time.Duration // nothing is written from then on
	AnswerBy           time.Duration // when this process, which is stopping, must have answered; 0: it is not stopping
	DedupUntil         time.Duration // end of the window in which its endpoint discards a repeat; 0: it is no repeat
	Unsafe             bool          // its effect must not happen twice
	MayHaveRun         bool          // an earlier attempt may have run
	Endpoint           EndpointStatus
}

// Check decides whether the attempt may begin.
func (a *Attempt) Check() Reason {
	switch {
	case a.Cancelled:
		return Cancelled
	case a.ClientDisconnected:
		return ClientDisconnected
	case a.Now >= a.Deadline:
		return DeadlineExceeded
	case a.AnswerBy > 0 && a.Now >= a.AnswerBy:
		return ProcessEnding
	case a.DedupUntil > 0 && a.Now+MaxStall > a.DedupUntil:
		return DedupWindowExpired
	case a.Unsafe && a.MayHaveRun:
		return EffectUncertain
	}
	return a.Endpoint.reason()
}

func (s EndpointStatus) reason() Reason {
	return [...]Reason{Allowed, EndpointDraining, EndpointRemoved, EndpointReplaced}[min(s, Replaced)]
}

// Close is what is known of a client's connection when it is about to be closed.
type Close struct {
	AnswerPending bool // a request was read completely, and its answer is not written yet
	UnreadData    bool // bytes are waiting to be read
}

// Check decides whether the connection may be closed.
func (c *Close) Check() Reason {
	switch {
	case c.AnswerPending:
		return AnswerPending
	case c.UnreadData:
		return UnreadData
	}
	return Allowed
}

// Call is what is known when a call to discovery is about to begin.
type Call struct {
	InFlight    int
	AnyTimely   bool // one of them is not overdue
	MaxInFlight int
}

// Check decides whether the call may begin.
func (c *Call) Check() Reason {
	switch {
	case c.AnyTimely:
		return CallInFlight
	case c.InFlight >= c.MaxInFlight:
		return TooManyCalls
	}
	return Allowed
}
