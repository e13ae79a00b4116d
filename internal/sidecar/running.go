package sidecar

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"spokegw/internal/budget"
	"spokegw/internal/core"
	"spokegw/internal/discovery"
	"spokegw/internal/handover"
	"spokegw/internal/keyed"
	"spokegw/internal/operator"
	"spokegw/internal/upstream"
	"spokegw/internal/wire"
	"spokegw/policy"
)

// running is a service with what keeps it going.
type running struct {
	definition operator.Service
	of         handover.ServiceRef // its name to another process
	service    *core.Service
	upgrade    *upgrade
	pool       *upstream.Pool
	watcher    *discovery.Watcher // nil: the endpoints stand in the file
	known      []discovery.Entry  // that it begins with
	way        discovery.Mode     // to its registry
	parts      []*budget.Partition
	watches    *budget.Partition // holds the descriptor of a registry's watch; nil: it has none of its own
	started    bool
	stop       context.CancelFunc
}

func holds(all []*running, r *running) bool { return slices.Contains(all, r) }

// discard gives up the services that were made and are not among those kept.
func discard(made, kept []*running) {
	for _, r := range made {
		if !holds(kept, r) {
			r.retire()
		}
	}
}

// standing is the service that a definition stands for already. Its list of
// endpoints, its weight, paths and methods may be others.
func (s *Sidecar) standing(d *operator.Service) *running {
	for _, r := range s.services {
		if d.Platform && r.definition.Platform || same(r.definition, *d) {
			return r
		}
	}
	return nil
}

// same reports whether two definitions differ in nothing that needs another
// instance of a service.
func same(a, b operator.Service) bool {
	for _, d := range []*operator.Service{&a, &b} {
		d.ClearPositions() // where it stands in the file
		if d.Registry == "" {
			d.Endpoints = nil
		}
		d.Paths, d.Weight = nil, 0
		for i := range d.Classes {
			d.Classes[i].Paths, d.Classes[i].Methods = nil, nil
		}
	}
	return reflect.DeepEqual(a, b)
}

// make makes a service. Its parts of the budgets count from now on.
func (s *Sidecar) make(d operator.Service) (*running, error) {
	r := &running{definition: d, of: handover.ServiceRef{Service: d.Name, Platform: d.Platform}, upgrade: s.upgrade, stop: func() {}}
	join := func(b *budget.Budget, yield func() bool) *budget.Partition {
		p := b.Join(d.Weight, yield)
		r.parts = append(r.parts, p)
		return p
	}
	shares := upstream.Resources{
		Slots:       join(s.budgets.slots, func() bool { return r.pool.EvictIdle() }),
		StreamBytes: join(s.budgets.long, nil),
		SentCount:   &s.figures.Attempts,
	}
	c := core.ServiceConfig{Name: d.Name, Figures: s.figures}
	for range s.fronts {
		c.Limits = append(c.Limits, core.FrontLimits{Bodies: join(s.budgets.bodies, nil), Requests: join(s.budgets.places, nil)})
	}
	if d.Platform {
		s.describePlatform(&c)
		r.pool = upstream.NewPool(shares, s.config.Settings.ConnectTimeout, c.Policy.ConnIdleTimeout)
	} else {
		s.describe(&c, &d)
		r.pool = upstream.NewPool(shares, d.ConnectTimeout, d.Idle)
	}
	c.Pool = r.pool
	var err error
	if r.service, err = core.NewService(c); err != nil {
		r.retire()
		return nil, err
	}
	switch {
	case d.Platform:
		list := s.config.Known
		known := list.Version > 0 || len(list.Servers) > 0 // the first list of all has version 0
		if handed, ok := s.upgrade.known(r.of); ok && (s.upgrade.predecessor != nil || handed.Version >= list.Version) {
			list, known = handed, handed.Version > 0 // of what was kept on a disk, the configuration may know better
		}
		r.known, r.way = list.Servers, discovery.LocalAgent
		if s.config.Settings.Policy.DiscoveryOnRequest {
			r.way = discovery.OnDemand
		}
		r.watcher = discovery.NewWatcher(s.config.Discovery, list.Version, known, r)
	case d.Registry != "":
		if !shares.Slots.TryAcquire(1) && !(shares.Slots.Reclaim() && shares.Slots.TryAcquire(1)) {
			r.retire()
			return nil, fmt.Errorf("service %q: no descriptor is left for the watch on its registry", d.Name)
		}
		r.watches = shares.Slots
		list, _ := s.upgrade.known(r.of)
		r.known, r.way = list.Servers, discovery.Remote
		r.watcher = discovery.NewWatcher(d.Registry, list.Version, list.Version > 0, r)
	default:
		r.known = entries(d.Endpoints)
	}
	if r.watcher != nil {
		r.service.OnSubscribe(r.watcher.Subscribe)
	}
	r.service.SetMoves(s.movePlans(s.config.Operator, d.Name))
	if s.begun != nil && s.begun.Keys.UsesStore() {
		r.service.SetKeyWriter(func(ctx context.Context, n keyed.Note) error {
			return s.keepKey(ctx, handover.Key{ServiceRef: r.of, Note: n})
		})
	}
	r.service.SetStallMonitor( // the brake is made later
		func() time.Duration { return s.brake.delay() },
		func(from, now time.Time) time.Duration { return s.brake.stalledSince(from, now) },
	)
	if s.begun != nil && s.begun.Overload != nil {
		r.service.SetProcessorDelay(func() time.Duration { return s.brake.delay() })
	}
	if s.begun != nil && s.begun.Fleet != nil && s.begun.Fleet.Weights {
		r.service.EnableMeasurement()
	}
	r.service.SetPeers(peers{r.upgrade, r.of})
	return r, nil
}

