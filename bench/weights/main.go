// Command weights simulates fleets with endpoints on different hardware in virtual time,
// with four methods of weighting. It reports how close the measured weights are to the
// capacity of the endpoints, how fast they follow a change, and the effect on clients.
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
	seeds     = flag.Uint64("seeds", 5, "runs per scene")
	firstSeed = flag.Uint64("from", 1, "first seed")
	gateways  = flag.Int("gateways", 40, "number of sidecars in the fleet")
	sceneName = flag.String("scene", "", "run only this scene; empty: all")
	load      = flag.Float64("load", 0.7, "offered load as a fraction of the capacity")
	tableName = flag.String("table", "ways", "table to print: ways, demand, follow, delay or size")
	duration  = flag.Duration("lasts", 40*time.Second, "duration of a run, the first half of which is warm-up")
)

func main() {
	flag.Parse()
	tables := map[string]func(){"ways": compareModes, "demand": errorByLoad, "follow": adaptationTime, "delay": swingByDelay, "size": messageCosts}
	table, known := tables[*tableName]
	if !known {
		fmt.Fprintf(os.Stderr, "weights: unknown table %q\n", *tableName)
		os.Exit(1)
	}
	table()
}

// compareModes runs the scenes with each weighting mode.
func compareModes() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scene\tway\tin time %\tlate %\trefused %\tfailed %\tworth\toff, table\toff, estimate\tswing")
	for _, s := range scenes {
		if *sceneName != "" && *sceneName != s.name {
			continue
		}
		for _, mode := range []hardware.Way{hardware.Even, hardware.List, hardware.Alone, hardware.Fleet} {
			s.printRow(w, mode)
		}
		w.Flush()
	}
}

// scene is a set of servers, their load and the error of the cost hints.
type scene struct {
	name        string
	newServers  func(r *rand.Rand) []*hardware.Server
	load        func() func(time.Duration) float64
	hintFactors [2]float64 // hinted work over true work, by class
}

func constantLoad() func(time.Duration) float64 {
	return func(time.Duration) float64 { return *load }
}

