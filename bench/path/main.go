// Command path counts what one ordinary request costs on its way through the sidecar:
// allocations and bytes of them, read and write calls to the system, goroutines started,
// and the processor's time. Counts are the same on every machine; times are not, and are
// shown only. Client and endpoint are bare connections that allocate nothing; what they
// cost, without a sidecar between them, is measured first and taken off. A splice that
// parses nothing stands beside it as the floor.
//
// System calls are the process's own, as /proc/self/io counts them (syscr, syscw): it
// needs no privilege, and counts calls that found nothing to read too.
//
//	go run ./bench/path [-requests 5000] [-json] [-check bench/path/budget.json] [-write FILE] [-profile FILE]
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/pprof"
	"text/tabwriter"

	"spokegw/internal/discovery"
	"spokegw/internal/lab/scene"
)

// exchange is one class of requests with the sizes of its bodies, in bytes.
type exchange struct {
	name         string
	method, path string
	asked, given int
}

var exchanges = []exchange{
	{"map-tile 0", "GET", "/map-tile/3/7", 0, 0},
	{"map-tile 4 KiB", "GET", "/map-tile/3/7", 0, 4 << 10},
	{"map-tile 64 KiB", "GET", "/map-tile/3/7", 0, 64 << 10},
	{"map-tile 300 KB", "GET", "/map-tile/3/7", 0, 300_000},
	{"status-report 64", "POST", "/status-report", 64, 300},
	{"status-report 212", "POST", "/status-report", 212, 300},
	{"status-report 2000", "POST", "/status-report", 2000, 300},
}

func main() {
	requests := flag.Int("requests", 5000, "of each kind, after a tenth of it to warm up")
	asJSON := flag.Bool("json", false, "print the counts in JSON")
	check := flag.String("check", "", "a file of agreed counts; more than those, with their margin, is an error")
	write := flag.String("write", "", "write the counts there as those agreed")
	profile := flag.String("profile", "", "write where everything was allocated there, for go tool pprof -sample_index=alloc_objects")
	flag.Parse()
	if *profile != "" {
		runtime.MemProfileRate = 1
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	err := run(*requests, *asJSON, *check, *write)
	if *profile != "" {
		err = errors.Join(err, writeProfile(*profile))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "path:", err)
		os.Exit(1)
	}
}

func writeProfile(file string) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return pprof.Lookup("allocs").WriteTo(f, 0)
}

func run(requests int, asJSON bool, check, write string) error {
	all, err := measure(requests)
	if err != nil {
		return err
	}
	if asJSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		err = out.Encode(all)
	} else {
		show(os.Stdout, all)
	}
	if err == nil && write != "" {
		err = agree(write, all)
	}
	if err == nil && check != "" {
		err = hold(check, all)
	}
	return err
}

// row is what one request of a kind costs on one way.
type row struct {
	Exchange string `json:"exchange"`
	Way      string `json:"way"` // sidecar or splice
	counts
}

// measure goes through all exchanges, on each way.
func measure(requests int) ([]row, error) {
	runtime.GOMAXPROCS(1) // nobody else's processor is used, and the calls come in the same order
	var all []row
	for _, x := range exchanges {
		e, err := startEndpoint(x.given)
		if err != nil {
			return nil, err
		}
		rows, err := ways(x, e.Addr().String(), requests)
		e.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", x.name, err)
		}
		all = append(all, rows...)
	}
	return all, nil
}

func ways(x exchange, endpoint string, requests int) ([]row, error) {
	direct, err := drive(x, endpoint, requests)
	if err != nil {
		return nil, fmt.Errorf("direct: %w", err)
	}
	s, err := startSplice(endpoint)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	floor, err := drive(x, s.Addr().String(), requests)
	if err != nil {
		return nil, fmt.Errorf("splice: %w", err)
	}
	sidecar, err := startSidecar(endpoint)
	if err != nil {
		return nil, err
	}
	through, err := drive(x, sidecar.Addr(), requests)
	if err := errors.Join(err, sidecar.Close()); err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	return []row{{x.name, "sidecar", through.less(direct)}, {x.name, "splice", floor.less(direct)}}, nil
}

// startSidecar puts one up before the endpoint, with no operator's file.
func startSidecar(endpoint string) (*scene.Scene, error) {
	return scene.Start(scene.Config{Listed: []discovery.Entry{{ID: "maps-0", Addr: endpoint, Kind: "std", State: "active", Weight: 1}}})
}

func show(to io.Writer, all []row) {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tway\tallocations\tbytes\treads\twrites\tgoroutines\tCPU us\t")
	for _, r := range all {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.0f\t%.2f\t%.2f\t%.2f\t%.1f\t\n", r.Exchange, r.Way, r.Allocations, r.Bytes, r.Reads, r.Writes, r.Goroutines, r.CPU)
	}
	w.Flush()
}

// startSplice passes bytes on both ways and looks at none.
func startSplice(to string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go accept(l, func(client net.Conn) {
		server, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer server.Close()
		go func() {
			pass(server, client)
			client.Close()
		}()
		pass(client, server)
	})
	return l, nil
}

// pass copies with reads and writes, not by the system's splice, which the platform refuses.
func pass(from, to net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
