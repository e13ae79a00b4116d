// Command durable measures the cost of each durability level on the request path: plain
// and keyed requests through a whole sidecar that persists nothing, a snapshot every two
// seconds, or each idempotency key soon after or before the request is sent.
//
//	go run ./bench/durable -for 3s
//
// With -records it measures how long loading a file of keys delays a start.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"spokegw/internal/handover"
	"spokegw/internal/keyed"
	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
	"spokegw/internal/state/keystore"
	"spokegw/internal/state/plan"
)

const operatorFile = `
[[service]]
name = "maps"

[no-contract]
action = "share"
share = 1.0
`

// The endpoints have more workers than the clients need, so that the sidecar is measured,
// which runs in one process with the simulated endpoints.
const (
	endpoints = 4
	workers   = 256
)

func main() {
	length := flag.Duration("for", 3*time.Second, "duration of each measurement")
	records := flag.Int("records", 0, "measure instead a start with this many keys in the file")
	flag.Parse()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	if *records > 0 {
		fmt.Fprintln(out, "keys\tfile\tstarted\tused\topen\tread\tbegin\t")
		if err := measureStarts(out, *records); err != nil {
			fmt.Fprintln(os.Stderr, "durable:", err)
			os.Exit(1)
		}
		out.Flush()
		return
	}
	fmt.Fprintln(out, "kept\trequests\tclients\ta second\tmedian\tp99\tlongest\tnot served\tCPU each\t")
	for _, durability := range []string{"nothing", "image", "soon", "before"} {
		if err := measureClass(out, durability, *length); err != nil {
			fmt.Fprintln(os.Stderr, "durable:", err)
			os.Exit(1)
		}
	}
	out.Flush()
}

// measureClass measures one durability level.
func measureClass(out io.Writer, durability string, length time.Duration) error {
	text := operatorFile
	if durability != "nothing" {
		dir, err := os.MkdirTemp("", "spokegw-durable-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		text += fmt.Sprintf("\n[state]\ndirectory = %q\nkeys = %q\n", dir, durability)
	}
	config := scene.Config{Operator: text, Aim: time.Second, Deadline: 2 * time.Second}
	for range endpoints {
		config.Maps = append(config.Maps, lab.EndpointConfig{Workers: workers, Body: 10})
	}
	s, err := scene.Start(config)
	if err != nil {
		return err
	}
	defer s.Close()
	for _, keyed := range []bool{false, true} {
		for _, clients := range []int{1, 16, 128} {
			res, err := measure(s.Addr(), keyed, clients, length)
			if err != nil {
				return err
			}
			name := "plain"
			if keyed {
				name = "keyed"
			}
			fmt.Fprintf(out, "%s\t%s\t%d\t%.0f\t%v\t%v\t%v\t%d\t%v\t\n", durability, name, clients, float64(len(res.latencies))/length.Seconds(),
				res.percentile(0.5), res.percentile(0.99), res.percentile(1), res.notServed, (res.cpu / time.Duration(max(len(res.latencies), 1))).Round(time.Microsecond))
		}
	}
	return nil
}

// result is the outcome of one measurement.
type result struct {
	latencies []time.Duration // of served requests, sorted
	notServed int
	cpu       time.Duration // of the process, including simulated endpoints and clients
}

func (r *result) percentile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[min(int(q*float64(len(r.latencies))), len(r.latencies)-1)].Round(10 * time.Microsecond)
}

