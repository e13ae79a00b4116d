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

// The process stalls for longer than the timeout of a call, and the timer fires before the
// answer that arrived meanwhile is read: the call continues, and expires only if nothing
// has arrived.
func TestIdleTimerAfterStall(t *testing.T) {
	for name, c := range map[string]struct {
		overdue time.Duration // of the timer
		unread  bool          // an answer is unread
		after   time.Duration // until the call expires
	}{
		"unread answer":    {3 * time.Second, true, answerIdleTimeout},
		"nothing to read":  {3 * time.Second, false, readAfterStall},
		"no process stall": {stall.Threshold - 1, false, 0},
		"timer extended":   {-time.Hour, false, time.Hour}, // as the timer fired
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now, ended := time.Now(), make(chan time.Time, 1)
				timer := newIdleTimer(time.Hour, func() { ended <- time.Now() })
				defer timer.stop()
				timer.mu.Lock()
				timer.deadline = now.Add(-c.overdue)
				timer.mu.Unlock()
				timer.fire()
				if c.unread {
					timer.extend(answerIdleTimeout)
				}
				if took := (<-ended).Sub(now); took != c.after {
					t.Errorf("expired after %v, want %v", took, c.after)
				}
			})
		})
	}
}

// agent is a registry in virtual time, over pipes. Calls that it receives while silent are
// never answered, also later: a watch that fell silent is broken.
type agent struct {
	conns  chan net.Conn
	closed chan struct{}
	close  func()

	mu            sync.Mutex
	silent        bool
	version       int64
	changed       chan struct{} // closed on a new version
	calls         int
	answerDelay   time.Duration // before each answer
	inProgress    int           // calls without an answer
	maxInProgress int
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

// set changes the version, or only whether the agent is silent.
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
	a.inProgress++
	a.maxInProgress = max(a.maxInProgress, a.inProgress)
	version, changed, silent, answerDelay := a.version, a.changed, a.silent, a.answerDelay
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.inProgress--
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
	case <-time.After(answerDelay):
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

// recorder subscribes again some seconds after a failure, as the module does, and records
// when it first knew a version.
type recorder struct {
	watcher          *Watcher
	resubscribeAfter time.Duration // delay; 0: never

	mu         sync.Mutex
	firstKnown map[int64]time.Time
}

func (r *recorder) EndpointsUpdated(entries []Entry, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if v := int64(e.Weight); r.firstKnown[v].IsZero() {
			r.firstKnown[v] = time.Now()
		}
	}
}

func (r *recorder) DiscoveryLost(time.Time, bool) {
	if r.resubscribeAfter > 0 {
		time.AfterFunc(r.resubscribeAfter, r.watcher.Subscribe)
	}
}

func (r *recorder) knownAt(version int64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstKnown[version]
}

// withAgent calls run with a watcher of an agent, in virtual time.
func withAgent(t *testing.T, mode Mode, resubscribeAfter time.Duration, silent bool, run func(a *agent, r *recorder)) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent()
		a.silent = silent
		server := &http.Server{Handler: a}
		served := make(chan struct{})
		go func() { defer close(served); server.Serve(a) }()
		r := &recorder{resubscribeAfter: resubscribeAfter, firstKnown: map[int64]time.Time{}}
		r.watcher = NewWatcher("agent", 0, false, r)
		r.watcher.client.http.Transport.(*http.Transport).DialContext = a.dial
		ctx, stop := context.WithCancel(context.Background())
		ran := make(chan struct{})
		go func() { defer close(ran); r.watcher.Run(ctx, mode) }()
		r.watcher.Subscribe()
		run(a, r)
		stop()
		<-ran
		r.watcher.client.CloseIdle()
		server.Close()
		<-served
	})
}

