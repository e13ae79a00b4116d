package upstream

import (
	"bufio"
	"io"

	"spokegw/internal/framing"
)

// body reads the body of an answer: by length, chunked, or until the connection closes. A read that
// timed out may be repeated.
type body struct {
	r         *bufio.Reader
	chunks    *chunkReader // nil: not chunked
	remaining int64        // bytes to read; <0: unknown
}

func (c *conn) newBody(a *framing.Answer) *body {
	b := &c.body
	*b = body{r: c.r, remaining: a.Length}
	switch {
	case !a.HasBody():
		b.remaining = 0
	case a.Chunked:
		b.chunks = &chunkReader{r: c.r}
	}
	return b
}

// Read returns what has arrived, without waiting for more. It returns io.EOF, as early as possible,
// when the body is complete, and io.ErrUnexpectedEOF when it is truncated.
func (b *body) Read(p []byte) (n int, err error) {
	switch {
	case b.chunks != nil:
		return b.chunks.Read(p)
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
	if b.remaining == 0 {
		return n, io.EOF
	}
	return n, unexpectedEOF(err)
}
