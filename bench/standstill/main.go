// Command standstill measures stalls of this machine's processors, and whether the time is
// accounted as CPU time of the thread that was running.
//
// Several threads read the monotonic clock and their own CPU time in a loop. Almost no work
// is done between two reads, so a gap in the clock is time in which the thread made no
// progress. If the scheduler had preempted the thread, its CPU time does not advance during
// the gap. If the machine itself stalled (a hypervisor that ran other guests, a long time in
// the kernel), the CPU time does advance, and any clock derived from CPU time jumps.
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

// gap is the time between two successive reads, by the clock and in CPU time.
type gap struct {
	clock, cpu time.Duration
}

const maxGaps = 1 << 16 // recorded per thread

// findGaps reads both clocks until a time and returns the gaps of at least minGap.
func findGaps(until time.Time, minGap time.Duration) (gaps []gap, reads int) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	clock, cpu := readClock(unix.CLOCK_MONOTONIC), readClock(unix.CLOCK_THREAD_CPUTIME_ID)
	for time.Now().Before(until) {
		for range 1000 {
			nextClock, nextCPU := readClock(unix.CLOCK_MONOTONIC), readClock(unix.CLOCK_THREAD_CPUTIME_ID)
			if nextClock-clock >= minGap && len(gaps) < maxGaps {
				gaps = append(gaps, gap{nextClock - clock, nextCPU - cpu})
			}
			clock, cpu = nextClock, nextCPU
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
	threads := flag.Int("threads", runtime.NumCPU(), "threads that read the clocks")
	duration := flag.Duration("for", 30*time.Second, "duration of the measurement")
	minGap := flag.Duration("least", 10*time.Millisecond, "shortest gap that is counted")
	flag.Parse()
	runtime.GOMAXPROCS(*threads + 1)
	var (
		mu    sync.Mutex
		all   []gap
		reads int
		group sync.WaitGroup
	)
	until := time.Now().Add(*duration)
	for range *threads {
		group.Go(func() {
			gaps, n := findGaps(until, *minGap)
			mu.Lock()
			defer mu.Unlock()
			all, reads = append(all, gaps...), reads+n
		})
	}
	group.Wait()
	onCPU := slices.DeleteFunc(slices.Clone(all), func(g gap) bool { return g.cpu < g.clock/2 })
	fmt.Printf("%d threads for %v, %d reads: %d gaps of %v or more, the longest %v\n", *threads, *duration, reads, len(all), *minGap, longest(all))
	fmt.Printf("booked as the thread's own processor time: %d, the longest %v\n", len(onCPU), longest(onCPU))
}

func longest(gaps []gap) (longestClock time.Duration) {
	for _, g := range gaps {
		longestClock = max(longestClock, g.clock)
	}
	return longestClock
}
