package main

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"spokegw/internal/lab/pools"
	"spokegw/internal/moves"
)

// wholeMove is a scenario for a complete move, with all classes, fault types and steps.
type wholeMove struct {
	name   string
	course pools.Course
}

func fromNewPool(_ *pools.Play, s *moves.AttemptResult) bool { return s.New }
func always(*pools.Play, *moves.AttemptResult) bool          { return true }

func wholeMoveScenarios() []wholeMove {
	times := func(x float64) func(*pools.Play, *moves.AttemptResult) float64 {
		return func(_ *pools.Play, s *moves.AttemptResult) float64 {
			if s.New {
				return x
			}
			return 1
		}
	}
	surge := func(second int) float64 {
		if second >= 60 && second < 120 {
			return 1.5
		}
		return 1
	}
	return []wholeMove{
		{"good: both 0.1%", pools.Course{Bad: pools.Failing(0.001, always)}},
		{"good: both 0.4%", pools.Course{Bad: pools.Failing(0.004, always)}},
		{"good: both 2%", pools.Course{Bad: pools.Failing(0.02, always)}},
		{"good: a surge that slows both 2.2 times", pools.Course{Load: surge, Slower: func(p *pools.Play, _ *moves.AttemptResult) float64 { return surge(p.Second) * surge(p.Second) }}},
		{"good: 4 times as slow at first, for 10 s", pools.Course{Slower: func(p *pools.Play, s *moves.AttemptResult) float64 {
			if s.New {
				return 1 + 3*math.Exp(-(p.Now-p.Met).Seconds()/10)
			}
			return 1
		}}},
		{"good: one endpoint of five fails 30%", pools.Course{Bad: pools.Failing(0.3, func(_ *pools.Play, s *moves.AttemptResult) bool { return s.Endpoint == pools.Size+2 })}},
		{"good: within the margin, 1.1 times as slow", pools.Course{Slower: times(1.1)}},
		{"bad: errors, 20%", pools.Course{Bad: pools.Failing(0.2, fromNewPool)}},
		{"bad: errors, 5%", pools.Course{Bad: pools.Failing(0.05, fromNewPool)}},
		{"bad: errors, 2% of one class in ten", pools.Course{Bad: pools.Failing(0.02, func(_ *pools.Play, s *moves.AttemptResult) bool { return s.New && s.Class == 1 })}},
		{"bad: errors above 40% of the load, 10%", pools.Course{Bad: pools.Failing(0.1, func(p *pools.Play, s *moves.AttemptResult) bool { return s.New && p.Share() > 0.4 })}},
		{"bad: errors in the watch, 10%", pools.Course{Bad: pools.Failing(0.1, func(p *pools.Play, s *moves.AttemptResult) bool { return s.New && p.Progress().Phase == moves.Watching })}},
		{"bad: errors 10 s in 20, 10%", pools.Course{Bad: pools.Failing(0.1, func(p *pools.Play, s *moves.AttemptResult) bool { return s.New && p.Second/10%2 == 1 })}},
		{"bad: 1.3 times as slow", pools.Course{Slower: times(1.3)}},
		{"bad: 1.6 times as slow", pools.Course{Slower: times(1.6)}},
	}
}

// simulateWholeMoves simulates whole moves and prints their outcomes.
func simulateWholeMoves(courses int) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d moves of each kind, at %v requests a second\n\nNEW POOL\tTAKEN ON\tUNDONE\tNEITHER IN 2 H\tSECONDS, MEDIAN AND 95TH\tHARMED OF ALL, MEAN AND MOST\n", courses, requestsPerSecond)
	for _, m := range wholeMoveScenarios() {
		all := make([]*pools.Play, courses)
		var running sync.WaitGroup
		workers := runtime.GOMAXPROCS(0)
		for k := range workers {
			running.Go(func() {
				for i := k; i < courses; i += workers {
					c := m.course
					c.Seed, c.Rate, c.Seconds = uint64(i), requestsPerSecond, int(2*time.Hour/time.Second)
					all[i] = c.Run()
				}
			})
		}
		running.Wait()
		done, undone := 0, 0
		var took []int
		sum, most := 0.0, 0.0
		for _, p := range all {
			switch {
			case p.DoneAt >= 0:
				done++
			case p.UndoneAt >= 0:
				undone++
			}
			took = append(took, p.Second)
			percent := 100 * float64(p.Harmed) / float64(p.Asked)
			sum, most = sum+percent, max(most, percent)
		}
		slices.Sort(took)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d, %d\t%.3f%%, %.3f%%\n", m.name, done, undone, courses-done-undone, took[len(took)/2], took[len(took)*95/100], sum/float64(courses), most)
	}
	return w.Flush()
}
