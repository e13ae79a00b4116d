package sidecar

import (
	"slices"
	"sync"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/handover"
	"spokegw/internal/keyed"
)

// keyGroup is the services of one name in this process: the one in force, and those that it has
// replaced and that have open requests. What one of them sends for a key the others know before it is
// sent, so that a repeat goes where it is dropped, whichever service it comes to.
type keyGroup struct {
	mu         sync.Mutex
	members    []*core.Service
	departed   []keyed.Note // what the last member knew when it left
	departedAt time.Time
}

// join adds a service, which learns what the last member knew. It must be called before the first
// request to it.
func (g *keyGroup) join(service *core.Service) {
	g.mu.Lock()
	departed, age := g.departed, time.Since(g.departedAt)
	g.members, g.departed = append(g.members, service), nil
	g.mu.Unlock()
	for _, n := range departed {
		if n.Left > age {
			n.Age, n.Left = n.Age+age, n.Left-age
			service.AdoptKey(n)
		}
	}
}

// leave removes a service that has no open requests.
func (g *keyGroup) leave(service *core.Service) {
	known := service.Snapshot(handover.MaxKeys).Keys
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = slices.DeleteFunc(g.members, func(m *core.Service) bool { return m == service })
	if len(g.members) == 0 {
		g.departed, g.departedAt = known, time.Now()
	}
}

// isOver reports whether nothing is left to be known.
func (g *keyGroup) isOver() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	age := time.Since(g.departedAt)
	return len(g.members) == 0 && !slices.ContainsFunc(g.departed, func(n keyed.Note) bool { return n.Left > age })
}

// hasOthers reports whether there is a member besides one.
func (g *keyGroup) hasOthers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members) > 1
}

// publish has all members but one know of a key; nil: all.
func (g *keyGroup) publish(from *core.Service, n keyed.Note) {
	g.mu.Lock()
	members := slices.Clone(g.members)
	g.mu.Unlock()
	for _, m := range members {
		if m != from {
			m.AdoptKey(n)
		}
	}
}

// keyGroup returns the group of a name. The caller holds s.mu, or is alone.
func (s *Sidecar) keyGroup(ref handover.ServiceRef) *keyGroup {
	g := s.keyGroups[ref]
	if g == nil {
		g = &keyGroup{}
		s.keyGroups[ref] = g
	}
	return g
}
