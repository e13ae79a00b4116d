// Command federation runs sidecar processes that share a quota over faulty links, once
// with the fleet's quota and once with an equal fixed share for each, and reports how much
// of the quota is used, by how much all together exceed it, and the cost per process.
//
//	go build -o bin/ ./cmd/spokegw && go run ./bench/federation [-gateways 12] [-rate 600] [-program bin/spokegw]
package main

import (
	"context"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"spokegw/internal/lab/federation"
	"spokegw/internal/lab/links"
)

func main() {
	gateways := flag.Int("gateways", 12, "number of processes, a multiple of 3: three partners have the same number each")
	rate := flag.Float64("rate", 600, "quota in requests per second")
	program := flag.String("program", "bin/spokegw", "path of the sidecar binary")
	phase := flag.Duration("phase", 6*time.Second, "duration of each scenario, whose second half is measured")
	sites := flag.Bool("sites", false, "simulate the loss of a site instead of a shared quota; use phases of 30s")
	restarts := flag.Int("restarts", 0, "instead of a shared quota, run this many processes under load, and kill and restart seven in ten of them at once")
	flag.Parse()
	if *restarts > 0 {
		if err := runRestarts(*program, *restarts, 0.7); err != nil {
			fmt.Fprintln(os.Stderr, "federation:", err)
			os.Exit(1)
		}
		return
	}
	if *sites {
		if err := runSites(*program, *gateways, *phase); err != nil {
			fmt.Fprintln(os.Stderr, "federation:", err)
			os.Exit(1)
		}
		return
	}
	if err := run(*program, *gateways, *rate, *phase); err != nil {
		fmt.Fprintln(os.Stderr, "federation:", err)
		os.Exit(1)
	}
}

// scenario is a change to the faults of a federation and to the demand of its clients.
type scenario struct {
	name  string
	apply func(f *federation.Federation, rate float64) error
}

var scenarios = []scenario{
	{"all at one", func(f *federation.Federation, rate float64) error { f.Demand(rate*1.5, 0); return nil }},
	{"one partner", func(f *federation.Federation, rate float64) error {
		for _, g := range f.Gateways {
			g.Ask(0)
			if g.Partner == 0 {
				g.Ask(1.5 * rate / float64(f.Partners[0]))
			}
		}
		return nil
	}},
	{"all want all", func(f *federation.Federation, rate float64) error {
		f.Demand(2 * rate / float64(len(f.Gateways)))
		return nil
	}},
	{"cut in halves", func(f *federation.Federation, rate float64) error { setPartition(f, true); return nil }},
	{"healed, all at one", func(f *federation.Federation, rate float64) error {
		setPartition(f, false)
		f.Demand(0, rate*1.5, 0)
		return nil
	}},
	{"half of the links lose 30%, up to 400 ms", func(f *federation.Federation, rate float64) error {
		for i := range f.Gateways {
			for j := range f.Gateways {
				if i != j && (i+j)%2 == 0 {
					f.Set(i, j, false, links.Fault{Drop: 0.3, Jitter: 400 * time.Millisecond})
				}
			}
		}
		return nil
	}},
	{"one in three is killed", func(f *federation.Federation, rate float64) error {
		f.Heal()
		f.Demand(2 * rate / float64(len(f.Gateways)))
		for i, g := range f.Gateways {
			if i%3 == 2 {
				g.Kill()
			}
		}
		return nil
	}},
	{"and started, another third stands still", func(f *federation.Federation, rate float64) error {
		for i, g := range f.Gateways {
			switch i % 3 {
			case 2:
				if err := g.Start(); err != nil {
					return err
				}
			case 1:
				g.Pause()
			}
		}
		return nil
	}},
	{"which goes on", func(f *federation.Federation, rate float64) error {
		for i, g := range f.Gateways {
			if i%3 == 1 {
				g.GoOn()
			}
		}
		return nil
	}},
}

func setPartition(f *federation.Federation, isolated bool) {
	for i := range f.Gateways {
		for j := range f.Gateways {
			if i%2 == 0 && j%2 == 1 {
				f.Set(i, j, true, links.Fault{Cut: isolated})
			}
		}
	}
}

