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

// form is how much of a seed's course is played.
type form struct {
	sidecars int
	lasts    time.Duration
	faults   []int // their numbers
}

// leastLasts is the time in which a course has room for a fault.
const leastLasts = trial.QuietEnd + 2*time.Second

// smaller are forms with less than this one, those with the least first: half of the sidecars, half of
// the time, and the faults without half of them, a quarter, and so on.
func (f form) smaller() (all []form) {
	if f.sidecars > 1 {
		all = append(all, form{f.sidecars / 2, f.lasts, f.faults})
	}
	if shorter := trial.QuietEnd + (f.lasts-trial.QuietEnd)/2; shorter >= leastLasts {
		all = append(all, form{f.sidecars, shorter, f.faults})
	}
	n := len(f.faults)
	for size := (n + 1) / 2; size > 0; size /= 2 {
		for from := 0; from < n; from += size {
			all = append(all, form{f.sidecars, f.lasts, slices.Delete(slices.Clone(f.faults), from, min(from+size, n))})
		}
	}
	return all
}

// shrink plays smaller forms of one that broke a rule, most plays in all, and returns the smallest that
// broke it, too, and how many were played. breaks plays one, and tells the faults that it came to. A
// form that breaks the rule only at times may be passed over.
func shrink(f form, most int, breaks func(form) (came []int, broke bool)) (smallest form, plays int) {
	tried := map[string]bool{}
next:
	for _, s := range f.smaller() {
		if key := fmt.Sprint(s); plays < most && !tried[key] {
			tried[key] = true
			plays++
			if came, broke := breaks(s); broke {
				f = form{s.sidecars, s.lasts, came}
				goto next
			}
		}
	}
	return f, plays
}

// shrinkCourse shrinks a course that broke a rule, and prints the smallest form that did.
func shrinkCourse(c trial.Config, r *trial.Report, most int) {
	i := slices.IndexFunc(r.Broken, func(v trial.Violation) bool { return !v.HeldUp })
	if i < 0 || c.Scene != nil {
		return
	}
	rule := r.Broken[i].Rule
	f, plays := shrink(form{c.Sidecars, c.Lasts, r.Played}, most, func(f form) ([]int, bool) { return breaks(c, f, rule) })
	fmt.Printf("seed %d broke %s, and in %d plays of smaller forms last in this one: go run ./bench/trial -program %s -first %d -sidecars %d -lasts %v -only %q%s\n",
		c.Seed, rule, plays, c.Program, c.Seed, f.sidecars, f.lasts, formatNumbers(f.faults), map[bool]string{true: " -cold"}[c.Cold != nil])
}

// breaks plays a form of a course. It returns the numbers of its faults, and whether it broke a rule.
func breaks(c trial.Config, f form, rule trial.Rule) (faults []int, broke bool) {
	c.Sidecars, c.Lasts, c.Only = f.sidecars, f.lasts, f.faults
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

func formatNumbers(numbers []int) string {
	text := []string{}
	for _, n := range numbers {
		text = append(text, strconv.Itoa(n))
	}
	return strings.Join(text, ",")
}

// parseNumbers reads what formatNumbers wrote; "all" is nil.
func parseNumbers(text string) ([]int, error) {
	numbers := []int{}
	if text == "all" {
		return nil, nil
	}
	for field := range strings.FieldsFuncSeq(text, func(r rune) bool { return r == ',' }) {
		n, err := strconv.Atoi(field)
		if err != nil {
			return nil, fmt.Errorf("numbers of faults: %w", err)
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}
