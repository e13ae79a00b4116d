package discovery

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"
)

// Way is how a registry is come to.
type Way struct {
	// wait is how long a call may be silent when nothing changes; of the first call of a
	// watch, first. What a watch that fell silent would have told counts as told 6 s after
	// it did, or 2 s after its wait is over, so that is short.
	wait, first time.Duration
	// patience is for an answer to begin after that; waits, of the first call. A call that
	// begins a watch waits in turn at discovery; one that goes on with a watch does not.
	patience, waits time.Duration
	pause           time.Duration // until a watch is begun anew; 0: until the module asks
}

var (
	// Asked is discovery that is asked by all: each call costs it work. The first call of a
	// watch need not wait: no answer then tells that discovery can't be reached.
	Asked = Way{wait: 2 * time.Second, first: time.Millisecond, patience: 500 * time.Millisecond, waits: 2 * time.Second}
	// Remote is a registry of an installation's own, which nobody counts calls at.
	Remote = Way{wait: 2 * time.Second, first: 2 * time.Second, patience: 500 * time.Millisecond, waits: 2 * time.Second, pause: 250 * time.Millisecond}
	// Pushed is an agent on this machine, which answers at once and costs nothing. What it
	// has counts as told whether or not it was asked, also right after an outage. So a
	// silence is noticed soon, and a watch begins with a call that need not wait: no answer
	// then tells that the agent is silent, and not that there is nothing new.
	Pushed = Way{wait: 500 * time.Millisecond, first: time.Millisecond, patience: 200 * time.Millisecond, waits: 200 * time.Millisecond, pause: 100 * time.Millisecond}
)

// Members is told what discovery says of the endpoints.
type Members interface {
	List(entries []Entry, full bool)
	DiscoveryFailed()
}

// Watcher keeps a watch on discovery going from when it is asked for until it
// fails, and tells its members what comes.
type Watcher struct {
	client  *Client // of Run alone, as are the fields after it
	members Members
	version atomic.Int64 // set by Run alone, once it runs
	known   bool         // version is that of a list
	failing bool
	way     Way
	called  chan struct{} // closed when the first call has ended
	ended   bool          // it is closed

	asked  chan struct{}
	moved  chan string // discovery's new address; holds the latest
	learnt chan int64  // a version known by another way; holds the latest
}

// NewWatcher makes a watcher of the registry at addr. version is that of the
// list that the members know, if they know one: only what is newer is asked for
// then, which costs the registry a fraction of the whole.
func NewWatcher(addr string, version int64, known bool, m Members) *Watcher {
	w := &Watcher{
		client: NewClient(addr), members: m, known: known, called: make(chan struct{}),
		asked: make(chan struct{}, 1), moved: make(chan string, 1), learnt: make(chan int64, 1),
	}
	w.version.Store(version)
	return w
}

// Version is that of a list that the members have been told, and maybe more.
func (w *Watcher) Version() int64 { return w.version.Load() }

// Learn tells that the members know the list up to a version by another way: a
// watch that begins after that asks for what is newer. It does not wait, and is
// for one caller at a time.
func (w *Watcher) Learn(version int64) {
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

// Called is closed once the first call has ended, with an answer or without.
func (w *Watcher) Called() <-chan struct{} { return w.called }

// Run watches until ctx ends. Discovery that all ask waits to be subscribed to.
func (w *Watcher) Run(ctx context.Context, way Way) {
	w.way = way
	if way.pause > 0 {
		w.Subscribe()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case version := <-w.learnt:
			w.version.Store(version)
			w.known = version > 0
			continue
		case <-w.asked:
		case addr := <-w.moved:
			w.move(addr)
		}
		for addr := w.watchUntilMoved(ctx); addr != ""; addr = w.watchUntilMoved(ctx) {
			w.move(addr)
		}
		w.hasCalled()
		if ctx.Err() != nil {
			return
		}
		w.members.DiscoveryFailed()
		if way.pause > 0 {
			time.AfterFunc(way.pause, w.Subscribe)
		}
	}
}

// move turns to another address. The registry there may count versions in its
// own way, so the whole list is asked for, and at once: what it has to tell
// counts as told soon after, whether or not the module has a call planned.
func (w *Watcher) move(addr string) {
	w.client.CloseIdle()
	w.client = NewClient(addr)
	w.known = false
}

// watchUntilMoved watches until a call fails or discovery has moved; it returns
// the new address, if there is one. A call to the old address is given up: it
// would hold an answer of the new one back for as long as it may wait.
func (w *Watcher) watchUntilMoved(ctx context.Context) (addr string) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case addr = <-w.moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	w.watch(ctx)
	cancel()
	<-done
	return addr
}

// since is the version that the next call tells; 0: it asks for the whole list.
func (w *Watcher) since() int64 {
	if !w.known {
		return 0
	}
	return w.version.Load()
}

// watch goes on until a call fails. Each call follows on the last answer at
// once: what changes in between counts as told.
func (w *Watcher) watch(ctx context.Context) {
	defer func() { // it must not take the process along
		if p := recover(); p != nil {
			slog.Error("panic", "in", "watch", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	for first := true; ; first = false {
		list, err := w.call(ctx, first)
		if err != nil {
			if !w.failing && ctx.Err() == nil {
				slog.Warn("discovery fails", "error", err)
			}
			w.failing = true
			// What came whole is true. What did not come is not gone, and the
			// version stays: the rest is still to be told.
			if len(list.Servers) > 0 {
				w.members.List(list.Servers, false)
			}
			w.client.CloseIdle()
			return
		}
		if w.failing {
			w.failing = false
			slog.Info("discovery answers")
		}
		if list.Full || len(list.Servers) > 0 || first {
			w.members.List(list.Servers, list.Full)
		}
		w.version.Store(list.Version)
		w.known = true
		w.hasCalled()
	}
}

// call makes the first call of a watch, or the next.
func (w *Watcher) call(ctx context.Context, first bool) (list List, err error) {
	wait, patience := w.way.wait, w.way.patience
	if first {
		wait, patience = w.way.first, w.way.waits
	}
	begun := time.Now()
	early := func(e []Entry) { w.members.List(e, false) }
	if w.known {
		list, err = w.client.Watch(ctx, w.version.Load(), wait, patience, early)
	} else {
		list, err = w.client.Get(ctx, wait+patience, early)
	}
	slog.Debug("discovery call", "since", w.since(), "first", first, "took", time.Since(begun), "full", list.Full, "entries", len(list.Servers), "error", err)
	return list, err
}

// hasCalled notes that a call has ended.
func (w *Watcher) hasCalled() {
	if !w.ended {
		w.ended = true
		close(w.called)
	}
}
