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
	"spokegw/internal/permit"
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
		Kinds: []string{"std"}, Limits: []FrontLimits{{Bodies: budget.New(1<<20).Join(1, nil)}}, Seed: 1, Figures: figures.New(),
		Pool: upstream.NewPool(upstream.Resources{Slots: budget.New(4).Join(1, nil), StreamBytes: budget.New(1<<20).Join(1, nil)}, 10*time.Second, time.Minute),
		Settings: Settings{Classes: []string{"order"}, Policy: policy.Settings{
			FleetSize: 1, MaxAttempts: 2, HedgedAttempts: true, Cancel: true, HostRetryBudget: true, ConnIdleTimeout: time.Minute,
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
	s.UpdateEndpoints(entries, true)
	table, err := NewTable(false, Mount{Service: s, Classes: []Class{DefaultClass("order", policy.Keyed)}})
	if err != nil {
		t.Fatal(err)
	}
	return New(table), s
}

// openOrder takes the head of a keyed request, of one key.
func openOrder(t *testing.T, c *Core, id string, client Client) *Exchange {
	t.Helper()
	x, refused := c.Open(&Head{Method: "POST", Target: "/order", Host: "b", Client: client,
		Header: http.Header{"Req-Id": {id}, "Req-Deadline": {"20000m"}, "Idempotency-Key": {"k"}}})
	if refused != nil {
		t.Fatal(refused)
	}
	return x
}

// do has a request answered.
func do(x *Exchange) (answered chan Answer) {
	answered = make(chan Answer, 1)
	go func() {
		a, _ := x.Do(context.Background(), nil)
		answered <- a
	}()
	return answered
}

// firstWaits has the first attempt of a service wait for its disk until goesOn is closed, and
// no other. waits is closed when it does.
func firstWaits(s *Service) (waits, goesOn chan struct{}) {
	waits, goesOn = make(chan struct{}), make(chan struct{})
	s.SetKeyWriter(func(context.Context, keyed.Note) error {
		select {
		case <-waits: // the hedged one does not wait
		default:
			close(waits)
			<-goesOn
		}
		return nil
	})
	return waits, goesOn
}

// leaves is a client that closes its connection, which nobody tells.
type leaves struct{ atomic.Bool }

func (c *leaves) Disconnected() bool { return c.Load() }

// A client closes its connection while its request waits for the disk, as while the process
// stands still: nothing is sent for it, though word of its leaving comes later.
func TestClientLeftWhileAKeyIsKept(t *testing.T) {
	addr, came := silent(t)
	c, s := orders(t, time.Minute, time.Second, addr)
	client := new(leaves)
	s.SetKeyWriter(func(context.Context, keyed.Note) error {
		client.Store(true)
		<-time.After(2 * lookAgain)
		return nil
	})
	x := openOrder(t, c, "1", client)
	answered := do(x)
	select {
	case <-answered:
	case <-came:
		t.Error("an attempt was begun for a client that had left")
		x.ClientDisconnected()
		<-answered
	}
}

// The process stands still between the moment that a request's time counts from and that at
// which its attempt is given one: what passes meanwhile is not added to the request's time.
func TestTimeThatPassesBeforeAnAttemptIsDecided(t *testing.T) {
	const pause = 30 * time.Millisecond
	for _, decided := range []bool{false, true} {
		addr, came := silent(t)
		c, s := orders(t, time.Minute, 10*time.Second, addr)
		s.testHookNoted = func() {
			if decided {
				<-time.After(pause)
			}
		}
		x := openOrder(t, c, "1", nil)
		x.SetReceived(0)
		latest := time.Now().Add(x.request.TimeLeft)
		if !decided {
			<-time.After(pause)
		}
		answered := do(x)
		<-came
		s.mu.Lock()
		over := x.call.attempts[0].until.Sub(latest)
		s.mu.Unlock()
		if over > 0 {
			t.Errorf("stood still after the decision: %t: the attempt may last for %v more than its request", decided, over)
		}
		x.ClientDisconnected()
		<-answered
	}
}

// When a window ends does not depend on how long the process stood still while that was found.
func TestWindowEndsByOneClock(t *testing.T) {
	addr, came := silent(t)
	c, s := orders(t, time.Minute, 10*time.Second, addr)
	for _, id := range []string{"1", "2"} { // the same key
		x := openOrder(t, c, id, nil)
		answered := do(x)
		<-came
		s.mu.Lock()
		a := x.call.attempts[0]
		if end, repeat := s.keys.DedupUntil(x.key); repeat != (id == "2") || repeat && !a.repeatBy.Equal(s.start.Add(end-s.unixStart)) {
			t.Errorf("request %s: repeat %t, by %v", id, repeat, a.repeatBy)
		}
		s.mu.Unlock()
		defer func() {
			x.ClientDisconnected()
			<-answered
		}()
	}
}

// The first attempt of a key waits, a hedged one is sent before it and may have run: by now
// the first is the repeat, and it is not written once the window of the other is over.
func TestFirstAttemptIsTheRepeat(t *testing.T) {
	const window = 2 * permit.MaxStall
	first, came := silent(t)
	second, cameToo := silent(t)
	c, s := orders(t, window, 10*time.Millisecond, first, second)
	waits, goesOn := firstWaits(s)
	x := openOrder(t, c, "1", nil)
	answered := do(x)
	<-waits
	var ran time.Time
	select {
	case ran = <-came:
	case ran = <-cameToo:
	}
	<-time.After(time.Until(ran.Add(window)))
	close(goesOn)
	var again []time.Time
	for done := false; !done; <-time.After(time.Millisecond) {
		s.mu.Lock()
		done = x.call.open < 2 // the first has ended unsent
		s.mu.Unlock()
		select {
		case at := <-came:
			again, done = append(again, at), true
		case at := <-cameToo:
			again, done = append(again, at), true
		default:
		}
	}
	if len(again) > 0 {
		t.Errorf("the key came again %v after the first time, the window is %v", again[0].Sub(ran), window)
	}
	x.ClientDisconnected()
	<-answered
}

// A hedged request is answered while the first attempt waits, where attempts may not be called
// off: nothing of that one has been sent, and nothing is any more.
func TestNothingIsSentAfterTheAnswer(t *testing.T) {
	for _, mayCancel := range []bool{false, true} {
		first, came := counted(t)
		second, cameToo := counted(t)
		c, s := orders(t, time.Minute, 10*time.Millisecond, first, second)
		s.settled.policy.Cancel = mayCancel
		if err := s.balancer.Retune(s.settled.policy); err != nil {
			t.Fatal(err)
		}
		waits, goesOn := firstWaits(s)
		x := openOrder(t, c, "1", nil)
		answered := do(x)
		<-waits
		var a Answer
		if mayCancel { // its own goroutine makes the first attempt
			for s.calling(x, 2) {
				<-time.After(time.Millisecond)
			}
			close(goesOn)
			a = <-answered
		} else {
			a = <-answered
			close(goesOn)
		}
		a.Free()
		for s.calling(x, 1) {
			<-time.After(time.Millisecond)
		}
		if n := len(came) + len(cameToo); a.Status != http.StatusOK || n != 1 {
			t.Errorf("may be called off: %t: answered %d, and %d attempts were sent", mayCancel, a.Status, n)
		}
	}
}

// calling reports whether so many attempts of a request are out, or its call is not over.
func (s *Service) calling(x *Exchange, open int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.call == nil || !x.call.over || x.call.open >= open
}

// The process stands still between a key's note and its way to the disk: it is kept as old as it is
// by then, or the next process would take its window for as much longer.
func TestKeyIsKeptAsOldAsItIs(t *testing.T) {
	const pause = 30 * time.Millisecond
	addr, came := silent(t)
	c, s := orders(t, time.Minute, 10*time.Second, addr)
	s.testHookNoted = func() { <-time.After(pause) }
	age := make(chan time.Duration, 1)
	s.SetKeyWriter(func(_ context.Context, n keyed.Note) error {
		age <- n.Age
		return nil
	})
	x := openOrder(t, c, "1", nil)
	answered := do(x)
	<-came
	if was := <-age; was < pause {
		t.Errorf("it was sent %v ago at least, and is kept as %v old", pause, was)
	}
	x.ClientDisconnected()
	<-answered
}

// others is another process that tells what was made of a key after this one has decided on it.
type others struct {
	service *Service
	fails   error
	told    []keyed.Note
	asked   int
}

func (o *others) Exist() bool { return true }

func (o *others) Publish(n keyed.Note) error {
	o.told = append(o.told, n)
	return o.fails
}

func (o *others) CatchUp() error {
	if o.asked++; len(o.told) > 0 {
		n := o.told[0]
		n.Cell++
		o.service.AdoptKey(n)
	}
	return nil
}

// Another process has sent a key elsewhere since this one decided on it, or can't be told of the
// key: it is not sent here, and the client is refused.
func TestKeyThatAnotherProcessSends(t *testing.T) {
	for _, fails := range []error{nil, context.DeadlineExceeded} {
		addr, came := silent(t)
		c, s := orders(t, time.Minute, time.Second, addr)
		s.settled.places[0].rules.Scope = policy.ScopeCell
		o := &others{service: s, fails: fails}
		s.SetPeers(o)
		x := openOrder(t, c, "1", nil)
		answered := do(x)
		select {
		case a := <-answered:
			if a.Status != http.StatusServiceUnavailable {
				t.Errorf("answered %d", a.Status)
			}
		case <-came:
			t.Error("it was sent here as well")
			x.ClientDisconnected()
			<-answered
		}
		if n := len(o.told); n == 0 || o.asked == 0 {
			t.Errorf("told %d times, caught up %d times", n, o.asked)
		}
	}
}
