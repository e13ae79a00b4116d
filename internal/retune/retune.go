// Package retune decides where the classes of new settings stand in the decision
// module, which knows classes by their places. It is pure.
//
// Requests that are open keep the rules that they came under, so a place never
// changes its rules while one of it is open: a class that changes moves to
// another place, and one that is dropped stays in its own until the last of its
// requests has ended.
package retune

import (
	"fmt"

	"spokegw/policy"
)

// Slot is a place of the module's table.
type Slot struct {
	Name         string
	Rules        policy.Class
	Active       bool  // new requests come to it
	OpenRequests int64 // requests of it that have not ended
}

// Class is a class of the new settings.
type Class struct {
	Name  string
	Rules policy.Class
}

// Plan is where the classes stand.
type Plan struct {
	Slots        []int  // of each new class, by position in the settings
	Table        []Slot // as it will be; Open is that of the old one
	Predecessors []int  // by new place: the old place that knows the class best, -1: none
}

// MaxSlots bounds the table.
const MaxSlots = 64

// NewPlan places the classes of new settings. A class that is the same keeps its
// place. Places are taken anew only if nothing comes to them and nothing of them
// is open. It is an error if there are not enough.
func NewPlan(old []Slot, classes []Class) (Plan, error) {
	p := Plan{Slots: make([]int, len(classes)), Table: make([]Slot, len(old)), Predecessors: make([]int, len(old))}
	byName := map[string]int{}
	for i, o := range old {
		p.Table[i], p.Predecessors[i] = o, i
		p.Table[i].Active = false
		if o.Active {
			byName[o.Name] = i
		}
	}
	var moved []int
	seen := map[string]bool{}
	for i, c := range classes {
		if seen[c.Name] {
			return Plan{}, fmt.Errorf("the class %.60q is there twice", c.Name)
		}
		seen[c.Name] = true
		if at, ok := byName[c.Name]; ok && old[at].Rules == c.Rules {
			p.Slots[i], p.Table[at].Active = at, true
			continue
		}
		moved = append(moved, i)
	}
	free := 0
	for _, i := range moved {
		for free < len(old) && (old[free].Active || old[free].OpenRequests > 0) {
			free++
		}
		at := free
		if free++; at >= len(p.Table) {
			at = len(p.Table)
			p.Table, p.Predecessors = append(p.Table, Slot{}), append(p.Predecessors, -1)
		}
		if at >= MaxSlots {
			return Plan{}, fmt.Errorf("no place is left for the class %.60q: %d are in use by classes that have requests open still", classes[i].Name, MaxSlots)
		}
		heir := -1
		if from, ok := byName[classes[i].Name]; ok {
			heir = from
		}
		p.Slots[i], p.Predecessors[at] = at, heir
		p.Table[at] = Slot{Name: classes[i].Name, Rules: classes[i].Rules, Active: true}
	}
	return p, nil
}
