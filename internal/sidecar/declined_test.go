package sidecar_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// attemptLog records the endpoints that received each request.
type attemptLog struct {
	mu        sync.Mutex
	byRequest map[string][]string
}

func (a *attemptLog) note(endpoint string) func(*http.Request) {
	return func(r *http.Request) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.byRequest[r.Header.Get("Req-Id")] = append(a.byRequest[r.Header.Get("Req-Id")], endpoint)
	}
}

// An endpoint with a full connection table declines each request, and another one fails each
// with the same status. A request that must not run twice is retried after the first, and never
// after the second; both get fewer and fewer requests, and an idle connection closed by its
// endpoint fails no request.
func TestDeclinedBesideFailed(t *testing.T) {
	seen := &attemptLog{byRequest: map[string][]string{}}
	bad := func(name string, declined bool) lab.EndpointConfig {
		return lab.EndpointConfig{Seen: seen.note(name), Answer: func(w http.ResponseWriter, _ *http.Request) bool {
			if declined {
				w.Header().Set("Srv-Declined", "1")
				w.Header().Set("Connection", "close") // its connection table is full
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}}
	}
	good := lab.EndpointConfig{Workers: 64, Body: 10, Seen: seen.note("good")}
	s := start(t, scene.Config{Maps: []lab.EndpointConfig{bad("full", true), bad("fails", false), good, good}})
	report := &lab.Load{Team: "patrols", Method: "POST", Path: "/closure", Kind: "closure"} // without a key
	if err := s.Retune(append(scene.Classes(scene.Config{Aim: 4 * time.Second, Deadline: 8 * time.Second}),
		scene.Class{"name": "closure", "effect": "non_idempotent", "worth": 1, "late_worth": 0.5, "aim_ms": 4000, "hard_limit_ms": 8000})...); err != nil {
		t.Fatal(err)
	}
	const requests = 300
	failed := 0
	for i := range requests {
		if a := ask(t, s, report); a.status != 200 {
			failed++
		}
		if i%20 == 0 { // the good ones close their idle connections
			s.Maps[2].Rest(false)
			s.Maps[3].Rest(false)
			for s.Maps[2].Open()+s.Maps[3].Open() > 0 {
				<-time.After(time.Millisecond)
			}
			s.Maps[2].Rest(true)
			s.Maps[3].Rest(true)
		}
	}
	received := map[string]int{}
	for id, endpoints := range seen.byRequest {
		for i, endpoint := range endpoints {
			received[endpoint]++
			if endpoint != "full" && i < len(endpoints)-1 {
				t.Errorf("request %s was retried after an attempt that may have run: %v", id, endpoints)
			}
		}
	}
	if failed != received["fails"] || len(seen.byRequest) != requests {
		t.Errorf("%d of %d failed, but %d were routed to the failing endpoint: %v", failed, len(seen.byRequest), received["fails"], received)
	}
	if received["full"] > requests/10 || received["fails"] > requests/10 {
		t.Errorf("too many requests to the bad endpoints: %v", received)
	}
}
