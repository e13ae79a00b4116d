// Package trial runs real sidecar processes on loopback among faults of a seed: discovery
// that is silent, refuses, is cut off or slow; endpoints that drain, hang, fail and reset;
// signals, kills and restarts; clients that leave. It judges the four rules by what
// clients, endpoints and the registry saw, not by what the sidecars say.
package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/discovery"
	"spokegw/internal/lab"
	"spokegw/internal/lab/process"
	"spokegw/internal/lab/scene"
)

// Config is what is played.
type Config struct {
	Program   string   // the sidecar's command
	Env       []string // further variables of its environment
	Dir       string   // for configurations and logs
	Sidecars  int
	Endpoints int
	Clients   int // of each sidecar
	FleetSize int // as the settings tell it; 0: Sidecars
	Asked     bool
	Grace     time.Duration
	Lasts     time.Duration
	Seed      uint64
	Scene     *Scene         // a scripted course in place of a random one; nil: random
	Crowd     bool           // idle clients fill the places of some sidecars
	Cold      *lab.ColdStart // of endpoints that join, also under bursts; nil: none is cold
	Stops     StopKind       // nothing but planned stops of these kinds is played; 0: all faults are
	// OrderDeadline is the deadline of the unsafe class; 0: the usual one.
	OrderDeadline time.Duration
	// Uploaders is how many sidecars have a client that sends long bodies, while endpoints hang, read
	// slowly, reset or answer in the middle of them.
	Uploaders int
	// Readers is how many sidecars have a client that asks for answers which their endpoints write slowly, and
	// which it reads slowly at times; crowds of slow clients come then, and processes at the addresses of others.
	Readers int
	// Misbehaving is how many sidecars have a client that hides requests in others, and sends the ids of open ones.
	Misbehaving int
	Reloads     bool  // configurations change, and some are broken
	Only        []int // numbers of the faults of a random course that are played; nil: all are
}

// Scene is a course in which open watches fall silent, one endpoint begins to drain 0.2 s
// later, and the calls after that meet the faults in turn.
type Scene struct {
	Faults []CallFault
	Slow   time.Duration // before each answer from then on
}

// Report is what came of it.
type Report struct {
	Asked, Served, Refused, Failed int64
	Uploads                        int64 // requests with long bodies that were written whole
	Reads                          int64 // requests for slow answers
	Broken                         []Violation
	Late                           map[string]Lateness // by sidecar and endpoint that drains
	Heard                          []time.Duration     // after each drain, when the registry wrote it to each sidecar, in order
	Unheard                        int                 // drains that it never wrote to one
	Calls                          int                 // to the registry
	MostCalls                      int                 // in any second, of all sidecars
	Faults                         []string            // that were played
	Played                         []int               // their numbers in a random course
	Cold                           int                 // endpoints that were sent something while they were cold
	Used                           float64             // of what one of them may be sent, at most
	Worst                          time.Duration       // that this process was held up at once
	Stops                          []Stop              // in the order of their ends
	Doors                          int64               // requests that met the close of their connection and were sent again
}

// play is a run.
type play struct {
	Config
	judge     *judge
	shared    *shared
	registry  []*registry
	transfers *transfers // nil: configurations do not change
	endpoints []*endpoint
	sidecars  []*sidecarProcess
	rng       *rand.Rand
	entries   map[string]discovery.Entry

	asked, served, refused, failed, doors, uploads, readers, brokenFiles atomic.Int64

	mu     sync.Mutex
	faults []string
	played []int // by the goroutine of random alone
	stops  []Stop
	begun  time.Time
}

// Run plays it.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.FleetSize == 0 {
		c.FleetSize = c.Sidecars
	}
	p := &play{Config: c, judge: newJudge(c), rng: rand.New(rand.NewPCG(c.Seed, 44)), entries: map[string]discovery.Entry{}, begun: time.Now()}
	defer p.end()
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	playing, stop := context.WithTimeout(ctx, c.Lasts)
	defer stop()
	var observing sync.WaitGroup
	observing.Go(func() { p.judge.hold.Look(playing) })
	var clients sync.WaitGroup
	for i := range c.Sidecars {
		for k := range c.Clients {
			cl := &client{play: p, sidecar: i, rng: rand.New(rand.NewPCG(c.Seed, uint64(i*1000+k))), name: fmt.Sprintf("%d-%d-%d", c.Seed, i, k)}
			clients.Go(func() { cl.run(playing) })
		}
	}
	for i := range min(c.Uploaders, c.Sidecars) {
		clients.Go(func() { p.newUploader(i).run(playing) })
	}
	for i := range min(c.Readers, c.Sidecars) {
		clients.Go(func() { p.newReader(i).run(playing) })
	}
	for i := range min(c.Misbehaving, c.Sidecars) {
		clients.Go(func() { p.newMisbehaving(i).run(playing) })
	}
	if c.Uploaders > 0 {
		clients.Go(func() { p.treatBodies(playing) })
	}
	if c.Scene != nil {
		p.script(playing)
	} else {
		p.random(playing)
	}
	<-playing.Done()
	clients.Wait()
	observing.Wait()
	return p.report(), nil
}

