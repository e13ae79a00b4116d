package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/budget"
	"spokegw/internal/core"
	"spokegw/internal/discovery"
	"spokegw/internal/figures"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// waitTimeout is the timeout for what should happen at once, or within a second or two
// because of one of the sidecar's own timeouts.
const waitTimeout = 20 * time.Second

// listenEndpoint listens as an endpoint, and has serve answer each connection.
func listenEndpoint(t testing.TB, serve func(c net.Conn, r *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// echo answers every request with its ID, and passes it to seen.
func echo(seen func(r *http.Request)) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			seen(r)
			id := r.Header.Get("Req-Id")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		}
	}
}

// start runs a server for a service of these endpoints, with change applied to the
// service's configuration.
func start(t *testing.T, change func(c *core.ServiceConfig), endpoints ...string) *Server {
	t.Helper()
	return startWith(t, Config{}, change, endpoints...)
}

// startWith is start with a server configuration.
func startWith(t testing.TB, config Config, change func(c *core.ServiceConfig), endpoints ...string) *Server {
	t.Helper()
	s := listening(t, config, change, endpoints...)
	t.Cleanup(serve(s))
	return s
}

// serve runs a server until the returned function has stopped it.
func serve(s *Server) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	return sync.OnceFunc(func() {
		cancel()
		<-ended
	})
}

// listening is a server that listens and does not serve yet.
func listening(t testing.TB, config Config, change func(c *core.ServiceConfig), endpoints ...string) *Server {
	t.Helper()
	const limit, busyThreshold = 140, 40
	c := core.ServiceConfig{
		Kinds: []string{"std"}, Limits: []core.FrontLimits{{Bodies: budget.New(12<<20).Join(1, nil)}}, Seed: 1,
		Pool:    upstream.NewPool(upstream.Resources{Slots: budget.New(94).Join(1, nil), StreamBytes: budget.New(8<<20).Join(1, nil)}, time.Second, 10*time.Second),
		Figures: figures.New(),
		Settings: core.Settings{Classes: []string{"tile", "report"}, Policy: policy.Settings{
			FleetSize: 1, MaxAttempts: 3, Cancel: true, ConnIdleTimeout: 10 * time.Second,
			Classes: []policy.Class{
				{Aim: 4 * time.Second, Deadline: 8 * time.Second, Worth: 1, LateWorth: 0.5},
				{Aim: 4 * time.Second, Deadline: 8 * time.Second, Worth: 1, LateWorth: 0.5,
					Effect: policy.Keyed, Scope: policy.ScopeCell, DedupWindow: 8 * time.Second},
			},
		}},
	}
	if change != nil {
		change(&c)
	}
	service, err := core.NewService(c)
	if err != nil {
		t.Fatal(err)
	}
	var known []discovery.Entry
	for i, addr := range endpoints {
		known = append(known, discovery.Entry{ID: fmt.Sprint("s", i), Addr: addr, Kind: "std", State: "active", Weight: 1})
	}
	service.UpdateEndpoints(known, true)
	table, err := core.NewTable(false, core.Mount{Service: service, Classes: []core.Class{
		core.DefaultClass("tile", policy.Idempotent), core.DefaultClass("report", policy.Keyed),
	}})
	if err != nil {
		t.Fatal(err)
	}
	config.Listen = "127.0.0.1:0"
	if config.Limit == 0 {
		config.Limit, config.BusyThreshold = limit, busyThreshold
	}
	s, err := Listen(config, core.New(table))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(waitTimeout))
	return c
}

const tileHead = "GET /tile/1?user=k HTTP/1.1\r\nHost: b\r\nReq-Kind: tile\r\nReq-Owner: o\r\nReq-Deadline: 7000m\r\n"

func tile(id string) string { return tileHead + "Req-Id: " + id + "\r\n\r\n" }

const reportHead = "POST /report HTTP/1.1\r\nHost: b\r\nReq-Kind: report\r\nReq-Deadline: 7000m\r\nIdempotency-Key: k\r\n"

