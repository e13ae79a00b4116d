// Package console answers operators' tools over a Unix socket: what the line protocol
// of the second address has no room for. A connection carries one call, a JSON object
// in a line; the answer is any number of JSON objects, a line each, and a last one
// that says how it ended. Who may connect is told by the socket's permissions.
package console

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"spokegw/internal/unixsocket"
)

// Version is that of calls and answers. A call of another is refused with the reason.
const Version = 1

const (
	// MaxCall bounds a call in bytes: the longest carries an operator's file. MaxRecord
	// bounds a record of an answer.
	MaxCall   = 5 << 20
	MaxRecord = 4 << 20
	// mostCallers are held at once. One more takes the place of the one that has said
	// nothing for longest; where all have called, it is turned away.
	mostCallers   = 16
	placePatience = 100 * time.Millisecond
	// callPatience is for a call to come whole, writePatience for a record of the answer
	// to be taken: who reads no more is left, and holds up nobody but himself.
	callPatience  = 5 * time.Second
	writePatience = 2 * time.Second
	acceptPause   = 20 * time.Millisecond
)

// Request is a call as it is sent.
type Request struct {
	Version int             `json:"v"`
	Call    string          `json:"call"`
	Args    json.RawMessage `json:"args,omitempty"`
}

// record is a line of an answer.
type record struct {
	Value json.RawMessage `json:"value,omitempty"`
	End   bool            `json:"end,omitempty"`
	Error string          `json:"error,omitempty"` // with End
}

// Call answers a call: args as they came, send for each record. It ends when ctx
// does, and when send fails, as its caller has gone.
type Call func(ctx context.Context, args json.RawMessage, send func(v any) error) error

type callerKey struct{}

// Caller is who made a call, as the machine tells it (unix(7), SO_PEERCRED): the user's
// and the process's numbers.
func Caller(ctx context.Context) string {
	who, _ := ctx.Value(callerKey{}).(string)
	return who
}

// callerOf asks the machine who is at the other end.
func callerOf(c *net.UnixConn) string {
	raw, err := c.SyscallConn()
	if err != nil {
		return ""
	}
	var peer *unix.Ucred
	raw.Control(func(fd uintptr) { peer, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) })
	if err != nil || peer == nil {
		return ""
	}
	return fmt.Sprintf("uid=%d pid=%d", peer.Uid, peer.Pid)
}

// Server answers calls.
type Server struct {
	calls    map[string]Call
	listener *net.UnixListener
	places   chan struct{}
	serving  sync.WaitGroup

	mu     sync.Mutex
	silent []*net.UnixConn // whose call has not come whole, the oldest first
}

// Listen opens the socket, in the place of whoever had it.
func Listen(path string, calls map[string]Call) (*Server, error) {
	l, err := unixsocket.Listen(path)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return &Server{calls: calls, listener: l, places: make(chan struct{}, mostCallers)}, nil
}

// Serve answers calls until ctx ends, and returns when no goroutine of the server is
// left.
func (s *Server) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		c, err := s.listener.AcceptUnix()
		switch {
		case errors.Is(err, net.ErrClosed):
			s.serving.Wait()
			return
		case err != nil:
			slog.Warn("console", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		if !s.place() {
			c.Close() // that shows at the caller
			continue
		}
		s.mu.Lock()
		s.silent = append(s.silent, c)
		s.mu.Unlock()
		s.serving.Go(func() {
			defer func() { <-s.places }()
			s.serve(ctx, c)
		})
	}
}

// place takes a place for one more caller, at the cost of a silent one where need be.
func (s *Server) place() bool {
	select {
	case s.places <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	none := len(s.silent) == 0
	if !none {
		s.silent[0].Close()
	}
	s.mu.Unlock()
	if none {
		return false
	}
	late := time.NewTimer(placePatience)
	defer late.Stop()
	select {
	case s.places <- struct{}{}:
		return true
	case <-late.C:
		return false
	}
}

// spoken notes that a caller's call has come, or never will.
func (s *Server) spoken(c *net.UnixConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.silent, c); i >= 0 {
		s.silent = slices.Delete(s.silent, i, i+1)
	}
}

