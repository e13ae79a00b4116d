package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"spokegw/internal/console"
	"spokegw/internal/core"
	"spokegw/internal/lab/scene"
	"spokegw/internal/sidecar"
)

const contractsOfA = `[[service]]
name = "maps"

[[team]]
name = "a"
share = 0.5
[[team.allow]]
service = "maps"
classes = ["map-tile"]
rate = 0.001
burst = 2

[[team]]
name = "b"
share = 0.5
[[team.allow]]
service = "maps"
`

// callConsole makes a call on the socket and returns the records of its answer.
func callConsole[T any](t *testing.T, socket, call string, args any) (all []T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	err := console.Ask(ctx, socket, call, args, func(raw json.RawMessage) error {
		var v T
		err := json.Unmarshal(raw, &v)
		all = append(all, v)
		return err
	})
	if err != nil {
		t.Errorf("%s: %v", call, err)
	}
	return all
}

// consoleScene starts a scene with a console socket.
func consoleScene(t *testing.T, answer func(http.ResponseWriter, *http.Request) bool) (s *scene.Scene, socket, file string) {
	t.Helper()
	socket = filepath.Join(t.TempDir(), "console.sock")
	file = contractsOfA + fmt.Sprintf("\n[console]\nsocket = %q\n", socket)
	s = startReady(t, scene.Config{Maps: twoPods(answer, nil), Operator: file})
	return s, socket, file
}

// An explanation matches the answer that the request gets, and charges nothing to the team.
func TestExplain(t *testing.T) {
	s, socket, _ := consoleScene(t, nil)
	explain := func(method, target, team, key string) core.Explanation {
		t.Helper()
		a := sidecar.ExplainRequest{Method: method, Target: target, Header: map[string]string{"Req-Owner": team}}
		if key != "" {
			a.Header["Idempotency-Key"] = key
		}
		all := callConsole[core.Explanation](t, socket, "explain", a)
		if len(all) != 1 {
			t.Fatalf("%d explanations, want 1", len(all))
		}
		return all[0]
	}
	if e := explain("GET", "/map-tile/1", "a", ""); len(e.Candidates) != 8 || e.Candidates[0].Avoid != "" {
		t.Errorf("before the first request: %+v", e) // no endpoint has a share yet
	}
	for range 10 { // more than the burst, if they were charged
		if e := explain("GET", "/map-tile/1", "a", ""); e.Status != 0 || e.Class != "map-tile" || e.Contract != "admitted" || len(e.Candidates) != 8 {
			t.Fatalf("%+v", e)
		}
	}
	for range 2 {
		if a := ask(t, s, tile("a")); a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	for name, c := range map[string]struct {
		e      core.Explanation
		status int
		real   int
	}{
		"over its rate":  {explain("GET", "/map-tile/1", "a", ""), 429, ask(t, s, tile("a")).status},
		"no such call":   {explain("POST", "/status-report", "a", "k"), 403, 403},
		"no contract":    {explain("GET", "/map-tile/1", "nobody", ""), 403, ask(t, s, tile("nobody")).status},
		"no such path":   {explain("GET", "/elsewhere", "b", ""), 404, 404},
		"a wrong method": {explain("POST", "/map-tile/1", "b", ""), 400, 400},
	} {
		if c.e.Status != c.status || c.real != c.status || c.e.Reason == "" {
			t.Errorf("%s: explained as %d (%s), answered %d", name, c.e.Status, c.e.Reason, c.real)
		}
	}
	must(t, s, "disable-server maps-3")
	e := explain("POST", "/status-report", "b", "k")
	if e.Status != 0 || e.Key != "it is new" || e.Candidates[3].Not != "disabled" || e.Candidates[2].Not != "" {
		t.Errorf("%+v", e)
	}
	teams := callConsole[sidecar.TeamRow](t, socket, "teams", nil)
	if len(teams) != 2 || teams[0].Team != "a" || teams[0].Calls[0].Class != "map-tile" || teams[0].Calls[0].Requests < time.Minute {
		t.Errorf("%+v", teams)
	}
	if members := callConsole[sidecar.MemberRow](t, socket, "members", nil); len(members) != 8 || members[3].Avoided != "disabled" {
		t.Errorf("%+v", members)
	}
}

// A caller that does not read its trace delays no request, however much there is to send.
func TestTraceUnread(t *testing.T) {
	s, socket, _ := consoleScene(t, nil)
	c, err := net.Dial("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, `{"v":%d,"call":"trace"}`+"\n", console.Version)
	var clients sync.WaitGroup
	for range 16 {
		clients.Go(func() {
			for range 200 {
				if a := ask(t, s, tile("b")); a.status != 200 {
					t.Errorf("status %d", a.status)
					return
				}
			}
		})
	}
	clients.Wait()
}

// A trace contains every decision on the requests that match its filter, and no other requests.
func TestTrace(t *testing.T) {
	s, socket, _ := consoleScene(t, func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	})
	for i := range 4 { // all endpoints that do not fail
		must(t, s, fmt.Sprint("disable-server maps-", i))
	}
	traces := make(chan []core.Trace)
	go func() {
		traces <- callConsole[core.Trace](t, socket, "trace", sidecar.TraceRequest{Filter: core.Filter{Team: "b", Status: 500}, Count: 1, For: testTimeout})
	}()
	for deadline := time.Now().Add(testTimeout); ; {
		ask(t, s, tile("a")) // does not match
		ask(t, s, tile("b"))
		select {
		case all := <-traces:
			if len(all) != 1 {
				t.Fatalf("%d traces, want 1", len(all))
			}
			text := fmt.Sprintf("%+v", all[0].Steps)
			if all[0].Team != "b" || all[0].Status < 500 || all[0].Class != "map-tile" {
				t.Errorf("%+v", &all[0])
			}
			for _, want := range []string{"taken", "sent", "to maps-", "attempt ended", "0: errored", "module", "answered"} {
				if !strings.Contains(text, want) {
					t.Errorf("%q is not in %s", want, text)
				}
			}
			return
		default:
		}
		if time.Now().After(deadline) {
			t.Fatal("no trace before the timeout")
		}
	}
}

// A diff reports the changes that a reload of the file makes; an invalid file changes nothing.
func TestDiffAndReload(t *testing.T) {
	s, socket, file := consoleScene(t, nil)
	next := strings.Replace(file, "rate = 0.001", "rate = 5.0", 1) + "\n[[team]]\nname = \"c\"\nshare = 0.0\n[[team.allow]]\nservice = \"maps\"\n"
	diff := func(text string) sidecar.ReloadResult {
		return callConsole[sidecar.ReloadResult](t, socket, "diff", map[string]string{"Name": "next.toml", "Text": text})[0]
	}
	d := diff(next)
	if text := fmt.Sprint(d.Changes); len(d.Changes) != 2 || !strings.Contains(text, `team "a", allow 0, rate: 5, was 0.001`) || !strings.Contains(text, `+ team "c"`) {
		t.Errorf("%s, %v", text, d.Faults)
	}
	if d := diff(file); len(d.Changes)+len(d.Faults) > 0 {
		t.Errorf("the same file: %+v", d)
	}
	if d := diff(strings.Replace(next, "share = 0.5", "share = 5", 1)); len(d.Changes) > 0 || !strings.Contains(fmt.Sprint(d.Faults), "next.toml:6: team[0].share") {
		t.Errorf("an invalid file: %+v", d)
	}
	if err := s.Reload(next); err != nil {
		t.Fatal(err)
	}
	if d := diff(next); len(d.Changes) > 0 {
		t.Errorf("after the reload: %+v", d)
	}
}
