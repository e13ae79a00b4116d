package http1

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"spokegw/internal/framing"
)

// Admission decides on requests before they are parsed. It may be called concurrently.
type Admission interface {
	Active() bool // whether some requests may be refused; called for every request
	// Refuse decides on a request by its target. A refused one is best retried after a
	// time.
	Refuse(target string) (refused bool, after time.Duration)
}

// overloadedText is the body of the answer to a request that Admission refuses.
const overloadedText = "the sidecar has too little processor for all\n"

// stoppingText is the body of the answer to a request that is incomplete when the process ends.
const stoppingText = "the process is stopping\n"

// tryRefuse answers a request that is complete in c.head, with its head ending at end,
// if admission refuses it. This happens before the server parses it, allocates its
// fields or starts a goroutine, because what a refusal costs is not available to
// admitted requests. It reports whether the request was refused; an error closes the
// connection. Requests that are not plain (with a body that has not arrived or is
// chunked, data after the request, or a fault in the head) are admitted, and processed
// as usual.
func (c *clientConn) tryRefuse(end int) (refused bool, err error) {
	if end == 0 || c.serving.Load() || !c.table.admission.Active() {
		return false, nil
	}
	target, ok := requestTarget(c.head[:end])
	if !ok {
		return false, nil
	}
	h, fault := framing.Check(c.head[:end])
	if fault != nil || h.Chunked || int64(len(c.head)-end) != max(h.Length, 0) || h.Close {
		return false, nil
	}
	refused, after := c.table.admission.Refuse(target)
	if !refused {
		return false, nil
	}
	last := c.beginAnswer()
	c.releaseHead()
	if _, err := c.Write(refusal(after, last, overloadedText)); err != nil {
		return true, err
	}
	if last {
		return true, io.EOF
	}
	c.table.markIdle(c)
	return true, c.awaitNextRequest()
}

// refusal is the answer, with a text as its body, to a refused request (RFC 9110 sections 15.6.4 and 10.2.3).
func refusal(after time.Duration, last bool, text string) []byte {
	b := make([]byte, 0, 256)
	b = append(b, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\n"...)
	if after > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, after.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(text)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, text...)
}

// requestTarget is the target in a request line, if it is an HTTP/1.1 request with an
// ID that regular processing would accept. HEAD is excluded because an answer to it has
// no body.
func requestTarget(head []byte) (target string, ok bool) {
	line, fields, ok := bytes.Cut(head, []byte("\r\n"))
	if !ok || !bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
		return "", false
	}
	method, uri, ok := bytes.Cut(line[:len(line)-len(" HTTP/1.1")], []byte(" "))
	if !ok || string(method) == "HEAD" || len(uri) == 0 || uri[0] != '/' || bytes.IndexByte(uri, ' ') >= 0 {
		return "", false
	}
	return string(uri), hasID(fields)
}

// hasID reports whether the fields include Req-Id, which every valid request has.
func hasID(fields []byte) bool {
	const name = "req-id:"
	for line := range bytes.Lines(fields) {
		if len(line) > len(name) && bytes.EqualFold(line[:len(name)], []byte(name)) {
			return true
		}
	}
	return false
}

// markIdle records that a connection has had an answer that the server did not write.
func (t *connTable) markIdle(c *clientConn) {
	t.markAnswered(c)
	c.idle.Store(true)
}
