package http3_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/goleak"

	http3front "spokegw/internal/front/http3"
	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
	"spokegw/internal/quiclb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds what should come soon, over a path that loses much.
const patience = 30 * time.Second

const contracts = "[[service]]\nname = 'maps'\n[[team]]\nname = 'patrols'\nshare = 1\n[[team.allow]]\nservice = 'maps'\n"

// seen counts the attempts of each id at endpoints.
type seen struct {
	mu       sync.Mutex
	attempts map[string]int
	arrived  chan struct{}
}

func (s *seen) request(r *http.Request) {
	s.mu.Lock()
	s.attempts[r.Header.Get("Req-Id")]++
	s.mu.Unlock()
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}

func (s *seen) of(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[id]
}

func start(t testing.TB, c scene.Config) (*scene.Scene, *seen) {
	t.Helper()
	n := &seen{attempts: map[string]int{}, arrived: make(chan struct{}, 10000)}
	if c.Maps == nil {
		c.Maps = []lab.EndpointConfig{{Workers: 64, Body: 300}, {Workers: 64, Body: 300}}
	}
	for i := range c.Maps {
		c.Maps[i].Seen = n.request
	}
	c.Operator = contracts + c.Operator
	c.HTTP3, c.Aim = !strings.Contains(c.Operator, "[http3]"), 15*time.Second
	if c.Deadline == 0 {
		c.Deadline = 20 * time.Second
	}
	s, err := scene.Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s, n
}

func relay(t *testing.T, s *scene.Scene, p lab.Plan) *lab.Relay {
	t.Helper()
	r, err := lab.StartRelay(s.Sidecar.AddrHTTP3().String(), p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// client makes a client of the scene that sends to addr.
func client(t testing.TB, s *scene.Scene) *http3.Transport {
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(s.Certificate)
	c := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: roots}, DisableCompression: true,
		QUICConfig: &quic.Config{HandshakeIdleTimeout: 10 * time.Second, MaxIdleTimeout: 25 * time.Second},
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// report makes a request with a key.
func report(ctx context.Context, addr, id string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, "POST", "https://"+addr+"/status-report?user=k", body)
	if err != nil {
		panic(err)
	}
	r.Header = http.Header{"Req-Id": {id}, "Req-Kind": {"status-report"}, "Req-Owner": {"patrols"}, "Req-Deadline": {"20000m"}, "Idempotency-Key": {id}}
	return r
}

// ask sends a request and reads its answer; status 0 where there is none.
func ask(c *http3.Transport, r *http.Request) (status int, body string, err error) {
	resp, err := c.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode, string(text), nil
}

// Whatever datagrams are lost, doubled, spoilt or late, each key has exactly one
// effect, and its request one answer.
func TestEveryPath(t *testing.T) {
	plans := map[string]lab.Plan{
		"30% lost":             {Seed: 1, Drop: 0.3},
		"5% lost, jitter":      {Seed: 2, Drop: 0.05, Delay: 2 * time.Millisecond, Jitter: 5 * time.Millisecond},
		"all doubled":          {Seed: 3, Duplicate: 1},
		"a tenth spoilt":       {Seed: 4, Spoil: 0.1},
		"some of all of these": {Seed: 5, Drop: 0.05, Duplicate: 0.1, Spoil: 0.05, Jitter: 3 * time.Millisecond},
	}
	for n := 2; n <= 20; n++ {
		plans[fmt.Sprintf("every %d. lost", n)] = lab.Plan{DropEvery: n}
	}
	s, n := start(t, scene.Config{HTTP3More: "handshake = '20s'\n"}) // on such paths it takes its time
	for name, plan := range plans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, c := relay(t, s, plan), client(t, s)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			for i := range 5 {
				id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), i)
				status, body, err := ask(c, report(ctx, r.Addr(), id, strings.NewReader(strings.Repeat("r", 3000))))
				if status != 200 || len(body) != 300 {
					t.Errorf("request %d: status %d, %d bytes, error %v", i, status, len(body), err)
				}
				if got := n.of(id); got != 1 {
					t.Errorf("key %d has %d effects", i, got)
				}
			}
		})
	}
}

