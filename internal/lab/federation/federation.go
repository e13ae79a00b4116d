// Package federation runs several sidecars as processes of their own, which share quotas
// over links that fail, and counts at the endpoints what all of them together let out.
package federation

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spokegw/internal/discovery"
	"spokegw/internal/lab"
	"spokegw/internal/lab/links"
	"spokegw/internal/lab/process"
	"spokegw/internal/lab/scene"
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
	asked    time.Duration // when clients began

	mu        sync.Mutex
	ran       []time.Duration // requests at the endpoints, since begun
	keys      map[string]run
	endpoints []*endpoint
}

// endpoint is one of those that serve, or did.
type endpoint struct {
	*lab.Endpoint
	entry   discovery.Entry
	came    []time.Duration // when requests came, since the federation began
	leaving time.Duration   // since when the list has it so; 0: it has not
	late    int             // requests that came later than grace after that
}

// Gateway is one of its processes.
type Gateway struct {
	Number  int
	Name    string
	Partner int
	of      *Federation
	dir     string
	host    string // of the loopback, its own
	listen  string
	fleet   string

	load    *lab.Load
	mu      sync.Mutex
	process *process.Process
	down    []span // while it was killed or stood still

	demand atomic.Int64 // requests a second that clients ask for
}

// span is a time since the federation began; an end of 0: it lasts.
type span struct{ from, to time.Duration }

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
	var err error
	g.host = fmt.Sprintf("127.0.%d.%d", 1+g.Number/200, 10+g.Number%200)
	if g.listen, err = g.freeAddr(); err == nil {
		g.fleet, err = g.freeAddr()
	}
	if err != nil {
		return err
	}
	f.Gateways = append(f.Gateways, g)
	return os.MkdirAll(g.dir, 0o700)
}

// freeAddr is a free address of the gateway's host that is not to be another one of its
// addresses, which nobody has while its process is down.
func (g *Gateway) freeAddr() (string, error) {
	for {
		addr, err := process.FreeAddrOf(g.host)
		if err != nil || addr != g.listen && addr != g.fleet {
			return addr, err
		}
	}
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

// configure writes a gateway's files.
func (g *Gateway) configure() error {
	f, size := g.of, 0
	if f.Alone {
		size = len(f.Gateways)
	}
	platform := scene.Configuration(scene.Platform{
		FleetSize: size,
		Name:      g.Name, Listen: g.listen, Registry: f.registry.Addr(), Listed: f.entries(), ConnectTimeout: 5 * time.Second, SecondCopies: len(f.Sites) > 0, Cold: f.Cold,
		Classes: []scene.Class{{"name": "status-report", "effect": "idempotency_key", "key_scope": "cell", "dedup_window_ms": window.Milliseconds(),
			"worth": 3, "late_worth": 0.4, "aim_ms": aim.Milliseconds(), "hard_limit_ms": deadline.Milliseconds()}},
	})
	if err := g.write("config.json", platform); err != nil {
		return err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "[[service]]\nname = 'maps'\n[[team]]\nname = %q\n[[team.allow]]\nservice = 'maps'\n", Team)
	if f.Alone {
		n := float64(len(f.Gateways))
		fmt.Fprintf(&b, "rate = %v\nburst = %v\n", f.Rate/n, max(1, f.Burst/n))
		return g.write("operator.toml", b.Bytes())
	}
	fmt.Fprintf(&b, "rate = %v\nburst = %v\nquota = 'fleet'\n", f.Rate, f.Burst)
	fmt.Fprintf(&b, "[fleet]\nname = %q\nlisten = %q\nlease = '%v'\nperiod = '%v'\nweights = %v\n", g.Name, g.fleet, f.Lease, f.Lease/10, f.Weights)
	for _, site := range f.Sites {
		fmt.Fprintf(&b, "[[fleet.site]]\nname = %q\n", site)
	}
	for p := range f.Partners {
		fmt.Fprintf(&b, "[[fleet.partner]]\nname = 'p%d'\npart = %v\n", p, f.Parts[p])
	}
	for _, o := range f.Gateways {
		addr := o.fleet
		if o != g {
			addr = f.links[g.Number][o.Number].Addr()
		}
		fmt.Fprintf(&b, "[[fleet.gateway]]\nname = %q\npartner = 'p%d'\naddress = %q\n", o.Name, o.Partner, addr)
		if len(f.Sites) > 0 {
			fmt.Fprintf(&b, "site = %q\n", f.site(o.Number))
		}
	}
	return g.write("operator.toml", b.Bytes())
}

// write puts a file there whole: a process may be reading the one before.
func (g *Gateway) write(name string, text []byte) error {
	path := filepath.Join(g.dir, name)
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
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

// patience bounds a wait that should end soon.
const patience = 20 * time.Second

// Start starts a gateway's process, and waits until it serves.
func (g *Gateway) Start() error {
	f := g.of
	management, err := g.freeAddr()
	if err != nil {
		return err
	}
	env := append(slices.Clone(f.Env), "NODE_CONFIG="+filepath.Join(g.dir, "config.json"), "SPOKEGW_OPERATOR="+filepath.Join(g.dir, "operator.toml"), "TMPDIR="+g.dir)
	p, err := process.Start(f.Program, management, env, f.Log)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.process = p
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := p.Ready(ctx); err != nil {
		return fmt.Errorf("federation: %s: %w", g.Name, err)
	}
	g.setDown(false)
	return nil
}

// setDown notes that the process is killed or stands still, or no longer.
func (g *Gateway) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, last := time.Since(g.of.begun), len(g.down)-1
	if lasts := last >= 0 && g.down[last].to == 0; down && !lasts {
		g.down = append(g.down, span{from: now})
	} else if !down && lasts {
		g.down[last].to = now
	}
}

// wasDown reports whether it was killed or stood still at some moment of a time.
func (g *Gateway) wasDown(from, to time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.down, func(d span) bool { return d.from <= to && (d.to == 0 || from <= d.to) })
}

