package quota

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// world is a federation in virtual time: gateways with clocks of their own rate and time
// of day, over links that drop, delay, repeat, turn round and are cut one way or both,
// and that crash, stand still and start anew.
type world struct {
	r     *rand.Rand
	set   Settings
	now   time.Duration // true
	nodes []*simNode
	plan  []Gateway
	queue simQueue
	drop  float64
	delay func() time.Duration
	dup   float64
	cut   map[[2]int]bool // from, to
	views time.Duration   // who is up is known so much later
	since map[int]time.Duration
	most  Part // that all together could admit, ever
	seq   int
}

type simNode struct {
	n       int
	name    string
	rate    float64
	offset  time.Duration
	up      bool
	paused  bool
	inbox   []any
	life    int // increases with each start
	holder  *Holder
	steward *Steward
	limit   Limit
	demand  Part
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// newWorld starts a federation of gateways by partner, whose parts are equal.
func newWorld(seed uint64, set Settings, partners, each int) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 7)), set: set, cut: map[[2]int]bool{}, views: 2 * time.Second, since: map[int]time.Duration{}}
	w.delay = func() time.Duration { return time.Duration(w.r.Int64N(int64(4 * time.Millisecond))) }
	n := partners * each
	for i := range n {
		w.plan = append(w.plan, Gateway{Name: fmt.Sprintf("g%03d", i), Partner: fmt.Sprint("p", i%partners), Part: Whole / Part(n)})
	}
	for i := range n {
		node := &simNode{n: i, name: w.plan[i].Name, rate: 1 + set.Drift*(2*w.r.Float64()-1), offset: time.Duration(w.r.Int64N(int64(48 * time.Hour)))}
		w.nodes = append(w.nodes, node)
		w.start(node)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, simEvent{at: w.now + d, seq: w.seq, do: do})
}

func (n *simNode) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

func (w *world) start(n *simNode) {
	n.up, n.life, n.paused, n.inbox = true, n.life+1, false, nil
	at, inc := n.clock(w.now), 1+w.r.Uint64N(1<<31)
	n.holder = NewHolder(at, w.set, n.name, inc, w.plan[n.n].Part)
	n.steward = NewSteward(at, w.set, n.name, inc, w.plan)
	n.limit = n.holder.Limit(at)
	w.since[n.n] = w.now
	w.tickLater(n, n.life, time.Duration(w.r.Int64N(int64(w.set.Period))))
}

func (w *world) crash(n *simNode) {
	n.up, n.limit = false, Limit{}
	w.since[n.n] = w.now
}

func (w *world) tickLater(n *simNode, life int, d time.Duration) {
	w.after(time.Duration(float64(d)/n.rate), func() {
		if !n.up || n.life != life {
			return
		}
		w.tickLater(n, life, w.set.Period)
		if n.paused {
			return
		}
		w.tick(n)
	})
}

func (w *world) tick(n *simNode) {
	at := n.clock(w.now)
	r, ok := n.holder.Tick(at, n.demand, w.candidates(n))
	n.limit = n.holder.Limit(at)
	if ok {
		w.send(n, r.To, r)
	}
}

// candidates are those that a gateway takes to be up, in an order that all agree on.
func (w *world) candidates(n *simNode) (names []string) {
	for _, o := range w.nodes {
		up := o.up
		if w.now-w.since[o.n] < w.views {
			up = !up // not known yet
		}
		if up || o == n {
			names = append(names, o.name)
		}
	}
	weight := func(name string) uint32 { h := fnv.New32a(); h.Write([]byte("team " + name)); return h.Sum32() }
	slices.SortFunc(names, func(a, b string) int { return int(int64(weight(a)) - int64(weight(b))) })
	return names
}

func (w *world) node(name string) *simNode {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *simNode) bool { return n.name == name })]
}

func (w *world) send(from *simNode, to string, m any) {
	o := w.node(to)
	if from == o {
		w.after(0, func() { w.deliver(o, m) })
		return
	}
	for range 1 + btoi(w.r.Float64() < w.dup) {
		if w.r.Float64() < w.drop || w.cut[[2]int{from.n, o.n}] {
			continue
		}
		w.after(w.delay(), func() {
			if !w.cut[[2]int{from.n, o.n}] {
				w.deliver(o, m)
			}
		})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (w *world) deliver(n *simNode, m any) {
	if !n.up {
		return
	}
	if n.paused {
		if len(n.inbox) < 64 {
			n.inbox = append(n.inbox, m)
		}
		return
	}
	at := n.clock(w.now)
	switch m := m.(type) {
	case Report:
		for _, r := range n.steward.Hear(at, m) {
			w.send(n, r.To, r)
		}
	case Reply:
		hurry := n.holder.Take(at, m)
		n.limit = n.holder.Limit(at)
		if hurry {
			w.tick(n)
		}
	}
}

func (w *world) pause(n *simNode, d time.Duration) {
	n.paused = true
	life := n.life
	w.after(d, func() {
		if !n.up || n.life != life {
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

// sum is what all together may admit now; a gateway that stands still counts too, as it
// may go on at any time.
func (w *world) sum() (sum Part) {
	for _, n := range w.nodes {
		if n.up {
			sum += n.limit.At(n.clock(w.now))
		}
	}
	return sum
}

// used is what of the demand is within limits.
func (w *world) used() (sum Part) {
	for _, n := range w.nodes {
		if n.up && !n.paused {
			sum += min(n.demand, n.limit.At(n.clock(w.now)))
		}
	}
	return sum
}

// run plays on until a time. The error tells that the sum was over the quota.
func (w *world) run(until time.Duration) error {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(simEvent)
		w.now = e.at
		e.do()
		sum := w.sum()
		if w.most = max(w.most, sum); sum > Whole {
			return fmt.Errorf("at %v all may admit %.6f of the quota", w.now, sum.Fraction())
		}
	}
	w.now = until
	return nil
}

// share is the mean part of what could be used that was, over a time.
func (w *world) share(lasts time.Duration) (float64, error) {
	used, could := 0.0, 0.0
	for end := w.now + lasts; w.now < end; {
		if err := w.run(w.now + 20*time.Millisecond); err != nil {
			return 0, err
		}
		want := Part(0)
		for _, n := range w.nodes {
			if n.up && !n.paused {
				want += n.demand
			}
		}
		used += w.used().Fraction()
		could += min(want, Whole).Fraction()
	}
	return used / max(could, 1e-9), nil
}
