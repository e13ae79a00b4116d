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
	// restPatience is how long a connection may rest between requests. Clients
	// that ask once and keep theirs would fill the table otherwise.
	restPatience = 5 * time.Second
	// writePatience is for writing an answer to a client that does not read.
	writePatience = 5 * time.Second
	// acceptAfterStop is how long connections are still accepted after a stop
	// was asked for: clients learn of it late.
	acceptAfterStop = 600 * time.Millisecond
	// stillMoving is how long a stopping server waits for a long answer of
	// which nothing moves.
	stillMoving = 2 * time.Second
	stopPoll    = 10 * time.Millisecond
	// A process whose successor serves is killed no sooner than the longest
	// deadline, of which so much counts, and 0.7 s after it was asked to stop.
	longestWait = 3 * time.Second
	yieldMargin = 350 * time.Millisecond
)

// Config is what a server is made of.
type Config struct {
	Listen   string
	Listener *net.TCPListener // that another process has opened; nil: Listen is opened
	Limit    int              // connections that clients may hold
	// Pipelining lets clients send a request before the one ahead of it has been
	// answered. What is behind a request then is taken for the next one.
	Pipelining    bool
	BusyThreshold int           // of those, how many may stay before others are asked to leave with their first answer
	MaxWait       time.Duration // the longest that a client may ever wait for an answer
	Admission     Admission     // nil: all are read
}

// Server takes requests by HTTP/1.1.
type Server struct {
	core     *core.Core
	handler  *handler
	listener *listener
	server   *http.Server // of what is not plain
	rest     *rest        // hands it connections
	conns    *connTable
	workers  workers
}

// Listen opens the server's address.
func Listen(c Config, requests *core.Core) (*Server, error) {
	s := &Server{core: requests, handler: &handler{core: requests}, conns: newConnTable(c.Limit, c.BusyThreshold)}
	s.conns.pipelining, s.conns.door = c.Pipelining, c.Admission
	s.server = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: requestPatience,
		IdleTimeout:       restPatience,
		WriteTimeout:      requestPatience + c.MaxWait + writePatience, // from the end of the head
		MaxHeaderBytes:    framing.MaxHead,

		DisableGeneralOptionsHandler: true, // it would answer a request that is none of ours with 200

		ConnContext: withConn,
		ConnState:   s.conns.state,
		ErrorLog:    log.New(panicsOnly{}, "", 0),
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
	s.rest = newRest(l.Addr())
	return s, nil
}

// listen opens an address so that another process of the same user may open it
// too: in an upgrade the next one does, where it can't have this listener.
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

// File is a copy of the listener's descriptor, for a process that takes this
// one's place.
func (s *Server) File() (*os.File, error) {
	s.listener.shared.Store(true)
	return s.listener.File()
}

// Resize sets how many connections clients may hold, and how many of those may
// stay before others are asked to leave with their first answer.
func (s *Server) Resize(limit, crowd int) { s.conns.resize(limit, crowd) }

// SetDraining sets whether clients are asked to leave with their next answer, and
// GET /health/ready is answered 503.
func (s *Server) SetDraining(leave bool) {
	s.handler.drained.Store(leave)
	s.conns.setLeave(leave)
}

// SetAltSvc sets the value of Alt-Svc (RFC 7838) with each answer; "": none.
func (s *Server) SetAltSvc(value string) { s.handler.altSvc.Store(&value) }

// StopAccepting leaves new connections to another process that has the same listener,
// and asks clients to leave with their next answer.
func (s *Server) StopAccepting() {
	s.listener.pause()
	s.conns.setLeave(true)
}

// ResumeAccepting takes new connections again: that process has ended.
func (s *Server) ResumeAccepting() {
	s.conns.setLeave(s.handler.drained.Load())
	s.listener.resume()
}

// panicsOnly logs what the server says of panics. The rest is of single
// requests and connections.
type panicsOnly struct{}

func (panicsOnly) Write(text []byte) (int, error) {
	if len(text) > 10 && string(text[:11]) == "http: panic" {
		slog.Error(string(text))
	}
	return len(text), nil
}

// Addr is where the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve takes requests until ctx ends, then finishes what it has taken.
func (s *Server) Serve(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.rest) }()
	defer func() {
		s.rest.Close()
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

// accept serves connections until the listener is closed. When it ends, all that it has
// accepted are in the table.
func (s *Server) accept() error {
	for {
		c, err := s.listener.accept()
		if err != nil {
			return err
		}
		go s.serve(c)
	}
}

// Sweep closes, in a crowd, the connections that have rested for as long as
// they may. It is to be called now and then.
func (s *Server) Sweep() {
	s.conns.thin()
	if s.listener.isPaused() != nil {
		s.conns.endRested(mayRest)
	}
}

// drain ends the server with nothing lost. Connections are still accepted for a
// while; each is closed after the answer that is under way on it, idle ones at
// once: a request that crosses that is sent again on a new one. Those that have
// just been opened may say something first. Peers that have stalled do not hold it.
func (s *Server) drain(accepting <-chan error) {
	asked := time.Now()
	if s.listener.isPaused() != nil && s.drainYielded(asked, accepting) {
		return
	}
	slog.Info("stopping")
	s.conns.setLeave(true)
	s.conns.endRested(0)
	time.Sleep(acceptAfterStop)
	s.listener.finish()
	<-accepting
	for {
		s.conns.endRested(0)
		if s.finished(asked) {
			return
		}
		time.Sleep(stopPoll)
	}
}

// takenWithin bounds how long a successor is waited for that leaves connections in the queue.
// That it has ended is known sooner.
const takenWithin = 500 * time.Millisecond

// drainYielded ends a server whose successor takes what is new; it reports false where that
// one has ended, and what is new is this server's again. So the listener stays open up to the
// end, and until its queue is empty: without another process its close resets who stands there.
// There is time:
// clients come to the successor by themselves as their connections end with an
// answer, so those that rest are closed only when they have rested for as long
// as they may, or the end is near.
func (s *Server) drainYielded(asked time.Time, accepting <-chan error) (done bool) {
	slog.Info("stopping; another process has taken over")
	patience := min(s.core.MaxDeadline(), longestWait) + yieldMargin
	for empty := asked; done || s.listener.isPaused() != nil; time.Sleep(stopPoll) {
		rested := mayRest
		if time.Since(asked) > patience {
			rested = 0
		}
		s.conns.endRested(rested)
		if !s.listener.queued() {
			empty = time.Now()
		} else if time.Since(empty) < takenWithin {
			continue
		}
		if !s.finished(asked) {
			continue
		}
		if done {
			return true
		}
		s.listener.Close()
		<-accepting // which may have had one in its hands
		done = true
	}
	return false
}

// finished reports whether nothing is left that is worth waiting for.
func (s *Server) finished(asked time.Time) bool {
	all, _, moving := s.conns.count(front.Now() - stillMoving)
	late := time.Since(asked) > acceptAfterStop+s.core.MaxDeadline()
	if all > 0 && (!late || moving > 0) {
		return false
	}
	return true
}
