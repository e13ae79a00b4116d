package http3_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/qpack"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/quic-go/quic-go/quicvarint"

	http3front "spokegw/internal/front/http3"
	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

func clientTLS(s *scene.Scene) *tls.Config {
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(s.Certificate)
	return &tls.Config{RootCAs: roots, NextProtos: []string{http3.NextProtoH3}, ServerName: "127.0.0.1"}
}

// dialRaw opens a QUIC connection on which a test writes HTTP/3 itself.
func dialRaw(t testing.TB, s *scene.Scene, ctx context.Context) *quic.Conn {
	t.Helper()
	c, err := quic.DialAddr(ctx, s.Sidecar.AddrHTTP3().String(), clientTLS(s), &quic.Config{MaxIdleTimeout: 25 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.CloseWithError(0, "") })
	return c
}

// headers is a HEADERS frame (RFC 9114 section 7.2.2) of fields, given as alternating
// names and values.
func headers(fields ...string) []byte {
	var section strings.Builder
	e := qpack.NewEncoder(&section)
	for i := 0; i < len(fields); i += 2 {
		e.WriteField(qpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	return frame(1, section.String())
}

func frame(kind uint64, text string) []byte {
	b := quicvarint.Append(nil, kind)
	return append(quicvarint.Append(b, uint64(len(text))), text...)
}

func reportFields(id string, more ...string) []string {
	return append([]string{":method", "POST", ":scheme", "https", ":authority", "a", ":path", "/status-report",
		"req-id", id, "req-kind", "status-report", "req-owner", "patrols", "req-deadline", "20000m", "idempotency-key", id}, more...)
}

// checkOthersServed checks that other clients are served: over HTTP/1.1, and on an
// HTTP/3 connection of their own.
func checkOthersServed(t *testing.T, ctx context.Context, s *scene.Scene, id string) {
	t.Helper()
	c := client(t, s)
	if status, _, err := ask(c, report(ctx, s.Sidecar.AddrHTTP3().String(), id, nil)); status != 200 {
		t.Errorf("another HTTP/3 client is answered %d, error %v", status, err)
	}
	c.Close()
	r := report(ctx, s.Addr(), id+"-1", nil)
	r.URL.Scheme = "http"
	h := &http.Transport{}
	defer h.CloseIdleConnections()
	resp, err := h.RoundTrip(r)
	if err != nil {
		t.Error("by HTTP/1.1:", err)
		return
	}
	io.Copy(io.Discard, resp.Body)
	if resp.Body.Close(); resp.StatusCode != 200 {
		t.Errorf("by HTTP/1.1 the status is %d", resp.StatusCode)
	}
}

// Handshakes that begin and never continue, from one port or from many, occupy a
// limited part of the connections: addresses are then validated first, and a client
// that answers is served.
func TestHandshakeFlood(t *testing.T) {
	for name, ports := range map[string]int{"one port": 1, "many ports": 60} {
		t.Run(name, func(t *testing.T) {
			s, _ := start(t, scene.Config{HTTP3More: "connections = 24\nunvalidated = 8\nhandshake = '20s'\n"})
			r := relay(t, s, lab.Plan{Deaf: true})
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			flood, end := context.WithCancel(ctx)
			var dials sync.WaitGroup
			transports := make([]*quic.Transport, ports)
			for i := range transports {
				udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
				if err != nil {
					t.Fatal(err)
				}
				transports[i] = &quic.Transport{Conn: udp}
				defer udp.Close()
				defer transports[i].Close()
			}
			to, _ := net.ResolveUDPAddr("udp", r.Addr())
			for i := range 60 {
				dials.Go(func() {
					if c, err := transports[i%ports].Dial(flood, to, clientTLS(s), &quic.Config{HandshakeIdleTimeout: waitTimeout}); err == nil {
						t.Error("a handshake has completed although the client received nothing")
						c.CloseWithError(0, "")
					}
				})
			}
			// Each has sent its first datagram, of 1,200 bytes, and got an answer.
			for r.Bytes(lab.ToServer) < 60*1200 || r.Bytes(lab.ToClient) < 8*1200 {
				if err := r.AwaitQuiet(ctx, 20*time.Millisecond); err != nil {
					t.Fatal(err)
				}
			}
			for i := range 10 {
				checkOthersServed(t, ctx, s, fmt.Sprint("flood-", i))
			}
			end()
			dials.Wait()
		})
	}
}

// A connection whose streams send fields or bodies very slowly does not exceed its
// limits: bodies time out, and a connection on which no complete request arrives is
// closed. Others are served meanwhile.
func TestTrickle(t *testing.T) {
	defer func(unused time.Duration) { *http3front.MaxUnusedTime = unused }(*http3front.MaxUnusedTime)
	*http3front.MaxUnusedTime = time.Second
	const streams = 100
	for name, body := range map[string]bool{"fields": false, "bodies": true} {
		t.Run(name, func(t *testing.T) {
			s, n := start(t, scene.Config{Deadline: 3 * time.Second, HTTP3More: fmt.Sprintf("streams = %d\n", streams)})
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			c := dialRaw(t, s, ctx)
			var writers sync.WaitGroup
			for i := range streams {
				stream, err := c.OpenStreamSync(ctx)
				if err != nil {
					t.Fatal(err)
				}
				text := headers(reportFields(fmt.Sprintf("%s-%d", name, i), "content-length", "1000")...)
				sent := 2
				if body {
					sent = len(text)
					text = append(text, frame(0, strings.Repeat("b", 1000))...)
				}
				if _, err := stream.Write(text[:sent]); err != nil {
					t.Fatal(err)
				}
				writers.Go(func() {
					tick := time.NewTicker(100 * time.Millisecond)
					defer tick.Stop()
					for _, b := range text[sent:] {
						select {
						case <-c.Context().Done():
							return
						case <-tick.C:
						}
						if _, err := stream.Write([]byte{b}); err != nil {
							return // the server has stopped reading it
						}
					}
					t.Error("a slow stream was read to its end")
				})
			}
			for i := range 5 {
				checkOthersServed(t, ctx, s, fmt.Sprintf("beside-%s-%d", name, i))
			}
			writers.Wait()
			if body {
				if c.Context().Err() != nil {
					t.Error("the connection was closed because of a slow body:", context.Cause(c.Context()))
				}
			} else if e := (*quic.ApplicationError)(nil); !errors.As(context.Cause(c.Context()), &e) || e.ErrorCode != quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad) {
				t.Error("the connection ended with", context.Cause(c.Context()))
			}
			for i := range streams {
				if got := n.attemptsOf(fmt.Sprintf("%s-%d", name, i)); got > 0 {
					t.Errorf("an incomplete request has had %d attempts", got)
				}
			}
		})
	}
}

// Thousands of streams that are opened and reset before they have sent a request delay
// nobody.
func TestStreamsReset(t *testing.T) {
	s, _ := start(t, scene.Config{})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := dialRaw(t, s, ctx)
	var resets sync.WaitGroup
	resets.Go(func() {
		for range 3000 {
			stream, err := c.OpenStreamSync(ctx)
			if err != nil {
				t.Error(err)
				return
			}
			stream.Write([]byte{1})
			stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
			stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
		}
	})
	for i := range 20 {
		checkOthersServed(t, ctx, s, fmt.Sprint("beside-resets-", i))
	}
	resets.Wait()
}

// A request is cancelled at the moment its answer arrives: its client gets one or the
// other, the key has one effect, and nothing is left behind.
func TestCancelRacesAnswer(t *testing.T) {
	const requests = 300
	answer := make(chan struct{})
	s, n := start(t, scene.Config{HTTP3More: "resets = 1000\n", Maps: []lab.EndpointConfig{{Workers: 8, Body: 30, Answer: func(http.ResponseWriter, *http.Request) bool {
		<-answer
		return false
	}}}})
	c := client(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	answered, cancelled := 0, 0
	for i := range requests {
		one, cancelOne := context.WithCancel(ctx)
		id := fmt.Sprint("instant-", i)
		var leaving sync.WaitGroup
		leaving.Go(func() {
			<-n.arrived
			answer <- struct{}{}
			for range 30 * i { // from the first moment to long after the answer
				runtime.Gosched()
			}
			cancelOne()
		})
		status, body, err := ask(c, report(one, s.Sidecar.AddrHTTP3().String(), id, strings.NewReader("r")))
		leaving.Wait()
		switch {
		case err == nil && status == 200 && len(body) == 30:
			answered++
		case errors.Is(err, context.Canceled) || isCancelled(err):
			cancelled++
		default:
			t.Errorf("request %d: status %d, %d bytes, error %v", i, status, len(body), err)
		}
		if got := n.attemptsOf(id); got != 1 {
			t.Errorf("request %d has had %d effects", i, got)
		}
	}
	t.Logf("%d answered, %d cancelled", answered, cancelled)
	close(answer)
	checkOthersServed(t, ctx, s, "after")
}

func isCancelled(err error) bool {
	e := (*http3.Error)(nil)
	return errors.As(err, &e) && e.ErrorCode == http3.ErrCodeRequestCanceled
}

// An instance that replaces another one and has the same key resets its connections, so
// that clients notice at once and retry on a new one.
func TestRestart(t *testing.T) {
	before, n := start(t, scene.Config{})
	after, m := start(t, scene.Config{Operator: before.HTTP3Section})
	r, c := relay(t, before, lab.Plan{}), client(t, before)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if status, _, err := ask(c, report(ctx, r.Addr(), "before", nil)); status != 200 {
		t.Fatal(status, err)
	}
	if err := r.Redirect(after.Sidecar.AddrHTTP3().String()); err != nil {
		t.Fatal(err)
	}
	_, _, err := ask(c, report(ctx, r.Addr(), "meanwhile", nil))
	if reset := (*quic.StatelessResetError)(nil); !errors.As(err, &reset) {
		t.Errorf("on the old connection the request fails with %v", err)
	}
	if status, _, err := ask(c, report(ctx, r.Addr(), "meanwhile", nil)); status != 200 {
		t.Errorf("the retried request is answered %d, error %v", status, err)
	}
	if a, b := n.attemptsOf("meanwhile"), m.attemptsOf("meanwhile"); a != 0 || b != 1 {
		t.Errorf("it has had %d effects at the old instance and %d at the new", a, b)
	}
}

// A returning client that sends its first request as early data, before the handshake,
// is served once the handshake is complete: no early data is accepted, so nothing
// recorded can be replayed, neither here nor to an instance that replaces this one. A
// recorded flight is sent several times.
func TestNoEarlyData(t *testing.T) {
	s, n := start(t, scene.Config{})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var mu sync.Mutex
	var recorded [][]byte
	r := relay(t, s, lab.Plan{Duplicate: 1, Tap: func(d lab.Direction, text []byte) {
		if d == lab.ToServer {
			mu.Lock()
			recorded = append(recorded, append([]byte(nil), text...))
			mu.Unlock()
		}
	}})
	tickets := tls.NewLRUClientSessionCache(10)
	for i, id := range []string{"first", "early"} {
		c := client(t, s)
		c.TLSClientConfig.ClientSessionCache = tickets
		var conn *quic.Conn
		c.Dial = func(ctx context.Context, addr string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
			var err error
			conn, err = quic.DialAddrEarly(ctx, addr, t, q)
			return conn, err
		}
		if status, _, err := ask(c, report(ctx, r.Addr(), id, nil)); status != 200 {
			t.Fatal(status, err)
		}
		state := conn.ConnectionState()
		if state.Used0RTT || i == 1 && !state.TLS.DidResume {
			t.Errorf("request %d: early data %v, resumed %v", i, state.Used0RTT, state.TLS.DidResume)
		}
		c.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	udp, err := net.Dial("udp", s.Sidecar.AddrHTTP3().String())
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	for _, text := range recorded {
		udp.Write(text)
	}
	checkOthersServed(t, ctx, s, "after") // by then the replayed datagrams have been read
	for _, id := range []string{"first", "early"} {
		if got := n.attemptsOf(id); got != 1 {
			t.Errorf("%s has had %d effects", id, got)
		}
	}
}
