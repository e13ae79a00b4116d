package core

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"spokegw/internal/learnt"
	"spokegw/internal/moves"
	"spokegw/internal/moves/judge"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// MovePlan is a move between two pools of a service as configured by an operator.
type MovePlan struct {
	moves.Config                                 // without Guards
	GuardsFor    func(class string) moves.Guards // by class name
}

// pools are the moves of a service. Each move keeps its bit.
type pools struct {
	moves   [moves.MaxMoves]*moves.Move // nil: the bit is free
	plans   [moves.MaxMoves]MovePlan
	waiting []MovePlan // waiting until a move over the same endpoints is over
	active  bool       // there is a move
	// usable states for each mask whether a ready endpoint is allowed. If there is none, all
	// endpoints are allowed, so that an empty pool does not fail requests.
	usable [1 << moves.MaxMoves]bool
}

// SetMoves replaces the moves of the service. A move that is under way and not in plans is
// undone first; the move that replaces it waits for that, and so do moves beyond
// moves.MaxMoves.
func (s *Service) SetMoves(plans []MovePlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.pools
	p.waiting = nil
	for i, m := range p.moves {
		if m != nil && !isAmong(m, plans) {
			p.moves[i].Retire()
		}
	}
	for _, plan := range plans {
		if i := p.find(&plan); i >= 0 {
			p.plans[i] = plan
			p.moves[i].Configure(s.now(), s.withGuards(plan))
		} else {
			p.waiting = append(p.waiting, plan)
		}
	}
	s.assignBits()
}

func isAmong(m *moves.Move, plans []MovePlan) bool {
	for i := range plans {
		if m.Same(&plans[i].Config) {
			return true
		}
	}
	return false
}

func (p *pools) find(plan *MovePlan) int {
	for i, m := range p.moves {
		if m != nil && m.Same(&plan.Config) {
			return i
		}
	}
	return -1
}

// withGuards is the configuration of a move with its guards by class slot.
func (s *Service) withGuards(plan MovePlan) moves.Config {
	c := plan.Config
	c.Guards, c.Worth = nil, nil
	for i, name := range s.settings.classNames() {
		var g moves.Guards
		var w moves.ClassWorth
		if name != "" {
			g = plan.GuardsFor(name)
			rules := &s.settings.slots[i].rules
			w = moves.ClassWorth{InTime: rules.Worth, Late: rules.Worth * rules.LateWorth}
		}
		c.Guards, c.Worth = append(c.Guards, g), append(c.Worth, w)
	}
	return c
}

// assignBits assigns free bits to waiting moves, unless a move of the same name is still being
// undone. It removes moves that are over, and recomputes the pools of the endpoints.
func (s *Service) assignBits() {
	p := &s.pools
	p.active = false
	for i, m := range p.moves {
		if m != nil && m.Removable() {
			if m.Progress().Phase == moves.Done {
				s.log.Warn("a move that was done is out of the operator's file: endpoints of its old pool that are in the list get requests again", "move", m.Name)
			}
			p.moves[i] = nil
		}
	}
	var waiting []MovePlan
	for _, plan := range p.waiting {
		if i := p.freeBit(plan.Name); i >= 0 {
			p.moves[i], p.plans[i] = moves.New(s.now(), s.withGuards(plan)), plan
		} else {
			waiting = append(waiting, plan)
		}
	}
	p.waiting = waiting
	for _, m := range p.moves {
		p.active = p.active || m != nil
	}
	s.refreshPools()
}

// freeBit returns an unused bit; -1: there is none, or a move of this name still exists.
func (p *pools) freeBit(name string) int {
	if p.byName(name) >= 0 {
		return -1
	}
	return slices.Index(p.moves[:], nil)
}

// refreshPools recomputes which endpoints are in which pools, and which masks have a ready
// endpoint.
func (s *Service) refreshPools() {
	p := &s.pools
	if !p.active {
		return
	}
	p.usable = [len(p.usable)]bool{}
	for _, e := range s.endpoints.byID {
		e.pools = moves.Pools{}
		for i, m := range p.moves {
			if m == nil {
				continue
			}
			from, to := m.From.Matches(&e.entry), m.To.Matches(&e.entry)
			if from && !to {
				e.pools.From |= 1 << i
			}
			if to && !from { // an endpoint that both select is in neither pool
				e.pools.To |= 1 << i
			}
		}
		for mask := range p.usable {
			p.usable[mask] = p.usable[mask] || e.Readiness == policy.Ready && moves.Mask(mask).Allows(e.pools)
		}
	}
}

