package core

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/budget"
	"spokegw/internal/figures"
	"spokegw/internal/keyed"
	"spokegw/internal/moves"
	"spokegw/internal/upstream"
	"spokegw/internal/wheel"
	"spokegw/policy"
)

// Service is a pool of endpoints, a table of classes and an instance of the
// decision module, which it owns. Every event is one call on the module under
// the mutex, and the actions that come back are carried out before the next
// event. None of them waits for anything.
type Service struct {
	name      string
	log       *slog.Logger // tells the service's name, where it has one
	figures   *figures.Figures
	report    []string // fields of a load report
	pool      *upstream.Pool
	rooms     []FrontLimits // by front
	subscribe func()        // asks for a watch on discovery
	unixStart time.Duration
	start     time.Time

	mu        sync.Mutex
	settled   *settled
	balancer  *policy.Balancer
	broker    *broker.Broker // nil: there are no contracts
	tight     bool           // the broker's word when it was last logged
	toldTight time.Duration  // and when that was
	denied    []*attempt     // that the broker had no room for, and the module is still to hear of
	endpoints *endpoints
	calls     map[policy.RequestID]*call
	lastID    policy.RequestID
	timers    timers
	keys      *keyed.Table
	peers     Peers                                   // nil: there are no other processes
	durable   func(context.Context, keyed.Note) error // nil: nothing waits for a disk
	pools     pools
	measured  *measured            // nil: no fleet has weights
	grace     time.Duration        // for sends to an endpoint that drains, as told at the start
	delay     func() time.Duration // of this sidecar's own processor; nil: not known
	stalled   func() time.Duration // the same, for contracts

	// stalledSince is for how long this process got no processor between a time and now; nil: not known.
	stalledSince func(from, now time.Time) time.Duration

	testHookNoted func() // called as a key is noted; nil but in tests
}

// ServiceConfig is what a service is made of.
type ServiceConfig struct {
	Name         string   // for the log; "": it is the only one
	Settings              // with which it begins
	Kinds, Zones []string // names, by the numbers that the module knows
	Report       []string // fields of a load report
	Seed         uint64
	Figures      *figures.Figures
	Pool         *upstream.Pool
	Limits       []FrontLimits // by front
}

// FrontLimits is what requests of one front may take up of a service: a flood on one
// takes nothing from the other that is in its reserve.
type FrontLimits struct {
	Bodies   *budget.Partition // bytes of bodies
	Requests *budget.Partition // requests that are open; asked where there are contracts
}

// NewService makes a service. It is asleep until it is told of endpoints.
func NewService(c ServiceConfig) (*Service, error) {
	if len(c.Classes) != len(c.Policy.Classes) {
		return nil, fmt.Errorf("%d classes are named and %d described", len(c.Classes), len(c.Policy.Classes))
	}
	first, err := settle(nil, nil, c.Settings, c.Figures)
	if err != nil {
		return nil, err
	}
	b, err := policy.New(first.policy, c.Seed)
	if err != nil {
		return nil, err
	}
	now, log := time.Now(), slog.Default()
	if c.Name != "" {
		log = log.With("service", c.Name)
	}
	return &Service{
		name: c.Name, log: log, figures: c.Figures, settled: first, report: c.Report, pool: c.Pool,
		rooms: c.Limits, subscribe: func() {},
		unixStart: time.Duration(now.UnixNano()), start: now,
		balancer: b, grace: c.Policy.DrainGrace, endpoints: newEndpoints(log, c.Kinds, c.Zones),
		calls: map[policy.RequestID]*call{}, keys: keyed.New(), timers: timers{queue: wheel.NewQueue[policy.Token](timerTick)},
	}, nil
}

// Name is the service's; "": it is the only one.
func (s *Service) Name() string { return s.name }

// OnSubscribe sets what the module's wish for a watch on discovery calls. It is
// to be set before the first event, and must not wait.
func (s *Service) OnSubscribe(ask func()) { s.subscribe = ask }

