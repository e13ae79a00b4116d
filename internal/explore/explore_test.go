package explore

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

var errBroken = errors.New("both are inside")

// door is two that want into one room. With the lock they look and enter in one
// step, without it in two.
type door struct{ at [2]int } // 0 outside, 1 has looked, 2 inside

func doors(lock bool) *Model[door, string] {
	return &Model[door, string]{
		Events: func(d door) (events []string) {
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
		Step: func(d door, e string) (door, error) {
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
				return d, errBroken
			}
			return d, nil
		},
		Key: func(d door) string { return fmt.Sprint(d.at) },
	}
}

// The shortest order that breaks the property is found, and is the same one with
// any number of workers; played again it breaks it again.
func TestCounterexample(t *testing.T) {
	want := []string{"0 looks", "1 looks", "0 enters", "1 enters"}
	for _, workers := range []int{1, 2, 7} {
		m := doors(false)
		_, err := m.Explore(workers)
		var c *Counterexample[string]
		if !errors.As(err, &c) || !errors.Is(err, errBroken) || !reflect.DeepEqual(c.Events, want) {
			t.Fatalf("%d workers: %v", workers, err)
		}
		if text := err.Error(); !strings.Contains(text, "  3. 0 enters\n") || !strings.HasSuffix(text, "then: both are inside") {
			t.Errorf("it reads:\n%s", text)
		}
		if _, err := Replay(m.Start, m.Step, c.Events); !errors.Is(err, errBroken) {
			t.Errorf("played again: %v", err)
		}
	}
	r, err := doors(true).Explore(2)
	if want := (Report{States: 3, Transitions: 4, Depth: 1, Whole: true}); err != nil || r != want {
		t.Errorf("with a lock: %v, %v", r, err)
	}
}

// grid counts to a number in each of some directions.
func grid(sides, length int) *Model[[4]int, int] {
	return &Model[[4]int, int]{
		Events: func(s [4]int) (events []int) {
			for i := range sides {
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

// States and transitions are as many as there are.
func TestCounts(t *testing.T) {
	for _, workers := range []int{1, 5} {
		r, err := grid(4, 5).Explore(workers)
		if want := (Report{States: 6 * 6 * 6 * 6, Transitions: 4 * 5 * 6 * 6 * 6, Depth: 20, Whole: true}); err != nil || r != want {
			t.Errorf("%v (%v), want %v", r, err, want)
		}
	}
}

// A bound ends the search, and the report says so.
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

// A state in which nothing can come any more is judged.
func TestRest(t *testing.T) {
	m := grid(2, 2)
	m.Rest = func(s [4]int) error {
		if s == [4]int{2, 2} {
			return errors.New("it ends here")
		}
		return nil
	}
	_, err := m.Explore(2)
	var c *Counterexample[int]
	if !errors.As(err, &c) || len(c.Events) != 4 {
		t.Errorf("%v", err)
	}
}
