package broker

import (
	"container/heap"
	"math"
	"time"
)

// fairQueue is a fluid model of a server that serves flows by generalized processor sharing
// (Parekh and Gallager 1993): each backlogged flow gets its weight's part of the capacity, and
// what idle flows leave goes to the others by weight. The result is weighted max-min fairness by
// work. The queues exist in the model only: no request is delayed, and one that would make a queue
// too long is refused at once. So the part of an idle flow is lent without a decision, and is back
// with the first request of the flow.
//
// The model also runs while capacity suffices and nothing is refused. So when a shortage begins it
// shows which flows caused the real queue: these are in debt, and flows within their share are
// not.
//
// Virtual time is the work done per unit of weight; a flow's queue is empty when virtual time
// reaches the flow's finish time. An operation costs O(log n) for the heap, not O(n) in the number
// of flows.
type fairQueue struct {
	lastUpdate       time.Duration
	virtualTime      float64
	backloggedWeight float64    // of the backlogged flows
	backlogged       finishHeap // by finish time
}

// flow is the state of one team in the model.
type flow struct {
	weight     float64
	finishTime float64 // virtual time at which its queue is empty
	index      int     // in backlogged; notQueued: not in it
	meanWork   mean    // mean work of its requests
	guaranteed gcra    // limits its demand to its weight's part of the capacity
}

const (
	notQueued = -1
	// minWeight is the weight of flows without a guarantee, which get what others leave.
	minWeight = 1e-3
	// The backlog allowed to a flow is its part of the capacity over queueTime, or the work of
	// queueRequests of its requests, whichever is more. A smaller one refuses teams that are
	// within their share and send unevenly; a larger one admits more at once when the capacity
	// falls.
	queueTime     = 0.1 // s
	queueRequests = 16.0
	// guaranteeBurst is the burst within the guarantee, in allowed backlogs.
	guaranteeBurst = 1.0
	// guaranteeMemory is how long a flow whose demand exceeded its guarantee is treated as such.
	guaranteeMemory = 300 * time.Millisecond
	// The debt of a flow is bounded by the whole capacity over maxDebtTime, or by two allowed
	// backlogs if that is more.
	maxDebtTime = 1.0 // s
)

// setWeight sets the weight of a flow and keeps its backlog.
func (s *fairQueue) setWeight(f *flow, weight float64) {
	weight = math.Max(weight, minWeight)
	backlog := s.backlog(f)
	s.remove(f)
	f.weight = weight
	if backlog > 0 {
		f.finishTime = s.virtualTime + backlog/weight
		s.insert(f)
	}
}

// backlog returns the backlog of a flow in seconds of work.
func (s *fairQueue) backlog(f *flow) float64 {
	if f.index == notQueued {
		return 0
	}
	return math.Max(f.finishTime-s.virtualTime, 0) * f.weight
}

func (s *fairQueue) insert(f *flow) {
	heap.Push(&s.backlogged, f)
	s.backloggedWeight += f.weight
}

func (s *fairQueue) remove(f *flow) {
	if f.index == notQueued {
		return
	}
	heap.Remove(&s.backlogged, f.index)
	if s.backloggedWeight -= f.weight; len(s.backlogged) == 0 {
		s.backloggedWeight = 0 // discards rounding errors
	}
}

// advance lets the server of the model work until now at the rate.
func (s *fairQueue) advance(now time.Duration, rate float64) {
	remaining := (now - s.lastUpdate).Seconds()
	s.lastUpdate = now
	for len(s.backlogged) > 0 && (remaining > 0 || math.IsInf(rate, 1)) {
		first := s.backlogged[0]
		needed := (first.finishTime - s.virtualTime) * s.backloggedWeight / rate
		if needed > remaining {
			s.virtualTime += remaining * rate / s.backloggedWeight
			return
		}
		s.virtualTime = math.Max(s.virtualTime, first.finishTime)
		remaining -= math.Max(needed, 0)
		s.remove(first)
	}
	if len(s.backlogged) == 0 {
		s.virtualTime = 0 // discards rounding errors
	}
}

// allowedBacklog returns the longest backlog at which a flow may add to it.
func (f *flow) allowedBacklog(rate float64) float64 {
	return math.Max(queueTime*f.weight*rate, queueRequests*f.meanWork.value)
}

// maxBacklog returns the longest backlog that a flow is charged with.
func (f *flow) maxBacklog(rate float64) float64 {
	return math.Max(maxDebtTime*rate, 2*f.allowedBacklog(rate))
}

// wait returns how long a flow has to wait until its backlog is below the allowed one; 0: it
// already is. The last request admitted may exceed the allowed backlog, which is paid off before
// the next.
func (s *fairQueue) wait(f *flow, rate float64) time.Duration {
	excess := s.backlog(f) - f.allowedBacklog(rate)
	if excess < 0 || f.index == notQueued {
		return 0
	}
	return max(seconds((excess+f.meanWork.value)*s.backloggedWeight/(f.weight*rate)), time.Millisecond)
}

// charge adds work to the backlog of a flow.
func (s *fairQueue) charge(f *flow, rate, work float64) {
	f.meanWork.add(work, workMemory)
	if math.IsInf(rate, 1) {
		return
	}
	maxFinish := s.virtualTime + f.maxBacklog(rate)/f.weight
	if f.index == notQueued {
		f.finishTime = math.Min(s.virtualTime+work/f.weight, maxFinish)
		s.insert(f)
		return
	}
	f.finishTime = math.Max(f.finishTime, math.Min(f.finishTime+work/f.weight, maxFinish))
	heap.Fix(&s.backlogged, f.index)
}

// withinGuarantee records demand of a flow, granted or not. It reports whether the flow's demand
// is within its guaranteed part of the capacity rate.
func (s *fairQueue) withinGuarantee(f *flow, rate, work float64) (within bool) {
	l := newLimit(f.weight*rate, guaranteeBurst*f.allowedBacklog(rate))
	within = f.guaranteed.wait(s.lastUpdate, l, work) == 0
	f.guaranteed.charge(s.lastUpdate, l, work)
	f.guaranteed.tat = min(f.guaranteed.tat, s.lastUpdate+l.tolerance+guaranteeMemory)
	return within
}

// capBacklogs cuts all backlogs to the allowed ones.
func (s *fairQueue) capBacklogs(rate float64) {
	for _, f := range s.backlogged {
		f.finishTime = math.Min(f.finishTime, s.virtualTime+f.allowedBacklog(rate)/f.weight)
	}
	heap.Init(&s.backlogged)
}

// reset empties all queues.
func (s *fairQueue) reset() {
	for _, f := range s.backlogged {
		f.index = notQueued
	}
	clear(s.backlogged)
	s.backlogged, s.backloggedWeight, s.virtualTime = s.backlogged[:0], 0, 0
}

// refund removes work from the backlog of a flow, as far as it is still there.
func (s *fairQueue) refund(f *flow, work float64) {
	if f.index == notQueued {
		return
	}
	if f.finishTime -= work / f.weight; f.finishTime <= s.virtualTime {
		s.remove(f)
		return
	}
	heap.Fix(&s.backlogged, f.index)
}

// finishHeap is a heap of the backlogged flows by finish time.
type finishHeap []*flow

func (b finishHeap) Len() int           { return len(b) }
func (b finishHeap) Less(i, j int) bool { return b[i].finishTime < b[j].finishTime }
func (b finishHeap) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].index, b[j].index = i, j
}

func (b *finishHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*b)
	*b = append(*b, f)
}

func (b *finishHeap) Pop() any {
	old := *b
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*b = old[:len(old)-1]
	f.index = notQueued
	return f
}
