// Package moves moves the requests of a service from one pool of its endpoints to
// another, step by step: which of the two a request meets is decided here, and
// which endpoint of it by the decision module. Each step is judged by what the
// attempts on the two pools came to side by side; what is worse is undone, what
// is common to both halts the move, and what is not enough to tell waits.
//
// It is pure: time and what was seen come in with the calls, shares and events go
// out. docs/design/moves.md tells why it is as it is.
package moves

import (
	"errors"
	"fmt"
	"time"

	"spokegw/internal/moves/judge"
)

// Config is a move as an operator wants it.
type Config struct {
	Name     string
	From, To Selector
	Plan
	Guards []Guards // by class of the service
	Worth  []ClassWorth
	// WorthGuard is what may be lost of what all requests are worth together; a margin
	// of 0: it is not judged.
	WorthGuard judge.Guard
	// Warming is how long an endpoint may be slow after it started, or after it
	// first met requests of the move if that is not told.
	Warming time.Duration
	// Headroom is how many times as much as those of the old pool an endpoint of
	// the new one can take by its weight, once it is warm.
	Headroom float64
	// Connections is how many attempts may be out on an endpoint of the new pool, on
	// the whole, for a step to go on; each has a connection of its own. 0: any number.
	Connections float64
}

// Same reports whether two are the same move, whose plan may be another.
func (c *Config) Same(o *Config) bool { return c.Name == o.Name && c.From == o.From && c.To == o.To }

// Member is an endpoint as a move sees it.
type Member struct {
	ID       uint32
	From, To bool
	Ready    bool    // new requests may go there
	Weight   float64 // what it can do beside others, as learnt or else told; 0 counts as 1
	Warmth   float64 // share of its capacity that it is sure to have by now
	InFlight float64 // attempts that are out
}

// Move is one move that goes on or is over. It is for one goroutine.
type Move struct {
	Config
	course  Progress
	judges  *judges
	salt    uint64
	retired bool // its operator has taken it out of the file
	members int  // of the new pool, that are ready
	full    float64
	at      Conditions
}

// New makes a move that waits.
func New(now time.Duration, c Config) *Move {
	m := &Move{Config: c, course: Progress{Phase: Waiting, Since: now, LastTick: now}, salt: Salt(c.Name)}
	m.judges = newJudges(now, &m.Config)
	return m
}

// RoutesToNew reports whether a request with this hash meets the new pool.
func (m *Move) RoutesToNew(hash uint64) bool {
	return m.course.Share > 0 && Position(hash, m.salt) < m.course.Share
}

// NewShare is the part of the requests that met the new pool of late, by what was judged.
func (m *Move) NewShare() float64 { return m.judges.got }

// Share is the part of the requests that meets the new pool.
func (m *Move) Share() float64 { return m.course.Share }

// Progress is where the move is.
func (m *Move) Progress() Progress { return m.course }

// Observing reports whether what is seen now matters to it.
func (m *Move) Observing() bool { return m.course.Phase.UnderWay() && m.course.Phase != Undoing }

// Observe takes in an attempt that has ended.
func (m *Move) Observe(s *AttemptResult) {
	if m.Observing() {
		m.judges.see(s)
	}
}

// AddEvidence takes in what others, such as the other sidecars of a fleet, have seen.
func (m *Move) AddEvidence(class int, k FaultKind, b judge.Block) error {
	if !m.Observing() {
		return errors.New("it is not being judged")
	}
	return m.judges.told(class, k, b)
}

// Conditions tells the move of the endpoints that there are.
func (m *Move) Conditions(members []Member) {
	var at Conditions
	from, to, out := 0.0, 0.0, 0.0
	for _, e := range members {
		w := e.Weight
		if !(w > 0 && w < 1e9) {
			w = 1
		}
		switch {
		case !e.Ready || e.From == e.To:
		case e.From:
			at.From++
			from += w * e.Warmth
		default:
			at.To++
			out += e.InFlight
			if e.Warmth >= 1 {
				w *= max(m.Headroom, 1) // a cold one takes no more than the cold rule has
			}
			to += w * e.Warmth
		}
	}
	if m.course.Phase == Waiting || m.full == 0 {
		m.full = from // what has carried all of it so far
	}
	at.FromCapacity, at.ToCapacity = 1, 1
	if m.full > 0 {
		at.FromCapacity, at.ToCapacity = min(1, max(m.Headroom, 1)*from/m.full), min(1, to/m.full)
	}
	if m.Connections > 0 && out >= m.Connections*float64(at.To) {
		at.ToCapacity = min(at.ToCapacity, m.course.Share) // no more than it has
	}
	m.at, m.members = at, at.To
}

// Tick lets time pass. It is to be called about once a second.
func (m *Move) Tick(now time.Duration, classes []string) (events []Event) {
	var v Assessment
	if m.Observing() {
		m.judges.tick(now)
		var id uint32
		var leaves bool
		if v, id, leaves = m.judges.verdict(now, classes, m.members); leaves {
			events = append(events, Event{What: "one endpoint", Why: fmt.Sprintf("what it fails is its own: number %d is left out of what is judged", id), Share: m.course.Share})
		}
	}
	before := m.course.Phase
	more, forget := m.course.Tick(now, &m.Plan, v, m.at)
	if forget {
		m.judges.forget(now)
	}
	if before == Waiting && m.course.Phase == Moving {
		more = []Event{{What: "begun", Share: m.course.Share}}
	}
	if m.retired && m.course.Phase != Undoing && m.course.Phase.UnderWay() {
		m.course.Undo(now, m.judges.ended, "it is no longer in the operator's file")
		more = append(more, m.course.event())
	}
	return append(events, more...)
}

// Begin, Hold, Resume and Undo are an operator's words.
func (m *Move) Begin(now time.Duration) error {
	err := m.course.Begin(now, m.judges.ended, m.at)
	if err == nil {
		m.judges.forget(now)
	}
	return err
}

func (m *Move) Hold(now time.Duration, why string) error {
	return m.course.Hold(now, m.judges.ended, why)
}

func (m *Move) Resume(now time.Duration) error {
	err := m.course.Resume(now, m.judges.ended, m.at)
	if err == nil {
		m.judges.forget(now)
	}
	return err
}

func (m *Move) Undo(now time.Duration, why string) error {
	return m.course.Undo(now, m.judges.ended, why)
}

// Retire takes the move out of use: what is under way is undone first. Over
// reports whether it can be dropped.
func (m *Move) Retire() { m.retired = true }
func (m *Move) Removable() bool {
	return m.retired && !m.course.Phase.UnderWay()
}

// Configure puts another plan in force. The share stays, and its step begins anew.
func (m *Move) Configure(now time.Duration, c Config) {
	m.Config, m.retired = c, false
	m.course.Restore(now, &m.Plan)
	m.judges = newJudges(now, &m.Config)
}

// Evidence is all that is weighed now.
func (m *Move) Evidence(classes []string) []Evidence { return m.judges.evidence(classes) }
