package sidecar_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds waits for events that are due at once.
const testTimeout = 20 * time.Second

func start(t *testing.T, c scene.Config) *scene.Scene {
	t.Helper()
	if c.Maps == nil {
		c.Maps = []lab.EndpointConfig{{Workers: 64, Body: 10}}
	}
	if c.Aim == 0 {
		c.Aim, c.Deadline = 4*time.Second, 8*time.Second
	}
	s, err := scene.Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s
}

func endpoint(t *testing.T, c lab.EndpointConfig) *lab.Endpoint {
	t.Helper()
	e, err := lab.StartEndpoint(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// answer is an answer as the client receives it.
type answer struct {
	status int
	after  float64 // Retry-After, s; 0: none
	body   string
	closed bool
}

func ask(t *testing.T, s *scene.Scene, l *lab.Load) answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if l.Give == 0 {
		l.Give = 7 * time.Second
	}
	resp, err := http.DefaultClient.Do(l.Request(ctx, s.Addr()))
	if err != nil {
		t.Errorf("%s %s: %v", l.Team, l.Path, err)
		return answer{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("%s %s: %v", l.Team, l.Path, err)
	}
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return answer{resp.StatusCode, after, string(body), resp.Close}
}

func tile(team string) *lab.Load {
	return &lab.Load{Team: team, Path: "/map-tile/3/7?user=k", Kind: "map-tile"}
}

func report(team string) *lab.Load {
	return &lab.Load{Team: team, Method: "POST", Path: "/status-report", Kind: "status-report", Keyed: true}
}

const maps = "[[service]]\nname = 'maps'\n"

// weather returns the section of a second service.
func weather(path string, endpoints ...*lab.Endpoint) string {
	var addrs []string
	for _, e := range endpoints {
		addrs = append(addrs, strconv.Quote(e.Addr()))
	}
	return fmt.Sprintf("[[service]]\nname = 'weather'\nendpoints = [%s]\n[[service.class]]\nname = 'forecast'\npaths = ['%s']\n"+
		"effect = 'safe'\naim = '4s'\ndeadline = '8s'\n", strings.Join(addrs, ", "), path)
}

func contract(team string, share float64, allows ...string) string {
	text := fmt.Sprintf("[[team]]\nname = %q\nshare = %v\n", team, share)
	for _, a := range allows {
		text += "[[team.allow]]\n" + a + "\n"
	}
	return text
}

// A call without a contract is answered 403, one of an unknown path 404, one over its rate
// limit 429 with Retry-After; all are answered at once and never sent to an endpoint, and the
// connection stays open, also after a request with a body. Admitted calls are served.
func TestVerdicts(t *testing.T) {
	var seen atomic.Int32
	s := start(t, scene.Config{
		Maps: []lab.EndpointConfig{{Workers: 8, Body: 10, Seen: func(*http.Request) { seen.Add(1) }}},
		Operator: maps + contract("kiosks", 0.5, "service = 'maps'\nclasses = ['map-tile']\nrate = 0.1\nburst = 2") +
			contract("patrols", 0.5, "service = 'maps'"),
	})
	for i, c := range []struct {
		load   *lab.Load
		status int
		sent   int32
	}{
		{tile("kiosks"), 200, 1},
		{report("kiosks"), 403, 1},
		{&lab.Load{Team: "kiosks", Path: "/order", Kind: "order"}, 404, 1},
		{tile("kiosks"), 200, 2},
		{tile("kiosks"), 429, 2},
		{report("patrols"), 200, 3},
		{tile("patrols"), 200, 4},
		{tile("nobody"), 403, 4},
		{&lab.Load{Team: "patrols", Path: "/map-tile/../order", Kind: "map-tile"}, 400, 4},
	} {
		a := ask(t, s, c.load)
		if a.status != c.status || seen.Load() != c.sent {
			t.Errorf("%d: status %d (%s), %d sent to the endpoint; want %d, %d", i, a.status, a.body, seen.Load(), c.status, c.sent)
		}
		if (a.status == 429) != (a.after > 0) || a.after > 10 {
			t.Errorf("%d: status %d with Retry-After %v", i, a.status, a.after)
		}
		if a.closed != (a.status == 400) {
			t.Errorf("%d: status %d, the connection is closed: %v", i, a.status, a.closed)
		}
	}
}

// All teams without a contract, whatever their names, share one limit, and none of their names
// is mistaken for that of a team with a contract.
func TestUncontractedTeams(t *testing.T) {
	s := start(t, scene.Config{Operator: maps + contract("kiosks", 0.9, "service = 'maps'") +
		"[no-contract]\naction = 'share'\nshare = 0.02\nrate = 0.01\nburst = 4\n"})
	status := map[int]int{}
	for i := range 20 {
		l := tile(fmt.Sprint("nobody-", i))
		switch i % 4 {
		case 1:
			l.Headers = http.Header{"Req-Owner": nil}
		case 2:
			l.Headers = http.Header{"Req-Owner": {"KIOSKS"}}
		case 3:
			l.Headers = http.Header{"Req_Owner": {"kiosks"}}
		}
		status[ask(t, s, l).status]++
	}
	if status[200] != 4 || status[429] != 16 {
		t.Errorf("teams without a contract are answered %v, want 4 of 200 and 16 of 429", status)
	}
	for _, bad := range []http.Header{{"Req-Owner": {strings.Repeat("x", 300)}}, {"Req-Owner": {"kiosks", "nobody"}}, {"Req-Owner": {"nobody", "kiosks"}}} {
		l := tile("kiosks")
		l.Headers = bad
		if a := ask(t, s, l); a.status != 400 {
			t.Errorf("%.40q is answered %d", bad["Req-Owner"], a.status)
		}
	}
	if a := ask(t, s, tile("kiosks")); a.status != 200 {
		t.Errorf("the team with a contract is answered %d", a.status)
	}
}

// A team whose requests fail uses up its own retry budget only: other teams' requests are
// retried as before.
func TestRetryBudgetPerTeam(t *testing.T) {
	var mu sync.Mutex
	attempts := map[string]int{}
	answer := func(w http.ResponseWriter, r *http.Request) bool { // fail every attempt of guests, and the first of each request of kiosks
		mu.Lock()
		defer mu.Unlock()
		attempts[r.Header.Get("Req-Id")]++
		attempts[r.Header.Get("Req-Owner")]++
		if r.Header.Get("Req-Owner") != "guests" && attempts[r.Header.Get("Req-Id")] > 1 {
			return false
		}
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	c := scene.Config{Operator: maps + contract("kiosks", 0.5, "service = 'maps'") + contract("guests", 0.5, "service = 'maps'")}
	for range 3 {
		c.Maps = append(c.Maps, lab.EndpointConfig{Workers: 8, Body: 10, Answer: answer})
	}
	s := start(t, c)
	const requests = 50
	for range requests {
		if a := ask(t, s, tile("guests")); a.status == 200 {
			t.Fatal("a request that fails at every endpoint is served")
		}
	}
	mu.Lock()
	if n := attempts["guests"]; n < requests+5 || n > requests+5+requests/5 {
		t.Errorf("%d requests made %d attempts, at most 5 saved retries and one per 5 requests are allowed", requests, n)
	}
	mu.Unlock()
	for i := range 5 {
		if a := ask(t, s, tile("kiosks")); a.status != 200 {
			t.Errorf("request %d of a team with retries left is answered %d", i, a.status)
		}
	}
}

// A service whose endpoints accept connections and never answer uses at most its own reserve
// and what may be lent to it; the service beside it keeps its descriptors, request slots and
// latency.
func TestHungServiceIsolated(t *testing.T) {
	hung := endpoint(t, lab.EndpointConfig{Workers: 1})
	hung.Silence()
	s := start(t, scene.Config{Sockets: 256, Operator: maps + weather("/forecast", hung) +
		contract("kiosks", 0.5, "service = 'maps'", "service = 'weather'")})
	status := make(chan int, 200)
	var clients sync.WaitGroup
	for range 130 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			status <- ask(t, s, &lab.Load{Team: "kiosks", Path: "/forecast/today", Kind: "forecast", Give: 2 * time.Second}).status
		}()
	}
	for range 130 - 105 { // of 140 slots, it has a quarter reserved and may borrow half
		if got := <-status; got != http.StatusServiceUnavailable {
			t.Errorf("beyond its request slots the hung service's clients are answered %d", got)
		}
	}
	for range 200 {
		if a := ask(t, s, tile("kiosks")); a.status != 200 {
			t.Fatalf("beside the hung service a client is answered %d %s", a.status, a.body)
		}
	}
	var concurrent sync.WaitGroup
	for range 20 {
		concurrent.Add(1)
		go func() {
			defer concurrent.Done()
			if a := ask(t, s, tile("kiosks")); a.status != 200 {
				t.Errorf("one of 20 concurrent requests is answered %d %s", a.status, a.body)
			}
		}()
	}
	concurrent.Wait()
	clients.Wait()
	close(status)
	for got := range status {
		if got != http.StatusGatewayTimeout && got != http.StatusServiceUnavailable { // timed out, or found no free connection
			t.Errorf("the hung service's client is answered %d", got)
		}
	}
	if n := hung.MostOpen(); n > 71 { // of 94 descriptors, it has a quarter reserved and may borrow half
		t.Errorf("the hung service holds %d connections", n)
	}
}

// Reloads under load: shares are halved, a team with open requests is removed, a service is
// added and removed, a path is moved to another service. No request is lost, each is served by
// a service that had the path, and open requests end under the rules that accepted them.
// Nothing of removed services remains.
func TestReloadsUnderLoad(t *testing.T) {
	const body = 20
	first := endpoint(t, lab.EndpointConfig{Workers: 64, Body: body, Work: 5 * time.Millisecond})
	second := endpoint(t, lab.EndpointConfig{Workers: 64, Body: body, Work: 5 * time.Millisecond})
	file := func(i int) string {
		share := 0.5
		if i%2 == 1 {
			share = 0.25
		}
		text := maps + contract("kiosks", share, "service = 'maps'", "service = 'weather'")
		switch i % 4 {
		case 0:
			text += weather("/forecast", first)
		case 1:
			text += weather("/forecast", second) + contract("guests", 0.1, "service = 'maps'")
		case 2: // another class table needs another instance
			text += strings.Replace(weather("/forecast", second), "'4s'", "'3s'", 1) + contract("guests", 0.1, "service = 'weather'")
		case 3: // the path moves to a service of another name
			text += strings.Replace(weather("/forecast", first), "'weather'", "'alps'", 1)
			text = strings.Replace(text, "service = 'weather'", "service = 'alps'", 1)
		}
		return text
	}
	s := start(t, scene.Config{Operator: file(0)})
	stop, progress := make(chan struct{}), make(chan struct{})
	var clients sync.WaitGroup
	var served, refused atomic.Int64
	for i := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				l := &lab.Load{Team: "kiosks", Path: "/forecast/today", Kind: "forecast"}
				if i%3 == 0 {
					l = tile("kiosks")
				} else if i%3 == 1 {
					l.Team = "guests"
				}
				a := ask(t, s, l)
				select {
				case progress <- struct{}{}:
				default:
				}
				switch {
				case a.status == 200:
					served.Add(1)
				case a.status == 403 && l.Team == "guests":
					refused.Add(1)
				default:
					t.Errorf("%s %s is answered %d %s", l.Team, l.Path, a.status, a.body)
				}
			}
		}()
	}
	for i := range 200 {
		if err := s.Reload(file(i)); err != nil {
			t.Fatal(err)
		}
		if i%8 == 0 { // let some requests be served
			for range 20 {
				select {
				case <-progress:
				case <-time.After(testTimeout):
					t.Fatal("no request is answered")
				}
			}
		}
		if err := s.Reload(file(i) + "[no-contract]\nactoin = 'share'\n"); err == nil {
			t.Fatal("an invalid file was accepted")
		}
	}
	close(stop)
	clients.Wait()
	if served.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d were served and %d refused", served.Load(), refused.Load())
	}
	t.Logf("%d served, %d refused", served.Load(), refused.Load())
	if n := s.Sidecar.RetiredServices(); n > 0 {
		t.Errorf("%d removed services still have open connections", n)
	}
}

