package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/federation"
)

// Parameters of the restart of many processes under load.
const (
	ratePerProcess = 3                // requests per second
	settleTime     = 4 * time.Second  // before and after the restart
	maxReadyTime   = 10 * time.Second // within which 90% must be ready
)

// runRestarts kills a fraction of the processes at once under load, starts replacements, and
// reports how long these took to become ready and what answers clients got meanwhile.
func runRestarts(program string, processes int, fraction float64) error {
	dir, err := os.MkdirTemp("", "restarts")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	config := federation.Config{
		Program: program, Dir: dir, Partners: []int{processes}, Parts: []float64{1}, Alone: true,
		Rate: 1e6, Burst: 1e6, Lease: time.Second, Seed: 1,
	}
	for range max(10, processes/4) {
		config.Endpoints = append(config.Endpoints, lab.EndpointConfig{Workers: 4, Work: 10 * time.Millisecond, Body: 10})
	}
	f, err := federation.Start(config)
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, cancel := context.WithCancel(context.Background())
	clientsDone := make(chan struct{})
	go func() {
		defer close(clientsDone)
		f.Ask(ctx)
	}()
	f.Demand(ratePerProcess)
	<-time.After(settleTime)
	ready, err := f.RestartAll(f.Gateways[:int(fraction*float64(processes))])
	if err != nil {
		cancel()
		<-clientsDone
		return err
	}
	<-time.After(settleTime)
	cancel()
	<-clientsDone
	percentile := func(q float64) time.Duration { return ready[int(q*float64(len(ready)-1))].Round(time.Millisecond) }
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "processes\trestarted\tready: half\tnine in ten\tall\n%d\t%d\t%v\t%v\t%v\n", processes, len(ready), percentile(0.5), percentile(0.9), percentile(1))
	w.Flush()
	fmt.Printf("%+v\n", f.Tally())
	if percentile(0.9) > maxReadyTime {
		return fmt.Errorf("nine in ten processes were ready after %v, expected at most %v", percentile(0.9), maxReadyTime)
	}
	return nil
}
