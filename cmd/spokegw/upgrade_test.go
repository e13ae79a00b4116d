package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/process"
	"spokegw/internal/lab/scene"
)

// site is what processes of one sidecar share.
type site struct {
	t             *testing.T
	dir           string
	program       string // that is started; the test's own binary stands in for it
	listen        string
	registry      *lab.Registry
	endpoint      *lab.Endpoint
	more          []*lab.Endpoint // beside it
	operator      string          // file; "": none
	log           io.Writer       // of processes
	aim, deadline time.Duration   // of the classes
	memory        int             // MB, and descriptors, that the configuration tells
	sockets       int
	answer        func(http.ResponseWriter, *http.Request) bool // of the endpoint; nil: its own
	asked         atomic.Int64
	seen          sync.Map // ids, at the endpoint
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), program: os.Args[0], listen: freeAddr(t), log: os.Stderr, aim: 2 * time.Second, deadline: 5 * time.Second, memory: 128, sockets: 512}
	var err error
	if s.endpoint, err = lab.StartEndpoint(lab.EndpointConfig{Workers: 500, Body: 20, Work: time.Millisecond, Answer: func(w http.ResponseWriter, r *http.Request) bool {
		return s.answer != nil && s.answer(w, r)
	}, Seen: func(r *http.Request) {
		if _, twice := s.seen.LoadOrStore(r.Header.Get("Req-Id"), true); twice {
			t.Errorf("request %s was sent twice", r.Header.Get("Req-Id"))
		}
	}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.endpoint.Close)
	if s.registry, err = lab.StartRegistryAt(freeAddr(t), scene.Entries(s.endpoint), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.registry.Close)
	s.configure("map-tile")
	return s
}

// freeAddr is an address that is the test's up to its end.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := process.TakeAddr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.GiveBack(addr) })
	return addr
}

// configure writes the configuration with these classes.
func (s *site) configure(classes ...string) {
	var all []scene.Class
	for _, c := range classes {
		all = append(all, scene.Class{"name": c, "effect": "read_like", "hard_limit_ms": s.deadline.Milliseconds(), "aim_ms": s.aim.Milliseconds()})
	}
	text := scene.Configuration(scene.Platform{
		Name: "n0", Listen: s.listen, Registry: s.registry.Addr(), Endpoints: append([]*lab.Endpoint{s.endpoint}, s.more...),
		MemoryMB: s.memory, Sockets: s.sockets, ConnectTimeout: 5 * time.Second, Classes: all,
	})
	// It is put in place whole: a process may be reading it.
	if err := os.WriteFile(filepath.Join(s.dir, "config.new"), text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(filepath.Join(s.dir, "config.new"), filepath.Join(s.dir, "config.json")); err != nil {
		s.t.Fatal(err)
	}
}

// told is a log that passes on what is written to it, and tells when a text has come.
type told struct {
	text string
	came chan struct{} // closed when it has
	last []byte        // of what was written, as long as the text
}

func (l *told) Write(b []byte) (int, error) {
	l.last = append(l.last, b...)
	if l.text != "" && bytes.Contains(l.last, []byte(l.text)) {
		close(l.came)
		l.text = ""
	}
	l.last = l.last[max(0, len(l.last)-len(l.text)):]
	return os.Stderr.Write(b)
}

// operate writes an operator's file, which processes are started with from now on.
func (s *site) operate(text string) {
	s.t.Helper()
	s.operator = filepath.Join(s.dir, "operator.toml")
	if err := os.WriteFile(s.operator, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// running is a process of the sidecar.
type running struct{ *process.Process }

func (s *site) start() *running {
	s.t.Helper()
	return s.startAt("")
}

// startAt starts a process with a second address; "": one of its own.
func (s *site) startAt(management string) *running {
	s.t.Helper()
	p, err := process.Start(s.program, management, []string{
		"RUN_SPOKEGW=1", "NODE_CONFIG=" + filepath.Join(s.dir, "config.json"), "TMPDIR=" + s.dir, "SPOKEGW_OPERATOR=" + s.operator,
	}, s.log)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		p.Kill()
		<-p.Ended
	})
	return &running{p}
}

// build makes the program itself, for a test of its memory: with the race detector
// the test's own binary holds five times as much.
func (s *site) build() {
	s.t.Helper()
	s.program = filepath.Join(s.t.TempDir(), "spokegw")
	if text, err := exec.Command("go", "build", "-o", s.program, ".").CombinedOutput(); err != nil {
		s.t.Fatalf("%v: %s", err, text)
	}
}

// ask makes a call on the second address, and again until it is connected.
func (r *running) ask(t *testing.T, call string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	text, err := r.Ask(ctx, call)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func (r *running) ready(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := r.Ready(ctx); err != nil {
		t.Fatal(err)
	}
}

// load asks without end, each worker on connections that it keeps and on new
// ones in turn, and fails the test for every request that is not served.
func (s *site) load(workers int, class string) (stop func() int64) {
	var asking sync.WaitGroup
	var served atomic.Int64
	ending := make(chan struct{})
	for w := range workers {
		asking.Go(func() {
			kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: patience}
			fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
			defer kept.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-ending:
					return
				default:
				}
				client := kept
				if i%3 == 0 {
					client = fresh
				}
				resp, err := client.Do(s.request(class))
				if err != nil {
					s.t.Errorf("worker %d, request %d: %v", w, i, err)
					return
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != 200 {
					s.t.Errorf("worker %d, request %d: status %d, %v", w, i, resp.StatusCode, err)
				}
				resp.Body.Close()
				served.Add(1)
			}
		})
	}
	return func() int64 {
		close(ending)
		asking.Wait()
		return served.Load()
	}
}

