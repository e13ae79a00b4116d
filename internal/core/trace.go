package core

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/upstream"
	"spokegw/policy"
)

// Trace is a record of the decisions on one request, from its head to its answer.
type Trace struct {
	At      time.Time     `json:"at"`
	ID      string        `json:"id"`
	Method  string        `json:"method"`
	Path    string        `json:"path"` // without the query
	Service string        `json:"service,omitempty"`
	Class   string        `json:"class,omitempty"`
	Team    string        `json:"team,omitempty"`
	Aim     time.Duration `json:"aim_ns,omitempty"` // latency target of its class
	Steps   []Step        `json:"steps"`
	Sent    []SentAttempt `json:"sent,omitempty"` // its attempts, in order
	Status  int           `json:"status"`         // 0: its client disconnected
	Took    time.Duration `json:"took_ns"`

	tap   *Tap
	mu    sync.Mutex
	ended bool
}

// Step is one decision, or its result.
type Step struct {
	After  time.Duration `json:"after_ns"`
	What   string        `json:"what"`
	Detail string        `json:"detail,omitempty"`
}

// SentAttempt is one attempt of a request.
type SentAttempt struct {
	N        int           `json:"n"` // from 0; attempts that the contract refused are omitted
	After    time.Duration `json:"after_ns"`
	Endpoint string        `json:"endpoint"`
	Result   string        `json:"result,omitempty"` // "": in flight when the request was answered
	Took     time.Duration `json:"took_ns,omitempty"`
	Dialled  bool          `json:"dialled,omitempty"` // on a new connection
}

const (
	maxTaps  = 4
	maxSteps = 64
	tapQueue = 256
)

// Filter selects the requests to trace. Unset fields match all.
type Filter struct {
	Class, Team, Path string        // Path is a prefix
	Status            int           // minimum
	Took              time.Duration // minimum
}

// Tap receives traces. A trace that finds the queue full is counted and dropped, so that
// tracing never delays a request.
type Tap struct {
	filter  Filter
	traces  chan *Trace
	dropped atomic.Int64
}

// Traces returns the channel of matching traces, each sent when its request ends.
func (t *Tap) Traces() <-chan *Trace { return t.traces }

// Dropped is the number of matching traces that found the queue full.
func (t *Tap) Dropped() int64 { return t.dropped.Load() }

// taps are the active taps. Without any, tracing costs one atomic load per request.
type taps struct {
	mu  sync.Mutex
	all atomic.Pointer[[]*Tap]
}

// Tap traces the requests that arrive from now on, until stop is called.
func (c *Core) Tap(f Filter) (t *Tap, stop func(), err error) {
	c.taps.mu.Lock()
	defer c.taps.mu.Unlock()
	current := c.taps.list()
	if len(current) >= maxTaps {
		return nil, nil, fmt.Errorf("%d traces are already active", len(current))
	}
	t = &Tap{filter: f, traces: make(chan *Trace, tapQueue)}
	c.taps.set(append(append([]*Tap(nil), current...), t))
	return t, func() { c.taps.remove(t) }, nil
}

func (t *taps) list() []*Tap {
	if p := t.all.Load(); p != nil {
		return *p
	}
	return nil
}

func (t *taps) set(all []*Tap) {
	if len(all) == 0 {
		t.all.Store(nil)
		return
	}
	t.all.Store(&all)
}

func (t *taps) remove(removed *Tap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var remaining []*Tap
	for _, tap := range t.list() {
		if tap != removed {
			remaining = append(remaining, tap)
		}
	}
	t.set(remaining)
}

// begin begins the trace of a request if a tap matches, else it returns nil. If several taps
// match, the first one gets the trace.
func (t *taps) begin(h *Head, service, class string, aim time.Duration) *Trace {
	for _, tap := range t.list() {
		f := &tap.filter
		path, _, _ := strings.Cut(h.Target, "?")
		team := h.Header.Get("Req-Owner")
		fits := func(want, value string) bool { return want == "" || want == value }
		if fits(f.Class, class) && fits(f.Team, team) && strings.HasPrefix(path, f.Path) {
			return &Trace{At: time.Now(), ID: h.Header.Get("Req-Id"), Method: h.Method, Path: path, Service: service, Class: class, Team: team, Aim: aim, tap: tap}
		}
	}
	return nil
}

// step records a decision. It may be called at any time, also on a nil trace.
func (t *Trace) step(what, format string, args ...any) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended && len(t.Steps) < maxSteps {
		t.Steps = append(t.Steps, Step{time.Since(t.At), what, fmt.Sprintf(format, args...)})
	}
}

// end ends a trace, once, and delivers it. Later decisions on its request, such as on a hedged
// attempt, are not recorded.
func (t *Trace) end(status int, reason string) {
	if t == nil {
		return
	}
	t.step("answered", "%d %s", status, reason)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.Status, t.Took = status, time.Since(t.At)
	if status < t.tap.filter.Status || t.Took < t.tap.filter.Took {
		return
	}
	select {
	case t.tap.traces <- t:
	default:
		t.tap.dropped.Add(1)
	}
}

// endWith ends the trace of a request that was answered; nil: its client disconnected.
func (t *Trace) endWith(a *Answer) {
	switch {
	case t == nil:
	case a == nil:
		t.step("dropped", "the client disconnected, or the request was incomplete")
		t.end(0, "")
	case a.Reason != "":
		t.end(a.Status, a.Reason)
	default:
		t.end(a.Status, http.StatusText(a.Status))
	}
}

var resultNames = map[policy.Result]string{
	policy.Served: "served", policy.Errored: "errored", policy.Declined: "turned away", policy.NoAnswer: "no answer",
	policy.NoConnection: "no connection", policy.ConnectionLost: "connection lost", policy.Cancelled: "called off", policy.NotSent: "not sent",
}

// traceStep records a decision on a call, if it is traced. c may be nil.
func (c *call) traceStep(what, format string, args ...any) {
	if c != nil && c.trace != nil {
		c.trace.step(what, format, args...)
	}
}

// recordSent records an attempt that is being sent.
func (t *Trace) recordSent(n int, endpoint string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended && len(t.Sent) < maxSteps {
		t.Sent = append(t.Sent, SentAttempt{N: n, After: time.Since(t.At), Endpoint: endpoint})
	}
}

// recordResult records how attempt n ended.
func (t *Trace) recordResult(n int, result upstream.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	if i := slices.IndexFunc(t.Sent, func(s SentAttempt) bool { return s.N == n }); i >= 0 {
		s := &t.Sent[i]
		s.Result, s.Took, s.Dialled = resultNames[result.Result], result.Elapsed, result.Dialled
	}
}

// traceEnded records the end of an attempt.
func (c *call) traceEnded(a *attempt, result upstream.Answer) {
	if c.trace != nil {
		c.trace.recordResult(a.n, result)
		c.trace.step("attempt ended", "%d: %s after %v", a.n, resultNames[result.Result], result.Elapsed.Round(time.Microsecond))
	}
}
