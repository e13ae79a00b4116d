package sidecar_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"spokegw/internal/handover"
	"spokegw/internal/lab"
	"spokegw/internal/lab/process"
	"spokegw/internal/lab/scene"
	"spokegw/internal/operator"
	"spokegw/internal/sidecar"
)

// reserveAddr reserves an address for the duration of the test.
func reserveAddr(t *testing.T) string {
	t.Helper()
	addr, err := process.TakeAddr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.GiveBack(addr) })
	return addr
}

// A successor inherits the state of its predecessor: the drain of an endpoint that only the
// predecessor knows of, endpoints disabled by operators, and recent request ids.
func TestHandoverState(t *testing.T) {
	addr := reserveAddr(t)
	c := scene.Config{Listen: addr, Folder: t.TempDir(), Maps: []lab.EndpointConfig{{Workers: 8}, {Workers: 8}, {Workers: 8}}}
	old := startReady(t, c)
	must(t, old, "disable-server maps-1")
	entries := scene.Entries(old.Maps...)
	entries[0].State = "leaving"
	old.Registry.Set(entries)
	for !strings.Contains(must(t, old, "show-members"), "state=leaving") { // the watch delivers it
	}
	if resp := ask(t, old, withID("once")).status; resp != 200 {
		t.Fatalf("status %d", resp)
	}
	c.Maps, c.Beside = nil, old // the successor's own configuration has none of that
	next := startReady(t, c)
	if text := must(t, next, "show-members"); !strings.Contains(text, "avoided=leaving") || !strings.Contains(text, "avoided=disabled") {
		t.Errorf("%s", text)
	}
	old.Stop()
	if err := old.Wait(); err != nil {
		t.Error(err)
	}
	if resp := ask(t, old, withID("once")).status; resp != 409 {
		t.Errorf("an id that the predecessor accepted is answered %d", resp)
	}
	if resp := ask(t, old, withID("twice")).status; resp != 200 {
		t.Errorf("status %d", resp)
	}
	if old.Maps[0].Served()+old.Maps[1].Served() != 0 {
		t.Error("a draining or disabled endpoint got a request")
	}
}

// withID returns a tile request with the given id.
func withID(id string) *lab.Load {
	l := tile("")
	l.Headers = http.Header{"Req-Id": {id}}
	return l
}

// reports records the cells of the endpoints that received keyed requests, by key.
type reports struct {
	mu      sync.Mutex
	cells   map[string][]int
	arrived chan string // keys of arrived requests
}

// endpoints returns eight endpoints in two cells that record their requests.
func (r *reports) endpoints() (all []lab.EndpointConfig) {
	for i := range 8 {
		all = append(all, lab.EndpointConfig{Workers: 100, Seen: func(req *http.Request) {
			key := req.Header.Get("Idempotency-Key")
			r.mu.Lock()
			r.cells[key] = append(r.cells[key], i/4)
			r.mu.Unlock()
			r.arrived <- key
		}})
	}
	return all
}

func (r *reports) of(key string) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int(nil), r.cells[key]...)
}

// sendReport sends a keyed request on a connection without waiting for its answer.
func sendReport(t *testing.T, c net.Conn, id, key string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "POST /status-report?user=k HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 9000m\r\nIdempotency-Key: %s\r\nContent-Length: 1\r\n\r\nx", id, key); err != nil {
		t.Fatal(err)
	}
}

