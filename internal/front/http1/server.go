package http1

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"spokegw/internal/core"
	"spokegw/internal/framing"
	"spokegw/internal/front"
)

const (
	// idleTimeout is how long a connection may be idle between requests. Otherwise
	// clients that send one request and keep their connections would fill the table.
	idleTimeout = 5 * time.Second
	// writeTimeout limits writing an answer to a client that does not read.
	writeTimeout = 5 * time.Second
	// acceptAfterStop is how long connections are still accepted after a stop was
	// requested: clients learn of it with a delay.
	acceptAfterStop = 600 * time.Millisecond
	// stallTimeout is how long a stopping server waits for a streamed answer without
	// transfers.
	stallTimeout = 2 * time.Second
	stopPoll     = 10 * time.Millisecond
	// A process whose successor serves is killed no sooner than the longest deadline,
	// of which at most maxDrainWait counts, and 0.7 s after it was asked to stop.
	// handoverMargin is the part of those 0.7 s that passes before idle connections are
	// closed.
	maxDrainWait   = 3 * time.Second
	handoverMargin = 350 * time.Millisecond
)

// Config configures a server.
type Config struct {
	Listen   string
	Listener *net.TCPListener // opened by another process; nil: Listen is opened
	Limit    int              // maximum number of client connections
	// Pipelining allows clients to send a request before the previous one has been
	// answered. Data after a request is then the next request.
	Pipelining    bool
	BusyThreshold int           // how many of those may stay open before others are closed with their first answer
	MaxWait       time.Duration // the longest time that a client waits for an answer
	Admission     Admission     // nil: no request is refused
}

// Server serves requests over HTTP/1.1.
type Server struct {
	core     *core.Core
	handler  *handler
	listener *listener
	server   *http.Server      // for requests that are not plain
	fallback *fallbackListener // passes connections to server
	conns    *connTable
	workers  workers
}

// Listen opens the server's address.
func Listen(c Config, requests *core.Core) (*Server, error) {
	s := &Server{core: requests, handler: &handler{core: requests}, conns: newConnTable(c.Limit, c.BusyThreshold)}
	s.conns.pipelining, s.conns.admission = c.Pipelining, c.Admission
	s.server = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: requestTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      requestTimeout + c.MaxWait + writeTimeout, // measured from the end of the head
		MaxHeaderBytes:    framing.MaxHead,

		DisableGeneralOptionsHandler: true, // it would answer an invalid request with 200

		ConnContext: withConn,
		ConnState:   s.conns.stateChanged,
		ErrorLog:    log.New(panicLogger{}, "", 0),
	}
	l := c.Listener
	if l == nil {
		var err error
		if l, err = listen(c.Listen); err != nil {
			return nil, fmt.Errorf("http1: %w", err)
		}
	}
	s.listener = &listener{TCPListener: l, add: s.conns.add}
	s.listener.shared.Store(c.Listener != nil)
	s.fallback = newFallbackListener(l.Addr())
	return s, nil
}

// listen opens an address such that another process of the same user may open it, too:
// during an upgrade the next process does, if it can't get this listener.
func listen(addr string) (*net.TCPListener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); e != nil {
			return e
		}
		return err
	}}
	l, err := c.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// File is a copy of the listener's descriptor, for a process that takes over.
func (s *Server) File() (*os.File, error) {
	s.listener.shared.Store(true)
	return s.listener.File()
}

// Resize sets how many connections clients may have, and how many of those may stay
// open before others are closed with their first answer.
func (s *Server) Resize(limit, busyThreshold int) { s.conns.resize(limit, busyThreshold) }

// SetDraining sets whether connections close with their next answer, and GET
// /health/ready is answered 503.
func (s *Server) SetDraining(draining bool) {
	s.handler.drained.Store(draining)
	s.conns.setDraining(draining)
}

// SetAltSvc sets the value of Alt-Svc (RFC 7838) in each answer; "": none.
func (s *Server) SetAltSvc(value string) { s.handler.altSvc.Store(&value) }

// StopAccepting leaves new connections to another process that shares the listener, and
// closes existing ones with their next answer.
func (s *Server) StopAccepting() {
	s.listener.pause()
	s.conns.setDraining(true)
}

