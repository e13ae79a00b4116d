// Command weights plays fleets before endpoints of unlike hardware in virtual time, with
// four ways to weigh them, and tells how near the measured weights come to what the
// endpoints can do, how soon they follow a change, and what clients have of it.
//
//	go run ./bench/weights [-seeds 5] [-gateways 40] [-scene NAME]
package main

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"spokegw/internal/lab/hardware"
	"spokegw/policy"
)

var (
	seeds    = flag.Uint64("seeds", 5, "plays of each scene")
	from     = flag.Uint64("from", 1, "the first one's seed")
	gateways = flag.Int("gateways", 40, "sidecars of a fleet")
	only     = flag.String("scene", "", "the one to be played; all without it")
	load     = flag.Float64("load", 0.7, "part of the capacity that is asked for")
	lasts    = flag.Duration("lasts", 40*time.Second, "of a play, the first half of which is not counted")
)

func main() {
	flag.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scene\tway\tin time %\tlate %\trefused %\tfailed %\tworth\toff, table\toff, estimate\tswing")
	for _, s := range scenes {
		if *only != "" && *only != s.name {
			continue
		}
		for _, way := range []hardware.Way{hardware.Even, hardware.List, hardware.Alone, hardware.Fleet} {
			s.row(w, way)
		}
		w.Flush()
	}
}

// scene is a fleet of servers and what happens to it.
type scene struct {
	name string
	make func(r *rand.Rand) []*hardware.Server
	load func() func(time.Duration) float64
	lie  [2]float64 // hints over true work
}

func steady() func(time.Duration) float64 {
	return func(time.Duration) float64 { return *load }
}

// unlike are three kinds: small ones, large ones, and old ones that the list takes for
// small.
func unlike(*rand.Rand) (all []*hardware.Server) {
	for i := range 30 {
		s := &hardware.Server{Listed: 1, Workers: 2, Speed: 1, Queue: 40}
		switch i % 3 {
		case 1:
			s.Kind, s.Listed, s.Workers = 1, 2, 6
		case 2:
			s.Kind, s.Speed = 2, 0.5
		}
		all = append(all, s)
	}
	return all
}

// one kind, of which each machine differs.
func scattered(r *rand.Rand) (all []*hardware.Server) {
	for range 30 {
		all = append(all, &hardware.Server{Listed: 1, Workers: 4, Speed: math.Exp(0.5 * r.NormFloat64()), Queue: 40})
	}
	return all
}

// neighbours take 30 to 70% of one machine in four for 20 s, at some time.
func neighbours(r *rand.Rand) []*hardware.Server {
	all := unlike(r)
	for i, s := range all {
		if i%4 != 0 {
			continue
		}
		begin, left := 15*time.Second+time.Duration(r.Int64N(int64(10*time.Second))), 0.3+0.4*r.Float64()
		s.Left = func(now time.Duration) float64 {
			if now >= begin && now < begin+20*time.Second {
				return left
			}
			return 1
		}
	}
	return all
}

// failers answer three in ten requests with an error at once.
func failers(r *rand.Rand) []*hardware.Server {
	all := unlike(r)
	for i, s := range all {
		if i%6 == 0 {
			s.Fails = 0.3
		}
	}
	return all
}

var scenes = []scene{
	{"unlike", unlike, steady, [2]float64{1, 1}},
	{"hints lie", unlike, steady, [2]float64{2, 0.5}},
	{"scattered", scattered, steady, [2]float64{1, 1}},
	{"neighbours", neighbours, steady, [2]float64{1, 1}},
	{"failers", failers, steady, [2]float64{1, 1}},
	{"waves", unlike, func() func(time.Duration) float64 {
		return func(now time.Duration) float64 { return *load * (0.6 + 0.4*math.Sin(now.Seconds()/3)) }
	}, [2]float64{1, 1}},
}

// result is what came of one play.
type result struct {
	tally         hardware.Tally
	off, estimate float64
	swing         float64
}

func (s *scene) row(w *tabwriter.Writer, way hardware.Way) {
	results := make([]result, *seeds)
	var playing sync.WaitGroup
	for i := range results {
		playing.Go(func() { results[i] = s.play(way, *from+uint64(i)) })
	}
	playing.Wait()
	var sum hardware.Tally
	var offs, estimates, swings []float64
	for _, r := range results {
		sum.Asked, sum.Good, sum.Late = sum.Asked+r.tally.Asked, sum.Good+r.tally.Good, sum.Late+r.tally.Late
		sum.Refused, sum.Failed = sum.Refused+r.tally.Refused, sum.Failed+r.tally.Failed
		sum.Worth, sum.Possible = sum.Worth+r.tally.Worth, sum.Possible+r.tally.Possible
		offs, estimates, swings = append(offs, r.off), append(estimates, r.estimate), append(swings, r.swing)
	}
	part := func(n int) float64 { return 100 * float64(n) / float64(sum.Asked) }
	fmt.Fprintf(w, "%s\t%v\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t", s.name, way, part(sum.Good), part(sum.Late), part(sum.Refused), part(sum.Failed), sum.Worth/sum.Possible)
	if way == hardware.Fleet {
		fmt.Fprintf(w, "%.3f\t%.3f\t%.4f\n", median(offs), median(estimates), median(swings))
	} else {
		fmt.Fprintf(w, "\t\t\n")
	}
}

func median(x []float64) float64 {
	slices.Sort(x)
	return x[len(x)/2]
}

func (s *scene) play(way hardware.Way, seed uint64) (r result) {
	l := hardware.New(hardware.Config{
		Seed: seed, Way: way, Gateways: *gateways, Servers: s.make(rand.New(rand.NewPCG(seed, 11))), Load: s.load(), Skewed: true,
		Classes: []hardware.Class{
			{Class: policy.Class{Aim: 250 * time.Millisecond, Deadline: time.Second, Worth: 1, LateWorth: 0.3}, Part: 0.7, Work: 20 * time.Millisecond, Spray: 0.7, Hint: s.lie[0]},
			{Class: policy.Class{Aim: 400 * time.Millisecond, Deadline: time.Second, Worth: 3, LateWorth: 0.3}, Part: 0.3, Work: 60 * time.Millisecond, Spray: 0.7, Hint: s.lie[1]},
		},
	})
	l.Play(*lasts / 2)
	l.Tally = hardware.Tally{}
	last := l.Factors(0)
	n := 0.0
	for range 10 {
		l.Play(*lasts / 20)
		if h := l.Holder(); way == hardware.Fleet && h >= 0 {
			now := l.Factors(h)
			for i := range now {
				r.swing += math.Abs(math.Log(now[i] / last[i]))
			}
			n += float64(len(now))
			last = now
			table, estimate := l.Error()
			r.off, r.estimate = r.off+table/10, r.estimate+estimate/10
		}
	}
	r.swing /= max(n, 1)
	r.tally = l.Tally
	if strings.Contains(os.Getenv("SPOKEGW_BENCH"), "debug") && way == hardware.Fleet {
		l.Debug(os.Stderr)
	}
	return r
}