// A file that exceeds the limits, or that a running sidecar can't apply, is rejected; the
// sidecar keeps serving.
func TestReloadRejected(t *testing.T) {
	s := start(t, scene.Config{Sockets: 64, Operator: maps + contract("kiosks", 0.5, "service = 'maps'")})
	var many string
	for i := range 8 {
		many += fmt.Sprintf("[[service]]\nname = 's%d'\nendpoints = ['127.0.0.1:1']\n[[service.class]]\nname = 'c%d'\neffect = 'safe'\naim = '1s'\ndeadline = '1s'\n", i, i)
	}
	for text, want := range map[string]string{
		maps + many: "descriptors for endpoints",
		maps + contract("kiosks", 0.5, "service = 'maps'\nclasses = ['order']"): "no class",
	} {
		if err := s.Reload(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("the error is %v, want one containing %q", err, want)
		}
	}
	if a := ask(t, s, tile("kiosks")); a.status != 200 {
		t.Errorf("after rejected files a request is answered %d", a.status)
	}
	without := start(t, scene.Config{})
	if without.Reload(maps) == nil {
		t.Error("an operator's file was added while the sidecar runs")
	}
	if a := ask(t, without, tile("anyone")); a.status != 200 {
		t.Errorf("without a file a request is answered %d", a.status)
	}
}

