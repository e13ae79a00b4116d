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

// waitTimeout is the timeout for what should happen soon, over a path with heavy loss.
const waitTimeout = 30 * time.Second

const contracts = "[[service]]\nname = 'maps'\n[[team]]\nname = 'patrols'\nshare = 1\n[[team.allow]]\nservice = 'maps'\n"

// seen counts the attempts of each request ID at endpoints.
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

func (s *seen) attemptsOf(id string) int {
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

// client makes a client of the scene.
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

// report makes a request with an idempotency key.
func report(ctx context.Context, addr, id string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, "POST", "https://"+addr+"/status-report?user=k", body)
	if err != nil {
		panic(err)
	}
	r.Header = http.Header{"Req-Id": {id}, "Req-Kind": {"status-report"}, "Req-Owner": {"patrols"}, "Req-Deadline": {"20000m"}, "Idempotency-Key": {id}}
	return r
}

// ask sends a request and reads its answer; status 0 if there is none.
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

// Whatever datagrams are lost, duplicated, corrupted or delayed, each key has exactly
// one effect, and its request one answer.
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
	s, n := start(t, scene.Config{HTTP3More: "handshake = '20s'\n"}) // it is slow on such paths
	for name, plan := range plans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, c := relay(t, s, plan), client(t, s)
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			for i := range 5 {
				id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), i)
				status, body, err := ask(c, report(ctx, r.Addr(), id, strings.NewReader(strings.Repeat("r", 3000))))
				if status != 200 || len(body) != 300 {
					t.Errorf("request %d: status %d, %d bytes, error %v", i, status, len(body), err)
				}
				if got := n.attemptsOf(id); got != 1 {
					t.Errorf("key %d has had %d effects", i, got)
				}
			}
		})
	}
}

// A client that migrates to another address once or twice, with its request half sent
// or its answer half received, is answered at the new address.
func TestMigration(t *testing.T) {
	const long = 300000
	s, n := start(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 8, Body: long}}})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	// A client may not migrate before its handshake is confirmed (RFC 9000 section 9).
	settle := func(t *testing.T, c *http3.Transport, r *lab.Relay, id string) {
		if status, _, err := ask(c, report(ctx, r.Addr(), "settle "+id, nil)); status != 200 {
			t.Fatal(status, err)
		}
	}
	migrate := func(t *testing.T, r *lab.Relay, times int) {
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
				migrate(t, r, times)
				io.WriteString(rest, strings.Repeat("b", 20000))
				rest.Close()
			}()
			id := "sent-" + name
			if status, text, err := ask(c, report(ctx, r.Addr(), id, body)); status != 200 || len(text) != long || n.attemptsOf(id) != 1 {
				t.Errorf("status %d, %d bytes, error %v, %d effects", status, len(text), err, n.attemptsOf(id))
			}
		})
		t.Run("answer half received, "+name, func(t *testing.T) {
			r, c := relay(t, s, lab.Plan{}), client(t, s)
			c.QUICConfig.KeepAlivePeriod = time.Second // a client that has acknowledged everything sends nothing, and the server can't know its address
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
			migrate(t, r, times)
			rest, err := io.ReadAll(resp.Body)
			if len(half)+len(rest) != long || err != nil || n.attemptsOf(id) != 1 {
				t.Errorf("%d and %d bytes, error %v, %d effects", len(half), len(rest), err, n.attemptsOf(id))
			}
		})
	}
}

// A client's address changes without its knowledge while it waits, with its request
// acknowledged and nothing to send. What the server sends is lost until the client
// pings, which may be long after the answer was made; the connection must still exist
// then.
func TestMigrationWhileWaiting(t *testing.T) {
	defer func(unused, period time.Duration) {
		*http3front.MaxUnusedTime, *http3front.SweepPeriod = unused, period
	}(*http3front.MaxUnusedTime, *http3front.SweepPeriod)
	*http3front.MaxUnusedTime, *http3front.SweepPeriod = 200*time.Millisecond, 20*time.Millisecond
	t.Run("", func(t *testing.T) { // ends, with its scene, before the values are restored
		s, n := start(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 8, Body: 300}}})
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
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
		if err := r.AwaitQuiet(ctx, 150*time.Millisecond); err != nil { // everything is acknowledged
			t.Fatal(err)
		}
		if err := r.Move(); err != nil {
			t.Fatal(err)
		}
		s.Maps[0].Speak()
		if err := <-answered; err != nil {
			t.Error("after migration while it waited, the client got no answer:", err)
		}
		if e := n.attemptsOf("waits"); e != 1 {
			t.Errorf("%d effects", e)
		}
	})
}

