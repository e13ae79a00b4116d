package moves

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"spokegw/internal/explore"
)

// modelState is a state of a model that explores the state machine of a move
// exhaustively: all orders of ticks with all assessments and conditions, operator
// commands, plan changes, process stalls and restarts.
type modelState struct {
	Progress
	plan  int
	now   time.Duration
	ended int
}

type modelEvent struct {
	action      string
	regression  bool
	commonFault bool
	sufficient  bool
	conditions  Conditions
	seconds     int
}

var modelPlans = []Plan{
	{Steps: []float64{0.25, 1}, StepTime: 2 * time.Second, StepRequests: 1, Watch: 2 * time.Second},
	{Steps: []float64{0.5}, StepTime: time.Second, StepRequests: 2, Watch: time.Second, Auto: true},
}

var (
	errShareGrew   = errors.New("the share grew where it may not")
	errStepSkipped = errors.New("a step was not taken whole")
	errResumed     = errors.New("what was over went on")
	errNotUndone   = errors.New("what is worse was not undone")
	errCommand     = errors.New("a word was taken where it means nothing")
	errStallMoved  = errors.New("a pause moved it")
	errStillRouted = errors.New("undone, and some still meet the new pool")
)

func (s modelState) events() (all []modelEvent) {
	healthy := Conditions{From: 4, To: 4, FromCapacity: 1, ToCapacity: 1}
	for _, at := range []Conditions{healthy, {From: 2, To: 4, FromCapacity: 0.5, ToCapacity: 1}, {From: 4, To: 0, FromCapacity: 1}, {From: 4, To: 4, FromCapacity: 1, ToCapacity: 0.1}} {
		all = append(all, modelEvent{action: "tick", conditions: at, sufficient: true, seconds: 1}, modelEvent{action: "tick", conditions: at, seconds: 1},
			modelEvent{action: "tick", conditions: at, regression: true, seconds: 1})
	}
	all = append(all, modelEvent{action: "tick", conditions: healthy, commonFault: true, sufficient: true, seconds: 1}, modelEvent{action: "tick", conditions: healthy, sufficient: true, regression: true, seconds: 9})
	for _, command := range []string{"begin", "hold", "go-on", "undo", "other plan", "another process"} {
		all = append(all, modelEvent{action: command, conditions: healthy})
	}
	return all
}

func (s modelState) step(e modelEvent) (modelState, error) {
	n := s
	n.now += time.Duration(e.seconds) * time.Second
	switch e.action {
	case "tick":
		n.ended++
		a := Assessment{Sufficient: e.sufficient, NewRequests: n.ended}
		if e.regression {
			a.Regression = "worse"
		}
		if e.commonFault {
			a.CommonFault = "common"
		}
		n.Progress.Tick(n.now, &modelPlans[n.plan], a, e.conditions)
		return n, s.checkTick(e, &n, a)
	case "other plan":
		n.plan = 1 - n.plan
		n.Restore(n.now, &modelPlans[n.plan])
	case "another process":
		c := Progress{Phase: n.Phase, Share: n.Share, Why: n.Why}
		c.Restore(n.now, &modelPlans[n.plan])
		n.Progress = c
	default:
		return n, s.checkCommand(e, &n)
	}
	if n.Share != s.Share || final(s.Phase) != final(n.Phase) {
		return n, errShareGrew
	}
	return n, nil
}

func final(p Phase) bool { return p == Undone || p == Done }

