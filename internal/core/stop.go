package core

import (
	"log/slog"
	"net/http"
	"slices"
	"time"

	"spokegw/internal/shutdown"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// stopping is the state of a core whose process was asked to stop.
type stopping struct {
	schedule shutdown.Schedule
	services []*Service  // all that may have open requests
	last     *time.Timer // answers what is open at schedule.AnswerBy
}

// BeginStop begins the stop of the process, which was requested at a time. From now on no request is
// given more time than the process has. retired are services that are no longer in the table and may
// have open requests. Only the first call counts; each returns the schedule in force.
func (c *Core) BeginStop(requestedAt time.Time, retired ...*Service) shutdown.Schedule {
	st := &stopping{schedule: shutdown.NewSchedule(requestedAt, c.MaxDeadline()), services: slices.Clone(retired)}
	for _, m := range c.table.Load().mounts {
		st.services = append(st.services, m.Service)
	}
	if c.stop.CompareAndSwap(nil, st) {
		st.last = time.AfterFunc(time.Until(st.schedule.AnswerBy), st.answerOpen)
	}
	return c.stop.Load().schedule
}

// Stopping reports whether the process was asked to stop.
func (c *Core) Stopping() bool { return c.stop.Load() != nil }

// stopSchedule is the schedule of the stop; nil: the process is not stopping.
func (c *Core) stopSchedule() *shutdown.Schedule {
	if st := c.stop.Load(); st != nil {
		return &st.schedule
	}
	return nil
}

// CutLongAnswers ends the long answers that are still being passed on, such that their clients can
// tell that they are incomplete.
func (c *Core) CutLongAnswers() {
	if st := c.stop.Load(); st != nil {
		for _, s := range st.services {
			s.cutLongAnswers()
		}
	}
}

// EndStop ends the stop when the fronts have ended, and counts the requests that have no answer even
// so: it is the last chance to record them.
func (c *Core) EndStop() {
	st := c.stop.Load()
	if st == nil {
		return
	}
	st.last.Stop()
	for _, s := range st.services {
		s.recordUnanswered()
	}
}

// answerOpen gives every open request of all services its final answer.
func (st *stopping) answerOpen() {
	for _, s := range st.services {
		s.answerOpen()
	}
}

// answerOpen gives every open request its final answer, as the process has no time left for it. All
// are answered before the decision module is told, which may panic.
func (s *Service) answerOpen() {
	defer logPanic("stop")
	s.mu.Lock()
	defer s.mu.Unlock()
	var answered []policy.RequestID
	for id, c := range s.calls {
		if c.done {
			continue
		}
		answered = append(answered, id)
		s.answerEarly(c)
	}
	for _, id := range answered {
		s.invoke(func(b *policy.Balancer, now time.Duration) []policy.Action { return b.ClientDisconnected(now, id) })
	}
}

// answerEarly answers one open request: as refused if none of its attempts may have run.
func (s *Service) answerEarly(c *call) {
	a := Answer{Status: http.StatusGatewayTimeout, Reason: "no answer before the end of the process"}
	if c.mayHaveRun == 0 {
		a = *refusedByStop()
	}
	c.recordCut(shutdown.AnsweredEarly)
	c.shortened = false // it is recorded
	s.refundUnsent(c)
	for _, attempt := range c.attempts {
		attempt.cancellation.Cancel(upstream.ErrCancelled)
	}
	s.conclude(c, a)
}

// cutLongAnswers aborts the long answers in transfer.
func (s *Service) cutLongAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		for _, a := range c.attempts {
			if stream := a.result.Stream; c.done && stream != nil && !stream.Ended() {
				c.recordCut(shutdown.LongAnswerCut)
				stream.Abort()
			}
		}
	}
}

// recordUnanswered counts the requests that were taken and have no answer.
func (s *Service) recordUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		if !c.done {
			c.recordCut(shutdown.Unanswered)
			c.exchange.RecordUnanswered("stop")
		}
	}
}

// limitDeadline sets the deadline of a call, and limits the time of the request to what the process
// has left. now is the decision module's.
func (c *call) limitDeadline(q *policy.Request, now time.Time) {
	own := now.Add(q.TimeLeft)
	c.deadline = c.exchange.core.stopSchedule().Limit(own)
	c.shortened = c.deadline.Before(own)
	q.UploadTime = max(q.UploadTime-own.Sub(c.deadline), 0)
	q.TimeLeft = c.deadline.Sub(now)
}

// refusedByStop is the answer to a request of which nothing was sent.
func refusedByStop() *Answer {
	return &Answer{Status: http.StatusServiceUnavailable, Reason: "the process is stopping"}
}

// refuseLate refuses a request that is read when the time for answers is over; nil: it is not refused.
func (x *Exchange) refuseLate() *Answer {
	if !x.core.stopSchedule().AnswersOver(time.Now()) {
		return nil
	}
	x.recordCut(shutdown.ReadLate)
	return refusedByStop()
}

// DropIncomplete ends an exchange whose request did not arrive completely, and returns the answer to
// its client: a, or a refusal if the process could not wait for the rest.
func (x *Exchange) DropIncomplete(a *Answer) *Answer {
	if x.core.stopSchedule().AnswersOver(time.Now()) {
		x.recordCut(shutdown.Incomplete)
		a = refusedByStop()
		a.Malformed = true
	}
	x.Drop(a)
	return a
}

// recordCut counts and logs a request whose outcome the stop has changed.
func (c *call) recordCut(cause shutdown.Cause) {
	c.exchange.recordCut(cause, "attempts", len(c.attempts), "may_have_run", c.mayHaveRun)
}

func (x *Exchange) recordCut(cause shutdown.Cause, details ...any) {
	x.service.figures.Stop[cause].Add(1)
	now, received := time.Now(), x.received
	if received.IsZero() {
		received = now
	}
	x.service.log.Info("request cut short by the stop", append([]any{
		"request", x.head.Header.Get("Req-Id"), "class", x.slot.name, "cause", cause,
		"had", x.timeGiven.Round(time.Millisecond), "left", (x.timeGiven - now.Sub(received)).Round(time.Millisecond),
		"since_stop", now.Sub(x.core.stopSchedule().RequestedAt).Round(time.Millisecond),
	}, details...)...)
}

// RecordIncompleteHead counts and logs a request whose head had not arrived completely when the time
// for answers was over, so that nothing else is known of it.
func (c *Core) RecordIncompleteHead(client string) {
	c.table.Load().mounts[0].figures.Stop[shutdown.Incomplete].Add(1) // all services share the figures
	slog.Info("request cut short by the stop", "cause", shutdown.Incomplete, "client", client)
}
