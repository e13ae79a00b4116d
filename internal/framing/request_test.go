package framing

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

var requestSeeds = []string{
	"GET /tile/1?user=k HTTP/1.1\r\nHost: b\r\nReq-Id: 1\r\n\r\n",
	"POST /report HTTP/1.1\r\nhost: b.example:80\r\nContent-Length: 12\r\nreq-id: 1\r\nReq-Id:  2\t\r\nX-A:\r\n\r\n",
	"GET /a%20b/%C4%8D/c.d~e?user=%2F..%2F&x=//;y HTTP/1.1\r\nHost: b\r\nConnection: close, x\r\n\r\n",
	"GET /tile HTTP/1.1\r\nHost: b\r\nConnection: keep-alive\r\nCookie: a=\xff\r\n\r\n",
}

// diffRequest describes where ReadRequest and net/http disagree on a plain request; ""
// means nowhere, or that it is not plain.
func diffRequest(text string) string {
	own, ok := ReadRequest([]byte(text))
	if !ok {
		return ""
	}
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		return "net/http: " + err.Error()
	}
	length := max(own.Length, 0)
	theirs := Request{own.Head, r.Method, r.RequestURI, r.Host, r.Header}
	switch {
	case !reflect.DeepEqual(own, theirs):
		return fmt.Sprintf("%+v, net/http: %+v", own, theirs)
	case r.ContentLength != length || len(r.TransferEncoding) > 0:
		return fmt.Sprintf("length %d, net/http: %d", length, r.ContentLength)
	case r.Close != own.Close:
		return fmt.Sprintf("closes its connection: %v, net/http: %v", own.Close, r.Close)
	}
	return ""
}

func TestRequests(t *testing.T) {
	for _, text := range requestSeeds {
		if _, ok := ReadRequest([]byte(text)); !ok {
			t.Errorf("%q is not plain", text)
		}
		if diff := diffRequest(text); diff != "" {
			t.Errorf("%q: %s", text, diff)
		}
	}
}

// A request that readers could interpret in two ways, or that needs handling by the
// reader, is not plain.
func TestRequestsNotPlain(t *testing.T) {
	for _, text := range []string{
		"GET /a HTTP/1.0\r\nHost: b\r\n\r\n", "GET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: b\r\nHost: b\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: b c\r\n\r\n", "GET /a HTTP/1.1\r\nHost:\r\n\r\n", "GET /a HTTP/1.1\r\nHost: u@b\r\n\r\n",
		"GET  /a HTTP/1.1\r\nHost: b\r\n\r\n", "GET /a b HTTP/1.1\r\nHost: b\r\n\r\n", "GET /a  HTTP/1.1\r\nHost: b\r\n\r\n",
		"get /a HTTP/1.1\r\nHost: b\r\n\r\n", "GET http://b/a HTTP/1.1\r\nHost: b\r\n\r\n", "GET //a HTTP/1.1\r\nHost: b\r\n\r\n",
		"GET /%zz HTTP/1.1\r\nHost: b\r\n\r\n", "GET /% HTTP/1.1\r\nHost: b\r\n\r\n", "GET /a#b HTTP/1.1\r\nHost: b\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: b\r\n\r\n", "HEAD /a HTTP/1.1\r\nHost: b\r\n\r\n", "/a HTTP/1.1\r\nHost: b\r\n\r\n", "\r\n",
		"POST /a HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n", "POST /a HTTP/1.1\r\nHost: b\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: b\r\nUpgrade: h2c\r\n\r\n", "GET /a HTTP/1.1\r\nHost: b\r\nPragma: no-cache\r\n\r\n", "GET /a HTTP/1.1\r\nHost: b\r\nTrailer: x\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: b\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", "GET /a HTTP/1.1\nHost: b\n\n", "GET /a HTTP/1.1\r\nHost: b\r\n c: d\r\n\r\n",
	} {
		if r, ok := ReadRequest([]byte(text)); ok {
			t.Errorf("%q: %+v", text, r)
		}
	}
}

func FuzzRequest(f *testing.F) {
	for _, s := range requestSeeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if end := End(b); end == 0 || end != len(b) {
			return
		}
		if diff := diffRequest(string(b)); diff != "" {
			t.Errorf("%q: %s", b, diff)
		}
	})
}

