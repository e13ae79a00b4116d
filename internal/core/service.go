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
	"spokegw/internal/shutdown"
	"spokegw/internal/upstream"
	"spokegw/internal/wheel"
	"spokegw/policy"
)

// Service is a pool of endpoints with a table of classes and its own instance of the decision
// module (policy.Balancer). Every event is one call to that module under the mutex, and the
// returned actions are carried out before the next event. None of them blocks.
type Service struct {
	name      string
	log       *slog.Logger // with the service's name, if it has one
	figures   *figures.Figures
	report    []string // fields of a load report
	pool      *upstream.Pool
	limits    []FrontLimits // by front
	subscribe func()        // requests a watch on discovery
	unixStart time.Duration
	start     time.Time

	mu               sync.Mutex
	settings         *resolvedSettings
	balancer         *policy.Balancer
	broker           *broker.Broker // nil: there are no contracts
	shortageLogged   bool           // whether shares were enforced when that was last logged
	shortageLoggedAt time.Duration  // when that was last logged
	denied           []*attempt     // attempts that the contract refused, not yet reported to the decision module
	endpoints        *endpoints
	calls            map[policy.RequestID]*call
	lastID           policy.RequestID
	timers           timers
	keys             *keyed.Table
	peers            Peers                                   // nil: there are no other processes
	keyWriter        func(context.Context, keyed.Note) error // nil: keys are not made durable
	pools            pools
	measurements     *measurements        // nil: the fleet has no weights
	drainGrace       time.Duration        // for sends to a draining endpoint, as configured at the start
	processorDelay   func() time.Duration // scheduling delay of this sidecar; nil: unknown
	stallDelay       func() time.Duration // the same, for contracts

	// stalledSince is how long this process got no processor between a time and now; nil:
	// unknown.
	stalledSince func(from, now time.Time) time.Duration

	testHookRecorded func() // called when a key is recorded; nil outside of tests
}

// ServiceConfig is the configuration of a service.
type ServiceConfig struct {
	Name         string   // for the log; "": it is the only service
	Settings              // initial settings
	Kinds, Zones []string // names, by the numbers in the decision module
	Report       []string // fields of a load report
	Seed         uint64
	Figures      *figures.Figures
	Pool         *upstream.Pool
	Limits       []FrontLimits // by front
}

// FrontLimits bound the resources of a service that requests of one front may use, so that a
// flood on one front takes nothing from the reserve of the other.
type FrontLimits struct {
	Bodies   *budget.Partition // bytes of bodies
	Requests *budget.Partition // open requests; used only with contracts
}

// NewService makes a service. It is idle until it is given endpoints.
func NewService(c ServiceConfig) (*Service, error) {
	if len(c.Classes) != len(c.Policy.Classes) {
		return nil, fmt.Errorf("%d class names for %d class settings", len(c.Classes), len(c.Policy.Classes))
	}
	settings, err := resolveSettings(nil, nil, c.Settings, c.Figures)
	if err != nil {
		return nil, err
	}
	b, err := policy.New(settings.policy, c.Seed)
	if err != nil {
		return nil, err
	}
	now, log := time.Now(), slog.Default()
	if c.Name != "" {
		log = log.With("service", c.Name)
	}
	return &Service{
		name: c.Name, log: log, figures: c.Figures, settings: settings, report: c.Report, pool: c.Pool,
		limits: c.Limits, subscribe: func() {},
		unixStart: time.Duration(now.UnixNano()), start: now,
		balancer: b, drainGrace: c.Policy.DrainGrace, endpoints: newEndpoints(log, c.Kinds, c.Zones),
		calls: map[policy.RequestID]*call{}, keys: keyed.New(), timers: timers{queue: wheel.NewQueue[policy.Token](timerTick)},
	}, nil
}

// Name is the service's name; "": it is the only one.
func (s *Service) Name() string { return s.name }

// OnSubscribe sets the function that is called when the decision module requests a watch on
// discovery. It must be set before the first event, and must not block.
func (s *Service) OnSubscribe(subscribe func()) { s.subscribe = subscribe }

// call is a request from when it is passed to the decision module until it is answered and none
// of its attempts is in flight.
type call struct {
	id             policy.RequestID
	exchange       *Exchange
	class          int
	ticket         *ticket // nil: no contracts were in force
	req            *upstream.Request
	answer         chan Answer // receives the one final answer, or an empty one when the client has disconnected
	done           bool        // answered, or the client has disconnected
	onOwnGoroutine bool        // an event of the request's own goroutine is running; that goroutine makes ownNext
	ownNext        *attempt    // attempt that the request's own goroutine makes next
	ownLast        *attempt    // attempt that it made last
	attempts       []*attempt
	inFlight       int     // attempts in flight
	firstAttempt   attempt // most requests need one attempt, which is allocated with the call
	attemptBuf     [1]*attempt
	answeredBy     int    // number of the attempt that answered
	timedOut       bool   // the latest attempt timed out
	keyed          bool   // the request has an idempotency key
	key            uint64 // hash of the key

	deadline   time.Time  // by which it is answered: that of its client, or earlier if the process was stopping when it was read
	shortened  bool       // deadline is earlier than that of its client
	trace      *Trace     // nil: the request is not traced
	mask       moves.Mask // the pools that it is routed to
	repeatable bool       // it may run any number of times
	mayHaveRun int        // attempts that are in flight, or have ended and may have run

	// timers are those of the request, cancelled with it. Timers beyond the array expire
	// without effect.
	timers    [5]wheel.ID
	numTimers int
}

// now is the clock of the decision module: Unix time at the start plus the time elapsed since.
// It matches the start times of the registry and does not jump.
func (s *Service) now() time.Duration { return s.clockAt(time.Now()) }

