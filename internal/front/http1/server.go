package http1

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"time"

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
)

// Config is what a server is made of.
type Config struct {
	Listen  string
	Limit   int           // connections that clients may hold
	Crowd   int           // of those, how many may stay before others are asked to leave with their first answer
	Longest time.Duration // the longest that a client may ever wait for an answer
	AltSvc  string        // value of Alt-Svc with each answer (RFC 7838); "": none
}

// Server takes requests by HTTP/1.1.
type Server struct {
	core     *core.Core
	listener *listener
	server   *http.Server
	conns    *connTable
}

// Listen opens the server's address.
func Listen(c Config, requests *core.Core) (*Server, error) {
	s := &Server{core: requests, conns: newConnTable(c.Limit, c.Crowd)}
	s.server = &http.Server{
		Handler:           &handler{requests, c.AltSvc},
		ReadHeaderTimeout: requestPatience,
		IdleTimeout:       restPatience,
		WriteTimeout:      requestPatience + c.Longest + writePatience, // from the end of the head
		MaxHeaderBytes:    framing.MaxHead,

		DisableGeneralOptionsHandler: true, // it would answer a request that is none of ours with 200

		ConnContext: withConn,
		ConnState:   s.conns.state,
		ErrorLog:    log.New(panicsOnly{}, "", 0),
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("http1: %w", err)
	}
	s.listener = &listener{l.(*net.TCPListener), s.conns}
	return s, nil
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
	go func() { served <- s.server.Serve(s.listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("http1: %w", err)
	case <-ctx.Done():
	}
	s.drain()
	return nil
}

// Sweep closes, in a crowd, the connections that have rested for as long as
// they may. It is to be called now and then.
func (s *Server) Sweep() { s.conns.thin() }

// drain ends the server with nothing lost. Connections are still accepted for a
// while; each is closed after the answer that is under way on it, idle ones at
// once: a request that crosses that is sent again on a new one. Peers that have
// stalled do not hold it.
func (s *Server) drain() {
	asked := time.Now()
	slog.Info("stopping")
	s.server.SetKeepAlivesEnabled(false)
	time.Sleep(acceptAfterStop)
	s.listener.Close()
	for {
		s.conns.closeSilent()
		all, busy, moving := s.conns.count(front.Now() - stillMoving)
		late := time.Since(asked) > acceptAfterStop+s.core.Deadline()
		if all == 0 || late && moving == 0 {
			slog.Info("stopped", "connections", all, "requests", busy)
			return
		}
		time.Sleep(stopPoll)
	}
}
