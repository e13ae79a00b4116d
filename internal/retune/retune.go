// Package retune assigns the classes of new settings to slots of the decision module, which
// identifies classes by slot. It is pure.
//
// An open request keeps the rules it arrived under, so the rules of a slot never change while it
// has open requests: a changed class moves to another slot, and a removed one keeps its slot until
// its last request has ended.
package retune

import (
	"fmt"

	"spokegw/policy"
)

// Slot is an entry of the module's class table.
type Slot struct {
	Name         string
	Rules        policy.Class
	Active       bool  // new requests use it
	OpenRequests int64 // requests that have not ended
}

// Class is a class of the new settings.
type Class struct {
	Name  string
	Rules policy.Class
}

// Plan is the assignment of classes to slots.
type Plan struct {
	Slots        []int  // slot of each new class, by position in the settings
	Table        []Slot // the new table; OpenRequests are those of the old one
	Predecessors []int  // by new slot: the old slot to take the learnt state from, -1: none
}

// MaxSlots bounds the table.
const MaxSlots = 64

// NewPlan assigns slots to the classes of new settings. An unchanged class keeps its slot. A slot
// is reused only if it is not active and has no open requests. NewPlan fails if there are not
// enough slots.
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
	var changed []int
	seen := map[string]bool{}
	for i, c := range classes {
		if seen[c.Name] {
			return Plan{}, fmt.Errorf("class %.60q is defined twice", c.Name)
		}
		seen[c.Name] = true
		if slot, ok := byName[c.Name]; ok && old[slot].Rules == c.Rules {
			p.Slots[i], p.Table[slot].Active = slot, true
			continue
		}
		changed = append(changed, i)
	}
	free := 0
	for _, i := range changed {
		for free < len(old) && (old[free].Active || old[free].OpenRequests > 0) {
			free++
		}
		slot := free
		if free++; slot >= len(p.Table) {
			slot = len(p.Table)
			p.Table, p.Predecessors = append(p.Table, Slot{}), append(p.Predecessors, -1)
		}
		if slot >= MaxSlots {
			return Plan{}, fmt.Errorf("no free slot for class %.60q: all %d are active or have open requests", classes[i].Name, MaxSlots)
		}
		predecessor := -1
		if from, ok := byName[classes[i].Name]; ok {
			predecessor = from
		}
		p.Slots[i], p.Predecessors[slot] = slot, predecessor
		p.Table[slot] = Slot{Name: classes[i].Name, Rules: classes[i].Rules, Active: true}
	}
	return p, nil
}
