package http3_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/quic-go/qpack"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/quicvarint"

	"spokegw/internal/lab/scene"
)

// status reads the status of an answer from the bytes of a stream; "" if there is none.
func status(text []byte) string {
	r := quicvarint.NewReader(bytes.NewReader(text))
	for {
		kind, err := quicvarint.Read(r)
		if err != nil {
			return ""
		}
		length, err := quicvarint.Read(r)
		if err != nil || length > uint64(len(text)) {
			return ""
		}
		payload := make([]byte, length)
		if _, err := io.ReadFull(r, payload); err != nil {
			return ""
		}
		if kind != 1 {
			continue
		}
		next := qpack.NewDecoder().Decode(payload)
		for f, err := next(); err == nil; f, err = next() {
			if f.Name == ":status" {
				return f.Value
			}
		}
		return ""
	}
}

// Whatever is sent on a request stream, the stream ends in time, with an answer or an
// error of the stream or its connection. Nothing that is not a request reaches an
// endpoint, nothing reaches one twice, and other clients are served.
func FuzzStream(f *testing.F) {
	fields := func(more ...string) []byte { return headers(reportFields("fuzz", more...)...) }
	whole := append(fields("content-length", "3"), frame(0, "abc")...)
	for _, seed := range [][]byte{
		nil, {0}, {1}, {1, 0}, {1, 0x40}, frame(1, "garbage"), frame(0, "body before fields"), whole, whole[:len(whole)-1], whole[:20],
		append(whole[:len(whole):len(whole)], frame(0, "d")...), append(whole[:len(whole):len(whole)], headers("trailer", "x")...),
		append(whole[:len(whole):len(whole)], headers(":path", "/")...), append(whole[:len(whole):len(whole)], whole...),
		append(frame(0x21, "reserved"), whole...), append(frame(4, ""), whole...), append(frame(7, "\x00"), whole...), append(frame(2, ""), whole...),
		fields(), fields("Upper", "x"), fields("connection", "close"), fields("transfer-encoding", "chunked"), fields("te", "trailers"), fields("te", "gzip"),
		fields("content-length", "-1"), fields("content-length", "3", "content-length", "4"), fields("content-length", "99999999999999999999"),
		fields(":path", "/again"), fields("req_id", "x"), fields("x", "a\nb"), fields("", "x"), fields("host", "b"), fields("cookie", "a", "cookie", "b"),
		headers(":method", "GET"), headers(":method", "CONNECT", ":authority", "a:1"), headers(":method", "GET", ":scheme", "https", ":authority", "a", ":path", "*"),
		headers(":method", "GET", ":scheme", "https", ":authority", "a", ":path", "/map-tile/../order"), headers(":method", "G T", ":scheme", "", ":path", ""),
		headers(":method", "GET", ":scheme", "https", ":path", "/health/ready"), headers(":method", "GET", ":scheme", "https", ":authority", "a", ":path", "/health/ready"),
		headers(":method", "GET", ":scheme", "https", ":authority", "a", ":path", "/"+strings.Repeat("x", 9000)), frame(1, strings.Repeat("\x00", 20000)),
	} {
		f.Add(seed)
	}
	s, n := start(f, scene.Config{HTTP3More: "resets = 100000\n"})
	other := client(f, s)
	var count atomic.Int64
	f.Fuzz(func(t *testing.T, text []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		conn := dialRaw(t, s, ctx)
		before := n.attemptsOf("fuzz")
		ended := end(ctx, conn, text)
		if ctx.Err() != nil {
			t.Fatal("the stream does not end")
		}
		if attempts := n.attemptsOf("fuzz") - before; attempts > 1 || attempts == 1 && ended != "200" {
			t.Errorf("%d attempts, and the stream ends with %q", attempts, ended)
		}
		id := fmt.Sprint("beside-", count.Add(1))
		if status, _, err := ask(other, report(ctx, s.Sidecar.AddrHTTP3().String(), id, nil)); status != 200 {
			t.Errorf("another client is answered %d, error %v", status, err)
		}
	})
}

// end writes a text on a new stream and returns how the stream ends: the answer's
// status, or an error.
func end(ctx context.Context, conn *quic.Conn, text []byte) string {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return err.Error()
	}
	deadline, _ := ctx.Deadline()
	stream.SetDeadline(deadline)
	if _, err = stream.Write(text); err == nil {
		stream.Close()
	}
	got, readErr := io.ReadAll(stream)
	if s := status(got); s != "" {
		return s
	}
	return fmt.Sprint(err, readErr)
}

