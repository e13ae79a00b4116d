package moves

import (
	"math"
	"time"
)

// Record is the state of a move as passed to another process or persisted. It holds no
// observations: a step starts over there.
type Record struct {
	Name     string
	From, To Selector
	Phase    Phase
	Share    float64
	Full     float64 // capacity of the old pool when the move began
	Why      string
}

// maxWhy bounds a reason in bytes.
const maxWhy = 512

// Record returns the state of the move.
func (m *Move) Record() Record {
	why := m.progress.Why
	return Record{m.Name, m.From, m.To, m.progress.Phase, m.progress.Share, m.fullCapacity, why[:min(len(why), maxWhy)]}
}

// Restore continues a move from a record. A record of another move, or an invalid one, is
// ignored: the move then waits, and all requests go to the old pool.
func (m *Move) Restore(now time.Duration, r Record) bool {
	share := r.Share >= 0 && r.Share <= 1
	full := r.Full >= 0 && !math.IsInf(r.Full, 0)
	if r.Name != m.Name || r.From != m.From || r.To != m.To || !share || !full || len(r.Why) > maxWhy {
		return false
	}
	switch r.Phase {
	case Waiting, Undone:
		if r.Share != 0 {
			return false
		}
	case Moving, Halted, Paused, Watching, Undoing, Done:
	default:
		return false
	}
	m.progress = Progress{Phase: r.Phase, Share: r.Share, Why: r.Why}
	m.progress.Restore(now, &m.Plan)
	m.fullCapacity = r.Full
	m.assessor.reset(now)
	return true
}
