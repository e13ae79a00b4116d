// Package fleet has the gateways of one installation know of one another, and decide
// together: it carries the messages of pure packages (quota) and puts what they say in
// force. Who is there is told by hashicorp/memberlist (SWIM with Lifeguard) and is a hint:
// it says whom to ask, and never what may be admitted.
//
// The order of locks, each taken only under those before it:
//
//  1. shard: holders and stewards of some contracts, one shard at a time
//  2. council: who holds the duty, and the endpoints' weights
//  3. members: who is up
//  4. published: the snapshot that readers see
//
// Under a shard's lock the limits of its contracts are put in force (Account.SetLimit), and
// under the council's what was seen is asked for and weights are put in force (Pool), each of
// which may take the lock of a service; nothing is called back from there. Readers of the
// snapshot take no lock.
package fleet

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"spokegw/internal/fleet/coordination"
	"spokegw/internal/fleet/message"
	"spokegw/internal/fleet/quota"
	"spokegw/internal/fleet/rank"
	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
)

const (
	rankShard = iota + 1
	rankCouncil
	rankMembers
	rankPublished
)

const (
	shards     = 4   // each with a worker and a queue
	shardQueue = 512 // messages; what comes to a full queue is dropped, and counted
	// leavePatience is how long the last word may take to get out: some gossip.
	leavePatience = 300 * time.Millisecond
	// rejoinEvery is how often one gateway that is not known to be up is looked for: of a
	// fleet that was cut in two each side has given up the other.
	rejoinEvery = time.Second
)

// Account is what draws on one contract's quota in this process.
type Account interface {
	// Requested is what was asked for since the start, admitted or not, in quotas times
	// seconds: of requests and of work.
	Requested() (requests, work float64)
	// SetLimit puts a limit in force before it returns. left is how long its grant lasts
	// from when it is called; a time by another clock is to be read before that.
	SetLimit(l quota.Limit, left func() time.Duration)
}

// Contract is one quota that the fleet shares.
type Contract struct {
	Name    string
	Account Account
}

// Pool is what the fleet's weights are of in this process.
type Pool interface {
	coordination.Observer
	// SetFactors puts factors of the list's weights in force; what is not there has 1. nil:
	// there are none, and each process goes by its own sight.
	SetFactors(map[weights.ID]float64)
	// SetEnforcer puts in force what is done about sites, until the next call. nil: nothing.
	SetEnforcer(*sites.Enforcer)
}

// Config is what a fleet is made of.
type Config struct {
	Name      string // of this gateway, one of Gateways
	Listen    string
	Key       []byte // of 16, 24 or 32 bytes, by which messages are sealed; nil: they are not
	Gateways  []quota.Gateway
	Addresses map[string]string // of gateways by name, that they are reached at from here
	Contracts []Contract
	Pool      Pool                // nil: the fleet decides on no weights
	Sites     *coordination.Sites // nil: nor on sites, which it does with weights alone
	quota.Settings
}

// Status is a snapshot, which is not changed.
type Status struct {
	Up        []string // gateways, by name
	Contracts map[string]ContractStatus
	Council   coordination.Status
}

// ContractStatus is where one contract stands here.
type ContractStatus struct {
	quota.Limit
	Steward string
	Demand  quota.Part
}

// Counts are what was counted since the start.
type Counts struct {
	Dropped      uint64 // messages for which there was no room
	Malformed    uint64 // that could not be read, or were impossible
	OtherVersion uint64
}

// plan are the gateways of the file in force. It is not changed, but replaced.
type plan struct {
	gateways  []quota.Gateway
	addresses map[string]string
}

// part is what a gateway owns; false: it is none of them.
func (p *plan) part(name string) (quota.Part, bool) {
	for _, g := range p.gateways {
		if g.Name == name {
			return g.Part, true
		}
	}
	return 0, false
}

// Fleet is this process's place in the fleet.
type Fleet struct {
	config    Config // Gateways and Addresses are those of the start: plan has those in force
	plan      atomic.Pointer[plan]
	begun     time.Time
	transport *transport
	list      *memberlist.Memberlist
	shards    [shards]shard
	council   *table
	stopping  chan struct{}

	members rank.Mutex
	up      map[string]bool // as many as gateways
	version uint64          // of it, from 1

	publishing rank.Mutex
	published  atomic.Pointer[Status]

	dropped, broken, otherVersion atomic.Uint64
	twice                         atomic.Bool // told
}

// shard are some of the contracts.
type shard struct {
	mu        rank.Mutex
	queue     chan message.Message
	contracts map[string]*contract // not changed
}

