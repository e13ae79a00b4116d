package main

import (
	"path/filepath"
	"strings"
	"testing"
)

// A count above the budget and its margin is an error that names the exchange and the
// count. A count within the margin is no error, nor is any count of the splice.
func TestCheckBudgetReportsExceededCounts(t *testing.T) {
	file := filepath.Join(t.TempDir(), "budget.json")
	base := row{"map-tile 0", "sidecar", counts{Allocations: 90, Reads: 5, Writes: 2, Goroutines: 2}}
	if err := writeBudget(file, []row{base, {"map-tile 0", "splice", counts{Reads: 99}}}); err != nil {
		t.Fatal(err)
	}
	within := base
	within.Allocations, within.Reads, within.CPU, within.Bytes = 100, 5.9, 1e6, 1e6
	if err := checkBudget(file, []row{within, {"map-tile 0", "splice", counts{Writes: 99}}}); err != nil {
		t.Errorf("within the margin: %v", err)
	}
	over := base
	over.Allocations, over.Goroutines = 102, 3
	err := checkBudget(file, []row{over, {"new", "sidecar", counts{}}})
	for _, want := range []string{"map-tile 0: 102.00 allocations", "3.00 goroutines", `has no "new"`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not contain %q", err, want)
		}
	}
	if err != nil && strings.Contains(err.Error(), "writes") {
		t.Errorf("error %v names writes, which are within the budget", err)
	}
}

// Each request of a series has its own id and idempotency key, and the endpoint reads a
// request body completely wherever it is split.
func TestDriveUsesNewIDs(t *testing.T) {
	for _, x := range exchanges {
		e, err := startEndpoint(x.responseBytes)
		if err != nil {
			t.Fatal(err)
		}
		var c client
		c.buildRequest(x)
		if want := 1 + strings.Count(x.method, "POST"); len(c.ids) != want {
			t.Errorf("%s: %d ids in a request, want %d", x.name, len(c.ids), want)
		}
		if _, err := drive(x, e.Addr().String(), 20); err != nil {
			t.Errorf("%s: %v", x.name, err)
		}
		e.Close()
	}
}
