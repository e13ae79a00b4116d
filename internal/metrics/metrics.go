// Package metrics tells the figures over HTTP, in the text form of Prometheus. It
// counts nothing: it reads the counters of package figures when it is asked.
package metrics

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/net/netutil"

	"spokegw/internal/figures"
	"spokegw/internal/permit"
)

const (
	// maxConns bounds who asks at once: a Prometheus or two.
	maxConns = 4
	patience = 5 * time.Second // for a request to come, and its answer to be read
	idle     = time.Minute     // between scrapes, which come every 15 s or so
)

var (
	requests     = prometheus.NewDesc("spokegw_downstream_requests_total", "Requests that have ended, by class and outcome.", []string{"class", "outcome"}, nil)
	taken        = prometheus.NewDesc("spokegw_downstream_taken_total", "Requests taken, by class.", []string{"class"}, nil)
	pending      = prometheus.NewDesc("spokegw_pending", "Requests taken and not ended, by class.", []string{"class"}, nil)
	attempts     = prometheus.NewDesc("spokegw_upstream_requests_total", "Attempts written whole to endpoints.", nil, nil)
	members      = prometheus.NewDesc("spokegw_members", "Endpoints in the list.", nil, nil)
	unavailable  = prometheus.NewDesc("spokegw_members_unavailable", "Endpoints in the list that are avoided.", nil, nil)
	notSent      = prometheus.NewDesc("spokegw_attempts_not_sent_total", "Attempts that were decided and not sent, by what had changed.", []string{"reason"}, nil)
	violations   = prometheus.NewDesc("spokegw_rule_violations_total", "Rules that were broken, as far as this process sees.", []string{"rule"}, nil)
	listAge      = prometheus.NewDesc("spokegw_list_age_seconds", "How long ago the list of a service's endpoints was last known to be current.", []string{"service"}, nil)
	calls        = prometheus.NewDesc("spokegw_discovery_calls_total", "Calls to a service's registry, by outcome; a late one counts again as it ends.", []string{"service", "outcome"}, nil)
	reloads      = prometheus.NewDesc("spokegw_config_reloads_total", "Files taken at SIGHUP.", nil, nil)
	fleetUp      = prometheus.NewDesc("spokegw_fleet_up", "Gateways of the fleet that are taken to be up, this one too.", nil, nil)
	fleetQuota   = prometheus.NewDesc("spokegw_fleet_quota", "Fractions of a quota: what this gateway may use of its own, what was granted to it, what it could use.", []string{"quota", "part"}, nil)
	fleetDuty    = prometheus.NewDesc("spokegw_fleet_duty", "1 at the gateway that holds the fleet's duty, 0 elsewhere.", nil, nil)
	fleetAge     = prometheus.NewDesc("spokegw_fleet_weights_age_seconds", "Age of the fleet's weights in force here; under 0: there are none.", nil, nil)
	fleetWeights = prometheus.NewDesc("spokegw_fleet_weights_endpoints", "Endpoints that have another weight than the list gives them.", nil, nil)
	fleetChanges = prometheus.NewDesc("spokegw_fleet_weights_changes_total", "Changes found in what endpoints can do, by the holder of the duty.", nil, nil)
	fleetSite    = prometheus.NewDesc("spokegw_fleet_site_state", "Where a site stands by the fleet's plan: 0 whole, 1 doubted, 2 lost, 3 returning.", []string{"site"}, nil)
	fleetMet     = prometheus.NewDesc("spokegw_fleet_site_met", "Part of a site's endpoints that this gateway meets.", []string{"site"}, nil)
	fleetLost    = prometheus.NewDesc("spokegw_fleet_messages_unused_total", "Messages of the fleet that were not used, by reason.", []string{"reason"}, nil)
	reloadErrors = prometheus.NewDesc("spokegw_config_reload_errors_total", "Files turned down at SIGHUP.", nil, nil)
)

// Fleet are figures of a fleet.
type Fleet struct {
	Up                               int // gateways, this one too
	Dropped, Malformed, OtherVersion uint64
	Quotas                           []Quota
	Weights                          *Weights // nil: the fleet has none
}

