// Package fronttest is one test suite for the front ends of all protocols: given a
// client for a protocol, it sends requests and reads their outcomes. What clients see,
// and what endpoints see of their requests, must not depend on the protocol.
package fronttest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/framing"
	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// Request is a request that a case sends.
type Request struct {
	Method string
	Target string
	Header http.Header
	Body   string
	Length int64 // declared; 0: that of Body
}

// Outcome is the outcome of a request.
type Outcome struct {
	Status     int // 0: no answer
	Body       string
	RetryAfter bool   // there is a time, and it is not longer than the client waits
	Attempts   int    // of the request, as seen at endpoints
	Effects    int    // of its key, as run at endpoints: repeats that a pod drops do not count
	Reason     string // of a status 0, if the protocol provides one
}

func (o Outcome) String() string {
	return fmt.Sprintf("status %d, body %.40q, Retry-After %v, attempts %d, effects %d %s", o.Status, o.Body, o.RetryAfter, o.Attempts, o.Effects, o.Reason)
}

// Client sends requests over one protocol.
type Client interface {
	// Do sends a request and reads its answer. When ctx ends, the client disconnects.
	Do(ctx context.Context, r Request) (*http.Response, error)
	Close()
}

// Dial makes a client of a scene.
type Dial func(s *scene.Scene) (Client, error)

// Case is one scenario.
type Case struct {
	Name  string
	Scene scene.Config
	// Play sends requests and returns their outcomes in order.
	Play func(p *Player) []Outcome
}

// Player runs a case over one protocol.
type Player struct {
	Client Client
	Scene  *scene.Scene
	Seen   *Seen
	play   int64 // number of the run, for unique IDs: the endpoints of a case may know earlier ones
	n      int
}

var plays atomic.Int64

// Seen records what endpoints have seen.
type Seen struct {
	mu        sync.Mutex
	attempts  map[string]int
	effects   map[string]int
	arrived   chan string // paths of complete requests; bounded, what exceeds the buffer is dropped
	cancelled chan string // paths of requests whose attempt was cancelled
}

func newSeen() *Seen {
	return &Seen{attempts: map[string]int{}, effects: map[string]int{}, arrived: make(chan string, 1000), cancelled: make(chan string, 1000)}
}

func (s *Seen) request(r *http.Request) {
	s.mu.Lock()
	s.attempts[r.Header.Get("Req-Id")]++
	if key := r.Header.Get("Idempotency-Key"); key != "" && s.effects[key] == 0 {
		s.effects[key]++
	}
	s.mu.Unlock()
	select {
	case s.arrived <- r.URL.Path:
	default:
	}
	context.AfterFunc(r.Context(), func() {
		select {
		case s.cancelled <- r.URL.Path:
		default:
		}
	})
}

// waitTimeout is the timeout for what should happen at once.
const waitTimeout = 20 * time.Second

// Operator has the contracts of all cases without their own.
const Operator = `[[service]]
name = "maps"
[[team]]
name = "kiosks"
share = 0.5
[[team.allow]]
service = "maps"
classes = ["map-tile"]
[[team]]
name = "patrols"
share = 0.5
[[team.allow]]
service = "maps"
[[team]]
name = "slow"
[[team.allow]]
service = "maps"
rate = 0.01
burst = 1
`

// Tile is an idempotent request; Report is one with an idempotency key.
func (p *Player) Tile(team string) Request {
	p.n++
	return Request{Method: "GET", Target: "/map-tile/3/7?user=k", Header: http.Header{
		"Req-Id": {p.uniqueName("id")}, "Req-Kind": {"map-tile"}, "Req-Owner": {team}, "Req-Deadline": {"3000m"},
	}}
}

func (p *Player) Report(team string) Request {
	p.n++
	return Request{Method: "POST", Target: "/status-report?user=k", Body: strings.Repeat("r", 212), Header: http.Header{
		"Req-Id": {p.uniqueName("id")}, "Req-Kind": {"status-report"}, "Req-Owner": {team}, "Req-Deadline": {"3000m"},
		"Idempotency-Key": {p.uniqueName("key")},
	}}
}

func (p *Player) uniqueName(kind string) string { return fmt.Sprintf("%s-%d-%d", kind, p.play, p.n) }

// With returns a changed copy of a request.
func (r Request) With(change func(r *Request)) Request {
	change(&r)
	return r
}

// Ask sends a request and waits for its outcome.
func (p *Player) Ask(r Request) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return p.ask(ctx, r)
}

