// Command shares measures what the broker does for three teams that together
// ask for more than there is, over stand-ins on loopback: per team what was
// asked, served within its wanted time and refused, how fast, and its part of
// the work beside the one that it is owed. Each scene runs with the broker on
// and, for comparison, off.
//
//	go run ./bench/shares [-seconds 12] [-only NAME]
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"strings"
	"sync"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

const (
	endpoints = 3
	workers   = 4
	capacity  = endpoints * workers // seconds of work a second
	warmUp    = 2 * time.Second     // left out of the figures
)

// team is one of the three.
type team struct {
	name  string
	share float64
	cost  time.Duration
	asks  func(at time.Duration) float64 // times what it is owed of the capacity
}

func always(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

// course is one arrangement of what the teams ask for.
type course struct {
	name      string
	teams     []team
	strangers float64                                                      // what those without a contract ask for, in times of the capacity
	event     func(s *scene.Scene, at func(part float64) <-chan time.Time) // happens on the way; nil: nothing
}

// strangersShare is the share of those without a contract.
const strangersShare = 0.05

func courses(length time.Duration) []course {
	const ms = time.Millisecond
	return []course{
		{name: "every team at 150% of what it is owed, one with few dear requests", teams: []team{
			{"alpha", 0.60, 30 * ms, always(1.5)}, {"beta", 0.27, 120 * ms, always(1.5)}, {"gamma", 0.13, 10 * ms, always(1.5)}}},
		{name: "alpha at 300%, the others within theirs (85%)", teams: []team{
			{"alpha", 0.60, 30 * ms, always(3)}, {"beta", 0.27, 30 * ms, always(0.85)}, {"gamma", 0.13, 30 * ms, always(0.85)}}},
		{name: "strangers at ten times the capacity, the teams within theirs (85%)", strangers: 10, teams: []team{
			{"alpha", 0.55, 30 * ms, always(0.85)}, {"beta", 0.27, 30 * ms, always(0.85)}, {"gamma", 0.13, 30 * ms, always(0.85)}}},
		{name: "alpha at 150% and more, beta idle until half time, then back at 90% in one step", teams: []team{
			{"alpha", 0.60, 30 * ms, always(2)}, {"beta", 0.27, 30 * ms, func(at time.Duration) float64 {
				if at < length/2 {
					return 0
				}
				return 0.9
			}}, {"gamma", 0.13, 30 * ms, always(0.9)}}},
		{name: "every team at 150%, the endpoints at 40% for the middle third", teams: []team{
			{"alpha", 0.60, 30 * ms, always(1.5)}, {"beta", 0.27, 30 * ms, always(1.5)}, {"gamma", 0.13, 30 * ms, always(1.5)}},
			event: func(s *scene.Scene, at func(float64) <-chan time.Time) {
				const lost = -workers * 6 / 10 // of each endpoint, whole workers
				<-at(1. / 3)
				for _, e := range s.Maps {
					e.AddWorkers(lost)
				}
				<-at(2. / 3)
				for _, e := range s.Maps {
					e.AddWorkers(-lost)
				}
			}},
	}
}

func main() {
	length := flag.Int("seconds", 12, "length of a run")
	only := flag.String("only", "", "run the courses whose name holds this")
	flag.Parse()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, c := range courses(time.Duration(*length) * time.Second) {
		if !strings.Contains(c.name, *only) {
			continue
		}
		fmt.Printf("%s; capacity %d s of work a second\n", c.name, capacity)
		for _, on := range []bool{false, true} {
			if err := play(c, on, time.Duration(*length)*time.Second); err != nil {
				fmt.Fprintln(os.Stderr, "shares:", err)
				os.Exit(1)
			}
		}
		fmt.Println()
	}
}

// play runs a course and prints its table.
func play(c course, on bool, length time.Duration) error {
	config := scene.Config{}
	for range endpoints {
		config.Maps = append(config.Maps, lab.EndpointConfig{Workers: workers, Body: 4096})
	}
	if on {
		config.Operator = "[[service]]\nname = 'maps'\n"
		for _, t := range c.teams {
			config.Operator += fmt.Sprintf("[[team]]\nname = %q\nshare = %v\n[[team.allow]]\nservice = 'maps'\n", t.name, t.share)
		}
	}
	teams := c.teams
	if c.strangers > 0 {
		if on {
			config.Operator += fmt.Sprintf("[no-contract]\naction = 'share'\nshare = %v\n", strangersShare)
		}
		teams = append(teams, team{"strangers", strangersShare, 30 * time.Millisecond, always(c.strangers / strangersShare)})
	}
	s, err := scene.Start(config)
	if err != nil {
		return err
	}
	begun := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(length))
	defer cancel()
	var running sync.WaitGroup
	var loads []*lab.Load
	for i, t := range teams {
		l := &lab.Load{Team: t.name, Path: "/map-tile/3/7", Kind: "map-tile", Cost: t.cost, Wanted: 400 * time.Millisecond, Give: 1200 * time.Millisecond,
			Rate: func(at time.Duration) float64 { return t.asks(at) * t.share * capacity / t.cost.Seconds() }}
		loads = append(loads, l)
		running.Go(func() { l.Run(ctx, s.Addr(), uint64(i+1)) })
	}
	if c.event != nil {
		running.Go(func() {
			c.event(s, func(part float64) <-chan time.Time {
				return time.After(time.Until(begun.Add(time.Duration(part * float64(length)))))
			})
		})
	}
	running.Wait()
	c.teams = teams
	print(c, on, loads, begun, length)
	return s.Close()
}

