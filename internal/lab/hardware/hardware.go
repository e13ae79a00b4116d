// Package hardware plays a fleet of gateways before endpoints of unlike hardware in virtual
// time: the decision module at each gateway, endpoints with workers, speeds, queues and
// neighbours that take a part of the machine, and what the gateways decide together, over
// the links and faults of package gateways.
package hardware

import (
	"fmt"
	"math"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/fleet/council"
	"spokegw/internal/fleet/duty"
	"spokegw/internal/fleet/message"
	"spokegw/internal/fleet/quota"
	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
	"spokegw/internal/lab/gateways"
	"spokegw/internal/learnt"
	"spokegw/policy"
)

// Way is how gateways weigh endpoints.
type Way int

const (
	Even    Way = iota // of two drawn at random the one with fewer in flight
	List               // the same, drawn by the list's weights
	Alone              // the decision module, each gateway for itself
	Breaker            // the same; a site at which attempts fail in a row gets nothing for 5 s, and all again then
	Fleet              // the decision module with the fleet's measured weights
	Sites              // and with the fleet's plan for sites
)

func (w Way) String() string {
	return [...]string{"even weights", "list weights", "each alone", "breaker", "fleet weights", "fleet plan"}[w]
}

// Server is one endpoint.
type Server struct {
	Kind    int
	Listed  float64 // weight
	Workers int
	Speed   float64 // of one worker
	Queue   int     // that may wait
	Fails   float64 // part of the requests that it answers with an error at once
	Site    string

	// Left is the part of the machine that neighbours leave; nil: all.
	Left func(now time.Duration) float64

	busy    int
	waiting []*job
	dead    bool // it is out of reach
	leaving bool // it drains
	life    int  // increases when what it had is lost
	started time.Duration
	second  time.Duration // of which got is what it was sent, while cold
	got     int
}

// Capacity is the work that it can do in a second.
func (s *Server) Capacity(now time.Duration) float64 {
	c := float64(s.Workers) * s.Speed * (1 - s.Fails)
	if s.Left != nil {
		c *= s.Left(now)
	}
	if s.dead {
		return 0
	}
	return c * s.warmth(now)
}

// Class is one of the requests' classes.
type Class struct {
	policy.Class
	Part  float64       // of the requests
	Work  time.Duration // mean, on a worker of speed 1
	Spray float64       // of the log of the work
	Hint  float64       // over the true work; 0: there is none
}

// Config is what is played.
type Config struct {
	Seed     uint64
	Way      Way
	Gateways int
	Servers  []*Server
	Classes  []Class
	Load     func(now time.Duration) float64 // part of the capacity that is asked for
	// SiteNames are those of the fleet's gateways, in turn; none: there are no sites.
	SiteNames []string
	Skewed    bool // some gateways have several times the traffic of others
	// Quota is how many requests a second all gateways together may admit, with bursts of so
	// many; 0: there is no quota.
	Quota, Burst float64
}

// Tally is what became of requests.
type Tally struct {
	Asked, Good, Late, Refused, Failed, OverQuota int
	Worth, Possible                               float64
}

// Lab is a fleet that is played.
type Lab struct {
	*gateways.World
	Config
	Tally    Tally
	Falls    int // of cold servers
	names    []string
	Bytes    int // of messages to others, as they are packed
	set      quota.Settings
	gateways map[string]*gateway
	order    []*gateway
	ids      []weights.ID
	load     []float64 // running sum of gateways' parts of the traffic
	lastID   policy.RequestID
	until    time.Duration // requests come
	asking   bool
	whole    float64 // capacity at the beginning
	admitted admitted
}

// gateway is one of them.
type gateway struct {
	lab      *Lab
	name     string
	node     *council.Node
	balancer *policy.Balancer
	sums     []weights.Sums
	sizes    map[weights.ID]float64
	calls    map[policy.RequestID]*call
	inFlight []int
	away     []bool // the module has it as draining
	fails    map[string]int
	asked    weights.Sums
	door     *sites.Door
	contract *contract // nil: there is no quota
}