// A client that moves to another address, with its request half sent, its answer
// half received, or twice at once, is answered at the new one.
func TestMoves(t *testing.T) {
	const long = 300000
	s, n := start(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 8, Body: long}}})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	// A client may not move before its handshake is confirmed (RFC 9000 section 9).
	settle := func(t *testing.T, c *http3.Transport, r *lab.Relay, id string) {
		if status, _, err := ask(c, report(ctx, r.Addr(), "settle "+id, nil)); status != 200 {
			t.Fatal(status, err)
		}
	}
	move := func(t *testing.T, r *lab.Relay, times int) {
		for range times {
			if err := r.Move(); err != nil {
				t.Fatal(err)
			}
		}
	}
	for name, times := range map[string]int{"once": 1, "twice": 2} {
		t.Run("request half sent, "+name, func(t *testing.T) {
			r, c := relay(t, s, lab.Plan{}), client(t, s)
			settle(t, c, r, "sent-"+name)
			body, rest := io.Pipe()
			go func() {
				io.WriteString(rest, strings.Repeat("a", 20000))
				move(t, r, times)
				io.WriteString(rest, strings.Repeat("b", 20000))
				rest.Close()
			}()
			id := "sent-" + name
			if status, text, err := ask(c, report(ctx, r.Addr(), id, body)); status != 200 || len(text) != long || n.of(id) != 1 {
				t.Errorf("status %d, %d bytes, error %v, %d effects", status, len(text), err, n.of(id))
			}
		})
		t.Run("answer half received, "+name, func(t *testing.T) {
			r, c := relay(t, s, lab.Plan{}), client(t, s)
			c.QUICConfig.KeepAlivePeriod = time.Second // one that has acknowledged all sends nothing, and the server can't know where it is
			id := "received-" + name
			settle(t, c, r, id)
			resp, err := c.RoundTrip(report(ctx, r.Addr(), id, strings.NewReader("r")))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			half, err := io.ReadAll(io.LimitReader(resp.Body, long/2))
			if err != nil {
				t.Fatal(err)
			}
			move(t, r, times)
			rest, err := io.ReadAll(resp.Body)
			if len(half)+len(rest) != long || err != nil || n.of(id) != 1 {
				t.Errorf("%d and %d bytes, error %v, %d effects", len(half), len(rest), err, n.of(id))
			}
		})
	}
}

// A client is moved without knowing while it waits, its request acknowledged and
// nothing to send. What the server sends goes nowhere until the client pings,
// which may be long after the answer was made; the connection is there for it.
func TestMovedWhileWaiting(t *testing.T) {
	defer func(patience, period time.Duration) {
		*http3front.ConnPatience, *http3front.SweepPeriod = patience, period
	}(*http3front.ConnPatience, *http3front.SweepPeriod)
	*http3front.ConnPatience, *http3front.SweepPeriod = 200*time.Millisecond, 20*time.Millisecond
	t.Run("", func(t *testing.T) { // ends, with its scene, before they are put back
		s, n := start(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 8, Body: 300}}})
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		r, c := relay(t, s, lab.Plan{}), client(t, s)
		c.QUICConfig.KeepAlivePeriod, c.QUICConfig.DisablePathMTUDiscovery = 1500*time.Millisecond, true // nothing else is sent
		if status, _, err := ask(c, report(ctx, r.Addr(), "settle", nil)); status != 200 {
			t.Fatal(status, err)
		}
		<-n.arrived
		s.Maps[0].Silence()
		answered := make(chan error, 1)
		go func() {
			status, _, err := ask(c, report(ctx, r.Addr(), "waits", nil))
			if err == nil && status != 200 {
				err = fmt.Errorf("status %d", status)
			}
			answered <- err
		}()
		<-n.arrived
		if err := r.AwaitQuiet(ctx, 150*time.Millisecond); err != nil { // all is acknowledged
			t.Fatal(err)
		}
		if err := r.Move(); err != nil {
			t.Fatal(err)
		}
		s.Maps[0].Speak()
		if err := <-answered; err != nil {
			t.Error("moved while it waited, the client has no answer:", err)
		}
		if e := n.of("waits"); e != 1 {
			t.Errorf("%d effects", e)
		}
	})
}

