package http1

import (
	"log/slog"
	"time"

	"spokegw/internal/shutdown"
)

// drain stops the server by a schedule without losing requests. Each connection is closed after the
// answer in progress on it. Nothing is waited for after the schedule's exit.
func (s *Server) drain(schedule shutdown.Schedule, accepting <-chan error) {
	s.conns.setDraining(true)
	last := time.AfterFunc(time.Until(schedule.AnswerBy), s.conns.refuseIncomplete)
	defer last.Stop()
	successorTookOver := s.listener.isPaused() != nil
	s.logStop(successorTookOver, &schedule)
	aloneSince := schedule.RequestedAt
	if successorTookOver {
		if s.drainToSuccessor(&schedule, accepting) {
			s.endDrain(&schedule)
			return
		}
		aloneSince = time.Now()
		slog.Info("stopping; the other process has ended")
	}
	s.drainAlone(&schedule, aloneSince, accepting)
	s.endDrain(&schedule)
}

// logStop logs what is open when the stop begins, and by when it is answered.
func (s *Server) logStop(successorTookOver bool, schedule *shutdown.Schedule) {
	all, busy := s.conns.count()
	sinceSignal := func(t time.Time) time.Duration { return t.Sub(schedule.RequestedAt).Round(time.Millisecond) }
	details := []any{"connections", all, "requests", busy, "noticed_after", sinceSignal(time.Now()),
		"answers_within", sinceSignal(schedule.AnswerBy), "exit_within", sinceSignal(schedule.ExitBy), "kill_after", sinceSignal(schedule.KilledAt)}
	if successorTookOver {
		slog.Info("stopping; another process has taken over", details...)
	} else {
		slog.Info("stopping", details...)
	}
}

// drainAlone stops a server without a successor. Connections are still accepted for a while. Idle
// ones are closed at once: a request that crosses the close is retried on a new connection.
// Connections that have just been opened may first send a request.
func (s *Server) drainAlone(schedule *shutdown.Schedule, aloneSince time.Time, accepting <-chan error) {
	s.conns.closeIdle(0)
	time.Sleep(time.Until(schedule.AcceptUntil(aloneSince)))
	s.listener.closeGracefully(schedule.ExitBy)
	<-accepting
	for !s.finished(schedule) {
		s.conns.closeIdle(0)
		time.Sleep(stopPoll)
	}
}

// successorTimeout limits the wait for a successor that leaves connections in the
// accept queue. The end of the successor is known sooner.
const successorTimeout = 500 * time.Millisecond

// drainToSuccessor stops a server whose successor takes new connections. It reports
// false if the successor has ended, so that new connections are this server's again.
// For that reason the listener stays open to the end, and until its queue is empty:
// closing it without another process would reset the queued connections. There is time
// for this, because clients move to the successor as their connections close with an
// answer; idle connections are closed only after minIdle, or when the time is almost
// up.
func (s *Server) drainToSuccessor(schedule *shutdown.Schedule, accepting <-chan error) (done bool) {
	for lastEmpty := schedule.RequestedAt; done || s.listener.isPaused() != nil; time.Sleep(stopPoll) {
		now := time.Now()
		idleFor := minIdle
		if !now.Before(schedule.IdleUntil) {
			idleFor = 0
		}
		s.conns.closeIdle(idleFor)
		if !s.listener.queued() {
			lastEmpty = now
		} else if now.Sub(lastEmpty) < successorTimeout && !schedule.ExitDue(now) {
			continue
		}
		if !s.finished(schedule) {
			continue
		}
		if done {
			return true
		}
		s.listener.Close()
		<-accepting // it may be adding one
		done = true
	}
	return false
}

// finished reports whether no connection is left, or no time to wait for one.
func (s *Server) finished(schedule *shutdown.Schedule) bool {
	all, _ := s.conns.count()
	return all == 0 || schedule.ExitDue(time.Now())
}

// endDrain cuts off the long answers that are left, and logs what is still open.
func (s *Server) endDrain(schedule *shutdown.Schedule) {
	all, busy := s.conns.count()
	if busy > 0 {
		s.core.CutLongAnswers()
		for limit := time.Now().Add(cutTimeout); busy > 0 && time.Now().Before(limit); _, busy = s.conns.count() {
			time.Sleep(stopPoll / 10)
		}
	}
	slog.Info("stopped", "connections", all, "requests", busy, "took", time.Since(schedule.RequestedAt).Round(time.Millisecond))
}
