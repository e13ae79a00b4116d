package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"spokegw/internal/peek"
)

func TestIdleLimits(t *testing.T) {
	l, e := idleLimits{}, Endpoint{ID: "maps-0"}
	expectLimit := func(want time.Duration) {
		t.Helper()
		if got := l.limit(e, time.Minute); got != want {
			t.Errorf("limit %v, want %v", got, want)
		}
	}
	expectLimit(time.Minute)
	l.recordClosed(e, 10*time.Second)
	expectLimit(6 * time.Second)
	l.recordClosed(e, 20*time.Second) // no new information
	expectLimit(6 * time.Second)
	l.recordClosed(e, 5*time.Second)
	expectLimit(3 * time.Second)
	l.recordReused(e, 4*time.Second)
	expectLimit(3 * time.Second)
	l.recordReused(e, 5*time.Second) // it was closed by a restart
	expectLimit(time.Minute)
	l.recordClosed(e, 3*time.Minute)
	expectLimit(time.Minute)
	for i := range 2 * maxIdleLimits {
		l.recordClosed(Endpoint{ID: fmt.Sprint(i)}, time.Second)
	}
	if len(l) > maxIdleLimits {
		t.Errorf("%d endpoints are stored", len(l))
	}
}

// An endpoint that closes idle connections gets a limit. From then on requests that can't be
// retried avoid connections that may be about to close; others still use them, which shows
// whether the limit holds.
func TestNoRetryAvoidsExpiringConnections(t *testing.T) {
	peerCloses := make(chan bool)
	addr := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			if <-peerCloses {
				c.Close()
				return
			}
		}
	})
	p, e := newTestPool(4, 0), Endpoint{ID: "maps-0", Addr: addr}
	p.reuseDelay = 0
	send := func(noRetry, dialled bool) {
		t.Helper()
		r := request("1")
		r.NoRetry = noRetry
		if a := do(p, context.Background(), e, r, longTimeout); string(a.Body) != "ok" || a.Dialled != dialled {
			t.Errorf("%+v, want dialled %v", a, dialled)
		}
	}
	setIdle := func(closes bool, d time.Duration) {
		peerCloses <- closes
		c := p.idle[e][len(p.idle[e])-1]
		for closed := false; closed != closes; {
			_, closed = peek.Peek(c.TCPConn)
		}
		c.idleSince = time.Now().Add(-d)
	}
	send(true, true)
	setIdle(false, 10*time.Second)
	send(true, false) // no limit is known
	setIdle(true, 10*time.Second)
	send(true, true) // found closed
	setIdle(false, 7*time.Second)
	send(true, true)
	setIdle(false, 5*time.Second)
	send(true, false)
	setIdle(false, 7*time.Second)
	send(false, false)
	setIdle(false, 11*time.Second)
	send(false, false)
	setIdle(false, 11*time.Second)
	send(true, false)
	peerCloses <- true
}
