// Command upgrade measures upgrades under load: a sidecar's process is replaced
// by a new one again and again while clients ask, on kept connections and on new
// ones. It prints what was lost, doubled and reset, the slowest answer, how long
// each new process took to say yes, and what both processes held together.
//
//	go build -o bin/ ./cmd/spokegw && go run ./bench/upgrade --upgrades 50 --rate 1000
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/process"
	"spokegw/internal/lab/scene"
)

var (
	program  = flag.String("program", "bin/spokegw", "the sidecar's command")
	upgrades = flag.Int("upgrades", 50, "how many, at most 1,000")
	rate     = flag.Float64("rate", 1000, "requests a second, at most 20,000")
	workers  = flag.Int("workers", 32, "clients, at most 512")
	pause    = flag.Duration("pause", 300*time.Millisecond, "between upgrades")
	alone    = flag.Bool("alone", false, "each process has a folder of its own, so that nothing is handed over: both listen by themselves")
	verbose  = flag.Bool("v", false, "show the sidecars' logs")
)

func main() {
	flag.Parse()
	slog.SetLogLoggerLevel(slog.LevelError)
	if *upgrades > 1000 || *rate > 20000 || *workers > 512 || *upgrades < 1 || *rate <= 0 || *workers < 1 {
		fmt.Fprintln(os.Stderr, "upgrade: a flag is out of its bounds; --help tells them")
		os.Exit(2)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "upgrade:", err)
		os.Exit(1)
	}
}

// tally is what clients saw.
type tally struct {
	asked, served, refused, failed, reset, noAnswer, doubled atomic.Int64
	came                                                     sync.Map // requests, by id, that endpoints met
	mu                                                       sync.Mutex
	took                                                     []time.Duration
}

func run() error {
	dir, err := os.MkdirTemp("", "spokegw-upgrade-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var total tally
	backends, err := scene.StartBackends(4, lab.EndpointConfig{Workers: 64, Body: 2000, Work: 5 * time.Millisecond, Seen: func(r *http.Request) {
		if _, twice := total.came.LoadOrStore(r.Header.Get("Req-Id"), true); twice {
			total.doubled.Add(1)
		}
	}})
	if err != nil {
		return err
	}
	defer backends.Close()
	listen, err := process.TakeAddr()
	if err != nil {
		return err
	}
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, configuration(listen, backends.Registry.Addr(), backends.Endpoints), 0o600); err != nil {
		return err
	}
	now, _, err := start(dir, config, 0)
	if err != nil {
		return err
	}
	defer func() { now.Stop(owed) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var asking sync.WaitGroup
	var probing prober
	probing.at.Store(now)
	asking.Go(func() { probing.run(ctx) })
	for w := range *workers {
		asking.Go(func() { ask(ctx, listen, w, &total) })
	}
	var yes, left []time.Duration
	most := 0
	var mostMemory int64
	for i := range *upgrades {
		time.Sleep(*pause)
		next, took, err := start(dir, config, i+1)
		if err != nil {
			return err
		}
		yes = append(yes, took)
		most = max(most, now.Descriptors()+next.Descriptors())
		held, _ := now.Memory()
		more, _ := next.Memory()
		mostMemory = max(mostMemory, held+more)
		probing.at.Store(next)
		begun, old := time.Now(), now
		now = next
		old.Stop(owed)
		left = append(left, time.Since(begun))
	}
	time.Sleep(*pause)
	cancel()
	asking.Wait()
	report(&total, &probing, yes, left, most, mostMemory)
	return nil
}

func report(t *tally, p *prober, yes, left []time.Duration, descriptors int, memory int64) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	slices.Sort(t.took)
	row := func(name string, v any) { fmt.Fprintf(w, "%s\t%v\n", name, v) }
	row("upgrades", len(yes))
	row("asked", t.asked.Load())
	row("served", t.served.Load())
	row("lost (no whole answer)", t.noAnswer.Load())
	row("reset or not let in", t.reset.Load())
	row("refused", t.refused.Load())
	row("failed", t.failed.Load())
	row("sent twice", t.doubled.Load())
	if n := len(t.took); n > 0 {
		row("answers, median", t.took[n/2].Round(10*time.Microsecond))
		row("answers, 99th percentile", t.took[n*99/100].Round(10*time.Microsecond))
		row("slowest answer", t.took[n-1].Round(10*time.Microsecond))
	}
	row("seconds to yes, most", slices.Max(yes).Seconds())
	row("ready asked", p.asked)
	row("ready, not YES", p.missed)
	row("ready, longest wait", p.longest.Round(10*time.Microsecond))
	row("seconds until the old one has ended, most", slices.Max(left).Seconds())
	row("descriptors of both, most", descriptors)
	row("memory of both, most (MB)", fmt.Sprintf("%d of %d", memory>>20, memoryMB))
	w.Flush()
}

