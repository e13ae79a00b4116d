// Package budget divides a number of units, such as descriptors or bytes, among services. Each
// service has a reserve that no other can use; the unreserved units are lent to whoever asks
// first. A service that hangs keeps its reserve and what it borrowed, but never the reserve of
// another.
package budget

import (
	"sync"
	"sync/atomic"
)

// ReservedFraction is the fraction of a budget that is divided into reserves; the remainder is
// lent. With a smaller fraction a single busy service gets further, and a hung one leaves less to
// the others.
const ReservedFraction = 0.5

// Budget is a number of units divided among partitions. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	total      int64
	used       int64 // by all partitions, also those that have left
	committed  int64 // sum over all partitions of the larger of used and reserve
	partitions map[*Partition]struct{}
	freed      chan struct{} // closed when units are released; nil: there are no waiters
	hasWaiters atomic.Bool   // freed is not nil
}

// Partition is the part of a budget that one service uses.
type Partition struct {
	budget        *Budget
	used, reserve int64
	weight        float64
	releaseIdle   func() bool
}

// New returns a budget of total units.
func New(total int64) *Budget { return &Budget{total: total, partitions: map[*Partition]struct{}{}} }

// Join adds a partition with a positive weight. Reserves are divided again by weight; a single
// partition reserves the whole budget. releaseIdle, unless nil, is called when another partition
// needs units; it releases an idle unit and reports whether there was one.
func (b *Budget) Join(weight float64, releaseIdle func() bool) *Partition {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &Partition{budget: b, weight: weight, releaseIdle: releaseIdle}
	b.partitions[p] = struct{}{}
	b.divideReserves()
	return p
}

// Resize sets the total from now on. If more units are in use, none is revoked: they become free
// as they are released.
func (b *Budget) Resize(total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = total
	b.divideReserves()
}

// Overcommitted reports whether more units are in use than the total.
func (b *Budget) Overcommitted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used > b.total
}

// HasWaiters reports whether anybody may be waiting for a release.
func (b *Budget) HasWaiters() bool { return b.hasWaiters.Load() }

// SetWeight sets the weight of a partition; it is positive.
func (p *Partition) SetWeight(weight float64) {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	p.weight = weight
	if _, ok := b.partitions[p]; ok {
		b.divideReserves()
	}
}

// Leave gives up the reserve of a partition. Its units count as used until they are released.
func (p *Partition) Leave() {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.partitions[p]; !ok {
		return
	}
	delete(b.partitions, p)
	p.setReserve(0)
	b.divideReserves()
}

// divideReserves sets the reserves. If more units are in use than a new reserve leaves, none is
// revoked: they become free as they are released.
func (b *Budget) divideReserves() {
	var sum float64
	for p := range b.partitions {
		sum += p.weight
	}
	fraction := ReservedFraction
	if len(b.partitions) == 1 {
		fraction = 1
	}
	for p := range b.partitions {
		p.setReserve(int64(fraction * float64(b.total) * p.weight / sum))
	}
	b.notifyWaiters()
}

func (p *Partition) setReserve(n int64) {
	p.budget.committed += max(p.used, n) - max(p.used, p.reserve)
	p.reserve = n
}

// TryAcquire takes n units. It reports false, and takes none, if there is no capacity. A reserve
// that has grown may still be in use elsewhere: it becomes available as those units are released,
// and the total is never exceeded.
func (p *Partition) TryAcquire(n int64) bool {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	added := max(p.used+n, p.reserve) - max(p.used, p.reserve)
	if b.used+n > b.total || p.used+n > p.reserve && b.committed+added > b.total {
		return false
	}
	p.used += n
	b.used += n
	b.committed += added
	return true
}

// Release returns n units.
func (p *Partition) Release(n int64) {
	if n == 0 {
		return
	}
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.committed -= max(p.used, p.reserve) - max(p.used-n, p.reserve)
	p.used -= n
	b.used -= n
	b.notifyWaiters()
}

// Freed returns a channel that is closed at the next release by any partition, or when units
// become idle (NotifyIdle).
func (p *Partition) Freed() <-chan struct{} {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
		b.hasWaiters.Store(true)
	}
	return b.freed
}

func (b *Budget) notifyWaiters() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
		b.hasWaiters.Store(false)
	}
}

// NotifyIdle notifies waiters of all partitions that this one has an idle unit, which it releases
// on request.
func (p *Partition) NotifyIdle() {
	b := p.budget
	if !b.HasWaiters() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyWaiters()
}

// Reclaim makes another partition that uses more than its reserve release an idle unit. It reports
// whether one did.
func (p *Partition) Reclaim() bool {
	for _, other := range p.budget.borrowers(p) {
		if other.releaseIdle() {
			return true
		}
	}
	return false
}

// borrowers returns the partitions other than p that use more than their reserve.
func (b *Budget) borrowers(p *Partition) (partitions []*Partition) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other := range b.partitions {
		if other != p && other.releaseIdle != nil && other.used > other.reserve {
			partitions = append(partitions, other)
		}
	}
	return partitions
}

// Used returns the number of units the partition uses.
func (p *Partition) Used() int64 {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.used
}

// Reserve returns the number of units that the partition may use regardless of the others.
func (p *Partition) Reserve() int64 {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.reserve
}
