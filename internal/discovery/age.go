package discovery

import (
	"sync/atomic"
	"time"
)

// MaxListAge is how old a list may be: what discovery had for longer, and could be had,
// counts as notified.
const MaxListAge = 6 * time.Second

// clockStart is what ages are counted from: the clock of the day may be set meanwhile.
var clockStart = time.Now()

// Counts are the calls of a watcher by their outcome. A late one counts again as it ends.
type Counts struct{ answered, failed, late atomic.Uint64 }

// Calls are the calls that were answered, that failed, and whose answer was late.
func (w *Watcher) Calls() (answered, failed, late uint64) {
	return w.counts.answered.Load(), w.counts.failed.Load(), w.counts.late.Load()
}

// lastCurrent is when the list was last known to be current; zero: it never was.
func (w *Watcher) lastCurrent() time.Time {
	at := w.current.Load()
	if at == 0 {
		return time.Time{}
	}
	return clockStart.Add(time.Duration(at))
}

// SinceCurrent is how long ago the list was last known to be current, before what is told just
// now; 0: it never was.
func (w *Watcher) SinceCurrent() time.Duration {
	if w.current.Load() == 0 {
		return 0
	}
	return w.Age()
}

// Age is how long ago the list was last known to be current; of one that never was, how
// long the process has run.
func (w *Watcher) Age() time.Duration {
	return time.Since(clockStart) - time.Duration(w.current.Load())
}
