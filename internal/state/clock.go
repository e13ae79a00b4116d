// Package state persists what a sidecar knows, for the process that is started after it
// has ended: the same records that one process hands to another in an upgrade. Package
// state/plan decides which of them are still valid.
package state

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"spokegw/internal/state/plan"
)

// Now returns the current time by all available clocks. If the boot clock is unavailable
// only the wall clock is set.
func Now() plan.Clock {
	c := plan.Clock{Wall: time.Now()}
	var ts unix.Timespec
	if bootID() == "" || unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return c
	}
	c.Boot, c.Since = bootID(), time.Duration(ts.Nano())
	return c
}

// bootID returns the boot id of the machine (proc(5)); "": unavailable.
var bootID = sync.OnceValue(func() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
})
