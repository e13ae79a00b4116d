package sidecar_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"spokegw/internal/core"
	"spokegw/internal/lab/scene"
)

// Every request is recorded with its attempts, also one that an endpoint declined, and requests
// that ended before the recording's end are in the file once end returns.
func TestRecord(t *testing.T) {
	declines := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Srv-Declined", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	endpoints := twoPods(nil, nil)
	for i := range endpoints {
		endpoints[i].Answer = declines
	}
	s := startReady(t, scene.Config{Maps: endpoints, Operator: contractsOfA})
	file := filepath.Join(t.TempDir(), "record")
	if _, err := s.Sidecar.Record(filepath.Join(file, "none")); err == nil {
		t.Error("recording to an invalid path succeeded")
	}
	end, err := s.Sidecar.Record(file)
	if err != nil {
		t.Fatal(err)
	}
	const requests = 2 // with more some would be refused before an attempt
	for range requests {
		ask(t, s, tile("b"))
	}
	end()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	n := 0
	for lines := bufio.NewScanner(f); lines.Scan(); n++ {
		var r core.Trace
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			t.Fatal(err)
		}
		if r.Status != http.StatusServiceUnavailable || r.Team != "b" || len(r.Sent) == 0 || len(r.Sent) > 3 {
			t.Errorf("recorded status %d, team %q, attempts %+v", r.Status, r.Team, r.Sent)
		}
		for _, a := range r.Sent {
			if a.Result != "turned away" || a.Endpoint == "" {
				t.Errorf("unexpected attempt %+v", a)
			}
		}
	}
	if n != requests {
		t.Errorf("%d of %d requests are recorded", n, requests)
	}
}