// Process is the gateway's, as it was started last.
func (g *Gateway) Process() *process.Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process
}

// Kill kills the process, and waits until it has ended.
func (g *Gateway) Kill() {
	g.setDown(true)
	p := g.Process()
	p.Kill()
	<-p.Ended
}

// Restart has the process end as planned, with SIGTERM, and starts another. Requests that it
// had taken when it was told count as any other's.
func (g *Gateway) Restart() error {
	p := g.Process()
	p.Signal(syscall.SIGTERM)
	<-p.Ended
	g.setDown(true)
	return g.Start()
}

// RestartAll kills all processes of some gateways and starts others in their place, all at
// once. It returns how long each took until it was ready.
func (f *Federation) RestartAll(gateways []*Gateway) (took []time.Duration, err error) {
	var kills, starts sync.WaitGroup
	for _, g := range gateways {
		kills.Go(g.Kill)
	}
	kills.Wait()
	took = make([]time.Duration, len(gateways))
	errs := make([]error, len(gateways))
	for i, g := range gateways {
		starts.Go(func() {
			begun := time.Now()
			errs[i] = g.Start()
			took[i] = time.Since(begun)
		})
	}
	starts.Wait()
	slices.Sort(took)
	return took, errors.Join(errs...)
}

// Pause has the process stand still.
func (g *Gateway) Pause() {
	g.setDown(true)
	g.Process().Signal(syscall.SIGSTOP)
}

// GoOn has it go on.
func (g *Gateway) GoOn() {
	g.Process().Signal(syscall.SIGCONT)
	g.setDown(false)
}

// Fleet is the address at which the gateway hears the others.
func (g *Gateway) Fleet() string { return g.fleet }

// Figure is a number of what the gateway's second address tells; false: it does not.
func (g *Gateway) Figure(name string) (n float64, told bool) {
	text, err := g.Figures()
	if err != nil {
		return 0, false
	}
	_, rest, found := strings.Cut(text, "node.fleet."+name+":")
	value, _, _ := strings.Cut(rest, "|")
	n, err = strconv.ParseFloat(value, 64)
	return n, found && err == nil
}

// Figures are what the gateway's second address tells.
func (g *Gateway) Figures() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return g.Process().Ask(ctx, "show-stat")
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

