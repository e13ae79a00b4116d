// Package lab holds stand-ins for what is around a sidecar: endpoints, a
// registry, and clients of many teams. They are written from the protocol's
// public description, listen on loopback alone, and can be told to fail.
package lab

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is a stand-in for a server. It has some workers, each of which does a
// second of work a second; requests wait for one in turn. The work is slept, so
// that many endpoints fit on a machine.
type Endpoint struct {
	server   *http.Server
	listener net.Listener
	body     []byte

	mu       sync.Mutex
	free     int             // workers
	waiting  []chan struct{} // in turn
	queue    int             // that may wait; beyond it requests are declined
	silent   chan struct{}   // closed when it speaks again; nil: it does
	work     time.Duration   // of a request that does not tell
	served   int
	declined int
	readBody func(*http.Request) error
	seen     func(*http.Request)
	answer   func(http.ResponseWriter, *http.Request) bool
	mostOpen int
	open     int
}

// EndpointConfig is what an endpoint is made of.
type EndpointConfig struct {
	Workers int
	Queue   int                                           // requests that may wait; 0: any number up to 10,000
	Work    time.Duration                                 // of a request without Req-Cost
	Body    int                                           // bytes of an answer
	Read    func(*http.Request) error                     // reads a body, or part of it; nil: whole
	Seen    func(*http.Request)                           // is told of every request that has come whole; nil: nobody is
	Answer  func(http.ResponseWriter, *http.Request) bool // answers a request, in any bad way, or reports false; nil: none
}

// maxQueue bounds what waits at an endpoint.
const maxQueue = 10000

// StartEndpoint starts an endpoint on a free port of the loopback.
func StartEndpoint(c EndpointConfig) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("endpoint: %w", err)
	}
	e := &Endpoint{listener: l, free: c.Workers, queue: c.Queue, work: c.Work, readBody: c.Read, seen: c.Seen, answer: c.Answer, body: bytes.Repeat([]byte("."), c.Body)}
	if e.queue == 0 {
		e.queue = maxQueue
	}
	if e.readBody == nil {
		e.readBody = readWholeBody
	}
	e.server = &http.Server{Handler: e, ConnState: e.count}
	go e.server.Serve(l)
	return e, nil
}

func readWholeBody(r *http.Request) error {
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

// SetWork sets the work of a request that does not tell: a neighbour takes a part of the
// machine, or gives it back.
func (e *Endpoint) SetWork(work time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work = work
}

// Addr is where the endpoint listens.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// Close ends the endpoint and its connections.
func (e *Endpoint) Close() {
	e.server.Close()
	e.Speak()
}

// Rest sets whether connections may rest. Where they may not, those that do are ended.
func (e *Endpoint) Rest(may bool) { e.server.SetKeepAlivesEnabled(may) }

func (e *Endpoint) count(_ net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.open++
		e.mostOpen = max(e.mostOpen, e.open)
	case http.StateClosed, http.StateHijacked:
		e.open--
	}
}

// ServeHTTP answers a request when its work is done, or not at all.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := e.readBody(r); err != nil {
		panic(http.ErrAbortHandler)
	}
	if e.seen != nil {
		e.seen(r)
	}
	if e.answer != nil && e.answer(w, r) {
		return
	}
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	switch err := e.acquire(r); {
	case errors.Is(err, errFull):
		w.Header().Set("Srv-Declined", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	defer e.release()
	e.mu.Lock()
	work := e.work
	e.mu.Unlock()
	if us, err := strconv.ParseFloat(r.Header.Get("Req-Cost"), 64); err == nil {
		work = time.Duration(us * float64(time.Microsecond))
	}
	done := time.NewTimer(work)
	defer done.Stop()
	select {
	case <-done.C:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler) // work stops when its request is cancelled
	}
	e.mu.Lock()
	e.served++
	e.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(e.body)))
	w.Write(e.body)
}

var errFull = errors.New("the queue is full")

// acquire waits for a worker.
func (e *Endpoint) acquire(r *http.Request) error {
	e.mu.Lock()
	if e.free > 0 {
		e.free--
		e.mu.Unlock()
		return nil
	}
	if len(e.waiting) >= e.queue {
		e.declined++
		e.mu.Unlock()
		return errFull
	}
	turn := make(chan struct{}, 1)
	e.waiting = append(e.waiting, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-r.Context().Done():
		e.leave(turn)
		return r.Context().Err()
	}
}

// leave gives up waiting, or the worker that came at the same moment.
func (e *Endpoint) leave(turn chan struct{}) {
	e.mu.Lock()
	for i, c := range e.waiting {
		if c == turn {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.mu.Unlock()
			return
		}
	}
	e.mu.Unlock()
	e.release()
}

func (e *Endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free++
	e.dispatch()
}

// dispatch gives free workers to those that wait.
func (e *Endpoint) dispatch() {
	for e.free > 0 && len(e.waiting) > 0 {
		e.free--
		e.waiting[0] <- struct{}{}
		e.waiting = e.waiting[1:]
	}
}

// AddWorkers adds workers, or takes some away as they come free.
func (e *Endpoint) AddWorkers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free += n
	e.dispatch()
}

// Silence has the endpoint take requests and never answer, until Speak.
func (e *Endpoint) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent == nil {
		e.silent = make(chan struct{})
	}
}

// Speak ends Silence; what waits is served then.
func (e *Endpoint) Speak() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent != nil {
		close(e.silent)
		e.silent = nil
	}
}

// Served is how many requests have been answered, and Declined how many turned
// away; MostOpen how many connections were open at once, Open how many are.
func (e *Endpoint) Served() int   { return e.read(&e.served) }
func (e *Endpoint) Declined() int { return e.read(&e.declined) }
func (e *Endpoint) MostOpen() int { return e.read(&e.mostOpen) }
func (e *Endpoint) Open() int     { return e.read(&e.open) }

func (e *Endpoint) read(n *int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *n
}
