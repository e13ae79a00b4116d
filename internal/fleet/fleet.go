// Package fleet connects the gateways of one installation so that they decide together: it
// carries the messages of pure packages (quota, coordination) and enforces their results.
// Membership comes from hashicorp/memberlist (SWIM with Lifeguard) and is only a hint: it
// determines whom to ask, and never what may be admitted.
//
// Locks are taken only in this order:
//
//  1. shard: participants and stewards of some contracts, one shard at a time
//  2. coordinator: leadership and the endpoints' weights
//  3. members: which gateways are up
//  4. published: the snapshot for readers
//
// Under a shard's lock the limits of its contracts are enforced (Account.SetLimit). Under the
// coordinator's lock observations are read and weights are applied (Pool). Each of these calls
// may take the lock of a service, and none calls back. Readers of the snapshot take no lock.
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
	rankCoordination
	rankMembers
	rankPublished
)

const (
	shards     = 4   // each with a worker and a queue
	shardQueue = 512 // messages; those that arrive at a full queue are dropped and counted
	// leaveTimeout is how long the leave message may take to be gossiped.
	leaveTimeout = 300 * time.Millisecond
	// rejoinInterval is how often the process tries to join one gateway that is not known to be
	// up: after a partition each side has removed the other.
	rejoinInterval = time.Second
)

// Account draws on one contract's quota in this process.
type Account interface {
	// Requested returns what was requested since the start, admitted or not, in quotas times
	// seconds: for requests and for work.
	Requested() (requests, work float64)
	// SetLimit enforces a limit before it returns. left returns the remaining time of its grant
	// at the time of the call; a time of any other clock must be read before left is called.
	SetLimit(l quota.Limit, left func() time.Duration)
}

// Contract is one quota shared by the fleet.
type Contract struct {
	Name    string
	Account Account
}

// Pool is the set of endpoints in this process to which the fleet's weights apply.
type Pool interface {
	coordination.Observer
	// SetFactors applies factors to the listed weights; endpoints without one have a factor of 1.
	// nil: there are no factors, and each process goes by its own observations.
	SetFactors(map[weights.ID]float64)
	// SetEnforcer applies the plan for sites until the next call. nil: there is none.
	SetEnforcer(*sites.Enforcer)
}

// Config configures a fleet.
type Config struct {
	Name      string // of this gateway, one of Gateways
	Listen    string
	Key       []byte // of 16, 24 or 32 bytes, to encrypt messages; nil: they are not encrypted
	Gateways  []quota.Gateway
	Addresses map[string]string // of gateways by name, as reached from this process
	Contracts []Contract
	Pool      Pool                // nil: the fleet decides on no weights
	Sites     *coordination.Sites // nil: no decisions on sites, which need Pool
	quota.Settings
}

// Status is an immutable snapshot.
type Status struct {
	Up        []string // other gateways, by name
	Contracts map[string]ContractStatus
	Council   coordination.Status
}

// ContractStatus is the state of one contract at this gateway.
type ContractStatus struct {
	quota.Limit
	Steward string
	Demand  quota.Part
}

// Counts are totals since the start.
type Counts struct {
	Dropped      uint64 // messages dropped because a queue was full
	Malformed    uint64 // messages that could not be parsed, or were invalid
	OtherVersion uint64
}

// plan is the gateways of the file in force. It is immutable, and replaced as a whole.
type plan struct {
	gateways  []quota.Gateway
	addresses map[string]string
}

// part returns the part that a gateway owns; false: it is not configured.
func (p *plan) part(name string) (quota.Part, bool) {
	for _, g := range p.gateways {
		if g.Name == name {
			return g.Part, true
		}
	}
	return 0, false
}

// Fleet is this process's membership of the fleet.
type Fleet struct {
	config      Config // Gateways and Addresses are those at the start; plan has the current ones
	plan        atomic.Pointer[plan]
	started     time.Time
	transport   *transport
	list        *memberlist.Memberlist
	shards      [shards]shard
	coordinator *table
	stopping    chan struct{}

	members rank.Mutex
	up      map[string]bool // at most the configured gateways
	version uint64          // of up, from 1

	publishing rank.Mutex
	published  atomic.Pointer[Status]

	dropped, malformed, otherVersion atomic.Uint64
	duplicateLogged                  atomic.Bool
}

