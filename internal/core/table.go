package core

import (
	"fmt"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/route"
)

// Table is what requests are taken by: the services, and where paths lead. It
// does not change; another takes its place.
type Table struct {
	// Contracts tells that the operator has said what there is and who may ask
	// for it: what is not there is then 404, and not malformed.
	Contracts bool

	routes *route.Table
	mounts []Mount
}

// Mount is a service with how requests of its classes are known.
type Mount struct {
	*Service
	Classes []Class         // by position in the service's settings
	Update  *SettingsUpdate // the change of its settings that comes with the table; nil: none

	settled *settled
}

// entry is a class of a table.
type entry struct {
	*Class
	*place
}

func (m *Mount) entry(class int) entry { return entry{&m.Classes[class], m.settled.classes[class]} }

// NewTable makes a table of services. It is an error if two classes of them
// have a path in common, or one has a path that none can have.
func NewTable(contracts bool, mounts ...Mount) (*Table, error) {
	t := &Table{Contracts: contracts, routes: route.New(), mounts: mounts}
	for i := range mounts {
		m := &mounts[i]
		if m.Update != nil {
			m.settled = m.Update.to
		} else {
			m.Service.mu.Lock()
			m.settled = m.Service.settled
			m.Service.mu.Unlock()
		}
		if len(m.Classes) != len(m.settled.classes) {
			return nil, fmt.Errorf("%d classes are named and %d described", len(m.Classes), len(m.settled.classes))
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

// MaxDeadline is the longest that a client of any class waits for an answer.
func (c *Core) MaxDeadline() (longest time.Duration) {
	for _, s := range c.table.Load().mounts {
		longest = max(longest, s.Service.deadline())
	}
	return longest
}

// SetTableAndTerms puts a table in place together with the contracts of its services,
// by their order in it. No service decides anything while that is done.
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