// at converts a time of that clock. No time passes between two clock readings.
func (s *Service) at(t time.Duration) time.Time { return s.start.Add(t - s.unixStart) }

// clockAt converts a time to that clock.
func (s *Service) clockAt(t time.Time) time.Duration { return s.unixStart + t.Sub(s.start) }

// event makes one call to the decision module and carries out its actions. A panic is logged,
// since it must not affect other requests.
func (s *Service) event(call func(b *policy.Balancer, now time.Duration) []policy.Action) {
	defer logPanic("event")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.invoke(call)
}

func (s *Service) invoke(call func(b *policy.Balancer, now time.Duration) []policy.Action) {
	s.carryOutAll(call(s.balancer, s.now()))
}

func (s *Service) carryOutAll(actions []policy.Action) {
	for _, a := range actions {
		s.carryOut(a)
	}
	// The actions are valid until the next call to the decision module, so attempts that were
	// denied are reported after all have been carried out. The loop ends because a request has
	// a bounded number of attempts.
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
		s.calls[a.Request].traceStep("module", "refuses, retry after %v", a.RetryAfter)
		s.refundUnsent(s.calls[a.Request])
		s.conclude(s.calls[a.Request], Answer{Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter})
	case policy.Fail:
		c, status := s.calls[a.Request], http.StatusBadGateway
		if c != nil && c.timedOut {
			status = http.StatusGatewayTimeout
		}
		c.traceStep("module", "fails the request")
		s.refundUnsent(c)
		s.conclude(c, Answer{Status: status})
	case policy.Cancel:
		if c := s.calls[a.Request]; c != nil && a.Attempt < len(c.attempts) {
			c.traceStep("module", "cancels attempt %d", a.Attempt)
			c.attempts[a.Attempt].cancellation.Cancel(upstream.ErrCancelled)
		}
	case policy.SetTimer:
		s.setTimer(s.calls[a.Token.Request], a)
	case policy.Probe:
		s.probe(a.Endpoint)
	case policy.Subscribe:
		s.subscribe()
	default:
		panic(fmt.Sprintf("unknown action %T", a))
	}
}

// eventOf is event for an event on a request's own goroutine. It returns the attempt that this
// goroutine should make before it waits, which saves a goroutine for most requests; nil: there
// is none. It is always nil where attempts can't be cancelled: another attempt may answer the
// request first, and that answer must not wait for this attempt.
func (s *Service) eventOf(c *call, event func(s *Service, c *call)) *attempt {
	defer logPanic("event")
	publishes := c.keyed && s.hasPeers() // to a process that may stand still
	s.mu.Lock()
	defer s.mu.Unlock()
	c.onOwnGoroutine = s.settings.policy.Cancel && c.req.Stream == nil && !publishes
	defer func() { c.onOwnGoroutine = false }()
	event(s, c)
	next := c.ownNext
	if c.ownNext = nil; next != nil {
		c.ownLast = next
	}
	return next
}

// answers recycles the channels that deliver answers. Each channel carries one answer per use.
var answers = newAnswers()

func newAnswers() *sync.Pool { return &sync.Pool{New: func() any { return make(chan Answer, 1) }} }

// request passes a request to the decision module and makes the attempts of the caller's
// goroutine. The caller then waits for the answer.
func (s *Service) request(x *Exchange, req *upstream.Request) *call {
	c := &call{
		exchange: x, class: x.request.Class, ticket: x.ticket, req: req, answer: answers.Get().(chan Answer),
		keyed: x.keyed, key: x.key, trace: x.trace,
	}
	c.attempts = c.attemptBuf[:0]
	s.catchUp(c)
	for next := s.eventOf(c, (*Service).register); next != nil; {
		next = s.runAttempt(next, true)
	}
	return c
}

// register passes a request to the decision module.
func (s *Service) register(c *call) {
	q, now := c.exchange.request, s.now()
	if s.lastID++; s.lastID == 0 { // 0 is the request id of timers without a request
		s.lastID++
	}
	c.id, q.ID = s.lastID, s.lastID
	s.calls[c.id] = c
	q.TimeLeft -= now - s.clockAt(c.exchange.received)
	c.limitDeadline(&q, s.at(now))
	s.setGuard(c, q.TimeLeft+overdueMargin) // first, since what follows may panic
	s.pin(c, &q, now, c.exchange.head.Header)
	if c.trace != nil {
		c.trace.step("taken", "%v left, pools %b, guaranteed by contract: %v, pinned: %v", q.TimeLeft.Round(time.Millisecond), c.mask, q.Guaranteed, q.Eligible != nil)
	}
	if c.exchange.call = c; c.exchange.disconnected {
		s.disconnected(c, c.exchange.evidence)
		return
	}
	s.carryOutAll(s.balancer.Request(now, q))
}

// conclude delivers the final answer, once.
func (s *Service) conclude(c *call, a Answer) {
	if c == nil || c.done {
		return
	}
	if c.shortened && a.Status != 0 {
		c.recordCut(shutdown.Shortened)
	}
	c.end()
	c.answer <- a
	s.removeIfDone(c)
}

// end completes a call. Attempts that have sent nothing are ended even if the decision module
// may not cancel attempts in flight.
func (c *call) end() {
	c.done = true
	for _, a := range c.attempts {
		a.cancellation.CancelUnsent(upstream.ErrCancelled)
	}
}

// removeIfDone removes a call that is answered and has no attempts in flight.
func (s *Service) removeIfDone(c *call) {
	if c.done && c.inFlight == 0 {
		delete(s.calls, c.id)
		for _, t := range c.timers[:c.numTimers] {
			s.timers.queue.Cancel(t)
		}
		c.exchange.release()
	}
}
