// Package weights gives a fleet's endpoints weights in proportion to their measured throughput.
// It is pure: stats, time and messages come in, tables and messages go out; there is no I/O, no
// clock, no goroutine.
//
// Each gateway sums what it observes of each endpoint and reports each sum exactly once to the
// leader (Reporter; package election elects the leader). The leader estimates the capacity of
// each endpoint (Estimator), moves a table towards the estimates in bounded steps (Assigner), and
// answers reports with it. A gateway applies a table while it is fresh (Replica), and otherwise
// returns to the listed weights in steps.
//
// A factor multiplies the listed weight. Draining, cold and failing endpoints are no matter of
// weights: the decision module's rules for them take precedence.
package weights

import (
	"hash/fnv"
	"io"
	"math"
	"time"
)

// ID identifies a process of an endpoint of a service at all gateways.
type ID uint64

// NewID returns the ID of a process. Two collide with a probability of 1 in 2^64.
func NewID(service, endpoint string, started time.Duration) ID {
	h := fnv.New64a()
	io.WriteString(h, service+"\x00"+endpoint+"\x00"+started.String())
	return ID(h.Sum64())
}

// Class identifies a class of a service at all gateways. Two classes that collide (1 pair in
// 65,536) are measured as one.
type Class uint16

// AdmissionID identifies the stats of requests at a service's admission: the Served and Work of a
// cell are what arrived, and Warm marks requests guaranteed by a contract.
func AdmissionID(service string) ID { return NewID(service, "", -1) }

// NewClass returns the identifier of a class.
func NewClass(service, class string) Class {
	h := fnv.New32a()
	io.WriteString(h, service+"\x00"+class)
	return Class(h.Sum32() ^ h.Sum32()>>16)
}

const (
	// MaxEndpoints bounds the endpoints measured by a gateway and those in a table.
	MaxEndpoints = 1024
	// MaxCells bounds the cells of an endpoint: classes, with warm keys separate. The last cell
	// counts all further classes.
	MaxCells = 16
	// Period is the time between reports and between tables.
	Period = time.Second
)

// Cell counts requests of one class at one endpoint. Cells can be summed.
type Cell struct {
	Class  Class
	Warm   bool // the endpoint had served the request's key before
	Served uint64
	Time   uint64 // from sending to answer, in microseconds
	Work   uint64 // by the hints, in microseconds; a request without a hint counts a millisecond
	Ratios Ratios
}

// Ratios is a histogram of time over work, in quarters of an octave from a ratio of 1/4. Requests
// at the low end did not wait.
type Ratios [ratioBuckets]uint32

const (
	ratioBuckets   = 32
	ratiosOctave   = 4
	ratiosUnderOne = 2 * ratiosOctave // number of buckets for ratios below one
)

func (r *Ratios) count(elapsed, work time.Duration) {
	at := math.Floor(ratiosOctave*math.Log2(max(elapsed, 1).Seconds()/max(work, 1).Seconds())) + ratiosUnderOne
	r[int(math.Max(0, math.Min(at, ratioBuckets-1)))]++
}

// Stats are the observations of one endpoint. They can be summed.
type Stats struct {
	ID         ID
	Cells      []Cell
	LostTime   uint64 // time of attempts without an answer, in microseconds: they may have been executed
	TimedOut   uint64 // attempts without an answer in time
	Errors     uint64 // other failed attempts, which count no throughput and no time
	Declined   uint64
	Unreached  uint64 // of Errors, those without a connection, or whose connection was lost
	Superseded uint64 // attempts that a later attempt overtook: the endpoint may not answer at all
}

func (s *Stats) empty() bool {
	return len(s.Cells) == 0 && s.LostTime == 0 && s.TimedOut == 0 && s.Errors == 0 && s.Declined == 0
}

// cell returns the cell of a class.
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

// add adds other stats.
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

// Outcome is the result of an attempt, as far as it concerns the endpoint's throughput.
type Outcome uint8

const (
	Served     Outcome = iota
	TimedOut           // no answer in time
	Cancelled          // an earlier attempt was answered first, or the client disconnected
	Superseded         // a later attempt was answered first
	Failed
	Unreached // no connection, or it was lost
	Declined
)

// noHint is the work of a request without a hint.
const noHint = time.Millisecond

// Record counts a completed attempt. It allocates only for a new class.
func (s *Stats) Record(class Class, warm bool, outcome Outcome, elapsed, work time.Duration) {
	switch outcome {
	case Served:
		if work <= 0 {
			work = noHint
		}
		c := s.cell(class, warm)
		c.Served++
		c.Time += uint64(max(elapsed, 0) / time.Microsecond)
		c.Work += uint64(max(work/time.Microsecond, 1))
		c.Ratios.count(elapsed, work)
	case TimedOut, Cancelled, Superseded:
		switch outcome {
		case TimedOut:
			s.TimedOut++
		case Superseded:
			s.Superseded++
		}
		s.LostTime += uint64(max(elapsed, 0) / time.Microsecond)
	case Failed, Unreached:
		s.Errors++
		if outcome == Unreached {
			s.Unreached++
		}
	case Declined:
		s.Declined++
	}
}
