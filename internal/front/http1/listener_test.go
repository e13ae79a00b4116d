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

// open opens a listener, which accepts and greets clients once greet is called.
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

// greeted opens a connection and reads the greeting.
func greeted(addr string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer c.Close()
	text, err := io.ReadAll(c)
	if err == nil && string(text) != "hello" {
		err = fmt.Errorf("read %q instead of the greeting", text)
	}
	return err
}

// Clients in the accept queue when the listener is to be closed are all accepted.
func TestCloseEmptiesAcceptQueue(t *testing.T) {
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
	if err := l.closeGracefully(time.Now().Add(waitTimeout)); err != nil {
		t.Error(err)
	}
	clients.Wait()
}

// Clients continue to connect while several listeners are closed in turn. Each is
// greeted or refused: no connection is reset.
func TestCloseUnderLoad(t *testing.T) {
	var greetedCount, refused atomic.Int64
	for range 20 {
		l, greet := open(t)
		greet()
		enough := make(chan struct{})
		target := greetedCount.Load() + 200
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
					if greetedCount.Add(1) == target {
						close(enough)
					}
				}
			})
		}
		<-enough
		if err := l.closeGracefully(time.Now().Add(waitTimeout)); err != nil {
			t.Error(err)
		}
		clients.Wait()
	}
	t.Logf("%d greeted, %d refused", greetedCount.Load(), refused.Load())
}

// A connection is accepted when the server stops, and is added to the connection table
// only after the listener has been closed and no other connection is left: its request
// is answered.
func TestAcceptDuringStop(t *testing.T) {
	const longer = 100 * time.Millisecond // than a stop takes when nothing is left
	for name, yielded := range map[string]bool{"nobody takes over": false, "another process has taken over": true} {
		t.Run(name, func(t *testing.T) {
			s := listening(t, Config{}, nil, listenEndpoint(t, echo(func(*http.Request) {})))
			accepted, proceed := make(chan struct{}), make(chan struct{})
			add := s.listener.add
			s.listener.add = func(nc *net.TCPConn) *clientConn {
				close(accepted)
				<-proceed
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
			ended := false
			select {
			case <-served:
				ended = true
				t.Error("the server has ended although a connection that it accepted is not served")
			case <-time.After(longer):
			}
			close(proceed)
			if status, _ := read(t, c); status != 200 {
				t.Errorf("status %d", status)
			}
			if !ended {
				if err := <-served; err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// A server whose successor has taken over is told to stop, and the successor has just
// ended: clients in the accept queue are answered.
func TestStopWhenSuccessorEnds(t *testing.T) {
	const clients, closes = 10, 20 * time.Millisecond // closes: the time within which it would close the listener
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
