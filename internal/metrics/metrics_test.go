package metrics

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"spokegw/internal/figures"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestScrape(t *testing.T) {
	f := figures.New()
	c := f.Class(`odd"class`)
	for range 3 {
		c.Begin()
	}
	c.End(figures.Completed)
	c.End(figures.Rejected)
	s, err := Listen("127.0.0.1:0", f, func() figures.Members { return figures.Members{Listed: 4, Unavailable: 1} },
		func() *Fleet { return &Fleet{Up: 3, Malformed: 2, Quotas: []Quota{{Name: "maps/a/", Own: 0.25}}} })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		s.Serve(ctx)
		close(ended)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	defer http.DefaultClient.CloseIdleConnections()
	resp, err := http.Get("http://" + s.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp.StatusCode, err)
	}
	for _, line := range []string{
		`spokegw_downstream_requests_total{class="odd\"class",outcome="completed"} 1`, `spokegw_downstream_taken_total{class="odd\"class"} 3`,
		`spokegw_pending{class="odd\"class"} 1`, "spokegw_members 4", "spokegw_members_unavailable 1", "spokegw_config_reloads_total 0",
		"spokegw_fleet_up 3", `spokegw_fleet_messages_unused_total{reason="broken"} 2`, `spokegw_fleet_quota{part="own",quota="maps/a/"} 0.25`,
	} {
		if !strings.Contains(string(text), line+"\n") {
			t.Errorf("%s is missing in\n%s", line, text)
		}
	}
}
