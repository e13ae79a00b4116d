package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/budget"
	"spokegw/internal/lab/process"
	"spokegw/internal/permit"
	"spokegw/policy"
)

// long is a time-out that no attempt here is to reach.
const long = 30 * time.Second

// endpoint serves each connection by hand; it stays open until the test ends.
func endpoint(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() {
		close(done)
		l.Close()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
				<-done
			}()
		}
	}()
	return l.Addr().String()
}

func newTestPool(slots, room int64) *Pool {
	return NewPool(Resources{Slots: budget.New(slots).Join(1, nil), StreamBytes: budget.New(room).Join(1, nil)}, time.Second, time.Minute)
}

// do makes an attempt and reads what is streamed of its answer into Body.
func do(p *Pool, ctx context.Context, e Endpoint, r *Request, timeout time.Duration) Answer {
	var text []byte
	end := new(Cancellation)
	defer context.AfterFunc(ctx, func() { end.Cancel(context.Cause(ctx)) })()
	a := p.Do(end, e, r, timeout, func(long Answer) bool {
		go func() {
			rest, _ := io.ReadAll(long.Stream)
			text = append(long.Body, rest...)
			long.Free()
			long.Stream.Close()
		}()
		return true
	})
	if text != nil {
		a.Body = text
	}
	return a
}

func request(id string) *Request {
	return &Request{Head: []byte("GET /tile HTTP/1.1\r\nHost: b\r\nReq-Id: " + id + "\r\nReq-Deadline: ")}
}

// An answer that is spoilt in any way is a failed attempt that may have run,
// long before the time is up, and its connection is not used again. One that is
// whole is served whatever comes ahead of it or behind.
func TestAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		answer string
		result policy.Result
		body   string
	}{
		"whole":            {ok + "Content-Length: 2\r\n\r\nok", policy.Served, "ok"},
		"empty":            {ok + "Content-Length: 0\r\n\r\n", policy.Served, ""},
		"chunks":           {ok + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", policy.Served, "ok"},
		"long":             {ok + "Content-Length: 250000\r\n\r\n" + strings.Repeat("x", 250000), policy.Served, strings.Repeat("x", 250000)},
		"1xx ahead":        {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", policy.Served, "ok"},
		"a copy behind":    {strings.Repeat(ok+"Content-Length: 2\r\n\r\nok", 2), policy.Served, "ok"},
		"noise behind":     {ok + "Content-Length: 2\r\n\r\nok\x00\xff", policy.Served, "ok"},
		"a report of junk": {ok + "Srv-Load: \xff=;;;\r\nContent-Length: 2\r\n\r\nok", policy.Served, "ok"},
		"declined":         {"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", policy.Declined, ""},
		"overloaded":       {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", policy.Errored, ""},
		"an error":         {"HTTP/1.1 500 No\r\nContent-Length: 900\r\n\r\nsome", policy.Errored, ""},
		"noise":            {"\x03\x8f\xff\x00\x17\x42\x11", policy.ConnectionLost, ""},
		"a head of junk":   {ok + "\x80\x81\r\n\r\n", policy.ConnectionLost, ""},
		"half a head":      {ok + "Content-Len", policy.ConnectionLost, ""},
		"a head for ever":  {ok + strings.Repeat("A: b\r\n", 100000), policy.ConnectionLost, ""},
		"1xx for ever":     {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 10000), policy.ConnectionLost, ""},
		"half a body":      {ok + "Content-Length: 20\r\n\r\nok", policy.ConnectionLost, ""},
		"half a chunk":     {ok + "Transfer-Encoding: chunked\r\n\r\n20\r\nok", policy.ConnectionLost, ""},
		"3 GB":             {ok + "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), policy.ConnectionLost, ""},
		"a chunk of 2^63":  {ok + "Transfer-Encoding: chunked\r\n\r\n8000000000000000\r\nx", policy.ConnectionLost, ""},
		"two lengths":      {ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok?", policy.ConnectionLost, ""},
		"length and codin": {ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", policy.ConnectionLost, ""},
		"negative length":  {ok + "Content-Length: -5\r\n\r\nok", policy.ConnectionLost, ""},
		"no length":        {ok + "\r\nok", policy.ConnectionLost, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestPool(4, 300<<10)
			addr := endpoint(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					io.WriteString(conn, c.answer)
				}
			})
			a := do(p, context.Background(), Endpoint{"s", addr}, request("1"), long)
			if a.Result != c.result || c.result == policy.Served && string(a.Body) != c.body {
				t.Errorf("result %v with body %.20q, want %v with %.20q", a.Result, a.Body, c.result, c.body)
			}
			if a.Free(); !p.long.TryAcquire(300 << 10) {
				t.Error("room is not given back")
			}
			if a.Elapsed > long/2 {
				t.Errorf("took %v", a.Elapsed)
			}
			if c.result == policy.ConnectionLost && p.OpenConns() > 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

// A long answer that stops in the middle, and an endpoint that reads no more of a
// long body, are given up after a while, and their connections with them.
func TestStalls(t *testing.T) {
	for name, rest := range map[string]*BodyStream{"answer": nil, "body": {Source: endless{}, Chunked: true, AnswerTimeout: long}} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool(4, 300<<10)
			p.stall = 100 * time.Millisecond
			addr := endpoint(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil && rest == nil {
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 250000\r\n\r\n"+strings.Repeat("x", 100000))
				}
			})
			req := request("1")
			req.Stream = rest
			a := do(p, context.Background(), Endpoint{"s", addr}, req, long)
			want := policy.ConnectionLost
			if rest != nil {
				want = policy.NoConnection // its last byte was never written
			}
			if a.Result != want || p.OpenConns() != 0 {
				t.Errorf("result %v, %d connections", a.Result, p.OpenConns())
			}
		})
	}
}

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }
func (endless) Interrupt()                 {}

