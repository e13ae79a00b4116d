package trial

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"spokegw/internal/discovery"
)

// CallFault is what becomes of one call to the registry.
type CallFault int

// The faults of a call. Unanswered takes the call and never answers it.
const (
	NoFault CallFault = iota
	Refused
	Reset
	Cut
	Unanswered
)

// registry is discovery as one sidecar reaches it: each sidecar has a listener of its own,
// so that what was written to whom is known.
type registry struct {
	*shared
	server   *http.Server
	listener net.Listener

	mu     sync.Mutex
	faults []CallFault   // of the calls to come, in turn
	down   CallFault     // of every call after those; NoFault: none
	slow   time.Duration // before each answer
	quiet  chan struct{} // closed to have the calls that wait now stay unanswered
	heard  map[string]time.Time
	calls  []time.Time
	clear  time.Time         // since when no call has been refused by down, or left unanswered
	known  []discovery.Entry // as it was when the sidecar was last answered
}

// shared is the list that all registries tell.
type shared struct {
	mu      sync.Mutex
	version int64
	entries []discovery.Entry
	left    []discovery.Entry // removed since the start; told among changes
	at      map[string]int64  // version of each entry's latest change
	changed chan struct{}
}

func newShared(entries []discovery.Entry) *shared {
	s := &shared{version: 1, entries: entries, at: map[string]int64{}, changed: make(chan struct{})}
	for _, e := range entries {
		s.at[e.ID] = 1
	}
	return s
}

// set changes an entry, adds it, or, where its state is "left", removes it.
func (s *shared) set(e discovery.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.at[e.ID] = s.version
	kept := s.entries[:0:0]
	for _, old := range s.entries {
		if old.ID != e.ID {
			kept = append(kept, old)
		}
	}
	if e.State == "left" {
		s.left = append(s.left, e)
	} else {
		kept = append(kept, e)
	}
	s.entries = kept
	close(s.changed)
	s.changed = make(chan struct{})
}

// since is the list as it is answered to a call that knows a version; full: it knows none.
func (s *shared) since(version int64, full bool) (list discovery.List, names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list = discovery.List{Version: s.version, Full: full, Servers: []discovery.Entry{}}
	for _, e := range append(append([]discovery.Entry{}, s.entries...), s.left...) {
		if full && e.State == "left" || !full && s.at[e.ID] <= version {
			continue
		}
		list.Servers = append(list.Servers, e)
	}
	if full { // what a whole list leaves out is gone
		for _, e := range s.left {
			names = append(names, e.ID+"="+e.State)
		}
	}
	for _, e := range list.Servers {
		names = append(names, e.ID+"="+e.State)
	}
	return list, names
}

func startRegistry(s *shared) (*registry, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("trial: registry: %w", err)
	}
	r := &registry{shared: s, listener: l, quiet: make(chan struct{}), heard: map[string]time.Time{}, clear: time.Now()}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l) // it ends with close
	return r, nil
}

func (r *registry) addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listener.Addr().String()
}

func (r *registry) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server.Close()
}

// oldAddress is how long connections to an address that was left stay open.
const oldAddress = 1500 * time.Millisecond

// move has the registry listen elsewhere. It takes no new connection where it was.
func (r *registry) move() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("trial: registry: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.server
	r.listener.Close()
	time.AfterFunc(oldAddress, func() { old.Close() })
	r.listener, r.server = l, &http.Server{Handler: r}
	go r.server.Serve(l) // it ends with close
	return nil
}

// silence has the calls that wait now stay unanswered.
func (r *registry) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.quiet)
	r.quiet = make(chan struct{})
	r.clear = time.Now()
}

// script sets what becomes of the calls to come.
func (r *registry) script(faults []CallFault, slow time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults, r.slow = faults, slow
}

// fail has every call fail from now on; NoFault: none.
func (r *registry) fail(how CallFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if how != NoFault || r.down != NoFault {
		r.clear = time.Now()
	}
	if r.down = how; how == Reset || how == Refused { // watches end
		close(r.quiet)
		r.quiet = make(chan struct{})
	}
}

func (r *registry) next() (fault CallFault, slow time.Duration, quiet chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, time.Now())
	fault = r.down
	if len(r.faults) > 0 {
		fault, r.faults = r.faults[0], r.faults[1:]
	}
	return fault, r.slow, r.quiet
}

func (r *registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	fault, slow, quiet := r.next()
	since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
	switch fault {
	case Refused:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case Unanswered:
		<-req.Context().Done()
		return
	}
	r.shared.mu.Lock()
	version, changed := r.version, r.changed
	r.shared.mu.Unlock()
	if err == nil && since >= version {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-quiet:
			<-req.Context().Done()
			return
		case <-req.Context().Done():
			return
		}
	}
	select {
	case <-time.After(slow):
	case <-req.Context().Done():
		return
	}
	list, names := r.since(since, err != nil)
	text, _ := json.Marshal(map[string]any{"version": list.Version, "full": list.Full, "servers": list.Servers}) // plain values
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == Cut {
		w.Write(text[:len(text)/3])
		panic(http.ErrAbortHandler)
	}
	r.note(names)
	w.Write(text)
}

// note records when each state was first written to the sidecar.
func (r *registry) note(names []string) {
	known := r.current()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = known
	for _, name := range names {
		if r.heard[name].IsZero() {
			r.heard[name] = time.Now()
		}
	}
}

// current is the list as it is now.
func (s *shared) current() []discovery.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]discovery.Entry{}, s.entries...)
}

// agentTold is the time in which a new process has what its agent has.
const agentTold = 500 * time.Millisecond

// begins notes that the sidecar's process is a new one, which has been told nothing, and
// returns the list that the one before had last.
func (r *registry) begins(pushed bool) []discovery.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard, r.clear = map[string]time.Time{}, time.Now()
	if pushed && len(r.faults) == 0 { // what its agent has counts as told at once
		r.clear = r.clear.Add(agentTold - toldAtLatest)
	}
	return r.known
}

// countsAsTold is when a change made at a time counts as told to the sidecar: when it was
// written, and 6 s after it was made and the registry could be reached at the latest.
func (r *registry) countsAsTold(name string, made time.Time) (told time.Time, written bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if told = made; r.clear.After(made) {
		told = r.clear
	}
	if told = told.Add(toldAtLatest); r.down != NoFault { // it is not to be had now
		told = time.Now().Add(time.Hour)
	}
	at := r.heard[name]
	if !at.IsZero() && at.Before(told) {
		told = at
	}
	return told, !at.IsZero()
}

// toldAtLatest is the time after which a change counts as told that could be had.
const toldAtLatest = 6 * time.Second