// mixedHardware returns servers of three kinds: small ones, large ones, and slow old ones
// that have the listed weight of small ones.
func mixedHardware(*rand.Rand) (all []*hardware.Server) {
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

// variedSpeed returns servers of one kind whose speeds differ.
func variedSpeed(r *rand.Rand) (all []*hardware.Server) {
	for range 30 {
		all = append(all, &hardware.Server{Listed: 1, Workers: 4, Speed: math.Exp(0.5 * r.NormFloat64()), Queue: 40})
	}
	return all
}

// noisyNeighbours returns mixedHardware in which one machine in four loses 30 to 70% of its
// capacity for 20 s, from a random time.
func noisyNeighbours(r *rand.Rand) []*hardware.Server {
	all := mixedHardware(r)
	for i, s := range all {
		if i%4 != 0 {
			continue
		}
		begin, remaining := 15*time.Second+time.Duration(r.Int64N(int64(10*time.Second))), 0.3+0.4*r.Float64()
		s.Left = func(now time.Duration) float64 {
			if now >= begin && now < begin+20*time.Second {
				return remaining
			}
			return 1
		}
	}
	return all
}

// failingServers returns mixedHardware in which one server in six immediately answers 30%
// of its requests with an error.
func failingServers(r *rand.Rand) []*hardware.Server {
	all := mixedHardware(r)
	for i, s := range all {
		if i%6 == 0 {
			s.Fails = 0.3
		}
	}
	return all
}

var scenes = []scene{
	{"unlike", mixedHardware, constantLoad, [2]float64{1, 1}},
	{"hints lie", mixedHardware, constantLoad, [2]float64{2, 0.5}},
	{"scattered", variedSpeed, constantLoad, [2]float64{1, 1}},
	{"neighbours", noisyNeighbours, constantLoad, [2]float64{1, 1}},
	{"failers", failingServers, constantLoad, [2]float64{1, 1}},
	{"waves", mixedHardware, func() func(time.Duration) float64 {
		return func(now time.Duration) float64 { return *load * (0.6 + 0.4*math.Sin(now.Seconds()/3)) }
	}, [2]float64{1, 1}},
}

// result is the outcome of one run.
type result struct {
	tally                     hardware.Tally
	tableError, estimateError float64
	swing                     float64
}

func (s *scene) printRow(w *tabwriter.Writer, mode hardware.Way) {
	results := make([]result, *seeds)
	var running sync.WaitGroup
	for i := range results {
		running.Go(func() { results[i] = s.simulate(mode, *firstSeed+uint64(i)) })
	}
	running.Wait()
	var sum hardware.Tally
	var tableErrors, estimateErrors, swings []float64
	for _, r := range results {
		sum.Asked, sum.Good, sum.Late = sum.Asked+r.tally.Asked, sum.Good+r.tally.Good, sum.Late+r.tally.Late
		sum.Refused, sum.Failed = sum.Refused+r.tally.Refused, sum.Failed+r.tally.Failed
		sum.Worth, sum.Possible = sum.Worth+r.tally.Worth, sum.Possible+r.tally.Possible
		tableErrors, estimateErrors, swings = append(tableErrors, r.tableError), append(estimateErrors, r.estimateError), append(swings, r.swing)
	}
	percent := func(n int) float64 { return 100 * float64(n) / float64(sum.Asked) }
	fmt.Fprintf(w, "%s\t%v\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t", s.name, mode, percent(sum.Good), percent(sum.Late), percent(sum.Refused), percent(sum.Failed), sum.Worth/sum.Possible)
	if mode == hardware.Fleet {
		fmt.Fprintf(w, "%.3f\t%.3f\t%.4f\n", median(tableErrors), median(estimateErrors), median(swings))
	} else {
		fmt.Fprintf(w, "\t\t\n")
	}
}

func median(x []float64) float64 {
	slices.Sort(x)
	return x[len(x)/2]
}

// newLab returns a simulation of the scene.
func (s *scene) newLab(mode hardware.Way, seed uint64, gateways int) *hardware.Lab {
	return hardware.New(hardware.Config{
		Seed: seed, Way: mode, Gateways: gateways, Servers: s.newServers(rand.New(rand.NewPCG(seed, 11))), Load: s.load(), Skewed: true,
		Classes: []hardware.Class{
			{Class: policy.Class{Aim: 250 * time.Millisecond, Deadline: time.Second, Worth: 1, LateWorth: 0.3}, Part: 0.7, Work: 20 * time.Millisecond, Spray: 0.7, Hint: s.hintFactors[0]},
			{Class: policy.Class{Aim: 400 * time.Millisecond, Deadline: time.Second, Worth: 3, LateWorth: 0.3}, Part: 0.3, Work: 60 * time.Millisecond, Spray: 0.7, Hint: s.hintFactors[1]},
		},
	})
}

func (s *scene) simulate(mode hardware.Way, seed uint64) (r result) {
	l := s.newLab(mode, seed, *gateways)
	l.Play(*duration / 2)
	l.Tally = hardware.Tally{}
	previous := l.Factors(0)
	n := 0.0
	for range 10 {
		l.Play(*duration / 20)
		if h := l.Holder(); mode == hardware.Fleet && h >= 0 {
			now := l.Factors(h)
			for i := range now {
				r.swing += math.Abs(math.Log(now[i] / previous[i]))
			}
			n += float64(len(now))
			previous = now
			table, estimate := l.Error()
			r.tableError, r.estimateError = r.tableError+table/10, r.estimateError+estimate/10
		}
	}
	r.swing /= max(n, 1)
	r.tally = l.Tally
	return r
}

// medians runs simulate for all seeds in parallel and returns the median of each result.
func medians(simulate func(seed uint64) []float64) []float64 {
	all := make([][]float64, *seeds)
	var running sync.WaitGroup
	for i := range all {
		running.Go(func() { all[i] = simulate(*firstSeed + uint64(i)) })
	}
	running.Wait()
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

// errorByLoad prints the error of the estimates by offered load.
func errorByLoad() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "asked for\toff, unlike\toff, scattered\tlist, unlike\tlist, scattered")
	for _, fraction := range []float64{0.1, 0.2, 0.4, 0.6, 0.8, 0.9, 1} {
		*load = fraction
		row := []float64{}
		for _, i := range []int{0, 2} {
			row = append(row, medians(func(seed uint64) []float64 {
				l := scenes[i].newLab(hardware.Fleet, seed, *gateways)
				l.Play(*duration)
				_, estimate := l.Error()
				return []float64{estimate}
			})...)
		}
		list := func(i int) float64 {
			return medians(func(seed uint64) []float64 { return []float64{scenes[i].newLab(hardware.List, seed, 3).Off()} })[0]
		}
		fmt.Fprintf(w, "%.0f%%\t%.3f\t%.3f\t%.3f\t%.3f\n", 100*fraction, row[0], row[1], list(0), list(2))
	}
	w.Flush()
}

