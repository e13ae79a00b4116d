// Command upgrade measures graceful restarts under load: a sidecar process is
// repeatedly replaced by a new one while clients send requests on persistent and
// on new connections. It prints the requests that were lost, duplicated and reset,
// the slowest answer, the time until a new process was ready, and the file
// descriptors and memory of both processes together.
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
	program      = flag.String("program", "bin/spokegw", "path of the sidecar binary")
	upgrades     = flag.Int("upgrades", 50, "number of upgrades, at most 1,000")
	rate         = flag.Float64("rate", 1000, "requests per second, at most 20,000")
	workers      = flag.Int("workers", 32, "number of clients, at most 512")
	pause        = flag.Duration("pause", 300*time.Millisecond, "pause between upgrades")
	separateDirs = flag.Bool("alone", false, "give each process its own directory, so that there is no handover: each opens its own listener")
	verbose      = flag.Bool("v", false, "show the sidecars' logs")
)

func main() {
	flag.Parse()
	slog.SetLogLoggerLevel(slog.LevelError)
	if *upgrades > 1000 || *rate > 20000 || *workers > 512 || *upgrades < 1 || *rate <= 0 || *workers < 1 {
		fmt.Fprintln(os.Stderr, "upgrade: a flag is out of range; see --help")
		os.Exit(2)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "upgrade:", err)
		os.Exit(1)
	}
}

// results are the outcomes of the clients' requests.
type results struct {
	sent, served, refused, failed, reset, noAnswer, duplicated atomic.Int64
	receivedIDs                                                sync.Map // ids of requests that an endpoint received
	mu                                                         sync.Mutex
	latencies                                                  []time.Duration
}

