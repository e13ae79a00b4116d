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

// testFederation is a federation under continuous load.
type testFederation struct {
	*federation.Federation
	t    *testing.T
	stop func() // stops the clients after their pending answers
}

// startFederation starts a federation of processes with clients whose demand is 0.
func startFederation(t *testing.T, c federation.Config) *testFederation {
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
	g := &testFederation{f, t, func() { cancel(); clients.Wait() }}
	t.Cleanup(g.stop)
	return g
}

// usage returns the part of the quota that is used during d.
func (g *testFederation) usage(d time.Duration) float64 {
	from := time.Now()
	<-time.After(d)
	return float64(g.Ran(from)) / (g.Rate * time.Since(from).Seconds())
}

// awaitCondition polls until the condition holds.
func (g *testFederation) awaitCondition(condition string, holds func() bool) {
	g.t.Helper()
	begun := time.Now()
	for !holds() {
		if time.Since(begun) > testTimeout {
			g.t.Fatalf("%s: does not hold after %v", condition, testTimeout)
		}
		<-time.After(10 * time.Millisecond)
	}
	g.t.Logf("%s after %v", condition, time.Since(begun).Round(10*time.Millisecond))
}

// metric returns a metric of a gateway; -1: it exports none.
func (g *testFederation) metric(gateway int, name string) float64 {
	if n, ok := g.Gateways[gateway].Figure(name); ok {
		return n
	}
	return -1
}

// quotaPrefix is the prefix of the quota's metrics, whose unit is a thousandth of the quota.
const quotaPrefix = "quota.maps/" + federation.Team + "/."

// awaitUsage waits until the usage during a second reaches part of the quota.
func (g *testFederation) awaitUsage(condition string, part float64) {
	g.t.Helper()
	best := 0.0
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until) && best < part; {
		best = max(best, g.usage(time.Second))
	}
	if g.t.Logf("%s: %.2f of the quota", condition, best); best < part {
		g.t.Errorf("%s: usage stays below %.2f of the quota", condition, part)
	}
}

// verify stops the clients and checks the invariants: in no interval were more requests sent than
// the quota allows, no key ran twice, no process exited by itself, and every request was answered
// unless its process was killed or stopped.
func (g *testFederation) verify() {
	g.t.Helper()
	g.stop()
	tally := g.Tally()
	g.t.Logf("%+v", tally)
	if over, span := g.Overshoot(); over > 0 {
		g.t.Errorf("%.0f requests over the quota in %v", over, span)
	}
	if n := g.Repeated(); n > 0 {
		g.t.Errorf("%d keys ran more than once", n)
	}
	if tally.Crashed > 0 {
		g.t.Errorf("%d processes exited by themselves", tally.Crashed)
	}
	if tally.Failed > 0 || tally.Other > tally.Asked/100 {
		g.t.Errorf("%d of %d requests had no answer, %d an unexpected one", tally.Failed, tally.Asked, tally.Other)
		g.t.Log(g.Unexpected())
	}
}

