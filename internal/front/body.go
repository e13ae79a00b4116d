// Package front holds what the fronts of all protocols do alike: they read a
// body within the core's room for it, and write the core's answers.
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
	// MaxBody is the longest body that there may be; longer ones are turned away
	// unread.
	MaxBody = 40 << 20
	// maxHeld is the longest body that is held whole, where there is room: it is
	// sent when it has come. What is longer is passed on as it comes.
	maxHeld = 1 << 20
	// firstHeld is held of a body whose length is not told.
	firstHeld = 64 << 10
	// streamRoom is what is held of a body that is passed on.
	streamRoom = 32 << 10
)

var (
	errTooLong  = errors.New("the body is too long")
	errNoMemory = errors.New("no memory for the body")
	errMore     = errors.New("the body goes on beyond its length")
)

// ReadBody reads a body of the length told, -1 where none is. It returns the
// whole, or with more the beginning of one that is to be passed on as it comes.
// hold reserves the memory for it, before any of it is read.
func ReadBody(body io.Reader, length int64, hold func(bytes int64) bool) (text []byte, more bool, err error) {
	switch {
	case length == 0:
		return nil, false, nil
	case length > MaxBody:
		return nil, false, errTooLong
	case length < 0:
		return readUntold(body, hold)
	case length > maxHeld || !hold(length):
		if length <= streamRoom || !hold(streamRoom) {
			return nil, false, errNoMemory
		}
		return nil, true, nil
	}
	text = make([]byte, length)
	if _, err = io.ReadFull(body, text); err != nil {
		return nil, false, err
	}
	return text, false, readEnd(body)
}

// readUntold reads a body whose length is not told, and holds as much of it as
// may be.
func readUntold(body io.Reader, hold func(bytes int64) bool) (text []byte, more bool, err error) {
	if !hold(firstHeld) {
		return nil, false, errNoMemory
	}
	text = make([]byte, 0, 4<<10)
	for held := firstHeld; ; {
		if len(text) == held {
			if held == maxHeld || !hold(int64(held)) {
				return text, true, nil
			}
			held *= 2
		}
		if len(text) == cap(text) {
			grown := make([]byte, len(text), min(2*cap(text), held))
			copy(grown, text)
			text = grown
		}
		n, err := body.Read(text[len(text):min(cap(text), held)])
		text = text[:len(text)+n]
		switch {
		case err == io.EOF:
			return text, false, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// readEnd reads on to the end of a body: it shows that nothing follows, and
// net/http watches for a client that leaves from then on.
func readEnd(body io.Reader) error {
	if _, err := io.ReadFull(body, make([]byte, 1)); err != io.EOF {
		return errors.Join(errMore, err)
	}
	return nil
}

// IncompleteBody is the answer to a request whose body did not come whole.
func IncompleteBody(err error) *core.Answer {
	a := &core.Answer{Status: http.StatusBadRequest, Reason: "the body is malformed or not whole", Malformed: true}
	switch {
	case errors.Is(err, errTooLong):
		a.Status, a.Reason = http.StatusRequestEntityTooLarge, err.Error()
	case errors.Is(err, errNoMemory): // nothing was sent on: trying again is harmless
		a.Status, a.Reason, a.RetryAfter = http.StatusServiceUnavailable, err.Error(), time.Second
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.Status, a.Reason = http.StatusRequestTimeout, "the request did not come whole in time"
	}
	return a
}
