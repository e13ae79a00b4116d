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

// newTestCore is a core of one service with one endpoint, on a port that nothing listens on.
func newTestCore(t testing.TB) (*Core, *Service) {
	t.Helper()
	return newTestCoreWith(t, budget.New(4).Join(1, nil), time.Second)
}

// newTestCoreWith is newTestCore with the given connection slots and connect timeout.
func newTestCoreWith(t testing.TB, slots *budget.Partition, connect time.Duration) (*Core, *Service) {
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

// open passes the head of a request with a deadline of 30 ms.
func open(t testing.TB, c *Core, id string) *Exchange {
	t.Helper()
	x, refused := c.Open(&Head{Method: "GET", Target: "/tile/1", Host: "b", Header: http.Header{"Req-Id": {id}, "Req-Deadline": {"30m"}}})
	if refused != nil {
		t.Fatal(refused)
	}
	return x
}

// The decision module panics on a request: it is answered at its deadline, and its attempts,
// timers and capacity are released.
func TestPanicInDecisionModule(t *testing.T) {
	c, _ := newTestCore(t)
	x := open(t, c, "1")
	x.request.Eligible = func(policy.Endpoint) bool { panic("in the decision module") }
	if a, err := x.Do(context.Background(), nil); a.Status != http.StatusGatewayTimeout || err != nil {
		t.Errorf("%d %v", a.Status, err)
	}
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.calls) != 0 || s.timers.queue.Len() != 0 || x.slot.open.Load() != 0 {
		t.Errorf("%d calls, %d timers and %d requests of the class remain", len(s.calls), s.timers.queue.Len(), x.slot.open.Load())
	}
}

// A client that disconnects before its request is processed gets no answer, and the decision
// module does not receive the request.
func TestDisconnectedBeforeStart(t *testing.T) {
	c, _ := newTestCore(t)
	x := open(t, c, "1")
	x.ClientDisconnected()
	if a, err := x.Do(context.Background(), nil); err != ErrClientDisconnected {
		t.Errorf("%d %v", a.Status, err)
	}
	if s := x.service; len(s.calls) != 0 || s.timers.queue.Len() != 0 || x.slot.open.Load() != 0 {
		t.Errorf("%d calls and %d timers remain", len(s.calls), s.timers.queue.Len())
	}
}

// If the request's context has ended before the request is processed, no attempt is started.
func TestContextCancelledBeforeStart(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	for i := range 50 {
		c, _ := newTestCore(t)
		x := open(t, c, strconv.Itoa(i))
		if a, err := x.Do(ended, nil); err != ErrClientDisconnected {
			t.Errorf("%d %v", a.Status, err)
		}
		if n := len(x.call.attempts); n > 0 {
			t.Fatalf("%d attempts were started", n)
		}
	}
}

// closedConnection is a client that has closed its connection, without a notification so far.
type closedConnection struct{}

func (closedConnection) Disconnected() bool { return true }

// If a client has closed its connection by the time an attempt fails, there is no retry, even
// if the notification arrives later: after a stall both may be handled in either order.
func TestNoRetryForClosedConnection(t *testing.T) {
	inBubble(t, func(t *testing.T) { // a busy machine must not use up the 30 ms
		c, s := newTestCore(t)
		x := open(t, c, "1")
		x.head.Client = closedConnection{}
		if a, err := x.Do(context.Background(), nil); err != ErrClientDisconnected {
			t.Errorf("answered %d, %v", a.Status, err)
		}
		x.ClientDisconnected()
		s.mu.Lock()
		defer s.mu.Unlock()
		if n := len(x.call.attempts) - 1; n != 1 {
			t.Errorf("%d retries were decided on", n)
		}
		for _, retry := range x.call.attempts[1:] {
			if retry.sent {
				t.Error("a retry was made")
			}
		}
		if len(s.calls) != 0 || s.timers.queue.Len() != 0 || x.slot.open.Load() != 0 {
			t.Errorf("%d calls, %d timers and %d requests of the class remain", len(s.calls), s.timers.queue.Len(), x.slot.open.Load())
		}
		s.timers.timer.Stop()
	})
}

