// Command moves simulates thousands of moves between two pools in virtual time. It
// reports how often a good pool is rolled back and how soon a bad one is, compared with
// simpler detectors on the same courses. With -loopback it runs a few moves over real
// sockets, with fault injection in the new pool.
//
//	go run ./bench/moves -courses 2000 -plots docs/design
//	go run ./bench/moves -courses 200 -whole
//	go run ./bench/moves -loopback
//	go run ./bench/moves -loopback -rate 10000
package main

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"spokegw/internal/moves/judge"
)

// Durations of a course: the steps of a move and the watch period after them, in seconds.
const (
	stepSeconds       = 60
	watchSeconds      = 300
	requestsPerSecond = 300.0
)

var shares = []float64{0.01, 0.05, 0.25, 0.5, 1}

// scenario gives the failure rates of the new (p) and the old pool (q) for each second.
type scenario struct {
	name  string
	rates func(second int) (p, q float64)
}

var goodScenarios = []scenario{
	{"both 0.1%", func(int) (p, q float64) { return 0.001, 0.001 }},
	{"both 0.4%", func(int) (p, q float64) { return 0.004, 0.004 }},
	{"both 1.5%", func(int) (p, q float64) { return 0.015, 0.015 }},
	{"both 10% for 30 s", func(s int) (p, q float64) {
		if s >= 90 && s < 120 {
			return 0.1, 0.1
		}
		return 0.001, 0.001
	}},
	{"both, up and down", func(s int) (p, q float64) {
		r := 0.01 * (1 + math.Sin(float64(s)/15))
		return r, r
	}},
}

var faultRates = []float64{0.01, 0.02, 0.05, 0.1, 0.3, 1}

// onsetSecond is when the faults of a bad pool begin: in the second step, at a share of 5%.
const onsetSecond = stepSeconds + 20

var detectors = []struct {
	name string
	make func() detector
}{
	{"e-processes (ours)", newSequential},
	{"2% of a 10 s window", newThreshold},
	{"z test at each step's end", newZ},
	{"z test each second", newRepeatedZ},
}

// binomial draws the number of bad requests out of n.
func binomial(r *rand.Rand, n int, p float64) (k int) {
	if p <= 0 {
		return 0
	}
	if p >= 1 {
		return n
	}
	for i := -1; ; k++ { // geometric gap to the next bad request
		i += 1 + int(math.Log(1-r.Float64())/math.Log1p(-p))
		if i >= n {
			return k
		}
	}
}

// poisson draws a number of arrivals.
func poisson(r *rand.Rand, mean float64) (k int) {
	for sum := r.ExpFloat64(); sum < mean; sum += r.ExpFloat64() {
		k++
	}
	return k
}

// simulateCourse feeds one course to all detectors and returns the second in which each
// would have rolled it back, or -1 if it would not.
func simulateCourse(seed uint64, s scenario) (alarms []int) {
	r := rand.New(rand.NewPCG(seed, 11))
	var ws []detector
	for _, j := range detectors {
		ws = append(ws, j.make())
		alarms = append(alarms, -1)
	}
	for second := range len(shares)*stepSeconds + watchSeconds {
		step := min(second/stepSeconds, len(shares)-1)
		p, q := s.rates(second)
		b := judge.Block{New: poisson(r, requestsPerSecond*shares[step]), Old: poisson(r, requestsPerSecond*(1-shares[step]))}
		b.NewBad, b.OldBad = binomial(r, b.New, p), binomial(r, b.Old, q)
		for i, w := range ws {
			if alarms[i] < 0 && w.observe(second, b) {
				alarms[i] = second
			}
			if (second+1)%stepSeconds == 0 && second/stepSeconds < len(shares) {
				w.endStep()
			}
		}
	}
	return alarms
}

