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

// Mode is how a registry is called.
type Mode struct {
	// wait is the long-poll time of a call when nothing changes; firstWait, that of the
	// first call of a watch. A change that a silent watch fails to report counts as notified 6 s
	// after the watch fell silent, or 2 s after the wait ended, so the wait is short.
	wait, firstWait time.Duration
	// answerTimeout is for an answer to begin after that; firstTimeout is the maximum for the
	// first call of a watch, reduced where such calls are usually answered sooner. The first
	// call queues at discovery, the later ones do not. A call that exceeds its timeout is
	// overdue: another call is made in parallel, and both are waited for.
	answerTimeout, firstTimeout time.Duration
	retryDelay                  time.Duration // until a new watch begins; 0: until Subscribe is called
	callLimit                   int           // maximum of calls in progress
}

var (
	// OnDemand is shared discovery, where each call adds load. The first call of a watch
	// does not wait, so a missing answer means that discovery is unreachable.
	OnDemand = Mode{wait: 2 * time.Second, firstWait: time.Millisecond, answerTimeout: 500 * time.Millisecond, firstTimeout: 2 * time.Second, callLimit: 3}
	// Remote is an installation's own registry, which does not limit calls.
	Remote = Mode{wait: 2 * time.Second, firstWait: 2 * time.Second, answerTimeout: 500 * time.Millisecond, firstTimeout: 2 * time.Second, retryDelay: 250 * time.Millisecond, callLimit: 3}
	// LocalAgent is an agent on this machine, which answers at once and at no cost. What it
	// has counts as notified whether or not it was asked, also right after an outage. So
	// timeouts are short, and the first call of a watch does not wait: a missing answer then
	// means that the agent is silent, not that there is nothing new.
	LocalAgent = Mode{wait: 500 * time.Millisecond, firstWait: time.Millisecond, answerTimeout: 200 * time.Millisecond, firstTimeout: 200 * time.Millisecond, retryDelay: 100 * time.Millisecond, callLimit: maxCalls}
)

// UpdateHandler receives what discovery reports about the endpoints.
type UpdateHandler interface {
	EndpointsUpdated(entries []Entry, full bool)
	// DiscoveryLost reports that a call failed or is overdue, when the list was last known
	// to be current (zero: never), and whether discovery may be overloaded with calls.
	DiscoveryLost(current time.Time, overloaded bool)
}

// Watcher keeps a watch on discovery from when it is requested until it fails, and
// passes updates to its handler.
type Watcher struct {
	client         *Client // used by Run only, as are the fields after it
	handler        UpdateHandler
	version        atomic.Int64 // set by Run only, once it runs
	versionKnown   bool         // version is that of a list
	failing        bool
	stale          bool // the list is older than MaxListAge
	mode           Mode
	firstCallDone  chan struct{} // closed when the first call has ended
	firstCallEnded bool          // firstCallDone is closed
	calls          []*call       // in progress, the oldest first; at most maxCalls
	abandonAfter   time.Duration // silence after which an overdue call is abandoned
	firstCallTime  time.Duration // usual duration of the first call of a watch; 0: none was answered yet
	running        sync.WaitGroup

	events        chan event
	currentAt     atomic.Int64 // ns after epoch when the latest whole answer arrived; 0: none has
	counts        Counts
	subscribed    chan struct{}
	redirected    chan string // discovery's new address; holds the latest
	knownVersions chan int64  // a version known from elsewhere; holds the latest
}

// maxCalls bounds the calls in progress together, in any mode: one on a watch that may be silent,
// some that may be answered late, and one that would be answered at once.
const maxCalls = 6

const (
	minAbandonAfter = 5 * time.Second
	maxAbandonAfter = time.Minute

	firstCallTimeDecay = 0.8 // weight of the previous value when a shorter time is observed
	overdueFactor      = 6   // times the usual duration
	minFirstTimeout    = 400 * time.Millisecond
	// minQueuedTime is the minimum time that a call refused by a busy discovery has queued;
	// minBusyTime is the usual duration of calls from which on discovery counts as busy.
	minQueuedTime = 500 * time.Millisecond
	minBusyTime   = 50 * time.Millisecond
)

// call is a call in progress.
type call struct {
	first     bool // of a watch
	overdue   bool
	startedAt time.Time
	cancel    context.CancelFunc
}

// event is a report of a call.
type event struct {
	call    *call
	overdue bool    // the answer is overdue
	entries []Entry // complete ones, of an answer that is not complete yet
	ended   bool    // the call has ended, with list and err
	list    List
	err     error
}

// NewWatcher makes a watcher of the registry at addr. version is that of the list
// that the handler knows, if known is set: only newer changes are asked for then,
// which costs the registry a fraction of the whole list.
func NewWatcher(addr string, version int64, known bool, h UpdateHandler) *Watcher {
	w := &Watcher{
		client: NewClient(addr), handler: h, versionKnown: known, firstCallDone: make(chan struct{}), abandonAfter: minAbandonAfter,
		events: make(chan event), subscribed: make(chan struct{}, 1), redirected: make(chan string, 1), knownVersions: make(chan int64, 1),
	}
	w.version.Store(version)
	return w
}

