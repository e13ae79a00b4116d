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

// probeTimeout bounds a probe. The decision module has its own timer for the result, so this
// timeout only frees the connection.
const probeTimeout = time.Second

// probe requests the load report of an endpoint, or its health if there are no load reports.
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
	constraints := upstream.Constraints{Deadline: time.Now().Add(probeTimeout), Gate: probeGate{e.status}}
	go func() {
		defer logPanic("probe")
		a, _ := s.pool.Begin(new(upstream.Cancellation), to, &upstream.Request{Head: head}, constraints, nil)
		defer a.Free()
		r := policy.ProbeResult{Endpoint: id, Result: a.Result}
		if a.Result == policy.Served {
			r.Report = parseReport(s.report, string(a.Body))
		}
		s.event(func(b *policy.Balancer, now time.Duration) []policy.Action { return b.Probed(now, r) })
	}()
}

// probeGate is the gate of a probe for upstream. A probe has no client and no side effect.
type probeGate struct{ status *listStatus }

// FillFacts fills in the current status of the endpoint.
func (p probeGate) FillFacts(facts *permit.Attempt) {
	facts.Endpoint = permit.EndpointStatus(p.status.current.Load())
}

// FirstByteWritten does nothing: no rule applies to probes.
func (probeGate) FirstByteWritten(time.Duration) {}

// AnswerStalled does nothing: a probe is not repeated.
func (probeGate) AnswerStalled() {}

// reportNames are the alternative names of load report fields, by the names of the settings.
var reportNames = map[string]string{
	"rif": "inflight", "q": "queue", "busy": "util", "lat_ms": "latency_ms", "rate": "qps", "fail_rate": "eps",
}

// parseReport returns the values of a load report in the order of the settings; nil if one is
// missing or not a number.
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
		value, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return nil
		}
		report = append(report, value)
	}
	return report
}
