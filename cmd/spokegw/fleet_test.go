package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"spokegw/internal/lab/federation"
	"spokegw/internal/lab/links"
)

// gathering is a federation whose clients ask all the time.
type gathering struct {
	*federation.Federation
	t    *testing.T
	stop func() // ends the clients, once they have their answers
}

// gather starts a federation of processes, and clients that ask for nothing yet.
func gather(t *testing.T, c federation.Config) *gathering {
	t.Helper()
	c.Program, c.Env, c.Dir = os.Args[0], []string{"RUN_SPOKEGW=1"}, t.TempDir()
	f, err := federation.Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { f.Ask(ctx) })
	g := &gathering{f, t, func() { cancel(); clients.Wait() }}
	t.Cleanup(g.stop)
	return g
}

// used is the part of the quota that is used over a time.
func (g *gathering) used(d time.Duration) float64 {
	from := time.Now()
	<-time.After(d)
	return float64(g.Ran(from)) / (g.Rate * time.Since(from).Seconds())
}

// until waits until something is so at the processes, which tell when they are asked.
func (g *gathering) until(what string, so func() bool) {
	g.t.Helper()
	begun := time.Now()
	for !so() {
		if time.Since(begun) > patience {
			g.t.Fatalf("%s: not so after %v", what, patience)
		}
		<-time.After(10 * time.Millisecond)
	}
	g.t.Logf("%s after %v", what, time.Since(begun).Round(10*time.Millisecond))
}

// figure is a number of a gateway's; -1: it tells none.
func (g *gathering) figure(gateway int, name string) float64 {
	if n, told := g.Gateways[gateway].Figure(name); told {
		return n
	}
	return -1
}

// quotaFigure is what the figures of the one quota begin with; they are thousandths.
const quotaFigure = "quota.maps/" + federation.Team + "/."

// becomes waits until as much is used in a second as there should be.
func (g *gathering) becomes(what string, part float64) {
	g.t.Helper()
	best := 0.0
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until) && best < part; {
		best = max(best, g.used(time.Second))
	}
	if g.t.Logf("%s: %.2f of the quota", what, best); best < part {
		g.t.Errorf("%s: %.2f is expected", what, part)
	}
}

// check ends the clients: in no span was more let out than the quota, nothing ran twice,
// no process ended by itself, and each request has its answer but where it was cut off.
func (g *gathering) check() {
	g.t.Helper()
	g.stop()
	tally := g.Tally()
	g.t.Logf("%+v", tally)
	if over, span := g.Overshoot(); over > 0 {
		g.t.Errorf("%.0f more than the quota in %v", over, span)
	}
	if n := g.Repeated(); n > 0 {
		g.t.Errorf("%d keys ran twice", n)
	}
	if tally.Crashed > 0 {
		g.t.Errorf("%d processes ended by themselves", tally.Crashed)
	}
	if tally.Failed > 0 || tally.Other > tally.Asked/100 {
		g.t.Errorf("%d of %d had no answer, %d an unexpected one", tally.Failed, tally.Asked, tally.Other)
		g.t.Log(g.Unexpected())
	}
}

