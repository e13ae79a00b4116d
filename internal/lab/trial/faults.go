package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"spokegw/internal/lab"
)

// fault is one that a random course plays. It ends by itself within a few seconds.
type fault struct {
	name  string
	often int // how often it is drawn beside the others
	play  func(p *play, ctx context.Context, rng *rand.Rand)
}

const (
	faultGap = 700 * time.Millisecond // the mean between two faults
	// leastActive is how many endpoints stay listed as active.
	leastActive = 3
	// QuietEnd is the time at the end of a random course in which nothing more is broken.
	QuietEnd = 9 * time.Second
)

func span(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}

func (p *play) someEndpoint(rng *rand.Rand) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[rng.IntN(len(p.endpoints))]
}

// someScript is a few faults of calls, as one registry gives them in turn.
func someScript(rng *rand.Rand) (faults []CallFault) {
	for range rng.IntN(3) {
		faults = append(faults, []CallFault{Refused, Reset, Cut, Unanswered}[rng.IntN(4)])
	}
	return faults
}

var randomFaults = []fault{
	{"watches fall silent, then a drain", 4, (*play).silentDrain},
	{"a drain", 3, func(p *play, _ context.Context, rng *rand.Rand) { p.drainOne(rng) }},
	{"discovery is down", 2, (*play).discoveryDown},
	{"an endpoint's mood", 5, (*play).moods},
	{"connections to an endpoint", 5, (*play).connections},
	{"a restart", 4, (*play).restartOne},
	{"an upgrade", 4, (*play).upgradeOne},
	{"a kill", 2, func(p *play, ctx context.Context, rng *rand.Rand) {
		p.exchange(rng, func(s *sidecarProcess) { s.kill(ctx) })
	}},
	{"SIGHUP", 2, func(p *play, _ context.Context, rng *rand.Rand) {
		p.exchange(rng, func(s *sidecarProcess) { s.proc.Signal(syscall.SIGHUP) })
	}},
	{"a standstill", 2, (*play).standstill},
	{"discovery moves", 2, (*play).moveDiscovery},
	{"an endpoint joins", 3, func(p *play, _ context.Context, rng *rand.Rand) { p.join() }},
	{"idle clients", 1, (*play).crowd},
}

// coldFaults are played besides where endpoints that join are cold.
var coldFaults = []fault{{"endpoints are replaced under a burst", 6, (*play).replace}}

// random plays faults at random, which overlap, until shortly before ctx ends.
func (p *play) random(ctx context.Context) {
	var playing sync.WaitGroup
	defer playing.Wait()
	faults, total := randomFaults, 0
	if p.Stops != 0 {
		faults = p.Stops.faults()
	}
	if p.Cold != nil {
		faults = slices.Concat(randomFaults, coldFaults)
	}
	if p.Readers > 0 && p.Stops == 0 {
		faults = slices.Concat(faults, slowFaults)
	}
	if p.Reloads && p.Stops == 0 {
		faults = slices.Concat(faults, reloadFaults)
	}
	for _, f := range faults {
		total += f.often
	}
	until := p.begun.Add(p.Lasts - QuietEnd)
	for number := 0; time.Now().Before(until); number++ {
		if !wait(ctx, time.Duration(p.rng.ExpFloat64()*float64(faultGap))) {
			return
		}
		n := p.rng.IntN(total)
		i := slices.IndexFunc(faults, func(f fault) bool { n -= f.often; return n < 0 })
		rng := rand.New(rand.NewPCG(p.rng.Uint64(), 1))
		if p.Only == nil || slices.Contains(p.Only, number) {
			p.played = append(p.played, number)
			p.note("%d: %s", number, faults[i].name)
			playing.Go(func() { faults[i].play(p, ctx, rng) })
		}
	}
}

// silentDrain has the watches of some sidecars fall silent and endpoints drain right after,
// with trouble for the calls that follow.
func (p *play) silentDrain(_ context.Context, rng *rand.Rand) {
	all := rng.IntN(2) == 0
	for _, r := range p.registry {
		if all || rng.IntN(3) == 0 {
			r.silence()
			r.script(someScript(rng), 0)
		}
	}
	time.Sleep(span(rng, 0, 300*time.Millisecond))
	p.drainOne(rng)
}

// drainOne has an endpoint begin to drain, or removed, where enough stay.
func (p *play) drainOne(rng *rand.Rand) {
	p.mu.Lock()
	var active []string
	for name, e := range p.entries {
		if e.State == "active" {
			active = append(active, name)
		}
	}
	if len(active) <= leastActive {
		p.mu.Unlock()
		p.join()
		return
	}
	name, state := active[rng.IntN(len(active))], "leaving"
	if rng.IntN(4) == 0 {
		state = "left"
	}
	e := p.entries[name]
	e.State = state
	p.entries[name] = e
	p.mu.Unlock()
	p.note("%s %s", name, state)
	p.judge.drains(name, state)
	p.shared.set(e)
}

