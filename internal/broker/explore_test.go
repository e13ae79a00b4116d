package broker

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"spokegw/internal/explore"
)

// The model drives a real broker: two requests of one team and one of another, each with a retry,
// that end with any result in any order while contracts are replaced in between. Capacity is
// short, so that every charge is made, and time does not advance, so that none is paid off. A
// state is the sequence of steps that leads to it, which is replayed.
type step struct {
	action  string
	request int
	result  AttemptResult
}

func (s step) String() string {
	if s.action == "ends" {
		return fmt.Sprintf("request %d: an attempt ends, %s", s.request,
			[]string{"answered", "timed out", "failed", "declined", "not run"}[s.result])
	}
	return fmt.Sprintf("request %d: %s", s.request, s.action)
}

const exploredWork = 0.125 // s; a power of two, so that sums are exact

var teamOf = [3]string{"0", "0", "1"}

type chargeModel struct {
	broker     *Broker
	tickets    [3]*Ticket
	inFlight   [3]int  // attempts in flight
	retryAsked [3]bool // the retry has been requested
	retried    [3]bool // the retry has been admitted
	finished   [3]bool
	ran        [3]bool // an attempt may have run
	version    int
}

// termsVersion returns the contracts that are put in force one after the other.
func termsVersion(i int) Terms {
	a := Contract{Team: "0", Share: 0.5, Calls: []CallLimits{{Classes: AllClasses, Rate: 10, Burst: 20, Work: 10}}}
	b := a
	b.Team = "1"
	switch i {
	case 0:
		return Terms{Classes: 1, Contracts: []Contract{a, b}}
	case 1: // halves a share and removes a team
		a.Share = 0.25
		return Terms{Classes: 1, Contracts: []Contract{a}}
	default: // restores both
		return Terms{Classes: 1, Contracts: []Contract{b, a}}
	}
}

func newChargeModel() *chargeModel {
	c := &chargeModel{broker: New(0, termsVersion(0))}
	c.broker.capacity.estimate, c.broker.capacity.tight = 4, true
	return c
}

func (c *chargeModel) possibleSteps() (steps []step) {
	for i := range c.tickets {
		switch {
		case c.finished[i]:
		case c.tickets[i] == nil:
			steps = append(steps, step{action: "is admitted", request: i})
		case c.inFlight[i] > 0:
			for e := Answered; e <= NotRun; e++ {
				steps = append(steps, step{"ends", i, e})
			}
			if !c.retryAsked[i] {
				steps = append(steps, step{action: "gets a hedged attempt", request: i})
			}
		default:
			if !c.retryAsked[i] {
				steps = append(steps, step{action: "is retried", request: i})
			}
			steps = append(steps, step{action: "is finished", request: i})
		}
		if c.tickets[i] != nil && c.inFlight[i] == 1 && !c.retryAsked[i] && !c.ran[i] {
			steps = append(steps, step{action: "is withdrawn", request: i})
		}
	}
	if c.version < 2 {
		steps = append(steps, step{action: "contracts are replaced"})
	}
	return steps
}

func (c *chargeModel) apply(s step) error {
	b, i := c.broker, s.request
	switch s.action {
	case "is admitted":
		t, v := b.Admit(0, teamOf[i], 0, exploredWork)
		if v.Outcome != Admitted {
			c.finished[i] = true
			return c.check()
		}
		c.tickets[i], c.inFlight[i] = &t, 1
	case "gets a hedged attempt", "is retried":
		if c.retryAsked[i] = true; b.AdmitRetry(0, c.tickets[i]) {
			c.inFlight[i]++
			c.retried[i] = true
		}
	case "ends":
		c.ran[i] = c.ran[i] || s.result < Declined
		// The first attempt of a request ends before its retry; which of the two it is makes no
		// other difference.
		c.broker.AttemptEnded(0, c.tickets[i], c.retried[i] && c.inFlight[i] == 1, s.result, 0, time.Second)
		c.inFlight[i]--
	case "is withdrawn":
		b.Withdraw(0, c.tickets[i], false)
		c.inFlight[i], c.finished[i] = 0, true
	case "is finished":
		c.finished[i] = true
	case "contracts are replaced":
		c.version++
		b.Replace(0, termsVersion(c.version))
	}
	return c.check()
}

var (
	errAttempts = errors.New("the attempts that are counted are not those that are out")
	errInFlight = errors.New("nothing is out, and work is counted as out")
	errCharged  = errors.New("nothing ran, and something is still charged")
	errTokens   = errors.New("a team has attempts below 0 or beyond what may be saved up")
)

func (c *chargeModel) check() error {
	inFlight := c.inFlight[0] + c.inFlight[1] + c.inFlight[2]
	switch {
	case c.broker.capacity.inFlight != float64(inFlight):
		return errAttempts
	case inFlight == 0 && c.broker.capacity.inFlightWork != 0:
		return errInFlight
	}
	for name, a := range c.broker.teams {
		if a.tokens < 0 || a.tokens > a.maxTokens {
			return errTokens
		}
		idle := true
		for i, team := range teamOf {
			idle = idle && (team != name || !c.ran[i] && c.inFlight[i] == 0)
		}
		if !idle {
			continue
		}
		if a.calls[0].work.tat > 0 || c.broker.shares.backlog(&a.share) > 0 || a.tokens < a.maxTokens {
			return errCharged
		}
	}
	return nil
}

// key contains everything that later steps depend on.
func (c *chargeModel) key() string {
	text := fmt.Sprint(c.inFlight, c.retryAsked, c.retried, c.finished, c.ran, c.version, c.broker.capacity.inFlightWork)
	for _, name := range []string{"0", "1"} {
		if a := c.broker.teams[name]; a != nil {
			text += fmt.Sprint(" ", name, a.tokens, a.calls[0].requests.tat, a.calls[0].work.tat, c.broker.shares.backlog(&a.share))
		}
	}
	for i, t := range c.tickets {
		if t != nil {
			text += fmt.Sprint(" of a removed team: ", t.account.removed, t.account != c.broker.teams[teamOf[i]])
		}
	}
	return text
}

func replaySteps(steps []step) (*chargeModel, error) {
	c := newChargeModel()
	for _, s := range steps {
		if err := c.apply(s); err != nil {
			return c, err
		}
	}
	return c, nil
}

// In no order of steps is an attempt counted that is not in flight, is anything charged for an
// attempt that did not run, or does a retry budget leave its bounds.
func TestChargesInEveryOrder(t *testing.T) {
	m := &explore.Model[[]step, step]{
		Events: func(steps []step) []step {
			c, _ := replaySteps(steps)
			return c.possibleSteps()
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
		t.Error("the exploration is incomplete:", r)
	}
}