// An answer without a length is whole if it says that it ends with its
// connection, and does.
func TestAnswerToTheEnd(t *testing.T) {
	for head, want := range map[string]policy.Result{
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n": policy.Served,
		"HTTP/1.0 200 OK\r\n\r\n":                      policy.Served,
		"HTTP/1.1 200 OK\r\n\r\n":                      policy.ConnectionLost,
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			http.ReadRequest(bufio.NewReader(c))
			io.WriteString(c, head+"ok")
		}()
		p := newTestPool(4, 300<<10)
		a := do(p, context.Background(), Endpoint{"s", l.Addr().String()}, request("1"), long)
		if a.Result != want || want == policy.Served && string(a.Body) != "ok" {
			t.Errorf("%q: result %v with body %q", head, a.Result, a.Body)
		}
	}
}

// What comes behind an answer after its connection was put back is not taken
// for the answer to the next request: a connection is not used again at once,
// nor ever when something is there to be read.
func TestLateBytesBehind(t *testing.T) {
	var conns atomic.Int32
	behind, sent := make(chan struct{}), make(chan struct{})
	addr := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", conns.Add(1))
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, answer)
			if <-behind; conns.Load() == 1 {
				io.WriteString(c, answer)
			}
			sent <- struct{}{}
		}
	})
	p := newTestPool(4, 300<<10)
	do := func(want string) {
		t.Helper()
		a := do(p, context.Background(), Endpoint{"s", addr}, request("1"), long)
		if a.Result != policy.Served || string(a.Body) != want {
			t.Fatalf("result %v with body %q, want that of connection %s", a.Result, a.Body, want)
		}
	}
	p.settle = 0
	do("1")
	behind <- struct{}{}
	<-sent
	do("2")
	behind <- struct{}{}
	<-sent
	do("2") // nothing came behind
	p.settle = time.Hour
	behind <- struct{}{}
	<-sent
	do("3")
}

// A new endpoint at the address of another gets none of its connections, and
// those of an endpoint that is gone are closed at once.
func TestAddressTakenOver(t *testing.T) {
	var conns atomic.Int32
	addr := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newTestPool(4, 300<<10)
	for _, id := range []string{"old", "new"} {
		if a := do(p, context.Background(), Endpoint{id, addr}, request("1"), long); a.Result != policy.Served {
			t.Fatalf("result %v", a.Result)
		}
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections for two endpoints", n)
	}
	p.RemoveEndpoint(Endpoint{"old", addr})
	if n := p.OpenConns(); n != 1 {
		t.Errorf("%d connections are kept, want that to the new endpoint alone", n)
	}
}

// An attempt called off ends at once and takes its connection along.
func TestCalledOff(t *testing.T) {
	got := make(chan struct{})
	addr := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		close(got)
	})
	p := newTestPool(4, 300<<10)
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		<-got
		cancel(ErrCancelled)
	}()
	if a := do(p, ctx, Endpoint{"s", addr}, request("1"), long); a.Result != policy.Cancelled || p.OpenConns() != 0 {
		t.Errorf("result %v, %d connections open", a.Result, p.OpenConns())
	}
}