// call is a request from when the module is told of it until it is answered
// and no attempt is out.
type call struct {
	id       policy.RequestID
	exchange *Exchange
	class    int
	ticket   *ticket // nil: no contracts were in force
	req      *upstream.Request
	answer   chan Answer // takes the one final answer, or word that the client has left
	over     bool        // answered, or the client left
	here     bool        // an event of the request's own goroutine is carried out, which makes
	next     *attempt    // this attempt then
	made     *attempt    // and made that one last
	attempts []*attempt
	open     int     // attempts that are out
	first    attempt // the most that most need, in one piece with the call
	room     [1]*attempt
	by       int    // the number of the attempt that answered
	slow     bool   // the latest attempt timed out
	keyed    bool   // the request has a key
	key      uint64 // hash of it

	until      time.Time  // its client's time is over then
	trace      *Trace     // nil: nobody looks on
	mask       moves.Mask // which pools it meets
	repeatable bool       // it may run any number of times
	unsure     int        // attempts that are out, or have ended and may have run

	// timers are those that the module has set for the request; with it they are
	// of no more use. What there is no place for runs out by itself.
	timers [5]wheel.ID
	set    int // of timers, how many there are
}

// now is the module's clock: Unix time at the start and what has passed since.
// It agrees with the registry's start times and does not jump.
func (s *Service) now() time.Duration { return s.clockAt(time.Now()) }

// at is a time of the module's clock. Nothing passes between the readings of two clocks.
func (s *Service) at(t time.Duration) time.Time { return s.start.Add(t - s.unixStart) }

// clockAt is what the module's clock was at a time.
func (s *Service) clockAt(t time.Time) time.Duration { return s.unixStart + t.Sub(s.start) }

// event makes one call on the module and carries out its actions. A panic is
// logged: it must not take the requests of others along.
func (s *Service) event(tell func(b *policy.Balancer, now time.Duration) []policy.Action) {
	defer logPanic("event")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(tell)
}

func (s *Service) tell(tell func(b *policy.Balancer, now time.Duration) []policy.Action) {
	s.carryOutAll(tell(s.balancer, s.now()))
}

func (s *Service) carryOutAll(actions []policy.Action) {
	for _, a := range actions {
		s.carryOut(a)
	}
	// The module's actions are valid until the next call on it, so what was
	// denied is told when they have been carried out. A request has a bounded
	// number of attempts, so this ends.
	for len(s.denied) > 0 {
		a := s.denied[0]
		s.denied = s.denied[1:]
		for _, act := range s.balancer.Outcome(s.now(), s.outcome(a, upstream.Answer{Result: policy.NotSent})) {
			s.carryOut(act)
		}
	}
}

func logPanic(where string) {
	if p := recover(); p != nil {
		slog.Error("panic", "in", where, "panic", p, "stack", string(debug.Stack()))
	}
}

func (s *Service) carryOut(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		s.send(a)
	case policy.Refuse:
		s.calls[a.Request].tell("module", "refuses, best after %v", a.RetryAfter)
		s.unsent(s.calls[a.Request])
		s.conclude(s.calls[a.Request], Answer{Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter})
	case policy.Fail:
		c, status := s.calls[a.Request], http.StatusBadGateway
		if c != nil && c.slow {
			status = http.StatusGatewayTimeout
		}
		c.tell("module", "gives up")
		s.unsent(c)
		s.conclude(c, Answer{Status: status})
	case policy.Cancel:
		if c := s.calls[a.Request]; c != nil && a.Attempt < len(c.attempts) {
			c.tell("module", "calls off attempt %d", a.Attempt)
			c.attempts[a.Attempt].end.Cancel(upstream.ErrCancelled)
		}
	case policy.SetTimer:
		s.setTimer(s.calls[a.Token.Request], a)
	case policy.Probe:
		s.probe(a.Endpoint)
	case policy.Subscribe:
		s.subscribe()
	default:
		panic(fmt.Sprintf("no way to carry out %T", a))
	}
}

