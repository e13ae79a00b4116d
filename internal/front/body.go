// Package front holds what the front ends of all protocols share: they read a body
// within the memory that the core grants for it, and write the core's answers.
package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"spokegw/internal/core"
)

const (
	// MaxBody is the longest body in bytes; longer ones are refused unread.
	MaxBody = 40 << 20
	// maxBuffered is the longest body in bytes that is buffered completely, if memory
	// allows, and sent once it has arrived. A longer one is streamed.
	maxBuffered = 1 << 20
	// initialReserve is reserved, in bytes, for a body of unknown length.
	initialReserve = 64 << 10
	// streamReserve is reserved, in bytes, for a body that is streamed.
	streamReserve = 32 << 10
)

var (
	errTooLong    = errors.New("the body is too long")
	errNoMemory   = errors.New("no memory for the body")
	errExcessData = errors.New("the body is longer than declared")
)

// ReadBody reads a body of the declared length; -1 is unknown. It returns all of it or,
// if more is true, the first part of one that is to be streamed. reserve reserves
// memory, and is called before any of the body is read.
func ReadBody(body io.Reader, length int64, reserve func(bytes int64) bool) (data []byte, more bool, err error) {
	switch {
	case length == 0:
		return nil, false, nil
	case length > MaxBody:
		return nil, false, errTooLong
	case length < 0:
		return readUnknownLength(body, reserve)
	case length > maxBuffered || !reserve(length):
		if length <= streamReserve || !reserve(streamReserve) {
			return nil, false, errNoMemory
		}
		return nil, true, nil
	}
	data = make([]byte, length)
	if _, err = io.ReadFull(body, data); err != nil {
		return nil, false, err
	}
	return data, false, expectEOF(body)
}

// readUnknownLength reads a body of unknown length, and buffers as much of it as
// allowed.
func readUnknownLength(body io.Reader, reserve func(bytes int64) bool) (data []byte, more bool, err error) {
	if !reserve(initialReserve) {
		return nil, false, errNoMemory
	}
	data = make([]byte, 0, 4<<10)
	for reserved := initialReserve; ; {
		if len(data) == reserved {
			if reserved == maxBuffered || !reserve(int64(reserved)) {
				return data, true, nil
			}
			reserved *= 2
		}
		if len(data) == cap(data) {
			grown := make([]byte, len(data), min(2*cap(data), reserved))
			copy(grown, data)
			data = grown
		}
		n, err := body.Read(data[len(data):min(cap(data), reserved)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF:
			return data, false, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// expectEOF reads to the end of a body. This verifies that nothing follows, and from
// then on net/http watches for a client that disconnects.
func expectEOF(body io.Reader) error {
	if _, err := io.ReadFull(body, make([]byte, 1)); err != io.EOF {
		return errors.Join(errExcessData, err)
	}
	return nil
}

// TooManyFields is the answer to a request whose head has more than framing.MaxFields fields.
func TooManyFields() *core.Answer {
	return &core.Answer{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "the head has too many fields", Malformed: true}
}

// IncompleteBody is the answer to a request whose body could not be read completely.
func IncompleteBody(err error) *core.Answer {
	a := &core.Answer{Status: http.StatusBadRequest, Reason: "the body is malformed or not whole", Malformed: true}
	switch {
	case errors.Is(err, errTooLong):
		a.Status, a.Reason = http.StatusRequestEntityTooLarge, err.Error()
	case errors.Is(err, errNoMemory): // nothing was forwarded, so a retry is safe
		a.Status, a.Reason, a.RetryAfter = http.StatusServiceUnavailable, err.Error(), time.Second
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.Status, a.Reason = http.StatusRequestTimeout, "the request did not come whole in time"
	}
	return a
}
