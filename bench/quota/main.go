// Command quota compares algorithms by which gateways share one quota, in virtual time and
// in the same scenes: how much of the usable quota is used, how far the sum of all gateways
// exceeds the quota, and how many messages are sent.
//
//	go run ./bench/quota [-seeds 5] [-schedules 200] [-sizes 10,100,500]
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"spokegw/internal/fleet/quota"
	"spokegw/internal/lab/gateways"
)

var settings = quota.Settings{Lease: 2 * time.Second, Period: 200 * time.Millisecond, Drift: 0.01}

// scene is a schedule of events; the last seconds of a run are measured.
type scene struct {
	name     string
	schedule func(w *gateways.World)
}

func setDemand(w *gateways.World, fractions ...float64) {
	for i, n := range w.Nodes {
		n.Demand = quota.PartOf(fractions[min(i, len(fractions)-1)])
	}
}

// likelyLeaders returns the first gateway and the best candidate: algorithms with a fixed
// server use the former, those that elect one the latter. Losing both affects every algorithm.
func likelyLeaders(w *gateways.World) []*gateways.Node {
	best := w.Nodes[0]
	for _, n := range w.Nodes {
		if w.Order(n) < w.Order(best) {
			best = n
		}
	}
	return []*gateways.Node{w.Nodes[0], best}
}

var scenes = []scene{
	{"all at one", func(w *gateways.World) { setDemand(w, 0, 0, 0, 2, 0) }},
	{"all want all", func(w *gateways.World) { setDemand(w, 1) }},
	{"demand moves each 3 s", func(w *gateways.World) {
		setDemand(w, 0.02)
		for i := range 10 {
			w.After(time.Duration(3*i)*time.Second, func() {
				setDemand(w, 0.02)
				w.Nodes[i%len(w.Nodes)].Demand = quota.Whole
			})
		}
	}},
	{"cut in halves", func(w *gateways.World) {
		setDemand(w, 1)
		w.After(10*time.Second, func() { setPartition(w, true) })
	}},
	{"a third cut off, demand there", func(w *gateways.World) {
		setDemand(w, 1, 1, 0)
		w.After(10*time.Second, func() {
			for i := range w.Nodes {
				for j := range w.Nodes {
					if (i < 2) != (j < 2) {
						w.Cut[[2]int{i, j}] = true
					}
				}
			}
		})
	}},
	{"the first one is killed for 8 s", func(w *gateways.World) {
		setDemand(w, 0.5)
		for _, n := range likelyLeaders(w) {
			w.After(10*time.Second, func() {
				if n.Up {
					w.Crash(n)
					w.After(8*time.Second, func() { w.Start(n) })
				}
			})
		}
	}},
	{"the first one stands still for 10 s", func(w *gateways.World) {
		setDemand(w, 0.5)
		for _, n := range likelyLeaders(w) {
			w.After(10*time.Second, func() { w.Pause(n, 10*time.Second) })
		}
	}},
	{"all restarted at once", func(w *gateways.World) {
		setDemand(w, 0.5)
		w.After(15*time.Second, func() {
			for _, n := range w.Nodes {
				w.Crash(n)
				w.Start(n)
			}
		})
	}},
	{"30% lost, up to 400 ms", func(w *gateways.World) {
		setDemand(w, 0, 0, 0, 1, 0.3, 0)
		w.Drop = 0.3
		w.Delay = func() time.Duration { return time.Duration(w.Rand.Int64N(int64(400 * time.Millisecond))) }
	}},
}

func setPartition(w *gateways.World, cut bool) {
	for i := range w.Nodes {
		for j := range w.Nodes {
			if i%2 != j%2 {
				w.Cut[[2]int{i, j}] = cut
			}
		}
	}
}

func main() {
	seeds := flag.Uint64("seeds", 5, "runs per scene")
	schedules := flag.Uint64("schedules", 200, "number of random fault schedules")
	sizes := flag.String("sizes", "10,100,500", "fleet sizes for the cost table; empty: no cost table")
	flag.DurationVar(&settings.Lease, "lease", settings.Lease, "lease duration of the algorithms that have one")
	flag.DurationVar(&settings.Period, "period", settings.Period, "interval between reports")
	flag.Parse()
	if err := run(*seeds, *schedules, *sizes); err != nil {
		fmt.Fprintln(os.Stderr, "quota:", err)
		os.Exit(1)
	}
}

func run(seeds, schedules uint64, sizes string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "used, highest sum\t")
	for _, algorithm := range algorithms {
		fmt.Fprintf(w, "%s\t", algorithm.name)
	}
	fmt.Fprintln(w)
	for _, s := range scenes {
		fmt.Fprintf(w, "%s\t", s.name)
		for _, algorithm := range algorithms {
			used, highest := runScene(s, algorithm.make, seeds)
			fmt.Fprintf(w, "%.2f, %.2f\t", used, highest)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprint(w, "schedules over the quota\t")
	for _, algorithm := range algorithms {
		over, highest := runSchedules(algorithm.make, schedules)
		fmt.Fprintf(w, "%d, %.2f\t", over, highest)
	}
	fmt.Fprintln(w)
	if err := w.Flush(); err != nil || sizes == "" {
		return err
	}
	return printCosts(sizes)
}

// runScene returns the mean usage from the fifth second on, and the highest sum in any run.
func runScene(s scene, make gateways.Make, seeds uint64) (used, highest float64) {
	for seed := range seeds {
		w := gateways.New(seed, settings, 3, 2, make)
		w.GoOn = true
		s.schedule(w)
		w.Run(5 * time.Second) // no error: GoOn lets it continue when the sum exceeds the quota
		share, _ := w.Share(25 * time.Second)
		used += share / float64(seeds)
		highest = max(highest, w.Most.Fraction())
	}
	return used, highest
}

// runSchedules counts the random schedules in which the sum exceeded the quota, and returns
// the highest sum.
func runSchedules(make gateways.Make, n uint64) (over int, highest float64) {
	for seed := uint64(1); seed <= n; seed++ {
		w := gateways.New(seed, settings, 2+int(seed%3), 1+int(seed/3%4), make)
		w.GoOn = true
		for _, node := range w.Nodes {
			node.Demand = quota.PartOf(w.Rand.Float64())
		}
		w.Play(gateways.Draw(w, 40*time.Second)) // no error: GoOn lets it continue when the sum exceeds the quota
		if highest = max(highest, w.Most.Fraction()); w.Most > quota.Whole {
			over++
		}
	}
	return over, highest
}

// printCosts prints the messages and memory per member by fleet size. BenchmarkHandleReport
// of package quota measures the CPU time of a report.
func printCosts(sizes string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\ngateways\tuse\tmessages a member and second\tof one that is steward\tKB a member\t")
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 5 {
			return fmt.Errorf("sizes: %q is not a number of 5 or more", text)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		world := gateways.New(1, settings, 5, n/5, gateways.Leases)
		for i, node := range world.Nodes {
			node.Demand = quota.PartOf([]float64{2, 0.2, 0.5, 0, 1.5}[i%5] / float64(n))
		}
		world.Run(4 * time.Second)
		sentBefore := world.Sent
		used, err := world.Share(6 * time.Second)
		if err != nil {
			return err
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		kb := float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc)) / 1024 / float64(n)
		perSecond := float64(world.Sent-sentBefore) / 6
		fmt.Fprintf(w, "%d\t%.3f\t%.1f\t%.0f\t%.1f\t\n", n, used, perSecond/float64(n), perSecond/2, kb)
		runtime.KeepAlive(world)
	}
	return w.Flush()
}
