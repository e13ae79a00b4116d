package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

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

// How the descriptors that a sidecar may hold are shared out: the application
// and the endpoints get their parts, and what is left is for discovery, the
// listener, the standard streams and the runtime.
const (
	clientPart   = 0.55
	crowdPart    = 0.16 // half of what the application may hold for requests
	upstreamPart = 0.37
	// ownSockets are for what is left, at least: a dozen of the runtime, the log and the
	// listeners, four for discovery as it moves, and four for operators who ask.
	ownSockets = 20
	minSockets = 32
)

// How the memory is shared out. The part that the collector keeps below
// leaves room for what it does not count; bodies may take parts of that. The
// least is what the runtime needs by itself and a little more: a sidecar that
// refuses to start is worth less than one that is short of memory.
const (
	heapPart    = 0.7
	bodyPart    = 0.2
	http3Part   = 0.1  // for what HTTP/3 clients may send ahead
	longPart    = 0.15 // for answers that are longer than the protocol has them
	minMemoryMB = 16
)

const sweepPeriod = time.Second

// http3Front is the number of the front for HTTP/3; that for HTTP/1.1 is 0.
const http3Front = 1

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

	retake    chan struct{}   // the console is to take its path again
	reload    func() Reloaded // reads the files again; nil: nothing can
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
	longest := s.core.Deadline()
	if c.Operator != nil {
		s.core.UseTerms(table, terms)
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

// listenHTTP1 opens the address that clients come to, where the process before this one has
// not handed it over. It is the last that may fail: another process may have the address
// open too, and of clients some come to this one from then on.
func (s *Sidecar) listenHTTP1(longest time.Duration) (err error) {
	c := &s.config
	limit, crowd := s.places(s.upgrade.part())
	front := http1.Config{Door: s.brake.door(), Listen: c.Listen, Shared: s.upgrade.listener(), Limit: limit, Crowd: crowd, Longest: longest}
	if c.Operator != nil {
		front.Pipelining = c.Operator.HTTP1.Pipelining
	}
	if s.front, err = http1.Listen(front, s.core); err != nil {
		if s.shared != nil {
			s.shared.close()
		}
		return err
	}
	if s.http3 != nil {
		s.front.SetAltSvc(s.http3.AltSvc())
	}
	return nil
}

// listenMetrics opens the address that tells the figures to Prometheus; nil where
// it is off.
func (s *Sidecar) listenMetrics() (*metrics.Server, error) {
	if s.config.Operator == nil || s.config.Operator.Metrics == "" {
		return nil, nil
	}
	return metrics.Listen(s.config.Operator.Metrics, s.figures, s.members, s.fleetNow)
}

// serveMetrics tells the figures until ctx ends, once the process before this
// one no longer does.
func (s *Sidecar) serveMetrics(ctx context.Context) {
	server := s.metrics
	if server == nil && s.upgrade.predecessor != nil {
		err := s.afterPredecessor(ctx, func() (err error) {
			server, err = s.listenMetrics()
			return err
		})
		if err != nil {
			slog.Error("no metrics: their address is not free", "error", err)
		}
	}
	if server != nil {
		server.Serve(ctx)
	}
}

// addressPatience is how long an address may stay in use by a process that has
// ended.
const addressPatience = 2 * time.Second

// afterPredecessor opens an address that is not handed over, when the process
// before this one has ended. If ctx ends before that it does nothing.
func (s *Sidecar) afterPredecessor(ctx context.Context, open func() error) (err error) {
	select {
	case <-s.upgrade.ended:
	case <-ctx.Done():
		return nil
	}
	for until := time.Now().Add(addressPatience); ; {
		if err = open(); err == nil || time.Now().After(until) {
			return err
		}
		select {
		case <-time.After(addressPatience / 40):
		case <-ctx.Done():
			return nil
		}
	}
}

// listenHTTP3 opens the address of the front for HTTP/3; nil where it is off.
func (s *Sidecar) listenHTTP3() (*http3.Server, error) {
	if s.config.Operator == nil || s.config.Operator.HTTP3 == nil {
		return nil, nil
	}
	h := s.config.Operator.HTTP3
	var routing *http3.Routing
	if r := h.Routing; r != nil {
		routing = &http3.Routing{Config: r.Config, Server: r.Server, Nonce: r.Nonce, Key: r.Key}
	}
	return http3.Listen(http3.Config{
		Listen: h.Listen, Certificate: h.Certificate, Key: h.Key, Connections: h.Connections, Streams: h.Streams,
		StreamWindow: h.StreamWindow, ConnectionWindow: h.ConnectionWindow, MaxHead: h.MaxHead,
		Front: http3Front, Handshake: h.Handshake, Idle: h.Idle, Resets: h.Resets, Unvalidated: h.Unvalidated, Routing: routing, Secret: s.config.Name,
	}, s.core)
}

// serveHTTP3 serves HTTP/3, where it is on, until ctx ends. Its address can't be
// handed over: the connections are in the memory of the process before this one,
// which ends them as it stops.
func (s *Sidecar) serveHTTP3(ctx context.Context) error {
	server := s.frontHTTP3()
	if server == nil && s.upgrade.predecessor != nil {
		err := s.afterPredecessor(ctx, func() (err error) {
			server, err = s.listenHTTP3()
			return err
		})
		if err != nil { // HTTP/1.1 is served all the same
			slog.Error("no HTTP/3: its address is not free", "error", err)
			return nil
		}
		s.mu.Lock()
		s.http3 = server
		s.mu.Unlock()
	}
	if server == nil {
		return nil
	}
	s.front.SetAltSvc(server.AltSvc())
	return server.Serve(ctx)
}

func (s *Sidecar) frontHTTP3() *http3.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http3
}

