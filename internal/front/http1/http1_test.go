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

// patience bounds waits for what should come at once, or within a second or two
// by a time limit of the sidecar's own.
const patience = 20 * time.Second

// endpoint listens as one would and answers each connection by hand.
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

// echo answers every request with its id, and tells seen of each.
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

// start runs a server over a service of these endpoints, with change applied to
// what the service is made of.
func start(t *testing.T, change func(c *core.ServiceConfig), endpoints ...string) *Server {
	t.Helper()
	return startWith(t, Config{}, change, endpoints...)
}

// startWith is start with settings of the server's own.
func startWith(t testing.TB, config Config, change func(c *core.ServiceConfig), endpoints ...string) *Server {
	t.Helper()
	s := listening(t, config, change, endpoints...)
	t.Cleanup(serve(s))
	return s
}

// serve has a server take requests until the function that it returns has stopped it.
func serve(s *Server) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	return sync.OnceFunc(func() {
		cancel()
		<-ended
	})
}

// listening is a server whose address is open and that takes nothing yet.
func listening(t testing.TB, config Config, change func(c *core.ServiceConfig), endpoints ...string) *Server {
	t.Helper()
	const limit, crowd = 140, 40
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
	config.Listen, config.MaxWait = "127.0.0.1:0", 8*time.Second
	if config.Limit == 0 {
		config.Limit, config.BusyThreshold = limit, crowd
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
	c.SetDeadline(time.Now().Add(patience))
	return c
}

const tileHead = "GET /tile/1?user=k HTTP/1.1\r\nHost: b\r\nReq-Kind: tile\r\nReq-Owner: o\r\nReq-Deadline: 7000m\r\n"

func tile(id string) string { return tileHead + "Req-Id: " + id + "\r\n\r\n" }

const reportHead = "POST /report HTTP/1.1\r\nHost: b\r\nReq-Kind: report\r\nReq-Deadline: 7000m\r\nIdempotency-Key: k\r\n"

func report(id, body string) string {
	return fmt.Sprintf("%sReq-Id: %s\r\nContent-Length: %d\r\n\r\n%s", reportHead, id, len(body), body)
}

// read reads an answer; status 0 where the connection was closed instead.
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
		t.Fatal("neither an answer nor a close")
	}
	return 0, ""
}

// What can't be a request of the application's gets an error or a close, and
// soon, whether or not its sender goes on; none of it goes to an endpoint. The
// usual clients are served all the while.
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
			if took := time.Since(begun); took > 2*requestPatience {
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
			t.Errorf("request %q was sent on", *id)
		}
	})
}

// What was matched is what is sent on, byte for byte, and a field that spells a
// known one with _ goes no further.
func TestSentOnAsMatched(t *testing.T) {
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
		t.Errorf("%q was sent on, %q was matched", got.target, target)
	}
	for name := range got.names {
		if strings.Contains(name, "_") && !strings.EqualFold(name, "My_Own") {
			t.Errorf("%s was sent on", name)
		}
	}
	if got.names.Get("My_Own") != "yes" {
		t.Error("a field that spells no known one was dropped")
	}
}

// An id that is in use is not sent on a second time; its owner is served.
func TestIDInUse(t *testing.T) {
	begun, release := make(chan string, 10), make(chan struct{})
	addr := listenEndpoint(t, echo(func(r *http.Request) {
		begun <- r.Header.Get("Req-Id")
		<-release
	}))
	s := start(t, nil, addr)
	owner := dial(t, s)
	io.WriteString(owner, tile("same"))
	<-begun
	for range 2 { // while it is open, and once it has been answered
		thief := dial(t, s)
		io.WriteString(thief, tile("same"))
		if status, _ := read(t, thief); status != http.StatusConflict {
			t.Errorf("the id's second user is answered %d", status)
		}
		select {
		case <-release:
		default:
			close(release)
			if status, body := read(t, owner); status != 200 || body != "same" {
				t.Errorf("its owner is answered %d %q", status, body)
			}
		}
	}
	if len(begun) > 0 {
		t.Error("the id went out twice")
	}
}

// A crowd of connections that say nothing, or never end what they say, takes
// neither the descriptors nor the connections of those who use theirs.
func TestSilentCrowd(t *testing.T) {
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
		t.Errorf("a connection in use is answered %d in the crowd", status)
	}
	late := dial(t, s)
	io.WriteString(late, tile("third"))
	if status, _ := read(t, late); status != 200 {
		t.Errorf("a new connection is answered %d in the crowd", status)
	}
	if all, _, _ := s.conns.count(0); all > s.conns.limit {
		t.Errorf("%d connections are held, the limit is %d", all, s.conns.limit)
	}
}

// A request with its body in chunks is as good as any other.
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

// A refusal is given at once and tells when to come back.
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

