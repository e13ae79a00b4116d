package federation

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"spokegw/internal/discovery"
	"spokegw/internal/lab"
)

// endpoint is one of those that serve, or did.
type endpoint struct {
	*lab.Endpoint
	entry   discovery.Entry
	came    []time.Duration // when requests came, since the federation began
	leaving time.Duration   // since when the list has it so; 0: it has not
	late    int             // requests that came later than grace after that
}

// serve starts an endpoint, in a group and a site.
func (f *Federation) serve(c lab.EndpointConfig, cell int, site string, started int64) error {
	e := &endpoint{}
	c.Seen = func(r *http.Request) { f.met(r, e) }
	var err error
	if e.Endpoint, err = lab.StartEndpoint(c); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e.entry = discovery.Entry{ID: fmt.Sprint("maps-", len(f.endpoints)), Addr: e.Addr(), Zone: site, Kind: "std", Cell: cell, State: "active", Weight: 1, StartedMS: started}
	f.endpoints = append(f.endpoints, e)
	return nil
}

// entries list the endpoints that have not left.
func (f *Federation) entries() []discovery.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := []discovery.Entry{}
	for _, e := range f.endpoints {
		if e.entry.State != "left" {
			entries = append(entries, e.entry)
		}
	}
	return entries
}

// Replace has an endpoint leave, and a new one in its place, which has just started. It
// returns the new one's number.
func (f *Federation) Replace(i int) (int, error) {
	f.mu.Lock()
	e, n := f.endpoints[i], len(f.endpoints)
	e.entry.State, e.leaving = "leaving", time.Since(f.begun)
	entry := e.entry
	f.mu.Unlock()
	err := f.serve(f.Endpoints[i%len(f.Endpoints)], entry.Cell, entry.Zone, time.Now().UnixMilli())
	if err == nil {
		f.registry.Set(f.entries())
	}
	return n, err
}

// Left has an endpoint that was replaced be gone.
func (f *Federation) Left(i int) {
	f.mu.Lock()
	f.endpoints[i].entry.State = "left"
	f.mu.Unlock()
	f.registry.Set(f.entries())
}

// grace is how long after the list has an endpoint leaving requests may still come to it:
// the platform's is 1 s, and the list is told at once; the rest is for a machine that is
// short of processors.
const grace = 1500 * time.Millisecond

// Late is how many requests came to endpoints that the list had as leaving for longer than
// they may.
func (f *Federation) Late() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		n += e.late
	}
	return n
}

// run is where and when a key first came to an endpoint, and whether it came again where its
// repeats are not dropped.
type run struct {
	at    time.Duration
	cell  int
	twice bool
}

// window is that in which endpoints of a cell drop repeats of a key.
const window = 5 * time.Second

// met notes a request at an endpoint.
func (f *Federation) met(r *http.Request, e *endpoint) {
	at := time.Since(f.begun)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ran = append(f.ran, at)
	if e.came = append(e.came, at); e.leaving > 0 && at > e.leaving+grace {
		e.late++
	}
	key, cell := r.Header.Get("Idempotency-Key"), e.entry.Cell
	if before, came := f.keys[key]; !came {
		f.keys[key] = run{at: at, cell: cell}
	} else if len(f.Sites) == 0 || cell != before.cell || at-before.at >= window { // no second copies, or out of its group or window
		before.twice = true
		f.keys[key] = before
	}
}

// Came is how many requests have come to an endpoint.
func (f *Federation) Came(endpoint int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.endpoints[endpoint].came)
}

// Times are when requests came to an endpoint, since the federation began.
func (f *Federation) Times(endpoint int) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.endpoints[endpoint].came)
}

// Endpoint is one of those that serve.
func (f *Federation) Endpoint(i int) *lab.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[i].Endpoint
}

// Ran is how many requests came to the endpoints since a time.
func (f *Federation) Ran(since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := since.Sub(f.begun)
	i, _ := slices.BinarySearch(f.ran, from)
	return len(f.ran) - i
}

// Repeated are keys that may have had an effect twice: where there are no second copies, those
// that came more than once.
func (f *Federation) Repeated() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.keys {
		if r.twice {
			n++
		}
	}
	return n
}

// jitter is by how much requests may come to the endpoints closer together than they were
// let out, on a machine that is short of processors.
const jitter = 250 * time.Millisecond

// Overshoot is by how many requests all gateways together were over what they may let out
// in any span, and how long that span was: the rate, one burst, and a request for each
// gateway, whose part of the burst may be less.
func (f *Federation) Overshoot() (over float64, span time.Duration) {
	f.mu.Lock()
	ran := slices.Clone(f.ran)
	f.mu.Unlock()
	slices.Sort(ran)
	// Over a span from request i to j it is j-i+1 - rate*(t[j]-t[i]) - bound: the largest is
	// found in one walk, as the largest difference of j - rate*t[j].
	bound := f.Burst + float64(len(f.Gateways)) + f.Rate*jitter.Seconds()
	least, leastAt := 0.0, time.Duration(0)
	for j, at := range ran {
		level := float64(j) - f.Rate*at.Seconds()
		if j == 0 || level < least {
			least, leastAt = level, at
		}
		if o := level - least + 1 - bound; o > over {
			over, span = o, at-leastAt
		}
	}
	return over, span
}
