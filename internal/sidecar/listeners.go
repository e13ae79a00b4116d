package sidecar

import (
	"context"
	"log/slog"
	"net"
	"time"

	"spokegw/internal/front/http1"
	"spokegw/internal/front/http3"
	"spokegw/internal/metrics"
)

// http3Front is the number of the front for HTTP/3; that for HTTP/1.1 is 0.
const http3Front = 1

// listenHTTP1 opens the address that clients come to, where the process before this one has
// not handed it over. It is the last that may fail: another process may have the address
// open too, and of clients some come to this one from then on.
func (s *Sidecar) listenHTTP1(longest time.Duration) (err error) {
	c := &s.config
	limit, crowd := s.places(s.upgrade.part())
	front := http1.Config{Admission: s.brake.door(), Listen: c.Listen, Listener: s.upgrade.listener(), Limit: limit, BusyThreshold: crowd, MaxWait: longest}
	if c.Operator != nil {
		front.Pipelining = c.Operator.HTTP1.Pipelining
	}
	if s.front, err = http1.Listen(front, s.core); err != nil {
		if s.shared != nil {
			s.shared.close()
		}
		return err
	}
	if s.http3 != nil {
		s.front.SetAltSvc(s.http3.AltSvc())
	}
	return nil
}

// listenMetrics opens the address that tells the figures to Prometheus; nil where
// it is off.
func (s *Sidecar) listenMetrics() (*metrics.Server, error) {
	if s.config.Operator == nil || s.config.Operator.Metrics == "" {
		return nil, nil
	}
	return metrics.Listen(s.config.Operator.Metrics, s.figures, s.members, s.fleetNow)
}

// serveMetrics tells the figures until ctx ends, once the process before this
// one no longer does.
func (s *Sidecar) serveMetrics(ctx context.Context) {
	server := s.metrics
	if server == nil && s.upgrade.predecessor != nil {
		err := s.afterPredecessor(ctx, func() (err error) {
			server, err = s.listenMetrics()
			return err
		})
		if err != nil {
			slog.Error("no metrics: their address is not free", "error", err)
		}
	}
	if server != nil {
		server.Serve(ctx)
	}
}

// addressPatience is how long an address may stay in use by a process that has
// ended.
const addressPatience = 2 * time.Second

// afterPredecessor opens an address that is not handed over, when the process
// before this one has ended. If ctx ends before that it does nothing.
func (s *Sidecar) afterPredecessor(ctx context.Context, open func() error) (err error) {
	select {
	case <-s.upgrade.ended:
	case <-ctx.Done():
		return nil
	}
	for until := time.Now().Add(addressPatience); ; {
		if err = open(); err == nil || time.Now().After(until) {
			return err
		}
		select {
		case <-time.After(addressPatience / 40):
		case <-ctx.Done():
			return nil
		}
	}
}

// listenHTTP3 opens the address of the front for HTTP/3; nil where it is off.
func (s *Sidecar) listenHTTP3() (*http3.Server, error) {
	if s.config.Operator == nil || s.config.Operator.HTTP3 == nil {
		return nil, nil
	}
	h := s.config.Operator.HTTP3
	var routing *http3.Routing
	if r := h.Routing; r != nil {
		routing = &http3.Routing{Config: r.Config, Server: r.Server, Nonce: r.Nonce, Key: r.Key}
	}
	return http3.Listen(http3.Config{
		Listen: h.Listen, Certificate: h.Certificate, Key: h.Key, Connections: h.Connections, Streams: h.Streams,
		StreamWindow: h.StreamWindow, ConnectionWindow: h.ConnectionWindow, MaxHead: h.MaxHead,
		Front: http3Front, Handshake: h.Handshake, Idle: h.Idle, MaxResetRate: h.Resets, MaxUnvalidated: h.Unvalidated, Routing: routing, Secret: s.config.Name,
	}, s.core)
}

// serveHTTP3 serves HTTP/3, where it is on, until ctx ends. Its address can't be
// handed over: the connections are in the memory of the process before this one,
// which ends them as it stops.
func (s *Sidecar) serveHTTP3(ctx context.Context) error {
	server := s.frontHTTP3()
	if server == nil && s.upgrade.predecessor != nil {
		err := s.afterPredecessor(ctx, func() (err error) {
			server, err = s.listenHTTP3()
			return err
		})
		if err != nil { // HTTP/1.1 is served all the same
			slog.Error("no HTTP/3: its address is not free", "error", err)
			return nil
		}
		s.mu.Lock()
		s.http3 = server
		s.mu.Unlock()
	}
	if server == nil {
		return nil
	}
	s.front.SetAltSvc(server.AltSvc())
	return server.Serve(ctx)
}

func (s *Sidecar) frontHTTP3() *http3.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http3
}

// AddrHTTP3 is where the sidecar listens for HTTP/3; nil: it does not.
func (s *Sidecar) AddrHTTP3() net.Addr {
	if server := s.frontHTTP3(); server != nil {
		return server.Addr()
	}
	return nil
}
