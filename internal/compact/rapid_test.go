package compact

import "flag"

// Fixed seed for reproducible results; others can be tried with -rapid.seed=N.
func init() { flag.Set("rapid.seed", "1") }
