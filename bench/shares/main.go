// Command shares measures how the broker divides the capacity between three teams
// that together request more than it, with simulated endpoints on loopback. It
// prints, per team, the requests sent, served within the latency target and
// refused, their latencies, and the team's fraction of the work next to its
// guaranteed share. Each scenario runs with the broker off and on.
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
	capacity  = endpoints * workers // seconds of work per second
	warmUp    = 2 * time.Second     // excluded from the figures
)

// team is a team with a contract, its share and its load.
type team struct {
	name  string
	share float64
	cost  time.Duration
	load  func(at time.Duration) float64 // as a multiple of its share of the capacity
}

func constant(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

// scenario is a set of loads of the teams.
type scenario struct {
	name         string
	teams        []team
	uncontracted float64                                                      // load of teams without a contract, as a multiple of the capacity
	event        func(s *scene.Scene, at func(part float64) <-chan time.Time) // runs beside the load; nil: none
}

// uncontractedShare is the share of all teams without a contract.
const uncontractedShare = 0.05

func scenarios(length time.Duration) []scenario {
	const ms = time.Millisecond
	return []scenario{
		{name: "every team at 150% of what it is owed, one with few dear requests", teams: []team{
			{"alpha", 0.60, 30 * ms, constant(1.5)}, {"beta", 0.27, 120 * ms, constant(1.5)}, {"gamma", 0.13, 10 * ms, constant(1.5)}}},
		{name: "alpha at 300%, the others within theirs (85%)", teams: []team{
			{"alpha", 0.60, 30 * ms, constant(3)}, {"beta", 0.27, 30 * ms, constant(0.85)}, {"gamma", 0.13, 30 * ms, constant(0.85)}}},
		{name: "strangers at ten times the capacity, the teams within theirs (85%)", uncontracted: 10, teams: []team{
			{"alpha", 0.55, 30 * ms, constant(0.85)}, {"beta", 0.27, 30 * ms, constant(0.85)}, {"gamma", 0.13, 30 * ms, constant(0.85)}}},
		{name: "alpha at 150% and more, beta idle until half time, then back at 90% in one step", teams: []team{
			{"alpha", 0.60, 30 * ms, constant(2)}, {"beta", 0.27, 30 * ms, func(at time.Duration) float64 {
				if at < length/2 {
					return 0
				}
				return 0.9
			}}, {"gamma", 0.13, 30 * ms, constant(0.9)}}},
		{name: "every team at 150%, the endpoints at 40% for the middle third", teams: []team{
			{"alpha", 0.60, 30 * ms, constant(1.5)}, {"beta", 0.27, 30 * ms, constant(1.5)}, {"gamma", 0.13, 30 * ms, constant(1.5)}},
			event: func(s *scene.Scene, at func(float64) <-chan time.Time) {
				const removedWorkers = -workers * 6 / 10 // per endpoint
				<-at(1. / 3)
				for _, e := range s.Maps {
					e.AddWorkers(removedWorkers)
				}
				<-at(2. / 3)
				for _, e := range s.Maps {
					e.AddWorkers(-removedWorkers)
				}
			}},
	}
}

func main() {
	length := flag.Int("seconds", 12, "duration of a run in seconds")
	only := flag.String("only", "", "run only the scenarios whose name contains this")
	flag.Parse()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, c := range scenarios(time.Duration(*length) * time.Second) {
		if !strings.Contains(c.name, *only) {
			continue
		}
		fmt.Printf("%s; capacity %d s of work a second\n", c.name, capacity)
		for _, brokerOn := range []bool{false, true} {
			if err := runScenario(c, brokerOn, time.Duration(*length)*time.Second); err != nil {
				fmt.Fprintln(os.Stderr, "shares:", err)
				os.Exit(1)
			}
		}
		fmt.Println()
	}
}

// runScenario runs a scenario and prints its table.
func runScenario(c scenario, brokerOn bool, length time.Duration) error {
	config := scene.Config{}
	for range endpoints {
		config.Maps = append(config.Maps, lab.EndpointConfig{Workers: workers, Body: 4096})
	}
	if brokerOn {
		config.Operator = "[[service]]\nname = 'maps'\n"
		for _, t := range c.teams {
			config.Operator += fmt.Sprintf("[[team]]\nname = %q\nshare = %v\n[[team.allow]]\nservice = 'maps'\n", t.name, t.share)
		}
	}
	teams := c.teams
	if c.uncontracted > 0 {
		if brokerOn {
			config.Operator += fmt.Sprintf("[no-contract]\naction = 'share'\nshare = %v\n", uncontractedShare)
		}
		teams = append(teams, team{"strangers", uncontractedShare, 30 * time.Millisecond, constant(c.uncontracted / uncontractedShare)})
	}
	s, err := scene.Start(config)
	if err != nil {
		return err
	}
	started := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(length))
	defer cancel()
	var running sync.WaitGroup
	var loads []*lab.Load
	for i, t := range teams {
		l := &lab.Load{Team: t.name, Path: "/map-tile/3/7", Kind: "map-tile", Cost: t.cost, Wanted: 400 * time.Millisecond, Give: 1200 * time.Millisecond,
			Rate: func(at time.Duration) float64 { return t.load(at) * t.share * capacity / t.cost.Seconds() }}
		loads = append(loads, l)
		running.Go(func() { l.Run(ctx, s.Addr(), uint64(i+1)) })
	}
	if c.event != nil {
		running.Go(func() {
			c.event(s, func(part float64) <-chan time.Time {
				return time.After(time.Until(started.Add(time.Duration(part * float64(length)))))
			})
		})
	}
	running.Wait()
	c.teams = teams
	printTable(c, brokerOn, loads, started, length)
	return s.Close()
}

