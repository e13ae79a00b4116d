package moves

import (
	"math"
	"time"
)

// Record is a move as it is told to another process, or kept. What was seen of the
// pools is not in it: a step begins anew there.
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

// Record is the move's.
func (m *Move) Record() Record {
	why := m.course.Why
	return Record{m.Name, m.From, m.To, m.course.Phase, m.course.Share, m.full, why[:min(len(why), maxWhy)]}
}

// Restore has the move go on where a record's was. One of another move, or one that
// can't be meant, is left out: the move then waits, and all meet the old pool.
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
	m.course = Progress{Phase: r.Phase, Share: r.Share, Why: r.Why}
	m.course.Restore(now, &m.Plan)
	m.full = r.Full
	m.judges.forget(now)
	return true
}
