package rig

import (
	"fmt"
	"io"
	"time"
)

// Upload is one request with a long body, sent by a client of its own.
type Upload struct {
	ID       string
	Length   int
	Sent     time.Time // when its last byte was written; zero: it was not, and the sidecar hasn't taken it
	Answered time.Time // when its whole answer had come; zero: it has none
	Status   int
	Err      error // of writing or reading
}

// Send sends a keyed request with a body of a length in pieces, one every pause, and waits for its
// answer: at least until the time by which it is due.
func (r *Rig) Send(addr string, length, piece int, pause, deadline, due time.Duration) (u Upload) {
	u = Upload{ID: NewID(8), Length: length}
	defer func() {
		switch {
		case u.Sent.IsZero():
			r.Printf("%s: its last byte could not be written: %v", u.ID, u.Err)
		case u.Answered.IsZero():
			r.Printf("%s: no whole answer %v after its last byte: %v", u.ID, time.Since(u.Sent).Round(time.Millisecond), u.Err)
		default:
			r.Printf("%s: answered %d, %v after its last byte", u.ID, u.Status, u.Answered.Sub(u.Sent).Round(time.Millisecond))
		}
	}()
	c, err := Dial(addr)
	if err != nil {
		u.Err = err
		return u
	}
	defer c.Close()
	r.Printf("%s: sent, a body of %d bytes follows", u.ID, length)
	body := make([]byte, length)
	began := time.Now()
	c.SetWriteDeadline(began.Add(100 * time.Second))
	if _, u.Err = io.WriteString(c, Head("status-report", u.ID, NewID(16), deadline, length)); u.Err != nil {
		return u
	}
	for at := 0; at < length; at += piece {
		if _, u.Err = c.Write(body[at:min(at+piece, length)]); u.Err != nil {
			return u
		}
		if at+piece < length {
			time.Sleep(time.Until(began.Add(pause * time.Duration(at/piece+1))))
		}
	}
	u.Sent = time.Now()
	r.Printf("%s: its last byte was written after %v", u.ID, u.Sent.Sub(began).Round(time.Millisecond))
	status, text, _, err := c.ReadAnswer(due + 20*time.Second)
	if u.Err = err; err == nil {
		u.Answered, u.Status = time.Now(), status
		if status == 200 && !IsAnswerTo(u.ID, string(text)) {
			u.Err = fmt.Errorf("a foreign answer: %q", text)
		}
	}
	return u
}

// Lost reports whether a request was taken and has no final answer in time, also within the half
// second after that.
func (u *Upload) Lost(due time.Duration) bool {
	return !u.Sent.IsZero() && (u.Answered.IsZero() || u.Answered.Sub(u.Sent) > due)
}

// Finish judges the uploads and ends the run.
func (r *Rig) Finish(s *Sidecar, uploads []Upload, due time.Duration) {
	var taken, served, refused, failed, lost int
	for _, u := range uploads {
		switch {
		case u.Sent.IsZero():
			continue
		case u.Lost(due):
			lost++
			r.Printf("BROKEN: %s, %d bytes, has no final answer within %v after its last byte", u.ID, u.Length, due)
		case u.Status == 200 && u.Err != nil:
			lost++
			r.Printf("BROKEN: %s: %v", u.ID, u.Err)
		case u.Status == 200:
			served++
		case u.Status == 503 || u.Status == 429:
			refused++
		default:
			failed++
		}
		taken++
	}
	text := fmt.Sprintf("%d requests taken, %d served, %d refused, %d failed, %d with no final answer in time", taken, served, refused, failed, lost)
	switch {
	case lost > 0:
		r.End(Broken, "%s", text)
	case s.Ended() || taken < len(uploads)/4:
		r.End(NotRun, "%s", text)
	}
	r.End(Held, "%s", text)
}
