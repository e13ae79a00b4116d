package core

import (
	"context"
	"net/http"
	"testing"
	"time"

	"spokegw/internal/budget"
	"spokegw/internal/discovery"
	"spokegw/internal/figures"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// opened is a request of 30 ms, by a core of one service with one endpoint that nobody is at.
func opened(t *testing.T) *Exchange {
	t.Helper()
	s, err := NewService(ServiceConfig{
		Kinds: []string{"std"}, Rooms: []Room{{Bodies: budget.New(1<<20).Join(1, nil)}}, Seed: 1, Figures: figures.New(),
		Pool: upstream.NewPool(upstream.Shares{Slots: budget.New(4).Join(1, nil), Long: budget.New(1<<20).Join(1, nil)}, time.Second, time.Minute),
		Settings: Settings{Classes: []string{"tile"}, Policy: policy.Settings{
			FleetSize: 1, MaxAttempts: 3, Cancel: true, ConnIdle: time.Minute,
			Classes: []policy.Class{{Aim: time.Second, Deadline: time.Second, Worth: 1, LateWorth: 0.5}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.List([]discovery.Entry{{ID: "s-0", Addr: "127.0.0.1:1", Kind: "std", State: "active", Weight: 1}}, true)
	table, err := NewTable(false, Mount{Service: s, Classes: []Class{PlainClass("tile", policy.Repeatable)}})
	if err != nil {
		t.Fatal(err)
	}
	x, refused := New(table).Open(&Head{Method: "GET", Target: "/tile/1", Host: "b", Header: http.Header{"Req-Id": {"1"}, "Req-Deadline": {"30m"}}})
	if refused != nil {
		t.Fatal(refused)
	}
	return x
}

// A request in whose event the module panics is answered when its time is over, and its
// attempts, timers and room are given back.
func TestModulePanics(t *testing.T) {
	x := opened(t)
	x.request.Only = func(policy.Endpoint) bool { panic("in the module") }
	if a, err := x.Do(context.Background(), nil); a.Status != http.StatusGatewayTimeout || err != nil {
		t.Errorf("%d %v", a.Status, err)
	}
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.calls) != 0 || s.timers.queue.Len() != 0 || x.place.open.Load() != 0 {
		t.Errorf("%d calls, %d timers and %d requests of the class are left", len(s.calls), s.timers.queue.Len(), x.place.open.Load())
	}
}

// A client that has left before its request is taken is owed nothing, and the module does
// not hear of it.
func TestLeftBefore(t *testing.T) {
	x := opened(t)
	x.Leave()
	if a, err := x.Do(context.Background(), nil); err != ErrGone {
		t.Errorf("%d %v", a.Status, err)
	}
	if s := x.service; len(s.calls) != 0 || s.timers.queue.Len() != 0 || x.place.open.Load() != 0 {
		t.Errorf("%d calls and %d timers are left", len(s.calls), s.timers.queue.Len())
	}
}
