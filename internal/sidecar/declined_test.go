package sidecar_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// attempts counts by request where it went.
type attempts struct {
	mu sync.Mutex
	by map[string][]string
}

func (a *attempts) note(endpoint string) func(*http.Request) {
	return func(r *http.Request) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.by[r.Header.Get("Req-Id")] = append(a.by[r.Header.Get("Req-Id")], endpoint)
	}
}

// An endpoint whose connection table is full, which turns each request away, stands
// beside one that fails with the same status. A request that may have no effect twice
// goes on from the first, and never from the second; both are met less and less, and
// no connection that an endpoint ended while it was idle costs a request.
func TestTurnedAwayBesideFailed(t *testing.T) {
	seen := &attempts{by: map[string][]string{}}
	bad := func(name string, declined bool) lab.EndpointConfig {
		return lab.EndpointConfig{Seen: seen.note(name), Answer: func(w http.ResponseWriter, _ *http.Request) bool {
			if declined {
				w.Header().Set("Srv-Declined", "1")
				w.Header().Set("Connection", "close") // its table is full
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}}
	}
	good := lab.EndpointConfig{Workers: 64, Body: 10, Seen: seen.note("good")}
	s := start(t, scene.Config{Maps: []lab.EndpointConfig{bad("full", true), bad("fails", false), good, good}})
	report := &lab.Load{Team: "patrols", Method: "POST", Path: "/closure", Kind: "closure"} // with no key
	if err := s.Retune(append(scene.Classes(scene.Config{Aim: 4 * time.Second, Deadline: 8 * time.Second}),
		scene.Class{"name": "closure", "effect": "non_idempotent", "worth": 1, "late_worth": 0.5, "aim_ms": 4000, "hard_limit_ms": 8000})...); err != nil {
		t.Fatal(err)
	}
	const asked = 300
	failed := 0
	for i := range asked {
		if a := ask(t, s, report); a.status != 200 {
			failed++
		}
		if i%20 == 0 { // the good ones end what is idle
			s.Maps[2].Rest(false)
			s.Maps[3].Rest(false)
			for s.Maps[2].Open()+s.Maps[3].Open() > 0 {
				<-time.After(time.Millisecond)
			}
			s.Maps[2].Rest(true)
			s.Maps[3].Rest(true)
		}
	}
	met := map[string]int{}
	for id, where := range seen.by {
		for i, w := range where {
			met[w]++
			if w != "full" && i < len(where)-1 {
				t.Errorf("request %s went on after one that may have run: %v", id, where)
			}
		}
	}
	if failed != met["fails"] || len(seen.by) != asked {
		t.Errorf("%d of %d failed, and %d met the endpoint that fails: %v", failed, len(seen.by), met["fails"], met)
	}
	if met["full"] > asked/10 || met["fails"] > asked/10 {
		t.Errorf("met were %v", met)
	}
}
