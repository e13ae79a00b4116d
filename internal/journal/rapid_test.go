package journal

import "flag"

// A fixed seed makes runs reproducible; -rapid.seed=N overrides it.
func init() { flag.Set("rapid.seed", "1") }