// Version returns that of a list which was passed to the handler, maybe with later changes.
func (w *Watcher) Version() int64 { return w.version.Load() }

// SetKnownVersion notes that the handler knows the list up to a version from elsewhere:
// a watch that begins later asks for what is newer. It does not block, and is
// not for concurrent use.
func (w *Watcher) SetKnownVersion(version int64) {
	select {
	case <-w.knownVersions: // not taken yet, and outdated
	default:
	}
	w.knownVersions <- version
}

// Subscribe requests a watch; it does not block.
func (w *Watcher) Subscribe() {
	select {
	case w.subscribed <- struct{}{}:
	default: // already requested
	}
}

// Redirect changes the address of discovery; it does not block, and is not for
// concurrent use.
func (w *Watcher) Redirect(addr string) {
	select {
	case <-w.redirected: // not taken yet, and outdated
	default:
	}
	w.redirected <- addr
}

// FirstCallDone is closed once the first call has been answered, has failed, or is overdue.
func (w *Watcher) FirstCallDone() <-chan struct{} { return w.firstCallDone }

// Run watches until ctx ends. In mode OnDemand it waits for Subscribe.
func (w *Watcher) Run(ctx context.Context, mode Mode) {
	w.mode = mode
	if mode.retryDelay > 0 {
		w.Subscribe()
	}
	defer w.running.Wait()
	defer w.cancelCalls()
	for {
		select {
		case <-ctx.Done():
			return
		case version := <-w.knownVersions:
			w.version.Store(version)
			w.versionKnown = version > 0
		case addr := <-w.redirected:
			w.switchAddress(addr)
			w.startCall(ctx, true)
		case <-w.subscribed:
			w.startWatch(ctx)
		case e := <-w.events:
			if slices.Contains(w.calls, e.call) {
				w.handle(ctx, e)
			}
		}
	}
}

// startWatch begins a watch if one may begin now.
func (w *Watcher) startWatch(ctx context.Context) {
	facts := permit.Call{InFlight: len(w.calls), AnyTimely: w.hasTimelyCall(), MaxInFlight: w.mode.callLimit}
	switch facts.Check() {
	case permit.CallInFlight:
		return
	case permit.TooManyCalls: // the youngest has the longest to wait for its answer
		w.cancelCall(w.calls[len(w.calls)-1])
	}
	w.startCall(ctx, true)
}

// hasTimelyCall reports whether a call that is not overdue is in progress.
func (w *Watcher) hasTimelyCall() bool {
	return slices.ContainsFunc(w.calls, func(c *call) bool { return !c.overdue })
}

// cancelCalls abandons the calls in progress.
func (w *Watcher) cancelCalls() {
	for _, c := range w.calls {
		c.cancel()
	}
	w.calls = nil
}

// cancelCall abandons one call.
func (w *Watcher) cancelCall(c *call) {
	c.cancel()
	w.calls = slices.DeleteFunc(w.calls, func(other *call) bool { return other == c })
}

// switchAddress changes to another registry, which may number its versions differently.
// So the whole list is asked for, and at once: its content counts as notified soon after,
// whether or not the module has planned a call. Calls to the old address are abandoned:
// they would delay an answer of the new one for as long as they may wait.
func (w *Watcher) switchAddress(addr string) {
	w.cancelCalls()
	w.client.CloseIdle()
	w.client = NewClient(addr)
	w.versionKnown = false
}

// startCall makes a call, the first of a watch or the next. Each later call of a watch follows
// the last answer at once: what changes in between counts as notified.
func (w *Watcher) startCall(ctx context.Context, first bool) {
	ctx, cancel := context.WithCancel(ctx)
	c := &call{first: first, startedAt: time.Now(), cancel: cancel}
	w.calls = append(w.calls, c)
	request := request{since: w.knownVersion(), full: !w.versionKnown, wait: w.mode.wait, answerTimeout: w.mode.answerTimeout, abandonAfter: w.abandonAfter}
	if first {
		request.wait, request.answerTimeout = w.mode.firstWait, w.firstTimeout()
	}
	if request.full { // answered at once, apart from the time that takes
		request.answerTimeout += request.wait
		request.wait = 0
	}
	client := w.client
	w.running.Go(func() { w.runCall(ctx, client, c, request) })
}

// firstTimeout is the time after which the first call of a watch is overdue.
func (w *Watcher) firstTimeout() time.Duration {
	if w.firstCallTime == 0 {
		return w.mode.firstTimeout
	}
	return min(max(overdueFactor*w.firstCallTime, minFirstTimeout), w.mode.firstTimeout)
}