// Upgrades one after another under load: nothing is lost, refused, or sent twice.
func TestUpgrades(t *testing.T) {
	s := newSite(t)
	now := s.start()
	now.ready(t)
	stop := s.load(8, "map-tile")
	for range 5 {
		next := s.start()
		next.ready(t)
		now.Signal(syscall.SIGTERM)
		await(t, "the old process to end", now.Ended)
		now = next
	}
	if served := stop(); served < 100 {
		t.Errorf("%d requests were served", served)
	}
}

// A new process that is killed, at whatever point, leaves the old one as it was.
func TestUpgradeDies(t *testing.T) {
	s := newSite(t)
	old := s.start()
	old.ready(t)
	for i := range 8 {
		next := s.start()
		if i%2 == 0 {
			next.ready(t)
		} else {
			<-time.After(time.Duration(i) * 3 * time.Millisecond) // somewhere in its start
		}
		next.Kill()
		await(t, "the new process to end", next.Ended)
		s.load(4, "map-tile")() // what the dead one had taken is lost, nothing after that
		for range 20 {
			http.DefaultClient.CloseIdleConnections()
			if status := s.get("map-tile"); status != 200 {
				t.Errorf("after a new process that was killed: status %d", status)
			}
		}
	}
	old.ready(t)
}

// One that can't start, for its configuration or its second address, ends with an
// error and changes nothing.
func TestUpgradeRefused(t *testing.T) {
	s := newSite(t)
	old := s.start()
	old.ready(t)
	stop := s.load(4, "map-tile")
	good, err := os.ReadFile(filepath.Join(s.dir, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(filepath.Join(s.dir, "config.json"), good[:len(good)/2], 0o600)
	await(t, "the process with half a configuration to end", s.start().Ended)
	os.WriteFile(filepath.Join(s.dir, "config.json"), good, 0o600)
	stop()
	old.ready(t)
}

// What lies in the folder from others, and from processes that were killed, is
// no hindrance, and what is not ours is left alone.
func TestUpgradeLeavings(t *testing.T) {
	s := newSite(t)
	for i := range 3 {
		p := s.start()
		p.ready(t)
		p.Kill() // its socket stays
		await(t, "the process to end", p.Ended)
		os.WriteFile(filepath.Join(s.dir, fmt.Sprint("leaving-", i)), []byte("x"), 0o600)
	}
	sockets, err := filepath.Glob(filepath.Join(s.dir, "spokegw-*.sock"))
	if err != nil || len(sockets) != 1 {
		t.Fatal(sockets, err)
	}
	os.Remove(sockets[0])
	if err := os.WriteFile(sockets[0], []byte("somebody's"), 0o600); err != nil {
		t.Fatal(err)
	}
	p := s.start()
	p.ready(t)
	next := s.start() // by SO_REUSEPORT, as there is nobody to ask
	next.ready(t)
	if text, _ := os.ReadFile(sockets[0]); string(text) != "somebody's" {
		t.Errorf("the file that is not ours is %q", text)
	}
}

// A new class is served soon after SIGHUP, a dropped one no more; a broken file
// changes nothing and is counted.
func TestRetune(t *testing.T) {
	s := newSite(t)
	p := s.start()
	p.ready(t)
	stop := s.load(4, "map-tile")
	figure := func(line string) {
		t.Helper()
		for until := time.Now().Add(patience); !strings.Contains(p.ask(t, "show-stat"), line+"\n"); {
			if time.Now().After(until) {
				t.Fatalf("%s is not reached:\n%s", line, p.ask(t, "show-stat"))
			}
		}
	}
	s.configure("map-tile", "map-tile-ii")
	p.Signal(syscall.SIGHUP)
	figure("node.config_reloads:1|c")
	if status := s.get("map-tile-ii"); status != 200 {
		t.Errorf("the new class is answered %d", status)
	}
	for i, text := range []string{"", "{", `{"listen":"x"}`} {
		os.WriteFile(filepath.Join(s.dir, "config.json"), []byte(text), 0o600)
		p.Signal(syscall.SIGHUP)
		figure(fmt.Sprintf("node.config_reload_errors:%d|c", i+1))
	}
	if status := s.get("map-tile-ii"); status != 200 {
		t.Errorf("after broken files the new class is answered %d", status)
	}
	s.configure("map-tile")
	p.Signal(syscall.SIGHUP)
	figure("node.config_reloads:2|c")
	if status := s.get("map-tile-ii"); status != 400 {
		t.Errorf("a class that was dropped is answered %d", status)
	}
	stop()
}

// get asks once.
func (s *site) get(class string) int {
	s.t.Helper()
	resp, err := http.DefaultClient.Do(s.request(class))
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (s *site) request(class string) *http.Request {
	req, err := http.NewRequest("GET", fmt.Sprintf("http://%s/%s?user=k", s.listen, class), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Req-Id", fmt.Sprint("r", s.asked.Add(1)))
	req.Header.Set("Req-Deadline", "4000m")
	return req
}
