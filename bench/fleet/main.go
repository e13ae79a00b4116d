// Command fleet aggregates the records of all sidecars of a fleet (spokegw
// --record, --log-level discovery=debug): one log per sidecar in a folder, each line
// optionally prefixed with the seconds since the start. Effects that are harmless at
// one sidecar show only in the sum. It analyzes logs and simulates nothing.
//
//	go run ./bench/fleet [--from 5s] [--to 20s] [--cold 23s] FOLDER
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxLine is the longest line of a log that is read, in bytes. Longer lines are an error.
const maxLine = 1 << 20

func main() {
	from := flag.Duration("from", 0, "leave out seconds before this")
	to := flag.Duration("to", time.Hour, "leave out seconds from this on")
	cold := flag.Duration("cold", 23*time.Second, "how long an endpoint is cold after its start")
	flag.Parse()
	if flag.NArg() != 1 {
		flag.Usage()
		os.Exit(2)
	}
	c, err := read(flag.Arg(0), *cold)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
	c.print(os.Stdout, *from, *to)
}

// read aggregates all logs of a folder.
func read(dir string, cold time.Duration) (*fleetCounts, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no *.log", dir)
	}
	c := newFleetCounts(cold)
	for _, name := range files {
		if err := readFile(c, name); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func readFile(c *fleetCounts, name string) (err error) {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLine)
	s := &sidecar{name: name}
	for lines.Scan() {
		c.addLine(s, lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