func (p *Player) ask(ctx context.Context, r Request) (o Outcome) {
	resp, err := p.Client.Do(ctx, r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		o.Status, o.Body, o.RetryAfter = resp.StatusCode, string(body), after > 0
	}
	if err != nil {
		o = Outcome{Reason: "no answer"}
	}
	p.Seen.mu.Lock()
	defer p.Seen.mu.Unlock()
	o.Attempts = p.Seen.attempts[r.Header.Get("Req-Id")]
	o.Effects = p.Seen.effects[r.Header.Get("Idempotency-Key")]
	return o
}

// Play runs a case with a client of its own.
func Play(c Case, dial Dial) ([]Outcome, error) {
	seen := newSeen()
	config := c.Scene
	if config.Operator == "" {
		config.Operator = Operator
	}
	if config.Maps == nil {
		config.Maps = []lab.EndpointConfig{{Workers: 16, Body: 300}, {Workers: 16, Body: 300}}
	}
	for i := range config.Maps {
		config.Maps[i].Seen = seen.request
	}
	if config.Aim == 0 {
		config.Aim, config.Deadline = 2*time.Second, 3*time.Second
	}
	config.HTTP3 = true
	s, err := scene.Start(config)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	client, err := dial(s)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return c.Play(&Player{Client: client, Scene: s, Seen: seen, play: plays.Add(1)}), nil
}

// drop closes the connection of a request at an endpoint, after writing a text.
func drop(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(conn, text)
	if text == "" {
		conn.(*net.TCPConn).SetLinger(0)
	}
	conn.Close()
}

// faulty makes three endpoints with the same faulty answer.
func faulty(answer func(w http.ResponseWriter, r *http.Request)) scene.Config {
	e := lab.EndpointConfig{Workers: 8, Body: 300, Answer: func(w http.ResponseWriter, r *http.Request) bool {
		answer(w, r)
		return true
	}}
	return scene.Config{Maps: []lab.EndpointConfig{e, e, e}}
}

// both sends one tile request and one report.
func both(p *Player) []Outcome { return []Outcome{p.Ask(p.Tile("kiosks")), p.Ask(p.Report("patrols"))} }

// set changes a field of a tile request; no values remove it.
func set(name string, values ...string) func(p *Player) []Outcome {
	return func(p *Player) []Outcome {
		return []Outcome{p.Ask(p.Tile("patrols").With(func(r *Request) {
			if r.Header.Del(name); len(values) > 0 {
				r.Header[name] = values
			}
		}))}
	}
}

func target(method, path string) func(p *Player) []Outcome {
	return func(p *Player) []Outcome {
		return []Outcome{p.Ask(p.Tile("patrols").With(func(r *Request) { r.Method, r.Target = method, path }))}
	}
}

