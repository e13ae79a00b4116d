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

func TestLasting(t *testing.T) {
	l, e := lasting{}, Endpoint{ID: "maps-0"}
	most := func(want time.Duration) {
		t.Helper()
		if got := l.most(e, time.Minute); got != want {
			t.Errorf("may rest %v, want %v", got, want)
		}
	}
	most(time.Minute)
	l.ended(e, 10*time.Second)
	most(6 * time.Second)
	l.ended(e, 20*time.Second) // tells nothing new
	most(6 * time.Second)
	l.ended(e, 5*time.Second)
	most(3 * time.Second)
	l.served(e, 4*time.Second)
	most(3 * time.Second)
	l.served(e, 5*time.Second) // it was a restart that ended it
	most(time.Minute)
	l.ended(e, 3*time.Minute)
	most(time.Minute)
	for i := range 2 * mostLasting {
		l.ended(Endpoint{ID: fmt.Sprint(i)}, time.Second)
	}
	if len(l) > mostLasting {
		t.Errorf("holds %d endpoints", len(l))
	}
}

// An endpoint that ends a connection as it rests is found out by that. From then on what
// can't be sent again takes none that may be about to end; what can does, and shows
// whether it lasts after all.
func TestOnce(t *testing.T) {
	end := make(chan bool)
	addr := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			if <-end {
				c.Close()
				return
			}
		}
	})
	p, e := newTestPool(4, 0), Endpoint{ID: "maps-0", Addr: addr}
	p.settle = 0
	ask := func(once, dialled bool) {
		t.Helper()
		r := request("1")
		r.NoRetry = once
		if a := do(p, context.Background(), e, r, long); string(a.Body) != "ok" || a.Dialled != dialled {
			t.Errorf("%+v, want dialled %v", a, dialled)
		}
	}
	rested := func(ended bool, d time.Duration) {
		end <- ended
		c := p.idle[e][len(p.idle[e])-1]
		for closed := false; closed != ended; {
			_, closed = peek.Peek(c.TCPConn)
		}
		c.rested = time.Now().Add(-d)
	}
	ask(true, true)
	rested(false, 10*time.Second)
	ask(true, false) // nothing is known against it
	rested(true, 10*time.Second)
	ask(true, true) // found ended
	rested(false, 7*time.Second)
	ask(true, true)
	rested(false, 5*time.Second)
	ask(true, false)
	rested(false, 7*time.Second)
	ask(false, false)
	rested(false, 11*time.Second)
	ask(false, false)
	rested(false, 11*time.Second)
	ask(true, false)
	end <- true
}