// An attempt that gets its connection too late is not written: its time is over, or its
// endpoint would not know it for a repeat any more. It never ran, and its connection is kept.
func TestTooLateToBeWritten(t *testing.T) {
	got := make(chan string, 10)
	addr := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			got <- req.Header.Get("Req-Id")
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	now := time.Now()
	for name, c := range map[string]struct {
		terms Constraints
		kept  bool // there is a connection
		want  policy.Result
	}{
		"the window is over":                                           {Constraints{Deadline: now.Add(time.Hour), DedupUntil: now}, false, policy.NotSent},
		"the window is over, on a kept connection":                     {Constraints{Deadline: now.Add(time.Hour), DedupUntil: now}, true, policy.NotSent},
		"its time is over, on a kept connection":                       {Constraints{Deadline: now}, true, policy.NotSent},
		"the window is over by the time that a process may be held up": {Constraints{Deadline: now.Add(time.Hour), DedupUntil: now.Add(permit.MaxStall)}, false, policy.NotSent},
		"neither is over":                                              {Constraints{Deadline: now.Add(time.Hour), DedupUntil: now.Add(time.Hour)}, false, policy.Served},
	} {
		p := newTestPool(4, 300<<10)
		p.settle = 0
		if c.kept {
			if a := p.Do(new(Cancellation), Endpoint{"s", addr}, request("before"), long, nil); a.Result != policy.Served {
				t.Fatal(a.Result)
			}
			<-got
		}
		a, _ := p.Begin(new(Cancellation), Endpoint{"s", addr}, request("1"), c.terms, nil)
		if a.Result != c.want || p.OpenConns() != 1 {
			t.Errorf("%s: %v with %d connections open, %v and one are expected", name, a.Result, p.OpenConns(), c.want)
		}
		if c.want != policy.Served && len(got) > 0 {
			t.Errorf("%s: the endpoint got %s", name, <-got)
		} else if c.want == policy.Served {
			<-got
		}
		p.Close()
	}
}

