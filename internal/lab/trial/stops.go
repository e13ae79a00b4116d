package trial

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"spokegw/internal/lab/process"
)

// Stop is one planned end of a process.
type Stop struct {
	Upgrade bool          // another process had taken over
	Killed  bool          // it had not ended by the earliest time of a kill
	Took    time.Duration // from SIGTERM to its end
}

// StopKind is a set of the kinds of planned stops.
type StopKind int

// The kinds.
const (
	Restarts StopKind = 1 << iota // another process starts when the first has ended
	Upgrades                      // another process has taken over
)

// faults are those of a run in which only stops of these kinds are played.
func (k StopKind) faults() (all []fault) {
	if k&Restarts != 0 {
		all = append(all, fault{"a restart", 1, (*play).restartOne})
	}
	if k&Upgrades != 0 {
		all = append(all, fault{"an upgrade", 2, (*play).upgradeOne})
	}
	return all
}

const (
	// killDelay is how long after SIGTERM, beyond the longest deadline and at most maxKillDeadline of
	// it, a process is killed at the earliest.
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// hangsPart of the stops meet endpoints that hang from before SIGTERM to the end of the process.
	hangsPart = 0.6
	// haltsPart of the processes stand still for haltAtMost, ending at the latest haltLead before the kill.
	haltsPart  = 0.3
	haltAtMost = 120 * time.Millisecond
	haltLead   = 10 * time.Millisecond
	seriesGap  = 30 * time.Millisecond // between two signals
)

// stopPlan is what happens around one stop.
type stopPlan struct {
	before, after []syscall.Signal // SIGTERM
	hanging       []*endpoint
	mood          mood          // of those
	halt          time.Duration // before the kill at its earliest, when the process stands still; 0: it does not
}

func (p *play) drawStop(rng *rand.Rand) (plan stopPlan) {
	if rng.IntN(4) == 0 {
		plan.before = []syscall.Signal{syscall.SIGHUP}
	}
	signals := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}
	for range rng.IntN(4) {
		plan.after = append(plan.after, signals[rng.IntN(len(signals))])
	}
	if rng.Float64() < hangsPart {
		plan.hanging, plan.mood = p.drawHanging(rng), moodHangs
		if rng.IntN(2) == 0 {
			plan.hanging, plan.mood = p.allEndpoints(), moodOftenHangs
		}
	}
	if rng.Float64() < haltsPart {
		plan.halt = span(rng, haltAtMost+haltLead, haltAtMost+200*time.Millisecond)
	}
	return plan
}

// drawHanging draws a quarter to a half of the endpoints.
func (p *play) drawHanging(rng *rand.Rand) []*endpoint {
	all := p.allEndpoints()
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:len(all)/4+rng.IntN(len(all)/4+1)]
}

func (p *play) allEndpoints() []*endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.endpoints)
}

func (p *play) restartOne(ctx context.Context, rng *rand.Rand) {
	plan := p.drawStop(rng)
	p.exchange(rng, func(s *sidecarProcess) { s.restart(ctx, plan) })
}

func (p *play) upgradeOne(ctx context.Context, rng *rand.Rand) {
	plan := p.drawStop(rng)
	p.exchange(rng, func(s *sidecarProcess) { s.upgrade(ctx, plan) })
}

// restart ends the process by SIGTERM, kills it as soon as the protocol allows, and starts
// another.
func (s *sidecarProcess) restart(ctx context.Context, plan stopPlan) {
	s.crashed()
	s.signalAll(ctx, s.proc, plan.before)
	s.done.Begins(process.Told)
	s.stop(ctx, s.proc, plan, false)
	s.done.HasEnded()
	s.again(ctx)
}

// upgrade starts a second process, and ends the first as the second is ready. Clients are owed the same
// as from one process that goes on.
func (s *sidecarProcess) upgrade(ctx context.Context, plan stopPlan) {
	s.crashed()
	old := s.proc
	next, err := s.startProcess()
	if err != nil {
		s.judge.breaks(Crash, sure, "%s: %v", s.name, err)
		return
	}
	s.awaitReady(ctx, next)
	s.proc = next
	s.signalAll(ctx, old, plan.before)
	s.stop(ctx, old, plan, true)
}

func (s *sidecarProcess) signalAll(ctx context.Context, proc *process.Process, series []syscall.Signal) {
	for _, signal := range series {
		proc.Signal(signal)
		wait(ctx, seriesGap)
	}
}

// stop ends a process by a series of signals, of which SIGTERM is the first that counts, and kills it at
// the earliest time.
func (s *sidecarProcess) stop(ctx context.Context, proc *process.Process, plan stopPlan, upgrade bool) {
	s.ends.Add(1)
	defer s.ends.Add(1)
	for _, e := range plan.hanging {
		e.treat(plan.mood)
	}
	defer func() {
		for _, e := range plan.hanging {
			e.treat(moodGood)
		}
	}()
	signalled := time.Now()
	proc.Signal(syscall.SIGTERM)
	kill := signalled.Add(min(s.longestDeadline(), maxKillDeadline) + killDelay)
	if plan.halt > 0 {
		defer time.AfterFunc(time.Until(kill.Add(-plan.halt)), func() {
			proc.Signal(syscall.SIGSTOP)
			time.Sleep(haltAtMost)
			proc.Signal(syscall.SIGCONT)
		}).Stop()
	}
	wait(ctx, seriesGap)
	s.signalAll(ctx, proc, plan.after)
	killed := false
	select {
	case <-proc.Ended:
	case <-time.After(time.Until(kill)):
		killed = true
		proc.Kill()
		<-proc.Ended
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = append(s.stops, Stop{Upgrade: upgrade, Killed: killed, Took: time.Since(signalled)})
}