func run() error {
	dir, err := os.MkdirTemp("", "spokegw-upgrade-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var total results
	backends, err := scene.StartBackends(4, lab.EndpointConfig{Workers: 64, Body: 2000, Work: 5 * time.Millisecond, Seen: func(r *http.Request) {
		if _, twice := total.receivedIDs.LoadOrStore(r.Header.Get("Req-Id"), true); twice {
			total.duplicated.Add(1)
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
	current, _, err := start(dir, config, 0)
	if err != nil {
		return err
	}
	defer func() { current.Stop(stopTimeout) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	var probe prober
	probe.target.Store(current)
	running.Go(func() { probe.run(ctx) })
	for w := range *workers {
		running.Go(func() { runClient(ctx, listen, w, &total) })
	}
	var readyTimes, stopTimes []time.Duration
	maxDescriptors := 0
	var maxMemory int64
	for i := range *upgrades {
		time.Sleep(*pause)
		next, took, err := start(dir, config, i+1)
		if err != nil {
			return err
		}
		readyTimes = append(readyTimes, took)
		maxDescriptors = max(maxDescriptors, current.Descriptors()+next.Descriptors())
		oldMemory, _ := current.Memory()
		newMemory, _ := next.Memory()
		maxMemory = max(maxMemory, oldMemory+newMemory)
		probe.target.Store(next)
		started, old := time.Now(), current
		current = next
		old.Stop(stopTimeout)
		stopTimes = append(stopTimes, time.Since(started))
	}
	time.Sleep(*pause)
	cancel()
	running.Wait()
	report(&total, &probe, readyTimes, stopTimes, maxDescriptors, maxMemory)
	return nil
}

func report(t *results, p *prober, readyTimes, stopTimes []time.Duration, descriptors int, memory int64) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	slices.Sort(t.latencies)
	row := func(name string, v any) { fmt.Fprintf(w, "%s\t%v\n", name, v) }
	row("upgrades", len(readyTimes))
	row("asked", t.sent.Load())
	row("served", t.served.Load())
	row("lost (no whole answer)", t.noAnswer.Load())
	row("reset or not let in", t.reset.Load())
	row("refused", t.refused.Load())
	row("failed", t.failed.Load())
	row("sent twice", t.duplicated.Load())
	if n := len(t.latencies); n > 0 {
		row("answers, median", t.latencies[n/2].Round(10*time.Microsecond))
		row("answers, 99th percentile", t.latencies[n*99/100].Round(10*time.Microsecond))
		row("slowest answer", t.latencies[n-1].Round(10*time.Microsecond))
	}
	row("seconds to yes, most", slices.Max(readyTimes).Seconds())
	row("ready asked", p.probes)
	row("ready, not YES", p.failures)
	row("ready, longest wait", p.longest.Round(10*time.Microsecond))
	row("seconds until the old one has ended, most", slices.Max(stopTimes).Seconds())
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

// memoryMB is the memory limit for both processes together.
const memoryMB = 64

// prober polls the readiness of the serving process.
type prober struct {
	target           atomic.Pointer[process.Process]
	probes, failures int
	longest          time.Duration
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
		started := time.Now()
		probeCtx, cancel := context.WithTimeout(ctx, time.Second)
		p.probes++
		if text, err := p.target.Load().Ask(probeCtx, "ready"); ctx.Err() == nil && (err != nil || !strings.HasPrefix(text, "YES")) {
			p.failures++
		}
		cancel()
		p.longest = max(p.longest, time.Since(started))
	}
}

// start starts a process and returns the time until it was ready.
func start(dir, config string, n int) (*process.Process, time.Duration, error) {
	processDir := dir
	if *separateDirs {
		processDir = filepath.Join(dir, strconv.Itoa(n))
		if err := os.Mkdir(processDir, 0o700); err != nil {
			return nil, 0, err
		}
	}
	log := io.Discard
	if *verbose {
		log = os.Stderr
	}
	p, err := process.Start(*program, "", []string{"NODE_CONFIG=" + config, "TMPDIR=" + processDir}, log)
	if err != nil {
		return nil, 0, fmt.Errorf("%w; build it with go build -o bin/ ./cmd/spokegw", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	took, err := p.Ready(ctx)
	if err != nil {
		p.Kill()
	}
	return p, took, err
}

// stopTimeout is the time that a process has to exit: the longest deadline and 0.7 s.
const stopTimeout = 1200*time.Millisecond + 700*time.Millisecond

// runClient sends its part of the rate, two of three requests on an open connection.
func runClient(ctx context.Context, addr string, worker int, t *results) {
	tick := time.NewTicker(time.Duration(float64(*workers) / *rate * float64(time.Second)))
	defer tick.Stop()
	var conn net.Conn
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			if conn != nil {
				conn.Close()
			}
			return
		case <-tick.C:
		}
		if i%3 == 0 && conn != nil {
			conn.Close()
			conn = nil
		}
		conn = sendRequest(addr, conn, fmt.Sprintf("w%d-%d", worker, i), t)
	}
}

// sendRequest sends a request on c, or on a new connection if c is nil, and returns the
// connection to reuse, if any. It replaces a reused connection that was closed meanwhile.
func sendRequest(addr string, c net.Conn, id string, t *results) net.Conn {
	t.sent.Add(1)
	started, newConn := time.Now(), c == nil
	for {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
				t.reset.Add(1)
				return nil
			}
			newConn = true
		}
		c.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprintf(c, "GET /map-tile/3?user=k HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 1200m\r\n\r\n", id)
		r := bufio.NewReader(c)
		if _, err := r.Peek(1); err != nil {
			c.Close()
			_, forwarded := t.receivedIDs.Load(id)
			switch {
			case forwarded, errors.Is(err, os.ErrDeadlineExceeded):
				t.noAnswer.Add(1)
			case newConn:
				t.reset.Add(1)
			default: // the server may close a connection between two requests
				c = nil
				continue
			}
			return nil
		}
		return t.readResponse(c, r, started)
	}
}

// readResponse reads an answer and returns the connection if it can be reused.
func (t *results) readResponse(c net.Conn, r *bufio.Reader, started time.Time) net.Conn {
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
	t.latencies = append(t.latencies, time.Since(started))
	t.mu.Unlock()
	if resp.Close {
		c.Close()
		return nil
	}
	return c
}