// A service with a registry follows its list, also across a reload.
func TestServiceWithRegistry(t *testing.T) {
	first, second := endpoint(t, lab.EndpointConfig{Workers: 4, Body: 1}), endpoint(t, lab.EndpointConfig{Workers: 4, Body: 2})
	asked := make(chan struct{}, 100)
	entries := scene.Entries(first)
	registry, err := lab.StartRegistry(entries, func() { asked <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	file := maps + fmt.Sprintf("[[service]]\nname = 'weather'\nregistry = %q\n[[service.class]]\nname = 'forecast'\neffect = 'safe'\naim = '4s'\ndeadline = '8s'\n", registry.Addr()) +
		contract("kiosks", 0.5, "service = 'weather'")
	s := start(t, scene.Config{Operator: file})
	forecast := &lab.Load{Team: "kiosks", Path: "/forecast", Kind: "forecast"}
	awaitBody := func(body int) {
		t.Helper()
		for range 50 { // the list has been requested and arrives a moment later
			if a := ask(t, s, forecast); a.status == 200 && len(a.body) == body {
				return
			}
			select {
			case <-asked:
			case <-time.After(100 * time.Millisecond):
			}
		}
		t.Fatalf("no answer of %d bytes", body)
	}
	awaitBody(1)
	if err := s.Reload(file + "[no-contract]\naction = 'share'\n"); err != nil {
		t.Fatal(err)
	}
	entries[0].State = "leaving"
	other := scene.Entries(second)[0]
	other.ID = "other"
	registry.Set(append(entries, other))
	awaitBody(2)
}

// After a reload that replaces the endpoints listed in the file, the old ones get no requests.
func TestEndpointsReplaced(t *testing.T) {
	first, second := endpoint(t, lab.EndpointConfig{Workers: 4, Body: 1}), endpoint(t, lab.EndpointConfig{Workers: 4, Body: 2})
	kiosks := contract("kiosks", 0.5, "service = 'weather'")
	s := start(t, scene.Config{Operator: maps + weather("/forecast", first) + kiosks})
	forecast := &lab.Load{Team: "kiosks", Path: "/forecast", Kind: "forecast"}
	for body, e := range map[int]*lab.Endpoint{1: first, 2: second} {
		if err := s.Reload(maps + weather("/forecast", e) + kiosks); err != nil {
			t.Fatal(err)
		}
		for range 10 {
			if a := ask(t, s, forecast); a.status != 200 || len(a.body) != body {
				t.Fatalf("status %d, %d bytes, want the answer of endpoint %d", a.status, len(a.body), body)
			}
		}
	}
}

// An open request ends normally when a reload removes its team's contract and another removes
// its service.
func TestOpenRequestAcrossReload(t *testing.T) {
	arrived := make(chan string, 10)
	e := endpoint(t, lab.EndpointConfig{Workers: 8, Body: 7, Seen: func(r *http.Request) { arrived <- r.URL.Path }})
	e.Silence()
	s := start(t, scene.Config{Operator: maps + weather("/forecast", e) + contract("kiosks", 0.5, "service = 'weather'\nrate = 0.01\nburst = 1")})
	answered := make(chan answer, 1)
	forecast := &lab.Load{Team: "kiosks", Path: "/forecast/today", Kind: "forecast"}
	go func() { answered <- ask(t, s, forecast) }()
	<-arrived
	if err := s.Reload(maps + weather("/forecast", e) + contract("guests", 0.5, "service = 'weather'")); err != nil {
		t.Fatal(err)
	}
	if a := ask(t, s, &lab.Load{Team: "kiosks", Path: "/forecast/today", Kind: "forecast"}); a.status != 403 {
		t.Errorf("without a contract the team is answered %d", a.status)
	}
	if err := s.Reload(maps + contract("guests", 0.5, "service = 'maps'")); err != nil {
		t.Fatal(err)
	}
	if a := ask(t, s, &lab.Load{Team: "guests", Path: "/forecast/today", Kind: "forecast"}); a.status != 404 {
		t.Errorf("a path of a removed service is answered %d", a.status)
	}
	e.Speak()
	select {
	case a := <-answered:
		if a.status != 200 || len(a.body) != 7 {
			t.Errorf("the open request is answered %d %q", a.status, a.body)
		}
	case <-time.After(testTimeout):
		t.Fatal("the open request has no answer")
	}
}

// 200 reloads that add and remove services, teams and paths leak no memory: the heap grows by
// less than 1 KiB per reload.
func TestReloadsDoNotGrow(t *testing.T) {
	e := endpoint(t, lab.EndpointConfig{Workers: 8, Body: 20})
	s := start(t, scene.Config{Operator: maps})
	reload := func(times int) {
		for i := range times {
			text := maps
			for n := range 20 {
				text += contract(fmt.Sprintf("team-%d-%d", i, n), 0.01, "service = 'maps'")
			}
			if i%2 == 1 {
				text += strings.Replace(weather("/forecast", e), "'weather'", fmt.Sprintf("'weather-%d'", i), 1)
			}
			if err := s.Reload(text); err != nil {
				t.Fatal(err)
			}
			if a := ask(t, s, tile(fmt.Sprintf("team-%d-0", i))); a.status != 200 {
				t.Fatalf("reload %d: the team is answered %d", i, a.status)
			}
		}
	}
	reload(60)
	before := heapAtRest()
	reload(200)
	if n := s.Sidecar.RetiredServices(); n > 0 {
		t.Errorf("%d removed services still have open connections", n)
	}
	after := heapAtRest()
	t.Logf("%d bytes before, %d after", before, after)
	if grown := int64(after) - int64(before); grown > 200<<10 {
		t.Errorf("200 reloads leaked %d bytes", grown)
	}
}

// heapAtRest returns the heap's size once further collections no longer reduce it.
func heapAtRest() uint64 {
	var m runtime.MemStats
	least := uint64(math.MaxUint64)
	for same := 0; same < 5; {
		runtime.GC()
		runtime.ReadMemStats(&m)
		if m.HeapAlloc < least {
			least, same = m.HeapAlloc, 0
		} else {
			same++
		}
	}
	return least
}

// A service is added while the open requests of another hold every descriptor: the new one gets
// its reserve as they end, and the limit of descriptors is never exceeded.
func TestServiceAddedAtDescriptorLimit(t *testing.T) {
	const descriptors = 17 // of 64, with 20 for the sidecar itself and 26 for clients
	arrived := make(chan struct{}, 100)
	seen := func(*http.Request) { arrived <- struct{}{} }
	s := start(t, scene.Config{Sockets: 64, Maps: []lab.EndpointConfig{{Workers: 64, Body: 10, Seen: seen}},
		Operator: maps + contract("kiosks", 0.5, "service = 'maps'")})
	s.Maps[0].Silence()
	answers := make(chan int, 25)
	for range 22 {
		go func() { answers <- ask(t, s, tile("kiosks")).status }()
	}
	for range descriptors {
		select {
		case <-arrived:
		case <-time.After(testTimeout):
			t.Fatal("the requests that hold the descriptors do not arrive")
		}
	}
	e := endpoint(t, lab.EndpointConfig{Workers: 8, Body: 20})
	if err := s.Reload(maps + weather("/forecast", e) + contract("kiosks", 0.5, "service = 'maps'", "service = 'weather'")); err != nil {
		t.Fatal(err)
	}
	forecast := func(give time.Duration) int {
		return ask(t, s, &lab.Load{Team: "kiosks", Path: "/forecast/today", Kind: "forecast", Give: give}).status
	}
	if status := forecast(time.Second); status == 200 || e.MostOpen() > 0 {
		t.Errorf("with all %d descriptors in use another one is opened: status %d", descriptors, status)
	}
	s.Maps[0].Speak()
	if status := forecast(7 * time.Second); status != 200 {
		t.Errorf("once descriptors are released, the new service's client is answered %d", status)
	}
	for range 22 {
		if status := <-answers; status != 200 && status != 503 { // for lack of a descriptor
			t.Errorf("one of the requests that held the descriptors is answered %d", status)
		}
	}
}