func report(id, body string) string {
	return fmt.Sprintf("%sReq-Id: %s\r\nContent-Length: %d\r\n\r\n%s", reportHead, id, len(body), body)
}

// read reads an answer; status 0 if the connection was closed instead.
func read(t *testing.T, c net.Conn) (status int, body string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		var text []byte
		if text, err = io.ReadAll(resp.Body); err == nil {
			return resp.StatusCode, string(text)
		}
	}
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatal("got neither an answer nor a close")
	}
	return 0, ""
}

// Whatever is not a valid request gets an error or a close in time, whether or not its
// sender continues to send; none of it reaches an endpoint. Regular clients are served
// meanwhile.
func TestBadClients(t *testing.T) {
	var reached atomic.Pointer[string]
	addr := listenEndpoint(t, echo(func(r *http.Request) {
		if id := r.Header.Get("Req-Id"); !strings.HasPrefix(id, "good") {
			reached.Store(&id)
		}
	}))
	s := start(t, nil, addr)
	hidden := tile("hidden")
	bad := map[string]string{
		"noise":                      "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
		"silence":                    "",
		"half a head":                tileHead,
		"a head without end":         tileHead + strings.Repeat("A: b\r\n", 20000),
		"half a body":                reportHead + "Req-Id: b1\r\nContent-Length: 10\r\n\r\n12",
		"a negative length":          reportHead + "Req-Id: b2\r\nContent-Length: -2\r\n\r\n12",
		"a huge length":              reportHead + "Req-Id: b3\r\nContent-Length: 9223372036854775808\r\n\r\n12",
		"a long body":                reportHead + "Req-Id: b4\r\nContent-Length: 60000000\r\n\r\n" + strings.Repeat("1", 4<<20),
		"a long body in chunks":      reportHead + "Req-Id: b5\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("200000\r\n"+strings.Repeat("1", 0x200000)+"\r\n", 21) + "0\r\n\r\n",
		"chunks without end":         reportHead + "Req-Id: b6\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"length and chunks":          reportHead + fmt.Sprintf("Req-Id: b7\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(hidden)) + hidden,
		"chunks and length":          reportHead + fmt.Sprintf("Req-Id: b8\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n0\r\n\r\n", 5+len(hidden)) + hidden,
		"a request behind chunks":    reportHead + "Req-Id: b9\r\nTransfer-Encoding: chunked\r\nX: y\r\nX : z\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":                reportHead + "Req-Id: b10\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n123",
		"a request behind a request": tile("b11") + hidden,
		"a length too short":         strings.Replace(report("b12", "12345"), ": 5", ": 3", 1),
		"bare line feeds":            strings.ReplaceAll(tile("b13"), "\r\n", "\n"),
		"a class that is none":       strings.ReplaceAll(tile("b14"), "tile", "tiles"),
		"two classes":                strings.Replace(tile("b15"), "Kind: tile", "Kind: report", 1),
		"a deadline that is none":    strings.Replace(tile("b16"), "7000m", "soon", 1),
		"a negative deadline":        strings.Replace(tile("b17"), "7000m", "-5m", 1),
		"no id":                      tileHead + "\r\n",
		"two ids":                    tileHead + "Req-Id: b18\r\nReq-Id: b19\r\n\r\n",
		"another method":             strings.Replace(tile("b20"), "GET", "PUT", 1),
		"dots":                       strings.Replace(tile("b21"), "/tile/1", "/tile/../report", 1),
		"encoded dots":               strings.Replace(tile("b22"), "/tile/1", "/tile/%2e%2e/report", 1),
		"an encoded slash":           strings.Replace(tile("b23"), "/tile/1", "/tile%2f..%2freport", 1),
		"an encoded letter":          strings.Replace(tile("b24"), "/tile/1", "/t%69le/1", 1),
		"a parameter":                strings.Replace(tile("b25"), "/tile/1", "/tile;x/../report", 1),
		"an empty segment":           strings.Replace(tile("b26"), "/tile/1", "//tile/1", 1),
		"a GET with a body":          tileHead + "Req-Id: b27\r\nContent-Length: 3\r\n\r\nabc",
		"a GET with a body in parts": tileHead + "Req-Id: b28\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"another protocol":           tileHead + "Req-Id: b29\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n",
		"OPTIONS":                    "OPTIONS * HTTP/1.1\r\nHost: b\r\n\r\n",
	}
	for name, text := range bad {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dial(t, s)
			begun := time.Now()
			go io.WriteString(c, text)
			if status, _ := read(t, c); status != 0 && status < 400 {
				t.Errorf("status %d", status)
			}
			if took := time.Since(begun); took > 2*requestTimeout {
				t.Errorf("took %v", took)
			}
		})
	}
	t.Run("usual clients", func(t *testing.T) {
		t.Parallel()
		c := dial(t, s)
		for i := range 200 {
			id, text := fmt.Sprintf("good-%d", i), ""
			if i%2 == 0 {
				text = tile(id)
			} else {
				text = report(id, strings.Repeat("x", i*300))
			}
			io.WriteString(c, text)
			if status, body := read(t, c); status != 200 || body != id {
				t.Fatalf("request %d: status %d, body %q", i, status, body)
			}
		}
	})
	t.Cleanup(func() {
		if id := reached.Load(); id != nil {
			t.Errorf("request %q was forwarded", *id)
		}
	})
}

