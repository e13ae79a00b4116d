package http3

// What tests change or look at.
var (
	ConnPatience = &connPatience
	SweepPeriod  = &sweepPeriod
	NewRoutedIDs = newRoutedIDs
)
