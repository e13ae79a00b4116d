// Command trial runs internal/lab/trial from the command line: random faults over many real
// processes, or scripted scenes in which discovery falls silent, an endpoint drains and the
// following calls to discovery fail. It reports the broken rules by seed.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/trial"
	"spokegw/internal/permit"
)

func main() {
	program := flag.String("program", "bin/spokegw", "path of the sidecar binary")
	scenes := flag.Bool("scenes", false, "run the scripted discovery scenes instead of random faults")
	seeds := flag.Int("seeds", 1, "number of seeds")
	first := flag.Uint64("first", 1, "first seed")
	sidecars := flag.Int("sidecars", 24, "processes")
	clients := flag.Int("clients", 3, "clients of each process")
	duration := flag.Duration("lasts", 60*time.Second, "duration of one seed")
	dir := flag.String("dir", "", "directory for the logs of seeds that break a rule; empty: logs are deleted")
	parallel := flag.Int("beside", 1, "seeds or scenes to run in parallel")
	cold := flag.Bool("cold", false, "joining endpoints are cold, some replace others under a burst, and the load on them is checked")
	only := flag.String("only", "all", "numbers of the faults to inject in random courses, as in course.txt")
	stops := flag.String("stops", "", "play only planned stops, of which some meet endpoints that hang: restarts, upgrades or both")
	uploaders := flag.Int("uploads", 0, "number of processes with a client that sends long bodies, while endpoints hang, read slowly or reset in the middle of them")
	readers := flag.Int("answers", 0, "number of processes with a client that asks for answers which are written slowly, among crowds of slow clients and endpoints replaced at their addresses")
	misbehaving := flag.Int("misbehaving", 0, "number of processes with a client that hides requests in others and sends the ids of open ones")
	reloads := flag.Bool("reloads", false, "configurations change at SIGHUP, and some are broken")
	shrinkRuns := flag.Int("shrink", 0, "maximum number of runs to shrink a seed that broke a rule to a smaller variant that still breaks it")
	flag.Parse()
	faults, err := parseFaults(*only)
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(2)
	}
	c := trial.Config{Only: faults, Program: *program, Sidecars: *sidecars, Endpoints: 8, Clients: *clients, Grace: time.Second, Lasts: *duration, Seed: *first, Stops: stopKinds[*stops], Uploaders: *uploaders, Readers: *readers, Misbehaving: *misbehaving, Reloads: *reloads}
	if _, known := stopKinds[*stops]; !known {
		fmt.Fprintln(os.Stderr, "trial: -stops is restarts, upgrades or both")
		os.Exit(2)
	}
	var courses []trial.Config
	if *scenes {
		courses = sceneCourses(c)
	} else {
		for i := range *seeds {
			c.Seed = *first + uint64(i)
			c.Asked, c.Crowd = c.Seed%2 == 0, c.Seed%5 == 0
			if c.OrderDeadline = 0; c.Seed%3 == 0 {
				c.OrderDeadline = longOrderDeadline
			}
			if *cold {
				c.Cold = drawColdStart(c.Seed)
			}
			courses = append(courses, c)
		}
	}
	if runAll(courses, *parallel, *dir, *shrinkRuns) > 0 {
		os.Exit(1)
	}
}

// stopKinds are the values of -stops.
var stopKinds = map[string]trial.StopKind{"": 0, "restarts": trial.Restarts, "upgrades": trial.Upgrades, "both": trial.Restarts | trial.Upgrades}

// longOrderDeadline is the deadline of unsafe requests in a third of the seeds: it lies behind the kill of
// a process that is stopped when they arrive.
const longOrderDeadline = 5 * time.Second

// drawColdStart draws the cold start settings of endpoints, in the ranges of the platform.
func drawColdStart(seed uint64) *lab.ColdStart {
	rng := rand.New(rand.NewPCG(seed, 45))
	return &lab.ColdStart{
		Time: 5*time.Second + time.Duration(rng.Int64N(int64(15*time.Second))), Least: 0.08 + 0.12*rng.Float64(),
		Multiple: 3, Span: time.Duration(1+rng.IntN(2)) * time.Second,
	}
}

// sceneCourses returns all scenes: up to three calls refused and up to two cut off, in both
// orders, with prompt and delayed answers, and with discovery polled and pushed.
func sceneCourses(c trial.Config) (all []trial.Config) {
	c.Endpoints, c.Clients, c.Lasts = 4, 4, 16*time.Second
	for _, polled := range []bool{true, false} {
		for _, slow := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
			for refused := range 4 {
				for cut := range 3 {
					faults := append(slices.Repeat([]trial.CallFault{trial.Refused}, refused), slices.Repeat([]trial.CallFault{trial.Cut}, cut)...)
					c.Asked, c.Scene = polled, &trial.Scene{Faults: faults, Slow: slow}
					c.Seed++
					all = append(all, c)
					if refused > 0 && cut > 0 {
						reversed := slices.Clone(faults)
						slices.Reverse(reversed)
						c.Scene = &trial.Scene{Faults: reversed, Slow: slow}
						c.Seed++
						all = append(all, c)
					}
				}
			}
		}
	}
	return all
}

