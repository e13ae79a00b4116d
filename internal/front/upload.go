package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// RequestTimeout is for a request to come whole, from its first byte or, if
	// it is the connection's first, from when that was made. Clients are owed an
	// answer or a close within 3 s, however little they say.
	RequestTimeout = 2500 * time.Millisecond
	// piecePatience and leastRate are for a body that takes longer: a client on a
	// slow link sends 64 kB a second, with pauses, and one that stops is owed an
	// end. Who has sent much is in earnest and may pause for longer, up to
	// mostPause. They could cut off a client that pauses for longer still, as one
	// that reads what it sends from elsewhere may.
	piecePatience = 500 * time.Millisecond
	earnestBytes  = 128_000 // for each second of pause more
	mostPause     = 3 * time.Second
	leastRate     = 32_000 // bytes a second
)

// PacedBody is a body that has to keep coming.
type PacedBody struct {
	body  io.Reader
	rc    Reading
	begun time.Duration // as Now, when the request's first byte came
	got   int64
}

// Reading is where reading can be made to end at a time.
type Reading interface {
	SetReadDeadline(t time.Time) error
}

// NewPacedBody has a body keep coming. It sets the times at which reading ends.
func NewPacedBody(body io.Reader, rc Reading, begun time.Duration) *PacedBody {
	rc.SetReadDeadline(At(begun + RequestTimeout))
	return &PacedBody{body: body, rc: rc, begun: begun}
}

func (p *PacedBody) Read(b []byte) (int, error) {
	if now := Now(); now > p.begun+RequestTimeout-piecePatience {
		seconds := func(bytes int64, rate float64) time.Duration {
			return time.Duration(float64(bytes) / rate * float64(time.Second))
		}
		pause := min(piecePatience+seconds(p.got, earnestBytes), mostPause)
		until := min(max(now+pause, p.begun+RequestTimeout), p.begun+RequestTimeout+seconds(p.got, leastRate))
		if until <= now {
			return 0, os.ErrDeadlineExceeded
		}
		p.rc.SetReadDeadline(At(until))
	}
	n, err := p.body.Read(b)
	p.got += int64(n)
	return n, err
}

// Upload is the rest of a body that is passed on as it comes.
type Upload struct {
	body    io.Reader
	left    int64 // -1: not told
	behind  func() bool
	rc      *http.ResponseController
	reading sync.Mutex // held while the body is read
	ended   atomic.Bool
	whole   atomic.Bool
	got     int64
	err     error // of reading; io.EOF: it came whole
}

var errUploadEnded = errors.New("the body is not wanted any more")

// NewUpload makes the rest of a body of the length told, -1 where none is, of
// which some has been read. behind reports whether something stands behind it.
func NewUpload(body io.Reader, length, read int64, rc *http.ResponseController, behind func() bool) *Upload {
	u := &Upload{body: body, left: -1, behind: behind, rc: rc, got: read}
	if length >= 0 {
		u.left = length - read
	}
	return u
}

// Read reads on. The last piece is handed out only with nothing behind it.
func (u *Upload) Read(b []byte) (n int, err error) {
	u.reading.Lock()
	defer u.reading.Unlock()
	if u.ended.Load() {
		return 0, errUploadEnded
	}
	if u.err != nil {
		return 0, u.err
	}
	n, err = u.body.Read(b)
	u.got += int64(n)
	if u.left >= 0 {
		if u.left -= int64(n); u.left == 0 && err == nil {
			if err = readEnd(u.body); err == nil {
				err = io.EOF
			}
		}
	}
	switch {
	case err == io.EOF && u.left > 0:
		err = io.ErrUnexpectedEOF
	case err == io.EOF && u.behind():
		err = errMore
	case err == io.EOF:
		u.whole.Store(true)
	case err != nil && u.ended.Load():
		err = errUploadEnded
	case u.got > MaxBody:
		err = errTooLong
	}
	if u.err = err; err != nil && err != io.EOF {
		n = 0
	}
	return n, err
}

// Interrupt ends a Read that waits, if the body has not come whole.
func (u *Upload) Interrupt() {
	if !u.ended.Swap(true) {
		u.rc.SetReadDeadline(At(-time.Hour))
	}
}

// Context is ctx but for ends that come of the reading: net/http takes any error
// of it, and so an end that was asked for, for a client that has left. One that
// leaves before its body has come whole shows in the reading itself.
func (u *Upload) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if u.whole.Load() {
			cancel()
		}
	})
	return own, func() {
		stop()
		cancel()
	}
}

// Close ends the reading, and returns nil if the body came whole. Nothing reads
// it after that.
func (u *Upload) Close() error {
	if !u.reading.TryLock() {
		u.Interrupt()
		u.reading.Lock()
	}
	defer u.reading.Unlock()
	u.ended.Store(true)
	switch {
	case u.err == io.EOF:
		return nil
	case u.err == nil:
		return errUploadEnded
	}
	return u.err
}

// SenderFault reports whether a body did not come whole for a reason of its sender's.
func SenderFault(err error) bool { return err != nil && !errors.Is(err, errUploadEnded) }
