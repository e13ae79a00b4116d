package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/fleet"
	"spokegw/internal/fleet/quota"
	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
	"spokegw/internal/metrics"
	"spokegw/internal/operator"
)

// shared are this process's place in a fleet, and what draws on its quotas.
type shared struct {
	fleet    atomic.Pointer[fleet.Fleet] // nil: it does not take part
	config   fleet.Config
	accounts []*account
	pool     pool
	yields   chan struct{} // another process takes the place, and may have taken it
}

// fleetRetry is how often a process that takes over looks whether the address is free.
const fleetRetry = 50 * time.Millisecond

// account is a call of a team's that draws on a quota. It is a fleet.Account.
type account struct {
	quota   operator.Quota
	service atomic.Pointer[core.Service] // a reload may bring another
}

// class is the position of the call's class; -1: settings in force have none of its name.
func (a *account) class(s *core.Service) int {
	if a.quota.Class == "" {
		return 0
	}
	return slices.Index(s.ClassNames(), a.quota.Class)
}

// Requested is what was asked for so far.
func (a *account) Requested() (requests, work float64) {
	s := a.service.Load()
	return s.TeamDemand(a.quota.Team, a.class(s))
}

// SetLimit puts a limit in force.
func (a *account) SetLimit(l quota.Limit, left func() time.Duration) {
	s := a.service.Load()
	s.SetQuotaGrant(a.quota.Team, a.class(s), l.Own.Fraction(), l.Grant.Fraction(), left)
}

// pool is what the fleet's weights are of: the endpoints of all services. It is a fleet.Pool.
type pool struct {
	services atomic.Pointer[[]*core.Service] // a reload may bring others
}

// Observations is what all services have seen since the last call.
func (p *pool) Observations() (all []weights.Stats) {
	for _, s := range *p.services.Load() {
		all = append(all, s.TakeObservations()...)
	}
	return all
}

// Endpoints are those of all services' lists.
func (p *pool) Endpoints() (all []weights.Endpoint) {
	for _, s := range *p.services.Load() {
		all = append(all, s.WeightEndpoints()...)
	}
	return all
}

// Admission name the sums of what came to services' doors, and what requests are worth there.
func (p *pool) Admission() (map[weights.ID]bool, map[weights.Class]float64) {
	doors, all := map[weights.ID]bool{}, map[weights.Class]float64{}
	for _, s := range *p.services.Load() {
		id, worth := s.SiteDemand()
		doors[id] = true
		maps.Copy(all, worth)
	}
	return doors, all
}

// SetEnforcer puts in force what is done about sites, at all services.
func (p *pool) SetEnforcer(d *sites.Enforcer) {
	for _, s := range *p.services.Load() {
		s.SetSiteAdmission(d)
	}
}

// SetFactors puts factors in force at all services.
func (p *pool) SetFactors(factors map[weights.ID]float64) {
	for _, s := range *p.services.Load() {
		s.SetFactors(factors)
	}
}

// joinFleet makes the place in the fleet; nil where there is none. A process that takes
// over has it once the one before has let it go.
func (s *Sidecar) joinFleet() error {
	if s.config.Operator == nil || s.config.Operator.Fleet == nil {
		return nil
	}
	o := s.config.Operator.Fleet
	sh := &shared{yields: make(chan struct{}, 1), config: fleet.Config{Name: o.Name, Listen: o.Listen, Key: o.Key, Gateways: o.Parts(), Addresses: o.Addresses(), Settings: o.Quota}}
	for _, q := range s.config.Operator.Quotas() {
		a := &account{quota: q}
		sh.accounts = append(sh.accounts, a)
		sh.config.Contracts = append(sh.config.Contracts, fleet.Contract{Name: q.Name(), Account: a})
	}
	if o.Weights {
		sh.config.Pool, sh.config.Sites = &sh.pool, o.Sites()
	}
	s.shared = sh
	s.useShared(s.services)
	if s.upgrade.predecessor != nil {
		return nil
	}
	return s.openFleet()
}

