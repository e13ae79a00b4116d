package weights

import (
	"bytes"
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minFactor and maxFactor bound a table's factor on a listed weight, whatever is measured or
	// claimed: a slow endpoint still gets requests, and so is still measured.
	minFactor, maxFactor = 0.125, 8
	// maxStep is the maximum change of a factor's logarithm per period.
	maxStep = 0.25
	// minMove is the minimum change of a factor's logarithm. Differences below it, or below the
	// estimate's deviation, are ignored.
	minMove = 0.06

	partEntries   = 64 // entries of a part of a table
	entrySize     = 10 // bytes
	maxPlanBytes  = 4096
	planPartBytes = partEntries * entrySize
)

// The first byte of a part states its contents.
const (
	contentsFactors = iota
	contentsPlan
)

// Table is what all gateways use: factors in thousandths by endpoint, 1,000 for those without an
// entry, and a plan, which is opaque here.
type Table struct {
	Version
	Factors map[ID]uint16
	Plan    []byte
}

// Assigner moves a table towards the estimates. Only the leader has one.
type Assigner struct {
	table      Table
	logFactors map[ID]float64
}

// NewAssigner continues from the logarithms of the factors in force.
func NewAssigner(term uint64, logs map[ID]float64) *Assigner {
	return &Assigner{table: Table{Version: Version{Term: term}}, logFactors: maps.Clone(logs)}
}

// Step takes estimates and a plan, and returns the next table, or the previous one if nothing
// changes.
func (a *Assigner) Step(all []Estimate, plan []byte) Table {
	logs := make(map[ID]float64, len(all))
	sum, nominal := 0.0, 0.0
	for _, e := range all {
		logFactor := a.logFactors[e.ID]
		target := math.Log(math.Max(minFactor, math.Min(e.Factor, maxFactor)))
		if difference := target - logFactor; math.Abs(difference) > math.Max(minMove, e.Deviation) {
			logFactor += math.Max(-maxStep, math.Min(difference, maxStep))
		}
		logs[e.ID] = logFactor
		if e.warm() {
			sum, nominal = sum+e.Nominal*math.Exp(logFactor), nominal+e.Nominal
		}
	}
	excess := 0.0
	if sum > 0 {
		excess = math.Log(sum / nominal)
	}
	if math.Abs(excess) < minMove/2 { // a rounding error is no reason to send everybody a new table
		excess = 0
	}
	factors := make(map[ID]uint16, len(all))
	for id, logFactor := range logs {
		logFactor = math.Max(math.Log(minFactor), math.Min(logFactor-excess, math.Log(maxFactor)))
		logs[id] = logFactor
		if f := uint16(math.Round(1000 * math.Exp(logFactor))); f != 1000 {
			factors[id] = f
		}
	}
	a.logFactors = logs
	if a.table.Seq == 0 || !maps.Equal(factors, a.table.Factors) || !bytes.Equal(plan, a.table.Plan) {
		a.table = Table{Version{a.table.Term, a.table.Seq + 1}, factors, plan}
	}
	return a.table
}

