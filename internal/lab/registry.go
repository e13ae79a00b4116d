package lab

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

// Registry is a stand-in for discovery. It answers with the whole list, and a
// watch when there is another one.
type Registry struct {
	server   *http.Server
	listener net.Listener

	mu      sync.Mutex
	version int64
	servers []discovery.Entry
	changed chan struct{}
	asked   func()
}

// StartRegistry starts a registry with a list on a free port of the loopback.
// asked is called with every call that it gets; nil: nothing is.
func StartRegistry(servers []discovery.Entry, asked func()) (*Registry, error) {
	return StartRegistryAt("127.0.0.1:0", servers, asked)
}

// StartRegistryAt is StartRegistry at an address, as where one was before.
func StartRegistryAt(addr string, servers []discovery.Entry, asked func()) (*Registry, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	r := &Registry{listener: l, version: 1, servers: servers, changed: make(chan struct{}), asked: asked}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", r.serve)
	r.server = &http.Server{Handler: mux}
	go r.server.Serve(l)
	return r, nil
}

// Addr is where the registry listens.
func (r *Registry) Addr() string { return r.listener.Addr().String() }

// Close ends the registry and its watches.
func (r *Registry) Close() { r.server.Close() }

// Set replaces the list and tells those that watch.
func (r *Registry) Set(servers []discovery.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.servers = servers
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request) {
	if r.asked != nil {
		r.asked()
	}
	q := req.URL.Query()
	since, err := strconv.ParseInt(q.Get("since"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("timeout_ms"))
	r.mu.Lock()
	version, changed := r.version, r.changed
	r.mu.Unlock()
	if err == nil && since == version {
		patience := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer patience.Stop()
		select {
		case <-changed:
		case <-patience.C:
		case <-req.Context().Done():
			return
		}
	}
	r.mu.Lock()
	answer := map[string]any{"version": r.version, "full": true, "servers": r.servers}
	if err == nil && since == r.version {
		answer["full"], answer["servers"] = false, []discovery.Entry{}
	}
	text, _ := json.Marshal(answer) // of plain values
	r.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
}