// runAll runs courses and returns how many failed. It shrinks each of those in at most
// shrinkRuns runs.
func runAll(courses []trial.Config, parallel int, keepDir string, shrinkRuns int) (failures int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, c := range courses {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			result, r := runCourse(c, keepDir, &mu)
			if result == inconclusive {
				fmt.Printf("seed %d: this machine stalled for longer than %v when a time limit was exceeded, and no other rule was broken; running it again\n", c.Seed, permit.MaxStall)
				result, r = runCourse(c, keepDir, &mu)
			}
			if result == failed && r != nil && shrinkRuns > 0 {
				shrinkCourse(c, r, shrinkRuns)
			}
			mu.Lock()
			defer mu.Unlock()
			if result != passed {
				failures++
			}
		})
	}
	running.Wait()
	fmt.Printf("%d of %d broke a rule\n", failures, len(courses))
	return failures
}

// outcome is the result of a course.
type outcome int

const (
	passed       outcome = iota // no rule is broken
	inconclusive                // only time limits were exceeded, possibly because this machine stalled
	failed                      // at least one violation cannot be due to a stall of this machine
)

// outcomeOf derives the outcome of a course from its violations.
func outcomeOf(all []trial.Violation) outcome {
	switch {
	case slices.ContainsFunc(all, func(v trial.Violation) bool { return !v.HeldUp }):
		return failed
	case len(all) > 0:
		return inconclusive
	}
	return passed
}

// runCourse runs a course and prints its result.
func runCourse(c trial.Config, keepDir string, printing *sync.Mutex) (outcome, *trial.Report) {
	var err error
	if c.Dir, err = os.MkdirTemp("", "trial-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed, nil
	}
	r, err := trial.Run(context.Background(), c)
	printing.Lock()
	defer printing.Unlock()
	if err != nil {
		fmt.Printf("seed %d: %v\n", c.Seed, err)
		return failed, nil
	}
	fmt.Printf("seed %d asked %t %s: %d requests, %d uploads and %d slow answers, %d served, %d refused, %d failed, %d faults, %d calls, at most %d a second, held up %v at most, %s: %s\n",
		c.Seed, c.Asked, describeCourse(c, r), r.Asked, r.Uploads, r.Reads, r.Served, r.Refused, r.Failed, len(r.Faults), r.Calls, r.MostCalls, r.Worst.Round(time.Millisecond), describeStops(r), r.Summary())
	if len(r.Broken) == 0 || keepDir == "" {
		os.RemoveAll(c.Dir)
	}
	if len(r.Broken) == 0 {
		return passed, r
	}
	for i, v := range r.Broken {
		if i == 12 {
			break
		}
		fmt.Printf("  %s: %s%s\n", v.Rule, v.What, map[bool]string{true: " (held up meanwhile)"}[v.HeldUp])
	}
	if keepDir != "" {
		keepReport(c, r, keepDir)
	}
	return outcomeOf(r.Broken), r
}

// describeStops describes the planned ends of processes in a run.
func describeStops(r *trial.Report) string {
	upgrades, killed, longest := 0, 0, time.Duration(0)
	for _, s := range r.Stops {
		if s.Upgrade {
			upgrades++
		}
		if s.Killed {
			killed++
		}
		longest = max(longest, s.Took)
	}
	return fmt.Sprintf("%d upgrades, %d restarts, %d killed, longest %v, %d met a close", upgrades, len(r.Stops)-upgrades, killed, longest.Round(time.Millisecond), r.Doors)
}

// describeCourse describes a course; for a scene also when the drain was sent to its sidecars.
func describeCourse(c trial.Config, r *trial.Report) string {
	if c.Scene == nil && c.Cold == nil {
		return fmt.Sprint(c.Sidecars, " sidecars")
	}
	if c.Scene == nil {
		return fmt.Sprintf("%d sidecars, %d cold endpoints, sent %.2f of what they may be at most", c.Sidecars, r.Cold, r.Used)
	}
	worst := trial.Lateness{}
	for _, l := range r.Late {
		worst.Last, worst.After = max(worst.Last, l.Last), worst.After+l.After
	}
	return fmt.Sprintf("faults %v slow %v: heard %v, last sent %v after the drain, %d after the grace", c.Scene.Faults, c.Scene.Slow, r.Heard, worst.Last.Round(10*time.Millisecond), worst.After)
}

// keepReport moves the logs of a seed to keepDir and writes its violations and faults there.
func keepReport(c trial.Config, r *trial.Report, keepDir string) {
	dst := filepath.Join(keepDir, fmt.Sprint("seed-", c.Seed))
	if err := os.Rename(c.Dir, dst); err != nil {
		dst = c.Dir
	}
	text := ""
	for _, v := range r.Broken {
		text += fmt.Sprintf("%6.2f %s: %s\n", v.At.Seconds(), v.Rule, v.What)
	}
	for _, f := range r.Faults {
		text += f + "\n"
	}
	if err := os.WriteFile(filepath.Join(dst, "course.txt"), []byte(text), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
