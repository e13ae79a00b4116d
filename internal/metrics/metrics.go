// Package metrics serves the figures over HTTP in the Prometheus text format. It counts nothing
// itself: it reads the counters of package figures on each scrape.
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
	"spokegw/internal/shutdown"
)

const (
	// maxConns bounds concurrent connections: enough for one or two Prometheus servers.
	maxConns    = 4
	timeout     = 5 * time.Second // for receiving a request, and for the client to read the answer
	idleTimeout = time.Minute     // between scrapes, which usually are 15 s apart
)

var (
	requests     = prometheus.NewDesc("spokegw_downstream_requests_total", "Requests that have ended, by class and outcome.", []string{"class", "outcome"}, nil)
	taken        = prometheus.NewDesc("spokegw_downstream_taken_total", "Requests taken, by class.", []string{"class"}, nil)
	pending      = prometheus.NewDesc("spokegw_pending", "Requests taken and not ended, by class.", []string{"class"}, nil)
	attempts     = prometheus.NewDesc("spokegw_upstream_requests_total", "Attempts written whole to endpoints.", nil, nil)
	stalled      = prometheus.NewDesc("spokegw_answers_stalled_total", "Attempts whose answer began and paused; they went on.", nil, nil)
	members      = prometheus.NewDesc("spokegw_members", "Endpoints in the list.", nil, nil)
	unavailable  = prometheus.NewDesc("spokegw_members_unavailable", "Endpoints in the list that are avoided.", nil, nil)
	notSent      = prometheus.NewDesc("spokegw_attempts_not_sent_total", "Attempts that were decided and not sent, by what had changed.", []string{"reason"}, nil)
	violations   = prometheus.NewDesc("spokegw_rule_violations_total", "Rules that were broken, as far as this process sees.", []string{"rule"}, nil)
	stopRequests = prometheus.NewDesc("spokegw_stop_requests_total", "Requests whose outcome the stop of the process has changed, by cause.", []string{"cause"}, nil)
	disconnects  = prometheus.NewDesc("spokegw_disconnects_total", "Requests that ended without an answer, by the evidence that their client had disconnected; unconfirmed ones went on.", []string{"evidence"}, nil)
	listAge      = prometheus.NewDesc("spokegw_list_age_seconds", "How long ago the list of a service's endpoints was last known to be current.", []string{"service"}, nil)
	calls        = prometheus.NewDesc("spokegw_discovery_calls_total", "Calls to a service's registry, by outcome; a late one counts again as it ends.", []string{"service", "outcome"}, nil)
	reloads      = prometheus.NewDesc("spokegw_config_reloads_total", "Files taken at SIGHUP.", nil, nil)
	fleetUp      = prometheus.NewDesc("spokegw_fleet_up", "Gateways of the fleet that are taken to be up, this one too.", nil, nil)
	fleetQuota   = prometheus.NewDesc("spokegw_fleet_quota", "Fractions of a quota: what this gateway may use of its own, what was granted to it, what it could use.", []string{"quota", "part"}, nil)
	fleetDuty    = prometheus.NewDesc("spokegw_fleet_duty", "1 at the gateway that holds the fleet's duty, 0 elsewhere.", nil, nil)
	fleetAge     = prometheus.NewDesc("spokegw_fleet_weights_age_seconds", "Age of the fleet's weights in force here; under 0: there are none.", nil, nil)
	fleetWeights = prometheus.NewDesc("spokegw_fleet_weights_endpoints", "Endpoints that have another weight than the list gives them.", nil, nil)
	fleetChanges = prometheus.NewDesc("spokegw_fleet_weights_changes_total", "Changes found in what endpoints can do, by the holder of the duty.", nil, nil)
	fleetSite    = prometheus.NewDesc("spokegw_fleet_site_state", "State of a site by the fleet's plan: 0 healthy, 1 suspected, 2 lost, 3 returning.", []string{"site"}, nil)
	fleetMet     = prometheus.NewDesc("spokegw_fleet_site_met", "Fraction of a site's endpoints that this gateway sends first attempts to.", []string{"site"}, nil)
	fleetLost    = prometheus.NewDesc("spokegw_fleet_messages_unused_total", "Messages of the fleet that were not used, by reason.", []string{"reason"}, nil)
	reloadErrors = prometheus.NewDesc("spokegw_config_reload_errors_total", "Files turned down at SIGHUP.", nil, nil)
	rejections   = prometheus.NewDesc("spokegw_config_rejections_total", "Files turned down at SIGHUP, by reason.", []string{"reason"}, nil)
)

