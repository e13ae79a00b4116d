package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"spokegw/internal/framing"
)

// body reads the body of an answer: by length, chunked, or until the connection closes.
type body struct {
	r         *bufio.Reader
	chunks    io.Reader // nil: not chunked
	remaining int64     // bytes to read; <0: unknown
}

var errInvalidTrailer = errors.New("invalid or too long trailer after the last chunk")

func (c *conn) newBody(a *framing.Answer) *body {
	b := &c.body
	*b = body{r: c.r, remaining: a.Length}
	switch {
	case !a.HasBody():
		b.remaining = 0
	case a.Chunked:
		b.chunks = httputil.NewChunkedReader(c.r)
	}
	return b
}

// Read returns io.EOF, as early as possible, when the body is complete, and
// io.ErrUnexpectedEOF when it is truncated.
func (b *body) Read(p []byte) (n int, err error) {
	switch {
	case b.chunks != nil:
		if n, err = b.chunks.Read(p); err == io.EOF {
			err = b.trailer()
		}
		return n, err
	case b.remaining == 0:
		return 0, io.EOF
	case b.remaining > 0 && int64(len(p)) > b.remaining:
		p = p[:b.remaining]
	}
	n, err = b.r.Read(p)
	if b.remaining < 0 {
		return n, err
	}
	b.remaining -= int64(n)
	switch {
	case b.remaining == 0:
		err = io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// trailer skips the fields after the last chunk and returns io.EOF at their end: what
// follows on the connection does not belong to this answer.
func (b *body) trailer() error {
	b.chunks, b.remaining = nil, 0
	for limit := framing.MaxHead; ; {
		line, err := b.r.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if limit -= len(line); err != nil || limit < 0 || len(line) < 2 || line[len(line)-2] != '\r' {
			return errors.Join(errInvalidTrailer, err)
		}
		if len(line) == 2 {
			return io.EOF
		}
	}
}
