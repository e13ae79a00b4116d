// Package gateways plays a federation of gateways that share a quota, in virtual time:
// clocks of their own rate and time of day, over links that drop, delay, repeat, turn
// round and are cut one way or both, and gateways that crash, stand still and start anew.
// How they share is a Way, so that several can be played in the same scenes.
package gateways

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"spokegw/internal/fleet/quota"
)

// Message is something to be sent to a gateway, by name.
type Message struct {
	To   string
	Body any
}

// Way is how one gateway shares. Times are of its own clock.
type Way interface {
	// Tick is called each period; candidates are those that it takes to be up, itself
	// among them, in an order that all agree on who take the same to be up.
	Tick(now time.Duration, demand quota.Part, candidates []string) []Message
	Take(now time.Duration, body any) []Message
	// Limit is what it may admit from now on, as far as nothing else happens. It is asked
	// after each Tick and Take, and at no other time.
	Limit(now time.Duration) quota.Limit
}

// Make makes the way of a gateway that has just started.
type Make func(now time.Duration, set quota.Settings, name string, incarnation uint64, plan []quota.Gateway) Way

// Leases is the way of package quota.
func Leases(now time.Duration, set quota.Settings, name string, incarnation uint64, plan []quota.Gateway) Way {
	return leases{quota.NewNode(now, set, name, incarnation, plan)}
}

type leases struct{ node *quota.Node }

func (l leases) Tick(now time.Duration, demand quota.Part, candidates []string) []Message {
	return messages(l.node.Tick(now, demand, candidates))
}

func (l leases) Take(now time.Duration, body any) []Message {
	out := body.(quota.Outgoing)
	if out.Report != nil {
		return messages(l.node.HandleReport(now, *out.Report))
	}
	return messages(l.node.HandleReply(now, *out.Reply))
}

func messages(all []quota.Outgoing) (out []Message) {
	for _, o := range all {
		out = append(out, Message{o.To, o})
	}
	return out
}

func (l leases) Limit(now time.Duration) quota.Limit { return l.node.Limit(now) }

// World is a federation that is played.
type World struct {
	Nodes []*Node
	Now   time.Duration // true
	Rand  *rand.Rand
	Most  quota.Part // that all together could admit, ever
	Over  float64    // quotas times seconds that were over the quota
	GoOn  bool       // also when they are

	Drop, Duplicate float64
	Delay           func() time.Duration
	Cut             map[[2]int]bool // from, to
	Views           time.Duration   // who is up is known so much later
	Sent            int             // messages to others

	set   quota.Settings
	plan  []quota.Gateway
	make  Make
	queue events
	since map[int]time.Duration
	seq   int
	sum   quota.Part
	named map[string]*Node

	ordered []*Node // as candidates
}

// Node is one gateway.
type Node struct {
	Name   string
	Demand quota.Part
	Up     bool

	n      int
	rate   float64
	offset time.Duration
	paused bool
	inbox  []any
	life   int // increases with each start
	way    Way
	limit  quota.Limit
}

// New starts a federation of gateways by partner, whose parts are even.
func New(seed uint64, set quota.Settings, partners, each int, way Make) *World {
	w := &World{Rand: rand.New(rand.NewPCG(seed, 7)), set: set, make: way, Cut: map[[2]int]bool{}, Views: 2 * time.Second, since: map[int]time.Duration{}, named: map[string]*Node{}}
	w.Delay = func() time.Duration { return time.Duration(w.Rand.Int64N(int64(4 * time.Millisecond))) }
	n := partners * each
	for i := range n {
		w.plan = append(w.plan, quota.Gateway{Name: fmt.Sprintf("g%03d", i), Partner: fmt.Sprint("p", i%partners), Part: quota.Whole / quota.Part(n)})
	}
	for i := range n {
		node := &Node{n: i, Name: w.plan[i].Name, rate: 1 + set.Drift*(2*w.Rand.Float64()-1), offset: time.Duration(w.Rand.Int64N(int64(48 * time.Hour)))}
		w.Nodes, w.named[node.Name] = append(w.Nodes, node), node
	}
	w.ordered = slices.Clone(w.Nodes)
	slices.SortFunc(w.ordered, func(a, b *Node) int { return cmp.Compare(w.Order(a), w.Order(b)) })
	for _, node := range w.Nodes {
		w.Start(node)
	}
	return w
}

// Node is the gateway of a name.
func (w *World) Node(name string) *Node { return w.named[name] }

// Serves reports whether a gateway is up and does not stand still.
func (n *Node) Serves() bool { return n.Up && !n.paused }

// Part is what a gateway owns.
func (w *World) Part(n *Node) quota.Part { return w.plan[n.n].Part }

// Limit is what a gateway may admit now.
func (w *World) Limit(n *Node) quota.Part { return n.limit.At(n.clock(w.Now)) }

// Clock is a gateway's own time.
func (w *World) Clock(n *Node) time.Duration { return n.clock(w.Now) }

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// After has something happen later.
func (w *World) After(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.Now + d, seq: w.seq, do: do})
}

func (n *Node) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

