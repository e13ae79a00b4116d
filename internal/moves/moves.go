// Package moves shifts the requests of a service from one pool of its endpoints to
// another, step by step: this package selects the pool for a request, and the decision
// module the endpoint within it. Each step is judged by comparing the attempts on both
// pools: a regression is undone, a fault of both pools halts the move, and missing
// evidence makes it wait.
//
// It is pure: time and observations come in with the calls, shares and events go out.
// docs/design/moves.md has the reasons for the design.
package moves

import (
	"errors"
	"fmt"
	"time"

	"spokegw/internal/moves/judge"
)

// Config is the configuration of a move.
type Config struct {
	Name     string
	From, To Selector
	Plan
	Guards []Guards // by class of the service
	Worth  []ClassWorth
	// WorthGuard limits the loss of the total worth of all requests; with a margin of 0
	// it is not judged.
	WorthGuard judge.Guard
	// Warming is how long an endpoint may be slow after it started or, if that time is
	// unknown, after it first received requests of the move.
	Warming time.Duration
	// Headroom is how many times the load of an old endpoint of the same weight a warm
	// endpoint of the new pool can take.
	Headroom float64
	// Connections is the average number of attempts in flight on each endpoint of the new
	// pool from which steps stop proceeding; each attempt has a connection of its own. 0:
	// no limit.
	Connections float64
}

// Same reports whether both are the same move, possibly with different plans.
func (c *Config) Same(o *Config) bool { return c.Name == o.Name && c.From == o.From && c.To == o.To }

// Member is the view that a move has of an endpoint.
type Member struct {
	ID       uint32
	From, To bool
	Ready    bool    // accepts new requests
	Weight   float64 // relative capacity, learned or else configured; 0 counts as 1
	Warmth   float64 // fraction of its capacity that is certainly available
	InFlight float64 // attempts in flight
}

// Move is a move at any phase. It is not safe for concurrent use.
type Move struct {
	Config
	progress     Progress
	assessor     *assessor
	salt         uint64
	retired      bool // no longer in the operator file
	newMembers   int  // ready endpoints of the new pool
	fullCapacity float64
	conditions   Conditions
}

// New returns a waiting move.
func New(now time.Duration, c Config) *Move {
	m := &Move{Config: c, progress: Progress{Phase: Waiting, Since: now, LastTick: now}, salt: Salt(c.Name)}
	m.assessor = newAssessor(now, &m.Config)
	return m
}

// RoutesToNew reports whether a request with this hash goes to the new pool.
func (m *Move) RoutesToNew(hash uint64) bool {
	return m.progress.Share > 0 && Position(hash, m.salt) < m.progress.Share
}

// NewShare is the recent fraction of judged requests that went to the new pool.
func (m *Move) NewShare() float64 { return m.assessor.newShare }

// Share is the fraction of the requests routed to the new pool.
func (m *Move) Share() float64 { return m.progress.Share }

// Progress returns the current state of the move.
func (m *Move) Progress() Progress { return m.progress }

// Observing reports whether observations still affect the move.
func (m *Move) Observing() bool { return m.progress.Phase.UnderWay() && m.progress.Phase != Undoing }

// Observe records a finished attempt.
func (m *Move) Observe(r *AttemptResult) {
	if m.Observing() {
		m.assessor.observe(r)
	}
}

// AddEvidence adds observations of others, such as the other sidecars of a fleet.
func (m *Move) AddEvidence(class int, k FaultKind, b judge.Block) error {
	if !m.Observing() {
		return errors.New("the move is not accepting evidence in its current phase")
	}
	return m.assessor.addEvidence(class, k, b)
}

// Conditions updates the endpoints of both pools.
func (m *Move) Conditions(members []Member) {
	var cond Conditions
	fromCapacity, toCapacity, inFlight := 0.0, 0.0, 0.0
	for _, e := range members {
		w := e.Weight
		if !(w > 0 && w < 1e9) {
			w = 1
		}
		switch {
		case !e.Ready || e.From == e.To:
		case e.From:
			cond.From++
			fromCapacity += w * e.Warmth
		default:
			cond.To++
			inFlight += e.InFlight
			if e.Warmth >= 1 {
				w *= max(m.Headroom, 1) // the cold rule limits a cold endpoint
			}
			toCapacity += w * e.Warmth
		}
	}
	if m.progress.Phase == Waiting || m.fullCapacity == 0 {
		m.fullCapacity = fromCapacity // the capacity that has served all requests so far
	}
	cond.FromCapacity, cond.ToCapacity = 1, 1
	if m.fullCapacity > 0 {
		cond.FromCapacity, cond.ToCapacity = min(1, max(m.Headroom, 1)*fromCapacity/m.fullCapacity), min(1, toCapacity/m.fullCapacity)
	}
	if m.Connections > 0 && inFlight >= m.Connections*float64(cond.To) {
		cond.ToCapacity = min(cond.ToCapacity, m.progress.Share) // no increase
	}
	m.conditions, m.newMembers = cond, cond.To
}

// Tick advances time. Call it about once a second.
func (m *Move) Tick(now time.Duration, classes []string) (events []Event) {
	var a Assessment
	if m.Observing() {
		m.assessor.closeBlocks(now)
		var id uint32
		var excluded bool
		if a, id, excluded = m.assessor.assess(now, classes, m.newMembers); excluded {
			events = append(events, Event{What: "one endpoint", Why: fmt.Sprintf("endpoint number %d causes most of the faults: it is excluded from judging", id), Share: m.progress.Share})
		}
	}
	before := m.progress.Phase
	more, forget := m.progress.Tick(now, &m.Plan, a, m.conditions)
	if forget {
		m.assessor.reset(now)
	}
	if before == Waiting && m.progress.Phase == Moving {
		more = []Event{{What: "begun", Share: m.progress.Share}}
	}
	if m.retired && m.progress.Phase != Undoing && m.progress.Phase.UnderWay() {
		m.progress.Undo(now, m.assessor.newRequests, "the move is no longer in the operator file")
		more = append(more, m.progress.event())
	}
	return append(events, more...)
}

// Begin, Hold, Resume and Undo are operator commands.
func (m *Move) Begin(now time.Duration) error {
	err := m.progress.Begin(now, m.assessor.newRequests, m.conditions)
	if err == nil {
		m.assessor.reset(now)
	}
	return err
}

func (m *Move) Hold(now time.Duration, why string) error {
	return m.progress.Hold(now, m.assessor.newRequests, why)
}

func (m *Move) Resume(now time.Duration) error {
	err := m.progress.Resume(now, m.assessor.newRequests, m.conditions)
	if err == nil {
		m.assessor.reset(now)
	}
	return err
}

func (m *Move) Undo(now time.Duration, why string) error {
	return m.progress.Undo(now, m.assessor.newRequests, why)
}

// Retire takes the move out of use; if it is under way it is undone first. Removable
// reports whether it can be dropped.
func (m *Move) Retire() { m.retired = true }
func (m *Move) Removable() bool {
	return m.retired && !m.progress.Phase.UnderWay()
}

// Configure applies a changed configuration. The share stays, and the step starts over.
func (m *Move) Configure(now time.Duration, c Config) {
	m.Config, m.retired = c, false
	m.progress.Restore(now, &m.Plan)
	m.assessor = newAssessor(now, &m.Config)
}

// Evidence returns the current evidence.
func (m *Move) Evidence(classes []string) []Evidence { return m.assessor.evidence(classes) }
