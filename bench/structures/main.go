// Command structures measures the data structures made for keys and their windows
// beside plain ones: a timing wheel beside a heap and a map that is swept, and a
// compact table beside a map.
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
	window = 10 * time.Second // of a key
	tick   = 4 * time.Millisecond
	sweep  = time.Second // between two sweeps of the map
)

func main() {
	most := flag.Int("most", 10_000_000, "the most entries")
	flag.Parse()
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "entries\tof timers\tns each\tlongest step\tbytes each\t")
	for n := 1000; n <= *most; n *= 10 {
		for _, name := range []string{"wheel", "heap", "swept map"} {
			timers(out, name, n)
		}
	}
	out.Flush()
	fmt.Println()
	fmt.Fprintln(out, "entries\ttable of keys\tns each\tbytes each\tcollection, ms\t")
	for n := 1000; n <= *most; n *= 10 {
		tables(out, n)
	}
	out.Flush()
}

// expiry is a set of timers under test.
type expiry interface {
	set(id uint32, at time.Duration)
	clear(id uint32)
	advance(now time.Duration) (due int)
}

// timers plays n timers at rest: each step of a tick sets those that fall due, as a
// steady stream of keys would, and takes back one of eight again, as for a key that
// never ran.
func timers(out *tabwriter.Writer, name string, n int) {
	before := heapBytes()
	var x expiry
	switch name {
	case "wheel":
		x = &wheelExpiry{w: wheel.New(tick)}
	case "heap":
		x = &heapExpiry{place: make([]int, n)}
	default:
		x = &sweptExpiry{at: make(map[uint32]time.Duration)}
	}
	random := rand.New(rand.NewPCG(1, uint64(n)))
	now := time.Duration(0)
	spread := func() time.Duration { return now + time.Duration(random.Int64N(int64(window))) }
	for id := range n {
		x.set(uint32(id), spread())
	}
	bytes := float64(heapBytes()-before) / float64(n)
	const steps = 1000
	each := max(n*int(tick)/int(window), 1)
	var longest time.Duration
	begun, done := time.Now(), 0
	for range steps {
		from := time.Now()
		now += tick
		x.advance(now)
		for range each {
			id := uint32(random.IntN(n))
			if done++; done%8 == 0 {
				x.clear(id)
			}
			x.set(id, now+window)
		}
		longest = max(longest, time.Since(from))
	}
	fmt.Fprintf(out, "%d\t%s\t%d\t%v\t%.0f\t\n", n, name, time.Since(begun).Nanoseconds()/int64(done), longest.Round(time.Microsecond), bytes)
	runtime.KeepAlive(x)
}

type wheelExpiry struct {
	w   *wheel.Wheel
	due int
}

func (x *wheelExpiry) set(id uint32, at time.Duration) { x.w.Set(id, at) }
func (x *wheelExpiry) clear(id uint32)                 { x.w.Clear(id) }
func (x *wheelExpiry) advance(now time.Duration) int {
	x.due = 0
	x.w.Advance(now, func(uint32) { x.due++ })
	return x.due
}

// heapExpiry is container/heap with the place of each, so that a timer can be changed.
type heapExpiry struct {
	items []heapItem
	place []int // 1 + the place in items; 0: not set
}

type heapItem struct {
	at time.Duration
	id uint32
}

func (x *heapExpiry) Len() int           { return len(x.items) }
func (x *heapExpiry) Less(i, j int) bool { return x.items[i].at < x.items[j].at }
func (x *heapExpiry) Swap(i, j int) {
	x.items[i], x.items[j] = x.items[j], x.items[i]
	x.place[x.items[i].id], x.place[x.items[j].id] = i+1, j+1
}

func (x *heapExpiry) Push(v any) {
	x.items = append(x.items, v.(heapItem))
	x.place[v.(heapItem).id] = len(x.items)
}

func (x *heapExpiry) Pop() any {
	last := x.items[len(x.items)-1]
	x.items = x.items[:len(x.items)-1]
	x.place[last.id] = 0
	return last
}

func (x *heapExpiry) set(id uint32, at time.Duration) {
	if p := x.place[id]; p != 0 {
		x.items[p-1].at = at
		heap.Fix(x, p-1)
		return
	}
	heap.Push(x, heapItem{at, id})
}

func (x *heapExpiry) clear(id uint32) {
	if p := x.place[id]; p != 0 {
		heap.Remove(x, p-1)
	}
}

func (x *heapExpiry) advance(now time.Duration) (due int) {
	for ; len(x.items) > 0 && x.items[0].at <= now; due++ {
		heap.Pop(x)
	}
	return due
}

// sweptExpiry is a map that is gone through each second.
type sweptExpiry struct {
	at   map[uint32]time.Duration
	last time.Duration
}

func (x *sweptExpiry) set(id uint32, at time.Duration) { x.at[id] = at }
func (x *sweptExpiry) clear(id uint32)                 { delete(x.at, id) }
func (x *sweptExpiry) advance(now time.Duration) (due int) {
	if now < x.last+sweep {
		return 0
	}
	x.last = now
	for id, at := range x.at {
		if at <= now {
			delete(x.at, id)
			due++
		}
	}
	return due
}

// value is of the size of what is remembered of a key.
type value [10]uint64

// tables puts n keys into each kind of table, and then takes one out, puts one in and
// looks for one, over and over.
func tables(out *tabwriter.Writer, n int) {
	key := func(i int) uint64 { // keys are hashes: mixed as by SplitMix64
		z := uint64(i+1) * 0x9E3779B97F4A7C15
		z = (z ^ z>>30) * 0xBF58476D1CE4E5B9
		return z ^ z>>27
	}
	rounds := max(n, 1_000_000)
	found := 0
	line := func(name string, before uint64, keep any, round func(i int)) {
		bytes := float64(heapBytes()-before) / float64(n)
		pauses := collections()
		begun := time.Now()
		for i := range rounds {
			round(i)
		}
		each := time.Since(begun).Nanoseconds() / int64(rounds)
		fmt.Fprintf(out, "%d\t%s\t%d\t%.0f\t%.2f\t\n", n, name, each, bytes, pauses)
		runtime.KeepAlive(keep)
	}
	before := heapBytes()
	plain := map[uint64]value{}
	for i := range n {
		plain[key(i)] = value{}
	}
	line("map", before, plain, func(i int) {
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
	line("compact", before, &table, func(i int) {
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

// collections is the median time of a whole collection, in milliseconds.
func collections() float64 {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	var all []float64
	for range 5 {
		begun := time.Now()
		runtime.GC()
		all = append(all, float64(time.Since(begun).Microseconds())/1000)
	}
	slices.Sort(all)
	return all[2]
}