// ResumeAccepting accepts new connections again, when that process has ended.
func (s *Server) ResumeAccepting() {
	s.conns.setDraining(s.handler.drained.Load())
	s.listener.resume()
}

// panicLogger logs the panics that net/http's server reports. Its other messages
// concern single requests and connections.
type panicLogger struct{}

func (panicLogger) Write(text []byte) (int, error) {
	if len(text) > 10 && string(text[:11]) == "http: panic" {
		slog.Error(string(text))
	}
	return len(text), nil
}

// Addr is the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve serves requests until ctx ends, then completes those it has taken.
func (s *Server) Serve(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.fallback) }()
	defer func() {
		s.fallback.Close()
		s.workers.close()
		<-served
	}()
	accepting := make(chan error, 1)
	go func() { accepting <- s.accept() }()
	select {
	case err := <-accepting:
		return fmt.Errorf("http1: %w", err)
	case <-ctx.Done():
	}
	s.drain(accepting)
	all, busy, _ := s.conns.count(0)
	slog.Info("stopped", "connections", all, "requests", busy)
	return nil
}

// accept serves connections until the listener is closed. When it returns, all accepted
// connections are in the table.
func (s *Server) accept() error {
	for {
		c, err := s.listener.accept()
		if err != nil {
			return err
		}
		go s.serve(c)
	}
}

// Sweep closes, while there are too many connections, those that have been idle for
// long enough. It has to be called periodically.
func (s *Server) Sweep() {
	s.conns.closeExcessIdle()
	if s.listener.isPaused() != nil {
		s.conns.closeIdle(minIdle)
	}
}

// drain stops the server without losing requests. Connections are still accepted for a
// while; each is closed after the answer under way on it, idle ones at once: a request
// that crosses the close is retried on a new connection. Connections that have just
// been opened may first send a request. Stalled peers do not delay the stop.
func (s *Server) drain(accepting <-chan error) {
	stopTime := time.Now()
	if s.listener.isPaused() != nil && s.drainToSuccessor(stopTime, accepting) {
		return
	}
	slog.Info("stopping")
	s.conns.setDraining(true)
	s.conns.closeIdle(0)
	time.Sleep(acceptAfterStop)
	s.listener.closeGracefully()
	<-accepting
	for {
		s.conns.closeIdle(0)
		if s.finished(stopTime) {
			return
		}
		time.Sleep(stopPoll)
	}
}

// successorTimeout limits the wait for a successor that leaves connections in the
// accept queue. The end of the successor is known sooner.
const successorTimeout = 500 * time.Millisecond

// drainToSuccessor stops a server whose successor takes new connections. It reports
// false if the successor has ended, so that new connections are this server's again.
// For that reason the listener stays open to the end, and until its queue is empty:
// closing it without another process would reset the queued connections. There is time
// for this, because clients move to the successor as their connections close with an
// answer; idle connections are closed only after minIdle, or when the time is almost
// up.
func (s *Server) drainToSuccessor(stopTime time.Time, accepting <-chan error) (done bool) {
	slog.Info("stopping; another process has taken over")
	timeout := min(s.core.MaxDeadline(), maxDrainWait) + handoverMargin
	for lastEmpty := stopTime; done || s.listener.isPaused() != nil; time.Sleep(stopPoll) {
		idleFor := minIdle
		if time.Since(stopTime) > timeout {
			idleFor = 0
		}
		s.conns.closeIdle(idleFor)
		if !s.listener.queued() {
			lastEmpty = time.Now()
		} else if time.Since(lastEmpty) < successorTimeout {
			continue
		}
		if !s.finished(stopTime) {
			continue
		}
		if done {
			return true
		}
		s.listener.Close()
		<-accepting // it may be adding one
		done = true
	}
	return false
}

// finished reports whether nothing is left that is worth waiting for.
func (s *Server) finished(stopTime time.Time) bool {
	total, _, active := s.conns.count(front.Now() - stallTimeout)
	overdue := time.Since(stopTime) > acceptAfterStop+s.core.MaxDeadline()
	if total > 0 && (!overdue || active > 0) {
		return false
	}
	return true
}