// result is the outcome of one federation.
type result struct {
	used      []float64
	recovery  float64 // seconds until the quota is used again after the partition heals
	overshoot float64
	repeated  int
	tally     federation.Tally
	datagrams float64 // per process and second
	bytes     float64
	cpu       float64 // thousandths of a core, per process
	memory    float64 // MB, per process
}

func run(program string, gateways int, rate float64, phase time.Duration) error {
	if gateways < 3 || gateways%3 != 0 {
		return fmt.Errorf("-gateways must be a multiple of 3, not %d", gateways)
	}
	var results []result
	for _, alone := range []bool{false, true} {
		r, err := runScenarios(program, gateways, rate, phase, alone)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "part of the quota used\tfleet\teven parts")
	for i, s := range scenarios {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\n", s.name, results[0].used[i], results[1].used[i])
	}
	row := func(what, format string, value func(result) any) {
		fmt.Fprintf(w, "%s\t"+format+"\t"+format+"\n", what, value(results[0]), value(results[1]))
	}
	row("seconds until 0.9 is used once it is healed", "%.1f", func(r result) any { return r.recovery })
	row("requests over the quota in any span", "%.0f", func(r result) any { return r.overshoot })
	row("keys that ran twice", "%d", func(r result) any { return r.repeated })
	row("requests", "%d", func(r result) any { return r.tally.Asked })
	row("without an answer", "%d", func(r result) any { return r.tally.Failed })
	row("the same, of a process that was killed or stood still", "%d", func(r result) any { return r.tally.Lost })
	row("datagrams a process and second", "%.1f", func(r result) any { return r.datagrams })
	row("bytes", "%.0f", func(r result) any { return r.bytes })
	row("processor of a process, thousandths of a core", "%.1f", func(r result) any { return r.cpu })
	row("resident, MB", "%.1f", func(r result) any { return r.memory })
	return w.Flush()
}

func runScenarios(program string, gateways int, rate float64, phase time.Duration, alone bool) (r result, err error) {
	dir, err := os.MkdirTemp("", "spokegw-federation-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	perPartner := gateways / 3
	f, err := federation.Start(federation.Config{
		Program: program, Dir: dir, Partners: []int{perPartner, perPartner, perPartner}, Parts: []float64{0.4, 0.4, 0.2},
		Rate: rate, Burst: rate / 10, Lease: 2 * time.Second, Alone: alone, Seed: 1,
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
	for i, s := range scenarios {
		if err := s.apply(f, rate); err != nil {
			return r, err
		}
		if strings.HasPrefix(s.name, "healed") {
			r.recovery = timeToRecover(f, rate)
		}
		time.Sleep(phase / 2)
		from := time.Now()
		datagramsBefore, bytesBefore, cpuBefore := costs(f)
		time.Sleep(phase / 2)
		seconds := time.Since(from).Seconds()
		r.used = append(r.used, float64(f.Ran(from))/(rate*seconds))
		if i == 2 { // all gateways demand more than their share, no faults
			datagramsAfter, bytesAfter, cpuAfter := costs(f)
			n := float64(gateways)
			r.datagrams, r.bytes, r.cpu = (datagramsAfter-datagramsBefore)/seconds/n, (bytesAfter-bytesBefore)/seconds/n, 1000*(cpuAfter-cpuBefore)/seconds/n
			for _, g := range f.Gateways {
				memory, _ := g.Process().Memory()
				r.memory += float64(memory) / (1 << 20) / n
			}
		}
	}
	stop()
	wg.Wait()
	r.overshoot, _ = f.Overshoot()
	r.repeated, r.tally = f.Repeated(), f.Tally()
	return r, nil
}

// timeToRecover returns the seconds until 90% of the quota is used within half a second.
func timeToRecover(f *federation.Federation, rate float64) float64 {
	const window = 500 * time.Millisecond
	start := time.Now()
	for time.Since(start) < 30*time.Second {
		from := time.Now()
		time.Sleep(window)
		if float64(f.Ran(from)) >= 0.9*rate*time.Since(from).Seconds() {
			return (time.Since(start) - window).Seconds()
		}
	}
	return math.Inf(1)
}

// costs returns the traffic of the links and the CPU seconds of the processes so far.
func costs(f *federation.Federation) (datagrams, bytes, cpu float64) {
	d, b := f.Carried()
	for _, g := range f.Gateways {
		cpu += g.Process().Processor().Seconds()
	}
	return float64(d), float64(b), cpu
}
