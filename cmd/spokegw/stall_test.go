package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// phaseEndpoints blocks requests at the endpoints, each in the phase that its id names, until
// the process that sent them is stopped.
type phaseEndpoints struct {
	blocked chan string   // ids of requests that have reached their phase
	release chan struct{} // closed to let them continue

	mu          sync.Mutex
	counts      map[string]int // attempts by id
	firstHalfAt time.Time      // when the first partial answer was written
}

func newPhaseEndpoints() *phaseEndpoints {
	return &phaseEndpoints{blocked: make(chan string, 64), release: make(chan struct{}), counts: map[string]int{}}
}

// attempts returns the number of attempts of a request that reached an endpoint.
func (p *phaseEndpoints) attempts(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[id]
}

// answer handles a request at an endpoint: the first attempt blocks in the phase that its id
// names, retries are answered at once.
func (p *phaseEndpoints) answer(w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("Req-Id")
	p.mu.Lock()
	p.counts[id]++
	first := p.counts[id] == 1
	p.mu.Unlock()
	phase, _, _ := strings.Cut(id, ".")
	if !first {
		return false
	}
	switch phase {
	case "out", "short":
		p.blocked <- id
		<-p.release
		return false
	case "half":
		w.Header().Set("Content-Length", "8")
		io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		p.mu.Lock()
		if p.firstHalfAt.IsZero() {
			p.firstHalfAt = time.Now()
		}
		p.mu.Unlock()
		p.blocked <- id
		<-p.release
		io.WriteString(w, "more")
		return true
	case "reset":
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return false
		}
		p.blocked <- id
		<-p.release
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return true
	case "leaves":
		p.blocked <- id
		<-r.Context().Done()
		return true
	}
	return false
}

// The process stalls with requests in every phase, and the events that they wait for happen
// meanwhile. When it resumes, every request whose client is still connected gets one final
// answer, requests that arrived in time are served, and none is sent for disconnected clients.
func TestStallInEveryPhase(t *testing.T) {
	for _, pause := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			testStall(t, pause)
		})
	}
}

func testStall(t *testing.T, pause time.Duration) {
	const (
		copies     = 3                      // requests per phase
		stallLimit = 100 * time.Millisecond // below the 150 ms without progress after which an answer counts as stalled
	)
	endpoints := newPhaseEndpoints()
	s := newSidecarFixture(t)
	s.aim, s.deadline = 8*time.Second, 15*time.Second
	for range 2 {
		e, err := lab.StartEndpoint(lab.EndpointConfig{Workers: 500, Body: 20, Work: time.Millisecond, Answer: endpoints.answer})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		s.extraEndpoints = append(s.extraEndpoints, e)
	}
	s.endpoint.Close()
	s.endpoint, s.extraEndpoints = s.extraEndpoints[0], s.extraEndpoints[1:]
	s.registry.Set(scene.Entries(s.endpoint, s.extraEndpoints[0]))
	s.configure("map-tile")
	p := s.start()
	p.ready(t)

	conns := map[string]net.Conn{}
	dial := func(id string) {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout + pause))
		conns[id] = c
	}
	write := func(id, text string) {
		if _, err := io.WriteString(conns[id], text); err != nil {
			t.Fatal(err)
		}
	}
	each := func(phase string, do func(id string)) {
		for i := range copies {
			do(fmt.Sprintf("%s.%v.%d", phase, pause, i))
		}
	}
	head := func(id string, deadline time.Duration) string {
		return fmt.Sprintf("GET /map-tile?user=k HTTP/1.1\r\nHost: b\r\nReq-Deadline: %dm\r\nReq-Id: %s\r\n", deadline.Milliseconds(), id)
	}
	const long, short = 14 * time.Second, time.Second
	each("resting", func(id string) {
		dial(id)
		write(id, head(id+"-before", long)+"\r\n")
		if status, err := readStatus(conns[id]); status != 200 {
			t.Fatalf("%s: %d %v", id, status, err)
		}
	})
	each("half head", dial)
	each("half head", func(id string) { write(id, head(strings.ReplaceAll(id, " ", "-"), long)) })
	for _, phase := range []string{"out", "half", "reset", "leaves", "short"} {
		each(phase, func(id string) {
			deadline := long
			if phase == "short" {
				deadline = short
			}
			dial(id)
			write(id, head(id, deadline)+"\r\n")
		})
	}
	for range 5 * copies {
		await(t, "requests to be blocked", endpoints.blocked)
	}
	stopProcess(t, p.Process.Process)
	endpoints.mu.Lock()
	stopDelay := time.Since(endpoints.firstHalfAt)
	endpoints.mu.Unlock()
	close(endpoints.release) // answers, remaining bodies and resets arrive now
	each("half head", func(id string) { write(id, "\r\n") })
	each("resting", func(id string) { write(id, head(id, long)+"\r\n") })
	each("new", func(id string) {
		dial(id)
		write(id, head(id, long)+"\r\n")
	})
	each("gone", func(id string) {
		dial(id)
		write(id, head(id, long)+"\r\n")
		conns[id].Close()
	})
	each("leaves", func(id string) { conns[id].Close() })
	<-time.After(pause) // the injected stall
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for id, c := range conns {
		phase, _, _ := strings.Cut(id, ".")
		if phase == "gone" || phase == "leaves" {
			continue
		}
		status, err := readStatus(c)
		if err != nil || status == 0 || phase != "short" && status != 200 {
			t.Errorf("%s: answered %d, %v", id, status, err)
		}
	}
	// Once a later request is answered, all earlier input has been processed, and no more
	// attempts of the requests above follow.
	dial("last")
	write("last", head(fmt.Sprint("last.", pause), long)+"\r\n")
	if status, err := readStatus(conns["last"]); status != 200 {
		t.Errorf("the last request: answered %d, %v", status, err)
	}
	each("gone", func(id string) {
		if n := endpoints.attempts(id); n != 0 {
			t.Errorf("%s: %d attempts for a disconnected client", id, n)
		}
	})
	for phase, want := range map[string]int{"leaves": 1, "out": 1, "half": 1, "short": 1, "reset": 2, "resting": 1, "new": 1} {
		each(phase, func(id string) {
			n := endpoints.attempts(id)
			if phase == "half" && n == 2 && stopDelay > stallLimit {
				t.Logf("%s: the process was stopped %v after the partial answer, which already counted as stalled", id, stopDelay)
				return
			}
			if n != want {
				t.Errorf("%s: %d attempts, want %d", id, n, want)
			}
		})
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, "the process to end", p.Ended)
}
