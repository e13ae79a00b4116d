package main

import (
	"testing"

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
