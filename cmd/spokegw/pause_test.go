package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// stopProcess stops a process and waits until all its threads have stopped. SIGSTOP
// takes effect some time after it is sent, and a request that is accepted before that
// is overdue when the process resumes, and refused.
func stopProcess(t *testing.T, p *os.Process) {
	t.Helper()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	threads := fmt.Sprintf("/proc/%d/task", p.Pid)
	for until := time.Now().Add(testTimeout); ; {
		entries, err := os.ReadDir(threads)
		if err != nil {
			t.Fatal(err)
		}
		running := 0
		for _, e := range entries {
			text, err := os.ReadFile(filepath.Join(threads, e.Name(), "stat"))
			if err != nil {
				t.Fatal(err)
			}
			_, rest, _ := strings.Cut(string(text), ") ") // the state follows the name
			if !strings.HasPrefix(rest, "T") {
				running++
			}
		}
		if running == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d threads of the process still run after SIGSTOP", running)
		}
	}
}

// The process stalls for 5 s, as when its machine is overloaded or suspended, while
// 400 requests arrive. When it resumes each request is answered once, and no more
// are admitted than the burst and what the rate allows since then: the rate limiter
// must not credit the time of the stall, in which the rate would allow 500.
func TestProcessStall(t *testing.T) {
	const rate, burst, requests, pause = 100, 20, 400, 5 * time.Second
	s := newSidecarFixture(t)
	s.memory, s.sockets, s.aim, s.deadline = 512, 4096, 5*time.Second, 10*time.Second
	s.configure("map-tile")
	s.writeOperatorFile(fmt.Sprintf(`[[service]]
name = 'maps'
[[team]]
name = 'kiosks'
share = 0.5
[[team.allow]]
service = 'maps'
classes = ['map-tile']
rate = %d.0
burst = %d
`, rate, burst))
	p := s.start()
	p.ready(t)
	addr := s.listen
	clients := make([]net.Conn, requests)
	for i := range clients {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		clients[i] = c
	}
	stopProcess(t, p.Process.Process)
	load := &lab.Load{Team: "kiosks", Path: "/map-tile/1", Kind: "map-tile", Give: 10 * time.Second}
	for _, c := range clients {
		if err := load.Request(t.Context(), addr).Write(c); err != nil {
			t.Fatal(err)
		}
	}
	<-time.After(pause) // the injected stall
	resumed := time.Now()
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	status := map[int]int{}
	for i, c := range clients {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("request %d: no answer: %v", i, err)
		}
		if resp.StatusCode == 503 {
			text, _ := io.ReadAll(resp.Body)
			t.Logf("503: %s", text)
		}
		resp.Body.Close()
		status[resp.StatusCode]++
	}
	allowed := burst + 1 + int(rate*time.Since(resumed).Seconds())
	t.Logf("answered %v, in %v; up to %d may be admitted", status, time.Since(resumed), allowed)
	if status[200] < burst || status[200] > allowed || status[200]+status[429] != requests {
		t.Errorf("after the pause: answers %v; want 200 for %d to %d requests and 429 for all others", status, burst, allowed)
	}
}

// The process stalls for longer than the gap between ticks that a move tolerates, in the
// middle of a step and under load. Requests that fail meanwhile count against neither pool,
// the stall does not count towards the step's time, and the move continues.
func TestMoveDuringStall(t *testing.T) {
	const pause = 5500 * time.Millisecond
	s := newSidecarFixture(t)
	s.memory, s.sockets, s.aim, s.deadline = 512, 8192, 15*time.Second, 20*time.Second
	for len(s.extraEndpoints) < 7 { // four endpoints in each pod
		e, err := lab.StartEndpoint(lab.EndpointConfig{Workers: 500, Body: 20, Work: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		s.extraEndpoints = append(s.extraEndpoints, e)
	}
	s.registry.Set(scene.Entries(append([]*lab.Endpoint{s.endpoint}, s.extraEndpoints...)...))
	s.configure("map-tile")
	s.writeOperatorFile(`[[service]]
name = "maps"
[no-contract]
action = "share"
share = 1.0
[[move]]
name = "new"
service = "maps"
steps = ["20%", "100%"]
step-time = "6s"
step-requests = 20
watch = "1s"
warming = "0s"
from.pod = 0
to.pod = 1
[[move.guard]]
slow = 3.0
late = 0.2
failed = 0.05
turned-away = 0.05
`)
	p := s.start()
	p.ready(t)
	load := &lab.Load{Team: "kiosks", Path: "/map-tile/1", Kind: "map-tile", Give: 18 * time.Second, Rate: func(time.Duration) float64 { return 200 }}
	ctx, stop := context.WithCancel(t.Context())
	loaded := make(chan struct{})
	go func() {
		load.Run(ctx, s.listen, 1)
		close(loaded)
	}()
	defer func() { <-loaded }()
	defer stop()
	awaitMove := func(wanted string) {
		t.Helper()
		re := regexp.MustCompile(wanted)
		for until := time.Now().Add(3 * testTimeout); ; <-time.After(5 * time.Millisecond) {
			text := p.ask(t, "show-moves")
			if re.MatchString(text) {
				return
			}
			if time.Now().After(until) || strings.Contains(text, "phase=undone") {
				t.Fatalf("timed out waiting for %v:\n%s", wanted, text)
			}
		}
	}
	p.ask(t, "begin-move new")
	awaitMove("share=0.2000 .*lacks=5s_of_the_step's_time") // at most one more tick before the process stops
	stopProcess(t, p.Process.Process)
	<-time.After(pause) // the injected stall
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	awaitMove("share=0.2000 .*lacks=[321]s_of_the_step's_time") // if the pause counted, nothing would be lacking
	awaitMove("share=1.0000")
}
