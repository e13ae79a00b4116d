package discovery

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/permit"
)

// Mode is how a registry is come to.
type Mode struct {
	// wait is how long a call may be silent when nothing changes; of the first call of a
	// watch, first. What a watch that fell silent would have told counts as told 6 s after
	// it did, or 2 s after its wait is over, so that is short.
	wait, first time.Duration
	// patience is for an answer to begin after that; waits, of the first call, at most: where
	// such calls are usually answered sooner it is less. A call that begins a watch waits in
	// turn at discovery; one that goes on with a watch does not. What takes longer is late:
	// another call is made beside it, and both are waited for.
	patience, waits time.Duration
	pause           time.Duration // until a watch is begun anew; 0: until the module asks
	most            int           // calls that are out together
}

var (
	// OnDemand is discovery that is asked by all: each call costs it work. The first call of a
	// watch need not wait: no answer then tells that discovery can't be reached.
	OnDemand = Mode{wait: 2 * time.Second, first: time.Millisecond, patience: 500 * time.Millisecond, waits: 2 * time.Second, most: 3}
	// Remote is a registry of an installation's own, which nobody counts calls at.
	Remote = Mode{wait: 2 * time.Second, first: 2 * time.Second, patience: 500 * time.Millisecond, waits: 2 * time.Second, pause: 250 * time.Millisecond, most: 3}
	// LocalAgent is an agent on this machine, which answers at once and costs nothing. What it
	// has counts as told whether or not it was asked, also right after an outage. So a
	// silence is noticed soon, and a watch begins with a call that need not wait: no answer
	// then tells that the agent is silent, and not that there is nothing new.
	LocalAgent = Mode{wait: 500 * time.Millisecond, first: time.Millisecond, patience: 200 * time.Millisecond, waits: 200 * time.Millisecond, pause: 100 * time.Millisecond, most: maxCalls}
)

// UpdateHandler is told what discovery says of the endpoints.
type UpdateHandler interface {
	EndpointsUpdated(entries []Entry, full bool)
	// DiscoveryLost tells that a call has failed, or is late, when the list was last known
	// to be current (zero: it never was), and whether discovery may have more calls than it
	// can answer in time.
	DiscoveryLost(current time.Time, crowded bool)
}

// Watcher keeps a watch on discovery going from when it is asked for until it
// fails, and tells its members what comes.
type Watcher struct {
	client  *Client // of Run alone, as are the fields after it
	members UpdateHandler
	version atomic.Int64 // set by Run alone, once it runs
	known   bool         // version is that of a list
	failing bool
	stale   bool // the list is older than it should be
	way     Mode
	called  chan struct{} // closed when the first call has ended
	ended   bool          // it is closed
	calls   []*call       // that are out, the oldest first; at most maxCalls
	giveUp  time.Duration // after which a call that is late is given up
	usual   time.Duration // that the first call of a watch takes; 0: none was answered yet
	running sync.WaitGroup

	events  chan event
	current atomic.Int64 // nanoseconds after clockStart when the latest whole answer came; 0: none has
	counts  Counts
	asked   chan struct{}
	moved   chan string // discovery's new address; holds the latest
	learnt  chan int64  // a version known by another way; holds the latest
}

// maxCalls bounds the calls that are out together, of any way: one on a watch that may have fallen
// silent, some that may be answered late, and one that would be answered at once.
const maxCalls = 6

const (
	shortestGiveUp = 5 * time.Second
	longestGiveUp  = time.Minute

	usualKeeps    = 0.8 // of the usual time, as a shorter one is seen
	lateAfter     = 6   // usual times
	shortestWaits = 400 * time.Millisecond
	// queued is how long a call that is refused has waited in turn, at least; worked is how
	// long calls usually take, at least, of discovery whose work on each keeps it busy.
	queued = 500 * time.Millisecond
	worked = 50 * time.Millisecond
)

// call is one that is out.
type call struct {
	first  bool // of a watch
	late   bool
	begun  time.Time
	cancel context.CancelFunc
}

// event is what comes of a call.
type event struct {
	of      *call
	late    bool    // an answer is late
	entries []Entry // that came whole, while the rest takes its time
	ended   bool    // the call has, with list and err
	list    List
	err     error
}

// NewWatcher makes a watcher of the registry at addr. version is that of the
// list that the members know, if they know one: only what is newer is asked for
// then, which costs the registry a fraction of the whole.
func NewWatcher(addr string, version int64, known bool, m UpdateHandler) *Watcher {
	w := &Watcher{
		client: NewClient(addr), members: m, known: known, called: make(chan struct{}), giveUp: shortestGiveUp,
		events: make(chan event), asked: make(chan struct{}, 1), moved: make(chan string, 1), learnt: make(chan int64, 1),
	}
	w.version.Store(version)
	return w
}

