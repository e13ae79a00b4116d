package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/fields"
)

// WriteTimeout is for writing an answer, or the next piece of a long one, to a
// client that does not read.
const WriteTimeout = 5 * time.Second

// Write writes an answer, and frees it. What is of the connection alone is the
// caller's. A long answer that breaks off, or whose client does, panics with
// http.ErrAbortHandler: the client is to see that it is not whole. ctx ends when
// the client has left.
func Write(ctx context.Context, w http.ResponseWriter, a *core.Answer) {
	defer a.Free()
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if a.Header == nil {
		reason := a.Reason
		if reason == "" {
			reason = http.StatusText(a.Status)
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("X-Content-Type-Options", "nosniff")
		w.Header().Set("Content-Length", strconv.Itoa(len(reason)+1))
		w.WriteHeader(a.Status)
		io.WriteString(w, reason+"\n")
		return
	}
	w.Header()["Content-Type"] = nil // else one that the endpoint did not tell is guessed from the body
	fields.EachForwarded(a.Header, func(name, value string) { w.Header().Add(name, value) })
	length := int64(len(a.Body))
	if a.Stream() != nil || length == 0 {
		length = a.Length // of one that goes on, or of the body that a HEAD does not bring
	}
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if s := a.Stream(); s != nil {
		if pass(ctx, w, a.Body, s) != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	w.Write(a.Body)
}

// pieces are the buffers that long answers are passed on in.
var pieces = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// pass passes a long answer on as it comes: what has come is held for nothing.
func pass(ctx context.Context, w http.ResponseWriter, head []byte, s core.Stream) error {
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	rc := http.NewResponseController(w)
	return CopyStream(head, s, func(b []byte) error {
		rc.SetWriteDeadline(time.Now().Add(WriteTimeout))
		if _, err := w.Write(b); err != nil {
			return err
		}
		return rc.Flush()
	})
}

// CopyStream puts the beginning of a long answer and then the rest as it comes.
func CopyStream(head []byte, s core.Stream, put func(piece []byte) error) error {
	buf := pieces.Get().(*[32 << 10]byte)
	defer pieces.Put(buf)
	if err := put(head); err != nil {
		return err
	}
	for {
		n, err := s.Read(buf[:])
		if n > 0 {
			if err := put(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}