// join adds an endpoint.
func (p *play) join() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.endpoints) > 4*p.Config.Endpoints {
		return
	}
	n := len(p.endpoints)
	e, err := p.newEndpoint(fmt.Sprint("s-", n), n/2)
	if err == nil {
		p.shared.set(e)
	}
}

// replace has some endpoints replaced by new ones while more clients come, that send more often.
func (p *play) replace(ctx context.Context, rng *rand.Rand) {
	burst, stop := context.WithTimeout(ctx, span(rng, 2*time.Second, 5*time.Second))
	defer stop()
	var clients sync.WaitGroup
	defer clients.Wait()
	number := rng.Uint32()
	for i := range 2 * p.Config.Sidecars * p.Clients {
		c := &client{play: p, sidecar: i % p.Config.Sidecars, rng: rand.New(rand.NewPCG(uint64(number), uint64(i))), name: fmt.Sprintf("%x-%d", number, i), burst: true}
		clients.Go(func() { c.run(burst) })
	}
	for range 1 + rng.IntN(3) {
		p.join()
		p.drainOne(rng)
		wait(burst, span(rng, 0, 300*time.Millisecond))
	}
}

func (p *play) discoveryDown(ctx context.Context, rng *rand.Rand) {
	how := []CallFault{Refused, Reset, Unanswered}[rng.IntN(3)]
	for _, r := range p.registry {
		r.fail(how)
	}
	wait(ctx, span(rng, 500*time.Millisecond, 8*time.Second))
	for _, r := range p.registry {
		r.fail(NoFault)
	}
}

func (p *play) moods(ctx context.Context, rng *rand.Rand) {
	e, m := p.someEndpoint(rng), mood(rng.IntN(int(moods)))
	p.note("%s mood %d", e.name, m)
	e.treat(m)
	wait(ctx, span(rng, 200*time.Millisecond, 4*time.Second))
	e.treat(moodGood)
}

func (p *play) connections(ctx context.Context, rng *rand.Rand) {
	e := p.someEndpoint(rng)
	e.troubles.begin()
	defer e.troubles.end()
	f := lab.ProxyFaults{}
	switch rng.IntN(8) {
	case 0:
		f.Refuse = true
	case 1:
		f.Late = span(rng, 100*time.Millisecond, 1500*time.Millisecond)
	case 2:
		f.ToClient.Cut = true
	case 3:
		f.ToServer.Silent = true
	case 4:
		f.ToClient.Silent = true
	case 5:
		f.ToClient.Trickle = true
	case 6:
		f.ToClient.Half = true
	case 7:
		e.proxy.ResetAll()
	}
	p.note("%s connections %+v", e.name, f)
	e.proxy.Set(f)
	wait(ctx, span(rng, 100*time.Millisecond, 3*time.Second))
	e.proxy.Set(lab.ProxyFaults{})
}

// exchange does something with a process that nothing else is done with meanwhile.
func (p *play) exchange(rng *rand.Rand, do func(s *sidecarProcess)) {
	s := p.sidecars[rng.IntN(len(p.sidecars))]
	if s.busy.TryLock() {
		defer s.busy.Unlock()
		do(s)
	}
}

// exchangeFree is exchange with any process that nothing else is done with, if there is one.
func (p *play) exchangeFree(rng *rand.Rand, do func(s *sidecarProcess)) {
	for _, i := range rng.Perm(len(p.sidecars)) {
		if s := p.sidecars[i]; s.busy.TryLock() {
			defer s.busy.Unlock()
			do(s)
			return
		}
	}
}

// moveDiscovery gives a sidecar a new configuration, in which discovery is elsewhere.
func (p *play) moveDiscovery(_ context.Context, rng *rand.Rand) {
	p.exchange(rng, func(s *sidecarProcess) {
		if s.from.move() == nil && s.configure(s.from.addr(), p.shared.current()) == nil {
			s.proc.Signal(syscall.SIGHUP)
		}
	})
}

// standstill holds a process up for no longer than the 0.15 s that the protocol names.
func (p *play) standstill(_ context.Context, rng *rand.Rand) {
	p.exchange(rng, func(s *sidecarProcess) {
		s.proc.Signal(syscall.SIGSTOP)
		time.Sleep(span(rng, 20*time.Millisecond, 120*time.Millisecond))
		s.proc.Signal(syscall.SIGCONT)
	})
}

// crowd has idle clients fill the places of a sidecar for some seconds.
func (p *play) crowd(ctx context.Context, rng *rand.Rand) {
	if !p.Crowd {
		return
	}
	s := p.sidecars[rng.IntN(len(p.sidecars))]
	s.crowds.Add(1)
	defer s.crowds.Add(-1)
	var idle []net.Conn
	for range 200 {
		if c, err := net.DialTimeout("tcp", s.listen, 200*time.Millisecond); err == nil {
			idle = append(idle, c)
		}
	}
	wait(ctx, span(rng, time.Second, 4*time.Second))
	for _, c := range idle {
		c.Close()
	}
	wait(ctx, 500*time.Millisecond)
}
