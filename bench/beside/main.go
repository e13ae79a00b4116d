// Command beside compares an ordinary request through the sidecar with two baselines:
// net/http/httputil.ReverseProxy, and a splice that copies bytes without parsing. Each runs
// in turn in a process of its own on one core; clients and the endpoint use the other cores.
// It prints the medians of CPU time per request and of the rate, and their ratios to those
// of the sidecar.
//
//	go run ./bench/beside [-requests 20000] [-rounds 5] [-body 4096] [-connections 16] [-core 0]
package main

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"golang.org/x/sys/unix"

	"spokegw/internal/discovery"
	"spokegw/internal/lab/scene"
	"spokegw/internal/sidecar"
)

var proxyKinds = []string{"sidecar", "ReverseProxy", "splice"}

func main() {
	requests := flag.Int("requests", 20000, "requests in each round, after a tenth as many for warm-up")
	rounds := flag.Int("rounds", 5, "number of rounds, each over all proxies")
	body := flag.Int("body", 4096, "size of an answer in bytes")
	connections := flag.Int("connections", 16, "number of client connections, which are kept open")
	core := flag.Int("core", 0, "core that the proxies run on")
	share := flag.Float64("share", 0, "limit each proxy to this share of a core, and report delays at -rate")
	rate := flag.Float64("rate", 1000, "requests per second, with -share")
	duration := flag.Duration("lasts", 10*time.Second, "duration of the measurement, with -share")
	kind := flag.String("way", "", "run this proxy in front of -to until standard input ends")
	to := flag.String("to", "", "address of the endpoint")
	profile := flag.String("profile", "", "write a CPU profile of the sidecar to this file, for go tool pprof")
	flag.Parse()
	var err error
	if *kind != "" {
		err = serve(*kind, *to, *core, *profile)
	} else if *share > 0 {
		err = measureThrottled(*share, *rate, *duration, *body, *connections, *core)
	} else {
		err = measure(*requests, *rounds, *body, *connections, *core, *profile)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "beside:", err)
		os.Exit(1)
	}
}

