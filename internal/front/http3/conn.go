package http3

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"spokegw/internal/front"
)

// conn is the state of a client's connection beyond what QUIC keeps.
type conn struct {
	quic       *quic.Conn
	requests   atomic.Int64 // in the handler
	lastServed atomic.Int64 // as front.Now, when a request was last answered, or the connection was made

	mu           sync.Mutex
	cancelBudget tokenBucket
}

func newConn(qc *quic.Conn, cancelRate float64, now time.Time) *conn {
	c := &conn{quic: qc, cancelBudget: tokenBucket{rate: cancelRate, tokens: cancelRate, updated: now}}
	c.lastServed.Store(int64(front.Now()))
	return c
}

// unusedFor is how long the connection has been open without serving a request.
func (c *conn) unusedFor() time.Duration {
	if c.requests.Load() > 0 {
		return 0
	}
	return front.Now() - time.Duration(c.lastServed.Load())
}

// countCancel counts a request that its client cancelled, and reports whether there are
// too many of those: each costs an attempt on an endpoint, and the limit on open
// streams does not cover them (CVE-2023-44487). This hurts clients with a reason to
// cancel many requests, such as a map that is being dragged: their connection is
// closed, and they open a new one.
func (c *conn) countCancel(now time.Time) (tooMany bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.cancelBudget.take(now)
}

// tokenBucket is a token bucket with a burst of one second of its rate.
type tokenBucket struct {
	rate, tokens float64
	updated      time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	b.tokens = min(b.tokens+b.rate*now.Sub(b.updated).Seconds(), b.rate)
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, qc *quic.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, qc)
}
