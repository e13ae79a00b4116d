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

// Trace is what was decided of one request, from its head to its answer.
type Trace struct {
	At      time.Time     `json:"at"`
	ID      string        `json:"id"`
	Method  string        `json:"method"`
	Path    string        `json:"path"` // without the query
	Service string        `json:"service,omitempty"`
	Class   string        `json:"class,omitempty"`
	Team    string        `json:"team,omitempty"`
	Aim     time.Duration `json:"aim_ns,omitempty"` // of its class
	Steps   []Step        `json:"steps"`
	Sent    []SentAttempt `json:"sent,omitempty"` // its attempts, in order
	Status  int           `json:"status"`         // 0: its client left
	Took    time.Duration `json:"took_ns"`

	tap  *Tap
	mu   sync.Mutex
	over bool
}

// Step is one decision, or what came of one.
type Step struct {
	After  time.Duration `json:"after_ns"`
	What   string        `json:"what"`
	Detail string        `json:"detail,omitempty"`
}

// SentAttempt is one attempt of a request.
type SentAttempt struct {
	N        int           `json:"n"` // from 0; those that the contract had no room for are left out
	After    time.Duration `json:"after_ns"`
	Endpoint string        `json:"endpoint"`
	Result   string        `json:"result,omitempty"` // "": it was out when the request was answered
	Took     time.Duration `json:"took_ns,omitempty"`
	Dialled  bool          `json:"dialled,omitempty"` // on a connection made for it
}

const (
	mostTaps  = 4
	mostSteps = 64
	tapQueue  = 256
)

// Filter tells which requests are traced. What is not set fits all.
type Filter struct {
	Class, Team, Path string        // Path is a prefix
	Status            int           // at least
	Took              time.Duration // at least
}

// Tap receives traces. Traces that find its queue full are counted and left out:
// nobody who serves waits for who looks on.
type Tap struct {
	filter Filter
	traces chan *Trace
	missed atomic.Int64
}

// Traces are those that fit, as their requests end.
func (t *Tap) Traces() <-chan *Trace { return t.traces }

// Dropped is how many fitted and found no room.
func (t *Tap) Dropped() int64 { return t.missed.Load() }

// taps are who looks on. Without any a request costs one load.
type taps struct {
	mu  sync.Mutex
	all atomic.Pointer[[]*Tap]
}

// Tap has requests that come from now on traced, until stop is called.
func (c *Core) Tap(f Filter) (t *Tap, stop func(), err error) {
	c.taps.mu.Lock()
	defer c.taps.mu.Unlock()
	now := c.taps.list()
	if len(now) >= mostTaps {
		return nil, nil, fmt.Errorf("%d traces are being taken already", len(now))
	}
	t = &Tap{filter: f, traces: make(chan *Trace, tapQueue)}
	c.taps.set(append(append([]*Tap(nil), now...), t))
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

func (t *taps) remove(gone *Tap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var left []*Tap
	for _, one := range t.list() {
		if one != gone {
			left = append(left, one)
		}
	}
	t.set(left)
}

// begin begins the trace of a request, if somebody wants it; nil: nobody does. Of
// several who do the first has it.
func (t *taps) begin(h *Head, service, class string, aim time.Duration) *Trace {
	for _, tap := range t.list() {
		f := &tap.filter
		path, _, _ := strings.Cut(h.Target, "?")
		team := h.Header.Get("Req-Owner")
		fits := func(want, is string) bool { return want == "" || want == is }
		if fits(f.Class, class) && fits(f.Team, team) && strings.HasPrefix(path, f.Path) {
			return &Trace{At: time.Now(), ID: h.Header.Get("Req-Id"), Method: h.Method, Path: path, Service: service, Class: class, Team: team, Aim: aim, tap: tap}
		}
	}
	return nil
}

// step notes a decision. It may be called at any time, also of no trace.
func (t *Trace) step(what, format string, args ...any) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.over && len(t.Steps) < mostSteps {
		t.Steps = append(t.Steps, Step{time.Since(t.At), what, fmt.Sprintf(format, args...)})
	}
}

// end ends a trace, once, and hands it on. What is decided of its request after that,
// such as of a second copy, is not in it.
func (t *Trace) end(status int, reason string) {
	if t == nil {
		return
	}
	t.step("answered", "%d %s", status, reason)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		return
	}
	t.over = true
	t.Status, t.Took = status, time.Since(t.At)
	if status < t.tap.filter.Status || t.Took < t.tap.filter.Took {
		return
	}
	select {
	case t.tap.traces <- t:
	default:
		t.tap.missed.Add(1)
	}
}

// endWith ends the trace of a request that is answered; a nil answer: its client left.
func (t *Trace) endWith(a *Answer) {
	switch {
	case t == nil:
	case a == nil:
		t.step("dropped", "its client left, or it did not come whole")
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

// tell notes a decision on a call, if somebody looks on. There may be no such call.
func (c *call) tell(what, format string, args ...any) {
	if c != nil && c.trace != nil {
		c.trace.step(what, format, args...)
	}
}

// sending notes an attempt that goes out.
func (t *Trace) sending(n int, endpoint string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.over && len(t.Sent) < mostSteps {
		t.Sent = append(t.Sent, SentAttempt{N: n, After: time.Since(t.At), Endpoint: endpoint})
	}
}

// sent notes how attempt n ended.
func (t *Trace) sent(n int, result upstream.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		return
	}
	if i := slices.IndexFunc(t.Sent, func(s SentAttempt) bool { return s.N == n }); i >= 0 {
		s := &t.Sent[i]
		s.Result, s.Took, s.Dialled = resultNames[result.Result], result.Elapsed, result.Dialled
	}
}

// traced notes the end of an attempt.
func (c *call) traced(a *attempt, result upstream.Answer) {
	if c.trace != nil {
		c.trace.sent(a.n, result)
		c.trace.step("attempt ended", "%d: %s after %v", a.n, resultNames[result.Result], result.Elapsed.Round(time.Microsecond))
	}
}