// Guards against a request of HTTP/1.0 with Transfer-Encoding that runs with an empty body, and
// against one hidden in its body that runs as a request of its own.
func TestTransferCodingOfVersion10IsRefused(t *testing.T) {
	reached := make(chan string, 100)
	s := start(t, nil, listenEndpoint(t, echo(func(r *http.Request) { reached <- r.Header.Get("Req-Id") })))
	const old, chunks = "\r\nTransfer-Encoding: chunked\r\n", "b\r\nlift 4 open\r\n0\r\n\r\n"
	head := strings.Replace(reportHead, "HTTP/1.1", "HTTP/1.0", 1) + "Req-Id: outer" + old
	played := 10 // ids differ, and have one length
	for name, text := range map[string]string{
		"chunks":                    head + "\r\n" + chunks,
		"a request as body":         head + "Connection: keep-alive\r\n\r\n" + tile("hidden"),
		"a request behind chunks":   head + "Connection: keep-alive\r\n\r\n0\r\n\r\n" + tile("hidden"),
		"with a length":             head + "Connection: keep-alive\r\nContent-Length: 0\r\n\r\n" + tile("hidden"),
		"a GET":                     strings.Replace(tileHead, "HTTP/1.1", "HTTP/1.0", 1) + "Req-Id: outer" + old + "Connection: keep-alive\r\n\r\n" + tile("hidden"),
		"a check of health":         "GET /health/ready HTTP/1.0\r\nHost: b" + old + "Connection: keep-alive\r\n\r\n" + tile("hidden"),
		"version 0.9":               strings.Replace(head, "HTTP/1.0", "HTTP/0.9", 1) + "Connection: keep-alive\r\n\r\n" + tile("hidden"),
		"behind a head handed over": "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n" + head + "Connection: keep-alive\r\n\r\n" + tile("hidden"),
	} {
		for _, split := range []int{0, strings.Index(text, "\r\n\r\n") + 4} { // at once, or the body after the head
			c := dial(t, s)
			played++
			text := strings.NewReplacer("outer", fmt.Sprint("out", played), "hidden", fmt.Sprint("hidd", played)).Replace(text)
			io.WriteString(c, text[:split])
			io.WriteString(c, text[split:])
			answers, err := io.ReadAll(c)
			if err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%s: %v", name, err)
			}
			allowed := strings.Count(text, "/health/ready HTTP/1.1")
			if served := strings.Count(string(answers), "HTTP/1.1 200") + strings.Count(string(answers), "HTTP/1.0 200"); served > allowed {
				t.Errorf("%s: answered %q", name, answers)
			}
		}
	}
	if len(reached) > 0 {
		t.Errorf("%d requests were forwarded, the first is %q", len(reached), <-reached)
	}
}

