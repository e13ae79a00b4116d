package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// open opens a listener, and greets whoever it accepts once greet is called.
func open(t *testing.T) (l *listener, greet func()) {
	t.Helper()
	tcp, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = &listener{TCPListener: tcp, add: newConnTable(1<<16, 1<<16).add}
	var greeting sync.WaitGroup
	t.Cleanup(func() { l.Close(); greeting.Wait() })
	return l, func() {
		greeting.Go(func() {
			for {
				c, err := l.accept()
				if err != nil {
					return
				}
				c.Write([]byte("hello"))
				c.TCPConn.Close()
			}
		})
	}
}

// greeted opens a connection, asks, and reads the greeting.
func greeted(addr string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer c.Close()
	text, err := io.ReadAll(c)
	if err == nil && string(text) != "hello" {
		err = fmt.Errorf("%q in place of a greeting", text)
	}
	return err
}

// Clients stand in the system's queue as the listener is to be closed: each is taken.
func TestFinishEmptiesQueue(t *testing.T) {
	l, greet := open(t)
	const waiting = 50
	var clients sync.WaitGroup
	for range waiting {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		clients.Go(func() {
			defer c.Close()
			if text, err := io.ReadAll(c); err != nil || string(text) != "hello" {
				t.Errorf("%q, %v", text, err)
			}
		})
	}
	greet()
	if err := l.finish(); err != nil {
		t.Error(err)
	}
	clients.Wait()
}

// Clients go on connecting while listeners are closed, one after the other. Each is
// greeted or refused: nobody has a connection that is reset.
func TestFinishUnderClients(t *testing.T) {
	var met, refused atomic.Int64
	for range 20 {
		l, greet := open(t)
		greet()
		enough := make(chan struct{})
		least := met.Load() + 200
		var clients sync.WaitGroup
		for range 16 {
			clients.Go(func() {
				for {
					err := greeted(l.Addr().String())
					if errors.Is(err, syscall.ECONNREFUSED) {
						refused.Add(1)
						return
					}
					if err != nil {
						t.Error(err)
						return
					}
					if met.Add(1) == least {
						close(enough)
					}
				}
			})
		}
		<-enough
		if err := l.finish(); err != nil {
			t.Error(err)
		}
		clients.Wait()
	}
	t.Logf("%d greeted, %d refused", met.Load(), refused.Load())
}

// A connection is accepted as the server stops, and gets to the table of connections only
// when the listener has been closed and nothing else is left: its request is answered.
func TestAcceptedAsTheServerStops(t *testing.T) {
	const longer = 100 * time.Millisecond // than a stop takes when nothing is left
	for name, yielded := range map[string]bool{"nobody takes over": false, "another process has taken over": true} {
		t.Run(name, func(t *testing.T) {
			s := listening(t, Config{}, nil, listenEndpoint(t, echo(func(*http.Request) {})))
			accepted, goOn := make(chan struct{}), make(chan struct{})
			add := s.listener.add
			s.listener.add = func(nc *net.TCPConn) *clientConn {
				close(accepted)
				<-goOn
				return add(nc)
			}
			ctx, stop := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- s.Serve(ctx) }()
			c := dial(t, s)
			io.WriteString(c, tile("accepted"))
			<-accepted
			if yielded {
				s.StopAccepting()
			}
			stop()
			for closed := false; !closed; runtime.Gosched() {
				s.listener.mu.Lock()
				closed = s.listener.closed
				s.listener.mu.Unlock()
			}
			over := false
			select {
			case <-served:
				over = true
				t.Error("the server has ended, and a connection that it accepted is in nobody's hands")
			case <-time.After(longer):
			}
			close(goOn)
			if status, _ := read(t, c); status != 200 {
				t.Errorf("status %d", status)
			}
			if !over {
				if err := <-served; err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// A server that another process has taken over from is told to stop, and that process has just
// ended: who stands in the queue then is answered.
func TestStopAsTheSuccessorEnds(t *testing.T) {
	const clients, closes = 10, 20 * time.Millisecond // closes: in which it would close the listener
	s := listening(t, Config{}, nil, listenEndpoint(t, echo(func(*http.Request) {})))
	s.listener.shared.Store(true)
	s.StopAccepting()
	var queue []net.Conn
	for i := range clients {
		c := dial(t, s)
		io.WriteString(c, tile(fmt.Sprint("queued-", i)))
		queue = append(queue, c)
	}
	stop := serve(s)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	select {
	case <-stopped:
	case <-time.After(closes):
	}
	s.ResumeAccepting()
	for i, c := range queue {
		if status, _ := read(t, c); status != 200 {
			t.Errorf("client %d: status %d", i, status)
		}
	}
	<-stopped
}
