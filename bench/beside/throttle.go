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

// A process is held to its share of a core as a quota of the system's does it (CFS
// bandwidth control): it runs until it has used its part of a period, and then stands still
// for the rest of that.
const (
	period = 100 * time.Millisecond
	look   = 500 * time.Microsecond
)

// throttle holds a process to a share until stop is closed.
func throttle(pid int, share float64, stop <-chan struct{}) error {
	quota := time.Duration(share * float64(period))
	tick := time.NewTicker(look)
	defer tick.Stop()
	defer unix.Kill(pid, unix.SIGCONT)
	for {
		from, err := clock(pid)
		if err != nil {
			return err
		}
		begun, stopped := time.Now(), false
		for time.Since(begun) < period {
			select {
			case <-stop:
				return nil
			case <-tick.C:
			}
			if stopped {
				continue
			}
			now, err := clock(pid)
			if err != nil {
				return err
			}
			if now-from >= quota {
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

// clock is the processor time of a process (clock_getcpuclockid(3)).
func clock(pid int) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(int32(^pid<<3|2), &t)
	return time.Duration(t.Nano()), err
}

// delays are those of requests that come at a rate, whether or not those before have been
// answered: from when each was due.
func delays(addr string, rate float64, lasts time.Duration, body, connections int) ([]time.Duration, error) {
	due := make(chan time.Time, int(rate*lasts.Seconds())+1)
	go func() {
		defer close(due)
		begun := time.Now()
		for i := range cap(due) - 1 {
			at := begun.Add(time.Duration(float64(i) / rate * float64(time.Second)))
			time.Sleep(time.Until(at))
			due <- at
		}
	}()
	var mu sync.Mutex
	var all []time.Duration
	var wait sync.WaitGroup
	failed := make(chan error, connections)
	for range connections {
		wait.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				failed <- err
				return
			}
			defer c.Close()
			r := bufio.NewReaderSize(c, 16<<10)
			for at := range due {
				if err := askOne(c, r, body); err != nil {
					failed <- err
					return
				}
				took := time.Since(at)
				mu.Lock()
				all = append(all, took)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
	}
	slices.Sort(all)
	return all, nil
}

func showDelays(of map[string][]time.Duration, share, rate float64) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%.2f of a core, %.0f a second\tp50 ms\tp99 ms\tp99.9 ms\t\n", share, rate)
	for _, way := range append([]string{"direct"}, ways...) {
		d := of[way]
		if len(d) == 0 {
			continue
		}
		at := func(part float64) float64 { return d[int(part*float64(len(d)-1))].Seconds() * 1e3 }
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t\n", way, at(0.5), at(0.99), at(0.999))
	}
	return w.Flush()
}
