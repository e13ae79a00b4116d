package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"spokegw/internal/stall"
)

// The process stalls for longer than a call may be silent, and the timer goes off
// before the answer that came meanwhile is read: the call goes on, and is ended only when
// nothing is there either.
func TestSilenceAfterAStall(t *testing.T) {
	for name, c := range map[string]struct {
		late  time.Duration // that the timer goes off
		comes bool          // an answer waits
		after time.Duration // that the call is ended
	}{
		"an answer waits":  {3 * time.Second, true, pieceGap},
		"nothing waits":    {3 * time.Second, false, readAfterStall},
		"it did not stall": {stall.Threshold - 1, false, 0},
		"something came":   {-time.Hour, false, time.Hour}, // as the timer went off
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now, ended := time.Now(), make(chan time.Time, 1)
				s := newSilence(time.Hour, func() { ended <- time.Now() })
				defer s.stop()
				s.mu.Lock()
				s.due = now.Add(-c.late)
				s.mu.Unlock()
				s.ring()
				if c.comes {
					s.allow(pieceGap)
				}
				if took := (<-ended).Sub(now); took != c.after {
					t.Errorf("ended after %v, want %v", took, c.after)
				}
			})
		})
	}
}

// agent is a registry in virtual time, over pipes. While it is silent it takes calls and
// answers none of them, also later: a watch that has fallen silent is broken.
type agent struct {
	conns  chan net.Conn
	closed chan struct{}
	close  func()

	mu      sync.Mutex
	silent  bool
	version int64
	changed chan struct{} // closed when there is another version
	calls   int
	slow    time.Duration // before each answer
	out     int           // calls that are not answered yet, and the most of them
	most    int
}

func newAgent() *agent {
	a := &agent{conns: make(chan net.Conn), closed: make(chan struct{}), version: 1, changed: make(chan struct{})}
	a.close = sync.OnceFunc(func() { close(a.closed) })
	return a
}

func (a *agent) Accept() (net.Conn, error) {
	select {
	case c := <-a.conns:
		return c, nil
	case <-a.closed:
		return nil, net.ErrClosed
	}
}

func (a *agent) Close() error   { a.close(); return nil }
func (a *agent) Addr() net.Addr { return &net.TCPAddr{} }

func (a *agent) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case a.conns <- theirs:
		return ours, nil
	case <-a.closed:
		return nil, errors.New("refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// set changes the list, or only whether it is told.
func (a *agent) set(version int64, silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version != a.version {
		close(a.changed)
		a.changed = make(chan struct{})
	}
	a.version, a.silent = version, silent
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	a.mu.Lock()
	a.calls++
	a.out++
	a.most = max(a.most, a.out)
	version, changed, silent, slow := a.version, a.changed, a.silent, a.slow
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.out--
		a.mu.Unlock()
	}()
	if err == nil && since == version && !silent {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	select {
	case <-time.After(slow):
	case <-r.Context().Done():
		return
	}
	a.mu.Lock()
	version, silent = a.version, a.silent
	a.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	json.NewEncoder(w).Encode(map[string]any{"version": version, "full": true, "servers": []Entry{{ID: "s", State: "active", Weight: float64(version)}}})
}

// knower asks again some seconds after a failure, as the module does, and notes when it
// first knew of a version.
type knower struct {
	w     *Watcher
	again time.Duration // 0: it does not

	mu sync.Mutex
	at map[int64]time.Time
}

func (k *knower) EndpointsUpdated(entries []Entry, _ bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range entries {
		if v := int64(e.Weight); k.at[v].IsZero() {
			k.at[v] = time.Now()
		}
	}
}

func (k *knower) DiscoveryLost(time.Time, bool) {
	if k.again > 0 {
		time.AfterFunc(k.again, k.w.Subscribe)
	}
}

func (k *knower) knew(version int64) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.at[version]
}

// watched plays with a watcher of an agent, in virtual time.
func watched(t *testing.T, way Mode, again time.Duration, silent bool, play func(a *agent, k *knower)) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent()
		a.silent = silent
		server := &http.Server{Handler: a}
		served := make(chan struct{})
		go func() { defer close(served); server.Serve(a) }()
		k := &knower{again: again, at: map[int64]time.Time{}}
		k.w = NewWatcher("agent", 0, false, k)
		k.w.client.http.Transport.(*http.Transport).DialContext = a.dial
		ctx, stop := context.WithCancel(context.Background())
		ran := make(chan struct{})
		go func() { defer close(ran); k.w.Run(ctx, way) }()
		k.w.Subscribe()
		play(a, k)
		stop()
		<-ran
		k.w.client.CloseIdle()
		server.Close()
		<-served
	})
}

