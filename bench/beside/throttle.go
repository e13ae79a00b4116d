package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/sys/unix"
)

// A process is limited to its share of a core in the manner of CFS bandwidth control: it
// runs until it has used its quota of a period, and is then stopped until the period ends.
const (
	period        = 100 * time.Millisecond
	checkInterval = 500 * time.Microsecond
)

// throttle limits a process to a share of a core until stop is closed.
func throttle(pid int, share float64, stop <-chan struct{}) error {
	quota := time.Duration(share * float64(period))
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	defer unix.Kill(pid, unix.SIGCONT)
	for {
		usedBefore, err := processClock(pid)
		if err != nil {
			return err
		}
		start, stopped := time.Now(), false
		for time.Since(start) < period {
			select {
			case <-stop:
				return nil
			case <-ticker.C:
			}
			if stopped {
				continue
			}
			used, err := processClock(pid)
			if err != nil {
				return err
			}
			if used-usedBefore >= quota {
				stopped = true
				if err := unix.Kill(pid, unix.SIGSTOP); err != nil {
					return err
				}
			}
		}
		if err := unix.Kill(pid, unix.SIGCONT); err != nil {
			return err
		}
	}
}

// processClock returns the CPU time of a process (clock_getcpuclockid(3)).
func processClock(pid int) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(int32(^pid<<3|2), &t)
	return time.Duration(t.Nano()), err
}

// measureDelays sends requests at a fixed rate, whether or not earlier ones have been answered
// (open loop). It returns the delays, sorted, each counted from the time the request was due.
func measureDelays(addr string, rate float64, duration time.Duration, body, connections int) ([]time.Duration, error) {
	due := make(chan time.Time, int(rate*duration.Seconds())+1)
	go func() {
		defer close(due)
		start := time.Now()
		for i := range cap(due) - 1 {
			at := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
			time.Sleep(time.Until(at))
			due <- at
		}
	}()
	var mu sync.Mutex
	var delays []time.Duration
	var wg sync.WaitGroup
	failed := make(chan error, connections)
	for range connections {
		wg.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				failed <- err
				return
			}
			defer c.Close()
			r := bufio.NewReaderSize(c, 16<<10)
			for at := range due {
				if err := sendRequest(c, r, body); err != nil {
					failed <- err
					return
				}
				delay := time.Since(at)
				mu.Lock()
				delays = append(delays, delay)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
	}
	slices.Sort(delays)
	return delays, nil
}

func printDelays(delays map[string][]time.Duration, share, rate float64) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%.2f of a core, %.0f a second\tp50 ms\tp99 ms\tp99.9 ms\t\n", share, rate)
	for _, kind := range append([]string{"direct"}, proxyKinds...) {
		d := delays[kind]
		if len(d) == 0 {
			continue
		}
		percentile := func(q float64) float64 { return d[int(q*float64(len(d)-1))].Seconds() * 1e3 }
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t\n", kind, percentile(0.5), percentile(0.99), percentile(0.999))
	}
	return w.Flush()
}