// runCall makes a call and reports its events to Run.
func (w *Watcher) runCall(ctx context.Context, client *Client, c *call, r request) {
	e := event{call: c, ended: true, err: errPanic}
	defer func() {
		if p := recover(); p != nil { // a panic must not end the process
			slog.Error("panic", "in", "watch", "panic", p, "stack", string(debug.Stack()))
		}
		w.send(ctx, e)
	}()
	r.onOverdue = func() { w.send(ctx, event{call: c, overdue: true}) }
	r.onEntries = func(entries []Entry) { w.send(ctx, event{call: c, entries: entries}) }
	e.list, e.err = client.call(ctx, r)
}

// send passes an event to Run, unless the call was abandoned.
func (w *Watcher) send(ctx context.Context, e event) {
	select {
	case w.events <- e:
	case <-ctx.Done():
	}
}

// handle processes an event of a call in progress.
func (w *Watcher) handle(ctx context.Context, e event) {
	switch {
	case e.overdue:
		w.markOverdue(e.call)
	case !e.ended:
		w.handler.EndpointsUpdated(e.entries, false)
	case e.err != nil:
		w.handleFailure(e)
	default:
		w.handleAnswer(ctx, e)
	}
}

// markOverdue notes that a call is overdue. It is still waited for: otherwise no answer
// would ever be received from discovery that answers all calls late.
func (w *Watcher) markOverdue(c *call) {
	if c.overdue {
		return
	}
	c.overdue = true
	w.counts.overdue.Add(1)
	w.logFailure(errOverdue, c)
	w.reportLost(w.firstCallTime >= minBusyTime)
}

// handleFailure handles a failed call. Complete entries are valid. Missing ones are not
// removed, and the version stays: the remaining changes are still to be reported.
func (w *Watcher) handleFailure(e event) {
	if e.call.overdue { // reported when it became overdue, and another is planned
		w.abandonAfter = min(2*w.abandonAfter, maxAbandonAfter)
	}
	w.cancelCall(e.call)
	w.counts.failed.Add(1)
	w.logCall(e)
	w.logFailure(e.err, e.call)
	if len(e.list.Servers) > 0 {
		w.handler.EndpointsUpdated(e.list.Servers, false)
	}
	w.client.CloseIdle()
	if !e.call.overdue {
		w.reportLost(w.firstCallTime >= minBusyTime || errors.Is(e.err, errStatus) && e.call.first && time.Since(e.call.startedAt) >= minQueuedTime)
	}
}

func (w *Watcher) logFailure(err error, c *call) {
	if !w.failing {
		slog.Warn("discovery fails", "error", err, "first", c.first, "after", time.Since(c.startedAt).Round(time.Millisecond), "version", w.version.Load(), "age", w.Age().Round(time.Millisecond))
	}
	w.failing = true
}

// reportLost has another call planned, unless one that is not overdue is in progress.
func (w *Watcher) reportLost(overloaded bool) {
	w.markFirstCallDone()
	if w.hasTimelyCall() {
		return
	}
	if age := w.Age(); age > MaxListAge && !w.stale {
		w.stale = true
		slog.Warn("the list of endpoints is out of date", "age", age.Round(time.Millisecond), "version", w.version.Load())
	}
	w.handler.DiscoveryLost(w.lastCurrent(), overloaded)
	if w.mode.retryDelay > 0 {
		time.AfterFunc(w.mode.retryDelay, w.Subscribe)
	}
}

// handleAnswer handles a whole answer and continues the watch. Other calls in progress
// would only report what is known now.
func (w *Watcher) handleAnswer(ctx context.Context, e event) {
	w.cancelCalls()
	w.counts.answered.Add(1)
	w.logCall(e)
	if w.failing {
		slog.Info("discovery answers", "version", e.list.Version, "was", w.version.Load(), "age", w.Age().Round(time.Millisecond), "late", e.call.overdue)
	}
	w.failing, w.stale, w.abandonAfter = false, false, minAbandonAfter
	if took := time.Since(e.call.startedAt); e.call.first {
		w.firstCallTime = max(took, time.Duration(firstCallTimeDecay*float64(w.firstCallTime)+(1-firstCallTimeDecay)*float64(took)))
	}
	if e.list.Full || len(e.list.Servers) > 0 || e.call.first {
		w.handler.EndpointsUpdated(e.list.Servers, e.list.Full)
	}
	w.version.Store(e.list.Version)
	w.versionKnown = true
	w.currentAt.Store(int64(time.Since(epoch)) + 1)
	w.markFirstCallDone()
	w.startCall(ctx, false)
}

func (w *Watcher) logCall(e event) {
	slog.Debug("discovery call", "since", w.knownVersion(), "first", e.call.first, "took", time.Since(e.call.startedAt), "full", e.list.Full, "entries", len(e.list.Servers), "error", e.err)
}

// knownVersion is the version for the next call; 0: it asks for the whole list.
func (w *Watcher) knownVersion() int64 {
	if !w.versionKnown {
		return 0
	}
	return w.version.Load()
}

// markFirstCallDone notes that a call has ended or is overdue.
func (w *Watcher) markFirstCallDone() {
	if !w.firstCallEnded {
		w.firstCallEnded = true
		close(w.firstCallDone)
	}
}
