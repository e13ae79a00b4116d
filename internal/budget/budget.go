// Package budget divides one number of things, such as descriptors or bytes,
// among services: each has a reserve that no other can use, and what is not
// reserved is lent to whoever asks first. A service that hangs holds its own
// reserve and what is lent, never what another needs.
package budget

import (
	"sync"
	"sync/atomic"
)

// ReservedFraction is the part of a budget that is divided into reserves; the rest is
// lent. With more of it lent, one busy service gets further alone, and a hung
// one leaves the others less.
const ReservedFraction = 0.5

// Budget is the whole. It is safe for use by several goroutines.
type Budget struct {
	mu      sync.Mutex
	total   int64
	used    int64 // by all parts, also those that have left
	claimed int64 // over all parts, the larger of what is used and what is reserved
	parts   map[*Partition]struct{}
	freed   chan struct{} // closed when something has been given back; nil: nobody waits
	waited  atomic.Bool   // freed is not nil
}

// Partition is what one service may use.
type Partition struct {
	budget        *Budget
	used, reserve int64
	weight        float64
	yield         func() bool
}

// New makes a budget of total things.
func New(total int64) *Budget { return &Budget{total: total, parts: map[*Partition]struct{}{}} }

// Join adds a part of a weight over 0. Reserves are divided anew by weight: the
// only part there is has all. yield, if there is one, is asked to give back
// something idle where another part needs it, and tells whether it did.
func (b *Budget) Join(weight float64, yield func() bool) *Partition {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &Partition{budget: b, weight: weight, yield: yield}
	b.parts[p] = struct{}{}
	b.divide()
	return p
}

// Resize sets how many things there are, from now on. Where more are in use than
// that, nothing is taken away: they come free as they are released.
func (b *Budget) Resize(total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = total
	b.divide()
}

// Overcommitted reports whether more is in use than there is.
func (b *Budget) Overcommitted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used > b.total
}

// HasWaiters reports whether anybody may be waiting for something to be given back.
func (b *Budget) HasWaiters() bool { return b.waited.Load() }

// SetWeight gives a part another weight, over 0.
func (p *Partition) SetWeight(weight float64) {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	p.weight = weight
	if _, ok := b.parts[p]; ok {
		b.divide()
	}
}

// Leave gives a part's reserve back. What it uses counts until it is released.
func (p *Partition) Leave() {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.parts[p]; !ok {
		return
	}
	delete(b.parts, p)
	p.setReserve(0)
	b.divide()
}

// divide sets the reserves. Where more is in use than is left beside a new
// reserve, nothing is taken away: it comes free as it is released.
func (b *Budget) divide() {
	var sum float64
	for p := range b.parts {
		sum += p.weight
	}
	part := ReservedFraction
	if len(b.parts) == 1 {
		part = 1
	}
	for p := range b.parts {
		p.setReserve(int64(part * float64(b.total) * p.weight / sum))
	}
	b.wake()
}

func (p *Partition) setReserve(n int64) {
	p.budget.claimed += max(p.used, n) - max(p.used, p.reserve)
	p.reserve = n
}

// TryAcquire takes n things; it reports false, and takes none, where there is
// no room. A reserve that has grown may be in use elsewhere still: it is there
// once that has been released, and no more is ever in use than there is.
func (p *Partition) TryAcquire(n int64) bool {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := max(p.used+n, p.reserve) - max(p.used, p.reserve)
	if b.used+n > b.total || p.used+n > p.reserve && b.claimed+more > b.total {
		return false
	}
	p.used += n
	b.used += n
	b.claimed += more
	return true
}

// Release gives n things back.
func (p *Partition) Release(n int64) {
	if n == 0 {
		return
	}
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.claimed -= max(p.used, p.reserve) - max(p.used-n, p.reserve)
	p.used -= n
	b.used -= n
	b.wake()
}

// Freed returns a channel that is closed when something is given back next, to
// any part, or has become idle, as NotifyIdle tells.
func (p *Partition) Freed() <-chan struct{} {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
		b.waited.Store(true)
	}
	return b.freed
}

func (b *Budget) wake() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
		b.waited.Store(false)
	}
}

// NotifyIdle tells those who wait, of any part, that this one has something idle now, which it
// gives back where it is asked to.
func (p *Partition) NotifyIdle() {
	b := p.budget
	if !b.HasWaiters() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wake()
}

// Reclaim has another part that uses more than its reserve give back something
// idle. It reports whether one did.
func (p *Partition) Reclaim() bool {
	for _, other := range p.budget.over(p) {
		if other.yield() {
			return true
		}
	}
	return false
}

// over are the parts but for p that use more than their reserve.
func (b *Budget) over(p *Partition) (over []*Partition) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other := range b.parts {
		if other != p && other.yield != nil && other.used > other.reserve {
			over = append(over, other)
		}
	}
	return over
}

// Used is how many things the part holds.
func (p *Partition) Used() int64 {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.used
}

// Reserve is how many the part may use whatever the others do.
func (p *Partition) Reserve() int64 {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.reserve
}