// mask states which pools a call is routed to: by the hash of its key, so that a key changes
// pools at most once, and otherwise at random.
func (p *pools) mask(key string) (mask moves.Mask) {
	hash := rand.Uint64
	if key != "" {
		h := fnv.New64a() // the same in every process
		h.Write([]byte(key))
		sum := h.Sum64()
		hash = func() uint64 { return sum }
	}
	for i, m := range p.moves {
		if m != nil && m.RoutesToNew(hash()) {
			mask |= 1 << i
		}
	}
	return mask
}

// allowedByMoves reports whether a call may go to an endpoint under the moves. A retry may
// cross to the other pool where that is harmless: if no attempt can have run, or the request
// may run any number of times.
func (s *Service) allowedByMoves(c *call, to policy.Endpoint) bool {
	if !s.pools.usable[c.mask&(1<<moves.MaxMoves-1)] || len(c.attempts) > 0 && (c.mayHaveRun == 0 || c.repeatable) {
		return true
	}
	e := s.endpoints.byID[to.ID]
	return e == nil || c.mask.Allows(e.pools)
}

// observe reports the end of an attempt to the moves. Only first attempts count, since a retry
// was caused by another endpoint and has less time. An attempt that was not sent for lack of
// the sidecar's own connection slots says nothing about a pool.
func (s *Service) observe(c *call, a *attempt, result upstream.Answer) {
	e := s.endpoints.byID[a.endpoint]
	if a.n > 0 || e == nil || e.pools == (moves.Pools{}) {
		return
	}
	p := &s.settings.slots[c.class].rules
	o := moves.AttemptResult{Class: c.class, Endpoint: uint32(a.endpoint)}
	switch result.Result {
	case policy.Served:
		o.Took, o.Late = result.Elapsed, p.Aim > 0 && result.Elapsed > p.Aim
	case policy.Declined:
		o.Declined = true
	case policy.Cancelled: // another attempt was faster, or the client has disconnected
		if o.Late = p.Aim > 0 && result.Elapsed > p.Aim; !o.Late {
			return
		}
	case policy.NotSent:
		return
	default:
		o.Failed, o.Late = true, result.Result == policy.NoAnswer
	}
	age := s.now() - max(e.Started, e.firstSent)
	for i, m := range s.pools.moves {
		bit := uint8(1) << i
		if m == nil || (e.pools.From|e.pools.To)&bit == 0 {
			continue
		}
		o.New = e.pools.To&bit != 0
		o.Cold = age < max(m.Warming, s.settings.policy.WarmupTime)
		m.Observe(&o)
	}
}

// TickMoves advances the moves in time. It must be called once a second.
func (s *Service) TickMoves() {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.pools
	if !p.active && len(p.waiting) == 0 {
		return
	}
	now, names := s.now(), s.settings.classNames()
	statuses := learnt.EndpointStatuses(now, s.balancer)
	reassign := len(p.waiting) > 0
	for i, m := range p.moves {
		if m == nil {
			continue
		}
		m.Conditions(s.poolMembers(i, statuses))
		for _, e := range m.Tick(now, names) {
			s.logMove(m, e)
		}
		reassign = reassign || m.Removable()
	}
	if reassign {
		s.assignBits()
	}
}

// poolMembers are the endpoints of both pools of a move.
func (s *Service) poolMembers(i int, statuses map[policy.EndpointID]learnt.EndpointStatus) (all []moves.Member) {
	bit := uint8(1) << i
	for id, e := range s.endpoints.byID {
		if (e.pools.From|e.pools.To)&bit == 0 {
			continue
		}
		all = append(all, moves.Member{
			ID: uint32(id), From: e.pools.From&bit != 0, To: e.pools.To&bit != 0,
			Ready: e.Readiness == policy.Ready, Weight: cmp.Or(statuses[id].Speed, e.NominalSize), Warmth: statuses[id].Warmth,
			InFlight: statuses[id].InFlight,
		})
	}
	return all
}

