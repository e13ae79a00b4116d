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

// Class states how requests of a class are recognized.
type Class struct {
	Name    string
	Paths   []string // prefixes of whole path segments
	Methods []string
}

// DefaultClass returns a class by the platform's convention: the path is the class name, and
// the methods follow from the effect.
func DefaultClass(name string, effect policy.Effect) Class {
	methods := []string{http.MethodPost}
	if effect == policy.Idempotent {
		methods = []string{http.MethodGet, http.MethodHead}
	}
	return Class{Name: name, Paths: []string{"/" + name}, Methods: methods}
}

// classSlot is a class at its index in the settings of the decision module. The rules of a slot
// never change while one of its requests is open.
type classSlot struct {
	name     string
	number   int
	rules    policy.Class
	open     atomic.Int64 // requests that have not ended
	counters *figures.Class
}

// Settings are the part of a service's configuration that may change at run time.
type Settings struct {
	Tenants []string // by index in Policy
	Classes []string // by index in Policy
	Policy  policy.Settings
}

// resolvedSettings are settings with the slots of their classes.
type resolvedSettings struct {
	tenants      []string
	policy       policy.Settings // classes by slot
	slots        []*classSlot    // by number
	classes      []*classSlot    // those in force, by position in the settings
	predecessors []int
}

// OpenRequests counts the open requests of all classes.
func (s *Service) OpenRequests() (n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slot := range s.settings.slots {
		n += int64(slot.open.Load())
	}
	return n
}

// resolveSettings assigns the classes of a service to slots, keeping the existing ones where
// possible.
func resolveSettings(oldSlots []*classSlot, active []*classSlot, set Settings, figs *figures.Figures) (*resolvedSettings, error) {
	previous := make([]retune.Slot, len(oldSlots))
	for i, p := range oldSlots {
		previous[i] = retune.Slot{Name: p.name, Rules: p.rules, Active: slices.Contains(active, p), OpenRequests: p.open.Load()}
	}
	var classes []retune.Class
	for i, name := range set.Classes {
		classes = append(classes, retune.Class{Name: name, Rules: set.Policy.Classes[i]})
	}
	plan, err := retune.NewPlan(previous, classes)
	if err != nil {
		return nil, err
	}
	resolved := &resolvedSettings{tenants: set.Tenants, policy: set.Policy, predecessors: plan.Predecessors}
	resolved.policy.Classes = nil
	for i, p := range plan.Table {
		reused := i < len(oldSlots) && oldSlots[i].name == p.Name && oldSlots[i].rules == p.Rules
		if reused {
			resolved.slots = append(resolved.slots, oldSlots[i])
		} else {
			resolved.slots = append(resolved.slots, &classSlot{name: p.Name, number: i, rules: p.Rules, counters: figs.Class(p.Name)})
		}
		resolved.policy.Classes = append(resolved.policy.Classes, p.Rules)
	}
	for _, slot := range plan.Slots {
		resolved.classes = append(resolved.classes, resolved.slots[slot])
	}
	return resolved, nil
}

// classNames are the names of the classes by slot, as contracts need them; "" for a slot that
// is not in force.
func (r *resolvedSettings) classNames() []string {
	names := make([]string, len(r.slots))
	for _, p := range r.classes {
		names[p.number] = p.name
	}
	return names
}

// SettingsUpdate is a validated change of a service's settings that has not been applied yet.
type SettingsUpdate struct {
	service  *Service
	settings *resolvedSettings
}

// PrepareSettings validates and prepares a change of the settings without applying it.
func (s *Service) PrepareSettings(set Settings) (*SettingsUpdate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	settings, err := resolveSettings(s.settings.slots, s.settings.classes, set, s.figures)
	if err == nil {
		_, err = policy.New(settings.policy, 0) // so that Apply has nothing to refuse
	}
	if err != nil {
		return nil, err
	}
	return &SettingsUpdate{s, settings}, nil
}

// ClassNames are the class names by slot, for contracts.
func (r *SettingsUpdate) ClassNames() []string { return r.settings.classNames() }

// Apply applies the change. Requests use it once a table that was made with it is in use. If it
// returns an error, nothing has changed.
func (r *SettingsUpdate) Apply() error {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	learned := learnt.Snapshot(s.now(), s.balancer)
	if err := s.balancer.Retune(r.settings.policy); err != nil {
		return err
	}
	learned.Apply(s.now(), s.balancer, r.settings.predecessors)
	s.settings = r.settings
	for i, m := range s.pools.moves {
		if m != nil { // its guards are indexed by class slot
			m.Configure(s.now(), s.withGuards(s.pools.plans[i]))
		}
	}
	return nil
}

// ClassNames are the names of the service's classes by slot, for contracts.
func (s *Service) ClassNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.classNames()
}

// deadline is the longest time that a client of the service may wait for an answer, under rules
// that are in force or that an open request still uses.
func (s *Service) deadline() (longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.settings.slots {
		if p.open.Load() > 0 || slices.Contains(s.settings.classes, p) {
			longest = max(longest, p.rules.Deadline)
		}
	}
	return longest
}
