// Package http3 is the HTTP/3 side towards clients (RFC 9114, over QUIC, RFC
// 9000): it holds their connections and streams within bounds, and translates
// between them and the core. It decides nothing about a request. What a message
// must look like is checked by quic-go's http3; docs/design/http3.md says what
// is relied on and what is added.
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
)

// Config is what a server is made of. Its bounds are all positive.
type Config struct {
	Listen           string // UDP address
	Certificate, Key string // files, read at the start and by ReloadCertificate
	Connections      int    // at once, those in the handshake included
	Streams          int    // requests that may be open on a connection
	StreamWindow     int64  // bytes that a client may send ahead on a stream
	ConnectionWindow int64  // bytes that a client may send ahead on a connection
	MaxHead          int    // bytes of a request's fields, with 32 more for each (RFC 9114 section 4.2.2)
	Handshake        time.Duration
	Idle             time.Duration
	MaxResetRate     float64  // requests a second that a client may cancel on a connection, sustained
	MaxUnvalidated   int      // handshakes under way from which on addresses are validated first
	Front            int      // its number at the core
	Routing          *Routing // nil: connection IDs are random
	Secret           string   // with that of Key, what the keys of stateless resets and address tokens are derived from
}

// Server takes requests by HTTP/3.
type Server struct {
	config    Config
	core      *core.Core
	udp       *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	server    *http3.Server
	cert      atomic.Pointer[tls.Certificate]

	patience, period time.Duration // of sweep

	accepting     chan error   // takes the end of accepting
	open, shaking atomic.Int64 // connections, and those of them in the handshake
	connections   sync.WaitGroup

	mu    sync.Mutex
	conns map[*quic.Conn]*conn
}

const (
	// requestPatience is for a request to come whole, from its fields on.
	requestPatience = 2500 * time.Millisecond
	// drainGrace is how long a stopping server waits for clients that have been
	// told to leave to do so, once all they asked has been answered.
	drainGrace = 500 * time.Millisecond
	stopPoll   = 10 * time.Millisecond
	udpBuffer  = 1 << 20 // bytes, asked of the system for datagrams that wait
)

// Variables for the tests; Listen takes them over.
var (
	// connPatience is how long a connection may be held open at least with no
	// request served on it since the last one, or since it was made, while it is
	// not silent: a client that trickles fields keeps a connection from idling.
	connPatience = 10 * time.Second
	sweepPeriod  = time.Second
)

// Listen opens the server's address.
func Listen(c Config, requests *core.Core) (*Server, error) {
	s := &Server{config: c, core: requests, conns: map[*quic.Conn]*conn{}, accepting: make(chan error, 1), patience: connPatience, period: sweepPeriod}
	if err := s.ReloadCertificate(); err != nil {
		return nil, err
	}
	key, err := os.ReadFile(c.Key)
	if err != nil {
		return nil, fmt.Errorf("http3: %w", err)
	}
	s.config.Secret += string(key) // a restart has it again, and nobody else does
	addr, err := net.ResolveUDPAddr("udp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("http3: %w", err)
	}
	if s.udp, err = net.ListenUDP("udp", addr); err != nil {
		return nil, fmt.Errorf("http3: %w", err)
	}
	s.udp.SetReadBuffer(udpBuffer) // as much of it as the system gives
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
		VerifySourceAddress: func(net.Addr) bool { return s.shaking.Load() >= int64(s.config.MaxUnvalidated) },
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
		MaxIncomingStreams: int64(c.Streams), MaxIncomingUniStreams: 3, // control and two of QPACK (RFC 9114 section 6.2)
		Allow0RTT: false,
	}
}

// ReloadCertificate reads certificate and key again. Connections that are open
// go on under the one they have. On an error nothing has changed.
func (s *Server) ReloadCertificate() error {
	cert, err := tls.LoadX509KeyPair(s.config.Certificate, s.config.Key)
	if err != nil {
		return fmt.Errorf("http3: certificate %s with key %s: %w", s.config.Certificate, s.config.Key, err)
	}
	s.cert.Store(&cert)
	return nil
}

// Addr is where the server listens.
func (s *Server) Addr() net.Addr { return s.udp.LocalAddr() }

// Open is how many connections there are, those in the handshake included.
func (s *Server) Open() int { return int(s.open.Load()) }

var errCrowded = errors.New("there are as many connections as may be")

// admit counts a connection from its first datagram to its end.
func (s *Server) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if s.open.Add(1) > int64(s.config.Connections) {
		s.open.Add(-1)
		return nil, errCrowded
	}
	s.shaking.Add(1)
	var shaken sync.Once
	done := func() { shaken.Do(func() { s.shaking.Add(-1) }) }
	context.AfterFunc(ctx, func() {
		done()
		s.open.Add(-1)
	})
	return context.WithValue(ctx, shakenKey{}, done), nil
}

// shakenKey is the key of what is called when a connection's handshake is over.
type shakenKey struct{}

// Serve takes requests until ctx ends, then finishes what it has taken.
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
	s.drain()
	return nil
}

func (s *Server) accept(ctx context.Context) error {
	for {
		qc, err := s.listener.Accept(ctx)
		if err != nil {
			return err
		}
		if done, ok := qc.Context().Value(shakenKey{}).(func()); ok {
			done()
		}
		s.add(qc)
		s.connections.Go(func() {
			defer s.remove(qc)
			defer qc.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "") // one that comes while the server stops
			s.server.ServeQUICConn(qc)                                                   // its errors are of the connection
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

// sweep closes connections that are held open for nothing. Whether an answer
// has arrived is not known here: it may be on its way still, over a path that
// loses much or to a client that has moved and whose new path is not validated.
// So none is closed while a client may wait for one.
func (s *Server) sweep(ctx context.Context) {
	tick := time.NewTicker(s.period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			patience := max(s.patience, s.core.MaxDeadline()+requestPatience)
			for _, c := range s.each() {
				if c.heldFor() > patience {
					c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), "no request has come whole")
				}
			}
		}
	}
}

func (s *Server) each() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		all = append(all, c)
	}
	return all
}

// drain ends the server with nothing lost: GOAWAY on every connection, what has
// been taken is finished, what comes after is rejected unread
// (H3_REQUEST_REJECTED) and the client's to send again, and connections are
// closed once nothing is open on them.
func (s *Server) drain() {
	patience, cancel := context.WithTimeout(context.Background(), s.core.MaxDeadline()+requestPatience)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.server.Shutdown(patience)
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
				cancel() // clients that stay though they were told to leave
			}
		}
	}
	s.close()
}

// busy counts the requests that are open.
func (s *Server) busy() (n int) {
	for _, c := range s.each() {
		n += int(c.requests.Load())
	}
	return n
}

func (s *Server) close() {
	s.listener.Close()
	<-s.accepting // nothing is added any more
	s.server.Close()
	s.transport.Close()
	s.udp.Close()
	s.connections.Wait()
}

// AltSvc is the value of Alt-Svc (RFC 7838) with which other fronts tell of
// this one.
func (s *Server) AltSvc() string {
	return fmt.Sprintf(`h3=":%d"; ma=3600`, s.udp.LocalAddr().(*net.UDPAddr).Port)
}

var _ http.Handler = (*handler)(nil)
