package sidecar_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/process"
	"spokegw/internal/lab/scene"
	"spokegw/internal/operator"
	"spokegw/internal/sidecar"
)

// address is one that is the test's up to its end.
func address(t *testing.T) string {
	t.Helper()
	addr, err := process.TakeAddr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.GiveBack(addr) })
	return addr
}

// A successor knows what the one before it was told and did: a drain that only
// that one heard of, what operators disabled, the ids of late.
func TestHandoverState(t *testing.T) {
	addr := address(t)
	c := scene.Config{Listen: addr, Folder: t.TempDir(), Maps: []lab.EndpointConfig{{Workers: 8}, {Workers: 8}, {Workers: 8}}}
	old := startReady(t, c)
	must(t, old, "disable-server maps-1")
	entries := scene.Entries(old.Maps...)
	entries[0].State = "leaving"
	old.Registry.Set(entries)
	for !strings.Contains(must(t, old, "show-members"), "state=leaving") { // it is told by the watch
	}
	if resp := ask(t, old, withID("once")).status; resp != 200 {
		t.Fatalf("status %d", resp)
	}
	c.Maps, c.Beside = nil, old // its own configuration knows nothing of that
	next := startReady(t, c)
	if text := must(t, next, "show-members"); !strings.Contains(text, "avoided=leaving") || !strings.Contains(text, "avoided=disabled") {
		t.Errorf("%s", text)
	}
	old.Stop()
	if err := old.Wait(); err != nil {
		t.Error(err)
	}
	if resp := ask(t, old, withID("once")).status; resp != 409 {
		t.Errorf("an id that the process before took is answered %d", resp)
	}
	if resp := ask(t, old, withID("twice")).status; resp != 200 {
		t.Errorf("status %d", resp)
	}
	if old.Maps[0].Served()+old.Maps[1].Served() != 0 {
		t.Error("an endpoint that leaves, or is disabled, got a request")
	}
}

// withID is a request for a tile with an id of its own.
func withID(id string) *lab.Load {
	l := tile("")
	l.Headers = http.Header{"Req-Id": {id}}
	return l
}

// reports is what endpoints have seen of keyed requests: by key, the cells.
type reports struct {
	mu    sync.Mutex
	cells map[string][]int
	came  chan string // keys
}

// endpoints are eight in two cells, that tell of what they see.
func (r *reports) endpoints() (all []lab.EndpointConfig) {
	for i := range 8 {
		all = append(all, lab.EndpointConfig{Workers: 100, Seen: func(req *http.Request) {
			key := req.Header.Get("Idempotency-Key")
			r.mu.Lock()
			r.cells[key] = append(r.cells[key], i/4)
			r.mu.Unlock()
			r.came <- key
		}})
	}
	return all
}

func (r *reports) of(key string) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int(nil), r.cells[key]...)
}

// sendReport sends a keyed request on a connection and does not wait for its answer.
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

