package lab

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// dialed is a connection that knows when it was made.
type dialed struct {
	net.Conn
	made Connection
}

// dial makes a connection that knows when it was made.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	begun := time.Now()
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &dialed{c, Connection{Begun: begun, Made: time.Now()}}, nil
}

// sends notes the connections that a request is given to.
type sends struct {
	mu  sync.Mutex
	all []Send
}

func (s *sends) got(info httptrace.GotConnInfo) {
	at := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, Send{info.Conn.(*dialed).made, at})
}

func (s *sends) taken() []Send {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all
}

// byResting reports whether a request has been sent so often, the last time by a connection that had been
// made before that send began.
func (s *sends) byResting(times int, begun time.Time) bool {
	all := s.taken()
	return len(all) == times && all[times-1].Made.Before(begun)
}

// closedIdle is the text of an error that package http has no name for: the other side closed a
// connection on which it had not answered.
const closedIdle = "server closed idle connection"

// EndingOf is the ending that an error of a client tells of.
func EndingOf(err error) Ending {
	switch {
	case err == nil:
		return Answered
	case errors.Is(err, syscall.ECONNREFUSED):
		return Unconnected
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		strings.Contains(err.Error(), closedIdle):
		return Broken
	}
	return Spoilt
}
