package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings gives a fleet's usual settings for tests to change.
func settings() Settings {
	return Settings{
		Classes: []Class{
			{Aim: 100 * ms, Deadline: 400 * ms, Effect: Idempotent, Worth: 1, LateWorth: 0.5},
			{Aim: 100 * ms, Deadline: 400 * ms, Effect: Keyed, Scope: ScopeCell, DedupWindow: 150 * ms, Worth: 3},
			{Aim: 100 * ms, Deadline: 400 * ms, Effect: Keyed, Scope: ScopeZone, DedupWindow: 900 * ms, Worth: 3},
			{Aim: 100 * ms, Deadline: 400 * ms, Effect: Keyed, Scope: ScopeAll, DedupWindow: 900 * ms, Worth: 3},
			{Aim: 100 * ms, Deadline: 400 * ms, Effect: Unsafe, Worth: 2},
		},
		Tenants:   []Tenant{{Share: 0.7}, {Share: 0.3}},
		FleetSize: 3, PollWithin: 10 * time.Second, WarmupTime: 20 * time.Second, StartCapacity: 0.2,
		MaxAttempts: 3, Cancel: true,
	}
}

func start(t *testing.T, set Settings) *Balancer {
	t.Helper()
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// ledger checks actions against the rules as the protocol words them,
// independently of the module's own bookkeeping.
type ledger struct {
	t         *testing.T
	set       Settings
	now       time.Duration
	endpoints map[EndpointID]Endpoint
	open      map[RequestID]*entry
	timers    []timer
	probes    []EndpointID
	sent      int
	refused   int
}

type entry struct {
	Request
	due      time.Duration
	done     bool
	attempts []entryAttempt
}

type entryAttempt struct {
	to   Endpoint
	at   time.Duration
	open bool
	ran  bool
}

type timer struct {
	at    time.Duration
	token Token
}

func (l *ledger) take(actions []Action) {
	l.t.Helper()
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			l.send(a)
		case Refuse:
			l.refused++
			r := l.end(a.Request)
			c := l.set.Classes[r.Class]
			if r.mayRun() && !(c.Effect == Idempotent || c.Effect == Keyed && c.Scope == ScopeAll) {
				l.t.Fatalf("refused %d, which may have run", a.Request)
			}
		case Fail:
			l.end(a.Request)
		case Cancel:
			if !l.set.Cancel || a.Attempt >= len(l.open[a.Request].attempts) {
				l.t.Fatalf("illegal %+v", a)
			}
		case Probe:
			if !l.set.MayProbe {
				l.t.Fatal("probed where that is not allowed")
			}
			l.probes = append(l.probes, a.Endpoint)
		case SetTimer:
			l.timers = append(l.timers, timer{l.now + a.Delay, a.Token})
		}
	}
}

func (e *entry) mayRun() bool {
	return slices.ContainsFunc(e.attempts, func(a entryAttempt) bool { return a.open || a.ran })
}

func (l *ledger) end(id RequestID) *entry {
	l.t.Helper()
	r := l.open[id]
	if r == nil || r.done {
		l.t.Fatalf("second final answer to %d", id)
	}
	r.done = true
	return r
}

func (l *ledger) send(a Send) {
	l.t.Helper()
	r, to := l.open[a.Request], l.endpoints[a.Endpoint]
	c := l.set.Classes[r.Class]
	switch {
	case r.done:
		l.t.Fatalf("sent %d after its answer", a.Request)
	case to.ID != a.Endpoint || to.Readiness != Ready:
		l.t.Fatalf("sent to %d, which is not ready", a.Endpoint)
	case len(r.attempts) >= l.set.MaxAttempts:
		l.t.Fatal("attempt past the cap")
	case c.Effect == Unsafe && r.mayRun():
		l.t.Fatal("unsafe request sent again though it may have run")
	}
	for _, b := range r.attempts {
		shared := c.Scope == ScopeAll || c.Scope == ScopeZone && b.to.Zone == to.Zone || c.Scope == ScopeCell && b.to.Cell == to.Cell
		if b.open && !l.set.HedgedAttempts {
			l.t.Fatal("two attempts out")
		}
		if c.Effect == Keyed && (b.open || b.ran) && (!shared || l.now > b.at+c.DedupWindow) {
			l.t.Fatal("keyed request sent where its repeat may run")
		}
	}
	r.attempts = append(r.attempts, entryAttempt{to: to, at: l.now, open: true})
	l.sent++
}

// TestRulesHoldOnRandomEvents plays seeded random sequences of legal events
// and checks every action.
func TestRulesHoldOnRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandom(t, seed) })
	}
}