// A change while an agent is silent counts as notified when it is back, however long the
// outage was and at whatever time of a watch it began.
func TestChangeDuringOutage(t *testing.T) {
	const tolerance = 350 * time.Millisecond // a call that still finds it silent, and the pause
	for _, offset := range []time.Duration{time.Millisecond, 250 * time.Millisecond, 499 * time.Millisecond, 900 * time.Millisecond} {
		for _, outage := range []time.Duration{time.Second, 1300 * time.Millisecond, 8 * time.Second, time.Minute} {
			withAgent(t, LocalAgent, 0, false, func(a *agent, r *recorder) {
				time.Sleep(10*time.Second + offset)
				a.set(1, true)
				time.Sleep(outage / 2)
				a.set(2, true)
				time.Sleep(outage / 2)
				a.set(2, false)
				back := time.Now()
				time.Sleep(10 * time.Second)
				if delay := r.knownAt(2).Sub(back); r.knownAt(2).IsZero() || delay > tolerance {
					t.Errorf("outage of %v, %v into a watch: change known %v after it", outage, offset, delay)
				}
				a.mu.Lock()
				defer a.mu.Unlock()
				if limit := int((20*time.Second + outage) / (200 * time.Millisecond)); a.calls > limit {
					t.Errorf("%d calls in %v", a.calls, 20*time.Second+outage)
				}
			})
		}
	}
}

// A change that a silent watch or call does not report is known 6 s after it fell silent,
// in every mode, also if the module is slow to subscribe.
func TestSilenceDetected(t *testing.T) {
	const limit = 6 * time.Second
	for name, c := range map[string]struct {
		mode             Mode
		resubscribeAfter time.Duration
	}{"pushed": {LocalAgent, 0}, "remote": {Remote, 0}, "asked": {OnDemand, 3 * time.Second}} {
		for _, offset := range []time.Duration{time.Millisecond, time.Second, 1999 * time.Millisecond, 2001 * time.Millisecond} {
			t.Run(name+" "+offset.String(), func(t *testing.T) {
				withAgent(t, c.mode, c.resubscribeAfter, false, func(a *agent, r *recorder) {
					time.Sleep(20*time.Second + offset)
					silentSince := time.Now()
					a.set(1, true)
					time.Sleep(50 * time.Millisecond)
					a.set(2, true)
					time.Sleep(50 * time.Millisecond)
					a.set(2, false) // for new calls; the one in progress stays silent
					time.Sleep(20 * time.Second)
					if delay := r.knownAt(2).Sub(silentSince); r.knownAt(2).IsZero() || delay > limit {
						t.Errorf("known %v after the watch fell silent", delay)
					}
				})
			})
		}
	}
}

// A new process has called the agent before it serves, and does not wait for a silent one.
func TestFirstCallDone(t *testing.T) {
	for _, silent := range []bool{false, true} {
		withAgent(t, LocalAgent, 0, silent, func(a *agent, r *recorder) {
			start := time.Now()
			<-r.watcher.FirstCallDone()
			if r.knownAt(1).IsZero() != silent || time.Since(start) > time.Second {
				t.Errorf("silent %t: known %v, after %v", silent, r.knownAt(1), time.Since(start))
			}
		})
	}
}

// Discovery answers each call late from when a watch falls silent: an answer is received as soon
// as there is one, however late. The number of calls in progress stays bounded.
func TestSlowDiscoveryAnswers(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		mode             Mode
		resubscribeAfter time.Duration
		callLimit        int
	}{"pushed": {LocalAgent, 0, maxCalls}, "remote": {Remote, 0, 3}, "asked": {OnDemand, 400 * time.Millisecond, 3}} {
		for answerDelay, limit := range map[time.Duration]time.Duration{
			second / 2: 6 * second, 3 * second / 2: 6 * second, 5 * second / 2: 6 * second, 4 * second: 7 * second, 8 * second: 30 * second, 20 * second: 90 * second,
		} {
			t.Run(name+" "+answerDelay.String(), func(t *testing.T) {
				withAgent(t, c.mode, c.resubscribeAfter, false, func(a *agent, r *recorder) {
					time.Sleep(20*second + second/2)
					silentSince := time.Now()
					a.set(1, true)
					time.Sleep(200 * time.Millisecond)
					a.set(2, false)
					a.mu.Lock()
					a.answerDelay, a.maxInProgress = answerDelay, 0
					a.mu.Unlock()
					time.Sleep(100 * second)
					if delay := r.knownAt(2).Sub(silentSince); r.knownAt(2).IsZero() || delay > limit {
						t.Errorf("known %v after the watch fell silent, want %v", delay, limit)
					}
					time.Sleep(10 * second)
					a.mu.Lock()
					defer a.mu.Unlock()
					if a.maxInProgress > c.callLimit+1 { // a call that was just abandoned may still be counted
						t.Errorf("%d calls were in progress together", a.maxInProgress)
					}
				})
			})
		}
	}
}
