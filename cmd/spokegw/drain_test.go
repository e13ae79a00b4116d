package main

import (
	"context"
	"os"
	"testing"
	"time"

	"spokegw/internal/lab/trial"
)

// A discovery watch falls silent, an endpoint begins to drain, and the following discovery calls are
// refused, cut off or slow (report 1e8dc4). No request must be sent to the endpoint after the drain
// grace period.
func TestDrainWithSilentWatchAndFailingCalls(t *testing.T) {
	refused, cut := trial.Refused, trial.Cut
	for i, c := range []struct {
		name   string
		polled bool
		faults []trial.CallFault
		slow   time.Duration
	}{
		{"asked, refused twice", true, []trial.CallFault{refused, refused}, 0},
		{"asked, refused three times and cut off twice", true, []trial.CallFault{refused, refused, refused, cut, cut}, 0},
		{"asked, each answer after 2.5 s", true, nil, 2500 * time.Millisecond},
		{"asked, cut off once, each answer after 1.5 s", true, []trial.CallFault{cut}, 1500 * time.Millisecond},
		{"pushed, each answer after 0.5 s", false, nil, 500 * time.Millisecond},
		{"pushed, refused, each answer after 2.5 s", false, []trial.CallFault{refused}, 2500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r, err := trial.Run(context.Background(), trial.Config{
				Program: os.Args[0], Env: []string{"RUN_SPOKEGW=1"}, Dir: t.TempDir(), Sidecars: 1, Endpoints: 4, Clients: 2,
				Asked: c.polled, Grace: time.Second, Lasts: 14 * time.Second, Seed: uint64(101 + i),
				Scene: &trial.Scene{Faults: c.faults, Slow: c.slow},
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests, %d served: %s", r.Asked, r.Served, r.Summary())
			for _, v := range r.Broken {
				if v.Rule == trial.Drain || v.Rule == trial.Crash || v.Rule == trial.Inside {
					t.Errorf("%s: %s", v.Rule, v.What)
				}
			}
			if r.Served < 100 || r.Unheard > 0 {
				t.Errorf("%d requests served, want at least 100; %d drains were never written to the sidecar", r.Served, r.Unheard)
			}
		})
	}
}
