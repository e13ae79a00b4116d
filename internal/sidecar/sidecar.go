package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"sync"
	"sync/atomic"

	"spokegw/internal/broker"
	"spokegw/internal/budget"
	"spokegw/internal/core"
	"spokegw/internal/figures"
	"spokegw/internal/front/http1"
	"spokegw/internal/front/http3"
	"spokegw/internal/logging"
	"spokegw/internal/management"
	"spokegw/internal/metrics"
	"spokegw/internal/operator"
	"spokegw/internal/state/keeper"
)

// budgets are what all services have together.
type budgets struct{ slots, long, bodies, places *budget.Budget }

// Sidecar is a sidecar that listens.
type Sidecar struct {
	config  Config
	begun   *operator.File // that it was started with; what can't be changed while it runs is read here
	budgets budgets
	front   *http1.Server
	http3   *http3.Server // nil: off
	fronts  int           // that there are, by number
	core    *core.Core
	figures *figures.Figures
	upgrade *upgrade
	brake   *brake // nil: off

	keptMoves, keptImage *keeper.Keeper
	keptFile             *keeper.Keeper // the operator's
	keys                 keys
	yielded              atomic.Bool // another process serves

	management *management.Server // nil: off
	metrics    *metrics.Server    // nil: off
	serving    atomic.Bool
	drained    atomic.Bool // by an operator

	shared *shared // nil: this process decides alone

	retake    chan struct{}       // the console is to take its path again
	reload    func() ReloadResult // reads the files again; nil: nothing can
	reloading sync.Mutex
	log       *logging.Log // nil: it is not ours

	mu       sync.Mutex
	services []*running // by their order in the operator's file
	retired  []*running // that have requests under way still
	context  context.Context
}

// New makes a sidecar and opens its address.
func New(c Config) (*Sidecar, error) {
	s := &Sidecar{config: c, begun: c.Operator, fronts: 1, retake: make(chan struct{}, 1), figures: figures.New(), budgets: budgets{
		slots: budget.New(0), long: budget.New(0), bodies: budget.New(0), places: budget.New(0),
	}}
	s.keptMoves, s.keptImage = newKeeper(&s.config, "moves"), newKeeper(&s.config, "state")
	s.keptFile = newKeeper(&s.config, acceptedKind)
	s.upgrade = s.join()
	s.resizeBudgets(s.upgrade.part())
	if c.OwnProcess {
		limitMemory(c.Limits, s.upgrade.part())
	}
	if err := s.open(); err != nil {
		s.upgrade.abandon()
		s.keptImage.Close()
		s.closeKeys()
		return nil, err
	}
	return s, nil
}

// open makes the services and opens the addresses.
func (s *Sidecar) open() error {
	c := &s.config
	if c.Operator != nil && c.Operator.HTTP3 != nil {
		s.fronts = http3Front + 1
	}
	var err error
	if s.services, err = s.plan(c.Operator); err != nil {
		return err
	}
	table, terms, err := s.table(c.Operator, s.services, nil)
	if err != nil {
		return err
	}
	s.core = core.New(table)
	s.upgrade.adoptIDs(s.core)
	longest := s.core.MaxDeadline()
	if c.Operator != nil {
		s.core.SetTableAndTerms(table, terms)
		longest = operator.MaxDeadline // a reload may bring a class that waits longer
	}
	if s.upgrade.predecessor == nil {
		if s.http3, err = s.listenHTTP3(); err != nil {
			return err
		}
	}
	if c.Operator != nil {
		s.brake = newBrake(c.Operator.Overload, s.core)
	}
	if s.upgrade.predecessor == nil {
		if s.metrics, err = s.listenMetrics(); err != nil {
			return err
		}
	}
	if err := s.listenManagement(); err != nil {
		return err
	}
	if err := s.joinFleet(); err != nil {
		return err
	}
	return s.listenHTTP1(longest)
}

// plan makes the services of an operator's file, out of those there are where
// they stay. Without a file there is the platform's own.
func (s *Sidecar) plan(f *operator.File) (services []*running, err error) {
	definitions := []operator.Service{{Platform: true, Weight: 1}}
	if f != nil {
		definitions = f.Services
	}
	for _, d := range definitions {
		r := s.standing(&d)
		if r == nil {
			if r, err = s.make(d); err != nil {
				discard(services, s.services)
				return nil, err
			}
		}
		services = append(services, r)
	}
	return services, nil
}

