package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"spokegw/internal/framing"
)

// readAnswerText reads the first answer of a text as an attempt does: its body, and what is behind it.
func readAnswerText(text string, headOnly bool) (status int, body, rest []byte, err error) {
	c := &conn{r: bufio.NewReaderSize(strings.NewReader(text), framing.MaxHead)}
	var a framing.Answer
	for range maxInterim {
		head, err := c.peekHead()
		if err != nil {
			return 0, nil, nil, err
		}
		if a, err = framing.ReadAnswer(head); err != nil {
			return 0, nil, nil, err
		}
		c.r.Discard(len(head))
		if a.Status >= http.StatusOK {
			break
		}
		if a.Status == http.StatusSwitchingProtocols {
			return 0, nil, nil, errInvalidInterim
		}
	}
	if !headOnly {
		if body, err = io.ReadAll(c.newBody(&a)); err != nil {
			return 0, nil, nil, err
		}
	}
	rest, err = io.ReadAll(c.r)
	return a.Status, body, rest, err
}

// readWithNetHTTP is readAnswerText by net/http.
func readWithNetHTTP(text string, headOnly bool) (status int, body, rest []byte, err error) {
	r := bufio.NewReader(strings.NewReader(text))
	request := &http.Request{Method: http.MethodGet}
	if headOnly {
		request.Method = http.MethodHead
	}
	for {
		resp, err := http.ReadResponse(r, request)
		if err != nil {
			return 0, nil, nil, err
		}
		if body, err = io.ReadAll(resp.Body); err != nil {
			return 0, nil, nil, err
		}
		if status = resp.StatusCode; status >= http.StatusOK {
			break
		}
	}
	rest, err = io.ReadAll(r)
	return status, body, rest, err
}

// diffAnswerEnd describes where the two readers disagree on an answer; "" means nowhere. What this
// package refuses need not be refused by net/http.
func diffAnswerEnd(text string, headOnly bool) (diff string, accepted bool) {
	status, body, rest, err := readAnswerText(text, headOnly)
	if err != nil {
		return "", false
	}
	netStatus, netBody, netRest, netErr := readWithNetHTTP(text, headOnly)
	switch {
	case netErr != nil:
		return "net/http refuses it: " + netErr.Error(), true
	case status != netStatus:
		return fmt.Sprintf("status %d, net/http has %d", status, netStatus), true
	case !bytes.Equal(body, netBody):
		return fmt.Sprintf("body %q, net/http has %q", body, netBody), true
	case !bytes.Equal(rest, netRest):
		return fmt.Sprintf("%q is left, net/http leaves %q", rest, netRest), true
	}
	return "", true
}

// randomAnswer is an answer that is sound or not, whole or cut off, with something behind it or not.
func randomAnswer(r *rand.Rand) string {
	pick := func(all ...string) string { return all[r.IntN(len(all))] }
	var b strings.Builder
	for range r.IntN(3) {
		b.WriteString(pick("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 102 X\r\nContent-Length: 0\r\n\r\n", ""))
	}
	fmt.Fprintf(&b, "HTTP/1.%s %s X\r\n", pick("1", "1", "1", "0"), pick("200", "200", "204", "304", "206", "404", "503", "205"))
	for range r.IntN(4) {
		b.WriteString(pick("Content-Length: 5\r\n", "Content-Length: 5\r\n", "Content-Length: 0\r\n", "Content-Length: 05\r\n", "Content-Length: 5, 5\r\n", "Content-Length: -1\r\n", "content-length:\t5 \r\n",
			"Transfer-Encoding: chunked\r\n", "Transfer-Encoding: Chunked\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip, chunked\r\n", "Connection: close\r\n", "Connection: keep-alive\r\n", "X: y\r\n", "Trailer: T\r\n"))
	}
	b.WriteString("\r\n")
	b.WriteString(pick("", "hello", "5\r\nhello\r\n0\r\n\r\n", "2\r\nhe\r\n3;a=b\r\nllo\r\n0\r\nT: v\r\n\r\n", "0\r\n\r\n", "hel", "5\r\nhel"))
	b.WriteString(pick("", "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "noise"))
	return b.String()
}

// Guards against an answer whose end is taken to be elsewhere than net/http takes it to be, so that
// what is behind it could be taken for the answer to another request.
func TestAnswerEndsWhereNetHTTPEndsIt(t *testing.T) {
	const answers = 50_000
	accepted := 0
	for seed := range uint64(answers) {
		r := rand.New(rand.NewPCG(seed, 1))
		text, headOnly := randomAnswer(r), r.IntN(6) == 0
		diff, ok := diffAnswerEnd(text, headOnly)
		if ok {
			accepted++
		}
		if diff != "" {
			t.Fatalf("seed %d, head only %t, %q: %s", seed, headOnly, text, diff)
		}
	}
	if accepted < answers/5 {
		t.Errorf("only %d of %d answers are accepted", accepted, answers)
	}
}

func FuzzAnswerEnd(f *testing.F) {
	for seed := range uint64(50) {
		f.Add(randomAnswer(rand.New(rand.NewPCG(seed, 1))), seed%6 == 0)
	}
	f.Fuzz(func(t *testing.T, text string, headOnly bool) {
		if diff, _ := diffAnswerEnd(text, headOnly); diff != "" {
			t.Errorf("%q, head only %t: %s", text, headOnly, diff)
		}
	})
}
