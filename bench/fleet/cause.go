package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// cause is why a request was late or not served, as far as the records show. If several
// apply, the first one counts.
type cause int

const (
	causeNotAdmitted  cause = iota // refused without an attempt
	causeNoCapacity                // every attempt was declined or could not connect
	causeNoAnswer                  // an attempt got no answer or lost its connection, and the request was late or not served
	causeColdEndpoint              // answered late by a cold endpoint
	causeSlowEndpoint              // answered late by an endpoint that was late for most of its attempts in that second, without overload
	causeOverload                  // late while a fifth or more of the answers of its class were: the fleet is overloaded
	causeIsolated                  // late while others were in time: an expensive request, or chance
	causeCount
)

var causeNames = [causeCount]string{"refused at the door", "no room", "fell silent", "cold endpoint", "slow endpoint", "full fleet", "alone"}

// miss is one request that was late or not served. Cold endpoints, slow endpoints and
// overload are distinguished only once all logs are read.
type miss struct {
	cause     cause // causeIsolated: not yet decided
	class     string
	endpoint  string        // that answered late
	sentAfter time.Duration // from the arrival of the request to the sending of that attempt
	late      bool          // served, after its latency target
}

// recordMiss records a request of this second if it was late or not served. A request whose
// client disconnected counts as neither.
func (s *second) recordMiss(r *request) {
	if r.Status == 200 {
		n := s.answers[r.Class]
		n[0]++
		if r.Aim > 0 && r.Took > r.Aim {
			n[1]++
		}
		s.answers[r.Class] = n
	}
	m := miss{cause: causeIsolated, class: r.Class, late: r.Status == 200}
	noAnswer, reached := false, false
	for _, a := range r.Sent {
		switch a.Result {
		case "no answer", "connection lost", "errored":
			noAnswer, reached = true, true
		case "turned away", "no connection":
		default:
			reached = true
		}
		if a.Result == "served" {
			m.endpoint, m.sentAfter = a.Endpoint, a.After
		}
	}
	switch {
	case r.Status == 0 || m.late && (r.Aim <= 0 || r.Took <= r.Aim):
		return
	case len(r.Sent) == 0:
		m.cause = causeNotAdmitted
	case !reached:
		m.cause = causeNoCapacity
	case noAnswer || !m.late || len(r.Sent) > 1 && m.sentAfter > r.Aim/2:
		m.cause = causeNoAnswer
	}
	s.misses = append(s.misses, m)
}

// causeOf returns the cause of a miss. It requires that all logs have been read.
func (c *fleetCounts) causeOf(n int, s *second, m *miss) cause {
	if m.cause != causeIsolated {
		return m.cause
	}
	at := c.first.Add(time.Duration(n)*time.Second + m.sentAfter)
	if started, ok := c.started[m.endpoint]; ok && at.Sub(started) < c.cold {
		return causeColdEndpoint
	}
	if n := s.answers[m.class]; n[1]*5 >= n[0] {
		return causeOverload
	}
	if e := s.endpoints[m.endpoint]; e != nil && e.late > 1 && e.late*2 > e.attempts {
		return causeSlowEndpoint
	}
	return causeIsolated
}

// printCauses prints the late and the unserved requests by cause and class, as a
// percentage of all requests.
func (c *fleetCounts) printCauses(out io.Writer, from, until time.Duration) {
	total, byClass := 0, map[string]*[causeCount][2]int{} // per class and cause: not served, late
	for n, s := range c.seconds {
		if at := time.Duration(n) * time.Second; at < from || at >= until {
			continue
		}
		total += s.requests
		for i := range s.misses {
			m := &s.misses[i]
			if byClass[m.class] == nil {
				byClass[m.class] = new([causeCount][2]int)
			}
			column := 0
			if m.late {
				column = 1
			}
			byClass[m.class][c.causeOf(n, s, m)][column]++
		}
	}
	if total == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "of all requests\tclass\tnot served\tlate\t")
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		for i, n := range byClass[class] {
			if n != [2]int{} {
				fmt.Fprintf(w, "%s\t%s\t%.2f%%\t%.2f%%\t\n", causeNames[i], class, 100*float64(n[0])/float64(total), 100*float64(n[1])/float64(total))
			}
		}
	}
	w.Flush()
}
