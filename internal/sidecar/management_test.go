package sidecar_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
	"spokegw/internal/management"
)

// call makes a call on the management address.
func call(t *testing.T, s *scene.Scene, line string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	lines, err := management.Call(ctx, s.Sidecar.AddrManagement(), line)
	return strings.Join(lines, "\n"), err
}

// must makes a call that has to succeed.
func must(t *testing.T, s *scene.Scene, line string) string {
	t.Helper()
	text, err := call(t, s, line)
	if err != nil {
		t.Errorf("%s: %v", line, err)
	}
	return text
}

// startReady starts a scene and waits until the sidecar is ready.
func startReady(t *testing.T, c scene.Config) *scene.Scene {
	t.Helper()
	s := start(t, c)
	for _, err := call(t, s, "ready"); err != nil; _, err = call(t, s, "ready") {
		if !strings.Contains(err.Error(), "starting") {
			t.Fatal(err)
		}
	}
	return s
}

// A disabled endpoint gets no new requests until it is enabled, whatever the list states
// meanwhile, and is shown as avoided.
func TestDisableServer(t *testing.T) {
	s := startReady(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 8}, {Workers: 8}}})
	must(t, s, "disable-server maps-0")
	for range 30 {
		if a := ask(t, s, tile("")); a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	if n := s.Maps[0].Served(); n != 0 {
		t.Errorf("the disabled endpoint served %d requests", n)
	}
	if text := must(t, s, "show-members"); !strings.Contains(text, "id=maps-0 service=- ") || !strings.Contains(text, "avoided=disabled") {
		t.Errorf("%s", text)
	}
	text := must(t, s, "show-stat")
	for until := time.Now().Add(testTimeout); strings.Contains(text, "map-tile.completed:29|c") && time.Now().Before(until); { // the last request is counted after its answer is written
		text = must(t, s, "show-stat")
	}
	if !strings.Contains(text, "node.members_unavailable:1|g") || !strings.Contains(text, "node.downstream_requests.map-tile.completed:30|c") {
		t.Errorf("%s", text)
	}
	s.Registry.Set(scene.Entries(s.Maps...)) // listed as active
	must(t, s, "disable-server maps-0")      // the repeated command changes nothing
	must(t, s, "enable-server maps-0")
	for range 60 {
		ask(t, s, tile(""))
	}
	if s.Maps[0].Served() == 0 {
		t.Error("the enabled endpoint gets no requests")
	}
	if _, err := call(t, s, "disable-server maps-9"); err == nil || !strings.Contains(err.Error(), "maps-9") {
		t.Errorf("an unknown endpoint: %v", err)
	}
}

// A drained sidecar serves all requests, asks clients to disconnect, and is not ready.
func TestDrain(t *testing.T) {
	s := startReady(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 8}}})
	readiness := func() int {
		resp, err := http.Get("http://" + s.Addr() + "/health/ready")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	must(t, s, "drain")
	if _, err := call(t, s, "ready"); err == nil {
		t.Error("the sidecar is ready while drained")
	}
	if status := readiness(); status != 503 {
		t.Errorf("/health/ready answers %d", status)
	}
	if a := ask(t, s, tile("")); a.status != 200 || !a.closed {
		t.Errorf("status %d, close %v", a.status, a.closed)
	}
	must(t, s, "resume")
	must(t, s, "ready")
	if status := readiness(); status != 200 {
		t.Errorf("/health/ready answers %d after resume", status)
	}
}