// Ask has clients ask each gateway at its rate, whatever it answers, until ctx ends. It
// returns when the last answer is there, and is to be called once.
func (f *Federation) Ask(ctx context.Context) {
	var clients sync.WaitGroup
	f.asked = time.Since(f.begun)
	for _, g := range f.Gateways {
		clients.Go(func() { g.load.Run(ctx, g.listen, f.Seed+uint64(g.Number)) })
	}
	clients.Wait()
}

// aim and deadline are those of a request.
const (
	aim      = 2 * time.Second
	deadline = 5 * time.Second
)

// newLoad is what clients ask a gateway for.
func (g *Gateway) newLoad() *lab.Load {
	return &lab.Load{
		Team: Team, Method: http.MethodPost, Path: "/status-report?user=k", Kind: "status-report", Keyed: true, Give: deadline,
		Rate: func(time.Duration) float64 { return float64(g.demand.Load()) },
	}
}

// Demand sets the requests a second that clients ask each gateway for; the last is of all
// others.
func (f *Federation) Demand(of ...float64) {
	for i, g := range f.Gateways {
		g.demand.Store(int64(of[min(i, len(of)-1)]))
	}
}

// Ask sets the requests a second that clients ask this gateway for.
func (g *Gateway) Ask(demand float64) { g.demand.Store(int64(demand)) }

// Tally is what clients had of all gateways: Failed had no answer of a process that went
// on, Other one that is neither, Lost none or such a one of a process that was killed or stood
// still meanwhile, Unconnected came to one that takes no more, as it ends.
type Tally struct{ Asked, Served, OverQuota, Other, Failed, Lost, Unconnected int }

// Tally counts what has ended.
func (f *Federation) Tally() (t Tally) {
	for _, g := range f.Gateways {
		for _, r := range g.load.Results() {
			t.Asked++
			switch from := f.asked + r.At; {
			case r.Status == http.StatusOK:
				t.Served++
			case r.Status == http.StatusTooManyRequests:
				t.OverQuota++
			case g.wasDown(from, from+r.Took):
				t.Lost++
			case r.Unconnected:
				t.Unconnected++
			case r.Status != 0:
				t.Other++
			default:
				t.Failed++
			}
		}
	}
	return t
}

// Span is what became of what clients asked in a time, of processes that went on.
type Span struct{ Asked, InTime, Refused, Failed int }

// String has the parts in percent.
func (s Span) String() string {
	of := func(n int) float64 { return 100 * float64(n) / max(1, float64(s.Asked)) }
	return fmt.Sprintf("%.1f, %.1f, %.1f", of(s.InTime), of(s.Refused), of(s.Failed))
}

// Between is what became of what was asked from one time to another and has ended. Over the
// quota counts as refused.
func (f *Federation) Between(from, to time.Time) (s Span) {
	for _, g := range f.Gateways {
		for _, r := range g.load.Results() {
			at := f.asked + r.At
			if at < from.Sub(f.begun) || at > to.Sub(f.begun) || g.wasDown(at, at+r.Took) {
				continue
			}
			s.Asked++
			switch {
			case r.Status == http.StatusOK && r.Took <= aim:
				s.InTime++
			case r.Refused():
				s.Refused++
			case r.Status != http.StatusOK:
				s.Failed++
			}
		}
	}
	return s
}

// Unexpected tells what Tally counts as Other and Failed: how many by half second, gateway, status and time taken, 200 lines at most.
func (f *Federation) Unexpected() string {
	counts := map[string]int{}
	for _, g := range f.Gateways {
		for _, r := range g.load.Results() {
			from := f.asked + r.At
			if r.Status == http.StatusOK || r.Status == http.StatusTooManyRequests || r.Unconnected || g.wasDown(from, from+r.Took) {
				continue
			}
			counts[fmt.Sprintf("%5.1fs %s %d %s", from.Round(500*time.Millisecond).Seconds(), g.Name, r.Status, r.Took.Round(200*time.Millisecond))]++
		}
	}
	lines := slices.Sorted(maps.Keys(counts))
	for i, l := range lines {
		lines[i] = fmt.Sprint(l, ": ", counts[l])
	}
	return strings.Join(lines[:min(len(lines), 200)], "\n")
}

// Close ends everything. Processes are killed.
func (f *Federation) Close() {
	for _, g := range f.Gateways {
		if p := g.Process(); p != nil {
			p.Kill()
			<-p.Ended
		}
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