// shard holds some of the contracts.
type shard struct {
	mu        rank.Mutex
	queue     chan message.Message
	contracts map[string]*contract // immutable
}

// contract is the state of one contract, under its shard's lock.
type contract struct {
	Contract
	meter         quota.DemandMeter
	node          *quota.Node
	order         order
	demand        quota.Part
	loggedSteward string // steward that was last logged
}

// New creates a fleet and opens its address. Nothing is sent before Run.
func New(c Config) (*Fleet, error) {
	if len(c.Gateways) > quota.MaxGateways || len(c.Contracts) > quota.MaxContracts {
		return nil, fmt.Errorf("fleet: %d gateways and %d contracts exceed the limits of %d and %d", len(c.Gateways), len(c.Contracts), quota.MaxGateways, quota.MaxContracts)
	}
	if err := c.Settings.Check(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f := &Fleet{config: c, started: time.Now(), up: map[string]bool{}, version: 1, stopping: make(chan struct{})}
	f.members = rank.Mutex{Rank: rankMembers, Name: "members"}
	f.publishing = rank.Mutex{Rank: rankPublished, Name: "published"}
	f.published.Store(&Status{Contracts: map[string]ContractStatus{}})
	f.plan.Store(&plan{c.Gateways, c.Addresses})
	if _, known := f.plan.Load().part(c.Name); !known {
		return nil, fmt.Errorf("fleet: this gateway, %q, is not configured", c.Name)
	}
	for i := range f.shards {
		f.shards[i] = shard{mu: rank.Mutex{Rank: rankShard, Name: "shard"}, queue: make(chan message.Message, shardQueue), contracts: map[string]*contract{}}
	}
	incarnation := 1 + rand.Uint64N(1<<31)
	f.coordinator = newTable(&c, incarnation)
	for _, k := range c.Contracts {
		f.shardOf(k.Name).contracts[k.Name] = &contract{Contract: k, node: quota.NewNode(0, c.Settings, c.Name, incarnation, c.Gateways)}
	}
	var err error
	if f.transport, err = newTransport(c.Listen, f.address); err != nil {
		return nil, err
	}
	return f, nil
}

// Close closes the address of a fleet that is not to run.
func (f *Fleet) Close() { f.transport.Shutdown() }

// Addr returns the address that the fleet listens on.
func (f *Fleet) Addr() string { return f.transport.tcp.Addr().String() }

// now returns the process's own monotonic time.
func (f *Fleet) now() time.Duration { return time.Since(f.started) }

func (f *Fleet) shardOf(contract string) *shard {
	h := fnv.New32a()
	h.Write([]byte(contract))
	return &f.shards[h.Sum32()%shards]
}

// Status returns the current snapshot. It takes no lock.
func (f *Fleet) Status() *Status { return f.published.Load() }

// Counts returns the totals since the start.
func (f *Fleet) Counts() Counts {
	return Counts{Dropped: f.dropped.Load() + f.transport.dropped.Load(), Malformed: f.malformed.Load(), OtherVersion: f.otherVersion.Load()}
}

// Start enforces the initial limits of a process, before it serves requests.
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

// address returns the address of a gateway; false: it is not configured.
func (f *Fleet) address(name string) (string, bool) {
	addr, known := f.plan.Load().addresses[name]
	return addr, known
}

// Reconfigure sets the gateways, which must include this one, their parts, addresses and sites.
// What was granted under the previous ones is counted until it expires. Parts that grow may be
// used at once, so parts that shrink must be in force at all gateways before.
func (f *Fleet) Reconfigure(gateways []quota.Gateway, addresses map[string]string, layout *coordination.Sites) error {
	next := &plan{gateways, addresses}
	part, known := next.part(f.config.Name)
	if !known || len(gateways) > quota.MaxGateways {
		return fmt.Errorf("fleet: this gateway, %q, must be among at most %d gateways", f.config.Name, quota.MaxGateways)
	}
	f.plan.Store(next)
	for i := range f.shards {
		f.replaceShard(&f.shards[i], gateways)
	}
	f.replaceTable(gateways, layout)
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
	slog.Info("fleet: gateways or parts changed", "gateways", len(gateways), "part", part.Fraction())
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

// Run takes part in the fleet until ctx ends. After that this process admits nothing of what is
// shared, and sends a last message that it leaves.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.transport.Shutdown()
	var err error
	if f.list, err = memberlist.Create(f.settings()); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	var wg sync.WaitGroup
	for i := range f.shards {
		if s := &f.shards[i]; len(s.contracts) > 0 {
			wg.Go(func() { f.work(s) })
		}
	}
	if f.config.Pool != nil {
		wg.Go(f.workTable)
	}
	wg.Go(f.rejoin)
	slog.Info("fleet: taking part", "name", f.config.Name, "listen", f.Addr(), "gateways", len(f.config.Gateways), "contracts", len(f.config.Contracts))
	<-ctx.Done()
	close(f.stopping)
	wg.Wait()
	f.release()
	f.list.Leave(leaveTimeout) // a gateway that misses the message detects the failure itself
	return f.list.Shutdown()
}

// release sets all shared limits of this process to zero and removes the fleet's weights, because
// another process may have taken its place.
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

// settings returns memberlist's settings. A lost gateway is removed after a few seconds, which
// costs only the use of what was lent to it.
func (f *Fleet) settings() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Delegate, c.Events = f.config.Name, f.transport, delegate{f}, events{f}
	c.SecretKey, c.RequireNodeNames, c.EnableCompression = f.config.Key, true, false
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = 500*time.Millisecond, 200*time.Millisecond, 3
	c.TCPTimeout, c.PushPullInterval, c.GossipToTheDeadTime = time.Second, 10*time.Second, 10*time.Second
	c.UDPBufferSize = 1300
	c.Logger = log.New(io.Discard, "", 0) // relevant changes are logged by events
	return c
}

