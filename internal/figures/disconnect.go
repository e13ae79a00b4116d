package figures

// Disconnect is the evidence by which a request ended without an answer.
type Disconnect uint8

// The kinds of evidence. All but Unconfirmed are from the client's own socket or stream.
const (
	ConnectionEnded   Disconnect = iota // reading its connection ended, and the socket has ended
	StreamCancelled                     // it cancelled the stream of its request, or closed the connection under it
	SeenBeforeAttempt                   // its socket was found ended when an attempt was about to begin
	Evicted                             // its connection was closed to make room before the request was complete
	Unconfirmed                         // reading failed, and the socket is open: the request goes on
	NumDisconnects
)

var disconnectNames = [NumDisconnects]string{"connection ended", "stream cancelled", "seen before an attempt", "evicted", "unconfirmed"}

// String returns the name of the evidence, as used in logs and metrics.
func (d Disconnect) String() string { return disconnectNames[min(d, NumDisconnects-1)] }
