package front

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"time"
)

const (
	// RequestTimeout limits the arrival of a complete request, from its first byte or,
	// for the first request of a connection, from when the connection was accepted.
	// Clients are guaranteed an answer or a close within 3 s, however little they send.
	RequestTimeout = 2500 * time.Millisecond
	// minPause and minRate apply to a body that takes longer than RequestTimeout. A
	// client on a slow link sends 64 kB a second, with pauses; one that stops sending
	// has to be cut off. A client that has sent much may pause for longer, up to
	// maxPause. These limits could cut off a client that pauses for even longer, as one
	// may that reads what it sends from a slow source.
	minPause            = 500 * time.Millisecond
	bytesPerPauseSecond = 128_000 // received for each additional second of pause
	maxPause            = 3 * time.Second
	minRate             = 32_000 // bytes per second
)

// PacedBody is a body with a minimum transfer rate.
type PacedBody struct {
	body     io.Reader
	rc       DeadlineSetter
	started  time.Duration // as Now, when the request's first byte arrived
	received int64
}

// DeadlineSetter sets the time at which reading ends.
type DeadlineSetter interface {
	SetReadDeadline(t time.Time) error
}

// NewPacedBody enforces a minimum transfer rate on a body by setting read deadlines.
func NewPacedBody(body io.Reader, rc DeadlineSetter, start time.Duration) *PacedBody {
	rc.SetReadDeadline(At(start + RequestTimeout))
	return &PacedBody{body: body, rc: rc, started: start}
}

func (p *PacedBody) Read(b []byte) (int, error) {
	if now := Now(); now > p.started+RequestTimeout-minPause {
		seconds := func(bytes int64, rate float64) time.Duration {
			return time.Duration(float64(bytes) / rate * float64(time.Second))
		}
		pause := min(minPause+seconds(p.received, bytesPerPauseSecond), maxPause)
		until := min(max(now+pause, p.started+RequestTimeout), p.started+RequestTimeout+seconds(p.received, minRate))
		if until <= now {
			return 0, os.ErrDeadlineExceeded
		}
		p.rc.SetReadDeadline(At(until))
	}
	n, err := p.body.Read(b)
	p.received += int64(n)
	return n, err
}

// Upload is the remaining part of a body that is streamed.
type Upload struct {
	body       io.Reader
	remaining  int64 // -1: unknown
	connection UploadConnection
	clock      *SenderClock
	readMu     sync.Mutex // held while the body is read
	received   int64
	err        error // of reading; io.EOF: the body is complete

	mu       sync.Mutex // guards ended, complete and the read deadline that they set
	ended    bool       // nothing is read any more
	complete bool
}

// UploadConnection is the connection or stream that a body arrives on.
type UploadConnection interface {
	DeadlineSetter
	// HasExtra reports whether data follows the body.
	HasExtra() bool
}

var errUploadClosed = errors.New("the rest of the body is not needed")

// NewUpload makes the remaining part of a body of the declared length, -1 if unknown,
// of which some has been read. clock is that of its reads.
func NewUpload(body io.Reader, length, read int64, connection UploadConnection, clock *SenderClock) *Upload {
	u := &Upload{body: body, remaining: -1, connection: connection, received: read, clock: clock}
	if length >= 0 {
		u.remaining = length - read
	}
	return u
}

// Read reads from the body. It returns the last piece only if nothing follows it.
func (u *Upload) Read(b []byte) (n int, err error) {
	u.readMu.Lock()
	defer u.readMu.Unlock()
	if u.isEnded() {
		return 0, errUploadClosed
	}
	if u.err != nil {
		return 0, u.err
	}
	n, err = u.body.Read(b)
	u.received += int64(n)
	if u.remaining >= 0 {
		if u.remaining -= int64(n); u.remaining == 0 && err == nil {
			if err = expectEOF(u.body); err == nil {
				err = io.EOF
			}
		}
	}
	switch {
	case err == io.EOF && u.remaining > 0:
		err = io.ErrUnexpectedEOF
	case err == io.EOF && u.connection.HasExtra():
		err = errExcessData
	case err == io.EOF:
		u.setComplete()
	case err != nil && u.isEnded():
		err = errUploadClosed
	case u.received > MaxBody:
		err = errTooLong
	}
	if u.err = err; err != nil && err != io.EOF {
		n = 0
	}
	return n, err
}

func (u *Upload) isEnded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ended
}

// setComplete records that the body is complete. From then on reads only show whether the
// client disconnects, and have no deadline.
func (u *Upload) setComplete() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.complete = true
	u.clock.finish()
	u.connection.SetReadDeadline(time.Time{})
}

func (u *Upload) isComplete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.complete
}

// Interrupt ends a blocked Read. It has no effect if the body is complete.
func (u *Upload) Interrupt() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.complete || u.ended {
		return
	}
	u.ended = true
	u.connection.SetReadDeadline(At(-time.Hour))
}

// EarliestEnd is the earliest time at which the sender may have written the last byte of
// the body. It is now while the sender is known to be sending.
func (u *Upload) EarliestEnd() time.Time { return At(u.clock.earliestEnd(Now())) }

// Context is ctx without cancellations caused by reading the body: net/http takes any
// read error, also that of an interrupted read, for a client that has disconnected. A
// client that disconnects before its body is complete shows in the reading itself.
func (u *Upload) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if u.isComplete() {
			cancel()
		}
	})
	return detached, func() {
		stop()
		cancel()
	}
}

// Close ends the reading, and returns nil if the body is complete. Nothing reads it
// after that.
func (u *Upload) Close() error {
	if !u.readMu.TryLock() {
		u.Interrupt()
		u.readMu.Lock()
	}
	defer u.readMu.Unlock()
	u.mu.Lock()
	u.ended = true
	u.mu.Unlock()
	switch {
	case u.err == io.EOF:
		return nil
	case u.err == nil:
		return errUploadClosed
	}
	return u.err
}

// SenderFault reports whether a body is incomplete for a reason on its sender's side.
func SenderFault(err error) bool { return err != nil && !errors.Is(err, errUploadClosed) }
