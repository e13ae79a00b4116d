package retune

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spokegw/policy"
)

// The same verdict every time; another course is tried with -rapid.seed=N.
func init() { flag.Set("rapid.seed", "1") }

// Settings change at random while requests come and end: a place never changes
// its rules while one of it is open, each class has one place with its rules, and
// the table does not grow beyond what is in force, was before, or is open.
func TestPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table []Slot
		most := 0
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
						t.Fatalf("place %d changes from %+v to %+v", i, old, p.Table[i])
					}
				}
				inForce := 0
				for i, at := range p.Slots {
					if got := p.Table[at]; got.Name != classes[i].Name || got.Rules != classes[i].Rules || !got.Active {
						t.Fatalf("%+v is at %+v", classes[i], got)
					}
				}
				for i, q := range p.Table {
					if q.Active {
						inForce++
					}
					if h := p.Predecessors[i]; h >= len(table) || h >= 0 && table[h].Name != q.Name {
						t.Fatalf("place %d of %q learns from %d", i, q.Name, h)
					}
				}
				if inForce != len(classes) {
					t.Fatalf("%d classes are in force, %d are expected", inForce, len(classes))
				}
				table = p.Table
				most = max(most, len(table))
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
				if most > MaxSlots {
					t.Fatal(most)
				}
			},
		})
	})
}

// With nothing open, changes without end take two places for each class.
func TestNoGrowth(t *testing.T) {
	var table []Slot
	for i := range 200 {
		p, err := NewPlan(table, []Class{{"a", policy.Class{Deadline: time.Duration(i + 1)}}, {"b", policy.Class{Deadline: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		table = p.Table
	}
	if len(table) > 4 {
		t.Errorf("%d places", len(table))
	}
}

func TestNoPlaceLeft(t *testing.T) {
	var table []Slot
	for i := range MaxSlots {
		table = append(table, Slot{Name: fmt.Sprint(i), OpenRequests: 1})
	}
	if _, err := NewPlan(table, []Class{{Name: "one more"}}); err == nil {
		t.Error("a place is found where all are in use")
	}
	if _, err := NewPlan(nil, []Class{{Name: "a"}, {Name: "a"}}); err == nil {
		t.Error("a class may be there twice")
	}
}
