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
	var clients, holding sync.WaitGroup
	looking, stop := context.WithCancel(context.Background()) // until the last answer is there
	defer stop()
	holding.Go(func() { f.hold.Look(looking) })
	for _, g := range f.Gateways {
		clients.Go(func() { g.load.Run(ctx, g.listen, f.Seed+uint64(g.Number)) })
	}
	clients.Wait()
	stop()
	holding.Wait()
}

// aim and deadline are those of a request.
const (
	aim      = 2 * time.Second
	deadline = 5 * time.Second
	// looksOn is how long after that clients still look for an answer: longer than it may come late,
	// and than this process may be held up meanwhile.
	looksOn = 2 * time.Second
)

// newLoad is what clients ask a gateway for.
func (g *Gateway) newLoad() *lab.Load {
	return &lab.Load{
		Team: Team, Method: http.MethodPost, Path: "/status-report?user=k", Kind: "status-report", Keyed: true, Give: deadline, Wait: looksOn, Traced: true,
		Rate:  func(time.Duration) float64 { return float64(g.demand.Load()) },
		Again: g.unread,
	}
}

// unread reports whether a request whose connection ended with no answer was not read: its
// process neither was killed nor stood still, and no endpoint has got it.
func (g *Gateway) unread(id string, sent time.Time) bool {
	now := time.Now()
	return !g.of.reached(id, now) && !g.done.Cut(sent, now) && !g.done.StoodStill(sent, now)
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

// Tally is what clients had of all gateways: Other had an answer that is neither, Disturbed one such of
// a process that stood still meanwhile, Lost none as its process was killed or stood still,
// Unconnected none as nobody had to take its connection, and Failed none for no such reason. Crashed are processes that ended by themselves.
type Tally struct{ Asked, Served, OverQuota, Other, Disturbed, Failed, Lost, Unconnected, Crashed int }

// judged calls do with each request that has ended, and what it counts as.
func (f *Federation) judged(do func(g *Gateway, r *lab.Result, v verdict)) {
	for _, g := range f.Gateways {
		seen := evidence{done: g.done.All(), reached: f.reached, hold: &f.hold}
		for _, r := range g.load.Results() {
			do(g, &r, seen.judge(&r))
		}
	}
}

// reached reports whether a request had come to an endpoint by a time.
func (f *Federation) reached(id string, by time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, came := f.keys[id] // a load's keys are its requests' ids
	return came && first.at <= by.Sub(f.begun)
}

// Tally counts what has ended.
func (f *Federation) Tally() (t Tally) {
	for _, g := range f.Gateways {
		t.Crashed += g.crashed()
	}
	f.judged(func(_ *Gateway, _ *lab.Result, v verdict) {
		t.Asked++
		switch v {
		case served:
			t.Served++
		case overQuota:
			t.OverQuota++
		case other:
			t.Other++
		case disturbed:
			t.Disturbed++
		case failed:
			t.Failed++
		case lost:
			t.Lost++
		case notConnected:
			t.Unconnected++
		}
	})
	return t
}

// Span is what became of what clients asked in a time, but for what was cut off or came to nobody
// as processes were killed or stood still.
type Span struct{ Asked, InTime, Refused, Failed int }

// String has the parts in percent.
func (s Span) String() string {
	of := func(n int) float64 { return 100 * float64(n) / max(1, float64(s.Asked)) }
	return fmt.Sprintf("%.1f, %.1f, %.1f", of(s.InTime), of(s.Refused), of(s.Failed))
}

// Between is what became of what was asked from one time to another and has ended. Over the
// quota counts as refused.
func (f *Federation) Between(from, to time.Time) (s Span) {
	f.judged(func(_ *Gateway, r *lab.Result, v verdict) {
		if r.At.Before(from) || r.At.After(to) || v == lost || v == notConnected || v == disturbed {
			return
		}
		s.Asked++
		switch {
		case v == served && r.Took <= aim:
			s.InTime++
		case v != failed && r.Refused():
			s.Refused++
		case v != served:
			s.Failed++
		}
	})
	return s
}

// history tells of a request, from when it was asked for, when its connections were made and it was sent, when what was done
// to its process last began, and whether an endpoint got it.
func (g *Gateway) history(r *lab.Result) (text string) {
	since := func(t time.Time) time.Duration { return t.Sub(r.At).Round(time.Millisecond) }
	for _, s := range r.Sends {
		text += fmt.Sprintf(", made %v sent %v", since(s.Made), since(s.At))
	}
	for _, d := range slices.Backward(g.done.All()) {
		if d.From.Before(r.End()) {
			text += fmt.Sprintf(", cause %d from %v", d.Cause, since(d.From))
			break
		}
	}
	return text + fmt.Sprintf(", ended %v, reached: %t", r.Took.Round(time.Millisecond), g.of.reached(r.ID, time.Now()))
}

// Unexpected tells what Tally counts as Other and Failed: how many by half second, gateway, status, how
// it ended, sends and time taken, and the history of what failed, 200 lines at most.
func (f *Federation) Unexpected() string {
	counts := map[string]int{}
	f.judged(func(g *Gateway, r *lab.Result, v verdict) {
		if v != other && v != failed {
			return
		}
		at := r.At.Sub(f.begun).Round(500 * time.Millisecond)
		line := fmt.Sprintf("%5.1fs %s %d %v, %d sends, %s", at.Seconds(), g.Name, r.Status, r.Ending, len(r.Sends), r.Took.Round(200*time.Millisecond))
		if v == failed {
			line += g.history(r)
		}
		counts[line]++
	})
	lines := slices.Sorted(maps.Keys(counts))
	for i, l := range lines {
		lines[i] = fmt.Sprint(l, ": ", counts[l])
	}
	return strings.Join(lines[:min(len(lines), 200)], "\n")
}
