package permit

import "time"

// Rule is one of those that hold on every path.
type Rule uint8

// The rules. Of slow start a process sees its own part alone: whether a cold endpoint was pushed
// over by all sidecars together is seen by the endpoint only, and so is an effect that happened
// twice by attempts of two processes.
const (
	LostRequest     Rule = iota // a request that was read has no answer, or more than one
	DuplicateEffect             // an effect may have happened twice
	SendAfterDrain              // a send to an endpoint after the grace of its drain
	NumRules
)

var ruleNames = [NumRules]string{"lost", "duplicate", "drain"}

// String names a rule, as logs and metrics have it.
func (r Rule) String() string { return ruleNames[min(r, NumRules-1)] }

// WrittenAttempt is what is known of an attempt once its first byte has been written.
type WrittenAttempt struct {
	At         time.Duration  // when that was over
	Endpoint   EndpointStatus // now
	NotifiedAt time.Duration  // when that was notified; 0: it is active
	Grace      time.Duration  // for sends to an endpoint that drains
	DedupUntil time.Duration  // as for Attempt
	Unsafe     bool
	MayHaveRun bool
}

// ViolatedRule reports which rule the attempt has broken, as far as its own process sees.
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
