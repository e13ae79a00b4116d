package peek

import (
	"syscall"
	"testing"
)

// A peek that fails for a moment must not count as a client that has disconnected,
// whose request would get no answer.
func TestTransientPeekErrors(t *testing.T) {
	for _, c := range []struct {
		got  int
		err  error
		want bool
	}{
		{0, nil, true}, {1, nil, false}, {-1, syscall.EAGAIN, false}, {-1, syscall.ENOMEM, false}, {-1, syscall.ENOBUFS, false},
		{-1, syscall.ECONNRESET, true}, {-1, syscall.ETIMEDOUT, true}, {-1, syscall.EHOSTUNREACH, true}, {-1, syscall.EPIPE, true},
	} {
		if connEnded(c.got, c.err) != c.want {
			t.Errorf("%d bytes, %v: reported as ended: %t", c.got, c.err, !c.want)
		}
	}
}
