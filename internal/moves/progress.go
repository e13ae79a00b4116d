package moves

import (
	"errors"
	"fmt"
	"time"
)

// Phase is where a move is.
type Phase string

const (
	Waiting  Phase = "waiting"  // not begun
	Moving   Phase = "moving"   // at a step
	Halted   Phase = "halted"   // at a step, until what halted it is over
	Paused   Phase = "held"     // at a step, until an operator says otherwise
	Watching Phase = "watching" // past the last step, and may be undone yet
	Undoing  Phase = "undoing"  // on its way back
	Undone   Phase = "undone"   // back, for good
	Done     Phase = "done"     // over, for good
)

// UnderWay reports whether the share may still change by itself or by a word.
func (p Phase) UnderWay() bool { return p != Waiting && p != Undone && p != Done }

// Plan is how a move is to go.
type Plan struct {
	Steps        []float64     // shares of the requests, rising, the last at most 1
	StepTime     time.Duration // that a step takes at least
	StepRequests int           // that the new pool has to have ended in a step
	Watch        time.Duration // after the last step
	Auto         bool          // it begins by itself
}

// Assessment is what the judges make of the move so far.
type Assessment struct {
	Regression  string // why it is to be undone; "": it is not
	CommonFault string // why it is to halt: what is common to both pools
	Sufficient  bool   // to say that the new pool is fine
	Missing     string // what there is not enough of
	NewRequests int    // requests of the new pool, in all
}

// Conditions are what the pools can take now.
type Conditions struct {
	From, To                 int     // endpoints that are ready
	FromCapacity, ToCapacity float64 // part of the requests that each can take, 0 to 1
}

// Event is something that an operator is to be told.
type Event struct {
	What  string // begun, step, halted, goes on, held, undoing, undone, watching, done
	Why   string
	Share float64
}

// Progress is the standing of a move: a state machine with nothing but values in it.
// Its share only grows by its plan's steps, one at a time, and what is undone does
// not begin again.
type Progress struct {
	Phase        Phase
	Step         int           // of the plan, at or on the way to
	Share        float64       // that the new pool is asked to take
	Since        time.Duration // when the phase or step began
	EndedAtStart int           // requests of the new pool at that time
	Why          string        // it halted, is held or undone
	WaitingFor   string        // what the step waits for
	From         int           // endpoints of the pool that is left when the step began
	LastTick     time.Duration // the latest tick
}

// pause is a time without a tick after which what was seen tells nothing: the
// process stood still.
const pause = 5 * time.Second

var (
	errNotBegun = errors.New("it has not begun")
	errOver     = errors.New("it is over")
	errBegun    = errors.New("it has begun")
)

// Tick lets time pass. It returns what happened, and whether what was seen of the
// pools before is to be forgotten.
func (c *Progress) Tick(now time.Duration, p *Plan, v Assessment, at Conditions) (events []Event, forget bool) {
	gap := now - c.LastTick
	if c.LastTick = now; gap > pause || gap < 0 {
		c.Since += gap // neither the step nor the watch goes on while nothing is seen
		return nil, true
	}
	before := *c
	c.turn(now, p, v, at)
	if c.Phase != before.Phase || c.Step != before.Step || c.Phase == Halted && c.Why != before.Why {
		events = append(events, c.event())
	}
	forget = c.Phase != before.Phase && (c.Phase == Halted || before.Phase == Halted || before.Phase == Waiting)
	return events, forget
}

func (c *Progress) event() Event {
	what := map[Phase]string{Moving: "step", Halted: "halted", Paused: "held", Watching: "watching", Undoing: "undoing", Undone: "undone", Done: "done"}[c.Phase]
	return Event{What: what, Why: c.Why, Share: c.Share}
}

func (c *Progress) turn(now time.Duration, p *Plan, v Assessment, at Conditions) {
	switch c.Phase {
	case Waiting:
		if p.Auto && at.From > 0 && at.To > 0 {
			c.begin(now, v, at)
		}
	case Undoing:
		c.back(now, at)
	case Moving, Halted, Paused, Watching:
		if v.Regression != "" {
			c.enter(now, Undoing, v.Regression, v)
			c.back(now, at)
			return
		}
		c.forth(now, p, v, at)
	}
}

// forth goes on with a move that nothing speaks against.
func (c *Progress) forth(now time.Duration, p *Plan, v Assessment, at Conditions) {
	why := c.hindered(v, at)
	switch {
	case c.Phase == Paused:
		return
	case why != "" && (c.Phase == Halted || c.Phase == Moving):
		c.enter(now, Halted, why, v) // again and again: it goes on a step's time after the last
		return
	case c.Phase == Watching:
		if now-c.Since >= p.Watch {
			c.enter(now, Done, "", v)
		}
		return
	case c.Phase == Halted:
		if now-c.Since >= p.StepTime {
			c.enter(now, Moving, "", v)
			c.From = at.From
		}
		return
	}
	c.grow(now, p, v, at)
}