// contract is one, under its shard's lock.
type contract struct {
	Contract
	meter  quota.DemandMeter
	node   *quota.Node
	order  order
	demand quota.Part
	was    string // steward, when it was last told
}

// New makes a fleet and opens its address. Nothing goes out before Run.
func New(c Config) (*Fleet, error) {
	if len(c.Gateways) > quota.MaxGateways || len(c.Contracts) > quota.MaxContracts {
		return nil, fmt.Errorf("fleet: %d gateways and %d contracts are more than %d and %d", len(c.Gateways), len(c.Contracts), quota.MaxGateways, quota.MaxContracts)
	}
	if err := c.Settings.Check(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f := &Fleet{config: c, begun: time.Now(), up: map[string]bool{}, version: 1, stopping: make(chan struct{})}
	f.members = rank.Mutex{Rank: rankMembers, Name: "members"}
	f.publishing = rank.Mutex{Rank: rankPublished, Name: "published"}
	f.published.Store(&Status{Contracts: map[string]ContractStatus{}})
	f.plan.Store(&plan{c.Gateways, c.Addresses})
	if _, known := f.plan.Load().part(c.Name); !known {
		return nil, fmt.Errorf("fleet: this gateway, %q, is none of the fleet's", c.Name)
	}
	for i := range f.shards {
		f.shards[i] = shard{mu: rank.Mutex{Rank: rankShard, Name: "shard"}, queue: make(chan message.Message, shardQueue), contracts: map[string]*contract{}}
	}
	incarnation := 1 + rand.Uint64N(1<<31)
	f.council = newTable(&c, incarnation)
	for _, k := range c.Contracts {
		f.shardOf(k.Name).contracts[k.Name] = &contract{Contract: k, node: quota.NewNode(0, c.Settings, c.Name, incarnation, c.Gateways)}
	}
	var err error
	if f.transport, err = newTransport(c.Listen, f.address); err != nil {
		return nil, err
	}
	return f, nil
}

// Close lets the address go of one that is not to run.
func (f *Fleet) Close() { f.transport.Shutdown() }

// Addr is where the fleet's messages come to.
func (f *Fleet) Addr() string { return f.transport.tcp.Addr().String() }

// now is the time of this process's own, which nobody sets.
func (f *Fleet) now() time.Duration { return time.Since(f.begun) }

func (f *Fleet) shardOf(contract string) *shard {
	h := fnv.New32a()
	h.Write([]byte(contract))
	return &f.shards[h.Sum32()%shards]
}

// Status is where things stand. It takes no lock.
func (f *Fleet) Status() *Status { return f.published.Load() }

// Counts are those since the start.
func (f *Fleet) Counts() Counts {
	return Counts{Dropped: f.dropped.Load() + f.transport.dropped.Load(), Malformed: f.broken.Load(), OtherVersion: f.otherVersion.Load()}
}

// Start puts the limits of a process that has just started in force: before it serves.
func (f *Fleet) Start() {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for _, c := range s.contracts {
			f.enforce(c)
		}
		s.mu.Unlock()
	}
}

// address is where a gateway is reached; false: it is none of the fleet's.
func (f *Fleet) address(name string) (string, bool) {
	addr, known := f.plan.Load().addresses[name]
	return addr, known
}

// Reconfigure takes other gateways, parts, addresses and sites, among them this one's. What was given
// under those before is counted to its end. Parts that grow may be used at once: those that
// become less are to be in force everywhere before.
func (f *Fleet) Reconfigure(gateways []quota.Gateway, addresses map[string]string, of *coordination.Sites) error {
	next := &plan{gateways, addresses}
	part, known := next.part(f.config.Name)
	if !known || len(gateways) > quota.MaxGateways {
		return fmt.Errorf("fleet: this gateway, %q, among %d at most is expected", f.config.Name, quota.MaxGateways)
	}
	f.plan.Store(next)
	for i := range f.shards {
		f.replaceShard(&f.shards[i], gateways)
	}
	f.replaceTable(gateways, of)
	f.members.Lock()
	for name := range f.up {
		if _, known := addresses[name]; !known {
			delete(f.up, name)
		}
	}
	f.version++
	all := slices.Sorted(maps.Keys(f.up))
	f.members.Unlock()
	f.publish(func(s *Status) { s.Up = all })
	slog.Info("fleet: other gateways or parts", "gateways", len(gateways), "part", part.Fraction())
	return nil
}

func (f *Fleet) replaceShard(s *shard, gateways []quota.Gateway) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.contracts {
		c.node.SetGateways(f.now(), gateways)
		f.enforce(c)
	}
}

