// Command path counts the cost of one ordinary request in the sidecar: allocations and
// their bytes, read and write system calls, goroutines started, and CPU time. Counts are
// the same on every machine; times are not, and are only printed. Client and endpoint are
// bare connections that do not allocate per request; their cost without a sidecar is
// measured first and subtracted. A splice that parses nothing is measured as the floor.
//
// System calls are those of this process in /proc/self/io (syscr, syscw), which needs no
// privilege and also counts reads that found no data.
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
	name                        string
	method, path                string
	requestBytes, responseBytes int
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
	requests := flag.Int("requests", 5000, "requests per exchange, after a tenth of that number as warm-up")
	asJSON := flag.Bool("json", false, "print the counts in JSON")
	check := flag.String("check", "", "budget file; counts above it by more than the margin are an error")
	write := flag.String("write", "", "write the counts to this budget file")
	profile := flag.String("profile", "", "write an allocation profile to this file, for go tool pprof -sample_index=alloc_objects")
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
	all, err := measureAll(requests)
	if err != nil {
		return err
	}
	if asJSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		err = out.Encode(all)
	} else {
		printTable(os.Stdout, all)
	}
	if err == nil && write != "" {
		err = writeBudget(write, all)
	}
	if err == nil && check != "" {
		err = checkBudget(check, all)
	}
	return err
}

// row is the cost of one request of an exchange, through the sidecar or the splice.
type row struct {
	Exchange string `json:"exchange"`
	Via      string `json:"way"` // sidecar or splice
	counts
}

// measureAll measures all exchanges, through the sidecar and the splice.
func measureAll(requests int) ([]row, error) {
	runtime.GOMAXPROCS(1) // uses a single processor, and makes the order of calls the same each time
	var all []row
	for _, x := range exchanges {
		e, err := startEndpoint(x.responseBytes)
		if err != nil {
			return nil, err
		}
		rows, err := measureExchange(x, e.Addr().String(), requests)
		e.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", x.name, err)
		}
		all = append(all, rows...)
	}
	return all, nil
}

func measureExchange(x exchange, endpoint string, requests int) ([]row, error) {
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
	proxied, err := drive(x, sidecar.Addr(), requests)
	if err := errors.Join(err, sidecar.Close()); err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	return []row{{x.name, "sidecar", proxied.minus(direct)}, {x.name, "splice", floor.minus(direct)}}, nil
}

// startSidecar starts a sidecar in front of the endpoint, without an operator file.
func startSidecar(endpoint string) (*scene.Scene, error) {
	return scene.Start(scene.Config{Listed: []discovery.Entry{{ID: "maps-0", Addr: endpoint, Kind: "std", State: "active", Weight: 1}}})
}

func printTable(out io.Writer, all []row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tway\tallocations\tbytes\treads\twrites\tgoroutines\tCPU us\t")
	for _, r := range all {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.0f\t%.2f\t%.2f\t%.2f\t%.1f\t\n", r.Exchange, r.Via, r.Allocations, r.Bytes, r.Reads, r.Writes, r.Goroutines, r.CPU)
	}
	w.Flush()
}

// startSplice starts a proxy that copies bytes in both directions without parsing them.
func startSplice(to string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go acceptLoop(l, func(client net.Conn) {
		server, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer server.Close()
		go func() {
			copyBytes(server, client)
			client.Close()
		}()
		copyBytes(client, server)
	})
	return l, nil
}

// copyBytes copies with read and write calls, as the platform refuses splice(2).
func copyBytes(src, dst net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