// Five processes of three partners share one quota while links are cut, lose and delay,
// and processes are killed, paused and started anew. In no span do all together let out
// more than the quota; what is connected uses it; nothing runs twice, and each request
// has its answer but where its process was killed or stood still.
func TestQuotaOverProcesses(t *testing.T) {
	f := gather(t, federation.Config{
		Partners: []int{2, 2, 1}, Parts: []float64{0.4, 0.4, 0.2},
		Rate: 120, Burst: 12, Lease: time.Second, Seed: 1,
	})

	f.Demand(240, 0)
	f.becomes("all the demand at one", 0.9)
	f.Demand(60)
	f.becomes("all want more than there is", 0.9)

	for _, a := range []int{0, 1} { // two of one side, three of the other
		for _, b := range []int{2, 3, 4} {
			f.Set(a, b, true, links.Fault{Cut: true})
		}
	}
	f.Demand(240, 0)
	f.until("what the other side lent has ended", func() bool {
		has := f.figure(0, quotaFigure+"own") + f.figure(0, quotaFigure+"granted")
		return has > 360 && has <= 400
	})
	f.becomes("cut in two, the demand on the side that owns 0.4", 0.36)
	if u := f.used(time.Second); u > 0.5 {
		t.Errorf("a side that owns 0.4 used %.2f", u)
	}
	f.Heal()
	f.becomes("healed", 0.9)

	for _, g := range f.Gateways { // whoever is steward is among them
		g.Pause()
		<-time.After(700 * time.Millisecond)
		g.GoOn()
	}
	f.Demand(80)
	for i := range f.Gateways {
		for j := range f.Gateways {
			if i != j && (i+j)%2 == 0 {
				f.Set(i, j, false, links.Fault{Drop: 0.3, Delay: 200 * time.Millisecond, Jitter: 400 * time.Millisecond, Duplicate: 0.2})
			}
		}
	}
	f.Gateways[1].Kill()
	if err := f.Gateways[1].Start(); err != nil {
		t.Fatal(err)
	}
	f.used(2 * time.Second)
	f.Heal()
	f.Demand(200, 0)
	for _, g := range f.Gateways { // all at once
		g.Kill()
	}
	for _, g := range f.Gateways {
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.becomes("after all were started anew", 0.9)

	if own := f.figure(0, quotaFigure+"own"); own != 200 { // half of 0.4, as it wants all
		t.Errorf("before the parts change the first gateway owns %.0f thousandths", own)
	}
	for _, c := range []struct {
		parts   []float64
		gateway int // that shows that it was taken over
		own     float64
	}{{[]float64{0.4, 0.4, 0}, 4, 0}, {[]float64{0.5, 0.5, 0}, 0, 250}} { // one leaves, lowered first
		if err := f.SetParts(c.parts...); err != nil {
			t.Fatal(err)
		}
		f.until("other parts are in force", func() bool { return f.figure(c.gateway, quotaFigure+"own") == c.own })
	}
	f.becomes("after a partner has left", 0.9)
	f.check()
}

// The others lend nearly all to one gateway, which then is cut off with it while they all
// want their parts back, one of them as a new process that knows nothing of what it lent:
// nobody uses them until what was lent has ended. The lease is so long that twice the use
// of them would be far over what the endpoints allow for.
func TestLentIsNotUsedTwice(t *testing.T) {
	f := gather(t, federation.Config{
		Partners: []int{1, 1, 1}, Parts: []float64{0.2, 0.4, 0.4},
		Rate: 120, Burst: 12, Lease: 5 * time.Second, Seed: 3,
	})
	f.Demand(240, 0)
	f.becomes("nearly all is lent to one", 0.9)
	f.Demand(240, 160, 160)
	f.Set(0, 1, true, links.Fault{Cut: true})
	f.Set(0, 2, true, links.Fault{Cut: true})
	f.Gateways[1].Kill()
	if err := f.Gateways[1].Start(); err != nil {
		t.Fatal(err)
	}
	f.until("what was lent has ended, and nothing is fresh any more", func() bool {
		return f.figure(0, quotaFigure+"granted") == 0 && f.figure(1, quotaFigure+"own") > 380 && f.figure(2, quotaFigure+"own") > 380
	})
	f.becomes("once what was lent has ended", 0.9)
	f.check()
}

// What one gateway of a federation, or a stranger at its door, does wrong: the sum holds,
// and what the others own stays theirs.
func TestQuotaOddShapes(t *testing.T) {
	f := gather(t, federation.Config{
		Partners: []int{1, 1, 1}, Parts: []float64{0.4, 0.3, 0.3},
		Rate: 120, Burst: 12, Lease: time.Second, Seed: 2,
	})
	f.Demand(240, 0)
	f.becomes("all the demand at one", 0.9)

	f.Set(0, 2, true, links.Fault{Cut: true}) // the first sees the second, that one the third
	f.becomes("two of three see one another, in a row", 0.65)
	f.Heal()

	// A later program, noise, and many of each, from a stranger.
	stranger, err := net.Dial("udp", f.Gateways[0].Fleet())
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	const userMessage = 8 // memberlist's
	for i := range 20000 {
		stranger.Write([]byte{userMessage, byte(2 + i%3), 0xa1, 0x01})
		if i%100 == 0 {
			<-time.After(time.Millisecond)
		}
	}
	f.becomes("beside a flood of what can't be read", 0.9)
	if n := f.figure(0, "messages_other_version"); n < 100 {
		t.Errorf("%.0f messages of another version were counted", n)
	}

	f.Demand(80) // the steward, whoever it is, sleeps through several leases with what it believed
	for _, g := range f.Gateways {
		g.Pause()
		<-time.After(2500 * time.Millisecond)
		g.GoOn()
	}
	f.becomes("all awake again", 0.9)
	if own := f.figure(0, quotaFigure+"own"); own < 380 { // it wants more than it owns
		t.Errorf("the first has %.0f thousandths of its 400", own)
	}
	f.check()
}

// A process that takes over has the place in the fleet once the one before lets it go,
// and that one takes it again if the new one ends.
func TestFleetUpgrade(t *testing.T) {
	s := newSite(t)
	at := freeAddr(t)
	s.operate(fmt.Sprintf(`
[[service]]
name = "maps"
[[team]]
name = "a:gencies"
[[team.allow]]
service = "maps"
rate = 100
quota = "fleet"
[fleet]
name = "g0"
listen = %q
lease = "500ms"
period = "50ms"
[[fleet.partner]]
name = "p"
part = 1
[[fleet.gateway]]
name = "g0"
partner = "p"
address = %q
`, at, at))
	const whole = "node.fleet.quota.maps/a_gencies/.own:1000|g"
	has := func(p *running, what string) {
		t.Helper()
		for until := time.Now().Add(patience); !strings.Contains(p.ask(t, "show-stat"), whole); <-time.After(10 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%s has no place in the fleet: %s", what, p.ask(t, "show-stat"))
			}
		}
	}
	old := s.start()
	old.ready(t)
	has(old, "the first process")
	status := exec.Command(os.Args[0], "status", "--management", old.Management)
	status.Env = append(os.Environ(), "RUN_SPOKEGW=1")
	if text, err := status.CombinedOutput(); err != nil || !regexp.MustCompile(`fleet +1 up\n(.*\n)?maps/a_gencies/ +1\.000 +0\.000 +0\.000\n`).Match(text) {
		t.Errorf("status: %v\n%s", err, text)
	}
	next := s.start()
	next.ready(t)
	has(next, "the one that took over")
	if text := old.ask(t, "show-stat"); strings.Contains(text, "node.fleet") {
		t.Errorf("the one before has its place still: %s", text)
	}
	next.Kill()
	await(t, "the end of the new one", next.Ended)
	has(old, "the first process, alone again,")
}
