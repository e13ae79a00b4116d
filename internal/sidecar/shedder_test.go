package sidecar_test

import (
	"strings"
	"testing"
	"time"

	"spokegw/internal/lab/scene"
	"spokegw/internal/overload"
)

// Where ready work waits for long the worthiest are let in, what is refused is told when to
// come back and counted, paths that are nobody's are left to the usual way, and all are let
// in again when it waits no more.
func TestBrake(t *testing.T) {
	s := start(t, scene.Config{Operator: maps + contract("kiosks", 0.5, "service = 'maps'")})
	set := overload.Settings{Target: time.Millisecond, Interval: 2 * time.Millisecond}
	b := s.Sidecar.NewBrake(set)
	tell := func(waited time.Duration, times int) {
		for range times {
			<-time.After(set.Interval) // its own clock
			b.Tell(waited)
		}
	}
	if b.Active() {
		t.Error("it judges before anything waits")
	}
	tell(time.Second, 2)
	let := map[string]int{}
	var refused int
	for range 20 {
		for range 100 {
			for _, target := range []string{"/map-tile/1?user=k", "/status-report", "/nobody"} {
				if no, after := b.Refuse(target); !no {
					let[target]++
				} else if refused++; after <= 0 || after > 10*time.Second {
					t.Fatalf("come back after %v", after)
				}
			}
		}
		tell(time.Second, 1)
	}
	if let["/nobody"] != 2000 || let["/status-report"] < 2*let["/map-tile/1?user=k"] || refused < 1000 {
		t.Errorf("let in are %v, refused %d", let, refused)
	}
	if b.Delay() < 500*time.Millisecond {
		t.Errorf("ready work is said to wait for %v", b.Delay())
	}
	if text := must(t, s, "show-stat"); strings.Count(text, ".rejected:0|c") > 0 {
		t.Errorf("what is refused at the door is not counted:\n%s", text)
	}
	for until := time.Now().Add(patience); b.Active(); tell(0, 1) {
		if time.Now().After(until) {
			t.Fatal("it judges still")
		}
	}
}

// Without the section it is seen how long ready work waits, and nobody is refused for it.
func TestLookWithoutBrake(t *testing.T) {
	s := start(t, scene.Config{Operator: maps + contract("kiosks", 0.5, "service = 'maps'")})
	b := s.Sidecar.NewLook()
	b.Tell(time.Second)
	if b.Refuses() || b.Active() || b.Delay() < 500*time.Millisecond {
		t.Errorf("a door %v, judges %v, ready work is said to wait for %v", b.Refuses(), b.Active(), b.Delay())
	}
}

// The settings are checked, and can't be changed by a reload.
func TestBrakeSettings(t *testing.T) {
	s := start(t, scene.Config{Operator: maps + contract("kiosks", 0.5, "service = 'maps'") + "[overload]\n"})
	for text, want := range map[string]string{
		"":                               "overload",
		"[overload]\ntarget = '7ms'\n":   "overload",
		"[overload]\ntarget = '0s'\n":    "target",
		"[overload]\ninterval = '6ms'\n": "interval",
		"[overload]\nsoon = true\n":      "overload.soon",
	} {
		if err := s.Reload(maps + contract("kiosks", 0.5, "service = 'maps'") + text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, something of %q is expected", text, err, want)
		}
	}
	if a := ask(t, s, tile("kiosks")); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
}
