package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"spokegw/internal/discovery"
	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
	"spokegw/internal/sidecar"
)

// site is the part of a deployment's description that reaches a sidecar through its settings.
type site struct {
	Name string
	Net  struct{ Zones []string }
	Load struct {
		WorthBy string `toml:"worth_by"`
		Hints   string
	}
	Discovery struct{ Mode string }
	Allow     struct {
		Cancel       bool
		SecondCopies bool `toml:"second_copies"`
		MaxAttempts  int  `toml:"max_attempts"`
	}
	Prices struct {
		CrossZone float64 `toml:"cross_zone"`
		Handshake float64
	}
	Tier []struct {
		Conn struct {
			IdleS          float64 `toml:"idle_s"`
			ConnectTimeout float64 `toml:"connect_timeout_ms"`
		}
		Kind []struct{ Name string }
	}
	Class  []siteClass
	Tenant []struct {
		Name  string
		Share float64
	}
}

type siteClass struct {
	Name      string
	Aim       float64 `toml:"aim_ms"`
	Deadline  float64 `toml:"deadline_ms"`
	Worth     float64
	LateWorth float64 `toml:"late_worth"`
	Effect    string
	Group     string
	Window    float64 `toml:"window_ms"`
}

// effectNames maps the effects' names in a description to those in the settings.
var effectNames = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}

// configuration returns the configuration of a sidecar at the site.
func (s *site) configuration(t *testing.T, registry string, listed []discovery.Entry) []byte {
	t.Helper()
	var classes []scene.Class
	for _, c := range s.Class {
		class := scene.Class{
			"name": c.Name, "effect": effectNames[c.Effect], "aim_ms": c.Aim, "hard_limit_ms": c.Deadline,
			"worth": c.Worth, "late_worth": c.LateWorth,
		}
		if c.Effect == "keyed" {
			class["key_scope"], class["dedup_window_ms"] = c.Group, c.Window
		}
		classes = append(classes, class)
	}
	var tenants []map[string]any
	for _, tenant := range s.Tenant {
		tenants = append(tenants, map[string]any{"name": tenant.Name, "share": tenant.Share})
	}
	var kinds []string
	for _, kind := range s.Tier[0].Kind {
		kinds = append(kinds, kind.Name)
	}
	mode := "pushed"
	if s.Discovery.Mode == "ask" {
		mode = "on_request"
	}
	text, err := json.Marshal(map[string]any{
		"name": s.Name, "listen": "127.0.0.1:0", "discovery": registry,
		"limits": map[string]any{"cores": 0.25, "memory_mb": 64, "sockets": 256},
		"known":  map[string]any{"version": 1, "full": true, "servers": listed},
		"settings": map[string]any{
			"fleet_size": 1, "azs": s.Net.Zones, "kinds": kinds, "discovery": mode, "worth_by": s.Load.WorthBy,
			"classes": classes, "tenants": tenants,
			"limits": map[string]any{
				"send_cap": s.Allow.MaxAttempts, "cancelling": s.Allow.Cancel, "second_copies": s.Allow.SecondCopies,
				"conn_idle_ms": s.Tier[0].Conn.IdleS * 1000, "connect_timeout_ms": s.Tier[0].Conn.ConnectTimeout,
			},
			"penalties": map[string]any{"cross_zone": s.Prices.CrossZone, "handshake": s.Prices.Handshake},
			"rules":     map[string]any{"ask_within_ms": 10000, "cold_ms": 20000, "start_capacity": 0.2},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// request returns a request of a class by a tenant, in the form that the class's effect
// requires.
func (s *site) request(t *testing.T, addr string, class siteClass, tenant string) *http.Request {
	t.Helper()
	method := http.MethodPost
	if class.Effect == "safe" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, "http://"+addr+"/"+url.PathEscape(class.Name)+"?user=k", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Req-Id", s.Name+"-"+class.Name)
	r.Header.Set("Req-Kind", class.Name)
	r.Header.Set("Req-Owner", tenant)
	r.Header.Set("Req-Deadline", "5000m")
	if class.Effect == "keyed" {
		r.Header.Set("Idempotency-Key", "key of "+class.Name)
	}
	return r
}

// Classes, tenants, kinds, zones and limits come from the settings alone: for each deployment
// under deploy/sites, a request of each class is served exactly once, in the form of its class.
func TestDeploymentSites(t *testing.T) {
	files, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("want two or more descriptions under deploy/sites, found %v, %v", files, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var s site
			if err := toml.Unmarshal(text, &s); err != nil {
				t.Fatal(err)
			}
			serveEachClass(t, &s)
		})
	}
}

func serveEachClass(t *testing.T, s *site) {
	seen := make(chan http.Header, 64)
	endpoint, err := lab.StartEndpoint(lab.EndpointConfig{Workers: 8, Body: 100, Seen: func(r *http.Request) {
		header := r.Header.Clone()
		header.Set("Request-Line", r.Method+" "+r.URL.Path)
		seen <- header
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	var listed []discovery.Entry
	for i, kind := range s.Tier[0].Kind { // one process under several names, one of them in a zone that no setting names
		zone := "a zone that the settings do not name"
		if i < len(s.Net.Zones) {
			zone = s.Net.Zones[i]
		}
		listed = append(listed, discovery.Entry{ID: fmt.Sprint("e", i), Addr: endpoint.Addr(), Zone: zone, Kind: kind.Name, Cell: i, State: "active", Weight: 1})
	}
	registry, err := lab.StartRegistry(listed, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	config, err := sidecar.ParseConfig(s.Name, s.configuration(t, registry.Addr(), listed))
	if err != nil {
		t.Fatal(err)
	}
	gateway, err := sidecar.New(config)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- gateway.Run(ctx) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i, class := range s.Class {
		r := s.request(t, gateway.Addr().String(), class, s.Tenant[i%len(s.Tenant)].Name)
		answer, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			t.Errorf("class %q: answered %d", class.Name, answer.StatusCode)
			continue
		}
		got := <-seen
		if want := r.Method + " /" + class.Name; got.Get("Request-Line") != want {
			t.Errorf("class %q: an endpoint got %q, want %q", class.Name, got.Get("Request-Line"), want)
		}
		if got.Get("Idempotency-Key") != r.Header.Get("Idempotency-Key") {
			t.Errorf("class %q: an endpoint got the key %q", class.Name, got.Get("Idempotency-Key"))
		}
		// A request in a form that its class does not allow is refused and reaches no endpoint.
		wrong := r.Clone(r.Context())
		wrong.Method, wrong.Header = http.MethodPost, r.Header.Clone()
		wrong.Header.Set("Req-Id", r.Header.Get("Req-Id")+"-wrong")
		if class.Effect == "keyed" {
			wrong.Header.Del("Idempotency-Key")
		} else {
			wrong.Header.Set("Idempotency-Key", "none is expected")
		}
		if class.Effect == "unsafe" {
			wrong.Method = http.MethodGet
		}
		answer, err = client.Do(wrong)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode < 400 || answer.StatusCode >= 500 {
			t.Errorf("class %q: a request in a wrong form was answered %d", class.Name, answer.StatusCode)
		}
	}
	if len(seen) > 0 {
		t.Errorf("%d extra requests reached an endpoint", len(seen))
	}
}
