package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	smallBody = 64 << 10 // up to here a body needs no leave: all connections together hold few MB of such
	maxBody   = 33 << 20 // longer ones are turned away
	bodyBlock = 64 << 10
	// bodyWait is how long a long body stays unread for want of memory. Its
	// sender's time may be running if it is all in the sockets' buffers, so
	// the wait has to end well before any deadline.
	bodyWait = 150 * time.Millisecond
	// bodyStall ends a body of which nothing comes any more. The slowest
	// legal client sends 64 kB a second.
	bodyStall = 10 * time.Second
)

var (
	errTooLong  = errors.New("the body is too long")
	errNoMemory = errors.New("no memory for the body")
)

// bodies reads the bodies of requests within one budget of bytes for all.
// What a long body may come to is set aside before more than a small part of
// it is read, so of two half-read ones neither waits for the other.
type bodies struct{ budget *semaphore.Weighted }

func newBodies(bytes int64) *bodies { return &bodies{semaphore.NewWeighted(bytes)} }

// read reads a request's body to its end. What it holds is given back with
// free. With errNoMemory the body was read too, and dropped.
func (b *bodies) read(w http.ResponseWriter, r *http.Request) (blocks [][]byte, free func(), err error) {
	free = func() {}
	if r.ContentLength > maxBody {
		return nil, free, errTooLong
	}
	if r.ContentLength == 0 {
		return nil, free, nil
	}
	body := &stallReader{r.Body, http.NewResponseController(w)}
	defer body.rc.SetReadDeadline(time.Time{})
	length := r.ContentLength // -1: not told
	if length <= smallBody {
		if blocks, err = readBlocks(nil, body, smallBody+1); err != nil {
			return blocks, free, ended(err)
		}
		length = maxBody
	}
	held := length
	ctx, cancel := context.WithTimeout(r.Context(), bodyWait)
	defer cancel()
	if b.budget.Acquire(ctx, held) != nil {
		if _, err := io.Copy(io.Discard, io.LimitReader(body, maxBody)); err != nil {
			return nil, free, err
		}
		return nil, free, errNoMemory
	}
	blocks, err = readBlocks(blocks, body, maxBody+1)
	size := int64(0)
	for _, p := range blocks {
		size += int64(len(p))
	}
	if err == nil && size > maxBody {
		err = errTooLong
	}
	if err = ended(err); err != nil {
		b.budget.Release(held)
		return nil, free, err
	}
	if size < held {
		b.budget.Release(held - size)
		held = size
	}
	return blocks, func() { b.budget.Release(held) }, nil
}

func ended(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// readBlocks adds to blocks until they hold limit bytes; io.EOF tells that
// the body ended before.
func readBlocks(blocks [][]byte, body io.Reader, limit int) ([][]byte, error) {
	for _, p := range blocks {
		limit -= len(p)
	}
	for limit > 0 {
		n := len(blocks) - 1
		if n < 0 || len(blocks[n]) == cap(blocks[n]) {
			size := bodyBlock
			if n < 0 {
				size = 4 << 10 // most are small
			}
			blocks = append(blocks, make([]byte, 0, size))
			n++
		}
		p := blocks[n]
		got, err := body.Read(p[len(p):min(cap(p), len(p)+limit)])
		blocks[n] = p[:len(p)+got]
		limit -= got
		if err != nil {
			return blocks, err
		}
	}
	return blocks, nil
}

// stallReader reads as long as something comes.
type stallReader struct {
	io.Reader
	rc *http.ResponseController
}

func (s *stallReader) Read(p []byte) (int, error) {
	s.rc.SetReadDeadline(time.Now().Add(bodyStall))
	return s.Reader.Read(p)
}
