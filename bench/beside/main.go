// Command beside measures an ordinary request through the sidecar beside baselines:
// net/http/httputil.ReverseProxy, and a splice that parses nothing. Each runs in a process of its own on one core, in turn;
// clients and the endpoint are on the others. It prints medians of the processor time a
// request and of the rate, and their ratios to the sidecar's.
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

var ways = []string{"sidecar", "ReverseProxy", "splice"}

func main() {
	requests := flag.Int("requests", 20000, "in each round, after a tenth of it to warm up")
	rounds := flag.Int("rounds", 5, "of all ways")
	body := flag.Int("body", 4096, "bytes of an answer")
	connections := flag.Int("connections", 16, "that clients keep")
	core := flag.Int("core", 0, "that the proxies run on")
	share := flag.Float64("share", 0, "of a core that each is held to; delays at -rate are told then")
	rate := flag.Float64("rate", 1000, "requests a second, with -share")
	lasts := flag.Duration("lasts", 10*time.Second, "of those")
	way := flag.String("way", "", "run this proxy before -to, until standard input ends")
	to := flag.String("to", "", "the endpoint's address")
	profile := flag.String("profile", "", "write there where the sidecar's processor time goes, for go tool pprof")
	flag.Parse()
	var err error
	if *way != "" {
		err = serve(*way, *to, *core, *profile)
	} else if *share > 0 {
		err = squeeze(*share, *rate, *lasts, *body, *connections, *core)
	} else {
		err = measure(*requests, *rounds, *body, *connections, *core, *profile)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "beside:", err)
		os.Exit(1)
	}
}