// rejoin tries to join gateways that are not known to be up, one after the other.
func (f *Fleet) rejoin() {
	tick := time.NewTicker(rejoinInterval)
	defer tick.Stop()
	for next := 0; ; {
		p := f.plan.Load()
		for range p.gateways {
			next = (next + 1) % len(p.gateways)
			if name := p.gateways[next].Name; name != f.config.Name && !f.isUp(name) {
				f.list.Join([]string{name + "/" + p.addresses[name]}) // on an error it is tried again later
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

// setUp records whether a gateway is up.
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

// publish replaces the snapshot for readers.
func (f *Fleet) publish(change func(*Status)) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	next := *f.published.Load()
	next.Contracts = maps.Clone(next.Contracts)
	change(&next)
	f.published.Store(&next)
}

// order is a list of candidates, best first, and the version of the membership it was made from.
type order struct {
	names   []string
	version uint64
}

// candidates returns the possible stewards of a contract, or possible leaders, in an order that
// gateways with the same view of the membership agree on (rendezvous hashing, Thaler and
// Ravishankar 1998): if a gateway is lost, only its assignments move. The list is sorted once per
// change.
func (f *Fleet) candidates(key string, o *order) []string {
	f.members.Lock()
	version := f.version
	if version == o.version {
		f.members.Unlock()
		return o.names
	}
	names := append(slices.Collect(maps.Keys(f.up)), f.config.Name)
	f.members.Unlock()
	ranks := make(map[string]uint64, len(names))
	for _, n := range names {
		ranks[n] = weight(key, n)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(ranks[a], ranks[b]) })
	o.names, o.version = names, version
	return names
}

// weight returns the rank of a gateway for a contract; the lowest is the best.
func weight(key, gateway string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, key+"\x00"+gateway)
	x := h.Sum64()
	x ^= x >> 33 // FNV alone mixes the last bytes poorly
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