// A request that waits for a place has that of a connection that comes back meanwhile, of its
// own service or of another that has more than its reserve: it does not wait on beside an
// idle connection until it is refused.
func TestPlaceOfAConnectionThatComesBack(t *testing.T) {
	for _, own := range []bool{true, false} {
		t.Run(fmt.Sprintf("of its own service=%v", own), func(t *testing.T) {
			came, answer := make(chan struct{}), make(chan struct{})
			addr := endpoint(t, func(c net.Conn, r *bufio.Reader) {
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					came <- struct{}{}
					<-answer
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			places := budget.New(1)
			pool := func() *Pool {
				var p *Pool
				part := places.Join(1, func() bool { return p.EvictIdle() })
				p = NewPool(Resources{Slots: part, StreamBytes: budget.New(1).Join(1, nil)}, long, time.Minute)
				t.Cleanup(p.Close)
				return p
			}
			first, second := pool(), pool()
			if own {
				second = first
			}
			results := make(chan policy.Result, 2)
			begin := func(p *Pool, id string) {
				go func() { results <- do(p, context.Background(), Endpoint{"s", addr}, request(id), long).Result }()
			}
			begin(first, "first")
			<-came
			begin(second, "second")
			for !places.HasWaiters() {
				runtime.Gosched()
			}
			answer <- struct{}{}
			<-came
			answer <- struct{}{}
			for range 2 {
				if result := <-results; result != policy.Served {
					t.Errorf("result %v", result)
				}
			}
		})
	}
}

// An attempt that waits for its connection tells its endpoint what is left of its time as it
// is written, not as it was decided.
func TestTimeToldIsWhatIsLeft(t *testing.T) {
	const whole = time.Minute
	came, answer := make(chan *http.Request), make(chan struct{})
	addr := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			came <- req
			<-answer
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newTestPool(1, 300<<10)
	p.settle = 0
	defer p.Close()
	var attempts sync.WaitGroup
	begin := func(id string, until time.Time) {
		attempts.Go(func() {
			p.Begin(new(Cancellation), Endpoint{"s", addr}, request(id), Constraints{Deadline: until}, nil)
		})
	}
	begin("first", time.Now().Add(whole)) // has the one connection there may be
	<-came
	until := time.Now().Add(whole)
	begin("second", until)
	left := whole
	for left > whole-2*time.Millisecond {
		left = time.Until(until)
	}
	answer <- struct{}{} // the second is written after this
	text := (<-came).Header.Get("Req-Deadline")
	answer <- struct{}{}
	attempts.Wait()
	told, err := time.ParseDuration(strings.TrimSuffix(text, "u") + "us")
	if err != nil || told > left || told < left-whole/2 {
		t.Errorf("%q is told with %v left (%v)", text, left, err)
	}
}

// What was called off before its last byte was sent never ran, and tells nothing of the
// endpoint: its client has left, which is no failed connection.
func TestCalledOffBeforeSent(t *testing.T) {
	addr := endpoint(t, func(c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	for name, end := range map[string]func(e *Cancellation){
		"ended":                 func(e *Cancellation) { e.Cancel(ErrCancelled) },
		"ended before anything": func(e *Cancellation) { e.CancelUnsent(ErrCancelled) },
	} {
		p, e := newTestPool(4, 300<<10), new(Cancellation)
		end(e)
		if a := p.Do(e, Endpoint{"s", addr}, request("1"), long, nil); a.Result != policy.NotSent || p.OpenConns() != 0 {
			t.Errorf("%s: result %v, %d connections open", name, a.Result, p.OpenConns())
		}
	}
	if got := failure(ErrCancelled, false); got != policy.NotSent {
		t.Errorf("called off while it was written: %v", got)
	}
	e := new(Cancellation)
	e.OnCancel(func() { t.Error("an attempt that has its connection was ended as if nothing were sent") })
	if e.CancelUnsent(ErrCancelled); e.Cause() != nil {
		t.Errorf("ended by %v", e.Cause())
	}
}

// A long answer that begins in the instant in which the attempt ends is not begun
// at the client: it would get a head, and nothing after it.
func TestLongAnswerAtTheEnd(t *testing.T) {
	for name, c := range map[string]struct {
		cause error
		want  policy.Result
	}{
		"out of time":     {errTimedOut, policy.NoAnswer},
		"stopped":         {errStopped, policy.ConnectionLost},
		"called off":      {ErrCancelled, policy.Cancelled},
		"the timer's own": {nil, policy.NoAnswer}, // it has gone off, and its call has not been made
	} {
		tr := &try{end: new(Cancellation), stream: takes(func(Answer) bool {
			t.Errorf("%s: it was passed on", name)
			return false
		})}
		tr.clock = &clock{end: tr.end}
		if c.cause == nil {
			tr.clock.fired = true
		} else {
			tr.end.Cancel(c.cause)
		}
		freed := 0
		if err := give(tr, &Answer{Stream: &Stream{}, free: func() { freed++ }}); err == nil || freed != 1 {
			t.Errorf("%s: error %v, freed %d times", name, err, freed)
		}
		if got := failure(tr.end.Cause(), true); got != c.want {
			t.Errorf("%s: result %v, %v is expected", name, got, c.want)
		}
	}
}

// A connection that can't be had for want of the sidecar's own places is told from
// one that its endpoint refuses: the one speaks of no endpoint.
func TestOwnWant(t *testing.T) {
	addr, err := process.TakeAddr()
	if err != nil {
		t.Fatal(err)
	}
	defer process.GiveBack(addr)
	nobody := Endpoint{ID: "gone", Addr: addr}
	p := newTestPool(1, 1<<20)
	if a := do(p, t.Context(), nobody, request("1"), long); a.Result != policy.NoConnection {
		t.Errorf("refused: %v", a.Result)
	}
	if !p.slots.TryAcquire(1) { // all are in use
		t.Fatal("no place is there")
	}
	if a := do(p, t.Context(), nobody, request("2"), long); a.Result != policy.NotSent {
		t.Errorf("without a place: %v", a.Result)
	}
	if a := do(p, t.Context(), nobody, request("3"), 10*time.Millisecond); a.Result != policy.NotSent {
		t.Errorf("out of time without a place: %v", a.Result)
	}
	for _, err := range []error{syscall.EMFILE, syscall.EADDRNOTAVAIL} {
		if !ownWant(&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)}) {
			t.Errorf("%v is taken for the endpoint's", err)
		}
	}
}

// Endpoints come and go by the hundred, half of them with a connection that rests: what the pool
// holds is bounded by its connections, and nothing of an endpoint stays that was forgotten,
// or whose connections have rested too long.
func TestSoakOfThePool(t *testing.T) {
	const slots = 16
	p := newTestPool(slots, 1<<20)
	defer p.Close()
	addr := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	for i := range 500 { // each holds a connection of the stand-in's until the end
		e := Endpoint{ID: fmt.Sprint(i), Addr: addr}
		if a := do(p, context.Background(), e, request(e.ID), time.Minute); a.Result != policy.Served {
			t.Fatalf("%d: %v", i, a.Result)
		}
		if i%2 == 0 {
			p.RemoveEndpoint(e)
		}
		if n := idle(p); n > slots {
			t.Fatalf("connections to %d endpoints rest after %d requests, there is room for %d", n, i, slots)
		}
	}
	p.maxIdle = 0
	p.Sweep()
	if n := idle(p); n != 0 {
		t.Errorf("%d endpoints are remembered though no connection to them rests", n)
	}
}

func idle(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
