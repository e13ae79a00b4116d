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

// fleetMember is this process's membership in a fleet and the accounts that draw on its quotas.
type fleetMember struct {
	fleet    atomic.Pointer[fleet.Fleet] // nil: it is not a member at present
	config   fleet.Config
	accounts []*account
	pool     pool
	yield    chan struct{} // another process takes over the membership, or may have done so
}

// fleetRetry is the interval at which a successor process tries to bind the fleet's address.
const fleetRetry = 50 * time.Millisecond

// account is a set of a team's limits that draws on a fleet's quota. It implements
// fleet.Account.
type account struct {
	quota   operator.Quota
	service atomic.Pointer[core.Service] // a reload may replace it
}

// classIndex returns the index of the account's class, or -1 if the settings in force lack it.
func (a *account) classIndex(s *core.Service) int {
	if a.quota.Class == "" {
		return 0
	}
	return slices.Index(s.ClassNames(), a.quota.Class)
}

// Requested returns the total demand so far.
func (a *account) Requested() (requests, work float64) {
	s := a.service.Load()
	return s.TeamDemand(a.quota.Team, a.classIndex(s))
}

// SetLimit puts a limit in force.
func (a *account) SetLimit(l quota.Limit, remaining func() time.Duration) {
	s := a.service.Load()
	s.SetQuotaGrant(a.quota.Team, a.classIndex(s), l.Own.Fraction(), l.Grant.Fraction(), remaining)
}

// pool gives the fleet's weights access to the endpoints of all services. It implements
// fleet.Pool.
type pool struct {
	services atomic.Pointer[[]*core.Service] // a reload may replace them
}

// Observations returns the observations of all services since the last call.
func (p *pool) Observations() (all []weights.Stats) {
	for _, s := range *p.services.Load() {
		all = append(all, s.TakeObservations()...)
	}
	return all
}

// Endpoints returns the listed endpoints of all services.
func (p *pool) Endpoints() (all []weights.Endpoint) {
	for _, s := range *p.services.Load() {
		all = append(all, s.WeightEndpoints()...)
	}
	return all
}

// Admission returns the ids under which the services count arriving requests, and the worth of
// requests by class.
func (p *pool) Admission() (map[weights.ID]bool, map[weights.Class]float64) {
	ids, worths := map[weights.ID]bool{}, map[weights.Class]float64{}
	for _, s := range *p.services.Load() {
		id, worth := s.SiteDemand()
		ids[id] = true
		maps.Copy(worths, worth)
	}
	return ids, worths
}

// SetEnforcer puts the enforcement of the plan for sites in force at all services.
func (p *pool) SetEnforcer(d *sites.Enforcer) {
	for _, s := range *p.services.Load() {
		s.SetSiteAdmission(d)
	}
}

// SetFactors puts the weight factors in force at all services.
func (p *pool) SetFactors(factors map[weights.ID]float64) {
	for _, s := range *p.services.Load() {
		s.SetFactors(factors)
	}
}

// joinFleet prepares the membership in the fleet, if one is configured. A successor process
// joins once its predecessor has left.
func (s *Sidecar) joinFleet() error {
	if s.config.Operator == nil || s.config.Operator.Fleet == nil {
		return nil
	}
	o := s.config.Operator.Fleet
	m := &fleetMember{yield: make(chan struct{}, 1), config: fleet.Config{Name: o.Name, Listen: o.Listen, Key: o.Key, Gateways: o.Parts(), Addresses: o.Addresses(), Settings: o.Quota}}
	for _, q := range s.config.Operator.Quotas() {
		a := &account{quota: q}
		m.accounts = append(m.accounts, a)
		m.config.Contracts = append(m.config.Contracts, fleet.Contract{Name: q.Name(), Account: a})
	}
	if o.Weights {
		m.config.Pool, m.config.Sites = &m.pool, o.Sites()
	}
	s.membership = m
	s.bindAccounts(s.services)
	if s.upgrade.predecessor != nil {
		return nil
	}
	return s.openFleet()
}