func playRandom(t *testing.T, seed uint64) *ledger {
	rng := rand.New(rand.NewPCG(seed, 99))
	set := settings()
	set.DiscoveryOnRequest, set.Cancel, set.HedgedAttempts = seed%2 == 0, seed%3 > 0, seed%5 == 0
	set.WarmKeys = seed%4 == 0
	if seed%3 == 0 {
		set.Tenants = nil
	}
	if seed%2 == 1 {
		set.MayProbe, set.ReportFields = true, []ReportField{FieldRate, FieldInFlight}
		set.Prices = Prices{CrossZone: 0.01 * float64(seed%4), Probe: 0.01 * float64(seed%3)}
	}
	b := start(t, set)
	l := &ledger{t: t, set: set, now: 1000 * ms, endpoints: map[EndpointID]Endpoint{}, open: map[RequestID]*entry{}}
	var order []*entry
	relist := func(whole bool) {
		var list []Endpoint
		for id := EndpointID(1); id <= 12; id++ {
			if !whole && rng.IntN(3) > 0 || whole && rng.IntN(8) == 0 {
				continue
			}
			list = append(list, Endpoint{ID: id, Kind: int(id) % 3, Zone: int(id) % 2, Cell: int(id) % 4,
				Readiness: []Readiness{Ready, Ready, Ready, Draining, Removed}[rng.IntN(5)],
				Started:   time.Duration(rng.IntN(3)) * l.now / 2})
		}
		if whole {
			l.endpoints = map[EndpointID]Endpoint{}
		}
		for _, e := range list {
			l.endpoints[e.ID] = e
		}
		l.take(b.Endpoints(l.now, list, whole))
	}
	relist(true)
	finish := func(e *entry, i int, res Result) {
		a := &e.attempts[i]
		a.open, a.ran = false, !res.NeverRan()
		complete := e.done || res == Served
		e.done = complete
		l.take(b.Outcome(l.now, Outcome{Request: e.ID, Attempt: i, Endpoint: a.to.ID, Result: res, Complete: complete, Elapsed: l.now - a.at}))
	}
	for id := RequestID(1); id < 800; id++ {
		l.now += time.Duration(rng.IntN(8000)) * time.Microsecond
		for i := 0; i < len(l.timers); i++ {
			if tm := l.timers[i]; tm.at <= l.now {
				l.timers = slices.Delete(l.timers, i, i+1)
				i--
				l.take(b.Timer(l.now, tm.token))
			}
		}
		for len(l.probes) > 0 && rng.IntN(4) > 0 {
			p := ProbeResult{Endpoint: l.probes[0], Result: Result(rng.IntN(3)), Report: []float64{rng.Float64() * 50, rng.Float64() * 10}}
			l.probes = l.probes[1:]
			l.take(b.Probed(l.now, p))
		}
		for _, e := range order {
			for i := range e.attempts {
				if !e.attempts[i].open {
					continue
				}
				switch {
				case l.now >= e.due:
					finish(e, i, NoAnswer)
				case rng.IntN(6) == 0:
					finish(e, i, Result(rng.IntN(int(NotSent)+1)))
				}
			}
			if !e.done && l.now > e.due+5*ms {
				t.Fatalf("request %d has no answer at its deadline", e.ID)
			}
		}
		order = slices.DeleteFunc(order, func(e *entry) bool {
			return e.done && !slices.ContainsFunc(e.attempts, func(a entryAttempt) bool { return a.open })
		})
		switch rng.IntN(40) {
		case 0:
			relist(true)
		case 1:
			relist(false)
		case 2:
			l.take(b.DiscoveryFailed(l.now))
		case 3:
			if len(order) > 0 && !order[0].done {
				order[0].done = true
				l.take(b.ClientDisconnected(l.now, order[0].ID))
			}
		}
		q := Request{ID: id, Class: rng.IntN(5), Tenant: rng.IntN(2), TimeLeft: time.Duration(20+rng.IntN(300)) * ms, Key: fmt.Sprint("k", rng.IntN(9))}
		e := &entry{Request: q, due: l.now + q.TimeLeft}
		l.open[id] = e
		order = append(order, e)
		l.take(b.Request(l.now, q))
	}
	if l.sent < 20 {
		t.Fatalf("only %d attempts were sent: the sequence shows nothing", l.sent)
	}
	if n := len(b.requests); n > 120 {
		t.Fatalf("%d requests are still remembered", n)
	}
	return l
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	run := func() (all [][]Action) {
		b := start(t, settings())
		all = append(all, slices.Clone(b.Endpoints(ms, fleetOf(9), true)))
		for i := range 200 {
			now := time.Duration(i) * 10 * ms
			all = append(all, slices.Clone(b.Request(now, Request{ID: RequestID(i), Class: i % 5, TimeLeft: 300 * ms})))
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal("two instances with equal events acted differently")
	}
}

// fleetOf lists n ready endpoints of two kinds.
func fleetOf(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Kind: i % 2, Cell: i / 3})
	}
	return list
}

