// Command http3 measures the HTTP/3 listener over loopback: first requests with an
// idempotency key over a path that drops datagrams and migrates its clients,
// counting answers and executions; then the same requests over HTTP/1.1 and HTTP/3,
// measuring rate and CPU time. The clients run in the same process, so CPU time
// covers both sides; it serves to compare the two protocols.
//
//	go run ./bench/http3 [-requests 100000] [-loss 0.05] [-move 1s] [-ping 2s] [-skip-path]
package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

const operatorFile = "[[service]]\nname = 'maps'\n[[team]]\nname = 'patrols'\nshare = 1\n[[team.allow]]\nservice = 'maps'\n"

var keepAlive *time.Duration

func main() {
	requests := flag.Int("requests", 100000, "number of requests over the lossy path")
	loss := flag.Float64("loss", 0.05, "fraction of the datagrams that the path drops, in each direction")
	move := flag.Duration("move", time.Second, "interval between migrations of all clients to other addresses")
	keepAlive = flag.Duration("ping", 2*time.Second, "interval between the pings of a waiting client; 0: none")
	skip := flag.Bool("skip-path", false, "only compare the protocols")
	flag.Parse()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	err := error(nil)
	if !*skip {
		err = measureLossyPath(*requests, *loss, *move)
	}
	if err == nil {
		err = compareProtocols()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "http3:", err)
		os.Exit(1)
	}
}

func startScene(seen func(*http.Request)) (*scene.Scene, error) {
	e := lab.EndpointConfig{Workers: 256, Body: 300, Seen: seen}
	return scene.Start(scene.Config{Operator: operatorFile, HTTP3: true, HTTP3More: "connections = 300\nconnection-window = 20000\nstream-window = 20000\n",
		Maps: []lab.EndpointConfig{e, e, e}, Sockets: 2048, Aim: 15 * time.Second, Deadline: 20 * time.Second})
}

// newClient returns an HTTP/3 client with a connection of its own. It pings while it
// waits: a client whose address changed without its knowledge and that sends
// nothing can't be reached (RFC 9000 section 10.1.2).
func newClient(s *scene.Scene) *http3.Transport {
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(s.Certificate)
	return &http3.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, DisableCompression: true,
		QUICConfig: &quic.Config{MaxIdleTimeout: 25 * time.Second, HandshakeIdleTimeout: 10 * time.Second, KeepAlivePeriod: *keepAlive}}
}

func newRequest(ctx context.Context, url, id string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, "POST", url+"/status-report?user=k", bytes.NewReader(make([]byte, 212)))
	if err != nil {
		panic(err) // a programming error
	}
	req.Header = http.Header{"Req-Id": {id}, "Req-Kind": {"status-report"}, "Req-Owner": {"patrols"}, "Req-Deadline": {"20000m"}, "Idempotency-Key": {id}}
	return req
}

// ask sends a request and reports whether it was served.
func ask(rt http.RoundTripper, url, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	resp, err := rt.RoundTrip(newRequest(ctx, url, id))
	if err != nil {
		failures.add(err.Error())
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		failures.add(err.Error())
	case resp.StatusCode != 200:
		failures.add(fmt.Sprintf("status %d: %.60s", resp.StatusCode, bytes.TrimSpace(body)))
	case len(body) != 300:
		failures.add(fmt.Sprintf("answer of %d bytes, expected 300", len(body)))
	default:
		return true
	}
	return false
}

// failureCounts counts failures by reason; reasons beyond the first 20 count as "other".
type failureCounts struct {
	mu       sync.Mutex
	byReason map[string]int
}

var failures = failureCounts{byReason: map[string]int{}}

func (c *failureCounts) add(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byReason) >= 20 {
		reason = "other"
	}
	c.byReason[reason]++
}

// print prints the failures since the last call.
func (c *failureCounts) print() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for reason, n := range c.byReason {
		fmt.Printf("  %d failed: %s\n", n, reason)
	}
	clear(c.byReason)
}

