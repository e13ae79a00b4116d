// Package federation runs several sidecars as processes of their own, which share quotas
// over links that fail, and counts at the endpoints what all of them together let out.
package federation

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/links"
	"spokegw/internal/lab/process"
)

// Config is what a federation is made of.
type Config struct {
	Program  string
	Env      []string // further variables of the processes' environment
	Dir      string   // a folder of its own
	Partners []int    // gateways of each
	Parts    []float64
	Rate     float64 // of the one quota, requests a second over all gateways
	Burst    float64
	Lease    time.Duration
	Alone    bool     // no fleet: each gateway holds its even part for itself, and knows how many there are
	Sites    []string // of gateways and endpoints, in turn; with Weights
	Weights  bool     // endpoints are weighed by what the fleet measures
	// Endpoints are what serves; none: two that do anything in a millisecond.
	Endpoints []lab.EndpointConfig
	Cold      time.Duration // that new endpoints are; 0: none is
	Seed      uint64
	Log       io.Writer // of the processes; nil: nowhere
}

// Team is the one with the quota.
const Team = "agencies"

// Federation is one that runs.
type Federation struct {
	Config
	Gateways []*Gateway
	links    [][]*links.Link // from, to
	registry *lab.Registry
	begun    time.Time
	hold     lab.HoldUps

	mu        sync.Mutex
	ran       []time.Duration // requests at the endpoints, since begun
	keys      map[string]run
	endpoints []*endpoint
}

// Start starts a federation, and waits until each process serves.
func Start(c Config) (*Federation, error) {
	f := &Federation{Config: c, begun: time.Now(), keys: map[string]run{}}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Federation) start() (err error) {
	if len(f.Endpoints) == 0 {
		whole := lab.EndpointConfig{Workers: 2000, Work: time.Millisecond, Body: 10}
		f.Endpoints = []lab.EndpointConfig{whole, whole}
	}
	for i, c := range f.Endpoints {
		if err := f.serve(c, i/4, f.site(i), 0); err != nil {
			return err
		}
	}
	if f.registry, err = lab.StartRegistry(f.entries(), nil); err != nil {
		return err
	}
	for partner, n := range f.Partners {
		for range n {
			if err := f.add(partner); err != nil {
				return err
			}
		}
	}
	if !f.Alone {
		if err := f.link(); err != nil {
			return err
		}
	}
	for _, g := range f.Gateways {
		if err := g.configure(); err != nil {
			return err
		}
		if err := g.Start(); err != nil {
			return err
		}
	}
	return nil
}

// site is that of a gateway or an endpoint; "": there are none.
func (f *Federation) site(i int) string {
	if len(f.Sites) == 0 {
		return ""
	}
	return f.Sites[i%len(f.Sites)]
}

func (f *Federation) add(partner int) error {
	g := &Gateway{Number: len(f.Gateways), Partner: partner, of: f}
	g.Name = fmt.Sprint("g", g.Number)
	g.dir, g.load = filepath.Join(f.Dir, g.Name), g.newLoad()
	f.Gateways = append(f.Gateways, g)
	var err error
	if g.listen, err = process.TakeAddr(); err == nil {
		g.fleet, err = process.TakeAddr()
	}
	if err != nil {
		return err
	}
	return os.MkdirAll(g.dir, 0o700)
}

func (f *Federation) link() error {
	for i := range f.Gateways {
		row := make([]*links.Link, len(f.Gateways))
		for j, to := range f.Gateways {
			if i == j {
				continue
			}
			l, err := links.Start(to.fleet, f.Seed+uint64(i*100+j))
			if err != nil {
				return err
			}
			row[j] = l
		}
		f.links = append(f.links, row)
	}
	return nil
}

// Set has a link fail in some way; both ways where both is true.
func (f *Federation) Set(from, to int, both bool, fault links.Fault) {
	f.links[from][to].Set(fault)
	if both {
		f.links[to][from].Set(fault)
	}
}

// Heal makes all links whole.
func (f *Federation) Heal() {
	for i := range f.Gateways {
		for j := range f.Gateways {
			if i != j {
				f.Set(i, j, false, links.Fault{})
			}
		}
	}
}

// Carried is what all links together have carried.
func (f *Federation) Carried() (datagrams, bytes int) {
	for _, row := range f.links {
		for _, l := range row {
			if l != nil {
				d, b := l.Carried()
				datagrams, bytes = datagrams+d, bytes+b
			}
		}
	}
	return datagrams, bytes
}

// SetParts has all gateways take over other parts of the partners.
func (f *Federation) SetParts(parts ...float64) error {
	f.Parts = parts
	for _, g := range f.Gateways {
		if err := g.configure(); err != nil {
			return err
		}
		g.Process().Signal(syscall.SIGHUP)
	}
	return nil
}

// Close ends everything. Processes are killed.
func (f *Federation) Close() {
	for _, g := range f.Gateways {
		if p := g.Process(); p != nil {
			p.Kill()
			<-p.Ended
		}
		process.GiveBack(g.listen)
		process.GiveBack(g.fleet)
	}
	for _, row := range f.links {
		for _, l := range row {
			if l != nil {
				l.Close()
			}
		}
	}
	for _, e := range f.endpoints {
		e.Close()
	}
	if f.registry != nil {
		f.registry.Close()
	}
}
