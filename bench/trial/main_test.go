package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"spokegw/internal/lab/trial"
)

// A stall of this machine excuses a time limit exceeded during it, but no other violation.
func TestOutcome(t *testing.T) {
	stalled, certain := trial.Violation{Rule: trial.Lost, HeldUp: true}, trial.Violation{Rule: trial.Lost}
	for _, c := range []struct {
		name string
		all  []trial.Violation
		want outcome
	}{
		{"no violation", nil, passed},
		{"late during a stall", []trial.Violation{stalled, stalled}, inconclusive},
		{"late during a stall and closed without an answer", []trial.Violation{stalled, certain}, failed},
		{"closed without an answer", []trial.Violation{certain}, failed},
	} {
		if got := outcomeOf(c.all); got != c.want {
			t.Errorf("%s: outcome %v, want %v", c.name, got, c.want)
		}
	}
}

// A rule that breaks only with faults 3 and 5 together, at least two sidecars and at least
// 14 s is reduced to about that from 24 faults.
func TestShrink(t *testing.T) {
	initial := variant{sidecars: 24, duration: time.Minute}
	for n := range 24 {
		initial.faults = append(initial.faults, n)
	}
	reproduces := func(f variant) ([]int, bool) {
		return f.faults, f.sidecars >= 2 && f.duration >= 14*time.Second && slices.Contains(f.faults, 3) && slices.Contains(f.faults, 5)
	}
	f, runs := shrink(initial, 100, reproduces)
	if f.sidecars != 3 || f.duration >= 19*time.Second || !slices.Equal(f.faults, []int{3, 5}) || runs >= 100 {
		t.Errorf("shrunk to %+v after %d runs", f, runs)
	}
	if f, runs = shrink(initial, 3, reproduces); runs != 3 || f.sidecars != 3 {
		t.Errorf("limited to three runs: %+v after %d", f, runs)
	}
	if f, _ = shrink(initial, 100, func(f variant) ([]int, bool) { return f.faults, false }); fmt.Sprint(f) != fmt.Sprint(initial) {
		t.Errorf("no smaller variant breaks the rule: shrunk to %+v", f)
	}
}

// Fault numbers survive formatting and parsing, so that the printed command reproduces a
// variant, also one without faults.
func TestFaultNumbersRoundTrip(t *testing.T) {
	for _, numbers := range [][]int{{}, {7}, {0, 3, 21}} {
		if got, err := parseFaults(formatFaults(numbers)); err != nil || got == nil || !slices.Equal(got, numbers) {
			t.Errorf("%v: %v, %v", numbers, got, err)
		}
	}
	if got, err := parseFaults("all"); got != nil || err != nil {
		t.Errorf("all: %v, %v", got, err)
	}
	if _, err := parseFaults("3,x"); err == nil {
		t.Error("a field that is not a number was accepted")
	}
}