// A keyed request is out in the old process, taken before the new one was there
// or after, when the client sends it again to the new one: the repeat reaches
// only endpoints that drop it. Twenty keys would else all do so once in a million
// runs.
func TestKeyedRepeatAcrossProcesses(t *testing.T) {
	const keys = 20
	r := &reports{cells: map[string][]int{}, came: make(chan string, 16*keys)}
	c := scene.Config{Listen: address(t), Folder: t.TempDir(), Maps: r.endpoints(), Aim: 9 * time.Second, Deadline: 9 * time.Second, Window: 30 * time.Second}
	old := startReady(t, c)
	for _, e := range old.Maps {
		e.Silence()
	}
	await := func(n int) {
		t.Helper()
		for range n {
			select {
			case <-r.came:
			case <-time.After(10 * time.Second):
				t.Fatal("a request does not reach an endpoint")
			}
		}
	}
	kept := make([]net.Conn, keys) // to the old one, as it alone accepts yet
	for i := range kept {
		kept[i] = connect(t, old.Addr())
		if i%2 == 0 {
			sendReport(t, kept[i], fmt.Sprint("first-", i), fmt.Sprint("key-", i))
		}
	}
	await(keys / 2)
	c.Maps, c.Beside = nil, old
	next := startReady(t, c)
	for i := range kept {
		if i%2 == 1 { // the old one takes it although the new one is there
			sendReport(t, kept[i], fmt.Sprint("first-", i), fmt.Sprint("key-", i))
		}
	}
	await(keys / 2)
	for next.Sidecar.KeysKnown() < keys { // what the old one tells is on its way
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

// upgraded is an old process and its successor, whose endpoints run keyed requests and do not
// answer. kept are connections to the old one.
type upgraded struct {
	*reports
	t         *testing.T
	config    scene.Config // of a further process
	old, next *scene.Scene
	kept      []net.Conn
}

func upgrade(t *testing.T, keys int) *upgraded {
	t.Helper()
	u := &upgraded{reports: &reports{cells: map[string][]int{}, came: make(chan string, 16*keys)}, t: t}
	c := scene.Config{Listen: address(t), Folder: t.TempDir(), Maps: u.endpoints(), Aim: 9 * time.Second, Deadline: 9 * time.Second, Window: 30 * time.Second}
	u.old = startReady(t, c)
	for _, e := range u.old.Maps {
		e.Silence()
		t.Cleanup(e.Speak)
	}
	for range keys {
		u.kept = append(u.kept, connect(t, u.old.Addr()))
	}
	c.Maps, c.Beside = nil, u.old
	u.next, u.config = startReady(t, c), c
	return u
}

// send sends each key on a connection, and waits until the endpoints have them all.
func (u *upgraded) send(id string, on func(i int) net.Conn) {
	u.t.Helper()
	for i := range u.kept {
		sendReport(u.t, on(i), fmt.Sprint(id, i), fmt.Sprint("key-", i))
	}
	for range u.kept {
		select {
		case <-u.came:
		case <-time.After(10 * time.Second):
			u.t.Fatal("a request does not reach an endpoint")
		}
	}
}

func (u *upgraded) toOld(i int) net.Conn { return u.kept[i] }
func (u *upgraded) toNext(int) net.Conn  { return connect(u.t, u.next.Addr()) }

// inOneCell checks that each key came twice, to endpoints that drop the repeat.
func (u *upgraded) inOneCell() {
	u.t.Helper()
	wrong := 0
	for i := range u.kept {
		if cells := u.of(fmt.Sprint("key-", i)); len(cells) != 2 || cells[0] != cells[1] {
			wrong++
		}
	}
	if wrong > 0 {
		u.t.Errorf("%d of %d keys ran in two cells", wrong, len(u.kept))
	}
}

// The successor is asked for a key that the old process has sent, and has not handled what
// that one tells.
func TestKeyAskedForBeforeItIsHeardOf(t *testing.T) {
	u := upgrade(t, 20)
	defer u.next.Sidecar.HoldBack(u.old.Sidecar)()
	u.send("first-", u.toOld)
	u.send("again-", u.toNext)
	u.inOneCell()
}

// The old process is asked, on a connection that a client has kept, for a key that its successor
// has sent, while that is there or after an upgrade that is undone.
func TestKeyAskedForOfTheOldProcess(t *testing.T) {
	for _, undone := range []bool{false, true} {
		u := upgrade(t, 20)
		u.send("first-", u.toNext)
		if undone {
			u.next.Sidecar.Die()
		}
		u.send("again-", u.toOld)
		u.inOneCell()
	}
}

// Of three processes in a row the first is asked for a key that the third has sent, once the one
// between them has handed that back.
func TestKeyIsHandedBackToTheFirstOfThree(t *testing.T) {
	u := upgrade(t, 20)
	startReady(t, u.config)
	u.send("first-", u.toNext)
	for until := time.Now().Add(patience); u.old.Sidecar.KeysKnown() < len(u.kept); must(t, u.old, "ready") {
		if time.Now().After(until) {
			t.Fatalf("the first process knows of %d keys", u.old.Sidecar.KeysKnown())
		}
	}
	u.send("again-", u.toOld)
	u.inOneCell()
}

// A team that has used up its burst has no other one by an upgrade.
func TestContractsAcrossProcesses(t *testing.T) {
	const burst = 10
	c := scene.Config{Listen: address(t), Folder: t.TempDir(), Maps: []lab.EndpointConfig{{Workers: 8}},
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

// A process that can't start, as another of its addresses is taken, has not opened the one
// that clients come to: beside a process that it can't take over from, clients would get to
// it, and nobody answers them there.
func TestFailedStartTakesNoClients(t *testing.T) {
	const clients = 32
	taken, err := net.Listen("tcp", address(t))
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	at := taken.Addr().String()
	const service = "[[service]]\nname = 'maps'\n[[team]]\nname = 'a'\n[[team.allow]]\nservice = 'maps'\n"
	old := startReady(t, scene.Config{Listen: address(t), Maps: []lab.EndpointConfig{{Workers: 8}}}) // in no folder: nobody can ask it
	for name, c := range map[string]struct{ management, operator string }{
		"the second address":         {at, ""},
		"the address of the figures": {"", service + fmt.Sprintf("[metrics]\nlisten = %q\n", at)},
		"the fleet's address": {"", service + "rate = 10\nburst = 10\nquota = 'fleet'\n" + fmt.Sprintf("[fleet]\nname = 'g0'\nlisten = %q\nlease = '500ms'\nperiod = '50ms'\n"+
			"[[fleet.partner]]\nname = 'p'\npart = 1\n[[fleet.gateway]]\nname = 'g0'\npartner = 'p'\naddress = %q\n", at, at)},
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
			if _, err := sidecar.New(config); err == nil || !strings.Contains(err.Error(), at) {
				t.Fatalf("it starts though %s is taken: %v", name, err)
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