type call struct {
	class   int
	work    float64 // seconds at speed 1
	hint    time.Duration
	begun   time.Duration
	over    bool
	sent    int
	by      int // the attempt that answered
	attempt map[int]*job
	ticket  *broker.Ticket // nil: no quota is charged, or no longer
}

type job struct {
	call      *call
	server    *Server
	n, at     int
	begun     time.Duration
	cancelled bool
	ended     bool
	end       func(policy.Result)
}

// network is how long one way between a gateway and an endpoint takes.
const network = 500 * time.Microsecond

// New makes a fleet at rest.
func New(c Config) *Lab {
	l := &Lab{Config: c, gateways: map[string]*gateway{}, set: quota.Settings{Lease: 2 * time.Second, Period: 200 * time.Millisecond, Drift: 0.01}}
	for i := range c.Servers {
		l.names = append(l.names, fmt.Sprint(i))
		l.ids = append(l.ids, weights.NewID("", l.names[i], 0))
	}
	l.World = gateways.New(c.Seed, l.set, c.Gateways, 1, l.start)
	sum := 0.0
	for range l.order {
		part := 1.0
		if c.Skewed {
			part = math.Min(0.3/l.Rand.Float64(), 6)
		}
		sum += part
		l.load = append(l.load, sum)
	}
	return l
}

// start starts a gateway, also anew.
func (l *Lab) start(now time.Duration, set quota.Settings, name string, incarnation uint64, plan []quota.Gateway) gateways.Way {
	g := &gateway{lab: l, name: name, sums: make([]weights.Sums, len(l.Servers)), calls: map[policy.RequestID]*call{}, inFlight: make([]int, len(l.Servers)),
		away: make([]bool, len(l.Servers)), fails: map[string]int{}, asked: weights.Sums{ID: weights.DoorID("")}}
	for i, id := range l.ids {
		g.sums[i].ID = id
	}
	var names []string
	for _, p := range plan {
		names = append(names, p.Name)
	}
	g.node = council.NewNode(now, duty.Settings{Lease: set.Lease, Drift: set.Drift}, name, incarnation, names, g, l.layout(names))
	g.balancer, g.contract = l.balancer(incarnation), l.newContract(now, set, name, incarnation, plan)
	at := time.Duration(0)
	if l.World != nil { // it is started again
		at = l.Now
	}
	g.balancer.Endpoints(at, l.list(), true) // which asks for nothing here
	if old := l.gateways[name]; old == nil {
		l.order = append(l.order, g)
	} else {
		for i := range l.order {
			if l.order[i] == old {
				l.order[i] = g
			}
		}
	}
	l.gateways[name] = g
	return g
}

func (l *Lab) balancer(seed uint64) *policy.Balancer {
	set := policy.Settings{FleetSize: l.Gateways, MaxAttempts: 3, SecondCopies: true, Cancel: true, WorthByWork: true, ColdTime: coldTime, StartCapacity: coldLeast}
	if l.Way == Breaker {
		set.ColdTime = 0
	}
	for _, c := range l.Classes {
		set.Classes = append(set.Classes, c.Class)
	}
	b, err := policy.New(set, seed)
	if err != nil {
		panic(err) // the lab's own settings
	}
	return b
}

func (l *Lab) list() (all []policy.Endpoint) {
	for i, s := range l.Servers {
		all = append(all, policy.Endpoint{ID: policy.EndpointID(i), Kind: s.Kind, Nominal: s.Listed, Started: s.started})
	}
	return all
}

// Seen and Endpoints are the gateway's sight.
func (g *gateway) Seen() []weights.Sums {
	seen := g.sums
	g.sums = make([]weights.Sums, len(seen))
	for i, id := range g.lab.ids {
		g.sums[i].ID = id
	}
	seen = append(seen, g.asked)
	g.asked = weights.Sums{ID: weights.DoorID("")}
	return seen
}

func (g *gateway) Endpoints() (all []weights.Endpoint) {
	for i, s := range g.lab.Servers {
		all = append(all, weights.Endpoint{ID: g.lab.ids[i], Kind: uint32(s.Kind), Nominal: s.Listed, Site: s.Site, Ready: !s.leaving, Warmth: s.warmth(g.lab.Now)})
	}
	return all
}

