package main

import (
	"context"
	"os"
	"testing"
	"time"

	"spokegw/internal/lab/trial"
)

// Guards against broken files that are taken, whole ones that are turned down, hidden requests that run, and ids of
// open requests that are served.
func TestReloadsAndMisbehavingClients(t *testing.T) {
	r, err := trial.Run(context.Background(), trial.Config{
		Program: os.Args[0], Env: []string{"RUN_SPOKEGW=1"}, Dir: t.TempDir(), Sidecars: 3, Endpoints: 8, Clients: 3, Grace: time.Second,
		Lasts: 30 * time.Second, Seed: 94, Misbehaving: 2, Reloads: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range r.Faults {
		t.Log(f)
	}
	t.Logf("%d requests, %d served, %d refused, %d failed, held up %v at most", r.Asked, r.Served, r.Refused, r.Failed, r.Worst)
	for _, v := range r.Broken {
		if v.HeldUp {
			t.Logf("excused by a hold-up of %v: %s: %s", r.Worst, v.Rule, v.What)
			continue
		}
		t.Errorf("%s: %s", v.Rule, v.What)
	}
}
