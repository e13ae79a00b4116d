package http1

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"spokegw/internal/framing"
	"spokegw/internal/front"
)

// Admission judges requests before they are read. It may be asked by many at once.
type Admission interface {
	Active() bool // some may be refused; asked of every request
	// Refuse judges one by its target; one that is refused is best sent again after a time.
	Refuse(target string) (refused bool, after time.Duration)
}

// overloaded is what a client reads who is turned away at the door.
const overloaded = "the sidecar has too little processor for all\n"

// turnAway answers a request that stands whole in c.head, of which the head ends at end,
// where the door refuses it: before the server has parsed it, made a goroutine's worth of
// fields of it or asked anybody, since what a refusal costs is taken from those who are
// served. It reports whether it has; an error ends the connection. What is not plain (a
// body that is still to come, or in chunks, something behind the request, a head with a
// fault) is left to the usual way, and let in.
func (c *clientConn) turnAway(end int) (refused bool, err error) {
	if end == 0 || c.serving.Load() || !c.table.door.Active() {
		return false, nil
	}
	of, ok := requestTarget(c.head[:end])
	if !ok {
		return false, nil
	}
	h, wrong := framing.Check(c.head[:end])
	if wrong != nil || h.Chunked || int64(len(c.head)-end) != max(h.Length, 0) || h.Close {
		return false, nil
	}
	refused, after := c.table.door.Refuse(of)
	if !refused {
		return false, nil
	}
	last := c.answering()
	c.dropHead()
	if err := c.SetWriteDeadline(time.Now().Add(writePatience)); err != nil {
		return true, err
	}
	if _, err := c.Write(refusal(after, last)); err != nil {
		return true, err
	}
	if last {
		return true, io.EOF
	}
	c.table.rests(c)
	return true, c.SetReadDeadline(front.At(front.Now() + restPatience))
}

// refusal is the answer (RFC 9110 sections 15.6.4 and 10.2.3).
func refusal(after time.Duration, last bool) []byte {
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
	b = strconv.AppendInt(b, int64(len(overloaded)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, overloaded...)
}

// requestTarget is the target in a request's first line, where it is an HTTP/1.1 request
// with an id, which the usual way would not answer with a fault. An answer to HEAD has no
// body and is left to it.
func requestTarget(head []byte) (target string, ok bool) {
	line, rest, ok := bytes.Cut(head, []byte("\r\n"))
	if !ok || !bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
		return "", false
	}
	method, of, ok := bytes.Cut(line[:len(line)-len(" HTTP/1.1")], []byte(" "))
	if !ok || string(method) == "HEAD" || len(of) == 0 || of[0] != '/' || bytes.IndexByte(of, ' ') >= 0 {
		return "", false
	}
	return string(of), hasID(rest)
}

// hasID reports whether a field Req-Id stands there: without it a request is none of ours.
func hasID(fields []byte) bool {
	const name = "req-id:"
	for line := range bytes.Lines(fields) {
		if len(line) > len(name) && bytes.EqualFold(line[:len(name)], []byte(name)) {
			return true
		}
	}
	return false
}

// rests notes that a connection has had an answer that the server knows nothing of.
func (t *connTable) rests(c *clientConn) {
	t.answered(c)
	c.resting.Store(true)
}