func configuration(listen, registry string, endpoints []*lab.Endpoint) []byte {
	return scene.Configuration(scene.Platform{
		Name: "bench", Listen: listen, Registry: registry, Endpoints: endpoints, MemoryMB: memoryMB, Sockets: 512, ConnectTimeout: 250 * time.Millisecond,
		Classes: []scene.Class{{"name": "map-tile", "effect": "read_like", "hard_limit_ms": 1200, "aim_ms": 400}},
	})
}

// memoryMB is what both processes together may hold.
const memoryMB = 64

// prober asks the process that serves whether it is ready, again and again.
type prober struct {
	at            atomic.Pointer[process.Process]
	asked, missed int
	longest       time.Duration
}

func (p *prober) run(ctx context.Context) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		begun := time.Now()
		asking, cancel := context.WithTimeout(ctx, time.Second)
		p.asked++
		if text, err := p.at.Load().Ask(asking, "ready"); ctx.Err() == nil && (err != nil || !strings.HasPrefix(text, "YES")) {
			p.missed++
		}
		cancel()
		p.longest = max(p.longest, time.Since(begun))
	}
}

// start starts a process, and returns how long it took to say yes.
func start(dir, config string, n int) (*process.Process, time.Duration, error) {
	folder := dir
	if *alone {
		folder = filepath.Join(dir, strconv.Itoa(n))
		if err := os.Mkdir(folder, 0o700); err != nil {
			return nil, 0, err
		}
	}
	log := io.Discard
	if *verbose {
		log = os.Stderr
	}
	p, err := process.Start(*program, "", []string{"NODE_CONFIG=" + config, "TMPDIR=" + folder}, log)
	if err != nil {
		return nil, 0, fmt.Errorf("%w; go build -o bin/ ./cmd/spokegw makes it", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	took, err := p.Ready(ctx)
	if err != nil {
		p.Kill()
	}
	return p, took, err
}

// owed is the time that a process has to end, of the longest deadline and 0.7 s.
const owed = 1200*time.Millisecond + 700*time.Millisecond

// ask asks at its part of the rate, two of three requests on a kept connection.
func ask(ctx context.Context, addr string, worker int, t *tally) {
	tick := time.NewTicker(time.Duration(float64(*workers) / *rate * float64(time.Second)))
	defer tick.Stop()
	var kept net.Conn
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			if kept != nil {
				kept.Close()
			}
			return
		case <-tick.C:
		}
		if i%3 == 0 && kept != nil {
			kept.Close()
			kept = nil
		}
		kept = once(addr, kept, fmt.Sprintf("w%d-%d", worker, i), t)
	}
}

// once asks once, on the connection kept or on a new one, and returns the one to
// keep. A kept connection that was closed in the meantime is replaced.
func once(addr string, c net.Conn, id string, t *tally) net.Conn {
	t.asked.Add(1)
	begun, fresh := time.Now(), c == nil
	for {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
				t.reset.Add(1)
				return nil
			}
			fresh = true
		}
		c.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprintf(c, "GET /map-tile/3?user=k HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 1200m\r\n\r\n", id)
		r := bufio.NewReader(c)
		if _, err := r.Peek(1); err != nil {
			c.Close()
			_, sentOn := t.came.Load(id)
			switch {
			case sentOn, errors.Is(err, os.ErrDeadlineExceeded):
				t.noAnswer.Add(1)
			case fresh:
				t.reset.Add(1)
			default: // it was closed between two requests, as it may be
				c = nil
				continue
			}
			return nil
		}
		return t.answer(c, r, begun)
	}
}

// answer reads an answer, and returns the connection if it can be kept.
func (t *tally) answer(c net.Conn, r *bufio.Reader, begun time.Time) net.Conn {
	resp, err := http.ReadResponse(r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	switch {
	case err != nil:
		t.noAnswer.Add(1)
		c.Close()
		return nil
	case resp.StatusCode == 200:
		t.served.Add(1)
	case resp.StatusCode == 429 || resp.StatusCode == 503:
		t.refused.Add(1)
	default:
		t.failed.Add(1)
	}
	t.mu.Lock()
	t.took = append(t.took, time.Since(begun))
	t.mu.Unlock()
	if resp.Close {
		c.Close()
		return nil
	}
	return c
}
