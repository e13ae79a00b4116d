package upstream

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"spokegw/internal/fields"
)

// Request is a request to an endpoint. It may be written more than once.
type Request struct {
	Head   []byte      // request line and headers, up to the value of Req-Deadline
	Body   []byte      // the buffered body, or the buffered part of it
	Stream *BodyStream // remaining body, which can be read once; nil: Body is complete

	NoRetry  bool // can't be retried: it uses no connection that its endpoint may be about to close
	headOnly bool // the answer has no body
}

// BodyStream is the part of a request body that is forwarded as it arrives. Only one
// attempt reads it.
type BodyStream struct {
	Source        BodySource
	Chunked       bool          // its length is unknown
	AnswerTimeout time.Duration // for the answer, from the last byte of the body

	claimed atomic.Bool
}

// BodySource is the remaining part of a request body that is streamed.
type BodySource interface {
	io.Reader   // io.EOF states that the body is complete
	Interrupt() // ends a blocked Read; nothing is read afterwards
	// EarliestEnd is the earliest time at which the client may have written the last byte,
	// from which its deadline counts. It is now while the client is known to be sending.
	EarliestEnd() time.Time
}

// uploadAllowance is how much longer than AnswerTimeout a request with a streamed body may
// take from EarliestEnd on: the last byte may have been written later. Clients count an
// answer as lost 0.5 s after their deadline.
const uploadAllowance = 300 * time.Millisecond

// Deadline is by when the request has to be answered, as far as is known now.
func (s *BodyStream) Deadline() time.Time {
	return s.Source.EarliestEnd().Add(s.AnswerTimeout + uploadAllowance)
}

// Overdue reports whether that time has passed; it has not for a nil stream.
func (s *BodyStream) Overdue() bool { return s != nil && !time.Now().Before(s.Deadline()) }

// Consumed reports whether some of the body may have been read, so that it can't be
// sent again.
func (s *BodyStream) Consumed() bool { return s != nil && s.claimed.Load() }

// UnknownLength is the length of a body of unknown length, and ChunkedLength that of
// a chunked body.
const (
	UnknownLength = -1
	ChunkedLength = -2
)

// typicalHeadSize is, in bytes, what most heads fit in.
const typicalHeadSize = 512

// NewRequest makes a request without a body; length is that of the body to be added.
// It copies the header fields that may be forwarded, except those for which without
// returns true. The head ends with Req-Deadline, whose value each attempt appends.
func NewRequest(method, target, host string, length int64, header http.Header, without func(name string) bool) *Request {
	b := make([]byte, 0, typicalHeadSize)
	b = append(append(append(b, method...), ' '), target...)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n"...)
	b = fields.Append(b, header, without)
	switch {
	case length >= 0:
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	case length == ChunkedLength:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	b = append(b, "Req-Deadline: "...)
	return &Request{Head: b, headOnly: method == http.MethodHead}
}