// Run takes part in the fleet until ctx ends. From then on this process admits nothing of
// what is shared, and its last word is that it leaves.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.transport.Shutdown()
	var err error
	if f.list, err = memberlist.Create(f.settings()); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	var going sync.WaitGroup
	for i := range f.shards {
		if s := &f.shards[i]; len(s.contracts) > 0 {
			going.Go(func() { f.work(s) })
		}
	}
	if f.config.Pool != nil {
		going.Go(f.workTable)
	}
	going.Go(f.rejoin)
	slog.Info("fleet: taking part", "name", f.config.Name, "listen", f.Addr(), "gateways", len(f.config.Gateways), "contracts", len(f.config.Contracts))
	<-ctx.Done()
	close(f.stopping)
	going.Wait()
	f.release()
	f.list.Leave(leavePatience) // who does not hear of it finds out
	return f.list.Shutdown()
}

// release has this process admit nothing of what is shared, and use no weights of the
// fleet's: another may have its place.
func (f *Fleet) release() {
	if f.config.Pool != nil {
		f.config.Pool.SetFactors(nil)
		f.config.Pool.SetEnforcer(nil)
	}
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for _, c := range s.contracts {
			c.Account.SetLimit(quota.Limit{}, func() time.Duration { return 0 })
		}
		s.mu.Unlock()
	}
}

// settings are memberlist's. A gateway that is lost is given up after some seconds; that
// costs the use of what it was lent, and nothing else.
func (f *Fleet) settings() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Delegate, c.Events = f.config.Name, f.transport, delegate{f}, events{f}
	c.SecretKey, c.RequireNodeNames, c.EnableCompression = f.config.Key, true, false
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = 500*time.Millisecond, 200*time.Millisecond, 3
	c.TCPTimeout, c.PushPullInterval, c.GossipToTheDeadTime = time.Second, 10*time.Second, 10*time.Second
	c.UDPBufferSize = 1300
	c.Logger = log.New(io.Discard, "", 0) // what matters is told by events
	return c
}

// rejoin looks for gateways that are not known to be up, one after the other.
func (f *Fleet) rejoin() {
	tick := time.NewTicker(rejoinEvery)
	defer tick.Stop()
	for next := 0; ; {
		p := f.plan.Load()
		for range p.gateways {
			next = (next + 1) % len(p.gateways)
			if name := p.gateways[next].Name; name != f.config.Name && !f.isUp(name) {
				f.list.Join([]string{name + "/" + p.addresses[name]}) // an error is one more gateway that is not up
				break
			}
		}
		select {
		case <-tick.C:
		case <-f.stopping:
			return
		}
	}
}

func (f *Fleet) isUp(name string) bool {
	f.members.Lock()
	defer f.members.Unlock()
	return f.up[name]
}

// setUp takes word of a gateway.
func (f *Fleet) setUp(name string, up bool) {
	if _, known := f.address(name); !known || name == f.config.Name {
		return
	}
	f.members.Lock()
	changed := f.up[name] != up
	if up {
		f.up[name] = true
	} else {
		delete(f.up, name)
	}
	if changed {
		f.version++
	}
	all := slices.Sorted(maps.Keys(f.up))
	f.members.Unlock()
	if changed {
		slog.Info("fleet: gateway", "name", name, "up", up, "up_in_all", len(all)+1)
		f.publish(func(s *Status) { s.Up = all })
	}
}

// publish puts another snapshot before readers.
func (f *Fleet) publish(change func(*Status)) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	next := *f.published.Load()
	next.Contracts = maps.Clone(next.Contracts)
	change(&next)
	f.published.Store(&next)
}

// order is an order of candidates, best first, and the members that it is of.
type order struct {
	names []string
	of    uint64
}

// candidates are those that may be steward of a contract, or hold a duty, in the order that
// all agree on who take the same to be up (rendezvous hashing, Thaler and Ravishankar 1998):
// when one is lost only what it had moves. They are put in order once for each change.
func (f *Fleet) candidates(what string, o *order) []string {
	f.members.Lock()
	version := f.version
	if version == o.of {
		f.members.Unlock()
		return o.names
	}
	names := append(slices.Collect(maps.Keys(f.up)), f.config.Name)
	f.members.Unlock()
	places := make(map[string]uint64, len(names))
	for _, n := range names {
		places[n] = weight(what, n)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(places[a], places[b]) })
	o.names, o.of = names, version
	return names
}

// weight is a gateway's for a contract; the least is the best.
func weight(contract, gateway string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, contract+"\x00"+gateway)
	x := h.Sum64()
	x ^= x >> 33 // FNV alone mixes the last bytes little
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
