package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// request is the part of a request record that is evaluated.
type request struct {
	At     time.Time     `json:"at"`
	Class  string        `json:"class"`
	Status int           `json:"status"`
	Aim    time.Duration `json:"aim_ns"`
	Took   time.Duration `json:"took_ns"`
	Sent   []struct {
		After    time.Duration `json:"after_ns"`
		Endpoint string        `json:"endpoint"`
		Result   string        `json:"result"`
		Took     time.Duration `json:"took_ns"`
		Dialled  bool          `json:"dialled"`
	} `json:"sent"`
}

// second holds the counts of one second, over all sidecars.
type second struct {
	requests, served, notAdmitted, refused, failed int // notAdmitted: refused without an attempt
	attempts, retries, hedged, dialled             int // hedged: sent while another attempt was in flight
	declined, unconnected, silent                  int
	calls, failedCalls                             int // to discovery
	endpoints                                      map[string]*endpointCounts
	misses                                         []miss            // late or not served
	answers                                        map[string][2]int // answers with status 200 by class: all, late
}

// endpointCounts counts the attempts at one endpoint in a second.
type endpointCounts struct{ attempts, failed, late int }

// change is a state of an endpoint as discovery reported it.
type change struct{ id, state, started string }

type sidecar struct{ name string }

// fleetCounts accumulates the counts of a whole fleet.
type fleetCounts struct {
	cold      time.Duration
	first     time.Time // start of the first second
	seconds   map[int]*second
	started   map[string]time.Time // start times of endpoints; missing for those that started long ago
	received  map[change]map[string]time.Time
	malformed int // lines that look like a record but can't be parsed
}

func newFleetCounts(cold time.Duration) *fleetCounts {
	return &fleetCounts{cold: cold, seconds: map[int]*second{}, started: map[string]time.Time{}, received: map[change]map[string]time.Time{}}
}

// addLine adds one line of a sidecar's log. It uses the timestamp of the line itself, so that
// clocks that a benchmark sets for processes agree.
func (c *fleetCounts) addLine(s *sidecar, text string) {
	if i := strings.IndexByte(text, '{'); i >= 0 && strings.Contains(text[i:], `"took_ns"`) {
		var r request
		if json.Unmarshal([]byte(text[i:]), &r) != nil || r.At.IsZero() {
			c.malformed++
			return
		}
		c.addRequest(&r)
		return
	}
	fields := parseFields(text)
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return
	}
	switch fields["msg"] {
	case "endpoint":
		c.addEndpointEvent(s, at, fields)
	case "discovery call":
		if fields["first"] == "true" {
			sec := c.secondAt(at)
			sec.calls++
			if fields["error"] != "<nil>" {
				sec.failedCalls++
			}
		}
	}
}

// parseFields parses a line in slog's text format.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for text != "" {
		text = strings.TrimLeft(text, " ")
		name, value, found := strings.Cut(text, "=")
		if i := strings.LastIndexByte(name, ' '); i >= 0 {
			name = name[i+1:]
		}
		if !found {
			break
		}
		if quoted, err := strconv.QuotedPrefix(value); err == nil {
			fields[name], _ = strconv.Unquote(quoted)
			text = value[len(quoted):]
			continue
		}
		fields[name], text, _ = strings.Cut(value, " ")
	}
	return fields
}

func (c *fleetCounts) addEndpointEvent(s *sidecar, at time.Time, fields map[string]string) {
	id := fields["id"]
	if ms, err := strconv.ParseInt(fields["started_ms"], 10, 64); err == nil && ms > 0 {
		c.started[id] = time.UnixMilli(ms)
	}
	ch := change{id, fields["state"], fields["started_ms"]}
	if c.received[ch] == nil {
		c.received[ch] = map[string]time.Time{}
	}
	if _, ok := c.received[ch][s.name]; !ok {
		c.received[ch][s.name] = at
	}
}

func (c *fleetCounts) secondAt(at time.Time) *second {
	if c.first.IsZero() {
		c.first = at.Truncate(time.Second)
	}
	n := int(at.Sub(c.first) / time.Second)
	if c.seconds[n] == nil {
		c.seconds[n] = &second{endpoints: map[string]*endpointCounts{}, answers: map[string][2]int{}}
	}
	return c.seconds[n]
}

