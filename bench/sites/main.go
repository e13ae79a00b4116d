// Command sites plays the loss of a whole site and its return in virtual time, with four
// ways to bear it, and tells what clients have of it.
//
//	go run ./bench/sites [-seeds 5] [-load 0.75] [-gateways 30] [-sites 3] [-plot FILE]
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"spokegw/internal/lab/hardware"
	"spokegw/policy"
)

var (
	seeds    = flag.Uint64("seeds", 5, "plays of each way")
	from     = flag.Uint64("from", 1, "the first one's seed")
	load     = flag.Float64("load", 0.75, "part of the whole capacity that is asked for")
	gateways = flag.Int("gateways", 30, "sidecars, in the sites in turn")
	count    = flag.Int("sites", 3, "sites, of ten servers each")
	away     = flag.Duration("away", 30*time.Second, "that the site is lost")
)

const step = 500 * time.Millisecond

// result is what came of one play; times are in seconds, from the loss or the return.
type result struct {
	givenUp, whole  float64 // the site is met by nobody but those that look; by all
	lost, back      float64 // worth served, over the best possible, in the 30 s after each
	falls           float64
	failed, refused float64 // part of what was asked for, in the 30 s after the loss
	before          float64
}

func main() {
	flag.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "way\tworth before\tin 30 s of the loss, over the best\tfailed %\trefused %\tin 30 s of the return\tfalls\tgiven up after s, worst\twhole after s")
	for _, way := range []hardware.Way{hardware.Breaker, hardware.Alone, hardware.Fleet, hardware.Sites} {
		all := make([]result, *seeds)
		var playing sync.WaitGroup
		for i := range all {
			playing.Go(func() { all[i] = play(way, *from+uint64(i)) })
		}
		playing.Wait()
		of := func(f func(r result) float64) float64 { return median(all, f) }
		fmt.Fprintf(w, "%v\t%.3f\t%.3f\t%.1f\t%.1f\t%.3f\t%.0f\t", way, of(func(r result) float64 { return r.before }), of(func(r result) float64 { return r.lost }),
			100*of(func(r result) float64 { return r.failed }), 100*of(func(r result) float64 { return r.refused }), of(func(r result) float64 { return r.back }), of(func(r result) float64 { return r.falls }))
		if way == hardware.Sites {
			worst := slices.MaxFunc(all, func(a, b result) int { return int(10 * (a.givenUp - b.givenUp)) })
			fmt.Fprintf(w, "%.1f, %.1f\t%.1f\n", of(func(r result) float64 { return r.givenUp }), worst.givenUp, of(func(r result) float64 { return r.whole }))
		} else {
			fmt.Fprint(w, "\t\n")
		}
	}
	w.Flush()
}

func median(all []result, f func(result) float64) float64 {
	x := make([]float64, len(all))
	for i, r := range all {
		x[i] = f(r)
	}
	slices.Sort(x)
	return x[len(x)/2]
}

func play(way hardware.Way, seed uint64) (r result) {
	var names []string
	var servers []*hardware.Server
	for s := range *count {
		names = append(names, fmt.Sprint("s", s))
		for i := range 10 {
			servers = append(servers, &hardware.Server{Site: names[s], Listed: 1 + float64(i%2), Kind: i % 2, Workers: 2 * (1 + i%2), Speed: 1, Queue: 40})
		}
	}
	l := hardware.New(hardware.Config{
		Seed: seed, Way: way, Gateways: *gateways, Servers: servers, SiteNames: names, Load: func(time.Duration) float64 { return *load },
		Classes: []hardware.Class{
			{Class: policy.Class{Aim: 250 * time.Millisecond, Deadline: time.Second, Worth: 1, LateWorth: 0.3}, Part: 0.7, Work: 20 * time.Millisecond, Spray: 0.7, Hint: 1},
			{Class: policy.Class{Aim: 400 * time.Millisecond, Deadline: time.Second, Worth: 9, LateWorth: 0.3}, Part: 0.3, Work: 60 * time.Millisecond, Spray: 0.7, Hint: 1},
		},
	})
	l.Play(20 * time.Second)
	part := func(lasts time.Duration, each func(at float64)) (worth float64, t hardware.Tally) {
		l.Tally = hardware.Tally{}
		for at := time.Duration(0); at < lasts; at += step {
			l.Play(step)
			each((at + step).Seconds())
		}
		return l.Tally.Worth / l.Tally.Possible, l.Tally
	}
	r.before, _ = part(5*time.Second, func(float64) {})
	r.givenUp, r.whole = math.Inf(1), math.Inf(1)
	l.SetSite("s1", true)
	worth, t := part(30*time.Second, func(at float64) {
		if l.Met("s1") < 0.1 {
			r.givenUp = min(r.givenUp, at)
		}
	})
	r.lost = worth / best()
	r.failed, r.refused = float64(t.Failed)/float64(t.Asked), float64(t.Refused)/float64(t.Asked)
	if more := *away - 30*time.Second; more > 0 {
		l.Play(more)
	}
	l.SetSite("s1", false)
	falls := l.Falls
	worth, _ = part(30*time.Second, func(at float64) {
		if l.Met("s1") == 1 {
			r.whole = min(r.whole, at)
		}
	})
	r.back = worth
	l.Play(15 * time.Second)
	r.falls = float64(l.Falls - falls)
	return r
}

// best is the worth that can be served with a site less, where what is worth most for its
// work goes first, and nothing is late.
func best() float64 {
	room := float64(*count-1) / float64(*count) / *load // of the work that is asked for
	if room >= 1 {
		return 1
	}
	dear, cheap := 0.3*60.0, 0.7*20.0 // work; the dear class is worth more for its own
	room *= dear + cheap
	first := math.Min(1, room/dear)
	rest := math.Max(0, math.Min(1, (room-dear)/cheap))
	return (0.3*9*first + 0.7*1*rest) / (0.3*9 + 0.7*1)
}