func (p *play) start(ctx context.Context) error {
	var entries []discovery.Entry
	for i := range p.Endpoints {
		e, err := p.newEndpoint(fmt.Sprint("s-", i), i/2)
		if err != nil {
			return err
		}
		entries = append(entries, e)
	}
	p.shared = newShared(entries)
	if p.Reloads {
		var err error
		if p.transfers, err = startTransfers(); err != nil {
			return err
		}
	}
	for i := range p.Sidecars {
		r, err := startRegistry(p.shared)
		if err != nil {
			return err
		}
		p.registry = append(p.registry, r)
		side, err := p.newSidecar(i, entries)
		if err != nil {
			return err
		}
		p.sidecars = append(p.sidecars, side)
	}
	p.judge.registry = p.registry
	for _, s := range p.sidecars {
		if err := s.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) newEndpoint(name string, cell int) (discovery.Entry, error) {
	e := &endpoint{name: name, cell: cell, troubles: new(troubles), note: p.judge.arrives, noteAnswer: p.judge.wroteAnswer, work: p.work(), turns: make(chan struct{}, p.turns())}
	entry := discovery.Entry{ID: name, Kind: "std", Cell: cell, State: "active", Weight: 1}
	if p.Cold != nil && len(p.sidecars) > 0 { // it joins
		e.cold, e.since = p.Cold, time.Now()
		entry.StartedMS = e.since.UnixMilli()
	}
	if err := e.start(); err != nil {
		return discovery.Entry{}, err
	}
	p.endpoints = append(p.endpoints, e)
	entry.Addr = e.proxy.Addr()
	p.entries[name] = entry
	return entry, nil
}

const (
	// clientRate is about how many requests a second a client sends that is answered at once, and
	// usedPart what part that is to be of what all endpoints can do, where some are cold. A burst is
	// more than the whole.
	clientRate, usedPart = 10.0, 0.4
	// manyTurns stands for any number of requests that an endpoint works on at once.
	manyTurns = 1 << 16
)

// work is that of a request at an endpoint that is warm.
func (c *Config) work() time.Duration {
	if c.Cold == nil {
		return usualWork
	}
	return time.Duration(usedPart * float64(c.Endpoints) / (clientRate * float64(c.Sidecars*c.Clients)) * float64(time.Second))
}

// turns is how many requests an endpoint works on at once: what it can do counts where some are cold.
func (c *Config) turns() int {
	if c.Cold == nil {
		return manyTurns
	}
	return 1
}

func (p *play) end() {
	for _, s := range p.sidecars {
		s.finish()
		process.GiveBack(s.listen)
	}
	for _, e := range p.endpoints {
		e.close()
	}
	if p.transfers != nil {
		p.transfers.close()
	}
	for _, r := range p.registry {
		r.close()
	}
}

// drain has an endpoint begin to drain; "left": it is removed from the list.
func (p *play) drain(name, state string) {
	p.judge.drains(name, state)
	e := p.entries[name]
	e.State = state
	p.shared.set(e)
}

// note records that a fault was played.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, fmt.Sprintf("%6.2f ", time.Since(p.begun).Seconds())+fmt.Sprintf(format, args...))
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// script plays a scene.
func (p *play) script(ctx context.Context) {
	if !wait(ctx, 3*time.Second+time.Duration(p.rng.Int64N(int64(2*time.Second)))) {
		return
	}
	for _, r := range p.registry {
		r.silence()
		r.script(p.Scene.Faults, p.Scene.Slow)
	}
	wait(ctx, 200*time.Millisecond)
	p.drain("s-0", "leaving")
}

func (p *play) report() *Report {
	p.judge.duplicates()
	used := p.judge.cold(p.endpoints)
	r := &Report{Asked: p.asked.Load(), Uploads: p.uploads.Load(), Reads: p.readers.Load(), Served: p.served.Load(), Refused: p.refused.Load(), Failed: p.failed.Load(), Faults: p.faults, Late: p.judge.late,
		Played: p.played, Cold: len(used), Used: slices.Max(append(used, 0))}
	r.Heard, r.Unheard = p.judge.heard()
	r.Stops, r.Doors = p.stops, p.doors.Load()
	perSecond := map[int]int{}
	for _, reg := range p.registry {
		reg.mu.Lock()
		for _, at := range reg.calls {
			perSecond[int(at.Sub(p.begun)/time.Second)]++
		}
		r.Calls += len(reg.calls)
		reg.mu.Unlock()
	}
	for _, n := range perSecond {
		r.MostCalls = max(r.MostCalls, n)
	}
	for _, s := range p.sidecars {
		s.crashed()
		for _, l := range s.log.violations() {
			p.judge.breaks(Inside, l.late(&p.judge.hold), "%s: %s", s.name, l.text)
		}
	}
	r.Broken = p.judge.broken
	_, r.Worst = p.judge.hold.Within(p.begun, time.Now())
	return r
}

// sidecarProcess is one sidecar through all its processes.
type sidecarProcess struct {
	*play
	name     string
	from     *registry
	listen   string
	config   string
	operator string // path of the operator's file; "": there is none
	log      *logFile
	done     process.Disturbances
	crowds   atomic.Int64 // of idle or slow clients that are there
	ends     atomic.Int64 // counts when a stop of a process begins and when it is over

	busy sync.Mutex // held while something is done with the process
	proc *process.Process
}

func (p *play) newSidecar(i int, known []discovery.Entry) (*sidecarProcess, error) {
	listen, err := process.TakeAddr()
	if err != nil {
		return nil, err
	}
	s := &sidecarProcess{play: p, from: p.registry[i], name: fmt.Sprint("n", i), listen: listen, config: filepath.Join(p.Dir, fmt.Sprintf("n%d.json", i))}
	if s.log, err = newLogFile(filepath.Join(p.Dir, fmt.Sprintf("n%d.log", i))); err != nil {
		return nil, err
	}
	if p.transfers != nil {
		s.operator = filepath.Join(p.Dir, fmt.Sprintf("n%d.toml", i))
		if err := replaceFile(s.operator, []byte(usualOperatorFile.text(p.transfers.pods))); err != nil {
			return nil, err
		}
	}
	return s, s.configure(p.registry[i].addr(), known)
}

var effects = map[effect]string{safe: "read_like", keyed: "idempotency_key", unsafe: "non_idempotent"}

func (s *sidecarProcess) configure(registry string, known []discovery.Entry) error {
	var cold lab.ColdStart
	if s.Cold != nil {
		cold = *s.Cold
	}
	var cs []scene.Class
	for _, k := range s.classes() {
		cs = append(cs, k.definition())
	}
	text := scene.Configuration(scene.Platform{
		Name: s.name, Listen: s.listen, Registry: registry, Listed: known, FleetSize: s.FleetSize, Asked: s.Asked, Grace: s.Grace,
		ConnectTimeout: time.Second, SecondCopies: true, Classes: cs, Sockets: 256, MemoryMB: memoryMB, Cold: cold,
	})
	return s.writeConfiguration(text)
}

const readyWithin = 10 * time.Second

func (s *sidecarProcess) start(ctx context.Context) error {
	if known := s.from.begins(!s.Asked); known != nil {
		if err := s.configure(s.from.addr(), known); err != nil {
			return err
		}
	}
	proc, err := s.startProcess()
	if err != nil {
		return err
	}
	s.proc = proc
	s.awaitReady(ctx, proc)
	s.done.GoesOn()
	return nil
}

// startProcess starts a process, beside the one that serves if there is one.
func (s *sidecarProcess) startProcess() (*process.Process, error) {
	env := append([]string{"NODE_CONFIG=" + s.config, "TMPDIR=" + s.Dir}, s.Env...)
	if s.operator != "" {
		env = append(env, "SPOKEGW_OPERATOR="+s.operator)
	}
	return process.Start(s.Program, "", env, s.log)
}

// awaitReady waits until a process is ready, and judges that it is in time.
func (s *sidecarProcess) awaitReady(ctx context.Context, proc *process.Process) {
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if _, err := proc.Ready(ready); err != nil && ctx.Err() == nil {
		s.judge.breaks(Crash, sure, "%s is not ready in %v: %v", s.name, readyWithin, err)
	}
}

// kill kills the process outright and starts another.
func (s *sidecarProcess) kill(ctx context.Context) {
	s.crashed()
	s.done.Begins(process.Killed)
	s.checkMemory()
	s.proc.Kill()
	<-s.proc.Ended
	s.done.HasEnded()
	s.again(ctx)
}

func (s *sidecarProcess) again(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if err := s.start(ctx); err != nil {
		s.judge.breaks(Crash, sure, "%s: %v", s.name, err)
	}
}

// memoryMB is what a process may hold resident.
const memoryMB = 96

// checkMemory judges what the process has held at most.
func (s *sidecarProcess) checkMemory() {
	if _, most := s.proc.Memory(); most > memoryMB<<20 {
		s.judge.breaks(Crash, sure, "%s has held %d kB, %d MB are its limit", s.name, most>>10, memoryMB)
	}
}

// crashed judges that the process has not ended by itself.
func (s *sidecarProcess) crashed() {
	select {
	case <-s.proc.Ended:
		s.judge.breaks(Crash, sure, "%s has ended by itself", s.name)
	default:
	}
}

// finish ends the process for good.
func (s *sidecarProcess) finish() {
	if s.proc != nil {
		s.checkMemory()
		s.proc.Kill()
		<-s.proc.Ended
	}
	s.log.Close()
}
