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

// siteLoad is the part of what all endpoints can do that is asked for.
const siteLoad = 0.7

// siteResult is what came of the loss of a site.
type siteResult struct {
	spans          []federation.Span
	there          float64 // part of the requests that came to the lost site, in the last half of its absence
	givenUp, whole float64 // seconds; +Inf: never, or nobody tells
	sums           [3]float64
	repeated       int
	tally          federation.Tally
}

// sitePhases are the times that are told apart.
var sitePhases = []string{"whole", "a site is lost", "and back", "half of the links lose 30%, up to 400 ms, and it is lost again"}

// runSites plays the loss of a site of three on processes, with quota, weights and sites in
// force, and with each process by itself.
func runSites(program string, gateways int, phase time.Duration) error {
	var results []siteResult
	for _, alone := range []bool{false, true} {
		r, err := playSites(program, gateways, phase, alone)
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
	show := func(what, form string, of func(siteResult) any) {
		fmt.Fprintf(w, "%s\t"+form+"\t"+form+"\n", what, of(results[0]), of(results[1]))
	}
	show("came to the lost site, %", "%.1f", func(r siteResult) any { return 100 * r.there })
	show("given up by all after, s", "%.1f", func(r siteResult) any { return r.givenUp })
	show("whole after, s", "%.1f", func(r siteResult) any { return r.whole })
	show("keys that ran twice", "%d", func(r siteResult) any { return r.repeated })
	show("requests; with no answer of a process that went on", "%v", func(r siteResult) any { return fmt.Sprint(r.tally.Asked, "; ", r.tally.Failed) })
	show("bytes a process and second", "%.0f", func(r siteResult) any { return r.sums[0] })
	show("processor of a process, thousandths of a core", "%.1f", func(r siteResult) any { return r.sums[1] })
	show("resident, MB", "%.1f", func(r siteResult) any { return r.sums[2] })
	return w.Flush()
}

func playSites(program string, gateways int, phase time.Duration, alone bool) (r siteResult, err error) {
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
	var clients sync.WaitGroup
	clients.Go(func() { f.Ask(ctx) })
	defer clients.Wait()
	defer stop()

	f.Demand(rate / float64(gateways))
	time.Sleep(10 * time.Second)
	span := func(do func() error) error {
		from := time.Now()
		if err := do(); err != nil {
			return err
		}
		time.Sleep(phase - time.Since(from))
		r.spans = append(r.spans, f.Between(from, time.Now()))
		return nil
	}
	_, bytes, cpu := costs(f)
	begun := time.Now()
	span(func() error { return nil })
	_, bytesThen, cpuThen := costs(f)
	each := time.Since(begun).Seconds() * float64(gateways)
	r.sums[0], r.sums[1] = (bytesThen-bytes)/each, 1000*(cpuThen-cpu)/each
	for _, g := range f.Gateways {
		now, _ := g.Process().Memory()
		r.sums[2] += float64(now) / (1 << 20) / float64(gateways)
	}
	err = span(func() error {
		set(f, 1, false, rate)
		r.givenUp = until(f, phase/2, func(state float64) bool { return state == 2 })
		if r.givenUp < phase.Seconds()/2 {
			time.Sleep(phase/2 - time.Duration(r.givenUp*float64(time.Second)))
		}
		came, ran := lostCame(f), f.Ran(begun)
		time.Sleep(phase / 4)
		r.there = float64(lostCame(f)-came) / float64(f.Ran(begun)-ran)
		return nil
	})
	if err == nil {
		err = span(func() error {
			if err := set(f, 1, true, rate); err != nil {
				return err
			}
			r.whole = until(f, phase, func(state float64) bool { return state == 0 })
			return nil
		})
	}
	if err == nil {
		err = span(func() error {
			for i := range f.Gateways {
				for j := range f.Gateways {
					if i != j && (i+j)%2 == 0 {
						f.Set(i, j, false, links.Fault{Drop: 0.3, Jitter: 400 * time.Millisecond})
					}
				}
			}
			return set(f, 1, false, rate)
		})
	}
	stop()
	clients.Wait()
	r.repeated, r.tally = f.Repeated(), f.Tally()
	return r, err
}

// set has a site be lost, its clients go to the others, or come back.
func set(f *federation.Federation, site int, back bool, rate float64) error {
	for i := range f.Endpoints {
		if i%3 == site && back {
			f.Endpoint(i).Speak()
		} else if i%3 == site {
			f.Endpoint(i).Silence()
		}
	}
	n := float64(len(f.Gateways))
	for i, g := range f.Gateways {
		switch {
		case back:
			g.Ask(rate / n)
		case i%3 == site:
			g.Ask(0)
			g.Kill()
		default:
			g.Ask(1.5 * rate / n)
		}
		if i%3 == site && back {
			if err := g.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

func lostCame(f *federation.Federation) (n int) {
	for i := range f.Endpoints {
		if i%3 == 1 {
			n += f.Came(i)
		}
	}
	return n
}

// until is after how many seconds all gateways of the other sites have the site in a state.
func until(f *federation.Federation, most time.Duration, so func(state float64) bool) float64 {
	for begun := time.Now(); time.Since(begun) < most; time.Sleep(100 * time.Millisecond) {
		all := true
		for i, g := range f.Gateways {
			if i%3 != 1 && all {
				state, told := g.Figure("site.s1.state")
				all = told && so(state)
			}
		}
		if all {
			return time.Since(begun).Seconds()
		}
	}
	return math.Inf(1)
}
