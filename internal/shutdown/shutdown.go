// Package shutdown decides by when a process that was asked to stop has to have done what it still
// owes its clients. The platform kills it a known time after the first signal, so every wait of a
// stop is derived from that time and the settings in force then, and from nothing else. The package
// is pure: it has no I/O and no goroutine, and only RequestedAt may read a clock.
package shutdown

import (
	"time"

	"spokegw/internal/permit"
)

const (
	// The platform kills a process killDelay and the longest deadline of its classes, of which at
	// most maxDeadline counts, after the first signal (PROTOCOL, planned restarts).
	maxDeadline = 3 * time.Second
	killDelay   = 700 * time.Millisecond
	// exitTime is what the process needs from its last answer to its end: to write the answers and
	// to save its state.
	exitTime = 100 * time.Millisecond
	// idleLead is how long before the last answers idle connections are closed: requests that cross
	// the close are read and answered.
	idleLead = 50 * time.Millisecond
	// acceptTime is how long connections are accepted without a successor: clients learn of the stop
	// with a delay. acceptLead is the least time that such a connection is left before the last answers.
	acceptTime = 600 * time.Millisecond
	acceptLead = 50 * time.Millisecond
	// saveLead is the time before the kill in which nothing is waited for any more.
	saveLead = 30 * time.Millisecond
)

// Schedule holds the instants of one stop. They are on the monotonic clock, so steps of the wall
// clock do not move them, and neither do later signals or other settings.
type Schedule struct {
	RequestedAt time.Time // the first signal
	IdleUntil   time.Time // idle connections are kept while a successor takes the new ones
	AnswerBy    time.Time // every request that has been read has its final answer
	ExitBy      time.Time // long answers still in transfer are cut off, and the process exits
	SaveBy      time.Time // what is written last is given up
	KilledAt    time.Time // the earliest time at which the process is killed
}

// NewSchedule returns the schedule of a stop that was requested at a time, with the longest deadline
// of the classes in force. A process may stall for permit.MaxStall just before the kill.
func NewSchedule(requestedAt time.Time, longestDeadline time.Duration) Schedule {
	s := Schedule{RequestedAt: requestedAt, KilledAt: requestedAt.Add(min(longestDeadline, maxDeadline) + killDelay)}
	s.SaveBy = s.KilledAt.Add(-saveLead)
	s.ExitBy = s.KilledAt.Add(-permit.MaxStall)
	s.AnswerBy = s.ExitBy.Add(-exitTime)
	s.IdleUntil = s.AnswerBy.Add(-idleLead)
	return s
}

// AcceptUntil returns until when new connections are accepted by a process without a successor.
// aloneSince is when the stop was requested, or when its successor ended if that was later.
func (s *Schedule) AcceptUntil(aloneSince time.Time) time.Time {
	return earlier(aloneSince.Add(acceptTime), s.AnswerBy.Add(-acceptLead))
}

// Limit returns the time by which a request with a deadline is answered. s may be nil: the process
// is not stopping.
func (s *Schedule) Limit(deadline time.Time) time.Time {
	if s == nil {
		return deadline
	}
	return earlier(deadline, s.AnswerBy)
}

// AnswersOver reports whether the time for answers of endpoints is over: a request that is read now
// is refused, and one that is still incomplete is no longer waited for. s may be nil.
func (s *Schedule) AnswersOver(now time.Time) bool { return s != nil && !now.Before(s.AnswerBy) }

// ExitDue reports whether the process has to exit now, whatever is left.
func (s *Schedule) ExitDue(now time.Time) bool { return !now.Before(s.ExitBy) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Cause is why a stop has changed the outcome of a request.
type Cause uint8

// The causes. Only Unanswered is a fault: the others have a final answer, or an incomplete one that
// their client can tell.
const (
	AnsweredEarly Cause = iota // its own time ended after AnswerBy: it was answered without a result of its endpoint
	Shortened                  // it was read with less time than its own, and refused or failed in that
	ReadLate                   // it was read after AnswerBy, and refused
	Incomplete                 // it had not arrived completely by AnswerBy, and was refused
	LongAnswerCut              // its long answer was still in transfer at ExitBy
	Unanswered                 // the process exits while it has no answer
	NumCauses
)

var causeNames = [NumCauses]string{"answered early", "shortened", "read late", "incomplete", "long answer cut", "unanswered"}

// String returns the name of a cause, as used in logs and metrics.
func (c Cause) String() string { return causeNames[min(c, NumCauses-1)] }