// With routing every connection ID that a client is given, from the first to
// those for other paths, tells a balancer the instance; connections work as
// without.
func TestRouting(t *testing.T) {
	key := filepath.Join(t.TempDir(), "routing.key")
	const digits = "8f95f09245765f80256934e50c66207f"
	if err := os.WriteFile(key, []byte(digits+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, more := range map[string]string{"in plain": "", "encrypted": fmt.Sprintf("key = %q\n", key)} {
		t.Run(name, func(t *testing.T) {
			config := quiclb.Config{Config: 2, Server: []byte{0xab, 0x01}, NonceLen: 6}
			if more != "" {
				config.Key, _ = hex.DecodeString(digits)
			}
			ids, err := quiclb.New(config)
			if err != nil {
				t.Fatal(err)
			}
			s, _ := start(t, scene.Config{HTTP3More: "[http3.routing]\nconfig = 2\nserver = 'ab01'\nnonce = 6\n" + more})
			var mu sync.Mutex
			seen := map[string]bool{}
			r := relay(t, s, lab.Plan{Tap: func(d lab.Direction, text []byte) {
				if d != lab.ToServer || len(text) <= ids.Len() || text[0]&0x80 != 0 { // a long header
					return
				}
				id := text[1 : 1+ids.Len()]
				if server, _, err := ids.Decode(id); err != nil || !bytes.Equal(server, config.Server) {
					t.Errorf("connection ID %x is of server %x (%v)", id, server, err)
				}
				mu.Lock()
				seen[string(id)] = true
				mu.Unlock()
			}})
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			for i := range 2 {
				c := client(t, s)
				for j := range 3 {
					if status, _, err := ask(c, report(ctx, r.Addr(), fmt.Sprint(name, i, j), nil)); status != 200 {
						t.Fatal(status, err)
					}
					if err := r.Move(); err != nil {
						t.Fatal(err)
					}
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if len(seen) < 2 {
				t.Errorf("%d connection IDs were used by two connections", len(seen))
			}
		})
	}
}

// Nonces don't come twice under a key, and in plain are not counted, so that
// nobody can tell the IDs of one connection.
func TestRoutedIDs(t *testing.T) {
	key := filepath.Join(t.TempDir(), "routing.key")
	if err := os.WriteFile(key, []byte("00112233445566778899aabbccddeeff"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, file := range []string{"", key} {
		ids, err := http3front.NewRoutedIDs(&http3front.Routing{Server: "01", Nonce: 4, Key: file})
		if err != nil {
			t.Fatal(err)
		}
		seen := map[quic.ConnectionID]bool{}
		for range 2000 {
			id, err := ids.GenerateConnectionID()
			if err != nil || id.Len() != ids.ConnectionIDLen() || seen[id] {
				t.Fatalf("%v after %d others (%v)", id, len(seen), err)
			}
			seen[id] = true
		}
	}
	os.WriteFile(key, []byte("0011"), 0o600)
	for file, want := range map[string]string{key: "32 hexadecimal digits are expected", key + ".none": "no such file"} {
		if _, err := http3front.NewRoutedIDs(&http3front.Routing{Server: "01", Nonce: 4, Key: file}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// A client that opens requests and cancels them has its connection closed before
// long, whatever the limit on open ones; others are served.
func TestCancelledInSeries(t *testing.T) {
	const resets = 5
	s, n := start(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 8, Body: 1, Answer: func(w http.ResponseWriter, r *http.Request) bool {
		if r.Method != "POST" {
			return false
		}
		<-r.Context().Done()
		return true
	}}}, HTTP3More: "resets = 5\n"})
	c := client(t, s)
	addr := s.Sidecar.AddrHTTP3().String()
	closed := false
	for i := range 20 * resets {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		go func() {
			select {
			case <-n.arrived: // it is at an endpoint
			case <-ctx.Done():
			}
			cancel()
		}()
		_, _, err := ask(c, report(ctx, addr, fmt.Sprint("cancelled-", i), strings.NewReader("r")))
		cancel()
		if appErr := (*http3.Error)(nil); errors.As(err, &appErr) && appErr.ErrorCode == http3.ErrCodeExcessiveLoad {
			closed = true
			break
		}
	}
	if !closed {
		t.Error("the connection is still there")
	}
	other := client(t, s)
	r := report(context.Background(), addr, "other", nil)
	r.Method, r.URL.Path = "GET", "/map-tile/1"
	r.Header.Set("Req-Kind", "map-tile")
	r.Header.Del("Idempotency-Key")
	if status, _, err := ask(other, r); status != 200 {
		t.Errorf("another client is answered %d, error %v", status, err)
	}
}

// Past their number connections are refused; clients by HTTP/1.1 do not notice,
// and one that ends makes room.
func TestConnectionLimit(t *testing.T) {
	s, _ := start(t, scene.Config{HTTP3More: "connections = 2\n"})
	addr := s.Sidecar.AddrHTTP3().String()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	clients := []*http3.Transport{client(t, s), client(t, s), client(t, s)}
	for i, c := range clients[:2] {
		if status, _, err := ask(c, report(ctx, addr, fmt.Sprint("first-", i), nil)); status != 200 {
			t.Fatalf("client %d: status %d, error %v", i, status, err)
		}
	}
	_, _, err := ask(clients[2], report(ctx, addr, "third", nil))
	if refused := (*quic.TransportError)(nil); !errors.As(err, &refused) || refused.ErrorCode != quic.ConnectionRefused {
		t.Errorf("the third connection ends with %v", err)
	}
	if resp, err := http.Get("http://" + s.Addr() + "/health/ready"); err != nil || resp.StatusCode != 200 {
		t.Errorf("by HTTP/1.1: %v, %v", resp, err)
	} else {
		if !strings.HasPrefix(resp.Header.Get("Alt-Svc"), `h3=":`) {
			t.Errorf("Alt-Svc is %q", resp.Header.Get("Alt-Svc"))
		}
		resp.Body.Close()
		http.DefaultClient.CloseIdleConnections()
	}
	clients[0].Close()
	status := 0
	for i := 0; status != 200 && ctx.Err() == nil; i++ { // the server is told a moment later
		again := client(t, s)
		status, _, _ = ask(again, report(ctx, addr, fmt.Sprint("again-", i), nil))
	}
	if status != 200 {
		t.Error("a connection that ended made no room")
	}
}

// An address that has not been validated is sent no more than three times what
// came from it (RFC 9000 section 8.1).
func TestAmplification(t *testing.T) {
	s, _ := start(t, scene.Config{})
	r := relay(t, s, lab.Plan{Deaf: true})
	for range 3 {
		c := client(t, s)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		ask(c, report(ctx, r.Addr(), "deaf", nil))
		cancel()
	}
	in, out := r.Bytes(lab.ToServer), r.Bytes(lab.ToClient)
	t.Logf("%d bytes came, %d were sent", in, out)
	if in == 0 || out == 0 || out > 3*in {
		t.Errorf("%d bytes came, %d were sent", in, out)
	}
}

// What breaks the rules on messages ends its stream alone, with
// H3_MESSAGE_ERROR, and the next request on the connection is served.
func TestMalformed(t *testing.T) {
	s, n := start(t, scene.Config{})
	c := client(t, s)
	addr := s.Sidecar.AddrHTTP3().String()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for name, change := range map[string]func(r *http.Request){
		"shorter than its length": func(r *http.Request) { r.ContentLength = 10 },
		"longer than its length":  func(r *http.Request) { r.ContentLength = 1 },
	} {
		// A body of unknown kind, so that the client believes the length it is told.
		r := report(ctx, addr, name, io.MultiReader(strings.NewReader("abc")))
		change(r)
		r.Header.Set("Content-Length", fmt.Sprint(r.ContentLength))
		status, _, err := ask(c, r)
		if status == 200 || n.of(name) > 0 {
			t.Errorf("%s: status %d, error %v, %d attempts", name, status, err, n.of(name))
		}
		if status, _, err := ask(c, report(ctx, addr, "after "+name, nil)); status != 200 {
			t.Errorf("after one %s: status %d, error %v", name, status, err)
		}
	}
}

// At a stop each request that was taken is answered, and one that was not has
// never begun.
func TestStopUnderLoad(t *testing.T) {
	s, n := start(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 64, Body: 10, Work: 20 * time.Millisecond}}})
	addr := s.Sidecar.AddrHTTP3().String()
	var clients sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	for i := range 8 {
		c := client(t, s)
		clients.Go(func() {
			for j := range 1000 {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				id := fmt.Sprintf("load-%d-%d", i, j)
				status, _, err := ask(c, report(ctx, addr, id, strings.NewReader("r")))
				cancel()
				mu.Lock()
				if status == 200 {
					served++
				} else {
					refused++
				}
				mu.Unlock()
				if status == 200 {
					continue
				}
				if n.of(id) > 0 {
					t.Errorf("%s was begun and has no answer: status %d, error %v", id, status, err)
				}
				return
			}
		})
	}
	for range 100 {
		<-n.arrived
	}
	s.Stop()
	clients.Wait()
	if err := s.Wait(); err != nil {
		t.Error(err)
	}
	if served < 100 || refused != 8 {
		t.Errorf("%d were served, %d refused", served, refused)
	}
}

// A certificate that is replaced serves new connections after a reload; those
// that are open go on.
func TestCertificateReload(t *testing.T) {
	s, _ := start(t, scene.Config{})
	addr := s.Sidecar.AddrHTTP3().String()
	old := client(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if status, _, err := ask(old, report(ctx, addr, "before", nil)); status != 200 {
		t.Fatal(status, err)
	}
	if err := s.NewCertificate(); err != nil {
		t.Fatal(err)
	}
	if err := s.Reload(contracts); err != nil {
		t.Fatal(err)
	}
	if status, _, err := ask(old, report(ctx, addr, "open", nil)); status != 200 {
		t.Errorf("on the open connection: status %d, error %v", status, err)
	}
	if status, _, err := ask(client(t, s), report(ctx, addr, "new", nil)); status != 200 {
		t.Errorf("under the new certificate: status %d, error %v", status, err)
	}
	if err := s.Reload(contracts + "[http3]\nlisten = '127.0.0.1:1'\ncertificate = 'a'\nkey = 'b'\n"); err == nil {
		t.Error("another address was taken over")
	}
}
