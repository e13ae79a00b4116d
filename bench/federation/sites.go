package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/federation"
	"spokegw/internal/lab/links"
)

// siteLoad is the demand as a fraction of the capacity of all endpoints.
const siteLoad = 0.7

// siteResult is the outcome of the loss of a site.
type siteResult struct {
	spans                     []federation.Span
	lostSiteShare             float64    // fraction of the requests sent to the lost site, in the second half of its absence
	lostAfter, recoveredAfter float64    // seconds until the other gateways report the site lost, and whole again; +Inf: never, or not reported
	costs                     [3]float64 // per process: bytes a second, thousandths of a core, MB
	repeated                  int
	tally                     federation.Tally
}

// sitePhases are the phases that are reported separately.
var sitePhases = []string{"whole", "a site is lost", "and back", "half of the links lose 30%, up to 400 ms, and it is lost again"}

// runSites runs processes through the loss of one of three sites, once with quota, weights
// and sites in effect, and once with each process on its own.
func runSites(program string, gateways int, phase time.Duration) error {
	var results []siteResult
	for _, alone := range []bool{false, true} {
		r, err := runSiteLoss(program, gateways, phase, alone)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "in time, refused, failed, % of what was asked for\tfleet\talone")
	for i, name := range sitePhases {
		fmt.Fprintf(w, "%s\t%v\t%v\n", name, results[0].spans[i], results[1].spans[i])
	}
	row := func(what, format string, value func(siteResult) any) {
		fmt.Fprintf(w, "%s\t"+format+"\t"+format+"\n", what, value(results[0]), value(results[1]))
	}
	row("came to the lost site, %", "%.1f", func(r siteResult) any { return 100 * r.lostSiteShare })
	row("given up by all after, s", "%.1f", func(r siteResult) any { return r.lostAfter })
	row("whole after, s", "%.1f", func(r siteResult) any { return r.recoveredAfter })
	row("keys that ran twice", "%d", func(r siteResult) any { return r.repeated })
	row("requests; with no answer of a process that went on", "%v", func(r siteResult) any { return fmt.Sprint(r.tally.Asked, "; ", r.tally.Failed) })
	row("bytes a process and second", "%.0f", func(r siteResult) any { return r.costs[0] })
	row("processor of a process, thousandths of a core", "%.1f", func(r siteResult) any { return r.costs[1] })
	row("resident, MB", "%.1f", func(r siteResult) any { return r.costs[2] })
	return w.Flush()
}

func runSiteLoss(program string, gateways int, phase time.Duration, alone bool) (r siteResult, err error) {
	dir, err := os.MkdirTemp("", "spokegw-federation-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	endpoints := make([]lab.EndpointConfig, 12)
	for i := range endpoints {
		endpoints[i] = lab.EndpointConfig{Workers: 4, Work: 100 * time.Millisecond, Body: 10}
	}
	rate := siteLoad * 12 * 4 / 0.1
	f, err := federation.Start(federation.Config{
		Program: program, Dir: dir, Partners: []int{gateways / 3, gateways / 3, gateways / 3}, Parts: []float64{0.34, 0.33, 0.33},
		Rate: 2 * rate, Burst: rate, Lease: 2 * time.Second, Alone: alone, Weights: !alone, Seed: 1,
		Sites: []string{"s0", "s1", "s2"}, Endpoints: endpoints,
	})
	if err != nil {
		return r, err
	}
	defer f.Close()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Ask(ctx) })
	defer wg.Wait()
	defer stop()

	f.Demand(rate / float64(gateways))
	time.Sleep(10 * time.Second)
	measureSpan := func(apply func() error) error {
		from := time.Now()
		if err := apply(); err != nil {
			return err
		}
		time.Sleep(phase - time.Since(from))
		r.spans = append(r.spans, f.Between(from, time.Now()))
		return nil
	}
	_, bytes, cpu := costs(f)
	start := time.Now()
	measureSpan(func() error { return nil })
	_, bytesAfter, cpuAfter := costs(f)
	processSeconds := time.Since(start).Seconds() * float64(gateways)
	r.costs[0], r.costs[1] = (bytesAfter-bytes)/processSeconds, 1000*(cpuAfter-cpu)/processSeconds
	for _, g := range f.Gateways {
		memory, _ := g.Process().Memory()
		r.costs[2] += float64(memory) / (1 << 20) / float64(gateways)
	}
	err = measureSpan(func() error {
		setSite(f, 1, false, rate)
		r.lostAfter = waitForState(f, phase/2, func(state float64) bool { return state == 2 })
		if r.lostAfter < phase.Seconds()/2 {
			time.Sleep(phase/2 - time.Duration(r.lostAfter*float64(time.Second)))
		}
		lostBefore, ranBefore := lostSiteRequests(f), f.Ran(start)
		time.Sleep(phase / 4)
		r.lostSiteShare = float64(lostSiteRequests(f)-lostBefore) / float64(f.Ran(start)-ranBefore)
		return nil
	})
	if err == nil {
		err = measureSpan(func() error {
			if err := setSite(f, 1, true, rate); err != nil {
				return err
			}
			r.recoveredAfter = waitForState(f, phase, func(state float64) bool { return state == 0 })
			return nil
		})
	}
	if err == nil {
		err = measureSpan(func() error {
			for i := range f.Gateways {
				for j := range f.Gateways {
					if i != j && (i+j)%2 == 0 {
						f.Set(i, j, false, links.Fault{Drop: 0.3, Jitter: 400 * time.Millisecond})
					}
				}
			}
			return setSite(f, 1, false, rate)
		})
	}
	stop()
	wg.Wait()
	r.repeated, r.tally = f.Repeated(), f.Tally()
	return r, err
}

// setSite fails a site, whose clients then use the other sites, or restores it.
func setSite(f *federation.Federation, site int, restore bool, rate float64) error {
	for i := range f.Endpoints {
		if i%3 == site && restore {
			f.Endpoint(i).Speak()
		} else if i%3 == site {
			f.Endpoint(i).Silence()
		}
	}
	n := float64(len(f.Gateways))
	for i, g := range f.Gateways {
		switch {
		case restore:
			g.Ask(rate / n)
		case i%3 == site:
			g.Ask(0)
			g.Kill()
		default:
			g.Ask(1.5 * rate / n)
		}
		if i%3 == site && restore {
			if err := g.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

func lostSiteRequests(f *federation.Federation) (n int) {
	for i := range f.Endpoints {
		if i%3 == 1 {
			n += f.Came(i)
		}
	}
	return n
}

// waitForState returns the seconds until all gateways of the other sites report the site in a
// wanted state; +Inf after the timeout.
func waitForState(f *federation.Federation, timeout time.Duration, want func(state float64) bool) float64 {
	for start := time.Now(); time.Since(start) < timeout; time.Sleep(100 * time.Millisecond) {
		reached := true
		for i, g := range f.Gateways {
			if i%3 != 1 && reached {
				state, ok := g.Figure("site.s1.state")
				reached = ok && want(state)
			}
		}
		if reached {
			return time.Since(start).Seconds()
		}
	}
	return math.Inf(1)
}
