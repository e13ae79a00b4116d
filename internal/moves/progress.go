package moves

import (
	"errors"
	"fmt"
	"time"
)

// Phase is the state of a move.
type Phase string

const (
	Waiting  Phase = "waiting"  // not started
	Moving   Phase = "moving"   // performing a step
	Halted   Phase = "halted"   // stopped at a step by a condition that may pass
	Paused   Phase = "held"     // stopped by an operator, until resumed
	Watching Phase = "watching" // last step complete; may still be undone
	Undoing  Phase = "undoing"  // returning to the old pool
	Undone   Phase = "undone"   // rolled back; final
	Done     Phase = "done"     // complete; final
)

// UnderWay reports whether the share may still change, by itself or by an operator
// command.
func (p Phase) UnderWay() bool { return p != Waiting && p != Undone && p != Done }

// Plan is the schedule of a move.
type Plan struct {
	Steps        []float64     // increasing shares of the requests, the last at most 1
	StepTime     time.Duration // minimum duration of a step
	StepRequests int           // requests that the new pool has to finish in a step
	Watch        time.Duration // observation time after the last step
	Auto         bool          // start without an operator command
}

// Assessment is the current result of judging the move.
type Assessment struct {
	Regression  string // why it must be undone; "": it need not be
	CommonFault string // why it must halt: a fault of both pools
	Sufficient  bool   // evidence that the new pool is fine
	Missing     string // which evidence is missing
	NewRequests int    // finished requests of the new pool, in total
}

// Conditions describe the current capacity of both pools.
type Conditions struct {
	From, To                 int     // ready endpoints
	FromCapacity, ToCapacity float64 // fraction of the requests that each pool can take, 0 to 1
}

// Event is a change that is reported to operators.
type Event struct {
	What  string // begun, step, halted, goes on, held, undoing, undone, watching, done
	Why   string
	Share float64
}

// Progress is the state machine of a move, made of plain values. The share grows only by
// the steps of the plan, one at a time, and an undone move does not start again.
type Progress struct {
	Phase        Phase
	Step         int           // index into the plan: current, or being reached
	Share        float64       // of the requests, routed to the new pool
	Since        time.Duration // start of the phase or step
	EndedAtStart int           // finished requests of the new pool at Since
	Why          string        // reason for a halt, pause or undo
	WaitingFor   string        // what keeps the step from completing
	From         int           // ready endpoints of the old pool when the step began
	LastTick     time.Duration // time of the last tick
}

// maxTickGap is the interval between ticks beyond which observations are discarded: the
// process was stalled.
const maxTickGap = 5 * time.Second

var (
	errNotStarted = errors.New("the move has not begun")
	errFinished   = errors.New("the move is finished or being undone")
	errStarted    = errors.New("the move has already begun")
)

// Tick advances time. It returns the events, and whether observations of the pools so far
// must be discarded.
func (c *Progress) Tick(now time.Duration, p *Plan, a Assessment, cond Conditions) (events []Event, forget bool) {
	gap := now - c.LastTick
	if c.LastTick = now; gap > maxTickGap || gap < 0 {
		c.Since += gap // time without observations counts neither for the step nor for the watch
		return nil, true
	}
	before := *c
	c.advance(now, p, a, cond)
	if c.Phase != before.Phase || c.Step != before.Step || c.Phase == Halted && c.Why != before.Why {
		events = append(events, c.event())
	}
	forget = c.Phase != before.Phase && (c.Phase == Halted || before.Phase == Halted || before.Phase == Waiting)
	return events, forget
}

func (c *Progress) event() Event {
	name := map[Phase]string{Moving: "step", Halted: "halted", Paused: "held", Watching: "watching", Undoing: "undoing", Undone: "undone", Done: "done"}[c.Phase]
	return Event{What: name, Why: c.Why, Share: c.Share}
}

func (c *Progress) advance(now time.Duration, p *Plan, a Assessment, cond Conditions) {
	switch c.Phase {
	case Waiting:
		if p.Auto && cond.From > 0 && cond.To > 0 {
			c.start(now, a, cond)
		}
	case Undoing:
		c.lowerShare(now, cond)
	case Moving, Halted, Paused, Watching:
		if a.Regression != "" {
			c.setPhase(now, Undoing, a.Regression, a)
			c.lowerShare(now, cond)
			return
		}
		c.proceed(now, p, a, cond)
	}
}

// proceed advances a move with no regression.
func (c *Progress) proceed(now time.Duration, p *Plan, a Assessment, cond Conditions) {
	reason := c.blockedBy(a, cond)
	switch {
	case c.Phase == Paused:
		return
	case reason != "" && (c.Phase == Halted || c.Phase == Moving):
		c.setPhase(now, Halted, reason, a) // repeated while blocked: it resumes StepTime after the last time
		return
	case c.Phase == Watching:
		if now-c.Since >= p.Watch {
			c.setPhase(now, Done, "", a)
		}
		return
	case c.Phase == Halted:
		if now-c.Since >= p.StepTime {
			c.setPhase(now, Moving, "", a)
			c.From = cond.From
		}
		return
	}
	c.increaseShare(now, p, a, cond)
}

// blockedBy returns what keeps a step from proceeding; "": nothing.
func (c *Progress) blockedBy(a Assessment, cond Conditions) string {
	switch {
	case a.CommonFault != "":
		return a.CommonFault
	case cond.To == 0:
		return "no endpoint of the new pool is ready"
	case c.Share < 1 && 2*cond.From <= c.From && c.From > 0:
		return fmt.Sprintf("of the %d endpoints of the old pool, %d are ready", c.From, cond.From)
	}
	return ""
}