func (s *modelState) checkTick(e modelEvent, n *modelState, a Assessment) error {
	plan := &modelPlans[s.plan]
	stepped := n.Step > s.Step && s.Phase != Waiting || n.Phase == Watching && s.Phase != Watching
	switch {
	case e.seconds > 5 && (n.Phase != s.Phase || n.Share != s.Share || n.Step != s.Step):
		return errStallMoved
	case final(s.Phase) && (n.Phase != s.Phase || n.Share != s.Share):
		return errResumed
	case n.Phase == Undone && n.Share != 0:
		return errStillRouted
	case n.Share > s.Share && (n.Phase != Moving || n.Share > plan.Steps[n.Step] || n.Share > e.conditions.ToCapacity):
		return errShareGrew
	case stepped && (s.Phase != Moving || s.Share < plan.Steps[s.Step] || n.now-s.Since < plan.StepTime || a.NewRequests-s.EndedAtStart < plan.StepRequests || !e.sufficient || e.commonFault || e.conditions.To == 0):
		return errStepSkipped
	case n.Step > s.Step+1:
		return errStepSkipped
	case e.regression && e.seconds == 1 && s.Phase.UnderWay() && n.Phase != Undoing && n.Phase != Undone:
		return errNotUndone
	}
	return nil
}

func (s *modelState) checkCommand(e modelEvent, n *modelState) error {
	var err error
	valid := false
	switch e.action {
	case "begin":
		err, valid = n.Begin(n.now, n.ended, e.conditions), s.Phase == Waiting
	case "hold":
		err, valid = n.Hold(n.now, n.ended, "held"), s.Phase == Moving || s.Phase == Halted || s.Phase == Watching || s.Phase == Paused
	case "go-on":
		err, valid = n.Resume(n.now, n.ended, e.conditions), s.Phase == Paused || s.Phase == Halted
	case "undo":
		err, valid = n.Undo(n.now, n.ended, "undone"), s.Phase != Waiting && s.Phase != Undone && s.Phase != Undoing
	}
	switch {
	case (err == nil) != valid, err != nil && n.Progress != s.Progress:
		return errCommand
	case n.Share > s.Share:
		return errShareGrew
	}
	return nil
}

// key omits absolute time: only durations matter.
func (s modelState) key() string {
	p := &modelPlans[s.plan]
	since := min(s.now-s.Since, p.StepTime+p.Watch)
	return fmt.Sprint(s.plan, s.Phase, s.Step, s.Share, since, min(s.ended-s.EndedAtStart, p.StepRequests), s.From, s.now-s.LastTick)
}

func TestProgressModel(t *testing.T) {
	model := explore.Model[modelState, modelEvent]{
		Start: modelState{Progress: Progress{Phase: Waiting}}, Events: modelState.events, Step: modelState.step, Key: modelState.key,
	}
	report, err := model.Explore(2)
	t.Log(report)
	if err != nil {
		t.Error(err)
	}
	if !report.Whole || report.States < 100 {
		t.Errorf("%v", report)
	}
}

// Operators are shown what a move waits for, and why it has stopped.
func TestProgressReasons(t *testing.T) {
	c, p := Progress{Phase: Waiting}, &modelPlans[0]
	cond := Conditions{From: 4, To: 4, FromCapacity: 1, ToCapacity: 0.1}
	if err := c.Begin(0, 0, Conditions{From: 4}); err == nil || !strings.Contains(err.Error(), "0 in the new") {
		t.Errorf("begin with an empty pool: %v", err)
	}
	if err := c.Begin(0, 0, cond); err != nil {
		t.Fatal(err)
	}
	tick := func(s int, a Assessment) string {
		c.Tick(time.Duration(s)*time.Second, p, a, cond)
		return c.WaitingFor + c.Why
	}
	for i, want := range []string{"capacity for only 10%", "of the step's time", "of the step's time", "1 of the step's requests", "evidence", "both are slow", ""} {
		a := Assessment{Sufficient: true, NewRequests: 5}
		switch i {
		case 1:
			cond.ToCapacity = 1
		case 4:
			a.NewRequests, a.Sufficient, a.Missing = 9, false, "evidence"
		case 5:
			a.CommonFault = "both are slow"
		case 6:
			cond.From = 1
		}
		if got := tick(i+1, a); !strings.Contains(got, want) {
			t.Errorf("second %d: got %q, want %q", i+1, got, want)
		}
	}
	if c.Phase != Halted || !strings.Contains(c.Why, "1 are ready") {
		t.Errorf("with a quarter of the old pool ready: phase %s, reason %q", c.Phase, c.Why)
	}
}
