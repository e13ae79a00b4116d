package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/lab/killing"
	"spokegw/internal/lab/scene"
)

// keeping is a site whose sidecar keeps its state in a folder, and holds those
// without a contract to three requests in a long time.
func keeping(t *testing.T) (s *site, folder string) {
	s, folder = newSite(t), t.TempDir()
	s.operate(fmt.Sprintf(`
[[service]]
name = "maps"

[[team]]
name = "free"
share = 0.5

[[team.allow]]
service = "maps"

[no-contract]
action = "share"
share = 0.5
rate = 0.001
burst = 3

[state]
directory = %[1]q

[console]
socket = "%[1]s/console.sock"

[[move]]
name = "new"
service = "maps"
steps = ["5%%", "100%%"]
step-time = "1h"
from.id-prefix = "maps-0"
to.id-prefix = "maps-1"
`, folder))
	return s, folder
}

// awaitKept waits until the image in a folder tells something.
func awaitKept(t *testing.T, folder, what string) {
	t.Helper()
	awaitFile(t, folder, "state", what)
}

func awaitFile(t *testing.T, folder, kind, what string) {
	t.Helper()
	for until := time.Now().Add(patience); ; {
		files, _ := filepath.Glob(filepath.Join(folder, "*."+kind))
		if len(files) == 1 {
			if text, _ := os.ReadFile(files[0]); bytes.Contains(text, []byte(what)) {
				return
			}
		}
		if time.Now().After(until) {
			t.Fatalf("%s is not kept", what)
		}
		<-time.After(20 * time.Millisecond)
	}
}

