// Command http3 measures the HTTP/3 front over loopback: requests with a key
// through a path that loses datagrams and moves its clients, counting answers
// and effects; and the same requests by HTTP/1.1 and by HTTP/3, counting time
// and the processor's. The clients run in the same process, so that the latter
// is of both sides; what is to be compared are the two protocols.
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

const file = "[[service]]\nname = 'maps'\n[[team]]\nname = 'patrols'\nshare = 1\n[[team.allow]]\nservice = 'maps'\n"

var ping *time.Duration

func main() {
	requests := flag.Int("requests", 100000, "through the path")
	loss := flag.Float64("loss", 0.05, "part of the datagrams that the path loses, each way")
	move := flag.Duration("move", time.Second, "between moves of all clients to other addresses")
	ping = flag.Duration("ping", 2*time.Second, "between the pings of a client that waits; 0: none")
	skip := flag.Bool("skip-path", false, "compare the protocols only")
	flag.Parse()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	err := error(nil)
	if !*skip {
		err = path(*requests, *loss, *move)
	}
	if err == nil {
		err = compare()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "http3:", err)
		os.Exit(1)
	}
}

func start(seen func(*http.Request)) (*scene.Scene, error) {
	e := lab.EndpointConfig{Workers: 256, Body: 300, Seen: seen}
	return scene.Start(scene.Config{Operator: file, HTTP3: true, HTTP3More: "connections = 300\nconnection-window = 20000\nstream-window = 20000\n",
		Maps: []lab.EndpointConfig{e, e, e}, Sockets: 2048, Aim: 15 * time.Second, Deadline: 20 * time.Second})
}

// client is one HTTP/3 client, with a connection of its own. It pings while it
// waits: a client that was given another address without knowing, and has
// nothing to send, can't be reached by anyone (RFC 9000 section 10.1.2).
func client(s *scene.Scene) *http3.Transport {
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(s.Certificate)
	return &http3.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, DisableCompression: true,
		QUICConfig: &quic.Config{MaxIdleTimeout: 25 * time.Second, HandshakeIdleTimeout: 10 * time.Second, KeepAlivePeriod: *ping}}
}

func report(ctx context.Context, url, id string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, "POST", url+"/status-report?user=k", bytes.NewReader(make([]byte, 212)))
	if err != nil {
		panic(err) // a mistake here
	}
	r.Header = http.Header{"Req-Id": {id}, "Req-Kind": {"status-report"}, "Req-Owner": {"patrols"}, "Req-Deadline": {"20000m"}, "Idempotency-Key": {id}}
	return r
}

// ask sends a request; it reports whether it was served.
func ask(t http.RoundTripper, url, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	resp, err := t.RoundTrip(report(ctx, url, id))
	if err != nil {
		failures.add(err.Error())
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		failures.add(err.Error())
	case resp.StatusCode != 200:
		failures.add(fmt.Sprintf("status %d: %.60s", resp.StatusCode, bytes.TrimSpace(text)))
	case len(text) != 300:
		failures.add(fmt.Sprintf("an answer of %d bytes", len(text)))
	default:
		return true
	}
	return false
}

// counts counts what failed, by the reason; of many reasons the rest is one.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

var failures = counts{n: map[string]int{}}

func (c *counts) add(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.n) >= 20 {
		reason = "other"
	}
	c.n[reason]++
}

// print tells the failures since it was last called.
func (c *counts) print() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for reason, n := range c.n {
		fmt.Printf("  %d failed: %s\n", n, reason)
	}
	clear(c.n)
}

// path sends requests through a bad path.
func path(requests int, loss float64, move time.Duration) error {
	var mu sync.Mutex
	effects := map[string]int{}
	s, err := start(func(r *http.Request) {
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
	var next, unanswered, moves atomic.Int64
	var running sync.WaitGroup
	stop := make(chan struct{})
	begun := time.Now()
	for range clients {
		c := client(s)
		defer c.Close()
		// A handshake that is not confirmed can't be moved (RFC 9000 section 9).
		ask(c, "https://"+relay.Addr(), fmt.Sprint("settle-", next.Add(0), "-", time.Now().UnixNano()))
		for range streams {
			running.Go(func() {
				for n := next.Add(1); n <= int64(requests); n = next.Add(1) {
					if !ask(c, "https://"+relay.Addr(), fmt.Sprint("key-", n)) {
						unanswered.Add(1)
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
	running.Wait()
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	none, twice := 0, 0
	for n := 1; n <= requests; n++ {
		switch e := effects[fmt.Sprint("key-", n)]; {
		case e == 0:
			none++
		case e > 1:
			twice++
		}
	}
	fmt.Printf("%d requests by HTTP/3, %d clients with %d streams each, %.0f%% of the datagrams lost, %d moves of all clients, %.1f s:\n"+
		"unanswered or not served %d, without an effect %d, with more than one %d\n",
		requests, clients, streams, loss*100, moves.Load(), time.Since(begun).Seconds(), unanswered.Load(), none, twice)
	failures.print()
	return nil
}

// compare sends the same requests by both protocols.
func compare() error {
	fmt.Println("clients  protocol  requests/s  processor us/request, both sides")
	for _, clients := range []int{1, 16, 256} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/3"} {
			if err := compareOne(clients, protocol); err != nil {
				return err
			}
		}
	}
	return idle()
}

func compareOne(clients int, protocol string) error {
	s, err := start(nil)
	if err != nil {
		return err
	}
	defer s.Close()
	var transports []http.RoundTripper
	url := "https://" + s.Addr()
	for range clients {
		if protocol == "HTTP/3" {
			c := client(s)
			defer c.Close()
			transports, url = append(transports, c), "https://"+s.Sidecar.AddrHTTP3().String()
			continue
		}
		c := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
		defer c.CloseIdleConnections()
		transports, url = append(transports, c), "http://"+s.Addr()
	}
	var n, failed atomic.Int64
	each := func(until func(sent int) bool) {
		var running sync.WaitGroup
		for i, t := range transports {
			running.Go(func() {
				for sent := 0; until(sent); sent++ {
					if !ask(t, url, fmt.Sprintf("%s-%d-%d-%d", protocol, clients, i, n.Add(1))) {
						failed.Add(1)
					}
				}
			})
		}
		running.Wait()
	}
	each(func(sent int) bool { return sent < 3 }) // handshakes are not counted
	n.Store(1 << 32)
	const span = 3 * time.Second
	begun, before := time.Now(), processor()
	each(func(int) bool { return time.Since(begun) < span })
	count := float64(n.Load() - 1<<32)
	fmt.Printf("%7d  %-8s  %10.0f  %10.0f  failed %d\n", clients, protocol, count/time.Since(begun).Seconds(), float64((processor()-before).Microseconds())/count, failed.Load())
	failures.print()
	return nil
}

// processor is the time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// idle tells the memory of idle connections, of both sides.
func idle() error {
	s, err := start(nil)
	if err != nil {
		return err
	}
	defer s.Close()
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := heap()
	const connections = 200
	for i := range connections {
		c := client(s)
		defer c.Close()
		if !ask(c, "https://"+s.Sidecar.AddrHTTP3().String(), fmt.Sprint("idle-", i)) {
			return fmt.Errorf("connection %d failed", i)
		}
	}
	fmt.Printf("an idle QUIC connection takes %d KB of heap and stacks, both sides\n", (heap()-before)/connections/1024)
	return nil
}