// Five processes of three partners share one quota while links are cut, drop and delay
// messages, and processes are killed, paused and restarted. In no interval do they send more
// than the quota together, and connected gateways make full use of it. No key runs twice, and
// every request is answered unless its process was killed or paused.
func TestQuotaOverProcesses(t *testing.T) {
	f := startFederation(t, federation.Config{
		Partners: []int{2, 2, 1}, Parts: []float64{0.4, 0.4, 0.2},
		Rate: 120, Burst: 12, Lease: time.Second, Seed: 1,
	})

	f.Demand(240, 0)
	f.awaitUsage("all the demand at one gateway", 0.9)
	f.Demand(60)
	f.awaitUsage("total demand above the quota", 0.9)

	for _, a := range []int{0, 1} { // two gateways on one side, three on the other
		for _, b := range []int{2, 3, 4} {
			f.Set(a, b, true, links.Fault{Cut: true})
		}
	}
	f.Demand(240, 0)
	f.awaitCondition("loans of the other side have expired", func() bool {
		has := f.metric(0, quotaPrefix+"own") + f.metric(0, quotaPrefix+"granted")
		return has > 360 && has <= 400
	})
	f.awaitUsage("network partitioned, all the demand on the side that owns 0.4", 0.36)
	if u := f.usage(time.Second); u > 0.5 {
		t.Errorf("a side that owns 0.4 of the quota used %.2f", u)
	}
	f.Heal()
	f.awaitUsage("healed", 0.9)

	for _, g := range f.Gateways { // the steward is among them
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
	f.usage(2 * time.Second)
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
	f.awaitUsage("after a restart of all", 0.9)

	if own := f.metric(0, quotaPrefix+"own"); own != 200 { // half of 0.4, as its demand is above its share
		t.Errorf("before the parts change the first gateway owns %.0f thousandths, want 200", own)
	}
	for _, c := range []struct {
		parts   []float64
		gateway int // whose metric shows that the change is in force
		own     float64
	}{{[]float64{0.4, 0.4, 0}, 4, 0}, {[]float64{0.5, 0.5, 0}, 0, 250}} { // one partner leaves, its part set to 0 first
		if err := f.SetParts(c.parts...); err != nil {
			t.Fatal(err)
		}
		f.awaitCondition("the changed parts are in force", func() bool { return f.metric(c.gateway, quotaPrefix+"own") == c.own })
	}
	f.awaitUsage("after a partner has left", 0.9)
	f.verify()
}

// Two gateways lend nearly all of the quota to a third, which is then cut off while they need
// their parts back; one of them is restarted and has lost its record of the loan. Neither may use
// its part until the loan's lease expires. The lease is so long that using the parts twice would
// exceed the quota by far more than the tolerance of the check at the endpoints.
func TestLoanIsNotUsedTwice(t *testing.T) {
	f := startFederation(t, federation.Config{
		Partners: []int{1, 1, 1}, Parts: []float64{0.2, 0.4, 0.4},
		Rate: 120, Burst: 12, Lease: 5 * time.Second, Seed: 3,
	})
	f.Demand(240, 0)
	f.awaitUsage("nearly all of the quota is lent to one gateway", 0.9)
	f.Demand(240, 160, 160)
	f.Set(0, 1, true, links.Fault{Cut: true})
	f.Set(0, 2, true, links.Fault{Cut: true})
	f.Gateways[1].Kill()
	if err := f.Gateways[1].Start(); err != nil {
		t.Fatal(err)
	}
	f.awaitCondition("the loans have expired and none is renewed", func() bool {
		return f.metric(0, quotaPrefix+"granted") == 0 && f.metric(1, quotaPrefix+"own") > 380 && f.metric(2, quotaPrefix+"own") > 380
	})
	f.awaitUsage("after the loans have expired", 0.9)
	f.verify()
}

// A gateway pair without a link, a flood of unreadable messages from an unknown sender, and
// gateways that wake with stale state must neither let the total exceed the quota nor cost the
// other gateways the parts that they own.
func TestQuotaUnderUnusualFaults(t *testing.T) {
	f := startFederation(t, federation.Config{
		Partners: []int{1, 1, 1}, Parts: []float64{0.4, 0.3, 0.3},
		Rate: 120, Burst: 12, Lease: time.Second, Seed: 2,
	})
	f.Demand(240, 0)
	f.awaitUsage("all the demand at one gateway", 0.9)

	f.Set(0, 2, true, links.Fault{Cut: true}) // the first and the third reach only the second
	f.awaitUsage("the link between two of three gateways is cut", 0.65)
	f.Heal()

	// Messages of later protocol versions and malformed ones, many of each, from an unknown sender.
	stranger, err := net.Dial("udp", f.Gateways[0].Fleet())
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	const userMessage = 8 // memberlist's type of a user message
	for i := range 20000 {
		stranger.Write([]byte{userMessage, byte(2 + i%3), 0xa1, 0x01})
		if i%100 == 0 {
			<-time.After(time.Millisecond)
		}
	}
	f.awaitUsage("during a flood of unreadable messages", 0.9)
	if n := f.metric(0, "messages_other_version"); n < 100 {
		t.Errorf("%.0f messages of another version were counted, want at least 100", n)
	}

	f.Demand(80) // each in turn, the steward among them, is paused for several leases and resumes with stale state
	for _, g := range f.Gateways {
		g.Pause()
		<-time.After(2500 * time.Millisecond)
		g.GoOn()
	}
	f.awaitUsage("all gateways resumed", 0.9)
	if own := f.metric(0, quotaPrefix+"own"); own < 380 { // its demand is above its share
		t.Errorf("the first gateway owns %.0f thousandths, want at least 380 of its 400", own)
	}
	f.verify()
}

// In an upgrade the new process takes over the gateway's place in the fleet once its
// predecessor releases it, and the predecessor takes it back if the new process exits.
func TestFleetUpgrade(t *testing.T) {
	s := newSidecarFixture(t)
	at := freeAddr(t)
	s.writeOperatorFile(fmt.Sprintf(`
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
	const fullQuota = "node.fleet.quota.maps/a_gencies/.own:1000|g"
	awaitQuota := func(p *sidecarProcess, what string) {
		t.Helper()
		for until := time.Now().Add(testTimeout); !strings.Contains(p.ask(t, "show-stat"), fullQuota); <-time.After(10 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%s has not joined the fleet: %s", what, p.ask(t, "show-stat"))
			}
		}
	}
	old := s.start()
	old.ready(t)
	awaitQuota(old, "the first process")
	status := exec.Command(os.Args[0], "status", "--management", old.Management)
	status.Env = append(os.Environ(), "RUN_SPOKEGW=1")
	if text, err := status.CombinedOutput(); err != nil || !regexp.MustCompile(`fleet +1 up\n(.*\n)?maps/a_gencies/ +1\.000 +0\.000 +0\.000\n`).Match(text) {
		t.Errorf("status: %v\n%s", err, text)
	}
	next := s.start()
	next.ready(t)
	awaitQuota(next, "the new process")
	if text := old.ask(t, "show-stat"); strings.Contains(text, "node.fleet") {
		t.Errorf("the predecessor is still in the fleet: %s", text)
	}
	next.Kill()
	await(t, "the new process to end", next.Ended)
	awaitQuota(old, "the first process, after the new one was killed,")
}