// Tick, Take and Limit are a gateways.Way.
func (g *gateway) Tick(now time.Duration, _ quota.Part, candidates []string) (all []gateways.Message) {
	if g.contract != nil {
		all = quotaMessages(g.contract.tick(now, candidates))
	}
	if g.lab.Way < Fleet {
		return all
	}
	out := g.node.Tick(now, candidates)
	factors, _ := g.node.Factors(now)
	g.sizes = factors
	g.turn(now)
	if g.node.InForce(now) {
		g.resize()
	}
	return append(all, g.messages(out)...)
}

func (g *gateway) resize() {
	learnt.Resize(g.lab.Now, g.balancer, func(id policy.EndpointID) (int, float64) {
		s := g.lab.Servers[id]
		return s.Kind, s.Listed
	}, func(id policy.EndpointID) (float64, bool) {
		f, ok := g.sizes[g.lab.ids[id]]
		if !ok {
			f = 1
		}
		if g.door != nil {
			f *= g.door.Factor(g.lab.Servers[id].Site)
		}
		return f * g.lab.Servers[id].Listed, true
	})
}

func (g *gateway) Take(now time.Duration, body any) []gateways.Message {
	if o, ok := body.(quota.Out); ok {
		return quotaMessages(g.contract.take(now, o))
	}
	out, _ := g.node.Take(now, body.(council.Message))
	return g.messages(out)
}

func (g *gateway) Limit(now time.Duration) quota.Limit {
	if g.contract == nil {
		return quota.Limit{}
	}
	return g.contract.enforce(now)
}

func (g *gateway) messages(all []council.Out) (out []gateways.Message) {
	for _, o := range all {
		if b, err := message.Append(nil, message.Message{Council: o.Message}); err == nil && o.To != g.name {
			g.lab.Bytes += len(b)
		}
		out = append(out, gateways.Message{To: o.To, Body: o.Message})
	}
	return out
}

// Play has requests come for so long.
func (l *Lab) Play(lasts time.Duration) error {
	if l.whole == 0 {
		l.whole = l.Capacity()
	}
	if l.until = l.Now + lasts; !l.asking {
		l.asking = true
		l.After(0, l.arrive)
	}
	return l.Run(l.until)
}

// Capacity is the work that all servers can do in a second.
func (l *Lab) Capacity() (sum float64) {
	for _, s := range l.Servers {
		sum += s.Capacity(l.Now)
	}
	return sum
}

func (l *Lab) arrive() {
	if l.Now >= l.until {
		l.asking = false
		return
	}
	rate := l.Load(l.Now) * l.whole / l.meanWork()
	l.After(time.Duration(l.Rand.ExpFloat64()/rate*float64(time.Second)), l.arrive)
	for range 100 { // clients of a gateway that is down go to another
		at, i := l.Rand.Float64()*l.load[len(l.load)-1], 0
		for l.load[i] < at {
			i++
		}
		if l.Nodes[i].Serves() {
			l.order[i].request()
			return
		}
	}
}

// request has a client ask.
func (g *gateway) request() {
	l := g.lab
	at, class := l.Rand.Float64(), 0
	for at -= l.Classes[0].Part; at > 0 && class < len(l.Classes)-1; at -= l.Classes[class].Part {
		class++
	}
	k := &l.Classes[class]
	c := &call{class: class, begun: l.Now, attempt: map[int]*job{}}
	c.work = k.Work.Seconds() * math.Exp(k.Spray*l.Rand.NormFloat64()-k.Spray*k.Spray/2)
	c.hint = time.Duration(c.work * k.Hint * float64(time.Second))
	l.lastID++
	id := l.lastID
	g.calls[id] = c
	l.Tally.Asked++
	l.Tally.Possible += k.Worth
	g.asked.Ended(weights.Class(class), false, weights.Served, 0, c.hint)
	switch {
	case !g.admit(c):
		l.Tally.OverQuota++
		delete(g.calls, id)
		return
	case g.door != nil && !g.door.Admits(sites.Group{Class: uint16(class)}, l.Rand.Float64()):
		g.withdraw(c)
		l.Tally.Refused++
		delete(g.calls, id)
		return
	}
	if l.Way >= Alone {
		g.carryOut(g.balancer.Request(l.Now, policy.Request{ID: id, Class: class, Left: k.Deadline, Cost: c.hint.Seconds()}))
		return
	}
	a, b := g.draw(), g.draw()
	if g.inFlight[b] < g.inFlight[a] {
		a = b
	}
	g.send(policy.Send{Request: id, Endpoint: policy.EndpointID(a), Timeout: k.Deadline})
}

