package http3

import (
	"net/http"
	"sync"
	"time"

	"spokegw/internal/front"
)

// readDeadlines sets the read deadline of a request's stream, until it is expired for good.
type readDeadlines struct {
	controller *http.ResponseController

	mu      sync.Mutex
	expired bool
}

// SetReadDeadline sets the time at which reading ends, unless it is expired.
func (d *readDeadlines) SetReadDeadline(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired {
		return nil
	}
	return d.controller.SetReadDeadline(t)
}

// HasExtra is false: a stream ends with its request.
func (d *readDeadlines) HasExtra() bool { return false }

// expire ends reading now: the process no longer waits for the rest of the request.
func (d *readDeadlines) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expired = true
	d.controller.SetReadDeadline(front.At(-time.Hour))
}
