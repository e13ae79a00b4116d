package sidecar

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

// maxBody is the longest body there is by the protocol; longer ones are turned
// away unread.
const maxBody = 64 << 10

var (
	errTooLong  = errors.New("the body is too long")
	errNoMemory = errors.New("no memory for the body")
)

// bodies reads the bodies of requests within one budget of bytes for all: each
// connection may hold one, and their senders decide how slowly they come.
type bodies struct{ budget *semaphore.Weighted }

func newBodies(bytes int64) *bodies { return &bodies{semaphore.NewWeighted(bytes)} }

// read reads a body of the length told, -1 where none is, to its end. What it
// holds is given back with free. Where the budget is used up it does not wait:
// the sender's time is running.
func (b *bodies) read(body io.Reader, length int64) (text []byte, free func(), err error) {
	free = func() {}
	switch {
	case length == 0:
		return nil, free, nil
	case length > maxBody:
		return nil, free, errTooLong
	}
	held := length
	if length < 0 {
		held = maxBody
	}
	if !b.budget.TryAcquire(held) {
		return nil, free, errNoMemory
	}
	if length > 0 {
		text = make([]byte, length)
		_, err = io.ReadFull(body, text)
	} else if text, err = io.ReadAll(io.LimitReader(body, maxBody+1)); err == nil && len(text) > maxBody {
		err = errTooLong
	}
	if err != nil {
		b.budget.Release(held)
		return nil, free, err
	}
	if length > 0 { // read on to the end: net/http watches for a client that leaves from then on
		io.ReadFull(body, make([]byte, 1))
	}
	return text, func() { b.budget.Release(held) }, nil
}
