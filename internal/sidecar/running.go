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

// runningService is a service with the state that runs it.
type runningService struct {
	definition operator.Service
	ref        handover.ServiceRef // its name for other processes
	service    *core.Service
	keys       *keyGroup
	upgrade    *upgrade
	pool       *upstream.Pool
	watcher    *discovery.Watcher // nil: the file lists the endpoints
	initial    []discovery.Entry  // initial entries
	mode       discovery.Mode     // how its list is obtained
	partitions []*budget.Partition
	watchSlots *budget.Partition // holds the descriptor of a registry's watch; nil: it has none of its own
	started    bool
	stop       context.CancelFunc
}

func contains(all []*runningService, r *runningService) bool { return slices.Contains(all, r) }

// discard retires the services in made that are not in kept.
func discard(made, kept []*runningService) {
	for _, r := range made {
		if !contains(kept, r) {
			r.retire()
		}
	}
}

// existingService returns the running service that a definition can reuse; nil if there is
// none. A service lives under its name: only another source of its endpoints makes it anew.
func (s *Sidecar) existingService(d *operator.Service) *runningService {
	for _, r := range s.services {
		if d.Platform && r.definition.Platform || !d.Platform && r.is(d) && r.definition.Registry == d.Registry {
			return r
		}
	}
	return nil
}

// is reports whether the service has the name of a definition of the operator's file.
func (r *runningService) is(d *operator.Service) bool {
	return !r.definition.Platform && r.definition.Name == d.Name
}

// sameSettings reports whether two definitions of a service have the same settings for requests:
// attempts, timeouts and the rules of the classes.
func sameSettings(a, b operator.Service) bool {
	for _, d := range []*operator.Service{&a, &b} {
		d.ClearPositions() // positions in the file
		d.Endpoints, d.Registry, d.Paths, d.Weight = nil, "", nil, 0
		for i := range d.Classes {
			d.Classes[i].Paths, d.Classes[i].Methods = nil, nil
		}
	}
	return reflect.DeepEqual(a, b)
}

// newService makes a service. Its partitions of the budgets count from now on.
func (s *Sidecar) newService(d operator.Service) (*runningService, error) {
	r := &runningService{definition: d, ref: handover.ServiceRef{Service: d.Name, Platform: d.Platform}, upgrade: s.upgrade, stop: func() {}}
	r.keys = s.keyGroup(r.ref)
	joinBudget := func(b *budget.Budget, yield func() bool) *budget.Partition {
		p := b.Join(d.Weight, yield)
		r.partitions = append(r.partitions, p)
		return p
	}
	resources := upstream.Resources{
		Slots:       joinBudget(s.budgets.slots, func() bool { return r.pool.EvictIdle() }),
		StreamBytes: joinBudget(s.budgets.longAnswers, nil),
		SentCount:   &s.figures.Attempts,
	}
	c := core.ServiceConfig{Name: d.Name, Figures: s.figures}
	for range s.fronts {
		c.Limits = append(c.Limits, core.FrontLimits{Bodies: joinBudget(s.budgets.bodies, nil), Requests: joinBudget(s.budgets.requests, nil)})
	}
	if d.Platform {
		s.describePlatform(&c)
		r.pool = upstream.NewPool(resources, s.config.Settings.ConnectTimeout, c.Policy.ConnIdleTimeout)
	} else {
		s.describe(&c, &d)
		r.pool = upstream.NewPool(resources, d.ConnectTimeout, d.Idle)
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
		hasList := list.Version > 0 || len(list.Servers) > 0 // the first list of all has version 0
		if inherited, ok := s.upgrade.inheritedList(r.ref); ok && (s.upgrade.predecessor != nil || inherited.Version >= list.Version) {
			list, hasList = inherited, inherited.Version > 0 // a list saved on disk may be older than the configuration
		}
		r.initial, r.mode = list.Servers, discovery.LocalAgent
		if s.config.Settings.Policy.DiscoveryOnRequest {
			r.mode = discovery.OnDemand
		}
		r.watcher = discovery.NewWatcher(s.config.Discovery, list.Version, hasList, r)
	case d.Registry != "":
		if !resources.Slots.TryAcquire(1) && !(resources.Slots.Reclaim() && resources.Slots.TryAcquire(1)) {
			r.retire()
			return nil, fmt.Errorf("service %q: no descriptor is left for the watch on its registry", d.Name)
		}
		r.watchSlots = resources.Slots
		list, _ := s.upgrade.inheritedList(r.ref)
		r.initial, r.mode = list.Servers, discovery.Remote
		r.watcher = discovery.NewWatcher(d.Registry, list.Version, list.Version > 0, r)
	default:
		r.initial = entries(d.Endpoints)
	}
	if r.watcher != nil {
		r.service.OnSubscribe(r.watcher.Subscribe)
	}
	r.service.SetMoves(s.movePlans(s.config.Operator, d.Name))
	if s.initialFile != nil && s.initialFile.Keys.UsesStore() {
		r.service.SetKeyWriter(func(ctx context.Context, n keyed.Note) error {
			return s.persistKey(ctx, handover.Key{ServiceRef: r.ref, Note: n})
		})
	}
	r.service.SetStallMonitor( // the shedder is created later
		func() time.Duration { return s.shedder.delay() },
		func(from, now time.Time) time.Duration { return s.shedder.stalledSince(from, now) },
	)
	if s.initialFile != nil && s.initialFile.Overload != nil {
		r.service.SetProcessorDelay(func() time.Duration { return s.shedder.delay() })
	}
	if s.initialFile != nil && s.initialFile.Fleet != nil && s.initialFile.Fleet.Weights {
		r.service.EnableMeasurement()
	}
	r.service.SetPeers(peers{processes{r.upgrade}, r})
	return r, nil
}

