// Package explore is an explicit-state model checker: it searches every order of
// events of a small system for one that violates a property. It drives the
// production code, not a model of it: a system provides a state, the events that
// are enabled in it, and a step function.
//
// The search is breadth first, so the first counterexample is a shortest one.
// States with equal keys are expanded once. The result and the counts do not
// depend on the number of workers.
package explore

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"sync"
)

// Model is a system to explore. Its functions may be called by several
// goroutines at once, and must not modify the states passed to them.
type Model[S, E any] struct {
	Start  S
	Events func(S) []E           // events enabled in a state, in a deterministic order
	Step   func(S, E) (S, error) // an error reports a violated property
	// Key is equal for states with the same possible futures. It may omit only what
	// has no influence on them; including too much costs only time.
	Key func(S) string
	// Rest checks a terminal state, one with no enabled events; nil accepts all.
	Rest func(S) error
	// Most limits the number of states, Depth the length of a sequence of events;
	// 0: no limit. Once a limit is reached the report is marked as incomplete.
	Most, Depth int
}

// Report summarizes how much of the state space was explored.
type Report struct {
	States, Transitions, Depth int
	Whole                      bool // the search was exhaustive
}

func (r Report) String() string {
	coverage := "search complete"
	if !r.Whole {
		coverage = "search incomplete"
	}
	return fmt.Sprintf("%d states, %d transitions, %d events deep, %s", r.States, r.Transitions, r.Depth, coverage)
}

// Counterexample is a shortest sequence of events that violates a property.
type Counterexample[E any] struct {
	Events []E
	Err    error
}

func (c *Counterexample[E]) Error() string {
	var text strings.Builder
	for i, e := range c.Events {
		fmt.Fprintf(&text, "%3d. %v\n", i+1, e)
	}
	return fmt.Sprintf("%sthen: %v", text.String(), c.Err)
}

// Unwrap returns the error of the violated property.
func (c *Counterexample[E]) Unwrap() error { return c.Err }

// origin records how a state was first reached: from which state, by which event.
type origin struct{ parent, event int32 }

type frontierState[S any] struct {
	id    int32
	state S
}

type successor[S any] struct {
	state S
	key   [sha256.Size]byte
	err   error
}

// Explore searches the state space with the given number of workers. The error is
// a *Counterexample[E].
func (m *Model[S, E]) Explore(workers int) (Report, error) {
	r := Report{States: 1}
	seen := map[[sha256.Size]byte]struct{}{sha256.Sum256([]byte(m.Key(m.Start))): {}}
	origins := []origin{{-1, -1}}
	level := []frontierState[S]{{0, m.Start}}
	for len(level) > 0 {
		if m.Depth > 0 && r.Depth == m.Depth {
			return r, nil
		}
		found := m.expand(level, workers)
		var nextLevel []frontierState[S]
		for i, successors := range found {
			if len(successors) == 0 && m.Rest != nil {
				if err := m.Rest(level[i].state); err != nil {
					return r, m.trace(origins, level[i].id, -1, err)
				}
			}
			for e, n := range successors {
				r.Transitions++
				if n.err != nil {
					return r, m.trace(origins, level[i].id, e, n.err)
				}
				if _, known := seen[n.key]; known {
					continue
				}
				if m.Most > 0 && r.States == m.Most {
					return r, nil
				}
				seen[n.key] = struct{}{}
				nextLevel = append(nextLevel, frontierState[S]{int32(len(origins)), n.state})
				origins = append(origins, origin{level[i].id, int32(e)})
				r.States++
			}
		}
		if level = nextLevel; len(level) > 0 {
			r.Depth++
		}
	}
	r.Whole = true
	return r, nil
}

// expand computes all successors of a level. The i-th result belongs to its i-th state.
func (m *Model[S, E]) expand(level []frontierState[S], workers int) [][]successor[S] {
	found := make([][]successor[S], len(level))
	var wg sync.WaitGroup
	for w := range max(workers, 1) {
		wg.Go(func() {
			for i := w; i < len(level); i += max(workers, 1) {
				for _, e := range m.Events(level[i].state) {
					s, err := m.Step(level[i].state, e)
					n := successor[S]{state: s, err: err}
					if err == nil {
						n.key = sha256.Sum256([]byte(m.Key(s)))
					}
					found[i] = append(found[i], n)
				}
			}
		})
	}
	wg.Wait()
	return found
}

// trace builds the counterexample that ends with the given event in the state id;
// with event -1 it ends in the state itself.
func (m *Model[S, E]) trace(origins []origin, id int32, event int, err error) error {
	var choices []int32
	if event >= 0 {
		choices = append(choices, int32(event))
	}
	for ; origins[id].parent >= 0; id = origins[id].parent {
		choices = append(choices, origins[id].event)
	}
	c := &Counterexample[E]{Err: err}
	s := m.Start
	for i := len(choices) - 1; i >= 0; i-- {
		e := m.Events(s)[choices[i]]
		c.Events = append(c.Events, e)
		if s, err = m.Step(s, e); err != nil {
			break
		}
	}
	return c
}

// Replay applies events in order and returns the first error, so that a
// counterexample can become an ordinary regression test.
func Replay[S, E any](start S, step func(S, E) (S, error), events []E) (S, error) {
	s := start
	for i, e := range events {
		var err error
		if s, err = step(s, e); err != nil {
			return s, fmt.Errorf("event %d, %v: %w", i+1, e, err)
		}
	}
	return s, nil
}
