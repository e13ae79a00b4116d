package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is an endpoint as discovery lists it.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// list is an answer of discovery.
type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is the agent of the sidecar's machine: it answers at once with what it has.
type discovery struct {
	addr   string
	server *http.Server

	mu      sync.Mutex
	version int
	entries []entry
	changed chan struct{} // closed at the next change
}

func newDiscovery(version int, entries []entry) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: l.Addr().String(), version: version, entries: entries, changed: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	return d, nil
}

// whole is the whole list.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{Version: d.version, Full: true, Servers: append([]entry(nil), d.entries...)}
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err == nil {
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		d.mu.Lock()
		version, changed := d.version, d.changed
		d.mu.Unlock()
		if version == since {
			select {
			case <-changed:
			case <-time.After(time.Duration(min(wait, 60_000)) * time.Millisecond):
				json.NewEncoder(w).Encode(list{Version: since, Servers: []entry{}})
				return
			case <-r.Context().Done():
				return
			}
		}
	}
	json.NewEncoder(w).Encode(d.whole())
}

// endpoint is a map server.
type endpoint struct {
	entry
	serve func(e *endpoint, w http.ResponseWriter, r *http.Request, body []byte)
}

// newEndpoint starts an endpoint. serve is called when the last byte of a request has come.
func newEndpoint(id, zone string, cell int, serve func(e *endpoint, w http.ResponseWriter, r *http.Request, body []byte)) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{entry: entry{ID: id, Addr: l.Addr().String(), Zone: zone, Kind: "std", Cell: cell, State: "active", Weight: 1}, serve: serve}
	go (&http.Server{Handler: e, IdleTimeout: 10 * time.Second}).Serve(l)
	return e, nil
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // its last byte has not come
	}
	if r.Header.Get("Req-Id") == "" {
		http.NotFound(w, r)
		return
	}
	e.serve(e, w, r, body)
}

// answerFor is the body of an endpoint's answer to a request.
func answerFor(e *endpoint, r *http.Request) string {
	return fmt.Sprintf("%s by %s", r.Header.Get("Req-Id"), e.ID)
}

// settings are those of a small deployment, with the given classes.
func settings(classes ...map[string]any) map[string]any {
	return map[string]any{
		"azs": []string{"hall"}, "classes": classes, "clients": map[string]any{"marks_retry": false}, "discovery": "pushed",
		"domain": map[string]any{"warm_keys": false}, "fleet_size": 3, "index": 0, "kind_of_service": "mesh", "kinds": []string{"std"}, "layers": []string{"maps"},
		"limits": map[string]any{
			"cancelling": true, "conn_idle_ms": 10000.0, "connect_timeout_ms": 100.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 1000000,
			"max_retry_after_ms": 600.0, "may_probe": false, "most_held": 100000, "peer_messages": false, "retry_after": true,
			"second_copies": false, "send_cap": 3, "streams_per_conn": 1,
		},
		"over_share_worth": 0.05,
		"penalties":        map[string]any{"connection": 0.0, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.03, "late_fail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.04},
		"report":           map[string]any{"fields": []string{}, "how": "silent"},
		"rules":            map[string]any{"answer_slack_ms": 5.0, "ask_within_ms": 10000.0, "cold_ms": 20000.0, "drain_grace_ms": 1000.0, "fall_ms": 1000.0, "fall_multiple": 3.0, "start_capacity": 0.2},
		"score_parts":      map[string]any{"whole": 0.7, "worst_class": 0.1, "worst_tenant": 0.1, "worst_window": 0.1},
		"tenants":          []map[string]any{{"name": "north", "quota_per_s": 1000.0, "share": 1.0}},
		"tick_ms":          1.0, "tier": 0, "weights": "rough", "worth_by": "request", "zone": 0,
	}
}

var machine = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