// measureLossyPath sends requests over a path that drops datagrams and changes addresses.
func measureLossyPath(requests int, loss float64, move time.Duration) error {
	var mu sync.Mutex
	effects := map[string]int{}
	s, err := startScene(func(r *http.Request) {
		mu.Lock()
		effects[r.Header.Get("Idempotency-Key")]++
		mu.Unlock()
	})
	if err != nil {
		return err
	}
	defer s.Close()
	relay, err := lab.StartRelay(s.Sidecar.AddrHTTP3().String(), lab.Plan{Seed: 1, Drop: loss})
	if err != nil {
		return err
	}
	defer relay.Close()
	const clients, streams = 16, 8
	var nextKey, notServed, moves atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	start := time.Now()
	for range clients {
		c := newClient(s)
		defer c.Close()
		// A connection can't migrate before its handshake is confirmed (RFC 9000 section 9).
		ask(c, "https://"+relay.Addr(), fmt.Sprint("settle-", nextKey.Add(0), "-", time.Now().UnixNano()))
		for range streams {
			wg.Go(func() {
				for n := nextKey.Add(1); n <= int64(requests); n = nextKey.Add(1) {
					if !ask(c, "https://"+relay.Addr(), fmt.Sprint("key-", n)) {
						notServed.Add(1)
					}
				}
			})
		}
	}
	go func() {
		tick := time.NewTicker(move)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				if relay.Move() == nil {
					moves.Add(1)
				}
			}
		}
	}()
	wg.Wait()
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	withoutEffect, repeated := 0, 0
	for n := 1; n <= requests; n++ {
		switch count := effects[fmt.Sprint("key-", n)]; {
		case count == 0:
			withoutEffect++
		case count > 1:
			repeated++
		}
	}
	fmt.Printf("%d requests by HTTP/3, %d clients with %d streams each, %.0f%% of the datagrams lost, %d moves of all clients, %.1f s:\n"+
		"unanswered or not served %d, without an effect %d, with more than one %d\n",
		requests, clients, streams, loss*100, moves.Load(), time.Since(start).Seconds(), notServed.Load(), withoutEffect, repeated)
	failures.print()
	return nil
}

// compareProtocols sends the same requests over both protocols.
func compareProtocols() error {
	fmt.Println("clients  protocol  requests/s  processor us/request, both sides")
	for _, clients := range []int{1, 16, 256} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/3"} {
			if err := measureProtocol(clients, protocol); err != nil {
				return err
			}
		}
	}
	return measureIdleMemory()
}

func measureProtocol(clients int, protocol string) error {
	s, err := startScene(nil)
	if err != nil {
		return err
	}
	defer s.Close()
	var transports []http.RoundTripper
	url := "https://" + s.Addr()
	for range clients {
		if protocol == "HTTP/3" {
			c := newClient(s)
			defer c.Close()
			transports, url = append(transports, c), "https://"+s.Sidecar.AddrHTTP3().String()
			continue
		}
		c := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
		defer c.CloseIdleConnections()
		transports, url = append(transports, c), "http://"+s.Addr()
	}
	var nextID, failed atomic.Int64
	runClients := func(more func(sent int) bool) {
		var wg sync.WaitGroup
		for i, t := range transports {
			wg.Go(func() {
				for sent := 0; more(sent); sent++ {
					if !ask(t, url, fmt.Sprintf("%s-%d-%d-%d", protocol, clients, i, nextID.Add(1))) {
						failed.Add(1)
					}
				}
			})
		}
		wg.Wait()
	}
	runClients(func(sent int) bool { return sent < 3 }) // handshakes are not counted
	nextID.Store(1 << 32)
	const duration = 3 * time.Second
	start, cpuBefore := time.Now(), cpuTime()
	runClients(func(int) bool { return time.Since(start) < duration })
	requests := float64(nextID.Load() - 1<<32)
	fmt.Printf("%7d  %-8s  %10.0f  %10.0f  failed %d\n", clients, protocol, requests/time.Since(start).Seconds(), float64((cpuTime()-cpuBefore).Microseconds())/requests, failed.Load())
	failures.print()
	return nil
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureIdleMemory prints the memory that idle connections take, on both sides.
func measureIdleMemory() error {
	s, err := startScene(nil)
	if err != nil {
		return err
	}
	defer s.Close()
	memory := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := memory()
	const connections = 200
	for i := range connections {
		c := newClient(s)
		defer c.Close()
		if !ask(c, "https://"+s.Sidecar.AddrHTTP3().String(), fmt.Sprint("idle-", i)) {
			return fmt.Errorf("connection %d failed", i)
		}
	}
	fmt.Printf("an idle QUIC connection takes %d KB of heap and stacks, both sides\n", (memory()-before)/connections/1024)
	return nil
}