// The target that was matched is forwarded byte for byte, and a field whose name is a
// known one spelled with _ is dropped.
func TestForwardedAsMatched(t *testing.T) {
	type seen struct {
		target string
		names  http.Header
	}
	requests := make(chan seen, 1)
	s := start(t, nil, listenEndpoint(t, echo(func(r *http.Request) { requests <- seen{r.RequestURI, r.Header} })))
	c := dial(t, s)
	const target = "/tile/a%20b/%C4%8D/c.d~e?user=%2F..%2F&x=//;y"
	io.WriteString(c, "GET "+target+" HTTP/1.1\r\nHost: b\r\nReq-Deadline: 7000m\r\nReq-Id: same\r\nReq_Id: other\r\nIdempotency_Key: k\r\n"+
		"Transfer_Encoding: chunked\r\nMy_Own: yes\r\n\r\n")
	if status, _ := read(t, c); status != 200 {
		t.Fatalf("status %d", status)
	}
	got := <-requests
	if got.target != target {
		t.Errorf("%q was forwarded, %q was matched", got.target, target)
	}
	for name := range got.names {
		if strings.Contains(name, "_") && !strings.EqualFold(name, "My_Own") {
			t.Errorf("%s was forwarded", name)
		}
	}
	if got.names.Get("My_Own") != "yes" {
		t.Error("a field that resembles no known one was dropped")
	}
}

// A request with an ID in use is not forwarded; the ID's first user is served.
func TestIDInUse(t *testing.T) {
	begun, release := make(chan string, 10), make(chan struct{})
	addr := listenEndpoint(t, echo(func(r *http.Request) {
		begun <- r.Header.Get("Req-Id")
		<-release
	}))
	s := start(t, nil, addr)
	first := dial(t, s)
	io.WriteString(first, tile("same"))
	<-begun
	for range 2 { // while the first request is open, and after it has been answered
		second := dial(t, s)
		io.WriteString(second, tile("same"))
		if status, _ := read(t, second); status != http.StatusConflict {
			t.Errorf("the second request with the ID is answered %d", status)
		}
		select {
		case <-release:
		default:
			close(release)
			if status, body := read(t, first); status != 200 || body != "same" {
				t.Errorf("the first request with the ID is answered %d %q", status, body)
			}
		}
	}
	if len(begun) > 0 {
		t.Error("the ID was forwarded twice")
	}
}

// Many connections that send nothing, or never complete a request, exhaust neither the
// descriptors nor displace connections in use.
func TestManySilentConnections(t *testing.T) {
	s := start(t, nil, listenEndpoint(t, echo(func(*http.Request) {})))
	c := dial(t, s)
	io.WriteString(c, tile("first"))
	if status, _ := read(t, c); status != 200 {
		t.Fatalf("status %d", status)
	}
	for i := range 2 * s.conns.limit {
		silent := dial(t, s)
		if i%2 == 1 {
			io.WriteString(silent, "GET /tile")
		}
	}
	io.WriteString(c, tile("second"))
	if status, _ := read(t, c); status != 200 {
		t.Errorf("a connection in use is answered %d among many silent ones", status)
	}
	newcomer := dial(t, s)
	io.WriteString(newcomer, tile("third"))
	if status, _ := read(t, newcomer); status != 200 {
		t.Errorf("a new connection is answered %d among many silent ones", status)
	}
	if all, _ := s.conns.count(); all > s.conns.limit {
		t.Errorf("%d connections are open, the limit is %d", all, s.conns.limit)
	}
}

// A request with a chunked body is served as any other.
func TestChunkedRequest(t *testing.T) {
	var body atomic.Pointer[[]byte]
	addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		text, _ := io.ReadAll(r.Body)
		body.Store(&text)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	c := dial(t, start(t, nil, addr))
	io.WriteString(c, reportHead+"Req-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	if status, _ := read(t, c); status != 200 || !bytes.Equal(*body.Load(), []byte("abcde")) {
		t.Errorf("status %d, the endpoint got %q", status, *body.Load())
	}
}

