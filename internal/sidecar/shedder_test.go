package sidecar_test

import (
	"strings"
	"testing"
	"time"

	"spokegw/internal/lab/scene"
	"spokegw/internal/overload"
)

// Under a scheduling delay, requests of greater worth are admitted more often, refused ones get
// a retry delay and are counted, unknown paths are answered as usual, and once the delay is
// gone all requests are admitted.
func TestShedding(t *testing.T) {
	s := start(t, scene.Config{Operator: maps + contract("kiosks", 0.5, "service = 'maps'")})
	settings := overload.Settings{Target: time.Millisecond, Interval: 2 * time.Millisecond}
	shedder := s.Sidecar.NewShedder(settings)
	record := func(delay time.Duration, times int) {
		for range times {
			<-time.After(settings.Interval) // the shedder reads the real clock
			shedder.Record(delay)
		}
	}
	if shedder.Active() {
		t.Error("shedding is active before any delay")
	}
	record(time.Second, 2)
	admitted := map[string]int{}
	var refused int
	for range 20 {
		for range 100 {
			for _, target := range []string{"/map-tile/1?user=k", "/status-report", "/nobody"} {
				if refuse, after := shedder.Refuse(target); !refuse {
					admitted[target]++
				} else if refused++; after <= 0 || after > 10*time.Second {
					t.Fatalf("a refused request has a retry delay of %v", after)
				}
			}
		}
		record(time.Second, 1)
	}
	if admitted["/nobody"] != 2000 || admitted["/status-report"] < 2*admitted["/map-tile/1?user=k"] || refused < 1000 {
		t.Errorf("admitted %v, refused %d", admitted, refused)
	}
	if shedder.Delay() < 500*time.Millisecond {
		t.Errorf("the scheduling delay is reported as %v", shedder.Delay())
	}
	if text := must(t, s, "show-stat"); strings.Count(text, ".rejected:0|c") > 0 {
		t.Errorf("requests refused at admission are not counted:\n%s", text)
	}
	for until := time.Now().Add(testTimeout); shedder.Active(); record(0, 1) {
		if time.Now().After(until) {
			t.Fatal("shedding is still active")
		}
	}
}

// Without an overload section, the scheduling delay is measured but no request is refused.
func TestDelayWithoutShedding(t *testing.T) {
	s := start(t, scene.Config{Operator: maps + contract("kiosks", 0.5, "service = 'maps'")})
	sampler := s.Sidecar.NewSampler()
	sampler.Record(time.Second)
	if sampler.HasAdmission() || sampler.Active() || sampler.Delay() < 500*time.Millisecond {
		t.Errorf("admission check %v, shedding %v, reported scheduling delay %v", sampler.HasAdmission(), sampler.Active(), sampler.Delay())
	}
}

// The settings are validated, and a reload can't change them.
func TestOverloadSettings(t *testing.T) {
	s := start(t, scene.Config{Operator: maps + contract("kiosks", 0.5, "service = 'maps'") + "[overload]\n"})
	for text, want := range map[string]string{
		"":                               "overload",
		"[overload]\ntarget = '7ms'\n":   "overload",
		"[overload]\ntarget = '0s'\n":    "target",
		"[overload]\ninterval = '6ms'\n": "interval",
		"[overload]\nsoon = true\n":      "overload.soon",
	} {
		if err := s.Reload(maps + contract("kiosks", 0.5, "service = 'maps'") + text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one containing %q", text, err, want)
		}
	}
	if a := ask(t, s, tile("kiosks")); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
}
