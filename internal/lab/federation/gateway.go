package federation

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/process"
	"spokegw/internal/lab/scene"
)

// Gateway is one of its processes.
type Gateway struct {
	Number  int
	Name    string
	Partner int
	of      *Federation
	dir     string
	listen  string
	fleet   string

	load    *lab.Load
	mu      sync.Mutex
	process *process.Process
	done    process.Disturbances
	crashes int // processes that ended by themselves, but for the one there is

	demand atomic.Int64 // requests a second that clients ask for
}

// configure writes a gateway's files.
func (g *Gateway) configure() error {
	f, size := g.of, 0
	if f.Alone {
		size = len(f.Gateways)
	}
	platform := scene.Configuration(scene.Platform{
		FleetSize: size,
		Name:      g.Name, Listen: g.listen, Registry: f.registry.Addr(), Listed: f.entries(), ConnectTimeout: 5 * time.Second, SecondCopies: len(f.Sites) > 0, Cold: lab.ColdStart{Time: f.Cold},
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

// patience bounds a wait that should end soon.
const patience = 20 * time.Second

// Start starts a gateway's process, and waits until it serves.
func (g *Gateway) Start() error {
	f := g.of
	env := append(slices.Clone(f.Env), "NODE_CONFIG="+filepath.Join(g.dir, "config.json"), "SPOKEGW_OPERATOR="+filepath.Join(g.dir, "operator.toml"), "TMPDIR="+g.dir)
	p, err := process.Start(f.Program, "", env, f.Log)
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
	g.done.GoesOn()
	return nil
}

// disturb notes that something is about to be done to the process.
func (g *Gateway) disturb(c process.Cause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endedByItself() {
		g.crashes++
	}
	g.done.Begins(c)
}

// endedByItself reports whether the process there is has ended, with nothing done to it that ends
// one; g.mu is held.
func (g *Gateway) endedByItself() bool {
	if g.process == nil || g.done.Ends() {
		return false
	}
	select {
	case <-g.process.Ended:
		return true
	default:
		return false
	}
}

// crashed is how many processes have ended by themselves.
func (g *Gateway) crashed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endedByItself() {
		return g.crashes + 1
	}
	return g.crashes
}

// Process is the gateway's, as it was started last.
func (g *Gateway) Process() *process.Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process
}

// Kill kills the process, and waits until it has ended.
func (g *Gateway) Kill() {
	g.disturb(process.Killed)
	p := g.Process()
	p.Kill()
	<-p.Ended
	g.done.HasEnded()
}

// Restart has the process end as planned, with SIGTERM, and starts another. Requests that it
// had taken when it was told count as any other's.
func (g *Gateway) Restart() error {
	g.disturb(process.Told)
	p := g.Process()
	p.Signal(syscall.SIGTERM)
	<-p.Ended
	g.done.HasEnded()
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
	g.disturb(process.Stopped)
	g.Process().Signal(syscall.SIGSTOP)
}

// GoOn has it go on.
func (g *Gateway) GoOn() {
	g.Process().Signal(syscall.SIGCONT)
	g.done.GoesOn()
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
