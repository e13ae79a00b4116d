package upstream

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"spokegw/internal/framing"
	"spokegw/policy"
)

// readHead reads the head of the answer and skips 1xx answers before it.
func (c *conn) readHead() (framing.Answer, error) {
	if _, err := c.r.Peek(1); err != nil {
		return framing.Answer{}, err
	}
	c.timer.begin()
	for range maxInterim {
		text, err := c.peekHead()
		if err != nil {
			return framing.Answer{}, err
		}
		a, err := framing.ReadAnswer(text)
		if err != nil {
			return a, err
		}
		c.r.Discard(len(text)) // already buffered
		if a.Status >= 200 {
			return a, nil
		}
		if a.Status == http.StatusSwitchingProtocols {
			break
		}
	}
	return framing.Answer{}, errInvalidInterim
}

// peekHead waits until the reader's buffer holds a whole head. Bytes that can't be a
// head are rejected as early as possible: such a connection stays open, and waiting
// for more would use up the request's time.
func (c *conn) peekHead() ([]byte, error) {
	const prefix = "HTTP/1."
	for n := 1; n <= framing.MaxHead; n = c.r.Buffered() + 1 {
		if _, err := c.r.Peek(n); err != nil {
			return nil, err
		}
		text, _ := c.r.Peek(c.r.Buffered())
		if k := min(len(text), len(prefix)); string(text[:k]) != prefix[:k] {
			return nil, errInvalidHead
		}
		if end := framing.End(text); end > 0 {
			return text[:end], nil
		}
	}
	return nil, errInvalidHead
}

// declaresClose reports whether an answer without a length declares that it ends with
// the connection. Without that declaration an answer corrupted in transit would look
// the same. An answer that ends with a reset is never complete.
func declaresClose(head *framing.Answer) bool { return head.Minor == 0 || head.Close }

// readAnswer reads an answer, whole or up to the start of its stream. It reports
// whether the connection can be kept afterwards.
func (c *conn) readAnswer(t *transaction) (a Answer, keep bool, err error) {
	head, err := c.readHead()
	defer func() {
		switch inTime := c.timer.complete(); {
		case inTime || err != nil:
		case a.Stream != nil:
			a.Free()
			err = errStalled
		default:
			keep = false // the attempt was cancelled just as the answer became complete
		}
	}()
	if err != nil {
		return a, false, err
	}
	a = Answer{Result: policy.Errored, Header: head.Header, Length: head.Length}
	switch head.Status {
	case http.StatusOK:
		a.Result = policy.Served
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if head.Header.Get("Srv-Declined") == "1" {
			a.Result = policy.Declined
		}
	}
	if t.req.headOnly {
		return a, !head.ClosesConnection, nil
	}
	untilClose := head.Length < 0 && !head.Chunked // until the connection closes
	switch {
	case a.Result != policy.Served && (untilClose || head.Length > maxBufferedBody):
		return a, false, nil // the head of an error holds all that is needed
	case head.Length > MaxStreamBytes, untilClose && !declaresClose(&head):
		return a, false, errInvalidLength
	}
	if a.Result != policy.Served {
		c.timer.requireProgress() // the result is known, and should not wait for the rest
	}
	body := c.newBody(&head)
	complete, err := c.readBody(t, &a, body)
	switch {
	case err != nil && a.Result != policy.Served:
		return a, false, nil
	case err != nil:
		return a, false, err
	case complete: // Bytes after the answer belong to no request: the caller finds them and
		// closes the connection. A stated length that is too short, so that the answer
		// is incomplete, would look the same; it has not been observed.
		return a, !head.ClosesConnection, nil
	case a.Result != policy.Served:
		return a, false, nil // an error with a long body
	case t.stream == nil:
		return a, false, errInvalidLength
	}
	return a, false, c.startAnswerStream(t.cancellation, &a, body, !head.ClosesConnection)
}

// readBody reads a short body whole, and the beginning of a long one or of one that may be long and
// pauses.
func (c *conn) readBody(t *transaction, a *Answer, body io.Reader) (complete bool, err error) {
	start, limit := time.Now(), int64(maxBufferedBody)+1
	size := min(int64(4<<10), limit)
	if a.Length >= 0 {
		size = a.Length
		if a.Length > maxBufferedBody {
			limit, size = 4<<10, 4<<10 // enough to know that the body arrives
		}
	}
	a.Body = a.newBuffer(size)
	mayPause := a.Length < 0 && a.Result == policy.Served && t.stream != nil
	for {
		if a.Length >= 0 && int64(len(a.Body)) == a.Length {
			return true, nil
		}
		if len(a.Body) == cap(a.Body) {
			a.Body = append(a.Body, 0)[:len(a.Body)]
		}
		end := min(cap(a.Body), int(limit))
		n, err := body.Read(a.Body[len(a.Body):end])
		if n > 0 {
			c.timer.progress()
		}
		first := n > 0 && len(a.Body) == 0
		a.Body = a.Body[:len(a.Body)+n]
		got := int64(len(a.Body))
		switch {
		case err == io.EOF && (a.Length < 0 || got == a.Length):
			return true, nil
		case err == io.EOF:
			return false, io.ErrUnexpectedEOF
		case mayPause && got > 0 && errors.Is(err, os.ErrDeadlineExceeded) && t.cancellation.Cause() == nil:
			return false, nil
		case err != nil:
			return false, err
		case got > maxBufferedBody, a.Length > maxBufferedBody, a.Length < 0 && got > 0 && time.Since(start) > maxBufferTime:
			return false, nil
		case first && mayPause:
			if err := c.limitHold(t); err != nil {
				return false, err
			}
		}
	}
}

// limitHold sets the time at which the first pieces of an answer are passed on although no more of
// it has come.
func (c *conn) limitHold(t *transaction) error {
	until := time.Now().Add(maxHoldTime)
	if deadline := c.timer.attemptDeadline(); !deadline.IsZero() && deadline.Add(-beginMargin).Before(until) {
		until = deadline.Add(-beginMargin)
	}
	if t.upload != nil {
		if deadline := t.req.Stream.Deadline(); deadline.Add(-beginMargin).Before(until) {
			until = deadline.Add(-beginMargin)
		}
	}
	c.SetReadDeadline(until)
	return t.cancellation.Cause() // its callback may have set a deadline that was just replaced
}