// diffEnd describes where CheckRequest and net/http disagree on where the body of a request ends; ""
// means nowhere, or that one of them refuses it.
func diffEnd(head []byte) string {
	own, err := CheckRequest(head)
	if err != nil {
		return ""
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return ""
	}
	length, codings := max(own.Length, 0), 0
	if own.Chunked {
		length, codings = -1, 1
	}
	if r.ContentLength != length || len(r.TransferEncoding) != codings {
		return fmt.Sprintf("%+v, net/http: length %d, codings %q", own, r.ContentLength, r.TransferEncoding)
	}
	return ""
}

// headParts are what heads are composed of: a part of each row, and of the last row up to three.
var headParts = [][]string{
	{"POST", "GET", "HEAD", "PRI", "CONNECT", "post"},
	{" /a", " *", " http://b/a", " /a b", "  /a", " "},
	{" HTTP/1.1", " HTTP/1.0", " HTTP/0.9", " HTTP/1.9", " HTTP/2.0", " HTTP/1.1 ", " HTTP/1.10", " http/1.1", " HTTP/1.0 HTTP/1.1", ""},
	{"\r\n", "\n", "\r\r\n"},
	{"Host: b\r\n", "Host: b\r\nHost: c\r\n", ""},
	{
		"Transfer-Encoding: chunked\r\n", "transfer-encoding:\tChunked \r\n", "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding:\r\n",
		"Transfer-Encoding : chunked\r\n", "Transfer_Encoding: chunked\r\n", "X: y\r\n Transfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\n",
		"Content-Length: 3\r\n", "content-length: 0\r\n", "Content-Length: 03\r\n", "Content-Length: +3\r\n", "Content-Length: 3, 3\r\n", "Content-Length:\r\n", "Content-Length: 0x3\r\n",
		"Connection: keep-alive\r\n", "Connection: close, Transfer-Encoding\r\n", "Expect: 100-continue\r\n", "Upgrade: h2c\r\n", "Trailer: Content-Length\r\n", "",
	},
}

// Guards against a head that the check accepts and net/http reads with another end, so that a part of
// its body is read as a request.
func TestRequestsEndWhereNetHTTPEndsThem(t *testing.T) {
	const heads, seed = 50_000, 81
	random := rand.New(rand.NewPCG(seed, 0))
	accepted := 0
	for range heads {
		var head []byte
		add := func(row int) { head = append(head, headParts[row][random.IntN(len(headParts[row]))]...) }
		for row := range headParts {
			add(row)
		}
		for range random.IntN(3) {
			add(len(headParts) - 1)
		}
		head = append(head, "\r\n"...)
		if _, err := CheckRequest(head); err == nil {
			accepted++
		}
		if diff := diffEnd(head); diff != "" {
			t.Fatalf("%q: %s", head, diff)
		}
	}
	if accepted < heads/20 {
		t.Errorf("only %d of %d heads were accepted", accepted, heads)
	}
}

func FuzzRequestEnd(f *testing.F) {
	for _, s := range requestSeeds {
		f.Add([]byte(s))
	}
	f.Add([]byte("POST /a HTTP/1.0\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if end := End(b); end == 0 || end != len(b) {
			return
		}
		if diff := diffEnd(b); diff != "" {
			t.Errorf("%q: %s", b, diff)
		}
	})
}

func BenchmarkReadRequest(b *testing.B) {
	text := []byte("GET /map-tile/3/7?user=k HTTP/1.1\r\nHost: sidecar\r\nReq-Id: 123456\r\nReq-Kind: map-tile\r\nReq-Owner: patrols\r\nReq-Deadline: 7000m\r\n\r\n")
	b.Run("own", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, ok := ReadRequest(text); !ok {
				b.Fatal("not plain")
			}
		}
	})
	b.Run("net/http, after Check", func(b *testing.B) {
		b.ReportAllocs()
		r := bufio.NewReader(nil)
		for b.Loop() {
			if _, err := Check(text); err != nil {
				b.Fatal(err)
			}
			r.Reset(bytes.NewReader(text))
			if _, err := http.ReadRequest(r); err != nil {
				b.Fatal(err)
			}
		}
	})
}