// measure has each client send requests one after the other. The first request of a
// client is not counted, as it opens the connection.
func measure(addr string, keyed bool, clients int, length time.Duration) (*result, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: clients, MaxIdleConns: clients}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	load := lab.Load{Path: "/map-tile/1", Give: 2 * time.Second}
	if keyed {
		load.Path, load.Method, load.Keyed = "/status-report", http.MethodPost, true
	}
	r := &result{}
	var mu sync.Mutex
	var firstErr error
	send := func() (latency time.Duration, status int, err error) {
		start := time.Now()
		resp, err := client.Do(load.Request(context.Background(), addr))
		if err != nil {
			return 0, 0, err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return time.Since(start), resp.StatusCode, err
	}
	before := cpuTime()
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			var latencies []time.Duration
			notServed := 0
			for first := true; time.Now().Before(end); first = false {
				latency, status, err := send()
				switch {
				case err != nil:
					mu.Lock()
					firstErr = err
					mu.Unlock()
					return
				case status != http.StatusOK:
					notServed++
				case !first:
					latencies = append(latencies, latency)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			r.latencies = append(r.latencies, latencies...)
			r.notServed += notServed
		})
	}
	wg.Wait()
	r.cpu = cpuTime() - before
	slices.Sort(r.latencies)
	return r, firstErr
}

// cpuTime returns the CPU time used by the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureStarts measures how long loading a file of keys takes: with valid keys, with expired
// ones, and with those of an earlier boot a month ago.
func measureStarts(out io.Writer, records int) error {
	dir, err := os.MkdirTemp("", "spokegw-durable-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	const window = time.Hour
	path := filepath.Join(dir, "keys")
	written := plan.Clock{Boot: "a", Since: 10 * time.Hour, Wall: time.Now()}
	if err := fillStore(path, written, window, records); err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name string
		now  plan.Clock
	}{
		{"a minute later", plan.Clock{Boot: "a", Since: written.Since + time.Minute, Wall: written.Wall.Add(time.Minute)}},
		{"a month later, after a restart of the machine", plan.Clock{Boot: "b", Since: time.Minute, Wall: written.Wall.Add(30 * 24 * time.Hour)}},
		{"a day later", plan.Clock{Boot: "a", Since: written.Since + 24*time.Hour, Wall: written.Wall.Add(24 * time.Hour)}}, // all keys have expired, so the file is replaced
	} {
		start := time.Now()
		store, err := keystore.Open(path, func() plan.Clock { return c.now })
		if err != nil {
			return err
		}
		opened := time.Now()
		keys, hash, _, err := store.Load()
		if err != nil {
			return err
		}
		loaded, replaceTook := time.Now(), ""
		if len(keys) == 0 && c.now.Boot == written.Boot {
			if err := store.Replace(hash, nil); err != nil {
				return err
			}
			replaceTook = time.Since(loaded).Round(100 * time.Microsecond).String()
		}
		if err := store.Close(); err != nil {
			return err
		}
		ms := func(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
		fmt.Fprintf(out, "%d\t%d MB\t%s\t%d\t%v\t%v\t%s\t\n", records, info.Size()>>20, c.name, len(keys), ms(opened.Sub(start)), ms(loaded.Sub(opened)), replaceTook)
	}
	return nil
}

// fillWriters is the number of concurrent writers, so that keys are persisted in batches.
const fillWriters = 512

// maxScatteredKeys is the number of keys up to which they are written in random order. Larger
// files are filled in order, as random order would take a quarter of an hour.
const maxScatteredKeys = 1 << 20

func nthKey(i, records int) uint64 {
	if records > maxScatteredKeys {
		return uint64(i + 1)
	}
	return uint64(i+1) * 0x9E3779B97F4A7C15
}

// fillStore writes a file of records keys with ages spread over the window, as a sidecar would.
func fillStore(path string, clock plan.Clock, window time.Duration, records int) error {
	store, err := keystore.Open(path, func() plan.Clock { return clock })
	if err != nil {
		return err
	}
	if err := store.Replace(1, nil); err != nil {
		return err
	}
	failed := make(chan error, fillWriters)
	var wg sync.WaitGroup
	for first := range fillWriters {
		wg.Go(func() {
			for i := first; i < records; i += fillWriters {
				age := window * time.Duration(i) / time.Duration(records)
				note := keyed.Note{Key: nthKey(i, records), Cell: i % 50, Age: age, Window: window, Left: window - age}
				if err := store.Persist(context.Background(), handover.Key{ServiceRef: handover.ServiceRef{Platform: true}, Note: note}); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	wg.Wait()
	close(failed)
	return errors.Join(<-failed, store.Close())
}
