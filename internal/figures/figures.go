// Package figures counts what becomes of requests. A request is counted at the
// point where its outcome is decided, whichever front it came by, so that at
// every instant
//
//	taken = completed + rejected + failed + abandoned + pending
//
// holds for each class. Counting takes no lock and no memory.
package figures

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"spokegw/internal/permit"
)

// Outcome is what became of a request.
type Outcome uint8

const (
	Completed Outcome = iota // served with the answer made for it
	Rejected                 // refused: trying again is harmless
	Failed
	Abandoned // its client left before there was an answer
	outcomes
)

var names = [outcomes]string{"completed", "rejected", "failed", "abandoned"}

func (o Outcome) String() string { return names[o] }

// OutcomeForStatus is the outcome that an answer's status stands for.
func OutcomeForStatus(status int) Outcome {
	switch status {
	case 200:
		return Completed
	case 429, 503:
		return Rejected
	}
	return Failed
}

// Class counts the requests of one class.
type Class struct {
	taken atomic.Uint64
	ended [outcomes]atomic.Uint64
}

// Begin counts a request whose life begins. It is owed one End.
func (c *Class) Begin() { c.taken.Add(1) }

// End counts what became of a request that was taken.
func (c *Class) End(o Outcome) { c.ended[o].Add(1) }

// Counts are the figures of one class at an instant.
type Counts struct {
	Name  string
	Taken uint64
	Ended [outcomes]uint64 // by Outcome
}

// Pending is how many are taken and not ended.
func (c *Counts) Pending() uint64 {
	sum := uint64(0)
	for _, n := range c.Ended {
		sum += n
	}
	return c.Taken - sum
}

// read reads the counts of one instant or a little after: what has ended is
// read first, and every end has been taken before, so Pending is never below 0.
func (c *Class) read(name string) Counts {
	n := Counts{Name: name}
	for o := range c.ended {
		n.Ended[o] = c.ended[o].Load()
	}
	n.Taken = c.taken.Load()
	return n
}

// maxClasses bounds the names that are counted apart. Beyond it, which takes
// settings that change their classes' names without end, the rest are counted
// together under Other.
const maxClasses = 512

// Other stands for the classes that came when there was no room for more.
const Other = "other"

// Figures are those of a process.
type Figures struct {
	Attempts     atomic.Uint64 // written whole to endpoints
	Reloads      atomic.Uint64 // files taken at SIGHUP
	ReloadErrors atomic.Uint64 // and turned down

	NotSent    [permit.NumReasons]atomic.Uint64 // attempts that were decided and not sent, by why
	Violations [permit.NumRules]atomic.Uint64   // rules that were broken, as far as this process sees

	mu      sync.Mutex
	classes map[string]*Class
}

// New makes figures that stand at 0.
func New() *Figures { return &Figures{classes: map[string]*Class{}} }

// Class is the counter of a class by its name, the same one for the life of the
// process: a class that was dropped and comes again counts on.
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

// Classes are the counts of all classes, by name.
func (f *Figures) Classes() (all []Counts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		all = append(all, f.classes[name].read(name))
	}
	return all
}
