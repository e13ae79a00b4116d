package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// effects holds the first attempt of each request until it is released, and ends it then as its
// id says.
type effects struct {
	held    chan string
	release chan struct{}

	mu  sync.Mutex
	met map[string][]meeting // by key
}

// serve is the answer of an endpoint of a cell.
func (e *effects) serve(cell int) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		key, _, _ := strings.Cut(r.Header.Get("Req-Id"), "+")
		e.mu.Lock()
		e.met[key] = append(e.met[key], meeting{cell, time.Now()})
		first := len(e.met[key]) == 1
		e.mu.Unlock()
		if !first {
			return false
		}
		e.held <- key
		<-e.release
		kind, _, _ := strings.Cut(key, ".")
		if kind == "answered" {
			return false
		}
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			if kind == "reset" {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}
		return true
	}
}

// newEffects has endpoints of two cells, and a site of a keyed and an unsafe class before them.
func newEffects(t *testing.T, window time.Duration) (*effects, *site) {
	e := &effects{held: make(chan string, 64), release: make(chan struct{}), met: map[string][]meeting{}}
	s := &site{t: t, dir: t.TempDir(), program: os.Args[0], listen: freeAddr(t), log: io.Discard}
	var all []*lab.Endpoint
	for i := range 8 {
		at, err := lab.StartEndpoint(lab.EndpointConfig{Workers: 500, Work: time.Millisecond, Body: 10, Answer: e.serve(i / 4)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(at.Close)
		all = append(all, at)
	}
	var err error
	if s.registry, err = lab.StartRegistry(scene.Entries(all...), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.registry.Close)
	class := func(name, effect string) scene.Class {
		return scene.Class{"name": name, "effect": effect, "key_scope": "cell", "dedup_window_ms": window.Milliseconds(), "worth": 1, "late_worth": 0.9, "aim_ms": 8000, "hard_limit_ms": 9000}
	}
	text := scene.Configuration(scene.Platform{
		Name: "n0", Listen: s.listen, Registry: s.registry.Addr(), Endpoints: all, ConnectTimeout: 5 * time.Second,
		Classes: []scene.Class{class("keyed", "idempotency_key"), class("unsafe", "non_idempotent")},
	})
	if err := os.WriteFile(filepath.Join(s.dir, "config.json"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	return e, s
}

// ask sends a request of a class on a connection, under an id whose part before + is its key.
func (e *effects) ask(t *testing.T, c net.Conn, class, id string) {
	t.Helper()
	key, _, _ := strings.Cut(id, "+")
	field := "Idempotency-Key: " + key + "\r\n"
	if class == "unsafe" {
		field = ""
	}
	if _, err := fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 8000m\r\n%sContent-Length: 2\r\n\r\n{}", class, id, field); err != nil {
		t.Fatal(err)
	}
}

// connection is one of the application's.
func connection(t *testing.T, s *site) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c
}

// The process is stopped while attempts are out, their answers, ends and resets come meanwhile,
// and it goes on before the window of their keys is over or after. What may have run is sent again
// within its cell and its window, or not at all, and an unsafe request never is.
func TestEffectsWhileTheProcessIsStopped(t *testing.T) {
	const window = 600 * time.Millisecond
	for _, pause := range []time.Duration{0, window + 50*time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			e, s := newEffects(t, window)
			p := s.start()
			p.ready(t)
			conns := map[string]net.Conn{}
			for _, class := range []string{"keyed", "unsafe"} {
				for _, kind := range []string{"answered", "reset", "ended"} {
					for i := range 3 {
						key := fmt.Sprintf("%s.%s.%d", kind, class, i)
						conns[key] = connection(t, s)
						e.ask(t, conns[key], class, key)
					}
				}
			}
			for range conns {
				await(t, "requests to be held", e.held)
			}
			stopProcess(t, p.Process.Process)
			close(e.release)
			<-time.After(pause) // the fault itself
			if err := p.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			again := 0
			for key, c := range conns {
				status, err := readStatus(c)
				if err != nil || status == 0 {
					t.Errorf("%s: %d, %v", key, status, err)
				}
				e.mu.Lock()
				all := e.met[key]
				e.mu.Unlock()
				again += len(all) - 1
				for _, m := range all[1:] {
					if !strings.Contains(key, "keyed") || strings.HasPrefix(key, "answered") || m.cell != all[0].cell || m.at.Sub(all[0].at) > window {
						t.Errorf("%s: sent again: %v", key, all)
					}
				}
			}
			t.Logf("stopped for %v: %d of %d requests were sent again", pause, again, len(conns))
			if pause > window && again > 0 || pause == 0 && again == 0 {
				t.Errorf("%d were sent again", again)
			}
		})
	}
}

// A process that took over is stopped while the one before it sends a keyed request and tells it
// so: as it goes on it knows how long ago that was, and sends no repeat after the window.
func TestKeyToldToAStoppedProcess(t *testing.T) {
	const window = 600 * time.Millisecond
	e, s := newEffects(t, window)
	old := s.start()
	old.ready(t)
	kept := connection(t, s) // to the old one, as it alone accepts yet
	e.ask(t, kept, "keyed", "answered.before")
	await(t, "the request to be held", e.held)
	close(e.release)
	if status, err := readStatus(kept); status != http.StatusOK {
		t.Fatal(status, err)
	}
	next := s.start()
	next.ready(t)
	stopProcess(t, next.Process.Process)
	e.ask(t, kept, "keyed", "ended.k")
	await(t, "the request to be held", e.held)
	sent := time.Now()
	<-time.After(window * 3 / 4) // the fault itself
	if err := next.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	<-time.After(time.Until(sent.Add(window + 50*time.Millisecond)))
	late := connection(t, s)
	e.ask(t, late, "keyed", "ended.k+late")
	status, err := readStatus(late)
	if err != nil {
		t.Error(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	first := e.met["ended.k"][0]
	for _, m := range e.met["ended.k"][1:] {
		if m.cell != first.cell || m.at.Sub(first.at) > window {
			t.Errorf("answered %d: sent again in cell %d, %v after the first time in cell %d; the window is %v", status, m.cell, m.at.Sub(first.at), first.cell, window)
		}
	}
}
