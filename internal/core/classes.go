package core

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"spokegw/internal/figures"
	"spokegw/internal/learnt"
	"spokegw/internal/retune"
	"spokegw/policy"
)

// Class is how requests of a class are known.
type Class struct {
	Name    string
	Paths   []string // prefixes of whole segments
	Methods []string
}

// DefaultClass is a class as the platform has it: its path is its name, and its
// method follows from its effect.
func DefaultClass(name string, effect policy.Effect) Class {
	methods := []string{http.MethodPost}
	if effect == policy.Idempotent {
		methods = []string{http.MethodGet, http.MethodHead}
	}
	return Class{Name: name, Paths: []string{"/" + name}, Methods: methods}
}

// place is a class in its place of the module's settings. Its rules never
// change while a request of it is open.
type place struct {
	name   string
	number int
	rules  policy.Class
	open   atomic.Int64 // requests that have not ended
	count  *figures.Class
}

// Settings are what may change in a service that runs.
type Settings struct {
	Tenants []string // names, by position in Policy
	Classes []string // names, by position in Policy
	Policy  policy.Settings
}

// settled are settings with the places of their classes.
type settled struct {
	tenants []string
	policy  policy.Settings // classes by place
	places  []*place        // by number
	classes []*place        // those in force, by position in the settings
	heirs   []int
}

// settle finds the places of a service's classes, beside those there are.
func settle(old []*place, inForce []*place, set Settings, figs *figures.Figures) (*settled, error) {
	before := make([]retune.Slot, len(old))
	for i, p := range old {
		before[i] = retune.Slot{Name: p.name, Rules: p.rules, Active: slices.Contains(inForce, p), OpenRequests: p.open.Load()}
	}
	var classes []retune.Class
	for i, name := range set.Classes {
		classes = append(classes, retune.Class{Name: name, Rules: set.Policy.Classes[i]})
	}
	plan, err := retune.NewPlan(before, classes)
	if err != nil {
		return nil, err
	}
	n := &settled{tenants: set.Tenants, policy: set.Policy, heirs: plan.Predecessors}
	n.policy.Classes = nil
	for i, p := range plan.Table {
		kept := i < len(old) && old[i].name == p.Name && old[i].rules == p.Rules
		if kept {
			n.places = append(n.places, old[i])
		} else {
			n.places = append(n.places, &place{name: p.Name, number: i, rules: p.Rules, count: figs.Class(p.Name)})
		}
		n.policy.Classes = append(n.policy.Classes, p.Rules)
	}
	for _, at := range plan.Slots {
		n.classes = append(n.classes, n.places[at])
	}
	return n, nil
}

// Names are the names of the classes by place: "" where none is in force, as
// contracts are to know them.
func (n *settled) names() []string {
	names := make([]string, len(n.places))
	for _, p := range n.classes {
		names[p.number] = p.name
	}
	return names
}

// SettingsUpdate is a change of a service's settings that can be made.
type SettingsUpdate struct {
	service *Service
	to      *settled
}

// PrepareSettings prepares a change; it changes nothing.
func (s *Service) PrepareSettings(set Settings) (*SettingsUpdate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := settle(s.settled.places, s.settled.classes, set, s.figures)
	if err != nil {
		return nil, err
	}
	return &SettingsUpdate{s, n}, nil
}

// ClassNames are the names of the classes by place, for contracts.
func (r *SettingsUpdate) ClassNames() []string { return r.to.names() }

// Apply makes the change. Requests come by it once a table that was made with it
// is in use. On an error nothing has changed.
func (r *SettingsUpdate) Apply() error {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	known := learnt.Snapshot(s.now(), s.balancer)
	if err := s.balancer.Retune(r.to.policy); err != nil {
		return err
	}
	known.Apply(s.now(), s.balancer, r.to.heirs)
	s.settled = r.to
	for i, m := range s.pools.moves {
		if m != nil { // its guards go by the classes' places
			m.Configure(s.now(), s.guarded(s.pools.plans[i]))
		}
	}
	return nil
}

// ClassNames are the names of the service's classes by place, for contracts.
func (s *Service) ClassNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settled.names()
}

// deadline is the longest that a client of the service may wait for an answer,
// by rules that are in force or that a request is open under.
func (s *Service) deadline() (longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.settled.places {
		if p.open.Load() > 0 || slices.Contains(s.settled.classes, p) {
			longest = max(longest, p.rules.Deadline)
		}
	}
	return longest
}
