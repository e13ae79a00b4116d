// Command weights plays fleets before endpoints of unlike hardware in virtual time, with
// four ways to weigh them, and tells how near the measured weights come to what the
// endpoints can do, how soon they follow a change, and what clients have of it.
//
//	go run ./bench/weights [-seeds 5] [-gateways 40] [-scene NAME]
//	go run ./bench/weights -table demand|follow|delay|size
package main

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
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
	what     = flag.String("table", "ways", "ways, demand, follow, delay or size")
	lasts    = flag.Duration("lasts", 40*time.Second, "of a play, the first half of which is not counted")
)

func main() {
	flag.Parse()
	tables := map[string]func(){"ways": ways, "demand": demand, "follow": follow, "delay": delay, "size": size}
	table, known := tables[*what]
	if !known {
		fmt.Fprintf(os.Stderr, "weights: there is no table %q\n", *what)
		os.Exit(1)
	}
	table()
}

// ways plays the scenes with each way.
func ways() {
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

// lab is the scene with so many gateways.
func (s *scene) lab(way hardware.Way, seed uint64, gateways int) *hardware.Lab {
	return hardware.New(hardware.Config{
		Seed: seed, Way: way, Gateways: gateways, Servers: s.make(rand.New(rand.NewPCG(seed, 11))), Load: s.load(), Skewed: true,
		Classes: []hardware.Class{
			{Class: policy.Class{Aim: 250 * time.Millisecond, Deadline: time.Second, Worth: 1, LateWorth: 0.3}, Part: 0.7, Work: 20 * time.Millisecond, Spray: 0.7, Hint: s.lie[0]},
			{Class: policy.Class{Aim: 400 * time.Millisecond, Deadline: time.Second, Worth: 3, LateWorth: 0.3}, Part: 0.3, Work: 60 * time.Millisecond, Spray: 0.7, Hint: s.lie[1]},
		},
	})
}

func (s *scene) play(way hardware.Way, seed uint64) (r result) {
	l := s.lab(way, seed, *gateways)
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
	return r
}

// of plays a scene's seeds side by side and returns the median of what each comes to.
func of(play func(seed uint64) []float64) []float64 {
	all := make([][]float64, *seeds)
	var playing sync.WaitGroup
	for i := range all {
		playing.Go(func() { all[i] = play(*from + uint64(i)) })
	}
	playing.Wait()
	var medians []float64
	for k := range all[0] {
		var x []float64
		for _, a := range all {
			x = append(x, a[k])
		}
		medians = append(medians, median(x))
	}
	return medians
}

// demand tells how far off estimates are by what is asked for.
func demand() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "asked for\toff, unlike\toff, scattered\tlist, unlike\tlist, scattered")
	for _, part := range []float64{0.1, 0.2, 0.4, 0.6, 0.8, 0.9, 1} {
		*load = part
		row := []float64{}
		for _, i := range []int{0, 2} {
			row = append(row, of(func(seed uint64) []float64 {
				l := scenes[i].lab(hardware.Fleet, seed, *gateways)
				l.Play(*lasts)
				_, estimate := l.Error()
				return []float64{estimate}
			})...)
		}
		list := func(i int) float64 {
			return of(func(seed uint64) []float64 { return []float64{scenes[i].lab(hardware.List, seed, 3).Off()} })[0]
		}
		fmt.Fprintf(w, "%.0f%%\t%.3f\t%.3f\t%.3f\t%.3f\n", 100*part, row[0], row[1], list(0), list(2))
	}
	w.Flush()
}

// follow tells how long it takes until the table has followed a machine that loses a part.
func follow() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "left of a machine\tseconds to half of the change\tto four fifths\tback to half, after 20 s")
	for _, left := range []float64{0.7, 0.5, 0.3} {
		x := of(func(seed uint64) []float64 {
			s := scenes[0]
			l := s.lab(hardware.Fleet, seed, *gateways)
			l.Play(20 * time.Second)
			server := l.Servers[1]
			before := l.Factors(max(l.Holder(), 0))[1]
			begin := l.Now
			server.Left = func(now time.Duration) float64 {
				if now < begin+20*time.Second {
					return left
				}
				return 1
			}
			half, most, back := math.Inf(1), math.Inf(1), math.Inf(1)
			for at := 0.0; at < 45; at += 0.5 {
				l.Play(500 * time.Millisecond)
				gone := math.Log(l.Factors(max(l.Holder(), 0))[1]/before) / math.Log(left)
				if at < 20 && gone >= 0.5 {
					half = min(half, at+0.5)
				}
				if at < 20 && gone >= 0.8 {
					most = min(most, at+0.5)
				}
				if at >= 20 && gone < 0.5 {
					back = min(back, at+0.5-20)
				}
			}
			return []float64{half, most, back}
		})
		fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t%.1f\n", left, x[0], x[1], x[2])
	}
	w.Flush()
}

// delay tells how much factors swing, and how far off they are, by the delay of messages.
func delay() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "delay up to\tlost\tloaded\toff, table\tswing a period\tlate %")
	for _, c := range []struct {
		delay time.Duration
		lost  float64
		load  float64
	}{{4 * time.Millisecond, 0, 0.7}, {400 * time.Millisecond, 0.3, 0.7}, {time.Second, 0, 0.7}, {1800 * time.Millisecond, 0, 0.7}, {4 * time.Millisecond, 0, 0.95}, {time.Second, 0, 0.95}} {
		*load = c.load
		x := of(func(seed uint64) []float64 {
			l := scenes[0].lab(hardware.Fleet, seed, *gateways)
			l.Drop = c.lost
			l.Delay = func() time.Duration { return time.Duration(l.Rand.Int64N(int64(c.delay))) }
			l.Play(30 * time.Second)
			l.Tally = hardware.Tally{}
			last, swing, off, n := l.Factors(0), 0.0, 0.0, 0.0
			for range 30 {
				l.Play(time.Second)
				now := l.Factors(0)
				for i := range now {
					swing += math.Abs(math.Log(now[i]/last[i])) / float64(len(now))
				}
				last = now
				if table, _ := l.Error(); !math.IsNaN(table) {
					off, n = off+table, n+1
				}
			}
			return []float64{off / max(n, 1), swing / 30, 100 * float64(l.Tally.Late) / float64(l.Tally.Asked)}
		})
		fmt.Fprintf(w, "%v\t%.0f%%\t%.2f\t%.3f\t%.4f\t%.1f\n", c.delay, 100*c.lost, c.load, x[0], x[1], x[2])
	}
	w.Flush()
}

// size tells what messages cost by the size of the fleet, with 200 endpoints.
func size() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "gateways\tmessages a member and second\tbytes a member and second\tto and from the holder, KB a second")
	for _, n := range []int{10, 100, 500} {
		s := scene{make: func(r *rand.Rand) (all []*hardware.Server) {
			for range 7 {
				all = append(all, unlike(r)...)
			}
			return all[:200]
		}, load: steady, lie: [2]float64{1, 1}}
		l := s.lab(hardware.Fleet, *from, n)
		*load = min(0.5, 20*float64(n)*0.032/l.Capacity()) // some 20 requests a second a gateway
		l.Play(10 * time.Second)
		sent, bytes := l.Sent, l.Bytes
		l.Play(10 * time.Second)
		each := float64(n) * 10
		fmt.Fprintf(w, "%d\t%.1f\t%.0f\t%.0f\n", n, float64(l.Sent-sent)/each, float64(l.Bytes-bytes)/each, float64(l.Bytes-bytes)/10/1024)
	}
	w.Flush()
}
