// Package explore goes through every order of events that a small system may
// meet, and looks for one that breaks a property. It drives the code that runs,
// not a copy of it: what it needs of a system is a state, the events that may
// come next, and a step.
//
// The search is breadth first, so the first order found is a shortest one. States
// that are alike by their key are gone through once. What it finds, and how it
// counts, does not depend on the number of workers.
package explore

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"sync"
)

// Model is a system to be explored. Its functions may be called by several
// goroutines at once, and must not change the states that they are given.
type Model[S, E any] struct {
	Start  S
	Events func(S) []E           // that may come next, always in the same order
	Step   func(S, E) (S, error) // an error tells that a property is broken
	// Key is alike for states from which the same can follow. What it leaves out
	// must not matter; what it has too much costs time alone.
	Key func(S) string
	// Rest judges a state in which nothing can come any more; nil: all may rest.
	Rest func(S) error
	// Most bounds the states, Depth the events in a row; 0: no bound. With either
	// reached the report says that not all was gone through.
	Most, Depth int
}

// Report is what was gone through.
type Report struct {
	States, Transitions, Depth int
	Whole                      bool // there is no more
}

func (r Report) String() string {
	part := "all of it"
	if !r.Whole {
		part = "not all of it"
	}
	return fmt.Sprintf("%d states, %d transitions, %d events deep, %s", r.States, r.Transitions, r.Depth, part)
}

// Counterexample is a shortest order of events that breaks a property.
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

// Unwrap is the property that is broken.
func (c *Counterexample[E]) Unwrap() error { return c.Err }

// came is how a state was first reached.
type came struct{ from, event int32 }

type live[S any] struct {
	id    int32
	state S
}

type next[S any] struct {
	state S
	key   [sha256.Size]byte
	err   error
}

// Explore goes through the model with so many workers. The error is a
// *Counterexample[E].
func (m *Model[S, E]) Explore(workers int) (Report, error) {
	r := Report{States: 1}
	seen := map[[sha256.Size]byte]struct{}{sha256.Sum256([]byte(m.Key(m.Start))): {}}
	path := []came{{-1, -1}}
	level := []live[S]{{0, m.Start}}
	for len(level) > 0 {
		if m.Depth > 0 && r.Depth == m.Depth {
			return r, nil
		}
		found := m.expand(level, workers)
		var deeper []live[S]
		for i, nexts := range found {
			if len(nexts) == 0 && m.Rest != nil {
				if err := m.Rest(level[i].state); err != nil {
					return r, m.trace(path, level[i].id, -1, err)
				}
			}
			for e, n := range nexts {
				r.Transitions++
				if n.err != nil {
					return r, m.trace(path, level[i].id, e, n.err)
				}
				if _, known := seen[n.key]; known {
					continue
				}
				if m.Most > 0 && r.States == m.Most {
					return r, nil
				}
				seen[n.key] = struct{}{}
				deeper = append(deeper, live[S]{int32(len(path)), n.state})
				path = append(path, came{level[i].id, int32(e)})
				r.States++
			}
		}
		if level = deeper; len(level) > 0 {
			r.Depth++
		}
	}
	r.Whole = true
	return r, nil
}

// expand takes every step out of a level. The i-th result is of its i-th state.
func (m *Model[S, E]) expand(level []live[S], workers int) [][]next[S] {
	found := make([][]next[S], len(level))
	var working sync.WaitGroup
	for w := range max(workers, 1) {
		working.Go(func() {
			for i := w; i < len(level); i += max(workers, 1) {
				for _, e := range m.Events(level[i].state) {
					s, err := m.Step(level[i].state, e)
					n := next[S]{state: s, err: err}
					if err == nil {
						n.key = sha256.Sum256([]byte(m.Key(s)))
					}
					found[i] = append(found[i], n)
				}
			}
		})
	}
	working.Wait()
	return found
}

// trace is the counterexample that ends with an event in a state; -1: with none.
func (m *Model[S, E]) trace(path []came, id int32, event int, err error) error {
	var chosen []int32
	if event >= 0 {
		chosen = append(chosen, int32(event))
	}
	for ; path[id].from >= 0; id = path[id].from {
		chosen = append(chosen, path[id].event)
	}
	c := &Counterexample[E]{Err: err}
	s := m.Start
	for i := len(chosen) - 1; i >= 0; i-- {
		e := m.Events(s)[chosen[i]]
		c.Events = append(c.Events, e)
		if s, err = m.Step(s, e); err != nil {
			break
		}
	}
	return c
}

// Replay takes events one after the other and returns the first error, so that a
// counterexample can be kept as an ordinary test.
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
