package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"spokegw/internal/lab/trial"
)

// A hold-up of this machine excuses what came late in it, and not what was broken besides.
func TestOutcome(t *testing.T) {
	late, sure := trial.Violation{Rule: trial.Lost, HeldUp: true}, trial.Violation{Rule: trial.Lost}
	for _, c := range []struct {
		is   string
		all  []trial.Violation
		want outcome
	}{
		{"nothing", nil, none},
		{"late in a hold-up", []trial.Violation{late, late}, unsure},
		{"closed without an answer beside it", []trial.Violation{late, sure}, broken},
		{"closed without an answer", []trial.Violation{sure}, broken},
	} {
		if got := of(c.all); got != c.want {
			t.Errorf("%s: %v, %v is expected", c.is, got, c.want)
		}
	}
}

// A rule that is broken by the faults 3 and 5 together, with two sidecars and within 14 s, is found so among 24 faults.
func TestShrink(t *testing.T) {
	begun := form{sidecars: 24, lasts: time.Minute}
	for n := range 24 {
		begun.faults = append(begun.faults, n)
	}
	breaks := func(f form) ([]int, bool) {
		return f.faults, f.sidecars >= 2 && f.lasts >= 14*time.Second && slices.Contains(f.faults, 3) && slices.Contains(f.faults, 5)
	}
	f, plays := shrink(begun, 100, breaks)
	if f.sidecars != 3 || f.lasts >= 19*time.Second || !slices.Equal(f.faults, []int{3, 5}) || plays >= 100 {
		t.Errorf("%+v after %d plays", f, plays)
	}
	if f, plays = shrink(begun, 3, breaks); plays != 3 || f.sidecars != 3 {
		t.Errorf("in three plays: %+v after %d", f, plays)
	}
	if f, _ = shrink(begun, 100, func(f form) ([]int, bool) { return f.faults, false }); fmt.Sprint(f) != fmt.Sprint(begun) {
		t.Errorf("where nothing smaller breaks it: %+v", f)
	}
}

// A form is played again by the command that is printed, also with none of its faults.
func TestNumbersOfFaults(t *testing.T) {
	for _, numbers := range [][]int{{}, {7}, {0, 3, 21}} {
		if got, err := parseNumbers(formatNumbers(numbers)); err != nil || got == nil || !slices.Equal(got, numbers) {
			t.Errorf("%v: %v, %v", numbers, got, err)
		}
	}
	if got, err := parseNumbers("all"); got != nil || err != nil {
		t.Errorf("all: %v, %v", got, err)
	}
	if _, err := parseNumbers("3,x"); err == nil {
		t.Error("what is no number is taken")
	}
}