// draw draws a server for the plain ways.
func (g *gateway) draw() int {
	l := g.lab
	if l.Way == Even {
		return l.Rand.IntN(len(l.Servers))
	}
	sum, pick := 0.0, 0
	for i, s := range l.Servers {
		if sum += s.Listed; l.Rand.Float64()*sum < s.Listed {
			pick = i
		}
	}
	return pick
}

func (g *gateway) carryOut(actions []policy.Action) {
	for _, a := range append([]policy.Action(nil), actions...) { // valid until the next call
		switch a := a.(type) {
		case policy.Send:
			g.send(a)
		case policy.Refuse:
			g.over(a.Request, &g.lab.Tally.Refused)
		case policy.Fail:
			g.over(a.Request, &g.lab.Tally.Failed)
		case policy.Cancel:
			if c := g.calls[a.Request]; c != nil && c.attempt[a.Attempt] != nil {
				j := c.attempt[a.Attempt]
				j.cancelled = true
				j.end(policy.CalledOff)
			}
		case policy.SetTimer:
			g.lab.After(a.In, func() {
				if g.lab.gateways[g.name] == g {
					g.carryOut(g.balancer.Timer(g.lab.Now, a.Token))
				}
			})
		}
	}
}

func (g *gateway) over(id policy.RequestID, n *int) {
	if c := g.calls[id]; c != nil && !c.over {
		c.over = true
		*n++
		g.charged(c, broker.Failed)
	}
}

// send makes an attempt.
func (g *gateway) send(a policy.Send) {
	l, c := g.lab, g.calls[a.Request]
	if c == nil {
		return
	}
	j := &job{call: c, server: l.Servers[a.Endpoint], n: c.sent, at: int(a.Endpoint), begun: l.Now}
	c.sent++
	c.attempt[j.n] = j
	g.inFlight[j.at]++
	j.end = func(r policy.Result) { g.ended(a.Request, j, r) }
	l.After(a.Timeout, func() {
		if !j.ended {
			j.cancelled = true
			j.end(policy.NoAnswer)
		}
	})
	l.After(network, func() { l.reach(j) })
}

// reach has an attempt come to its server.
func (l *Lab) reach(j *job) {
	s := j.server
	l.fall(j.at)
	switch {
	case j.cancelled:
	case s.dead && j.at%2 == 0: // it says nothing
	case s.dead:
		l.After(unconnected, func() {
			if !j.ended {
				j.end(policy.NoConnection)
			}
		})
	case l.Rand.Float64() < s.Fails:
		l.answer(j, policy.Errored)
	case s.busy < s.Workers:
		l.work(j)
	case len(s.waiting) >= s.Queue:
		l.answer(j, policy.TurnedAway)
	default:
		s.waiting = append(s.waiting, j)
	}
}

func (l *Lab) answer(j *job, r policy.Result) {
	l.After(network, func() {
		if !j.ended {
			j.end(r)
		}
	})
}

// work has a worker do an attempt's work, and what waits after it.
func (l *Lab) work(j *job) {
	s := j.server
	s.busy++
	speed, life := s.Speed*s.warmth(l.Now), s.life
	if s.Left != nil {
		speed *= s.Left(l.Now)
	}
	l.After(time.Duration(j.call.work/speed*float64(time.Second)), func() {
		if s.life != life {
			return
		}
		s.busy--
		l.answer(j, policy.Served)
		for len(s.waiting) > 0 && s.busy < s.Workers {
			next := s.waiting[0]
			if s.waiting = s.waiting[1:]; !next.cancelled {
				l.work(next)
			}
		}
	})
}

