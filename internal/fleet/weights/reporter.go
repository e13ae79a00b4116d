package weights

import (
	"slices"
	"time"
)

const (
	// MaxReportParts is the maximum number of messages of a report. What does not fit goes into
	// the next report.
	MaxReportParts = 64
	// MaxPartBytes bounds the bytes of one packed part.
	MaxPartBytes = 800
)

// Report is one part of a gateway's report to the leader: stats since the previous report,
// repeated until they are acknowledged.
type Report struct {
	From         string
	To           string
	Incarnation  uint64
	Heartbeat    uint64  // number of the period within this incarnation, from 1
	Seq          uint64  // number of the report, from 1
	Part         int     // index of the part of the report, from 0
	TableVersion Version // version of the latest table known to the sender
	TableParts   uint64  // bit mask of that table's parts that the sender has
	Stats        []byte  // packed
}

// Version orders tables: by the leader's term, and within a term by number from 1.
type Version struct {
	Term uint64
	Seq  uint64
}

// Less reports whether n is older than o.
func (v Version) Less(o Version) bool { return v.Term < o.Term || v.Term == o.Term && v.Seq < o.Seq }

// Reporter reports a gateway's stats, each exactly once, also to successive leaders. One report
// is outstanding at a time and is repeated until all of it is acknowledged; later observations go
// into the next one.
type Reporter struct {
	pending  map[ID]*Stats // stats that are in no report yet; at most MaxEndpoints
	since    time.Duration
	seq      uint64
	packedAt time.Duration // when the outstanding report was packed
	parts    [][]byte      // of the outstanding report
	acked    uint64        // bit mask of the parts acknowledged
}

// NewReporter returns a reporter without stats.
func NewReporter() *Reporter { return &Reporter{pending: map[ID]*Stats{}} }

// maxAge bounds the age of stats: a new leader has no use for old ones.
const maxAge = 10 * Period

// Add adds what was observed since the last call.
func (r *Reporter) Add(now time.Duration, stats []Stats) {
	if len(r.pending) == 0 {
		r.since = now
	}
	if now-r.since > maxAge {
		clear(r.pending)
		r.since = now
	}
	for i := range stats {
		s := &stats[i]
		if s.empty() {
			continue
		}
		p := r.pending[s.ID]
		if p == nil {
			if len(r.pending) >= MaxEndpoints {
				continue
			}
			p = &Stats{ID: s.ID}
			r.pending[s.ID] = p
		}
		p.add(s)
	}
}

// Tick returns the unacknowledged parts of the outstanding report, or else the parts of the next
// one: at least one part, which is empty if there is nothing to report.
func (r *Reporter) Tick(now time.Duration) (seq uint64, parts map[int][]byte) {
	if r.acked == 1<<len(r.parts)-1 || now-r.packedAt > maxAge {
		r.packNext()
		r.packedAt, r.since = now, now
	}
	parts = map[int][]byte{}
	for i, p := range r.parts {
		if r.acked&(1<<i) == 0 {
			parts[i] = p
		}
	}
	return r.seq, parts
}

// packNext packs the collected stats into the next report.
func (r *Reporter) packNext() {
	r.seq++
	r.acked, r.parts = 0, nil
	ids := make([]ID, 0, len(r.pending))
	for id := range r.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var part []byte
	for _, id := range ids {
		packed := appendStats(nil, r.pending[id])
		if len(part)+len(packed) > MaxPartBytes {
			if len(r.parts) == MaxReportParts-2 {
				break // the rest goes into the following report
			}
			r.parts, part = append(r.parts, part), nil
		}
		part = append(part, packed...)
		delete(r.pending, id)
	}
	r.parts = append(r.parts, part)
}

// Ack records that a part was accepted.
func (r *Reporter) Ack(seq uint64, part int) {
	if seq == r.seq && part >= 0 && part < len(r.parts) {
		r.acked |= 1 << part
	}
}

// receivedParts is what a leader has accepted of a gateway's reports.
type receivedParts struct {
	incarnation, seq uint64
	parts            uint64
	at               time.Duration
}

// accept reports whether a part is new.
func (p *receivedParts) accept(now time.Duration, r *Report) bool {
	if r.Part < 0 || r.Part >= MaxReportParts || r.Incarnation < p.incarnation || r.Incarnation == p.incarnation && r.Seq < p.seq {
		return false
	}
	if r.Incarnation > p.incarnation || r.Seq > p.seq {
		*p = receivedParts{incarnation: r.Incarnation, seq: r.Seq}
	}
	p.at = now
	if p.parts&(1<<r.Part) != 0 {
		return false
	}
	p.parts |= 1 << r.Part
	return true
}
