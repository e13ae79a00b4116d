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

// blockingEndpoints blocks the first attempt of each request until release is closed, and then
// answers, closes or resets it according to the request's id.
type blockingEndpoints struct {
	blocked chan string
	release chan struct{}

	mu    sync.Mutex
	byKey map[string][]attempt // by key
}

// serve returns the handler of an endpoint of a cell.
func (e *blockingEndpoints) serve(cell int) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		key, _, _ := strings.Cut(r.Header.Get("Req-Id"), "+")
		e.mu.Lock()
		e.byKey[key] = append(e.byKey[key], attempt{cell, time.Now()})
		first := len(e.byKey[key]) == 1
		e.mu.Unlock()
		if !first {
			return false
		}
		e.blocked <- key
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

// newBlockingEndpoints starts endpoints in two cells, and configures a sidecar for them with a
// keyed and an unsafe class.
func newBlockingEndpoints(t *testing.T, window time.Duration) (*blockingEndpoints, *sidecarFixture) {
	e := &blockingEndpoints{blocked: make(chan string, 64), release: make(chan struct{}), byKey: map[string][]attempt{}}
	s := &sidecarFixture{t: t, dir: t.TempDir(), program: os.Args[0], listen: freeAddr(t), log: io.Discard}
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

// ask sends a request of a class on a connection. The part of its id before + is its key.
func (e *blockingEndpoints) ask(t *testing.T, c net.Conn, class, id string) {
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

// dialSidecar opens a connection to the sidecar as the application does.
func dialSidecar(t *testing.T, s *sidecarFixture) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// The process is stopped while attempts are in flight, and their answers, connection closes and
// resets arrive meanwhile. It resumes before or after the deduplication window of their keys ends.
// A request that may have run is retried only in its cell and within the window, an unsafe one never.
func TestEffectsWhileTheProcessIsStopped(t *testing.T) {
	const window = 600 * time.Millisecond
	for _, pause := range []time.Duration{0, window + 50*time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			e, s := newBlockingEndpoints(t, window)
			p := s.start()
			p.ready(t)
			conns := map[string]net.Conn{}
			for _, class := range []string{"keyed", "unsafe"} {
				for _, kind := range []string{"answered", "reset", "ended"} {
					for i := range 3 {
						key := fmt.Sprintf("%s.%s.%d", kind, class, i)
						conns[key] = dialSidecar(t, s)
						e.ask(t, conns[key], class, key)
					}
				}
			}
			for range conns {
				await(t, "requests to be blocked", e.blocked)
			}
			stopProcess(t, p.Process.Process)
			close(e.release)
			<-time.After(pause) // the injected stall
			if err := p.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			retries := 0
			for key, c := range conns {
				status, err := readStatus(c)
				if err != nil || status == 0 {
					t.Errorf("%s: answered %d, %v", key, status, err)
				}
				e.mu.Lock()
				all := e.byKey[key]
				e.mu.Unlock()
				retries += len(all) - 1
				for _, m := range all[1:] {
					if !strings.Contains(key, "keyed") || strings.HasPrefix(key, "answered") || m.cell != all[0].cell || m.at.Sub(all[0].at) > window {
						t.Errorf("%s: invalid retry: %v", key, all)
					}
				}
			}
			t.Logf("stopped for %v: %d of %d requests were retried", pause, retries, len(conns))
			if pause > window && retries > 0 || pause == 0 && retries == 0 {
				t.Errorf("%d requests were retried; none is expected after the window, some within it", retries)
			}
		})
	}
}

// After an upgrade the new process is stopped while its predecessor sends a keyed request and reports
// the key to it. When the new process resumes it must know the age of that attempt, and not retry the
// key after the deduplication window.
func TestKeyReportedToStoppedProcess(t *testing.T) {
	const window = 600 * time.Millisecond
	e, s := newBlockingEndpoints(t, window)
	old := s.start()
	old.ready(t)
	kept := dialSidecar(t, s) // to the old process, the only one that accepts so far
	e.ask(t, kept, "keyed", "answered.before")
	await(t, "the request to be blocked", e.blocked)
	close(e.release)
	if status, err := readStatus(kept); status != http.StatusOK {
		t.Fatal(status, err)
	}
	next := s.start()
	next.ready(t)
	stopProcess(t, next.Process.Process)
	e.ask(t, kept, "keyed", "ended.k")
	await(t, "the request to be blocked", e.blocked)
	sent := time.Now()
	<-time.After(window * 3 / 4) // the injected stall
	if err := next.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	<-time.After(time.Until(sent.Add(window + 50*time.Millisecond)))
	laterConn := dialSidecar(t, s)
	e.ask(t, laterConn, "keyed", "ended.k+late")
	status, err := readStatus(laterConn)
	if err != nil {
		t.Error(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	first := e.byKey["ended.k"][0]
	for _, m := range e.byKey["ended.k"][1:] {
		if m.cell != first.cell || m.at.Sub(first.at) > window {
			t.Errorf("answered %d: retried in cell %d, %v after the first attempt in cell %d; the window is %v", status, m.cell, m.at.Sub(first.at), first.cell, window)
		}
	}
}
