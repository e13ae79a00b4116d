package core

import (
	"fmt"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/route"
)

// Table is the immutable routing table for requests: the services, and the classes of paths.
type Table struct {
	// Contracts states that an operator has configured all services and who may use them: an
	// unknown path is then answered with 404 instead of 400.
	Contracts bool

	routes *route.Table
	mounts []Mount
}

// Mount is a service together with the paths and methods of its classes.
type Mount struct {
	*Service
	Classes []Class         // by index in the service's settings
	Update  *SettingsUpdate // the change of its settings that belongs to the table; nil: none

	settings *resolvedSettings
}

// tableClass is a class of a table.
type tableClass struct {
	*Class
	*classSlot
}

func (m *Mount) class(class int) tableClass {
	return tableClass{&m.Classes[class], m.settings.classes[class]}
}

// NewTable makes a table of services. It returns an error if two classes have a path in common
// or a path is not valid.
func NewTable(contracts bool, mounts ...Mount) (*Table, error) {
	t := &Table{Contracts: contracts, routes: route.New(), mounts: mounts}
	for i := range mounts {
		m := &mounts[i]
		if m.Update != nil {
			m.settings = m.Update.settings
		} else {
			m.Service.mu.Lock()
			m.settings = m.Service.settings
			m.Service.mu.Unlock()
		}
		if len(m.Classes) != len(m.settings.classes) {
			return nil, fmt.Errorf("%d class names for %d class settings", len(m.Classes), len(m.settings.classes))
		}
		for j, c := range m.Classes {
			for _, p := range c.Paths {
				if err := t.routes.Add(p, route.Destination{Service: i, Class: j}); err != nil {
					return nil, fmt.Errorf("class %q: %w", c.Name, err)
				}
			}
		}
	}
	return t, nil
}

// MaxDeadline is the longest time that a client of any class waits for an answer.
func (c *Core) MaxDeadline() (longest time.Duration) {
	for _, s := range c.table.Load().mounts {
		longest = max(longest, s.Service.deadline())
	}
	return longest
}

// SetTableAndTerms replaces the table together with the contracts of its services, which are in
// the same order. No service makes a decision in between.
func (c *Core) SetTableAndTerms(t *Table, terms []broker.Terms) {
	for _, s := range t.mounts {
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	for i, s := range t.mounts {
		s.setTerms(terms[i])
	}
	c.SetTable(t)
}