// hindered tells what keeps a step from going on; "": nothing.
func (c *Progress) hindered(v Assessment, at Conditions) string {
	switch {
	case v.CommonFault != "":
		return v.CommonFault
	case at.To == 0:
		return "no endpoint of the new pool is ready"
	case c.Share < 1 && 2*at.From <= c.From && c.From > 0:
		return fmt.Sprintf("of the %d endpoints of the pool that is left, %d are ready", c.From, at.From)
	}
	return ""
}

// grow takes a step up to its share, as there is room, and goes on to the next
// when all is there that it takes.
func (c *Progress) grow(now time.Duration, p *Plan, v Assessment, at Conditions) {
	c.Step = min(c.Step, len(p.Steps)-1)
	want := p.Steps[c.Step]
	if c.Share < want { // the step begins when it is taken whole
		c.Share = max(c.Share, min(want, at.ToCapacity)) // what is there is never taken back but by an undo
		c.Since, c.EndedAtStart = now, v.NewRequests
		if c.WaitingFor = ""; c.Share < want {
			c.WaitingFor = fmt.Sprintf("the new pool has room for %.3g%% only", 100*at.ToCapacity)
			return
		}
	}
	switch lacking := c.Since + p.StepTime - now; {
	case lacking > 0:
		c.WaitingFor = fmt.Sprintf("%v of the step's time", lacking.Round(time.Second))
	case v.NewRequests-c.EndedAtStart < p.StepRequests:
		c.WaitingFor = fmt.Sprintf("%d of the step's requests", p.StepRequests-(v.NewRequests-c.EndedAtStart))
	case !v.Sufficient:
		c.WaitingFor = v.Missing
	case c.Step == len(p.Steps)-1:
		c.enter(now, Watching, "", v)
	default:
		c.Step++
		c.enter(now, Moving, "", v)
		c.Share, c.From = max(c.Share, min(p.Steps[c.Step], at.ToCapacity)), at.From
	}
}

// back lowers the share as far as the pool that is left has room.
func (c *Progress) back(now time.Duration, at Conditions) {
	c.Share = min(c.Share, max(0, 1-at.FromCapacity))
	if c.WaitingFor = ""; c.Share > 0 {
		c.WaitingFor = fmt.Sprintf("the old pool has room for %.3g%% only", 100*at.FromCapacity)
		return
	}
	c.Phase, c.Since = Undone, now
}

func (c *Progress) enter(now time.Duration, to Phase, why string, v Assessment) {
	c.Phase, c.Since, c.EndedAtStart, c.Why, c.WaitingFor = to, now, v.NewRequests, why, ""
}

func (c *Progress) begin(now time.Duration, v Assessment, at Conditions) {
	c.Step, c.Share = 0, 0
	c.enter(now, Moving, "", v)
	c.From = at.From
}

// Remaining is how long it takes until the move is done, at least, if nothing holds it up;
// 0 where it is over or does not go on.
func (c *Progress) Remaining(now time.Duration, p *Plan) time.Duration {
	passed := now - c.Since
	switch c.Phase {
	case Watching:
		return max(p.Watch-passed, 0)
	case Moving, Halted:
		steps := time.Duration(len(p.Steps)-min(c.Step, len(p.Steps)-1)) * p.StepTime
		return max(steps-passed, 0) + p.Watch
	}
	return 0
}

// Begin begins a move that waits, by an operator's word.
func (c *Progress) Begin(now time.Duration, ended int, at Conditions) error {
	switch {
	case c.Phase == Undone, c.Phase == Done:
		return errOver
	case c.Phase != Waiting:
		return errBegun
	case at.To == 0 || at.From == 0:
		return fmt.Errorf("endpoints of both pools are expected, %d are ready of the one and %d of the other", at.From, at.To)
	}
	c.begin(now, Assessment{NewRequests: ended}, at)
	return nil
}

// Hold keeps a move where it is, by an operator's word. It may still be undone.
func (c *Progress) Hold(now time.Duration, ended int, why string) error {
	switch {
	case c.Phase == Waiting:
		return errNotBegun
	case c.Phase != Moving && c.Phase != Halted && c.Phase != Watching && c.Phase != Paused:
		return errOver
	}
	c.enter(now, Paused, why, Assessment{NewRequests: ended})
	return nil
}

// Resume lets a move go on that is held, or has halted. Its step begins anew.
func (c *Progress) Resume(now time.Duration, ended int, at Conditions) error {
	switch c.Phase {
	case Paused, Halted:
		c.enter(now, Moving, "", Assessment{NewRequests: ended})
		c.From = at.From
		return nil
	case Waiting:
		return errNotBegun
	case Undone, Done, Undoing:
		return errOver
	}
	return errors.New("it is neither held nor halted")
}

// Undo has a move go back, by an operator's word. One that was done can be too.
func (c *Progress) Undo(now time.Duration, ended int, why string) error {
	switch c.Phase {
	case Undone, Undoing:
		return errOver
	case Waiting:
		return errNotBegun
	}
	c.enter(now, Undoing, why, Assessment{NewRequests: ended})
	return nil
}

// Restore has the course go by another plan, or in another process: where its share
// is, and never further on. Its step begins anew.
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
		c.Phase = Moving // the plan goes on further than the one that was over
	}
}
