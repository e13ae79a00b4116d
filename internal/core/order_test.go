package core

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"spokegw/internal/budget"
	"spokegw/internal/discovery"
	"spokegw/internal/figures"
	"spokegw/internal/keyed"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// silent is an endpoint that gets requests and answers none. came has when each came.
func silent(t *testing.T) (addr string, came chan time.Time) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	came = make(chan time.Time, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					came <- time.Now()
				}
			}()
		}
	}()
	return l.Addr().String(), came
}

// orders is a core of keyed requests to endpoints of one group.
func orders(t *testing.T, window, aim time.Duration, addrs ...string) (*Core, *Service) {
	t.Helper()
	s, err := NewService(ServiceConfig{
		Kinds: []string{"std"}, Rooms: []Room{{Bodies: budget.New(1<<20).Join(1, nil)}}, Seed: 1, Figures: figures.New(),
		Pool: upstream.NewPool(upstream.Shares{Slots: budget.New(4).Join(1, nil), Long: budget.New(1<<20).Join(1, nil)}, 10*time.Second, time.Minute),
		Settings: Settings{Classes: []string{"order"}, Policy: policy.Settings{
			FleetSize: 1, MaxAttempts: 2, SecondCopies: true, Cancel: true, HostRetries: true, ConnIdle: time.Minute,
			Classes: []policy.Class{{Aim: aim, Deadline: 20 * time.Second, Worth: 1, Effect: policy.Keyed, DedupWindow: window}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	entries := []discovery.Entry{}
	for i, addr := range addrs {
		entries = append(entries, discovery.Entry{ID: string(rune('a' + i)), Addr: addr, Kind: "std", State: "active", Weight: 1})
	}
	s.List(entries, true)
	table, err := NewTable(false, Mount{Service: s, Classes: []Class{PlainClass("order", policy.Keyed)}})
	if err != nil {
		t.Fatal(err)
	}
	return New(table), s
}

// order takes the head of a keyed request, and answered has its answer.
func order(t *testing.T, c *Core, id string, client Client) (x *Exchange, answered chan Answer) {
	t.Helper()
	x, refused := c.Open(&Head{Method: "POST", Target: "/order", Host: "b", Client: client,
		Header: http.Header{"Req-Id": {id}, "Req-Deadline": {"20000m"}, "Idempotency-Key": {"k"}}})
	if refused != nil {
		t.Fatal(refused)
	}
	answered = make(chan Answer, 1)
	go func() {
		a, _ := x.Do(context.Background(), nil)
		answered <- a
	}()
	return x, answered
}

// leaves is a client that closes its connection, which nobody tells.
type leaves struct{ atomic.Bool }

func (c *leaves) Left() bool { return c.Load() }

// A client closes its connection while its request waits for the disk, as while the process
// stands still: nothing is sent for it, though word of its leaving comes later.
func TestClientLeftWhileAKeyIsKept(t *testing.T) {
	addr, came := silent(t)
	c, s := orders(t, time.Minute, time.Second, addr)
	client := new(leaves)
	s.OnDurable(func(context.Context, keyed.Note) error {
		client.Store(true)
		<-time.After(2 * lookAgain)
		return nil
	})
	x, answered := order(t, c, "1", client)
	select {
	case <-answered:
	case <-came:
		t.Error("an attempt was begun for a client that had left")
		x.Leave()
		<-answered
	}
}
