package sidecar

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"ploverusher/internal/upstream"
	"ploverusher/policy"
)

const (
	// answerMargin is kept of the client's time for writing the answer.
	answerMargin = 4 * time.Millisecond
	// answerOverdue is how long after a request's time its handler waits for
	// the module. It always speaks before; this is against a panic in it.
	answerOverdue = 20 * time.Millisecond
	// clientStall ends a long answer that its client does not take any more.
	clientStall = 30 * time.Second
	maxDeadline = time.Hour
)

// inbound answers the application's requests.
type inbound struct {
	classes, tenants []string
	settings         policy.Settings
	driver           *driver
	bodies           *bodies
}

// ServeHTTP reads a request to its end, has the module decide, and writes the
// one answer. What is malformed is answered here and not sent on.
func (in *inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health/ready" && r.Header.Get("Req-Id") == "" {
		w.WriteHeader(http.StatusOK)
		return
	}
	q, err := in.parse(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, free, err := in.bodies.read(w, r)
	arrived := time.Now()
	switch {
	case errors.Is(err, errTooLong):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	case errors.Is(err, errNoMemory): // nothing was sent on: trying again is harmless
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case err != nil:
		http.Error(w, "the body is malformed or not whole", http.StatusBadRequest)
		return
	}
	conn := r.Context().Value(connKey{}).(*clientConn)
	if !conn.take() {
		free()
		panic(http.ErrAbortHandler)
	}
	q.Left -= answerMargin
	overdue := time.NewTimer(q.Left + answerOverdue - time.Since(arrived))
	defer overdue.Stop()
	c := in.driver.request(q, &upstream.Request{Head: requestHead(r, body), Body: body}, free)
	select {
	case a := <-c.answer:
		in.write(w, c, a)
	case <-r.Context().Done():
		in.abandon(c)
		panic(http.ErrAbortHandler)
	case <-overdue.C:
		slog.Error("the module gave no answer", "request", r.Header.Get("Req-Id"))
		in.abandon(c)
		http.Error(w, "no answer", http.StatusGatewayTimeout)
	}
}

// parse reads what the module is to know of a request.
func (in *inbound) parse(r *http.Request) (policy.Request, error) {
	var q policy.Request
	h := r.Header
	if h.Get("Req-Id") == "" {
		return q, errors.New("Req-Id is missing")
	}
	class := h.Get("Req-Kind")
	if class == "" {
		class, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	}
	if q.Class = slices.Index(in.classes, class); q.Class < 0 {
		return q, fmt.Errorf("unknown Req-Kind %.100q", class)
	}
	if in.settings.Classes[q.Class].Effect == policy.Keyed && h.Get("Idempotency-Key") == "" {
		return q, errors.New("Idempotency-Key is missing")
	}
	var err error
	if q.Left, err = parseDeadline(h.Get("Req-Deadline")); err != nil {
		return q, err
	}
	// One over its share costs the others; a tenant that nobody knows has none.
	q.Tenant = slices.Index(in.tenants, h.Get("Req-Owner"))
	q.Key = queryValue(r.URL.RawQuery, "user")
	if cost, err := strconv.ParseFloat(h.Get("Req-Cost"), 64); err == nil && cost > 0 && cost < 1e12 {
		q.Cost = cost / 1e6
	}
	return q, nil
}

// parseDeadline reads a number and its unit: m is milliseconds, u microseconds.
func parseDeadline(text string) (time.Duration, error) {
	unit := time.Duration(0)
	switch {
	case strings.HasSuffix(text, "m"):
		unit = time.Millisecond
	case strings.HasSuffix(text, "u"):
		unit = time.Microsecond
	}
	if unit > 0 {
		x, err := strconv.ParseFloat(text[:len(text)-1], 64)
		if d := x * float64(unit); err == nil && d > 0 && d <= float64(maxDeadline) {
			return time.Duration(d), nil
		}
	}
	return 0, fmt.Errorf("bad Req-Deadline %.100q", text)
}

// queryValue finds one parameter. url.ParseQuery would drop a query in which
// any other parameter is odd.
func queryValue(query, name string) string {
	for part := range strings.SplitSeq(query, "&") {
		if k, v, _ := strings.Cut(part, "="); k == name {
			if plain, err := url.QueryUnescape(v); err == nil {
				return plain
			}
			return v
		}
	}
	return ""
}

// hopByHop are the headers of one connection, and those that are written anew.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Req-Deadline": true,
}

// passed calls each for the headers that go on to the other side.
func passed(h http.Header, each func(name, value string)) {
	var named []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named = append(named, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range h {
		if hopByHop[name] || slices.Contains(named, name) && name != "Req-Id" && name != "Idempotency-Key" {
			continue
		}
		for _, v := range values {
			each(name, v)
		}
	}
}

// requestHead writes the head of the request as it goes on: target and method
// unchanged, the length of the body that was read. The value of Req-Deadline,
// its last header, is left to the attempt.
func requestHead(r *http.Request, body [][]byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	passed(r.Header, func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	})
	size := 0
	for _, p := range body {
		size += len(p)
	}
	if size > 0 || r.ContentLength == 0 && r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", size)
	}
	b.WriteString("Req-Deadline: ")
	return b.Bytes()
}

// abandon ends a call whose handler stops waiting for it.
func (in *inbound) abandon(c *call) {
	in.driver.gone(c)
	select {
	case a := <-c.answer: // it came at the same moment
		if a.served.Rest != nil {
			a.served.Rest.Close()
			in.driver.streamEnded(c, a.n, policy.CalledOff, a.served.Elapsed)
		}
	default:
	}
}

// write writes the answer.
func (in *inbound) write(w http.ResponseWriter, c *call, a answer) {
	if a.status != http.StatusOK {
		http.Error(w, http.StatusText(a.status), a.status)
		return
	}
	passed(a.served.Header, func(name, value string) { w.Header().Add(name, value) })
	if a.served.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.served.Length, 10))
	}
	if a.served.Rest == nil {
		w.Write(a.served.Body)
		return
	}
	result, err := in.stream(w, a.served)
	in.driver.streamEnded(c, a.n, result, a.served.Elapsed)
	if err != nil {
		// The client has to see that the answer is not whole: the connection
		// ends before the length told, or without the last chunk.
		panic(http.ErrAbortHandler)
	}
}

// stream passes a long answer on as it comes, through one buffer.
func (in *inbound) stream(w http.ResponseWriter, a upstream.Answer) (policy.Result, error) {
	defer a.Rest.Close()
	rc := http.NewResponseController(w)
	buf := make([]byte, 32<<10)
	for part := a.Body; ; {
		rc.SetWriteDeadline(time.Now().Add(clientStall))
		if _, err := w.Write(part); err != nil {
			return policy.CalledOff, err // the client left
		}
		if err := rc.Flush(); err != nil {
			return policy.CalledOff, err
		}
		n, err := a.Rest.Read(buf)
		part = buf[:n]
		switch {
		case err == io.EOF:
			_, err = w.Write(part)
			return policy.Served, err
		case err != nil:
			return policy.ConnectionLost, err
		}
	}
}
