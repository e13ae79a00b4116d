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

// WriteTimeout limits writing an answer, or the next piece of a streamed one, to a
// client that does not read. A client that reads slowly takes nothing for seconds: its system
// announces room for more only once much of its buffer is free.
const WriteTimeout = 30 * time.Second

// Write writes an answer and frees it. Header fields that concern only the connection
// are the caller's. If a streamed answer is truncated, or its client disconnects, Write
// panics with http.ErrAbortHandler, so that the client can tell that the answer is
// incomplete. ctx ends when the client has disconnected.
func Write(ctx context.Context, w http.ResponseWriter, a *core.Answer) {
	defer a.Free()
	beginWrite(w)
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
	w.Header()["Content-Type"] = nil // otherwise net/http would guess a type that the endpoint did not send
	fields.EachForwarded(a.Header, func(name, value string) { w.Header().Add(name, value) })
	length := int64(len(a.Body))
	if a.Stream() != nil || length == 0 {
		length = a.Length // of a streamed answer, or of the body that an answer to HEAD omits
	}
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if s := a.Stream(); s != nil {
		if writeStream(ctx, w, a.Body, s) != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	w.Write(a.Body)
}

// beginWrite gives the client WriteTimeout to take the next piece of an answer.
func beginWrite(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteTimeout))
}

// copyBuffers are the buffers that streamed answers are copied through.
var copyBuffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// writeStream forwards a streamed answer as it arrives, without buffering all of it.
func writeStream(ctx context.Context, w http.ResponseWriter, head []byte, s core.Stream) error {
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	rc := http.NewResponseController(w)
	return CopyStream(head, s, func(b []byte) error {
		beginWrite(w)
		if _, err := w.Write(b); err != nil {
			return err
		}
		return rc.Flush()
	})
}

// CopyStream writes the first part of a streamed answer, and then the remaining data as
// it arrives.
func CopyStream(head []byte, s core.Stream, write func(piece []byte) error) error {
	buf := copyBuffers.Get().(*[32 << 10]byte)
	defer copyBuffers.Put(buf)
	if err := write(head); err != nil {
		return err
	}
	for {
		n, err := s.Read(buf[:])
		if n > 0 {
			if err := write(buf[:n]); err != nil {
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