// Close gives up a server that is not to serve.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) serve(ctx context.Context, c *net.UnixConn) {
	defer c.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	send := func(r record) error {
		b, err := json.Marshal(r)
		if err != nil {
			return err
		}
		if len(b) > MaxRecord {
			return fmt.Errorf("a record of %d bytes, at most %d are sent", len(b), MaxRecord)
		}
		c.SetWriteDeadline(time.Now().Add(writePatience))
		if ctx.Err() != nil { // it has set another just before
			return context.Cause(ctx)
		}
		_, err = c.Write(append(b, '\n'))
		return err
	}
	call, args, err := s.read(c)
	s.spoken(c)
	if err == nil {
		watchEnd(c, cancel)
		err = s.run(context.WithValue(ctx, callerKey{}, callerOf(c)), call, args, func(v any) error {
			b, err := json.Marshal(v)
			if err != nil {
				return err
			}
			return send(record{Value: b})
		})
	}
	last := record{End: true}
	if err != nil {
		last.Error = err.Error()
	}
	send(last) // who has gone needs none
}

// watchEnd ends a call whose caller has gone. The goroutine ends with the connection.
func watchEnd(c *net.UnixConn, cancel context.CancelFunc) {
	c.SetReadDeadline(time.Time{})
	go func() {
		defer cancel()
		io.Copy(io.Discard, io.LimitReader(c, MaxCall)) // nothing more is expected
	}()
}

// read reads a call.
func (s *Server) read(c net.Conn) (Call, json.RawMessage, error) {
	c.SetReadDeadline(time.Now().Add(callPatience))
	line, err := readLine(bufio.NewReader(io.LimitReader(c, MaxCall+1)), MaxCall)
	if err != nil {
		return nil, nil, fmt.Errorf("the call did not come whole: %w", err)
	}
	var r Request
	if err := json.Unmarshal(line, &r); err != nil {
		return nil, nil, fmt.Errorf("a call in JSON is expected: %w", err)
	}
	if r.Version != Version {
		return nil, nil, fmt.Errorf("a call of version %d, this sidecar has %d: the command of its own release is expected", r.Version, Version)
	}
	call, ok := s.calls[r.Call]
	if !ok {
		return nil, nil, fmt.Errorf("there is no call %.60q here", r.Call)
	}
	return call, r.Args, nil
}

// run makes a call. A panic is its own: it must not take the process along.
func (s *Server) run(ctx context.Context, call Call, args json.RawMessage, send func(v any) error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "in", "console", "panic", p)
			err = errors.New("the call failed")
		}
	}()
	return call(ctx, args, send)
}

func readLine(r *bufio.Reader, most int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > most:
			return nil, fmt.Errorf("a line is longer than %d bytes", most)
		case err == nil:
			return bytes.TrimSpace(line), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// ErrUnreachable tells that nobody answers at a socket.
var ErrUnreachable = errors.New("console: nobody answers there")

// Ask makes a call, and hands each record of its answer on.
func Ask(ctx context.Context, path, call string, args any, each func(json.RawMessage) error) error {
	raw, err := json.Marshal(args)
	if err != nil {
		return fmt.Errorf("console: %w", err)
	}
	b, err := json.Marshal(Request{Version, call, raw})
	if err != nil {
		return fmt.Errorf("console: %w", err)
	}
	var c net.Conn
	err = unixsocket.WithShortPath(path, func(name string) error {
		var d net.Dialer
		var err error
		c, err = d.DialContext(ctx, "unix", name)
		return err
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := c.Write(append(b, '\n')); err != nil {
		return fmt.Errorf("%s: %w", call, err)
	}
	r := bufio.NewReader(c)
	for {
		line, err := readLine(r, MaxRecord)
		var rec record
		if err == nil {
			err = json.Unmarshal(line, &rec)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			return fmt.Errorf("%s: the answer did not come whole: %w", call, err)
		case rec.End && rec.Error != "":
			return errors.New(rec.Error)
		case rec.End:
			return nil
		}
		if err := each(rec.Value); err != nil {
			return err
		}
	}
}
