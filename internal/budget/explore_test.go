package budget

import (
	"errors"
	"fmt"
	"sort"
	"testing"

	"spokegw/internal/explore"
)

// The model drives a real budget: three partitions join, change their weights, acquire, release
// and leave, in every order. A state is the sequence of events that leads to it, which is
// replayed.
type event struct {
	action    string
	partition int
	n         int64
}

func (e event) String() string { return fmt.Sprintf("part %d: %s %d", e.partition, e.action, e.n) }

type trace struct{ events []event }

const (
	exploredTotal      = 8
	exploredPartitions = 3
)

type model struct {
	budget     *Budget
	partitions [exploredPartitions]*Partition
	left       [exploredPartitions]bool
}

// replay applies the events, and checks the invariants after each.
func replay(events []event) (*model, error) {
	m := &model{budget: New(exploredTotal)}
	for _, e := range events {
		if err := m.apply(e); err != nil {
			return m, err
		}
	}
	return m, nil
}

var (
	errOver    = errors.New("more is in use than there is")
	errCounted = errors.New("what is counted is not what is in use")
	errLeft    = errors.New("a part that has left keeps a reserve")
	errStarved = errors.New("a part is refused within its reserve although there is room")
)

func (m *model) apply(e event) error {
	p := m.partitions[e.partition]
	switch e.action {
	case "joins":
		m.partitions[e.partition] = m.budget.Join(float64(e.n), nil)
	case "weighs":
		p.SetWeight(float64(e.n))
	case "leaves":
		p.Leave()
		m.left[e.partition] = true
	case "takes":
		used := m.used()
		if !p.TryAcquire(e.n) && p.used+e.n <= p.reserve && used+e.n <= exploredTotal {
			return errStarved
		}
	case "gives back":
		p.Release(e.n)
	}
	var committed int64
	for i, p := range m.partitions {
		if p != nil {
			committed += max(p.used, p.reserve)
		}
		if m.left[i] && p.reserve > 0 {
			return errLeft
		}
	}
	switch {
	case m.used() > exploredTotal:
		return errOver
	case committed != m.budget.committed:
		return errCounted
	}
	return nil
}

func (m *model) used() (n int64) {
	for _, p := range m.partitions {
		if p != nil {
			n += p.used
		}
	}
	return n
}

func (m *model) possibleEvents() (events []event) {
	for i, p := range m.partitions {
		if p == nil {
			events = append(events, event{"joins", i, 1})
			continue
		}
		if p.used > 0 {
			events = append(events, event{"gives back", i, 1})
		}
		if m.left[i] {
			continue
		}
		events = append(events, event{"takes", i, 1}, event{"takes", i, 2}, event{"leaves", i, 0})
		if p.weight == 1 {
			events = append(events, event{"weighs", i, 3})
		}
	}
	return events
}

// key contains what distinguishes states; partitions are interchangeable, so their order is not
// part of it.
func (m *model) key() string {
	partitions := make([]string, len(m.partitions))
	for i, p := range m.partitions {
		if p != nil {
			partitions[i] = fmt.Sprint(p.used, p.reserve, p.weight, m.left[i])
		}
	}
	sort.Strings(partitions)
	return fmt.Sprint(partitions, m.budget.committed, m.budget.used)
}

// In no order of events are more units in use than the total, are units counted that are not in
// use, or is a partition refused free units of its reserve.
func TestEveryOrder(t *testing.T) {
	m := &explore.Model[trace, event]{
		Events: func(tr trace) []event {
			m, _ := replay(tr.events)
			return m.possibleEvents()
		},
		Step: func(tr trace, e event) (trace, error) {
			tr.events = append(tr.events[:len(tr.events):len(tr.events)], e)
			_, err := replay(tr.events)
			return tr, err
		},
		Key: func(tr trace) string {
			m, _ := replay(tr.events)
			return m.key()
		},
	}
	r, err := m.Explore(4)
	t.Log(r)
	if err != nil {
		t.Fatal(err)
	}
	if !r.Whole || r.States < 100 {
		t.Error("the exploration is incomplete:", r)
	}
}
