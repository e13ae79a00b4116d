package handover

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"spokegw/internal/explore"
)

// Up to four processes, each started from the one before it, that end in any
// order; what one has reaches the others late, and that it has ended last of all.
type chain struct {
	procs []process
	links []link // between i and i+1
}

type process struct {
	Division
	alive bool
}

// link holds what is on its way: parts, and -1 for the end.
type link struct{ down, up []word }

type word struct {
	part   float64
	handed bool
}

type chainEvent struct {
	do string
	at int
}

const mostProcesses = 4

func (c chain) clone() chain {
	n := chain{procs: append([]process(nil), c.procs...)}
	for _, l := range c.links {
		n.links = append(n.links, link{append([]word(nil), l.down...), append([]word(nil), l.up...)})
	}
	return n
}

func (c chain) events() (events []chainEvent) {
	last := len(c.procs) - 1
	if p := c.procs[last]; p.alive && len(c.procs) < mostProcesses {
		events = append(events, chainEvent{"start", last})
	}
	for i, p := range c.procs {
		if p.alive && (i < last || last == 0 || c.procs[max(last-1, 0)].alive) {
			events = append(events, chainEvent{"end", i})
		}
	}
	for i, l := range c.links {
		if len(l.down) > 0 {
			events = append(events, chainEvent{"down", i})
		}
		if len(l.up) > 0 {
			events = append(events, chainEvent{"up", i})
		}
	}
	return events
}

// told sends a process's part to its neighbours.
func (c *chain) told(i int, alsoDown bool) {
	if i > 0 {
		c.links[i-1].up = append(c.links[i-1].up, word{c.procs[i].Share(), c.procs[i].HasSuccessor()})
	}
	if alsoDown && i < len(c.links) {
		c.links[i].down = append(c.links[i].down, word{part: c.procs[i].Share()})
	}
}

var (
	errMore = errors.New("together they use more than the one sidecar may")
	errNone = errors.New("a process has nothing")
	errLost = errors.New("a part is lost for good")
)

func (c chain) step(e chainEvent) (chain, error) {
	n := c.clone()
	p := &n.procs[e.at]
	switch e.do {
	case "start":
		kept := p.Split()
		n.told(e.at, false)
		n.procs = append(n.procs, process{Division: SuccessorDivision(kept), alive: true})
		n.links = append(n.links, link{})
	case "end":
		p.alive = false
		if e.at > 0 {
			n.links[e.at-1].up = append(n.links[e.at-1].up, word{part: -1})
		}
		if e.at < len(n.links) {
			n.links[e.at].down = append(n.links[e.at].down, word{part: -1})
		}
	case "down", "up":
		l, to := &n.links[e.at], e.at+1
		queue := &l.down
		if e.do == "up" {
			queue, to = &l.up, e.at
		}
		part := (*queue)[0]
		*queue = (*queue)[1:]
		if q := &n.procs[to]; q.alive {
			n.hear(to, q, e.do == "down", part)
		}
	}
	sum := 0.0
	for _, p := range n.procs {
		if p.alive {
			if p.Share() <= 0 {
				return n, errNone
			}
			sum += p.Share()
		}
	}
	if sum > 1+1e-9 {
		return n, fmt.Errorf("%w: %v", errMore, sum)
	}
	return n, nil
}

func (c *chain) hear(at int, p *process, fromBefore bool, w word) {
	part := w.part
	before, handed := p.Share(), p.HasSuccessor()
	switch {
	case fromBefore && part < 0:
		p.PredecessorEnded()
	case fromBefore:
		p.SetPredecessorShare(part)
	case part < 0:
		p.SuccessorEnded()
	default:
		p.SetSuccessorShare(part, w.handed)
	}
	if p.Share() != before || p.HasSuccessor() != handed {
		c.told(at, true)
	}
}

// rest judges a state in which all has been told: where one process is left it
// has the whole.
func (c chain) rest() error {
	var alive []process
	for _, p := range c.procs {
		if p.alive {
			alive = append(alive, p)
		}
	}
	if len(alive) == 1 && math.Abs(alive[0].Share()-1) > 1e-9 && len(c.procs) <= 2 {
		return fmt.Errorf("%w: %v", errLost, alive[0].Share())
	}
	return nil
}

func TestDivisionExplored(t *testing.T) {
	model := explore.Model[chain, chainEvent]{
		Start:  chain{procs: []process{{Division: FullDivision(), alive: true}}},
		Events: chain.events,
		Step:   chain.step,
		Key:    func(c chain) string { return fmt.Sprintf("%+v", c) },
		Rest:   chain.rest,
		Most:   400_000, Depth: 14,
	}
	report, err := model.Explore(2)
	t.Log(report)
	if err != nil {
		t.Error(err)
	}
}
