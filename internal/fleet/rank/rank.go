// Package rank has locks that know their place in the one order in which they may be
// taken. A test that sets EnableChecks finds a wrong order the first time that it is gone, not
// when two goroutines meet in it.
package rank

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// Mutex is a lock with a rank. A goroutine takes locks of rising ranks only, so at most
// one of each.
type Mutex struct {
	Rank int // above 0
	Name string
	mu   sync.Mutex
}

var (
	check atomic.Bool
	mu    sync.Mutex
	held  = map[int64][]*Mutex{} // by goroutine, of those that hold one
)

// EnableChecks has orders checked from now on, for tests: a wrong one panics. No lock may be held
// meanwhile.
func EnableChecks() { check.Store(true) }

// Lock takes the lock.
func (m *Mutex) Lock() {
	if check.Load() {
		m.note()
	}
	m.mu.Lock()
}

// Unlock gives it back. It is for the goroutine that took it.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	if check.Load() {
		m.forget()
	}
}

func (m *Mutex) note() {
	g := goroutine()
	mu.Lock()
	defer mu.Unlock()
	for _, h := range held[g] {
		if h.Rank >= m.Rank {
			panic(fmt.Sprintf("rank: %s (%d) is taken under %s (%d)", m.Name, m.Rank, h.Name, h.Rank))
		}
	}
	held[g] = append(held[g], m)
}

func (m *Mutex) forget() {
	g := goroutine()
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

// goroutine is the number of the goroutine that calls, as a trace of its stack begins
// with. Nothing but checks may go by it.
func goroutine() int64 {
	var b [32]byte
	text := bytes.TrimPrefix(b[:runtime.Stack(b[:], false)], []byte("goroutine "))
	number, _, _ := bytes.Cut(text, []byte(" "))
	n, _ := strconv.ParseInt(string(number), 10, 64)
	return n
}
