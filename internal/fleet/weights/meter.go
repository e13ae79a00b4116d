package weights

import (
	"slices"
	"time"
)

const (
	// MaxReportParts is how many messages a report has at most. What does not fit waits.
	MaxReportParts = 64
	// MaxPartBytes bounds the bytes of one part, as it is packed.
	MaxPartBytes = 800
)

// Report is one part of what a gateway tells the holder of the duty: sums since the report
// before, until it is acknowledged.
type Report struct {
	From         string
	To           string
	Incarnation  uint64
	Heartbeat    uint64  // of this incarnation's periods, from 1
	Seq          uint64  // of its reports, from 1
	Part         int     // of the report, from 0
	TableVersion Version // the table that it knows of, and
	TableParts   uint64  // which parts of that it has, a bit for each
	Stats        []byte  // packed
}

// Version numbers tables: terms of holders, and in a term from 1.
type Version struct {
	Term uint64
	Seq  uint64
}

// Less reports whether a table is older.
func (n Version) Less(o Version) bool { return n.Term < o.Term || n.Term == o.Term && n.Seq < o.Seq }

// Reporter is what a gateway tells of its sums: each once, to one holder after another. One
// report is out at a time and is sent again until all of it is acknowledged; what is seen
// meanwhile is told after it.
type Reporter struct {
	pending map[ID]*Stats // not told yet; as many as endpoints
	since   time.Duration
	seq     uint64
	frozen  time.Duration // when the report that is out was packed
	parts   [][]byte      // of the report that is out
	acked   uint64        // parts, a bit for each
}

// NewReporter makes one that has seen nothing.
func NewReporter() *Reporter { return &Reporter{pending: map[ID]*Stats{}} }

// oldest is how old sums may be: of a holder that was lost nobody has to hear long after.
const oldest = 10 * Period

// Add adds what was seen since the last call.
func (m *Reporter) Add(now time.Duration, seen []Stats) {
	if len(m.pending) == 0 {
		m.since = now
	}
	if now-m.since > oldest {
		clear(m.pending)
		m.since = now
	}
	for i := range seen {
		s := &seen[i]
		if s.empty() {
			continue
		}
		p := m.pending[s.ID]
		if p == nil {
			if len(m.pending) >= MaxEndpoints {
				continue
			}
			p = &Stats{ID: s.ID}
			m.pending[s.ID] = p
		}
		p.add(s)
	}
}

// Tick returns the parts of the report that is out which are not acknowledged, or of the next
// one: at least one part, empty where there is nothing to tell.
func (m *Reporter) Tick(now time.Duration) (seq uint64, parts map[int][]byte) {
	if m.acked == 1<<len(m.parts)-1 || now-m.frozen > oldest {
		m.next()
		m.frozen, m.since = now, now
	}
	parts = map[int][]byte{}
	for i, p := range m.parts {
		if m.acked&(1<<i) == 0 {
			parts[i] = p
		}
	}
	return m.seq, parts
}

// next packs what is pending into the next report.
func (m *Reporter) next() {
	m.seq++
	m.acked, m.parts = 0, nil
	ids := make([]ID, 0, len(m.pending))
	for id := range m.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var part []byte
	for _, id := range ids {
		packed := appendSums(nil, m.pending[id])
		if len(part)+len(packed) > MaxPartBytes {
			if len(m.parts) == MaxReportParts-2 {
				break // the rest waits
			}
			m.parts, part = append(m.parts, part), nil
		}
		part = append(part, packed...)
		delete(m.pending, id)
	}
	m.parts = append(m.parts, part)
}

// Ack takes word that a part was taken.
func (m *Reporter) Ack(seq uint64, part int) {
	if seq == m.seq && part >= 0 && part < len(m.parts) {
		m.acked |= 1 << part
	}
}

// told is what a holder knows of a gateway's reports.
type told struct {
	incarnation, seq uint64
	parts            uint64
	at               time.Duration
}

// take reports whether a part is new.
func (t *told) take(now time.Duration, r *Report) bool {
	if r.Part < 0 || r.Part >= MaxReportParts || r.Incarnation < t.incarnation || r.Incarnation == t.incarnation && r.Seq < t.seq {
		return false
	}
	if r.Incarnation > t.incarnation || r.Seq > t.seq {
		*t = told{incarnation: r.Incarnation, seq: r.Seq}
	}
	t.at = now
	if t.parts&(1<<r.Part) != 0 {
		return false
	}
	t.parts |= 1 << r.Part
	return true
}