// simulateCourses simulates courses on all processors. Each course has its own seed, so
// the result does not depend on the number of processors.
func simulateCourses(courses int, s scenario) [][]int {
	all := make([][]int, courses)
	var running sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	for w := range workers {
		running.Go(func() {
			for i := w; i < courses; i += workers {
				all[i] = simulateCourse(uint64(i), s)
			}
		})
	}
	running.Wait()
	return all
}

var rate *float64 // requests per second with -loopback

func main() {
	courses := flag.Int("courses", 500, "courses per scenario")
	plots := flag.String("plots", "", "directory to write the plots to")
	loopback := flag.Bool("loopback", false, "run moves over real sockets instead")
	goodMoves := flag.Int("good", 4, "good moves to run with -loopback")
	flag.BoolVar(&onlyGood, "only-good", false, "with -loopback, skip the moves with faults")
	parallel := flag.Int("beside", 1, "good moves to run in parallel with -loopback")
	rate = flag.Float64("rate", 1100, "requests per second with -loopback, 1 to 20,000")
	whole := flag.Bool("whole", false, "simulate whole moves in virtual time instead, with all classes and fault types")
	flag.Parse()
	if !(*rate >= 1 && *rate <= 20000) {
		fmt.Fprintln(os.Stderr, "moves: -rate must be from 1 to 20,000")
		os.Exit(2)
	}
	run := func() error { return simulate(*courses, *plots) }
	if *whole {
		run = func() error { return simulateWholeMoves(*courses) }
	}
	if *loopback {
		run = func() error { return runLoopback(*goodMoves, *parallel) }
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "moves:", err)
		os.Exit(1)
	}
}

func simulate(courses int, plots string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	heading := func(first string) {
		fmt.Fprint(w, first)
		for _, j := range detectors {
			fmt.Fprintf(w, "\t%s", j.name)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "%d courses of %d s at %v requests a second\n\n", courses, len(shares)*stepSeconds+watchSeconds, requestsPerSecond)
	heading("GOOD POOLS UNDONE")
	undonePercent := make([][]float64, len(detectors)) // by detector and scenario
	for _, s := range goodScenarios {
		all := simulateCourses(courses, s)
		fmt.Fprint(w, s.name)
		for i := range detectors {
			n := 0
			for _, a := range all {
				if a[i] >= 0 {
					n++
				}
			}
			percent := 100 * float64(n) / float64(courses)
			undonePercent[i] = append(undonePercent[i], percent)
			fmt.Fprintf(w, "\t%.2f%%", percent)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w)
	heading("SECONDS TO UNDO, MEDIAN AND 95TH; MISSED")
	delays := make([][]float64, len(detectors)) // median in seconds, by detector and fault rate
	for _, size := range faultRates {
		all := simulateCourses(courses, scenario{rates: func(s int) (p, q float64) {
			if s < onsetSecond {
				return 0.001, 0.001
			}
			return size, 0.001
		}})
		fmt.Fprintf(w, "%g%%", 100*size)
		for i := range detectors {
			median, p95, missedPercent := detectionDelay(all, i)
			delays[i] = append(delays[i], median)
			fmt.Fprintf(w, "\t%.0f, %.0f; %.1f%%", median, p95, missedPercent)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	if plots == "" {
		return nil
	}
	return draw(plots, undonePercent, delays)
}

// detectionDelay summarises how long a detector took after the onset, in seconds. Courses
// rolled back before the onset are left out; courses never rolled back count as missed,
// with an infinite delay.
func detectionDelay(all [][]int, index int) (median, p95, missedPercent float64) {
	var took []float64
	n, missedCount := 0, 0
	for _, a := range all {
		switch at := a[index]; {
		case at >= 0 && at < onsetSecond:
			continue
		case at < 0:
			missedCount++
			took = append(took, math.Inf(1))
		default:
			took = append(took, float64(at-onsetSecond+1))
		}
		n++
	}
	if n == 0 {
		return math.NaN(), math.NaN(), 0
	}
	slices.Sort(took)
	return took[n/2], took[n*95/100], 100 * float64(missedCount) / float64(n)
}
