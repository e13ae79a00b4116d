package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"spokegw/internal/lab/trial"
)

// variant is the part of a seed's course that is run.
type variant struct {
	sidecars int
	duration time.Duration
	faults   []int // by number
}

// minDuration is the shortest course with time for a fault.
const minDuration = trial.QuietEnd + 2*time.Second

// smaller returns reduced variants, those with the largest reduction first: half of the
// sidecars, half of the time, and the faults without half of them, a quarter, and so on.
func (f variant) smaller() (all []variant) {
	if f.sidecars > 1 {
		all = append(all, variant{f.sidecars / 2, f.duration, f.faults})
	}
	if shorter := trial.QuietEnd + (f.duration-trial.QuietEnd)/2; shorter >= minDuration {
		all = append(all, variant{f.sidecars, shorter, f.faults})
	}
	n := len(f.faults)
	for size := (n + 1) / 2; size > 0; size /= 2 {
		for from := 0; from < n; from += size {
			all = append(all, variant{f.sidecars, f.duration, slices.Delete(slices.Clone(f.faults), from, min(from+size, n))})
		}
	}
	return all
}

// shrink runs smaller variants of one that broke a rule, at most maxRuns in all. It returns
// the smallest that also broke it, and the number of runs. reproduces runs a variant and
// returns the faults that were injected in it. A variant that breaks the rule only
// intermittently may be missed.
func shrink(f variant, maxRuns int, reproduces func(variant) (played []int, reproduced bool)) (smallest variant, runs int) {
	tried := map[string]bool{}
next:
	for _, s := range f.smaller() {
		if key := fmt.Sprint(s); runs < maxRuns && !tried[key] {
			tried[key] = true
			runs++
			if played, reproduced := reproduces(s); reproduced {
				f = variant{s.sidecars, s.duration, played}
				goto next
			}
		}
	}
	return f, runs
}

// shrinkCourse shrinks a course that broke a rule and prints the smallest variant that does.
func shrinkCourse(c trial.Config, r *trial.Report, maxRuns int) {
	i := slices.IndexFunc(r.Broken, func(v trial.Violation) bool { return !v.HeldUp })
	if i < 0 || c.Scene != nil {
		return
	}
	rule := r.Broken[i].Rule
	f, runs := shrink(variant{c.Sidecars, c.Lasts, r.Played}, maxRuns, func(f variant) ([]int, bool) { return reproduces(c, f, rule) })
	fmt.Printf("seed %d broke %s; after %d runs of smaller variants, the smallest that does: go run ./bench/trial -program %s -first %d -sidecars %d -lasts %v -only %q%s\n",
		c.Seed, rule, runs, c.Program, c.Seed, f.sidecars, f.duration, formatFaults(f.faults), map[bool]string{true: " -cold"}[c.Cold != nil])
}

// reproduces runs a variant of a course. It returns the numbers of the injected faults and
// whether the variant broke the given rule.
func reproduces(c trial.Config, f variant, rule trial.Rule) (faults []int, reproduced bool) {
	c.Sidecars, c.Lasts, c.Only = f.sidecars, f.duration, f.faults
	var err error
	if c.Dir, err = os.MkdirTemp("", "trial-"); err != nil {
		return nil, false
	}
	defer os.RemoveAll(c.Dir)
	r, err := trial.Run(context.Background(), c)
	if err != nil {
		return nil, false
	}
	return r.Played, slices.ContainsFunc(r.Broken, func(v trial.Violation) bool { return v.Rule == rule && !v.HeldUp })
}

func formatFaults(numbers []int) string {
	text := []string{}
	for _, n := range numbers {
		text = append(text, strconv.Itoa(n))
	}
	return strings.Join(text, ",")
}

// parseFaults parses the format of formatFaults; "all" gives nil.
func parseFaults(text string) ([]int, error) {
	numbers := []int{}
	if text == "all" {
		return nil, nil
	}
	for field := range strings.FieldsFuncSeq(text, func(r rune) bool { return r == ',' }) {
		n, err := strconv.Atoi(field)
		if err != nil {
			return nil, fmt.Errorf("parse fault numbers: %w", err)
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}
