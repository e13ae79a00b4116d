// Package http3 is the HTTP/3 front end (RFC 9114, over QUIC, RFC 9000): it limits
// clients' connections and streams, and translates between them and the core. It makes
// no decisions about requests. quic-go's http3 checks that messages are well-formed;
// docs/design/http3.md states what is relied on and what is added.
package http3

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"spokegw/internal/core"
	"spokegw/internal/shutdown"
)

// Config configures a server. All limits are positive.
type Config struct {
	Listen           string // UDP address
	Certificate, Key string // file paths, read at the start and by ReloadCertificate
	Connections      int    // maximum number of connections, including those in the handshake
	Streams          int    // maximum number of open requests per connection
	StreamWindow     int64  // stream flow-control window in bytes
	ConnectionWindow int64  // connection flow-control window in bytes
	MaxHead          int    // bytes of a request's fields, plus 32 for each field (RFC 9114 section 4.2.2)
	Handshake        time.Duration
	Idle             time.Duration
	MaxResetRate     float64  // requests per second that a client may cancel on a connection, sustained
	MaxUnvalidated   int      // number of handshakes under way from which on addresses are validated first
	Front            int      // the front end's number in the core
	Routing          *Routing // nil: connection IDs are random
	Secret           string   // with the content of Key, the input from which the keys of stateless resets and address tokens are derived
}

// Server serves requests over HTTP/3.
type Server struct {
	config    Config
	core      *core.Core
	udp       *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	server    *http3.Server
	cert      atomic.Pointer[tls.Certificate]

	maxUnused, sweepPeriod time.Duration // of sweep

	receiving   context.Context // ends when the rest of a request is no longer waited for
	answersOver context.CancelFunc

	accepting         chan error   // receives the error that ends accept
	open, handshaking atomic.Int64 // connections, and those of them in the handshake
	connections       sync.WaitGroup

	mu    sync.Mutex
	conns map[*quic.Conn]*conn
}

const (
	// requestTimeout limits the arrival of a complete request, from its fields on.
	requestTimeout = 2500 * time.Millisecond
	// drainGrace is how long a stopping server waits for clients to act on GOAWAY, once
	// all their requests have been answered.
	drainGrace = 500 * time.Millisecond
	stopPoll   = 10 * time.Millisecond
	udpBuffer  = 1 << 20 // receive buffer in bytes, requested from the system
)

// Variables for the tests; Listen copies them.
var (
	// maxUnusedTime is how long a connection with traffic may stay open at least
	// without serving a request, since the last one or since it was made: a client that
	// sends fields very slowly keeps its connection from becoming idle.
	maxUnusedTime = 10 * time.Second
	sweepPeriod   = time.Second
)

// Listen opens the server's address.
func Listen(c Config, requests *core.Core) (*Server, error) {
	s := &Server{config: c, core: requests, conns: map[*quic.Conn]*conn{}, accepting: make(chan error, 1), maxUnused: maxUnusedTime, sweepPeriod: sweepPeriod}
	s.receiving, s.answersOver = context.WithCancel(context.Background())
	if err := s.ReloadCertificate(); err != nil {
		return nil, err
	}
	key, err := os.ReadFile(c.Key)
	if err != nil {
		return nil, fmt.Errorf("http3: %w", err)
	}
	s.config.Secret += string(key) // a restarted process has the same key, and nobody else has it
	addr, err := net.ResolveUDPAddr("udp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("http3: %w", err)
	}
	if s.udp, err = net.ListenUDP("udp", addr); err != nil {
		return nil, fmt.Errorf("http3: %w", err)
	}
	s.udp.SetReadBuffer(udpBuffer) // the system may grant less
	if s.transport, err = s.newTransport(); err != nil {
		s.udp.Close()
		return nil, err
	}
	if s.listener, err = s.transport.Listen(s.tls(), s.quic()); err != nil {
		s.udp.Close()
		return nil, fmt.Errorf("http3: %w", err)
	}
	s.server = &http3.Server{Handler: &handler{s}, MaxHeaderBytes: c.MaxHead, IdleTimeout: c.Idle, ConnContext: withConn, Logger: slog.New(slog.DiscardHandler)}
	return s, nil
}

func (s *Server) newTransport() (*quic.Transport, error) {
	reset := quic.StatelessResetKey(sha256.Sum256([]byte("spokegw stateless reset\x00" + s.config.Secret)))
	token := quic.TokenGeneratorKey(sha256.Sum256([]byte("spokegw address token\x00" + s.config.Secret)))
	t := &quic.Transport{
		Conn: s.udp, ConnectionIDLength: 8, StatelessResetKey: &reset, TokenGeneratorKey: &token, MaxTokenAge: time.Hour,
		VerifySourceAddress: func(net.Addr) bool { return s.handshaking.Load() >= int64(s.config.MaxUnvalidated) },
		ConnContext:         s.admit,
	}
	if s.config.Routing != nil {
		ids, err := newRoutedIDs(s.config.Routing)
		if err != nil {
			return nil, fmt.Errorf("http3: routing: %w", err)
		}
		t.ConnectionIDGenerator = ids
	}
	return t, nil
}

func (s *Server) tls() *tls.Config {
	return http3.ConfigureTLSConfig(&tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.cert.Load(), nil },
	})
}

