package front

import (
	"bytes"
	"io"
	"testing"
	"time"
)

// bodyConnection records the latest read deadline.
type bodyConnection struct{ deadline time.Time }

func (c *bodyConnection) SetReadDeadline(t time.Time) error { c.deadline = t; return nil }
func (c *bodyConnection) HasExtra() bool                    { return false }

// A read deadline behind the end of a body looks like a client that has disconnected.
func TestInterruptLeavesCompleteBodyAlone(t *testing.T) {
	c := &bodyConnection{deadline: time.Now()}
	u := NewUpload(bytes.NewReader([]byte("body")), 4, 0, c, NewSenderClock(0))
	if _, err := io.ReadAll(u); err != nil {
		t.Fatal(err)
	}
	u.Interrupt()
	if !c.deadline.IsZero() || u.Close() != nil {
		t.Errorf("the read deadline is %v, the body's end %v", c.deadline, u.Close())
	}
}

func TestInterruptEndsIncompleteBody(t *testing.T) {
	c := &bodyConnection{}
	u := NewUpload(bytes.NewReader([]byte("bo")), 4, 0, c, NewSenderClock(0))
	u.Interrupt()
	if _, err := u.Read(make([]byte, 4)); err != errUploadClosed || !c.deadline.Before(time.Now()) {
		t.Errorf("%v, read deadline %v", err, c.deadline)
	}
}
