// Command kill kills a sidecar's process under load, again and again, and tells whether
// any key ran where a repeat of it was not dropped: with keys on the disk before they
// are sent, or with the image that is kept every two seconds.
//
//	go build -o bin/ ./cmd/spokegw && go run ./bench/kill -kills 1000
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"text/tabwriter"

	"spokegw/internal/lab/killing"
)

func main() {
	program := flag.String("program", "bin/spokegw", "the sidecar's command")
	kills := flag.Int("kills", 100, "how many, at most 100,000")
	keys := flag.String("keys", "before", "before, soon or image, as [state] keys has it")
	clean := flag.Bool("clean", false, "ask the processes to end, and kill none")
	seed := flag.Uint64("seed", 1, "of the instants")
	verbose := flag.Bool("v", false, "show the sidecars' logs")
	flag.Parse()
	if *kills < 0 || *kills > 100_000 {
		fmt.Fprintln(os.Stderr, "kill: -kills is from 0 to 100,000")
		os.Exit(2)
	}
	if err := run(killing.Config{Program: *program, Kills: *kills, Keys: *keys, Clean: *clean, Seed: *seed}, *verbose); err != nil {
		fmt.Fprintln(os.Stderr, "kill:", err)
		os.Exit(1)
	}
}

func run(c killing.Config, verbose bool) (err error) {
	if c.Dir, err = os.MkdirTemp("", "spokegw-kill-"); err != nil {
		return err
	}
	defer os.RemoveAll(c.Dir)
	if c.Log = io.Discard; verbose {
		c.Log = os.Stderr
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r, err := killing.Run(ctx, c)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name string
		v    any
	}{
		{"kills", r.Kills}, {"starts", r.Starts}, {"longest from start to ready", r.LongestToReady}, {"keys sent", r.Keys}, {"requests", r.Asked},
		{"of keys that had no answer", r.Again}, {"answered", r.Answered}, {"refused", r.Refused}, {"keys found kept by starts", r.Kept}, {"starts that found something damaged", r.Damaged}, {"files with a fault", r.Faulty},
		{"requests of the team with a rate that ran", r.Metered}, {"keys that ran where a repeat is not dropped", r.Doubled},
		{"requests that were sent on and had no answer of a process that went on", r.Lost},
		{"most requests over the team's burst and rate", max(r.OverRate, 0)}, {"requests served by a file with a fault", r.Ghosts},
	} {
		fmt.Fprintf(w, "%s\t%v\n", row.name, row.v)
	}
	return w.Flush()
}
