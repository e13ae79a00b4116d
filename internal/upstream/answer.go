package upstream

import (
	"io"
	"net/http"
	"time"

	"spokegw/internal/framing"
	"spokegw/policy"
)

// readHead reads the head of the answer, past those of 1xx answers.
func (c *conn) readHead() (framing.Answer, error) {
	if _, err := c.r.Peek(1); err != nil {
		return framing.Answer{}, err
	}
	c.clock.begin()
	for range maxInterim {
		text, err := c.peekHead()
		if err != nil {
			return framing.Answer{}, err
		}
		a, err := framing.ReadAnswer(text)
		if err != nil {
			return a, err
		}
		c.r.Discard(len(text)) // they are there
		if a.Status >= 200 {
			return a, nil
		}
		if a.Status == http.StatusSwitchingProtocols {
			break
		}
	}
	return framing.Answer{}, errInterim
}

// peekHead waits until a whole head stands in the reader's buffer. What can't
// be one is seen as early as may be: the connection of such an answer stays
// open, and waiting for the rest of it would use up the request's time.
func (c *conn) peekHead() ([]byte, error) {
	const start = "HTTP/1."
	for n := 1; n <= framing.MaxHead; n = c.r.Buffered() + 1 {
		if _, err := c.r.Peek(n); err != nil {
			return nil, err
		}
		text, _ := c.r.Peek(c.r.Buffered())
		if k := min(len(text), len(start)); string(text[:k]) != start[:k] {
			return nil, errHead
		}
		if end := framing.End(text); end > 0 {
			return text[:end], nil
		}
	}
	return nil, errHead
}

// endTold reports whether an answer without a length says that its end is that
// of the connection. Where it does not say so, one that was spoilt on its way
// would look the same; and one that ends by a reset is not whole in any case.
func endTold(head *framing.Answer) bool { return head.Minor == 0 || head.Close }

// readAnswer reads an answer: whole, or up to where its stream begins. It
// reports whether the connection may be kept after it.
func (c *conn) readAnswer(t *try) (a Answer, keep bool, err error) {
	head, err := c.readHead()
	defer func() {
		switch inTime := c.clock.whole(); {
		case inTime || err != nil:
		case a.Stream != nil:
			a.Free()
			err = errStopped
		default:
			keep = false // it has been ended as it came whole
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
		return a, !head.Ends, nil
	}
	toEnd := head.Length < 0 && !head.Chunked // as long as the connection
	switch {
	case a.Result != policy.Served && (toEnd || head.Length > maxBody):
		return a, false, nil // of an error the head has told all there is to know
	case head.Length > MaxStreamBytes, toEnd && !endTold(&head):
		return a, false, errBody
	}
	body := c.bodyOf(&head)
	whole, err := readBody(&a, body, &c.clock)
	switch {
	case err != nil && a.Result != policy.Served:
		return a, false, nil
	case err != nil:
		return a, false, err
	case whole: // What stands behind an answer is nobody's: the caller finds it and
		// gives the connection up. That the length told is too short, and this
		// answer so not whole, would look the same; it has not been seen.
		return a, !head.Ends, nil
	case a.Result != policy.Served:
		return a, false, nil // an error that goes on
	case t.stream == nil:
		return a, false, errBody
	}
	return a, false, c.startStream(t.end, &a, body, !head.Ends)
}

// readBody reads a body whole, or of a long one what there is of its beginning.
func readBody(a *Answer, body io.Reader, k *clock) (whole bool, err error) {
	begun, limit := time.Now(), int64(maxBody)+1
	size := min(int64(4<<10), limit)
	if a.Length >= 0 {
		size = a.Length
		if a.Length > maxBody {
			limit, size = 4<<10, 4<<10 // enough to know that it comes
		}
	}
	a.Body = a.room(size)
	for {
		if a.Length >= 0 && int64(len(a.Body)) == a.Length {
			return true, nil
		}
		if len(a.Body) == cap(a.Body) {
			a.Body = append(a.Body, 0)[:len(a.Body)]
		}
		room := min(cap(a.Body), int(limit))
		n, err := body.Read(a.Body[len(a.Body):room])
		if n > 0 {
			k.moved()
		}
		a.Body = a.Body[:len(a.Body)+n]
		got := int64(len(a.Body))
		switch {
		case err == io.EOF && (a.Length < 0 || got == a.Length):
			return true, nil
		case err == io.EOF:
			return false, io.ErrUnexpectedEOF
		case err != nil:
			return false, err
		case got > maxBody, a.Length > maxBody, a.Length < 0 && got > 0 && time.Since(begun) > mostHeld:
			return false, nil
		}
	}
}
