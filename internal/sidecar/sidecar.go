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
	"spokegw/internal/handover"
	"spokegw/internal/logging"
	"spokegw/internal/management"
	"spokegw/internal/metrics"
	"spokegw/internal/operator"
	"spokegw/internal/shutdown"
	"spokegw/internal/state/keeper"
)

// budgets are shared by all services.
type budgets struct{ slots, longAnswers, bodies, requests *budget.Budget }

// Sidecar is a running sidecar.
type Sidecar struct {
	config      Config
	initialFile *operator.File // at the start: settings that can't change while the sidecar runs are read from it
	budgets     budgets
	front       *http1.Server
	http3       *http3.Server // nil: off
	fronts      int           // number of fronts
	core        *core.Core
	figures     *figures.Figures
	upgrade     *upgrade
	shedder     *shedder // nil: off

	movesKeeper, imageKeeper *keeper.Keeper
	fileKeeper               *keeper.Keeper // of the operator's file
	keys                     keyState
	handedOver               atomic.Bool // another process serves

	management *management.Server // nil: off
	metrics    *metrics.Server    // nil: off
	serving    atomic.Bool
	drained    atomic.Bool // by an operator

	membership *fleetMember // nil: not part of a fleet

	consoleReopen chan struct{}       // requests to open the console's socket again
	reload        func() ReloadResult // reads the files again; nil: not supported
	reloading     sync.Mutex
	log           *logging.Log // nil: the log is not the sidecar's own

	mu       sync.Mutex
	services []*runningService // in the order of the operator's file
	retired  []*runningService // with open requests
	watchCtx context.Context
	schedule shutdown.Schedule      // of the stop; zero: none was requested
	rejected map[File]*RejectedFile // nil: the latest version was accepted
	// keyGroups are the groups of services by name, while there is something to be known of one.
	keyGroups map[handover.ServiceRef]*keyGroup
}

