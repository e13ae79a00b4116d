package fronttest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

const (
	longAnswerBytes = 24 << 20 // more than the buffers on the way to a client hold
	streamedBytes   = 2 << 20  // a body that is passed on as it comes
)

// openRequest is a request that stays open until finish is called, which returns the status of its answer.
type openRequest struct {
	id     string
	finish func() (status int, err error)
}

// trickle is a body that begins with some data, and then comes slowly until it is closed.
type trickle struct {
	begin  io.Reader
	closed chan struct{}
}

func (b *trickle) Read(to []byte) (int, error) {
	if n, err := b.begin.Read(to); n > 0 || err != io.EOF {
		return n, err
	}
	select {
	case <-b.closed:
		return 0, io.EOF
	case <-time.After(100 * time.Millisecond):
		n := min(len(to), 8<<10) // faster than a body must be
		clear(to[:n])
		return n, nil
	}
}

// protocolClient sends requests over one protocol.
type protocolClient struct {
	name string
	base string
	http.RoundTripper
}

// request is a request of this client, with a time that no phase of the test takes.
func (c *protocolClient) request(ctx context.Context, method, target, id, want string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, c.base+target, body)
	if err != nil {
		panic(err)
	}
	r.Header = http.Header{"Req-Id": {id}, "Req-Deadline": {"50000m"}, "X-Want": {want}}
	if method == http.MethodPost {
		r.Header.Set("Idempotency-Key", id)
	}
	return r
}

// statusOf sends a request and reads its whole answer.
func (c *protocolClient) statusOf(r *http.Request) (int, error) {
	resp, err := c.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// open opens a request in each phase: its body arrives, it runs, its answer is read.
func (c *protocolClient) open(t *testing.T, arrived <-chan string, release func()) []openRequest {
	t.Helper()
	type result struct {
		status int
		err    error
	}
	begin := func(r *http.Request) func() (int, error) {
		done := make(chan result, 1)
		go func() {
			status, err := c.statusOf(r)
			done <- result{status, err}
		}()
		select {
		case id := <-arrived:
			if id != r.Header.Get("Req-Id") {
				t.Fatalf("%s has arrived", id)
			}
		case got := <-done:
			t.Fatalf("%s has ended: status %d, %v", r.Header.Get("Req-Id"), got.status, got.err)
		}
		return func() (int, error) {
			got := <-done
			return got.status, got.err
		}
	}
	upload := &trickle{bytes.NewReader(make([]byte, streamedBytes)), make(chan struct{})}
	uploaded := begin(c.request(t.Context(), "POST", "/status-report", c.name+"-body", "", upload))
	held := begin(c.request(t.Context(), "GET", "/map-tile/1", c.name+"-runs", "hold", nil))
	resp, err := c.RoundTrip(c.request(t.Context(), "GET", "/map-tile/1", c.name+"-answer", "long", nil))
	if err != nil {
		t.Fatal(err)
	}
	<-arrived
	return []openRequest{
		{c.name + "-body", func() (int, error) {
			close(upload.closed)
			return uploaded()
		}},
		{c.name + "-runs", func() (int, error) {
			release()
			return held()
		}},
		{c.name + "-answer", func() (int, error) {
			defer resp.Body.Close()
			n, err := io.Copy(io.Discard, resp.Body)
			if err == nil && n != longAnswerBytes {
				err = fmt.Errorf("%d bytes", n)
			}
			return resp.StatusCode, err
		}},
	}
}

// Guards against an id that is served again while its request is open on one of the fronts, as its body arrives, it
// runs or its answer is read, and more others have come since than are remembered of ended ones.
func TestOpenIDIsInUseOnEachFront(t *testing.T) {
	const others = 8300
	arrived, released := make(chan string, 10), make(chan struct{})
	s, err := scene.Start(scene.Config{HTTP3: true, Operator: "[[service]]\nname = 'maps'\n[no-contract]\naction = 'share'\nshare = 1.0\nrate = 100000\nburst = 20000\n", Aim: 20 * time.Second, Deadline: 60 * time.Second, Maps: []lab.EndpointConfig{{
		Workers: 500,
		Read: func(r *http.Request) error {
			if r.Method == "POST" {
				arrived <- r.Header.Get("Req-Id")
			}
			_, err := io.Copy(io.Discard, r.Body)
			return err
		},
		Answer: func(w http.ResponseWriter, r *http.Request) bool {
			switch r.Header.Get("X-Want") {
			case "hold":
				arrived <- r.Header.Get("Req-Id")
				<-released
			case "long":
				arrived <- r.Header.Get("Req-Id")
				w.Header().Set("Content-Length", fmt.Sprint(longAnswerBytes))
				w.Write(make([]byte, longAnswerBytes))
				return true
			}
			return false
		},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	three, err := dialHTTP3(s)
	if err != nil {
		t.Fatal(err)
	}
	defer three.Close()
	one := &http.Transport{MaxIdleConnsPerHost: 50, DisableCompression: true}
	defer one.CloseIdleConnections()
	clients := []*protocolClient{
		{"http1", "http://" + s.Addr(), one},
		{"http3", "https://" + three.(byHTTP3).addr, three.(byHTTP3).transport},
	}
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	var open []openRequest
	for _, c := range clients {
		open = append(open, c.open(t, arrived, release)...)
	}
	var flood sync.WaitGroup
	for worker := range 16 {
		flood.Go(func() {
			for i := worker; i < others; i += 16 {
				if _, err := clients[0].statusOf(clients[0].request(t.Context(), "GET", "/map-tile/1", fmt.Sprint("other-", i), "", nil)); err != nil && !errors.Is(err, io.EOF) {
					t.Errorf("another request: %v", err)
					return
				}
			}
		})
	}
	flood.Wait()
	for _, o := range open {
		for _, c := range clients {
			if status, err := c.statusOf(c.request(t.Context(), "GET", "/map-tile/1", o.id, "", nil)); status != http.StatusConflict {
				t.Errorf("%s comes again over %s: status %d, %v", o.id, c.name, status, err)
			}
		}
		if status, err := o.finish(); err != nil || status != http.StatusOK {
			t.Errorf("%s: status %d, %v", o.id, status, err)
		}
	}
}
