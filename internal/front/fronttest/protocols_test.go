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
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/quic-go/quic-go/http3"
	"go.uber.org/goleak"

	"spokegw/internal/lab/scene"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// byHTTP1 writes requests as they are, one connection for each: a client of the
// standard library would mend some of them.
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

// byHTTP3 sends requests on one connection, as a client would.
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
	// The path as it is: parsing would mend it.
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

// known are the differences that the protocols have, with where they say so.
var known = map[string]string{}

// Each case by both protocols: what comes of each request is alike, field by
// field.
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
				t.Logf("request %d, by both protocols: %v", i, one[i])
				if strings.HasPrefix(one[i].Reason, "wrong") {
					t.Error(one[i].Reason)
				}
			}
		})
	}
}
