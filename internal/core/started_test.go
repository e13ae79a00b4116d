package core

import (
	"testing"
	"time"

	"spokegw/internal/discovery"
)

// The clock of the day was set by an hour, here or at the registry, before or while the process
// runs: an endpoint that was listed a moment ago is cold, and none stays cold for good.
func TestSlowStartThoughTheClockWasSet(t *testing.T) {
	const hour = time.Hour
	for name, step := range map[string]time.Duration{"right": 0, "an hour fast": hour, "an hour slow": -hour, "seconds fast": 30 * time.Second, "seconds slow": -30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			_, s := alone(t)
			s.mu.Lock()
			s.unixStart += step
			s.mu.Unlock()
			age := func(id string) time.Duration {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.now() - s.endpoints.byName[id].Started
			}
			just := time.Now().UnixMilli()
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("new", "127.0.0.1:2", "active", just)}, false, time.Second)
			if got := age("new"); got < 0 || got > time.Second+2*listedWithin {
				t.Errorf("an endpoint that is listed for the first time is taken to be %v old", got)
			}
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("new", "127.0.0.1:2", "leaving", just)}, false, time.Second)
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("s-0", "127.0.0.1:1", "left", 0)}, false, time.Second)
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("s-0", "127.0.0.1:1", "active", 0)}, false, time.Second)
			if got := age("s-0"); got < hour {
				t.Errorf("an endpoint that started long ago is taken to be %v old", got)
			}
			before := age("new")
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("new", "127.0.0.1:2", "left", just)}, false, time.Second)
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("new", "127.0.0.1:2", "active", just)}, false, time.Second)
			if got := age("new"); got < before || got > before+time.Minute {
				t.Errorf("an endpoint that is back as it was is taken to be %v old, it was %v", got, before)
			}
			again := just + 1
			s.UpdateEndpointsAfter([]discovery.Entry{entryOf("new", "127.0.0.1:2", "active", again)}, false, time.Second)
			if got := age("new"); got < 0 || got > time.Second+2*listedWithin {
				t.Errorf("an endpoint that started anew is taken to be %v old", got)
			}
		})
	}
}
