// Package weights gives a fleet's endpoints weights in proportion to the throughput that
// they are measured to give. It is pure: sums, time and messages come in, tables and
// messages go out; there is no I/O, no clock, no goroutine.
//
// Each gateway sums up what it sees of each endpoint (Reporter), and tells whoever holds the
// duty (package election) each sum once. The holder estimates what each endpoint can do
// (Estimator), moves a table towards that in bounded steps (Assigner), and answers reports
// with it. A member puts a table in force while it is fresh (Replica), and goes back to the
// list's own weights in steps when it is not.
//
// A factor multiplies the weight that discovery lists. What is drained, cold or failing is
// not the business of a weight: the decision module's rules on those are above it.
package weights

import (
	"hash/fnv"
	"io"
	"math"
	"time"
)

// ID names one process of an endpoint of a service at all gateways.
type ID uint64

// NewID is a process's. Two of them meet once in 2^64.
func NewID(service, endpoint string, started time.Duration) ID {
	h := fnv.New64a()
	io.WriteString(h, service+"\x00"+endpoint+"\x00"+started.String())
	return ID(h.Sum64())
}

// Class names a class of a service at all gateways. Two that meet, one pair in 65,536, are
// measured as one.
type Class uint16

// AdmissionID names what was asked for at a service's door, as sums: cells' Served and Work are
// what came, and Warm what of it was owed by contract.
func AdmissionID(service string) ID { return NewID(service, "", -1) }

// NewClass is a class's.
func NewClass(service, class string) Class {
	h := fnv.New32a()
	io.WriteString(h, service+"\x00"+class)
	return Class(h.Sum32() ^ h.Sum32()>>16)
}

const (
	// MaxEndpoints bounds what is measured, by a gateway and in a table.
	MaxEndpoints = 1024
	// MaxCells is for how many classes an endpoint's sums are kept apart, warm keys apart
	// from others; the last place holds all further ones.
	MaxCells = 16
	// Period is the time between reports and between tables.
	Period = time.Second
)

// Cell is what was seen of one class at one endpoint. Cells add up.
type Cell struct {
	Class  Class
	Warm   bool // the endpoint had met the request's key
	Served uint64
	Time   uint64 // from sending to answer, in microseconds
	Work   uint64 // by the hints, in microseconds; a request without one counts a millisecond
	Ratios Ratios
}

// Ratios count requests by time over work, in quarters of an octave from a quarter up. What
// is at the low end did not wait.
type Ratios [ratioBuckets]uint32

const (
	ratioBuckets   = 32
	ratiosOctave   = 4
	ratiosUnderOne = 2 * ratiosOctave // buckets below a ratio of one
)

func (r *Ratios) count(took, work time.Duration) {
	at := math.Floor(ratiosOctave*math.Log2(max(took, 1).Seconds()/max(work, 1).Seconds())) + ratiosUnderOne
	r[int(math.Max(0, math.Min(at, ratioBuckets-1)))]++
}

// Stats are what was seen of one endpoint. They add up.
type Stats struct {
	ID         ID
	Cells      []Cell
	LostTime   uint64 // time of attempts that had no answer, in microseconds: they may have run
	TimedOut   uint64 // those that were waited for to the end
	Errors     uint64 // other attempts that failed: no throughput, and no time
	Declined   uint64
	Unreached  uint64 // of the errors, those with no connection, or whose connection was lost
	Superseded uint64 // those that a later attempt was sooner than: they may be silent
}

func (s *Stats) empty() bool {
	return len(s.Cells) == 0 && s.LostTime == 0 && s.TimedOut == 0 && s.Errors == 0 && s.Declined == 0
}

// cell is a class's.
func (s *Stats) cell(class Class, warm bool) *Cell {
	for i := range s.Cells {
		if c := &s.Cells[i]; c.Class == class && c.Warm == warm {
			return c
		}
	}
	if len(s.Cells) >= MaxCells {
		return &s.Cells[MaxCells-1]
	}
	s.Cells = append(s.Cells, Cell{Class: class, Warm: warm})
	return &s.Cells[len(s.Cells)-1]
}

// add adds another's sums.
func (s *Stats) add(o *Stats) {
	for _, c := range o.Cells {
		to := s.cell(c.Class, c.Warm)
		to.Served, to.Time, to.Work = to.Served+c.Served, to.Time+c.Time, to.Work+c.Work
		for i, n := range c.Ratios {
			to.Ratios[i] += n
		}
	}
	s.LostTime, s.TimedOut, s.Errors, s.Declined, s.Unreached = s.LostTime+o.LostTime, s.TimedOut+o.TimedOut, s.Errors+o.Errors, s.Declined+o.Declined, s.Unreached+o.Unreached
	s.Superseded += o.Superseded
}

// Outcome is how an attempt ended, as far as it tells of the endpoint's throughput.
type Outcome uint8

const (
	Served     Outcome = iota
	TimedOut           // no answer in time
	Cancelled          // it was not waited for: an earlier attempt was sooner, or the client has left
	Superseded         // a later attempt was sooner
	Failed
	Unreached // no connection came up, or it was lost
	Declined
)

// noHint is the work that a request without a hint counts.
const noHint = time.Millisecond

// Record takes the end of an attempt. It allocates only where a class is new.
func (s *Stats) Record(class Class, warm bool, how Outcome, took, work time.Duration) {
	switch how {
	case Served:
		if work <= 0 {
			work = noHint
		}
		c := s.cell(class, warm)
		c.Served++
		c.Time += uint64(max(took, 0) / time.Microsecond)
		c.Work += uint64(max(work/time.Microsecond, 1))
		c.Ratios.count(took, work)
	case TimedOut, Cancelled, Superseded:
		switch how {
		case TimedOut:
			s.TimedOut++
		case Superseded:
			s.Superseded++
		}
		s.LostTime += uint64(max(took, 0) / time.Microsecond)
	case Failed, Unreached:
		s.Errors++
		if how == Unreached {
			s.Unreached++
		}
	case Declined:
		s.Declined++
	}
}