func (s *Sidecar) openFleet() error {
	s.mu.Lock() // a reload meanwhile is taken before or after
	defer s.mu.Unlock()
	f, err := fleet.New(s.shared.config)
	if err != nil {
		return err
	}
	f.Start()
	s.shared.fleet.Store(f)
	return nil
}

// useShared has the accounts draw on the services that are in force.
func (s *Sidecar) useShared(services []*running) {
	if s.shared == nil {
		return
	}
	all := make([]*core.Service, 0, len(services))
	for _, r := range services {
		all = append(all, r.service)
	}
	s.shared.pool.services.Store(&all)
	for _, a := range s.shared.accounts {
		for _, r := range services {
			if r.definition.Name == a.quota.Service {
				a.service.Store(r.service)
			}
		}
	}
}

// serveFleet takes part in the fleet until ctx ends. While another process takes over this
// one has no part of what the fleet shares: it lets the address go, and takes it again if
// that one ends.
func (s *Sidecar) serveFleet(ctx context.Context) {
	if s.shared == nil {
		return
	}
	for told := false; ctx.Err() == nil; {
		f := s.shared.fleet.Load()
		if f == nil && !s.yielded.Load() {
			err := s.openFleet()
			if f = s.shared.fleet.Load(); err != nil && !told {
				told = true
				slog.Warn("no part in the fleet until its address is free", "error", err)
			}
		}
		if f == nil {
			select {
			case <-time.After(fleetRetry):
			case <-ctx.Done():
			}
			continue
		}
		s.runFleet(ctx, f)
	}
}

// runFleet takes part until ctx ends or the place is yielded.
func (s *Sidecar) runFleet(ctx context.Context, f *fleet.Fleet) {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	var err error
	select {
	case <-s.shared.yields:
		leave()
		err = <-ended
	case err = <-ended:
	}
	s.shared.fleet.Store(nil)
	if err != nil {
		slog.Warn("fleet: left", "error", err)
	}
}

// close lets the address go: this process takes no part.
func (sh *shared) close() {
	if f := sh.fleet.Swap(nil); f != nil {
		f.Close()
	}
}

// yieldFleet lets the place in the fleet go.
func (s *Sidecar) yieldFleet() {
	if s.shared == nil {
		return
	}
	select {
	case s.shared.yields <- struct{}{}:
	default:
	}
}

// AddrFleet is where the fleet's messages come to; "": nowhere.
func (s *Sidecar) AddrFleet() string {
	if s.shared == nil {
		return ""
	}
	if f := s.shared.fleet.Load(); f != nil {
		return f.Addr()
	}
	return ""
}

// checkShared tells what of the fleet a reload would change and can't: all but its
// partners, gateways and parts.
func (s *Sidecar) checkShared(f *operator.File) error {
	now := s.config.Operator.Fleet
	switch {
	case (f.Fleet == nil) != (now == nil):
		return fmt.Errorf("fleet: it can't be put in or taken away while the sidecar runs")
	case now == nil:
		return nil
	case f.Fleet.Name != now.Name || f.Fleet.Listen != now.Listen || f.Fleet.Quota != now.Quota || f.Fleet.Settings != now.Settings || !reflect.DeepEqual(f.Fleet.Places, now.Places) || f.Fleet.Weights != now.Weights || !slices.Equal(f.Fleet.Key, now.Key):
		return fmt.Errorf("fleet: only its partners and gateways can be changed while the sidecar runs")
	case !slices.Equal(f.Quotas(), s.config.Operator.Quotas()):
		return fmt.Errorf("quota: which calls share limits with the fleet can't be changed while the sidecar runs")
	}
	return nil
}

