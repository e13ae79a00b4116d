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

// fault is how the endpoints of a new pool fail.
type fault struct {
	name   string
	answer func(n int64, w http.ResponseWriter, r *http.Request) bool
}

// one in so many.
func oneIn(k int64, do func(w http.ResponseWriter, r *http.Request) bool) func(int64, http.ResponseWriter, *http.Request) bool {
	return func(n int64, w http.ResponseWriter, r *http.Request) bool { return n%k == 0 && do(w, r) }
}

func errored(w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusInternalServerError)
	return true
}

func declined(w http.ResponseWriter, _ *http.Request) bool {
	w.Header().Set("Srv-Declined", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func reset(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }

func slow(by time.Duration) func(http.ResponseWriter, *http.Request) bool {
	return func(http.ResponseWriter, *http.Request) bool {
		time.Sleep(by)
		return false
	}
}

var faults = []fault{
	{"errors, all at once", oneIn(1, errored)},
	{"errors, 20%", oneIn(5, errored)},
	{"errors, 5%", oneIn(20, errored)},
	{"errors, 2% of status-report", func(n int64, w http.ResponseWriter, r *http.Request) bool {
		return r.Method == http.MethodPost && n%50 == 0 && errored(w, r)
	}},
	{"declined, 30%", oneIn(3, declined)},
	{"resets, 10%", oneIn(10, reset)},
	{"1.3 times as slow", oneIn(1, slow(3*time.Millisecond))},
	{"a second late, 10%", oneIn(10, slow(time.Second))},
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

// played is what became of a move.
type played struct {
	phase, why    string
	share         float64 // the largest that was seen
	took          time.Duration
	asked, harmed int // since it began
	refused       int // of harmed
}

var onlyGood bool

// playLoopback plays each fault, one at a time, and some good moves, so many at once.
func playLoopback(goodMoves, beside int) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	const columns = "%-28s %-7s %7s %6s %8s %16s %8s  %s\n" // a row as it is played: all of them take minutes
	fmt.Printf(columns, "NEW POOL", "ENDED", "AFTER", "SHARE", "ASKED", "HARMED", "REFUSED", "WHY")
	row := func(name string, p played) {
		fmt.Printf(columns, name, p.phase, fmt.Sprintf("%.1f s", p.took.Seconds()), fmt.Sprintf("%g%%", 100*p.share), fmt.Sprint(p.asked), fmt.Sprintf("%d (%.3f%%)", p.harmed, 100*float64(p.harmed)/float64(max(p.asked, 1))), fmt.Sprint(p.refused), p.why)
	}
	if onlyGood {
		faults = nil
	}
	for _, f := range faults {
		p, err := playMove(f.answer)
		if err != nil {
			return err
		}
		row(f.name, p)
	}
	results, places := make(chan error, goodMoves), make(chan struct{}, max(beside, 1))
	var printing sync.Mutex
	for i := range goodMoves {
		go func() {
			places <- struct{}{}
			defer func() { <-places }()
			p, err := playMove(nil)
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

// playMove plays one move under load until it is over.
func playMove(answer func(int64, http.ResponseWriter, *http.Request) bool) (p played, err error) {
	var n atomic.Int64
	c := scene.Config{Operator: moveFile, Aim: 400 * time.Millisecond, Deadline: 3 * time.Second}
	for i := range 8 {
		e := lab.EndpointConfig{Workers: 64, Body: 512, Work: 10 * time.Millisecond}
		if i >= 4 && answer != nil {
			e.Answer = func(w http.ResponseWriter, r *http.Request) bool { return answer(n.Add(1), w, r) }
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
		cc, done := context.WithTimeout(ctx, 5*time.Second)
		defer done()
		return management.Call(cc, s.Sidecar.AddrManagement(), line)
	}
	time.Sleep(2 * time.Second)
	begun := time.Now()
	for _, err = call("begin-move new"); err != nil; _, err = call("begin-move new") {
		if time.Since(begun) > 10*time.Second {
			return p, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	for time.Since(begun) < 2*time.Minute {
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
		p.share, p.took = max(p.share, share), time.Since(begun)
		if p.phase == "done" || p.phase == "undone" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	cancel()
	running.Wait()
	for _, l := range loads {
		sum := l.Between(begun, time.Now()) // a sidecar that has just started meets its load with servers it does not know
		p.asked += sum.Asked
		p.harmed += sum.Asked - sum.InTime
		p.refused += sum.Refused
	}
	return p, nil
}