// A request whose endpoint says nothing gets a second copy, on another endpoint
// and well before its time is up, and is answered once.
func TestSilentEndpoint(t *testing.T) {
	var n atomic.Int32
	gone := make(chan struct{})
	serve := func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if n.Add(1) == 1 {
			br.ReadByte() // the attempt is given up once the other has answered
			close(gone)
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
	case <-gone:
	case <-time.After(patience):
		t.Error("the first attempt is still out")
	}
}

// Connections that ask once and stay do not use up those that the application
// may hold: past a number the answer to a first request ends its connection,
// and those that have rested long are closed. One that asks again is kept.
func TestCrowdThatStays(t *testing.T) {
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
	usual := dial(t, s)
	ask(usual, "usual")
	ended := 0
	for i := range s.conns.limit {
		if ask(dial(t, s), fmt.Sprint("once-", i)) {
			ended++
		}
		if ask(usual, fmt.Sprint("again-", i)) {
			t.Fatal("a connection in use is closed in the crowd")
		}
	}
	if kept := s.conns.limit - ended; kept > s.conns.crowd {
		t.Errorf("%d connections that asked once are kept, want %d at most", kept, s.conns.crowd)
	}
	s.conns.mu.Lock()
	s.conns.rest = 0 // they all have rested long
	s.conns.mu.Unlock()
	s.conns.thin()
	for until := time.Now().Add(patience); ; { // each is closed by who reads it
		s.conns.mu.Lock()
		kept, crowd := s.conns.kept, s.conns.crowd
		s.conns.mu.Unlock()
		if kept < crowd {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("%d connections are left of the crowd, want less than %d", kept, crowd)
		}
		runtime.Gosched()
	}
}

// A connection that was opened just before a stop has its first request answered,
// though that comes when the server has begun to close what rests.
func TestFirstRequestAcrossStop(t *testing.T) {
	at := listenEndpoint(t, echo(func(*http.Request) {}))
	asked := make(chan struct{})
	t.Run("stop", func(inner *testing.T) { // its end stops the server
		s := start(inner, nil, at)
		s.conns.mu.Lock()
		s.conns.first = patience
		s.conns.mu.Unlock()
		fresh, rests := dial(t, s), dial(t, s)
		br := bufio.NewReader(rests)
		io.WriteString(rests, tile("rests")) // accepted after the other one
		if resp, err := http.ReadResponse(br, nil); err != nil || resp.StatusCode != 200 {
			inner.Fatal(resp, err)
		} else if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			inner.Fatal(err)
		}
		go func() {
			defer close(asked)
			br.ReadByte() // it ends as the server closes what rests
			io.WriteString(fresh, tile("first"))
			if status, _ := read(t, fresh); status != 200 {
				t.Errorf("the first request of a new connection: status %d", status)
			}
		}()
	})
	<-asked
}

// A stop closes the connections that rest. A request that crosses that is either
// not taken, and its client's to send again, or answered: one that ran without an
// answer would run twice.
func TestStopAnswersWhatItTook(t *testing.T) {
	const rounds, clients = 12, 16
	var seen sync.Map
	at := listenEndpoint(t, echo(func(r *http.Request) { seen.Store(r.Header.Get("Req-Id"), true) }))
	for round := range rounds {
		var asking sync.WaitGroup
		begun := make(chan struct{}, 2*clients)
		t.Run(fmt.Sprint(round), func(inner *testing.T) { // its end stops the server
			s := start(inner, nil, at)
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
								t.Errorf("%s ran and has no answer", id)
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

// stopClient is a client of a server that stops: it sends on its connection for as long as
// that stays open, and where that ended without an answer once more on a new one, as a
// client may that had used it before.
type stopClient struct {
	at   string
	keep bool // its connection; else each request has a new one
	c    net.Conn
}

var errStopped = errors.New("nobody listens any more")

// ask sends a request, and returns the status of its answer.
func (k *stopClient) ask(id string) (status int, err error) {
	for {
		fresh := k.c == nil
		if fresh {
			if k.c, err = net.Dial("tcp", k.at); errors.Is(err, syscall.ECONNREFUSED) {
				return 0, errStopped
			} else if err != nil {
				return 0, err
			}
			k.c.SetDeadline(time.Now().Add(patience))
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
	if _, err := io.WriteString(k.c, tile(id)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(k.c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return resp, err
}

func (k *stopClient) close() {
	if k.c != nil {
		k.c.Close()
		k.c = nil
	}
}

// A server that stops under clients that send on every connection that stays open, and
// others that open a new one for each request, loses none: each has its answer, until
// nobody listens any more.
func TestStopUnderClients(t *testing.T) {
	const rounds, clients, each = 4, 24, 20
	at := listenEndpoint(t, echo(func(*http.Request) {}))
	for round := range rounds {
		var asking sync.WaitGroup
		begun := make(chan struct{}, clients)
		t.Run(fmt.Sprint(round), func(inner *testing.T) { // its end stops the server
			s := start(inner, nil, at)
			for i := range clients {
				k := &stopClient{at: s.Addr().String(), keep: i%2 == 0}
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
