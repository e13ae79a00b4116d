package core

import (
	"context"
	"net/http"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"spokegw/internal/budget"
	"spokegw/internal/discovery"
	"spokegw/internal/figures"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// alone is a core of one service with one endpoint that nobody is at.
func alone(t testing.TB) (*Core, *Service) {
	t.Helper()
	return aloneWith(t, budget.New(4).Join(1, nil), time.Second)
}

// aloneWith is alone with these places for connections, and how long one may take.
func aloneWith(t testing.TB, slots *budget.Partition, connect time.Duration) (*Core, *Service) {
	t.Helper()
	s, err := NewService(ServiceConfig{
		Kinds: []string{"std"}, Limits: []FrontLimits{{Bodies: budget.New(1<<20).Join(1, nil)}}, Seed: 1, Figures: figures.New(),
		Pool: upstream.NewPool(upstream.Resources{Slots: slots, StreamBytes: budget.New(1<<20).Join(1, nil)}, connect, time.Minute),
		Settings: Settings{Classes: []string{"tile"}, Policy: policy.Settings{
			FleetSize: 1, MaxAttempts: 3, Cancel: true, ConnIdleTimeout: time.Minute,
			Classes: []policy.Class{{Aim: time.Second, Deadline: time.Second, Worth: 1, LateWorth: 0.5}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.UpdateEndpoints([]discovery.Entry{{ID: "s-0", Addr: "127.0.0.1:1", Kind: "std", State: "active", Weight: 1}}, true)
	table, err := NewTable(false, Mount{Service: s, Classes: []Class{DefaultClass("tile", policy.Idempotent)}})
	if err != nil {
		t.Fatal(err)
	}
	return New(table), s
}

// open takes the head of a request of 30 ms.
func open(t testing.TB, c *Core, id string) *Exchange {
	t.Helper()
	x, refused := c.Open(&Head{Method: "GET", Target: "/tile/1", Host: "b", Header: http.Header{"Req-Id": {id}, "Req-Deadline": {"30m"}}})
	if refused != nil {
		t.Fatal(refused)
	}
	return x
}

// A request in whose event the module panics is answered when its time is over, and its
// attempts, timers and room are given back.
func TestModulePanics(t *testing.T) {
	c, _ := alone(t)
	x := open(t, c, "1")
	x.request.Eligible = func(policy.Endpoint) bool { panic("in the module") }
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
	c, _ := alone(t)
	x := open(t, c, "1")
	x.ClientDisconnected()
	if a, err := x.Do(context.Background(), nil); err != ErrClientDisconnected {
		t.Errorf("%d %v", a.Status, err)
	}
	if s := x.service; len(s.calls) != 0 || s.timers.queue.Len() != 0 || x.place.open.Load() != 0 {
		t.Errorf("%d calls and %d timers are left", len(s.calls), s.timers.queue.Len())
	}
}

// A client that has left by the time its request is taken, as its context tells, has no
// attempt begun for it.
func TestContextEndedBefore(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	for i := range 50 {
		c, _ := alone(t)
		x := open(t, c, strconv.Itoa(i))
		if a, err := x.Do(ended, nil); err != ErrClientDisconnected {
			t.Errorf("%d %v", a.Status, err)
		}
		if n := len(x.call.attempts); n > 0 {
			t.Fatalf("%d attempts were begun", n)
		}
	}
}

// closedConnection is a client that has closed its connection, which nobody has told yet.
type closedConnection struct{}

func (closedConnection) Disconnected() bool { return true }

// A client whose connection is closed by the time an attempt has failed gets no other one,
// though word of its leaving comes later: after a stall both wait, in any order.
func TestNoFurtherAttemptForAClosedConnection(t *testing.T) {
	inBubble(t, func(t *testing.T) { // its 30 ms are not to pass while the machine is busy
		c, s := alone(t)
		x := open(t, c, "1")
		x.head.Client = closedConnection{}
		if a, err := x.Do(context.Background(), nil); err != ErrClientDisconnected {
			t.Errorf("answered %d, %v", a.Status, err)
		}
		x.ClientDisconnected()
		s.mu.Lock()
		defer s.mu.Unlock()
		if n := len(x.call.attempts) - 1; n != 1 {
			t.Errorf("%d further attempts were decided on", n)
		}
		for _, further := range x.call.attempts[1:] {
			if further.sent {
				t.Error("a further attempt was made")
			}
		}
		if len(s.calls) != 0 || s.timers.queue.Len() != 0 || x.place.open.Load() != 0 {
			t.Errorf("%d calls, %d timers and %d requests of the class are left", len(s.calls), s.timers.queue.Len(), x.place.open.Load())
		}
		s.timers.alarm.Stop()
	})
}

// A client leaves while its attempt waits for a connection, where attempts may not be
// called off: nothing has been sent, so the attempt ends there and then.
func TestLeftWhileConnecting(t *testing.T) {
	const longest = 20 * time.Second // a tenth of what the attempt would wait for
	for _, mayCancel := range []bool{false, true} {
		slots := budget.New(1).Join(1, nil)
		c, s := aloneWith(t, slots, 10*longest)
		s.settled.policy.Cancel = mayCancel
		if err := s.balancer.Retune(s.settled.policy); err != nil {
			t.Fatal(err)
		}
		if !slots.TryAcquire(1) { // the attempt waits for the one place there is
			t.Fatal("the place is taken")
		}
		x := open(t, c, "1")
		x.request.TimeLeft = 10 * longest
		ended := make(chan error)
		go func() {
			_, err := x.Do(context.Background(), nil)
			ended <- err
		}()
		for taken := false; !taken; runtime.Gosched() {
			s.mu.Lock()
			taken = x.call != nil && len(x.call.attempts) == 1
			s.mu.Unlock()
		}
		left := time.Now()
		x.ClientDisconnected()
		if err := <-ended; err != ErrClientDisconnected {
			t.Errorf("cancelling %v: ended with %v", mayCancel, err)
		}
		for calls := 1; calls > 0; runtime.Gosched() {
			s.mu.Lock()
			calls = len(s.calls)
			s.mu.Unlock()
			if time.Since(left) > longest {
				t.Fatalf("cancelling %v: the attempt goes on", mayCancel)
			}
		}
	}
}

// The process stalls, and its alarm goes off first: what the module judges by time
// waits until the ends of attempts have been seen, once and not again and again.
func TestTimersAfterAStall(t *testing.T) {
	for name, again := range map[string]bool{"once": false, "and once more": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				_, s := alone(t)
				var asked atomic.Int32
				s.OnSubscribe(func() { asked.Add(1) })
				set := s.settled.policy
				set.DiscoveryOnRequest, set.PollWithin = true, 10*time.Second
				if err := s.balancer.Retune(set); err != nil {
					t.Fatal(err)
				}
				s.DiscoveryLost(time.Time{}, true) // the next call is planned some seconds later
				stallNow := func() {
					s.mu.Lock()
					s.start = s.start.Add(-time.Hour)
					s.mu.Unlock()
					s.timersDue()
				}
				if stallNow(); asked.Load() != 0 {
					t.Error("the module is told of its timers before anything that waits is read")
				}
				if again {
					stallNow()
				} else {
					<-time.After(readAfterStall + 2*timerTick)
				}
				if asked.Load() != 1 {
					t.Errorf("the module was told %d times of its timer", asked.Load())
				}
				s.timers.alarm.Stop()
			})
		})
	}
}

// A request whose time ends while the process is stalled is answered as soon as that
// goes on.
func TestAnsweredAfterAStall(t *testing.T) {
	const connect = 10 * time.Minute
	slots := budget.New(1).Join(1, nil)
	c, s := aloneWith(t, slots, connect)
	if !slots.TryAcquire(1) { // the attempt waits for the one place there is
		t.Fatal("the place is taken")
	}
	x := open(t, c, "1")
	x.request.TimeLeft = connect
	answered := make(chan Answer)
	go func() {
		a, _ := x.Do(context.Background(), nil)
		answered <- a
	}()
	for taken := false; !taken; runtime.Gosched() {
		s.mu.Lock()
		taken = x.call != nil && len(x.call.attempts) == 1
		s.mu.Unlock()
	}
	s.mu.Lock()
	s.start = s.start.Add(-time.Hour)
	s.mu.Unlock()
	s.timersDue()
	if a := <-answered; a.Status != http.StatusGatewayTimeout {
		t.Errorf("answered %d", a.Status)
	}
}

// inBubble runs a test in virtual time, with channels for answers of its own: those that
// are kept for the next request may not pass from such a test to others.
func inBubble(t *testing.T, test func(t *testing.T)) {
	before := answers
	defer func() { answers = before }()
	synctest.Test(t, func(t *testing.T) {
		answers = newAnswers()
		test(t)
	})
}

// Four hours of requests, one a second, each with attempts that fail, leave no call, no
// timer and no room behind, and the wheel has no more places than timers were set at once.
func TestSoakOfRequests(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c, s := alone(t)
		for i := range 4 * 3600 {
			x := open(t, c, strconv.Itoa(i))
			if i%3 == 0 {
				x.ClientDisconnected()
			}
			if a, err := x.Do(context.Background(), nil); a.Status == http.StatusOK || err != nil && err != ErrClientDisconnected {
				t.Fatalf("%d %v", a.Status, err)
			}
			s.mu.Lock()
			calls, timers, places := len(s.calls), s.timers.queue.Len(), s.timers.queue.Cap()
			s.mu.Unlock()
			if calls > 0 || timers > 0 || places > 4 || x.place.open.Load() != 0 || s.pool.OpenConns() != 0 {
				t.Fatalf("after %d: %d calls, %d timers in %d places, %d open, %d connections", i, calls, timers, places, x.place.open.Load(), s.pool.OpenConns())
			}
			<-time.After(time.Second)
		}
		s.timers.alarm.Stop()
	})
}
