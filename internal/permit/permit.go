// Package permit is the one place that decides whether something that was decided before may
// still begin: an attempt on an endpoint, the close of a client's connection, a call to
// discovery. What was true at the decision need not be true at the effect: a place, a dial or a
// disk may have been waited for since. It is asked immediately before the effect, with what is
// known then. It is pure: it has no clock, no I/O and no state.
package permit

import "time"

// MaxStall is how long a process may be held up between reading its clock and writing. What has
// to be over by a time is not begun later than this before it.
const MaxStall = 150 * time.Millisecond

// Reason is why something may not begin; Allowed: it may.
type Reason uint8

// The reasons, in the order in which they are looked for.
const (
	Allowed            Reason = iota
	Cancelled                 // its result is not wanted any more
	ClientDisconnected        // nobody waits for the answer
	DeadlineExceeded          // the client has given up, or will have
	DedupWindowExpired        // the endpoint would not know the repeat for one
	EffectUncertain           // an earlier attempt may have run, and must not run twice
	EndpointDraining          // it wants nothing new
	EndpointRemoved           // it is not listed any more
	EndpointReplaced          // another process stands under its id, or it has another address
	AnswerPending             // a close: a request was read, and its answer is not written
	UnreadData                // a close: a request may wait that nobody has read
	CallInFlight              // a call to discovery: one is out that may be answered in time
	TooManyCalls              // a call to discovery: there is no room for one more
	NumReasons                // how many there are
)

var names = [NumReasons]string{
	"allowed", "called off", "client left", "deadline over", "repeat window over", "effect in doubt", "endpoint drains", "endpoint gone",
	"endpoint replaced", "answering", "unread", "call out", "too many calls",
}

// String names a reason, as logs and metrics have it.
func (r Reason) String() string {
	if r < NumReasons {
		return names[r]
	}
	return "unknown"
}

// EndpointSpecific reports whether the reason is where the endpoint stands: elsewhere the attempt may
// be made.
func (r Reason) EndpointSpecific() bool {
	return r == EndpointDraining || r == EndpointRemoved || r == EndpointReplaced
}

// EndpointStatus is how an endpoint stands in the list that is known.
type EndpointStatus uint8

// The listings. An endpoint is replaced where another process has its id, or it another address.
const (
	Active EndpointStatus = iota
	Draining
	Removed
	Replaced
)

// Attempt is what is known of an attempt as its first byte is to be written. Times are of one
// monotonic clock.
type Attempt struct {
	Now                time.Duration
	Cancelled          bool
	ClientDisconnected bool
	Deadline           time.Duration // nothing is written from then on
	DedupUntil         time.Duration // the window in which its endpoint drops a repeat ends then; 0: it is none
	Unsafe             bool          // its effect must not happen twice,
	MayHaveRun         bool          // and an earlier attempt may have run
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
	case a.DedupUntil > 0 && a.Now+MaxStall > a.DedupUntil:
		return DedupWindowExpired
	case a.Unsafe && a.MayHaveRun:
		return EffectUncertain
	}
	return a.Endpoint.reason()
}

func (l EndpointStatus) reason() Reason {
	return [...]Reason{Allowed, EndpointDraining, EndpointRemoved, EndpointReplaced}[min(l, Replaced)]
}

// Close is what is known of a client's connection as it is to be closed.
type Close struct {
	AnswerPending bool // a request was read whole, and its answer is not written yet
	UnreadData    bool // bytes wait to be read
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

// Call is what is known as a call to discovery is to begin.
type Call struct {
	InFlight    int  // calls that are out
	AnyTimely   bool // one of them is not late
	MaxInFlight int  // that may be out
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
