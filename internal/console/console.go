// Package console answers operators' tools over a Unix socket, for calls that the line protocol
// of the management address can't express. A connection carries one call, a JSON object in a
// line; the answer is any number of JSON objects, one per line, and a last one with the result.
// The socket's permissions decide who may connect.
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

// Version is the version of calls and answers. A call of another version is refused with the
// reason.
const Version = 1

const (
	// MaxCall bounds a call in bytes: the longest carries an operator's file. MaxRecord bounds
	// a record of an answer.
	MaxCall   = 5 << 20
	MaxRecord = 4 << 20
	// maxCallers is the number of concurrent callers. A further one replaces the one that has
	// been silent for longest, or is closed if all have sent their calls.
	maxCallers   = 16
	evictTimeout = 100 * time.Millisecond
	// callTimeout is for receiving a call, writeTimeout for sending a record of the answer: a
	// caller that stops reading is disconnected and delays nobody else.
	callTimeout  = 5 * time.Second
	writeTimeout = 2 * time.Second
	acceptPause  = 20 * time.Millisecond
)

// Request is an encoded call.
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

// Call answers a call: args as received, send for each record. It ends when ctx does, and when
// send fails because its caller has disconnected.
type Call func(ctx context.Context, args json.RawMessage, send func(v any) error) error

type callerKey struct{}

// Caller returns the caller's user id and process id as the kernel reports them (unix(7),
// SO_PEERCRED).
func Caller(ctx context.Context) string {
	who, _ := ctx.Value(callerKey{}).(string)
	return who
}

// callerOf returns the kernel's credentials of the peer.
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
	slots    chan struct{}
	serving  sync.WaitGroup

	mu     sync.Mutex
	silent []*net.UnixConn // whose calls have not been received, the oldest first
}

// Listen opens the socket, replacing any at that path.
func Listen(path string, calls map[string]Call) (*Server, error) {
	l, err := unixsocket.Listen(path)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return &Server{calls: calls, listener: l, slots: make(chan struct{}, maxCallers)}, nil
}

// Serve answers calls until ctx ends, and returns when all goroutines of the server have ended.
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
		if !s.acquireSlot() {
			c.Close() // the caller sees the close
			continue
		}
		s.mu.Lock()
		s.silent = append(s.silent, c)
		s.mu.Unlock()
		s.serving.Go(func() {
			defer func() { <-s.slots }()
			s.serve(ctx, c)
		})
	}
}

// acquireSlot takes a slot for one more caller, evicting a silent one if necessary.
func (s *Server) acquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	allCalled := len(s.silent) == 0
	if !allCalled {
		s.silent[0].Close()
	}
	s.mu.Unlock()
	if allCalled {
		return false
	}
	timer := time.NewTimer(evictTimeout)
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// removeSilent removes a caller from the silent ones: its call was received, or failed.
func (s *Server) removeSilent(c *net.UnixConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.silent, c); i >= 0 {
		s.silent = slices.Delete(s.silent, i, i+1)
	}
}

// Close closes a server that was never served.
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
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if ctx.Err() != nil { // ctx may have ended and set its own deadline just before
			return context.Cause(ctx)
		}
		_, err = c.Write(append(b, '\n'))
		return err
	}
	call, args, err := s.read(c)
	s.removeSilent(c)
	if err == nil {
		cancelOnDisconnect(c, cancel)
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
	send(last) // fails if the caller has disconnected
}

// cancelOnDisconnect cancels a call whose caller has disconnected. Its goroutine ends with the
// connection.
func cancelOnDisconnect(c *net.UnixConn, cancel context.CancelFunc) {
	c.SetReadDeadline(time.Time{})
	go func() {
		defer cancel()
		io.Copy(io.Discard, io.LimitReader(c, MaxCall)) // no more data is expected
	}()
}

// read reads a call.
func (s *Server) read(c net.Conn) (Call, json.RawMessage, error) {
	c.SetReadDeadline(time.Now().Add(callTimeout))
	line, err := readLine(bufio.NewReader(io.LimitReader(c, MaxCall+1)), MaxCall)
	if err != nil {
		return nil, nil, fmt.Errorf("the call is incomplete: %w", err)
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

// run makes a call. It recovers from a panic, which must not end the process.
func (s *Server) run(ctx context.Context, call Call, args json.RawMessage, send func(v any) error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "in", "console", "panic", p)
			err = errors.New("the call failed")
		}
	}()
	return call(ctx, args, send)
}

func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		chunk, err := r.ReadSlice('\n')
		line = append(line, chunk...)
		switch {
		case len(line) > limit:
			return nil, fmt.Errorf("a line is longer than %d bytes", limit)
		case err == nil:
			return bytes.TrimSpace(line), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// ErrUnreachable reports that no server answers at a socket.
var ErrUnreachable = errors.New("console: no server answers at the socket")

// Ask makes a call, and passes each record of its answer to each.
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
			return fmt.Errorf("%s: the answer is incomplete: %w", call, err)
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
