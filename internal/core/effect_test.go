package core

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"spokegw/internal/budget"
	"spokegw/internal/discovery"
	"spokegw/internal/keyed"
)

// countingEndpoint is an endpoint that serves, and reports the id of each request that it
// receives.
func countingEndpoint(t *testing.T) (addr string, received chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received = make(chan string, 16)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header.Get("Req-Id")
		io.WriteString(w, "served")
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String(), received
}

func entryOf(id, addr, state string, started int64) discovery.Entry {
	return discovery.Entry{ID: id, Addr: addr, Kind: "std", State: state, Weight: 1, StartedMS: started}
}

// awaitAttempt waits until the call has an attempt.
func awaitAttempt(s *Service, x *Exchange) {
	for started := false; !started; runtime.Gosched() {
		s.mu.Lock()
		started = x.call != nil && len(x.call.attempts) > 0
		s.mu.Unlock()
	}
}

// listChanges are changes of an endpoint while an attempt on it waits.
func listChanges(addr string) map[string]struct {
	entries []discovery.Entry
	full    bool
} {
	return map[string]struct {
		entries []discovery.Entry
		full    bool
	}{
		"drains":                     {[]discovery.Entry{entryOf("s-0", addr, "leaving", 0)}, false},
		"left":                       {[]discovery.Entry{entryOf("s-0", addr, "left", 0)}, false},
		"not in a full list":         {[]discovery.Entry{}, true},
		"another process":            {[]discovery.Entry{entryOf("s-0", addr, "active", 99)}, false},
		"another address":            {[]discovery.Entry{entryOf("s-0", "127.0.0.1:1", "active", 0)}, false},
		"drained, removed and back":  {[]discovery.Entry{entryOf("s-0", addr, "leaving", 0), entryOf("s-0", addr, "left", 0), entryOf("s-0", addr, "active", 7)}, false},
		"drained, of another id":     {[]discovery.Entry{entryOf("s-0", addr, "left", 0), entryOf("s-9", addr, "active", 0)}, false},
		"removed and back unchanged": {[]discovery.Entry{entryOf("s-0", addr, "left", 0), entryOf("s-0", addr, "active", 0)}, false},
	}
}

// An attempt waits for the only connection slot while its endpoint drains, is removed or is
// replaced. It must not be sent to the endpoint that was decided on, and its request must be
// answered.
func TestAttemptNotSentAfterListChange(t *testing.T) {
	addr, received := countingEndpoint(t)
	for name, change := range listChanges(addr) {
		t.Run(name, func(t *testing.T) {
			slots := budget.New(1).Join(1, nil)
			c, s := newTestCoreWith(t, slots, time.Minute)
			s.UpdateEndpoints([]discovery.Entry{entryOf("s-0", addr, "active", 0)}, true)
			if !slots.TryAcquire(1) {
				t.Fatal("the slot is in use")
			}
			x := open(t, c, "1")
			x.request.TimeLeft = time.Minute
			answered := make(chan Answer, 1)
			go func() {
				a, _ := x.Do(context.Background(), nil)
				answered <- a
			}()
			awaitAttempt(s, x)
			s.mu.Lock()
			first := x.call.attempts[0]
			s.mu.Unlock()
			for _, e := range change.entries {
				s.UpdateEndpoints([]discovery.Entry{e}, false)
			}
			if change.full {
				s.UpdateEndpoints(nil, true)
			}
			slots.Release(1)
			a := <-answered
			a.Free()
			active := len(change.entries) > 0 && change.entries[len(change.entries)-1].State == "active"
			if first.ownResult.Result.NeverRan() != true || !active && len(received) > 0 {
				t.Errorf("the attempt ended as %v, and %d requests were received", first.ownResult.Result, len(received))
			}
			for len(received) > 0 {
				<-received
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(s.calls) != 0 {
				t.Errorf("%d calls remain", len(s.calls))
			}
		})
	}
}

// An attempt waits for a key write while its endpoint drains: it must end unsent and at once.
func TestDrainEndsKeyWrite(t *testing.T) {
	addr, received := countingEndpoint(t)
	c, s := newTestCore(t)
	s.UpdateEndpoints([]discovery.Entry{entryOf("s-0", addr, "active", 0)}, true)
	writing := make(chan struct{})
	s.SetKeyWriter(func(ctx context.Context, _ keyed.Note) error {
		close(writing)
		<-ctx.Done()
		return ctx.Err()
	})
	const timeout = 10 * time.Second
	x := open(t, c, "1")
	x.request.TimeLeft = timeout
	answered := make(chan Answer, 1)
	go func() {
		x.keyed, x.key = true, 7
		a, _ := x.Do(context.Background(), nil)
		answered <- a
	}()
	<-writing
	s.UpdateEndpoints([]discovery.Entry{entryOf("s-0", addr, "leaving", 0)}, false)
	drained := time.Now()
	if a := <-answered; a.Status != http.StatusServiceUnavailable || len(received) > 0 || time.Since(drained) > timeout/2 {
		t.Errorf("answered %d after %v, and %d requests were received", a.Status, time.Since(drained), len(received))
	}
}

// A probe that waits for a connection slot while its endpoint drains must not be sent.
func TestProbeNotSentToDrainingEndpoint(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	slots := budget.New(1).Join(1, nil)
	_, s := newTestCoreWith(t, slots, time.Minute)
	s.UpdateEndpoints([]discovery.Entry{entryOf("s-0", l.Addr().String(), "active", 0)}, true)
	if !slots.TryAcquire(1) {
		t.Fatal("the slot is in use")
	}
	s.mu.Lock()
	s.probe(s.endpoints.byName["s-0"].ID)
	s.mu.Unlock()
	s.UpdateEndpoints([]discovery.Entry{entryOf("s-0", l.Addr().String(), "leaving", 0)}, false)
	slots.Release(1)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if text, err := io.ReadAll(io.LimitReader(c, 1)); len(text) > 0 || err != nil {
		t.Errorf("%q was sent, %v", text, err)
	}
}
