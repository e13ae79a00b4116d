package trial

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/process"
)

// scripted is a play of one sidecar, in whose place a listener stands that does something with each
// connection.
func scripted(t *testing.T, does func(net.Conn)) (*play, *client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() { // it ends with the listener
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go does(c)
		}
	}()
	p := &play{judge: newJudge(Config{})}
	p.sidecars = []*sidecarProcess{{play: p, name: "n0", listen: l.Addr().String()}}
	return p, &client{play: p, rng: rand.New(rand.NewPCG(1, 1)), name: "c"}
}

const classSafe = 0

// drops reads a request, and closes the connection with no answer.
func drops(c net.Conn) {
	http.ReadRequest(bufio.NewReader(c))
	c.Close()
}

// expect asks once on a new connection, and looks whether that counts as lost.
func expect(t *testing.T, p *play, c *client, lost bool) {
	t.Helper()
	c.ask(classSafe, 1)
	if n := len(p.judge.broken); (n > 0) != lost {
		t.Errorf("%d violations: %v; lost is expected: %t", n, p.judge.broken, lost)
	}
}

// The next process is there, and has not said yet that it is ready: what it drops was not cut off
// by the kill of the one before.
func TestDroppedByTheNextProcess(t *testing.T) {
	p, c := scripted(t, drops)
	p.sidecars[0].done.Begins(process.Killed)
	p.sidecars[0].done.HasEnded()
	expect(t, p, c, true)
}

// A request that is open at a kill is cut off by it.
func TestCutOffByAKill(t *testing.T) {
	var p *play
	p, c := scripted(t, func(c net.Conn) {
		http.ReadRequest(bufio.NewReader(c))
		p.sidecars[0].done.Begins(process.Killed)
		c.Close()
		p.sidecars[0].done.HasEnded()
	})
	expect(t, p, c, false)
}

// A process that was told to end takes connections still: what it drops at once is lost. When
// clients make no new ones any more it may shut one with nothing read, also where the next process
// is there before that is looked at.
func TestDroppedByAProcessThatEnds(t *testing.T) {
	p, c := scripted(t, drops)
	p.sidecars[0].done.Begins(process.Told)
	expect(t, p, c, true)

	p, c = scripted(t, func(c net.Conn) {
		drops(c)
		p.sidecars[0].done.HasEnded()
		p.sidecars[0].done.GoesOn()
	})
	p.sidecars[0].done.Begins(process.Told)
	<-time.After(400 * time.Millisecond) // in which new connections come
	expect(t, p, c, false)
}

// A request on a kept connection that crosses its close is sent again; one that the process held for
// long is lost with it, also where no endpoint has met it.
func TestHeldRequestEndsWithItsProcess(t *testing.T) {
	for held, lost := range map[time.Duration]bool{0: false, 600 * time.Millisecond: true} {
		p, c := scripted(t, func(conn net.Conn) {
			r := bufio.NewReader(conn)
			first, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body := answerTo(first.Header.Get("Req-Id"))
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			http.ReadRequest(r)
			<-time.After(held)
			conn.Close()
		})
		c.ask(classSafe, 1)
		expect(t, p, c, lost)
	}
}

// A connection is refused by a process that nothing was done to; then it is killed.
func TestRefusedBeforeAKill(t *testing.T) {
	p, c := scripted(t, drops)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.sidecars[0].listen = l.Addr().String()
	l.Close()
	expect(t, p, c, true)

	p.judge.broken = nil
	p.sidecars[0].done.Begins(process.Killed)
	expect(t, p, c, false)
}

// Two crowds overlap: as the first goes the second is there still.
func TestShutInTheSecondCrowd(t *testing.T) {
	p, c := scripted(t, drops)
	p.sidecars[0].crowds.Add(1)
	p.sidecars[0].crowds.Add(1)
	p.sidecars[0].crowds.Add(-1)
	expect(t, p, c, false)
	p.sidecars[0].crowds.Add(-1)
	expect(t, p, c, true)
}

// What was written to a sidecar counts as told, also while discovery is down.
func TestToldBeforeDiscoveryIsDown(t *testing.T) {
	r := &registry{shared: newShared(nil), quiet: make(chan struct{}), heard: map[string]time.Time{}}
	made := time.Now()
	r.note([]string{"s-0=leaving"})
	r.fail(Unanswered)
	if told, written := r.countsAsTold("s-0=leaving", made); !written || time.Until(told) > 0 {
		t.Errorf("told at %v, written %t", told, written)
	}
	if told, written := r.countsAsTold("s-1=leaving", made); written || time.Until(told) < time.Minute {
		t.Errorf("what was not written counts as told at %v, written %t", told, written)
	}
}

// A hold-up of this machine is a reason for what was to be over in it, and for nothing that began
// after it, or that is over for long.
func TestHeldUp(t *testing.T) {
	j := newJudge(Config{})
	now := time.Now()
	j.hold.Note(now.Add(-10*time.Second), now.Add(-9500*time.Millisecond))
	if slack := j.slack(); slack > time.Second/2 || j.lateSince(now.Add(-11*time.Second)) {
		t.Errorf("long after a hold-up: slack %v", slack)
	}
	j.hold.Note(now.Add(-3*time.Second), now.Add(-2500*time.Millisecond))
	if slack := j.slack(); slack < time.Second {
		t.Errorf("after a hold-up: slack %v", slack)
	}
	if !j.lateSince(now.Add(-3*time.Second)) || j.lateSince(now.Add(-2*time.Second)) {
		t.Error("what began after a hold-up is excused by it, or what began before is not")
	}
	if f := (finding{"msg=panic", now.Add(-2 * time.Second)}); f.late(&j.hold) {
		t.Error("a panic is excused by a hold-up")
	}
	if f := (finding{ruleMark, now.Add(-2 * time.Second)}); !f.late(&j.hold) {
		t.Error("a rule violated in a hold-up is not for it")
	}
}

// A cold endpoint that has one worker, for 10 ms a request, and begins with a tenth, may be sent 30
// and 2 x root of 30 + 2 requests within a second, by all sidecars together.
func TestColdEndpointIsSentTooMuchByAll(t *testing.T) {
	begun := time.Now().Add(-20 * time.Second)
	e := &endpoint{name: "s-1", work: 10 * time.Millisecond, since: begun, cold: &lab.ColdStart{Time: time.Hour, Least: 0.1, Multiple: 3, Span: time.Second}}
	j := newJudge(Config{})
	sends := func(n int) {
		for i := range n {
			id := fmt.Sprint("of sidecar ", i)
			j.arrivals[id] = append(j.arrivals[id], arrival{endpoint: "s-1", first: begun}, arrival{endpoint: "s-2", first: begun})
		}
	}
	sends(42)
	if used := j.cold([]*endpoint{e, {name: "s-2"}}); len(used) != 1 || len(j.broken) > 0 {
		t.Errorf("sent all that it may be: %v, %v", used, j.broken)
	}
	sends(1)
	if j.cold([]*endpoint{e}); len(j.broken) != 1 || j.broken[0].Rule != Failback {
		t.Errorf("sent one more: %v", j.broken)
	}
}
