// Command overload measures a sidecar that is offered more than its own processor can
// handle: a process with one core gets open-loop traffic at multiples of its capacity, with
// endpoints that have capacity for all of it. For each multiple it prints the worth answered
// in time, the late, refused and failed requests by class, and the sidecar's CPU usage.
//
//	go build -o bin/ ./cmd/spokegw && go run ./bench/overload -multiples 0.5,1,2,4,10
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/sys/unix"

	"spokegw/internal/lab"
	"spokegw/internal/lab/process"
	"spokegw/internal/lab/scene"
)

const (
	aim           = 100 * time.Millisecond
	deadline      = 400 * time.Millisecond
	clientTimeout = 500 * time.Millisecond
	workers       = 2000 // per endpoint, so that endpoints are never the bottleneck
	loadsPerClass = 4    // each load has its own connections
	warmUp        = time.Second
	readyWithin   = 10 * time.Second
)

// class is a class of requests, with the worth of an answer in time.
type class struct {
	name     string
	keyed    bool
	worth    float64
	fraction float64 // of all requests
}

var classes = []class{{"map-tile", false, 1, 0.8}, {"status-report", true, 3, 0.2}}

func main() {
	raiseFileLimit()
	program := flag.String("program", "bin/spokegw", "path of the sidecar binary")
	baseRate := flag.Float64("one", 6000, "requests per second at multiple 1")
	multiples := flag.String("multiples", "0.5,1,2,4,10", "multiples of -one to offer, one after the other")
	duration := flag.Duration("lasts", 4*time.Second, "each")
	settings := flag.String("settings", "", "lines to append to the operator file")
	verbose := flag.Bool("v", false, "show the sidecar's log")
	flag.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "OFFERED\tREQUESTS/S\tWORTH IN TIME/S\tOF OFFERED\tCLASS\tIN TIME\tLATE\tREFUSED\tFAILED\tCPU\t")
	for text := range strings.SplitSeq(*multiples, ",") {
		x, err := strconv.ParseFloat(text, 64)
		if err == nil && !(x > 0 && x <= 50) {
			err = fmt.Errorf("-multiples: %v is not above 0 and at most 50", x)
		}
		if err == nil {
			err = measure(w, config{*program, *settings, x, x * *baseRate, *duration, *verbose})
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "overload:", err)
			os.Exit(1)
		}
		w.Flush()
	}
}

type config struct {
	program, settings string
	multiple, rate    float64
	duration          time.Duration
	verbose           bool
}

// measure starts a sidecar, offers it one rate and prints the result.
func measure(w *tabwriter.Writer, c config) error {
	dir, err := os.MkdirTemp("", "spokegw-overload-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	backends, err := scene.StartBackends(4, lab.EndpointConfig{Workers: workers, Work: time.Millisecond, Body: 4 << 10})
	if err != nil {
		return err
	}
	defer backends.Close()
	listen, err := process.TakeAddr()
	if err != nil {
		return err
	}
	defer process.GiveBack(listen)
	p, err := start(dir, listen, backends.Registry, backends.Endpoints, c)
	if err != nil {
		return err
	}
	defer p.Stop(5 * time.Second)
	readyCtx, cancel := context.WithTimeout(context.Background(), readyWithin)
	defer cancel()
	if _, err := p.Ready(readyCtx); err != nil {
		return err
	}
	countFrom := time.Now().Add(warmUp)
	ctx, stop := context.WithDeadline(context.Background(), countFrom.Add(c.duration))
	defer stop()
	loads := runLoads(ctx, listen, c)
	printRow(w, c, loads, countFrom, p)
	return nil
}

func start(dir, listen string, registry *lab.Registry, endpoints []*lab.Endpoint, c config) (*process.Process, error) {
	text := scene.Configuration(scene.Platform{
		Listen: listen, Registry: registry.Addr(), Endpoints: endpoints, MemoryMB: 128, Sockets: 16384, ConnectTimeout: time.Second,
		Classes: []scene.Class{
			{"name": "map-tile", "effect": "read_like", "worth": 1, "late_worth": 0, "aim_ms": aim.Milliseconds(), "hard_limit_ms": deadline.Milliseconds()},
			{"name": "status-report", "effect": "idempotency_key", "key_scope": "all", "dedup_window_ms": 2000, "worth": 3, "late_worth": 0,
				"aim_ms": aim.Milliseconds(), "hard_limit_ms": deadline.Milliseconds()},
		},
	})
	operator := "[[service]]\nname = 'maps'\n[no-contract]\naction = 'share'\nshare = 1.0\n" + c.settings
	for name, text := range map[string]string{"config.json": string(text), "operator.toml": operator} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	env := []string{"NODE_CONFIG=" + filepath.Join(dir, "config.json"), "SPOKEGW_OPERATOR=" + filepath.Join(dir, "operator.toml"), "TMPDIR=" + dir}
	if c.verbose {
		return process.Start(c.program, "", env, os.Stderr)
	}
	return process.Start(c.program, "", env, nil)
}

// runLoads generates requests until ctx ends and returns the loads by class.
func runLoads(ctx context.Context, listen string, c config) [][]*lab.Load {
	loads := make([][]*lab.Load, len(classes))
	var running sync.WaitGroup
	for i, class := range classes {
		for n := range loadsPerClass {
			l := &lab.Load{Team: "kiosks", Path: "/" + class.name + "/1", Kind: class.name, Keyed: class.keyed, Wanted: aim, Give: clientTimeout, Idle: 4096,
				Rate: func(time.Duration) float64 { return c.rate * class.fraction / loadsPerClass }}
			if class.keyed {
				l.Method = "POST"
			}
			loads[i] = append(loads[i], l)
			running.Go(func() { l.Run(ctx, listen, uint64(i*loadsPerClass+n)) })
		}
	}
	running.Wait()
	return loads
}

// printRow prints the results of the requests sent from countFrom on.
func printRow(w *tabwriter.Writer, c config, loads [][]*lab.Load, countFrom time.Time, p *process.Process) {
	type counts struct{ all, inTime, late, refused, failed int }
	byClass := make([]counts, len(classes))
	worth, offered := 0.0, 0.0
	for i := range classes {
		n := &byClass[i]
		for _, l := range loads[i] {
			for _, r := range l.Results() {
				if r.At.Before(countFrom) {
					continue
				}
				n.all++
				switch {
				case r.Status == 200 && r.Took <= aim:
					n.inTime++
				case r.Status == 200:
					n.late++
				case r.Refused():
					n.refused++
				default:
					n.failed++
				}
			}
		}
		worth += classes[i].worth * float64(n.inTime)
		offered += classes[i].worth * float64(n.all)
	}
	percent := func(n, of int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(of, 1))) }
	for i, n := range byClass {
		head := "\t\t\t"
		if i == 0 {
			head = fmt.Sprintf("%.4gx\t%.0f\t%.0f\t%.1f%%", c.multiple, float64(byClass[0].all+byClass[1].all)/c.duration.Seconds(), worth/c.duration.Seconds(), 100*worth/max(offered, 1))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t\n", head, classes[i].name, percent(n.inTime, n.all), percent(n.late, n.all), percent(n.refused, n.all), percent(n.failed, n.all),
			p.Processor().Seconds()/(c.duration+warmUp).Seconds())
	}
}

// raiseFileLimit raises the soft limit on file descriptors to the hard limit, as the
// clients and endpoints of this process have thousands of connections.
func raiseFileLimit() {
	var l unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &l) == nil && l.Cur < l.Max {
		l.Cur = l.Max
		unix.Setrlimit(unix.RLIMIT_NOFILE, &l)
	}
}