func print(c course, on bool, loads []*lab.Load, begun time.Time, length time.Duration) {
	from, to := begun.Add(warmUp), begun.Add(length)
	fmt.Printf("broker %-4s asked  in time  late  refused  other    p50    p99  refusal p50   owed   got  off at worst over 2 s\n", map[bool]string{true: "on", false: "off"}[on])
	var all time.Duration
	for _, l := range loads {
		all += l.Between(from, to).Work
	}
	for i, l := range loads {
		s := l.Between(from, to)
		ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1e3) }
		off := "-" // it asks for less than it is owed
		if c.teams[i].asks(0) >= 1 && c.steady() {
			off = fmt.Sprintf("%+.1f points", 100*worst(loads, i, c.teams[i].share, from, to))
		}
		fmt.Printf("%-10s %6d  %6.1f%% %5d  %7d  %5d  %5s  %5s  %11s  %4.1f%% %4.1f%%  %s\n", s.Team, s.Asked, 100*float64(s.InTime)/float64(max(s.Asked, 1)),
			s.Late, s.Refused, s.Other, ms(s.P50), ms(s.P99), ms(s.RefusedP50), 100*c.teams[i].share, 100*s.Work.Seconds()/all.Seconds(), off)
	}
	fmt.Printf("%-10s %.2f of the capacity was used for answers\n", "", all.Seconds()/(capacity*(length-warmUp).Seconds()))
}

// steady reports whether every team asks for more than it is owed, all the time:
// then each is to get that, and none more.
func (c *course) steady() bool {
	for _, t := range c.teams {
		if t.asks(0) < 1 {
			return false
		}
	}
	return true
}

// worst is how far a team's part of the work was off its share in the 2 s in
// which it was so most.
func worst(loads []*lab.Load, i int, share float64, from, to time.Time) (worst float64) {
	for at := from; !at.Add(2 * time.Second).After(to); at = at.Add(500 * time.Millisecond) {
		var all time.Duration
		for _, l := range loads {
			all += l.Between(at, at.Add(2*time.Second)).Work
		}
		if off := loads[i].Between(at, at.Add(2*time.Second)).Work.Seconds()/math.Max(all.Seconds(), 1e-9) - share; math.Abs(off) > math.Abs(worst) {
			worst = off
		}
	}
	return worst
}
