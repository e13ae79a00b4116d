package broker

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"spokegw/internal/explore"
)

// Two requests of one team and one of another, each with a repeat, that end in any way and order
// while contracts are replaced between them, on the real broker. It has too
// little capacity, so that every charge is made; time stands still, so that none
// is paid off. A state is the steps that led to it, taken anew.
type step struct {
	do      string
	request int
	ending  AttemptResult
}

func (s step) String() string {
	if s.do == "ends" {
		return fmt.Sprintf("request %d: an attempt ends, %s", s.request,
			[]string{"answered", "timed out", "failed", "declined", "unrun"}[s.ending])
	}
	return fmt.Sprintf("request %d: %s", s.request, s.do)
}

const exploredWork = 0.125 // s; sums of it are exact

var teamOf = [3]string{"0", "0", "1"}

type charges struct {
	broker  *Broker
	tickets [3]*Ticket
	open    [3]int  // attempts that are out
	again   [3]bool // the repeat has been asked for
	second  [3]bool // and is out, or has been
	over    [3]bool
	ran     [3]bool // an attempt may have
	terms   int
}

// reloads are contracts that are put in force one after the other.
func reloads(i int) Terms {
	a := Contract{Team: "0", Share: 0.5, Calls: []CallLimits{{Classes: AllClasses, Rate: 10, Burst: 20, Work: 10}}}
	b := a
	b.Team = "1"
	switch i {
	case 0:
		return Terms{Classes: 1, Contracts: []Contract{a, b}}
	case 1: // a share halved, and a team gone
		a.Share = 0.25
		return Terms{Classes: 1, Contracts: []Contract{a}}
	default: // it is back
		return Terms{Classes: 1, Contracts: []Contract{b, a}}
	}
}

func newCharges() *charges {
	c := &charges{broker: New(0, reloads(0))}
	c.broker.capacity.estimate, c.broker.capacity.tight = 4, true
	return c
}

func (c *charges) next() (steps []step) {
	for i := range c.tickets {
		switch {
		case c.over[i]:
		case c.tickets[i] == nil:
			steps = append(steps, step{do: "is admitted", request: i})
		case c.open[i] > 0:
			for e := Answered; e <= NotRun; e++ {
				steps = append(steps, step{"ends", i, e})
			}
			if !c.again[i] {
				steps = append(steps, step{do: "has a second copy", request: i})
			}
		default:
			if !c.again[i] {
				steps = append(steps, step{do: "is tried again", request: i})
			}
			steps = append(steps, step{do: "is over", request: i})
		}
		if c.tickets[i] != nil && c.open[i] == 1 && !c.again[i] && !c.ran[i] {
			steps = append(steps, step{do: "is withdrawn", request: i})
		}
	}
	if c.terms < 2 {
		steps = append(steps, step{do: "contracts are replaced"})
	}
	return steps
}

func (c *charges) take(s step) error {
	b, i := c.broker, s.request
	switch s.do {
	case "is admitted":
		t, v := b.Admit(0, teamOf[i], 0, exploredWork)
		if v.Outcome != Admitted {
			c.over[i] = true
			return c.check()
		}
		c.tickets[i], c.open[i] = &t, 1
	case "has a second copy", "is tried again":
		if c.again[i] = true; b.AdmitRetry(0, c.tickets[i]) {
			c.open[i]++
			c.second[i] = true
		}
	case "ends":
		c.ran[i] = c.ran[i] || s.ending < Declined
		// The first attempt of a request ends before its repeat; which of two that
		// are out it is makes no other difference.
		c.broker.AttemptEnded(0, c.tickets[i], c.second[i] && c.open[i] == 1, s.ending, 0, time.Second)
		c.open[i]--
	case "is withdrawn":
		b.Withdraw(0, c.tickets[i], false)
		c.open[i], c.over[i] = 0, true
	case "is over":
		c.over[i] = true
	case "contracts are replaced":
		c.terms++
		b.Replace(0, reloads(c.terms))
	}
	return c.check()
}

var (
	errAttempts = errors.New("the attempts that are counted are not those that are out")
	errOut      = errors.New("nothing is out, and work is counted as out")
	errKept     = errors.New("nothing ran, and something is still charged")
	errTokens   = errors.New("a team has attempts below 0 or beyond what may be saved up")
)

func (c *charges) check() error {
	open := c.open[0] + c.open[1] + c.open[2]
	switch {
	case c.broker.capacity.attempts != float64(open):
		return errAttempts
	case open == 0 && c.broker.capacity.out != 0:
		return errOut
	}
	for name, a := range c.broker.teams {
		if a.tokens < 0 || a.tokens > a.most {
			return errTokens
		}
		idle := true
		for i, team := range teamOf {
			idle = idle && (team != name || !c.ran[i] && c.open[i] == 0)
		}
		if !idle {
			continue
		}
		if a.calls[0].work.next > 0 || c.broker.shares.queued(&a.share) > 0 || a.tokens < a.most {
			return errKept
		}
	}
	return nil
}

// key has what the rest can hang on.
func (c *charges) key() string {
	text := fmt.Sprint(c.open, c.again, c.second, c.over, c.ran, c.terms, c.broker.capacity.out)
	for _, name := range []string{"0", "1"} {
		if a := c.broker.teams[name]; a != nil {
			text += fmt.Sprint(" ", name, a.tokens, a.calls[0].requests.next, a.calls[0].work.next, c.broker.shares.queued(&a.share))
		}
	}
	for i, t := range c.tickets {
		if t != nil {
			text += fmt.Sprint(" of a team that is gone: ", t.account.removed, t.account != c.broker.teams[teamOf[i]])
		}
	}
	return text
}

func replaySteps(steps []step) (*charges, error) {
	c := newCharges()
	for _, s := range steps {
		if err := c.take(s); err != nil {
			return c, err
		}
	}
	return c, nil
}

// In no order is an attempt counted that is not out, is anything still charged
// for what never ran, or does a team's store of attempts leave its bounds.
func TestChargesInEveryOrder(t *testing.T) {
	m := &explore.Model[[]step, step]{
		Events: func(steps []step) []step {
			c, _ := replaySteps(steps)
			return c.next()
		},
		Step: func(steps []step, s step) ([]step, error) {
			steps = append(steps[:len(steps):len(steps)], s)
			_, err := replaySteps(steps)
			return steps, err
		},
		Key: func(steps []step) string {
			c, _ := replaySteps(steps)
			return c.key()
		},
	}
	r, err := m.Explore(4)
	t.Log(r)
	if err != nil {
		t.Fatal(err)
	}
	if !r.Whole || r.States < 500 {
		t.Error("this is not all there is:", r)
	}
}
