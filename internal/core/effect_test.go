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

// counted is an endpoint that serves, and tells of each request that it got.
func counted(t *testing.T) (addr string, came chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	came = make(chan string, 16)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		came <- r.Header.Get("Req-Id")
		io.WriteString(w, "served")
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String(), came
}

func entryOf(id, addr, state string, started int64) discovery.Entry {
	return discovery.Entry{ID: id, Addr: addr, Kind: "std", State: state, Weight: 1, StartedMS: started}
}

// waiting awaits a call that has one attempt.
func waiting(s *Service, x *Exchange) {
	for taken := false; !taken; runtime.Gosched() {
		s.mu.Lock()
		taken = x.call != nil && len(x.call.attempts) > 0
		s.mu.Unlock()
	}
}

// changes are what may become of an endpoint while an attempt on it waits.
func changes(addr string) map[string]struct {
	entries []discovery.Entry
	full    bool
} {
	return map[string]struct {
		entries []discovery.Entry
		full    bool
	}{
		"drains":                  {[]discovery.Entry{entryOf("s-0", addr, "leaving", 0)}, false},
		"left":                    {[]discovery.Entry{entryOf("s-0", addr, "left", 0)}, false},
		"not in a whole list":     {[]discovery.Entry{}, true},
		"another process":         {[]discovery.Entry{entryOf("s-0", addr, "active", 99)}, false},
		"another address":         {[]discovery.Entry{entryOf("s-0", "127.0.0.1:1", "active", 0)}, false},
		"drained, gone and back":  {[]discovery.Entry{entryOf("s-0", addr, "leaving", 0), entryOf("s-0", addr, "left", 0), entryOf("s-0", addr, "active", 7)}, false},
		"drained, of another id":  {[]discovery.Entry{entryOf("s-0", addr, "left", 0), entryOf("s-9", addr, "active", 0)}, false},
		"gone and back unchanged": {[]discovery.Entry{entryOf("s-0", addr, "left", 0), entryOf("s-0", addr, "active", 0)}, false},
	}
}

// An attempt waits for the one place there is while its endpoint drains, goes, or is replaced:
// nothing of it is written for the endpoint that was decided on, and its request is answered.
func TestEndpointThatDrainsWhileAnAttemptWaits(t *testing.T) {
	addr, came := counted(t)
	for name, change := range changes(addr) {
		t.Run(name, func(t *testing.T) {
			slots := budget.New(1).Join(1, nil)
			c, s := aloneWith(t, slots, time.Minute)
			s.UpdateEndpoints([]discovery.Entry{entryOf("s-0", addr, "active", 0)}, true)
			if !slots.TryAcquire(1) {
				t.Fatal("the place is taken")
			}
			x := open(t, c, "1")
			x.request.TimeLeft = time.Minute
			answered := make(chan Answer, 1)
			go func() {
				a, _ := x.Do(context.Background(), nil)
				answered <- a
			}()
			waiting(s, x)
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
			if first.outcome.Result.NeverRan() != true || !active && len(came) > 0 {
				t.Errorf("the attempt ended as %v, and %d requests came", first.outcome.Result, len(came))
			}
			for len(came) > 0 {
				<-came
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(s.calls) != 0 {
				t.Errorf("%d calls are left", len(s.calls))
			}
		})
	}
}

// An attempt waits for a disk while its endpoint drains: it ends unsent, and does not wait on.
func TestEndpointThatDrainsWhileAKeyIsKept(t *testing.T) {
	addr, came := counted(t)
	c, s := alone(t)
	s.UpdateEndpoints([]discovery.Entry{entryOf("s-0", addr, "active", 0)}, true)
	asked := make(chan struct{})
	s.SetKeyWriter(func(ctx context.Context, _ keyed.Note) error {
		close(asked)
		<-ctx.Done()
		return ctx.Err()
	})
	const left = 10 * time.Second
	x := open(t, c, "1")
	x.request.TimeLeft = left
	answered := make(chan Answer, 1)
	go func() {
		x.keyed, x.key = true, 7
		a, _ := x.Do(context.Background(), nil)
		answered <- a
	}()
	<-asked
	s.UpdateEndpoints([]discovery.Entry{entryOf("s-0", addr, "leaving", 0)}, false)
	told := time.Now()
	if a := <-answered; a.Status != http.StatusServiceUnavailable || len(came) > 0 || time.Since(told) > left/2 {
		t.Errorf("answered %d after %v, and %d requests came", a.Status, time.Since(told), len(came))
	}
}

// A probe that waits for a place while its endpoint drains is not sent.
func TestProbeOfAnEndpointThatDrains(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	slots := budget.New(1).Join(1, nil)
	_, s := aloneWith(t, slots, time.Minute)
	s.UpdateEndpoints([]discovery.Entry{entryOf("s-0", l.Addr().String(), "active", 0)}, true)
	if !slots.TryAcquire(1) {
		t.Fatal("the place is taken")
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
