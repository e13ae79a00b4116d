// Command overload tells what a sidecar is worth beyond its own processor: a process with
// one core meets open-loop clients at multiples of what it can do, with endpoints that have
// room for all. It prints, for each multiple, the worth that was answered in time, what was
// late, refused and failed, by class, and what the sidecar's processor did.
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
	aim         = 100 * time.Millisecond
	deadline    = 400 * time.Millisecond
	give        = 500 * time.Millisecond
	workers     = 2000 // of each endpoint: they are never what is short
	drives      = 4    // loads of each class, each with connections of its own
	warmUp      = time.Second
	readyWithin = 10 * time.Second
)

// class is what is asked for, and what an answer in time is worth.
type class struct {
	name  string
	keyed bool
	worth float64
	part  float64 // of the requests
}

var classes = []class{{"map-tile", false, 1, 0.8}, {"status-report", true, 3, 0.2}}

func main() {
	raiseLimit()
	program := flag.String("program", "bin/spokegw", "the sidecar's command")
	one := flag.Float64("one", 6000, "requests a second that count as 1")
	multiples := flag.String("multiples", "0.5,1,2,4,10", "of that, one after the other")
	lasts := flag.Duration("lasts", 4*time.Second, "each")
	settings := flag.String("settings", "", "further lines of the operator's file")
	verbose := flag.Bool("v", false, "show the sidecar's log")
	flag.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "OFFERED\tREQUESTS/S\tWORTH IN TIME/S\tOF OFFERED\tCLASS\tIN TIME\tLATE\tREFUSED\tFAILED\tCPU\t")
	for text := range strings.SplitSeq(*multiples, ",") {
		x, err := strconv.ParseFloat(text, 64)
		if err == nil && !(x > 0 && x <= 50) {
			err = fmt.Errorf("-multiples: %v, more than 0 and at most 50 is expected", x)
		}
		if err == nil {
			err = play(w, config{*program, *settings, x, x * *one, *lasts, *verbose})
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
	lasts             time.Duration
	verbose           bool
}

// play starts a sidecar and has it meet a rate.
func play(w *tabwriter.Writer, c config) error {
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
	starting, cancel := context.WithTimeout(context.Background(), readyWithin)
	defer cancel()
	if _, err := p.Ready(starting); err != nil {
		return err
	}
	counted := time.Now().Add(warmUp)
	ctx, stop := context.WithDeadline(context.Background(), counted.Add(c.lasts))
	defer stop()
	loads := drive(ctx, listen, c)
	tell(w, c, loads, counted, p)
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

// drive has clients ask until ctx ends; it returns their loads by class.
func drive(ctx context.Context, listen string, c config) [][]*lab.Load {
	loads := make([][]*lab.Load, len(classes))
	var asking sync.WaitGroup
	for i, k := range classes {
		for n := range drives {
			l := &lab.Load{Team: "kiosks", Path: "/" + k.name + "/1", Kind: k.name, Keyed: k.keyed, Wanted: aim, Give: give, Idle: 4096,
				Rate: func(time.Duration) float64 { return c.rate * k.part / drives }}
			if k.keyed {
				l.Method = "POST"
			}
			loads[i] = append(loads[i], l)
			asking.Go(func() { l.Run(ctx, listen, uint64(i*drives+n)) })
		}
	}
	asking.Wait()
	return loads
}

// tell tells of what was asked from a time on.
func tell(w *tabwriter.Writer, c config, loads [][]*lab.Load, from time.Time, p *process.Process) {
	type counts struct{ all, inTime, late, refused, failed int }
	by := make([]counts, len(classes))
	worth, offered := 0.0, 0.0
	for i := range classes {
		n := &by[i]
		for _, l := range loads[i] {
			for _, r := range l.Results() {
				if r.At.Before(from) {
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
	part := func(n, of int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(of, 1))) }
	for i, n := range by {
		head := "\t\t\t"
		if i == 0 {
			head = fmt.Sprintf("%.4gx\t%.0f\t%.0f\t%.1f%%", c.multiple, float64(by[0].all+by[1].all)/c.lasts.Seconds(), worth/c.lasts.Seconds(), 100*worth/max(offered, 1))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t\n", head, classes[i].name, part(n.inTime, n.all), part(n.late, n.all), part(n.refused, n.all), part(n.failed, n.all),
			p.Processor().Seconds()/(c.lasts+warmUp).Seconds())
	}
}

// raiseLimit has this process hold as many descriptors as it may: its clients and
// endpoints have thousands of connections.
func raiseLimit() {
	var l unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &l) == nil && l.Cur < l.Max {
		l.Cur = l.Max
		unix.Setrlimit(unix.RLIMIT_NOFILE, &l)
	}
}
