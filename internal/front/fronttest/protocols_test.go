package fronttest

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"
	"go.uber.org/goleak"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
	"spokegw/internal/management"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// byHTTP1 writes requests unchanged, one connection each: a client of the standard
// library would correct some of them.
type byHTTP1 struct{ addr string }

func (c byHTTP1) Close() {}

func (c byHTTP1) Do(ctx context.Context, r Request) (*http.Response, error) {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: b\r\n", r.Method, r.Target)
	for name, values := range r.Header {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	if r.Body != "" || r.Method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n" + r.Body)
	go conn.Write(b.Bytes())
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.Method})
	if err != nil {
		conn.Close()
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	stop()
	conn.Close()
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, err
}

// byHTTP3 sends requests on one connection, as clients do.
type byHTTP3 struct {
	addr      string
	transport *http3.Transport
}

func (c byHTTP3) Close() { c.transport.Close() }

func (c byHTTP3) Do(ctx context.Context, r Request) (*http.Response, error) {
	var body io.Reader
	if r.Body != "" {
		body = strings.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "https://"+c.addr+"/", body)
	if err != nil {
		return nil, err
	}
	// The path unchanged: parsing would normalize it.
	req.URL.Opaque = "//" + c.addr + r.Target
	req.Header = r.Header.Clone()
	return c.transport.RoundTrip(req)
}

func dialHTTP1(s *scene.Scene) (Client, error) { return byHTTP1{s.Addr()}, nil }

func dialHTTP3(s *scene.Scene) (Client, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(s.Certificate) {
		return nil, errors.New("the scene has no certificate")
	}
	return byHTTP3{s.Sidecar.AddrHTTP3().String(), &http3.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, DisableCompression: true}}, nil
}

// known maps cases with known differences between the protocols to the reason.
var known = map[string]string{}

// Each case has the same outcomes over both protocols, field by field.
func TestProtocolsAgree(t *testing.T) {
	for _, c := range Cases() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			one, err := Play(c, dialHTTP1)
			if err != nil {
				t.Fatal(err)
			}
			three, err := Play(c, dialHTTP3)
			if err != nil {
				t.Fatal(err)
			}
			if len(one) != len(three) {
				t.Fatalf("%d outcomes by HTTP/1.1, %d by HTTP/3", len(one), len(three))
			}
			for i := range one {
				if one[i] != three[i] && known[c.Name] == "" {
					t.Errorf("request %d\nby HTTP/1.1: %v\nby HTTP/3:   %v", i, one[i], three[i])
				}
				t.Logf("request %d, over both protocols: %v", i, one[i])
				if strings.HasPrefix(one[i].Reason, "wrong") {
					t.Error(one[i].Reason)
				}
			}
		})
	}
}

// The server's request metrics agree with what clients have seen, over both protocols,
// in a random sequence of requests that are served, refused, answered with errors, or
// cancelled by their clients.
func TestMetricsMatchClients(t *testing.T) {
	const asked = 300
	s, err := scene.Start(scene.Config{HTTP3: true, Aim: 5 * time.Second, Deadline: 5 * time.Second,
		Operator: "[[service]]\nname = 'maps'\n[no-contract]\naction = 'share'\nshare = 1.0\nrate = 200\nburst = 40\n",
		Maps: []lab.EndpointConfig{{Workers: 500, Answer: func(w http.ResponseWriter, r *http.Request) bool {
			switch r.Header.Get("X-Want") {
			case "error":
				w.WriteHeader(500)
				return true
			case "silence":
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			return false
		}}}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	readMetrics := func() map[string]int {
		lines, err := management.Call(t.Context(), s.Sidecar.AddrManagement(), "show-stat")
		if err != nil {
			t.Fatal(err)
		}
		all := map[string]int{}
		for _, line := range lines {
			name, rest, _ := strings.Cut(line, ":")
			value, _, _ := strings.Cut(rest, "|")
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > 10*asked {
				t.Fatalf("%q", line)
			}
			all[strings.TrimPrefix(name, "node.downstream_requests.map-tile.")] = n
		}
		return all
	}
	var clients []Client
	for _, dial := range []Dial{dialHTTP1, dialHTTP3} {
		c, err := dial(s)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		clients = append(clients, c)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	seen, disconnected := map[string]int{}, 0
	var open sync.WaitGroup
	for i := range asked {
		want := []string{"", "", "", "error", "silence"}[rng.IntN(5)]
		client := clients[rng.IntN(2)]
		open.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if want == "silence" { // and disconnect
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			h := http.Header{"Req-Id": {fmt.Sprint("f", i)}, "Req-Deadline": {"4000m"}, "X-Want": {want}}
			resp, err := client.Do(ctx, Request{Method: "GET", Target: "/map-tile/1?user=k", Header: h})
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil && want == "silence":
				disconnected++
			case err != nil:
				t.Errorf("request %d: %v", i, err)
			case resp.StatusCode == 200:
				seen["completed"]++
			case resp.StatusCode == 429 || resp.StatusCode == 503:
				seen["rejected"]++
			default:
				seen["failed"]++
			}
		})
		if i%20 == 0 {
			if f := readMetrics(); f["node.pending"] > i+1 {
				t.Errorf("%d are pending of %d", f["node.pending"], i+1)
			}
		}
	}
	open.Wait()
	f := readMetrics()
	for until := time.Now().Add(10 * time.Second); f["node.pending"] > 0 && time.Now().Before(until); f = readMetrics() { // disconnects are noticed soon
	}
	unseen := 0 // outcomes that disconnected clients did not see
	for _, outcome := range []string{"completed", "rejected", "failed"} {
		if unseen += f[outcome] - seen[outcome]; f[outcome] < seen[outcome] {
			t.Errorf("%s: %d are counted, clients saw %d", outcome, f[outcome], seen[outcome])
		}
	}
	if unseen > disconnected {
		t.Errorf("%v are counted, clients saw %v, and %d disconnected", f, seen, disconnected)
	}
	if f["node.pending"] != 0 || disconnected == 0 || seen["completed"] == 0 || seen["rejected"] == 0 {
		t.Errorf("%v; clients saw %v, and %d disconnected", f, seen, disconnected)
	}
}
