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
	"spokegw/internal/shutdown"
)

const (
	// idleTimeout is how long a connection may be idle between requests. Otherwise
	// clients that send one request and keep their connections would fill the table.
	idleTimeout = 5 * time.Second
	// writeTimeout limits writing an answer, or a piece of a streamed one, to a client
	// that does not read.
	writeTimeout = front.WriteTimeout
	stopPoll     = 10 * time.Millisecond
	// cutTimeout is how long a stopping server waits for long answers that it has cut off.
	cutTimeout = 30 * time.Millisecond
)

// Config configures a server.
type Config struct {
	Listen   string
	Listener *net.TCPListener // opened by another process; nil: Listen is opened
	Limit    int              // maximum number of client connections
	// Pipelining allows clients to send a request before the previous one has been
	// answered. Data after a request is then the next request.
	Pipelining    bool
	BusyThreshold int       // how many of those may stay open before others are closed with their first answer
	Admission     Admission // nil: no request is refused
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
	s.conns.pipelining, s.conns.admission, s.conns.recordIncompleteHead = c.Pipelining, c.Admission, requests.RecordIncompleteHead
	s.server = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: requestTimeout,
		IdleTimeout:       idleTimeout,
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
	s.drain(s.core.BeginStop(shutdown.RequestedAt(ctx)), accepting)
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