// With routing, every connection ID that a client gets, from the first to those for
// other paths, identifies the instance to a balancer; connections work as without
// routing.
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
					t.Errorf("connection ID %x decodes to server %x (%v)", id, server, err)
				}
				mu.Lock()
				seen[string(id)] = true
				mu.Unlock()
			}})
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
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

// With a key, nonces are not repeated; in plaintext they are not counted up, so that
// the IDs of one connection can't be linked.
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
				t.Fatalf("connection ID %v after %d others (%v)", id, len(seen), err)
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

// The connection of a client that keeps opening and cancelling requests is soon closed,
// whatever the limit on open requests; others are served.
func TestRepeatedCancellation(t *testing.T) {
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
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		go func() {
			select {
			case <-n.arrived: // the request has reached an endpoint
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
		t.Error("the connection was not closed")
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

// Connections above the limit are refused; HTTP/1.1 clients are not affected, and a
// connection that closes makes room for another one.
func TestConnectionLimit(t *testing.T) {
	s, _ := start(t, scene.Config{HTTP3More: "connections = 2\n"})
	addr := s.Sidecar.AddrHTTP3().String()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	clients := []*http3.Transport{client(t, s), client(t, s), client(t, s)}
	for i, c := range clients[:2] {
		if status, _, err := ask(c, report(ctx, addr, fmt.Sprint("first-", i), nil)); status != 200 {
			t.Fatalf("client %d: status %d, error %v", i, status, err)
		}
	}
	_, _, err := ask(clients[2], report(ctx, addr, "third", nil))
	if refused := (*quic.TransportError)(nil); !errors.As(err, &refused) || refused.ErrorCode != quic.ConnectionRefused {
		t.Errorf("the third connection fails with %v", err)
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
	for i := 0; status != 200 && ctx.Err() == nil; i++ { // the server learns of it a moment later
		again := client(t, s)
		status, _, _ = ask(again, report(ctx, addr, fmt.Sprint("again-", i), nil))
	}
	if status != 200 {
		t.Error("after a connection closed, no other one was accepted")
	}
}

// An address that has not been validated is sent at most three times what was received
// from it (RFC 9000 section 8.1).
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
	t.Logf("%d bytes were received, %d were sent", in, out)
	if in == 0 || out == 0 || out > 3*in {
		t.Errorf("%d bytes were received, %d were sent", in, out)
	}
}

// A malformed message ends only its own stream, with H3_MESSAGE_ERROR, and the next
// request on the connection is served.
func TestMalformed(t *testing.T) {
	s, n := start(t, scene.Config{})
	c := client(t, s)
	addr := s.Sidecar.AddrHTTP3().String()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for name, change := range map[string]func(r *http.Request){
		"shorter than its length": func(r *http.Request) { r.ContentLength = 10 },
		"longer than its length":  func(r *http.Request) { r.ContentLength = 1 },
	} {
		// A reader of unknown type, so that the client uses the length it is given.
		r := report(ctx, addr, name, io.MultiReader(strings.NewReader("abc")))
		change(r)
		r.Header.Set("Content-Length", fmt.Sprint(r.ContentLength))
		status, _, err := ask(c, r)
		if status == 200 || n.attemptsOf(name) > 0 {
			t.Errorf("%s: status %d, error %v, %d attempts", name, status, err, n.attemptsOf(name))
		}
		if status, _, err := ask(c, report(ctx, addr, "after "+name, nil)); status != 200 {
			t.Errorf("after one %s: status %d, error %v", name, status, err)
		}
	}
}

// At a stop each request that was taken is answered, and one that was not has never
// been started.
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
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
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
				if n.attemptsOf(id) > 0 {
					t.Errorf("%s was started and got no answer: status %d, error %v", id, status, err)
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

// A replaced certificate serves new connections after a reload; open connections
// continue.
func TestCertificateReload(t *testing.T) {
	s, _ := start(t, scene.Config{})
	addr := s.Sidecar.AddrHTTP3().String()
	old := client(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
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
		t.Error("a changed listen address was accepted")
	}
}