// What changed while an agent was silent counts as told when it is back, however long it
// was gone and wherever in a watch that began.
func TestToldDuringOutage(t *testing.T) {
	const slack = 350 * time.Millisecond // a call that finds it silent still, and the pause
	for _, begun := range []time.Duration{time.Millisecond, 250 * time.Millisecond, 499 * time.Millisecond, 900 * time.Millisecond} {
		for _, lasted := range []time.Duration{time.Second, 1300 * time.Millisecond, 8 * time.Second, time.Minute} {
			watched(t, LocalAgent, 0, false, func(a *agent, k *knower) {
				time.Sleep(10*time.Second + begun)
				a.set(1, true)
				time.Sleep(lasted / 2)
				a.set(2, true)
				time.Sleep(lasted / 2)
				a.set(2, false)
				back := time.Now()
				time.Sleep(10 * time.Second)
				if late := k.knew(2).Sub(back); k.knew(2).IsZero() || late > slack {
					t.Errorf("an outage of %v, %v into a watch: known %v after it", lasted, begun, late)
				}
				a.mu.Lock()
				defer a.mu.Unlock()
				if most := int((20*time.Second + lasted) / (200 * time.Millisecond)); a.calls > most {
					t.Errorf("%d calls in %v", a.calls, 20*time.Second+lasted)
				}
			})
		}
	}
}

// One clock for silence: what a watch or a call misses is known 6 s after it fell silent,
// where lists are pushed and where they are asked for by a module that takes its time.
func TestSilenceIsNoticed(t *testing.T) {
	const clock = 6 * time.Second
	for name, c := range map[string]struct {
		way   Mode
		again time.Duration
	}{"pushed": {LocalAgent, 0}, "remote": {Remote, 0}, "asked": {OnDemand, 3 * time.Second}} {
		for _, into := range []time.Duration{time.Millisecond, time.Second, 1999 * time.Millisecond, 2001 * time.Millisecond} {
			t.Run(name+" "+into.String(), func(t *testing.T) {
				watched(t, c.way, c.again, false, func(a *agent, k *knower) {
					time.Sleep(20*time.Second + into)
					fell := time.Now()
					a.set(1, true)
					time.Sleep(50 * time.Millisecond)
					a.set(2, true)
					time.Sleep(50 * time.Millisecond)
					a.set(2, false) // to new calls; the one that is out stays silent
					time.Sleep(20 * time.Second)
					if late := k.knew(2).Sub(fell); k.knew(2).IsZero() || late > clock {
						t.Errorf("known %v after the watch fell silent", late)
					}
				})
			})
		}
	}
}

// A new process has asked the agent before it serves, and does not wait for a silent one.
func TestCalledBeforeServing(t *testing.T) {
	for _, silent := range []bool{false, true} {
		watched(t, LocalAgent, 0, silent, func(a *agent, k *knower) {
			begun := time.Now()
			<-k.w.FirstCallDone()
			if k.knew(1).IsZero() != silent || time.Since(begun) > time.Second {
				t.Errorf("silent %t: known %v, after %v", silent, k.knew(1), time.Since(begun))
			}
		})
	}
}

// Discovery answers each call late from when a watch falls silent on: it is heard as soon as it
// has answered one, and is not given up for ever however late that is. What is out stays bounded.
func TestSlowDiscoveryIsHeard(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		way   Mode
		again time.Duration
		most  int
	}{"pushed": {LocalAgent, 0, maxCalls}, "remote": {Remote, 0, 3}, "asked": {OnDemand, 400 * time.Millisecond, 3}} {
		for slow, within := range map[time.Duration]time.Duration{
			second / 2: 6 * second, 3 * second / 2: 6 * second, 5 * second / 2: 6 * second, 4 * second: 7 * second, 8 * second: 30 * second, 20 * second: 90 * second,
		} {
			t.Run(name+" "+slow.String(), func(t *testing.T) {
				watched(t, c.way, c.again, false, func(a *agent, k *knower) {
					time.Sleep(20*second + second/2)
					fell := time.Now()
					a.set(1, true)
					time.Sleep(200 * time.Millisecond)
					a.set(2, false)
					a.mu.Lock()
					a.slow, a.most = slow, 0
					a.mu.Unlock()
					time.Sleep(100 * second)
					if late := k.knew(2).Sub(fell); k.knew(2).IsZero() || late > within {
						t.Errorf("known %v after the watch fell silent, %v is expected", late, within)
					}
					time.Sleep(10 * second)
					a.mu.Lock()
					defer a.mu.Unlock()
					if a.most > c.most+1 { // one that was just given up may be seen yet
						t.Errorf("%d calls were out at once", a.most)
					}
				})
			})
		}
	}
}
