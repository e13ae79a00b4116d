package budget

import "flag"

// A fixed seed makes the result reproducible; use -rapid.seed=N for other sequences.
func init() { flag.Set("rapid.seed", "1") }
