package http1

import (
	"io"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/front"
)

// plainBody is a body of declared length, of which a part may have arrived with the
// head.
type plainBody struct {
	p         *plain
	buffered  []byte
	remaining int64 // to be read, including buffered
}

func (b *plainBody) Read(to []byte) (n int, err error) {
	switch {
	case b.remaining == 0:
		return 0, io.EOF
	case len(b.buffered) > 0:
		n = copy(to, b.buffered)
		b.buffered = b.buffered[n:]
	default:
		n, err = b.p.receive(to[:min(int64(len(to)), b.remaining)])
		b.p.bufferFull = true // it is unknown whether more follows
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	}
	if b.remaining -= int64(n); b.remaining == 0 {
		b.p.setRequestRead(true)
	}
	return n, err
}

// paced is the body with a minimum transfer rate.
func (b *plainBody) paced() io.Reader {
	if b.remaining == int64(len(b.buffered)) {
		return b
	}
	return front.NewPacedBody(b, b.p, time.Duration(b.p.started.Load()))
}

// readAll reads a body within the memory that the core grants for it.
func (b *plainBody) readAll(x *core.Exchange) ([]byte, error) {
	if b.remaining == 0 {
		return nil, nil
	}
	text, _, err := front.ReadBody(b.paced(), b.remaining, x.ReserveBody)
	return text, err
}
