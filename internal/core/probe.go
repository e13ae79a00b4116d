package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"spokegw/internal/permit"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// probePatience bounds a probe: the module waits for it with a timer of its
// own, so this only frees the connection.
const probePatience = time.Second

// probe asks an endpoint for its load report, or for its health where there
// are no reports.
func (s *Service) probe(id policy.EndpointID) {
	e := s.endpoints.byID[id]
	if e == nil {
		return
	}
	path := "/health/live"
	if len(s.report) > 0 {
		path = "/stats"
	}
	to := e.upstream()
	head := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nReq-Deadline: ", path, to.Addr)
	terms := upstream.Constraints{Deadline: time.Now().Add(probePatience), Gate: probing{e.listing}}
	go func() {
		defer logPanic("probe")
		a, _ := s.pool.Begin(new(upstream.Cancellation), to, &upstream.Request{Head: head}, terms, nil)
		defer a.Free()
		r := policy.ProbeResult{Endpoint: id, Result: a.Result}
		if a.Result == policy.Served {
			r.Report = parseReport(s.report, string(a.Body))
		}
		s.event(func(b *policy.Balancer, now time.Duration) []policy.Action { return b.Probed(now, r) })
	}()
}

// probing is a probe as upstream asks about it. No client waits for it, and it has no effect.
type probing struct{ of *listing }

// FillFacts fills in how the endpoint stands now.
func (p probing) FillFacts(facts *permit.Attempt) {
	facts.Endpoint = permit.EndpointStatus(p.of.now.Load())
}

// FirstByteWritten is told of what no rule is about.
func (probing) FirstByteWritten(time.Duration) {}

// reportNames are the names that a load report may use for a field of the
// settings.
var reportNames = map[string]string{
	"rif": "inflight", "q": "queue", "busy": "util", "lat_ms": "latency_ms", "rate": "qps", "fail_rate": "eps",
}

// parseReport puts a load report's values in the order of the settings; nil
// where one is missing or no number.
func parseReport(fields []string, text string) []float64 {
	values := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		values[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	var report []float64
	for _, f := range fields {
		v, ok := values[f]
		if !ok {
			v = values[reportNames[f]]
		}
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return nil
		}
		report = append(report, x)
	}
	return report
}
