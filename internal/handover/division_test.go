package handover

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"spokegw/internal/explore"
)

// chain models up to four processes, each the successor of the one before it, that end in any
// order. Share reports and the notice of an end arrive late, in order; the notice of an end is the
// last message.
type chain struct {
	procs []process
	links []link // the link between processes i and i+1
}

type process struct {
	Division
	alive bool
}

// link holds the messages in flight; a share of -1 means that the sender has ended.
type link struct{ down, up []shareMessage }

type shareMessage struct {
	share        float64
	hasSuccessor bool
}

type chainEvent struct {
	action string
	index  int
}

const maxProcesses = 4

func (c chain) clone() chain {
	n := chain{procs: append([]process(nil), c.procs...)}
	for _, l := range c.links {
		n.links = append(n.links, link{append([]shareMessage(nil), l.down...), append([]shareMessage(nil), l.up...)})
	}
	return n
}

func (c chain) events() (events []chainEvent) {
	last := len(c.procs) - 1
	if p := c.procs[last]; p.alive && len(c.procs) < maxProcesses {
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

// sendShare sends a process's share to its neighbours.
func (c *chain) sendShare(i int, toSuccessor bool) {
	if i > 0 {
		c.links[i-1].up = append(c.links[i-1].up, shareMessage{c.procs[i].Share(), c.procs[i].HasSuccessor()})
	}
	if toSuccessor && i < len(c.links) {
		c.links[i].down = append(c.links[i].down, shareMessage{share: c.procs[i].Share()})
	}
}

var (
	errOverLimit = errors.New("the shares sum to more than 1")
	errNoShare   = errors.New("a process has no share")
	errShareLost = errors.New("a share is lost for good")
)

func (c chain) step(e chainEvent) (chain, error) {
	n := c.clone()
	p := &n.procs[e.index]
	switch e.action {
	case "start":
		share := p.Split()
		n.sendShare(e.index, false)
		n.procs = append(n.procs, process{Division: SuccessorDivision(share), alive: true})
		n.links = append(n.links, link{})
	case "end":
		p.alive = false
		if e.index > 0 {
			n.links[e.index-1].up = append(n.links[e.index-1].up, shareMessage{share: -1})
		}
		if e.index < len(n.links) {
			n.links[e.index].down = append(n.links[e.index].down, shareMessage{share: -1})
		}
	case "down", "up":
		l, target := &n.links[e.index], e.index+1
		queue := &l.down
		if e.action == "up" {
			queue, target = &l.up, e.index
		}
		message := (*queue)[0]
		*queue = (*queue)[1:]
		if q := &n.procs[target]; q.alive {
			n.receive(target, q, e.action == "down", message)
		}
	}
	sum := 0.0
	for _, p := range n.procs {
		if p.alive {
			if p.Share() <= 0 {
				return n, errNoShare
			}
			sum += p.Share()
		}
	}
	if sum > 1+1e-9 {
		return n, fmt.Errorf("%w: %v", errOverLimit, sum)
	}
	return n, nil
}

func (c *chain) receive(index int, p *process, fromPredecessor bool, m shareMessage) {
	share := m.share
	before, hadSuccessor := p.Share(), p.HasSuccessor()
	switch {
	case fromPredecessor && share < 0:
		p.PredecessorEnded()
	case fromPredecessor:
		p.SetPredecessorShare(share)
	case share < 0:
		p.SuccessorEnded()
	default:
		p.SetSuccessorShare(share, m.hasSuccessor)
	}
	if p.Share() != before || p.HasSuccessor() != hadSuccessor {
		c.sendShare(index, true)
	}
}

// checkQuiescent checks a state without messages in flight: a process that is left alone has the
// whole.
func (c chain) checkQuiescent() error {
	var alive []process
	for _, p := range c.procs {
		if p.alive {
			alive = append(alive, p)
		}
	}
	if len(alive) == 1 && math.Abs(alive[0].Share()-1) > 1e-9 && len(c.procs) <= 2 {
		return fmt.Errorf("%w: %v", errShareLost, alive[0].Share())
	}
	return nil
}

func TestDivisionExplored(t *testing.T) {
	model := explore.Model[chain, chainEvent]{
		Start:  chain{procs: []process{{Division: FullDivision(), alive: true}}},
		Events: chain.events,
		Step:   chain.step,
		Key:    func(c chain) string { return fmt.Sprintf("%+v", c) },
		Rest:   chain.checkQuiescent,
		Most:   400_000, Depth: 14,
	}
	report, err := model.Explore(2)
	t.Log(report)
	if err != nil {
		t.Error(err)
	}
}