// Fleet are the figures of a fleet.
type Fleet struct {
	Up                               int // gateways, including this one
	Dropped, Malformed, OtherVersion uint64
	Quotas                           []Quota
	Weights                          *Weights // nil: the fleet does not use weights
}

// Weights is the state of the fleet's weights at this gateway.
type Weights struct {
	LeaderKnown, IsLeader bool // the leader is known; this gateway is the leader
	Reporting             int  // gateways from which the leader receives reports
	Term, Table           uint64
	Age                   time.Duration // below 0: no table yet
	Stale                 bool
	Endpoints             int // with a weight that differs from the list's
	Changes               int // in the capacity of endpoints, detected by the leader
	Sites                 []Site
}

// Site is the state of a site in the fleet's plan.
type Site struct {
	Name     string
	State    int     // 0 healthy, 1 suspected, 2 lost, 3 returning
	Fraction float64 // of its endpoints that this gateway routes to
}

// Quota is the state of one quota, in fractions of it.
type Quota struct {
	Name                 string
	Own, Granted, Demand float64
}

type collector struct {
	figures *figures.Figures
	members func() figures.Members
	fleet   func() *Fleet // returns nil if there is no fleet
}

func (c *collector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requests, taken, pending, attempts, stalled, members, unavailable, notSent, violations, stopRequests, disconnects, listAge, calls, reloads, reloadErrors, rejections, fleetUp, fleetQuota, fleetDuty, fleetAge, fleetWeights, fleetChanges, fleetSite, fleetMet, fleetLost} {
		descs <- d
	}
}

func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	count := func(d *prometheus.Desc, n uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	gauge := func(d *prometheus.Desc, n float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, n, labels...)
	}
	for _, n := range c.figures.Classes() {
		for o, ended := range n.Ended {
			count(requests, ended, n.Name, figures.Outcome(o).String())
		}
		count(taken, n.Taken, n.Name)
		gauge(pending, float64(n.Pending()), n.Name)
	}
	count(attempts, c.figures.Attempts.Load())
	count(stalled, c.figures.StalledAnswers.Load())
	count(reloads, c.figures.Reloads.Load())
	count(reloadErrors, c.figures.ReloadErrors.Load())
	for reason := range figures.NumRejections {
		count(rejections, c.figures.Rejections[reason].Load(), reason.String())
	}
	m := c.members()
	gauge(members, float64(m.Listed))
	gauge(unavailable, float64(m.Unavailable))
	for reason := permit.Allowed + 1; reason < permit.NumReasons; reason++ {
		count(notSent, c.figures.NotSent[reason].Load(), reason.String())
	}
	for rule := range permit.NumRules {
		count(violations, c.figures.Violations[rule].Load(), rule.String())
	}
	for cause := range shutdown.NumCauses {
		count(stopRequests, c.figures.Stop[cause].Load(), cause.String())
	}
	for evidence := range figures.NumDisconnects {
		count(disconnects, c.figures.Disconnects[evidence].Load(), evidence.String())
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

type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen opens the address. fleet returns nil if there is no fleet.
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
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConns, Timeout: timeout}))
	return &Server{
		listener: netutil.LimitListener(l, maxConns),
		server: &http.Server{
			Handler: mux, ReadTimeout: timeout, WriteTimeout: 2 * timeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 8 << 10,
			ErrorLog: log.New(io.Discard, "", 0), // drops errors of single connections
		},
	}, nil
}

// Addr returns the server's listen address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve serves requests until ctx ends.
func (s *Server) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("metrics", "error", err)
	}
}
