package moves

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"spokegw/internal/explore"
)

// The course of a move, whole: every order of ticks with every verdict and
// condition, of an operator's words, other plans, pauses and restarts.
type courseState struct {
	Progress
	plan  int
	now   time.Duration
	ended int
}

type courseEvent struct {
	do      string
	worse   bool
	common  bool
	enough  bool
	at      Conditions
	seconds int
}

var coursePlans = []Plan{
	{Steps: []float64{0.25, 1}, StepTime: 2 * time.Second, StepRequests: 1, Watch: 2 * time.Second},
	{Steps: []float64{0.5}, StepTime: time.Second, StepRequests: 2, Watch: time.Second, Auto: true},
}

var (
	errGrew     = errors.New("the share grew where it may not")
	errJumped   = errors.New("a step was not taken whole")
	errAgain    = errors.New("what was over went on")
	errKept     = errors.New("what is worse was not undone")
	errWord     = errors.New("a word was taken where it means nothing")
	errMoved    = errors.New("a pause moved it")
	errNotEmpty = errors.New("undone, and some still meet the new pool")
)

func (s courseState) events() (all []courseEvent) {
	well := Conditions{From: 4, To: 4, FromCapacity: 1, ToCapacity: 1}
	for _, at := range []Conditions{well, {From: 2, To: 4, FromCapacity: 0.5, ToCapacity: 1}, {From: 4, To: 0, FromCapacity: 1}, {From: 4, To: 4, FromCapacity: 1, ToCapacity: 0.1}} {
		all = append(all, courseEvent{do: "tick", at: at, enough: true, seconds: 1}, courseEvent{do: "tick", at: at, seconds: 1},
			courseEvent{do: "tick", at: at, worse: true, seconds: 1})
	}
	all = append(all, courseEvent{do: "tick", at: well, common: true, enough: true, seconds: 1}, courseEvent{do: "tick", at: well, enough: true, worse: true, seconds: 9})
	for _, word := range []string{"begin", "hold", "go-on", "undo", "other plan", "another process"} {
		all = append(all, courseEvent{do: word, at: well})
	}
	return all
}

func (s courseState) step(e courseEvent) (courseState, error) {
	n := s
	n.now += time.Duration(e.seconds) * time.Second
	switch e.do {
	case "tick":
		n.ended++
		v := Assessment{Sufficient: e.enough, NewRequests: n.ended}
		if e.worse {
			v.Regression = "worse"
		}
		if e.common {
			v.CommonFault = "common"
		}
		n.Progress.Tick(n.now, &coursePlans[n.plan], v, e.at)
		return n, s.judgeTick(e, &n, v)
	case "other plan":
		n.plan = 1 - n.plan
		n.Restore(n.now, &coursePlans[n.plan])
	case "another process":
		c := Progress{Phase: n.Phase, Share: n.Share, Why: n.Why}
		c.Restore(n.now, &coursePlans[n.plan])
		n.Progress = c
	default:
		return n, s.judgeWord(e, &n)
	}
	if n.Share != s.Share || over(s.Phase) != over(n.Phase) {
		return n, errGrew
	}
	return n, nil
}

func over(p Phase) bool { return p == Undone || p == Done }

func (s *courseState) judgeTick(e courseEvent, n *courseState, v Assessment) error {
	plan := &coursePlans[s.plan]
	stepped := n.Step > s.Step && s.Phase != Waiting || n.Phase == Watching && s.Phase != Watching
	switch {
	case e.seconds > 5 && (n.Phase != s.Phase || n.Share != s.Share || n.Step != s.Step):
		return errMoved
	case over(s.Phase) && (n.Phase != s.Phase || n.Share != s.Share):
		return errAgain
	case n.Phase == Undone && n.Share != 0:
		return errNotEmpty
	case n.Share > s.Share && (n.Phase != Moving || n.Share > plan.Steps[n.Step] || n.Share > e.at.ToCapacity):
		return errGrew
	case stepped && (s.Phase != Moving || s.Share < plan.Steps[s.Step] || n.now-s.Since < plan.StepTime || v.NewRequests-s.EndedAtStart < plan.StepRequests || !e.enough || e.common || e.at.To == 0):
		return errJumped
	case n.Step > s.Step+1:
		return errJumped
	case e.worse && e.seconds == 1 && s.Phase.UnderWay() && n.Phase != Undoing && n.Phase != Undone:
		return errKept
	}
	return nil
}

func (s *courseState) judgeWord(e courseEvent, n *courseState) error {
	var err error
	means := false
	switch e.do {
	case "begin":
		err, means = n.Begin(n.now, n.ended, e.at), s.Phase == Waiting
	case "hold":
		err, means = n.Hold(n.now, n.ended, "held"), s.Phase == Moving || s.Phase == Halted || s.Phase == Watching || s.Phase == Paused
	case "go-on":
		err, means = n.Resume(n.now, n.ended, e.at), s.Phase == Paused || s.Phase == Halted
	case "undo":
		err, means = n.Undo(n.now, n.ended, "undone"), s.Phase != Waiting && s.Phase != Undone && s.Phase != Undoing
	}
	switch {
	case (err == nil) != means, err != nil && n.Progress != s.Progress:
		return errWord
	case n.Share > s.Share:
		return errGrew
	}
	return nil
}

// key leaves out the time itself: only how long something has been so matters.
func (s courseState) key() string {
	p := &coursePlans[s.plan]
	since := min(s.now-s.Since, p.StepTime+p.Watch)
	return fmt.Sprint(s.plan, s.Phase, s.Step, s.Share, since, min(s.ended-s.EndedAtStart, p.StepRequests), s.From, s.now-s.LastTick)
}

func TestCourseInEveryOrder(t *testing.T) {
	model := explore.Model[courseState, courseEvent]{
		Start: courseState{Progress: Progress{Phase: Waiting}}, Events: courseState.events, Step: courseState.step, Key: courseState.key,
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

// What an operator reads says what a move waits for, and why it stands.
func TestCourseTells(t *testing.T) {
	c, p := Progress{Phase: Waiting}, &coursePlans[0]
	at := Conditions{From: 4, To: 4, FromCapacity: 1, ToCapacity: 0.1}
	if err := c.Begin(0, 0, Conditions{From: 4}); err == nil || !strings.Contains(err.Error(), "0 of the other") {
		t.Errorf("an empty pool: %v", err)
	}
	if err := c.Begin(0, 0, at); err != nil {
		t.Fatal(err)
	}
	tick := func(s int, v Assessment) string {
		c.Tick(time.Duration(s)*time.Second, p, v, at)
		return c.WaitingFor + c.Why
	}
	for i, want := range []string{"room for 10%", "of the step's time", "of the step's time", "1 of the step's requests", "evidence", "both are slow", ""} {
		v := Assessment{Sufficient: true, NewRequests: 5}
		switch i {
		case 1:
			at.ToCapacity = 1
		case 4:
			v.NewRequests, v.Sufficient, v.Missing = 9, false, "evidence"
		case 5:
			v.CommonFault = "both are slow"
		case 6:
			at.From = 1
		}
		if got := tick(i+1, v); !strings.Contains(got, want) {
			t.Errorf("second %d: it tells %q, %q is expected", i+1, got, want)
		}
	}
	if c.Phase != Halted || !strings.Contains(c.Why, "1 are ready") {
		t.Errorf("with a quarter of the old pool left it is %s, %s", c.Phase, c.Why)
	}
}
