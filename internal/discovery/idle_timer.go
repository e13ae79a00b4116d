package discovery

import (
	"errors"
	"sync"
	"time"

	"spokegw/internal/stall"
)

var (
	errRefused = errors.New("discovery refused a call")
	errSilent  = errors.New("discovery is silent")
	errLate    = errors.New("discovery is late with an answer")
	errPanic   = errors.New("a panic in a call")
)

// readAfterStall is the time that reading what came during a stall may take. What discovery
// has written counts as told, also where this process could not read it.
const readAfterStall = 100 * time.Millisecond

// silence ends a call on which nothing has come for as long as it may.
type silence struct {
	end func()

	mu    sync.Mutex
	due   time.Time
	timer *time.Timer
}

func newSilence(patience time.Duration, end func()) *silence {
	s := &silence{end: end, due: time.Now().Add(patience)}
	s.mu.Lock() // the timer may go off before it is noted
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(patience, s.ring)
	return s
}

// allow has the call end so long after now, unless something comes before.
func (s *silence) allow(patience time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wait(patience)
}

func (s *silence) wait(patience time.Duration) {
	s.due = time.Now().Add(patience)
	s.timer.Reset(patience)
}

func (s *silence) stop() { s.timer.Stop() }

// ring ends the call if nothing has come. After a stall that is known only once what
// waits has been read.
func (s *silence) ring() {
	s.mu.Lock()
	late := time.Since(s.due)
	stalled := stall.Detected(late)
	if stalled {
		s.wait(readAfterStall)
	}
	s.mu.Unlock()
	if late >= 0 && !stalled {
		s.end()
	}
}
