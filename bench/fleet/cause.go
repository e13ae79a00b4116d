package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// cause is why a request was late or not served, as far as its own sidecar's record tells.
// Where several fit, the first of them counts.
type cause int

const (
	atDoor     cause = iota // refused with no attempt made
	noRoom                  // every attempt was turned away or could not be connected
	fellSilent              // an attempt got no answer, or lost its connection, and what followed was late or nothing
	wasCold                 // answered late by an endpoint that was cold
	wasSlow                 // by one that was late for most in that second, while most others were not
	wasFull                 // late while a fifth or more of its class's answers were: the fleet is full
	wasLong                 // late for itself, among others that were in time: a heavy one, or chance
	causes
)

var causeNames = [causes]string{"refused at the door", "no room", "fell silent", "cold endpoint", "slow endpoint", "full fleet", "alone"}

// loss is one request that was late or not served. Cold, slow and full are told apart when
// all logs are read.
type loss struct {
	of       cause // wasLong: not decided yet
	class    string
	endpoint string        // that served it late
	at       time.Duration // when that attempt was sent, after the request came
	late     bool          // served, after its aim
}

// lose notes a request of this second that was late or not served. One whose client left
// is neither.
func (of *second) lose(r *request) {
	if r.Status == 200 {
		n := of.answers[r.Class]
		n[0]++
		if r.Aim > 0 && r.Took > r.Aim {
			n[1]++
		}
		of.answers[r.Class] = n
	}
	l := loss{of: wasLong, class: r.Class, late: r.Status == 200}
	silent, ran := false, false
	for _, a := range r.Sent {
		switch a.Result {
		case "no answer", "connection lost", "errored":
			silent, ran = true, true
		case "turned away", "no connection":
		default:
			ran = true
		}
		if a.Result == "served" {
			l.endpoint, l.at = a.Endpoint, a.After
		}
	}
	switch {
	case r.Status == 0 || l.late && (r.Aim <= 0 || r.Took <= r.Aim):
		return
	case len(r.Sent) == 0:
		l.of = atDoor
	case !ran:
		l.of = noRoom
	case silent || !l.late || len(r.Sent) > 1 && l.at > r.Aim/2:
		l.of = fellSilent
	}
	of.lost = append(of.lost, l)
}

// why decides what could not be before all logs were read.
func (c *counts) why(n int, of *second, l *loss) cause {
	if l.of != wasLong {
		return l.of
	}
	at := c.first.Add(time.Duration(n)*time.Second + l.at)
	if started, known := c.started[l.endpoint]; known && at.Sub(started) < c.cold {
		return wasCold
	}
	if n := of.answers[l.class]; n[1]*5 >= n[0] {
		return wasFull
	}
	if to := of.to[l.endpoint]; to != nil && to.late > 1 && to.late*2 > to.all {
		return wasSlow
	}
	return wasLong
}

// printCauses prints what became of the requests that were late or not served, by cause,
// in parts of all.
func (c *counts) printCauses(to io.Writer, from, until time.Duration) {
	all, by := 0, map[string]*[causes][2]int{} // by class: not served, late
	for n, s := range c.seconds {
		if at := time.Duration(n) * time.Second; at < from || at >= until {
			continue
		}
		all += s.requests
		for i := range s.lost {
			l := &s.lost[i]
			if by[l.class] == nil {
				by[l.class] = new([causes][2]int)
			}
			k := 0
			if l.late {
				k = 1
			}
			by[l.class][c.why(n, s, l)][k]++
		}
	}
	if all == 0 {
		return
	}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "of all requests\tclass\tnot served\tlate\t")
	for _, class := range slices.Sorted(maps.Keys(by)) {
		for i, n := range by[class] {
			if n != [2]int{} {
				fmt.Fprintf(w, "%s\t%s\t%.2f%%\t%.2f%%\t\n", causeNames[i], class, 100*float64(n[0])/float64(all), 100*float64(n[1])/float64(all))
			}
		}
	}
	w.Flush()
}
