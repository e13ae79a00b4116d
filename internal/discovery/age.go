package discovery

import (
	"sync/atomic"
	"time"
)

// MaxListAge is the maximum age of the list: a change that discovery has offered for
// longer counts as notified.
const MaxListAge = 6 * time.Second

// epoch is the reference for ages, which must not depend on changes of the wall clock.
var epoch = time.Now()

// Counts are the calls of a watcher by outcome. An overdue call counts again when it ends.
type Counts struct{ answered, failed, overdue atomic.Uint64 }

// Calls returns the numbers of calls that were answered, failed, or became overdue.
func (w *Watcher) Calls() (answered, failed, overdue uint64) {
	return w.counts.answered.Load(), w.counts.failed.Load(), w.counts.overdue.Load()
}

// lastCurrent returns when the list was last known to be current; zero: never.
func (w *Watcher) lastCurrent() time.Time {
	at := w.currentAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return epoch.Add(time.Duration(at))
}

// SinceCurrent returns how long ago the list was last known to be current, not counting
// the update being delivered; 0: never.
func (w *Watcher) SinceCurrent() time.Duration {
	if w.currentAt.Load() == 0 {
		return 0
	}
	return w.Age()
}

// Age returns how long ago the list was last known to be current or, if it never was, how
// long the process has run.
func (w *Watcher) Age() time.Duration {
	return time.Since(epoch) - time.Duration(w.currentAt.Load())
}
