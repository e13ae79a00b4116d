package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

type testHandler struct {
	lists    chan []Entry
	failures chan struct{}
}

func newTestHandler() testHandler {
	return testHandler{make(chan []Entry, 64), make(chan struct{}, 64)}
}

func (h testHandler) EndpointsUpdated(entries []Entry, _ bool) {
	select {
	case h.lists <- entries:
	default:
	}
}

func (h testHandler) DiscoveryLost(time.Time, bool) {
	select {
	case h.failures <- struct{}{}:
	default:
	}
}

// A sidecar that knows a list asks for newer changes, also if it is the first version. A fleet
// that starts together and asks for whole lists keeps the registry so busy that it refuses
// all calls, and no sidecar is notified of a release.
func TestFirstCallVersion(t *testing.T) {
	for name, c := range map[string]struct {
		version int64
		known   bool
		since   string
	}{
		"no version known":    {0, false, ""},
		"first version known": {0, true, "0"},
		"later version known": {41, true, "41"},
	} {
		t.Run(name, func(t *testing.T) {
			queries := make(chan string, 16)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case queries <- r.URL.Query().Get("since"):
				default:
				}
				fmt.Fprint(w, `{"version":42,"full":false,"servers":[]}`)
			}))
			defer s.Close()
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan struct{})
			w := NewWatcher(s.Listener.Addr().String(), c.version, c.known, newTestHandler())
			go func() { w.Run(ctx, OnDemand); close(done) }()
			w.Subscribe()
			for _, want := range []string{c.since, "42"} {
				select {
				case got := <-queries:
					if got != want {
						t.Errorf("the call asked for changes since %q, want %q", got, want)
					}
				case <-time.After(10 * time.Second):
					t.Fatal("no call within 10 s")
				}
			}
			stop()
			<-done
		})
	}
}

// Discovery sends an error, noise or a truncated list. Complete entries are passed on as
// changes, each such answer counts as a failed call, and the next call asks by the
// latest version that was received completely.
func TestWatchWithInvalidAnswers(t *testing.T) {
	entry := func(id string) string { return `{"id":"` + id + `","addr":"127.0.0.1:1","state":"active"}` }
	answers := []string{
		"", // status 503
		"\x00\xff\x17 no list \x80",
		`{"version":99,"full":true,"servers":[` + entry("a") + `,` + entry("b") + `,{"id":"c","ad`,
		`[]`,
		`{"version":7,"full":true,"servers":[` + entry("a") + `]}`,
	}
	queries := make(chan string, 64)
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int(calls.Add(1)) - 1
		select {
		case queries <- r.URL.Query().Get("since"):
		default:
		}
		switch {
		case n == 0:
			w.WriteHeader(http.StatusServiceUnavailable)
		case n < len(answers):
			w.Header().Set("Content-Length", fmt.Sprint(len(answers[n])))
			fmt.Fprint(w, answers[n])
		default:
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	h := newTestHandler()
	w := NewWatcher(s.Listener.Addr().String(), 3, true, h)
	go func() { w.Run(ctx, OnDemand); close(done) }()
	for i := range answers {
		w.Subscribe()
		if since := await(t, queries); since != "3" {
			t.Errorf("call %d asked for changes since %q", i, since)
		}
		if i == 2 {
			for reported := ""; reported != "ab"; { // entries may be reported more than once
				for _, e := range await(t, h.lists) {
					if !strings.Contains(reported, e.ID) {
						reported += e.ID
					}
				}
			}
		}
		if i < len(answers)-1 {
			await(t, h.failures)
		}
	}
	if since := await(t, queries); since != "7" {
		t.Errorf("after a valid list the call asked for changes since %q", since)
	}
	stop()
	<-done
}

func await[T any](t *testing.T, c <-chan T) (got T) {
	t.Helper()
	select {
	case got = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing received within 10 s")
	}
	return got
}