// classes returns the classes of a definition, or the platform's if d is nil or the platform's
// service.
func (s *Sidecar) classes(d *operator.Service) (classes []core.Class) {
	if d == nil || d.Platform {
		return platformClasses(&s.config.Settings)
	}
	for _, c := range d.Classes {
		classes = append(classes, core.Class{Name: c.Name, Paths: c.Paths, Methods: c.Methods})
	}
	return classes
}

// platformClasses returns the classes of the platform's settings.
func platformClasses(settings *wire.Settings) (classes []core.Class) {
	for i, name := range settings.Classes {
		classes = append(classes, core.DefaultClass(name, settings.Policy.Classes[i].Effect))
	}
	return classes
}

// describePlatform describes the service defined by the platform's settings.
func (s *Sidecar) describePlatform(c *core.ServiceConfig) {
	set := &s.config.Settings
	c.Kinds, c.Zones, c.Report = set.Kinds, set.Zones, set.Report
	c.Settings, c.Seed = s.platformSettings(set), s.config.Seed
}

// platformSettings returns the settings of the platform's service.
func (s *Sidecar) platformSettings(settings *wire.Settings) core.Settings {
	c := core.Settings{Tenants: settings.Tenants, Classes: settings.Classes, Policy: settings.Policy}
	if s.config.Operator != nil { // contracts replace the tenants' shares and the host's retry budget
		c.Tenants, c.Policy.Tenants, c.Policy.HostRetryBudget = nil, nil, true
	}
	return c
}

// describe describes a service of the operator's file. What the file does not define for
// endpoints, such as their warmup time, is taken from the platform's settings.
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

// entries returns the endpoints listed in the file. It is unknown which of them share a
// deduplication window, so each one is a pod of its own.
func entries(addrs []string) (all []discovery.Entry) {
	for _, addr := range addrs {
		h := fnv.New32a()
		h.Write([]byte(addr))
		all = append(all, discovery.Entry{ID: addr, Addr: addr, State: "active", Cell: int(h.Sum32() >> 1), Weight: 1})
	}
	return all
}

// start makes the service follow its list until ctx ends. It is called after each reload too,
// and does nothing for a service that runs.
func (r *runningService) start(ctx context.Context) {
	if r.started {
		return
	}
	r.started = true
	ctx, r.stop = context.WithCancel(ctx)
	r.service.UpdateEndpoints(r.initial, true)
	if r.watcher != nil {
		go r.watcher.Run(ctx, r.mode)
	}
}

// awaitAgent waits until the agent that pushes lists has answered the first call, or ctx ends,
// so that its list counts from the first moment of this process, whose own list may be old. The
// agent answers at once or not at all. Clients that connect meanwhile wait, and their deadlines
// run before their requests are read, so the wait is short.
func (r *runningService) awaitAgent(ctx context.Context) {
	if r.watcher == nil || r.mode != discovery.LocalAgent {
		return
	}
	timer := time.NewTimer(agentTimeout)
	defer timer.Stop()
	select {
	case <-r.watcher.FirstCallDone():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// agentTimeout bounds the wait for an agent: the deadline sent to an endpoint is the request's
// remaining time less 0.15 s, and the time that a request waits unread is unknown.
const agentTimeout = 75 * time.Millisecond

// reconfigure applies what a definition may change in a running service.
func (r *runningService) reconfigure(d operator.Service) {
	if !d.Platform && d.Registry == "" && !slices.Equal(r.definition.Endpoints, d.Endpoints) {
		if r.initial = entries(d.Endpoints); r.started { // otherwise it starts with them
			r.service.UpdateEndpoints(r.initial, true)
		}
	}
	if !d.Platform && (d.ConnectTimeout != r.definition.ConnectTimeout || d.Idle != r.definition.Idle) {
		r.pool.SetTimeouts(d.ConnectTimeout, d.Idle)
	}
	if d.Weight != r.definition.Weight {
		for _, p := range r.partitions {
			p.SetWeight(d.Weight)
		}
	}
	r.definition = d
}

// enter adopts what a service of the same name, which this one replaces, knows: above all the keys that
// it sent. Keys that open requests of that service send later are published in their group.
func (r *runningService) enter(old []*runningService) {
	if contains(old, r) {
		return
	}
	r.keys.join(r.service)
	for _, previous := range old {
		if previous.is(&r.definition) {
			r.service.Adopt(previous.service.Snapshot(handover.MaxKeys))
		}
	}
}

// retire ends a service. Open requests continue and release their budgets as they end.
func (r *runningService) retire() {
	r.stop()
	for _, p := range r.partitions {
		p.Leave()
	}
	if r.pool != nil {
		r.pool.Close()
	}
	if r.watchSlots != nil {
		r.watchSlots.Release(1)
	}
}