func printTable(c scenario, brokerOn bool, loads []*lab.Load, started time.Time, length time.Duration) {
	from, to := started.Add(warmUp), started.Add(length)
	fmt.Printf("broker %-4s asked  in time  late  refused  other    p50    p99  refusal p50   owed   got  off at worst over 2 s\n", map[bool]string{true: "on", false: "off"}[brokerOn])
	var all time.Duration
	for _, l := range loads {
		all += l.Between(from, to).Work
	}
	for i, l := range loads {
		s := l.Between(from, to)
		ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1e3) }
		deviation := "-" // not defined for a team that requests less than its share
		if c.teams[i].load(0) >= 1 && c.alwaysOverloaded() {
			deviation = fmt.Sprintf("%+.1f points", 100*worstDeviation(loads, i, c.teams[i].share, from, to))
		}
		fmt.Printf("%-10s %6d  %6.1f%% %5d  %7d  %5d  %5s  %5s  %11s  %4.1f%% %4.1f%%  %s\n", s.Team, s.Asked, 100*float64(s.InTime)/float64(max(s.Asked, 1)),
			s.Late, s.Refused, s.Other, ms(s.P50), ms(s.P99), ms(s.RefusedP50), 100*c.teams[i].share, 100*s.Work.Seconds()/all.Seconds(), deviation)
	}
	fmt.Printf("%-10s %.2f of the capacity was used for answers\n", "", all.Seconds()/(capacity*(length-warmUp).Seconds()))
}

// alwaysOverloaded reports whether every team requests at least its share. Then each should
// get exactly that.
func (c *scenario) alwaysOverloaded() bool {
	for _, t := range c.teams {
		if t.load(0) < 1 {
			return false
		}
	}
	return true
}

// worstDeviation returns the largest deviation of a team's fraction of the work from its
// share, over windows of 2 s.
func worstDeviation(loads []*lab.Load, i int, share float64, from, to time.Time) (worst float64) {
	for at := from; !at.Add(2 * time.Second).After(to); at = at.Add(500 * time.Millisecond) {
		var all time.Duration
		for _, l := range loads {
			all += l.Between(at, at.Add(2*time.Second)).Work
		}
		if deviation := loads[i].Between(at, at.Add(2*time.Second)).Work.Seconds()/math.Max(all.Seconds(), 1e-9) - share; math.Abs(deviation) > math.Abs(worst) {
			worst = deviation
		}
	}
	return worst
}
