package figures

// Rejection is why a file was rejected at SIGHUP.
type Rejection uint8

// The reasons.
const (
	Unreadable Rejection = iota // it can't be read from the disk
	Malformed                   // it is empty, cut off, or not JSON
	Incomplete                  // it is short of keys
	Invalid                     // a value is not allowed, or does not go with the other file
	NumRejections
)

var rejectionNames = [NumRejections]string{"unreadable", "malformed", "incomplete", "invalid"}

// String returns the name of the reason, as used in logs and metrics.
func (r Rejection) String() string { return rejectionNames[min(r, NumRejections-1)] }