// pack returns the parts of a table, at least one.
func (t Table) pack() (parts [][]byte) {
	ids := make([]ID, 0, len(t.Factors))
	for id := range t.Factors {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for len(ids) > 0 || len(parts) == 0 {
		b := []byte{contentsFactors}
		for _, id := range ids[:min(len(ids), partEntries)] {
			b = binary.BigEndian.AppendUint64(b, uint64(id))
			b = binary.BigEndian.AppendUint16(b, t.Factors[id])
		}
		parts = append(parts, b)
		ids = ids[min(len(ids), partEntries):]
	}
	for plan := t.Plan[:min(len(t.Plan), maxPlanBytes)]; len(plan) > 0; plan = plan[min(len(plan), planPartBytes):] {
		parts = append(parts, append([]byte{contentsPlan}, plan[:min(len(plan), planPartBytes)]...))
	}
	return parts
}

var errTable = errors.New("weights: invalid part of a table")

// addPart decodes a part into the table.
func (t *Table) addPart(b []byte) error {
	if len(b) == 0 || len(b) > 1+planPartBytes || b[0] > contentsPlan {
		return errTable
	}
	contents, b := b[0], b[1:]
	if contents == contentsPlan {
		t.Plan = append(t.Plan, b...)
		return nil
	}
	if len(b)%entrySize != 0 {
		return errTable
	}
	for ; len(b) > 0; b = b[entrySize:] {
		f := binary.BigEndian.Uint16(b[8:])
		if f < minFactor*1000 || f > maxFactor*1000 {
			return errTable
		}
		t.Factors[ID(binary.BigEndian.Uint64(b))] = f
	}
	return nil
}

// maxTableParts is the maximum number of parts of a table.
const maxTableParts = MaxEndpoints/partEntries + maxPlanBytes/planPartBytes + 1

// Answer is the leader's response to a part of a report.
type Answer struct {
	From          string
	To            string
	ToIncarnation uint64
	Heartbeat     uint64  // of the report
	Seq           uint64  // of the report
	Part          int     // part of the report that was accepted; -1: none
	Table         Version // in force
	Index, Parts  int     // Entries is part Index of Parts of the table; -1: none
	Entries       []byte
}

// Replica is a gateway's copy of the table.
type Replica struct {
	version     Version // of the latest table known
	parts       [][]byte
	received    uint64
	complete    Table         // the latest complete table
	confirmedAt time.Duration // when the table was last known to be in force: when the confirmed report was sent
	hasTable    bool

	logFactors map[ID]float64 // logarithms of the factors in force; no more than a table has
	lastStep   time.Duration
}

// NewReplica returns a replica without a table.
func NewReplica() *Replica { return &Replica{logFactors: map[ID]float64{}} }

// Received returns the latest known table's version and a bit mask of its parts that are here.
func (r *Replica) Received() (Version, uint64) { return r.version, r.received }

// Version returns the version of the table in force; the zero value before the first.
func (r *Replica) Version() Version { return r.complete.Version }

// Age returns the maximum age of what is in force; false: there is no table.
func (r *Replica) Age(now time.Duration) (time.Duration, bool) {
	return now - r.confirmedAt, r.hasTable
}

// Apply takes the leader's answer to a report that was sent at a time. A table counts only once
// all its parts are here, so that a mixture of tables is never in force. A table older than the
// one known is ignored.
func (r *Replica) Apply(sent time.Duration, a Answer) error {
	if a.Parts < 1 || a.Parts > maxTableParts || a.Index >= a.Parts || a.Table.Seq == 0 {
		return errTable
	}
	if a.Table.Less(r.version) {
		return nil
	}
	if r.version.Less(a.Table) {
		r.version, r.parts, r.received = a.Table, make([][]byte, a.Parts), 0
	}
	if len(r.parts) != a.Parts {
		return errTable
	}
	if a.Index >= 0 && r.received&(1<<a.Index) == 0 {
		if err := (&Table{Factors: map[ID]uint16{}}).addPart(a.Entries); err != nil {
			return err
		}
		r.parts[a.Index] = a.Entries
		r.received |= 1 << a.Index
	}
	if r.received != 1<<a.Parts-1 {
		return nil
	}
	if r.complete.Version != r.version {
		r.complete = Table{Version: r.version, Factors: map[ID]uint16{}}
		for _, p := range r.parts {
			r.complete.addPart(p) // it was validated when it was received
		}
	}
	r.confirmedAt, r.hasTable = max(r.confirmedAt, sent), true
	return nil
}

// Plan returns the table's plan; nil if the table is older than stale.
func (r *Replica) Plan(now, stale time.Duration) []byte {
	if now-r.confirmedAt > stale {
		return nil
	}
	return r.complete.Plan
}

// Factors returns the factors to apply by endpoint; those without an entry have 1. They move in
// steps towards the table, and back to the listed weights once the table is older than stale.
// changed reports whether they differ from the previous call's.
func (r *Replica) Factors(now, stale time.Duration) (factors map[ID]float64, changed bool) {
	steps := min((now-r.lastStep).Seconds()/Period.Seconds(), 4)
	r.lastStep = now
	target := r.complete.Factors
	if now-r.confirmedAt > stale {
		target = nil
	}
	next := make(map[ID]float64, len(target))
	for id, f := range target {
		next[id] = math.Log(float64(f) / 1000)
	}
	for id := range r.logFactors {
		if _, known := next[id]; !known {
			next[id] = 0
		}
	}
	factors = make(map[ID]float64, len(next))
	for id, goal := range next {
		current := r.logFactors[id]
		step := maxStep * steps
		updated := current + math.Max(-step, math.Min(goal-current, step))
		changed = changed || updated != current
		if next[id] = updated; updated == 0 {
			delete(next, id)
			continue
		}
		factors[id] = math.Exp(updated)
	}
	r.logFactors = next
	return factors, changed
}