// A request that both clients can send has the same outcome over both protocols,
// whatever its method, target and fields.
func FuzzAlike(f *testing.F) {
	for _, r := range [][7]string{
		{"GET", "/map-tile/1", "map-tile", "patrols", "15000m", "", ""}, {"POST", "/status-report?a=b", "status-report", "patrols", "15000m", "k", "body"},
		{"HEAD", "/map-tile/1", "map-tile", "patrols", "15000m", "", ""}, {"OPTIONS", "/map-tile/1", "map-tile", "patrols", "15000m", "", ""}, {"DELETE", "/order", "", "patrols", "15000m", "", ""},
		{"GET", "/map-tile/%2e%2e/x", "map-tile", "patrols", "15000m", "", ""}, {"GET", "/map-tile//x;y", "map-tile", "patrols", "15000m", "", ""}, {"GET", "/map%2Dtile/1", "", "patrols", "15000m", "", ""},
		{"GET", "/map-tile/1", "other", "patrols", "15000m", "", ""}, {"GET", "/map-tile/1", "map-tile", "nobody", "15000m", "", ""}, {"GET", "/map-tile/1", "map-tile", strings.Repeat("n", 300), "15000m", "", ""},
		{"GET", "/map-tile/1", "map-tile", "patrols", "-1m", "", ""}, {"GET", "/map-tile/1", "map-tile", "patrols", "0m", "", ""}, {"GET", "/map-tile/1", "map-tile", "patrols", "9e9m", "", ""},
		{"GET", "/map-tile/1", "map-tile", "patrols", "15000m", "", "a body"}, {"POST", "/status-report", "status-report", "patrols", "15000m", strings.Repeat("k", 500), strings.Repeat("b", 70000)},
		{"POST", "/status-report", "status-report", "patrols", "15000m", "", "no key"}, {"PUT", "/", "", "", "", "", ""}, {"GET", "/health/ready", "", "", "", "", ""},
	} {
		f.Add(r[0], r[1], r[2], r[3], r[4], r[5], r[6])
	}
	s, _ := start(f, scene.Config{})
	by3 := client(f, s)
	by1 := &http.Transport{DisableCompression: true}
	f.Cleanup(by1.CloseIdleConnections)
	var count atomic.Int64
	f.Fuzz(func(t *testing.T, method, target, kind, team, deadline, key, body string) {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		ask := func(by http.RoundTripper, base string) (string, error) {
			r, err := http.NewRequestWithContext(ctx, method, base+target, strings.NewReader(body))
			if err != nil || r.URL.RequestURI() != target || method == "CONNECT" {
				t.Skip("a client can't send it")
			}
			r.Header = http.Header{"Req-Id": {fmt.Sprintf("%016x", count.Add(1))}}
			for name, value := range map[string]string{"Req-Kind": kind, "Req-Owner": team, "Req-Deadline": deadline, "Idempotency-Key": key} {
				if value != "" {
					r.Header.Set(name, value)
				}
			}
			if key != "" {
				r.Header.Set("Idempotency-Key", key+fmt.Sprint(count.Load()))
			}
			resp, err := by.RoundTrip(r)
			if err != nil {
				return "", err
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			return fmt.Sprintf("%d, %d bytes, Retry-After %q", resp.StatusCode, len(text), resp.Header.Get("Retry-After")), err
		}
		one, err1 := ask(by1, "http://"+s.Addr())
		three, err3 := ask(by3, "https://"+s.Sidecar.AddrHTTP3().String())
		switch {
		case err1 == nil && err3 == nil && one != three:
			t.Errorf("by HTTP/1.1 %s, by HTTP/3 %s", one, three)
		case err1 == nil && err3 != nil && !strings.HasPrefix(one, "400"): // malformed, which HTTP/3 reports as a stream error
			t.Errorf("by HTTP/1.1 %s, by HTTP/3 %v", one, err3)
		case err1 != nil && err3 == nil && !strings.HasPrefix(three, "400"):
			t.Errorf("by HTTP/1.1 %v, by HTTP/3 %s", err1, three)
		}
	})
}
