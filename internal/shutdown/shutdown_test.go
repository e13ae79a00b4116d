package shutdown

import (
	"context"
	"strings"
	"testing"
	"time"

	"spokegw/internal/permit"
)

// Every instant of a stop lies before the kill at its earliest, in order, whatever the longest deadline is.
func TestScheduleEndsBeforeTheKill(t *testing.T) {
	signalled := time.Now()
	for _, c := range []struct{ deadline, kill time.Duration }{
		{10 * time.Millisecond, 710 * time.Millisecond}, {100 * time.Millisecond, 800 * time.Millisecond}, {300 * time.Millisecond, time.Second},
		{1200 * time.Millisecond, 1900 * time.Millisecond}, {3 * time.Second, 3700 * time.Millisecond}, {10 * time.Second, 3700 * time.Millisecond},
	} {
		s := NewSchedule(signalled, c.deadline)
		if got := s.KilledAt.Sub(signalled); got != c.kill {
			t.Errorf("deadline %v: killed after %v, want %v", c.deadline, got, c.kill)
		}
		order := []time.Time{signalled.Add(400 * time.Millisecond), s.AcceptUntil(signalled), s.AnswerBy, s.ExitBy, s.SaveBy, s.KilledAt}
		for i := 1; i < len(order); i++ {
			if !order[i-1].Before(order[i]) {
				t.Errorf("deadline %v: instant %d is %v after the signal, not before instant %d at %v", c.deadline, i-1, order[i-1].Sub(signalled), i, order[i].Sub(signalled))
			}
		}
		if !s.IdleUntil.Before(s.AnswerBy) {
			t.Errorf("deadline %v: idle connections are kept until %v, the last answers are at %v", c.deadline, s.IdleUntil.Sub(signalled), s.AnswerBy.Sub(signalled))
		}
		if left := s.KilledAt.Sub(s.ExitBy); left < permit.MaxStall {
			t.Errorf("deadline %v: %v before the kill, less than a stall", c.deadline, left)
		}
	}
}

// A request's time is cut at the last answers of a stop, and is its own without one.
func TestLimitOfDeadlines(t *testing.T) {
	now := time.Now()
	s := NewSchedule(now, time.Second)
	var running *Schedule
	if got := running.Limit(now.Add(time.Hour)); got != now.Add(time.Hour) || running.AnswersOver(now.Add(time.Hour)) {
		t.Errorf("a process that is not stopping limits an hour to %v", got.Sub(now))
	}
	if got := s.Limit(now.Add(time.Second)); got != now.Add(time.Second) {
		t.Errorf("a deadline of 1 s is limited to %v", got.Sub(now))
	}
	if got := s.Limit(now.Add(2 * time.Second)); got != s.AnswerBy {
		t.Errorf("a deadline of 2 s is limited to %v, want %v", got.Sub(now), s.AnswerBy.Sub(now))
	}
	if s.AnswersOver(s.AnswerBy.Add(-1)) || !s.AnswersOver(s.AnswerBy) || s.ExitDue(s.ExitBy.Add(-1)) || !s.ExitDue(s.ExitBy) {
		t.Error("an instant is over too early or too late")
	}
}

// Steps of the wall clock do not move the instants: each has a reading of the monotonic clock.
func TestScheduleIsOnTheMonotonicClock(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(&Requested{At: time.Now()})
	s := NewSchedule(RequestedAt(ctx), time.Second)
	for _, at := range []time.Time{s.RequestedAt, s.IdleUntil, s.AnswerBy, s.ExitBy, s.SaveBy, s.KilledAt, s.AcceptUntil(s.RequestedAt), s.Limit(s.KilledAt)} {
		if !strings.Contains(at.String(), " m=") {
			t.Errorf("%v has no monotonic reading", at)
		}
	}
}

// A process that is alone again late in its stop accepts no longer than it can answer.
func TestAcceptUntilOfLateSuccessorEnd(t *testing.T) {
	now := time.Now()
	s := NewSchedule(now, time.Second)
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 1200 * time.Millisecond, time.Hour} {
		until := s.AcceptUntil(now.Add(after))
		if until.After(now.Add(after+acceptTime)) || !until.Before(s.AnswerBy) {
			t.Errorf("alone after %v: accepts until %v, with the last answers at %v", after, until.Sub(now), s.AnswerBy.Sub(now))
		}
	}
}

// The instants count from the signal, however late the process acts on it.
func TestRequestedAtIsTheSignalsTime(t *testing.T) {
	signalled := time.Now().Add(-time.Second)
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(&Requested{At: signalled})
	if got := RequestedAt(ctx); got != signalled {
		t.Errorf("requested %v after the signal", got.Sub(signalled))
	}
	plain, end := context.WithCancel(context.Background())
	end()
	if got := RequestedAt(plain); time.Since(got) > time.Minute {
		t.Errorf("without a signal the stop counts from %v ago", time.Since(got))
	}
}