// classes are those of a definition; nil: of the platform's, as it tells them.
func (s *Sidecar) classes(d *operator.Service) (classes []core.Class) {
	if d == nil || d.Platform {
		return plainClasses(&s.config.Settings)
	}
	for _, c := range d.Classes {
		classes = append(classes, core.Class{Name: c.Name, Paths: c.Paths, Methods: c.Methods})
	}
	return classes
}

// plainClasses are the classes of the platform's settings.
func plainClasses(set *wire.Settings) (classes []core.Class) {
	for i, name := range set.Classes {
		classes = append(classes, core.DefaultClass(name, set.Policy.Classes[i].Effect))
	}
	return classes
}

// describePlatform describes the service that the platform's settings tell of.
func (s *Sidecar) describePlatform(c *core.ServiceConfig) {
	set := &s.config.Settings
	c.Kinds, c.Zones, c.Report = set.Kinds, set.Zones, set.Report
	c.Settings, c.Seed = s.platformSettings(set), s.config.Seed
}

// platformSettings are those of the platform's service.
func (s *Sidecar) platformSettings(set *wire.Settings) core.Settings {
	c := core.Settings{Tenants: set.Tenants, Classes: set.Classes, Policy: set.Policy}
	if s.config.Operator != nil { // contracts hold what tenants' shares and one budget of retries stood for
		c.Tenants, c.Policy.Tenants, c.Policy.HostRetryBudget = nil, nil, true
	}
	return c
}

// describe describes a service of the operator's. What its part of the file
// does not tell of endpoints, such as how long they are cold, is as the
// platform has it.
func (s *Sidecar) describe(c *core.ServiceConfig, d *operator.Service) {
	set := &s.config.Settings
	p := set.Policy
	c.Kinds, c.Zones, c.Seed = set.Kinds, set.Zones, s.config.Seed^rand.Uint64()
	c.Policy = policy.Settings{
		FleetSize: p.FleetSize, Zone: p.Zone, WarmupTime: p.WarmupTime, StartCapacity: p.StartCapacity,
		MaxAttempts: d.Attempts, HedgedAttempts: d.SecondCopies, Cancel: true, HostRetryBudget: true, ConnIdleTimeout: d.Idle,
	}
	for _, class := range d.Classes {
		c.Classes = append(c.Classes, class.Name)
		c.Policy.Classes = append(c.Policy.Classes, class.Class)
	}
}

// entries are endpoints that stand in the file. Nothing tells which of them
// drop one another's repeats, so each is a pod of its own.
func entries(addrs []string) (all []discovery.Entry) {
	for _, addr := range addrs {
		h := fnv.New32a()
		h.Write([]byte(addr))
		all = append(all, discovery.Entry{ID: addr, Addr: addr, State: "active", Cell: int(h.Sum32() >> 1), Weight: 1})
	}
	return all
}

// start has the service follow its list until ctx ends. It is to be called
// again after each reload, which changes nothing in what runs.
func (r *running) start(ctx context.Context) {
	if r.started {
		return
	}
	r.started = true
	ctx, r.stop = context.WithCancel(ctx)
	r.service.UpdateEndpoints(r.known, true)
	if r.watcher != nil {
		go r.watcher.Run(ctx, r.way)
	}
}

// hear waits until an agent that lists are pushed to has been asked, or ctx ends: what it
// has counts as told from the first moment of this process, whose own list may be old. The
// agent answers at once or is silent. Clients who connect meanwhile wait, and their time runs
// before their requests are read, so this takes little.
func (r *running) hear(ctx context.Context) {
	if r.watcher == nil || r.way != discovery.LocalAgent {
		return
	}
	patience := time.NewTimer(hearWithin)
	defer patience.Stop()
	select {
	case <-r.watcher.FirstCallDone():
	case <-patience.C:
	case <-ctx.Done():
	}
}

// hearWithin is how long an agent is waited for: endpoints are told of a deadline what is left
// of it, but for 0.15 s, and the time that a request waits unread is not known.
const hearWithin = 75 * time.Millisecond

// adopt takes over what a definition may change in a service that runs.
func (r *running) adopt(d operator.Service) {
	if !d.Platform && d.Registry == "" && !slices.Equal(r.definition.Endpoints, d.Endpoints) {
		if r.known = entries(d.Endpoints); r.started { // else it begins with them
			r.service.UpdateEndpoints(r.known, true)
		}
	}
	if d.Weight != r.definition.Weight {
		for _, p := range r.parts {
			p.SetWeight(d.Weight)
		}
	}
	r.definition = d
}

// retire ends a service. What is under way goes on, and gives back its parts of
// the budgets as it ends.
func (r *running) retire() {
	r.stop()
	for _, p := range r.parts {
		p.Leave()
	}
	if r.pool != nil {
		r.pool.Close()
	}
	if r.watches != nil {
		r.watches.Release(1)
	}
}
