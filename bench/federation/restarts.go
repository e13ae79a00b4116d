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

// Of the restart of many processes under load.
const (
	demandOfEach = 3                // requests a second
	settled      = 4 * time.Second  // before, and after
	allowed      = 10 * time.Second // in which nine in ten are to be ready
)

// runRestarts kills a part of many processes at once under load, starts others in their place,
// and tells how long these took until they were ready and what clients had meanwhile.
func runRestarts(program string, processes int, part float64) error {
	dir, err := os.MkdirTemp("", "restarts")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c := federation.Config{
		Program: program, Dir: dir, Partners: []int{processes}, Parts: []float64{1}, Alone: true,
		Rate: 1e6, Burst: 1e6, Lease: time.Second, Seed: 1,
	}
	for range max(10, processes/4) {
		c.Endpoints = append(c.Endpoints, lab.EndpointConfig{Workers: 4, Work: 10 * time.Millisecond, Body: 10})
	}
	f, err := federation.Start(c)
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, cancel := context.WithCancel(context.Background())
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		f.Ask(ctx)
	}()
	f.Demand(demandOfEach)
	<-time.After(settled)
	took, err := f.RestartAll(f.Gateways[:int(part*float64(processes))])
	if err != nil {
		cancel()
		<-asked
		return err
	}
	<-time.After(settled)
	cancel()
	<-asked
	at := func(part float64) time.Duration { return took[int(part*float64(len(took)-1))].Round(time.Millisecond) }
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "processes\trestarted\tready: half\tnine in ten\tall\n%d\t%d\t%v\t%v\t%v\n", processes, len(took), at(0.5), at(0.9), at(1))
	w.Flush()
	fmt.Printf("%+v\n", f.Tally())
	if at(0.9) > allowed {
		return fmt.Errorf("nine in ten are ready after %v, %v is allowed", at(0.9), allowed)
	}
	return nil
}