var endings = map[policy.Result]weights.Ending{
	policy.Served: weights.Served, policy.NoAnswer: weights.Silent, policy.CalledOff: weights.Abandoned,
	policy.Errored: weights.Failed, policy.NoConnection: weights.Unreached, policy.TurnedAway: weights.Declined,
}

// ended takes the end of an attempt.
func (g *gateway) ended(id policy.RequestID, j *job, r policy.Result) {
	l, c := g.lab, j.call
	if j.ended {
		return
	}
	j.ended = true
	g.inFlight[j.at]--
	if len(l.SiteNames) > 0 && l.gateways[g.name] == g {
		g.broken(j.at, r)
	}
	took := l.Now - j.begun
	how := endings[r]
	if r == policy.CalledOff && c.by > j.n {
		how = weights.Overtaken
	}
	g.sums[j.at].Ended(weights.Class(c.class), false, how, took, c.hint)
	if r == policy.Served && !c.over {
		c.over, c.by = true, j.n
		g.charged(c, broker.Answered)
		l.served(c)
	}
	if l.Way < Alone {
		if r != policy.Served {
			g.over(id, &l.Tally.Failed)
		}
		delete(g.calls, id)
		return
	}
	if l.gateways[g.name] != g {
		return
	}
	g.carryOut(g.balancer.Outcome(l.Now, policy.Outcome{Request: id, Attempt: j.n, Endpoint: policy.EndpointID(j.at), Result: r, Complete: c.over, Elapsed: took}))
	if c.over && c.open() == 0 {
		delete(g.calls, id)
	}
}

func (c *call) open() (n int) {
	for _, j := range c.attempt {
		if !j.ended {
			n++
		}
	}
	return n
}

func (l *Lab) served(c *call) {
	k := &l.Classes[c.class]
	if l.Now-c.begun <= k.Aim {
		l.Tally.Good++
		l.Tally.Worth += k.Worth
		return
	}
	l.Tally.Late++
	l.Tally.Worth += k.Worth * k.LateWorth
}

// Factors are a gateway's, over the whole fleet's mean; 1 where it has none.
func (l *Lab) Factors(gateway int) []float64 {
	all := make([]float64, len(l.Servers))
	for i, id := range l.ids {
		all[i] = 1
		if f, ok := l.order[gateway].sizes[id]; ok {
			all[i] = f
		}
	}
	return all
}

// Holder is the number of the gateway that holds the duty; -1: none does.
func (l *Lab) Holder() int {
	for i, g := range l.order {
		if l.Nodes[i].Up && len(g.node.Estimates()) > 0 {
			return i
		}
	}
	return -1
}

// Off is by how much the list's weights are off, in the same way.
func (l *Lab) Off() float64 {
	even := make([]float64, len(l.Servers))
	for i := range even {
		even[i] = 1
	}
	return l.off(even)
}

// Error is by how much the holder's weights, or what it estimates, are off what the servers
// can do: the root of the mean square of the log, beside the fleet's mean.
func (l *Lab) Error() (table, estimated float64) {
	h := l.Holder()
	if h < 0 {
		return math.NaN(), math.NaN()
	}
	at := map[weights.ID]float64{}
	for _, e := range l.order[h].node.Estimates() {
		at[e.ID] = e.Factor
	}
	est := make([]float64, len(l.Servers))
	for i, id := range l.ids {
		est[i] = at[id]
	}
	return l.off(l.Factors(h)), l.off(est)
}

func (l *Lab) off(factors []float64) float64 {
	var logs []float64
	mean := 0.0
	for i, s := range l.Servers {
		if c := s.Capacity(l.Now); c > 0 {
			logs = append(logs, math.Log(factors[i]*s.Listed/c))
			mean += logs[len(logs)-1]
		}
	}
	mean /= float64(len(logs))
	sum := 0.0
	for _, x := range logs {
		sum += (x - mean) * (x - mean)
	}
	return math.Sqrt(sum / float64(len(logs)))
}

// Status is where a gateway stands.
func (l *Lab) Status(gateway int) council.Status {
	return l.order[gateway].node.Status(l.Clock(l.Nodes[gateway]))
}