// serve is the process of one proxy.
func serve(way, to string, core int, profile string) error {
	runtime.GOMAXPROCS(1)
	if err := confine(func(n int) bool { return n == core }); err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	addr, err := start(way, to)
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

func start(way, to string) (addr string, err error) {
	if way == "sidecar" {
		sidecar.ApplyLimits(sidecar.Limits{Cores: 1, MemoryMB: 64}) // as the command does
		s, err := scene.Start(scene.Config{Listed: []discovery.Entry{{ID: "maps-0", Addr: to, Kind: "std", State: "active", Weight: 1}}})
		if err != nil {
			return "", err
		}
		return s.Addr(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	switch way {
	case "ReverseProxy":
		p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
		p.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
		go http.Serve(l, p)
	case "splice":
		go accept(l, func(client net.Conn) {
			server, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			defer server.Close()
			go pass(server, client)
			pass(client, server)
		})
	default:
		return "", fmt.Errorf("no way %q", way)
	}
	return l.Addr().String(), nil
}

// confine keeps all threads that the process has, and those that they start, to the
// processors that may be used.
func confine(may func(n int) bool) error {
	var set unix.CPUSet
	for n := range runtime.NumCPU() {
		if may(n) {
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

func accept(l net.Listener, serve func(net.Conn)) {
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

// pass copies with reads and writes, and parses nothing.
func pass(to, from net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if _, e := to.Write(b[:n]); e != nil || err != nil {
			return
		}
	}
}

// figures are those of one way in one round.
type figures struct{ cpu, rate float64 } // microseconds a request, requests a second

func measure(requests, rounds, body, connections, core int, profile string) error {
	l, err := endpoint(body, core)
	if err != nil {
		return err
	}
	defer l.Close()
	all := map[string][]figures{}
	for range rounds {
		for _, way := range ways {
			f, err := round(way, l.Addr().String(), requests, body, connections, core, profile)
			if err != nil {
				return fmt.Errorf("%s: %w", way, err)
			}
			all[way] = append(all[way], f)
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tCPU us\tsidecar's is\trate\tsidecar's is\t")
	own := median(all["sidecar"])
	for _, way := range ways {
		m := median(all[way])
		fmt.Fprintf(w, "%s\t%.1f\t%.2f\t%.0f\t%.2f\t\n", way, m.cpu, own.cpu/m.cpu, m.rate, own.rate/m.rate)
	}
	return w.Flush()
}

// endpoint answers on the other cores than the proxies'.
func endpoint(body, core int) (net.Listener, error) {
	if err := confine(func(n int) bool { return n != core }); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: image/png\r\nContent-Length: %d\r\n\r\n%s", body, bytes.Repeat([]byte("."), body)))
	go accept(l, func(c net.Conn) {
		for r := bufio.NewReader(c); readHead(r) == nil; {
			if _, err := c.Write(answer); err != nil {
				return
			}
		}
	})
	return l, nil
}

// squeeze tells delays through each, held to a share of a core.
func squeeze(share, rate float64, lasts time.Duration, body, connections, core int) error {
	l, err := endpoint(body, core)
	if err != nil {
		return err
	}
	defer l.Close()
	all := map[string][]time.Duration{}
	if all["direct"], err = delays(l.Addr().String(), rate, lasts, body, connections); err != nil {
		return fmt.Errorf("direct: %w", err)
	}
	for _, way := range ways {
		p, err := run(way, l.Addr().String(), core, "")
		if err != nil {
			return fmt.Errorf("%s: %w", way, err)
		}
		stop, ended := make(chan struct{}), make(chan error, 1)
		err = drive(p.addr, int(rate), body, connections)
		go func() { ended <- throttle(p.Process.Pid, share, stop) }()
		if err == nil {
			all[way], err = delays(p.addr, rate, lasts, body, connections)
		}
		close(stop)
		if err := errors.Join(err, <-ended, p.end()); err != nil {
			return fmt.Errorf("%s: %w", way, err)
		}
	}
	return showDelays(all, share, rate)
}

// readHead reads a request without a body.
func readHead(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil || len(line) == 2 {
			return err
		}
	}
}

func median(all []figures) figures {
	of := func(pick func(figures) float64) float64 {
		var v []float64
		for _, f := range all {
			v = append(v, pick(f))
		}
		slices.Sort(v)
		return v[len(v)/2]
	}
	return figures{of(func(f figures) float64 { return f.cpu }), of(func(f figures) float64 { return f.rate })}
}

func round(way, endpoint string, requests, body, connections, core int, profile string) (f figures, err error) {
	p, err := run(way, endpoint, core, profile)
	if err != nil {
		return f, err
	}
	defer func() { err = errors.Join(err, p.end()) }()
	addr := p.addr
	if err := drive(addr, requests/10, body, connections); err != nil {
		return f, err
	}
	before, begun := used(p.Process.Pid), time.Now()
	if err := drive(addr, requests, body, connections); err != nil {
		return f, err
	}
	took := time.Since(begun)
	return figures{(used(p.Process.Pid) - before).Seconds() * 1e6 / float64(requests), float64(requests) / took.Seconds()}, nil
}

// proxy is the process of one.
type proxy struct {
	*exec.Cmd
	addr string
	in   io.Closer
}

// end has it end by itself.
func (p *proxy) end() error { return errors.Join(p.in.Close(), p.Wait()) }

func run(way, endpoint string, core int, profile string) (*proxy, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := []string{"-way", way, "-to", endpoint, "-core", strconv.Itoa(core)}
	if way == "sidecar" {
		args = append(args, "-profile", profile)
	}
	c := exec.Command(self, args...)
	c.Stderr = os.Stderr
	in, err := c.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &proxy{c, "", in}
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, errors.Join(err, p.end())
	}
	p.addr = strings.TrimSpace(addr)
	return p, nil
}

// used is the processor time of a process (proc(5), stat: utime and stime, in hundredths).
func used(pid int) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, after, _ := strings.Cut(string(text), ") ")
	if f := strings.Fields(after); len(f) > 12 {
		user, _ := strconv.Atoi(f[11])
		system, _ := strconv.Atoi(f[12])
		return time.Duration(user+system) * 10 * time.Millisecond
	}
	return 0
}

var asked atomic.Uint64 // no id is used twice

// drive asks over so many kept connections, on each once the last was answered.
func drive(addr string, requests, body, connections int) error {
	var all sync.WaitGroup
	failed := make(chan error, connections)
	for range connections {
		all.Go(func() {
			if err := ask(addr, requests/connections, body); err != nil {
				failed <- err
			}
		})
	}
	all.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

var errAnswer = errors.New("not answered by 200 and a body of the length asked for")

func ask(addr string, requests, body int) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	r := bufio.NewReaderSize(c, 16<<10)
	for range requests {
		if err := askOne(c, r, body); err != nil {
			return err
		}
	}
	return nil
}

func askOne(c net.Conn, r *bufio.Reader, body int) error {
	id := asked.Add(1)
	if _, err := fmt.Fprintf(c, "GET /map-tile/3/7?user=k HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %d\r\nReq-Kind: map-tile\r\nReq-Owner: patrols\r\nReq-Deadline: 1000m\r\n\r\n", id); err != nil {
		return err
	}
	line, err := r.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(line, []byte("HTTP/1.1 200 ")) {
		return fmt.Errorf("%w: %s", errAnswer, line)
	}
	if err := readHead(r); err != nil {
		return err
	}
	if n, err := r.Discard(body); err != nil {
		return fmt.Errorf("%w: %d bytes: %w", errAnswer, n, err)
	}
	return nil
}