func TestBadSettingsAreNamed(t *testing.T) {
	cases := map[string]func(*Settings){
		"classes":        func(s *Settings) { s.Classes = nil },
		"fleet_size":     func(s *Settings) { s.FleetSize = 0 },
		"effect":         func(s *Settings) { s.Classes[0].Effect = 200 },
		"key_scope":      func(s *Settings) { s.Classes[1].Scope = 200 },
		"send_cap":       func(s *Settings) { s.MaxAttempts = 0 },
		"start_capacity": func(s *Settings) { s.StartCapacity = 2 },
		"fall_multiple":  func(s *Settings) { s.OverloadMultiple = -1 },
		"fall_ms":        func(s *Settings) { s.OverloadTime = -1 },
	}
	for name, spoil := range cases {
		set := settings()
		spoil(&set)
		if _, err := New(set, 1); err == nil || !contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func contains(s, part string) bool {
	for i := range s {
		if len(s[i:]) >= len(part) && s[i:i+len(part)] == part {
			return true
		}
	}
	return false
}

func TestOddRequestsAreAnsweredAtOnce(t *testing.T) {
	b := start(t, settings())
	good := Request{TimeLeft: 100 * ms}
	answer := func(name string, q Request) {
		t.Helper()
		q.ID = RequestID(len(name) + 100)
		if got := b.Request(ms, q); len(got) == 0 || got[len(got)-1].(Refuse).Request != q.ID {
			t.Errorf("%s: %v", name, got)
		}
	}
	answer("no endpoints", good)
	draining := fleetOf(3)
	for i := range draining {
		draining[i].Readiness = Draining
	}
	b.Endpoints(ms, draining, true)
	answer("all draining", good)
	b.Endpoints(ms, fleetOf(3), true)
	answer("class out of range", Request{Class: 9, TimeLeft: 100 * ms})
	answer("negative class", Request{Class: -1, TimeLeft: 100 * ms})
	answer("no time left", Request{TimeLeft: 0})
	answer("negative time", Request{TimeLeft: -ms})
	if got := b.Request(ms, Request{ID: 7, Tenant: 99, TimeLeft: 100 * ms}); !reflect.DeepEqual(typeOf(got), "policy.Send") {
		t.Errorf("tenant out of range: %v", got)
	}
}

func typeOf(actions []Action) string {
	actions = slices.DeleteFunc(slices.Clone(actions), func(a Action) bool {
		s, ok := a.(SetTimer)
		return ok && s.Token.Purpose == timerLate
	})
	if len(actions) != 1 {
		return fmt.Sprint(actions)
	}
	return reflect.TypeOf(actions[0]).String()
}

func TestLateResultAndStaleTimerAreIgnored(t *testing.T) {
	b := start(t, settings())
	b.Endpoints(ms, fleetOf(4), true)
	to := b.Request(ms, Request{ID: 1, TimeLeft: 100 * ms})[0].(Send).Endpoint
	b.ClientDisconnected(2*ms, 1)
	if got := b.Outcome(3*ms, Outcome{Request: 1, Endpoint: to, Result: Served, Complete: true, Elapsed: 2 * ms}); len(got) != 0 {
		t.Errorf("late result led to %v", got)
	}
	if got := b.Timer(4*ms, Token{timerHold, 1}); len(got) != 0 {
		t.Errorf("stale timer led to %v", got)
	}
	if len(b.requests) != 0 {
		t.Error("the request is not forgotten")
	}
}

func TestStreamedRequestIsNeverSentAgain(t *testing.T) {
	b := start(t, settings())
	b.Endpoints(ms, fleetOf(4), true)
	to := b.Request(ms, Request{ID: 1, TimeLeft: 100 * ms})[0].(Send).Endpoint
	b.StreamStarted(2*ms, 1, 0)
	if got := b.Outcome(3*ms, Outcome{Request: 1, Endpoint: to, Result: ConnectionLost, Complete: true}); len(got) != 0 {
		t.Errorf("broken stream led to %v", got)
	}
}