// AddrHTTP3 is where the sidecar listens for HTTP/3; nil: it does not.
func (s *Sidecar) AddrHTTP3() net.Addr {
	if server := s.frontHTTP3(); server != nil {
		return server.Addr()
	}
	return nil
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
		names := r.service.Names()
		if retuned != nil && r.definition.Platform {
			m.Classes, m.Retuning, names = retuned.classes, retuned.to, retuned.to.Names()
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

// ApplyLimits sets what the runtime may use. It is for the whole process.
func ApplyLimits(l Limits) {
	limitMemory(l, 1)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
}

// limitMemory has the collector keep the process to its part of the memory.
func limitMemory(l Limits, part float64) {
	debug.SetMemoryLimit(int64(part * heapPart * float64(l.MemoryMB<<20)))
	debug.SetGCPercent(int(min(max(part*float64(l.MemoryMB)*gcPerMB, leastGC), mostGC)))
}

// How much the heap may grow between two collections, in percent: the collector
// takes a good part of a small processor, and with memory to spare it need not
// run ten times a second. The limit above goes before it.
const (
	gcPerMB = 5.0
	leastGC = 100
	mostGC  = 400
)

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
	s.core.UseTerms(table, terms)
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

func (s *Sidecar) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sweepOnce()
			s.tickMoves()
			s.retryKeys()
			if n%imageEvery == 0 {
				s.keepImage(false)
			}
		}
	}
}

// Retired counts the services that have gone and still have something open.
func (s *Sidecar) Retired() int {
	s.sweepOnce()
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.retired)
}

func (s *Sidecar) sweepOnce() {
	s.front.Sweep()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.services {
		r.pool.Sweep()
	}
	var left []*running
	for _, r := range s.retired {
		if r.pool.Sweep(); r.pool.Open() > 0 {
			left = append(left, r)
		}
	}
	s.retired = left
}

// tickMoves lets time pass for the moves, and keeps where they are.
func (s *Sidecar) tickMoves() {
	for _, r := range s.running() {
		r.service.TickMoves()
	}
	s.keepMoves()
}