func connect(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// A keyed request is in flight in the old process, accepted before or after the new one
// started, when the client repeats it at the new one: the repeat reaches only endpoints that
// deduplicate it. Without that, all of twenty keys would do so by chance once in a million
// runs.
func TestKeyedRepeatAcrossProcesses(t *testing.T) {
	const keys = 20
	r := &reports{cells: map[string][]int{}, arrived: make(chan string, 16*keys)}
	c := scene.Config{Listen: reserveAddr(t), Folder: t.TempDir(), Maps: r.endpoints(), Aim: 9 * time.Second, Deadline: 9 * time.Second, Window: 30 * time.Second}
	old := startReady(t, c)
	for _, e := range old.Maps {
		e.Silence()
	}
	await := func(n int) {
		t.Helper()
		for range n {
			select {
			case <-r.arrived:
			case <-time.After(10 * time.Second):
				t.Fatal("a request does not reach an endpoint")
			}
		}
	}
	conns := make([]net.Conn, keys) // to the old process, as only that accepts connections yet
	for i := range conns {
		conns[i] = connect(t, old.Addr())
		if i%2 == 0 {
			sendReport(t, conns[i], fmt.Sprint("first-", i), fmt.Sprint("key-", i))
		}
	}
	await(keys / 2)
	c.Maps, c.Beside = nil, old
	next := startReady(t, c)
	for i := range conns {
		if i%2 == 1 { // sent through the old process although the new one serves
			sendReport(t, conns[i], fmt.Sprint("first-", i), fmt.Sprint("key-", i))
		}
	}
	await(keys / 2)
	for next.Sidecar.KeysKnown() < keys { // the old process's messages may still be in flight
		must(t, next, "ready")
	}
	for i := range keys {
		sendReport(t, connect(t, next.Addr()), fmt.Sprint("again-", i), fmt.Sprint("key-", i))
	}
	await(keys)
	for i := range keys {
		if cells := r.of(fmt.Sprint("key-", i)); len(cells) != 2 || cells[0] != cells[1] {
			t.Errorf("key %d reached cells %v", i, cells)
		}
	}
	for _, e := range old.Maps {
		e.Speak()
	}
}

// upgradedPair is an old process and its successor, whose endpoints receive keyed requests and
// do not answer. conns are connections to the old one.
type upgradedPair struct {
	*reports
	t         *testing.T
	config    scene.Config // of a further process
	old, next *scene.Scene
	conns     []net.Conn
}

func upgrade(t *testing.T, keys int) *upgradedPair {
	t.Helper()
	u := &upgradedPair{reports: &reports{cells: map[string][]int{}, arrived: make(chan string, 16*keys)}, t: t}
	c := scene.Config{Listen: reserveAddr(t), Folder: t.TempDir(), Maps: u.endpoints(), Aim: 9 * time.Second, Deadline: 9 * time.Second, Window: 30 * time.Second}
	u.old = startReady(t, c)
	for _, e := range u.old.Maps {
		e.Silence()
		t.Cleanup(e.Speak)
	}
	for range keys {
		u.conns = append(u.conns, connect(t, u.old.Addr()))
	}
	c.Maps, c.Beside = nil, u.old
	u.next, u.config = startReady(t, c), c
	return u
}

// send sends each key on a connection, and waits until the endpoints have received them all.
func (u *upgradedPair) send(id string, on func(i int) net.Conn) {
	u.t.Helper()
	for i := range u.conns {
		sendReport(u.t, on(i), fmt.Sprint(id, i), fmt.Sprint("key-", i))
	}
	for range u.conns {
		select {
		case <-u.arrived:
		case <-time.After(10 * time.Second):
			u.t.Fatal("a request does not reach an endpoint")
		}
	}
}

func (u *upgradedPair) toOld(i int) net.Conn { return u.conns[i] }
func (u *upgradedPair) toNext(int) net.Conn  { return connect(u.t, u.next.Addr()) }

// checkSameCell checks that each key arrived twice, at endpoints that deduplicate it.
func (u *upgradedPair) checkSameCell() {
	u.t.Helper()
	wrong := 0
	for i := range u.conns {
		if cells := u.of(fmt.Sprint("key-", i)); len(cells) != 2 || cells[0] != cells[1] {
			wrong++
		}
	}
	if wrong > 0 {
		u.t.Errorf("%d of %d keys did not arrive twice in one cell", wrong, len(u.conns))
	}
}

// A key sent by the old process is repeated at the successor before that has handled the old
// process's message about it.
func TestKeyRepeatBeforeSuccessorHandlesMessage(t *testing.T) {
	u := upgrade(t, 20)
	defer u.next.Sidecar.PauseMessages(u.old.Sidecar)()
	u.send("first-", u.toOld)
	u.send("again-", u.toNext)
	u.checkSameCell()
}

// A key sent by the successor is repeated at the old process on a kept connection, while the
// successor runs or after it has died.
func TestKeyRepeatAtPredecessor(t *testing.T) {
	for _, undone := range []bool{false, true} {
		u := upgrade(t, 20)
		u.send("first-", u.toNext)
		if undone {
			u.next.Sidecar.Disconnect()
		}
		u.send("again-", u.toOld)
		u.checkSameCell()
	}
}

// Of three processes in a chain, a key sent by the third is repeated at the first, after the
// second has relayed it.
func TestKeyRelayedToFirstOfThree(t *testing.T) {
	u := upgrade(t, 20)
	startReady(t, u.config)
	u.send("first-", u.toNext)
	for until := time.Now().Add(testTimeout); u.old.Sidecar.KeysKnown() < len(u.conns); must(t, u.old, "ready") {
		if time.Now().After(until) {
			t.Fatalf("the first process knows only %d keys", u.old.Sidecar.KeysKnown())
		}
	}
	u.send("again-", u.toOld)
	u.checkSameCell()
}

// A team that has used up its burst gets no new one through an upgrade.
func TestBurstAcrossUpgrade(t *testing.T) {
	const burst = 10
	c := scene.Config{Listen: reserveAddr(t), Folder: t.TempDir(), Maps: []lab.EndpointConfig{{Workers: 8}},
		Operator: maps + contract("kiosks", 0.5, fmt.Sprintf("service = 'maps'\nrate = 0.001\nburst = %d", burst))}
	old := startReady(t, c)
	for i := range burst {
		if s := ask(t, old, tile("kiosks")).status; s != 200 {
			t.Fatalf("request %d of the burst is answered %d", i, s)
		}
	}
	c.Maps, c.Beside = nil, old
	startReady(t, c)
	old.Stop()
	if err := old.Wait(); err != nil {
		t.Error(err)
	}
	if s := ask(t, old, tile("kiosks")).status; s != 429 {
		t.Errorf("after the upgrade a team over its budget is answered %d", s)
	}
}

// A process that fails to start because another of its addresses is in use must not open the
// clients' address: beside a process that it can't take over from, the kernel would route
// clients to it, and nobody would answer them.
func TestFailedStartTakesNoClients(t *testing.T) {
	const clients = 32
	listener, err := net.Listen("tcp", reserveAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	inUse := listener.Addr().String()
	const service = "[[service]]\nname = 'maps'\n[[team]]\nname = 'a'\n[[team.allow]]\nservice = 'maps'\n"
	old := startReady(t, scene.Config{Listen: reserveAddr(t), Maps: []lab.EndpointConfig{{Workers: 8}}}) // without a folder no process can take over from it
	for name, c := range map[string]struct{ management, operator string }{
		"the management address": {inUse, ""},
		"the metrics address":    {"", service + fmt.Sprintf("[metrics]\nlisten = %q\n", inUse)},
		"the fleet's address": {"", service + "rate = 10\nburst = 10\nquota = 'fleet'\n" + fmt.Sprintf("[fleet]\nname = 'g0'\nlisten = %q\nlease = '500ms'\nperiod = '50ms'\n"+
			"[[fleet.partner]]\nname = 'p'\npart = 1\n[[fleet.gateway]]\nname = 'g0'\npartner = 'p'\naddress = %q\n", inUse, inUse)},
	} {
		t.Run(name, func(t *testing.T) {
			config, err := sidecar.ParseConfig("platform", scene.Configuration(scene.Platform{
				Listen: old.Addr(), Management: c.management, Registry: old.Registry.Addr(), Endpoints: old.Maps, Classes: scene.Classes(scene.Config{}),
			}))
			if err != nil {
				t.Fatal(err)
			}
			if c.operator != "" {
				if config.Operator, err = operator.Parse("operator.toml", []byte(c.operator)); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := sidecar.New(config); err == nil || !strings.Contains(err.Error(), inUse) {
				t.Fatalf("the start succeeded although %s is in use: %v", name, err)
			}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
			for i := range clients {
				resp, err := client.Get("http://" + old.Addr() + "/health/ready")
				if err != nil {
					t.Fatalf("client %d: %v", i, err)
				}
				resp.Body.Close()
			}
		})
	}
}

// Keyed requests that the old process answers at its end without a result are repeated at the successor in their cells.
func TestKeyCutShortByStopIsRepeatedInItsCell(t *testing.T) {
	u := upgrade(t, 20)
	u.send("first-", u.toOld)
	u.old.Stop()
	for i, c := range u.conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
			t.Errorf("key %d: %v, %v", i, resp, err)
		}
	}
	if err := u.old.Wait(); err != nil {
		t.Error(err)
	}
	u.send("again-", u.toNext)
	u.checkSameCell()
}

// Guards against the id of an open request that its predecessor forgets, as a process that can't open
// its socket for a successor did not announce it again.
func TestOpenIDIsKnownToPredecessorWithoutSuccessorSocket(t *testing.T) {
	const rounds, idsOfRound = 8, 2048
	folder, addr := t.TempDir(), reserveAddr(t)
	r := &reports{cells: map[string][]int{}, arrived: make(chan string, 1)}
	c := scene.Config{Listen: addr, Folder: folder, Maps: r.endpoints(), Aim: 9 * time.Second, Deadline: 9 * time.Second}
	old := startReady(t, c)
	c.Maps, c.Beside = nil, old
	c.Made = func() { // it has connected to the old process; its own socket can't take the path
		path := handover.Path(folder, addr)
		os.Remove(path)
		if err := os.WriteFile(path, nil, 0o600); err != nil {
			t.Error(err)
		}
	}
	next := startReady(t, c)
	for _, e := range old.Maps {
		e.Silence()
		t.Cleanup(e.Speak)
	}
	sendReport(t, connect(t, next.Addr()), "open", "key")
	<-r.arrived
	open := next.Sidecar.OpenIDs()
	if len(open) != 1 {
		t.Fatalf("%d requests are open at the new process, want 1", len(open))
	}
	for round := range rounds {
		for i := range idsOfRound {
			old.Sidecar.AdoptID(uint64(1 + round*idsOfRound + i))
			next.Sidecar.AdoptID(uint64(1 + round*idsOfRound + i))
		}
		for until := time.Now().Add(5 * time.Second); !slices.Contains(old.Sidecar.KnownIDs(), open[0]); <-time.After(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("after %d ids the old process does not know the id of a request that is open at the new one", (round+1)*idsOfRound)
			}
		}
	}
}
