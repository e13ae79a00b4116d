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
	// leastFactor and mostFactor bound what a table makes of a listed weight, whatever is
	// measured or claimed: what is slow is still met, and so still measured.
	leastFactor, mostFactor = 0.125, 8
	// stepPart is by how much a factor moves in a period at most, in the log.
	stepPart = 0.25
	// stillPart is the least move: within it, and within what is not sure, nothing moves.
	stillPart = 0.06

	partEntries = 64 // of a table's part
	entrySize   = 10 // bytes
	maxPlan     = 4096
	planPart    = partEntries * entrySize
)

// A part begins with what it has.
const (
	ofFactors = iota
	ofPlan
)

// Table is what all members use: factors in thousandths by endpoint, 1,000 for what is not in
// it; and a plan, which is bytes here.
type Table struct {
	Version
	Factors map[ID]uint16
	Plan    []byte
}

// Assigner moves a table towards what is estimated. It is the holder's.
type Assigner struct {
	table Table
	logs  map[ID]float64
}

// NewAssigner goes on from the logs of the factors that are in force.
func NewAssigner(term uint64, logs map[ID]float64) *Assigner {
	return &Assigner{table: Table{Version: Version{Term: term}}, logs: maps.Clone(logs)}
}

// Step takes estimates and a plan, and returns the next table, or the one before where
// nothing moves.
func (a *Assigner) Step(all []Estimate, plan []byte) Table {
	logs := make(map[ID]float64, len(all))
	sum, nominal := 0.0, 0.0
	for _, e := range all {
		at := a.logs[e.ID]
		to := math.Log(math.Max(leastFactor, math.Min(e.Factor, mostFactor)))
		if off := to - at; math.Abs(off) > math.Max(stillPart, e.Deviation) {
			at += math.Max(-stepPart, math.Min(off, stepPart))
		}
		logs[e.ID] = at
		if e.warm() {
			sum, nominal = sum+e.Nominal*math.Exp(at), nominal+e.Nominal
		}
	}
	over := 0.0
	if sum > 0 {
		over = math.Log(sum / nominal)
	}
	if math.Abs(over) < stillPart/2 { // rounding is no reason to tell all of another table
		over = 0
	}
	factors := make(map[ID]uint16, len(all))
	for id, at := range logs {
		at = math.Max(math.Log(leastFactor), math.Min(at-over, math.Log(mostFactor)))
		logs[id] = at
		if f := uint16(math.Round(1000 * math.Exp(at))); f != 1000 {
			factors[id] = f
		}
	}
	a.logs = logs
	if a.table.Seq == 0 || !maps.Equal(factors, a.table.Factors) || !bytes.Equal(plan, a.table.Plan) {
		a.table = Table{Version{a.table.Term, a.table.Seq + 1}, factors, plan}
	}
	return a.table
}

