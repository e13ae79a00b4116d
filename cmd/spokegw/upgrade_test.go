package main

import (
	"bytes"
	"cmp"
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

// sidecarFixture is the environment that the successive processes of one sidecar share.
type sidecarFixture struct {
	t              *testing.T
	dir            string
	program        string // executable; the test binary by default
	listen         string
	registry       *lab.Registry
	endpoint       *lab.Endpoint
	extraEndpoints []*lab.Endpoint          // in addition to endpoint
	operator       string                   // path of the operator's file; "": none
	log            io.Writer                // of the processes
	aim, deadline  time.Duration            // of the classes
	deadlines      map[string]time.Duration // of single classes, in place of deadline
	memory         int                      // configured limit in MB
	sockets        int
	answerFunc     func(http.ResponseWriter, *http.Request) bool // handler of endpoint; nil or false: its default
	requestCount   atomic.Int64
	seenIDs        sync.Map // request ids that reached the endpoint
}

func newSidecarFixture(t *testing.T) *sidecarFixture {
	t.Helper()
	s := &sidecarFixture{t: t, dir: t.TempDir(), program: os.Args[0], listen: freeAddr(t), log: os.Stderr, aim: 2 * time.Second, deadline: 5 * time.Second, memory: 128, sockets: 512}
	var err error
	if s.endpoint, err = lab.StartEndpoint(lab.EndpointConfig{Workers: 500, Body: 20, Work: time.Millisecond, Answer: func(w http.ResponseWriter, r *http.Request) bool {
		return s.answerFunc != nil && s.answerFunc(w, r)
	}, Seen: func(r *http.Request) {
		if _, twice := s.seenIDs.LoadOrStore(r.Header.Get("Req-Id"), true); twice {
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

// freeAddr returns an address that is reserved for the test until its end.
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
func (s *sidecarFixture) configure(classes ...string) {
	var all []scene.Class
	for _, c := range classes {
		deadline := cmp.Or(s.deadlines[c], s.deadline)
		all = append(all, scene.Class{"name": c, "effect": "read_like", "hard_limit_ms": deadline.Milliseconds(), "aim_ms": min(s.aim, deadline/2).Milliseconds()})
	}
	text := scene.Configuration(scene.Platform{
		Name: "n0", Listen: s.listen, Registry: s.registry.Addr(), Endpoints: append([]*lab.Endpoint{s.endpoint}, s.extraEndpoints...),
		MemoryMB: s.memory, Sockets: s.sockets, ConnectTimeout: 5 * time.Second, Classes: all,
	})
	// Replaced atomically, as a process may be reading it.
	if err := os.WriteFile(filepath.Join(s.dir, "config.new"), text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(filepath.Join(s.dir, "config.new"), filepath.Join(s.dir, "config.json")); err != nil {
		s.t.Fatal(err)
	}
}

// logWatcher forwards a log to standard error, and signals when a text was logged.
type logWatcher struct {
	text string
	seen chan struct{} // closed when text was logged
	last []byte        // tail of the log, as long as text
}

func (l *logWatcher) Write(b []byte) (int, error) {
	l.last = append(l.last, b...)
	if l.text != "" && bytes.Contains(l.last, []byte(l.text)) {
		close(l.seen)
		l.text = ""
	}
	l.last = l.last[max(0, len(l.last)-len(l.text)):]
	return os.Stderr.Write(b)
}

// writeOperatorFile writes the operator's file that further processes are started with.
func (s *sidecarFixture) writeOperatorFile(text string) {
	s.t.Helper()
	s.operator = filepath.Join(s.dir, "operator.toml")
	if err := os.WriteFile(s.operator, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// sidecarProcess is a process of the sidecar.
type sidecarProcess struct{ *process.Process }

func (s *sidecarFixture) start() *sidecarProcess {
	s.t.Helper()
	return s.startAt("")
}

// startAt starts a process with a management address; "": a free one.
func (s *sidecarFixture) startAt(management string) *sidecarProcess {
	s.t.Helper()
	p, err := process.Start(s.program, management, []string{
		"RUN_SPOKEGW=1", "GORACE=atexit_sleep_ms=0", "NODE_CONFIG=" + filepath.Join(s.dir, "config.json"), "TMPDIR=" + s.dir, "SPOKEGW_OPERATOR=" + s.operator,
	}, s.log)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		p.Kill()
		<-p.Ended
	})
	return &sidecarProcess{p}
}

// build compiles the program for a test of its memory use, as the test binary takes
// five times as much with the race detector.
func (s *sidecarFixture) build() {
	s.t.Helper()
	s.program = filepath.Join(s.t.TempDir(), "spokegw")
	if text, err := exec.Command("go", "build", "-o", s.program, ".").CombinedOutput(); err != nil {
		s.t.Fatalf("%v: %s", err, text)
	}
}

// ask makes a call on the management address, retried until it connects.
func (r *sidecarProcess) ask(t *testing.T, call string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	text, err := r.Ask(ctx, call)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func (r *sidecarProcess) ready(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := r.Ready(ctx); err != nil {
		t.Fatal(err)
	}
}

// load sends requests until stop is called, each worker on both persistent and new
// connections, and fails the test for every request that is not served.
func (s *sidecarFixture) load(workers int, class string) (stop func() int64) {
	var asking sync.WaitGroup
	var served atomic.Int64
	ending := make(chan struct{})
	for w := range workers {
		asking.Go(func() {
			kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: testTimeout}
			fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
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

// Successive upgrades under load: no request is lost, refused, or sent twice.
func TestUpgrades(t *testing.T) {
	s := newSidecarFixture(t)
	current := s.start()
	current.ready(t)
	stop := s.load(8, "map-tile")
	for range 5 {
		next := s.start()
		next.ready(t)
		current.Signal(syscall.SIGTERM)
		await(t, "the old process to end", current.Ended)
		current = next
	}
	if served := stop(); served < 100 {
		t.Errorf("%d requests were served, want at least 100", served)
	}
}

// A new process that is killed at any point of the upgrade does not affect the old one.
func TestKillDuringUpgrade(t *testing.T) {
	s := newSidecarFixture(t)
	old := s.start()
	old.ready(t)
	for i := range 8 {
		next := s.start()
		if i%2 == 0 {
			next.ready(t)
		} else {
			<-time.After(time.Duration(i) * 3 * time.Millisecond) // during its start
		}
		next.Kill()
		await(t, "the new process to end", next.Ended)
		s.load(4, "map-tile")() // requests that the killed process had accepted are lost, later ones are not
		for range 20 {
			http.DefaultClient.CloseIdleConnections()
			if status := s.get("map-tile"); status != 200 {
				t.Errorf("after the new process was killed: status %d, want 200", status)
			}
		}
	}
	old.ready(t)
}

// A new process with an invalid configuration exits, and the old one is unaffected.
func TestUpgradeWithInvalidConfig(t *testing.T) {
	s := newSidecarFixture(t)
	old := s.start()
	old.ready(t)
	stop := s.load(4, "map-tile")
	good, err := os.ReadFile(filepath.Join(s.dir, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(filepath.Join(s.dir, "config.json"), good[:len(good)/2], 0o600)
	await(t, "the process with a truncated configuration to end", s.start().Ended)
	os.WriteFile(filepath.Join(s.dir, "config.json"), good, 0o600)
	stop()
	old.ready(t)
}

// Files of others and sockets of killed processes in the directory do not prevent a start,
// and files that are not the sidecar's are left unchanged.
func TestUpgradeWithLeftoverFiles(t *testing.T) {
	s := newSidecarFixture(t)
	for i := range 3 {
		p := s.start()
		p.ready(t)
		p.Kill() // its socket file remains
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
	next := s.start() // binds with SO_REUSEPORT, as no process answers a handover request
	next.ready(t)
	if text, _ := os.ReadFile(sockets[0]); string(text) != "somebody's" {
		t.Errorf("the file of another program was changed to %q", text)
	}
}

// After SIGHUP a new class is served and a removed one is rejected; an invalid file changes
// nothing and is counted.
func TestReloadClasses(t *testing.T) {
	s := newSidecarFixture(t)
	p := s.start()
	p.ready(t)
	stop := s.load(4, "map-tile")
	figure := func(line string) {
		t.Helper()
		for until := time.Now().Add(testTimeout); !strings.Contains(p.ask(t, "show-stat"), line+"\n"); {
			if time.Now().After(until) {
				t.Fatalf("metric %s is not reported:\n%s", line, p.ask(t, "show-stat"))
			}
		}
	}
	s.configure("map-tile", "map-tile-ii")
	p.Signal(syscall.SIGHUP)
	figure("node.config_reloads:1|c")
	if status := s.get("map-tile-ii"); status != 200 {
		t.Errorf("the new class is answered %d, want 200", status)
	}
	for i, text := range []string{"", "{", `{"listen":"x"}`} {
		os.WriteFile(filepath.Join(s.dir, "config.json"), []byte(text), 0o600)
		p.Signal(syscall.SIGHUP)
		figure(fmt.Sprintf("node.config_reload_errors:%d|c", i+1))
	}
	if status := s.get("map-tile-ii"); status != 200 {
		t.Errorf("after invalid files the new class is answered %d, want 200", status)
	}
	s.configure("map-tile")
	p.Signal(syscall.SIGHUP)
	figure("node.config_reloads:2|c")
	if status := s.get("map-tile-ii"); status != 400 {
		t.Errorf("a removed class is answered %d, want 400", status)
	}
	stop()
}

// get sends one request and returns the status.
func (s *sidecarFixture) get(class string) int {
	s.t.Helper()
	resp, err := http.DefaultClient.Do(s.request(class))
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (s *sidecarFixture) request(class string) *http.Request {
	req, err := http.NewRequest("GET", fmt.Sprintf("http://%s/%s?user=k", s.listen, class), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Req-Id", fmt.Sprint("r", s.requestCount.Add(1)))
	req.Header.Set("Req-Deadline", "4000m")
	return req
}