// adaptationTime prints how long the table takes to follow a machine that loses capacity.
func adaptationTime() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "left of a machine\tseconds to half of the change\tto four fifths\tback to half, after 20 s")
	for _, remaining := range []float64{0.7, 0.5, 0.3} {
		x := medians(func(seed uint64) []float64 {
			s := scenes[0]
			l := s.newLab(hardware.Fleet, seed, *gateways)
			l.Play(20 * time.Second)
			server := l.Servers[1]
			before := l.Factors(max(l.Holder(), 0))[1]
			begin := l.Now
			server.Left = func(now time.Duration) float64 {
				if now < begin+20*time.Second {
					return remaining
				}
				return 1
			}
			toHalf, toFourFifths, backToHalf := math.Inf(1), math.Inf(1), math.Inf(1)
			for at := 0.0; at < 45; at += 0.5 {
				l.Play(500 * time.Millisecond)
				change := math.Log(l.Factors(max(l.Holder(), 0))[1]/before) / math.Log(remaining)
				if at < 20 && change >= 0.5 {
					toHalf = min(toHalf, at+0.5)
				}
				if at < 20 && change >= 0.8 {
					toFourFifths = min(toFourFifths, at+0.5)
				}
				if at >= 20 && change < 0.5 {
					backToHalf = min(backToHalf, at+0.5-20)
				}
			}
			return []float64{toHalf, toFourFifths, backToHalf}
		})
		fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t%.1f\n", remaining, x[0], x[1], x[2])
	}
	w.Flush()
}

// swingByDelay prints the oscillation and the error of the factors by message delay.
func swingByDelay() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "delay up to\tlost\tloaded\toff, table\tswing a period\tlate %")
	for _, c := range []struct {
		delay time.Duration
		lost  float64
		load  float64
	}{{4 * time.Millisecond, 0, 0.7}, {400 * time.Millisecond, 0.3, 0.7}, {time.Second, 0, 0.7}, {1800 * time.Millisecond, 0, 0.7}, {4 * time.Millisecond, 0, 0.95}, {time.Second, 0, 0.95}} {
		*load = c.load
		x := medians(func(seed uint64) []float64 {
			l := scenes[0].newLab(hardware.Fleet, seed, *gateways)
			l.Drop = c.lost
			l.Delay = func() time.Duration { return time.Duration(l.Rand.Int64N(int64(c.delay))) }
			l.Play(30 * time.Second)
			l.Tally = hardware.Tally{}
			previous, swing, tableError, n := l.Factors(0), 0.0, 0.0, 0.0
			for range 30 {
				l.Play(time.Second)
				now := l.Factors(0)
				for i := range now {
					swing += math.Abs(math.Log(now[i]/previous[i])) / float64(len(now))
				}
				previous = now
				if table, _ := l.Error(); !math.IsNaN(table) {
					tableError, n = tableError+table, n+1
				}
			}
			return []float64{tableError / max(n, 1), swing / 30, 100 * float64(l.Tally.Late) / float64(l.Tally.Asked)}
		})
		fmt.Fprintf(w, "%v\t%.0f%%\t%.2f\t%.3f\t%.4f\t%.1f\n", c.delay, 100*c.lost, c.load, x[0], x[1], x[2])
	}
	w.Flush()
}

// messageCosts prints the number and bytes of messages by fleet size, with 200 endpoints.
func messageCosts() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "gateways\tmessages a member and second\tbytes a member and second\tto and from the holder, KB a second")
	for _, n := range []int{10, 100, 500} {
		s := scene{newServers: func(r *rand.Rand) (all []*hardware.Server) {
			for range 7 {
				all = append(all, mixedHardware(r)...)
			}
			return all[:200]
		}, load: constantLoad, hintFactors: [2]float64{1, 1}}
		l := s.newLab(hardware.Fleet, *firstSeed, n)
		*load = min(0.5, 20*float64(n)*0.032/l.Capacity()) // about 20 requests per second and gateway
		l.Play(10 * time.Second)
		sentBefore, bytesBefore := l.Sent, l.Bytes
		l.Play(10 * time.Second)
		memberSeconds := float64(n) * 10
		fmt.Fprintf(w, "%d\t%.1f\t%.0f\t%.0f\n", n, float64(l.Sent-sentBefore)/memberSeconds, float64(l.Bytes-bytesBefore)/memberSeconds, float64(l.Bytes-bytesBefore)/10/1024)
	}
	w.Flush()
}
