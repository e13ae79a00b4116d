// Command federation runs sidecars as processes that share a quota over links that fail,
// once with the fleet's quota and once with an even part for each, and tells what of the
// quota is used, what all together let out beyond it, and what it costs a process.
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
	gateways := flag.Int("gateways", 12, "processes, a multiple of 3: three partners have as many each")
	rate := flag.Float64("rate", 600, "of the quota, requests a second")
	program := flag.String("program", "bin/spokegw", "the sidecar's command")
	phase := flag.Duration("phase", 6*time.Second, "of each scene, of which the last half is measured")
	sites := flag.Bool("sites", false, "play the loss of a site in place of a shared quota; phases of 30s are of use")
	restarts := flag.Int("restarts", 0, "so many processes under load, seven in ten of which are killed and started anew at once, in place of a shared quota")
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

// scene is what is done to a federation, and what clients ask of it.
type scene struct {
	name string
	do   func(f *federation.Federation, rate float64) error
}

var scenes = []scene{
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
	{"cut in halves", func(f *federation.Federation, rate float64) error { cut(f, true); return nil }},
	{"healed, all at one", func(f *federation.Federation, rate float64) error {
		cut(f, false)
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

func cut(f *federation.Federation, on bool) {
	for i := range f.Gateways {
		for j := range f.Gateways {
			if i%2 == 0 && j%2 == 1 {
				f.Set(i, j, true, links.Fault{Cut: on})
			}
		}
	}
}

// result is what came of one federation.
type result struct {
	used      []float64
	heals     float64 // seconds until the quota is used again
	over      float64
	repeated  int
	tally     federation.Tally
	datagrams float64 // a process and second
	bytes     float64
	cpu       float64 // thousandths of a core, a process
	memory    float64 // MB
}

func run(program string, gateways int, rate float64, phase time.Duration) error {
	if gateways < 3 || gateways%3 != 0 {
		return fmt.Errorf("a multiple of 3 gateways is expected, not %d", gateways)
	}
	var results []result
	for _, alone := range []bool{false, true} {
		r, err := play(program, gateways, rate, phase, alone)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "part of the quota used\tfleet\teven parts")
	for i, s := range scenes {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\n", s.name, results[0].used[i], results[1].used[i])
	}
	show := func(what, form string, of func(result) any) {
		fmt.Fprintf(w, "%s\t"+form+"\t"+form+"\n", what, of(results[0]), of(results[1]))
	}
	show("seconds until 0.9 is used once it is healed", "%.1f", func(r result) any { return r.heals })
	show("requests over the quota in any span", "%.0f", func(r result) any { return r.over })
	show("keys that ran twice", "%d", func(r result) any { return r.repeated })
	show("requests", "%d", func(r result) any { return r.tally.Asked })
	show("without an answer", "%d", func(r result) any { return r.tally.Failed })
	show("the same, of a process that was killed or stood still", "%d", func(r result) any { return r.tally.Lost })
	show("datagrams a process and second", "%.1f", func(r result) any { return r.datagrams })
	show("bytes", "%.0f", func(r result) any { return r.bytes })
	show("processor of a process, thousandths of a core", "%.1f", func(r result) any { return r.cpu })
	show("resident, MB", "%.1f", func(r result) any { return r.memory })
	return w.Flush()
}

func play(program string, gateways int, rate float64, phase time.Duration, alone bool) (r result, err error) {
	dir, err := os.MkdirTemp("", "spokegw-federation-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	third := gateways / 3
	f, err := federation.Start(federation.Config{
		Program: program, Dir: dir, Partners: []int{third, third, third}, Parts: []float64{0.4, 0.4, 0.2},
		Rate: rate, Burst: rate / 10, Lease: 2 * time.Second, Alone: alone, Seed: 1,
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
	for i, s := range scenes {
		if err := s.do(f, rate); err != nil {
			return r, err
		}
		if strings.HasPrefix(s.name, "healed") {
			r.heals = untilUsed(f, rate)
		}
		time.Sleep(phase / 2)
		from := time.Now()
		datagrams, bytes, cpu := costs(f)
		time.Sleep(phase / 2)
		span := time.Since(from).Seconds()
		r.used = append(r.used, float64(f.Ran(from))/(rate*span))
		if i == 2 { // all want all, nothing fails
			d, b, c := costs(f)
			n := float64(gateways)
			r.datagrams, r.bytes, r.cpu = (d-datagrams)/span/n, (b-bytes)/span/n, 1000*(c-cpu)/span/n
			for _, g := range f.Gateways {
				now, _ := g.Process().Memory()
				r.memory += float64(now) / (1 << 20) / n
			}
		}
	}
	stop()
	clients.Wait()
	r.over, _ = f.Overshoot()
	r.repeated, r.tally = f.Repeated(), f.Tally()
	return r, nil
}

// untilUsed is after how many seconds nine tenths of the quota are used in half a second.
func untilUsed(f *federation.Federation, rate float64) float64 {
	const look = 500 * time.Millisecond
	begun := time.Now()
	for time.Since(begun) < 30*time.Second {
		from := time.Now()
		time.Sleep(look)
		if float64(f.Ran(from)) >= 0.9*rate*time.Since(from).Seconds() {
			return (time.Since(begun) - look).Seconds()
		}
	}
	return math.Inf(1)
}

// costs are what the links have carried and the processes have used of processors.
func costs(f *federation.Federation) (datagrams, bytes, cpu float64) {
	d, b := f.Carried()
	for _, g := range f.Gateways {
		cpu += g.Process().Processor().Seconds()
	}
	return float64(d), float64(b), cpu
}