// A refusal is sent at once and states when to retry.
func TestRefusal(t *testing.T) {
	c := dial(t, start(t, nil)) // no endpoint is known
	io.WriteString(c, tile("r"))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 7 {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// A request whose endpoint does not answer gets a hedged attempt on another endpoint,
// well before its deadline, and is answered once.
func TestSilentEndpoint(t *testing.T) {
	var n atomic.Int32
	cancelled := make(chan struct{})
	serve := func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if n.Add(1) == 1 {
			br.ReadByte() // the attempt is cancelled once the other one has been answered
			close(cancelled)
			return
		}
		id := r.Header.Get("Req-Id")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	}
	s := start(t, func(c *core.ServiceConfig) {
		c.Policy.HedgedAttempts = true
		c.Policy.Classes[0].Aim = 100 * time.Millisecond
	}, listenEndpoint(t, serve), listenEndpoint(t, serve))
	c := dial(t, s)
	begun := time.Now()
	io.WriteString(c, tile("silent"))
	if status, body := read(t, c); status != 200 || body != "silent" || time.Since(begun) > 6*time.Second {
		t.Errorf("status %d, body %q after %v", status, body, time.Since(begun))
	}
	select {
	case <-cancelled:
	case <-time.After(waitTimeout):
		t.Error("the first attempt is still in flight")
	}
}

// Connections that stay open after one request do not exhaust the connection limit:
// above a threshold, the answer to a first request closes its connection, and
// connections idle for long are closed. A connection with further requests is kept.
func TestManyIdleConnections(t *testing.T) {
	s := start(t, nil, listenEndpoint(t, echo(func(*http.Request) {})))
	ask := func(c net.Conn, id string) (closes bool) {
		t.Helper()
		io.WriteString(c, tile(id))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%s: %v, error %v", id, resp, err)
		}
		return resp.Close
	}
	active := dial(t, s)
	ask(active, "usual")
	ended := 0
	for i := range s.conns.limit {
		if ask(dial(t, s), fmt.Sprint("once-", i)) {
			ended++
		}
		if ask(active, fmt.Sprint("again-", i)) {
			t.Fatal("a connection in use is closed among many idle ones")
		}
	}
	if kept := s.conns.limit - ended; kept > s.conns.busyThreshold {
		t.Errorf("%d connections with a single request are kept, want %d at most", kept, s.conns.busyThreshold)
	}
	s.conns.mu.Lock()
	s.conns.minIdle = 0 // all count as idle for long
	s.conns.mu.Unlock()
	s.conns.closeExcessIdle()
	for until := time.Now().Add(waitTimeout); ; { // each is closed by its reader
		s.conns.mu.Lock()
		kept, threshold := s.conns.answeredConns, s.conns.busyThreshold
		s.conns.mu.Unlock()
		if kept < threshold {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("%d idle connections are left, want less than %d", kept, threshold)
		}
		runtime.Gosched()
	}
}

// A connection that was opened just before a stop has its first request answered, even
// if the request arrives when the server has begun to close idle connections.
func TestFirstRequestAcrossStop(t *testing.T) {
	addr := listenEndpoint(t, echo(func(*http.Request) {}))
	asked := make(chan struct{})
	t.Run("stop", func(inner *testing.T) { // its end stops the server
		s := start(inner, nil, addr)
		s.conns.mu.Lock()
		s.conns.firstTimeout = waitTimeout
		s.conns.mu.Unlock()
		fresh, idle := dial(t, s), dial(t, s)
		br := bufio.NewReader(idle)
		io.WriteString(idle, tile("rests")) // accepted after the other one
		if resp, err := http.ReadResponse(br, nil); err != nil || resp.StatusCode != 200 {
			inner.Fatal(resp, err)
		} else if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			inner.Fatal(err)
		}
		go func() {
			defer close(asked)
			br.ReadByte() // returns when the server closes idle connections
			io.WriteString(fresh, tile("first"))
			if status, _ := read(t, fresh); status != 200 {
				t.Errorf("the first request of a new connection: status %d", status)
			}
		}()
	})
	<-asked
}

