// Package rank provides mutexes with a rank in the one order in which they may be locked. With
// EnableChecks set, a test finds a violation of that order when it first happens, not only when
// two goroutines deadlock.
package rank

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// Mutex is a mutex with a rank. A goroutine locks mutexes in rising order of rank, so at most one
// of each rank.
type Mutex struct {
	Rank int // above 0
	Name string
	mu   sync.Mutex
}

var (
	enabled atomic.Bool
	mu      sync.Mutex
	held    = map[int64][]*Mutex{} // by goroutine, of those that hold at least one
)

// EnableChecks turns on order checking, for tests: a violation panics. No Mutex may be locked
// when it is called.
func EnableChecks() { enabled.Store(true) }

func (m *Mutex) Lock() {
	if enabled.Load() {
		m.checkOrder()
	}
	m.mu.Lock()
}

// Unlock unlocks m. It must be called by the goroutine that locked it.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	if enabled.Load() {
		m.release()
	}
}

func (m *Mutex) checkOrder() {
	g := goroutineID()
	mu.Lock()
	defer mu.Unlock()
	for _, h := range held[g] {
		if h.Rank >= m.Rank {
			panic(fmt.Sprintf("rank: %s (%d) is locked while %s (%d) is held", m.Name, m.Rank, h.Name, h.Rank))
		}
	}
	held[g] = append(held[g], m)
}

func (m *Mutex) release() {
	g := goroutineID()
	mu.Lock()
	defer mu.Unlock()
	left := held[g][:0]
	for _, h := range held[g] {
		if h != m {
			left = append(left, h)
		}
	}
	if held[g] = left; len(left) == 0 {
		delete(held, g)
	}
}

// goroutineID returns the number of the calling goroutine, which is at the start of its stack
// trace. Only checks may rely on it.
func goroutineID() int64 {
	var b [32]byte
	text := bytes.TrimPrefix(b[:runtime.Stack(b[:], false)], []byte("goroutine "))
	number, _, _ := bytes.Cut(text, []byte(" "))
	n, _ := strconv.ParseInt(string(number), 10, 64)
	return n
}
