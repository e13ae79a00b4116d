// Command kill repeatedly kills a sidecar process under load and reports whether any
// idempotency key was executed where a retry of it was not deduplicated: with keys
// persisted before the request is sent, or with a snapshot every two seconds.
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
	program := flag.String("program", "bin/spokegw", "path of the sidecar binary")
	kills := flag.Int("kills", 100, "number of kills, at most 100,000")
	keys := flag.String("keys", "before", "before, soon or image, as in the setting keys of [state]")
	graceful := flag.Bool("clean", false, "terminate the processes gracefully instead of killing them")
	seed := flag.Uint64("seed", 1, "seed for the times of the kills")
	verbose := flag.Bool("v", false, "show the sidecars' logs")
	flag.Parse()
	if *kills < 0 || *kills > 100_000 {
		fmt.Fprintln(os.Stderr, "kill: -kills must be from 0 to 100,000")
		os.Exit(2)
	}
	if err := run(killing.Config{Program: *program, Kills: *kills, Keys: *keys, Clean: *graceful, Seed: *seed}, *verbose); err != nil {
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