// eventOf is event for one of a request's own goroutine. It returns the attempt that is to
// be made by that, before anything is waited for: one goroutine fewer for most requests.
// nil: none is. Where attempts can't be called off it never is: the request's answer may
// come of another one first, and is not to wait for this.
func (s *Service) eventOf(c *call, event func(s *Service, c *call)) *attempt {
	defer logPanic("event")
	s.mu.Lock()
	defer s.mu.Unlock()
	c.here = s.settled.policy.Cancel && c.req.Stream == nil
	defer func() { c.here = false }()
	event(s, c)
	next := c.next
	if c.next = nil; next != nil {
		c.made = next
	}
	return next
}

// answers are what answers are handed over by. Each carries one and is used again then.
var answers = newAnswers()

func newAnswers() *sync.Pool { return &sync.Pool{New: func() any { return make(chan Answer, 1) }} }

// request tells the module of a request, and makes the attempts that are the caller's to
// make. The caller then waits on the answer.
func (s *Service) request(x *Exchange, req *upstream.Request) *call {
	c := &call{
		exchange: x, class: x.request.Class, ticket: x.ticket, req: req, answer: answers.Get().(chan Answer),
		keyed: x.keyed, key: x.key, trace: x.trace,
	}
	c.attempts = c.room[:0]
	s.catchUp(c)
	for next := s.eventOf(c, (*Service).take); next != nil; {
		next = s.make(next, true)
	}
	return c
}

// take tells the module of a request.
func (s *Service) take(c *call) {
	q, now := c.exchange.request, s.now()
	if s.lastID++; s.lastID == 0 { // no request's: timers that are of none have it
		s.lastID++
	}
	c.id, q.ID = s.lastID, s.lastID
	s.calls[c.id] = c
	q.TimeLeft -= now - s.clockAt(c.exchange.came)
	c.until = s.at(now + q.TimeLeft)
	s.guard(c, q.TimeLeft+answerOverdue) // first: what follows may panic
	s.pin(c, &q, now, c.exchange.head.Header)
	if c.trace != nil {
		c.trace.step("taken", "%v left, pools %b, owed by contract: %v, pinned: %v", q.TimeLeft.Round(time.Millisecond), c.mask, q.Guaranteed, q.Eligible != nil)
	}
	if c.exchange.call = c; c.exchange.left {
		s.left(c)
		return
	}
	s.carryOutAll(s.balancer.Request(now, q))
}

// leave ends a request whose client has left, now or before the module is told of it.
func (x *Exchange) leave(s *Service) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		if x.left = true; x.call == nil || x.call.over {
			return nil
		}
		s.left(x.call)
		return b.ClientDisconnected(now, x.call.id)
	})
}

// left has a call over without an answer.
func (s *Service) left(c *call) {
	s.unsent(c)
	s.conclude(c, Answer{})
}

// clientLeft reports whether the client has left, also where word of it is still on its
// way: after a stall that and the end of an attempt wait together, in any order.
func (x *Exchange) clientLeft() bool { return x.head.Client != nil && x.head.Client.Disconnected() }

// conclude gives the final answer, once.
func (s *Service) conclude(c *call, a Answer) {
	if c == nil || c.over {
		return
	}
	c.end()
	c.answer <- a
	s.forget(c)
}

// end has a call over. Attempts that have sent nothing yet are ended, also where the module may
// not call off what is out: nothing of them is.
func (c *call) end() {
	c.over = true
	for _, a := range c.attempts {
		a.end.CancelUnsent(upstream.ErrCancelled)
	}
}

// forget drops a call of which nothing is left.
func (s *Service) forget(c *call) {
	if c.over && c.open == 0 {
		delete(s.calls, c.id)
		for _, t := range c.timers[:c.set] {
			s.timers.queue.Cancel(t)
		}
		c.exchange.release()
	}
}
