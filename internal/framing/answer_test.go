package framing

import (
	"bufio"
	"bytes"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

// diffAnswer describes where ReadAnswer and net/http's reader disagree on a head; ""
// means nowhere, or only as intended.
func diffAnswer(text string) string {
	a, err := ReadAnswer([]byte(text))
	resp, netErr := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	switch {
	case err != nil:
		return "" // stricter by design: see the package comment and TestAnswersRefused
	case netErr != nil:
		return "net/http refuses it: " + netErr.Error()
	case a.Status != resp.StatusCode || a.Minor != resp.ProtoMinor:
		return "different status or version"
	case a.ClosesConnection != resp.Close && a.Status >= 200:
		return "disagreement on whether the connection closes"
	}
	own := a.Header.Clone()
	if v := own["Pragma"]; len(v) > 0 && v[0] == "no-cache" && own["Cache-Control"] == nil {
		own.Set("Cache-Control", "no-cache") // net/http adds it
	}
	for _, name := range []string{"Content-Length", "Transfer-Encoding", "Trailer", "Connection"} { // net/http consumes them, Connection only in some cases
		own.Del(name)
		resp.Header.Del(name)
	}
	if !reflect.DeepEqual(own, resp.Header) {
		return "different fields"
	}
	return ""
}

var answerSeeds = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304\r\n\r\n",
	"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nconnection: x, Close\r\n\r\n",
	"HTTP/1.1  503 \r\nsrv-declined:1\r\nA: b\r\na:\t c \r\nA: \r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nPragma: no-cache\r\nContent-Length: 1\r\n\r\n",
}

func TestAnswersMatchNetHTTP(t *testing.T) {
	for _, text := range answerSeeds {
		if _, err := ReadAnswer([]byte(text)); err != nil {
			t.Errorf("%q: %v", text, err)
		}
		if diff := diffAnswer(text); diff != "" {
			t.Errorf("%q: %s", text, diff)
		}
	}
}

func TestAnswersRefused(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 099 OK\r\n\r\n", "HTTP/1.1200 OK\r\n\r\n",
		"HTTP/1.2 200 OK\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n", "ICY 200 OK\r\n\r\n", "HTTP/1.1\r\n\r\n", "\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		if a, err := ReadAnswer([]byte(text)); err == nil {
			t.Errorf("%q: %+v", text, a)
		}
	}
}

// Appending to one name's values must not overwrite those of the next.
func TestFieldValuesDoNotAlias(t *testing.T) {
	a, err := ReadAnswer([]byte("HTTP/1.1 200 OK\r\nA: 1\r\nB: 2\r\n\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	a.Header.Add("A", "3")
	if !reflect.DeepEqual(a.Header, http.Header{"A": {"1", "3"}, "B": {"2"}}) {
		t.Errorf("%v", a.Header)
	}
}

func FuzzAnswer(f *testing.F) {
	for _, s := range answerSeeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if end := End(b); end == 0 || end != len(b) || bytes.Contains(b, []byte("\r\n\r\n\r\n")) {
			return
		}
		if diff := diffAnswer(string(b)); diff != "" {
			t.Errorf("%q: %s", b, diff)
		}
	})
}

func BenchmarkReadAnswer(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\nContent-Length: 300\r\nContent-Type: image/png\r\nEtag: \"7f3a\"\r\nCache-Control: max-age=60\r\nX-Map: 4\r\n\r\n")
	b.Run("own", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := ReadAnswer(text); err != nil {
				b.Fatal(err)
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
			if _, err := http.ReadResponse(r, nil); err != nil {
				b.Fatal(err)
			}
		}
	})
}