func (c *fleetCounts) addRequest(r *request) {
	sec := c.secondAt(r.At)
	sec.requests++
	switch {
	case r.Status == 200:
		sec.served++
	case r.Status == 429 || r.Status == 503:
		sec.refused++
		if len(r.Sent) == 0 {
			sec.notAdmitted++
		}
	case r.Status != 0:
		sec.failed++
	}
	sec.recordMiss(r)
	var busyUntil time.Duration // latest end of the preceding attempts
	for i, a := range r.Sent {
		sec := c.secondAt(r.At.Add(a.After))
		sec.attempts++
		if i > 0 {
			sec.retries++
			if a.After < busyUntil {
				sec.hedged++
			}
		}
		if a.Took > 0 {
			busyUntil = max(busyUntil, a.After+a.Took)
		} else {
			busyUntil = max(busyUntil, r.Took)
		}
		if a.Dialled {
			sec.dialled++
		}
		e := sec.endpoints[a.Endpoint]
		if e == nil {
			e = &endpointCounts{}
			sec.endpoints[a.Endpoint] = e
		}
		e.attempts++
		if a.Result == "served" && r.Aim > 0 && a.Took > r.Aim {
			e.late++
		}
		switch a.Result {
		case "turned away":
			sec.declined++
		case "no connection":
			sec.unconnected++
		case "no answer":
			sec.silent++
		case "connection lost", "errored":
		default:
			continue // served, cancelled, or in flight when its request was answered
		}
		e.failed++
	}
}

// coldToWarm returns the ratio of attempts per cold endpoint to attempts per warm endpoint in a
// second; 0 if there were none of either group.
func (c *fleetCounts) coldToWarm(n int, sec *second) float64 {
	at := c.first.Add(time.Duration(n) * time.Second)
	var attempts, endpoints [2]float64
	for id, e := range sec.endpoints {
		started, ok := c.started[id]
		group := 0
		if ok && at.Sub(started) < c.cold {
			group = 1
		}
		attempts[group] += float64(e.attempts)
		endpoints[group]++
	}
	if attempts[0] == 0 || endpoints[1] == 0 {
		return 0
	}
	return attempts[1] / endpoints[1] / (attempts[0] / endpoints[0])
}

// failingShare returns the fraction of the attempts that went to endpoints which failed more
// than half of theirs.
func (s *second) failingShare() float64 {
	failing, all := 0, 0
	for _, e := range s.endpoints {
		all += e.attempts
		if e.failed*2 > e.attempts {
			failing += e.attempts
		}
	}
	return float64(failing) / float64(max(all, 1))
}

// lags returns, sorted, how long after the first sidecar each one received each change.
// States that existed at the start are left out.
func (c *fleetCounts) lags() (all []time.Duration) {
	for ch, times := range c.received {
		if ch.state == "active" && ch.started == "0" {
			continue
		}
		var first time.Time
		for _, at := range times {
			if first.IsZero() || at.Before(first) {
				first = at
			}
		}
		for _, at := range times {
			all = append(all, at.Sub(first))
		}
	}
	slices.Sort(all)
	return all
}

func (c *fleetCounts) print(out io.Writer, from, until time.Duration) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "s\tasked\tserved\tdoor\trefused\tfailed\tattempts\trepeats\tcopies\tdialled\tdeclined\tunconnected\tsilent\tsick\tcold/warm\tcalls\tcalls failed\t")
	for _, n := range slices.Sorted(maps.Keys(c.seconds)) {
		if at := time.Duration(n) * time.Second; at < from || at >= until {
			continue
		}
		s := c.seconds[n]
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f%%\t%.2f\t%d\t%d\t\n", n, s.requests, s.served, s.notAdmitted, s.refused, s.failed,
			s.attempts, s.retries, s.hedged, s.dialled, s.declined, s.unconnected, s.silent, 100*s.failingShare(), c.coldToWarm(n, s), s.calls, s.failedCalls)
	}
	w.Flush()
	c.printCauses(out, from, until)
	if lags := c.lags(); len(lags) > 0 {
		at := func(q float64) time.Duration {
			return lags[int(q*float64(len(lags)-1))].Round(time.Millisecond)
		}
		fmt.Fprintf(out, "changes heard of after the first sidecar that did: half within %v, nine in ten %v, all %v; %d tellings\n", at(0.5), at(0.9), at(1), len(lags))
	}
	if c.malformed > 0 {
		fmt.Fprintf(out, "%d lines could not be read\n", c.malformed)
	}
}
