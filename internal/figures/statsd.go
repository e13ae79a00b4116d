package figures

import (
	"fmt"
	"strings"
	"time"
)

// Members counts the listed endpoints.
type Members struct {
	Listed      int
	Unavailable int // of them, those that are avoided now
	Lists       []List
}

// List describes how current the endpoint list of a service is.
type List struct {
	Service                string        // "": the only one
	Age                    time.Duration // since the list was last known to be current
	Answered, Failed, Late uint64        // calls to the service's registry
}

// sanitize replaces characters that are special in a statsd line.
func sanitize(r rune) rune {
	if r <= ' ' || r == 0x7f || strings.ContainsRune(":|@#", r) {
		return '_'
	}
	return r
}

// Report formats the counters as statsd lines (name:value|type, c for a counter, g for a gauge).
func (f *Figures) Report(m Members) string {
	var b strings.Builder
	pending := uint64(0)
	for _, c := range f.Classes() {
		name := strings.Map(sanitize, c.Name)
		for o := range Abandoned {
			fmt.Fprintf(&b, "node.downstream_requests.%s.%s:%d|c\n", name, o, c.Ended[o])
		}
		pending += c.Pending()
	}
	fmt.Fprintf(&b, "node.upstream_requests:%d|c\n", f.Attempts.Load())
	fmt.Fprintf(&b, "node.pending:%d|g\n", pending)
	fmt.Fprintf(&b, "node.members:%d|g\n", m.Listed)
	fmt.Fprintf(&b, "node.members_unavailable:%d|g\n", m.Unavailable)
	fmt.Fprintf(&b, "node.config_reloads:%d|c\n", f.Reloads.Load())
	fmt.Fprintf(&b, "node.config_reload_errors:%d|c\n", f.ReloadErrors.Load())
	return b.String()
}