// table makes the core's table of services, and their contracts. retuned is the
// change of settings that comes with it to the platform's service; nil: none.
func (s *Sidecar) table(f *operator.File, services []*running, retuned *retuned) (*core.Table, []broker.Terms, error) {
	var all []core.Mount
	var terms []broker.Terms
	for i, r := range services {
		var d *operator.Service
		if f != nil {
			d = &f.Services[i]
		}
		m := core.Mount{Service: r.service, Classes: s.classes(d)}
		names := r.service.ClassNames()
		if retuned != nil && r.definition.Platform {
			m.Classes, m.Update, names = retuned.classes, retuned.to, retuned.to.ClassNames()
		}
		all = append(all, m)
		if f != nil {
			terms = append(terms, f.Terms(d.Name, names))
		}
	}
	t, err := core.NewTable(f != nil, all...)
	return t, terms, err
}

// Addr is where the sidecar listens.
func (s *Sidecar) Addr() net.Addr { return s.front.Addr() }

// Run serves until ctx ends, then finishes what it has taken.
func (s *Sidecar) Run(ctx context.Context) error {
	watching, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	s.mu.Lock()
	s.context = watching
	for _, r := range s.services {
		r.start(watching)
	}
	s.mu.Unlock()
	var running sync.WaitGroup
	defer running.Wait()
	defer stopWatch()
	running.Go(func() { s.sweep(watching) })
	running.Go(func() { s.brake.look(watching) })
	if s.management != nil {
		running.Go(func() { s.management.Serve(watching) })
	}
	running.Go(func() { s.serveMetrics(watching) })
	running.Go(func() { s.serveFleet(watching) })
	s.upgrade.run(watching, &running)
	s.keep()
	defer s.keepNoMore()
	if c := s.listenConsole(); s.begun != nil {
		running.Go(func() { s.serveConsole(watching, c) })
	}
	for _, r := range s.running() {
		r.hear(ctx)
	}
	s.serving.Store(true)
	slog.Info("ready", "name", s.config.Name, "listen", s.Addr().String(), "endpoints", len(s.config.Known.Servers))
	return s.serve(ctx)
}

// serve runs the fronts until ctx ends or one of them fails, and waits until
// each has finished what it has taken.
func (s *Sidecar) serve(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	second := make(chan error, 1)
	go func() {
		err := s.serveHTTP3(ctx)
		if err != nil {
			stop()
		}
		second <- err
	}()
	first := s.front.Serve(ctx)
	if first != nil {
		stop()
	}
	if err := errors.Join(first, <-second); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// ReloadOperator takes over another operator's file, at one instant. Requests
// under way end under the contract and by the service that they were taken by.
// On an error nothing has changed.
func (s *Sidecar) ReloadOperator(f *operator.File) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.Operator == nil || f == nil {
		return fmt.Errorf("an operator's file can't be put in or taken away while the sidecar runs")
	}
	if err := s.config.CheckOperator(f); err != nil {
		return err
	}
	if f.Console != s.begun.Console {
		return fmt.Errorf("console: its socket can't be changed while the sidecar runs")
	}
	if f.State != s.config.Operator.State || f.Keys != s.config.Operator.Keys {
		return fmt.Errorf("state: its settings can't be changed while the sidecar runs")
	}
	if f.Metrics != s.config.Operator.Metrics {
		return fmt.Errorf("metrics: its address can't be changed while the sidecar runs")
	}
	if !reflect.DeepEqual(f.Overload, s.config.Operator.Overload) {
		return fmt.Errorf("overload: its settings can't be changed while the sidecar runs")
	}
	if err := s.checkShared(f); err != nil {
		return err
	}
	if f.HTTP1 != s.config.Operator.HTTP1 {
		return fmt.Errorf("http1: its settings can't be changed while the sidecar runs")
	}
	if !reflect.DeepEqual(f.HTTP3, s.config.Operator.HTTP3) {
		return fmt.Errorf("http3: its settings can't be changed while the sidecar runs; only what the files of certificate and key hold is taken over")
	}
	if s.http3 != nil {
		if err := s.http3.ReloadCertificate(); err != nil {
			return err
		}
	}
	services, err := s.plan(f)
	if err != nil {
		return err
	}
	table, terms, err := s.table(f, services, nil)
	if err != nil {
		discard(services, s.services)
		return err
	}
	old := s.services
	s.services, s.config.Operator = services, f
	s.keepFile()
	for i, r := range services {
		r.adopt(f.Services[i])
		r.service.SetMoves(s.movePlans(f, f.Services[i].Name))
		if s.context != nil {
			r.start(s.context)
		}
	}
	s.core.SetTableAndTerms(table, terms)
	s.useShared(services)
	s.replaceFleet(f)
	for _, r := range old {
		if !holds(services, r) {
			r.retire()
			s.retired = append(s.retired, r)
			slog.Info("service retired", "service", r.definition.Name)
		}
	}
	slog.Info("operator's file taken over", "services", len(services), "teams", len(f.Teams))
	return nil
}