// Cases returns the suite, sorted by name.
func Cases() []Case {
	cases := []Case{
		{Name: "served", Play: both},
		{Name: "many on one client", Play: func(p *Player) (all []Outcome) {
			for range 20 {
				all = append(all, both(p)...)
			}
			return all
		}},
		{Name: "call without a contract", Play: func(p *Player) []Outcome { return []Outcome{p.Ask(p.Report("kiosks"))} }},
		{Name: "no contract", Play: func(p *Player) []Outcome { return []Outcome{p.Ask(p.Tile("nobody"))} }},
		{Name: "over the rate", Play: func(p *Player) []Outcome {
			return []Outcome{p.Ask(p.Tile("slow")), p.Ask(p.Tile("slow")), p.Ask(p.Report("slow")), p.Ask(p.Tile("kiosks"))}
		}},
		{Name: "unknown path", Play: target("GET", "/order")},
		{Name: "dots", Play: target("GET", "/map-tile/../order")},
		{Name: "encoded dots", Play: target("GET", "/map-tile/%2e%2e/order")},
		{Name: "encoded slash", Play: target("GET", "/map-tile%2forder")},
		{Name: "empty segment", Play: target("GET", "//map-tile")},
		{Name: "another method", Play: target("PUT", "/map-tile/3/7")},
		{Name: "OPTIONS", Play: target("OPTIONS", "/map-tile/3/7")},
		{Name: "HEAD", Play: target("HEAD", "/map-tile/3/7")},
		{Name: "no id", Play: set("Req-Id")},
		{Name: "two ids", Play: set("Req-Id", "a", "b")},
		{Name: "long id", Play: set("Req-Id", strings.Repeat("x", 300))},
		{Name: "two owners", Play: set("Req-Owner", "patrols", "kiosks")},
		{Name: "another class", Play: set("Req-Kind", "status-report")},
		{Name: "no deadline", Play: set("Req-Deadline")},
		{Name: "bad deadline", Play: set("Req-Deadline", "soon")},
		{Name: "negative deadline", Play: set("Req-Deadline", "-5m")},
		{Name: "key on a safe class", Play: set("Idempotency-Key", "k")},
		{Name: "field that spells another", Play: set("Req_id", "other")},
		{Name: "keyed without key", Play: func(p *Player) []Outcome {
			return []Outcome{p.Ask(p.Report("patrols").With(func(r *Request) { r.Header.Del("Idempotency-Key") }))}
		}},
		{Name: "GET with a body", Play: func(p *Player) []Outcome {
			return []Outcome{p.Ask(p.Tile("patrols").With(func(r *Request) { r.Body = "abc" }))}
		}},
		{Name: "body of 64 KiB", Play: func(p *Player) []Outcome {
			return []Outcome{p.Ask(p.Report("patrols").With(func(r *Request) { r.Body = strings.Repeat("b", 64<<10) }))}
		}},
		{Name: "body too long", Play: func(p *Player) []Outcome {
			return []Outcome{p.Ask(p.Report("patrols").With(func(r *Request) { r.Body = strings.Repeat("b", 64<<10+1) }))}
		}},
		{Name: "id used before", Play: func(p *Player) []Outcome {
			r := p.Tile("kiosks")
			return []Outcome{p.Ask(r), p.Ask(r)}
		}},
		{Name: "errors", Scene: faulty(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }), Play: both},
		{Name: "declined", Scene: faulty(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Srv-Declined", "1")
			w.WriteHeader(503)
		}), Play: both},
		{Name: "reset", Scene: faulty(func(w http.ResponseWriter, _ *http.Request) { drop(w, "") }), Play: both},
		{Name: "broken off", Scene: faulty(func(w http.ResponseWriter, _ *http.Request) {
			drop(w, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		}), Play: both},
		{Name: "noise", Scene: faulty(func(w http.ResponseWriter, _ *http.Request) { drop(w, "noise\r\n\r\n") }), Play: both},
		{Name: "long answer", Scene: faulty(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "300000")
			io.WriteString(w, strings.Repeat("l", 300000))
		}), Play: both},
		{Name: "answer with pauses", Scene: faulty(func(w http.ResponseWriter, r *http.Request) { writeWithPauses(w, r, "") }), Play: both},
		{Name: "long answer behind its head", Scene: faulty(func(w http.ResponseWriter, r *http.Request) { writeWithPauses(w, r, "300000") }), Play: both},
		{Name: "more fields than allowed", Play: func(p *Player) []Outcome {
			return []Outcome{p.Ask(p.Tile("patrols").With(func(r *Request) {
				for i := range framing.MaxFields {
					r.Header.Set(fmt.Sprintf("X-%d", i), "")
				}
			}))}
		}},
		{Name: "answer of 3 GB", Scene: faulty(func(w http.ResponseWriter, _ *http.Request) {
			drop(w, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand more")
		}), Play: both},
		{Name: "silence", Scene: scene.Config{Aim: 300 * time.Millisecond, Deadline: 400 * time.Millisecond, Maps: []lab.EndpointConfig{{Workers: 0}}}, Play: both},
		{Name: "no endpoint", Scene: scene.Config{Maps: []lab.EndpointConfig{}}, Play: both},
		{Name: "one of two fails once", Scene: scene.Config{Maps: []lab.EndpointConfig{failsOnce()}}, Play: both},
		{Name: "client leaves", Play: clientDisconnects, Scene: scene.Config{Maps: []lab.EndpointConfig{{Workers: 0}}}},
		{Name: "reload", Play: func(p *Player) []Outcome {
			before := p.Ask(p.Report("kiosks"))
			if err := p.Scene.Reload(strings.Replace(Operator, `classes = ["map-tile"]`, "", 1)); err != nil {
				return []Outcome{{Reason: err.Error()}}
			}
			return []Outcome{before, p.Ask(p.Report("kiosks"))}
		}},
		{Name: "endpoint drains", Play: endpointDrains},
		{Name: "stop with a request open", Play: stopWithOneOpen, Scene: scene.Config{Maps: []lab.EndpointConfig{{Workers: 1, Work: 300 * time.Millisecond, Body: 10}}}},
		{Name: "stop under load", Play: stopUnderLoad, Scene: scene.Config{Maps: []lab.EndpointConfig{{Workers: 16, Work: 20 * time.Millisecond, Body: 10}}}},
	}
	sort.SliceStable(cases, func(i, j int) bool { return cases[i].Name < cases[j].Name })
	return cases
}