// increaseShare raises the share to that of the step as capacity allows, and starts the
// next step when this one is complete.
func (c *Progress) increaseShare(now time.Duration, p *Plan, a Assessment, cond Conditions) {
	c.Step = min(c.Step, len(p.Steps)-1)
	want := p.Steps[c.Step]
	if c.Share < want { // the step starts once its full share is reached
		c.Share = max(c.Share, min(want, cond.ToCapacity)) // only an undo lowers the share
		c.Since, c.EndedAtStart = now, a.NewRequests
		if c.WaitingFor = ""; c.Share < want {
			c.WaitingFor = fmt.Sprintf("the new pool has capacity for only %.3g%%", 100*cond.ToCapacity)
			return
		}
	}
	switch remaining := c.Since + p.StepTime - now; {
	case remaining > 0:
		c.WaitingFor = fmt.Sprintf("%v of the step's time remaining", remaining.Round(time.Second))
	case a.NewRequests-c.EndedAtStart < p.StepRequests:
		c.WaitingFor = fmt.Sprintf("%d of the step's requests missing", p.StepRequests-(a.NewRequests-c.EndedAtStart))
	case !a.Sufficient:
		c.WaitingFor = a.Missing
	case c.Step == len(p.Steps)-1:
		c.setPhase(now, Watching, "", a)
	default:
		c.Step++
		c.setPhase(now, Moving, "", a)
		c.Share, c.From = max(c.Share, min(p.Steps[c.Step], cond.ToCapacity)), cond.From
	}
}

// lowerShare lowers the share as far as the old pool has capacity.
func (c *Progress) lowerShare(now time.Duration, cond Conditions) {
	c.Share = min(c.Share, max(0, 1-cond.FromCapacity))
	if c.WaitingFor = ""; c.Share > 0 {
		c.WaitingFor = fmt.Sprintf("the old pool has capacity for only %.3g%%", 100*cond.FromCapacity)
		return
	}
	c.Phase, c.Since = Undone, now
}

func (c *Progress) setPhase(now time.Duration, to Phase, reason string, a Assessment) {
	c.Phase, c.Since, c.EndedAtStart, c.Why, c.WaitingFor = to, now, a.NewRequests, reason, ""
}

func (c *Progress) start(now time.Duration, a Assessment, cond Conditions) {
	c.Step, c.Share = 0, 0
	c.setPhase(now, Moving, "", a)
	c.From = cond.From
}

// Remaining is the minimum time until the move is done if nothing blocks it; 0 if it is
// finished or does not proceed.
func (c *Progress) Remaining(now time.Duration, p *Plan) time.Duration {
	elapsed := now - c.Since
	switch c.Phase {
	case Watching:
		return max(p.Watch-elapsed, 0)
	case Moving, Halted:
		steps := time.Duration(len(p.Steps)-min(c.Step, len(p.Steps)-1)) * p.StepTime
		return max(steps-elapsed, 0) + p.Watch
	}
	return 0
}

// Begin starts a waiting move by operator command.
func (c *Progress) Begin(now time.Duration, ended int, cond Conditions) error {
	switch {
	case c.Phase == Undone, c.Phase == Done:
		return errFinished
	case c.Phase != Waiting:
		return errStarted
	case cond.To == 0 || cond.From == 0:
		return fmt.Errorf("both pools need ready endpoints: %d ready in the old pool, %d in the new", cond.From, cond.To)
	}
	c.start(now, Assessment{NewRequests: ended}, cond)
	return nil
}

// Hold pauses a move by operator command. It may still be undone.
func (c *Progress) Hold(now time.Duration, ended int, why string) error {
	switch {
	case c.Phase == Waiting:
		return errNotStarted
	case c.Phase != Moving && c.Phase != Halted && c.Phase != Watching && c.Phase != Paused:
		return errFinished
	}
	c.setPhase(now, Paused, why, Assessment{NewRequests: ended})
	return nil
}

// Resume continues a paused or halted move. Its step starts over.
func (c *Progress) Resume(now time.Duration, ended int, cond Conditions) error {
	switch c.Phase {
	case Paused, Halted:
		c.setPhase(now, Moving, "", Assessment{NewRequests: ended})
		c.From = cond.From
		return nil
	case Waiting:
		return errNotStarted
	case Undone, Done, Undoing:
		return errFinished
	}
	return errors.New("the move is neither held nor halted")
}

// Undo rolls a move back by operator command. A finished move can be undone too.
func (c *Progress) Undo(now time.Duration, ended int, why string) error {
	switch c.Phase {
	case Undone, Undoing:
		return errFinished
	case Waiting:
		return errNotStarted
	}
	c.setPhase(now, Undoing, why, Assessment{NewRequests: ended})
	return nil
}

// Restore continues under another plan, or in another process, at the current share and
// never beyond it. The step starts over.
func (c *Progress) Restore(now time.Duration, p *Plan) {
	c.Since, c.LastTick, c.EndedAtStart, c.From = now, now, 0, 0
	if c.Phase == Waiting || c.Phase == Undone {
		return
	}
	c.Step = 0
	for c.Step < len(p.Steps)-1 && p.Steps[c.Step+1] <= c.Share {
		c.Step++
	}
	if c.Phase == Watching && c.Share < p.Steps[len(p.Steps)-1] {
		c.Phase = Moving // the new plan goes further than the completed one
	}
}
