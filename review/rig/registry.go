package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is an endpoint in discovery's form.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// List is a list in discovery's form.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Registry is discovery: one service for all sidecars, which tells the whole list and changes.
type Registry struct {
	Addr string

	mu      sync.Mutex
	version int64
	current map[string]Entry
	changed map[string]int64 // version of the latest change
	order   []string
	wake    chan struct{}
}

// NewRegistry starts a registry.
func NewRegistry(entries ...Entry) (*Registry, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Registry{Addr: l.Addr().String(), version: 40, current: map[string]Entry{}, changed: map[string]int64{}, wake: make(chan struct{})}
	g.Set(entries...)
	go http.Serve(l, g)
	return g, nil
}

// Set changes or adds entries.
func (g *Registry) Set(entries ...Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version++
	for _, e := range entries {
		if _, ok := g.current[e.ID]; !ok {
			g.order = append(g.order, e.ID)
		}
		g.current[e.ID], g.changed[e.ID] = e, g.version
	}
	close(g.wake)
	g.wake = make(chan struct{})
}

// List is the whole list.
func (g *Registry) List() List {
	l, _ := g.since(-1)
	return l
}

func (g *Registry) since(version int64) (List, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := List{Version: g.version, Full: version < 0, Servers: []Entry{}}
	for _, id := range g.order {
		e := g.current[id]
		if e.State == "left" && version < 0 {
			continue
		}
		if g.changed[id] > version {
			l.Servers = append(l.Servers, e)
		}
	}
	return l, g.wake
}

// ServeHTTP answers a call.
func (g *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	version, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		version = -1
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(min(ms, 60000)) * time.Millisecond)
	for {
		l, wake := g.since(version)
		if version >= 0 && len(l.Servers) == 0 {
			select {
			case <-wake:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(l)
		return
	}
}