func (s *Server) quic() *quic.Config {
	c := &s.config
	return &quic.Config{
		HandshakeIdleTimeout: c.Handshake, MaxIdleTimeout: c.Idle,
		InitialStreamReceiveWindow: uint64(c.StreamWindow), MaxStreamReceiveWindow: uint64(c.StreamWindow),
		InitialConnectionReceiveWindow: uint64(c.ConnectionWindow), MaxConnectionReceiveWindow: uint64(c.ConnectionWindow),
		MaxIncomingStreams: int64(c.Streams), MaxIncomingUniStreams: 3, // control and two QPACK streams (RFC 9114 section 6.2)
		Allow0RTT: false,
	}
}

// ReloadCertificate rereads certificate and key. Open connections continue with the old
// ones. On an error nothing changes.
func (s *Server) ReloadCertificate() error {
	cert, err := tls.LoadX509KeyPair(s.config.Certificate, s.config.Key)
	if err != nil {
		return fmt.Errorf("http3: certificate %s with key %s: %w", s.config.Certificate, s.config.Key, err)
	}
	s.cert.Store(&cert)
	return nil
}

// Addr is the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.udp.LocalAddr() }

// OpenConnections is the number of connections, including those in the handshake.
func (s *Server) OpenConnections() int { return int(s.open.Load()) }

var errTooManyConns = errors.New("connection limit reached")

// admit counts a connection from its first datagram to its end.
func (s *Server) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if s.open.Add(1) > int64(s.config.Connections) {
		s.open.Add(-1)
		return nil, errTooManyConns
	}
	s.handshaking.Add(1)
	var once sync.Once
	done := func() { once.Do(func() { s.handshaking.Add(-1) }) }
	context.AfterFunc(ctx, func() {
		done()
		s.open.Add(-1)
	})
	return context.WithValue(ctx, handshakeDoneKey{}, done), nil
}

// handshakeDoneKey is the context key of the function to call when a connection's
// handshake is complete.
type handshakeDoneKey struct{}

// Serve serves requests until ctx ends, then completes those it has taken.
func (s *Server) Serve(ctx context.Context) error {
	sweeping, stop := context.WithCancel(context.Background())
	defer stop()
	go s.sweep(sweeping)
	go func() { s.accepting <- s.accept(sweeping) }()
	select {
	case err := <-s.accepting:
		s.accepting <- err
		s.close()
		return fmt.Errorf("http3: %w", err)
	case <-ctx.Done():
	}
	s.drain(s.core.BeginStop(shutdown.RequestedAt(ctx)))
	return nil
}

func (s *Server) accept(ctx context.Context) error {
	for {
		qc, err := s.listener.Accept(ctx)
		if err != nil {
			return err
		}
		if done, ok := qc.Context().Value(handshakeDoneKey{}).(func()); ok {
			done()
		}
		s.add(qc)
		s.connections.Go(func() {
			defer s.remove(qc)
			defer qc.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "") // for one that is accepted while the server stops
			s.server.ServeQUICConn(qc)                                                   // its errors concern only the connection
		})
	}
}

func (s *Server) add(qc *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[qc] = newConn(qc, s.config.MaxResetRate, time.Now())
}

func (s *Server) remove(qc *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, qc)
}

// sweep closes connections that stay open unused. The server does not know whether an
// answer has arrived: it may still be on its way, over a path with heavy loss, or to a
// client that has migrated and whose new path is not validated. So no connection is
// closed while its client may be waiting for an answer.
func (s *Server) sweep(ctx context.Context) {
	tick := time.NewTicker(s.sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			timeout := max(s.maxUnused, s.core.MaxDeadline()+requestTimeout)
			for _, c := range s.listConns() {
				if c.unusedFor() > timeout {
					c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), "no request has come whole")
				}
			}
		}
	}
}

func (s *Server) listConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		all = append(all, c)
	}
	return all
}

// drain stops the server without losing requests: it sends GOAWAY on every connection,
// completes the requests that have been taken, rejects later ones unread
// (H3_REQUEST_REJECTED) so that clients may safely retry them, and closes connections
// once nothing is open on them. At the schedule's exit it closes them in any case.
func (s *Server) drain(schedule shutdown.Schedule) {
	grace, cancel := context.WithDeadline(context.Background(), schedule.ExitBy)
	defer cancel()
	last := time.AfterFunc(time.Until(schedule.AnswerBy), s.answersOver)
	defer last.Stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.server.Shutdown(grace)
	}()
	quiet := time.Time{}
	for waiting := true; waiting; {
		select {
		case <-ended:
			waiting = false
		case now := <-time.After(stopPoll):
			if s.busy() > 0 {
				quiet = time.Time{}
			} else if quiet.IsZero() {
				quiet = now
			}
			if !quiet.IsZero() && now.Sub(quiet) > drainGrace {
				cancel() // clients that stay in spite of GOAWAY
			}
		}
	}
	s.close()
}

// busy counts the open requests.
func (s *Server) busy() (n int) {
	for _, c := range s.listConns() {
		n += int(c.requests.Load())
	}
	return n
}

func (s *Server) close() {
	s.listener.Close()
	<-s.accepting // no connection is added after that
	s.server.Close()
	s.transport.Close()
	s.udp.Close()
	s.connections.Wait()
}

// AltSvc is the value of Alt-Svc (RFC 7838) with which other front ends advertise this
// one.
func (s *Server) AltSvc() string {
	return fmt.Sprintf(`h3=":%d"; ma=3600`, s.udp.LocalAddr().(*net.UDPAddr).Port)
}

var _ http.Handler = (*handler)(nil)
