package route

import "flag"

// Fixed seed for reproducible runs; use -rapid.seed=N for another one.
func init() { flag.Set("rapid.seed", "1") }
