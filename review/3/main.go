// Command 3 is the test of case 3: half of the endpoints hang while requests with long bodies come.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"spokegw/review/rig"
)

const (
	endpoints = 4
	clients   = 8
	rounds    = 3
	hangs     = 5 * time.Minute // to the end of the run
	short     = 2_000_000       // bytes; bodies of up to 32 MB occur
	long      = 6_000_000
	deadline  = 300 * time.Millisecond
	// due is by when an answer counts: half a second after its time, and the slack on sockets.
	due = deadline + 500*time.Millisecond + 50*time.Millisecond
)

func main() {
	r, err := rig.New()
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.NotRun)
	}
	hung := "s-0" // has whole requests and doesn't answer them
	serve := func(e *rig.Endpoint, c net.Conn, q *rig.Request) bool {
		time.Sleep(20 * time.Millisecond)
		if r.Trouble && e.Name == hung {
			r.Printf("%s hangs with %s, %d bytes", e.Name, q.ID, len(q.Body))
			time.Sleep(hangs)
			return false
		}
		err := e.Answer(c, q)
		r.Printf("run %s by %s with %d bytes, answered: %v", q.ID, e.Name, len(q.Body), err == nil)
		return err == nil
	}
	var entries []rig.Entry
	for i := range endpoints {
		e, err := rig.NewEndpoint(fmt.Sprintf("s-%d", i), serve)
		if err != nil {
			r.End(rig.NotRun, "%v", err)
		}
		if r.Trouble && i == 1 { // hangs while it reads
			e.Accepted = func(c net.Conn) {
				n, _ := io.ReadFull(c, make([]byte, 64))
				r.Printf("%s hangs after %d bytes", e.Name, n)
				time.Sleep(hangs)
			}
		}
		go e.Run()
		entries = append(entries, e.Entry(0, "active"))
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
	var mu sync.Mutex
	var uploads []rig.Upload
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			for n := range rounds {
				length := []int{short, long}[(i+n)%2]
				u := r.Send(c.Listen, length, length, 0, deadline, due)
				mu.Lock()
				uploads = append(uploads, u)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	r.Finish(s, uploads, due)
}