// Weights is where the fleet's weights stand here.
type Weights struct {
	LeaderKnown, IsLeader bool // who holds the duty is known; it is this gateway
	Reporting             int  // gateways, by the holder
	Term, Table           uint64
	Age                   time.Duration // under 0: there was no table yet
	Stale                 bool
	Endpoints             int // that have another weight than the list gives them
	Changes               int // found in what endpoints can do, by the holder
	Sites                 []Site
}

// Site is where a site stands by the fleet's plan.
type Site struct {
	Name     string
	State    int     // 0 whole, 1 doubted, 2 lost, 3 returning
	Fraction float64 // of its endpoints that this gateway meets
}

// Quota is where one quota stands, in fractions of it.
type Quota struct {
	Name                 string
	Own, Granted, Demand float64
}

// collector reads the figures.
type collector struct {
	figures *figures.Figures
	members func() figures.Members
	fleet   func() *Fleet // nil result: there is none
}

func (c *collector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requests, taken, pending, attempts, members, unavailable, notSent, violations, listAge, calls, reloads, reloadErrors, fleetUp, fleetQuota, fleetDuty, fleetAge, fleetWeights, fleetChanges, fleetSite, fleetMet, fleetLost} {
		to <- d
	}
}

func (c *collector) Collect(to chan<- prometheus.Metric) {
	count := func(d *prometheus.Desc, n uint64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	gauge := func(d *prometheus.Desc, n float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, n, labels...)
	}
	for _, n := range c.figures.Classes() {
		for o, ended := range n.Ended {
			count(requests, ended, n.Name, figures.Outcome(o).String())
		}
		count(taken, n.Taken, n.Name)
		gauge(pending, float64(n.Pending()), n.Name)
	}
	count(attempts, c.figures.Attempts.Load())
	count(reloads, c.figures.Reloads.Load())
	count(reloadErrors, c.figures.ReloadErrors.Load())
	m := c.members()
	gauge(members, float64(m.Listed))
	gauge(unavailable, float64(m.Unavailable))
	for reason := permit.Allowed + 1; reason < permit.NumReasons; reason++ {
		count(notSent, c.figures.NotSent[reason].Load(), reason.String())
	}
	for rule := range permit.NumRules {
		count(violations, c.figures.Violations[rule].Load(), rule.String())
	}
	for _, l := range m.Lists {
		gauge(listAge, l.Age.Seconds(), l.Service)
		count(calls, l.Answered, l.Service, "answered")
		count(calls, l.Failed, l.Service, "failed")
		count(calls, l.Late, l.Service, "late")
	}
	f := c.fleet()
	if f == nil {
		return
	}
	gauge(fleetUp, float64(f.Up))
	count(fleetLost, f.Dropped, "no room")
	count(fleetLost, f.Malformed, "broken")
	count(fleetLost, f.OtherVersion, "other version")
	if w := f.Weights; w != nil {
		here := 0.0
		if w.IsLeader {
			here = 1
		}
		gauge(fleetDuty, here)
		gauge(fleetAge, w.Age.Seconds())
		gauge(fleetWeights, float64(w.Endpoints))
		count(fleetChanges, uint64(w.Changes))
		for _, s := range w.Sites {
			gauge(fleetSite, float64(s.State), s.Name)
			gauge(fleetMet, s.Fraction, s.Name)
		}
	}
	for _, q := range f.Quotas {
		gauge(fleetQuota, q.Own, q.Name, "own")
		gauge(fleetQuota, q.Granted, q.Name, "granted")
		gauge(fleetQuota, q.Demand, q.Name, "demand")
	}
}

// Server answers GET /metrics.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen opens the address. fleet returns nil while there is none.
func Listen(addr string, f *figures.Figures, members func() figures.Members, fleet func() *Fleet) (*Server, error) {
	registry := prometheus.NewPedanticRegistry()
	if err := registry.Register(&collector{f, members, fleet}); err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConns, Timeout: patience}))
	return &Server{
		listener: netutil.LimitListener(l, maxConns),
		server: &http.Server{
			Handler: mux, ReadTimeout: patience, WriteTimeout: 2 * patience, IdleTimeout: idle, MaxHeaderBytes: 8 << 10,
			ErrorLog: log.New(io.Discard, "", 0), // of single connections
		},
	}, nil
}

// Addr is where the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers until ctx ends.
func (s *Server) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("metrics", "error", err)
	}
}
