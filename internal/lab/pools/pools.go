// Package pools plays a move between two modelled pools of endpoints, request by
// request and in virtual time. It drives the move that runs, and none of the rest.
package pools

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"spokegw/internal/moves"
	"spokegw/internal/moves/judge"
)

// Size is how many endpoints each pool has: those of the old one are numbered from
// 0 on, those of the new one from Size on.
const Size = 5

// usual is the middle of the times that answers take, spread about it a factor, and
// aim what is late beyond.
const (
	usual  = 20 * time.Millisecond
	spread = 0.4
	aim    = 100 * time.Millisecond
)

// Course is what is played.
type Course struct {
	Config  moves.Config
	Seed    uint64
	Rate    float64 // requests a second, a tenth of them of class 1
	Seconds int     // that are played at most

	Bad    func(p *Play, s *moves.AttemptResult)         // tells what an attempt comes to; nil: it is served
	Slower func(p *Play, s *moves.AttemptResult) float64 // how many times as long its answer takes; nil: 1
	Load   func(second int) float64                      // times Rate; nil: 1
	Each   func(p *Play)                                 // is called before each second; nil: nothing is
}

// Play is a course as it is played.
type Play struct {
	*moves.Move
	Now     time.Duration
	Second  int
	Members []moves.Member
	Rand    *rand.Rand
	Met     time.Duration // when the new pool first met a request; 0: not yet

	Asked, Harmed int // requests, and those of them that failed in the new pool
	Log           []string
	UndoneAt      int // second; -1: it was not
	DoneAt        int
}

// Classes are those that are played.
var Classes = []string{"tile", "report"}

// DefaultGuards are those of an operator's file that says nothing of them.
var DefaultGuards = moves.Guards{
	moves.Failed: {Bound: 0.005, Margin: 1.5}, moves.Late: {Bound: 0.02, Margin: 1.5},
	moves.Declined: {Bound: 0.02, Margin: 1.5}, moves.Slow: judge.Guard{Margin: 1.15},
}

// Config is a usual move, which begins by itself.
func Config() moves.Config {
	return moves.Config{
		Name: "new", From: moves.Selector{Kind: "a", Pod: -1}, To: moves.Selector{Kind: "b", Pod: -1}, Headroom: 2, Warming: 30 * time.Second,
		Plan:   moves.Plan{Steps: []float64{0.01, 0.05, 0.25, 0.5, 1}, StepTime: 30 * time.Second, StepRequests: 100, Watch: 2 * time.Minute, Auto: true},
		Guards: []moves.Guards{DefaultGuards, DefaultGuards},
		Worth:  []moves.ClassWorth{{InTime: 1, Late: 0.5}, {InTime: 3, Late: 1.2}}, WorthGuard: judge.Guard{Bound: 0.01, Margin: 1.5},
	}
}

// Run plays a course until the move is over.
func (c Course) Run() *Play {
	if c.Config.Name == "" {
		c.Config = Config()
	}
	p := &Play{Move: moves.New(0, c.Config), UndoneAt: -1, DoneAt: -1, Rand: rand.New(rand.NewPCG(c.Seed, 7))}
	for i := range 2 * Size {
		p.Members = append(p.Members, moves.Member{ID: uint32(i), From: i < Size, To: i >= Size, Ready: true, Weight: 1, Warmth: 1})
	}
	for p.Second = range c.Seconds {
		if c.Each != nil {
			c.Each(p)
		}
		p.Conditions(p.Members)
		p.Now = time.Duration(p.Second+1) * time.Second
		for _, e := range p.Tick(p.Now, Classes) {
			p.Log = append(p.Log, fmt.Sprint(p.Second, " ", e.What, " ", e.Share, " ", e.Why))
		}
		switch p.Progress().Phase {
		case moves.Undone:
			p.UndoneAt = p.Second
			return p
		case moves.Done:
			p.DoneAt = p.Second
			return p
		}
		rate := c.Rate
		if c.Load != nil {
			rate *= c.Load(p.Second)
		}
		for n := int(rate) + one(p.Rand.Float64() < rate-math.Floor(rate)); n > 0; n-- {
			c.request(p)
		}
	}
	return p
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

func (c *Course) request(p *Play) {
	s := moves.AttemptResult{Class: one(p.Rand.Float64() < 0.1), New: p.RoutesToNew(p.Rand.Uint64())}
	s.Endpoint = uint32(p.Rand.IntN(Size) + Size*one(s.New))
	p.Asked++
	if s.New && p.Met == 0 {
		p.Met = p.Now
	}
	s.Cold = s.New && p.Now-p.Met < c.Config.Warming
	if c.Bad != nil {
		c.Bad(p, &s)
	}
	if s.Failed || s.Declined {
		p.Harmed += one(s.New)
	} else {
		times := 1.0
		if c.Slower != nil {
			times = c.Slower(p, &s)
		}
		s.Took = time.Duration(times * math.Exp(spread*p.Rand.NormFloat64()) * float64(usual))
		s.Late = s.Took > aim
	}
	p.Observe(&s)
}

// Failing has a part of the attempts fail for which when says so.
func Failing(part float64, when func(p *Play, s *moves.AttemptResult) bool) func(*Play, *moves.AttemptResult) {
	return func(p *Play, s *moves.AttemptResult) { s.Failed = when(p, s) && p.Rand.Float64() < part }
}