// New creates a sidecar and opens its addresses.
func New(c Config) (*Sidecar, error) {
	s := &Sidecar{config: c, initialFile: c.Operator, fronts: 1, consoleReopen: make(chan struct{}, 1), figures: figures.New(), rejected: map[File]*RejectedFile{}, keyGroups: map[handover.ServiceRef]*keyGroup{}, budgets: budgets{
		slots: budget.New(0), longAnswers: budget.New(0), bodies: budget.New(0), requests: budget.New(0),
	}}
	s.movesKeeper, s.imageKeeper = newKeeper(&s.config, "moves"), newKeeper(&s.config, "state")
	s.fileKeeper = newKeeper(&s.config, acceptedKind)
	s.upgrade = s.joinUpgrade()
	s.resizeBudgets(s.upgrade.share())
	if c.OwnProcess {
		limitMemory(c.Limits, s.upgrade.share())
	}
	if err := s.open(); err != nil {
		s.upgrade.abandon()
		s.imageKeeper.Close()
		s.closeKeyStore()
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
	if s.services, err = s.planServices(c.Operator); err != nil {
		return err
	}
	for _, r := range s.services {
		r.enter(nil)
	}
	table, terms, err := s.buildTable(c.Operator, s.services, nil)
	if err != nil {
		return err
	}
	s.core = core.New(table)
	s.upgrade.adoptIDs(s.core)
	if c.Operator != nil {
		s.core.SetTableAndTerms(table, terms)
	}
	if s.upgrade.predecessor == nil {
		if s.http3, err = s.listenHTTP3(); err != nil {
			return err
		}
	}
	if c.Operator != nil {
		s.shedder = newShedder(c.Operator.Overload, s.core)
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
	return s.listenHTTP1()
}

// planServices returns the services of an operator's file, reusing running ones where possible.
// Without a file, there is only the platform's service.
func (s *Sidecar) planServices(f *operator.File) (services []*runningService, err error) {
	definitions := []operator.Service{{Platform: true, Weight: 1}}
	if f != nil {
		definitions = f.Services
	}
	for _, d := range definitions {
		r := s.existingService(&d)
		if r == nil {
			if r, err = s.newService(d); err != nil {
				discard(services, s.services)
				return nil, err
			}
		}
		services = append(services, r)
	}
	return services, nil
}

// buildTable makes the core's table of services, and their contracts. changes are those of the
// services' settings that are applied with it.
func (s *Sidecar) buildTable(f *operator.File, services []*runningService, changes settingsChanges) (*core.Table, []broker.Terms, error) {
	var all []core.Mount
	var terms []broker.Terms
	for i, r := range services {
		var d *operator.Service
		if f != nil {
			d = &f.Services[i]
		}
		m := core.Mount{Service: r.service, Classes: s.classes(d)}
		names := r.service.ClassNames()
		if change, ok := changes[r]; ok {
			m.Classes, m.Update, names = change.classes, change.update, change.update.ClassNames()
		}
		all = append(all, m)
		if f != nil {
			terms = append(terms, f.Terms(d.Name, names))
		}
	}
	t, err := core.NewTable(f != nil, all...)
	return t, terms, err
}

// Addr returns the address at which the sidecar listens.
func (s *Sidecar) Addr() net.Addr { return s.front.Addr() }

// Run serves until ctx ends, then finishes open requests.
func (s *Sidecar) Run(ctx context.Context) error {
	watchCtx, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	s.mu.Lock()
	s.watchCtx = watchCtx
	for _, r := range s.services {
		r.start(watchCtx)
	}
	s.mu.Unlock()
	var goroutines sync.WaitGroup
	defer s.awaitGoroutines(&goroutines)
	defer stopWatch()
	goroutines.Go(func() { s.sweep(watchCtx) })
	goroutines.Go(func() { s.shedder.monitor(watchCtx) })
	if s.management != nil {
		goroutines.Go(func() { s.management.Serve(watchCtx) })
	}
	goroutines.Go(func() { s.serveMetrics(watchCtx) })
	goroutines.Go(func() { s.serveFleet(watchCtx) })
	s.upgrade.run(watchCtx, &goroutines)
	s.startPersistence()
	defer s.stopPersistence()
	if c := s.listenConsole(); s.initialFile != nil {
		goroutines.Go(func() { s.serveConsole(watchCtx, c) })
	}
	for _, r := range s.currentServices() {
		r.awaitAgent(ctx)
	}
	s.serving.Store(true)
	slog.Info("ready", "name", s.config.Name, "listen", s.Addr().String(), "endpoints", len(s.config.Known.Servers))
	return s.serve(ctx)
}

// serve runs the fronts until ctx ends or one of them fails, and waits until each has finished
// its open requests.
func (s *Sidecar) serve(ctx context.Context) error {
	requested := ctx
	ctx, stop := context.WithCancelCause(context.WithoutCancel(requested))
	defer stop(nil)
	defer context.AfterFunc(requested, func() {
		s.beginStop(shutdown.RequestedAt(requested))
		stop(context.Cause(requested))
	})()
	http3Err := make(chan error, 1)
	go func() {
		err := s.serveHTTP3(ctx)
		if err != nil {
			stop(err)
		}
		http3Err <- err
	}()
	http1Err := s.front.Serve(ctx)
	if http1Err != nil {
		stop(http1Err)
	}
	err := errors.Join(http1Err, <-http3Err)
	s.endStop()
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// ReloadOperator applies another operator's file atomically. Open requests end under the
// contract and at the service that accepted them. If it returns an error, nothing has changed.
func (s *Sidecar) ReloadOperator(f *operator.File) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.Stopping() {
		return errStopping
	}
	if s.config.Operator == nil || f == nil {
		return fmt.Errorf("an operator's file can't be added or removed while the sidecar runs")
	}
	if err := s.config.CheckOperator(f); err != nil {
		return err
	}
	if f.Console != s.initialFile.Console {
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
	if err := s.checkFleetReload(f); err != nil {
		return err
	}
	if f.HTTP1 != s.config.Operator.HTTP1 {
		return fmt.Errorf("http1: its settings can't be changed while the sidecar runs")
	}
	if !reflect.DeepEqual(f.HTTP3, s.config.Operator.HTTP3) {
		return fmt.Errorf("http3: its settings can't be changed while the sidecar runs; only the contents of the certificate and key files can")
	}
	if s.http3 != nil {
		if err := s.http3.ReloadCertificate(); err != nil {
			return err
		}
	}
	services, err := s.planServices(f)
	if err != nil {
		return err
	}
	changes, err := s.operatorChanges(f, services)
	var table *core.Table
	var terms []broker.Terms
	if err == nil {
		table, terms, err = s.buildTable(f, services, changes)
	}
	if err == nil {
		err = changes.apply()
	}
	if err != nil {
		discard(services, s.services)
		return err
	}
	old := s.services
	s.services, s.config.Operator = services, f
	s.saveOperatorFile()
	for i, r := range services {
		r.reconfigure(f.Services[i])
		r.service.SetMoves(s.movePlans(f, f.Services[i].Name))
		if s.watchCtx != nil {
			r.start(s.watchCtx)
		}
		r.enter(old)
	}
	s.core.SetTableAndTerms(table, terms)
	s.bindAccounts(services)
	s.reconfigureFleet(f)
	for _, r := range old {
		if !contains(services, r) {
			r.retire()
			s.retired = append(s.retired, r)
			slog.Info("service retired", "service", r.definition.Name)
		}
	}
	slog.Info("operator's file taken over", "services", len(services), "teams", len(f.Teams))
	return nil
}