// writeWithPauses writes an answer of 300,000 bytes in three pieces behind its head, each after a pause that is longer
// than an answer usually has. length is the stated one; "": none.
func writeWithPauses(w http.ResponseWriter, r *http.Request, length string) {
	const pieces, pause = 3, 200 * time.Millisecond
	if length != "" {
		w.Header().Set("Content-Length", length)
	}
	rc := http.NewResponseController(w)
	rc.Flush()
	for range pieces {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		io.WriteString(w, strings.Repeat("p", 300_000/pieces))
		rc.Flush()
	}
}

// failsOnce is an endpoint that answers the first attempt of each request with an
// error.
func failsOnce() lab.EndpointConfig {
	var mu sync.Mutex
	seen := map[string]bool{}
	return lab.EndpointConfig{Workers: 8, Body: 10, Answer: func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("Req-Id")
		if seen[id] {
			return false
		}
		seen[id] = true
		w.WriteHeader(500)
		return true
	}}
}

// clientDisconnects has a client disconnect while an endpoint works: the attempt is
// cancelled, and no other is made.
func clientDisconnects(p *Player) []Outcome {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	r := p.Report("patrols")
	ended := make(chan Outcome, 1)
	go func() { ended <- p.ask(ctx, r) }()
	if !await(p.Seen.arrived) {
		return []Outcome{{Reason: "the request did not arrive"}}
	}
	leave()
	if !await(p.Seen.cancelled) {
		return []Outcome{{Reason: "the attempt was not cancelled"}}
	}
	<-ended
	p.Seen.mu.Lock()
	defer p.Seen.mu.Unlock()
	return []Outcome{{Attempts: p.Seen.attempts[r.Header.Get("Req-Id")], Effects: p.Seen.effects[r.Header.Get("Idempotency-Key")]}}
}

func await(c <-chan string) bool {
	select {
	case <-c:
		return true
	case <-time.After(waitTimeout):
		return false
	}
}

// endpointDrains removes an endpoint from the list: later requests go to the other one.
func endpointDrains(p *Player) []Outcome {
	first := p.Ask(p.Tile("kiosks"))
	entries := scene.Entries(p.Scene.Maps...)
	entries[0].State = "leaving"
	p.Scene.Registry.Set(entries)
	before := 0
	for range 200 { // until the sidecar knows, which shows only in where requests go
		if before = p.Scene.Maps[0].Served(); p.Ask(p.Tile("kiosks")).Status != 200 {
			return []Outcome{{Reason: "a request failed while an endpoint was draining"}}
		}
		if notServed(p, before, 5) {
			return []Outcome{first, p.Ask(p.Tile("kiosks"))}
		}
	}
	return []Outcome{{Reason: "requests are still sent to a draining endpoint"}}
}

// notServed reports whether n requests leave the first endpoint's number of served
// requests unchanged.
func notServed(p *Player, served, n int) bool {
	for range n {
		p.Ask(p.Tile("kiosks"))
	}
	return p.Scene.Maps[0].Served() == served
}

// stopWithOneOpen stops the sidecar while it works on a request. That request is
// answered, and none is taken after it.
func stopWithOneOpen(p *Player) []Outcome {
	ended := make(chan Outcome, 1)
	r := p.Tile("kiosks")
	go func() { ended <- p.Ask(r) }()
	if !await(p.Seen.arrived) {
		return []Outcome{{Reason: "the request did not arrive"}}
	}
	p.Scene.Stop()
	o := <-ended
	p.Scene.Wait()
	after := p.Ask(p.Tile("kiosks"))
	return []Outcome{o, after}
}

// stopUnderLoad stops the sidecar while clients send requests: each request that has
// reached an endpoint is answered, and one that is not answered has never started. It
// has one combined outcome; how many requests succeed is not compared.
func stopUnderLoad(p *Player) []Outcome {
	const clients, maxRequests = 8, 2000
	var asking sync.WaitGroup
	var mu sync.Mutex
	all := Outcome{}
	fail := func(o Outcome) {
		mu.Lock()
		defer mu.Unlock()
		all.Reason = "wrong: " + o.String()
	}
	for range clients {
		requests := make([]Request, maxRequests)
		for i := range requests {
			requests[i] = p.Report("patrols")
		}
		asking.Go(func() {
			for _, r := range requests {
				o := p.Ask(r)
				if o.Status != 200 && o.Attempts == 0 {
					return // never started: refused, or the connection was not accepted
				}
				if o.Status != 200 || o.Effects != 1 {
					fail(o)
					return
				}
			}
			fail(Outcome{Reason: "the server did not stop"})
		})
	}
	for range 100 {
		if !await(p.Seen.arrived) {
			return []Outcome{{Reason: "no load"}}
		}
	}
	p.Scene.Stop()
	asking.Wait()
	if err := p.Scene.Wait(); err != nil {
		all.Reason = err.Error()
	}
	return []Outcome{all}
}