func (s *site) status(team, id string) int {
	s.t.Helper()
	req := s.request("map-tile")
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Owner", team)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A sidecar that is killed, again and again, comes back as it was: drained where an
// operator said so, with no fresh burst for those who had spent theirs, and with
// the ids of requests that it had taken.
func TestKilledAndBack(t *testing.T) {
	s, folder := keeping(t)
	p := s.start()
	p.ready(t)
	for i := range 5 {
		want := 200
		if i >= 3 {
			want = 429
		}
		if got := s.status("", fmt.Sprint("kept-", i)); got != want {
			t.Errorf("request %d: status %d, %d is expected", i, got, want)
		}
	}
	if got := s.status("free", "taken"); got != 200 {
		t.Errorf("status %d", got)
	}
	p.ask(t, "drain")
	p.ask(t, "disable-server maps-0")
	for round := range 3 {
		awaitKept(t, folder, `"Drained":true`)
		awaitKept(t, folder, `"maps-0"]`)
		p.Kill()
		await(t, "the killed process to end", p.Ended)
		http.DefaultClient.CloseIdleConnections()
		p = s.start()
		for until := time.Now().Add(patience); !strings.HasPrefix(p.ask(t, "ready"), "NO drained"); {
			if time.Now().After(until) {
				t.Fatalf("round %d: it says %q", round, p.ask(t, "ready"))
			}
		}
		if text := p.ask(t, "show-members"); !strings.Contains(text, "avoided=disabled") {
			t.Errorf("round %d: %s", round, text)
		}
		if got := s.status("", fmt.Sprint("fresh-", round)); got != 429 {
			t.Errorf("round %d: those who had spent their burst are answered %d", round, got)
		}
	}
	if got := s.status("free", "taken"); got != 409 {
		t.Errorf("an id that was taken before the end is answered %d", got)
	}
}

// What can't be read changes nothing: it is said, and the sidecar starts as one
// that was just installed. What is something else is left alone.
func TestStateThatCantBeUsed(t *testing.T) {
	s, folder := keeping(t)
	p := s.start()
	p.ready(t)
	awaitKept(t, folder, `"Name":"n0"`)
	p.Kill()
	await(t, "the killed process to end", p.Ended)
	files, _ := filepath.Glob(filepath.Join(folder, "*.state"))
	if err := os.WriteFile(files[0], []byte("somebody's notes, which are long enough"), 0o600); err != nil {
		t.Fatal(err)
	}
	p = s.start()
	p.ready(t)
	if got := s.status("", "any"); got != 200 {
		t.Errorf("status %d", got)
	}
	if text, _ := os.ReadFile(files[0]); !strings.HasPrefix(string(text), "somebody's") {
		t.Errorf("%q was put in the place of what is not ours", text)
	}
}

// A sidecar that is started with a file that can't be used goes on with the one that it
// took over last, and takes the next that can be.
func TestFaultyFileAtStart(t *testing.T) {
	s, folder := keeping(t)
	good, err := os.ReadFile(s.operator)
	if err != nil {
		t.Fatal(err)
	}
	p := s.start()
	p.ready(t)
	awaitFile(t, folder, "accepted", "burst = 3")
	again := func(text string) {
		t.Helper()
		p.Kill()
		await(t, "the killed process to end", p.Ended)
		s.operate(text)
		p = s.start()
	}
	for _, text := range []string{string(good) + "\n[no-such]\n", "[[serv"} {
		again(text)
		p.ready(t)
		last := 0
		for i := range 4 {
			last = s.status("", fmt.Sprint(len(text), "-", i))
		}
		if last != 429 {
			t.Errorf("with %.8q the contracts are not held: %d", text, last)
		}
		t.Setenv("SPOKEGW_STATE", folder) // the second does not tell it
	}
	t.Setenv("SPOKEGW_STATE", "")
	again("[[serv")
	await(t, "the process that knows no folder to end", p.Ended)
	t.Setenv("SPOKEGW_STATE", folder)
	p = s.start()
	p.ready(t)
	s.operate(strings.Replace(string(good), "burst = 3", "burst = 7", 1))
	if err := p.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	awaitFile(t, folder, "accepted", "burst = 7")
}

// A move whose sidecar is killed goes on at the share that it had, at the beginning
// of that step, and one that was undone stays so.
func TestMoveKilled(t *testing.T) {
	s, folder := keeping(t)
	s.registry.Set(scene.Entries(s.endpoint, s.endpoint)) // two of the list
	p := s.start()
	p.ready(t)
	move := func(phase string) {
		t.Helper()
		for until := time.Now().Add(patience); !strings.Contains(p.ask(t, "show-moves"), phase); {
			if time.Now().After(until) {
				t.Fatalf("%s is expected: %s", phase, p.ask(t, "show-moves"))
			}
		}
	}
	move("ready=1/1")
	for _, c := range []struct{ word, phase string }{{"begin-move new", "phase=moving step=1/2 share=0.0500"}, {"undo-move new", "phase=undone step=- share=0.0000"}} {
		if text := p.ask(t, c.word); !strings.HasPrefix(text, "YES") {
			t.Fatal(text)
		}
		move(c.phase)
		awaitFile(t, folder, "moves", c.phase[6:12])
		p.Kill()
		await(t, "the killed process to end", p.Ended)
		p = s.start()
		p.ready(t)
		move(c.phase)
	}
}

// Killed at any instant under load, with keys on the disk before they are sent and with
// files that are faulty put in place now and then: no key runs where a repeat of it is
// not dropped, no team has more than its rate over all processes together, and nobody is
// served by a file that was never taken over. bench/kill does so a thousand times.
func TestKilledUnderLoad(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*patience)
	defer cancel()
	r, err := killing.Run(ctx, killing.Config{Program: os.Args[0], Env: []string{"RUN_SPOKEGW=1"}, Dir: t.TempDir(), Kills: 12, Keys: "before", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	if r.Doubled > 0 || r.Lost > 0 || r.OverRate > 0 || r.Ghosts > 0 || r.Starts != 13 || r.Again == 0 || r.Answered == 0 || r.Metered < 20 || r.Faulty == 0 || r.Kept == 0 {
		t.Errorf("%+v", r)
	}
}
