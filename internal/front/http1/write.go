package http1

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/fields"
	"spokegw/internal/front"
)

// A head and a body of up to inlineBody bytes are copied into one buffer; a longer body
// is written from where it is, in the same call.
const inlineBody = 8 << 10

// answerBuffers are the buffers that answers are written from.
var answerBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, inlineBody+1<<10)
	return &b
}}

// write writes an answer to a plain request, and frees it. It reports whether the
// connection is kept.
func (p *plain) write(a *core.Answer, last bool) (kept bool) {
	defer a.Free()
	p.mu.Lock()
	p.receivedSince = false // before the answer begins: what arrives from then on belongs to the next request
	p.mu.Unlock()
	last = p.beginAnswer() || last || a.Malformed
	buf := answerBuffers.Get().(*[]byte)
	defer answerBuffers.Put(buf)
	var body []byte
	var chunked bool
	*buf, body, chunked = appendHead((*buf)[:0], a, last, p.server.handler.altSvc.Load())
	if s := a.Stream(); s != nil {
		return p.writeStream(*buf, body, chunked, s) == nil && !last
	}
	var err error
	if len(body) <= inlineBody {
		*buf = append(*buf, body...)
		_, err = p.Write(*buf)
	} else {
		err = p.writeParts(net.Buffers{*buf, body})
	}
	return err == nil && !last
}

// appendHead appends the head of an answer, and returns its body, and whether that is
// sent chunked.
func appendHead(b []byte, a *core.Answer, last bool, altSvc *string) (head, body []byte, chunked bool) {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(append(append(b, ' '), http.StatusText(a.Status)...), "\r\n"...)
	body = a.Body
	hasDate := false
	if a.Header == nil {
		b = append(b, "Content-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\n"...)
		reason := a.Reason
		if reason == "" {
			reason = http.StatusText(a.Status)
		}
		body = append(append(make([]byte, 0, len(reason)+1), reason...), '\n')
	} else {
		hasDate = a.Header["Date"] != nil
		b = fields.Append(b, a.Header, nil)
	}
	if a.RetryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = append(strconv.AppendFloat(b, a.RetryAfter.Seconds(), 'f', 3, 64), "\r\n"...)
	}
	if altSvc != nil && *altSvc != "" {
		b = appendField(b, "Alt-Svc", *altSvc)
	}
	if !hasDate { // a forwarded answer without a date gets the time of its receipt (RFC 9110 section 6.6.1)
		b = append(append(append(b, "Date: "...), date()...), "\r\n"...)
	}
	length := int64(len(body))
	if a.Stream() != nil {
		length = a.Length
	}
	if chunked = length < 0; chunked {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	} else {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...), body, chunked
}

func appendField(b []byte, name, value string) []byte {
	return append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
}

// cachedDate is a formatted date, valid for one second.
type cachedDate struct {
	second time.Duration // as front.Now
	text   []byte
}

var lastDate atomic.Pointer[cachedDate]

// date is the current time as in a Date field (RFC 9110 section 5.6.7), up to a second
// old.
func date() []byte {
	second := front.Now().Truncate(time.Second)
	if d := lastDate.Load(); d != nil && d.second == second {
		return d.text
	}
	d := &cachedDate{second, time.Now().UTC().AppendFormat(nil, http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}

// writeStream forwards a streamed answer as it arrives, after the first part of its
// body.
func (p *plain) writeStream(head, body []byte, chunked bool, s core.Stream) error {
	p.beginStream()
	p.setLongAnswer(s)
	defer p.setLongAnswer(nil)
	err := front.CopyStream(body, s, func(piece []byte) error {
		if len(piece) == 0 && len(head) == 0 {
			return nil
		}
		parts := net.Buffers{head, piece}
		if chunked && len(piece) > 0 {
			size := append(strconv.AppendInt(head, int64(len(piece)), 16), "\r\n"...)
			parts = net.Buffers{size, piece, crlf}
		}
		head = head[:0]
		return p.writeParts(parts)
	})
	if err != nil || !chunked {
		return err
	}
	_, err = p.Write(lastChunk)
	return err
}

var crlf, lastChunk = []byte("\r\n"), []byte("0\r\n\r\n")
