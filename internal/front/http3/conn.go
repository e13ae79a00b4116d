package http3

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"spokegw/internal/front"
)

// conn is what is known of a client's connection beside what QUIC knows.
type conn struct {
	quic     *quic.Conn
	requests atomic.Int64 // that the handler has
	served   atomic.Int64 // as front.Now, when one was last answered, or the connection made

	mu     sync.Mutex
	resets bucket
}

func newConn(qc *quic.Conn, resets float64, now time.Time) *conn {
	c := &conn{quic: qc, resets: bucket{rate: resets, left: resets, at: now}}
	c.served.Store(int64(front.Now()))
	return c
}

// heldFor is how long the connection has been open with nothing to show for it.
func (c *conn) heldFor() time.Duration {
	if c.requests.Load() > 0 {
		return 0
	}
	return front.Now() - time.Duration(c.served.Load())
}

// cancelled counts a request that its client gave up. It reports whether there
// are more of those than may be: each costs an attempt on an endpoint, and the
// limit on open streams does not hold them (CVE-2023-44487). It does harm to a
// client that has reason to cancel much, such as a map that is being dragged:
// its connection is closed and made again.
func (c *conn) cancelled(now time.Time) (tooMany bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.resets.take(now)
}

// bucket holds a second's worth of a rate.
type bucket struct {
	rate, left float64
	at         time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.left = min(b.left+b.rate*now.Sub(b.at).Seconds(), b.rate)
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, qc *quic.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, qc)
}
