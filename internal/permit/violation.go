package permit

import "time"

// Rule is an invariant that holds on every path.
type Rule uint8

// The rules. A process sees only its own part of slow start: whether all sidecars together overloaded a
// cold endpoint is visible to the endpoint only, and so is an effect that happened twice by attempts of
// two processes.
const (
	LostRequest     Rule = iota // a request that was read has no answer, or more than one
	DuplicateEffect             // an effect may have happened twice
	SendAfterDrain              // a send to an endpoint after its drain grace period
	NumRules
)

var ruleNames = [NumRules]string{"lost", "duplicate", "drain"}

// String returns the name of a rule, as used in logs and metrics.
func (r Rule) String() string { return ruleNames[min(r, NumRules-1)] }

// WrittenAttempt is what is known of an attempt once its first byte has been written.
type WrittenAttempt struct {
	At         time.Duration  // end of the write
	Endpoint   EndpointStatus // current status
	NotifiedAt time.Duration  // when that status was notified; 0: it is active
	Grace      time.Duration  // for sends to a draining endpoint
	DedupUntil time.Duration  // as in Attempt
	Unsafe     bool
	MayHaveRun bool
}

// ViolatedRule returns the rule that the attempt has broken, as far as its own process can see.
func (w *WrittenAttempt) ViolatedRule() (rule Rule, broken bool) {
	switch {
	case w.Endpoint != Active && w.At > w.NotifiedAt+w.Grace:
		return SendAfterDrain, true
	case w.DedupUntil > 0 && w.At > w.DedupUntil:
		return DuplicateEffect, true
	case w.Unsafe && w.MayHaveRun:
		return DuplicateEffect, true
	}
	return 0, false
}
