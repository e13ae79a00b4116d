// Command structures compares the data structures for idempotency keys and their
// deduplication windows with common ones: a timing wheel with a heap and a
// periodically swept map, and a compact table with a map.
package main

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"text/tabwriter"
	"time"

	"spokegw/internal/compact"
	"spokegw/internal/wheel"
)

const (
	window        = 10 * time.Second // deduplication window of a key
	tick          = 4 * time.Millisecond
	sweepInterval = time.Second // of the swept map
)

func main() {
	maxEntries := flag.Int("most", 10_000_000, "largest number of entries")
	flag.Parse()
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "entries\tof timers\tns each\tlongest step\tbytes each\t")
	for n := 1000; n <= *maxEntries; n *= 10 {
		for _, name := range []string{"wheel", "heap", "swept map"} {
			measureTimers(out, name, n)
		}
	}
	out.Flush()
	fmt.Println()
	fmt.Fprintln(out, "entries\ttable of keys\tns each\tbytes each\tcollection, ms\t")
	for n := 1000; n <= *maxEntries; n *= 10 {
		measureTables(out, n)
	}
	out.Flush()
}

// timerSet is an implementation under test.
type timerSet interface {
	set(id uint32, at time.Duration)
	clear(id uint32)
	advance(now time.Duration) (due int)
}

// measureTimers measures a steady state of n timers: each tick sets about as many timers as
// expire, like a constant rate of new keys, and clears one of eight first, as for a key
// whose request was never executed.
func measureTimers(out *tabwriter.Writer, name string, n int) {
	before := heapBytes()
	var x timerSet
	switch name {
	case "wheel":
		x = &wheelTimers{wheel: wheel.New(tick)}
	case "heap":
		x = &heapTimers{index: make([]int, n)}
	default:
		x = &sweptTimers{at: make(map[uint32]time.Duration)}
	}
	random := rand.New(rand.NewPCG(1, uint64(n)))
	now := time.Duration(0)
	randomExpiry := func() time.Duration { return now + time.Duration(random.Int64N(int64(window))) }
	for id := range n {
		x.set(uint32(id), randomExpiry())
	}
	bytes := float64(heapBytes()-before) / float64(n)
	const steps = 1000
	perStep := max(n*int(tick)/int(window), 1)
	var longest time.Duration
	started, done := time.Now(), 0
	for range steps {
		stepStarted := time.Now()
		now += tick
		x.advance(now)
		for range perStep {
			id := uint32(random.IntN(n))
			if done++; done%8 == 0 {
				x.clear(id)
			}
			x.set(id, now+window)
		}
		longest = max(longest, time.Since(stepStarted))
	}
	fmt.Fprintf(out, "%d\t%s\t%d\t%v\t%.0f\t\n", n, name, time.Since(started).Nanoseconds()/int64(done), longest.Round(time.Microsecond), bytes)
	runtime.KeepAlive(x)
}

type wheelTimers struct {
	wheel *wheel.Wheel
	due   int
}

func (x *wheelTimers) set(id uint32, at time.Duration) { x.wheel.Set(id, at) }
func (x *wheelTimers) clear(id uint32)                 { x.wheel.Clear(id) }
func (x *wheelTimers) advance(now time.Duration) int {
	x.due = 0
	x.wheel.Advance(now, func(uint32) { x.due++ })
	return x.due
}

// heapTimers uses container/heap and tracks each timer's index, so that it can be changed.
type heapTimers struct {
	items []heapItem
	index []int // 1 + index in items; 0: not set
}

type heapItem struct {
	at time.Duration
	id uint32
}

func (x *heapTimers) Len() int           { return len(x.items) }
func (x *heapTimers) Less(i, j int) bool { return x.items[i].at < x.items[j].at }
func (x *heapTimers) Swap(i, j int) {
	x.items[i], x.items[j] = x.items[j], x.items[i]
	x.index[x.items[i].id], x.index[x.items[j].id] = i+1, j+1
}

func (x *heapTimers) Push(v any) {
	x.items = append(x.items, v.(heapItem))
	x.index[v.(heapItem).id] = len(x.items)
}

func (x *heapTimers) Pop() any {
	last := x.items[len(x.items)-1]
	x.items = x.items[:len(x.items)-1]
	x.index[last.id] = 0
	return last
}

func (x *heapTimers) set(id uint32, at time.Duration) {
	if p := x.index[id]; p != 0 {
		x.items[p-1].at = at
		heap.Fix(x, p-1)
		return
	}
	heap.Push(x, heapItem{at, id})
}

func (x *heapTimers) clear(id uint32) {
	if p := x.index[id]; p != 0 {
		heap.Remove(x, p-1)
	}
}

func (x *heapTimers) advance(now time.Duration) (due int) {
	for ; len(x.items) > 0 && x.items[0].at <= now; due++ {
		heap.Pop(x)
	}
	return due
}

// sweptTimers is a map that is scanned for expired timers at each sweepInterval.
type sweptTimers struct {
	at        map[uint32]time.Duration
	lastSweep time.Duration
}

func (x *sweptTimers) set(id uint32, at time.Duration) { x.at[id] = at }
func (x *sweptTimers) clear(id uint32)                 { delete(x.at, id) }
func (x *sweptTimers) advance(now time.Duration) (due int) {
	if now < x.lastSweep+sweepInterval {
		return 0
	}
	x.lastSweep = now
	for id, at := range x.at {
		if at <= now {
			delete(x.at, id)
			due++
		}
	}
	return due
}

// value has the size of the data stored per key.
type value [10]uint64

// measureTables inserts n keys into each type of table, then repeatedly removes one, inserts
// one and looks one up.
func measureTables(out *tabwriter.Writer, n int) {
	key := func(i int) uint64 { // keys are hashes, so mix as in SplitMix64
		z := uint64(i+1) * 0x9E3779B97F4A7C15
		z = (z ^ z>>30) * 0xBF58476D1CE4E5B9
		return z ^ z>>27
	}
	rounds := max(n, 1_000_000)
	found := 0
	measure := func(name string, before uint64, table any, operation func(i int)) {
		bytes := float64(heapBytes()-before) / float64(n)
		gcTime := gcMilliseconds()
		started := time.Now()
		for i := range rounds {
			operation(i)
		}
		perRound := time.Since(started).Nanoseconds() / int64(rounds)
		fmt.Fprintf(out, "%d\t%s\t%d\t%.0f\t%.2f\t\n", n, name, perRound, bytes, gcTime)
		runtime.KeepAlive(table)
	}
	before := heapBytes()
	plain := map[uint64]value{}
	for i := range n {
		plain[key(i)] = value{}
	}
	measure("map", before, plain, func(i int) {
		delete(plain, key(i))
		plain[key(i+n)] = value{1}
		found += int(plain[key(i+n/2)][0])
	})
	plain = nil
	before = heapBytes()
	var table compact.Table[value]
	for i := range n {
		table.FindOrInsert(key(i))
	}
	measure("compact", before, &table, func(i int) {
		if h := table.Find(key(i)); h != compact.None {
			table.Remove(h)
		}
		h, _ := table.FindOrInsert(key(i + n))
		*table.At(h) = value{1}
		if h := table.Find(key(i + n/2)); h != compact.None {
			found += int(table.At(h)[0])
		}
	})
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// gcMilliseconds returns the median duration of a full garbage collection.
func gcMilliseconds() float64 {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	var all []float64
	for range 5 {
		started := time.Now()
		runtime.GC()
		all = append(all, float64(time.Since(started).Microseconds())/1000)
	}
	slices.Sort(all)
	return all[2]
}