// replaceFleet takes the partners, gateways and parts of another file. The sidecar's lock
// is held, which the fleet never takes: it goes before the fleet's own.
func (s *Sidecar) replaceFleet(f *operator.File) {
	if s.shared == nil {
		return
	}
	s.shared.config.Gateways, s.shared.config.Addresses = f.Fleet.Parts(), f.Fleet.Addresses()
	if s.shared.config.Sites != nil {
		s.shared.config.Sites = f.Fleet.Sites()
	}
	if running := s.shared.fleet.Load(); running != nil {
		if err := running.Reconfigure(s.shared.config.Gateways, s.shared.config.Addresses, s.shared.config.Sites); err != nil {
			slog.Error("fleet: a plan that was checked is not taken", "error", err)
		}
	}
}

// fleetNow are the fleet's figures; nil: this process takes no part in one.
func (s *Sidecar) fleetNow() *metrics.Fleet {
	if s.shared == nil {
		return nil
	}
	f := s.shared.fleet.Load()
	if f == nil {
		return nil
	}
	status, counts := f.Status(), f.Counts()
	now := &metrics.Fleet{Up: len(status.Up) + 1, Dropped: counts.Dropped, Malformed: counts.Malformed, OtherVersion: counts.OtherVersion}
	for _, c := range s.shared.config.Contracts {
		st := status.Contracts[c.Name]
		now.Quotas = append(now.Quotas, metrics.Quota{Name: c.Name, Own: st.Own.Fraction(), Granted: st.Grant.Fraction(), Demand: st.Demand.Fraction()})
	}
	if s.shared.config.Pool != nil {
		c := status.Council
		now.Weights = &metrics.Weights{IsLeader: c.Leading, LeaderKnown: c.Leader != "", Term: c.Table.Term, Table: c.Table.Seq, Stale: c.Stale, Age: c.Age, Endpoints: c.Endpoints, Changes: c.Changes, Reporting: c.Reporting}
		for _, s := range c.Sites {
			now.Weights.Sites = append(now.Weights.Sites, metrics.Site{Name: s.Name, State: int(s.State), Fraction: s.Fraction})
		}
	}
	return now
}

// fleetFigures are the same for show-stat: parts are in thousandths of a quota.
func (s *Sidecar) fleetFigures() string {
	f := s.fleetNow()
	if f == nil {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node.fleet.up:%d|g\nnode.fleet.messages_dropped:%d|c\nnode.fleet.messages_broken:%d|c\nnode.fleet.messages_other_version:%d|c\n",
		f.Up, f.Dropped, f.Malformed, f.OtherVersion)
	apart := strings.NewReplacer(":", "_", "|", "_") // they set a figure's value apart
	for _, q := range f.Quotas {
		name := apart.Replace(word(q.Name))
		fmt.Fprintf(&b, "node.fleet.quota.%s.own:%.0f|g\nnode.fleet.quota.%s.granted:%.0f|g\nnode.fleet.quota.%s.demand:%.0f|g\n",
			name, 1000*q.Own, name, 1000*q.Granted, name, 1000*q.Demand)
	}
	if w := f.Weights; w != nil {
		flag := func(is bool) int {
			if is {
				return 1
			}
			return 0
		}
		fmt.Fprintf(&b, "node.fleet.duty.known:%d|g\nnode.fleet.duty.here:%d|g\nnode.fleet.duty.heard:%d|g\n", flag(w.LeaderKnown), flag(w.IsLeader), w.Reporting)
		fmt.Fprintf(&b, "node.fleet.weights.table:%d|g\nnode.fleet.weights.age:%d|g\nnode.fleet.weights.stale:%d|g\nnode.fleet.weights.endpoints:%d|g\nnode.fleet.weights.changes:%d|g\n",
			w.Table, w.Age.Milliseconds(), flag(w.Stale), w.Endpoints, w.Changes)
		for _, s := range w.Sites {
			name := apart.Replace(word(s.Name))
			fmt.Fprintf(&b, "node.fleet.site.%s.state:%d|g\nnode.fleet.site.%s.met:%.0f|g\n", name, s.State, name, 1000*s.Fraction)
		}
	}
	return b.String()
}