// pack makes the parts of a table, at least one.
func (t Table) pack() (parts [][]byte) {
	ids := make([]ID, 0, len(t.Factors))
	for id := range t.Factors {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for len(ids) > 0 || len(parts) == 0 {
		b := []byte{ofFactors}
		for _, id := range ids[:min(len(ids), partEntries)] {
			b = binary.BigEndian.AppendUint64(b, uint64(id))
			b = binary.BigEndian.AppendUint16(b, t.Factors[id])
		}
		parts = append(parts, b)
		ids = ids[min(len(ids), partEntries):]
	}
	for plan := t.Plan[:min(len(t.Plan), maxPlan)]; len(plan) > 0; plan = plan[min(len(plan), planPart):] {
		parts = append(parts, append([]byte{ofPlan}, plan[:min(len(plan), planPart)]...))
	}
	return parts
}

var errTable = errors.New("weights: a part of a table that can't be meant")

// take reads a part of a table.
func (t *Table) take(b []byte) error {
	if len(b) == 0 || len(b) > 1+planPart || b[0] > ofPlan {
		return errTable
	}
	what, b := b[0], b[1:]
	if what == ofPlan {
		t.Plan = append(t.Plan, b...)
		return nil
	}
	if len(b)%entrySize != 0 {
		return errTable
	}
	for ; len(b) > 0; b = b[entrySize:] {
		f := binary.BigEndian.Uint16(b[8:])
		if f < leastFactor*1000 || f > mostFactor*1000 {
			return errTable
		}
		t.Factors[ID(binary.BigEndian.Uint64(b))] = f
	}
	return nil
}

// mostTableParts is how many parts a table has at most.
const mostTableParts = MaxEndpoints/partEntries + maxPlan/planPart + 1

// Answer is what the holder of the duty answers a part of a report.
type Answer struct {
	From          string
	To            string
	ToIncarnation uint64
	Heartbeat     uint64  // of the report
	Seq           uint64  // of the report, and
	Part          int     // of it, which was taken; -1: none was
	Table         Version // that is in force
	Index, Parts  int     // the part of it that Entries has, of so many; -1: none
	Entries       []byte
}

// Replica is a member's copy of the table.
type Replica struct {
	number Version // of the latest that was heard of
	parts  [][]byte
	has    uint64
	whole  Table         // the latest that is whole
	fresh  time.Duration // when it was last in force, for sure; as the member's report went out
	got    bool

	now     map[ID]float64 // logs of the factors in force; as many as a table has
	stepped time.Duration
}

// NewReplica has no table.
func NewReplica() *Replica { return &Replica{now: map[ID]float64{}} }

// Received is the latest table that was heard of, and which parts of it are there.
func (c *Replica) Received() (Version, uint64) { return c.number, c.has }

// Version is the table in force; none before there was one.
func (c *Replica) Version() Version { return c.whole.Version }

// Age is how old what is in force may be; false: there is no table.
func (c *Replica) Age(now time.Duration) (time.Duration, bool) { return now - c.fresh, c.got }

// Apply takes what the holder answers a report that went out at a time. A table counts once
// all its parts are there: what is torn is never in force. One that is older than the one
// that is known is not taken.
func (c *Replica) Apply(sent time.Duration, a Answer) error {
	if a.Parts < 1 || a.Parts > mostTableParts || a.Index >= a.Parts || a.Table.Seq == 0 {
		return errTable
	}
	if a.Table.Less(c.number) {
		return nil
	}
	if c.number.Less(a.Table) {
		c.number, c.parts, c.has = a.Table, make([][]byte, a.Parts), 0
	}
	if len(c.parts) != a.Parts {
		return errTable
	}
	if a.Index >= 0 && c.has&(1<<a.Index) == 0 {
		if err := (&Table{Factors: map[ID]uint16{}}).take(a.Entries); err != nil {
			return err
		}
		c.parts[a.Index] = a.Entries
		c.has |= 1 << a.Index
	}
	if c.has != 1<<a.Parts-1 {
		return nil
	}
	if c.whole.Version != c.number {
		c.whole = Table{Version: c.number, Factors: map[ID]uint16{}}
		for _, p := range c.parts {
			c.whole.take(p) // as it was checked
		}
	}
	c.fresh, c.got = max(c.fresh, sent), true
	return nil
}

// Plan is the table's; nil where the table is older than stale.
func (c *Replica) Plan(now, stale time.Duration) []byte {
	if now-c.fresh > stale {
		return nil
	}
	return c.whole.Plan
}

// Factors are those to be in force, by endpoint; what is not there has 1. They move towards
// the table in steps, and back to the list's own weights once the table is older than stale.
// changed reports whether they are other than before.
func (c *Replica) Factors(now, stale time.Duration) (factors map[ID]float64, changed bool) {
	steps := min((now-c.stepped).Seconds()/Period.Seconds(), 4)
	c.stepped = now
	target := c.whole.Factors
	if now-c.fresh > stale {
		target = nil
	}
	next := make(map[ID]float64, len(target))
	for id, f := range target {
		next[id] = math.Log(float64(f) / 1000)
	}
	for id := range c.now {
		if _, known := next[id]; !known {
			next[id] = 0
		}
	}
	factors = make(map[ID]float64, len(next))
	for id, to := range next {
		at := c.now[id]
		step := stepPart * steps
		moved := at + math.Max(-step, math.Min(to-at, step))
		changed = changed || moved != at
		if next[id] = moved; moved == 0 {
			delete(next, id)
			continue
		}
		factors[id] = math.Exp(moved)
	}
	c.now = next
	return factors, changed
}
