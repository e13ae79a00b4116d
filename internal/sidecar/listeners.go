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

// http3Front is the index of the HTTP/3 front; that of the HTTP/1.1 front is 0.
const http3Front = 1

// listenHTTP1 opens the clients' address, unless the predecessor process has handed over its
// listener. It has to be the last step of a start that can fail: another process may listen at
// the address too, and from this point some clients connect to this process.
func (s *Sidecar) listenHTTP1() (err error) {
	c := &s.config
	limit, busy := s.clientLimits(s.upgrade.share())
	front := http1.Config{Admission: s.shedder.admission(), Listen: c.Listen, Listener: s.upgrade.listener(), Limit: limit, BusyThreshold: busy}
	if c.Operator != nil {
		front.Pipelining = c.Operator.HTTP1.Pipelining
	}
	if s.front, err = http1.Listen(front, s.core); err != nil {
		if s.membership != nil {
			s.membership.close()
		}
		return err
	}
	if s.http3 != nil {
		s.front.SetAltSvc(s.http3.AltSvc())
	}
	return nil
}

// listenMetrics opens the address for Prometheus; nil if it is disabled.
func (s *Sidecar) listenMetrics() (*metrics.Server, error) {
	if s.config.Operator == nil || s.config.Operator.Metrics == "" {
		return nil, nil
	}
	return metrics.Listen(s.config.Operator.Metrics, s.figures, s.members, s.fleetMetrics)
}

// serveMetrics serves the metrics until ctx ends, once the predecessor process no longer does.
func (s *Sidecar) serveMetrics(ctx context.Context) {
	server := s.metrics
	if server == nil && s.upgrade.predecessor != nil {
		err := s.afterPredecessor(ctx, func() (err error) {
			server, err = s.listenMetrics()
			return err
		})
		if err != nil {
			slog.Error("no metrics: the address is in use", "error", err)
		}
	}
	if server != nil {
		server.Serve(ctx)
	}
}

// addressTimeout is how long an address may remain in use after its process has ended.
const addressTimeout = 2 * time.Second

// afterPredecessor opens an address that is not handed over, once the predecessor process has
// ended. It does nothing if ctx ends before that.
func (s *Sidecar) afterPredecessor(ctx context.Context, open func() error) (err error) {
	select {
	case <-s.upgrade.predecessorEnded:
	case <-ctx.Done():
		return nil
	}
	for deadline := time.Now().Add(addressTimeout); ; {
		if err = open(); err == nil || time.Now().After(deadline) {
			return err
		}
		select {
		case <-time.After(addressTimeout / 40):
		case <-ctx.Done():
			return nil
		}
	}
}

// listenHTTP3 opens the address of the HTTP/3 front; nil if it is disabled.
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

// serveHTTP3 serves HTTP/3, if it is enabled, until ctx ends. Its address can't be handed over:
// the state of its connections is in the memory of the predecessor process, which ends them
// when it stops.
func (s *Sidecar) serveHTTP3(ctx context.Context) error {
	server := s.frontHTTP3()
	if server == nil && s.upgrade.predecessor != nil {
		err := s.afterPredecessor(ctx, func() (err error) {
			server, err = s.listenHTTP3()
			return err
		})
		if err != nil { // HTTP/1.1 is served nevertheless
			slog.Error("no HTTP/3: the address is in use", "error", err)
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

// AddrHTTP3 returns the address of the HTTP/3 listener; nil if it is disabled.
func (s *Sidecar) AddrHTTP3() net.Addr {
	if server := s.frontHTTP3(); server != nil {
		return server.Addr()
	}
	return nil
}
