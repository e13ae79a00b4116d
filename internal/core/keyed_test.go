package core

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"spokegw/internal/budget"
	"spokegw/internal/discovery"
	"spokegw/internal/figures"
	"spokegw/internal/keyed"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// A retry of a keyed request is decided within the deduplication window but delayed until the
// window ends. It must not be sent, since the endpoint would run it a second time.
func TestRepeatNotSentAfterWindow(t *testing.T) {
	const window = time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	received := make(chan time.Time, 10)
	go func() { // runs each request and then closes the connection
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				received <- time.Now()
			}
			c.Close()
		}
	}()
	s, err := NewService(ServiceConfig{
		Kinds: []string{"std"}, Limits: []FrontLimits{{Bodies: budget.New(1<<20).Join(1, nil)}}, Seed: 1, Figures: figures.New(),
		Pool: upstream.NewPool(upstream.Resources{Slots: budget.New(4).Join(1, nil), StreamBytes: budget.New(1<<20).Join(1, nil)}, 10*time.Second, time.Minute),
		Settings: Settings{Classes: []string{"order"}, Policy: policy.Settings{
			FleetSize: 1, MaxAttempts: 3, Cancel: true, ConnIdleTimeout: time.Minute,
			Classes: []policy.Class{{Aim: 10 * time.Second, Deadline: 20 * time.Second, Worth: 1, Effect: policy.Keyed, DedupWindow: window}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	tries := 0
	s.SetKeyWriter(func(ctx context.Context, n keyed.Note) error {
		if tries++; tries == 2 { // delayed until the end of the window
			<-time.After(n.Window - n.Age)
		}
		return nil
	})
	s.UpdateEndpoints([]discovery.Entry{{ID: "s-0", Addr: l.Addr().String(), Kind: "std", State: "active", Weight: 1}}, true)
	table, err := NewTable(false, Mount{Service: s, Classes: []Class{DefaultClass("order", policy.Keyed)}})
	if err != nil {
		t.Fatal(err)
	}
	x, refused := New(table).Open(&Head{Method: "POST", Target: "/order", Host: "b",
		Header: http.Header{"Req-Id": {"1"}, "Req-Deadline": {"20000m"}, "Idempotency-Key": {"k"}}})
	if refused != nil {
		t.Fatal(refused)
	}
	a, err := x.Do(context.Background(), nil)
	if err != nil || a.Status == http.StatusOK {
		t.Errorf("answered %d, %v", a.Status, err)
	}
	if tries < 2 {
		t.Fatalf("%d attempts were decided on", tries)
	}
	first := <-received
	for len(received) > 0 {
		if repeat := <-received; repeat.Sub(first) > window {
			t.Errorf("it was sent again %v after the first time, the window is %v", repeat.Sub(first), window)
		}
	}
}
