// Command 2 is the test of case 2: bodies that their clients write at 64 kB a second.
package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"spokegw/review/rig"
)

const (
	rate     = 64_000 // bytes a second
	pause    = 100 * time.Millisecond
	deadline = 300 * time.Millisecond
	// due is by when an answer counts: half a second after its time, and the slack on sockets.
	due = deadline + 500*time.Millisecond + 50*time.Millisecond
)

// lengths are those of the bodies; 3,000,000 bytes take 47 s at that rate.
var lengths = []int{200_000, 400_000, 800_000, 1_000_000, 1_500_000, 2_000_000, 2_500_000, 3_000_000}

func main() {
	r, err := rig.New()
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.NotRun)
	}
	serve := func(e *rig.Endpoint, c net.Conn, q *rig.Request) bool {
		time.Sleep(20 * time.Millisecond)
		err := e.Answer(c, q)
		r.Printf("run %s by %s with %d bytes, answered: %v", q.ID, e.Name, len(q.Body), err == nil)
		return err == nil
	}
	var entries []rig.Entry
	for i := range 3 {
		e, err := rig.NewEndpoint(fmt.Sprintf("s-%d", i), serve)
		if err != nil {
			r.End(rig.NotRun, "%v", err)
		}
		go e.Run()
		entries = append(entries, e.Entry(i, "active"))
	}
	g, err := rig.NewRegistry(entries...)
	if err != nil {
		r.End(rig.NotRun, "%v", err)
	}
	c := &rig.Config{Listen: rig.FreeAddress(), Discovery: g.Addr, Known: g.List(), Settings: rig.Settings()}
	s, err := r.Start("n0", c)
	if err == nil {
		err = rig.WaitReady(c.Listen)
	}
	if err != nil {
		r.End(rig.NotRun, "%v", err)
	}
	uploads := make([]rig.Upload, len(lengths))
	var all sync.WaitGroup
	for i, length := range lengths {
		all.Go(func() {
			piece := int(rate * pause / time.Second)
			if !r.Trouble {
				piece = length // all at once
			}
			uploads[i] = r.Send(c.Listen, length, piece, pause, deadline, due)
		})
	}
	all.Wait()
	r.Finish(s, uploads, due)
}