// serve runs one proxy in this process, until standard input ends.
func serve(kind, target string, core int, profile string) error {
	runtime.GOMAXPROCS(1)
	if err := setAffinity(func(n int) bool { return n == core }); err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	addr, err := startServer(kind, target)
	if err != nil {
		return err
	}
	if profile != "" {
		f, err := os.Create(profile)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	fmt.Println(addr)
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

func startServer(kind, target string) (addr string, err error) {
	if kind == "sidecar" {
		sidecar.ApplyLimits(sidecar.Limits{Cores: 1, MemoryMB: 64}) // as the spokegw command does
		s, err := scene.Start(scene.Config{Listed: []discovery.Entry{{ID: "maps-0", Addr: target, Kind: "std", State: "active", Weight: 1}}})
		if err != nil {
			return "", err
		}
		return s.Addr(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	switch kind {
	case "ReverseProxy":
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
		proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
		go http.Serve(l, proxy)
	case "splice":
		go acceptLoop(l, func(client net.Conn) {
			server, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			defer server.Close()
			go copyBytes(server, client)
			copyBytes(client, server)
		})
	default:
		return "", fmt.Errorf("unknown proxy %q", kind)
	}
	return l.Addr().String(), nil
}

// setAffinity pins all threads of the process, and those that they start, to the allowed
// cores.
func setAffinity(allowed func(n int) bool) error {
	var set unix.CPUSet
	for n := range runtime.NumCPU() {
		if allowed(n) {
			set.Set(n)
		}
	}
	tasks, err := filepath.Glob("/proc/self/task/*")
	for _, t := range tasks {
		id, _ := strconv.Atoi(filepath.Base(t))
		if e := unix.SchedSetaffinity(id, &set); e != nil && !errors.Is(e, unix.ESRCH) {
			err = e
		}
	}
	return err
}

func acceptLoop(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serve(c)
		}()
	}
}

// copyBytes copies with plain reads and writes, without parsing.
func copyBytes(dst, src net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if _, writeErr := dst.Write(buf[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// measurement is the result of one proxy in one round.
type measurement struct{ cpu, rate float64 } // microseconds per request, requests per second

func measure(requests, rounds, body, connections, core int, profile string) error {
	l, err := startEndpoint(body, core)
	if err != nil {
		return err
	}
	defer l.Close()
	all := map[string][]measurement{}
	for range rounds {
		for _, kind := range proxyKinds {
			m, err := runRound(kind, l.Addr().String(), requests, body, connections, core, profile)
			if err != nil {
				return fmt.Errorf("%s: %w", kind, err)
			}
			all[kind] = append(all[kind], m)
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tCPU us\tsidecar's is\trate\tsidecar's is\t")
	own := median(all["sidecar"])
	for _, kind := range proxyKinds {
		mid := median(all[kind])
		fmt.Fprintf(w, "%s\t%.1f\t%.2f\t%.0f\t%.2f\t\n", kind, mid.cpu, own.cpu/mid.cpu, mid.rate, own.rate/mid.rate)
	}
	return w.Flush()
}

// startEndpoint starts the endpoint, on all cores but that of the proxies.
func startEndpoint(body, core int) (net.Listener, error) {
	if err := setAffinity(func(n int) bool { return n != core }); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: image/png\r\nContent-Length: %d\r\n\r\n%s", body, bytes.Repeat([]byte("."), body)))
	go acceptLoop(l, func(c net.Conn) {
		for r := bufio.NewReader(c); readHead(r) == nil; {
			if _, err := c.Write(answer); err != nil {
				return
			}
		}
	})
	return l, nil
}

// measureThrottled prints the delays through each proxy, limited to a share of a core.
func measureThrottled(share, rate float64, duration time.Duration, body, connections, core int) error {
	l, err := startEndpoint(body, core)
	if err != nil {
		return err
	}
	defer l.Close()
	delays := map[string][]time.Duration{}
	if delays["direct"], err = measureDelays(l.Addr().String(), rate, duration, body, connections); err != nil {
		return fmt.Errorf("direct: %w", err)
	}
	for _, kind := range proxyKinds {
		p, err := startProxy(kind, l.Addr().String(), core, "")
		if err != nil {
			return fmt.Errorf("%s: %w", kind, err)
		}
		stop, ended := make(chan struct{}), make(chan error, 1)
		err = sendRequests(p.addr, int(rate), body, connections)
		go func() { ended <- throttle(p.Process.Pid, share, stop) }()
		if err == nil {
			delays[kind], err = measureDelays(p.addr, rate, duration, body, connections)
		}
		close(stop)
		if err := errors.Join(err, <-ended, p.stop()); err != nil {
			return fmt.Errorf("%s: %w", kind, err)
		}
	}
	return printDelays(delays, share, rate)
}

// readHead reads up to the end of the header section.
func readHead(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil || len(line) == 2 {
			return err
		}
	}
}

func median(all []measurement) measurement {
	medianOf := func(value func(measurement) float64) float64 {
		var values []float64
		for _, m := range all {
			values = append(values, value(m))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	return measurement{medianOf(func(m measurement) float64 { return m.cpu }), medianOf(func(m measurement) float64 { return m.rate })}
}

func runRound(kind, endpoint string, requests, body, connections, core int, profile string) (m measurement, err error) {
	p, err := startProxy(kind, endpoint, core, profile)
	if err != nil {
		return m, err
	}
	defer func() { err = errors.Join(err, p.stop()) }()
	addr := p.addr
	if err := sendRequests(addr, requests/10, body, connections); err != nil {
		return m, err
	}
	before, start := processTime(p.Process.Pid), time.Now()
	if err := sendRequests(addr, requests, body, connections); err != nil {
		return m, err
	}
	took := time.Since(start)
	return measurement{(processTime(p.Process.Pid) - before).Seconds() * 1e6 / float64(requests), float64(requests) / took.Seconds()}, nil
}

// proxy is the process of a proxy.
type proxy struct {
	*exec.Cmd
	addr  string
	stdin io.Closer
}

// stop closes the standard input of the process, on which it exits, and waits for it.
func (p *proxy) stop() error { return errors.Join(p.stdin.Close(), p.Wait()) }

func startProxy(kind, endpoint string, core int, profile string) (*proxy, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := []string{"-way", kind, "-to", endpoint, "-core", strconv.Itoa(core)}
	if kind == "sidecar" {
		args = append(args, "-profile", profile)
	}
	cmd := exec.Command(executable, args...)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &proxy{cmd, "", stdin}
	addr, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		return nil, errors.Join(err, p.stop())
	}
	p.addr = strings.TrimSpace(addr)
	return p, nil
}

// processTime returns the CPU time of a process (proc(5), stat: utime and stime, in
// hundredths of a second).
func processTime(pid int) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, stat, _ := strings.Cut(string(text), ") ")
	if f := strings.Fields(stat); len(f) > 12 {
		user, _ := strconv.Atoi(f[11])
		system, _ := strconv.Atoi(f[12])
		return time.Duration(user+system) * 10 * time.Millisecond
	}
	return 0
}

var lastID atomic.Uint64 // request ids are unique over all connections

// sendRequests sends requests over persistent connections, on each one after the other
// (closed loop).
func sendRequests(addr string, requests, body, connections int) error {
	var wg sync.WaitGroup
	failed := make(chan error, connections)
	for range connections {
		wg.Go(func() {
			if err := sendOnConnection(addr, requests/connections, body); err != nil {
				failed <- err
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

var errUnexpectedAnswer = errors.New("expected status 200 and a body of the configured length")

func sendOnConnection(addr string, requests, body int) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	r := bufio.NewReaderSize(c, 16<<10)
	for range requests {
		if err := sendRequest(c, r, body); err != nil {
			return err
		}
	}
	return nil
}

func sendRequest(c net.Conn, r *bufio.Reader, body int) error {
	id := lastID.Add(1)
	if _, err := fmt.Fprintf(c, "GET /map-tile/3/7?user=k HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %d\r\nReq-Kind: map-tile\r\nReq-Owner: patrols\r\nReq-Deadline: 1000m\r\n\r\n", id); err != nil {
		return err
	}
	line, err := r.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(line, []byte("HTTP/1.1 200 ")) {
		return fmt.Errorf("%w: %s", errUnexpectedAnswer, line)
	}
	if err := readHead(r); err != nil {
		return err
	}
	if n, err := r.Discard(body); err != nil {
		return fmt.Errorf("%w: %d bytes: %w", errUnexpectedAnswer, n, err)
	}
	return nil
}
