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

// MovePlan is a move between two pools of a service as an operator wants it.
type MovePlan struct {
	moves.Config                                 // without Guards
	GuardsFor    func(class string) moves.Guards // by the name of a class
}

// pools are the moves over a service. Each has a bit, which it keeps.
type pools struct {
	moves [moves.MaxMoves]*moves.Move // nil: none has the bit
	plans [moves.MaxMoves]MovePlan
	next  []MovePlan // that wait until a move over the same endpoints is over
	any   bool       // there is one
	// meets tells by mask whether an endpoint is ready that a request of it may
	// meet. Where none is it may meet all: an empty pool loses no request.
	meets [1 << moves.MaxMoves]bool
}

// SetMoves has the service go by these moves. One that is under way and is not
// among them is undone first, and one that takes its place waits for that. More
// than moves.MaxMoves wait as well.
func (s *Service) SetMoves(plans []MovePlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.pools
	p.next = nil
	for i, m := range p.moves {
		if m != nil && !isAmong(m, plans) {
			p.moves[i].Retire()
		}
	}
	for _, plan := range plans {
		if i := p.find(&plan); i >= 0 {
			p.plans[i] = plan
			p.moves[i].Configure(s.now(), s.guarded(plan))
		} else {
			p.next = append(p.next, plan)
		}
	}
	s.placeMoves()
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

// guarded is a plan's move with its guards by the places of the classes.
func (s *Service) guarded(plan MovePlan) moves.Config {
	c := plan.Config
	c.Guards, c.Worth = nil, nil
	for i, name := range s.settled.names() {
		var g moves.Guards
		var w moves.ClassWorth
		if name != "" {
			g = plan.GuardsFor(name)
			rules := &s.settled.places[i].rules
			w = moves.ClassWorth{InTime: rules.Worth, Late: rules.Worth * rules.LateWorth}
		}
		c.Guards, c.Worth = append(c.Guards, g), append(c.Worth, w)
	}
	return c
}

// placeMoves gives those that wait a bit where one is free and no move of the same
// name is still on its way back, drops those that are over, and looks up anew
// which endpoints are in which pool.
func (s *Service) placeMoves() {
	p := &s.pools
	p.any = false
	for i, m := range p.moves {
		if m != nil && m.Over() {
			if m.Course().Phase == moves.Done {
				s.log.Warn("a move that was done is out of the operator's file: endpoints of its old pool that are in the list get requests again", "move", m.Name)
			}
			p.moves[i] = nil
		}
	}
	var wait []MovePlan
	for _, plan := range p.next {
		if i := p.free(plan.Name); i >= 0 {
			p.moves[i], p.plans[i] = moves.New(s.now(), s.guarded(plan)), plan
		} else {
			wait = append(wait, plan)
		}
	}
	p.next = wait
	for _, m := range p.moves {
		p.any = p.any || m != nil
	}
	s.endpointsMoved()
}

// free is a bit that no move has; -1: none, or one of this name is there still.
func (p *pools) free(name string) int {
	if p.named(name) >= 0 {
		return -1
	}
	return slices.Index(p.moves[:], nil)
}

// endpointsMoved looks up which endpoints are in which pools, and which masks
// leave a request somewhere to go.
func (s *Service) endpointsMoved() {
	p := &s.pools
	if !p.any {
		return
	}
	p.meets = [len(p.meets)]bool{}
	for _, e := range s.endpoints.byID {
		e.pools = moves.Pools{}
		for i, m := range p.moves {
			if m == nil {
				continue
			}
			from, to := m.From.Picks(&e.entry), m.To.Picks(&e.entry)
			if from && !to {
				e.pools.From |= 1 << i
			}
			if to && !from { // one in both is in neither
				e.pools.To |= 1 << i
			}
		}
		for mask := range p.meets {
			p.meets[mask] = p.meets[mask] || e.Readiness == policy.Ready && moves.Mask(mask).Allows(e.pools)
		}
	}
}

// mask is which pools a call meets: by its key where it has one, so that a key
// changes pools once at most, and else by chance.
func (p *pools) mask(key string) (mask moves.Mask) {
	hash := rand.Uint64
	if key != "" {
		h := fnv.New64a() // alike in every process
		h.Write([]byte(key))
		sum := h.Sum64()
		hash = func() uint64 { return sum }
	}
	for i, m := range p.moves {
		if m != nil && m.Meets(hash()) {
			mask |= 1 << i
		}
	}
	return mask
}

// meets reports whether a call may go to an endpoint by the moves. What is tried
// again crosses to the other pool where that does no harm: where nothing of it
// can have run, or it may run any number of times.
func (s *Service) meets(c *call, to policy.Endpoint) bool {
	if !s.pools.meets[c.mask&(1<<moves.MaxMoves-1)] || len(c.attempts) > 0 && (c.unsure == 0 || c.repeatable) {
		return true
	}
	e := s.endpoints.byID[to.ID]
	return e == nil || c.mask.Allows(e.pools)
}

// seen tells the moves how an attempt ended. Only first ones count: what is tried
// again is so for the fault of another, and has less time. What was not sent, for
// want of the sidecar's own places, speaks of no pool.
func (s *Service) seen(c *call, a *attempt, result upstream.Answer) {
	e := s.endpoints.byID[a.endpoint]
	if a.n > 0 || e == nil || e.pools == (moves.Pools{}) {
		return
	}
	p := &s.settled.places[c.class].rules
	o := moves.Seen{Class: c.class, Endpoint: uint32(a.endpoint)}
	switch result.Result {
	case policy.Served:
		o.Took, o.Late = result.Elapsed, p.Aim > 0 && result.Elapsed > p.Aim
	case policy.Declined:
		o.Turned = true
	case policy.Cancelled: // another attempt was sooner, or its client has left
		if o.Late = p.Aim > 0 && result.Elapsed > p.Aim; !o.Late {
			return
		}
	case policy.NotSent:
		return
	default:
		o.Failed, o.Late = true, result.Result == policy.NoAnswer
	}
	age := s.now() - max(e.Started, e.first)
	for i, m := range s.pools.moves {
		bit := uint8(1) << i
		if m == nil || (e.pools.From|e.pools.To)&bit == 0 {
			continue
		}
		o.New = e.pools.To&bit != 0
		o.Cold = age < max(m.Warming, s.settled.policy.WarmupTime)
		m.See(&o)
	}
}

// TickMoves lets time pass for the moves. It is to be called once a second.
func (s *Service) TickMoves() {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.pools
	if !p.any && len(p.next) == 0 {
		return
	}
	now, names := s.now(), s.settled.names()
	standings := learnt.EndpointStatuses(now, s.balancer)
	over := len(p.next) > 0
	for i, m := range p.moves {
		if m == nil {
			continue
		}
		m.Conditions(s.poolMembers(i, standings))
		for _, e := range m.Tick(now, names) {
			s.logMove(m, e)
		}
		over = over || m.Over()
	}
	if over {
		s.placeMoves()
	}
}

// poolMembers are the endpoints of both pools of a move.
func (s *Service) poolMembers(i int, standings map[policy.EndpointID]learnt.EndpointStatus) (all []moves.Member) {
	bit := uint8(1) << i
	for id, e := range s.endpoints.byID {
		if (e.pools.From|e.pools.To)&bit == 0 {
			continue
		}
		all = append(all, moves.Member{
			ID: uint32(id), From: e.pools.From&bit != 0, To: e.pools.To&bit != 0,
			Ready: e.Readiness == policy.Ready, Weight: cmp.Or(standings[id].Speed, e.NominalSize), Warmth: standings[id].Warmth,
			InFlight: standings[id].InFlight,
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

// MoveState is a move as an operator is shown it.
type MoveState struct {
	Name, Service       string
	From, To            string
	Course              moves.Course
	Plan                moves.Plan
	PhaseAge, Remaining time.Duration // that it has been in this phase or step, and until it is done at least
	NewShare            float64       // part of the requests that met the new pool of late
	Ready               [2]int        // endpoints of the old pool and the new
	Evidence            []moves.Evidence
}

// Moves are the moves over the service, by their bits.
func (s *Service) Moves() (all []MoveState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, names := s.now(), s.settled.names()
	for i, m := range s.pools.moves {
		if m == nil {
			continue
		}
		st := MoveState{
			Name: m.Name, Service: s.name, From: m.From.String(), To: m.To.String(), Course: m.Course(), Plan: m.Plan,
			PhaseAge: now - m.Course().Since, NewShare: m.Got(), Evidence: m.Evidence(names),
		}
		st.Remaining = st.Course.Left(now, &m.Plan)
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

// ErrNoMove tells that a service has no move of a name.
var ErrNoMove = errors.New("there is no such move")

// CommandMove is an operator's word on a move: begin, hold, go-on or undo.
func (s *Service) CommandMove(name, word string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.pools.named(name)
	if i < 0 {
		return ErrNoMove
	}
	now, m := s.now(), s.pools.moves[i]
	m.Conditions(s.poolMembers(i, learnt.EndpointStatuses(now, s.balancer)))
	var err error
	switch word {
	case "begin":
		err = m.Begin(now)
	case "hold":
		err = m.Hold(now, "by an operator")
	case "go-on":
		err = m.GoOn(now)
	case "undo":
		err = m.Undo(now, "by an operator")
	default:
		err = fmt.Errorf("%.40q is no word on a move", word)
	}
	if err != nil {
		return fmt.Errorf("move %s: %w", name, err)
	}
	s.log.Info("move by an operator", "move", name, "word", word, "share", m.Share())
	return nil
}

// named is the bit of a move; -1: there is none of this name.
func (p *pools) named(name string) int {
	return slices.IndexFunc(p.moves[:], func(m *moves.Move) bool { return m != nil && m.Name == name })
}

// AddMoveEvidence tells a move what others have seen of its two pools.
func (s *Service) AddMoveEvidence(name, class string, k moves.Kind, b judge.Block) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.pools.named(name)
	if i < 0 {
		return ErrNoMove
	}
	return s.pools.moves[i].Told(slices.Index(s.settled.names(), class), k, b)
}

// MoveRecords are what another process is told of the moves.
func (s *Service) MoveRecords() []moves.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moveRecords()
}

// AdoptMoves has the moves go on where records have them.
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
			if m != nil && m.Adopt(s.now(), r) {
				s.log.Info("move taken over", "move", m.Name, "phase", string(r.Phase), "share", r.Share)
			}
		}
	}
}
