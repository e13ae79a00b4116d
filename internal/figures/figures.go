// Package figures counts the outcomes of requests. A request is counted when its outcome is
// decided, whichever listener received it, so that at every instant
//
//	taken = completed + rejected + failed + abandoned + pending
//
// holds for each class. Counting neither locks nor allocates.
package figures

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"spokegw/internal/permit"
	"spokegw/internal/shutdown"
)

// Outcome is the final result of a request.
type Outcome uint8

const (
	Completed Outcome = iota // answered with the endpoint's answer
	Rejected                 // refused; a retry is harmless
	Failed
	Abandoned // its client disconnected before there was an answer
	numOutcomes
)

var outcomeNames = [numOutcomes]string{"completed", "rejected", "failed", "abandoned"}

func (o Outcome) String() string { return outcomeNames[o] }

// OutcomeForStatus returns the outcome for the status of an answer.
func OutcomeForStatus(status int) Outcome {
	switch status {
	case 200:
		return Completed
	case 429, 503:
		return Rejected
	}
	return Failed
}

type Class struct {
	taken atomic.Uint64
	ended [numOutcomes]atomic.Uint64
}

// Begin counts a request that was received. Each needs exactly one call of End.
func (c *Class) Begin() { c.taken.Add(1) }

// End counts the outcome of a request that Begin has counted.
func (c *Class) End(o Outcome) { c.ended[o].Add(1) }

// Counts are the counters of one class at an instant.
type Counts struct {
	Name  string
	Taken uint64
	Ended [numOutcomes]uint64 // by Outcome
}

// Pending returns the number of requests without an outcome.
func (c *Counts) Pending() uint64 {
	sum := uint64(0)
	for _, n := range c.Ended {
		sum += n
	}
	return c.Taken - sum
}

// read returns the counters as of one instant or slightly later. It reads the outcomes first, and
// each request was counted as taken before its outcome, so Pending is never negative.
func (c *Class) read(name string) Counts {
	n := Counts{Name: name}
	for o := range c.ended {
		n.Ended[o] = c.ended[o].Load()
	}
	n.Taken = c.taken.Load()
	return n
}

// maxClasses bounds the class names with counters of their own. It is exceeded only if class names
// in the settings keep changing; further classes are then counted together as Other.
const maxClasses = 512

// Other is the name for all classes beyond maxClasses.
const Other = "other"

// Figures are the counters of a process.
type Figures struct {
	Attempts     atomic.Uint64 // written completely to endpoints
	Reloads      atomic.Uint64 // files accepted at SIGHUP
	ReloadErrors atomic.Uint64 // files rejected at SIGHUP

	NotSent    [permit.NumReasons]atomic.Uint64  // attempts that were decided and not sent, by reason
	Violations [permit.NumRules]atomic.Uint64    // rule violations that this process can detect
	Stop       [shutdown.NumCauses]atomic.Uint64 // requests whose outcome the stop of the process has changed, by cause

	StalledAnswers atomic.Uint64 // attempts whose answer began and paused

	Rejections [NumRejections]atomic.Uint64 // files rejected at SIGHUP, by reason

	Disconnects [NumDisconnects]atomic.Uint64 // requests that ended without an answer, by evidence

	mu      sync.Mutex
	classes map[string]*Class
}

func New() *Figures { return &Figures{classes: map[string]*Class{}} }

// Class returns the counters of a class, the same ones for the lifetime of the process: a class
// that is removed and added again continues its counters.
func (f *Figures) Class(name string) *Class {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.classes[name]
	if c == nil {
		if len(f.classes) >= maxClasses {
			name = Other
		}
		if c = f.classes[name]; c == nil {
			c = &Class{}
			f.classes[name] = c
		}
	}
	return c
}

// Classes returns the counters of all classes, by name.
func (f *Figures) Classes() (counts []Counts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		counts = append(counts, f.classes[name].read(name))
	}
	return counts
}
