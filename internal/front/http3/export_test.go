package http3

// Internals that tests change or inspect.
var (
	MaxUnusedTime = &maxUnusedTime
	SweepPeriod   = &sweepPeriod
	NewRoutedIDs  = newRoutedIDs
)