// Version is that of a list that the members have been told, and maybe more.
func (w *Watcher) Version() int64 { return w.version.Load() }

// SetKnownVersion tells that the members know the list up to a version by another way: a
// watch that begins after that asks for what is newer. It does not wait, and is
// for one caller at a time.
func (w *Watcher) SetKnownVersion(version int64) {
	select {
	case <-w.learnt: // not taken yet, and out of date
	default:
	}
	w.learnt <- version
}

// Subscribe asks for a watch; it does not wait.
func (w *Watcher) Subscribe() {
	select {
	case w.asked <- struct{}{}:
	default: // asked already
	}
}

// Redirect tells that discovery is at addr from now on; it does not wait. It
// is for one caller at a time.
func (w *Watcher) Redirect(addr string) {
	select {
	case <-w.moved: // not taken yet, and out of date
	default:
	}
	w.moved <- addr
}

// FirstCallDone is closed once the first call has ended, with an answer or without, or is late.
func (w *Watcher) FirstCallDone() <-chan struct{} { return w.called }

// Run watches until ctx ends. Discovery that all ask waits to be subscribed to.
func (w *Watcher) Run(ctx context.Context, way Mode) {
	w.way = way
	if way.pause > 0 {
		w.Subscribe()
	}
	defer w.running.Wait()
	defer w.callOff()
	for {
		select {
		case <-ctx.Done():
			return
		case version := <-w.learnt:
			w.version.Store(version)
			w.known = version > 0
		case addr := <-w.moved:
			w.move(addr)
			w.begin(ctx, true)
		case <-w.asked:
			w.ask(ctx)
		case e := <-w.events:
			if slices.Contains(w.calls, e.of) {
				w.take(ctx, e)
			}
		}
	}
}

// ask begins a watch where one may begin now.
func (w *Watcher) ask(ctx context.Context) {
	facts := permit.Call{InFlight: len(w.calls), AnyTimely: w.watching(), MaxInFlight: w.way.most}
	switch facts.Check() {
	case permit.CallInFlight:
		return
	case permit.TooManyCalls: // the youngest is the one whose answer is furthest away
		w.drop(w.calls[len(w.calls)-1])
	}
	w.begin(ctx, true)
}

// watching reports whether a call is out that is not late.
func (w *Watcher) watching() bool {
	return slices.ContainsFunc(w.calls, func(c *call) bool { return !c.late })
}

// callOff gives up the calls that are out.
func (w *Watcher) callOff() {
	for _, c := range w.calls {
		c.cancel()
	}
	w.calls = nil
}

// drop takes a call off those that are out.
func (w *Watcher) drop(c *call) {
	c.cancel()
	w.calls = slices.DeleteFunc(w.calls, func(other *call) bool { return other == c })
}

// move turns to another address. The registry there may count versions in its
// own way, so the whole list is asked for, and at once: what it has to tell
// counts as told soon after, whether or not the module has a call planned. A call to the
// old address is given up: it would hold an answer of the new one back for as long as it
// may wait.
func (w *Watcher) move(addr string) {
	w.callOff()
	w.client.CloseIdle()
	w.client = NewClient(addr)
	w.known = false
}

// begin makes a call, the first of a watch or the next. Each call that goes on with a watch
// follows on the last answer at once: what changes in between counts as told.
func (w *Watcher) begin(ctx context.Context, first bool) {
	ctx, cancel := context.WithCancel(ctx)
	c := &call{first: first, begun: time.Now(), cancel: cancel}
	w.calls = append(w.calls, c)
	request := request{since: w.since(), whole: !w.known, wait: w.way.wait, patience: w.way.patience, giveUp: w.giveUp}
	if first {
		request.wait, request.patience = w.way.first, w.waits()
	}
	if request.whole { // it is answered at once, but for the time it takes
		request.patience += request.wait
		request.wait = 0
	}
	client := w.client
	w.running.Go(func() { w.make(ctx, client, c, request) })
}

// waits is how long the answer to the first call of a watch may take until it is late.
func (w *Watcher) waits() time.Duration {
	if w.usual == 0 {
		return w.way.waits
	}
	return min(max(lateAfter*w.usual, shortestWaits), w.way.waits)
}

