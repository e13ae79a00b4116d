package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/refused"
	"spokegw/internal/lab/scene"
)

func init() {
	if os.Getenv("REFUSE_CALLS") == "" {
		return
	}
	if err := refused.Calls(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Where Unix sockets, fork, splice and sendfile are refused, a process must start, serve
// short and long answers, reload and drain as usual, and log each unavailable feature once.
func TestRefusedSystemCalls(t *testing.T) {
	t.Setenv("REFUSE_CALLS", "1")
	s := newSidecarFixture(t)
	long, err := lab.StartEndpoint(lab.EndpointConfig{Workers: 500, Body: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(long.Close)
	s.extraEndpoints = append(s.extraEndpoints, long)
	s.registry.Set(scene.Entries(s.endpoint, long))
	s.configure("map-tile")
	s.writeOperatorFile(fmt.Sprintf("[[service]]\nname = \"maps\"\n[no-contract]\naction = \"share\"\nshare = 1.0\n[console]\nsocket = %q\n", s.dir+"/console"))
	log := &logLines{}
	s.log = log
	p := s.start()
	p.ready(t)
	stop := s.load(8, "map-tile")
	for until := time.Now().Add(testTimeout); long.Served() < 20 || s.endpoint.Served() < 20; <-time.After(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("not both endpoints receive requests")
		}
	}
	p.Signal(syscall.SIGHUP)
	log.await(t, "msg=reloaded")
	stop()
	p.Signal(syscall.SIGTERM)
	await(t, "the process to end", p.Ended)
	warnings := append(log.containing("level=WARN"), log.containing("level=ERROR")...)
	if len(warnings) != 2 || !strings.Contains(warnings[0], `msg="no further process can take over from this one"`) || !strings.Contains(warnings[1], `msg="no console"`) {
		t.Errorf("want one warning and one error about unavailable features, got\n%s", strings.Join(warnings, "\n"))
	}
}

// logLines is a log that is retained for inspection by line.
type logLines struct {
	mu   sync.Mutex
	text []byte
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, b...)
	return len(b), nil
}

func (l *logLines) split() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Split(strings.TrimSpace(string(l.text)), "\n")
}

// containing returns the lines that contain a text.
func (l *logLines) containing(text string) (found []string) {
	for _, line := range l.split() {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

func (l *logLines) await(t *testing.T, text string) {
	t.Helper()
	for until := time.Now().Add(testTimeout); len(l.containing(text)) == 0; <-time.After(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("no log line contains %q:\n%s", text, strings.Join(l.split(), "\n"))
		}
	}
}