// A stop closes idle connections. A request that crosses the close is either not taken,
// so that its client retries it, or answered: if it ran without an answer, it would run
// twice.
func TestStopAnswersTakenRequests(t *testing.T) {
	const rounds, clients = 12, 16
	var seen sync.Map
	addr := listenEndpoint(t, echo(func(r *http.Request) { seen.Store(r.Header.Get("Req-Id"), true) }))
	for round := range rounds {
		var asking sync.WaitGroup
		begun := make(chan struct{}, 2*clients)
		t.Run(fmt.Sprint(round), func(inner *testing.T) { // its end stops the server
			s := start(inner, nil, addr)
			for i := range clients {
				c := dial(t, s)
				asking.Go(func() {
					for n := 0; ; n++ {
						id := fmt.Sprintf("stop-%d-%d-%d", round, i, n)
						_, err := io.WriteString(c, tile(id))
						status := 0
						if err == nil {
							status, _ = read(t, c)
						}
						if n == 20 || status != 200 {
							begun <- struct{}{}
						}
						if status != 200 {
							if _, ran := seen.Load(id); ran {
								t.Errorf("%s ran and got no answer", id)
							}
							return
						}
					}
				})
			}
			for range clients {
				<-begun
			}
		})
		asking.Wait()
	}
}

// stopClient is a client of a server that stops: it sends on its connection for as long
// as that is open, and if the connection closed without an answer, it retries once on a
// new one, as a client may on a connection used before.
type stopClient struct {
	addr string
	keep bool // keep the connection; otherwise each request uses a new one
	conn net.Conn
}

var errStopped = errors.New("the server refuses connections")

// ask sends a request and returns the status of its answer.
func (k *stopClient) ask(id string) (status int, err error) {
	for {
		fresh := k.conn == nil
		if fresh {
			if k.conn, err = net.Dial("tcp", k.addr); errors.Is(err, syscall.ECONNREFUSED) {
				return 0, errStopped
			} else if err != nil {
				return 0, err
			}
			k.conn.SetDeadline(time.Now().Add(waitTimeout))
		}
		resp, err := k.try(id)
		if err == nil {
			if resp.Close || !k.keep {
				k.close()
			}
			return resp.StatusCode, nil
		}
		if k.close(); fresh {
			return 0, fmt.Errorf("on a new connection: %w", err)
		}
	}
}

func (k *stopClient) try(id string) (*http.Response, error) {
	if _, err := io.WriteString(k.conn, tile(id)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(k.conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return resp, err
}

func (k *stopClient) close() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// A server that stops loses no request of clients that send on every connection that
// stays open, and of others that open a connection for each request: each is answered
// until the address refuses connections.
func TestStopUnderClients(t *testing.T) {
	const rounds, clients, each = 4, 24, 20
	addr := listenEndpoint(t, echo(func(*http.Request) {}))
	for round := range rounds {
		var asking sync.WaitGroup
		begun := make(chan struct{}, clients)
		t.Run(fmt.Sprint(round), func(inner *testing.T) { // its end stops the server
			s := start(inner, nil, addr)
			for i := range clients {
				k := &stopClient{addr: s.Addr().String(), keep: i%2 == 0}
				asking.Go(func() {
					defer k.close()
					for n := 0; ; n++ {
						status, err := k.ask(fmt.Sprintf("under-%d-%d-%d", round, i, n))
						if n == each {
							begun <- struct{}{}
						}
						if errors.Is(err, errStopped) && n > each {
							return
						}
						if err != nil || status != 200 {
							t.Errorf("round %d, client %d, request %d: status %d, %v", round, i, n, status, err)
							return
						}
					}
				})
			}
			for range clients {
				<-begun
			}
		})
		asking.Wait()
	}
}
