// Command sites simulates the loss and return of a whole site in virtual time, with four
// balancing modes, and reports the effect on clients.
//
//	go run ./bench/sites [-seeds 5] [-load 0.75] [-gateways 30] [-sites 3] [-plot FILE]
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"spokegw/internal/lab/hardware"
	"spokegw/policy"
)

var (
	seeds        = flag.Uint64("seeds", 5, "runs per mode")
	firstSeed    = flag.Uint64("from", 1, "first seed")
	load         = flag.Float64("load", 0.75, "offered load as a fraction of the whole capacity")
	gateways     = flag.Int("gateways", 30, "sidecars, assigned to the sites in turn")
	siteCount    = flag.Int("sites", 3, "sites, of ten servers each")
	lossDuration = flag.Duration("away", 30*time.Second, "how long the site is lost")
)

const step = 500 * time.Millisecond

// result is the outcome of one run; times are in seconds from the loss or the return.
type result struct {
	unroutedAfter, recoveredAfter float64 // until the site gets only probes; until all sidecars route to it again
	afterLoss, afterReturn        float64 // worth served over the best possible, in the 30 s after each event
	crashes                       float64 // of cold servers, from the return on
	failed, refused               float64 // fraction of the requests in the 30 s after the loss
	before                        float64
}

func main() {
	flag.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "way\tworth before\tin 30 s of the loss, over the best\tfailed %\trefused %\tin 30 s of the return\tfalls\tgiven up after s, worst\twhole after s")
	for _, mode := range []hardware.Way{hardware.Breaker, hardware.Alone, hardware.Fleet, hardware.Sites} {
		all := make([]result, *seeds)
		var running sync.WaitGroup
		for i := range all {
			running.Go(func() { all[i] = simulate(mode, *firstSeed+uint64(i)) })
		}
		running.Wait()
		medianOf := func(f func(r result) float64) float64 { return median(all, f) }
		fmt.Fprintf(w, "%v\t%.3f\t%.3f\t%.1f\t%.1f\t%.3f\t%.0f\t", mode, medianOf(func(r result) float64 { return r.before }), medianOf(func(r result) float64 { return r.afterLoss }),
			100*medianOf(func(r result) float64 { return r.failed }), 100*medianOf(func(r result) float64 { return r.refused }), medianOf(func(r result) float64 { return r.afterReturn }), medianOf(func(r result) float64 { return r.crashes }))
		if mode == hardware.Sites {
			worst := slices.MaxFunc(all, func(a, b result) int { return int(10 * (a.unroutedAfter - b.unroutedAfter)) })
			fmt.Fprintf(w, "%.1f, %.1f\t%.1f\n", medianOf(func(r result) float64 { return r.unroutedAfter }), worst.unroutedAfter, medianOf(func(r result) float64 { return r.recoveredAfter }))
		} else {
			fmt.Fprint(w, "\t\n")
		}
	}
	w.Flush()
}

func median(all []result, f func(result) float64) float64 {
	x := make([]float64, len(all))
	for i, r := range all {
		x[i] = f(r)
	}
	slices.Sort(x)
	return x[len(x)/2]
}

func simulate(mode hardware.Way, seed uint64) (r result) {
	var names []string
	var servers []*hardware.Server
	for s := range *siteCount {
		names = append(names, fmt.Sprint("s", s))
		for i := range 10 {
			servers = append(servers, &hardware.Server{Site: names[s], Listed: 1 + float64(i%2), Kind: i % 2, Workers: 2 * (1 + i%2), Speed: 1, Queue: 40})
		}
	}
	l := hardware.New(hardware.Config{
		Seed: seed, Way: mode, Gateways: *gateways, Servers: servers, SiteNames: names, Load: func(time.Duration) float64 { return *load },
		Classes: []hardware.Class{
			{Class: policy.Class{Aim: 250 * time.Millisecond, Deadline: time.Second, Worth: 1, LateWorth: 0.3}, Part: 0.7, Work: 20 * time.Millisecond, Spray: 0.7, Hint: 1},
			{Class: policy.Class{Aim: 400 * time.Millisecond, Deadline: time.Second, Worth: 9, LateWorth: 0.3}, Part: 0.3, Work: 60 * time.Millisecond, Spray: 0.7, Hint: 1},
		},
	})
	l.Play(20 * time.Second)
	phase := func(duration time.Duration, afterStep func(at float64)) (worth float64, t hardware.Tally) {
		l.Tally = hardware.Tally{}
		for at := time.Duration(0); at < duration; at += step {
			l.Play(step)
			afterStep((at + step).Seconds())
		}
		return l.Tally.Worth / l.Tally.Possible, l.Tally
	}
	r.before, _ = phase(5*time.Second, func(float64) {})
	r.unroutedAfter, r.recoveredAfter = math.Inf(1), math.Inf(1)
	l.SetSite("s1", true)
	worth, t := phase(30*time.Second, func(at float64) {
		if l.Met("s1") < 0.1 {
			r.unroutedAfter = min(r.unroutedAfter, at)
		}
	})
	r.afterLoss = worth / bestWorth()
	r.failed, r.refused = float64(t.Failed)/float64(t.Asked), float64(t.Refused)/float64(t.Asked)
	if remaining := *lossDuration - 30*time.Second; remaining > 0 {
		l.Play(remaining)
	}
	l.SetSite("s1", false)
	crashesBefore := l.Falls
	worth, _ = phase(30*time.Second, func(at float64) {
		if l.Met("s1") == 1 {
			r.recoveredAfter = min(r.recoveredAfter, at)
		}
	})
	r.afterReturn = worth
	l.Play(15 * time.Second)
	r.crashes = float64(l.Falls - crashesBefore)
	return r
}

// bestWorth is the fraction of the offered worth that can be served with one site less, if
// the class with the most worth per work is served first and no answer is late.
func bestWorth() float64 {
	capacity := float64(*siteCount-1) / float64(*siteCount) / *load // as a fraction of the offered work
	if capacity >= 1 {
		return 1
	}
	expensive, cheap := 0.3*60.0, 0.7*20.0 // offered work; the expensive class has more worth per work
	capacity *= expensive + cheap
	servedExpensive := math.Min(1, capacity/expensive)
	servedCheap := math.Max(0, math.Min(1, (capacity-expensive)/cheap))
	return (0.3*9*servedExpensive + 0.7*1*servedCheap) / (0.3*9 + 0.7*1)
}