func (s *Service) logMove(m *moves.Move, e moves.Event) {
	level := slog.LevelInfo
	if e.What != "begun" && e.What != "step" && e.What != "watching" && e.What != "done" {
		level = slog.LevelWarn
	}
	s.log.Log(context.Background(), level, "move "+e.What, "move", m.Name, "share", e.Share, "why", e.Why)
}

// MoveState is the state of a move as operators see it.
type MoveState struct {
	Name, Service       string
	From, To            string
	Progress            moves.Progress
	Plan                moves.Plan
	PhaseAge, Remaining time.Duration // PhaseAge: time in this phase or step; Remaining: minimum time until it is done
	NewShare            float64       // fraction of recent requests that were routed to the new pool
	Ready               [2]int        // endpoints of the old and the new pool
	Evidence            []moves.Evidence
}

// Moves returns the moves of the service, ordered by bit.
func (s *Service) Moves() (all []MoveState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, names := s.now(), s.settings.classNames()
	for i, m := range s.pools.moves {
		if m == nil {
			continue
		}
		st := MoveState{
			Name: m.Name, Service: s.name, From: m.From.String(), To: m.To.String(), Progress: m.Progress(), Plan: m.Plan,
			PhaseAge: now - m.Progress().Since, NewShare: m.NewShare(), Evidence: m.Evidence(names),
		}
		st.Remaining = st.Progress.Remaining(now, &m.Plan)
		for _, e := range s.poolMembers(i, nil) {
			if e.Ready && e.From {
				st.Ready[0]++
			} else if e.Ready {
				st.Ready[1]++
			}
		}
		all = append(all, st)
	}
	return all
}

// ErrNoMove states that a service has no move of the given name.
var ErrNoMove = errors.New("there is no such move")

// CommandMove executes an operator's command on a move: begin, hold, go-on or undo.
func (s *Service) CommandMove(name, command string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.pools.byName(name)
	if i < 0 {
		return ErrNoMove
	}
	now, m := s.now(), s.pools.moves[i]
	m.Conditions(s.poolMembers(i, learnt.EndpointStatuses(now, s.balancer)))
	var err error
	switch command {
	case "begin":
		err = m.Begin(now)
	case "hold":
		err = m.Hold(now, "by an operator")
	case "go-on":
		err = m.Resume(now)
	case "undo":
		err = m.Undo(now, "by an operator")
	default:
		err = fmt.Errorf("%.40q is not a move command", command)
	}
	if err != nil {
		return fmt.Errorf("move %s: %w", name, err)
	}
	s.log.Info("move by an operator", "move", name, "word", command, "share", m.Share())
	return nil
}

// byName returns the bit of the named move; -1: there is none.
func (p *pools) byName(name string) int {
	return slices.IndexFunc(p.moves[:], func(m *moves.Move) bool { return m != nil && m.Name == name })
}

// AddMoveEvidence adds observations of the two pools of a move by other processes.
func (s *Service) AddMoveEvidence(name, class string, k moves.FaultKind, b judge.Block) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.pools.byName(name)
	if i < 0 {
		return ErrNoMove
	}
	return s.pools.moves[i].AddEvidence(slices.Index(s.settings.classNames(), class), k, b)
}

// MoveRecords are the states of the moves for another process.
func (s *Service) MoveRecords() []moves.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moveRecords()
}

// AdoptMoves continues the moves from the states in the records.
func (s *Service) AdoptMoves(all []moves.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptMoves(all)
}

func (s *Service) moveRecords() (all []moves.Record) {
	for _, m := range s.pools.moves {
		if m != nil {
			all = append(all, m.Record())
		}
	}
	return all
}

func (s *Service) adoptMoves(all []moves.Record) {
	for _, r := range all {
		for _, m := range s.pools.moves {
			if m != nil && m.Restore(s.now(), r) {
				s.log.Info("move taken over", "move", m.Name, "phase", string(r.Phase), "share", r.Share)
			}
		}
	}
}