func (s *Sidecar) openFleet() error {
	s.mu.Lock() // serializes with a reload
	defer s.mu.Unlock()
	f, err := fleet.New(s.membership.config)
	if err != nil {
		return err
	}
	f.Start()
	s.membership.fleet.Store(f)
	return nil
}

// bindAccounts makes the accounts draw on the services in force.
func (s *Sidecar) bindAccounts(services []*runningService) {
	if s.membership == nil {
		return
	}
	all := make([]*core.Service, 0, len(services))
	for _, r := range services {
		all = append(all, r.service)
	}
	s.membership.pool.services.Store(&all)
	for _, a := range s.membership.accounts {
		for _, r := range services {
			if r.definition.Name == a.quota.Service {
				a.service.Store(r.service)
			}
		}
	}
}

// serveFleet is a member of the fleet until ctx ends. While a successor process serves, this
// one is not a member: it releases the address, and binds it again if the successor ends.
func (s *Sidecar) serveFleet(ctx context.Context) {
	if s.membership == nil {
		return
	}
	for warned := false; ctx.Err() == nil; {
		f := s.membership.fleet.Load()
		if f == nil && !s.handedOver.Load() {
			err := s.openFleet()
			if f = s.membership.fleet.Load(); err != nil && !warned {
				warned = true
				slog.Warn("fleet: waiting for its address to become free", "error", err)
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

// runFleet is a member until ctx ends or the membership is yielded.
func (s *Sidecar) runFleet(ctx context.Context, f *fleet.Fleet) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	var err error
	select {
	case <-s.membership.yield:
		cancel()
		err = <-ended
	case err = <-ended:
	}
	s.membership.fleet.Store(nil)
	if err != nil {
		slog.Warn("fleet: membership ended with an error", "error", err)
	}
}

// close releases the fleet's address and ends the membership.
func (m *fleetMember) close() {
	if f := m.fleet.Swap(nil); f != nil {
		f.Close()
	}
}

// yieldFleet requests that the membership is released.
func (s *Sidecar) yieldFleet() {
	if s.membership == nil {
		return
	}
	select {
	case s.membership.yield <- struct{}{}:
	default:
	}
}

// AddrFleet returns the address that receives the fleet's messages; "" if there is none.
func (s *Sidecar) AddrFleet() string {
	if s.membership == nil {
		return ""
	}
	if f := s.membership.fleet.Load(); f != nil {
		return f.Addr()
	}
	return ""
}

// checkFleetReload returns an error if a reload would change anything about the fleet other
// than its partners, gateways and parts.
func (s *Sidecar) checkFleetReload(f *operator.File) error {
	current := s.config.Operator.Fleet
	switch {
	case (f.Fleet == nil) != (current == nil):
		return fmt.Errorf("fleet: it can't be added or removed while the sidecar runs")
	case current == nil:
		return nil
	case f.Fleet.Name != current.Name || f.Fleet.Listen != current.Listen || f.Fleet.Quota != current.Quota || f.Fleet.Settings != current.Settings || !reflect.DeepEqual(f.Fleet.Places, current.Places) || f.Fleet.Weights != current.Weights || !slices.Equal(f.Fleet.Key, current.Key):
		return fmt.Errorf("fleet: only its partners and gateways can be changed while the sidecar runs")
	case !slices.Equal(f.Quotas(), s.config.Operator.Quotas()):
		return fmt.Errorf("quota: which calls share limits with the fleet can't be changed while the sidecar runs")
	}
	return nil
}

// reconfigureFleet applies the partners, gateways and parts of another file. The caller holds
// s.mu, which is locked before the fleet's own lock; the fleet never takes it.
func (s *Sidecar) reconfigureFleet(f *operator.File) {
	if s.membership == nil {
		return
	}
	s.membership.config.Gateways, s.membership.config.Addresses = f.Fleet.Parts(), f.Fleet.Addresses()
	if s.membership.config.Sites != nil {
		s.membership.config.Sites = f.Fleet.Sites()
	}
	if current := s.membership.fleet.Load(); current != nil {
		if err := current.Reconfigure(s.membership.config.Gateways, s.membership.config.Addresses, s.membership.config.Sites); err != nil {
			slog.Error("fleet: a validated plan was rejected", "error", err)
		}
	}
}

// fleetMetrics returns the fleet's metrics; nil if this process is not a member.
func (s *Sidecar) fleetMetrics() *metrics.Fleet {
	if s.membership == nil {
		return nil
	}
	f := s.membership.fleet.Load()
	if f == nil {
		return nil
	}
	status, counts := f.Status(), f.Counts()
	figures := &metrics.Fleet{Up: len(status.Up) + 1, Dropped: counts.Dropped, Malformed: counts.Malformed, OtherVersion: counts.OtherVersion}
	for _, c := range s.membership.config.Contracts {
		st := status.Contracts[c.Name]
		figures.Quotas = append(figures.Quotas, metrics.Quota{Name: c.Name, Own: st.Own.Fraction(), Granted: st.Grant.Fraction(), Demand: st.Demand.Fraction()})
	}
	if s.membership.config.Pool != nil {
		c := status.Council
		figures.Weights = &metrics.Weights{IsLeader: c.Leading, LeaderKnown: c.Leader != "", Term: c.Table.Term, Table: c.Table.Seq, Stale: c.Stale, Age: c.Age, Endpoints: c.Endpoints, Changes: c.Changes, Reporting: c.Reporting}
		for _, s := range c.Sites {
			figures.Weights.Sites = append(figures.Weights.Sites, metrics.Site{Name: s.Name, State: int(s.State), Fraction: s.Fraction})
		}
	}
	return figures
}

// fleetStat formats the same for show-stat, with parts in thousandths of a quota.
func (s *Sidecar) fleetStat() string {
	f := s.fleetMetrics()
	if f == nil {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node.fleet.up:%d|g\nnode.fleet.messages_dropped:%d|c\nnode.fleet.messages_broken:%d|c\nnode.fleet.messages_other_version:%d|c\n",
		f.Up, f.Dropped, f.Malformed, f.OtherVersion)
	escaper := strings.NewReplacer(":", "_", "|", "_") // separators of the metrics' format
	for _, q := range f.Quotas {
		name := escaper.Replace(escapeWord(q.Name))
		fmt.Fprintf(&b, "node.fleet.quota.%s.own:%.0f|g\nnode.fleet.quota.%s.granted:%.0f|g\nnode.fleet.quota.%s.demand:%.0f|g\n",
			name, 1000*q.Own, name, 1000*q.Granted, name, 1000*q.Demand)
	}
	if w := f.Weights; w != nil {
		flag := func(set bool) int {
			if set {
				return 1
			}
			return 0
		}
		fmt.Fprintf(&b, "node.fleet.duty.known:%d|g\nnode.fleet.duty.here:%d|g\nnode.fleet.duty.heard:%d|g\n", flag(w.LeaderKnown), flag(w.IsLeader), w.Reporting)
		fmt.Fprintf(&b, "node.fleet.weights.table:%d|g\nnode.fleet.weights.age:%d|g\nnode.fleet.weights.stale:%d|g\nnode.fleet.weights.endpoints:%d|g\nnode.fleet.weights.changes:%d|g\n",
			w.Table, w.Age.Milliseconds(), flag(w.Stale), w.Endpoints, w.Changes)
		for _, s := range w.Sites {
			name := escaper.Replace(escapeWord(s.Name))
			fmt.Fprintf(&b, "node.fleet.site.%s.state:%d|g\nnode.fleet.site.%s.met:%.0f|g\n", name, s.State, name, 1000*s.Fraction)
		}
	}
	return b.String()
}