// make makes a call and tells Run what comes of it.
func (w *Watcher) make(ctx context.Context, client *Client, c *call, r request) {
	e := event{of: c, ended: true, err: errPanic}
	defer func() {
		if p := recover(); p != nil { // it must not take the process along
			slog.Error("panic", "in", "watch", "panic", p, "stack", string(debug.Stack()))
		}
		w.tell(ctx, e)
	}()
	r.late = func() { w.tell(ctx, event{of: c, late: true}) }
	r.early = func(entries []Entry) { w.tell(ctx, event{of: c, entries: entries}) }
	e.list, e.err = client.call(ctx, r)
}

// tell hands Run an event, unless the call was given up.
func (w *Watcher) tell(ctx context.Context, e event) {
	select {
	case w.events <- e:
	case <-ctx.Done():
	}
}

// take takes an event of a call that is out.
func (w *Watcher) take(ctx context.Context, e event) {
	switch {
	case e.late:
		w.isLate(e.of)
	case !e.ended:
		w.members.EndpointsUpdated(e.entries, false)
	case e.err != nil:
		w.failed(e)
	default:
		w.answered(ctx, e)
	}
}

// isLate notes that the answer to a call is late. It is waited for on: discovery that is
// slow answers all calls late, and would else never be heard.
func (w *Watcher) isLate(c *call) {
	if c.late {
		return
	}
	c.late = true
	w.counts.late.Add(1)
	w.tellFailing(errLate, c)
	w.lost(w.usual >= worked)
}

// failed notes that a call has failed. What came whole is true. What did not come is not
// gone, and the version stays: the rest is still to be told.
func (w *Watcher) failed(e event) {
	if e.of.late { // it was told when it was late, and another is planned
		w.giveUp = min(2*w.giveUp, longestGiveUp)
	}
	w.drop(e.of)
	w.counts.failed.Add(1)
	w.traceCall(e)
	w.tellFailing(e.err, e.of)
	if len(e.list.Servers) > 0 {
		w.members.EndpointsUpdated(e.list.Servers, false)
	}
	w.client.CloseIdle()
	if !e.of.late {
		w.lost(w.usual >= worked || errors.Is(e.err, errRefused) && e.of.first && time.Since(e.of.begun) >= queued)
	}
}

func (w *Watcher) tellFailing(err error, c *call) {
	if !w.failing {
		slog.Warn("discovery fails", "error", err, "first", c.first, "after", time.Since(c.begun).Round(time.Millisecond), "version", w.version.Load(), "age", w.Age().Round(time.Millisecond))
	}
	w.failing = true
}

// lost has another call planned, unless one is out that is not late.
func (w *Watcher) lost(crowded bool) {
	w.hasCalled()
	if w.watching() {
		return
	}
	if age := w.Age(); age > MaxListAge && !w.stale {
		w.stale = true
		slog.Warn("the list of endpoints is out of date", "age", age.Round(time.Millisecond), "version", w.version.Load())
	}
	w.members.DiscoveryLost(w.lastCurrent(), crowded)
	if w.way.pause > 0 {
		time.AfterFunc(w.way.pause, w.Subscribe)
	}
}

// answered takes a whole answer, and goes on with the watch. Other calls that are out
// would tell what is known now.
func (w *Watcher) answered(ctx context.Context, e event) {
	w.callOff()
	w.counts.answered.Add(1)
	w.traceCall(e)
	if w.failing {
		slog.Info("discovery answers", "version", e.list.Version, "was", w.version.Load(), "age", w.Age().Round(time.Millisecond), "late", e.of.late)
	}
	w.failing, w.stale, w.giveUp = false, false, shortestGiveUp
	if took := time.Since(e.of.begun); e.of.first {
		w.usual = max(took, time.Duration(usualKeeps*float64(w.usual)+(1-usualKeeps)*float64(took)))
	}
	if e.list.Full || len(e.list.Servers) > 0 || e.of.first {
		w.members.EndpointsUpdated(e.list.Servers, e.list.Full)
	}
	w.version.Store(e.list.Version)
	w.known = true
	w.current.Store(int64(time.Since(clockStart)) + 1)
	w.hasCalled()
	w.begin(ctx, false)
}

func (w *Watcher) traceCall(e event) {
	slog.Debug("discovery call", "since", w.since(), "first", e.of.first, "took", time.Since(e.of.begun), "full", e.list.Full, "entries", len(e.list.Servers), "error", e.err)
}

// since is the version that the next call tells; 0: it asks for the whole list.
func (w *Watcher) since() int64 {
	if !w.known {
		return 0
	}
	return w.version.Load()
}

// hasCalled notes that a call has ended.
func (w *Watcher) hasCalled() {
	if !w.ended {
		w.ended = true
		close(w.called)
	}
}
