package explore

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

var errBothInside = errors.New("both are inside")

// mutexState is the state of two processes that compete for a critical section. With
// the lock the check and the entry are one atomic step, without it two.
type mutexState struct{ at [2]int } // 0 outside, 1 checked that it is free, 2 inside

func mutexModel(lock bool) *Model[mutexState, string] {
	return &Model[mutexState, string]{
		Events: func(d mutexState) (events []string) {
			for i, at := range d.at {
				free := d.at[1-i] < 2
				switch {
				case at == 0 && free:
					events = append(events, fmt.Sprint(i, " looks"))
				case at == 1:
					events = append(events, fmt.Sprint(i, " enters"))
				case at == 2:
					events = append(events, fmt.Sprint(i, " leaves"))
				}
			}
			return events
		},
		Step: func(d mutexState, e string) (mutexState, error) {
			i := int(e[0] - '0')
			switch {
			case strings.HasSuffix(e, "looks") && !lock:
				d.at[i] = 1
			case strings.HasSuffix(e, "leaves"):
				d.at[i] = 0
			default:
				d.at[i] = 2
			}
			if d.at == [2]int{2, 2} {
				return d, errBothInside
			}
			return d, nil
		},
		Key: func(d mutexState) string { return fmt.Sprint(d.at) },
	}
}

// The shortest violating sequence is found, it is the same for any number of
// workers, and replaying it violates the property again.
func TestCounterexample(t *testing.T) {
	want := []string{"0 looks", "1 looks", "0 enters", "1 enters"}
	for _, workers := range []int{1, 2, 7} {
		m := mutexModel(false)
		_, err := m.Explore(workers)
		var c *Counterexample[string]
		if !errors.As(err, &c) || !errors.Is(err, errBothInside) || !reflect.DeepEqual(c.Events, want) {
			t.Fatalf("%d workers: %v", workers, err)
		}
		if text := err.Error(); !strings.Contains(text, "  3. 0 enters\n") || !strings.HasSuffix(text, "then: both are inside") {
			t.Errorf("unexpected error text:\n%s", text)
		}
		if _, err := Replay(m.Start, m.Step, c.Events); !errors.Is(err, errBothInside) {
			t.Errorf("replay: got error %v", err)
		}
	}
	r, err := mutexModel(true).Explore(2)
	if want := (Report{States: 3, Transitions: 4, Depth: 1, Whole: true}); err != nil || r != want {
		t.Errorf("with a lock: %v, %v", r, err)
	}
}

// grid increments each of several counters up to length, in any order.
func grid(dimensions, length int) *Model[[4]int, int] {
	return &Model[[4]int, int]{
		Events: func(s [4]int) (events []int) {
			for i := range dimensions {
				if s[i] < length {
					events = append(events, i)
				}
			}
			return events
		},
		Step: func(s [4]int, e int) ([4]int, error) { s[e]++; return s, nil },
		Key:  func(s [4]int) string { return fmt.Sprint(s) },
	}
}

// Each state and each transition is counted exactly once.
func TestCounts(t *testing.T) {
	for _, workers := range []int{1, 5} {
		r, err := grid(4, 5).Explore(workers)
		if want := (Report{States: 6 * 6 * 6 * 6, Transitions: 4 * 5 * 6 * 6 * 6, Depth: 20, Whole: true}); err != nil || r != want {
			t.Errorf("%v (%v), want %v", r, err, want)
		}
	}
}

// A limit on states or depth ends the search, and the report is marked as incomplete.
func TestBounds(t *testing.T) {
	m := grid(3, 5)
	m.Most = 50
	if r, err := m.Explore(3); err != nil || r.States != 50 || r.Whole {
		t.Errorf("%v, %v", r, err)
	}
	m = grid(2, 5)
	m.Depth = 3
	if r, err := m.Explore(3); err != nil || r.States != 1+2+3+4 || r.Depth != 3 || r.Whole {
		t.Errorf("%v, %v", r, err)
	}
}

// Terminal states are passed to Rest.
func TestRest(t *testing.T) {
	m := grid(2, 2)
	m.Rest = func(s [4]int) error {
		if s == [4]int{2, 2} {
			return errors.New("terminal state rejected")
		}
		return nil
	}
	_, err := m.Explore(2)
	var c *Counterexample[int]
	if !errors.As(err, &c) || len(c.Events) != 4 {
		t.Errorf("%v", err)
	}
}
