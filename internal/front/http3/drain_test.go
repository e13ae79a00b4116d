package http3_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// killDelay is when a process with deadlines of 3 s and more is killed at the earliest.
const killDelay = 3700 * time.Millisecond

// takenBytes is more, in bytes, than a client can send of a body that the server does not read.
const takenBytes = 256 << 10

// A request in flight, and one whose body keeps coming, are answered before the process is killed.
func TestStopAnswersBeforeTheKill(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return true
	}
	s, n := start(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 64, Body: 10, Answer: hang}}})
	addr := s.Sidecar.AddrHTTP3().String()
	type result struct {
		name   string
		status int
		err    error
	}
	results := make(chan result, 2)
	send := func(name string, body io.Reader) {
		c := client(t, s)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			status, _, err := ask(c, report(ctx, addr, name, body))
			results <- result{name, status, err}
		}()
	}
	incomplete, rest := io.Pipe()
	defer rest.Close()
	send("in flight", strings.NewReader("r"))
	send("incomplete", incomplete)
	if _, err := rest.Write(make([]byte, takenBytes)); err != nil {
		t.Fatal(err)
	}
	go func() { // it ends as the client closes the body, or with the test
		for _, err := rest.Write(make([]byte, 4<<10)); err == nil; _, err = rest.Write(make([]byte, 4<<10)) {
			<-time.After(50 * time.Millisecond)
		}
	}()
	<-n.arrived
	signalled := time.Now()
	s.Stop()
	for range 2 {
		r := <-results
		if want := map[string]int{"in flight": 504, "incomplete": 503}[r.name]; r.err != nil || r.status != want {
			t.Errorf("%s: status %d, error %v after %v; want %d", r.name, r.status, r.err, time.Since(signalled), want)
		}
	}
	if err := s.Wait(); err != nil {
		t.Error(err)
	}
	if took := time.Since(signalled); took >= killDelay {
		t.Errorf("the stop took %v", took)
	}
}