// A client disconnects while its attempt waits for a connection, also where attempts may not be
// cancelled: nothing has been sent, so the attempt ends immediately.
func TestDisconnectedWhileConnecting(t *testing.T) {
	const maxWait = 20 * time.Second // a tenth of the attempt's timeout
	for _, mayCancel := range []bool{false, true} {
		slots := budget.New(1).Join(1, nil)
		c, s := newTestCoreWith(t, slots, 10*maxWait)
		s.settings.policy.Cancel = mayCancel
		if err := s.balancer.Retune(s.settings.policy); err != nil {
			t.Fatal(err)
		}
		if !slots.TryAcquire(1) { // the attempt waits for the only slot
			t.Fatal("the slot is in use")
		}
		x := open(t, c, "1")
		x.request.TimeLeft = 10 * maxWait
		ended := make(chan error)
		go func() {
			_, err := x.Do(context.Background(), nil)
			ended <- err
		}()
		for started := false; !started; runtime.Gosched() {
			s.mu.Lock()
			started = x.call != nil && len(x.call.attempts) == 1
			s.mu.Unlock()
		}
		disconnected := time.Now()
		x.ClientDisconnected()
		if err := <-ended; err != ErrClientDisconnected {
			t.Errorf("cancelling %v: ended with %v", mayCancel, err)
		}
		for calls := 1; calls > 0; runtime.Gosched() {
			s.mu.Lock()
			calls = len(s.calls)
			s.mu.Unlock()
			if time.Since(disconnected) > maxWait {
				t.Fatalf("cancelling %v: the attempt continues", mayCancel)
			}
		}
	}
}

// The system timer fires first after a process stall: timers of the decision module are
// deferred until the results of attempts have been read, but only once.
func TestTimersAfterStall(t *testing.T) {
	for name, stalledAgain := range map[string]bool{"once": false, "stalled again": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				_, s := newTestCore(t)
				var subscriptions atomic.Int32
				s.OnSubscribe(func() { subscriptions.Add(1) })
				set := s.settings.policy
				set.DiscoveryOnRequest, set.PollWithin = true, 10*time.Second
				if err := s.balancer.Retune(set); err != nil {
					t.Fatal(err)
				}
				s.DiscoveryLost(time.Time{}, true) // the next call is due some seconds later
				stall := func() {
					s.mu.Lock()
					s.start = s.start.Add(-time.Hour)
					s.mu.Unlock()
					s.timersDue()
				}
				if stall(); subscriptions.Load() != 0 {
					t.Error("the decision module received its timers before pending results were read")
				}
				if stalledAgain {
					stall()
				} else {
					<-time.After(readAfterStall + 2*timerTick)
				}
				if subscriptions.Load() != 1 {
					t.Errorf("the decision module received its timer %d times", subscriptions.Load())
				}
				s.timers.timer.Stop()
			})
		})
	}
}

// A request whose deadline passes during a process stall is answered as soon as the stall ends.
func TestAnswerAfterStall(t *testing.T) {
	const connect = 10 * time.Minute
	slots := budget.New(1).Join(1, nil)
	c, s := newTestCoreWith(t, slots, connect)
	if !slots.TryAcquire(1) { // the attempt waits for the only slot
		t.Fatal("the slot is in use")
	}
	x := open(t, c, "1")
	x.request.TimeLeft = connect
	answered := make(chan Answer)
	go func() {
		a, _ := x.Do(context.Background(), nil)
		answered <- a
	}()
	for started := false; !started; runtime.Gosched() {
		s.mu.Lock()
		started = x.call != nil && len(x.call.attempts) == 1
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

// inBubble runs a test in virtual time with its own pool of answer channels, since channels of
// a synctest bubble must not be used outside of it.
func inBubble(t *testing.T, test func(t *testing.T)) {
	saved := answers
	defer func() { answers = saved }()
	synctest.Test(t, func(t *testing.T) {
		answers = newAnswers()
		test(t)
	})
}

// Four hours of one request a second, each with failing attempts, leave no calls, timers or
// reserved capacity behind, and the timer queue does not grow beyond the timers set at once.
func TestSoakRequests(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c, s := newTestCore(t)
		for i := range 4 * 3600 {
			x := open(t, c, strconv.Itoa(i))
			if i%3 == 0 {
				x.ClientDisconnected()
			}
			if a, err := x.Do(context.Background(), nil); a.Status == http.StatusOK || err != nil && err != ErrClientDisconnected {
				t.Fatalf("%d %v", a.Status, err)
			}
			s.mu.Lock()
			calls, timers, capacity := len(s.calls), s.timers.queue.Len(), s.timers.queue.Cap()
			s.mu.Unlock()
			if calls > 0 || timers > 0 || capacity > 4 || x.slot.open.Load() != 0 || s.pool.OpenConns() != 0 {
				t.Fatalf("after %d: %d calls, %d timers of %d allocated, %d open, %d connections", i, calls, timers, capacity, x.slot.open.Load(), s.pool.OpenConns())
			}
			<-time.After(time.Second)
		}
		s.timers.timer.Stop()
	})
}
