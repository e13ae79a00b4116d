package operator

import (
	"encoding/hex"
	"net"
	"time"

	"spokegw/internal/quiclb"
)

// HTTP1 configures the listener for HTTP/1.1 clients.
type HTTP1 struct {
	Pipelining bool // clients may send requests before earlier ones are answered
}

// HTTP3 configures the listener for HTTP/3 clients.
type HTTP3 struct {
	Listen           string
	Certificate, Key string // file names
	Connections      int
	Streams          int   // concurrent requests per connection
	StreamWindow     int64 // bytes
	ConnectionWindow int64 // bytes
	MaxHead          int   // bytes
	Handshake, Idle  time.Duration
	Resets           float64 // per second and connection
	Unvalidated      int
	Routing          *Routing // nil: connection IDs hold no routing information
}

// Routing configures the routing information in connection IDs, for a load balancer in front of
// several instances.
type Routing struct {
	Config byte   // rotation codepoint
	Server string // this instance's ID, in hexadecimal digits
	Nonce  int    // bytes
	Key    string // name of a file with a key in hexadecimal digits; "": no encryption
}

func readHTTP3(t *table) *HTTP3 {
	if t == nil {
		return nil
	}
	h := &HTTP3{
		Listen: t.str("listen", ""), Certificate: t.str("certificate", ""), Key: t.str("key", ""),
		Connections:  int(t.number("connections", 64, 1, 100000)),
		Streams:      int(t.number("streams", 16, 1, 1000)),
		StreamWindow: int64(t.number("stream-window", 72<<10, 16<<10, 16<<20)), ConnectionWindow: int64(t.number("connection-window", 144<<10, 16<<10, 64<<20)),
		MaxHead:   int(t.number("head", 8<<10, 1<<10, 64<<10)),
		Handshake: t.duration("handshake", 2*time.Second, 100*time.Millisecond, time.Minute),
		Idle:      t.duration("idle", 30*time.Second, time.Second, 10*time.Minute),
		Resets:    t.number("resets", 50, 1, 1e6), Unvalidated: int(t.number("unvalidated", 16, 0, 100000)),
	}
	h.Routing = readRouting(t.table("routing"))
	t.end()
	if t.checkAddrOrFreePort("listen", h.Listen); h.Certificate == "" || h.Key == "" {
		t.r.fault(t.key, "certificate and key are expected, the names of PEM files")
	}
	if h.ConnectionWindow < h.StreamWindow {
		t.fault("connection-window", "at least the stream-window of %d is expected", h.StreamWindow)
	}
	return h
}

func readRouting(t *table) *Routing {
	if t == nil {
		return nil
	}
	r := &Routing{
		Config: byte(t.number("config", 0, 0, quiclb.MaxConfig)), Server: t.str("server", ""),
		Nonce: int(t.number("nonce", 8, 4, 18)), Key: t.str("key", ""),
	}
	t.end()
	server, err := hex.DecodeString(r.Server)
	if err != nil {
		t.fault("server", "hexadecimal digits in pairs are expected, not %.40q", r.Server)
	} else if _, err := quiclb.New(quiclb.Config{Config: r.Config, Server: server, NonceLen: r.Nonce}); err != nil {
		t.r.fault(t.key, "%v", err)
	}
	return r
}

// checkAddrOrFreePort also allows port 0, which selects a free port, for tests and the lab.
func (t *table) checkAddrOrFreePort(key, addr string) {
	if host, port, err := net.SplitHostPort(addr); err == nil && port == "0" {
		addr = net.JoinHostPort(host, "1")
	}
	t.checkAddr(key, addr)
}
