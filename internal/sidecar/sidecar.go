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
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/budget"
	"spokegw/internal/core"
	"spokegw/internal/front/http1"
	"spokegw/internal/front/http3"
	"spokegw/internal/operator"
)

// How the descriptors that a sidecar may hold are shared out: the application
// and the endpoints get their parts, and what is left is for discovery, the
// listener, the standard streams and the runtime.
const (
	clientPart   = 0.55
	crowdPart    = 0.16 // half of what the application may hold for requests
	upstreamPart = 0.37
	minSockets   = 32
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
	budgets budgets
	front   *http1.Server
	http3   *http3.Server // nil: off
	fronts  int           // that there are, by number
	core    *core.Core

	mu       sync.Mutex
	services []*running // by their order in the operator's file
	retired  []*running // that have requests under way still
	context  context.Context
}

// New makes a sidecar and opens its address.
func New(c Config) (*Sidecar, error) {
	part := c.Limits.sockets
	bytes := func(p float64) int64 { return int64(p * float64(c.Limits.MemoryMB<<20)) }
	s := &Sidecar{config: c, fronts: 1, budgets: budgets{
		slots: budget.New(part(upstreamPart)), long: budget.New(bytes(longPart)),
		bodies: budget.New(bytes(bodyPart)), places: budget.New(part(clientPart)),
	}}
	if c.Operator != nil && c.Operator.HTTP3 != nil {
		s.fronts = http3Front + 1
	}
	var err error
	if s.services, err = s.plan(c.Operator); err != nil {
		return nil, err
	}
	table, terms, err := s.table(c.Operator, s.services)
	if err != nil {
		return nil, err
	}
	s.core = core.New(table)
	longest := s.core.Deadline()
	if c.Operator != nil {
		s.core.UseTerms(table, terms)
		longest = operator.MaxDeadline // a reload may bring a class that waits longer
	}
	if s.http3, err = s.listenHTTP3(); err != nil {
		return nil, err
	}
	front := http1.Config{Listen: c.Listen, Limit: int(part(clientPart)), Crowd: int(part(crowdPart)), Longest: longest}
	if s.http3 != nil {
		front.AltSvc = s.http3.AltSvc()
	}
	s.front, err = http1.Listen(front, s.core)
	return s, err
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

// AddrHTTP3 is where the sidecar listens for HTTP/3; nil: it does not.
func (s *Sidecar) AddrHTTP3() net.Addr {
	if s.http3 == nil {
		return nil
	}
	return s.http3.Addr()
}

// plan makes the services of an operator's file, out of those there are where
// they stay. Without a file there is the platform's own.
func (s *Sidecar) plan(f *operator.File) (services []*running, err error) {
	definitions := []operator.Service{{Platform: true, Weight: 1}}
	if f != nil {
		definitions = f.Services
	}
	for _, d := range definitions {
		r := s.find(&d)
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

// table makes the core's table of services, and their contracts.
func (s *Sidecar) table(f *operator.File, services []*running) (*core.Table, []broker.Terms, error) {
	var all []core.Mount
	var terms []broker.Terms
	for i, r := range services {
		var d *operator.Service
		if f != nil {
			d = &f.Services[i]
		}
		m := core.Mount{Service: r.service, Classes: s.classes(d)}
		all = append(all, m)
		if f != nil {
			terms = append(terms, f.Terms(d.Name, names(m.Classes)))
		}
	}
	t, err := core.NewTable(f != nil, all...)
	return t, terms, err
}

// Addr is where the sidecar listens.
func (s *Sidecar) Addr() net.Addr { return s.front.Addr() }

// ApplyLimits sets what the runtime may use. It is for the whole process.
func ApplyLimits(l Limits) {
	debug.SetMemoryLimit(int64(heapPart * float64(l.MemoryMB<<20)))
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
}

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
	go s.sweep(watching)
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
		var err error
		if s.http3 != nil {
			if err = s.http3.Serve(ctx); err != nil {
				stop()
			}
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

// Reload takes over what a new configuration may change in a running sidecar:
// where discovery is. The rest (address, limits, settings) stays as it was at
// the start, and so do the requests under way.
func (s *Sidecar) Reload(c Config) {
	slog.Info("reloaded", "discovery", c.Discovery)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.services {
		if r.definition.Platform {
			r.watcher.Redirect(c.Discovery)
		}
	}
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
	table, terms, err := s.table(f, services)
	if err != nil {
		discard(services, s.services)
		return err
	}
	old := s.services
	s.services = services
	for i, r := range services {
		r.adopt(f.Services[i])
		if s.context != nil {
			r.start(s.context)
		}
	}
	s.core.UseTerms(table, terms)
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
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sweepOnce()
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
