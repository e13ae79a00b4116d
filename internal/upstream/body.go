package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"spokegw/internal/framing"
)

// body is that of an answer: by its length, in chunks, or to the end of the connection.
type body struct {
	r      *bufio.Reader
	chunks io.Reader // nil: it is not in chunks
	left   int64     // to come; <0: not told
}

var errTrailer = errors.New("what follows the last chunk is no trailer, or too long")

func (c *conn) bodyOf(a *framing.Answer) *body {
	b := &c.body
	*b = body{r: c.r, left: a.Length}
	switch {
	case !a.HasBody():
		b.left = 0
	case a.Chunked:
		b.chunks = httputil.NewChunkedReader(c.r)
	}
	return b
}

// Read reads what comes next. io.EOF tells that the body is whole, as early as that is
// known; io.ErrUnexpectedEOF that it is not.
func (b *body) Read(p []byte) (n int, err error) {
	switch {
	case b.chunks != nil:
		if n, err = b.chunks.Read(p); err == io.EOF {
			err = b.trailer()
		}
		return n, err
	case b.left == 0:
		return 0, io.EOF
	case b.left > 0 && int64(len(p)) > b.left:
		p = p[:b.left]
	}
	n, err = b.r.Read(p)
	if b.left < 0 {
		return n, err
	}
	b.left -= int64(n)
	switch {
	case b.left == 0:
		err = io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// trailer drops the fields behind the last chunk, and returns io.EOF once they have ended:
// what comes next on the connection is not this answer's.
func (b *body) trailer() error {
	b.chunks, b.left = nil, 0
	for room := framing.MaxHead; ; {
		line, err := b.r.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if room -= len(line); err != nil || room < 0 || len(line) < 2 || line[len(line)-2] != '\r' {
			return errors.Join(errTrailer, err)
		}
		if len(line) == 2 {
			return io.EOF
		}
	}
}
