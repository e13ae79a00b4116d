package quiclb

import "flag"

// A fixed seed makes runs repeatable; -rapid.seed=N selects another.
func init() { flag.Set("rapid.seed", "1") }