// Start starts a gateway that is not up.
func (w *World) Start(n *Node) {
	n.Up, n.life, n.paused, n.inbox = true, n.life+1, false, nil
	at := n.clock(w.Now)
	n.way = w.make(at, w.set, n.Name, 1+w.Rand.Uint64N(1<<31), w.plan)
	n.limit = n.way.Limit(at)
	w.since[n.n] = w.Now
	w.tickLater(n, n.life, time.Duration(w.Rand.Int64N(int64(w.set.Period))))
}

// Crash ends a gateway, with all that it knew.
func (w *World) Crash(n *Node) {
	n.Up, n.limit = false, quota.Limit{}
	w.since[n.n] = w.Now
}

func (w *World) tickLater(n *Node, life int, d time.Duration) {
	w.After(time.Duration(float64(d)/n.rate), func() {
		if !n.Up || n.life != life {
			return
		}
		w.tickLater(n, life, w.set.Period)
		if n.paused {
			return
		}
		w.tick(n)
	})
}

func (w *World) tick(n *Node) {
	at := n.clock(w.Now)
	w.act(n, n.way.Tick(at, n.Demand, w.candidates(n)))
}

// act puts a gateway's limit in force, and then sends what it has to say.
func (w *World) act(n *Node, out []Message) {
	n.limit = n.way.Limit(n.clock(w.Now))
	for _, m := range out {
		w.send(n, m.To, m.Body)
	}
}

// Order is a gateway's place among candidates: the least is the first.
func (w *World) Order(n *Node) uint32 {
	h := fnv.New32a()
	h.Write([]byte("team " + n.Name))
	return h.Sum32()
}

// candidates are those that a gateway takes to be up, in an order that all agree on.
func (w *World) candidates(n *Node) (names []string) {
	for _, o := range w.ordered {
		up := o.Up
		if w.Now-w.since[o.n] < w.Views {
			up = !up // not known yet
		}
		if up || o == n {
			names = append(names, o.Name)
		}
	}
	return names
}

func (w *World) send(from *Node, to string, m any) {
	o := w.named[to]
	if from == o {
		w.After(0, func() { w.deliver(o, m) })
		return
	}
	w.Sent++
	for n := 1; n == 1 || n == 2 && w.Rand.Float64() < w.Duplicate; n++ {
		if w.Rand.Float64() < w.Drop || w.Cut[[2]int{from.n, o.n}] {
			continue
		}
		w.After(w.Delay(), func() {
			if !w.Cut[[2]int{from.n, o.n}] {
				w.deliver(o, m)
			}
		})
	}
}

// mostHeard bounds what waits for a gateway that stands still, as a socket's buffer does.
const mostHeard = 64

func (w *World) deliver(n *Node, m any) {
	switch {
	case !n.Up:
	case n.paused:
		if len(n.inbox) < mostHeard {
			n.inbox = append(n.inbox, m)
		}
	default:
		w.act(n, n.way.Take(n.clock(w.Now), m))
	}
}

// Pause has a gateway stand still for a time.
func (w *World) Pause(n *Node, d time.Duration) {
	n.paused = true
	life := n.life
	w.After(d, func() {
		if !n.Up || n.life != life {
			return
		}
		n.paused = false
		inbox := n.inbox
		n.inbox = nil
		for _, m := range inbox {
			w.deliver(n, m)
		}
	})
}

// Sum is what all together may admit now; a gateway that stands still counts too, as it
// may go on at any time.
func (w *World) Sum() (sum quota.Part) {
	for _, n := range w.Nodes {
		if n.Up {
			sum += w.Limit(n)
		}
	}
	return sum
}

// Used is what of the demand is within limits.
func (w *World) Used() (sum quota.Part) {
	for _, n := range w.Nodes {
		if n.Serves() {
			sum += min(n.Demand, w.Limit(n))
		}
	}
	return sum
}

// ErrOver tells that the sum of what all may admit is over the quota.
var ErrOver = errors.New("all together may admit more than the quota")

// Run plays on until a time. The error tells that the sum was over the quota; with GoOn
// there is none, and Over counts it.
func (w *World) Run(until time.Duration) error {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		over := w.sum - quota.Whole
		if over > 0 {
			w.Over += over.Fraction() * (e.at - w.Now).Seconds()
		}
		w.Now = e.at
		e.do()
		w.sum = w.Sum()
		if w.Most = max(w.Most, w.sum); w.sum > quota.Whole && !w.GoOn {
			return fmt.Errorf("%w: %.6f, at %v", ErrOver, w.sum.Fraction(), w.Now)
		}
	}
	w.Now = until
	return nil
}

// Share is the mean part of what could be used that was, over a time.
func (w *World) Share(lasts time.Duration) (float64, error) {
	used, could := 0.0, 0.0
	for end := w.Now + lasts; w.Now < end; {
		if err := w.Run(w.Now + 20*time.Millisecond); err != nil {
			return 0, err
		}
		want := quota.Part(0)
		for _, n := range w.Nodes {
			if n.Serves() {
				want += n.Demand
			}
		}
		used += w.Used().Fraction()
		could += min(want, quota.Whole).Fraction()
	}
	return used / max(could, 1e-9), nil
}
