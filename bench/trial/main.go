// Command trial plays internal/lab/trial by hand: random faults over many real processes,
// or the scenes in which discovery falls silent, an endpoint drains and the calls after
// that fail in turn. It tells what was broken, by seed.
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
	program := flag.String("program", "bin/spokegw", "the sidecar's command")
	scenes := flag.Bool("scenes", false, "play the scenes of discovery, not random faults")
	seeds := flag.Int("seeds", 1, "how many seeds")
	first := flag.Uint64("first", 1, "the first seed")
	sidecars := flag.Int("sidecars", 24, "processes")
	lasts := flag.Duration("lasts", 60*time.Second, "of one seed")
	dir := flag.String("dir", "", "keeps the logs of seeds that break something; empty: nowhere")
	beside := flag.Int("beside", 1, "seeds or scenes that are played at once")
	cold := flag.Bool("cold", false, "endpoints that join are cold, some replace others under a burst, and what they are sent is judged")
	only := flag.String("only", "all", "numbers of the faults of random courses that are played, as course.txt has them")
	most := flag.Int("shrink", 0, "plays in which the form of a seed that broke a rule is made smaller, as long as it breaks it")
	flag.Parse()
	numbers, err := parseNumbers(*only)
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(2)
	}
	c := trial.Config{Only: numbers, Program: *program, Sidecars: *sidecars, Endpoints: 8, Clients: 3, Grace: time.Second, Lasts: *lasts, Seed: *first}
	var courses []trial.Config
	if *scenes {
		courses = sceneCourses(c)
	} else {
		for i := range *seeds {
			c.Seed = *first + uint64(i)
			c.Asked, c.Crowd = c.Seed%2 == 0, c.Seed%5 == 0
			if *cold {
				c.Cold = coldStart(c.Seed)
			}
			courses = append(courses, c)
		}
	}
	if playAll(courses, *beside, *dir, *most) > 0 {
		os.Exit(1)
	}
}

// coldStart draws what the settings tell of endpoints that have just started, as the platform does.
func coldStart(seed uint64) *lab.ColdStart {
	rng := rand.New(rand.NewPCG(seed, 45))
	return &lab.ColdStart{
		Time: 5*time.Second + time.Duration(rng.Int64N(int64(15*time.Second))), Least: 0.08 + 0.12*rng.Float64(),
		Multiple: 3, Span: time.Duration(1+rng.IntN(2)) * time.Second,
	}
}

// sceneCourses are all scenes: none to three calls refused, none to two cut off, in both
// orders, and answers that come at once or late.
func sceneCourses(c trial.Config) (all []trial.Config) {
	c.Endpoints, c.Clients, c.Lasts = 4, 4, 16*time.Second
	for _, asked := range []bool{true, false} {
		for _, slow := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
			for refused := range 4 {
				for cut := range 3 {
					faults := append(slices.Repeat([]trial.CallFault{trial.Refused}, refused), slices.Repeat([]trial.CallFault{trial.Cut}, cut)...)
					c.Asked, c.Scene = asked, &trial.Scene{Faults: faults, Slow: slow}
					c.Seed++
					all = append(all, c)
					if refused > 0 && cut > 0 {
						turned := slices.Clone(faults)
						slices.Reverse(turned)
						c.Scene = &trial.Scene{Faults: turned, Slow: slow}
						c.Seed++
						all = append(all, c)
					}
				}
			}
		}
	}
	return all
}

// playAll plays courses and returns how many broke something. It shrinks those in at most so many plays.
func playAll(courses []trial.Config, beside int, keep string, shrinkIn int) (failed int) {
	var mu sync.Mutex
	var going sync.WaitGroup
	places := make(chan struct{}, beside)
	for _, c := range courses {
		places <- struct{}{}
		going.Go(func() {
			defer func() { <-places }()
			broke, r := play(c, keep, &mu)
			if broke == unsure {
				fmt.Printf("seed %d: this machine was held up for longer than %v when a time was exceeded, and nothing else was broken; it is played again\n", c.Seed, permit.MaxStall)
				broke, r = play(c, keep, &mu)
			}
			if broke == broken && r != nil && shrinkIn > 0 {
				shrinkCourse(c, r, shrinkIn)
			}
			mu.Lock()
			defer mu.Unlock()
			if broke != none {
				failed++
			}
		})
	}
	going.Wait()
	fmt.Printf("%d of %d broke a rule\n", failed, len(courses))
	return failed
}

// outcome is what came of a course.
type outcome int

const (
	none   outcome = iota // no rule is broken
	unsure                // a time was exceeded, for which a hold-up of this machine may be the reason
	broken                // also what no hold-up can be the reason of
)

// of is the outcome that violations tell of.
func of(all []trial.Violation) outcome {
	switch {
	case slices.ContainsFunc(all, func(v trial.Violation) bool { return !v.HeldUp }):
		return broken
	case len(all) > 0:
		return unsure
	}
	return none
}

// play plays a course, and prints what came of it.
func play(c trial.Config, keep string, out *sync.Mutex) (outcome, *trial.Report) {
	var err error
	if c.Dir, err = os.MkdirTemp("", "trial-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return broken, nil
	}
	r, err := trial.Run(context.Background(), c)
	out.Lock()
	defer out.Unlock()
	if err != nil {
		fmt.Printf("seed %d: %v\n", c.Seed, err)
		return broken, nil
	}
	fmt.Printf("seed %d asked %t %s: %d requests, %d served, %d refused, %d failed, %d faults, %d calls, at most %d a second, held up %v at most: %s\n",
		c.Seed, c.Asked, scene(c, r), r.Asked, r.Served, r.Refused, r.Failed, len(r.Faults), r.Calls, r.MostCalls, r.Worst.Round(time.Millisecond), r.Summary())
	if len(r.Broken) == 0 || keep == "" {
		os.RemoveAll(c.Dir)
	}
	if len(r.Broken) == 0 {
		return none, r
	}
	for i, v := range r.Broken {
		if i == 12 {
			break
		}
		fmt.Printf("  %s: %s%s\n", v.Rule, v.What, map[bool]string{true: " (held up meanwhile)"}[v.HeldUp])
	}
	if keep != "" {
		tell(c, r, keep)
	}
	return of(r.Broken), r
}

// scene tells what a scripted course was, and when the drain was written to its sidecars.
func scene(c trial.Config, r *trial.Report) string {
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

// tell keeps the course of a seed beside the logs.
func tell(c trial.Config, r *trial.Report, keep string) {
	to := filepath.Join(keep, fmt.Sprint("seed-", c.Seed))
	if err := os.Rename(c.Dir, to); err != nil {
		to = c.Dir
	}
	text := ""
	for _, v := range r.Broken {
		text += fmt.Sprintf("%6.2f %s: %s\n", v.At.Seconds(), v.Rule, v.What)
	}
	for _, f := range r.Faults {
		text += f + "\n"
	}
	if err := os.WriteFile(filepath.Join(to, "course.txt"), []byte(text), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
