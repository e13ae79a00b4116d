package budget

import (
	"errors"
	"fmt"
	"sort"
	"testing"

	"spokegw/internal/explore"
)

// Three parts that join, are weighed, take, give back and leave, in every order.
// The real budget is driven: a state is the events that led to it, taken anew.
type event struct {
	do   string
	part int
	n    int64
}

func (e event) String() string { return fmt.Sprintf("part %d: %s %d", e.part, e.do, e.n) }

type history struct{ events []event }

const (
	exploredTotal = 8
	exploredParts = 3
)

type world struct {
	budget *Budget
	parts  [exploredParts]*Partition
	gone   [exploredParts]bool
}

// replay takes the events, and checks after each what has to hold.
func replay(events []event) (*world, error) {
	w := &world{budget: New(exploredTotal)}
	for _, e := range events {
		if err := w.take(e); err != nil {
			return w, err
		}
	}
	return w, nil
}

var (
	errOver    = errors.New("more is in use than there is")
	errCounted = errors.New("what is counted is not what is in use")
	errGone    = errors.New("a part that has left keeps a reserve")
	errStarved = errors.New("a part is refused within its reserve although there is room")
)

func (w *world) take(e event) error {
	p := w.parts[e.part]
	switch e.do {
	case "joins":
		w.parts[e.part] = w.budget.Join(float64(e.n), nil)
	case "weighs":
		p.SetWeight(float64(e.n))
	case "leaves":
		p.Leave()
		w.gone[e.part] = true
	case "takes":
		used := w.used()
		if !p.TryAcquire(e.n) && p.used+e.n <= p.reserve && used+e.n <= exploredTotal {
			return errStarved
		}
	case "gives back":
		p.Release(e.n)
	}
	var claimed int64
	for i, p := range w.parts {
		if p != nil {
			claimed += max(p.used, p.reserve)
		}
		if w.gone[i] && p.reserve > 0 {
			return errGone
		}
	}
	switch {
	case w.used() > exploredTotal:
		return errOver
	case claimed != w.budget.claimed:
		return errCounted
	}
	return nil
}

func (w *world) used() (n int64) {
	for _, p := range w.parts {
		if p != nil {
			n += p.used
		}
	}
	return n
}

func (w *world) next() (events []event) {
	for i, p := range w.parts {
		if p == nil {
			events = append(events, event{"joins", i, 1})
			continue
		}
		if p.used > 0 {
			events = append(events, event{"gives back", i, 1})
		}
		if w.gone[i] {
			continue
		}
		events = append(events, event{"takes", i, 1}, event{"takes", i, 2}, event{"leaves", i, 0})
		if p.weight == 1 {
			events = append(events, event{"weighs", i, 3})
		}
	}
	return events
}

// key has what matters of a state; parts are alike, so their order does not.
func (w *world) key() string {
	parts := make([]string, len(w.parts))
	for i, p := range w.parts {
		if p != nil {
			parts[i] = fmt.Sprint(p.used, p.reserve, p.weight, w.gone[i])
		}
	}
	sort.Strings(parts)
	return fmt.Sprint(parts, w.budget.claimed, w.budget.used)
}

// In no order is more in use than there is, is anything counted that is not, or
// is a part refused what is its own while there is room.
func TestEveryOrder(t *testing.T) {
	m := &explore.Model[history, event]{
		Events: func(h history) []event {
			w, _ := replay(h.events)
			return w.next()
		},
		Step: func(h history, e event) (history, error) {
			h.events = append(h.events[:len(h.events):len(h.events)], e)
			_, err := replay(h.events)
			return h, err
		},
		Key: func(h history) string {
			w, _ := replay(h.events)
			return w.key()
		},
	}
	r, err := m.Explore(4)
	t.Log(r)
	if err != nil {
		t.Fatal(err)
	}
	if !r.Whole || r.States < 100 {
		t.Error("this is not all there is:", r)
	}
}
