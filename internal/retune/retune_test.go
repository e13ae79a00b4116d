package retune

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spokegw/policy"
)

// A fixed seed makes the result reproducible; use -rapid.seed=N for other sequences.
func init() { flag.Set("rapid.seed", "1") }

// Settings change at random while requests begin and end: the rules of a slot never change while
// it has open requests, each class has one slot with its rules, and the table grows no further
// than active, previous and open classes need.
func TestSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table []Slot
		maxLen := 0
		class := rapid.Custom(func(t *rapid.T) Class {
			return Class{
				Name:  fmt.Sprint("c", rapid.IntRange(0, 4).Draw(t, "name")),
				Rules: policy.Class{Deadline: time.Duration(rapid.IntRange(1, 3).Draw(t, "deadline")), Effect: policy.Effect(rapid.IntRange(0, 2).Draw(t, "effect"))},
			}
		})
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				classes := rapid.SliceOfNDistinct(class, 1, 4, func(c Class) string { return c.Name }).Draw(t, "classes")
				p, err := NewPlan(table, classes)
				if err != nil {
					t.Fatal(err)
				}
				for i, old := range table {
					if (old.OpenRequests > 0 || old.Active) && p.Table[i].Rules != old.Rules {
						t.Fatalf("slot %d changes from %+v to %+v", i, old, p.Table[i])
					}
				}
				active := 0
				for i, slot := range p.Slots {
					if got := p.Table[slot]; got.Name != classes[i].Name || got.Rules != classes[i].Rules || !got.Active {
						t.Fatalf("class %+v is assigned to slot %+v", classes[i], got)
					}
				}
				for i, q := range p.Table {
					if q.Active {
						active++
					}
					if h := p.Predecessors[i]; h >= len(table) || h >= 0 && table[h].Name != q.Name {
						t.Fatalf("slot %d of class %q has predecessor %d", i, q.Name, h)
					}
				}
				if active != len(classes) {
					t.Fatalf("%d classes are active, want %d", active, len(classes))
				}
				table = p.Table
				maxLen = max(maxLen, len(table))
			},
			"open": func(t *rapid.T) {
				for i := range table {
					if table[i].Active {
						table[i].OpenRequests++
						return
					}
				}
			},
			"end": func(t *rapid.T) {
				for i := range table {
					table[i].OpenRequests = max(table[i].OpenRequests-1, 0)
				}
			},
			"": func(t *rapid.T) {
				if maxLen > MaxSlots {
					t.Fatal(maxLen)
				}
			},
		})
	})
}

// Without open requests, repeated changes use two slots per class.
func TestBoundedTable(t *testing.T) {
	var table []Slot
	for i := range 200 {
		p, err := NewPlan(table, []Class{{"a", policy.Class{Deadline: time.Duration(i + 1)}}, {"b", policy.Class{Deadline: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		table = p.Table
	}
	if len(table) > 4 {
		t.Errorf("the table has %d slots, want at most 4", len(table))
	}
}

func TestNoFreeSlot(t *testing.T) {
	var table []Slot
	for i := range MaxSlots {
		table = append(table, Slot{Name: fmt.Sprint(i), OpenRequests: 1})
	}
	if _, err := NewPlan(table, []Class{{Name: "one more"}}); err == nil {
		t.Error("a slot is found although all are in use")
	}
	if _, err := NewPlan(nil, []Class{{Name: "a"}, {Name: "a"}}); err == nil {
		t.Error("a class may be defined twice")
	}
}
