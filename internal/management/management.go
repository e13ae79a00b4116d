// Package management implements the sidecar's management address: a connection carries a
// one-line call, the answer is one or more lines, and then the connection is closed. It has
// descriptors of its own and shares no wait with requests, so it answers however busy the
// sidecar is.
package management

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// MaxLine bounds a call in bytes. The longest valid one is a command with the longest id.
	MaxLine = 1 << 10
	// callTimeout is for receiving a call, and again for sending its answer. A person who types
	// needs seconds; idle callers are closed earlier if others need their slots.
	callTimeout = 10 * time.Second
	// linger gives a caller time to read the answer to a line that is too long: a reset, sent
	// because of unread data, could overtake it. The caller may send lingerBytes more; one that
	// sends more, or is slower, may see the reset.
	linger      = 2 * time.Second
	lingerBytes = 4 << 20
	// acceptPause is the delay after a failed accept; most failures are for lack of
	// descriptors.
	acceptPause = 20 * time.Millisecond
)

// Command answers a call. args are the words after its name, as many as Args names. An error is
// sent to the caller after NO.
type Command struct {
	Args string // words expected after the name, for help; "": none
	Help string // one line
	Run  func(args []string) (answer string, err error)
	// Changes reports that the command changes something: the caller and the answer are logged.
	Changes bool
}

// Commands are the available calls, by name.
type Commands map[string]Command

// Server answers calls.
type Server struct {
	commands Commands
	limit    int
	listener net.Listener

	mu      sync.Mutex
	callers []*caller // in the order of arrival
	serving sync.WaitGroup
}

// caller is a connection.
type caller struct {
	net.Conn
	answering bool // its line has been received
}

// Listen opens the address. It keeps at most limit callers; a further one replaces the one that
// has been idle for longest.
func Listen(addr string, limit int, c Commands) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("management: %w", err)
	}
	return &Server{commands: c, limit: max(limit, 1), listener: l}, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers calls until ctx ends, and returns when all goroutines of the server have ended.
func (s *Server) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for ctx.Err() == nil {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
		case err != nil:
			slog.Warn("management", "error", err)
			time.Sleep(acceptPause)
		default:
			s.admit(conn)
		}
	}
	s.close()
	s.serving.Wait()
}

// close closes the listener and all callers that are not being answered.
func (s *Server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		if !c.answering {
			c.Close()
		}
	}
}

// admit accepts a caller, evicting an idle one if all slots are taken. Only for moments are all
// slots held by callers that are being answered.
func (s *Server) admit(conn net.Conn) {
	c := &caller{Conn: conn}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.callers) >= s.limit && !s.evict() {
		conn.Close()
		return
	}
	s.callers = append(s.callers, c)
	s.serving.Go(func() {
		defer s.remove(c)
		s.serve(c)
	})
}

func (s *Server) evict() bool {
	for i, c := range s.callers {
		if !c.answering {
			c.Close()
			s.callers = append(s.callers[:i:i], s.callers[i+1:]...)
			return true
		}
	}
	return false
}

// remove closes a caller. Its slot is released first, so that a caller that sees the close
// finds a free slot.
func (s *Server) remove(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer c.Close()
	for i := range s.callers {
		if s.callers[i] == c {
			s.callers = append(s.callers[:i:i], s.callers[i+1:]...)
			return
		}
	}
}

// setAnswering marks whether a caller is protected from eviction.
func (s *Server) setAnswering(c *caller, answering bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.answering = answering
}

// serve reads a caller's line and answers it.
func (s *Server) serve(c *caller) {
	c.SetReadDeadline(time.Now().Add(callTimeout))
	line, err := readLine(c)
	if err != nil && !errors.Is(err, errTooLong) {
		return // disconnected or sent nothing
	}
	s.setAnswering(c, true)
	c.SetWriteDeadline(time.Now().Add(callTimeout))
	if err != nil {
		c.Write([]byte("NO " + err.Error() + "\n"))
		s.setAnswering(c, false) // its slot may be reused while it still sends
		drain(c)
		return
	}
	c.Write([]byte(s.commands.answer(line, c.RemoteAddr().String())))
}

var errTooLong = fmt.Errorf("the line is longer than %d bytes", MaxLine)

// readLine reads up to the end of a line. The end of the caller's stream ends the line too.
func readLine(c net.Conn) (string, error) {
	buf := make([]byte, 0, 128)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, make([]byte, len(buf))...)[:len(buf)]
		}
		n, err := c.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		line, _, complete := strings.Cut(string(buf), "\n")
		switch {
		case len(line) > MaxLine:
			return "", errTooLong
		case complete, errors.Is(err, io.EOF) && len(buf) > 0:
			return line, nil
		case err != nil:
			return "", err
		}
	}
}

// drain discards what a caller still sends, within limits.
func drain(c net.Conn) {
	if t, ok := c.(*caller); ok {
		if tcp, ok := t.Conn.(*net.TCPConn); ok {
			tcp.CloseWrite()
		}
	}
	c.SetReadDeadline(time.Now().Add(linger))
	var buf [4 << 10]byte
	for remaining := lingerBytes; remaining > 0; {
		n, err := c.Read(buf[:])
		if err != nil {
			return
		}
		remaining -= n
	}
}

// answer answers a line from a caller. It recovers from a panic in a command, which must not
// end the process.
func (c Commands) answer(line, from string) (answer string) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "in", "management", "call", fmt.Sprintf("%.100q", line), "panic", p)
			answer = "NO the call failed\n"
		}
	}()
	words := strings.Fields(line)
	if len(words) == 0 {
		return "NO a command is expected; help tells them\n"
	}
	if words[0] == "help" {
		return c.help()
	}
	command, ok := c[words[0]]
	if !ok {
		return fmt.Sprintf("NO there is no command %.60q; help tells them\n", words[0])
	}
	if want := len(strings.Fields(command.Args)); len(words)-1 != want {
		return fmt.Sprintf("NO %s expects %d words after it: %s\n", words[0], want, command.Args)
	}
	text, err := command.Run(words[1:])
	if err != nil {
		text = "NO " + strings.ReplaceAll(err.Error(), "\n", "; ") + "\n"
	}
	if command.Changes {
		slog.Info("an operator asked", "call", strings.Join(words, " "), "from", from, "answer", strings.TrimSuffix(text, "\n"))
	}
	return text
}
