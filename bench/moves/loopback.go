package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
	"spokegw/internal/management"
)

// fault describes how the endpoints of a new pool fail.
type fault struct {
	name    string
	respond func(n int64, w http.ResponseWriter, r *http.Request) bool
}

// everyNth applies respond to one of every k requests.
func everyNth(k int64, respond func(w http.ResponseWriter, r *http.Request) bool) func(int64, http.ResponseWriter, *http.Request) bool {
	return func(n int64, w http.ResponseWriter, r *http.Request) bool { return n%k == 0 && respond(w, r) }
}

func respondError(w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusInternalServerError)
	return true
}

func respondDeclined(w http.ResponseWriter, _ *http.Request) bool {
	w.Header().Set("Srv-Declined", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func resetConnection(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }

func delayBy(by time.Duration) func(http.ResponseWriter, *http.Request) bool {
	return func(http.ResponseWriter, *http.Request) bool {
		time.Sleep(by)
		return false
	}
}

var faults = []fault{
	{"errors, all at once", everyNth(1, respondError)},
	{"errors, 20%", everyNth(5, respondError)},
	{"errors, 5%", everyNth(20, respondError)},
	{"errors, 2% of status-report", func(n int64, w http.ResponseWriter, r *http.Request) bool {
		return r.Method == http.MethodPost && n%50 == 0 && respondError(w, r)
	}},
	{"declined, 30%", everyNth(3, respondDeclined)},
	{"resets, 10%", everyNth(10, resetConnection)},
	{"1.3 times as slow", everyNth(1, delayBy(3*time.Millisecond))},
	{"a second late, 10%", everyNth(10, delayBy(time.Second))},
}

const moveFile = `[[service]]
name = "maps"

[no-contract]
action = "share"
share = 1.0

[[move]]
name = "new"
service = "maps"
steps = ["5%", "25%", "50%", "100%"]
step-time = "3s"
step-requests = 50
watch = "5s"
warming = "0s"
from.pod = 0
to.pod = 1
`

// moveResult is the outcome of a move.
type moveResult struct {
	phase, why       string
	share            float64 // largest share observed
	took             time.Duration
	requests, harmed int // since the move began
	refused          int // included in harmed
}

var onlyGood bool

// runLoopback runs a move for each fault, one at a time, then goodMoves moves without
// a fault, up to parallel of them at once.
func runLoopback(goodMoves, parallel int) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	const columns = "%-28s %-7s %7s %6s %8s %16s %8s  %s\n" // printed row by row, as a full run takes minutes
	fmt.Printf(columns, "NEW POOL", "ENDED", "AFTER", "SHARE", "ASKED", "HARMED", "REFUSED", "WHY")
	row := func(name string, p moveResult) {
		fmt.Printf(columns, name, p.phase, fmt.Sprintf("%.1f s", p.took.Seconds()), fmt.Sprintf("%g%%", 100*p.share), fmt.Sprint(p.requests), fmt.Sprintf("%d (%.3f%%)", p.harmed, 100*float64(p.harmed)/float64(max(p.requests, 1))), fmt.Sprint(p.refused), p.why)
	}
	if onlyGood {
		faults = nil
	}
	for _, f := range faults {
		p, err := runMove(f.respond)
		if err != nil {
			return err
		}
		row(f.name, p)
	}
	results, slots := make(chan error, goodMoves), make(chan struct{}, max(parallel, 1))
	var printing sync.Mutex
	for i := range goodMoves {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			p, err := runMove(nil)
			printing.Lock()
			defer printing.Unlock()
			row(fmt.Sprintf("a good one (%d)", i+1), p)
			results <- err
		}()
	}
	var failed error
	for range goodMoves {
		failed = errors.Join(failed, <-results)
	}
	return failed
}

// runMove runs one move under load until it is done or rolled back.
func runMove(respond func(int64, http.ResponseWriter, *http.Request) bool) (p moveResult, err error) {
	var n atomic.Int64
	c := scene.Config{Operator: moveFile, Aim: 400 * time.Millisecond, Deadline: 3 * time.Second}
	for i := range 8 {
		e := lab.EndpointConfig{Workers: 64, Body: 512, Work: 10 * time.Millisecond}
		if i >= 4 && respond != nil {
			e.Answer = func(w http.ResponseWriter, r *http.Request) bool { return respond(n.Add(1), w, r) }
		}
		c.Maps = append(c.Maps, e)
	}
	s, err := scene.Start(c)
	if err != nil {
		return p, err
	}
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loads := []*lab.Load{
		{Team: "a", Path: "/map-tile/1", Kind: "map-tile", Give: 3 * time.Second, Wanted: 400 * time.Millisecond, Rate: func(time.Duration) float64 { return 0.73 * *rate }},
		{Team: "b", Method: "POST", Path: "/status-report", Kind: "status-report", Keyed: true, Give: 3 * time.Second, Wanted: 400 * time.Millisecond, Rate: func(time.Duration) float64 { return 0.27 * *rate }},
	}
	var running sync.WaitGroup
	for i, l := range loads {
		running.Go(func() { l.Run(ctx, s.Addr(), uint64(i)) })
	}
	call := func(line string) ([]string, error) {
		callCtx, cancelCall := context.WithTimeout(ctx, 5*time.Second)
		defer cancelCall()
		return management.Call(callCtx, s.Sidecar.AddrManagement(), line)
	}
	time.Sleep(2 * time.Second)
	started := time.Now()
	for _, err = call("begin-move new"); err != nil; _, err = call("begin-move new") {
		if time.Since(started) > 10*time.Second {
			return p, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	for time.Since(started) < 2*time.Minute {
		lines, err := call("show-moves")
		if err != nil || len(lines) == 0 {
			return p, fmt.Errorf("show-moves: %v, %w", lines, err)
		}
		var share float64
		for _, f := range strings.Fields(lines[0]) {
			name, value, _ := strings.Cut(f, "=")
			switch name {
			case "phase":
				p.phase = value
			case "share":
				fmt.Sscan(value, &share)
			case "why":
				p.why = strings.ReplaceAll(value, "_", " ")
			}
		}
		p.share, p.took = max(p.share, share), time.Since(started)
		if p.phase == "done" || p.phase == "undone" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	cancel()
	running.Wait()
	for _, l := range loads {
		sum := l.Between(started, time.Now()) // excludes the time before, when the sidecar has just started and knows nothing about its endpoints
		p.requests += sum.Asked
		p.harmed += sum.Asked - sum.InTime
		p.refused += sum.Refused
	}
	return p, nil
}
