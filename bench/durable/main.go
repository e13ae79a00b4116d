// Command durable measures what each class of durability costs on the ordinary path:
// plain and keyed requests through a whole sidecar that keeps nothing, an image each two
// seconds, or each keyed request on the disk soon, or before it is sent.
//
//	go run ./bench/durable -for 3s
//
// With -records it measures how long the keys of a file keep a start waiting.
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

// endpoints and their workers are more than the clients need: what is measured is the
// sidecar, in one process with its stand-ins.
const (
	endpoints = 4
	workers   = 256
)

func main() {
	length := flag.Duration("for", 3*time.Second, "how long each is asked")
	records := flag.Int("records", 0, "measure a start with so many keys in the file instead")
	flag.Parse()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	if *records > 0 {
		fmt.Fprintln(out, "keys\tfile\tstarted\tused\topen\tread\tbegin\t")
		if err := starts(out, *records); err != nil {
			fmt.Fprintln(os.Stderr, "durable:", err)
			os.Exit(1)
		}
		out.Flush()
		return
	}
	fmt.Fprintln(out, "kept\trequests\tclients\ta second\tmedian\tp99\tlongest\tnot served\tCPU each\t")
	for _, kept := range []string{"nothing", "image", "soon", "before"} {
		if err := class(out, kept, *length); err != nil {
			fmt.Fprintln(os.Stderr, "durable:", err)
			os.Exit(1)
		}
	}
	out.Flush()
}

// class measures one class of durability.
func class(out io.Writer, kept string, length time.Duration) error {
	text := operatorFile
	if kept != "nothing" {
		folder, err := os.MkdirTemp("", "spokegw-durable-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(folder)
		text += fmt.Sprintf("\n[state]\ndirectory = %q\nkeys = %q\n", folder, kept)
	}
	c := scene.Config{Operator: text, Aim: time.Second, Deadline: 2 * time.Second}
	for range endpoints {
		c.Maps = append(c.Maps, lab.EndpointConfig{Workers: workers, Body: 10})
	}
	s, err := scene.Start(c)
	if err != nil {
		return err
	}
	defer s.Close()
	for _, keyed := range []bool{false, true} {
		for _, clients := range []int{1, 16, 128} {
			r, err := measure(s.Addr(), keyed, clients, length)
			if err != nil {
				return err
			}
			name := "plain"
			if keyed {
				name = "keyed"
			}
			fmt.Fprintf(out, "%s\t%s\t%d\t%.0f\t%v\t%v\t%v\t%d\t%v\t\n", kept, name, clients, float64(len(r.took))/length.Seconds(),
				r.at(0.5), r.at(0.99), r.at(1), r.refused, (r.cpu / time.Duration(max(len(r.took), 1))).Round(time.Microsecond))
		}
	}
	return nil
}

// result is what became of the requests of some clients.
type result struct {
	took    []time.Duration // of those that were served, in order
	refused int
	cpu     time.Duration // of the process, stand-ins and clients included
}

func (r *result) at(part float64) time.Duration {
	if len(r.took) == 0 {
		return 0
	}
	return r.took[min(int(part*float64(len(r.took))), len(r.took)-1)].Round(10 * time.Microsecond)
}

// measure has clients ask one request after another, and one more before for the
// connections.
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
	var failed error
	ask := func() (took time.Duration, status int, err error) {
		begun := time.Now()
		resp, err := client.Do(load.Request(context.Background(), addr))
		if err != nil {
			return 0, 0, err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return time.Since(begun), resp.StatusCode, err
	}
	before := cpu()
	until := time.Now().Add(length)
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			var mine []time.Duration
			refused := 0
			for first := true; time.Now().Before(until); first = false {
				took, status, err := ask()
				switch {
				case err != nil:
					mu.Lock()
					failed = err
					mu.Unlock()
					return
				case status != http.StatusOK:
					refused++
				case !first:
					mine = append(mine, took)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			r.took = append(r.took, mine...)
			r.refused += refused
		})
	}
	running.Wait()
	r.cpu = cpu() - before
	slices.Sort(r.took)
	return r, failed
}

// cpu is what the process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// starts measures how long the keys of a file keep a start waiting: usable, over, and of
// another run of the machine a month ago.
func starts(out io.Writer, records int) error {
	folder, err := os.MkdirTemp("", "spokegw-durable-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	const window = time.Hour
	path := filepath.Join(folder, "keys")
	then := plan.Clock{Boot: "a", Since: 10 * time.Hour, Wall: time.Now()}
	if err := fill(path, then, window, records); err != nil {
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
		{"a minute later", plan.Clock{Boot: "a", Since: then.Since + time.Minute, Wall: then.Wall.Add(time.Minute)}},
		{"a month later, after a restart of the machine", plan.Clock{Boot: "b", Since: time.Minute, Wall: then.Wall.Add(30 * 24 * time.Hour)}},
		{"a day later", plan.Clock{Boot: "a", Since: then.Since + 24*time.Hour, Wall: then.Wall.Add(24 * time.Hour)}}, // its beginning drops all
	} {
		begun := time.Now()
		store, err := keystore.Open(path, func() plan.Clock { return c.now })
		if err != nil {
			return err
		}
		opened := time.Now()
		keys, hash, _, err := store.Load()
		if err != nil {
			return err
		}
		loaded, began := time.Now(), ""
		if len(keys) == 0 && c.now.Boot == then.Boot {
			if err := store.Replace(hash, nil); err != nil {
				return err
			}
			began = time.Since(loaded).Round(100 * time.Microsecond).String()
		}
		if err := store.Close(); err != nil {
			return err
		}
		ms := func(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
		fmt.Fprintf(out, "%d\t%d MB\t%s\t%d\t%v\t%v\t%s\t\n", records, info.Size()>>20, c.name, len(keys), ms(opened.Sub(begun)), ms(loaded.Sub(opened)), began)
	}
	return nil
}

// fillers keep keys at the same time, so that many are written together.
const fillers = 512

// mostScattered is how many keys are filled in as they come, each at a random place of
// its slot. Of more than that they are in order, as it would take a quarter of an hour.
const mostScattered = 1 << 20

func keyOf(i, records int) uint64 {
	if records > mostScattered {
		return uint64(i + 1)
	}
	return uint64(i+1) * 0x9E3779B97F4A7C15
}

// fill makes a file of so many keys, sent over a window, as a sidecar would.
func fill(path string, at plan.Clock, window time.Duration, records int) error {
	store, err := keystore.Open(path, func() plan.Clock { return at })
	if err != nil {
		return err
	}
	if err := store.Replace(1, nil); err != nil {
		return err
	}
	failed := make(chan error, fillers)
	var filling sync.WaitGroup
	for first := range fillers {
		filling.Go(func() {
			for i := first; i < records; i += fillers {
				age := window * time.Duration(i) / time.Duration(records)
				note := keyed.Note{Key: keyOf(i, records), Cell: i % 50, Age: age, Window: window, Left: window - age}
				if err := store.Persist(context.Background(), handover.Key{ServiceRef: handover.ServiceRef{Platform: true}, Note: note}); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	filling.Wait()
	close(failed)
	return errors.Join(<-failed, store.Close())
}
