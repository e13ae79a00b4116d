// Command standstill measures how long this machine's processors stand still, and whether
// that is booked as processor time of the thread that was running.
//
// Some threads read the clock and their own processor time over and over. Between two reads
// next to nothing is done, so a gap in the clock is time in which the thread did not get
// on. Where the scheduler had taken its processor away the thread's own time stands
// still meanwhile; where the machine itself stood still (a hypervisor that gave its
// processors to others, a long time in the kernel) it goes on, and whatever derives a clock
// from processor time sees a jump.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// gap is a pair of reads that lay apart.
type gap struct {
	clock, own time.Duration
}

const mostGaps = 1 << 16 // that a thread notes

// watch reads until a time, and returns the pairs at least as far apart as least.
func watch(until time.Time, least time.Duration) (gaps []gap, reads int) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	clock, own := readClock(unix.CLOCK_MONOTONIC), readClock(unix.CLOCK_THREAD_CPUTIME_ID)
	for time.Now().Before(until) {
		for range 1000 {
			nextClock, nextOwn := readClock(unix.CLOCK_MONOTONIC), readClock(unix.CLOCK_THREAD_CPUTIME_ID)
			if nextClock-clock >= least && len(gaps) < mostGaps {
				gaps = append(gaps, gap{nextClock - clock, nextOwn - own})
			}
			clock, own = nextClock, nextOwn
			reads++
		}
	}
	return gaps, reads
}

// readClock reads one of the system's clocks (clock_gettime(2)).
func readClock(id int32) time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(id, &at); err != nil {
		fmt.Fprintln(os.Stderr, "standstill:", err)
		os.Exit(1)
	}
	return time.Duration(at.Nano())
}

func main() {
	threads := flag.Int("threads", runtime.NumCPU(), "that read")
	span := flag.Duration("for", 30*time.Second, "how long")
	least := flag.Duration("least", 10*time.Millisecond, "shortest gap that is counted")
	flag.Parse()
	runtime.GOMAXPROCS(*threads + 1)
	var (
		mu    sync.Mutex
		all   []gap
		reads int
		group sync.WaitGroup
	)
	until := time.Now().Add(*span)
	for range *threads {
		group.Go(func() {
			gaps, n := watch(until, *least)
			mu.Lock()
			defer mu.Unlock()
			all, reads = append(all, gaps...), reads+n
		})
	}
	group.Wait()
	booked := slices.DeleteFunc(slices.Clone(all), func(g gap) bool { return g.own < g.clock/2 })
	fmt.Printf("%d threads for %v, %d reads: %d gaps of %v or more, the longest %v\n", *threads, *span, reads, len(all), *least, longest(all))
	fmt.Printf("booked as the thread's own processor time: %d, the longest %v\n", len(booked), longest(booked))
}

func longest(gaps []gap) (most time.Duration) {
	for _, g := range gaps {
		most = max(most, g.clock)
	}
	return most
}
