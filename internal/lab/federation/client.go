package federation

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"spokegw/internal/lab"
)

// Ask has clients ask each gateway at its rate, whatever it answers, until ctx ends. It
// returns when the last answer is there, and is to be called once.
func (f *Federation) Ask(ctx context.Context) {
	var clients sync.WaitGroup
	for _, g := range f.Gateways {
		clients.Go(func() { g.load.Run(ctx, g.listen, f.Seed+uint64(g.Number)) })
	}
	clients.Wait()
}

// aim and deadline are those of a request.
const (
	aim      = 2 * time.Second
	deadline = 5 * time.Second
)

// newLoad is what clients ask a gateway for.
func (g *Gateway) newLoad() *lab.Load {
	return &lab.Load{
		Team: Team, Method: http.MethodPost, Path: "/status-report?user=k", Kind: "status-report", Keyed: true, Give: deadline,
		Rate: func(time.Duration) float64 { return float64(g.demand.Load()) },
	}
}

// Demand sets the requests a second that clients ask each gateway for; the last is of all
// others.
func (f *Federation) Demand(of ...float64) {
	for i, g := range f.Gateways {
		g.demand.Store(int64(of[min(i, len(of)-1)]))
	}
}

// Ask sets the requests a second that clients ask this gateway for.
func (g *Gateway) Ask(demand float64) { g.demand.Store(int64(demand)) }

// Tally is what clients had of all gateways: Failed had no answer of a process that went
// on, Other one that is neither, Lost none or such a one of a process that was killed or stood
// still meanwhile, Unconnected came to one that takes no more, as it ends.
type Tally struct{ Asked, Served, OverQuota, Other, Failed, Lost, Unconnected int }

// Tally counts what has ended.
func (f *Federation) Tally() (t Tally) {
	for _, g := range f.Gateways {
		for _, r := range g.load.Results() {
			t.Asked++
			switch {
			case r.Status == http.StatusOK:
				t.Served++
			case r.Status == http.StatusTooManyRequests:
				t.OverQuota++
			case g.wasDown(r.At, r.At.Add(r.Took)):
				t.Lost++
			case r.Ending == lab.Unconnected:
				t.Unconnected++
			case r.Status != 0:
				t.Other++
			default:
				t.Failed++
			}
		}
	}
	return t
}

// Span is what became of what clients asked in a time, of processes that went on.
type Span struct{ Asked, InTime, Refused, Failed int }

// String has the parts in percent.
func (s Span) String() string {
	of := func(n int) float64 { return 100 * float64(n) / max(1, float64(s.Asked)) }
	return fmt.Sprintf("%.1f, %.1f, %.1f", of(s.InTime), of(s.Refused), of(s.Failed))
}

// Between is what became of what was asked from one time to another and has ended. Over the
// quota counts as refused.
func (f *Federation) Between(from, to time.Time) (s Span) {
	for _, g := range f.Gateways {
		for _, r := range g.load.Results() {
			if r.At.Before(from) || r.At.After(to) || g.wasDown(r.At, r.At.Add(r.Took)) {
				continue
			}
			s.Asked++
			switch {
			case r.Status == http.StatusOK && r.Took <= aim:
				s.InTime++
			case r.Refused():
				s.Refused++
			case r.Status != http.StatusOK:
				s.Failed++
			}
		}
	}
	return s
}

// Unexpected tells what Tally counts as Other and Failed: how many by half second, gateway, status and time taken, 200 lines at most.
func (f *Federation) Unexpected() string {
	counts := map[string]int{}
	for _, g := range f.Gateways {
		for _, r := range g.load.Results() {
			if r.Status == http.StatusOK || r.Status == http.StatusTooManyRequests || r.Ending == lab.Unconnected || g.wasDown(r.At, r.At.Add(r.Took)) {
				continue
			}
			counts[fmt.Sprintf("%5.1fs %s %d %s", r.At.Sub(f.begun).Round(500*time.Millisecond).Seconds(), g.Name, r.Status, r.Took.Round(200*time.Millisecond))]++
		}
	}
	lines := slices.Sorted(maps.Keys(counts))
	for i, l := range lines {
		lines[i] = fmt.Sprint(l, ": ", counts[l])
	}
	return strings.Join(lines[:min(len(lines), 200)], "\n")
}
