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

type members struct {
	lists chan []Entry
	fails chan struct{}
}

func newMembers() members {
	return members{make(chan []Entry, 64), make(chan struct{}, 64)}
}

func (m members) EndpointsUpdated(entries []Entry, _ bool) {
	select {
	case m.lists <- entries:
	default:
	}
}

func (m members) DiscoveryLost(time.Time, bool) {
	select {
	case m.fails <- struct{}{}:
	default:
	}
}

// A sidecar that knows a list asks for what is newer, also of the very first version:
// a fleet that starts together and asks for whole lists keeps the registry busy for so
// long that it turns all calls away, and nobody hears of a release.
func TestFirstCallOfAWatch(t *testing.T) {
	for name, c := range map[string]struct {
		version int64
		known   bool
		since   string
	}{
		"knows nothing":           {0, false, ""},
		"knows the first version": {0, true, "0"},
		"knows a later one":       {41, true, "41"},
	} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan string, 16)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case asked <- r.URL.Query().Get("since"):
				default:
				}
				fmt.Fprint(w, `{"version":42,"full":false,"servers":[]}`)
			}))
			defer s.Close()
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan struct{})
			w := NewWatcher(s.Listener.Addr().String(), c.version, c.known, newMembers())
			go func() { w.Run(ctx, OnDemand); close(done) }()
			w.Subscribe()
			for _, want := range []string{c.since, "42"} {
				select {
				case got := <-asked:
					if got != want {
						t.Errorf("the call asked for what is newer than %q, not %q", got, want)
					}
				case <-time.After(10 * time.Second):
					t.Fatal("no call came")
				}
			}
			stop()
			<-done
		})
	}
}

// What discovery sends when it is down: an error, noise, a list that breaks off. What
// came whole of it is true and told as a part; each counts as a failed call; and the
// truth is asked for by the version that is known for sure.
func TestWatchThroughNoise(t *testing.T) {
	entry := func(id string) string { return `{"id":"` + id + `","addr":"127.0.0.1:1","state":"active"}` }
	answers := []string{
		"", // 503
		"\x00\xff\x17 no list \x80",
		`{"version":99,"full":true,"servers":[` + entry("a") + `,` + entry("b") + `,{"id":"c","ad`,
		`[]`,
		`{"version":7,"full":true,"servers":[` + entry("a") + `]}`,
	}
	asked := make(chan string, 64)
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int(calls.Add(1)) - 1
		select {
		case asked <- r.URL.Query().Get("since"):
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
	m := newMembers()
	w := NewWatcher(s.Listener.Addr().String(), 3, true, m)
	go func() { w.Run(ctx, OnDemand); close(done) }()
	for i := range answers {
		w.Subscribe()
		if since := await(t, asked); since != "3" {
			t.Errorf("call %d asked for what is newer than %q", i, since)
		}
		if i == 2 {
			for told := ""; told != "ab"; { // maybe more than once
				for _, e := range await(t, m.lists) {
					if !strings.Contains(told, e.ID) {
						told += e.ID
					}
				}
			}
		}
		if i < len(answers)-1 {
			await(t, m.fails)
		}
	}
	if since := await(t, asked); since != "7" {
		t.Errorf("after the truth the call asked for what is newer than %q", since)
	}
	stop()
	<-done
}

func await[T any](t *testing.T, c <-chan T) (got T) {
	t.Helper()
	select {
	case got = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("waited in vain")
	}
	return got
}
