package core

import (
	"testing"
	"time"

	"spokegw/internal/discovery"
)

// The wall clock is wrong by up to an hour, here or at the registry: an endpoint that was
// listed just now must be cold, and none may stay cold forever.
func TestSlowStartAfterClockChange(t *testing.T) {
	const hour = time.Hour
	for name, step := range map[string]time.Duration{"right": 0, "an hour fast": hour, "an hour slow": -hour, "seconds fast": 30 * time.Second, "seconds slow": -30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			_, s := newTestCore(t)
			s.mu.Lock()
			s.unixStart += step
			s.mu.Unlock()
			age := func(id string) time.Duration {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.now() - s.endpoints.byName[id].Started
			}
			startedMS := time.Now().UnixMilli()
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("new", "127.0.0.1:2", "active", startedMS)}, false, time.Second)
			if got := age("new"); got < 0 || got > time.Second+2*listingDelay {
				t.Errorf("an endpoint that is listed for the first time has an age of %v", got)
			}
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("new", "127.0.0.1:2", "leaving", startedMS)}, false, time.Second)
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("s-0", "127.0.0.1:1", "left", 0)}, false, time.Second)
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("s-0", "127.0.0.1:1", "active", 0)}, false, time.Second)
			if got := age("s-0"); got < hour {
				t.Errorf("an endpoint that started long ago has an age of %v", got)
			}
			before := age("new")
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("new", "127.0.0.1:2", "left", startedMS)}, false, time.Second)
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("new", "127.0.0.1:2", "active", startedMS)}, false, time.Second)
			if got := age("new"); got < before || got > before+time.Minute {
				t.Errorf("an endpoint that is listed again unchanged has an age of %v, before it was %v", got, before)
			}
			restartedMS := startedMS + 1
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("new", "127.0.0.1:2", "active", restartedMS)}, false, time.Second)
			if got := age("new"); got < 0 || got > time.Second+2*listingDelay {
				t.Errorf("a restarted endpoint has an age of %v", got)
			}
		})
	}
}
